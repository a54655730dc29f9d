//! The desk: runs the core on the event loop for one front. Calls become tasks, due times a timer.

use super::core::{Carried, Core, Letter, Note, Work};
use super::values::{Call, Reply, TransactionNo};
use super::Clock;
use crate::catalog::{Endpoint, EndpointId};
use crate::interface::{Nanos, Outcome};
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

/// What stands before the core: it carries calls to next hops and tells ends to whoever is owed them.
pub trait Front: Sized + 'static {
    /// Carries a call to its end.
    fn carry(&self, passage: Passage<'_, Self>) -> impl Future<Output = Carried>;
    /// These transactions have their end, which is to be told until it is acknowledged.
    fn ended(&self, desk: &Rc<Desk<Self>>, nos: Vec<TransactionNo>);
    /// Idle connections to this next hop are not to be used any more.
    fn distrust(&self, endpoint: EndpointId);
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
    out: RefCell<HashMap<(TransactionNo, u32), Rc<Notify>>>,
}

/// A note in the log.
fn tell<F: Front>(note: &Note) {
    let (front, event, hop, text) = (F::NAME, note.event, note.hop.as_deref(), &note.text);
    match event {
        "journal-restored" => tracing::info!(target: "journal", event, front, "{text}"),
        _ if event.starts_with("journal") => tracing::warn!(target: "journal", event, front, "{text}"),
        "hop-down" => tracing::warn!(target: "routing", event, front, hop, "{text}"),
        _ => tracing::info!(target: "routing", event, front, hop, "{text}"),
    }
}

/// A call on its way.
pub struct Passage<'a, F> {
    pub desk: &'a Rc<Desk<F>>,
    pub call: &'a Call,
    pub hop: &'a Endpoint,
    cancel: &'a Notify,
}

impl<F: Front> Passage<'_, F> {
    /// Right before the first byte: the attempts that may still go, journaled as out.
    pub fn begin(&self) -> Vec<Letter> {
        self.desk.act(|core, now| core.begin(now, self.call))
    }

    /// All its attempts ended alike, before any was begun.
    pub fn all(&self, outcome: Outcome) -> Carried {
        let attempts = self.call.attempts.iter();
        Carried::from(attempts.map(|b| (*b, Reply::Ended(outcome))).collect::<Vec<_>>())
    }

    /// Whether what was begun may still be written, on another connection.
    pub fn may_go_on(&self, letters: &[Letter]) -> bool {
        let now = self.desk.clock.now();
        self.desk.see(|core| core.may_go_on(now, self.call, letters))
    }

    /// Completes when the core gives the call up.
    pub async fn cancelled(&self) {
        self.cancel.notified().await
    }
}

impl<F: Front> Desk<F> {
    pub fn new(core: Core, clock: Clock, front: F) -> Rc<Self> {
        let (core, out) = (RefCell::new(core), RefCell::default());
        Rc::new(Desk { clock, front, core, sooner: Notify::new(), out })
    }

    /// Does something to the core and sets going what comes of it.
    pub fn act<R>(self: &Rc<Self>, f: impl FnOnce(&mut Core, Nanos) -> R) -> R {
        let (result, work, due) = {
            let mut core = self.core.borrow_mut();
            let before = core.due();
            let result = f(&mut core, self.clock.now());
            (result, core.work(), core.due() < before)
        };
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
            if let Some(cancel) = self.out.borrow().get(&attempt) {
                cancel.notify_one();
            }
        }
        for (call, hop) in work.calls {
            let cancel = Rc::new(Notify::new());
            let mut out = self.out.borrow_mut();
            out.extend(call.attempts.iter().map(|b| ((b.transaction, b.number), cancel.clone())));
            spawn_local(self.clone().carry(call, hop, cancel));
        }
        if !work.ended.is_empty() {
            self.front.ended(self, work.ended);
        }
    }

    async fn carry(self: Rc<Self>, call: Call, hop: Endpoint, cancel: Rc<Notify>) {
        let from = self.clock.now();
        let passage = Passage { desk: &self, call: &call, hop: &hop, cancel: &cancel };
        let mut carried = self.front.carry(passage).await;
        for attempt in &call.attempts {
            if !carried.replies.iter().any(|(b, _)| b == attempt) {
                carried.replies.push((*attempt, Reply::Ended(Outcome::NotSent)));
            }
            self.out.borrow_mut().remove(&(attempt.transaction, attempt.number));
        }
        let took = self.clock.now().saturating_sub(from);
        self.act(|core, now| core.report(now, call.endpoint, &carried, took));
    }

    /// Wakes the core when it wants to be.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let due = self.see(Core::due);
            tokio::select! {
                () = sleep_until(self.clock.instant(due)), if due < Nanos::MAX => {
                    self.act(|core, now| core.tick(now));
                }
                () = self.sooner.notified() => {}
            }
        }
    }
}
