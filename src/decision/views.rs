//! What the relay around the module may read of it, and how it is told of its surroundings once: nothing is decided here.

use super::health::LOST_ONE;
use super::interface::*;
use super::records::Health;
use super::Relay;

/// How things stand between a relay and a host, for those who deal out parts among relays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostView {
    pub dest: DestId,
    /// Messages that wait for its destination, and the hosts that they may go to.
    pub waiting: usize,
    pub hosts: usize,
    pub down: bool,
    /// When it was last taken for down, or for on its way back; 0: never.
    pub turned: Nanos,
    /// When it last served a call; 0: never.
    pub served: Nanos,
    /// The end of the last wait that it told.
    pub wait: Nanos,
    /// Calls a second that it or the list says it takes; 0: neither says so.
    pub limit: f64,
    /// Calls a second that it served this relay over a longer run.
    pub best: f64,
}

impl Relay {
    /// Messages that still await their final answer.
    pub fn held(&self) -> usize {
        self.book.messages.len()
    }

    /// When the first message comes to its end.
    pub fn first_end(&self) -> Option<Nanos> {
        self.book.ends.first()
    }

    /// Whether there is a record of this host.
    pub fn knows(&self, host: HostId) -> bool {
        self.book.hosts.contains_key(&host)
    }

    /// Idle time after which connections are not to be used any more.
    pub fn trusted_idle(&self) -> Nanos {
        self.book.idle_safe.unwrap_or(Nanos::MAX)
    }

    /// How things stand between this relay and a host.
    pub fn standing(&self, host: HostId) -> Option<HostView> {
        let h = self.book.hosts.get(&host)?;
        let r = self.book.route(host);
        let listed = if self.set.limits == Limits::Exact { h.scale } else { 0.0 };
        Some(HostView {
            dest: h.dest,
            waiting: self.book.flows.get(&h.dest).map_or(0, |f| f.held.len()),
            hosts: self
                .book
                .hosts_of(h.dest)
                .iter()
                .filter(|h| self.book.hosts[h].state == Listing::Ready)
                .count(),
            down: h.health == Health::Down,
            turned: h.turned_at.unwrap_or(0),
            served: h.last_served,
            wait: r.map_or(0, |r| r.wait),
            limit: r.map_or(0.0, |r| r.limit).max(listed),
            best: h.best_rate,
        })
    }

    /// From now on a message that has its end is over only once `Event::Settled` says so.
    pub fn settle_later(&mut self) {
        self.book.settles_later = true;
    }

    /// Hosts of which it may have changed, since this was last asked, whether they are in an outage or just back from
    /// one, and whether they are: a next life has to know, since what this relay saw fail it may not push over. One that
    /// is doubted and has served nothing for a while may be shut.
    pub fn endpoint_outages(&mut self) -> Vec<(HostId, bool)> {
        let turned = std::mem::take(&mut self.book.turned);
        let is_out = |id: &HostId| {
            // The outage of one that has left goes on with its route, where that is shared.
            let h = self.book.hosts.get(id).filter(|h| h.state != Listing::Gone || h.kind().apart);
            h.is_some_and(|h| match h.health {
                Health::Well => false,
                Health::Doubted => self.now >= h.last_served.saturating_add(LOST_ONE),
                Health::Down | Health::Warming { .. } => true,
            })
        };
        turned.into_iter().map(|id| (id, is_out(&id))).collect()
    }
}
