//! Where decoded lists go: whoever keeps the endpoints implements [`ListReceiver`].

use crate::catalog::Endpoint;
use std::future::Future;
use std::time::Duration;
use tokio::time::Instant;

/// A list that has come whole, and when each step on its way was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListArrival {
    /// Its version.
    pub seq: u64,
    /// It replaces all that was known.
    pub whole: bool,
    /// The question that brought it was begun.
    pub asked: Instant,
    /// The head of the answer had come.
    pub answered: Instant,
    /// All of it had been read.
    pub read: Instant,
    /// The answer before it, of whatever version, was asked for.
    pub asked_before: Option<Instant>,
    /// The longest time between the beginnings of two questions since then.
    pub longest_step: Duration,
}

/// What became of a list that had come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// All of it came into force.
    InForce,
    /// Something else has taken its place, or it was dropped: what it said is not known.
    Superseded,
}

/// Takes lists in as they are decoded.
pub trait ListReceiver {
    /// Collects the entries of one list until it has come whole; dropped, it leaves what is in force as it is.
    type Draft;
    /// Waits until earlier updates are in force, and begins a draft.
    fn begin(&self) -> impl Future<Output = Self::Draft>;
    /// One entry, in the order listed.
    fn entry(&self, draft: &mut Self::Draft, endpoint: Endpoint);
    /// The list came whole: puts it in force, and returns once it is (goes on even if the caller stops waiting) or cannot be
    /// any more.
    fn commit(&self, draft: Self::Draft, list: ListArrival) -> impl Future<Output = Committed>;
    /// Discovery began to answer a question so much later than it was to.
    fn answered(&self, _late: Duration) {}
    /// What was known at this moment is known to be in force.
    fn is_current_as_of(&self, _asked: Instant) {}
}
