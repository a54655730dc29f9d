//! Connections to the platform that are opened before they are needed: where they come up late, ends that fall due do not wait
//! for them.

use super::super::notices;
use crate::interface::Nanos;
use crate::transport::network::Net;
use crate::transport::Line;
use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;

/// So many are kept open, and so many where the way to the platform is known to be slow.
const CONNECTIONS: (usize, usize) = (2, 3);
/// One that was opened longer ago may have fallen silent.
const FRESH_FOR: Nanos = 3_000_000_000;
/// They are opened so long before an end falls due.
const AHEAD: Nanos = 2_500_000_000;

/// A connection that is being opened, or is open.
pub(super) struct Opened {
    at: Nanos,
    line: JoinHandle<io::Result<Line>>,
}

impl Drop for Opened {
    fn drop(&mut self) {
        self.line.abort();
    }
}

impl Opened {
    /// The connection, once it is up; none if it never is, or was closed since.
    pub async fn line(mut self) -> Option<Line> {
        let line = (&mut self.line).await.ok()?.ok()?;
        line.usable().then_some(line)
    }
}

/// Connections to one address.
pub(super) struct Standby {
    net: Net,
    agent: SocketAddr,
    opened: VecDeque<Opened>,
    /// The longest time that a connection took to come up since it was last asked for.
    slowest: Rc<Cell<Duration>>,
}

impl Standby {
    pub fn new(net: Net, agent: SocketAddr) -> Standby {
        Standby { net, agent, opened: VecDeque::new(), slowest: Rc::default() }
    }

    /// The longest time that a connection took to come up since this was last asked for.
    pub fn take_slowest(&self) -> Duration {
        self.slowest.take()
    }

    /// Opens what is needed for ends of which the first falls due then, and that take so long to arrive; closes what is not.
    pub fn keep(&mut self, now: Nanos, first_end: Option<Nanos>, ends_take: Nanos) {
        self.opened.retain(|opened| now.saturating_sub(opened.at) < FRESH_FOR);
        let is_needed = first_end.is_some_and(|end| end <= now + AHEAD + ends_take);
        let (few, many) = CONNECTIONS;
        let wanted = match ends_take {
            _ if !is_needed => 0,
            0 => few,
            _ => many,
        };
        self.opened.truncate(wanted);
        while self.opened.len() < wanted {
            let (net, agent) = (self.net.clone(), self.agent);
            let slowest = self.slowest.clone();
            let line = spawn_local(async move {
                let from = Instant::now();
                let line = notices::open(&net, agent).await;
                slowest.set(slowest.get().max(from.elapsed()));
                line
            });
            self.opened.push_back(Opened { at: now, line });
        }
    }

    /// The one that was opened first.
    pub fn take(&mut self) -> Option<Opened> {
        self.opened.pop_front()
    }
}
