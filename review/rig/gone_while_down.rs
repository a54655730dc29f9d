//! An endpoint of partner 1 is replaced: its address is taken by an endpoint of partner 2, and the relay is told. Then discovery
//! goes down, and the relay is killed and started again. What it was told still holds.

use crate::base::*;
use crate::http::*;
use std::thread::sleep;
use std::time::{Duration, Instant};

const TOLD_WITHIN: Duration = Duration::from_secs(3);
/// Behind the moment at which the new process is ready: what it was told before counts as told, and drains have 1 s and 50 ms.
const GRACE: Duration = Duration::from_millis(1_000 + 50);
const DOWN: Duration = Duration::from_millis(600);
const AFTER: Duration = Duration::from_secs(6);
const EACH: Duration = Duration::from_millis(100);

pub fn run(record: &Record) -> Verdict {
    let (folder, calls) = (Folder::new(), Calls::default());
    let quick = |_: &[String]| Act::Accept(Duration::from_millis(60));
    let named = |name: &str| endpoint(name, calls.clone(), record, quick);
    // At the address of `shared` first an endpoint of partner 1 is listed, then one of partner 2.
    let (stays, shared, other) = (named("stays"), named("shared"), named("other"));
    let kind = "payment-firms";
    let hosts = [host("s-1a", stays, kind, 1), host("s-1b", shared, kind, 1), host("s-2a", other, kind, 2)];
    let (address, discovery) = agent(hosts.join(","), record);
    let relay = Relay::new(&folder, address, &hosts.join(","), false);
    let Some(mut process) = relay.start(record) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let mut number = 0;
    let mut traffic = |span: Duration| {
        let from = Instant::now();
        while from.elapsed() < span {
            let id = format!("m{number:04}");
            number += 1;
            let life = Duration::from_secs(10);
            hand_in(relay.address, &Message { id: &id, class: "status-sync", dest: 1, key: None, life }, record);
            sleep(EACH);
        }
    };
    traffic(Duration::from_secs(2));
    let hosts = [host("s-1a", stays, kind, 1), host("s-2b", shared, kind, 2), host("s-2a", other, kind, 2)];
    {
        let mut discovery = discovery.lock().unwrap();
        (discovery.seq, discovery.hosts) = (2, hosts.join(","));
    }
    record.say("agent: s-1b has left, its address is s-2b's of partner 2");
    let is_told = || discovery.lock().unwrap().told.iter().any(|(seq, _)| *seq == 2).then_some(());
    if until(TOLD_WITHIN, is_told).is_none() {
        return Verdict::CannotRun("the relay did not ask for the list".to_string());
    }
    traffic(Duration::from_secs(3));
    let before = calls.lock().unwrap().len();
    if is_troubled() {
        discovery.lock().unwrap().silent = true;
        record.say("agent: discovery is down, silent from now on");
        process.kill();
        process.reap();
        record.say("relay: SIGKILL");
        sleep(DOWN);
        match relay.start(record) {
            Some(started) => process = started,
            None => return Verdict::CannotRun("the relay did not start again".to_string()),
        }
    }
    let from = Instant::now() + GRACE;
    traffic(AFTER);
    sleep(Duration::from_secs(1));
    let calls = calls.lock().unwrap();
    let after: Vec<&Call> = calls[before..].iter().filter(|call| call.first > from).collect();
    let wrong: Vec<&&Call> = after.iter().filter(|call| call.endpoint == "shared").collect();
    for call in &wrong {
        record.say(&format!("{:?} for partner 1 was sent to the address that is partner 2's", call.ids));
    }
    if !process.is_running() || after.len() < 10 {
        return Verdict::CannotRun(format!("only {} calls came after that", after.len()));
    }
    match wrong.len() {
        0 => Verdict::Held(format!("{} calls went to endpoints that are listed for them", after.len())),
        wrong => Verdict::Broken(format!(
            "{wrong} of {} calls for partner 1 begun more than 1.05 s after the start went to an address that the relay was told is gone, and is partner 2's",
            after.len()
        )),
    }
}
