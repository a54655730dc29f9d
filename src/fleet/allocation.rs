//! The allocator of one destination: what there is to be had there, by its rate, its outage or its ramp, and how much of
//! it each relay is to have that pledged its part.

use super::destination::SPAN;
use super::learner::{Learner, Seen};
use super::outage::{warmth, Outage, Phase, Refusals, Word};
use super::parts::by_demand;
use super::pledges::{Dealer, WHOLE};
use super::record::{Id, Key, Tells};
use super::together::{Terms, EACH};
use crate::interface::{Nanos, MS, SEC};
use std::collections::BTreeMap;

/// Calls a second of a whole part while the destination has told all to wait.
pub const HELD: f64 = 1e-3;
/// A wait shorter than this is over before it is heard of.
const WAIT: u32 = 100;
/// Of what a destination on its way back takes, after more than this share was refused.
const COLD_REFUSED: f64 = 0.05;
const COLD_CUT: f64 = 0.85;
/// What was cut comes back in so many seconds.
const COLD_REGROWS: f64 = 8.0;
/// Of the ramp at most, where nothing is refused on it.
const COLD_MOST: f64 = 1.15;
/// Its growth a second where all of it is served, and where its rate was never known.
const COLD_GROWTH: f64 = 0.5;
const COLD_GUESSED: f64 = 1.0;
/// Of what is dealt out, so much served is all.
const USED: f64 = 0.85;
/// Calls a second of all on the ramp, at least: so few are no load.
const COLD_LEAST: f64 = 1.0;
/// A destination that served no call for so long may be out: its refusals are then no limit.
const SERVES: Nanos = 500 * MS;

/// What the allocator of a destination knows of it, and whom it grants how much.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    pub dealer: Dealer,
    learner: Learner,
    pub outage: Outage,
    pool: u32,
    /// Of the ramp, after refusals on it.
    eased: f64,
    eased_at: Nanos,
    pub whole: f64,
    pub wanted: BTreeMap<Id, u32>,
}

/// What all that tell of a destination say of it, taken together. Rates are calls a second over the last second.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    words: Vec<Word>,
    wants: BTreeMap<Id, f64>,
    served: f64,
    refused: f64,
    best: f64,
    /// Served to those that go their own way.
    apart: f64,
    /// The limit that is told; 0: none.
    limit: f64,
    /// Somebody was refused for want of room not long ago.
    limited: bool,
    /// The destination has told them to wait.
    held: bool,
    served_last: Nanos,
}

impl Summary {
    /// Of each that tells: who, when it was heard, and what it said. `pledged`: those that go by the allocator.
    pub fn of(now: Nanos, tellers: &[(Id, Nanos, &Tells)], pledged: &[Id]) -> Summary {
        let words: Vec<Word> = tellers
            .iter()
            .map(|(id, at, t)| Word {
                from: *id,
                down: t.down,
                served: t.served_ago.map_or(0, |ago| at.saturating_sub(u64::from(ago) * MS).max(1)),
                wants: t.wanted > 0.0,
            })
            .collect();
        // What goes to those that go their own way is not to be dealt out.
        let apart = tellers.iter().filter(|(id, ..)| !pledged.contains(id));
        let apart: f64 = apart.map(|(_, _, t)| f64::from(t.served)).sum();
        let sum = |f: fn(&Tells) -> f32| tellers.iter().map(|(_, _, t)| f64::from(f(t))).sum::<f64>();
        let (served, refused, best) = (sum(|t| t.served), sum(|t| t.refused), sum(|t| t.best));
        // One relay that tells a wrong limit is outvoted.
        let mut limits: Vec<f32> = tellers.iter().map(|(_, _, t)| t.limit).filter(|l| *l > 0.0).collect();
        limits.sort_unstable_by(f32::total_cmp);
        let limit = limits.get(limits.len() / 2).map_or(0.0, |l| f64::from(*l));
        let limited = tellers.iter().any(|(_, _, t)| t.limited);
        let waits = tellers.iter().filter(|(_, _, t)| t.wait > WAIT).count();
        let active = words.iter().filter(|w| w.served > 0 || w.down).count();
        let served_last = words.iter().map(|w| w.served).max().unwrap_or(0);
        let held = waits > 0 && waits >= active.clamp(1, 2) && served_last + 7 * WAIT as u64 * MS < now;
        let wants: BTreeMap<Id, f64> = tellers.iter().map(|(id, _, t)| (*id, f64::from(t.wanted))).collect();
        Summary { words, wants, served, refused, best, apart, limit, limited, held, served_last }
    }
}

impl Allocation {
    /// One that goes on from where the allocator before it was.
    pub fn new(now: Nanos, phase: Phase) -> Allocation {
        let mut allocation = Allocation { eased: 1.0, ..Allocation::default() };
        allocation.outage.adopt(phase, now);
        allocation
    }

