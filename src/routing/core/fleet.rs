//! What a core tells its fleet of endpoints, and what the fleet deals out to it.

use super::Core;
use crate::catalog::EndpointId;
use crate::fleet::record;
use crate::fleet::together::{Deal, Own};
use crate::interface::Nanos;
use crate::routing::shares::Shares;

impl Core {
    /// From now on the fleet is told of next hops, and what it deals out holds.
    pub fn share(&mut self) {
        self.shares = Some(Shares::default());
        self.name_shares();
    }

    pub(super) fn name_shares(&mut self) {
        if let Some(shares) = &mut self.shares {
            shares.learn(self.catalog.iter().map(|hop| (record::key(&hop.name), hop.id)));
        }
    }

    /// What this relay knows of the next hops that it uses, and of these others.
    pub fn own(&self, others: impl Iterator<Item = record::Key>) -> Vec<Own> {
        let Some(shares) = &self.shares else { return Vec::new() };
        let mut hops: Vec<EndpointId> =
            shares.used().chain(others.filter_map(|key| shares.hop(key))).collect();
        hops.sort_unstable();
        hops.dedup();
        let own = |hop: EndpointId| {
            let name = record::key(&self.catalog.get(hop)?.name);
            Some(shares.own(name, hop, &self.facade.standing(hop)?))
        };
        hops.into_iter().filter_map(own).collect()
    }

    /// What the fleet deals out to this relay from now on.
    pub fn deal(&mut self, now: Nanos, deals: &[Deal]) {
        let parts = self.shares.as_mut().map_or(Vec::new(), |s| s.deal(deals));
        if !parts.is_empty() {
            let picked = self.facade.deal(now, &parts);
            self.absorb(now, picked);
        }
    }
}
