//! What a core tells the fleet of its endpoints, and what it may send them by the fleet's word.

use super::values::Reply;
use crate::catalog::EndpointId;
use crate::decision::views::HostView;
use crate::fleet::record::Key;
use crate::fleet::together::{Deal, Own};
use crate::interface::{Nanos, Outcome};
use std::collections::HashMap;

/// Calls of a endpoint since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: u64,
    refused: u64,
}

/// Counts by endpoint and destination, and the parts in force.
#[derive(Debug, Default)]
pub struct Shares {
    tallies: HashMap<EndpointId, Tally>,
    taken: HashMap<u64, u64>,
    /// Until when each part holds that was dealt out.
    until: HashMap<EndpointId, Nanos>,
}

impl Shares {
    /// Lets go of an endpoint that is not known any more.
    pub fn forget(&mut self, endpoint: EndpointId) {
        self.tallies.remove(&endpoint);
        self.until.remove(&endpoint);
    }

    /// Lets go of a destination for which no endpoint is known any more.
    pub fn forget_dest(&mut self, dest: u64) {
        self.taken.remove(&dest);
    }

    pub fn taken(&mut self, dest: u64) {
        *self.taken.entry(dest).or_default() += 1;
    }

    /// A call came back: it was served or refused as a whole, or counts as neither.
    pub fn ended(&mut self, endpoint: EndpointId, replies: &[Reply]) {
        let outcome = |f: fn(&Outcome) -> bool| replies.iter().any(|r| f(&r.outcome()));
        let tally = self.tallies.entry(endpoint).or_default();
        tally.served += u64::from(outcome(|o| *o == Outcome::Served));
        tally.refused += u64::from(outcome(|o| matches!(o, Outcome::Full { .. })));
    }

    /// Next endpoints that had calls.
    pub fn used(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.tallies.keys().copied()
    }

    pub fn own(&self, key: Key, endpoint: EndpointId, s: &HostView) -> Own {
        let tally = self.tallies.get(&endpoint).copied().unwrap_or_default();
        let hosts = s.hosts.max(1) as f64;
        Own {
            key,
            taken: self.taken.get(&s.dest).map_or(0.0, |n| *n as f64 / hosts),
            waiting: s.waiting as f64 / hosts,
            served: tally.served,
            refused: tally.refused,
            down: s.down,
            served_at: s.served,
            wait: s.wait,
            limit: s.limit,
            best: s.best,
        }
    }

    /// Takes parts in, and until when they hold; returns them as the module wants them. `find` knows endpoints by
    /// the key that all relays know them by.
    pub fn deal(
        &mut self,
        deals: &[Deal],
        find: impl Fn(Key) -> Option<EndpointId>,
    ) -> Vec<(EndpointId, Option<f64>)> {
        let mut parts = Vec::new();
        for deal in deals {
            let Some(endpoint) = find(deal.key) else { continue };
            match deal.rate {
                Some(_) => drop(self.until.insert(endpoint, deal.until)),
                None => drop(self.until.remove(&endpoint)),
            }
            parts.push((endpoint, deal.rate));
        }
        parts
    }

    /// Whether what was picked under a part may go now: a lease may have run out while the process stood still.
    pub fn in_force(&self, endpoint: EndpointId, now: Nanos) -> bool {
        self.until.get(&endpoint).is_none_or(|until| now < *until)
    }
}
