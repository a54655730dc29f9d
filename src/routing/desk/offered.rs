//! Offers that the core has decided on and whose clients have not heard: each has its answer once its record is written, or
//! is withdrawn.

use super::super::core::{PendingAnswer, Taken};
use super::super::values::TransactionNo;
use super::super::Offer;
use super::{Desk, Front};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// An answer to a client of the platform waits so long for its record: the client gives up soon after.
const ANSWER_WITHIN: Duration = Duration::from_millis(300);

/// An offer whose client has not heard of its answer. Where it is dropped before `heard`, its message is withdrawn.
pub struct Offered<F: Front> {
    desk: Rc<Desk<F>>,
    pending: PendingAnswer,
    /// Its answer is being sent: its client may have heard of it.
    is_being_sent: Rc<Cell<bool>>,
}

impl<F: Front> Offered<F> {
    /// The answer, once what it says is written, however long that takes.
    pub async fn answer(&self) -> Taken {
        loop {
            self.desk.until_resolved(self.pending.record()).await;
            if let Some(taken) = self.desk.act(|core, now| core.answer(now, &self.pending)) {
                return taken;
            }
        }
    }

    /// The same for a client that gives up after 400 ms. Where the record takes longer no promise can be made: it may be
    /// written yet, and a process that follows could deliver the message.
    pub(super) async fn answer_in_time(self) -> Taken {
        match timeout(ANSWER_WITHIN, self.answer()).await {
            Ok(taken) => {
                self.heard();
                taken
            }
            Err(_) => Taken::Failed,
        }
    }

    /// To be set as the first byte of the answer is written.
    pub fn being_sent(&self) -> Rc<Cell<bool>> {
        self.is_being_sent.clone()
    }

    /// The number of the message, where the offer becomes one.
    pub fn number(&self) -> Option<TransactionNo> {
        self.pending.number()
    }

    /// Its client has heard of the answer.
    pub fn heard(self) {
        if let Some(no) = self.number() {
            self.desk.unheard.borrow_mut().remove(&no);
        }
    }
}

impl<F: Front> Drop for Offered<F> {
    fn drop(&mut self) {
        let Some(no) = self.number() else { return };
        let is_unheard = self.desk.unheard.borrow_mut().remove(&no);
        if is_unheard.is_some() {
            self.desk.withdraw(no);
        }
    }
}

impl<F: Front> Desk<F> {
    /// Has the core decide on an offer, in the order of the calls; only for a process that decides.
    pub fn offer(self: &Rc<Self>, offer: Offer) -> Offered<F> {
        let pending = self.act(|core, now| core.take(now, offer));
        let is_being_sent = Rc::new(Cell::new(false));
        let unheard = pending.number().map(|no| (no, is_being_sent.clone()));
        self.unheard.borrow_mut().extend(unheard);
        Offered { desk: self.clone(), pending, is_being_sent }
    }

    /// Whether the client of this message has not heard yet that it is taken on.
    pub fn is_unheard(&self, no: TransactionNo) -> bool {
        self.unheard.borrow().contains_key(&no)
    }

    /// Withdraws what surely no client has heard of.
    pub(super) fn withdraw_unheard(&self) {
        let now = self.clock.now();
        let unheard = self.unheard.take();
        let mut core = self.core.borrow_mut();
        let surely = unheard.into_iter().filter(|(_, is_being_sent)| !is_being_sent.get());
        surely.for_each(|(no, _)| core.withdraw(now, no));
    }
}
