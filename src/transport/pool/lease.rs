//! A connection taken out of the pool for one call.

use super::{log_closed, Closed, Idle, NoLease, Pool, ANSWER_MOST};
use crate::attribution::Via;
use crate::attribution::{Fingerprint, Reuse};
use crate::interface::Nanos;
use crate::routing::EndpointId;
use crate::transport::connection::Line;
use crate::transport::network::out_of_room;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A line taken out of the pool; dropped, it closes.
pub struct Lease {
    pub(super) pool: Rc<Pool>,
    pub(super) endpoint: EndpointId,
    pub(super) dial: SocketAddr,
    pub(super) kind: usize,
    pub(super) line: Option<Line>,
    /// Until when the line may be used.
    pub(super) lives: Nanos,
    /// How long the line had waited in the pool; nothing for a new one.
    pub(super) waited: Duration,
    /// This call is to be the line's last.
    pub(super) is_last: bool,
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(line) = &self.line {
            log_closed(line, Closed::Spent);
        }
        self.pool.open.set(self.pool.open.get() - 1);
    }
}

impl Lease {
    pub fn line(&mut self) -> Option<&mut Line> {
        self.line.as_mut()
    }

    /// Its connection, and the place that a request on it would have now.
    pub fn via(&self) -> Via {
        self.via_of(1)
    }

    /// Its connection, and the place of the last request that was written on it.
    pub fn via_out(&self) -> Via {
        self.via_of(0)
    }

    /// Its connection, and the place of a request so many behind the last one that was written there.
    fn via_of(&self, behind: usize) -> Via {
        let line = self.line.as_ref();
        line.map_or(Via::default(), |line| Via {
            connection: line.number(),
            request: line.exchanges.requests() + behind,
        })
    }

    /// How long its line had waited in the pool, where the other side may have closed it; nothing for a new one.
    pub fn waited(&self) -> Duration {
        self.waited
    }

    /// Whether the next hop is to be asked to close the line behind this call.
    pub fn is_last(&self) -> bool {
        self.is_last
    }

    /// The answer to its call has come whole, and is known to be that.
    pub fn answered(&mut self, answer: &Fingerprint) {
        if let Some(line) = &mut self.line {
            line.exchanges.answered(answer);
        }
        self.pool.sources.borrow_mut().known(self.endpoint, answer);
    }

    /// A success came that may belong to another call.
    pub fn doubtful_success(&self) {
        self.pool.doubtful_success(self.endpoint, self.is_last);
    }

    /// A new line in place of the one it has.
    pub async fn renew(&mut self) -> Result<(), NoLease> {
        (self.line, self.waited, self.is_last) = (None, Duration::ZERO, false);
        let pool = &self.pool;
        self.lives = pool.holding.borrow_mut().opened(pool.now());
        match Line::open(&pool.net, self.dial, pool.connect_timeout.get(), ANSWER_MOST, ANSWER_MOST).await {
            Ok(line) => {
                let (connection, endpoint) = (line.number(), self.endpoint);
                tracing::debug!(target: "routing", event = "connection-opened", connection, endpoint, dial = %self.dial);
                self.line = Some(line);
            }
            Err(e) if out_of_room(&e) => {
                pool.close_oldest();
                return Err(NoLease::OutOfRoom);
            }
            Err(_) => return Err(NoLease::NotUp),
        }
        Ok(())
    }

    /// Puts the line back for the next call, if it may carry one.
    pub fn give_back(mut self) {
        let now = self.pool.now();
        let reuse = self.pool.sources.borrow().reuse(self.endpoint, true, now);
        let keeps = !self.is_last && reuse != Reuse::No && now < self.lives;
        if let Some(mut line) = self.line.take_if(|line| keeps && line.exchanges.in_step()) {
            line.rest();
            self.pool.open.set(self.pool.open.get() + 1);
            let idle = Idle { dial: self.dial, kind: self.kind, lives: self.lives, line };
            self.pool.idle.borrow_mut().entry(self.endpoint).or_default().push(idle);
        }
    }
}
