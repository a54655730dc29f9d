//! Pipelining and batching: what may travel together, how much of it, and what is known of each when it fails.
//! Decisions without I/O; the module still decides what goes where and when.

pub mod fate;
pub mod pace;
pub mod pipe;
