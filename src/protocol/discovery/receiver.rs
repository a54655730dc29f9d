//! Where decoded lists go: whoever keeps the endpoints implements [`ListReceiver`].

use crate::catalog::Endpoint;
use std::future::Future;
use std::time::Duration;

/// Takes lists in as they are decoded.
pub trait ListReceiver {
    /// Collects the entries of one list until it has come whole; dropped, it leaves what is in force as it is.
    type Draft;
    /// Waits until earlier updates are in force, and begins a draft.
    fn begin(&self) -> impl Future<Output = Self::Draft>;
    /// One entry, in the order listed.
    fn entry(&self, draft: &mut Self::Draft, endpoint: Endpoint);
    /// The list came whole: puts it in force, and returns once it is (goes on even if the caller stops waiting).
    fn commit(&self, draft: Self::Draft, seq: u64, whole: bool) -> impl Future<Output = ()>;
    /// Discovery began to answer a question so much later than it was to.
    fn answered(&self, _late: Duration) {}
}
