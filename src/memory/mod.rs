//! The memory of a relay: one budget of bytes, filled from the limit in the settings, on which all draw that others can make
//! the process hold. No I/O.
//!
//! What is about to be held is drawn first, by its announced size; who finds nothing is refused. Each holder has a part that
//! no other can take ([`MemoryPlan`]); what is left is for whoever comes. What is owed already is booked and never refused.
#![warn(missing_docs)]

mod allowance;
mod budget;
mod holder;
mod plan;

pub use allowance::Allowance;
pub use budget::{Held, MemoryBudget};
pub use holder::{Holder, HOLDERS};
pub use plan::{MemoryLimits, MemoryPlan, CONNECTION_BYTES, SMALL_BYTES};
