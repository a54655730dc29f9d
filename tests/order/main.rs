//! Messages of a key go out one at a time, in the order in which they were handed in, whatever becomes of their calls and of the
//! processes that made them. Real processes on loopback sockets.

mod cases;
mod endpoint;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
mod world;
