//! What the list says: endpoints that come, change and go, and the terms of calls to them.

use super::{call_terms, Core};
use crate::batching::Table;
use crate::catalog::{Endpoint, EndpointUpdate};
use crate::interface::{Nanos, Outcome};
use crate::routing::facade::Told;
use crate::routing::values::Reply;

impl Core {
    pub fn learn(&mut self, now: Nanos, news: &EndpointUpdate) {
        let known = self.catalog.learn(now, news);
        self.name_shares();
        for hop in &known {
            self.set_terms(hop);
        }
        let former = &self.former;
        let picked = self.facade.learn(now, news.whole, &known, |hop| call_terms(former, hop.id));
        self.absorb(now, picked);
        self.recall(now);
        // No call will use the connections to those that are not active any more.
        self.work.distrusted.extend(self.catalog.resting());
    }

    /// What waits for a next hop that is to get nothing more goes back to the module, as never sent.
    pub(super) fn recall(&mut self, now: Nanos) {
        let mut unsent = Vec::new();
        for hop in self.catalog.resting() {
            let branches = self.former.recall(now, hop);
            unsent.extend(branches.into_iter().map(|b| (b, Reply::Ended(Outcome::NotSent))));
        }
        let catalog = &self.catalog;
        self.former.retain(|hop| catalog.get(hop).is_some());
        if !unsent.is_empty() {
            let picked = self.facade.report(now, &unsent, Told::default(), 0, &[]);
            self.absorb(now, picked);
        }
    }

    pub(super) fn set_terms(&mut self, hop: &Endpoint) {
        let allowed = self.allowed.get(hop.kind).copied().unwrap_or(1);
        self.former.set(hop.id, self.batching.of(hop), allowed);
    }

    /// Other terms for calls, from now on. What was released by then goes as it was.
    pub fn set_batching(&mut self, now: Nanos, table: Table) {
        self.batching.table = table;
        let hops: Vec<Endpoint> = self.catalog.iter().cloned().collect();
        for hop in &hops {
            self.set_terms(hop);
        }
        let calls: Vec<_> = hops.iter().map(|h| (h.id, call_terms(&self.former, h.id))).collect();
        let picked = self.facade.share(now, &calls);
        self.absorb(now, picked);
    }
}
