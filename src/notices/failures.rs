//! Requests that fail at once: how long the next one waits behind them.

use super::haste::Haste;
use super::values::Failure;
use crate::interface::Nanos;

const MS: Nanos = 1_000_000;
/// The next request behind one that was refused or closed, and behind many of those.
const GAP: (Nanos, Nanos) = (50 * MS, 200 * MS);
/// So many failures in a row are many.
const MANY: u32 = 10;

/// Failures since the last acknowledgement.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Failures {
    in_a_row: u32,
    /// No request begins before this.
    pub pause_until: Nanos,
}

impl Failures {
    /// A request failed.
    pub fn note(&mut self, now: Nanos, failure: Failure, haste: Haste) {
        self.in_a_row += 1;
        let (few, many) = GAP;
        let pause = if self.in_a_row > MANY { many } else { few };
        if failure != Failure::Unreadable {
            self.pause_until = now + haste.gap(pause);
        }
    }

    /// A request was acknowledged.
    pub fn end(&mut self) {
        self.in_a_row = 0;
    }

    /// Whether the last request that came to an end failed.
    pub fn any(&self) -> bool {
        self.in_a_row > 0
    }
}
