//! What a process that starts has to know of endpoints that drained or left since the list that it starts from: without it they
//! would be called again until discovery answers.

use super::endpoint::{EndpointState, EndpointUpdate};
use super::store::EndpointCatalog;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes that an entry takes beside its name, at most.
const ENTRY_BYTES: usize = 64;

/// An endpoint that was not to be called, and what is known of it since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    state: EndpointState,
    /// Counts departures: the first to be forgotten is the lowest.
    order: u64,
}

/// Endpoints that drain or have left, as far as discovery has said, and those that did and are back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// Who sent the list.
    agent: Option<SocketAddr>,
    /// The version of the list that was in force.
    seq: u64,
    by_name: BTreeMap<String, Departure>,
    next: u64,
}

impl Departures {
    /// Takes in what a list says that is known at the start.
    pub fn begin_with(&mut self, known: &EndpointUpdate) {
        let resting = known.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Active);
        resting.for_each(|endpoint| self.note(&endpoint.name, endpoint.state));
    }

    /// Takes in what this agent's list of this version says, within so many bytes; whether anything is different.
    pub fn take_in(
        &mut self,
        catalog: &EndpointCatalog,
        agent: Option<SocketAddr>,
        seq: u64,
        bytes_most: usize,
    ) -> bool {
        let before = self.by_name.clone();
        for (name, departure) in &mut self.by_name {
            if let Some(endpoint) = catalog.find(name).and_then(|id| catalog.get(id)) {
                departure.state = endpoint.state;
            }
        }
        for endpoint in catalog.resting() {
            self.note(endpoint.name, endpoint.state);
        }
        self.keep_within(bytes_most);
        let is_same = (self.agent, &self.by_name) == (agent, &before);
        (self.agent, self.seq) = (agent, seq);
        !is_same
    }

    fn note(&mut self, name: &str, state: EndpointState) {
        match self.by_name.get_mut(name) {
            Some(known) => known.state = state,
            None => {
                let order = self.next;
                self.next += 1;
                self.by_name.insert(name.to_string(), Departure { state, order });
            }
        }
    }

    /// Forgets those that went first where all of them take more.
    fn keep_within(&mut self, bytes_most: usize) {
        let mut bytes = 0;
        let mut sizes: Vec<(u64, usize)> = self
            .by_name
            .iter()
            .map(|(name, departure)| (departure.order, name.len() + ENTRY_BYTES))
            .collect();
        sizes.sort_unstable();
        let fits = |(_, size): &&(u64, usize)| {
            bytes += size;
            bytes <= bytes_most
        };
        let oldest = sizes.iter().rev().take_while(fits).last().map_or(u64::MAX, |(order, _)| *order);
        self.by_name.retain(|_, departure| departure.order >= oldest);
    }

    /// Whether this was learned after a list of this agent that has this version.
    pub fn is_newer_than(&self, agent: Option<SocketAddr>, seq: u64) -> bool {
        self.agent == agent && self.seq > seq
    }

    /// Has a list of before say what is known since; how many of its endpoints that changes.
    pub fn bring_up_to_date(&self, known: &mut EndpointUpdate) -> usize {
        let mut changed = 0;
        known.endpoints.retain_mut(|endpoint| {
            let Some(departure) = self.by_name.get(&endpoint.name) else { return true };
            changed += usize::from(endpoint.state != departure.state);
            endpoint.state = departure.state;
            departure.state != EndpointState::Left
        });
        changed
    }
}
