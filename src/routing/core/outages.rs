//! Outages over the ends of processes: kept in the journal as the module tells of them, and put before it again at a start, or as
//! soon as a list names their endpoints.

use super::{Core, Note};
use crate::catalog::EndpointId;
use crate::interface::Nanos;
use crate::routing::facade::{DestinationOutage, EndpointOutage};
use crate::routing::journal::LastOut;
use std::collections::BTreeSet;

/// The outage of an endpoint that no list names is remembered for so long after the start, as long as the module remembers one
/// of a destination without endpoints.
const UNLISTED_REMEMBERED: Nanos = 900_000_000_000;

/// Endpoints that were in an outage when an earlier life ended, and that no list has named since.
#[derive(Debug, Default)]
pub(super) struct UnlistedOutages {
    names: BTreeSet<String>,
    forgotten_at: Nanos,
}

impl UnlistedOutages {
    /// When they are forgotten.
    pub fn due(&self) -> Nanos {
        match self.names.is_empty() {
            true => Nanos::MAX,
            false => self.forgotten_at,
        }
    }
}

impl Core {
    /// What was in an outage when the earlier process ended, and how long ago it was called: endpoints that are known, and
    /// destinations. Endpoints that are not known yet may be named by the next list.
    pub(super) fn outages_of_before(
        &mut self,
        now: Nanos,
        last_out: &LastOut,
    ) -> (Vec<EndpointOutage>, Vec<DestinationOutage>) {
        let outages = self.journal.outages().clone();
        let last_call = |dest: u64| last_out.get(&dest).map(|at| now.saturating_sub(*at));
        let mut endpoints = Vec::new();
        for (name, rate) in outages.endpoints {
            match self.catalog.find(&name).and_then(|id| self.catalog.get(id)) {
                Some(e) => {
                    endpoints.push(EndpointOutage { endpoint: e.id, last_call: last_call(e.dest), rate })
                }
                None => drop(self.unlisted.names.insert(name)),
            }
        }
        self.unlisted.forgotten_at = now.saturating_add(UNLISTED_REMEMBERED);
        let destinations: Vec<DestinationOutage> = outages
            .destinations
            .into_iter()
            .map(|(dest, rate)| DestinationOutage { dest, last_call: last_call(dest), rate })
            .collect();
        let (known, unlisted) = (endpoints.len(), self.unlisted.names.len());
        if known + unlisted + destinations.len() > 0 {
            let text = format!(
                "an earlier process has left outages: of {known} endpoints that are listed, {unlisted} that are not, and {} \
                 destinations",
                destinations.len()
            );
            self.work.notes.push(Note::new("outages-restored", text));
        }
        (endpoints, destinations)
    }

    /// The outages of an earlier life of these endpoints, which a list names now for the first time.
    pub(super) fn outages_of_listed(&mut self, ids: &[EndpointId]) -> Vec<EndpointOutage> {
        if self.unlisted.names.is_empty() {
            return Vec::new();
        }
        let mut outages = Vec::new();
        for endpoint in ids.iter().filter_map(|id| self.catalog.get(*id)) {
            if self.unlisted.names.remove(endpoint.name) {
                let rate = self.journal.outages().endpoints.get(endpoint.name).copied().unwrap_or(0.0);
                outages.push(EndpointOutage { endpoint: endpoint.id, last_call: None, rate });
            }
        }
        outages
    }

    /// Forgets the outages of endpoints that no list has named for long.
    pub(super) fn forget_unlisted(&mut self, now: Nanos) {
        if self.unlisted.due() <= now {
            let names = std::mem::take(&mut self.unlisted.names);
            names.iter().for_each(|name| self.outage_forgotten(now, name));
        }
    }

    /// An endpoint is not known any more, nor is its outage.
    pub(super) fn outage_forgotten(&mut self, now: Nanos, name: &str) {
        let written = self.journal.note_endpoint_outage(name, None);
        self.withheld.plan_unless(written, now);
    }

    /// Keeps outages that began or ended: known to the next life only as far as they can be written.
    pub(super) fn note_outages(
        &mut self,
        now: Nanos,
        endpoints: &[(EndpointId, bool)],
        destinations: &[(u64, Option<f64>)],
    ) {
        for (id, is_out) in endpoints {
            if let Some(endpoint) = self.catalog.get(*id) {
                let rate = is_out.then(|| self.facade.best_rate(*id));
                let written = self.journal.note_endpoint_outage(endpoint.name, rate);
                self.withheld.plan_unless(written, now);
            }
        }
        for (dest, rate) in destinations {
            let was_out = self.journal.outages().destinations.contains_key(dest);
            let written = self.journal.note_destination_outage(*dest, *rate);
            self.withheld.plan_unless(written, now);
            if was_out != rate.is_some() {
                let (event, word) = match rate {
                    Some(_) => ("destination-out", "none of its endpoints is well"),
                    None => ("destination-back", "its outage is over"),
                };
                self.work.notes.push(Note::new(event, format!("destination {dest}: {word}")));
            }
        }
    }
}
