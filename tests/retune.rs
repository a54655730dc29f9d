//! Settings that change while messages are open: the decision module and a core with its journal, in virtual time.

mod fixture;
#[path = "fixture/journal.rs"]
mod journal_fixture;

use basaltloom::attribution::Via;
use basaltloom::routing::core::{Batching, Carried, First, Moved, Retuning};
use basaltloom::routing::journal::Record;
use basaltloom::routing::{
    Call, Classes, Core, Endpoint, EndpointState, EndpointUpdate, Journal, Offer, Reply, Taken, Transaction,
};
use basaltloom::*;
use bytes::Bytes;
use fixture::settings;
use journal_fixture::{transaction, Folder};
use std::path::Path;

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
const START: u64 = 100 * SEC;
const BUDGET: u64 = 3_000_000;
/// Too short for an endpoint that is shut.
const WAIT: u64 = 1_500 * MS;
/// Classes of the fixture by their places.
const SAFE: usize = 0;

fn names() -> Vec<String> {
    (0..5).map(|place| format!("c{place}")).collect()
}

fn endpoint(kind: usize) -> Endpoint {
    let address = "127.0.0.1:9".parse().unwrap();
    let (name, state) = ("a".to_string(), EndpointState::Active);
    Endpoint { id: 0, name, address, dest: 5, kind, zone: 0, state, share: 1.0, terms: None }
}

/// A relay's core, with the calls that it wants made and the ends that it has decided.
struct Life {
    core: Core,
    calls: Vec<Call>,
    ended: usize,
}

impl Life {
    fn new(dir: &Path, set: &Settings, names: &[String], now: u64) -> Life {
        let (journal, replayed) = Journal::open(dir, BUDGET, Classes::of(names, set)).unwrap();
        let known = EndpointUpdate { seq: 1, whole: true, endpoints: vec![endpoint(0)] };
        let first = First { known: &known, batching: Batching::default(), tells_delivery: false };
        let core = Core::new(set.clone(), 1, journal, replayed, first, now);
        let mut life = Life { core, calls: Vec::new(), ended: 0 };
        life.take_up();
        life
    }

    fn take_up(&mut self) {
        let work = self.core.work();
        self.calls.extend(work.calls.into_iter().map(|(call, _)| call));
        self.ended += work.ended.len();
        assert!(work.notes.iter().all(|note| !note.event.ends_with("violation")), "{:?}", work.notes);
    }

    fn retune(&mut self, set: &Settings, names: &[String], now: u64) {
        let (kinds, moved) = (&[][..], Moved::default());
        let retuning = Retuning { settings: set, classes: names, kinds, moved, journal_bytes: BUDGET };
        self.core.retune(now, &retuning);
        self.take_up();
    }

    fn hand_in(&mut self, id: &str, class: usize, now: u64) -> Taken {
        let (id, class) = (id.to_string(), format!("c{class}"));
        let (idempotency, key, owner, body) = (None, None, String::new(), Bytes::from_static(b"x"));
        let offer = Offer { id, class, dest: 5, key, idempotency, time_left: 20 * SEC, body, owner };
        let pending = self.core.take(now, offer);
        let taken = self.core.answer(now, &pending).expect("its record is written");
        self.take_up();
        taken
    }

    /// Carries calls with this answer until the time is over; the messages of each.
    fn carry(&mut self, answer: Outcome, mut now: u64, until: u64) -> Vec<String> {
        let mut ids = Vec::new();
        while now < until {
            for call in std::mem::take(&mut self.calls) {
                let letters = self.core.begin(now, &call, Via::default());
                ids.extend(letters.iter().map(|letter| letter.id.clone()));
                let replies = call.attempts.iter().map(|a| (*a, Reply::Ended(answer)));
                self.core.report(now, call.endpoint, &Carried::from(replies.collect::<Vec<_>>()), MS);
            }
            now = self.core.due().clamp(now + MS, until);
            self.core.tick(now);
            self.take_up();
        }
        ids
    }
}

