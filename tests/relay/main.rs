//! The whole relay against stand-ins, in memory and in paused time: the same verdict every time.
//! `scenario.rs` has the language in which the tests are written.

mod admission;
mod batching;
mod carriers;
mod crowding;
mod network;
#[path = "../stand_ins/page_form.rs"]
mod page_form;
mod platform;
mod scenario;
mod smpp;
