//! One relay's core with its journal, a destination that goes down and comes back cold, and discovery: virtual time, seeded,
//! no network.

use crate::fixture::{class, settings};
use crate::folder::Folder;
use basaltloom::attribution::Via;
use basaltloom::routing::core::{Adopts, Batching, Carried, First};
use basaltloom::routing::handover::{Handover, Operated, Operation};
use basaltloom::routing::journal::{Outages, Replayed};
use basaltloom::routing::{Call, Core, Endpoint, EndpointState, EndpointUpdate, Journal, Offer, Reply};
use basaltloom::*;
use bytes::Bytes;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const MS: u64 = 1_000_000;
pub const SEC: u64 = 1_000 * MS;
const START: u64 = 1_000 * SEC;
/// The destination is down from then on...
const DOWN: u64 = START + 8 * SEC;
/// ...and back, cold, from then on.
const BACK: u64 = DOWN + 10 * SEC;
pub const WARM: u64 = BACK + WARM_UP;
pub const DESTINATION: u64 = 1;
pub const OTHER: u64 = 2;
const WARM_UP: u64 = 9 * SEC;
const FALL: u64 = 1_500 * MS;
const COLD_SHARE: f64 = 0.2;
const OVERLOAD_FACTOR: f64 = 2.0;
const ANSWERED_AFTER: u64 = 50 * MS;
const REFUSED_AFTER: u64 = MS;
const TIME_LEFT: u64 = 25 * SEC;
const NEXT_START_AFTER: u64 = 600 * MS;
const BUDGET: u64 = 3_000_000;

/// What differs from world to world.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Discovery tells whole lists where it is odd, else changes.
    pub seed: u64,
    /// Endpoints are separate routes.
    pub apart: bool,
    /// Calls a second that the destination takes when it is warm; messages come at three quarters of that.
    pub capacity: f64,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { seed: 0, apart: false, capacity: 40.0 }
    }
}

pub struct World {
    pub now: u64,
    terms: Terms,
    folder: Folder,
    core: Option<Core>,
    /// Discovery's list, what the relay's configuration has of it, and whether discovery says nothing.
    list: BTreeMap<String, Endpoint>,
    file: Vec<Endpoint>,
    is_silent: bool,
    /// From a start to discovery's first list.
    pub list_after: u64,
    /// The endpoints that refuse connections while the destination is down; none: all that are asked then.
    pub sick: Option<&'static str>,
    /// What becomes of the journal between two processes.
    pub change_folder: fn(&mut Journal),
    out: BTreeMap<(u64, u64), (Call, Outcome)>,
    /// When each call came, for which destination and to which endpoint.
    calls: Vec<(u64, u64, String)>,
    served: usize,
    next_message: u64,
    count: u64,
    dice: ChaCha8Rng,
}

fn endpoint(name: &str, dest: u64, state: EndpointState) -> Endpoint {
    let (name, address) = (name.to_string(), "127.0.0.1:9".parse().unwrap());
    Endpoint { id: 0, name, address, dest, kind: 0, zone: 0, state, share: 1.0, terms: None }
}

/// An endpoint of the destination by a word of a scenario: `+name` is active, `~name` drains and `-name` has left.
fn listed(word: &str) -> Endpoint {
    let state = match word.as_bytes()[0] {
        b'+' => EndpointState::Active,
        b'~' => EndpointState::Leaving,
        _ => EndpointState::Left,
    };
    endpoint(&word[1..], DESTINATION, state)
}

fn journal(folder: &Folder) -> (Journal, Replayed) {
    Journal::open(&folder.0, BUDGET, vec!["c0".to_string()]).unwrap()
}

impl World {
    /// A relay that knows two endpoints of the destination and one of another.
    pub fn new(name: &str, terms: Terms) -> World {
        let folder = Folder::new(&format!("outages-{name}-{}", terms.seed));
        let file = vec![listed("+s1"), listed("+s2"), endpoint("o1", OTHER, EndpointState::Active)];
        let list = file.iter().map(|e| (e.name.clone(), e.clone())).collect();
        let mut world = World {
            now: START,
            terms,
            folder,
            core: None,
            list,
            file,
            is_silent: false,
            list_after: 5 * MS,
            sick: None,
            change_folder: |_| (),
            out: BTreeMap::new(),
            calls: Vec::new(),
            served: 0,
            next_message: START,
            count: 0,
            dice: ChaCha8Rng::seed_from_u64(terms.seed),
        };
        world.start(None);
        world
    }

    fn settings(&self) -> Settings {
        Settings {
            senders: 1,
            slots: 34,
            max_held: 2_000,
            max_attempts: 8,
            classes: vec![Class { deadline: 30 * SEC, ..class(Repeat::Safe) }],
            kinds: vec![Kind { apart: self.terms.apart, per_call: 1 }],
            zone_fee: vec![],
            cold_share: COLD_SHARE,
            warm_up: WARM_UP,
            overload_factor: OVERLOAD_FACTOR,
            fall: FALL,
            key_rest: 0,
            ..settings()
        }
    }

