//! Discovery's lists: what is decoded out of them, and how they are asked for, against stand-ins in memory and in
//! paused time.

mod decode;
mod follow;
mod limits;
mod rig;
#[path = "../seed/mod.rs"]
mod seed;
