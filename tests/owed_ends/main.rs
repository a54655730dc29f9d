//! Ends that are owed to the platform reach it in their time, however slow, silent or lossy the way there is, and however
//! slow the writes of the lasting folder are. Real processes on loopback sockets.

mod agent;
mod first_ends;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
mod slow_folder;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
mod ways;
