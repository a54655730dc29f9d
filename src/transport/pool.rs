//! Connections to next hops that wait for their next call.

use super::connection::Line;
use super::network::{out_of_room, Net};
use crate::routing::NextHopId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// Most bytes of an answer, with all that comes before and behind it.
pub(super) const ANSWER_MOST: usize = 128 * 1024;

/// A pool of idle lines by next hop. Each carries one call at a time and is closed before the other side
/// would close it.
pub struct Pool {
    net: Net,
    idle: RefCell<HashMap<NextHopId, Vec<(SocketAddr, Line)>>>,
    /// Lines that are open or opening.
    open: Cell<usize>,
    most: usize,
    keepalive: Duration,
    /// What has waited longer is not to be used.
    trusted: Cell<Duration>,
    connect_timeout: Duration,
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
    next_hop: NextHopId,
    dial: SocketAddr,
    line: Option<Line>,
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
        if let Some(mut line) = self.line.take() {
            line.idle_since = Instant::now();
            self.pool.open.set(self.pool.open.get() + 1);
            self.pool.idle.borrow_mut().entry(self.next_hop).or_default().push((self.dial, line));
        }
    }
}

impl Pool {
    pub fn new(net: Net, most: usize, keepalive: Duration, connect_timeout: Duration) -> Rc<Self> {
        let (idle, open) = (RefCell::default(), Cell::new(0));
        let trusted = Cell::new(keepalive);
        Rc::new(Pool { net, idle, open, most, keepalive, trusted, connect_timeout })
    }

    /// A line to this next hop: the one used last of those that wait, else a new one.
    pub async fn lease(self: &Rc<Self>, next_hop: NextHopId, dial: SocketAddr) -> Result<Lease, NoLease> {
        while let Some((at, line)) = self.pop(next_hop) {
            let waited = line.idle_since.elapsed().max(Duration::from_nanos(1));
            let mut lease = Lease { pool: self.clone(), next_hop, dial, line: Some(line), waited };
            let fresh =
                |l: &Line| l.usable() && l.idle_since.elapsed() < self.keepalive.min(self.trusted.get());
            if at == dial && lease.line.as_ref().is_some_and(fresh) {
                return Ok(lease);
            }
            lease.line = None;
        }
        if self.open.get() >= self.most && !self.close_oldest() {
            return Err(NoLease::OutOfRoom);
        }
        self.open.set(self.open.get() + 1);
        let mut lease = Lease { pool: self.clone(), next_hop, dial, line: None, waited: Duration::ZERO };
        lease.renew().await?;
        Ok(lease)
    }

    fn pop(&self, next_hop: NextHopId) -> Option<(SocketAddr, Line)> {
        self.idle.borrow_mut().get_mut(&next_hop)?.pop()
    }

    fn close_oldest(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let first =
            |(hop, lines): (&NextHopId, &Vec<(SocketAddr, Line)>)| Some((lines.first()?.1.idle_since, *hop));
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

    /// Closes what waits for this next hop.
    pub fn close_idle(&self, next_hop: NextHopId) {
        let lines = self.idle.borrow_mut().remove(&next_hop).unwrap_or_default();
        self.open.set(self.open.get() - lines.len());
    }

    /// Closes lines that have waited too long or that the other side has closed.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep_until(Instant::now() + self.keepalive / 8).await;
            let mut idle = self.idle.borrow_mut();
            let mut closed = 0;
            for lines in idle.values_mut() {
                let before = lines.len();
                lines.retain(|(_, l)| l.usable() && l.idle_since.elapsed() < self.keepalive);
                closed += before - lines.len();
            }
            idle.retain(|_, lines| !lines.is_empty());
            self.open.set(self.open.get() - closed);
        }
    }
}
