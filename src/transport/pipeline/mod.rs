//! HTTP/1.1 connections on which calls go out behind one another, to endpoints that take several. What may go next
//! and what is known of each at the end is decided by `batching::pipe`.

mod connection;
mod held;
mod pending;

pub use held::{Broken, Heard};
pub use pending::PendingCall;

use super::network::{out_of_room, Net};
use super::pool::{NoLease, Pool};
use crate::attribution::Via;
use crate::batching::fate::Break;
use crate::memory::Allowance;
use crate::routing::EndpointId;
use bytes::Bytes;
use connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Between two looks for room on connections that are all full.
const FULL_PAUSE: Duration = Duration::from_millis(1);

/// The connections to one endpoint, each with the address that it was opened to.
type Connections = Vec<(SocketAddr, Rc<Connection>)>;

/// All connections to endpoints that take calls behind one another.
pub struct Pipelines {
    net: Net,
    /// Knows what endpoints' answers are like.
    pool: Rc<Pool>,
    connections: RefCell<HashMap<EndpointId, Connections>>,
    opening: OpeningCounts,
    connect_timeout: Cell<Duration>,
    keepalive: Cell<Duration>,
}

/// Connections that are being opened, by endpoint.
type OpeningCounts = RefCell<HashMap<EndpointId, usize>>;

/// A connection that is being opened, counted until this is dropped: the call that opens it may be given up.
struct Opening<'a> {
    counts: &'a OpeningCounts,
    endpoint: EndpointId,
}

impl<'a> Opening<'a> {
    fn begin(counts: &'a OpeningCounts, endpoint: EndpointId) -> Opening<'a> {
        *counts.borrow_mut().entry(endpoint).or_default() += 1;
        Opening { counts, endpoint }
    }
}

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.endpoint) {
            *count -= 1;
        }
        counts.retain(|_, count| *count > 0);
    }
}

/// A place for one call on a connection.
pub struct Place {
    connection: Rc<Connection>,
    repeatable: bool,
}

impl Place {
    /// The connection, and the place of the call's request on it.
    pub fn via(&self) -> Via {
        self.connection.next_via()
    }

    /// Sends the call; `None` where the connection takes none any more.
    pub fn send(self, request: Bytes) -> Option<PendingCall> {
        let fits = self.connection.may_take(self.repeatable);
        fits.then(|| self.connection.send(request, self.repeatable))
    }
}

impl Pipelines {
    /// None yet; connections come up within `connect_timeout` and are left open for `keepalive` without a call.
    pub fn new(net: Net, pool: Rc<Pool>, keepalive: Duration, connect_timeout: Duration) -> Pipelines {
        let (connections, opening) = (RefCell::default(), RefCell::default());
        let (connect_timeout, keepalive) = (Cell::new(connect_timeout), Cell::new(keepalive));
        Pipelines { net, pool, connections, opening, connect_timeout, keepalive }
    }

    /// Other terms, from now on.
    pub fn retune(&self, keepalive: Duration, connect_timeout: Duration) {
        self.keepalive.set(keepalive);
        self.connect_timeout.set(connect_timeout);
    }

    /// Makes sure that there is a connection on which a call may go, which `send` takes then without a pause: an idle
    /// one, else a new one while there are fewer than `most`, else the one with the fewest calls out.
    pub async fn ready(
        &self,
        endpoint: EndpointId,
        dial: SocketAddr,
        repeatable: bool,
        depth: usize,
        most: usize,
    ) -> Result<(), NoLease> {
        loop {
            let (fewest_out, open) = self.usable(endpoint, dial, repeatable);
            let opening = self.opening.borrow().get(&endpoint).copied().unwrap_or(0);
            match fewest_out {
                Some(out) if out == 0 || open + opening >= most.max(1) => return Ok(()),
                None if open + opening >= most.max(1) + usize::from(!repeatable) => {
                    // All are full, or hold what this may not follow: it goes when one has room.
                    if !self.close_idle(endpoint) {
                        sleep(FULL_PAUSE).await;
                    }
                }
                _ => return self.open(endpoint, dial, depth).await,
            }
        }
    }

    /// The fewest calls that are out on a connection that may take one more, and how many connections are open.
    fn usable(&self, endpoint: EndpointId, dial: SocketAddr, repeatable: bool) -> (Option<usize>, usize) {
        let mut connections = self.connections.borrow_mut();
        let Some(connections) = connections.get_mut(&endpoint) else { return (None, 0) };
        connections.retain(|(at, connection)| {
            let is_usable =
                connection.is_open() && *at == dial && connection.idle_for() < self.keepalive.get();
            let keeps = is_usable || !connection.is_idle();
            if !keeps {
                connection.end(Break::Cancelled);
            }
            keeps
        });
        let open = connections.iter().filter(|(_, connection)| connection.is_open()).count();
        let fits =
            connections.iter().filter(|(at, connection)| *at == dial && connection.may_take(repeatable));
        (fits.map(|(_, connection)| connection.out()).min(), open)
    }

    /// Closes a connection without a call, which makes room for another.
    fn close_idle(&self, endpoint: EndpointId) -> bool {
        let connections = self.connections.borrow();
        let mut connections = connections.get(&endpoint).into_iter().flatten();
        let idle = connections.find(|(_, connection)| connection.is_open() && connection.out() == 0);
        idle.inspect(|(_, connection)| connection.end(Break::Cancelled)).is_some()
    }

    async fn open(&self, endpoint: EndpointId, dial: SocketAddr, depth: usize) -> Result<(), NoLease> {
        let opening = Opening::begin(&self.opening, endpoint);
        let connected = timeout(self.connect_timeout.get(), self.net.connect(dial)).await;
        drop(opening);
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_room(&e) => return Err(NoLease::OutOfRoom),
            _ => return Err(NoLease::NotUp),
        };
        let pool = self.pool.clone();
        let allowance = Allowance::for_answers(self.net.memory());
        let connection =
            Connection::start(stream, depth, allowance, Box::new(move || pool.surplus(endpoint)));
        self.connections.borrow_mut().entry(endpoint).or_default().push((dial, connection));
        Ok(())
    }

    /// The place on the connection that `ready` found, with the fewest calls out.
    pub fn place(&self, endpoint: EndpointId, dial: SocketAddr, repeatable: bool) -> Option<Place> {
        let connections = self.connections.borrow();
        let fits = connections
            .get(&endpoint)?
            .iter()
            .filter(|(at, connection)| *at == dial && connection.may_take(repeatable));
        let (_, connection) = fits.min_by_key(|(_, connection)| connection.out())?;
        Some(Place { connection: connection.clone(), repeatable })
    }

    /// Nothing new goes to this endpoint, and nothing that has not begun; connections without a call close.
    pub fn suspend(&self, endpoint: EndpointId) {
        let connections = self.connections.borrow_mut().remove(&endpoint).unwrap_or_default();
        for (_, connection) in connections {
            connection.withdraw();
            if connection.is_idle() {
                connection.end(Break::Cancelled);
            }
        }
    }
}