/// Guards attempts of open messages from settings that allow fewer, also where the process is killed or its journal is
/// copied, and newer messages from those that were before.
#[test]
fn open_messages_have_the_attempts_that_they_were_taken_on_with() {
    for (killed, copied) in [(false, false), (true, false), (true, true)] {
        let folder = Folder::new(&format!("attempts-{killed}-{copied}"));
        let (before, after) = (settings(), Settings { max_attempts: 1, ..settings() });
        let mut relay = Life::new(&folder.0, &before, &names(), START);
        assert!(matches!(relay.hand_in("old", SAFE, START), Taken::On(_)));
        relay.retune(&after, &names(), START);
        // Enough of dead records for copies, in which the class of the open one has to be.
        for i in (0..6_000).filter(|_| copied) {
            if let Taken::On(accepted) = relay.hand_in(&format!("m{i}"), SAFE, START) {
                relay.core.withdraw(START, accepted.number());
            }
        }
        if killed {
            drop(relay);
            relay = Life::new(&folder.0, &after, &names(), START + MS);
        }
        assert!(matches!(relay.hand_in("new", SAFE, START + MS), Taken::On(_)));
        let calls = relay.carry(Outcome::Error, START + MS, START + 19 * SEC);
        let count = |id: &str| calls.iter().filter(|called| *called == id).count();
        assert_eq!((count("old"), count("new")), (before.max_attempts as usize, 1), "{killed} {copied}");
    }
}

/// Guards messages that were taken on from settings with less room: none is handed back for that, and newcomers are.
#[test]
fn less_room_takes_nothing_back_that_was_taken_on() {
    let folder = Folder::new("room");
    let (before, after) = (settings(), Settings { max_held: 10, slots: 1, ..settings() });
    let mut relay = Life::new(&folder.0, &before, &names(), START);
    for i in 0..30 {
        assert!(matches!(relay.hand_in(&format!("m{i}"), SAFE, START), Taken::On(_)));
    }
    relay.retune(&after, &names(), START);
    relay.core.tick(START + SEC);
    relay.take_up();
    assert_eq!((relay.core.open(), relay.ended), (30, 0));
    assert!(matches!(relay.hand_in("m99", SAFE, START + SEC), Taken::Refused { full: true, .. }));
    relay.carry(Outcome::Served, START + SEC, START + 15 * SEC);
    assert!(relay.core.open() < 10, "{} are held still", relay.core.open());
    assert!(matches!(relay.hand_in("m100", SAFE, START + 15 * SEC), Taken::On(_)));
}

/// Guards a told wait where a kind's endpoints become routes apart, or share one from then on.
#[test]
fn a_told_wait_holds_where_a_kind_changes() {
    for (from, to) in [(false, true), (true, false)] {
        let kinds = |apart| vec![Kind { apart, per_call: 1 }];
        let mut relay = Relay::new(Settings { kinds: kinds(from), ..settings() }, 7);
        let entry = Entry { host: 0, dest: 5, kind: 0, zone: 0, state: Listing::Ready, scale: 1.0 };
        let listed = || Event::Listed { whole: false, entries: vec![entry] };
        let message = |id| Event::Taken { id, class: SAFE, dest: 5, key: None, time_left: 20 * SEC };
        let is_sent = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::Send { .. }));
        assert!(is_sent(&relay.step(START, &[listed(), message(1)])));
        let outcome = Outcome::Full { wait: WAIT };
        let ended = Event::Ended { id: 1, attempt: 0, outcome, latency: MS, over: false };
        assert!(!is_sent(&relay.step(START + MS, &[ended])));
        let settings = Box::new(Settings { kinds: kinds(to), ..settings() });
        let retuned = Event::Retuned { settings, classes: (0..5).collect() };
        assert!(!is_sent(&relay.step(START + 2 * MS, &[retuned, listed(), message(2)])), "{from} to {to}");
        assert!(!relay.still_open(0, START + MS + WAIT - MS), "{from} to {to}: the wait is forgotten");
        assert!(relay.still_open(0, START + MS + WAIT + 10 * MS));
    }
}

/// Guards journals of versions that knew of no rules: their messages go by the class of their name.
#[test]
fn a_journal_without_rules_goes_by_the_names_of_classes() {
    let folder = Folder::new("names");
    let unnamed = || Journal::open(&folder.0, BUDGET, names()).unwrap();
    for (no, class) in [(1, 0), (2, 4)] {
        let message = transaction(&format!("m{no}"), 1);
        let record = Transaction { class, dest: 5, taken_at: START, deadline: START + 20 * SEC, ..message };
        unnamed().0.write(no, &Record::Taken(&record)).unwrap();
    }
    let mut set = settings();
    set.classes.pop();
    let mut relay = Life::new(&folder.0, &set, &names()[..4], START + MS);
    assert_eq!(relay.ended, 1, "of the class that is gone nothing is known");
    assert_eq!(relay.carry(Outcome::Served, START + MS, START + SEC), ["m1"]);
}
