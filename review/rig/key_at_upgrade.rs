//! Messages share a call to a slow endpoint. One of them, with a key, comes to its end while the call is out; the next one of its
//! key waits, as it must. Then the relay is upgraded.

use crate::base::*;
use crate::http::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The endpoint's answers take so long: 20 times the usual 300 ms.
const SLOW: Duration = Duration::from_millis(6_000);
/// SIGKILL comes so long after SIGTERM at the earliest.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// A key rests for 100 ms after a time-out, reset or cancel; of these 50 ms are left to clocks.
const RESTS: Duration = Duration::from_millis(50);

pub fn run(record: &Record) -> Verdict {
    let (folder, calls, was_full) = (Folder::new(), Calls::default(), AtomicBool::new(false));
    // The first call is above the limit; those after it are answered late.
    let slow = endpoint("slow", calls.clone(), record, move |_| match was_full.swap(true, Ordering::SeqCst) {
        false => Act::Refuse("Retry-After: 1.0\r\nX-Server-Load: x0=0.0,x1=3"),
        true => Act::Accept(SLOW),
    });
    let quick = endpoint("quick", calls.clone(), record, |_| Act::Accept(Duration::from_millis(60)));
    let hosts = [host("s-1a", slow, "club-chains", 1), host("s-2a", quick, "payment-firms", 2)];
    let (address, discovery) = agent(hosts.join(","), record);
    let relay = Relay::new(&folder, address, &hosts.join(","), true);
    let Some(mut old) = relay.start(record) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let take = |id, class, dest, key, ms| {
        let message = Message { id, class, dest, key, life: Duration::from_millis(ms) };
        hand_in(relay.address, &message, record) == Some(202)
    };
    let key = Some("account-7");
    let mut taken = take("first", "status-sync", 1, None, 20_000);
    sleep(Duration::from_millis(100));
    taken &= take("change-1", "member-changes", 1, key, 3_500);
    taken &= take("beside", "status-sync", 1, None, 20_000);
    taken &= take("change-2", "member-changes", 2, key, 20_000);
    let call_of = |id: &str| calls.lock().unwrap().iter().rev().find(|call| call.ids.iter().any(|i| i == id)).cloned();
    // Three of sixteen messages are for the slow partner.
    for id in ["o0", "o1", "o2", "o3", "o4", "o5", "o6", "o7", "o8", "o9", "oa", "ob"] {
        taken &= take(id, "status-sync", 2, None, 20_000);
    }
    let is_told = || discovery.lock().unwrap().notices.iter().any(|(_, id)| id == "change-1").then_some(());
    if !taken || until(Duration::from_secs(6), is_told).is_none() {
        return Verdict::CannotRun("the messages were not taken on, or change-1 had no end".to_string());
    }
    match call_of("change-1") {
        Some(call) if call.ids.len() > 1 && call.until.is_none() => {}
        _ => return Verdict::CannotRun("change-1 has no call out that it shares".to_string()),
    }
    sleep(Duration::from_millis(300));
    if call_of("change-2").is_some() {
        return Verdict::CannotRun("change-2 went out before the upgrade".to_string());
    }
    let mut new = None;
    if is_troubled() {
        record.say("platform: starts the next process");
        new = relay.start(record);
        if new.is_none() {
            return Verdict::CannotRun("the next process did not start".to_string());
        }
        old.signal(SIGTERM);
        record.say("relay: SIGTERM to the process before");
    }
    let asked = Instant::now();
    let came = until(Duration::from_secs(12), || {
        if is_troubled() && asked.elapsed() > KILLED_AFTER {
            old.kill();
        }
        call_of("change-2")
    });
    let Some(second) = came else {
        return Verdict::CannotRun("change-2 never went out".to_string());
    };
    // The end of the earlier call, as its endpoint sees it.
    let ended = until(Duration::from_secs(10), || {
        let calls = calls.lock().unwrap();
        let first = calls.iter().rev().find(|call| call.ids.iter().any(|i| i == "change-1"))?;
        first.until
    });
    drop(new);
    let Some((ended, how)) = ended else {
        return Verdict::CannotRun("the call with change-1 never ended".to_string());
    };
    let ms = |from: Instant, to: Instant| to.saturating_duration_since(from).as_millis();
    let broken = match second.first < ended {
        true => format!("{} ms before the call with change-1, of the same key, was {how}", ms(second.first, ended)),
        false => format!("{} ms after the call with change-1, of the same key, was {how}", ms(ended, second.first)),
    };
    match second.first < ended + RESTS {
        true => Verdict::Broken(format!("change-2 was sent {broken}; the key rests for 100 ms")),
        false => Verdict::Held(format!("change-2 was sent {} ms after the call with change-1 was {how}", ms(ended, second.first))),
    }
}
