//! What a relay asks of discovery and how old what it knows is, without I/O.
//!
//! `schedule` says when discovery is asked, for one relay of many; `status` keeps when each step of the list in force was done.
#![warn(missing_docs)]

mod schedule;
mod status;

pub use schedule::{PollOutcome, PollSchedule, Terms};
pub use status::{ListStatus, ListSteps};
