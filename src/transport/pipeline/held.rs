//! Answers on a connection with several calls that may be other calls', and what calls hear of them.

use crate::attribution::Verdict;
use crate::attribution::Via;
use crate::batching::fate::Break;
use crate::transport::answer::Answer;
use crate::transport::beginning::Beginning;
use std::rc::Rc;

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

/// An answer, as the call hears it whose turn it was.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The answer.
    pub answer: Rc<Answer>,
    /// Whether it is known to be that of the call.
    pub verdict: Verdict,
    /// The call's connection, and the place of its request there.
    pub via: Via,
    /// Where it is not known for that: answers behind it, each of which may be the call's.
    pub later: Vec<Rc<Answer>>,
    /// The same of an answer that has not come whole.
    pub begun: Beginning,
}

impl Answered {
    /// With nothing behind it.
    pub(super) fn new(answer: Answer, verdict: Verdict, via: Via) -> Answered {
        let answer = Rc::new(answer);
        Answered { answer, verdict, via, later: Vec::new(), begun: Beginning::Nothing }
    }
}

/// Answers held back, in the order in which they came, with the calls in whose places they came.
#[derive(Debug, Default)]
pub(super) struct HeldAnswers(Vec<(u64, Answered)>);

impl HeldAnswers {
    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Holds an answer that came in the place of this call.
    pub fn hold(&mut self, ticket: u64, answered: Answered) {
        self.0.push((ticket, answered));
    }

    /// What each call hears, where the connection has ended with this much of one more answer. An answer may be late by any
    /// number of copies before it, so all behind its place may be a call's own.
    pub fn resolve(self, begun: &Beginning) -> Vec<(u64, Answered)> {
        let mut later: Vec<Rc<Answer>> = Vec::new();
        let mut resolved = Vec::new();
        for (ticket, held) in self.0.into_iter().rev() {
            let own = held.answer.clone();
            resolved.push((ticket, Answered { later: later.clone(), begun: begun.clone(), ..held }));
            later.push(own);
        }
        resolved.reverse();
        resolved
    }
}
