//! What came of an attempt, and what that lets its message do.

use crate::interface::Outcome;
use serde::{Deserialize, Serialize};

/// What came of an attempt. Processes that hand over tell each other of it: new variants go to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// It ended like this.
    Ended(Outcome),
    /// It was not let through, and nothing more is owed.
    Over,
    /// It was not let through, since its message has had all its attempts.
    Spent,
    /// The endpoint will never take it.
    Rejected {
        /// Why, in the front's own terms.
        reason: u32,
    },
    /// Its message may have had its final answer, which cannot be proven. The attempt itself ended like this.
    MustEnd(Outcome),
}

/// What an attempt's outcome lets its message do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing more is owed for it.
    Settled,
    /// No attempt is left, and its end is owed.
    Spent,
    /// It may go out again as its class allows.
    MayGoAgain,
    /// It may have had its final answer: no further call, and its end is owed.
    MustEnd,
}

impl Reply {
    /// How the attempt itself ended.
    pub fn outcome(self) -> Outcome {
        match self {
            Reply::Ended(outcome) | Reply::MustEnd(outcome) => outcome,
            Reply::Over | Reply::Spent | Reply::Rejected { .. } => Outcome::NotSent,
        }
    }

    /// What it lets its message do.
    pub fn standing(self) -> Standing {
        match self {
            Reply::Over | Reply::Ended(Outcome::Served) => Standing::Settled,
            Reply::Spent | Reply::Rejected { .. } => Standing::Spent,
            Reply::MustEnd(_) => Standing::MustEnd,
            Reply::Ended(_) => Standing::MayGoAgain,
        }
    }

    /// Nothing more is owed for the message.
    pub fn settles(self) -> bool {
        self.standing() == Standing::Settled
    }

    /// Nothing was delivered, and no call may follow.
    pub fn is_final(self) -> bool {
        matches!(self, Reply::Over | Reply::Spent | Reply::Rejected { .. } | Reply::MustEnd(_))
    }
}
