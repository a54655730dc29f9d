//! The SMPP front of real processes between stand-ins for ESMEs and SMSCs, on loopback sockets.

#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod records;
#[allow(dead_code)]
mod rig;
mod slow;
#[path = "../owed_ends/slow_folder.rs"]
mod slow_folder;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
