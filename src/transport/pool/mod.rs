//! Connections to next hops that wait for their next call.

mod lease;

pub use lease::Lease;

use super::connection::Line;
use super::network::Net;
use crate::attribution::{Audit, Counts, Reuse, Sources};
use crate::crowding::Holding;
use crate::interface::Nanos;
use crate::routing::EndpointId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep_until, Instant};

/// Most bytes of an answer, with all that comes before and behind it.
pub(super) const ANSWER_MOST: usize = 128 * 1024;

/// A pool of idle lines by next hop. Each carries one call at a time and is closed before the other side
/// would close it.
pub struct Pool {
    net: Net,
    idle: RefCell<HashMap<EndpointId, Vec<Idle>>>,
    /// Lines that are open or opening.
    open: Cell<usize>,
    most: Cell<usize>,
    /// When the clock of `holding` began, and how long lines wait for a next call.
    from: Instant,
    holding: RefCell<Holding>,
    /// Tells the sweep that lines are to be closed sooner.
    sooner: Notify,
    /// What has waited longer is not to be used.
    trusted: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    sources: RefCell<Sources>,
    /// Counts answers, and checks what rests on them.
    pub audit: Rc<RefCell<Audit>>,
    /// What of it the log was told.
    told: RefCell<Counts>,
}

/// A line that waits, and the kind of its next hop.
struct Idle {
    dial: SocketAddr,
    kind: usize,
    lives: Nanos,
    line: Line,
}

/// Why there is no line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoLease {
    /// The next hop refused it or it did not come up in time.
    NotUp,
    /// This process holds as many as it may.
    OutOfRoom,
}

/// Why a line is closed by us, as the log tells it.
#[derive(Clone, Copy, Debug)]
enum Closed {
    /// The other side had closed it, or something came on it without a call.
    ByPeer,
    /// It had waited as long as a line to such a next hop may.
    Waited,
    /// The list names another address.
    Moved,
    /// Its call had no answer that is known to be its own, or it was its last.
    Spent,
    /// Another one needs its place.
    Replaced,
    /// Nothing goes to its next hop any more.
    Distrusted,
}

/// Why a line that waited is closed.
fn why_closed(line: &Line) -> Closed {
    if line.usable() {
        Closed::Waited
    } else {
        Closed::ByPeer
    }
}

fn log_closed(line: &Line, why: Closed) {
    let (connection, requests) = (line.number(), line.exchanges.requests());
    tracing::debug!(target: "routing", event = "connection-closed", connection, requests, ?why);
}

/// What a pool goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolTerms {
    /// Connections that may be open.
    pub most: usize,
    /// How long one may wait for its next call.
    pub keepalive: Duration,
    /// Relays that call the same endpoints.
    pub senders: u32,
    /// A connection that is not there by then never will be.
    pub connect_timeout: Duration,
}

impl Pool {
    /// A connection that is not there by then never will be.
    pub fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Goes by other terms from now on: those that wait are closed by them, too.
    pub fn retune(&self, terms: PoolTerms) {
        let PoolTerms { most, keepalive, senders, connect_timeout } = terms;
        self.most.set(most);
        self.connect_timeout.set(connect_timeout);
        self.holding.borrow_mut().set(keepalive.as_nanos() as Nanos, senders);
        self.trusted.set(keepalive);
        self.sooner.notify_one();
    }

    /// One that goes by these terms.
    pub fn new(net: Net, terms: PoolTerms) -> Rc<Self> {
        let PoolTerms { most, keepalive, senders, connect_timeout } = terms;
        let (idle, open, from) = (RefCell::default(), Cell::new(0), Instant::now());
        let holding = RefCell::new(Holding::new(keepalive.as_nanos() as Nanos, senders));
        let (trusted, sooner) = (Cell::new(keepalive), Notify::new());
        let (sources, audit, told) = (RefCell::default(), Rc::default(), RefCell::default());
        Rc::new(Pool {
            net,
            idle,
            open,
            most: Cell::new(most),
            from,
            holding,
            sooner,
            trusted,
            connect_timeout: Cell::new(connect_timeout),
            sources,
            audit,
            told,
        })
    }

    fn now(&self) -> Nanos {
        self.from.elapsed().as_nanos() as Nanos
    }

    /// Whether a call to this next hop may go on a connection with many others: their answers can be told apart, as far as
    /// is known.
    pub fn may_pipeline(&self, endpoint: EndpointId, repeatable: bool) -> bool {
        self.sources.borrow().reuse(endpoint, repeatable, self.now()) == Reuse::Yes
    }

    /// A success came from this next hop that may belong to another call.
    pub fn doubtful_success(&self, endpoint: EndpointId, asked_to_close: bool) {
        self.sources.borrow_mut().doubtful_success(endpoint, asked_to_close, self.now());
    }

    /// A next hop of this kind had no room for one more connection.
    pub fn turned_away(&self, kind: usize) {
        self.holding.borrow_mut().turned_away(kind, self.now());
        self.sooner.notify_one();
    }

    /// How long a line of this kind may wait for its next call.
    fn held(&self, kind: usize) -> Duration {
        Duration::from_nanos(self.holding.borrow().of(kind, self.now()))
    }

