//! The memory of a relay: what its parts make a process hold, counted in bytes and in one place. No I/O.
#![warn(missing_docs)]

mod budget;

pub use budget::{Held, Holder, MemoryBudget};
