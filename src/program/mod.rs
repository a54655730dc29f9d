//! The program: its command line, configuration, log, signals, and what is wired to what.

mod admission_log;
mod beside;
mod boot_clock;
mod cli;
mod departures;
mod descriptors;
mod files;
pub mod fleet;
mod fronts;
pub mod import;
mod inherited;
mod last_good;
pub mod listing;
pub mod log;
mod memory_log;
mod memory_share;
mod ownership;
pub mod reload;
mod resident;
mod rooms;
mod shutdown;
mod signals;
mod starting;
mod takeover;
mod terms;
pub mod wiring;

pub use cli::main;
