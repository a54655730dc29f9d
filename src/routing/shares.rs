//! What a core tells the fleet of its next hops, and what it may send them by the fleet's word.

use super::values::Reply;
use crate::catalog::EndpointId;
use crate::decision::views::HostView;
use crate::fleet::record::Key;
use crate::fleet::together::{Deal, Own};
use crate::interface::{Nanos, Outcome};
use std::collections::HashMap;

/// Calls of a next hop since the start.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    served: u64,
    refused: u64,
}

/// Counts by next hop and destination, and the parts in force.
#[derive(Debug, Default)]
pub struct Shares {
    tallies: HashMap<EndpointId, Tally>,
    taken: HashMap<u64, u64>,
    keys: HashMap<Key, EndpointId>,
    /// Until when each part holds that was dealt out.
    until: HashMap<EndpointId, Nanos>,
}

impl Shares {
    /// Another route set: each next hop with the key that all relays know it by.
    pub fn learn(&mut self, hops: impl Iterator<Item = (Key, EndpointId)>) {
        self.keys = hops.collect();
        let there: std::collections::HashSet<EndpointId> = self.keys.values().copied().collect();
        self.tallies.retain(|hop, _| there.contains(hop));
        self.until.retain(|hop, _| there.contains(hop));
    }

    pub fn taken(&mut self, dest: u64) {
        *self.taken.entry(dest).or_default() += 1;
    }

    /// A call came back: it was served or refused as a whole, or counts as neither.
    pub fn ended(&mut self, hop: EndpointId, replies: &[Reply]) {
        let outcome = |f: fn(&Outcome) -> bool| replies.iter().any(|r| f(&r.outcome()));
        let tally = self.tallies.entry(hop).or_default();
        tally.served += u64::from(outcome(|o| *o == Outcome::Served));
        tally.refused += u64::from(outcome(|o| matches!(o, Outcome::Full { .. })));
    }

    pub fn hop(&self, key: Key) -> Option<EndpointId> {
        self.keys.get(&key).copied()
    }

    /// Next hops that had calls.
    pub fn used(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.tallies.keys().copied()
    }

    pub fn own(&self, key: Key, hop: EndpointId, s: &HostView) -> Own {
        let tally = self.tallies.get(&hop).copied().unwrap_or_default();
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

    /// Takes parts in, and until when they hold; returns them as the module wants them.
    pub fn deal(&mut self, deals: &[Deal]) -> Vec<(EndpointId, Option<f64>)> {
        let mut parts = Vec::new();
        for deal in deals {
            let Some(hop) = self.hop(deal.key) else { continue };
            match deal.rate {
                Some(_) => drop(self.until.insert(hop, deal.until)),
                None => drop(self.until.remove(&hop)),
            }
            parts.push((hop, deal.rate));
        }
        parts
    }

    /// Whether what was picked under a part may go now: a lease may have run out while the process stood still.
    pub fn in_force(&self, hop: EndpointId, now: Nanos) -> bool {
        self.until.get(&hop).is_none_or(|until| now < *until)
    }
}
