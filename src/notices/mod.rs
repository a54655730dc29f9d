//! Notices to the platform, without I/O: which ends of messages go in which request and when, how many requests may be open
//! beside one another, and how much earlier ends have to be decided where the way to the platform is slow.
//!
//! An end is told again, in a further request, while earlier ones that hold it stay open and may still be acknowledged. Ends that
//! were not told yet and those that are told again take turns, each in the order in which they are due, so that none waits for
//! the acknowledgement of another.
#![warn(missing_docs)]

mod attempts;
mod failures;
mod haste;
mod owed_end;
mod schedule;
mod stages;
mod values;
mod way;

pub use attempts::{AttemptNo, Attempts};
pub use schedule::{Schedule, ENDS_MOST};
pub use stages::{Nearest, Stages};
pub use values::{Acknowledged, Begin, Failure, Figures, MessageNo, OwedFrom};
pub use way::Way;
