//! What a relay asks of discovery and how old what it knows is, without I/O.
//!
//! `budget` deals out the time from the moment at which a change counts as notified to the last call that it forbids, and `bounds`
//! makes the bounds of single questions of it; `schedule` says when discovery is asked, for one relay of many; `status` keeps when each step of the list in force was done.
#![warn(missing_docs)]

mod bounds;
mod budget;
mod schedule;
mod status;

pub use bounds::QuestionBounds;
pub use budget::{NotificationBudget, HOLD_UP};
pub use schedule::{PollOutcome, PollSchedule, Terms};
pub use status::{LateStage, ListStatus, ListSteps};
