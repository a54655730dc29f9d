//! What one process of a relay hands to the one that takes over from it, and what the two tell each other afterwards. Plain
//! data; [`crate::program::takeover`] carries it.
//!
//! The journal is handed over by its lock, through the folder. All that a journal does not tell goes in a [`Handover`]:
//! calls that are still out at the process that began them, what calls have shown of endpoints (waits that they told, outages,
//! limits), keys that rest, what could not be written. The process that hands over (the predecessor) keeps its open connections, answers what comes on them by asking
//! the other (the successor), and reports the outcomes of its calls to it.

mod legacy;
mod roles;

pub use legacy::LegacyHandover;
pub use roles::{Roles, Successor};

use super::clock::Anchor;
use super::core::Carried;
use super::core::Offer;
use super::values::{Call, Limit, OpenAttempt, Reply, TransactionNo};
use super::Taken;
use crate::catalog::{Endpoint, EndpointId};
use crate::decision::Knowledge;
use crate::interface::Nanos;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Version of these messages.
pub const VERSION: u32 = 2;
/// The version before, which hands over no attempts of messages that are over. Processes of either version take over from each
/// other.
pub const LEGACY_VERSION: u32 = 1;

/// Who wants to take over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The version of the messages that it speaks.
    pub version: u32,
    /// The relay's name.
    pub name: String,
    /// Where the relay serves.
    pub listen: SocketAddr,
    /// Names of the kinds and zones by whose places endpoints are told.
    pub kinds: Vec<String>,
    /// The same for zones.
    pub zones: Vec<String>,
}

/// Calls of one endpoint that were begun together and have no outcome yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenCall {
    /// The endpoint's name.
    pub endpoint: String,
    /// When its first byte went.
    pub begun: Nanos,
    /// Its attempts, those of messages that are over included.
    pub attempts: Vec<OpenAttempt>,
}

/// A key of which an attempt may still be running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RestingKey {
    /// The key.
    pub key: String,
    /// Until when others of this key wait.
    pub until: Nanos,
    /// The message that does not.
    pub transaction: TransactionNo,
}

/// The list of endpoints in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoints {
    /// The last version of discovery's list that is wholly in force.
    pub seq: Option<u64>,
    /// The endpoints, those that left lately included.
    pub endpoints: Vec<Endpoint>,
}

/// What the journal does not tell. Times are the relay's own, which goes on from process to process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Handover {
    /// Records that the journal lacks since they could not be written.
    pub unwritten: Vec<u8>,
    /// Bytes that it has.
    pub journal_bytes: u64,
    /// Calls that stay with the process that began them.
    pub calls: Vec<OpenCall>,
    /// What calls have shown.
    pub knowledge: Knowledge,
    /// Names of the endpoints that it speaks of.
    pub names: Vec<(EndpointId, String)>,
    /// Keys that rest.
    pub keys: Vec<RestingKey>,
    /// Calls ended with the hand-over of which nobody tells but the journal.
    pub has_lost_calls: bool,
    /// Ids of messages delivered of late, the oldest first.
    pub delivered: Vec<String>,
    /// The endpoints.
    pub list: Endpoints,
}

/// The outcome of an [`OpenCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallOutcome {
    /// The outcomes of its messages.
    pub replies: Vec<(TransactionNo, Reply)>,
    /// The limit that the endpoint told.
    pub limit: Option<Limit>,
    /// For how long the connection had waited before.
    pub idle: Option<Nanos>,
    /// The break was told of with another call.
    pub echo: bool,
    /// The endpoint told to wait for so long.
    pub wait: Nanos,
    /// The call was refused as a whole.
    pub refused: bool,
    /// How long it took.
    pub took: Nanos,
}

impl CallOutcome {
    /// What came of a call that was handed over.
    pub fn of(call: &Call, carried: Carried, took: Nanos) -> CallOutcome {
        let Carried { replies, limit, idle, echo, wait, refused, .. } = carried;
        let of_call = |no: &TransactionNo| call.attempts.iter().any(|a| a.transaction == *no);
        let replies = replies.into_iter().map(|(attempt, reply)| (attempt.transaction, reply));
        let replies = replies.filter(|(no, _)| of_call(no)).collect();
        CallOutcome { replies, limit, idle, echo, wait, refused, took }
    }
}

/// An operator's call at the console.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Nothing more to this endpoint.
    Cordon(String),
    /// It may be used again.
    Uncordon(String),
    /// Callers are sent away.
    Quiesce,
    /// They may come again.
    Resume,
}

/// Whether an operation is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operated {
    /// It is.
    Done,
    /// Nobody has this name.
    Unknown,
}

/// What the predecessor says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToSuccessor {
    /// It may not take over, and why.
    Refused(String),
    /// It may, and goes on with this clock.
    Welcome(Anchor),
    /// The same as `HandedOver`, to a process of the version before.
    Released(Box<LegacyHandover>, usize),
    /// A message came in on a connection of the predecessor's, one of a version that knows classes by their places. The number
    /// names the answer.
    Take(u64, PlacedOffer),
    /// The caller never heard that this message was taken on.
    Withdraw(TransactionNo),
    /// A call that was handed over open has ended.
    Ended(CallOutcome),
    /// An operator called at the predecessor's console.
    Operate(u64, Operation),
    /// It holds so many descriptors now.
    Descriptors(usize),
    /// A message came in on a connection of the predecessor's. The number names the answer.
    Offered(u64, Offer),
    /// The journal is free from now on, and this is what it does not tell. The number of descriptors that the predecessor
    /// holds.
    HandedOver(Box<Handover>, usize),
}

/// An [`Offer`] as versions write it that know classes by their places in the settings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacedOffer {
    id: String,
    class: usize,
    dest: u64,
    key: Option<String>,
    idempotency: Option<String>,
    time_left: Nanos,
    body: Bytes,
    owner: String,
}

impl PlacedOffer {
    /// The same with the name of its class, where these are the names of the settings; none if it has no class there.
    pub fn named(self, names: &[String]) -> Option<Offer> {
        let PlacedOffer { id, class, dest, key, idempotency, time_left, body, owner } = self;
        let class = names.get(class)?.clone();
        Some(Offer { id, class, dest, key, idempotency, time_left, body, owner })
    }
}

/// What the successor says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToPredecessor {
    /// The first word.
    Hello(Hello),
    /// All that can be prepared is: the predecessor is to stop writing.
    Ready,
    /// The answer to a message.
    Taken(u64, Taken),
    /// The answer to an operation.
    Operated(u64, Operated),
    /// The calls of these messages are given up.
    Cancel(Vec<TransactionNo>),
}
