//! A submit on a bind. It is over by its answer, by the end of its link, or where it was never written: until then it has its
//! place in the window, and its message does not go again.

use super::bind::Seat;
use super::link::{Link, Unanswered};
use super::open_submits::SubmitPermit;
use crate::interface::Outcome;
use crate::routing::core::{Carried, Letter};
use crate::routing::Reply;
use crate::settlement::{settle, Certainty, Said};
use rusmpp::{Command, CommandStatus, Pdu};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

type Exchange = Pin<Box<dyn Future<Output = Result<Box<Command>, Unanswered>>>>;

/// A submit that is on its way or out.
pub struct Submission {
    seat: Seat,
    exchange: Exchange,
    is_written: Rc<Cell<bool>>,
    is_over: bool,
    /// It is not waited for any more, for this reason.
    given_up: Option<Outcome>,
    /// Falls with the place in the window.
    _permit: SubmitPermit,
}

/// What came of a submit that is over. Only a `Submission` makes one, and only of this does the core hear what became of a
/// submit that may have been written.
#[must_use]
pub struct Over(Reply);

impl Over {
    /// For the core, with whose word the message may go again.
    pub fn carried(self, letter: &Letter) -> Carried {
        vec![(letter.attempt, self.0)].into()
    }
}

impl Submission {
    /// Begins to submit on a place in a window.
    pub fn begin(seat: Seat, permit: SubmitPermit, pdu: Pdu) -> Submission {
        let is_written = Rc::new(Cell::new(false));
        let exchange = Link::exchange(seat.link().clone(), pdu, is_written.clone());
        let exchange = Box::pin(exchange);
        Submission { seat, exchange, is_written, is_over: false, given_up: None, _permit: permit }
    }

    /// Whether all of it was passed to the system: the SMSC may have it.
    pub fn is_written(&self) -> bool {
        self.is_written.get()
    }

    /// Completes when it is over.
    pub async fn over(&mut self) -> Over {
        let exchanged = (&mut self.exchange).await;
        self.is_over = true;
        Over(match exchanged {
            Ok(answer) => reply_to(answer.status()),
            Err(Unanswered::Unwritten) => Reply::Ended(Outcome::NoConnection),
            Err(Unanswered::Lost) => Reply::Ended(self.given_up.unwrap_or(Outcome::Broken)),
            Err(Unanswered::Cut(cut)) => {
                let said = cut.status.map_or(Said::MaybeFinal, |status| Said::Plainly(reply_to(status)));
                settle(said, Certainty::Cut, Outcome::Broken)
            }
        })
    }

    /// Takes it back where it was not written whole. Returns it where it was: it is not over.
    pub fn take_back(self, outcome: Outcome) -> Result<Over, Submission> {
        if self.is_written() {
            Err(self)
        } else {
            Ok(Over(Reply::Ended(outcome)))
        }
    }

    /// Its answer is overdue: has its link end where the SMSC says nothing at all any more.
    pub fn check_link(&self) {
        self.seat.ask_whether_it_is_there();
    }

    /// It is not waited for any more. Its bind takes nothing new and ends once the others on it are over, and with it this one.
    pub fn give_up(&mut self, outcome: Outcome) {
        if self.given_up.is_none() {
            self.given_up = Some(outcome);
            self.seat.give_up();
        }
    }
}

impl Drop for Submission {
    /// Whoever waits for it no longer may not leave it out.
    fn drop(&mut self) {
        if !self.is_over && self.is_written() {
            self.seat.link().close();
        }
    }
}

/// What the status of an answer to a submit means.
fn reply_to(status: CommandStatus) -> Reply {
    use CommandStatus::*;
    match status {
        EsmeRok => Reply::Ended(Outcome::Served),
        EsmeRthrottled | EsmeRmsgqful => Reply::Ended(Outcome::Full { wait: 0 }),
        // The bind is not what we took it for: it has not been looked at.
        EsmeRinvbndsts => Reply::Ended(Outcome::NoConnection),
        // These say nothing of the message itself, and not that it did not run.
        EsmeRsyserr | EsmeRsubmitfail | EsmeRunknownerr | EsmeRdeliveryfailure => {
            Reply::Ended(Outcome::Error)
        }
        EsmeRxTAppn => Reply::Ended(Outcome::Error),
        Other(_) => Reply::Ended(Outcome::Error),
        permanent => Reply::Rejected { reason: u32::from(permanent) },
    }
}
