//! Puts discovery's lists in force piece by piece, so that no message waits for a long one.
//!
//! A list that has come whole is applied by a task of its own: it goes on to its end whatever becomes of whoever
//! followed discovery, so a move of discovery or the relay's end leaves no destination between two lists.

use crate::catalog::{Draft, Endpoint, EndpointUpdate, PendingUpdate};
use crate::interface::Nanos;
use crate::polling::ListSteps;
use crate::protocol::discovery::{ListArrival, ListReceiver};
use crate::routing::{Desk, Front};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// Entries of a list at hand that are compared in one turn of the loop.
const COMPARED_AT_ONCE: usize = 1_024;

/// Takes lists in for the core of one desk.
pub struct Listing<F> {
    desk: Rc<Desk<F>>,
    /// The update that is being put in force.
    pending: RefCell<Option<PendingUpdate>>,
    /// Tells the task that there is one.
    queued: Notify,
    /// Tells those who wait that there is none any more.
    idle: Notify,
    /// The version of discovery's list that is wholly in force.
    in_force: Cell<Option<u64>>,
}

/// Something else was put in force since the draft was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stale;

impl<F: Front> Listing<F> {
    /// For this desk, with the version of discovery's list that is known; `apply` has to run for anything to come into
    /// force.
    pub fn new(desk: Rc<Desk<F>>, seq: Option<u64>) -> Rc<Self> {
        let (pending, in_force) = (RefCell::default(), Cell::new(seq));
        Rc::new(Listing { desk, pending, queued: Notify::new(), idle: Notify::new(), in_force })
    }

    /// The version of discovery's list that is wholly in force.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force.get()
    }

    /// Drops what is pending: another process decides from now on.
    pub fn retire(&self) {
        self.pending.take();
    }

    /// Drops what is pending, and what was known of discovery's list: endpoints are told by other names from now on.
    pub fn restart(&self) {
        self.pending.take();
        self.in_force.set(None);
    }

    /// Applies what is committed, for good.
    pub async fn apply(self: Rc<Self>) {
        loop {
            while self.advance() {
                yield_now().await;
            }
            self.idle.notify_waiters();
            self.queued.notified().await;
        }
    }

    /// Takes one step of the pending update; false once none is pending.
    fn advance(&self) -> bool {
        let Some(mut pending) = self.pending.take() else { return false };
        if self.desk.act(|core, now| core.advance(now, &mut pending)) {
            self.pending.replace(Some(pending));
        }
        true
    }

    /// Waits until nothing is pending.
    async fn settled(&self) {
        loop {
            let idle = self.idle.notified();
            if self.pending.borrow().is_none() {
                return;
            }
            idle.await;
        }
    }

    async fn begin(&self) -> Draft {
        self.settled().await;
        self.desk.see(|core| core.catalog().begin())
    }

    fn put(&self, draft: Draft, whole: bool) -> Result<(), Stale> {
        let current = self.desk.see(|core| core.is_current(&draft));
        if !current || self.pending.borrow().is_some() {
            return Err(Stale);
        }
        self.pending.replace(Some(draft.complete(whole)));
        self.queued.notify_one();
        Ok(())
    }

    /// The clock's time at an instant that has passed.
    fn on_clock(&self, instant: Instant) -> Nanos {
        self.desk.clock.now().saturating_sub(instant.elapsed().as_nanos() as Nanos)
    }

    /// When each step of a list was done that is in force now.
    fn steps(&self, list: &ListArrival) -> ListSteps {
        ListSteps {
            seq: list.seq,
            whole: list.whole,
            asked_before: list.asked_before.map(|asked| self.on_clock(asked)),
            asked: self.on_clock(list.asked),
            answered: self.on_clock(list.answered),
            read: self.on_clock(list.read),
            in_force: self.desk.clock.now(),
        }
    }

    fn compare(&self, draft: &mut Draft, endpoint: Endpoint) {
        self.desk.see(|core| draft.entry(core.catalog(), endpoint));
    }

    /// Puts a list at hand in force, after all that is pending.
    pub async fn learn(&self, update: &EndpointUpdate) {
        loop {
            let mut draft = self.begin().await;
            for entries in update.endpoints.chunks(COMPARED_AT_ONCE) {
                entries.iter().for_each(|endpoint| self.compare(&mut draft, endpoint.clone()));
                yield_now().await;
            }
            if self.put(draft, update.whole).is_ok() {
                return self.settled().await;
            }
        }
    }
}

/// What `follow` is given.
pub struct Feed<F>(pub Rc<Listing<F>>);

impl<F: Front> ListReceiver for Feed<F> {
    type Draft = Draft;

    async fn begin(&self) -> Draft {
        self.0.begin().await
    }

    fn entry(&self, draft: &mut Draft, endpoint: Endpoint) {
        self.0.compare(draft, endpoint);
    }

    async fn commit(&self, draft: Draft, list: ListArrival) {
        let ListArrival { seq, whole, .. } = list;
        // A list at hand has taken discovery's place meanwhile.
        if self.0.put(draft, whole) == Err(Stale) {
            tracing::info!(target: "platform", event = "list-superseded", "a list of discovery came after another had taken its place");
            return;
        }
        self.0.settled().await;
        self.0.in_force.set(Some(seq));
        self.0.desk.front.list_came_into_force(self.0.steps(&list));
    }

    fn answered(&self, late: Duration) {
        let desk = &self.0.desk;
        desk.front.way_is_late(desk.clock.now(), late);
    }

    fn is_current_as_of(&self, asked: Instant) {
        self.0.desk.front.list_is_current_as_of(self.0.on_clock(asked));
    }
}
