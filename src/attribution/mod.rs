//! Whether an answer on a connection is known to be the answer to the call that is out on it. No I/O, no clock.
//!
//! HTTP/1.1 matches answers to requests by their order alone, so an answer that comes twice would pass as the answer to
//! the next call. What is sent twice reads like the answer of which it is a copy. So an answer that reads like no
//! earlier one on its connection is no copy, and where every call before it had its own answer, it is the answer to the
//! call that is out. Any other answer is doubtful: nothing may rest on it, and its connection carries no further call.
//!
//! [`Exchanges`] decides this for one connection, [`Sources`] which calls may share a connection with earlier ones at
//! an endpoint, and [`Audit`] counts answers and checks each decision against a second account.
#![warn(missing_docs)]

mod audit;
mod fingerprint;
mod sources;

pub use audit::{Audit, Counts};
pub use fingerprint::Fingerprint;
pub use sources::{Reuse, Sources};

use std::collections::HashSet;
use std::fmt;

/// Answers that a connection carries at most: each is remembered as long as it is open.
const ANSWERS_MOST: usize = 512;
/// Statuses of final answers that deliver nothing. A second one on a connection would read like the first, and a message that
/// is not over would have to end for its copy.
const FINAL: [u16; 2] = [410, 504];

/// The connection of a call, and its place among the requests on it, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub struct Via {
    /// The connection's number in the log.
    pub connection: u64,
    /// 1 for the first request that it carries.
    pub request: usize,
}

impl fmt::Display for Via {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection {} request {}", self.connection, self.request)
    }
}

/// Why an answer is known to be the one to the call that is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Its connection carried no other call.
    First,
    /// It reads like none of the answers before it, each of which was known to be its call's.
    Unlike,
}

/// Why an answer may belong to another call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Doubt {
    /// It reads like an earlier answer on its connection.
    Repeats,
    /// It has not come whole, and what has come reads like the beginning of an earlier one.
    Cut,
    /// An earlier call on its connection has no answer that is known to be its own.
    OutOfStep,
    /// Its call was given up before it was read: the endpoint may not count it as an answer.
    GivenUp,
}

/// What is decided of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the call that is out.
    Known(Proof),
    /// It may be the answer to another.
    Doubtful(Doubt),
}

impl Verdict {
    /// Whether it is the answer to the call that is out.
    pub fn is_known(self) -> bool {
        matches!(self, Verdict::Known(_))
    }

    /// Whether it reads like an earlier one. One that only came behind such an answer may well be honest.
    pub fn is_repeat(self) -> bool {
        matches!(self, Verdict::Doubtful(Doubt::Repeats | Doubt::Cut))
    }
}

/// The calls and answers of one connection.
#[derive(Debug, Default)]
pub struct Exchanges {
    requests: usize,
    answers: usize,
    statuses: HashSet<u16>,
    heads: HashSet<u64>,
    wholes: HashSet<u64>,
    /// Why no further answer is known to be its call's.
    doubted: Option<Doubt>,
}

impl Exchanges {
    /// Another request is written.
    pub fn requested(&mut self) {
        self.requests += 1;
    }

    /// The last request of those that are out was not written after all.
    pub fn taken_back(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }

    /// Requests written so far.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Whether no answer had this status so far.
    pub fn is_new_status(&self, status: u16) -> bool {
        !self.statuses.contains(&status)
    }

    /// What an answer is of which only the status is known for certain.
    pub fn judge_status(&self, status: u16) -> Verdict {
        self.judge(self.is_new_status(status), Doubt::Cut)
    }

    /// What an answer is whose head has come.
    pub fn judge_head(&self, answer: &Fingerprint) -> Verdict {
        self.judge(!self.heads.contains(&answer.head()), Doubt::Cut)
    }

    /// What an answer is that has come whole.
    pub fn judge_whole(&self, answer: &Fingerprint) -> Verdict {
        self.judge(!self.wholes.contains(&answer.whole()), Doubt::Repeats)
    }

    /// With calls behind one another the answer is that to the oldest that is out, so those behind it do not count.
    fn judge(&self, unlike: bool, otherwise: Doubt) -> Verdict {
        let out_of_step = (self.answers >= self.requests).then_some(Doubt::OutOfStep);
        if let Some(doubt) = self.doubted.or(out_of_step) {
            return Verdict::Doubtful(doubt);
        }
        match (self.answers, unlike) {
            (0, _) => Verdict::Known(Proof::First),
            (_, true) => Verdict::Known(Proof::Unlike),
            (_, false) => Verdict::Doubtful(otherwise),
        }
    }

    /// An answer has come whole that may be another call's: so may those behind it.
    pub fn doubted(&mut self) {
        self.doubted.get_or_insert(Doubt::OutOfStep);
    }

    /// The calls that are out are given up: nothing rests on what is still answered.
    pub fn given_up(&mut self) {
        self.doubted.get_or_insert(Doubt::GivenUp);
    }

    /// An answer that is known to be its call's has come whole.
    pub fn answered(&mut self, answer: &Fingerprint) {
        self.answers += 1;
        self.statuses.insert(answer.status());
        self.heads.insert(answer.head());
        self.wholes.insert(answer.whole());
    }

    /// Whether every request has had an answer that was known to be its own, so that another may be written.
    pub fn in_step(&self) -> bool {
        self.answers == self.requests && self.may_carry_more()
    }

    /// Whether the answer to one more request could be remembered, and none so far was final.
    pub fn may_carry_more(&self) -> bool {
        self.requests < ANSWERS_MOST && FINAL.iter().all(|status| self.is_new_status(*status))
    }

    /// Whether every answer so far was a success: a refusal would be the first one and so known for certain.
    pub fn only_successes(&self) -> bool {
        self.statuses.iter().all(|status| *status == fingerprint::SUCCESS)
    }
}
