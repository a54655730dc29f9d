//! How long before a message's deadline its end is decided, where ends take time to arrive.
//!
//! The margin belongs to the message: it is there before anything has been late, since the first end after any change would
//! otherwise pay for the knowledge.

use super::interface::{Nanos, MS};

/// Of a message's time, the part that is kept for its end...
const STANDING_PART: Nanos = 4;
/// ...and the most of that.
pub(super) const STANDING_MOST: Nanos = 1_200 * MS;
/// Half of a short message's time is kept, up to this.
const SHORT_MOST: Nanos = 450 * MS;
/// What is known to take longer has at most this part of a message's time, in tenths: an end before seven tenths is priced.
const OBSERVED_TENTHS: Nanos = 3;

/// The margin of a message of which `time` is left when it is taken on, where ends took `observed` to arrive of late.
pub fn end_margin(time: Nanos, observed: Nanos) -> Nanos {
    let standing = (time / STANDING_PART).min(STANDING_MOST).max((time / 2).min(SHORT_MOST));
    standing.max(observed.min(time / 10 * OBSERVED_TENTHS))
}
