//! Haste by the time that is left: the nearer the limit of an end, the sooner its next try, whatever the way was so far.

use crate::interface::Nanos;

const MS: Nanos = 1_000_000;
/// Intervals are at most these parts of the time that is left: between two tries of one end...
const TRY_AGAIN_PART: Nanos = 5;
/// ...between two requests, on a way that may only be slow and on one that loses them...
const GAP_PART: (Nanos, Nanos) = (8, 32);
/// ...and for a request that is kept on a way that loses them.
const PATIENCE_PART: Nanos = 12;
/// Near the limit each is this long at least, or its usual time where that is shorter.
const TRY_AGAIN_LEAST: Nanos = 30 * MS;
const GAP_LEAST: Nanos = 10 * MS;
const PATIENCE_LEAST: Nanos = 30 * MS;

/// The time to the next limit of an end, in parts of which the intervals of tries are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Haste {
    /// To the next limit that is not over; none where there is none.
    left: Option<Nanos>,
    /// Whether requests fail or fall silent, so that others are needed in their place; else they may only be slow.
    loses: bool,
}

impl Haste {
    /// With so much left, on a way that loses requests or not.
    pub fn new(left: Option<Nanos>, loses: bool) -> Haste {
        Haste { left, loses }
    }

    /// This interval, where the time that is left does not want a shorter one.
    fn bounded(&self, interval: Nanos, part: Nanos, least: Nanos) -> Nanos {
        self.left.map_or(interval, |left| interval.min((left / part).max(least)))
    }

    /// Between two tries of one end.
    pub fn try_again_after(&self, usual: Nanos) -> Nanos {
        self.bounded(usual, TRY_AGAIN_PART, TRY_AGAIN_LEAST)
    }

    /// Between the beginnings of two requests.
    pub fn gap(&self, usual: Nanos) -> Nanos {
        let (slow, lossy) = GAP_PART;
        self.bounded(usual, if self.loses { lossy } else { slow }, GAP_LEAST)
    }

    /// How long a request is kept at least where another is wanted, and requests take up to `slowest` to be acknowledged.
    pub fn patience(&self, usual: Nanos, slowest: Nanos) -> Nanos {
        match self.loses {
            true => self.bounded(usual, PATIENCE_PART, slowest.max(PATIENCE_LEAST)),
            false => usual,
        }
    }
}
