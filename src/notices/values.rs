//! What the schedule of notices is told and gives back.

use super::attempts::AttemptNo;
use super::stages::Stages;
use crate::interface::Nanos;

/// The number of a message.
pub type MessageNo = u64;

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The platform answered that it cannot read it.
    Unreadable,
    /// The platform gave another answer, with this status.
    Refused(u16),
    /// The connection did not come up, or ended before an answer.
    Unanswered,
}

/// A request that is to be made now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begin {
    /// Its number.
    pub request: AttemptNo,
    /// The messages whose ends it tells.
    pub ends: Vec<MessageNo>,
    /// A request that is given up for it.
    pub given_up: Option<AttemptNo>,
}

/// An end that is owed from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwedFrom {
    /// Its message.
    pub no: MessageNo,
    /// When it was decided: before now where its record was waited for.
    pub decided: Nanos,
    /// By when the platform must have read it.
    pub limit: Nanos,
}

/// What came of a request that was acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Acknowledged {
    /// The messages whose ends were still owed, with what they waited for.
    pub settled: Vec<(MessageNo, Stages)>,
    /// Requests that nothing is waited for any more.
    pub needless: Vec<AttemptNo>,
}

/// What is owed, for the log and the console. Times are nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Ends that are not acknowledged.
    pub owed: usize,
    /// How long the oldest of them has waited.
    pub oldest: Nanos,
    /// By when the first of them must have been read.
    pub first_limit: Option<Nanos>,
    /// Requests that are open.
    pub open: usize,
    /// Requests that were begun, that were given up for others, and that failed, since the start.
    pub begun: u64,
    /// See above.
    pub given_up: u64,
    /// See above.
    pub failed: u64,
    /// What acknowledgements take.
    pub acknowledged_in: Nanos,
    /// What ends take to arrive.
    pub ends_take: Nanos,
    /// Ends that were acknowledged after their limits.
    pub violations: u64,
    /// The end that came nearest to its limit of late.
    pub nearest: Option<Stages>,
}
