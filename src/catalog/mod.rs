//! The endpoints that the list names: what is known of each, without I/O.
#![warn(missing_docs)]

mod endpoint;
mod store;

pub use endpoint::{Endpoint, EndpointId, EndpointState, EndpointUpdate};
pub use store::EndpointCatalog;
