//! Operators' calls: endpoints and the relay itself out of service, and back.

use super::Core;
use crate::catalog::{EndpointId, EndpointState, EndpointView};
use crate::interface::Nanos;
use crate::maintenance::Maintenance;
use crate::routing::facade::{EndpointOutage, Left};
use crate::routing::handover::{Operated, Operation};
use crate::routing::journal::Record;

impl Core {
    /// Puts an operator's call in force. It holds at once; the journal keeps it as soon as that can be written.
    pub fn operate(&mut self, now: Nanos, operation: &Operation) -> Operated {
        let changed = match operation {
            Operation::Cordon(name) if !self.is_known(name) => return Operated::Unknown,
            Operation::Uncordon(name) if !self.is_known(name) => return Operated::Unknown,
            Operation::Cordon(name) => self.maintenance.cordon(name),
            Operation::Uncordon(name) => self.maintenance.uncordon(name),
            Operation::Quiesce => self.maintenance.drain(true),
            Operation::Resume => self.maintenance.drain(false),
        };
        if !changed {
            return Operated::Done;
        }
        match operation {
            Operation::Cordon(name) => self.list_again(now, name),
            Operation::Uncordon(name) => {
                self.returns_cold(now, name);
                self.list_again(now, name);
            }
            Operation::Quiesce | Operation::Resume => {
                self.work.draining = Some(self.maintenance.is_draining());
            }
        }
        let maintenance = self.maintenance.clone();
        self.note(now, 0, &Record::Maintenance(&maintenance));
        Operated::Done
    }

    /// What is out of service.
    pub fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    fn is_known(&self, name: &str) -> bool {
        self.catalog.find(name).is_some() || self.maintenance.is_cordoned(name)
    }

    /// An endpoint as it may be used: one that is out of service is to get nothing more, whatever is listed of it.
    pub(super) fn as_used<'a>(&self, endpoint: EndpointView<'a>) -> EndpointView<'a> {
        let cordoned = endpoint.state == EndpointState::Active && self.maintenance.is_cordoned(endpoint.name);
        let state = if cordoned { EndpointState::Leaving } else { endpoint.state };
        EndpointView { state, ..endpoint }
    }

    /// Tells the module anew of an endpoint that went out of service, or came back.
    fn list_again(&mut self, now: Nanos, name: &str) {
        if let Some(id) = self.catalog.find(name) {
            self.learn_of(now, &[id]);
        }
    }

    /// Operators restart an endpoint while it is out of service: it comes back as one that was down.
    fn returns_cold(&mut self, now: Nanos, name: &str) {
        let Some(endpoint) = self.catalog.find(name) else { return };
        let endpoint_outages = vec![EndpointOutage { endpoint, last_call: None, rate: 0.0 }];
        let (picked, _) = self.facade.restore(now, Left { endpoint_outages, ..Left::default() });
        self.absorb(now, picked);
    }

    /// Tells the module what is listed of these endpoints, and takes back what waits for those that are to get nothing.
    pub(super) fn learn_of(&mut self, now: Nanos, ids: &[EndpointId]) {
        let outages = self.outages_of_listed(ids);
        let mut changed = Vec::with_capacity(ids.len());
        for endpoint in ids.iter().filter_map(|id| self.catalog.get(*id)) {
            let (terms, allowed) = self.batching_terms(&endpoint);
            if self.former.knows(endpoint.id) {
                self.former.set(endpoint.id, terms, allowed);
            }
            changed.push((self.as_used(endpoint), self.call_terms(&endpoint)));
        }
        let resting = changed.iter().filter(|(e, _)| e.state != EndpointState::Active);
        let resting: Vec<EndpointId> = resting.map(|(endpoint, _)| endpoint.id).collect();
        let picked = self.facade.learn(now, changed.into_iter(), &outages);
        self.absorb(now, picked);
        self.recall(now, &resting);
        // No call will use the connections to those that are not active any more.
        self.work.distrusted.extend(resting);
    }
}
