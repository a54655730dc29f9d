//! The core: requests, attempts and their outcomes. It knows no wire.

pub mod classes;
pub mod clock;
pub mod closed;
pub mod core;
pub mod desk;
pub mod facade;
pub mod handover;
pub mod journal;
pub mod message_log;
mod passage;
mod shares;
pub mod transactions;
pub mod values;

pub use crate::catalog::{Endpoint, EndpointCatalog, EndpointId, EndpointState, EndpointUpdate};
pub use crate::interface::{Class, Kind, Late, Limits, Nanos, Outcome, Repeat, Settings};
pub use classes::Classes;
pub use clock::Clock;
pub use core::{Accepted, Core, Offer, Taken, Work};
pub use desk::{Desk, Front, Offered};
pub use journal::Journal;
pub use transactions::Transaction;
pub use values::{Attempt, Call, End, Limit, Reply, Standing, TransactionNo};
