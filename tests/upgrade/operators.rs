//! What operators take out of service stays out of it over upgrades and kills.

use crate::callers::Callers;
use crate::platform::Terms;
use crate::scene::Scene;
use crate::stand_ins::{message, status};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// From an operator's call on, callers are away after this time.
const SENT_AWAY_WITHIN: Duration = Duration::from_secs(4);
const READY: &str = "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n";

/// Guards an endpoint that operators restart: from the yes on nothing goes to it, over an upgrade and a kill, whatever
/// discovery says meanwhile; what was held for it goes once it is back.
#[test]
fn a_cordon_holds_over_an_upgrade_and_a_kill() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    assert_eq!(first.call("POST", "/admin/cordon/nobody"), Some(404));
    assert_eq!(first.call("POST", "/admin/uncordon/nobody"), Some(404));
    assert_eq!(first.call("POST", "/admin/cordon/h"), Some(200));
    assert_eq!(first.call("POST", "/admin/cordon/h"), Some(200));
    assert_eq!(scene.platform.ask(&message("notice", "m1")), Some(202));
    let mut second = scene.platform.upgrade(first);
    assert_eq!(scene.platform.ask(&message("notice", "m2")), Some(202));
    second.kill();
    let third = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("notice", "m3")), Some(202));
    scene.discovery.asked_again();
    sleep(Duration::from_millis(500));
    assert!(scene.served.tell(|s| s.is_empty()), "nothing goes to it");
    // Two calls out need one back.
    assert_eq!(third.call("POST", "/admin/uncordon/h"), Some(200));
    let all = ["m1", "m2", "m3"].map(str::to_string);
    scene.all_served_once(&BTreeSet::from(all));
}

/// Guards callers of a relay that is emptied: it is not ready from the yes on, also in the process that follows; their
/// connections are closed in time, none under a request; and it is ready again at the end.
#[test]
fn a_drained_relay_sends_its_callers_away_over_an_upgrade() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(READY), Some(200));
    let mut idle = scene.platform.connect();
    idle.write_all(message("notice", "m1").as_bytes()).unwrap();
    assert_eq!(status(&mut idle), Some(202));
    let from = Instant::now();
    assert_eq!(first.call("POST", "/admin/quiesce"), Some(200));
    assert_eq!(scene.platform.ask(READY), Some(503));
    let closed = idle.read(&mut [0; 16]);
    assert!(
        matches!(closed, Ok(0)) && from.elapsed() < SENT_AWAY_WITHIN,
        "{closed:?} after {:?}",
        from.elapsed()
    );
    assert!(first.says_yes(), "it runs on");
    let second = scene.platform.upgrade(first);
    assert_eq!(scene.platform.ask(READY), Some(503));
    // Who comes all the same has an answer.
    assert_eq!(scene.platform.ask(&message("notice", "m2")), Some(202));
    assert_eq!(second.call("POST", "/admin/resume"), Some(200));
    assert_eq!(scene.platform.ask(READY), Some(200));
    let callers = Callers::start(2, scene.platform.address, "notice");
    callers.until_taken(20);
    let mut taken = callers.stop().taken;
    taken.extend(["m1", "m2"].map(str::to_string));
    scene.all_served_once(&taken);
}

/// Guards operators who call at a process that another has taken over from: the call is in force at the other.
#[test]
fn a_call_at_the_old_console_is_in_force_at_the_new_process() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    let second = scene.platform.start_ready();
    assert!(!first.says_yes(), "it takes no clients any more");
    assert_eq!(first.call("POST", "/admin/quiesce"), Some(200));
    assert_eq!(scene.platform.ask(READY), Some(503));
    assert_eq!(first.call("POST", "/admin/cordon/nobody"), Some(404));
    first.end();
    assert_eq!(second.call("POST", "/admin/resume"), Some(200));
    assert_eq!(scene.platform.ask(READY), Some(200));
}

/// Guards operators from callers that connect to the console and say nothing: each call is answered within a second.
#[test]
fn calls_that_are_never_finished_keep_no_operator_waiting() {
    let scene = Scene::new(&Terms::default());
    let process = scene.platform.start_ready();
    let _silent: Vec<_> = (0..40).map(|_| std::net::TcpStream::connect(process.console).unwrap()).collect();
    for _ in 0..20 {
        let from = Instant::now();
        assert!(process.says_yes());
        assert!(from.elapsed() < Duration::from_secs(1), "{:?}", from.elapsed());
    }
}
