//! The rate that a partner takes of all who go by one dealer: found by what it serves and refuses, and found again when it
//! changes. Grows slowly above what is known to be served, and faster the longer nothing is refused.

use crate::interface::Nanos;

const SECOND: f64 = 1e9;
/// Least time between cuts: what was refused before the last one has left the second that is looked at by then.
const CUT_GAP: f64 = 1.6;
/// Nothing grows for so long after a cut.
const REST: f64 = 1.7;
/// Growth a second after that, doubled each second...
const GROWTH: f64 = 0.01;
/// ...and where the rate was much higher not long ago.
const REGROWTH: f64 = 0.04;
const GROWTH_MOST: f64 = 0.5;
/// Below this share of the best rate it counts as much higher; the best fades by so much a second.
const FALLEN: f64 = 0.85;
const FADES: f64 = 0.02;
/// Of what is served, or of the rate less the refused share and this: whichever is more.
const TRUST: f64 = 0.985;
const MARGIN: f64 = 0.01;
/// A rate that is not used by so much says nothing of what would be refused.
const USED: f64 = 0.85;
/// A smaller share of refused calls is noise.
const NOISE: f64 = 0.002;
/// Where less than this share of the rate is served, refusals tell of an outage and not of a limit: nothing is cut.
const SHUT: f64 = 0.05;
/// A cut made no earlier than this before the last call served may have counted refusals of the outage that followed.
const STRADDLES: Nanos = 1_000_000_000;
/// What all are served is known after this time.
const LISTENS: Nanos = 1_400_000_000;
/// Least rate, calls a second.
const LEAST: f64 = 0.2;

#[derive(Clone, Debug, Default)]
pub struct Learner {
    /// Calls a second; none until something was refused or a limit told.
    rate: Option<f64>,
    best: f64,
    cut: Nanos,
    /// The rate before that cut.
    uncut: f64,
    seen: Nanos,
    began: Nanos,
}

/// What the calls of all came to of late.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Calls a second, over the last second.
    pub served: f64,
    pub refused: f64,
    /// Somebody was refused in the last half minute.
    pub limited: bool,
    /// A call was served just now: what is refused beside it tells of a limit, and not of an outage that begins.
    pub serves: bool,
}

impl Learner {
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// What was served and refused over the last second, by all; `least` and `most` bound the rate where a limit is told.
    pub fn see(&mut self, now: Nanos, seen: Seen, least: f64, most: f64) {
        let Seen { served, refused, limited, serves } = seen;
        let passed = if self.seen == 0 { 0.0 } else { now.saturating_sub(self.seen) as f64 / SECOND };
        self.seen = now;
        let since = now.saturating_sub(self.cut) as f64 / SECOND;
        let share = refused / (served + refused).max(1e-9);
        let Some(rate) = self.rate else {
            self.began = if self.began == 0 { now } else { self.began };
            // Not before all have told of a whole second.
            self.best = self.best.max(served);
            if least == 0.0 && now < self.began + LISTENS {
                return;
            }
            // Where nothing was ever served, refusals tell no rate.
            if least > 0.0 || limited && self.best > 0.0 {
                let first = if least > 0.0 { least } else { (self.best * TRUST).max(LEAST) };
                (self.rate, self.best, self.cut, self.uncut) = (Some(first.min(most)), first, now, first);
            }
            return;
        };
        self.best = (self.best * (1.0 - FADES * passed)).max(rate);
        if share > NOISE {
            if since >= CUT_GAP && serves && served >= SHUT * rate {
                let less = (served * TRUST).max(rate * (1.0 - share - MARGIN));
                self.rate = Some(less.min(rate * (1.0 - MARGIN)).max(LEAST));
                (self.cut, self.uncut) = (now, rate);
            }
        } else if since >= REST && served >= USED * rate {
            // Below a limit that is told, too, there is more to be had.
            let top = if most < f64::MAX { most } else { self.best };
            let first = if rate < FALLEN * top { REGROWTH } else { GROWTH };
            let growth = (first * 2f64.powf(since - REST)).min(GROWTH_MOST);
            self.rate = Some(rate * (1.0 + growth * passed));
        }
        // What is served is taken, whoever of those heard of now it went to: not all may have been heard of before.
        if share <= NOISE {
            self.rate = self.rate.map(|r| r.max(served * TRUST));
        }
        self.rate = self.rate.map(|r| r.min(most));
    }

    /// The destination is out, and served its last call at `served`: a cut of the time around it says nothing of what it
    /// takes when it is back.
    pub fn recall(&mut self, served: Nanos) {
        if self.cut.saturating_add(STRADDLES) >= served {
            self.rate = self.rate.map(|rate| rate.max(self.uncut));
        }
    }

    /// From now on it is this, whatever was found before; what is above is found anew.
    pub fn set(&mut self, now: Nanos, rate: f64) {
        (self.rate, self.cut, self.uncut) = (Some(rate.max(LEAST)), now, rate);
    }
}
