//! Puts discovery's lists in force piece by piece, so that no message waits for a long one.
//!
//! A list that has come whole is applied by a task of its own: it goes on to its end whatever becomes of whoever
//! followed discovery, so a move of discovery or the relay's end leaves no destination between two lists.

use super::departures::DepartureKeeper;
use crate::catalog::{Draft, Endpoint, EndpointUpdate, PendingUpdate};
use crate::interface::Nanos;
use crate::polling::ListSteps;
use crate::protocol::discovery::{Committed, ListArrival, ListReceiver};
use crate::routing::{Desk, Front};
use std::cell::{Cell, OnceCell, RefCell};
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
    /// The update that is being put in force, and the list of discovery that it is.
    pending: RefCell<Option<(PendingUpdate, Option<ListArrival>)>>,
    /// Counts how often what was known of discovery's list was dropped: drafts of before do not count.
    generation: Cell<u64>,
    /// Tells the task that there is one.
    queued: Notify,
    /// Tells those who wait that there is none any more.
    idle: Notify,
    /// The version of discovery's list that is wholly in force.
    in_force: Cell<Option<u64>>,
    /// Keeps which endpoints drain or have left.
    departures: OnceCell<Rc<DepartureKeeper>>,
}

/// Something else was put in force since the draft was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stale;

impl<F: Front> Listing<F> {
    /// For this desk, with the version of discovery's list that is known; `apply` has to run for anything to come into
    /// force.
    pub fn new(desk: Rc<Desk<F>>, seq: Option<u64>) -> Rc<Self> {
        let (pending, generation, in_force) = (RefCell::default(), Cell::default(), Cell::new(seq));
        let (queued, idle, departures) = (Notify::new(), Notify::new(), OnceCell::new());
        Rc::new(Listing { desk, pending, generation, queued, idle, in_force, departures })
    }

    /// The version of discovery's list that is wholly in force.
    pub fn in_force(&self) -> Option<u64> {
        self.in_force.get()
    }

    /// Has this keeper notified of each list that comes into force.
    pub(super) fn keep_departures(&self, keeper: Rc<DepartureKeeper>) {
        self.departures.set(keeper).ok();
    }

    /// Drops what is pending: another process decides from now on.
    pub fn retire(&self) {
        self.pending.take();
        self.begin_generation();
    }

    /// Drops what is pending, and what was known of discovery's list: endpoints are told by other names from now on.
    pub fn restart(&self) {
        self.pending.take();
        self.forget_version();
    }

    /// Forgets which version is in force: another agent is asked for its whole list. What is pending still comes into force.
    pub fn forget_version(&self) {
        if let Some((_, list)) = self.pending.borrow_mut().as_mut() {
            list.take();
        }
        self.in_force.set(None);
        self.begin_generation();
    }

    fn begin_generation(&self) {
        self.generation.set(self.generation.get() + 1);
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
        let Some((mut update, list)) = self.pending.take() else { return false };
        if self.desk.act(|core, now| core.advance(now, &mut update)) {
            self.pending.replace(Some((update, list)));
        } else {
            if let Some(list) = &list {
                self.in_force.set(Some(list.seq));
                self.desk.front.list_came_into_force(self.steps(list));
            }
            if let Some(keeper) = self.departures.get() {
                self.desk.see(|core| keeper.take_in(core.catalog(), list.map(|list| list.seq)));
            }
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

    fn put(&self, draft: Draft, whole: bool, list: Option<ListArrival>) -> Result<(), Stale> {
        let current = self.desk.see(|core| core.is_current(&draft));
        if !current || self.pending.borrow().is_some() {
            return Err(Stale);
        }
        self.pending.replace(Some((draft.complete(whole), list)));
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
            longest_step: list.longest_step.as_nanos() as Nanos,
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
            if self.put(draft, update.whole, None).is_ok() {
                return self.settled().await;
            }
        }
    }
}

/// What `follow` is given.
pub struct Feed<F>(pub Rc<Listing<F>>);

/// A draft, and the generation of lists that it was begun in.
pub struct FeedDraft {
    draft: Draft,
    generation: u64,
}

impl<F: Front> ListReceiver for Feed<F> {
    type Draft = FeedDraft;

    async fn begin(&self) -> FeedDraft {
        let draft = self.0.begin().await;
        FeedDraft { draft, generation: self.0.generation.get() }
    }

    fn entry(&self, draft: &mut FeedDraft, endpoint: Endpoint) {
        self.0.compare(&mut draft.draft, endpoint);
    }

    async fn commit(&self, draft: FeedDraft, list: ListArrival) -> Committed {
        let FeedDraft { draft, generation } = draft;
        let is_dropped = || self.0.generation.get() != generation;
        if is_dropped() || self.0.put(draft, list.whole, Some(list)) == Err(Stale) {
            tracing::info!(target: "platform", event = "list-superseded", "a list of discovery came after another had taken its place");
            return Committed::Superseded;
        }
        self.0.settled().await;
        match is_dropped() {
            true => Committed::Superseded,
            false => Committed::InForce,
        }
    }

    fn answered(&self, late: Duration) {
        let desk = &self.0.desk;
        desk.front.way_is_late(desk.clock.now(), late);
    }

    fn is_current_as_of(&self, asked: Instant) {
        self.0.desk.front.list_is_current_as_of(self.0.on_clock(asked));
    }
}
