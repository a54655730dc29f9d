//! What a restarted relay does with the messages that its journal holds. A core with a journal in virtual time, seeded;
//! no network.

mod fixture;

use basaltloom::attribution::Via;
use basaltloom::routing::core::{Batching, Carried, First};
use basaltloom::routing::{
    Call, Core, Endpoint, EndpointState, EndpointUpdate, Journal, Offer, Reply, Taken,
};
use basaltloom::*;
use bytes::Bytes;
use fixture::settings;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
const START: u64 = 100 * SEC;
const ANSWER: u64 = 80 * MS;
/// The destination takes a call each so often, and tells others to wait.
const SERVES_EACH: u64 = 400 * MS;
const TIME_LEFT: u64 = 18 * SEC;
/// The class of which a destination drops repeats.
const KEYED: usize = 1;
/// The class of newcomers: a call for one of them earns more.
const WORTH_MORE: usize = 0;
const RESTORED: usize = 24;

fn hop() -> Endpoint {
    let address = "127.0.0.1:9".parse().unwrap();
    let (name, state) = ("a".to_string(), EndpointState::Active);
    Endpoint { id: 0, name, address, dest: 5, kind: 0, zone: 0, state, share: 1.0, terms: None }
}

fn folder(name: &str, seed: u64) -> PathBuf {
    let path = std::env::temp_dir().join(format!("basaltloom-restart-{}-{name}-{seed}", std::process::id()));
    std::fs::remove_dir_all(&path).ok();
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn offer(id: String, class: usize) -> Offer {
    let class = format!("c{class}");
    let (idempotency, key) = (None, None);
    let (body, owner) = (Bytes::from_static(b"x"), String::new());
    Offer { id, class, dest: 5, key, idempotency, time_left: TIME_LEFT, body, owner }
}

/// A relay of six, with its endpoint and what its journal holds.
fn core(dir: &std::path::Path, seed: u64, now: u64) -> Core {
    let classes: Vec<String> = (0..5).map(|i| format!("c{i}")).collect();
    let (journal, replayed) = Journal::open(dir, 3_000_000, classes).unwrap();
    let known = EndpointUpdate { seq: 1, whole: true, endpoints: vec![hop()] };
    let first = First { known: &known, batching: Batching::default(), tells_delivery: false };
    let mut set = Settings { senders: 6, max_held: 400, ..settings() };
    let newcomers = &mut set.classes[WORTH_MORE];
    (newcomers.worth, newcomers.aim, newcomers.late_worth) = (5.0, SEC / 2, 0.0);
    Core::new(set, seed, journal, replayed, first, now)
}

/// Messages by their ids, with the times of their first calls since the restart.
type Called = BTreeMap<String, u64>;

/// A relay holds messages for a destination that went down, is killed, and runs on after the restart with newcomers at
/// this interval.
fn first_calls_after_a_restart(name: &str, seed: u64, newcomers_each: Option<u64>) -> Called {
    let dir = folder(name, seed);
    let mut before = core(&dir, seed, START);
    for i in 0..RESTORED {
        let pending = before.take(START, offer(format!("old{i}"), KEYED));
        assert!(matches!(before.answer(START, &pending), Some(Taken::On(_))));
    }
    // Nothing was begun: the first that could have gone met a connection that never came up.
    let calls: Vec<Call> = before.work().calls.into_iter().map(|(call, _)| call).collect();
    for call in &calls {
        let each = call.attempts.iter().map(|a| (*a, Reply::Ended(Outcome::NoConnection)));
        before.report(START + MS, call.endpoint, &Carried::from(each.collect::<Vec<_>>()), MS);
    }
    drop(before);

    let mut now = START + SEC;
    let mut relay = core(&dir, seed + 1, now);
    let (mut called, mut out) = (Called::new(), BTreeMap::<u64, Vec<Call>>::new());
    let mut next_newcomer = newcomers_each.map_or(u64::MAX, |each| now + each);
    let (mut count, mut served_at) = (0, 0);
    loop {
        for (call, _) in relay.work().calls {
            for letter in relay.begin(now, &call, Via::default()) {
                called.entry(letter.id).or_insert(now);
            }
            out.entry(now + ANSWER).or_default().push(call);
        }
        let back = out.first_key_value().map_or(u64::MAX, |(at, _)| *at);
        let next = back.min(relay.due()).min(next_newcomer);
        if next >= START + TIME_LEFT {
            break;
        }
        now = now.max(next);
        if now == next_newcomer {
            count += 1;
            let pending = relay.take(now, offer(format!("new{count}"), WORTH_MORE));
            assert!(relay.answer(now, &pending).is_some());
            next_newcomer = now + newcomers_each.unwrap();
        } else if now == back {
            for call in out.remove(&back).unwrap() {
                let outcome = match now < served_at + SERVES_EACH {
                    true => Outcome::Full { wait: served_at + SERVES_EACH - now },
                    false => Outcome::Served,
                };
                served_at = if outcome == Outcome::Served { now } else { served_at };
                let each = call.attempts.iter().map(|a| (*a, Reply::Ended(outcome)));
                relay.report(now, call.endpoint, &Carried::from(each.collect::<Vec<_>>()), ANSWER);
            }
        } else {
            relay.tick(now);
        }
    }
    std::fs::remove_dir_all(dir).ok();
    called
}

fn restored(called: &Called) -> BTreeSet<&String> {
    called.keys().filter(|id| id.starts_with("old")).collect()
}

/// Guards messages that a restart finds untried, for a destination that was sick: they were given up without a call since
/// the first trial was planned before the relay knew what it holds.
#[test]
fn a_restart_tries_a_sick_destination_as_soon_as_what_it_holds_allows() {
    let few: Vec<u64> = (0..40)
        .filter(|seed| 2 * restored(&first_calls_after_a_restart("trial", *seed, None)).len() <= RESTORED)
        .collect();
    assert!(few.is_empty(), "at most half were called with seeds {few:?}");
}

/// Guards messages that a restart finds untried from those that come after it: they were passed over until their time
/// was up.
#[test]
fn a_restart_calls_for_what_it_found_before_newcomers() {
    let few: Vec<(u64, usize)> = (0..40)
        .map(|seed| (seed, restored(&first_calls_after_a_restart("newcomers", seed, Some(250 * MS))).len()))
        .filter(|(_, called)| 2 * called <= RESTORED)
        .collect();
    assert!(few.is_empty(), "at most half were called with (seed, calls) {few:?}");
}