    fn start(&mut self, handover: Option<Handover>) {
        let (journal, replayed) = journal(&self.folder);
        let endpoints = handover.as_ref().map_or(self.file.clone(), |h| h.list.endpoints.clone());
        let known = EndpointUpdate { seq: 1, whole: true, endpoints };
        let first = First { known: &known, batching: Batching::default(), tells_delivery: false };
        let (seed, settings) = (self.dice.next_u64(), self.settings());
        let core = Core::taking_over(settings, seed, journal, replayed, first, handover, self.now);
        self.core = Some(core);
    }

    fn core(&mut self) -> &mut Core {
        self.core.as_mut().expect("the relay runs")
    }

    /// Plays a scenario, steps parted by `;`. Times are in milliseconds: `at` is from the return on, `after` from now on.
    pub fn play(&mut self, scenario: &str) {
        for step in scenario.split(';').map(str::trim).filter(|step| !step.is_empty()) {
            let (verb, words) = step.split_once(' ').unwrap_or((step, ""));
            let ms = || words.parse::<i64>().unwrap() * MS as i64;
            match verb {
                "at" => self.run_until(BACK.saturating_add_signed(ms())),
                "after" => self.run_until(self.now.saturating_add_signed(ms())),
                "list" => self.list(&words.split(' ').map(listed).collect::<Vec<_>>()),
                "silent" => self.is_silent = true,
                "hear" => self.hear_whole_list(),
                "kill" => self.kill_and_start(),
                "upgrade" => self.upgrade(),
                "cordon" => self.operate(Operation::Cordon(words.to_string())),
                "uncordon" => self.operate(Operation::Uncordon(words.to_string())),
                _ => panic!("no step: {step}"),
            }
        }
    }

    /// Discovery lists these endpoints so from now on.
    fn list(&mut self, changed: &[Endpoint]) {
        for endpoint in changed {
            match endpoint.state {
                EndpointState::Left => drop(self.list.remove(&endpoint.name)),
                _ => drop(self.list.insert(endpoint.name.clone(), endpoint.clone())),
            }
        }
        match self.terms.seed % 2 == 1 {
            true => self.hear_whole_list(),
            false => self.learn(false, changed.to_vec()),
        }
    }

    fn learn(&mut self, whole: bool, endpoints: Vec<Endpoint>) {
        let now = self.now;
        self.core().learn(now, &EndpointUpdate { seq: 2, whole, endpoints });
        self.work();
    }

    /// Discovery answers, with its whole list.
    fn hear_whole_list(&mut self) {
        self.is_silent = false;
        self.learn(true, self.list.values().cloned().collect());
    }

    /// The process is killed, and the next one started a moment later. A silent discovery tells it nothing.
    fn kill_and_start(&mut self) {
        self.core = None;
        (self.change_folder)(&mut journal(&self.folder).0);
        self.out.clear();
        self.run_until(self.now + NEXT_START_AFTER);
        self.start(None);
        if !self.is_silent {
            self.run_until(self.now + self.list_after);
            self.hear_whole_list();
        }
    }

    /// Another process takes over.
    fn upgrade(&mut self) {
        let now = self.now;
        let released = self.core().release(now, Some(2), Adopts::AllAttempts);
        let bytes = postcard::to_stdvec(&released.handover).unwrap();
        self.core = None;
        (self.change_folder)(&mut journal(&self.folder).0);
        self.out.clear();
        self.start(Some(postcard::from_bytes(&bytes).unwrap()));
        self.work();
    }

    /// What a next process would know of outages.
    pub fn recorded_outages(&mut self) -> Outages {
        let copy = Folder::new("outages-record");
        std::fs::copy(self.folder.0.join("relay.journal"), copy.0.join("relay.journal")).unwrap();
        journal(&copy).1.outages
    }

    fn operate(&mut self, operation: Operation) {
        let now = self.now;
        assert_eq!(self.core().operate(now, &operation), Operated::Done);
        self.work();
    }

    fn is_down(&self, name: &str, dest: u64) -> bool {
        let is_sick = self.sick.map_or(dest == DESTINATION, |sick| sick == name);
        is_sick && (DOWN..BACK).contains(&self.now)
    }

