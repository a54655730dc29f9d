//! What a core tells its fleet of endpoints, and what the fleet deals out to it.

use super::Core;
use crate::catalog::EndpointId;
use crate::fleet::record;
use crate::fleet::together::{Deal, Own};
use crate::interface::Nanos;
use crate::routing::shares::Shares;

impl Core {
    /// From now on the fleet is told of endpoints, and what it deals out holds.
    pub fn share(&mut self) {
        self.shares = Some(Shares::default());
    }

    /// What this relay knows of the endpoints that it uses, and of these others.
    pub fn own(&self, others: impl Iterator<Item = record::Key>) -> Vec<Own> {
        let Some(shares) = &self.shares else { return Vec::new() };
        let mut endpoints: Vec<EndpointId> =
            shares.used().chain(others.filter_map(|key| self.catalog.find_by_hash(key))).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        let own = |endpoint: EndpointId| {
            let name = record::key(self.catalog.get(endpoint)?.name);
            Some(shares.own(name, endpoint, &self.facade.standing(endpoint)?))
        };
        endpoints.into_iter().filter_map(own).collect()
    }

    /// What the fleet deals out to this relay from now on.
    pub fn deal(&mut self, now: Nanos, deals: &[Deal]) {
        let find = |key| self.catalog.find_by_hash(key);
        let parts = self.shares.as_mut().map_or(Vec::new(), |s| s.deal(deals, find));
        if !parts.is_empty() {
            let picked = self.facade.deal(now, &parts);
            self.absorb(now, picked);
        }
    }
}
