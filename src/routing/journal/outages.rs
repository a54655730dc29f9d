//! Outages as the journal keeps them.

use std::collections::BTreeMap;

/// What is in an outage, or on its way back from one, with the calls a second that it had served before; 0: not known.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outages {
    /// Endpoints, by name.
    pub endpoints: BTreeMap<String, f64>,
    /// Destinations whose endpoints share one route: theirs whichever endpoints they have.
    pub destinations: BTreeMap<u64, f64>,
}

impl Outages {
    /// An endpoint is in an outage from now on, having served at this rate, or is not any more.
    pub(super) fn set_endpoint(&mut self, name: &str, rate: Option<f64>) {
        match rate {
            Some(rate) => drop(self.endpoints.insert(name.to_string(), rate)),
            None => drop(self.endpoints.remove(name)),
        }
    }

    /// The same of a destination.
    pub(super) fn set_destination(&mut self, dest: u64, rate: Option<f64>) {
        match rate {
            Some(rate) => drop(self.destinations.insert(dest, rate)),
            None => drop(self.destinations.remove(&dest)),
        }
    }
}
