//! The program: its command line, configuration, log, signals, and what is wired to what.

mod cli;
pub mod config;
pub mod fleet;
pub mod import;
pub mod listing;
pub mod log;
mod signals;
pub mod wiring;

pub use cli::main;
