//! Configurations that are read while a real process serves, starts and is followed by another: a broken one changes nothing, a
//! good one comes into force whole, and open messages keep the rules by which they were taken on.

mod breaks;
mod broken;
#[path = "../upgrade/callers.rs"]
#[allow(dead_code)]
mod callers;
#[path = "../attribution/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
#[path = "../attribution/finals.rs"]
mod finals;
mod judged;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
mod rules;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
mod starts;
