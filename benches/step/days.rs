//! Seeded random days for the module, with all that it can be told: outages, refusals, waits, keys, lists, batches,
//! restarts of messages, a planned end.

use super::fixture;
use basaltloom::*;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashMap};

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
const DESTS: u64 = 24;
const HOSTS: u32 = 40;
const STEPS: u64 = 4_000;

fn settings(seed: u64) -> Settings {
    let mut set = fixture::settings();
    set.slots = 8 + (seed % 3) as usize * 8;
    set.max_held = 60 + (seed % 4) as usize * 100;
    set.may_cancel = seed.is_multiple_of(2);
    set.limits = if seed.is_multiple_of(3) { Limits::Unlisted } else { Limits::Rough };
    set.late = if seed.is_multiple_of(5) { Late::Halves } else { Late::Even };
    set.classes[2].in_order = true;
    set.classes[3].in_order = true;
    set.kinds[2].per_call = 5;
    set
}

struct Day {
    dice: ChaCha8Rng,
    relay: Relay,
    now: u64,
    next: u64,
    attempts: HashMap<u64, u32>,
    /// By the time at which it ends: the message, its attempt, its host and when it was sent.
    out: BTreeMap<(u64, u64), (u32, u32, u64)>,
    /// Until when a host is out, and how it fails.
    trouble: HashMap<u32, (u64, Outcome)>,
    hash: u64,
}

impl Day {
    fn below(&mut self, n: u64) -> u64 {
        u64::from(self.dice.next_u32()) % n.max(1)
    }

    fn note(&mut self, words: &[u64]) {
        if std::env::var_os("STEP_TRACE").is_some() {
            println!("{} {words:?}", self.now);
        }
        for word in words {
            self.hash = (self.hash ^ word).wrapping_mul(0x0000_0100_0000_01B3).rotate_left(23);
        }
    }

    fn entry(&mut self, host: u32) -> Entry {
        // A few hosts change their destination in mid-day.
        let moved = u64::from(self.below(200) == 0);
        let dest = (u64::from(host) + moved) % DESTS;
        let state = match self.below(20) {
            0 => Listing::Draining,
            1 => Listing::Gone,
            _ => Listing::Ready,
        };
        let scale = 1.0 + (host % 5) as f64;
        Entry { host, dest, kind: (dest % 3) as usize, zone: (host % 2) as usize, state, scale }
    }

    fn outcome(&mut self, host: u32) -> Outcome {
        if let Some((_, outcome)) = self.trouble.get(&host).filter(|(until, _)| *until > self.now) {
            return *outcome;
        }
        match self.below(60) {
            0 => Outcome::Broken,
            1 => Outcome::Error,
            2 => Outcome::Spoilt,
            3 => Outcome::NotSent,
            4 => Outcome::Full { wait: self.below(2_500) * MS },
            _ => Outcome::Served,
        }
    }

