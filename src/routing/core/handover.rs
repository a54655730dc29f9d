//! The core handed to another process of the relay, and taken over from one.

use super::Core;
use crate::attribution::Via;
use crate::catalog::{EndpointId, EndpointView};
use crate::decision::Knowledge;
use crate::interface::{KeyLock, Nanos};
use crate::routing::facade::{Left, LeftCall};
use crate::routing::handover::{Endpoints, Handover, OpenCall, RestingKey};
use crate::routing::journal::LastOut;
use crate::routing::message_log;
use crate::routing::values::{Attempt, OpenAttempt, TransactionNo};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Attempts whose first byte went and that have no outcome yet. They stay here however long their messages live.
pub(super) type Begun = HashMap<(TransactionNo, u32), BegunAttempt>;

/// An attempt whose first byte went.
#[derive(Clone, Debug)]
pub(super) struct BegunAttempt {
    pub endpoint: EndpointId,
    pub at: Nanos,
    /// The connection that it went on; of another process's none.
    pub via: Via,
    /// The key that it holds until it has its outcome.
    pub lock: Option<KeyLock>,
}

/// What a process stops deciding on.
#[derive(Debug, Default)]
pub struct Released {
    /// For the process that takes over.
    pub handover: Handover,
    /// The attempts that it hands over: they go on here.
    pub handed: HashSet<(TransactionNo, u32)>,
}

/// The attempts that a process which takes over can adopt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopts {
    /// All that are out.
    AllAttempts,
    /// Those of messages that are owed their ends.
    OwedAttempts,
}

impl Core {
    /// Stops deciding, and gives the journal away. `seq`: the version of discovery's list that is wholly in force; `adopts`: what
    /// the process that takes over can adopt.
    pub fn release(&mut self, now: Nanos, seq: Option<u64>, adopts: Adopts) -> Released {
        // What is written says how far the journal goes.
        self.journal.settle();
        let (calls, handed) = self.open_calls(adopts);
        let endpoints = self.catalog.iter().map(EndpointView::to_endpoint).collect();
        let mut keys: Vec<RestingKey> = self
            .facade
            .resting_keys()
            .map(|(key, until, transaction)| RestingKey { key: key.to_string(), until, transaction })
            .collect();
        keys.extend(self.keys_of_ending(now, &handed));
        let knowledge = self.facade.knowledge();
        let named = |id: EndpointId| Some((id, self.catalog.get(id)?.name.to_string()));
        let names = knowledge.hosts().filter_map(named).collect();
        let handover = Handover {
            knowledge,
            names,
            keys,
            has_lost_calls: false,
            calls,
            delivered: self.transactions.closed().delivered().cloned().collect(),
            list: Endpoints { seq, endpoints },
            journal_bytes: self.journal.bytes(),
            unwritten: self.journal.release(),
        };
        Released { handover, handed }
    }

    /// Calls that go on at this process, and their attempts.
    fn open_calls(&self, adopts: Adopts) -> (Vec<OpenCall>, HashSet<(TransactionNo, u32)>) {
        let mut by_call: BTreeMap<(EndpointId, Nanos), Vec<(TransactionNo, u32)>> = BTreeMap::new();
        for (attempt, begun) in &self.begun {
            by_call.entry((begun.endpoint, begun.at)).or_default().push(*attempt);
        }
        let (mut open, mut handed) = (Vec::new(), HashSet::new());
        for ((endpoint, begun), mut attempts) in by_call {
            let Some(endpoint) = self.catalog.get(endpoint) else { continue };
            attempts.sort_unstable();
            let open_attempts: Vec<_> = attempts.iter().map(|attempt| self.open_attempt(*attempt)).collect();
            if adopts == Adopts::OwedAttempts && open_attempts.iter().any(OpenAttempt::outlives_message) {
                continue;
            }
            handed.extend(&attempts);
            open.push(OpenCall { endpoint: endpoint.name.to_string(), begun, attempts: open_attempts });
        }
        (open, handed)
    }

    fn open_attempt(&self, attempt: (TransactionNo, u32)) -> OpenAttempt {
        let transaction = attempt.0;
        let is_owed = self.transactions.get(transaction).is_some_and(|t| t.ending.is_none());
        let lock = self.begun.get(&attempt).and_then(|begun| begun.lock.clone());
        OpenAttempt { transaction, is_owed, lock }
    }

    /// Keys of attempts that end with the hand-over, since the process that takes over cannot adopt them or their endpoints left
    /// long ago.
    fn keys_of_ending(&self, now: Nanos, handed: &HashSet<(TransactionNo, u32)>) -> Vec<RestingKey> {
        let ending = self.begun.iter().filter(|(attempt, _)| !handed.contains(attempt));
        let resting = ending.filter_map(|((transaction, _), begun)| {
            let KeyLock { key, rest } = begun.lock.clone()?;
            Some(RestingKey { key, until: now + rest, transaction: *transaction })
        });
        resting.collect()
    }

    /// The key that each attempt of this message holds.
    pub(super) fn lock_of(&self, no: TransactionNo) -> Option<KeyLock> {
        let t = self.transactions.get(no)?;
        let rules = self.journal.classes().rules(t.class)?;
        let key = t.key.clone().filter(|_| rules.class.in_order)?;
        Some(KeyLock { key, rest: rules.key_rest })
    }

