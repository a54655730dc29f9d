//! What a desk does when another process of the relay takes over from it, or is gone again.

use super::super::core::{Adopts, Carried, Core, Released};
use super::super::handover::{CallOutcome, Successor, ToPredecessor};
use super::super::message_log;
use super::super::passage::Signals;
use super::super::values::{Attempt, Call, Reply, TransactionNo};
use super::{Desk, Front};
use crate::interface::Outcome;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A call that is given up has its outcome in this time.
const OUTCOME_WITHIN: Duration = Duration::from_millis(250);

impl<F: Front> Desk<F> {
    /// Stops deciding: another process does from now on. `seq`: the version of discovery's list that is wholly in force.
    pub fn release(self: &Rc<Self>, successor: Rc<Successor>, seq: Option<u64>, adopts: Adopts) -> Released {
        let released = self.core.borrow_mut().release(self.clock.now(), seq, adopts);
        let core = self.core.borrow();
        for call in &released.handover.calls {
            message_log::call_handed_over(call, |no| Some(core.transaction(no)?.id.as_str()));
        }
        self.reported.borrow_mut().clear();
        self.roles.retire(successor);
        self.front.retire();
        // What was not begun yet never will be here; what the other cannot adopt ends.
        let out = self.out.borrow();
        let goes_on = |signals: &Rc<Signals>| {
            let mut handed = out.iter().filter(|(attempt, _)| released.handed.contains(attempt));
            handed.any(|(_, of)| Rc::ptr_eq(of, signals))
        };
        let ending = out.values().filter(|signals| !goes_on(signals));
        ending.for_each(|signals| signals.cancelled.notify_one());
        released
    }

    /// Gives the journal to another process without more: what is out here ends with this process, and what no client has
    /// heard of is withdrawn.
    pub fn give_journal_away(&self) {
        self.withdraw_unheard();
        drop(self.core.borrow_mut().release(self.clock.now(), None, Adopts::AllAttempts));
    }

    /// Gives up all calls that are out, since the process that had to hear of them is gone, and waits until what they were
    /// answered has been read. A message whose call has no outcome by then may have had its final answer.
    pub async fn give_up_calls(&self) {
        self.cancel_each(|_| true);
        let all_ended = async {
            while !self.out.borrow().is_empty() {
                self.call_ended.notified().await;
            }
        };
        if timeout(OUTCOME_WITHIN, all_ended).await.is_err() {
            let unheard = self.messages_out();
            tracing::warn!(target: "takeover", event = "calls-not-ended", front = F::NAME, nos = ?unheard, "calls that were given up have not ended: their keys wait for that");
            let unknown = Reply::MustEnd(Outcome::Cancelled);
            self.reported.borrow_mut().extend(unheard.into_iter().map(|no| (no, unknown)));
        }
    }

    /// Messages of which a call is out, here or at the process before this one.
    pub fn messages_out(&self) -> HashSet<TransactionNo> {
        self.out.borrow().keys().map(|(no, _)| *no).collect()
    }

    /// Decides again, by a core that was made of the journal and of the calls here that have not ended: the process that had
    /// taken over is gone.
    pub fn resume(self: &Rc<Self>, core: Core) {
        self.life.set(self.life.get() + 1);
        // The core adopts those that have not ended.
        self.forget_calls();
        self.core.replace(core);
        self.roles.resume();
        let reported = self.reported.take();
        self.act(|core, now| core.answered_before(now, &reported));
        self.sooner.notify_one();
    }

    fn forget_calls(&self) {
        self.out.take();
        self.adopted.take();
    }

    /// Whether the process that took over may not have heard of an answer after which no call may follow.
    pub fn has_unheard(&self) -> bool {
        !self.reported.borrow().is_empty()
    }

    /// The process that took over is gone, and this one decides no more: nothing is left to be heard of it.
    pub fn orphan(&self) {
        self.forget_calls();
        self.reported.take();
        self.roles.orphan();
    }

    /// Writes down what was reported in vain, by a core that was made of the journal, and gives the journal away again.
    pub fn record_unheard(&self, mut core: Core) {
        let now = self.clock.now();
        let reported = self.reported.take();
        core.answered_before(now, &reported);
        drop(core.release(now, None, Adopts::AllAttempts));
        let (front, count) = (F::NAME, reported.len());
        tracing::info!(target: "takeover", event = "answers-recorded", front, count, "answers reported to a process that is gone are in the journal");
    }

    /// A call has ended that the process before this one had made, or this one by an earlier core.
    pub fn adopted_ended(self: &Rc<Self>, outcome: CallOutcome) {
        let CallOutcome { replies, limit, idle, echo, wait, refused, took } = outcome;
        let has_ended = |attempt: &Attempt| replies.iter().any(|(no, _)| *no == attempt.transaction);
        let Some(call) = self.take_adopted(has_ended) else {
            if self.roles.serves() {
                self.act(|core, now| core.answered_before(now, &replies));
            }
            return;
        };
        let attempt_of = |no: TransactionNo| call.attempts.iter().find(|a| a.transaction == no);
        let replies = replies.iter().filter_map(|(no, reply)| Some((*attempt_of(*no)?, *reply))).collect();
        let carried = Carried { replies, limit, idle, echo, wait, refused, ..Carried::default() };
        self.ended(&call, carried, took, self.life.get());
    }

    /// Takes out an adopted call with attempts that have ended; others of it stay.
    fn take_adopted(&self, has_ended: impl Fn(&Attempt) -> bool) -> Option<Call> {
        let mut adopted = self.adopted.borrow_mut();
        let place = adopted.iter().position(|call| call.attempts.iter().any(&has_ended))?;
        let Call { endpoint, attempts } = adopted.swap_remove(place);
        let (ended, open): (Vec<_>, Vec<_>) = attempts.into_iter().partition(has_ended);
        if !open.is_empty() {
            adopted.push(Call { endpoint, attempts: open });
        }
        Some(Call { endpoint, attempts: ended })
    }

    /// The process before this one is gone: its calls that had no outcome may have run.
    pub fn predecessor_gone(self: &Rc<Self>) {
        self.roles.follow(None);
        for call in std::mem::take(&mut *self.adopted.borrow_mut()) {
            let replies =
                call.attempts.iter().map(|a| (*a, Reply::Ended(Outcome::Broken))).collect::<Vec<_>>();
            self.ended(&call, Carried::from(replies), 0, self.life.get());
        }
    }

    /// Gives up calls that were handed over open, as the process that took over wants.
    pub fn cancel(&self, nos: &[TransactionNo]) {
        self.cancel_each(|no| nos.contains(no));
    }

    fn cancel_each(&self, is_given_up: impl Fn(&TransactionNo) -> bool) {
        let out = self.out.borrow();
        let given_up = out.iter().filter(|((no, _), _)| is_given_up(no));
        given_up.for_each(|(_, signals)| signals.cancelled.notify_one());
        // Of them, those that the process before this one made.
        let adopted = self.adopted.borrow();
        let before = adopted.iter().flat_map(|c| &c.attempts).map(|a| a.transaction);
        let before: Vec<TransactionNo> = before.filter(is_given_up).collect();
        if !before.is_empty() {
            self.roles.tell_predecessor(ToPredecessor::Cancel(before));
        }
    }

    /// Forgets what was reported once the process that took over has heard of it.
    pub(super) async fn forget_once_heard(
        self: Rc<Self>,
        reported: Vec<(TransactionNo, Reply)>,
        successor: Rc<Successor>,
    ) {
        if successor.has_heard().await {
            self.reported.borrow_mut().retain(|kept| !reported.contains(kept));
        }
    }
}
