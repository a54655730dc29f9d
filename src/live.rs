//! Decisions that only a relay on real sockets needs: after a restart, and between a decision and its
//! first byte. Part of the module of `src/rules.rs`.

use crate::interface::*;
use crate::rules::Relay;

impl Relay {
    pub(crate) fn rare(&mut self, event: &Event) {
        match event {
            Event::Restored { id, class, dest, key, time_left, attempts, may_have_run } => {
                self.taken(*id, *class, *dest, key.clone(), *time_left);
                let past = may_have_run.map(|(ago, zone)| (self.now.saturating_sub(ago), zone));
                self.book.restore(*id, *attempts, past);
            }
            Event::Spent { id } => self.book.spend_attempts(*id, self.set.max_attempts),
            _ => {}
        }
    }

    /// Whether a call decided on a moment ago may still be written: its connection may have been slow to
    /// come up, and the host may be leaving or a wait for it may run by now.
    pub fn still_open(&self, host: HostId, now: Nanos) -> bool {
        let Some(h) = self.book.hosts.get(&host) else { return false };
        h.state == Listing::Ready && self.book.routes.get(&h.route).is_none_or(|r| r.wait <= now)
    }
}