    /// A line to this next hop: the one used last of those that wait and may carry the call, else a new one.
    pub async fn lease(
        self: &Rc<Self>,
        endpoint: EndpointId,
        dial: SocketAddr,
        kind: usize,
        repeatable: bool,
    ) -> Result<Lease, NoLease> {
        let held = self.held(kind).min(self.trusted.get());
        let reuse = self.sources.borrow().reuse(endpoint, repeatable, self.now());
        while let Some(Idle { dial: at, line, lives, .. }) = self.pop(endpoint, reuse, repeatable) {
            let waited = line.idle_since.elapsed().max(Duration::from_nanos(1));
            let is_last = reuse == Reuse::AsLast;
            let mut lease =
                Lease { pool: self.clone(), endpoint, dial, kind, lives, line: Some(line), waited, is_last };
            let fresh = |l: &Line| l.usable() && l.idle_since.elapsed() < held;
            if at == dial && lease.line.as_ref().is_some_and(fresh) {
                return Ok(lease);
            }
            if let Some(line) = lease.line.take() {
                self.note_surplus(endpoint, &line);
                log_closed(&line, if at == dial { why_closed(&line) } else { Closed::Moved });
            }
        }
        if reuse == Reuse::No {
            self.close_one(endpoint);
        }
        if self.open.get() >= self.most.get() && !self.close_oldest() {
            return Err(NoLease::OutOfRoom);
        }
        self.open.set(self.open.get() + 1);
        let waited = Duration::ZERO;
        let (pool, is_last) = (self.clone(), false);
        let mut lease = Lease { pool, endpoint, dial, kind, lives: 0, line: None, waited, is_last };
        lease.renew().await?;
        Ok(lease)
    }

    fn pop(&self, endpoint: EndpointId, reuse: Reuse, repeatable: bool) -> Option<Idle> {
        if reuse == Reuse::No {
            return None;
        }
        let (mut idle, sources) = (self.idle.borrow_mut(), self.sources.borrow());
        let lines = idle.get_mut(&endpoint)?;
        let at = lines.iter().rposition(|idle| sources.may_carry(&idle.line.exchanges, repeatable))?;
        Some(lines.remove(at))
    }

    /// Closes the line to this next hop that waits longest: another is opened in its place.
    fn close_one(&self, endpoint: EndpointId) {
        let mut idle = self.idle.borrow_mut();
        if let Some(lines) = idle.get_mut(&endpoint).filter(|lines| !lines.is_empty()) {
            log_closed(&lines.remove(0).line, Closed::Replaced);
            self.open.set(self.open.get() - 1);
        }
    }

    /// An answer came without a call.
    pub fn surplus(&self, endpoint: EndpointId) {
        tracing::warn!(target: "routing", event = "answer-surplus", endpoint, "an answer came without a call");
        self.audit.borrow_mut().surplus();
        self.sources.borrow_mut().surplus(endpoint, self.now());
    }

    /// Whether something came on a line that waited.
    fn note_surplus(&self, endpoint: EndpointId, line: &Line) {
        if line.had_surplus() {
            self.surplus(endpoint);
        }
    }

    /// Tells the log what of answers was counted, where some were not as they should be.
    fn tell_counts(&self) {
        let counts = self.audit.borrow().counts().clone();
        let told = self.told.replace(counts.clone());
        let odd = |c: &Counts| (c.doubtful.clone(), c.surplus, c.violations);
        if odd(&counts) != odd(&told) {
            let Counts { first, unlike, doubtful, surplus, violations } = counts;
            tracing::info!(target: "routing", event = "answers", first, unlike, ?doubtful, surplus, violations);
        }
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first = |(hop, lines): (&EndpointId, &Vec<Idle>)| Some((lines.first()?.line.idle_since, *hop));
        let Some((_, hop)) = idle.iter().filter_map(first).min() else { return false };
        if let Some(lines) = idle.get_mut(&hop) {
            log_closed(&lines.remove(0).line, Closed::Replaced);
            self.open.set(self.open.get() - 1);
        }
        true
    }

    /// From now on a line that has waited for so long is not used any more.
    pub fn trust(&self, idle: Duration) {
        self.trusted.set(idle);
    }

    /// Closes all that waits.
    pub fn close_all_idle(&self) {
        let endpoints: Vec<EndpointId> = self.idle.borrow().keys().copied().collect();
        endpoints.into_iter().for_each(|endpoint| self.close_idle(endpoint));
    }

    /// Closes what waits for this next hop.
    pub fn close_idle(&self, endpoint: EndpointId) {
        let lines = self.idle.borrow_mut().remove(&endpoint).unwrap_or_default();
        lines.iter().for_each(|idle| log_closed(&idle.line, Closed::Distrusted));
        self.open.set(self.open.get() - lines.len());
    }

    /// Closes lines that have waited too long or that the other side has closed.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            let step = Duration::from_nanos(self.holding.borrow().shortest(self.now()) / 8);
            tokio::select! {
                () = sleep_until(Instant::now() + step) => {}
                () = self.sooner.notified() => {}
            }
            self.tell_counts();
            let mut idle = self.idle.borrow_mut();
            let mut closed = 0;
            for (endpoint, lines) in idle.iter_mut() {
                let before = lines.len();
                lines.retain(|i| {
                    let keeps = i.line.usable() && i.line.idle_since.elapsed() < self.held(i.kind);
                    if !keeps {
                        self.note_surplus(*endpoint, &i.line);
                        log_closed(&i.line, why_closed(&i.line));
                    }
                    keeps
                });
                closed += before - lines.len();
            }
            idle.retain(|_, lines| !lines.is_empty());
            self.open.set(self.open.get() - closed);
        }
    }
}
