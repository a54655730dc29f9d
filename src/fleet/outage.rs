//! Whether a partner is down for all, who tries it meanwhile, and the one ramp on which it comes back.

use super::record::{place, Id, Key};
use crate::interface::{Nanos, MS, SEC};
use std::collections::BTreeMap;

/// A success this fresh outweighs what others say.
const FRESH: Nanos = 700 * MS;
/// Those that had any answer within this time count as having tried.
const TRIED: Nanos = 3 * SEC;
/// Between trials of all; doubled by each further fall.
const TRIAL: Nanos = 500 * MS;
const TRIAL_MOST: Nanos = 4 * SEC;
/// Taken for the time from a return to the first call served, at most.
const LAG_MOST: Nanos = 500 * MS;
/// One relay tries for so long, then another: it may be itself that is cut off.
const TURN: Nanos = 3 * SEC;
/// Refusals alone, so many and for so long, are an outage, where a destination of this rate would have served some calls.
const SHUT_REFUSALS: f64 = 3.0;
const SHUT_AFTER: Nanos = 1_500 * MS;
const SHUT_AFTER_MOST: Nanos = 10 * SEC;
const SHUT_CALLS: f64 = 4.0;
/// Falls are forgotten this long after the last.
const FORGETS: Nanos = 60 * SEC;

/// What one relay says of a partner.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub from: Id,
    pub down: bool,
    /// When it last served a call there, by the dealer's clock; 0: never.
    pub served: Nanos,
    /// It sends there, or would.
    pub wants: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    #[default]
    Up,
    Down {
        since: Nanos,
    },
    /// First served again at `since`.
    Warming {
        since: Nanos,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Outage {
    phase: Phase,
    falls: u32,
    fell: Nanos,
    /// Since when each that takes the partner for down has been heard to do so.
    accused: BTreeMap<Id, Nanos>,
    /// Calls refused since the last success, and since when they have been counted.
    refused: f64,
    refused_from: Nanos,
    heard: Nanos,
}

/// What all were refused over the last second, in calls a second, and the rate at which the partner serves when it is up.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals {
    pub rate: f64,
    pub serves: Option<f64>,
    /// They told how long to wait.
    pub told: bool,
}

impl Outage {
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Goes on from where the dealer before it was.
    pub fn adopt(&mut self, phase: Phase, now: Nanos) {
        self.phase = phase;
        if phase != Phase::Up {
            (self.falls, self.fell) = (1, now);
        }
    }

    /// Takes in what all say now. One that is cut off from the partner must not stop the others: it takes two, or all
    /// that tried, and nobody with a fresh success. One that has not called since somebody else was served still says
    /// what it last saw: that counts no more.
    pub fn hear(&mut self, now: Nanos, words: &[Word], refusals: Refusals, warm_up: Nanos) {
        let served = words.iter().map(|w| w.served).max().unwrap_or(0);
        self.accused.retain(|id, _| words.iter().any(|w| w.from == *id && w.down));
        for word in words.iter().filter(|w| w.down) {
            self.accused.entry(word.from).or_insert(now);
        }
        let accuses =
            |w: &&Word| self.accused.get(&w.from).is_some_and(|at| at.saturating_add(FRESH) > served);
        let accusers = words.iter().filter(accuses).count();
        let tried = words.iter().filter(|w| accuses(w) || w.served + TRIED > now && w.served > 0).count();
        let accused = accusers >= tried.clamp(1, 2) && served + FRESH < now;
        let shut = self.shut(now, served, refusals);
        if now > self.fell.saturating_add(FORGETS) {
            self.falls = 0;
        }
        self.phase = match self.phase {
            Phase::Up if accused || shut => self.fall(now),
            Phase::Warming { since } if accused && served < now.saturating_sub(FRESH).max(since) => {
                self.fall(now)
            }
            Phase::Warming { .. } if shut => self.fall(now),
            Phase::Down { since } if served > since => Phase::Warming { since: served },
            Phase::Warming { since } if now >= since.saturating_add(warm_up) => Phase::Up,
            phase => phase,
        };
    }

    /// Whether calls of late were refused and none was served, longer than a limit explains.
    fn shut(&mut self, now: Nanos, served: Nanos, refusals: Refusals) -> bool {
        let passed = now.saturating_sub(self.heard.max(1)).min(SEC) as f64 / SEC as f64;
        if served > self.refused_from || refusals.told || self.heard == 0 {
            (self.refused, self.refused_from) =
                (0.0, now.min(served.max(now.saturating_sub(SHUT_AFTER_MOST))));
        }
        self.heard = now;
        self.refused += refusals.rate * passed;
        let few = refusals.serves.map_or(0, |rate| (SHUT_CALLS / rate * SEC as f64) as Nanos);
        let after = few.clamp(SHUT_AFTER, SHUT_AFTER_MOST);
        self.refused >= SHUT_REFUSALS && now >= self.refused_from.saturating_add(after)
    }

    fn fall(&mut self, now: Nanos) -> Phase {
        (self.falls, self.fell) = (self.falls.saturating_add(1), now);
        Phase::Down { since: now }
    }

    /// Trials a second, of all together.
    pub fn trials(&self) -> f64 {
        let gap = (TRIAL << self.falls.saturating_sub(1).min(8)).min(TRIAL_MOST);
        1e9 / gap as f64
    }

    /// From the return of the partner to the first call served, in the mean.
    pub fn lag(&self) -> Nanos {
        ((0.5e9 / self.trials()) as Nanos).min(LAG_MOST)
    }

    /// The one that tries now, of those that have work for it, else of all.
    pub fn tries(&self, now: Nanos, key: Key, words: &[Word]) -> Option<Id> {
        let round = now / TURN;
        let with_work = words.iter().any(|w| w.wants);
        let fit = words.iter().filter(|w| w.wants || !with_work);
        fit.max_by_key(|w| place(key, w.from, round)).map(|w| w.from)
    }
}

/// Share of what it takes when warm that a partner takes `since` its first answer.
pub fn warmth(cold_share: f64, warm_up: Nanos, now: Nanos, since: Nanos) -> f64 {
    let passed = now.saturating_sub(since) as f64 / warm_up.max(1) as f64;
    cold_share + (1.0 - cold_share) * passed.min(1.0)
}
