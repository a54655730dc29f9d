//! What the core is handed and what it hands back: offers, work, outcomes of calls, notes for the log.

use crate::catalog::{Endpoint, EndpointId};
use crate::interface::Nanos;
use crate::routing::values::{Attempt, Call, Limit, Reply, TransactionNo};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A transaction as a caller hands it in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    pub id: String,
    /// The name of its class: which rules that means is decided when it is taken on.
    pub class: String,
    pub dest: u64,
    pub key: Option<String>,
    pub idempotency: Option<String>,
    pub time_left: Nanos,
    pub body: Bytes,
    pub owner: String,
}

/// What is left for messages, as parts of the whole of whatever is scarcest: their number, the journal or memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MessageCapacity {
    /// What one more message takes.
    pub part: f64,
    /// What is free.
    pub free: f64,
}

/// A message whose record is in the journal. Only the core makes one, and only for a record that is written, so that a front
/// can say of no other message that it is taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted(TransactionNo);

impl Accepted {
    /// The number of the message.
    pub fn number(self) -> TransactionNo {
        self.0
    }
}

/// What the core has decided on an offer, as long as nobody may hear of it: the record that it rests on may not be written.
#[must_use = "an offer has its answer only from `Core::answer`"]
#[derive(Debug)]
pub struct PendingAnswer {
    taken: Taken,
    /// The number of the last record that has to be written first.
    record: u64,
}

impl PendingAnswer {
    pub(super) fn new(taken: Taken, record: u64) -> PendingAnswer {
        PendingAnswer { taken, record }
    }

    /// The number of the last record that has to be written first.
    pub(in crate::routing) fn record(&self) -> u64 {
        self.record
    }

    /// The message, where the offer becomes one.
    pub(in crate::routing) fn number(&self) -> Option<TransactionNo> {
        match self.taken {
            Taken::On(accepted) => Some(accepted.number()),
            _ => None,
        }
    }

    pub(super) fn taken(&self) -> Taken {
        self.taken
    }
}

/// The answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Taken {
    /// Taken on and journaled.
    On(Accepted),
    /// It was taken on before, under this id.
    Already,
    /// Another one was taken on under this id.
    Other,
    /// Turned away; to offer it again is harmless, best after this time. `full`: for want of room.
    Refused { after: Nanos, full: bool },
    /// It cannot be delivered, and no promise is made.
    Failed,
    /// No class of this name is in force.
    UnknownClass,
}

impl Taken {
    /// The message with this number is taken on once its record is written.
    pub(super) fn on(no: TransactionNo) -> Taken {
        Taken::On(Accepted(no))
    }
}

/// Something for the log, with the stable name of its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub event: &'static str,
    /// The next hop that it is about.
    pub hop: Option<String>,
    pub text: String,
}

impl Note {
    pub(super) fn new(event: &'static str, text: String) -> Note {
        Note { event, hop: None, text }
    }
}

/// A transaction whose end is owed from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// Its number.
    pub no: TransactionNo,
    /// When its end was decided, or read back.
    pub decided: Nanos,
}

/// What the network is to do now.
#[derive(Debug, Default)]
pub struct Work {
    pub calls: Vec<(Call, Endpoint)>,
    /// Calls that are out at the process that handed over.
    pub adopted: Vec<Call>,
    /// Callers are sent away from now on, or may come again.
    pub draining: Option<bool>,
    /// Transactions whose end is now owed to whoever handed them in.
    pub ended: Vec<Ended>,
    /// Transactions of which nothing is owed any more.
    pub over: Vec<TransactionNo>,
    pub dropped: Vec<(TransactionNo, u32)>,
    /// Attempts that are out of messages that have their end now: what is not written yet of them does not go on.
    pub ended_out: Vec<(TransactionNo, u32)>,
    pub distrusted: Vec<EndpointId>,
    /// Idle time after which connections are not to be used any more, where a step was made.
    pub trusted_idle: Option<Nanos>,
    pub notes: Vec<Note>,
}

/// What came of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Carried {
    /// Attempts that were never begun may be left out.
    pub replies: Vec<(Attempt, Reply)>,
    /// The limit that the next hop told.
    pub limit: Option<Limit>,
    /// For how long the connection had waited for this call, 0 if it was new; none where nothing was sent.
    pub idle: Option<Nanos>,
    /// The break that ended it was told of with another call on the same connection.
    pub echo: bool,
    /// The next hop told to wait for so long.
    pub wait: Nanos,
    /// The call was refused as a whole, as one that cannot be read or is too large.
    pub refused: bool,
    /// Attempts of which the answer may be final, whatever the replies say: for the run-time check.
    pub finals: Vec<Attempt>,
}

impl Carried {
    /// The same came of each of these.
    pub fn each(letters: &[Letter], reply: Reply) -> Carried {
        Carried::from(letters.iter().map(|l| (l.attempt, reply)).collect::<Vec<_>>())
    }
}

impl From<Vec<(Attempt, Reply)>> for Carried {
    fn from(replies: Vec<(Attempt, Reply)>) -> Self {
        Carried { replies, ..Carried::default() }
    }
}

/// What is about to be written for an attempt.
#[derive(Clone, Debug)]
pub struct Letter {
    pub attempt: Attempt,
    pub id: String,
    pub idempotency: Option<String>,
    pub body: Bytes,
}

/// How a call goes on connections that carry several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piping {
    /// Calls on a connection.
    pub depth: usize,
    /// Connections, as long as they suffice.
    pub connections: usize,
    /// It may go behind others, and others behind it.
    pub repeatable: bool,
}
