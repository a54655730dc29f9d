//! The platform's front: callers hand messages in, next hops take them, ends go out as notices.

mod call;
mod ends;
mod intake;
mod list_log;
mod meaning;
mod notice_log;
mod standby;

pub use ends::tell_ends;
pub use intake::answer;
pub use list_log::text as list_figures;
pub use notice_log::text as notice_figures;

use call::{admitted, conclude, exchange, log_call, unanswered};
use meaning::cut_off;

use super::hook;
use crate::admission::messages::MessageShares;
use crate::attribution::{Doubt, Verdict};
use crate::batching::fate::{fate, Break, Fate};
use crate::interface::{Nanos, Outcome};
use crate::memory::MemoryBudget;
use crate::notices::Schedule;
use crate::polling::{ListStatus, ListSteps, NotificationBudget};
use crate::routing::core::{Carried, Ended, Piping};
use crate::routing::desk::Passage;
use crate::routing::{Desk, EndpointId, Front, Reply, TransactionNo};
use crate::transport::beginning::Beginning;
use crate::transport::connection::Unsent;
use crate::transport::network::Net;
use crate::transport::pipeline::{Broken, Pipelines};
use crate::transport::pool::NoLease;
use crate::transport::tap::Tapped;
use crate::transport::Pool;
use hyper::StatusCode;
use std::cell::{Cell, OnceCell, RefCell};
use std::future::{ready, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::yield_now;
use tokio::time::sleep;

/// What holds for requests of a class that do not say it themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defaults {
    pub dest: Option<u64>,
    pub time_left: Option<Nanos>,
}

impl PathClasses {
    /// The class of a path, by its first part.
    fn place_of(&self, path: &str) -> Option<usize> {
        let name = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or("");
        self.names.iter().position(|class| class == name).or(self.rest)
    }
}

/// The classes that clients may name.
#[derive(Clone, Debug, Default)]
pub struct PathClasses {
    pub names: Vec<String>,
    pub defaults: Vec<Defaults>,
    /// For paths that begin like none of them.
    pub rest: Option<usize>,
    /// The longest time that a message may be given; 0: any.
    pub longest: Nanos,
}

pub struct Platform {
    /// For discovery and notices.
    pub net: Net,
    pub pool: Rc<Pool>,
    /// For next hops that take calls behind one another.
    pub pipelines: Pipelines,
    /// Bodies of requests draw on it.
    pub memory: Rc<MemoryBudget>,
    /// The classes in force, which may change.
    pub classes: RefCell<Rc<PathClasses>>,
    /// Where discovery and notices are, which may change.
    pub agent: watch::Sender<Option<SocketAddr>>,
    /// Whether callers are sent away.
    pub draining: watch::Sender<bool>,
    /// Who holds how much of the room for messages.
    shares: RefCell<MessageShares>,
    /// Ends that the platform has not acknowledged.
    owed: RefCell<Schedule>,
    /// How old the list in force is.
    list: Cell<ListStatus>,
    /// When the first end was owed, or the platform was told the first time.
    started: OnceCell<Nanos>,
    more_owed: Notify,
}

impl Platform {
    pub fn new(
        net: Net,
        pool: Rc<Pool>,
        pipelines: Pipelines,
        classes: PathClasses,
        agent: Option<SocketAddr>,
        memory: Rc<MemoryBudget>,
    ) -> Self {
        let (owed, more_owed) = (RefCell::default(), Notify::new());
        let started = OnceCell::new();
        let classes = RefCell::new(Rc::new(classes));
        let (agent, draining) = (watch::Sender::new(agent), watch::Sender::new(false));
        let (shares, list) = (RefCell::default(), Cell::default());
        Platform {
            net,
            pool,
            pipelines,
            memory,
            classes,
            agent,
            draining,
            shares,
            owed,
            list,
            started,
            more_owed,
        }
    }
}

impl Platform {
    /// How old the list in force is.
    pub fn list_status(&self) -> ListStatus {
        self.list.get()
    }

    /// The time in which lists have to come into force from now on, where there is such a time.
    pub fn keep_list_budget(&self, budget: Option<NotificationBudget>) {
        let mut status = self.list.get();
        status.keep(budget);
        self.list.set(status);
    }
}

impl Front for Platform {
    const NAME: &'static str = "platform";