    /// What another process has learned, by the numbers that endpoints have here.
    fn renumbered(&self, knowledge: Knowledge, names: &[(EndpointId, String)]) -> Knowledge {
        let number = |(there, name): &(EndpointId, String)| Some((*there, self.catalog.find(name)?));
        knowledge.renumbered(&names.iter().filter_map(number).collect())
    }

    /// Takes in what another process handed over; its endpoints are known already.
    pub(super) fn take_over(&mut self, now: Nanos, handover: Option<Handover>, last_out: &LastOut) {
        let continues = handover.is_some();
        // A process that is gone tells nothing of its calls.
        let handover = handover.unwrap_or(Handover { has_lost_calls: true, ..Handover::default() });
        self.transactions.remember_delivered(now, &handover.delivered);
        let calls: Vec<LeftCall> =
            handover.calls.iter().filter_map(|call| self.left_call(now, call)).collect();
        let adopted = calls.iter().flat_map(|call| &call.attempts).map(|a| a.transaction).collect();
        self.forget_keys_tried(now);
        let lost = if handover.has_lost_calls { self.locks_lost(&adopted) } else { Vec::new() };
        let (asks, strange) = self.restored(now, &adopted);
        let (endpoint_outages, destination_outages) = self.outages_of_before(now, last_out);
        // What another process has learned of endpoints says more.
        let endpoint_outages = if continues { Vec::new() } else { endpoint_outages };
        let knowledge = continues.then(|| self.renumbered(handover.knowledge, &handover.names));
        let keys = handover.keys.iter();
        let keys = keys.map(|k| (k.key.clone(), k.until.saturating_sub(now), k.transaction));
        let lost = lost.into_iter().map(|(no, KeyLock { key, rest })| (key, rest, no));
        let keys = keys.chain(lost);
        let older = self.journal.classes().older().map(|(no, rules)| (no, rules.clone()));
        let left = Left {
            classes: older.collect(),
            asks,
            endpoint_outages,
            destination_outages,
            knowledge,
            keys: keys.collect(),
            calls: calls.clone(),
        };
        let (picked, adopted) = self.facade.restore(now, left);
        for (call, left) in adopted.iter().zip(calls) {
            let (endpoint, at, via) = (left.endpoint, now.saturating_sub(left.ago), Via::default());
            let hop = self.catalog.get(endpoint).map_or("", |endpoint| endpoint.name);
            message_log::call_adopted(hop, at, &left.attempts);
            for (attempt, open) in call.attempts.iter().zip(left.attempts) {
                self.begins(attempt, BegunAttempt { endpoint, at, via, lock: open.lock });
            }
        }
        self.work.adopted.extend(adopted);
        self.absorb(now, picked);
        self.fail_all(now, strange);
    }

    /// Keys of attempts that ended with the process that made them, at the latest as the journal was opened, or shortly before
    /// that without an answer: the journal does not tell when.
    fn locks_lost(&self, adopted: &HashSet<TransactionNo>) -> Vec<(TransactionNo, KeyLock)> {
        let older = self.journal.classes().older().map(|(_, rules)| rules.key_rest);
        let rest = older.fold(self.facade.settings().key_rest, Nanos::max);
        let tried = self.transactions.iter().filter(|(_, t)| t.may_be_running());
        let open = tried.filter_map(|(no, _)| Some((no, self.lock_of(no)?.key)));
        let over = self.transactions.keys_tried().iter().map(|(no, tried)| (*no, tried.key.clone()));
        let lost = open.chain(over).filter(|(no, _)| !adopted.contains(no));
        lost.map(|(no, key)| (no, KeyLock { key, rest })).collect()
    }

    /// Lets go of keys of which no call can have been out of late: none is waited for longer than a message may live, and none
    /// begins behind its message's time.
    pub(super) fn forget_keys_tried(&mut self, now: Nanos) {
        let classes = self.facade.settings().classes.iter().map(|class| class.deadline);
        let older = self.journal.classes().older().map(|(_, rules)| rules.class.deadline);
        let longest = classes.chain(older).max().unwrap_or(0);
        self.transactions.forget_keys_tried(now.saturating_sub(longest));
    }

    /// A call that goes on at the process that handed over; none where nothing of it is out.
    fn left_call(&self, now: Nanos, call: &OpenCall) -> Option<LeftCall> {
        let endpoint = self.catalog.find(&call.endpoint)?;
        // An end that was heard before counts; of a message that is over nothing more is known here.
        let is_out =
            |open: &&OpenAttempt| self.transactions.get(open.transaction).is_none_or(|t| t.out.is_some());
        let attempts = call.attempts.iter().filter(is_out).map(|open| {
            let lock = self.lock_of(open.transaction).or_else(|| open.lock.clone());
            OpenAttempt { lock, ..open.clone() }
        });
        let attempts: Vec<OpenAttempt> = attempts.collect();
        let ago = now.saturating_sub(call.begun);
        (!attempts.is_empty()).then_some(LeftCall { endpoint, ago, attempts })
    }

    /// The first byte of an attempt went.
    pub(super) fn begins(&mut self, attempt: &Attempt, begun: BegunAttempt) {
        self.begun.insert((attempt.transaction, attempt.number), begun);
    }
}
