//! What crosses an upgrade: calls that are out, requests half read, keys, and starts that have nothing to do with it.

use crate::callers::Callers;
use crate::platform::{Process, Terms};
use crate::scene::Scene;
use crate::stand_ins::{message, ok, receipt, serve, status, Served, ANSWERED};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// An endpoint that answers its calls only while it is let; it counts them as they come.
fn held_endpoint() -> (SocketAddr, Served, Arc<AtomicBool>) {
    let (served, open) = (Served::default(), Arc::new(AtomicBool::new(false)));
    let (told, let_go) = (served.clone(), open.clone());
    let address = serve(TcpListener::bind("127.0.0.1:0").unwrap(), move |head| {
        let id = head
            .iter()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("x-request-id: ").map(str::to_string));
        told.tell(|t| *t.entry(id.unwrap()).or_default() += 1);
        while !let_go.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(2));
        }
        Some(ok(&receipt()))
    });
    (address, served, open)
}

/// Guards a call that is out when another process takes over: it goes on at the one that made it, its outcome counts at
/// the other, and others of its key go behind it, in their order.
#[test]
fn calls_that_are_out_stay_where_they_are_and_count_at_the_new_process() {
    let (dial, served, open) = held_endpoint();
    let scene = Scene::before(&Terms::default(), dial, served);
    let first = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("notice", "n1")), Some(202));
    assert_eq!(scene.platform.ask(&message("update", "u1@k")), Some(202));
    assert_eq!(scene.platform.ask(&message("update", "u2@k")), Some(202));
    let out = BTreeSet::from(["n1", "u1@k"].map(str::to_string));
    assert!(scene.served.until(ANSWERED, |s| out.iter().all(|id| s.contains_key(id))).is_some());
    let second = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("update", "u3@k")), Some(202));
    sleep(Duration::from_millis(300));
    assert_eq!(scene.served.tell(|s| s.len()), 2, "nothing goes before u1 of its key");
    open.store(true, Ordering::SeqCst);
    let all = ["n1", "u1@k", "u2@k", "u3@k"].map(str::to_string);
    scene.all_served_once(&BTreeSet::from(all));
    first.end();
    drop(second);
}

/// Guards a request of which half has come when another process takes over: it is answered, and taken on once.
#[test]
fn a_request_half_read_at_a_takeover_is_answered() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    let text = message("notice", "m1");
    let (head, body) = text.split_at(text.len() - 1);
    let mut caller = scene.platform.connect();
    caller.write_all(head.as_bytes()).unwrap();
    sleep(Duration::from_millis(50));
    let second = scene.platform.start_ready();
    caller.write_all(body.as_bytes()).unwrap();
    assert_eq!(status(&mut caller), Some(202));
    first.end();
    scene.all_served_once(&BTreeSet::from(["m1".to_string()]));
    drop(second);
}

/// Guards an id that the process before had delivered: handed in again, it is answered as taken on, and not called again.
#[test]
fn what_the_process_before_delivered_is_not_called_again() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("notice", "m1")), Some(202));
    scene.all_served_once(&BTreeSet::from(["m1".to_string()]));
    sleep(Duration::from_millis(100));
    let _second = scene.platform.upgrade(first);
    assert_eq!(scene.platform.ask(&message("notice", "m1")), Some(202));
    sleep(Duration::from_millis(300));
    scene.all_served_once(&BTreeSet::from(["m1".to_string()]));
}

