//! The desk: runs the core on the event loop for one front. Calls become tasks, due times a timer.

mod hold_ups;
mod offered;
mod records;
mod takeover;

use super::core::{Carried, Core, Ended, Note, Offer, Taken, Work};
use super::handover::{CallOutcome, Operated, Operation, Roles, ToPredecessor, ToSuccessor};
pub use super::passage::Passage;
use super::passage::Signals;
use super::values::{Call, Reply, Standing, TransactionNo};
use super::Clock;
use crate::catalog::{Endpoint, EndpointId};
use crate::interface::{Nanos, Outcome};
use crate::polling::ListSteps;
use hold_ups::HoldUps;
pub use offered::Offered;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// Time is kept at least so often, so that hold-ups are seen.
const LOOK_EACH: Nanos = 100_000_000;

/// What stands before the core: it carries calls to next hops and tells ends to whoever is owed them.
pub trait Front: Sized + 'static {
    /// Carries a call to its end.
    fn carry(&self, passage: Passage<'_, Self>) -> impl Future<Output = Carried>;
    /// These transactions have their end, which is to be told until it is acknowledged.
    fn ended(&self, desk: &Rc<Desk<Self>>, ended: Vec<Ended>);
    /// Nothing is owed of these transactions any more.
    fn over(&self, _nos: &[TransactionNo]) {}
    /// Idle connections to this next hop are not to be used any more.
    fn distrust(&self, endpoint: EndpointId);
    /// The way to where ends are told is so slow, as something else that came from there shows.
    fn way_is_late(&self, _now: Nanos, _late: Duration) {}
    /// A list of endpoints came into force.
    fn list_came_into_force(&self, _steps: ListSteps) {}
    /// What discovery had at this moment is in force.
    fn list_is_current_as_of(&self, _asked: Nanos) {}
    /// The event loop was held up for so long.
    fn held_up(&self, _time: Nanos) {}
    /// Callers are sent away from now on, or may come again.
    fn drain(&self, _draining: bool) {}
    /// Another process decides from now on, and tells what ends are owed.
    fn retire(&self) {}
    /// Nor are, from now on, those that have waited for so long.
    fn trust(&self, _idle: Nanos) {}
    /// What the log calls it.
    const NAME: &'static str;
}

pub struct Desk<F> {
    pub clock: Clock,
    pub front: F,
    core: RefCell<Core>,
    /// A sooner due time than the timer waits for.
    sooner: Notify,
    /// The calls that are out, by each of their attempts.
    out: RefCell<HashMap<(TransactionNo, u32), Rc<Signals>>>,
    /// Calls that are out at the process before this one.
    adopted: RefCell<Vec<Call>>,
    /// Whether this process decides, and its ways to the others of its relay.
    pub roles: Roles,
    /// What was reported to the process that took over of answers after which no call may follow, until it has heard.
    reported: RefCell<Vec<(TransactionNo, Reply)>>,
    /// A call has its outcome.
    call_ended: Notify,
    /// Records wait to be written.
    to_write: Notify,
    /// Records were written, or given up.
    written: Notify,
    /// Messages whose clients are not known to have heard that they are taken on, and whether they may have.
    unheard: RefCell<HashMap<TransactionNo, Rc<Cell<bool>>>>,
    /// Counts the cores that this process had: outcomes of calls of an earlier one mean nothing to the next.
    life: Cell<u32>,
}

/// A note in the log.
fn tell<F: Front>(note: &Note) {
    let (front, event, hop, text) = (F::NAME, note.event, note.hop.as_deref(), &note.text);
    match event {
        "journal-restored" => tracing::info!(target: "journal", event, front, "{text}"),
        _ if event.starts_with("journal") => tracing::warn!(target: "journal", event, front, "{text}"),
        _ if event.ends_with("-violation") => {
            tracing::error!(target: "routing", event, front, hop, "{text}")
        }
        "hop-down" => tracing::warn!(target: "routing", event, front, hop, "{text}"),
        _ => tracing::info!(target: "routing", event, front, hop, "{text}"),
    }
}

