//! The relay's configuration: one typed value, judged whole before any of it is used. No I/O.

mod version;

pub use version::Version;
