//! What the facade is told and gives back.

use super::super::values::{Call, End, Limit, OpenAttempt, TransactionNo};
use crate::catalog::EndpointId;
use crate::decision::Knowledge;
use crate::interface::{MessageRules, Nanos};

/// What the module wants done now.
#[derive(Debug, Default)]
pub struct Picked {
    pub calls: Vec<Call>,
    pub ends: Vec<(TransactionNo, End)>,
    /// Attempts to give up.
    pub dropped: Vec<(TransactionNo, u32)>,
    /// Next hops whose idle connections are to be closed.
    pub distrusted: Vec<EndpointId>,
    pub notes: Vec<String>,
    /// Idle time after which connections are not to be used any more.
    pub trusted_idle: Nanos,
    /// Endpoints of which it may have changed whether they are in an outage or just back from one, and whether they are.
    pub endpoint_outages: Vec<(EndpointId, bool)>,
    /// The same of destinations, with the calls a second that those that are had served before.
    pub destination_outages: Vec<(u64, Option<f64>)>,
}

/// What came with the answer to a call, beside the ends of its attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    /// The next hop's own limit.
    pub limit: Option<(EndpointId, Limit)>,
    /// How long it wants to be left alone.
    pub wait: Option<(EndpointId, Nanos)>,
    /// For how long the connection had waited before.
    pub idle: Option<Nanos>,
    /// The break was told of with another call.
    pub echo: bool,
}

/// What the module needs to know of a transaction.
#[derive(Clone, Debug)]
pub struct Ask {
    pub transaction: TransactionNo,
    pub class: usize,
    pub dest: u64,
    pub key: Option<String>,
    pub time_left: Nanos,
    /// Attempts of an earlier life, and how long ago and in which zone the first that may have run went out.
    pub past: Option<(u32, Option<(Nanos, usize)>)>,
    /// Bytes that it takes of a call's body.
    pub bytes: usize,
    /// It has its end, of which its caller has not been told yet.
    pub ended: bool,
    /// It has had a final answer: it is not sent any more.
    pub spent: bool,
}

/// An endpoint that was in an outage when an earlier life ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointOutage {
    pub endpoint: EndpointId,
    /// How long ago its destination was last called, where that is known.
    pub last_call: Option<Nanos>,
    /// The highest rate at which it has served calls of this relay, a second; 0: not known.
    pub rate: f64,
}

/// A destination that was in an outage when an earlier life ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationOutage {
    pub dest: u64,
    /// How long ago it was last called, where that is known.
    pub last_call: Option<Nanos>,
    /// The rate at which its endpoints together had served calls of this relay, a second; 0: not known.
    pub rate: f64,
}

/// What an earlier life left, with times as spans from now.
#[derive(Clone, Debug, Default)]
pub struct Left {
    /// Classes that are not in force any more, by the numbers that messages name.
    pub classes: Vec<(usize, MessageRules)>,
    pub asks: Vec<Ask>,
    pub endpoint_outages: Vec<EndpointOutage>,
    pub destination_outages: Vec<DestinationOutage>,
    /// What another process has learned.
    pub knowledge: Option<Knowledge>,
    /// Keys that rest, and the message that does not wait for it.
    pub keys: Vec<(String, Nanos, TransactionNo)>,
    /// Calls that are out at another process.
    pub calls: Vec<LeftCall>,
}

/// A call that is out at another process.
#[derive(Clone, Debug)]
pub struct LeftCall {
    pub endpoint: EndpointId,
    /// How long ago it was begun.
    pub ago: Nanos,
    pub attempts: Vec<OpenAttempt>,
}
