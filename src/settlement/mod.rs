//! What follows for a message from the answer to its call: nothing more is owed, no attempt is left, it may go out again,
//! or it has to end. No I/O, no clock.
//!
//! A final answer delivers nothing and allows no further call: the message is over, has had all its attempts, or is
//! rejected for good. An answer that cannot be believed is no leave to call again: [`settle`] lets a message go out again
//! only where what has come of its answer cannot have been a final one.
//!
//! | said of the message | proven | doubtful | cut |
//! | --- | --- | --- | --- |
//! | delivered | settled | may go out again | may go out again |
//! | over | settled | has to end | has to end |
//! | no attempt left, rejected | spent | has to end | has to end |
//! | anything else | may go out again | may go out again | may go out again |
//! | nothing, though others are named | may go out again | may go out again | has to end |
//! | so little that it may become a final answer | | has to end | has to end |
//!
//! Whether a message that may go out again does so is for its class to say.
#![warn(missing_docs)]

mod audit;
mod reply;

pub use audit::{Audit, Counts, Last, LastWord};
pub use reply::{Reply, Standing};

use crate::interface::Outcome;

/// What an answer says of one message, as far as it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    /// This.
    Plainly(Reply),
    /// It names others and not this one, or names it in several ways of which none is final.
    Nothing,
    /// It names it in several ways of which one is final.
    Contradictory,
    /// What has come may become a final answer, or not.
    MaybeFinal,
    /// Whatever it was to say, it was no final answer.
    NotFinal,
}

impl Said {
    /// Whether what was said may be a final answer, however far it can be believed: for the run-time check, beside [`settle`].
    pub fn may_be_final(self, certainty: Certainty) -> bool {
        match self {
            Said::Plainly(reply) => reply.is_final(),
            Said::Contradictory | Said::MaybeFinal => true,
            Said::Nothing => certainty == Certainty::Cut,
            Said::NotFinal => false,
        }
    }
}

/// How far an answer can be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Certainty {
    /// It has come as far as it has to, and is known to be that of the call.
    Proven,
    /// It may be that of another call.
    Doubtful,
    /// It has not come whole.
    Cut,
}

/// What follows for a message of which an answer says this. `otherwise`: what became of the attempt where the answer does
/// not tell.
pub fn settle(said: Said, certainty: Certainty, otherwise: Outcome) -> Reply {
    match (said, certainty) {
        (Said::Plainly(reply), Certainty::Proven) => reply,
        (Said::Plainly(reply), _) if reply.is_final() => Reply::MustEnd(otherwise),
        (Said::Contradictory | Said::MaybeFinal, _) => Reply::MustEnd(otherwise),
        // What is missing of it may have named the message.
        (Said::Nothing, Certainty::Cut) => Reply::MustEnd(otherwise),
        (Said::Plainly(_) | Said::Nothing | Said::NotFinal, _) => Reply::Ended(otherwise),
    }
}

/// The same where one of several answers may be the call's, and nobody knows which: `said` is what each says of the message,
/// and whether it has come whole.
pub fn settle_among(said: impl IntoIterator<Item = (Said, Certainty)>, otherwise: Outcome) -> Reply {
    let mut settled = said.into_iter().map(|(said, certainty)| settle(said, certainty, otherwise));
    settled.find(|reply| reply.is_final()).unwrap_or(Reply::Ended(otherwise))
}

#[cfg(test)]
mod tests {
    use super::*;

    const CERTAINTIES: [Certainty; 3] = [Certainty::Proven, Certainty::Doubtful, Certainty::Cut];

    /// Guards final answers: believed or not, none of them lets its message go out again.
    #[test]
    fn no_final_answer_is_leave_to_call_again() {
        for reply in [Reply::Over, Reply::Spent, Reply::Rejected { reason: 8 }] {
            for certainty in CERTAINTIES {
                let settled = settle(Said::Plainly(reply), certainty, Outcome::Doubtful);
                assert_ne!(settled.standing(), Standing::MayGoAgain, "{reply:?} {certainty:?}");
                assert_eq!(settled == reply, certainty == Certainty::Proven);
            }
        }
        for certainty in CERTAINTIES {
            for said in [Said::MaybeFinal, Said::Contradictory] {
                let settled = settle(said, certainty, Outcome::Spoilt);
                assert_eq!(settled.standing(), Standing::MustEnd, "{said:?} {certainty:?}");
            }
        }
    }

    /// Guards what may be repeated: an answer that cannot have been final ends no message.
    #[test]
    fn what_cannot_be_final_lets_a_message_go_out_again() {
        let error = Said::Plainly(Reply::Ended(Outcome::Error));
        let served = Said::Plainly(Reply::Ended(Outcome::Served));
        for said in [error, served, Said::NotFinal] {
            for certainty in [Certainty::Doubtful, Certainty::Cut] {
                assert_eq!(settle(said, certainty, Outcome::Spoilt), Reply::Ended(Outcome::Spoilt));
            }
        }
        assert_eq!(settle(served, Certainty::Proven, Outcome::Spoilt).standing(), Standing::Settled);
        let unnamed =
            CERTAINTIES.map(|certainty| settle(Said::Nothing, certainty, Outcome::Spoilt).standing());
        assert_eq!(unnamed, [Standing::MayGoAgain, Standing::MayGoAgain, Standing::MustEnd]);
    }
}