/// Guards a wait that an endpoint told the process before: it holds in the next one.
#[test]
fn a_told_wait_holds_over_an_upgrade() {
    const WAIT: Duration = Duration::from_millis(2_500);
    let (served, told_at) = (Served::default(), Arc::new(std::sync::Mutex::new(None)));
    let (counts, since) = (served.clone(), told_at.clone());
    let dial = serve(TcpListener::bind("127.0.0.1:0").unwrap(), move |_| {
        counts.tell(|t| *t.entry("calls".to_string()).or_default() += 1);
        let mut since = since.lock().unwrap();
        match *since {
            None => {
                *since = Some(Instant::now());
                let wait = WAIT.as_secs_f64();
                Some(format!("HTTP/1.1 429 Wait\r\nRetry-After: {wait}\r\nContent-Length: 0\r\n\r\n"))
            }
            Some(told) => {
                assert!(told.elapsed() >= WAIT, "called {:?} after it told to wait", told.elapsed());
                Some(ok(&receipt()))
            }
        }
    });
    let scene = Scene::before(&Terms::default(), dial, served);
    let first = scene.platform.start_ready();
    assert_eq!(scene.platform.ask(&message("status", "m1")), Some(202));
    assert!(scene.served.until(ANSWERED, |s| !s.is_empty()).is_some());
    sleep(Duration::from_millis(50));
    let second = scene.platform.upgrade(first);
    assert_eq!(scene.platform.ask(&message("status", "m2")), Some(202));
    let calls = |s: &std::collections::BTreeMap<String, u32>| s["calls"];
    assert!(scene.served.until(ANSWERED, |s| calls(s) >= 3).is_some());
    assert!(told_at.lock().unwrap().unwrap().elapsed() >= WAIT);
    drop(second);
}

/// Guards the folder from a process that has nothing to do with the relay that serves: it ends with a clear error, and the
/// relay serves on.
#[test]
fn a_process_of_another_relay_is_refused_the_folder() {
    let scene = Scene::new(&Terms::default());
    let first = scene.platform.start_ready();
    let callers = Callers::start(2, scene.platform.address, "notice");
    let mut other = scene.platform.start_with(|command| command.env("LB_NAME", "n2"));
    let ended = other.ends_within(Duration::from_secs(3));
    assert!(ended.is_some_and(|status| !status.success()), "{ended:?}");
    other.says("the folder is in use by n1");
    other.says("not by n2");
    callers.until_taken(40);
    assert!(first.says_yes());
    let outcomes = callers.stop();
    assert!(outcomes.unanswered.is_empty() && outcomes.refused.is_empty(), "{outcomes:?}");
    scene.all_served_once(&outcomes.taken);
}

/// Starts a process whose descriptor 3 is what this script makes of it.
fn start_with_descriptor(scene: &Scene, script: &'static str) -> Process {
    scene.platform.start_by(script, |command: &mut Command| command)
}

/// Guards starts with a descriptor that is not the socket it should be: each ends with a clear error, and has touched
/// nothing of the folder.
#[test]
fn a_descriptor_that_is_no_such_socket_is_named_in_the_error() {
    let scene = Scene::new(&Terms::default());
    let cases = [
        ("exec \"$0\" serve 0</dev/null 3<&-", "not a socket"),
        ("exec \"$0\" serve 3</dev/null 0</dev/null", "not a socket"),
        ("LB_FD=x exec \"$0\" serve 3<&0 0</dev/null", "no number"),
        ("LB_FD=900 exec \"$0\" serve 3<&0 0</dev/null", "not a socket"),
        ("LB_LISTEN=127.0.0.1:1 exec \"$0\" serve 3<&0 0</dev/null", "expected 127.0.0.1:1"),
    ];
    for (script, told) in cases {
        let mut process = start_with_descriptor(&scene, script);
        let ended = process.ends_within(Duration::from_secs(3));
        assert!(ended.is_some_and(|status| !status.success()), "{script}: {ended:?}");
        process.says(told);
        assert!(!scene.platform.state().join("relay.journal").exists(), "{script}");
    }
    // A socket that was never told to listen.
    let silent =
        rustix::net::socket(rustix::net::AddressFamily::INET, rustix::net::SocketType::STREAM, None).unwrap();
    let mut process = scene.platform.start_with(|command| command.stdin(silent));
    assert!(process.ends_within(Duration::from_secs(3)).is_some_and(|status| !status.success()));
    process.says("does not listen");
}