    /// Carries out what the core wants.
    fn work(&mut self) {
        let now = self.now;
        let work = self.core().work();
        let mut begun = work.adopted;
        for (call, _) in work.calls {
            match self.core().begin(now, &call, Via::default()).is_empty() {
                false => begun.push(call),
                true => self.report(&call, Outcome::NotSent),
            }
        }
        for call in begun {
            let endpoint = self.core().endpoint(call.endpoint).expect("it is listed");
            let (name, dest) = (endpoint.name.to_string(), endpoint.dest);
            let (outcome, after) = match self.is_down(&name, dest) {
                true => (Outcome::NoConnection, REFUSED_AFTER),
                false => (Outcome::Served, ANSWERED_AFTER),
            };
            self.calls.push((now, dest, name));
            self.count += 1;
            self.out.insert((now + after, self.count), (call, outcome));
        }
    }

    fn report(&mut self, call: &Call, outcome: Outcome) {
        let replies: Vec<_> = call.attempts.iter().map(|a| (*a, Reply::Ended(outcome))).collect();
        let now = self.now;
        self.core().report(now, call.endpoint, &Carried::from(replies), MS);
    }

    /// A client hands a message in.
    pub fn hand_in(&mut self, dest: u64) {
        let now = self.now;
        self.count += 1;
        let offer = Offer {
            id: format!("m{}", self.count),
            class: "c0".to_string(),
            dest,
            key: None,
            idempotency: None,
            time_left: TIME_LEFT,
            body: Bytes::from_static(b"x"),
            owner: String::new(),
        };
        let pending = self.core().take(now, offer);
        self.core().answer(now, &pending);
    }

    pub fn run_until(&mut self, until: u64) {
        loop {
            let back = self.out.first_key_value().map_or(u64::MAX, |((at, _), _)| *at);
            let due = self.core.as_ref().map_or(u64::MAX, Core::due).max(self.now);
            let next = self.next_message.min(back).min(due);
            if next >= until {
                self.now = until;
                return;
            }
            self.now = next;
            if next == self.next_message {
                let uniform = (self.dice.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
                let gap = -(1.0 - uniform).ln() / (0.75 * self.terms.capacity);
                self.next_message += (gap * 1e9) as u64;
                if self.core.is_some() {
                    self.hand_in(DESTINATION);
                }
            } else if next == back {
                let (_, (call, outcome)) = self.out.pop_first().expect("a call is out");
                self.served += usize::from(outcome == Outcome::Served);
                self.report(&call, outcome);
            } else {
                self.core().tick(next);
            }
            if self.core.is_some() {
                self.work();
            }
        }
    }

    /// Calls to the endpoints that `is_meant` picks, from one time to another.
    pub fn calls_between(&self, from: u64, to: u64, is_meant: impl Fn(&str) -> bool) -> usize {
        self.calls.iter().filter(|(at, _, name)| (from..to).contains(at) && is_meant(name)).count()
    }

    /// The worst span after the return: calls to some endpoints of the destination, and how many these bear at most within such
    /// a span, where they take so many a second together when they are warm.
    pub fn worst_of(&self, capacity: f64, is_meant: impl Fn(&str) -> bool) -> (usize, f64) {
        let is_meant = |(at, dest, name): &&(u64, u64, String)| {
            (BACK..WARM).contains(at) && *dest == DESTINATION && is_meant(name)
        };
        let at: Vec<u64> = self.calls.iter().filter(is_meant).map(|(at, ..)| *at).collect();
        let spans = at.iter().enumerate().filter(|(_, begin)| **begin + FALL <= WARM);
        let spans = spans.map(|(place, begin)| {
            let count = at[place..].iter().take_while(|at| **at < begin + FALL).count();
            let warm = (begin + FALL - BACK) as f64 / WARM_UP as f64;
            let present = capacity * (COLD_SHARE + (1.0 - COLD_SHARE) * warm);
            let n = OVERLOAD_FACTOR * present * FALL as f64 / 1e9;
            (count, if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 })
        });
        spans.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1))).unwrap_or((0, 1.0))
    }

    /// A quarter of the calls that it could have taken in all of its warming.
    fn least_used(&self) -> usize {
        let mean_share = (1.0 + COLD_SHARE) / 2.0;
        (self.terms.capacity * mean_share * WARM_UP as f64 / 1e9 / 4.0) as usize
    }

    /// Plays a scenario up to the end of the warming, and checks what came to the destination.
    pub fn check(name: &str, scenario: &str, terms: Terms) {
        let mut world = World::new(name, terms);
        world.play(scenario);
        world.check_worst(&format!("seed {}: {scenario}", terms.seed));
    }

    /// Checks that the destination was not pushed over once it was back, and that it was used.
    pub fn check_worst(&self, what: &str) {
        let (count, most) = self.worst_of(self.terms.capacity, |_| true);
        println!("{what}: {count} calls in the worst span, {most:.1} are borne, {} served", self.served);
        assert!(count as f64 <= most, "{what}: {count} calls within {FALL} ns, {most:.1} are borne");
        let used = self.calls_between(BACK, WARM, |_| true);
        assert!(used >= self.least_used(), "{what}: only {used} calls while it warmed up");
    }
}
