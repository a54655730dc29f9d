//! What a process that starts has to know of endpoints that drained or left since the list that it starts from: without it they
//! would be called again until discovery answers.

use super::endpoint::{Endpoint, EndpointState, EndpointUpdate};
use super::store::EndpointCatalog;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes that an entry takes beside its name, at most.
const ENTRY_BYTES: usize = 64;

/// An endpoint that was not to be called, and what is known of it since.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Departure {
    state: EndpointState,
    /// Counts departures: the first to be forgotten is the lowest.
    order: u64,
}

/// Endpoints that drain or have left, as far as discovery has said, and those that did and are back. All agents pass on the
/// list of one discovery, so what is kept holds whichever of them is asked next.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departures {
    /// The highest version of the list that was in force.
    seq: u64,
    by_name: BTreeMap<String, Departure>,
    next: u64,
}

impl Departures {
    /// Takes in what a list says that is known at the start.
    pub fn begin_with(&mut self, known: &EndpointUpdate) {
        let resting = known.endpoints.iter().filter(|endpoint| endpoint.state != EndpointState::Active);
        resting.for_each(|endpoint| self.note(&endpoint.name, endpoint.state));
        self.seq = self.seq.max(known.seq);
    }

    /// Takes in what the list in force says, of this version where it is discovery's, within so many bytes; whether anything is
    /// different.
    pub fn take_in(&mut self, catalog: &EndpointCatalog, seq: Option<u64>, bytes_most: usize) -> bool {
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
        // One that counts anew is heard all the same: what is kept is the last that was said.
        self.seq = self.seq.max(seq.unwrap_or(0));
        self.by_name != before
    }

    /// Takes in what another process has kept since, where it has.
    pub fn merge(&mut self, other: Departures) {
        if other.seq >= self.seq {
            other.by_name.iter().for_each(|(name, departure)| self.note(name, departure.state));
            self.seq = other.seq;
        }
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

    /// Whether a list of this version may lack what is kept here. One of the same version has all of it, unless discovery has
    /// counted anew since.
    pub fn may_be_newer_than(&self, seq: u64) -> bool {
        self.seq >= seq
    }

    /// Has a list of before say what is known since; how many of its endpoints that changes.
    pub fn bring_up_to_date(&self, endpoints: &mut [Endpoint]) -> usize {
        let mut changed = 0;
        for endpoint in endpoints {
            let Some(departure) = self.by_name.get(&endpoint.name) else { continue };
            changed += usize::from(endpoint.state != departure.state);
            endpoint.state = departure.state;
        }
        changed
    }
}
