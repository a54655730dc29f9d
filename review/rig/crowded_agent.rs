//! A partner refuses connections, so that its messages end by notices, while the agent is crowded: its connections are served one
//! after another. Each end has to come within half a second behind its message's time.

use crate::base::*;
use crate::http::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Each connection to the agent is served so long behind the one before.
const EACH: Duration = Duration::from_millis(200);
/// 33 a second, half of the site's 66, of which one in four is for the partner that is down.
const MESSAGES: u32 = 264;
const SPAN: Duration = Duration::from_secs(8);
/// The messages' time.
const LIFE: Duration = Duration::from_secs(10);
/// Up to half a second behind its time an answer only earns nothing; every limit is 50 ms longer.
const SLACK: Duration = Duration::from_millis(500 + 50);

pub fn run(record: &Record) -> Verdict {
    let folder = Folder::new();
    let (calls, is_down) = (Calls::default(), Arc::<AtomicBool>::default());
    let quick = |_: &[String]| Act::Accept(Duration::from_millis(60));
    let refusing = endpoint_that_dies("refusing", calls.clone(), record, is_down.clone(), quick);
    let sound = endpoint("sound", calls.clone(), record, quick);
    let hosts = [host("s-1a", refusing, "payment-firms", 1), host("s-2a", sound, "payment-firms", 2)].join(",");
    let each = if is_troubled() { EACH } else { Duration::ZERO };
    let (address, discovery) = crowded_agent(hosts.clone(), record, each);
    let relay = Relay::new(&folder, address, &hosts, false);
    let Some(mut process) = relay.start(record) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    sleep(Duration::from_secs(1));
    is_down.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(20));
    let taken = Arc::new(Mutex::new(BTreeMap::<String, Instant>::new()));
    let clients: Vec<_> = (0..MESSAGES)
        .map(|number| {
            let (taken, record, relay) = (taken.clone(), record.clone(), relay.address);
            sleep(SPAN / MESSAGES);
            spawn(move || {
                let id = format!("m{number:04}");
                let message = Message { id: &id, class: "status-sync", dest: if number % 4 == 0 { 1 } else { 2 }, key: None, life: LIFE };
                let status = hand_in(relay, &message, &record);
                // Counted from when the client has its answer: a little later than from its last byte.
                if status == Some(202) {
                    taken.lock().unwrap().insert(id, Instant::now() + LIFE);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| client.join().unwrap());
    // The partner is down for less than 20 s: it is back when the time of all messages is over.
    sleep(LIFE + Duration::from_millis(600));
    is_down.store(false, Ordering::SeqCst);
    sleep(Duration::from_secs(4));
    let (taken, discovery) = (taken.lock().unwrap(), discovery.lock().unwrap());
    if taken.len() < MESSAGES as usize / 4 || !process.is_running() {
        return Verdict::CannotRun(format!("only {} messages were taken on", taken.len()));
    }
    let calls = calls.lock().unwrap();
    let is_delivered = |id: &String| calls.iter().any(|c| c.ids.contains(id) && c.until.is_some_and(|(_, how)| how == "answered"));
    let taken: BTreeMap<&String, &Instant> = taken.iter().filter(|(id, _)| !is_delivered(id)).collect();
    let (mut late, mut never, mut worst) = (0, 0, Duration::ZERO);
    for (id, end) in taken.iter() {
        let notice = discovery.notices.iter().find(|(_, of)| of == *id).map(|(at, _)| *at);
        let behind = notice.map(|at| at.saturating_duration_since(**end));
        match behind {
            Some(behind) if behind <= SLACK => {}
            Some(behind) => {
                (late, worst) = (late + 1, worst.max(behind));
                record.say(&format!("late: the notice of {id} came {} ms behind its time", behind.as_millis()));
            }
            None => {
                never += 1;
                record.say(&format!("lost: no notice of {id}"));
            }
        }
    }
    let all = taken.len();
    match late + never {
        0 => Verdict::Held(format!("each of {all} messages taken on and not delivered had its end in time")),
        _ => Verdict::Broken(format!(
            "of {all} messages taken on and not delivered {late} had their ends more than 0.55 s behind their time, the last {} ms, and {never} none",
            worst.as_millis()
        )),
    }
}
