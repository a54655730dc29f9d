//! SMSCs that answer many times slower for a while: what becomes of the messages to them, by binds and windows.

use crate::rig::{copies, Esme, Rig, SmppTerms, SECOND};
use std::collections::BTreeMap;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What an answer takes as a rule.
const PACE: Duration = Duration::from_millis(300);
const BEFORE: Duration = Duration::from_secs(4);
const SLOW: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(10);
/// Between two messages.
const EACH: Duration = Duration::from_millis(400);
/// Within this time a message is wanted.
const AIM: Duration = Duration::from_secs(2);

/// What came of a run.
#[derive(Debug)]
#[allow(dead_code)]
struct Outcome {
    messages: usize,
    delivered: usize,
    in_time: usize,
    submits: usize,
    copies: usize,
    binds_opened: usize,
}

/// Hands messages in while the SMSC is as a rule, slow twice in a row, and as a rule again.
fn run(binds: usize, window: usize, slower: u32) -> Outcome {
    let rig = Rig::with(SmppTerms { time: Duration::from_secs(28), binds, window });
    let _process = rig.start();
    let mut esme = rig.esme();
    let (from, mut handed_in) = (Instant::now(), BTreeMap::new());
    while from.elapsed() < BEFORE + SLOW + AFTER {
        let since = from.elapsed().saturating_sub(BEFORE);
        // For a second in the middle it answers as a rule.
        let is_slow = (1..15).contains(&since.as_secs()) && since.as_secs() != 7;
        rig.smscs[0].takes(if is_slow { PACE * slower } else { PACE });
        let number = handed_in.len();
        // Each message has a key of its own.
        let sequence = esme.submit("STAT", &format!("1{number}"), &format!("m{number}"));
        handed_in.insert(sequence, Instant::now());
        sleep(EACH);
    }
    esme.hears(30 * SECOND, |heard| heard.receipts.len() >= handed_in.len());
    let (delivered, in_time) = deliveries(&esme, &handed_in);
    let (submits, copies) = rig.submits.tell(|all| (all.len(), copies(all).len()));
    let binds_opened = rig.smscs[0].opened();
    Outcome { messages: handed_in.len(), delivered, in_time, submits, copies, binds_opened }
}

/// Messages that were delivered, and those that were within the time in which they are wanted.
fn deliveries(esme: &Esme, handed_in: &BTreeMap<u32, Instant>) -> (usize, usize) {
    esme.heard.tell(|heard| {
        let at = |id: &String| heard.receipts.iter().find(|r| r.0 == *id && r.1 == "DELIVRD").map(|r| r.2);
        let answers = heard.answers.iter();
        let took = answers.filter_map(|(sequence, _, id)| Some(at(id)? - *handed_in.get(sequence)?));
        let took: Vec<Duration> = took.collect();
        (took.len(), took.iter().filter(|took| **took <= AIM).count())
    })
}

/// Guards messages to a slow SMSC from a second submit beside the first one, and those on the same binds from the loss of their
/// answers. `BASALTLOOM_SLOW_SMSC=all` plays all binds, windows and paces.
#[test]
fn a_slow_smsc_has_one_submit_of_a_message_and_its_binds_last() {
    let all = std::env::var("BASALTLOOM_SLOW_SMSC").is_ok_and(|which| which == "all");
    let (binds, windows, paces) =
        if all { (&[1, 2, 8][..], &[1, 10][..], &[5, 20][..]) } else { (&[1][..], &[10][..], &[20][..]) };
    let mut runs = Vec::new();
    for (binds, window) in binds.iter().flat_map(|b| windows.iter().map(|w| (*b, *w))) {
        runs.extend(
            paces.iter().map(|p| (binds, window, *p)).map(|(b, w, p)| (b, w, p, spawn(move || run(b, w, p)))),
        );
    }
    let mut broken = Vec::new();
    for (binds, window, slower, run) in runs {
        let outcome = run.join().unwrap();
        let row = format!("binds {binds}, window {window}, {slower} times slower: {outcome:?}");
        println!("{row}");
        let is_lost = window * binds > 1 && outcome.delivered < outcome.messages;
        broken.extend(Some(row).filter(|_| outcome.copies > 0 || is_lost));
    }
    assert!(broken.is_empty(), "second submits, or messages that were not delivered: {broken:#?}");
}
