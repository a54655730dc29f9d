//! What the scale bench (`benches/scale/`) and the tests of scale share.
#![allow(dead_code)]

pub mod capacity;
pub mod capacity_figures;
pub mod capacity_terms;
pub mod discovery;
pub mod endpoint;
pub mod fit;
pub mod fleet;
pub mod hollow;
pub mod hollow_list;
pub mod http;
pub mod list;
#[path = "../stand_ins/page_form.rs"]
mod page_form;
pub mod process_figures;
pub mod real_relay;
pub mod run_file;
pub mod switch;
pub mod tables;
