//! The core handed to another process of the relay, and taken over from one.

use super::Core;
use crate::attribution::Via;
use crate::catalog::{EndpointId, EndpointView};
use crate::decision::Knowledge;
use crate::interface::Nanos;
use crate::routing::facade::Left;
use crate::routing::handover::{Endpoints, Handover, OpenCall, RestingKey};
use crate::routing::journal::LastOut;
use crate::routing::values::{Attempt, TransactionNo};
use std::collections::{BTreeMap, HashMap};

/// Calls whose first byte went and that have no outcome yet, by attempt.
pub(super) type Begun = HashMap<(TransactionNo, u32), BegunAttempt>;

/// An attempt whose first byte went.
#[derive(Clone, Copy, Debug)]
pub(super) struct BegunAttempt {
    pub endpoint: EndpointId,
    pub at: Nanos,
    /// The connection that it went on; of another process's none.
    pub via: Via,
}

/// What a process stops deciding on.
#[derive(Debug, Default)]
pub struct Released {
    /// For the process that takes over.
    pub handover: Handover,
    /// Attempts that nobody waits for any more.
    pub given_up: Vec<(TransactionNo, u32)>,
}

impl Core {
    /// Stops deciding, and gives the journal away. `seq`: the version of discovery's list that is wholly in force.
    pub fn release(&mut self, now: Nanos, seq: Option<u64>) -> Released {
        // What is written says how far the journal goes.
        self.journal.settle();
        let (calls, given_up) = self.open_calls();
        let endpoints = self.catalog.iter().map(EndpointView::to_endpoint).collect();
        let mut keys: Vec<RestingKey> = self
            .facade
            .resting_keys()
            .map(|(key, until, transaction)| RestingKey { key: key.to_string(), until, transaction })
            .collect();
        keys.extend(given_up.iter().filter_map(|(no, _)| self.resting_key(now, *no)));
        let knowledge = self.facade.knowledge();
        let named = |id: EndpointId| Some((id, self.catalog.get(id)?.name.to_string()));
        let names = knowledge.hosts().filter_map(named).collect();
        let handover = Handover {
            knowledge,
            names,
            keys,
            calls,
            delivered: self.transactions.closed().delivered().cloned().collect(),
            list: Endpoints { seq, endpoints },
            journal_bytes: self.journal.bytes(),
            unwritten: self.journal.release(),
        };
        Released { handover, given_up }
    }

    /// Calls that go on at this process, and the attempts that do not: of messages that have their ends.
    fn open_calls(&self) -> (Vec<OpenCall>, Vec<(TransactionNo, u32)>) {
        let mut by_call: BTreeMap<(EndpointId, Nanos), Vec<(TransactionNo, u32)>> = BTreeMap::new();
        for (attempt, BegunAttempt { endpoint, at, .. }) in &self.begun {
            by_call.entry((*endpoint, *at)).or_default().push(*attempt);
        }
        let (mut open, mut given_up) = (Vec::new(), Vec::new());
        for ((endpoint, begun), mut attempts) in by_call {
            attempts.sort_unstable();
            let is_owed = |no: &TransactionNo| self.transactions.get(*no).is_some_and(|t| t.ending.is_none());
            let transactions: Vec<TransactionNo> =
                attempts.iter().map(|(no, _)| *no).filter(is_owed).collect();
            match self.catalog.get(endpoint).filter(|_| !transactions.is_empty()) {
                Some(endpoint) => {
                    let endpoint = endpoint.name.to_string();
                    open.push(OpenCall { endpoint, begun, transactions });
                }
                None => given_up.extend(attempts),
            }
        }
        (open, given_up)
    }

    /// The key of a message of which an attempt is given up.
    fn resting_key(&self, now: Nanos, no: TransactionNo) -> Option<RestingKey> {
        let t = self.transactions.get(no)?;
        let (key, rules) = (t.key.clone()?, self.journal.classes().rules(t.class)?);
        Some(RestingKey { key, until: now + rules.key_rest, transaction: no })
    }

    /// What another process has learned, by the numbers that endpoints have here.
    fn renumbered(&self, knowledge: Knowledge, names: &[(EndpointId, String)]) -> Knowledge {
        let number = |(there, name): &(EndpointId, String)| Some((*there, self.catalog.find(name)?));
        knowledge.renumbered(&names.iter().filter_map(number).collect())
    }

    /// Takes in what another process handed over; its endpoints are known already.
    pub(super) fn take_over(&mut self, now: Nanos, handover: Option<Handover>, last_out: &LastOut) {
        let continues = handover.is_some();
        let handover = handover.unwrap_or_default();
        self.transactions.remember_delivered(now, &handover.delivered);
        let mut calls = Vec::new();
        for call in &handover.calls {
            let Some(endpoint) = self.catalog.find(&call.endpoint) else { continue };
            let is_out = |no: &TransactionNo| self.transactions.get(*no).is_some_and(|t| t.out.is_some());
            let ids: Vec<TransactionNo> = call.transactions.iter().copied().filter(is_out).collect();
            if !ids.is_empty() {
                calls.push((endpoint, call.begun, ids));
            }
        }
        let adopted = calls.iter().flat_map(|(.., ids)| ids.iter().copied()).collect();
        let (asks, strange) = self.restored(now, &adopted);
        let (endpoint_outages, destination_outages) = self.outages_of_before(now, last_out);
        // What another process has learned of endpoints says more.
        let endpoint_outages = if continues { Vec::new() } else { endpoint_outages };
        let knowledge = continues.then(|| self.renumbered(handover.knowledge, &handover.names));
        let keys = handover.keys.iter();
        let keys = keys.map(|k| (k.key.clone(), k.until.saturating_sub(now), k.transaction));
        let older = self.journal.classes().older().map(|(no, rules)| (no, rules.clone()));
        let left = Left {
            classes: older.collect(),
            asks,
            endpoint_outages,
            destination_outages,
            knowledge,
            keys: keys.collect(),
            calls: calls
                .iter()
                .map(|(id, begun, ids)| (*id, now.saturating_sub(*begun), ids.clone()))
                .collect(),
        };
        let (picked, adopted) = self.facade.restore(now, left);
        for (call, (endpoint, begun, _)) in adopted.iter().zip(&calls) {
            let begun = BegunAttempt { endpoint: *endpoint, at: *begun, via: Via::default() };
            self.begins(call.attempts.iter(), begun);
        }
        self.work.adopted.extend(adopted);
        self.absorb(now, picked);
        self.fail_all(now, strange);
    }

    /// The first byte of these attempts went.
    pub(super) fn begins<'a>(&mut self, attempts: impl Iterator<Item = &'a Attempt>, begun: BegunAttempt) {
        self.begun.extend(attempts.map(|a| ((a.transaction, a.number), begun)));
    }
}
