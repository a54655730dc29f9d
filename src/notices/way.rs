//! What is known of the way to the platform: how long acknowledgements take, and how long ends took to be acknowledged.

use crate::interface::Nanos;

const MS: Nanos = 1_000_000;
/// The part of a new observation in the smoothed time of acknowledgements.
const SMOOTHING: f64 = 0.25;
/// The longest delay of late counts half as much after this time: longer than the time between two ends.
const DELAY_HALVES: Nanos = 60_000 * MS;
/// The same for how the way is just now.
const NOW_HALVES: Nanos = 5_000 * MS;
/// A delay up to this is within the slack of the platform's rule.
const DELAY_USUAL: Nanos = 100 * MS;
/// What ends are said to take at most.
const ENDS_TAKE_MOST: Nanos = 2_000 * MS;
/// A request is overtaken by one that took less than this part of the time that it is open, and this much less.
const OVERTAKEN: Nanos = 3;
const OVERTAKEN_BY: Nanos = 30 * MS;
/// What this says of the way holds for so long.
const OVERTAKEN_FOR: Nanos = 10_000 * MS;
/// Acknowledgements that take less come at once.
const AT_ONCE: Nanos = 100 * MS;
/// Other answers that are later tell nothing of the way.
const ANSWER_LATE_MOST: Nanos = 1_500 * MS;
/// Between two tries of one end, where acknowledgements are fast and where they are slow.
const TRY_AGAIN: (Nanos, Nanos) = (50 * MS, 250 * MS);
/// An open request is kept at least and at most so long where another is wanted in its place.
const PATIENCE: (Nanos, Nanos) = (300 * MS, 5_000 * MS);
/// By how many times the usual time of an acknowledgement a request is kept.
const PATIENCE_FACTOR: f64 = 3.0;
const TRY_AGAIN_FACTOR: f64 = 1.5;
/// A way on which acknowledgements take less is fast.
const FAST: f64 = 20.0 * MS as f64;

/// What acknowledgements took of late. Times are nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// From the beginning of a request to its acknowledgement, smoothed; 0: none came yet.
    acknowledged_in: f64,
    /// When a request was acknowledged so much sooner than an earlier one, still open, that this may be lost.
    overtaken_at: Option<Nanos>,
    /// The longest that a request took to be acknowledged, and when it was seen.
    slowest: (Nanos, Nanos),
    /// The longest time between an end and its acknowledgement, and when it was seen.
    delay: (Nanos, Nanos),
}

impl Way {
    /// A request was acknowledged after so long, while the oldest one had been open for `oldest`.
    pub fn acknowledged(&mut self, now: Nanos, took: Nanos, oldest: Nanos) {
        if oldest > OVERTAKEN * took + OVERTAKEN_BY {
            self.overtaken_at = Some(now);
        }
        if took >= faded(self.slowest, now, NOW_HALVES) {
            self.slowest = (took, now);
        }
        let took = took as f64;
        self.acknowledged_in = match self.acknowledged_in {
            0.0 => took,
            usual => usual + SMOOTHING * (took - usual),
        };
    }

    /// An end has waited so long for its acknowledgement, or still does.
    pub fn delayed(&mut self, now: Nanos, delay: Nanos) {
        if delay >= self.longest_delay(now) {
            self.delay = (delay, now);
        }
    }

    /// Something else came so late from there. What is later than a way can be tells of the one who answers.
    pub fn answered_late(&mut self, now: Nanos, late: Nanos) {
        if late <= ANSWER_LATE_MOST {
            self.delayed(now, late);
        }
    }

    fn longest_delay(&self, now: Nanos) -> Nanos {
        faded(self.delay, now, DELAY_HALVES)
    }

    /// How late ends would come just now.
    pub fn delay_now(&self, now: Nanos) -> Nanos {
        faded(self.delay, now, NOW_HALVES).min(ENDS_TAKE_MOST)
    }

    /// The platform is somewhere else: its acknowledgements are not known, and may be as late as those before.
    pub fn moved(&mut self) {
        self.acknowledged_in = 0.0;
    }

    /// What an acknowledgement takes, in nanoseconds; 0 where none came yet.
    pub fn acknowledged_in(&self) -> Nanos {
        self.acknowledged_in as Nanos
    }

    /// What ends take to arrive, as far as that is beyond the slack of the rule.
    pub fn ends_take(&self, now: Nanos) -> Nanos {
        match self.longest_delay(now) {
            delay if delay > DELAY_USUAL => delay.min(ENDS_TAKE_MOST),
            _ => 0,
        }
    }

    /// Whether acknowledgements are known to come at once.
    pub fn is_fast(&self) -> bool {
        self.acknowledged_in > 0.0 && self.acknowledged_in < FAST
    }

    /// Between two tries of one end.
    pub fn try_again_after(&self) -> Nanos {
        bounded(self.acknowledged_in * TRY_AGAIN_FACTOR, TRY_AGAIN)
    }

    /// Whether requests are lost rather than slow: some are overtaken, and what is acknowledged is so at once.
    pub fn loses(&self, now: Nanos) -> bool {
        let is_overtaken = self.overtaken_at.is_some_and(|at| now < at + OVERTAKEN_FOR);
        is_overtaken && faded(self.slowest, now, NOW_HALVES) < AT_ONCE
    }

    /// How long a request that is still to be acknowledged may take, by the slowest of late.
    pub fn slowest(&self, now: Nanos) -> Nanos {
        faded(self.slowest, now, NOW_HALVES) / 2 * 3
    }

    /// How long an open request is kept at least where another is wanted.
    pub fn patience(&self) -> Nanos {
        bounded(self.acknowledged_in * PATIENCE_FACTOR, PATIENCE)
    }
}

/// What is left of this, seen then, where half of it goes in each such time.
fn faded((seen, at): (Nanos, Nanos), now: Nanos, halves: Nanos) -> Nanos {
    let halvings = now.saturating_sub(at) as f64 / halves as f64;
    (seen as f64 * 0.5f64.powf(halvings)) as Nanos
}

fn bounded(time: f64, (least, most): (Nanos, Nanos)) -> Nanos {
    (time as Nanos).clamp(least, most)
}
