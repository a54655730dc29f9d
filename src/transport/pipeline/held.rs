//! Answers on a connection with several calls that may be other calls', and what calls hear of them.

use crate::batching::fate::Break;
use crate::transport::answer::{Answer, Answered};
use crate::transport::beginning::Beginning;
use std::rc::Rc;

/// Bytes that an answer takes beside its body.
const ANSWER_BYTES: usize = 1_024;

/// What a call hears in the end.
pub type Heard = Result<Answered, Broken>;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Broken {
    /// How it ended.
    pub how: Break,
    /// Another call on the same connection has told of this break already.
    pub echo: bool,
    /// What has come of its answer.
    pub beginning: Beginning,
}

/// Answers held back, in the order in which they came, with the calls in whose places they came.
#[derive(Debug, Default)]
pub(super) struct HeldAnswers {
    in_place: Vec<(u64, Answered)>,
    /// Those that came when every call had had one.
    surplus: Vec<Rc<Answer>>,
}

impl HeldAnswers {
    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.in_place.is_empty()
    }

    /// Bytes that they take.
    pub fn bytes(&self) -> usize {
        let in_place = self.in_place.iter().map(|(_, answered)| &answered.answer);
        in_place.chain(&self.surplus).map(|answer| ANSWER_BYTES + answer.body.len()).sum()
    }

    /// Holds an answer that came in the place of this call.
    pub fn hold(&mut self, ticket: u64, answered: Answered) {
        self.in_place.push((ticket, answered));
    }

    /// Holds an answer that came behind those of all calls.
    pub fn hold_surplus(&mut self, answer: Answer) {
        self.surplus.push(Rc::new(answer));
    }

    /// What each call hears, where the connection has ended with this much of one more answer. An answer may be late by any
    /// number of copies before it, so all behind its place may be a call's own.
    pub fn resolve(self, begun: &Beginning) -> Vec<(u64, Answered)> {
        let mut later = self.surplus;
        let mut resolved = Vec::new();
        for (ticket, held) in self.in_place.into_iter().rev() {
            let own = held.answer.clone();
            resolved.push((ticket, Answered { later: later.clone(), begun: begun.clone(), ..held }));
            later.push(own);
        }
        resolved.reverse();
        resolved
    }
}
