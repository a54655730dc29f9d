//! Discovery's lists: what is decoded out of them, and how they are asked for, against stand-ins in memory and in
//! paused time.

mod decode;
mod follow;
mod limits;
#[path = "../stand_ins/page_form.rs"]
mod page_form;
mod rig;
#[path = "../seed/mod.rs"]
mod seed;