    fn events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let due: Vec<_> = self.out.range(..=(self.now, u64::MAX)).map(|(k, v)| (*k, *v)).collect();
        for ((at, id), (attempt, host, sent)) in due {
            self.out.remove(&(at, id));
            let outcome = self.outcome(host);
            let (latency, over) = (self.now - sent, outcome == Outcome::Served);
            if self.below(100) == 0 {
                events.push(Event::Echo { id, attempt });
            }
            if self.below(50) == 0 {
                events.push(Event::Idled { id, attempt, idle: self.below(9_000) * MS });
            }
            events.push(Event::Ended { id, attempt, outcome, latency, over });
        }
        // Loads come and go, so that slots, places and hosts are short at times.
        let load = if (self.now / (8 * SEC)).is_multiple_of(2) { 3 } else { 1 };
        for _ in 0..self.below(load * 2) {
            let (id, class) = (self.next, self.below(5) as usize);
            self.next += 1;
            let dest = self.below(DESTS).min(self.below(DESTS));
            let key = (self.below(2) == 0).then(|| format!("k{}", self.below(12)));
            let time_left = if self.below(4) == 0 { (500 + self.below(9_000)) * MS } else { 20 * SEC };
            self.attempts.insert(id, 0);
            if self.below(25) == 0 {
                let attempts = self.below(5) as u32;
                self.attempts.insert(id, attempts);
                let may_have_run =
                    (self.below(2) == 0).then(|| (self.below(4_000) * MS, self.below(2) as usize));
                events.push(Event::Restored { id, class, dest, key, time_left, attempts, may_have_run });
            } else {
                events.push(Event::Taken { id, class, dest, key, time_left });
            }
            events.push(Event::Travels { id, bytes: 50 + self.below(200) as usize, group: usize::MAX });
        }
        self.rare(&mut events);
        events
    }

    fn rare(&mut self, events: &mut Vec<Event>) {
        let host = self.below(u64::from(HOSTS)) as u32;
        let old = self.next.saturating_sub(1 + self.below(60));
        match self.below(400) {
            0..=3 => {
                let entries = (0..1 + self.below(4)).map(|_| {
                    let host = self.below(u64::from(HOSTS)) as u32;
                    self.entry(host)
                });
                let entries = entries.collect();
                events.push(Event::Listed { whole: false, entries });
            }
            4 => {
                let entries = (0..HOSTS).map(|h| self.entry(h)).collect();
                events.push(Event::Listed { whole: true, entries });
            }
            5..=12 => {
                let how = [
                    Outcome::TimedOut,
                    Outcome::NoConnection,
                    Outcome::Error,
                    Outcome::Broken,
                    Outcome::Full { wait: 0 },
                    Outcome::Full { wait: 700 * MS },
                    Outcome::Full { wait: 5 * SEC },
                ][self.below(7) as usize];
                let until = self.now + (200 + self.below(7_000)) * MS;
                self.trouble.insert(host, (until, how));
            }
            13 => events.push(Event::Reported { host, limit: self.below(40) as f64, left: Some(0.5) }),
            14 => {
                let most_out = 1 + self.below(6) as usize;
                let terms = Terms { most_out, weight: 1, backup: self.below(4) == 0, ..Terms::default() };
                events.push(Event::Terms { host, terms });
            }
            15 => {
                let call = CallTerms {
                    messages: 1 + self.below(6) as usize,
                    bytes: 300 + self.below(2_000) as usize,
                    unsafe_shares: self.below(2) == 0,
                    by_message: self.below(2) == 0,
                };
                events.push(Event::Shares { host, call });
            }
            16 => events.push(Event::Waits { host, wait: self.below(3_000) * MS }),
            17 => events.push(Event::EndpointOut { host, last_call: None, rate: 0.0 }),
            18..=20 => events.push(Event::Withdrawn { id: old }),
            21 => events.push(Event::Rejected { id: old }),
            22 => events.push(Event::Spent { id: old }),
            23 => events.push(Event::Settled { id: old }),
            _ => {}
        }
    }

    fn step(&mut self, events: &[Event]) {
        for action in self.relay.step(self.now, events) {
            match action {
                Action::Send { id, host, timeout } => {
                    self.note(&[1, id, u64::from(host), timeout]);
                    let Some(attempt) = self.attempts.get_mut(&id) else { continue };
                    let this = *attempt;
                    *attempt += 1;
                    let mut takes = (20 + self.below(400)) * MS;
                    if self.below(150) == 0 {
                        takes = 4 * SEC;
                    }
                    let silent =
                        self.trouble.get(&host).is_some_and(|t| t.0 > self.now && t.1 == Outcome::TimedOut);
                    let takes = if silent { timeout } else { takes.min(timeout) };
                    self.out.insert((self.now + takes, id), (this, host, self.now));
                }
                Action::Cancel { id, attempt } => {
                    self.note(&[2, id, u64::from(attempt)]);
                    let found = self.out.iter().find(|((_, m), (a, ..))| *m == id && *a == attempt);
                    if let Some((key, value)) = found.map(|(k, v)| (*k, *v)) {
                        self.out.remove(&key);
                        self.out.insert((self.now + MS, id), value);
                    }
                }
                Action::Refuse { id, come_back } => self.note(&[3, id, come_back]),
                Action::Fail { id } => self.note(&[4, id]),
                Action::Close { host } => self.note(&[5, u64::from(host)]),
                Action::Log(text) => {
                    let words: Vec<u64> = text.bytes().map(u64::from).collect();
                    self.note(&words);
                }
                // When it wants to be woken may differ; what it does when it is may not.
                Action::Wake { .. } => {}
                Action::Subscribe => self.note(&[6]),
            }
        }
    }
}

/// What the module did on the day of this seed.
pub fn digest(seed: u64) -> u64 {
    let mut day = Day {
        dice: ChaCha8Rng::seed_from_u64(seed),
        relay: Relay::new(settings(seed), seed),
        now: SEC,
        next: 0,
        attempts: HashMap::new(),
        out: BTreeMap::new(),
        trouble: HashMap::new(),
        hash: seed,
    };
    if seed.is_multiple_of(4) {
        day.relay.settle_later();
    }
    let entries = (0..HOSTS).map(|h| day.entry(h)).collect();
    day.step(&[Event::Listed { whole: true, entries }]);
    for n in 0..STEPS {
        day.now += (1 + day.below(20)) * MS;
        if n == STEPS - 200 && seed.is_multiple_of(3) {
            let at = day.now + SEC;
            day.step(&[Event::Closing { at }]);
        }
        let mut events = day.events();
        events.push(Event::Woken);
        day.step(&events);
    }
    let held = day.relay.held() as u64;
    day.note(&[held]);
    day.hash
}
