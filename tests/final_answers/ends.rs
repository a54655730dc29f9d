//! Messages that the relay itself has ended, over a kill.

use crate::finals::{Form, Says};
use crate::held::Held;
use crate::platform::{Platform, Terms, TELLS_LIVES};
use crate::stand_ins::{entry, folder, message_within, ok, serve_bodies, whole, Told};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(3);

/// Guards an end that is written and not told yet from a kill: the next process tells it, and calls nobody.
#[test]
fn an_end_that_was_not_told_before_a_kill_is_told_and_begins_no_call() {
    let endpoint = Held::start(Says::NoMore, Form::Whole);
    endpoint.answers.store(true, Ordering::SeqCst);
    let known = entry("h", endpoint.address, "active");
    let (ended, is_deaf) = (Told::<BTreeSet<String>>::default(), Arc::new(AtomicBool::new(true)));
    let (heard, deaf, list) = (ended.clone(), is_deaf.clone(), known.clone());
    let agent = serve_bodies(TcpListener::bind("127.0.0.1:0").unwrap(), move |head, body| {
        if !head[0].starts_with("POST") {
            sleep(Duration::from_millis(100));
            return Some(ok(&whole(&(1, list.clone()))));
        }
        if deaf.load(Ordering::SeqCst) {
            return None;
        }
        heard.tell(|heard| heard.extend(String::from_utf8_lossy(body).lines().map(str::to_string)));
        Some("HTTP/1.1 204 No Content\r\n\r\n".to_string())
    });
    let terms = Terms { operator: TELLS_LIVES, ..Terms::default() };
    let platform = Platform::new(&folder(), &terms, agent, &known);
    let mut process = platform.start_ready();
    assert_eq!(platform.ask(&message_within("status", "m1", 4_000)), Some(202));
    // Its notice goes out once its record is written.
    process.says("message-notice-sent");
    process.kill();
    sleep(Duration::from_millis(600));
    is_deaf.store(false, Ordering::SeqCst);
    let _next = platform.start_ready();
    let is_told = |ended: &BTreeSet<String>| ended.iter().any(|line| line.contains("m1"));
    assert!(ended.until(WITHIN, is_told).is_some(), "{:?}", ended.tell(|ended| ended.clone()));
    sleep(Duration::from_millis(300));
    assert_eq!(endpoint.calls.tell(|calls| calls["m1"]), 1);
    std::fs::remove_dir_all(&platform.dir).ok();
}
