//! What the relay around the module may read of it, and how it is told of its surroundings once: nothing is decided here.

use super::interface::*;
use super::Relay;

impl Relay {
    /// Messages that still await their final answer.
    pub fn held(&self) -> usize {
        self.book.messages.len()
    }

    /// Whether there is a record of this host.
    pub fn knows(&self, host: HostId) -> bool {
        self.book.hosts.contains_key(&host)
    }

    /// Idle time after which connections are not to be used any more.
    pub fn trusted_idle(&self) -> Nanos {
        self.book.idle_safe.unwrap_or(Nanos::MAX)
    }

    /// Whether it is in an outage, or the last turn on its way back from one is no longer ago than it takes to warm up.
    pub(super) fn may_be_cold(&self, host: HostId) -> bool {
        let turned = self.book.hosts[&host].turned_at;
        self.sick(host) || turned.is_some_and(|at| self.now < at.saturating_add(self.set.warm_up))
    }

    /// From now on a message that has its end is over only once `Event::Settled` says so.
    pub fn settle_later(&mut self) {
        self.book.settles_later = true;
    }

    /// Hosts of which it may have changed, since this was last asked, whether they are in an outage or just back from
    /// one, and whether they are: a next life has to know, since what this relay saw fail it may not push over.
    pub fn ailing(&mut self) -> Vec<(HostId, bool)> {
        let turned = std::mem::take(&mut self.book.turned);
        let there = |id: &HostId| self.book.hosts.get(id).is_some_and(|h| h.state != Listing::Gone);
        turned.into_iter().map(|id| (id, there(&id) && self.sick(id))).collect()
    }
}