    /// What there is now, and who is to have how much of it. `found`: the rate that the allocator before it went by.
    pub fn allocate(&mut self, now: Nanos, key: Key, terms: Terms, all: Summary, found: f64) {
        let Summary { words, wants, served, refused, best, apart, limit, limited, held, served_last } = all;
        let pool = self.dealer.pool(now).min(WHOLE);
        if pool == 0 {
            return;
        }
        let of_pool = f64::from(pool) / f64::from(WHOLE);
        // What the one before it went by, as far as it is pledged where a limit is told.
        if found > 0.0 && self.pool == 0 {
            self.learner.set(now, if limit > 0.0 { found.min(limit) * of_pool } else { found });
        }
        let before = self.outage.phase();
        let refusals = Refusals { rate: refused, serves: self.learner.rate(), told: held };
        self.outage.hear(now, &words, refusals, terms.warm_up);
        let phase = self.outage.phase();
        match (before, phase) {
            (Phase::Up, Phase::Down { .. }) => self.learner.recall(served_last),
            // What was refused before its return says nothing of the ramp.
            (Phase::Down { .. }, Phase::Warming { since }) => {
                (self.eased, self.eased_at) =
                    (self.eased.min(1.0), self.eased_at.max(since.saturating_sub(SPAN)));
            }
            _ => {}
        }
        // Parts of a limit that is told are the pledged ones; what others left may be claimed as nothing is refused.
        if limit > 0.0 && self.pool > 0 && pool != self.pool {
            if let Some(rate) = self.learner.rate() {
                self.learner.set(now, (rate * f64::from(pool) / f64::from(self.pool)).min(limit));
            }
        }
        self.pool = pool;
        let rate = match phase {
            Phase::Up => {
                if let Phase::Warming { .. } = before {
                    let full = self.learner.rate().unwrap_or(0.0)
                        * self.eased.min((self.eased / COLD_MOST).max(1.0));
                    if full > 0.0 {
                        self.learner.set(now, full);
                    }
                    self.eased = 1.0;
                }
                let (least, most) = if limit > 0.0 { (limit * of_pool, limit) } else { (0.0, f64::MAX) };
                // Of a limit that is told only what those have counts who pledged their parts of it.
                let seen = if limit > 0.0 { (served - apart).max(0.0) } else { served };
                let serves = now < served_last.saturating_add(SERVES);
                self.learner.see(now, Seen { served: seen, refused, limited, serves }, least, most);
                self.learner
                    .rate()
                    .map(|rate| if limit > 0.0 { rate } else { (rate - apart).max(rate * of_pool) })
            }
            Phase::Down { .. } => Some(self.outage.trials()),
            Phase::Warming { since } => {
                let known = self.learner.rate().or(Some(limit).filter(|l| *l > 0.0));
                let full = known.unwrap_or(best);
                let refuses = refused > COLD_REFUSED * (served + refused);
                if refuses && now >= self.eased_at + 2 * SEC {
                    (self.eased, self.eased_at) = (self.eased * COLD_CUT, now);
                } else if !refuses {
                    let passed = EACH as f64 / SEC as f64;
                    let most = if refused > 0.0 { self.eased.max(1.0) } else { self.eased.max(COLD_MOST) };
                    self.eased = (self.eased + passed / COLD_REGROWS).min(most);
                    // All that is dealt out is served: what is known of its rate is too little.
                    if refused == 0.0 && served >= USED * self.whole * of_pool {
                        self.eased *= 1.0 + passed * if known.is_some() { COLD_GROWTH } else { COLD_GUESSED };
                    }
                }
                // It was back before the first call that was served: half a gap between trials, in the mean.
                let back = since.saturating_sub(self.outage.lag());
                let rate = full * self.eased * warmth(terms.cold_share, terms.warm_up, now, back);
                let most = if limit > 0.0 { limit } else { f64::MAX };
                Some(rate.max(COLD_LEAST).min(most)).filter(|_| full > 0.0)
            }
        };
        let Some(rate) = rate else {
            self.whole = 0.0;
            return;
        };
        self.whole = if held { HELD } else { rate / of_pool };
        let pledgers = self.dealer.pledgers(now);
        self.wanted = match phase {
            Phase::Down { .. } => {
                let may: Vec<Word> = words.into_iter().filter(|w| pledgers.contains(&w.from)).collect();
                self.outage.tries(now, key, &may).into_iter().map(|id| (id, pool)).collect()
            }
            _ => {
                // One that alone cannot reach the destination would only keep its part from the others.
                let apart = |id: &Id| words.iter().any(|w| w.from == *id && w.down);
                let wants = |id: &Id| match wants.get(id).copied().unwrap_or(0.0) {
                    w if apart(id) => w.min(self.outage.trials()),
                    w => w,
                };
                let each = |id: &Id| (*id, wants(id) / self.whole * f64::from(WHOLE));
                by_demand(pool, &pledgers.iter().map(each).collect::<Vec<_>>())
            }
        };
    }
}
