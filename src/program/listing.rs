//! What the platform's front does with discovery's lists.

use crate::catalog::{Endpoint, EndpointUpdate};
use crate::protocol::discovery::ListReceiver;
use crate::protocol::platform::Platform;
use crate::routing::Desk;
use std::rc::Rc;

/// Collects a list and hands it to the core in one piece.
pub struct Listing {
    /// The desk whose core learns it.
    pub desk: Rc<Desk<Platform>>,
}

impl ListReceiver for Listing {
    type Draft = Vec<Endpoint>;

    async fn begin(&self) -> Vec<Endpoint> {
        Vec::new()
    }

    fn entry(&self, draft: &mut Vec<Endpoint>, endpoint: Endpoint) {
        draft.push(endpoint);
    }

    async fn commit(&self, endpoints: Vec<Endpoint>, seq: u64, whole: bool) {
        let update = EndpointUpdate { seq, whole, endpoints };
        self.desk.act(|core, now| core.learn(now, &update));
    }
}
