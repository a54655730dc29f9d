//! The fronts: what is said on the wire, to callers, next hops and the platform.

pub mod console;
pub mod discovery;
pub mod fields;
pub mod hook;
pub mod notices;
pub mod platform;
pub mod smpp;