fn is_of(call: &Call, (no, number): (TransactionNo, u32)) -> bool {
    call.attempts.iter().any(|a| a.transaction == no && a.number == number)
}

impl<F: Front> Desk<F> {
    pub fn new(core: Core, clock: Clock, front: F) -> Rc<Self> {
        Rc::new(Desk {
            clock,
            front,
            core: RefCell::new(core),
            sooner: Notify::new(),
            out: RefCell::default(),
            adopted: RefCell::default(),
            roles: Roles::default(),
            reported: RefCell::default(),
            call_ended: Notify::new(),
            to_write: Notify::new(),
            written: Notify::new(),
            unheard: RefCell::default(),
            life: Cell::new(0),
        })
    }

    /// Whether this process decides, by the same core as then.
    pub(super) fn decides(&self, life: u32) -> bool {
        self.roles.serves() && self.life.get() == life
    }

    /// Takes a message on, or has the process do it that took over.
    pub async fn take(self: &Rc<Self>, offer: Offer) -> Taken {
        let deadline = self.clock.now().saturating_add(offer.time_left);
        loop {
            let time_left = deadline.saturating_sub(self.clock.now());
            let offer = Offer { time_left, ..offer.clone() };
            if self.roles.serves() {
                return self.offer(offer).answer_in_time().await;
            }
            if let Some(successor) = self.roles.successor() {
                if let Some(taken) = successor.take(offer).await {
                    return taken;
                }
            }
            // What the other took on before it was gone is in the journal, so that it may not be called refused.
            if !self.roles.decided().await {
                return Taken::Failed;
            }
        }
    }

    /// Puts an operator's call in force, here or at the process that took over; none where nobody decides any more. The answer
    /// says that all that happened before it is written: whoever heard it may forget what it had told.
    pub async fn operate(self: &Rc<Self>, operation: &Operation) -> Option<Operated> {
        loop {
            if self.roles.serves() {
                let (operated, record) =
                    self.act(|core, now| (core.operate(now, operation), core.records_queued()));
                self.until_resolved(record).await;
                return Some(operated);
            }
            if let Some(successor) = self.roles.successor() {
                if let Some(operated) = successor.operate(operation.clone()).await {
                    return Some(operated);
                }
            }
            if !self.roles.decided().await {
                return None;
            }
        }
    }

    /// Whoever handed it in never heard that it was taken on.
    pub fn withdraw(self: &Rc<Self>, no: TransactionNo) {
        match self.roles.successor() {
            None if self.roles.serves() => self.act(|core, now| core.withdraw(now, no)),
            None => {}
            Some(successor) => successor.tell(ToSuccessor::Withdraw(no)),
        }
    }

    /// Does something to the core and sets going what comes of it.
    pub fn act<R>(self: &Rc<Self>, f: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        let (result, work, due, wants_write) = {
            let mut core = self.core.borrow_mut();
            let (before, resolved) = (core.due(), core.records_resolved());
            let now = self.clock.now();
            let result = f(&mut core, now);
            // However that came about: by a write, or a copy that holds them.
            if core.records_resolved() != resolved {
                core.tell_written(now);
                self.written.notify_waiters();
            }
            (result, core.work(), core.due() < before, core.wants_write())
        };
        if wants_write {
            self.to_write.notify_one();
        }
        if due {
            self.sooner.notify_one();
        }
        self.set_going(work);
        result
    }

    /// Looks something up.
    pub fn see<R>(&self, f: impl FnOnce(&Core) -> R) -> R {
        f(&self.core.borrow())
    }

    /// Calls that are out.
    pub fn calls_out(&self) -> usize {
        self.out.borrow().len()
    }

