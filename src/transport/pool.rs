//! Connections to next hops that wait for their next call.

use super::connection::Line;
use super::network::{out_of_room, Net};
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
    most: usize,
    /// When the clock of `holding` began, and how long lines wait for a next call.
    from: Instant,
    holding: RefCell<Holding>,
    /// Tells the sweep that lines are to be closed sooner.
    sooner: Notify,
    /// What has waited longer is not to be used.
    trusted: Cell<Duration>,
    connect_timeout: Duration,
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

/// A line taken out of the pool; dropped, it closes.
pub struct Lease {
    pool: Rc<Pool>,
    endpoint: EndpointId,
    dial: SocketAddr,
    kind: usize,
    line: Option<Line>,
    /// Until when the line may be used.
    lives: Nanos,
    /// How long the line had waited in the pool; nothing for a new one.
    waited: Duration,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.pool.open.set(self.pool.open.get() - 1);
    }
}

impl Lease {
    pub fn line(&mut self) -> Option<&mut Line> {
        self.line.as_mut()
    }

    /// How long its line had waited in the pool, where the other side may have closed it; nothing for a new one.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// A new line in place of the one it has.
    pub async fn renew(&mut self) -> Result<(), NoLease> {
        (self.line, self.waited) = (None, Duration::ZERO);
        let pool = &self.pool;
        self.lives = pool.holding.borrow_mut().opened(pool.now());
        match Line::open(&pool.net, self.dial, pool.connect_timeout, ANSWER_MOST).await {
            Ok(line) => self.line = Some(line),
            Err(e) if out_of_room(&e) => {
                pool.close_oldest();
                return Err(NoLease::OutOfRoom);
            }
            Err(_) => return Err(NoLease::NotUp),
        }
        Ok(())
    }

    /// Puts the line back for the next call.
    pub fn give_back(mut self) {
        if let Some(mut line) = self.line.take().filter(|_| self.pool.now() < self.lives) {
            line.idle_since = Instant::now();
            self.pool.open.set(self.pool.open.get() + 1);
            let idle = Idle { dial: self.dial, kind: self.kind, lives: self.lives, line };
            self.pool.idle.borrow_mut().entry(self.endpoint).or_default().push(idle);
        }
    }
}

impl Pool {
    pub fn new(
        net: Net,
        most: usize,
        keepalive: Duration,
        senders: u32,
        connect_timeout: Duration,
    ) -> Rc<Self> {
        let (idle, open, from) = (RefCell::default(), Cell::new(0), Instant::now());
        let holding = RefCell::new(Holding::new(keepalive.as_nanos() as Nanos, senders));
        let (trusted, sooner) = (Cell::new(keepalive), Notify::new());
        Rc::new(Pool { net, idle, open, most, from, holding, sooner, trusted, connect_timeout })
    }

    fn now(&self) -> Nanos {
        self.from.elapsed().as_nanos() as Nanos
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

    /// A line to this next hop: the one used last of those that wait, else a new one.
    pub async fn lease(
        self: &Rc<Self>,
        endpoint: EndpointId,
        dial: SocketAddr,
        kind: usize,
    ) -> Result<Lease, NoLease> {
        let held = self.held(kind).min(self.trusted.get());
        while let Some(Idle { dial: at, line, lives, .. }) = self.pop(endpoint) {
            let waited = line.idle_since.elapsed().max(Duration::from_nanos(1));
            let mut lease =
                Lease { pool: self.clone(), endpoint, dial, kind, lives, line: Some(line), waited };
            let fresh = |l: &Line| l.usable() && l.idle_since.elapsed() < held;
            if at == dial && lease.line.as_ref().is_some_and(fresh) {
                return Ok(lease);
            }
            lease.line = None;
        }
        if self.open.get() >= self.most && !self.close_oldest() {
            return Err(NoLease::OutOfRoom);
        }
        self.open.set(self.open.get() + 1);
        let waited = Duration::ZERO;
        let mut lease = Lease { pool: self.clone(), endpoint, dial, kind, lives: 0, line: None, waited };
        lease.renew().await?;
        Ok(lease)
    }

    fn pop(&self, endpoint: EndpointId) -> Option<Idle> {
        self.idle.borrow_mut().get_mut(&endpoint)?.pop()
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first = |(hop, lines): (&EndpointId, &Vec<Idle>)| Some((lines.first()?.line.idle_since, *hop));
        let Some((_, hop)) = idle.iter().filter_map(first).min() else { return false };
        if let Some(lines) = idle.get_mut(&hop) {
            lines.remove(0);
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
            let mut idle = self.idle.borrow_mut();
            let mut closed = 0;
            for lines in idle.values_mut() {
                let before = lines.len();
                lines.retain(|i| i.line.usable() && i.line.idle_since.elapsed() < self.held(i.kind));
                closed += before - lines.len();
            }
            idle.retain(|_, lines| !lines.is_empty());
            self.open.set(self.open.get() - closed);
        }
    }
}
