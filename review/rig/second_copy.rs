//! A partner's SMSC answers many times slower than it does as a rule. A submit that is out is answered late; none of the same
//! message may go out before that, as long as its bind is open.

use crate::base::*;
use crate::smpp::{operator_file, smsc, Came, Esme, Log};
use std::collections::BTreeMap;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What an answer takes at a partner of usual pace, and how many times that while the partner is slow.
const PACE: Duration = Duration::from_millis(300);
const SLOWER: u32 = 20;
const BEFORE: Duration = Duration::from_secs(10);
const SLOW: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(15);
/// Between two rounds of five messages, of which the last is for the partner that becomes slow.
const EACH: Duration = Duration::from_millis(500);
/// By so much each time limit is longer on sockets: a submit that is over by then counts as over.
const SLACK: Duration = Duration::from_millis(50);

pub fn run(record: &Record) -> Verdict {
    let (folder, log, listen) = (Folder::new(), Log::default(), free_address());
    std::fs::create_dir_all(folder.0.join("state")).unwrap();
    let (from, troubled) = (Instant::now(), is_troubled());
    let is_slow = move || troubled && (BEFORE..BEFORE + SLOW).contains(&from.elapsed());
    let sound = smsc("smsc-1", log.clone(), record.clone(), |_| PACE);
    let struck = smsc("smsc-2", log.clone(), record.clone(), move |_| if is_slow() { PACE * SLOWER } else { PACE });
    folder.file("relay.conf", &operator_file(listen, "28s", &[("carrier-1", sound, 1), ("carrier-2", struck, 2)]));
    let variables = [("LB_NAME", "n0".to_string()), ("LB_STATE", folder.0.join("state").display().to_string())];
    let mut relay = Process::start(&folder, &format!("--operator {}", folder.0.join("relay.conf").display()), &variables);
    let Some(mut esme) = until(Duration::from_secs(8), || Esme::bind(listen, "lakeclub", record, |_, _| ())) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let mut number = 0;
    while from.elapsed() < BEFORE + SLOW + AFTER {
        esme.submit("STAT", "1555000", &[0, 1, 2, 3].map(|n| format!("one-{number}-{n}")));
        esme.submit("STAT", "2555000", &[format!("two-{number}")]);
        number += 1;
        sleep(EACH);
    }
    sleep(Duration::from_secs(8));
    if !relay.is_running() || esme.heard.lock().unwrap().ended {
        return Verdict::CannotRun("the ESME was not bound to the end".to_string());
    }
    let log = log.lock().unwrap();
    let mut by_text: BTreeMap<&str, Vec<&Came>> = BTreeMap::new();
    log.iter().for_each(|came| by_text.entry(&came.text).or_default().push(came));
    let (mut copies, mut both_ran) = (0, 0);
    for (text, attempts) in &by_text {
        let pairs = attempts.windows(2);
        let over = |came: &Came| [came.answered, came.lost].into_iter().flatten().min();
        let second = pairs.filter(|pair| over(pair[0]).is_none_or(|over| pair[1].at + SLACK < over)).count();
        if second > 0 {
            copies += 1;
            both_ran += usize::from(attempts.iter().filter(|came| came.answered.is_some()).count() > 1);
            let first = attempts[0];
            let ms = |came: &Came| came.at.duration_since(first.at).as_millis();
            let went: Vec<_> = attempts.iter().map(|came| format!("{} ms on bind {}", ms(came), came.bind)).collect();
            let over = first.answered.map_or("never answered".to_string(), |at| format!("answered at {} ms", at.duration_since(first.at).as_millis()));
            record.say(&format!("second copy: {text} was submitted at {}; the first one was {over}", went.join(", ")));
        }
    }
    let all = by_text.len();
    if all < 100 {
        return Verdict::CannotRun(format!("only {all} messages went out"));
    }
    match copies {
        0 => Verdict::Held(format!("each of {all} messages had one submit out at most")),
        _ => Verdict::Broken(format!("{copies} of {all} messages had a second submit out beside one on an open bind; {both_ran} were answered with 0 twice")),
    }
}
