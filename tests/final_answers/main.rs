//! Final answers, on calls to a real process of the program: once an endpoint has said that a message is over, or that it
//! has had its attempts, no call of it begins, however that answer came; and nothing ends in silence.

mod again;
mod behind;
#[path = "../upgrade/callers.rs"]
mod callers;
#[path = "../attribution/endpoint.rs"]
#[allow(dead_code)]
mod endpoint;
mod ends;
#[path = "../attribution/finals.rs"]
mod finals;
mod folder;
mod forms;
mod held;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;
mod while_out;
