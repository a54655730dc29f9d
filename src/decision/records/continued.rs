//! What goes on from one process of the relay to the next: calls that are out, waits.

use super::book::Book;
use super::{HostId, Nanos, RouteId};
use crate::decision::interface::AdoptedAttempt;

impl Book {
    /// Takes in a call that another process sent. Attempts whose messages are over hold their keys all the same.
    pub fn adopt(&mut self, host: HostId, attempts: &[AdoptedAttempt], sent: Nanos) {
        let dest = self.hosts[&host].dest;
        let call = self.open_call(host, dest, sent, attempts.len());
        for AdoptedAttempt { id, attempt, lock } in attempts {
            if self.messages.contains_key(id) {
                self.take_tag(*id, dest);
                self.open_attempt(*id, host, call, sent);
            } else {
                self.enter_attempt((*id, *attempt), lock.clone(), host, call, sent);
            }
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            (h.last_sent, h.last_used) = (h.last_sent.max(sent), h.last_used.max(sent));
        }
    }

    /// A host may have another route now: what it was told to wait binds there too.
    pub fn carry_waits(&mut self, host: HostId, before: Option<RouteId>) {
        let now = self.hosts.get(&host).map(|h| h.route(host));
        let Some((before, now)) = before.zip(now).filter(|(before, now)| before != now) else { return };
        if let Some((wait, rest)) = self.routes.get(&before).map(|route| (route.wait, route.rest)) {
            let route = self.routes.entry(now).or_default();
            (route.wait, route.rest) = (route.wait.max(wait), route.rest.max(rest));
        }
    }

    /// Where the other process had routes apart that are shared here, or shared ones that are apart, waits bind all the same.
    pub fn carry_handed_waits(&mut self) {
        let others: Vec<(HostId, RouteId)> = self
            .hosts
            .conditions()
            .filter_map(|(id, _)| {
                let host = self.hosts.get(&id)?;
                let other = if host.kind().apart { RouteId::Dest(host.dest) } else { RouteId::Host(id) };
                Some((id, other))
            })
            .collect();
        others.into_iter().for_each(|(id, other)| self.carry_waits(id, Some(other)));
    }

    /// Lets go of paces that came of the listing alone: the next call to each route sets one anew.
    pub fn forget_listed_paces(&mut self) {
        for route in self.routes.values_mut() {
            let was_shown = route.cut > 0 || route.limit > 0.0 || route.dealt.is_some();
            route.pace = route.pace.filter(|_| was_shown);
        }
    }
}