    fn set_going(self: &Rc<Self>, work: Work) {
        work.notes.iter().for_each(tell::<F>);
        if let Some(idle) = work.trusted_idle {
            self.front.trust(idle);
        }
        work.distrusted.into_iter().for_each(|hop| self.front.distrust(hop));
        for attempt in work.dropped {
            if let Some(signals) = self.out.borrow().get(&attempt) {
                signals.cancelled.notify_one();
            }
            if self.adopted.borrow().iter().any(|call| is_of(call, attempt)) {
                self.roles.tell_predecessor(ToPredecessor::Cancel(vec![attempt.0]));
            }
        }
        for attempt in work.ended_out {
            if let Some(signals) = self.out.borrow().get(&attempt) {
                signals.ended.notify_one();
            }
        }
        if let Some(draining) = work.draining {
            self.front.drain(draining);
        }
        for call in work.adopted {
            let signals = Rc::new(Signals::default());
            let attempts = call.attempts.iter().map(|a| ((a.transaction, a.number), signals.clone()));
            self.out.borrow_mut().extend(attempts);
            self.adopted.borrow_mut().push(call);
        }
        for (call, hop) in work.calls {
            let signals = Rc::new(Signals::default());
            let mut out = self.out.borrow_mut();
            out.extend(call.attempts.iter().map(|b| ((b.transaction, b.number), signals.clone())));
            spawn_local(self.clone().carry(call, hop, signals));
        }
        self.front.over(&work.over);
        if !work.ended.is_empty() {
            self.front.ended(self, work.ended);
        }
    }

    async fn carry(self: Rc<Self>, call: Call, hop: Endpoint, signals: Rc<Signals>) {
        let from = self.clock.now();
        let life = self.life.get();
        let passage = Passage { desk: &self, call: &call, hop: &hop, signals: &signals, life };
        let mut carried = self.front.carry(passage).await;
        for attempt in &call.attempts {
            if !carried.replies.iter().any(|(b, _)| b == attempt) {
                carried.replies.push((*attempt, Reply::Ended(Outcome::NotSent)));
            }
        }
        let took = self.clock.now().saturating_sub(from);
        self.ended(&call, carried, took, life);
    }

    /// Has the outcome of a call decided on, here or where that is done now.
    fn ended(self: &Rc<Self>, call: &Call, carried: Carried, took: Nanos, life: u32) {
        if self.life.get() != life {
            return self.adopted_ended(CallOutcome::of(call, carried, took));
        }
        let answers = carried.replies.iter().map(|(attempt, reply)| (attempt.transaction, *reply));
        let last: Vec<_> = answers.filter(|(_, reply)| reply.standing() != Standing::MayGoAgain).collect();
        for attempt in &call.attempts {
            self.out.borrow_mut().remove(&(attempt.transaction, attempt.number));
        }
        self.call_ended.notify_one();
        match self.roles.successor() {
            None if self.roles.serves() => {
                self.act(|core, now| core.report(now, call.endpoint, &carried, took));
            }
            None => {}
            Some(successor) => {
                successor.report(call, carried, took);
                if !last.is_empty() {
                    self.reported.borrow_mut().extend(&last);
                    spawn_local(self.clone().forget_once_heard(last, successor));
                }
            }
        }
    }

    /// Wakes the core when it wants to be, and tells of hold-ups of the event loop.
    pub async fn keep_time(self: Rc<Self>) {
        let mut hold_ups = HoldUps::default();
        loop {
            let (due, now) = (self.see(Core::due), self.clock.now());
            let wakes_at = due.min(now + LOOK_EACH);
            hold_ups.wait_until(wakes_at.max(now));
            tokio::select! {
                () = sleep_until(self.clock.instant(wakes_at)) => {
                    let now = self.clock.now();
                    if let Some(time) = hold_ups.woken(F::NAME, now) {
                        self.front.held_up(time);
                    }
                    if due == wakes_at {
                        self.act(|core, now| core.tick(now));
                    }
                }
                () = self.sooner.notified() => {}
            }
        }
    }
}
