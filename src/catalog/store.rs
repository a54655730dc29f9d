//! The endpoint catalog: what the list names, under numbers of our own.

use super::endpoint::{Endpoint, EndpointId, EndpointState, EndpointUpdate};
use crate::interface::Nanos;
use std::collections::{BTreeMap, HashMap};

/// A endpoint that has left is remembered for so long: a list may come back to it.
const REMEMBERED: Nanos = 30_000_000_000;

/// What has left is forgotten after a while, its number never given again: a new endpoint at an old address
/// has nothing of the one before it.
#[derive(Debug, Default)]
pub struct EndpointCatalog {
    ids: HashMap<String, EndpointId>,
    /// With the time since when it is not active.
    endpoints: BTreeMap<EndpointId, (Endpoint, Option<Nanos>)>,
    /// How many of them there are for a destination.
    of_dest: HashMap<u64, usize>,
    next: EndpointId,
}

fn leaves(of_dest: &mut HashMap<u64, usize>, dest: u64) {
    if let Some(n) = of_dest.get_mut(&dest) {
        *n -= 1;
        if *n == 0 {
            of_dest.remove(&dest);
        }
    }
}

impl EndpointCatalog {
    /// All endpoints that are listed, or were until lately.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|(hop, _)| hop)
    }

    /// Takes in news and returns its entries under our numbers.
    pub fn learn(&mut self, now: Nanos, news: &EndpointUpdate) -> Vec<Endpoint> {
        if news.whole {
            for (n, rests) in self.endpoints.values_mut() {
                n.state = EndpointState::Left;
                rests.get_or_insert(now);
            }
        }
        let mut known = Vec::new();
        for told in &news.endpoints {
            let id = *self.ids.entry(told.name.clone()).or_insert_with(|| {
                self.next += 1;
                self.next - 1
            });
            let hop = Endpoint { id, ..told.clone() };
            let rested = self.endpoints.get(&id).and_then(|(_, rests)| *rests);
            let rests = (hop.state != EndpointState::Active).then(|| rested.unwrap_or(now));
            *self.of_dest.entry(hop.dest).or_default() += 1;
            if let Some((old, _)) = self.endpoints.insert(id, (hop.clone(), rests)) {
                leaves(&mut self.of_dest, old.dest);
            }
            known.push(hop);
        }
        self.endpoints.retain(|_, (hop, rests)| {
            let kept = hop.state != EndpointState::Left || rests.is_none_or(|at| now < at + REMEMBERED);
            if !kept {
                self.ids.remove(&hop.name);
                leaves(&mut self.of_dest, hop.dest);
            }
            kept
        });
        known
    }

    /// The number of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.ids.get(name).copied()
    }

    /// The endpoint with this number.
    pub fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        Some(&self.endpoints.get(&id)?.0)
    }

    /// Those that are not active.
    pub fn resting(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.endpoints.iter().filter(|(_, (_, rests))| rests.is_some()).map(|(id, _)| *id)
    }

    /// Whether any endpoint is, or was a moment ago, there for this destination. A relay without a list
    /// cannot tell.
    pub fn serves(&self, dest: u64) -> bool {
        self.endpoints.is_empty() || self.of_dest.contains_key(&dest)
    }
}
