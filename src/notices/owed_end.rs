//! An end that is owed, with the times of its stages, and a request that tells it.

use super::stages::Stages;
use super::values::MessageNo;
use crate::interface::Nanos;

/// An end that is owed.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwedEnd {
    /// When it was decided.
    pub decided: Nanos,
    /// When its record was written, or waited for no longer.
    pub owed: Nanos,
    /// When its first request began.
    pub first_begun: Option<Nanos>,
    /// For how long the loop had been held up in all when it was decided.
    pub held_up_before: Nanos,
    /// By when the platform must have read it.
    pub limit: Nanos,
    /// Requests that told it.
    pub tries: u32,
    /// When it may be told again; it is told at once where it is 0.
    pub rests_until: Nanos,
    /// How many ends its next request may hold: one that could not be read is looked for by halves.
    pub share: usize,
}

impl OwedEnd {
    /// What it waited for, acknowledged now by a request that was begun then and had its connection then.
    pub fn stages(&self, now: Nanos, begun: Nanos, connected: Nanos, held_up: Nanos) -> Stages {
        let first_begun = self.first_begun.unwrap_or(begun);
        Stages {
            to_limit: self.limit as i64 - now as i64,
            margin: self.limit as i64 - self.decided as i64,
            record: self.owed.saturating_sub(self.decided),
            request: first_begun.saturating_sub(self.owed),
            tries: begun.saturating_sub(first_begun),
            connection: connected.saturating_sub(begun),
            answer: now.saturating_sub(connected.max(begun)),
            held_up: held_up - self.held_up_before,
            requests: self.tries,
        }
    }

    /// Its place among those that are told again: by tries and limit.
    pub fn rank(&self, no: MessageNo) -> (u32, Nanos, MessageNo) {
        (self.tries, self.limit, no)
    }
}

/// A request that is open.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// When it began.
    pub begun: Nanos,
    /// The messages whose ends it tells.
    pub ends: Vec<MessageNo>,
}
