//! Haste by the time that is left: the nearer the limit of an end, the sooner its next try, whatever the way was so far.

use crate::interface::Nanos;

const MS: Nanos = 1_000_000;

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
        self.bounded(usual, 5, 30 * MS)
    }

    /// Between the beginnings of two requests.
    pub fn gap(&self, usual: Nanos) -> Nanos {
        self.bounded(usual, if self.loses { 32 } else { 8 }, 10 * MS)
    }

    /// How long a request is kept at least where another is wanted, and requests take up to `slowest` to be acknowledged.
    pub fn patience(&self, usual: Nanos, slowest: Nanos) -> Nanos {
        match self.loses {
            true => self.bounded(usual, 12, slowest.max(30 * MS)),
            false => usual,
        }
    }
}
