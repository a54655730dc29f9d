//! Pipelining and batching: what may travel together, how much of it, and what is known of each when it fails.
//! Decisions without I/O; the module of `src/decision` still decides what goes where and when, and asks here who may
//! join a call.

pub mod fate;
pub mod former;
pub mod pace;
pub mod pipe;
mod sharing;
pub mod terms;

pub use former::{Former, Member};
pub use pace::Pressure;
pub use terms::{Counts, Size, Table, Terms};
