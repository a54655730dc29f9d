//! The endpoints that the list names: what is known of each, and how a list is put in force, without I/O.
//!
//! `store` holds what is in force, `update` compares a list with it while it comes in and yields what differs in
//! pieces of bounded size. `departures` is what a start has to know of endpoints that drained or left since its list. `entry`,
//! `table` and `names` are the parts of the store.
#![warn(missing_docs)]

mod departures;
mod endpoint;
mod entry;
mod names;
mod store;
mod table;
mod update;

pub use departures::Departures;
pub use endpoint::{Endpoint, EndpointId, EndpointState, EndpointUpdate, EndpointView, Names};
pub use names::name_hash;
pub use store::{Applied, EndpointCatalog, Forgotten};
pub use update::{Draft, PendingUpdate, Piece, Progress, MOST_IN_A_PIECE, MOST_MOVED_TOGETHER};
