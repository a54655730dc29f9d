//! An ESME submits a window of messages; the relay is killed right behind the answer that takes the last of them on, and
//! started again with its folder 0.6 s later. Each message that was answered with status 0 is owed one receipt.

use crate::base::*;
use crate::smpp::{operator_file, smsc, Esme, Log};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

const ROUNDS: u32 = 20;
/// The class's deadline, and how long behind it an end may come: 300 ms, and 1.5 s after the relay is ready again.
const DEADLINE: Duration = Duration::from_secs(10);
const SLACK: Duration = Duration::from_millis(300 + 1_500 + 200);
const DOWN: Duration = Duration::from_millis(600);

struct Life {
    relay: Process,
    esme: Esme,
}

fn start(folder: &Folder, listen: SocketAddr, record: &Record, kills: Option<(u32, Arc<AtomicU32>)>) -> Option<Life> {
    let variables = [("LB_NAME", "n0".to_string()), ("LB_STATE", folder.0.join("state").display().to_string())];
    let relay = Process::start(folder, &format!("--operator {}", folder.0.join("relay.conf").display()), &variables);
    let killer = relay.killer();
    let bound = |record: &Record| {
        let (killer, kills) = (killer.clone(), kills.clone());
        let notes = record.clone();
        Esme::bind(listen, "lakeclub", record, move |_, status| {
            let Some((nth, count)) = &kills else { return };
            if status == 0 && count.fetch_add(1, Ordering::SeqCst) + 1 == *nth {
                killer();
                notes.say("relay: SIGKILL");
            }
        })
    };
    let esme = until(Duration::from_secs(10), || bound(record))?;
    Some(Life { relay, esme })
}

pub fn run(record: &Record) -> Verdict {
    let (folder, troubled) = (Folder::new(), is_troubled());
    std::fs::create_dir_all(folder.0.join("state")).unwrap();
    let window: u32 = std::env::var("WINDOW").ok().and_then(|n| n.parse().ok()).unwrap_or(10);
    let (log, listen) = (Log::default(), free_address());
    let carrier = smsc("smsc-1", log.clone(), record.clone(), |_| Duration::from_millis(50));
    folder.file("relay.conf", &operator_file(listen, "10s", &[("carrier-1", carrier, 1)]));
    // By message id: its text, and the receipts that came for it.
    let (mut taken, mut receipts): (BTreeMap<String, String>, BTreeMap<String, u32>) = Default::default();
    let mut gather = |esme: &Esme, texts: &BTreeMap<u32, String>, receipts: &mut BTreeMap<String, u32>| {
        let mut heard = esme.heard.lock().unwrap();
        for (sequence, status, id) in heard.answers.drain(..) {
            if status == 0 {
                taken.insert(id, texts.get(&sequence).cloned().unwrap_or_default());
            }
        }
        heard.receipts.drain(..).for_each(|(id, _)| *receipts.entry(id).or_default() += 1);
    };
    for round in 0..ROUNDS {
        let count = Arc::new(AtomicU32::new(0));
        let kills = troubled.then(|| (window, count.clone()));
        let Some(mut life) = start(&folder, listen, record, kills) else {
            return Verdict::CannotRun("the relay did not start".to_string());
        };
        let texts: Vec<String> = (0..window).map(|n| format!("r{round}-{n}")).collect();
        let sequences = life.esme.submit("STAT", "1555000", &texts);
        let texts: BTreeMap<u32, String> = sequences.into_iter().zip(texts).collect();
        if troubled {
            until(Duration::from_secs(2), || (!life.relay.is_running()).then_some(()));
            if life.relay.is_running() {
                return Verdict::CannotRun("the submits were not answered".to_string());
            }
            life.relay.reap();
            sleep(DOWN);
        } else {
            sleep(DOWN);
        }
        gather(&life.esme, &texts, &mut receipts);
        if !troubled {
            life.relay.signal(SIGTERM);
            until(Duration::from_secs(5), || (!life.relay.is_running()).then_some(()));
            gather(&life.esme, &texts, &mut receipts);
        }
    }
    record.say("relay: started for good");
    let Some(mut life) = start(&folder, listen, record, None) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let end = Instant::now() + DEADLINE + SLACK;
    while Instant::now() < end {
        sleep(Duration::from_millis(100));
        gather(&life.esme, &BTreeMap::new(), &mut receipts);
    }
    if !life.relay.is_running() || life.esme.heard.lock().unwrap().ended {
        return Verdict::CannotRun("the ESME was not bound to the end".to_string());
    }
    let lost: Vec<&String> = taken.iter().filter(|(id, _)| !receipts.contains_key(*id)).map(|(_, text)| text).collect();
    let submitted = |text: &String| log.lock().unwrap().iter().any(|came| came.text == *text);
    let never = lost.iter().filter(|text| !submitted(text)).count();
    for text in &lost {
        record.say(&format!("lost: {text} was answered with 0 and has no receipt; the SMSC got it: {}", submitted(text)));
    }
    let all = taken.len();
    if all == 0 {
        return Verdict::CannotRun("nothing was taken on".to_string());
    }
    match lost.len() {
        0 => Verdict::Held(format!("each of {all} messages taken on has its receipt")),
        lost => Verdict::Broken(format!("{lost} of {all} messages taken on have no receipt, {never} of them came to no SMSC")),
    }
}
