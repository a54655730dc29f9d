//! One process of the program follows another: a second start beside the one that serves, upgrades, kills at any moment of
//! them. Real processes on loopback sockets, run by a stand-in of the platform.

mod callers;
mod crossings;
mod kills;
mod operators;
mod platform;
mod scene;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use callers::Callers;
use platform::{Platform, Terms, KILLED_AFTER};
use rustix::process::Signal;
use scene::Scene;
use stand_ins::{entry, folder, hop, message, Discovery, ANSWERED};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::thread::sleep;
use std::time::Duration;

/// Guards what was taken on from a second start on the same folder: it used to cut off what the process that serves had
/// appended meanwhile, so that the next start knew nothing of it.
#[test]
fn second_starts_take_nothing_from_the_process_that_serves() {
    // Nobody answers there: what is taken on stays in the journal.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let dial = silent.local_addr().unwrap();
    let discovery = Discovery::start(entry("h", dial, "active"));
    let dir = folder();
    let mut terms = Terms { inherit: false, ..Terms::default() };
    terms.slots = 1;
    let platform = Platform::new(&dir, &terms, discovery.address, &entry("h", dial, "active"));
    let mut first = platform.start_beside();
    let callers = Callers::start(8, platform.address, "status");
    let mut told = Vec::new();
    for _ in 0..8 {
        let mut second = platform.start_beside();
        let status = second.ends_within(Duration::from_secs(5));
        assert!(status.is_some_and(|s| !s.success()), "a second process that is no upgrade serves as well");
        told.push(second);
    }
    let taken = callers.stop().taken;
    assert!(taken.len() > 100, "{} taken", taken.len());
    first.kill();
    drop(silent);
    let (_, served) = hop(&dial.to_string());
    let _next = platform.start_beside();
    let all = served.until(ANSWERED * 2, |s| taken.iter().all(|id| s.contains_key(id)));
    let lost = served.tell(|s| taken.iter().filter(|id| !s.contains_key(*id)).count());
    assert!(all.is_some(), "{lost} of {} were lost", taken.len());
    told.iter().for_each(|second| second.says("in use by another process"));
    std::fs::remove_dir_all(dir).ok();
}

/// Guards the first start on a day of upgrades: the platform holds the listening socket and hands it over as a descriptor.
#[test]
fn a_process_serves_on_the_socket_that_it_inherits() {
    let scene = Scene::new(&Terms::default());
    let process = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("notice", "m1")), Some(202));
    assert_eq!(process.call("POST", "/admin/health"), Some(405));
    assert_eq!(process.call("GET", "/admin/none"), Some(404));
    scene.all_served_once(&BTreeSet::from(["m1".to_string()]));
}

/// Guards callers and their messages from upgrades in a row, each begun while the process before the last still ends.
#[test]
fn upgrades_in_a_row_lose_and_repeat_nothing() {
    let scene = Scene::new(&Terms::default());
    let mut serving = scene.platform.start_ready();
    let callers = [("notice", 3), ("update", 3), ("status", 2)];
    let callers = callers.map(|(class, n)| Callers::start(n, scene.platform.address, class));
    let mut ending = Vec::new();
    for _ in 0..3 {
        sleep(Duration::from_millis(300));
        let next = scene.platform.start_ready();
        serving.signal(Signal::TERM);
        ending.push(std::mem::replace(&mut serving, next));
    }
    for mut old in ending {
        let status = old.ends_within(KILLED_AFTER);
        assert!(status.is_some_and(|s| s.success()), "{status:?}: {:?}", old.log.tell(|l| l.clone()));
    }
    sleep(Duration::from_millis(300));
    let mut taken = BTreeSet::new();
    for outcomes in callers.map(Callers::stop) {
        assert!(outcomes.unanswered.is_empty(), "read and not answered: {:?}", outcomes.unanswered);
        assert!(outcomes.refused.is_empty(), "refused: {:?}", outcomes.refused);
        taken.extend(outcomes.taken);
    }
    assert!(taken.len() > 200, "{} taken", taken.len());
    scene.all_served_once(&taken);
}