    async fn carry(&self, passage: Passage<'_, Self>) -> Carried {
        let longest = passage.call.attempts.iter().map(|b| b.timeout).max().unwrap_or(0);
        let from = passage.desk.clock.now();
        let hop = passage.hop;
        let piping = passage.desk.see(|core| core.piping(passage.call));
        if let Some(piping) = piping.filter(|p| self.pool.may_pipeline(hop.id, p.repeatable)) {
            return self.pipe(passage, piping, longest).await;
        }
        let repeatable = passage.desk.see(|core| core.is_repeatable(passage.call));
        let leased = tokio::select! {
            leased = self.pool.lease(hop.id, hop.address, hop.kind, repeatable) => leased,
            () = passage.cancelled() => return passage.all(Outcome::NoConnection),
            () = sleep(Duration::from_nanos(longest)) => return passage.all(Outcome::NoConnection),
        };
        let mut lease = match leased {
            Ok(lease) => lease,
            Err(NoLease::NotUp) => return passage.all(Outcome::NoConnection),
            Err(NoLease::OutOfRoom) => return passage.all(Outcome::NotSent),
        };
        let letters = passage.begin(lease.via()).await;
        let left = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
        let Some((request, len)) = hook::request(hop.address, &letters, left).filter(|_| !letters.is_empty())
        else {
            lease.give_back();
            return Carried::default();
        };
        let writing = RefCell::default();
        let exchange = async {
            let mut sent = exchange(&mut lease, request.clone(), len, &letters, &writing).await;
            // The line was closed before the request was written whole, be it while it waited or when it was
            // new: another, twice at most.
            for _ in 0..2 {
                let answered = lease.line().is_some_and(|line| line.beginning() != Beginning::Nothing);
                if !matches!(sent, Err(Unsent::Never))
                    || answered
                    || lease.renew().await.is_err()
                    || !passage.may_go_on(&letters)
                {
                    break;
                }
                sent = exchange(&mut lease, request.clone(), len, &letters, &writing).await;
            }
            sent
        };
        let sent = {
            let mut exchange = pin!(exchange);
            let mut timed_out = pin!(sleep(Duration::from_nanos(left)));
            let given_up = loop {
                tokio::select! {
                    sent = &mut exchange => break Err(sent),
                    () = &mut timed_out => break Ok(Outcome::TimedOut),
                    () = passage.cancelled() => break Ok(Outcome::Cancelled),
                    () = passage.ended() => {
                        if let Some(outcome) = writing.borrow().as_deref().and_then(half_written) {
                            break Ok(outcome);
                        }
                    }
                }
            };
            match given_up {
                Err(sent) => sent.map_err(unsent),
                Ok(outcome) => match last_look(exchange).await {
                    Some(sent) => sent.map_err(unsent),
                    None => Err(outcome),
                },
            }
        };
        let exchanged = match sent {
            Ok(exchanged) => exchanged.heard_out(&mut lease).await,
            Err(outcome) => unanswered(outcome, &mut lease, &letters).await,
        };
        conclude(exchanged, lease, hop, &letters, &self.pool)
    }

    fn ended(&self, desk: &Rc<Desk<Self>>, ended: Vec<Ended>) {
        self.owe(desk, &ended);
    }

    fn over(&self, nos: &[TransactionNo]) {
        let mut shares = self.shares.borrow_mut();
        let mut owed = self.owed.borrow_mut();
        for no in nos {
            shares.over(*no);
            owed.forget(*no);
        }
    }

    fn way_is_late(&self, now: Nanos, late: Duration) {
        self.owed.borrow_mut().answered_late(now, late.as_nanos() as Nanos);
    }

    fn list_came_into_force(&self, steps: ListSteps) {
        let mut status = self.list.get();
        let late = status.came_into_force(steps);
        self.list.set(status);
        list_log::tell(&steps, late);
    }

    fn list_is_current_as_of(&self, asked: Nanos) {
        let mut status = self.list.get();
        status.is_current_as_of(asked);
        self.list.set(status);
    }

    fn held_up(&self, time: Nanos) {
        self.owed.borrow_mut().held_up(time);
    }

