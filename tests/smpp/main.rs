//! The SMPP front of real processes between stand-ins for ESMEs and SMSCs, on loopback sockets.

#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod records;
mod rig;
mod slow;
#[path = "../owed_ends/slow_folder.rs"]
mod slow_folder;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
