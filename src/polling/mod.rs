//! What a relay asks of discovery and how old what it knows is, without I/O.
//!
//! `status` keeps when each step of the list in force was done.
#![warn(missing_docs)]

mod status;

pub use status::{ListStatus, ListSteps};