    fn drain(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    fn retire(&self) {
        self.owed.borrow_mut().clear();
        self.shares.borrow_mut().clear();
        self.pool.close_all_idle();
    }

    fn distrust(&self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
        self.pipelines.suspend(endpoint);
    }

    fn trust(&self, idle: Nanos) {
        self.pool.trust(Duration::from_nanos(idle));
    }
}

fn unsent(unsent: Unsent) -> Outcome {
    match unsent {
        Unsent::Never => Outcome::NoConnection,
        Unsent::Perhaps => Outcome::Broken,
    }
}

/// What becomes of a call that is not to go on, where it is not written whole: it may have run only if that is not certain.
fn half_written(tap: &Tapped) -> Option<Outcome> {
    match tap.is_request_written() {
        true => None,
        false if tap.is_request_surely_cut() => Some(Outcome::NotSent),
        false => Some(Outcome::Broken),
    }
}

/// What a call that is being given up has come to after all: its answer may have come in this turn of the loop.
async fn last_look<T>(call: impl Future<Output = T>) -> Option<T> {
    yield_now().await;
    tokio::select! {
        biased;
        done = call => Some(done),
        () = ready(()) => None,
    }
}

impl Platform {
    /// Carries a call on a connection that takes several behind one another.
    async fn pipe(&self, passage: Passage<'_, Self>, piping: Piping, longest: Nanos) -> Carried {
        let (hop, pipelines) = (passage.hop, &self.pipelines);
        let from = passage.desk.clock.now();
        let ready = pipelines.ready(hop.id, hop.address, piping.repeatable, piping.depth, piping.connections);
        let ready = tokio::select! {
            ready = ready => ready,
            () = passage.cancelled() => return passage.all(Outcome::NotSent),
            () = sleep(Duration::from_nanos(longest)) => return passage.all(Outcome::NotSent),
        };
        match ready {
            Ok(()) => {}
            Err(NoLease::NotUp) => return passage.all(Outcome::NoConnection),
            Err(NoLease::OutOfRoom) => return passage.all(Outcome::NotSent),
        }
        let Some(place) = pipelines.place(hop.id, hop.address, piping.repeatable) else {
            return passage.all(Outcome::NotSent);
        };
        let via = place.via();
        let letters = passage.begin(via).await;
        let left = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
        let Some(request) = hook::wire(hop.address, &letters, left).filter(|_| !letters.is_empty()) else {
            return Carried::default();
        };
        let Some(mut pending) = place.send(request) else {
            return Carried::each(&letters, Reply::Ended(Outcome::NotSent));
        };
        let mut timed_out = pin!(sleep(Duration::from_nanos(left)));
        let given_up = loop {
            tokio::select! {
                heard = pending.answer() => break Err(heard),
                () = &mut timed_out => break Ok(Outcome::TimedOut),
                () = passage.cancelled() => break Ok(Outcome::Cancelled),
                () = passage.ended() => {
                    if !pending.is_written() {
                        break Ok(Outcome::Broken);
                    }
                }
            }
        };
        let (heard, otherwise) = match given_up {
            Err(heard) => (Some(heard), Outcome::Broken),
            Ok(outcome) => {
                // Its answer may have come in this turn of the loop.
                yield_now().await;
                (pending.give_up().await, outcome)
            }
        };
        match heard {
            None => Carried::each(&letters, Reply::Ended(otherwise)),
            Some(Ok(answered)) => {
                if answered.answer.status == StatusCode::OK && answered.verdict.is_repeat() {
                    self.pool.doubtful_success(hop.id, false);
                }
                let unknown = match answered.verdict {
                    Verdict::Doubtful(Doubt::GivenUp) => otherwise,
                    _ => Outcome::Doubtful,
                };
                let carried = admitted(&answered, unknown, hop, &letters, &self.pool);
                log_call(hop, &letters, answered.via, &carried, Some(answered.verdict));
                carried
            }
            Some(Err(Broken { how, echo, beginning })) => {
                let outcome = match (fate(how), how) {
                    // Of a line that broke only the first says that its host may be down.
                    (Fate::NeverRan, _) if echo => Outcome::NotSent,
                    (Fate::NeverRan, _) => Outcome::NoConnection,
                    (Fate::MayHaveRun, Break::AnswerCut | Break::Unreadable) => Outcome::Spoilt,
                    (Fate::MayHaveRun, _) => otherwise,
                };
                let carried =
                    Carried { echo, ..cut_off(&beginning, &[], &Beginning::Nothing, outcome, &letters) };
                log_call(hop, &letters, via, &carried, None);
                carried
            }
        }
    }
}
