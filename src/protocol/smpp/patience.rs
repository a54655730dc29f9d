//! How long a submit is waited for on its bind. No I/O.

use crate::interface::{Nanos, Repeat};

/// A message has time for so many submits one after another.
const SUBMITS: u64 = 3;

/// How long one submit of a message is waited for, of the time that the message has left. An answer that is later than
/// `timeout` is overdue, but may still come, and the message may not go again as long as it is out. After this time its bind
/// is given up for it, where it may be repeated at all.
pub fn patience(repeat: Repeat, timeout: Nanos, left: Nanos) -> Nanos {
    match repeat {
        Repeat::Unsafe => left,
        Repeat::Safe => timeout.max(left / SUBMITS),
        // A repeat has to come while the other side remembers the first one.
        Repeat::Keyed { memory, .. } => timeout.max(left.min(memory) / SUBMITS),
    }
}
