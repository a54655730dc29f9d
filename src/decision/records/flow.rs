//! A flow of the fair queue: its tags, what is held of it, and what was asked and served.

use super::{MsgId, Nanos};
use crate::decision::interface::Outcome;
use crate::decision::ranks::Ranks;
use std::collections::{BTreeMap, VecDeque};

const LEAST_SEEN: f64 = 5e9; // nanoseconds over which messages are counted at least: fewer tell no rate
const COST_GAIN: f64 = 0.1; // share of a new call's time in the smoothed cost

/// A flow of the fair queue.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub phi: f64,
    pub cost: f64,
    pub last_start: f64,
    pub last_finish: f64,
    /// Start and finish tags of the held messages, in order.
    pub tags: VecDeque<(f64, f64)>,
    /// Those held, in the order in which they came to be.
    pub held: BTreeMap<u64, MsgId>,
    pub(super) next_place: u64,
    pub ranks: Ranks,
    /// Calls out.
    pub out: usize,
    pub calls: f64,
    pub served: f64,
    /// Smoothed messages served a second, for guesses of waiting time.
    pub rate: f64,
    pub done: f64,
    /// Messages taken, older ones counting less, as of `asked_at`.
    pub asked: f64,
    pub asked_at: Nanos,
    /// When the first of those counted was taken that an earlier life left; none did: never.
    pub asked_from: Nanos,
}

impl Flow {
    /// A flow of weight 1 whose calls are taken to cost `cost` until some were seen.
    pub fn new(cost: f64) -> Self {
        Flow {
            phi: 1.0,
            cost,
            last_start: 0.0,
            last_finish: 0.0,
            tags: VecDeque::new(),
            held: BTreeMap::new(),
            next_place: 0,
            ranks: Ranks::default(),
            out: 0,
            calls: 0.0,
            served: 0.0,
            rate: 0.0,
            done: 0.0,
            asked: 0.0,
            asked_at: 0,
            asked_from: Nanos::MAX,
        }
    }

    /// Equations 9 to 11: the last sent message's finish tag as if it had had the new weight, then those held.
    pub fn retag(&mut self, cost: f64, v: f64) {
        let mut finish = self.last_start + cost / self.phi;
        for t in self.tags.iter_mut() {
            let start = v.max(finish);
            finish = start + cost / self.phi;
            *t = (start, finish);
        }
        self.last_finish = finish;
    }

    /// Counts the outcome of a message for the weight and the mean cost.
    pub fn count(&mut self, outcome: Outcome, latency: Nanos) {
        let served = outcome == Outcome::Served;
        if served {
            self.done += 1.0;
            self.cost += COST_GAIN * (latency as f64 - self.cost);
        }
        let tells_nothing = matches!(
            outcome,
            Outcome::Full { .. } | Outcome::Crowded | Outcome::NotSent | Outcome::Spoilt | Outcome::Doubtful
        );
        if !tells_nothing {
            self.calls += 1.0;
            self.served += f64::from(u8::from(served));
        }
    }

    /// Messages taken a second, each fading over `memory`, in what was seen of them since `started`.
    pub fn asked_rate(&self, now: Nanos, started: Nanos, memory: f64) -> f64 {
        let seen = (now.saturating_sub(started.min(self.asked_from)) as f64).max(LEAST_SEEN);
        self.asked(now, memory) / (memory * -(-seen / memory).exp_m1()) * 1e9
    }

    fn asked(&self, now: Nanos, memory: f64) -> f64 {
        self.asked * (-((now - self.asked_at) as f64) / memory).exp()
    }

    pub fn count_taken(&mut self, now: Nanos, memory: f64) {
        (self.asked, self.asked_at) = (self.asked(now, memory) + 1.0, now);
    }

    /// A message counted just now was taken `age` ago, in an earlier life, which left no more than those not served by
    /// then: only those of the shortest span that tells a rate are all that was asked in it.
    pub fn count_older(&mut self, now: Nanos, age: Nanos) {
        self.asked -= f64::from(u8::from(age as f64 > LEAST_SEEN));
        self.asked_from = now.saturating_sub(LEAST_SEEN as Nanos);
    }
}
