//! All decisions of the relay, without I/O or clock: `interface` says what it is told and asks for, `records` holds
//! what it remembers. One file a concern: `release` (who goes next, the gate of every send), `worth` (and giving up),
//! `health` (of hosts), `outages` (of routes), `pace` (limits, waits, cold returns), `live` (what only real sockets need).

#[cfg(test)]
mod by_hand;
pub mod end_margin;
mod health;
pub mod interface;
mod live;
mod outages;
mod pace;
mod ranks;
mod records;
mod release;
mod retune;
pub mod table;
mod turns;
pub mod views;
mod worth;

pub use records::Knowledge;

use interface::*;
use records::*;
use release::INTERVAL;
use std::collections::BTreeMap;
use std::sync::Arc;

const PATROL: Nanos = 250 * MS; // most between steps while anything is held: risks fade without an event

/// The decision module of one relay.
#[derive(Debug)]
pub struct Relay {
    pub(crate) set: Settings,
    /// The rules of classes by their numbers: those in force, and those of messages of an earlier life.
    rules: BTreeMap<usize, Arc<MessageRules>>,
    /// Messages that may be held: more than the settings say while those that were held before there was less room last.
    held_most: usize,
    dice: Dice,
    now: Nanos,
    pub(crate) book: Book,
    slowness: f64,
    mean_cost: f64,
    actions: Vec<Action>,
}

impl Relay {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mean_cost = settings.classes.iter().map(|c| c.aim as f64).fold(0.0, f64::max);
        let (book, actions) = (Book::default(), Vec::new());
        let rules = (0..settings.classes.len()).filter_map(|place| {
            let rules = settings.rules_of(place)?;
            Some((place, Arc::new(rules)))
        });
        let (rules, held_most) = (rules.collect(), settings.max_held);
        let dice = Dice(seed);
        Relay { set: settings, rules, held_most, dice, now: 0, book, slowness: 1.0, mean_cost, actions }
    }

    /// Takes in what happened at `now` and returns what to do. One step is one batch: its sends to one
    /// host share calls as far as its kind allows.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.book.next_interval == 0 {
            (self.book.started, self.book.next_interval) = (self.now, self.now + INTERVAL);
            self.actions.extend(self.set.must_subscribe.then_some(Action::Subscribe));
        }
        for e in events {
            match e {
                Event::Listed { whole, entries } => self.listed(*whole, entries),
                Event::Taken { id, class, dest, key, time_left } => {
                    self.taken(*id, *class, *dest, key.clone(), *time_left)
                }
                Event::Ended { id, attempt, outcome, latency, over } => {
                    self.ended(*id, *attempt, *outcome, *latency, *over)
                }
                Event::Withdrawn { id } => self.forget(*id),
                rare => self.rare(rare),
            }
            self.review_outages();
        }
        if self.now >= self.book.next_interval {
            self.reweigh();
        }
        self.watch_silence();
        self.review_outages();
        self.end_hopeless();
        self.make_room();
        self.release();
        self.wind_up();
        self.plan_wake();
        std::mem::take(&mut self.actions)
    }

    /// Asks for the next step at the first time at which something may fall due.
    fn plan_wake(&mut self) {
        if self.book.messages.is_empty() && self.book.attempts.is_empty() {
            return;
        }
        let mut due = vec![self.now + PATROL, self.book.next_end, self.book.turns.due()];
        due.extend(self.book.calls.values().map(|c| self.silent_at(c)));
        // Without a free slot those that could go wait for a call to end.
        if self.book.calls.len() < self.set.slots {
            let open = self.book.turns.open().filter(|d| self.book.calls_to_dest(*d) < self.cap(*d));
            due.extend(open.flat_map(|d| self.book.hosts_of(d)).map(|h| self.ready_at(*h)));
        }
        let next = due.into_iter().filter(|t| *t > self.now).min().unwrap_or(0).max(self.now + MS);
        // A clock may round a wake-up to just before its time: one so near counts as come.
        if self.book.wake <= self.now + MS || next < self.book.wake {
            self.book.wake = next;
            self.actions.push(Action::Wake { at: next });
        }
    }
}
