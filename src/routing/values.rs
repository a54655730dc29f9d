//! What the parts of routing tell one another: attempts, calls, ends.

pub use crate::settlement::{Reply, Standing};

use crate::catalog::EndpointId;
use crate::interface::{KeyLock, Nanos};
use serde::{Deserialize, Serialize};

/// A transaction's place in the order taken, across restarts.
pub type TransactionNo = u64;

/// One attempt of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    pub transaction: TransactionNo,
    /// How many were made before it.
    pub number: u32,
    pub timeout: Nanos,
}

/// An attempt that is out, whatever has become of its message since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenAttempt {
    pub transaction: TransactionNo,
    /// Its message still waits for its end.
    pub is_owed: bool,
    /// The key that it holds until it has its outcome.
    pub lock: Option<KeyLock>,
}

impl OpenAttempt {
    /// Its message is over, and its key waits for it.
    pub fn outlives_message(&self) -> bool {
        !self.is_owed && self.lock.is_some()
    }
}

/// Attempts that travel to one next hop together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub endpoint: EndpointId,
    pub attempts: Vec<Attempt>,
}

/// A next hop's own limit, as an answer told it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// Calls a second from all relays together; 0 where it has none.
    pub rate: f64,
    /// The share of it that was left, 0 to 1; none where nothing is said of that.
    pub left: Option<f64>,
}

/// How a transaction ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Failed,
    /// Handed back: to hand it in again is harmless, best after this time (0: no advice).
    Returned {
        after: Nanos,
    },
}
