//! No call begins at a draining endpoint once its grace is over, counted from the moment at which the agent has the change.
//! Real processes on loopback sockets.

mod agent;
mod answers;
mod moves;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
mod silences;
#[path = "../owed_ends/slow_folder.rs"]
mod slow_folder;
mod soak;
mod spans;
mod stages;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
mod starts;
