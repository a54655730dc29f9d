//! The transactions that the relay owes an end, with all that must outlast the process.

use super::classes::ClassNo;
use super::closed::{Closed, ClosedIds};
use super::core::Offer;
use super::values::{End, TransactionNo};
use crate::interface::Nanos;
use bytes::Bytes;
use std::collections::{BTreeMap, HashMap};

#[derive(Clone, Debug, PartialEq)]
pub struct Transaction {
    /// The id under which its client handed it in.
    pub id: String,
    /// The class by which it was taken on.
    pub class: ClassNo,
    pub dest: u64,
    pub key: Option<String>,
    pub idempotency: Option<String>,
    /// Wall clock.
    pub taken_at: Nanos,
    pub deadline: Nanos,
    pub body: Bytes,
    /// Whoever is owed the end, in the front's own words; empty where the front needs none.
    pub owner: String,
    /// Attempts begun.
    pub attempts: u32,
    /// Wall time and zone of the first attempt that may have run.
    pub may_have_run: Option<(Nanos, usize)>,
    /// The attempt that is out, not known to have ended: when it began and in which zone.
    pub out: Option<(Nanos, usize)>,
    /// The end that is owed and not yet acknowledged; `None` while it may still be delivered.
    pub ending: Option<Ending>,
    /// Why a next hop rejected it for good, in the front's own terms; 0 where none did.
    pub reason: u32,
    /// It stays until its end, whether its client has heard of it or not: a call for it was let out, another client was told that
    /// it is taken on, or an earlier process may have done either.
    pub is_bound: bool,
    /// It has had a final answer, proven or not: no attempt begins any more, whether its end is decided or not.
    pub is_spent: bool,
}

impl Transaction {
    /// One that is taken on now, by this class.
    pub fn new(offer: Offer, class: ClassNo, now: Nanos) -> Transaction {
        let Offer { id, dest, key, idempotency, time_left, body, owner, .. } = offer;
        Transaction {
            id,
            class,
            dest,
            key,
            idempotency,
            taken_at: now,
            deadline: now.saturating_add(time_left),
            // A slice of what was read from the connection would keep all of that, several kB for a few bytes.
            body: Bytes::copy_from_slice(&body),
            owner,
            attempts: 0,
            may_have_run: None,
            out: None,
            ending: None,
            reason: 0,
            is_bound: false,
            is_spent: false,
        }
    }
}

impl Transaction {
    /// Whether an attempt may be running, or have ended just now without an answer, as far as is known of it.
    pub fn may_be_running(&self) -> bool {
        self.out.is_some() || self.may_have_run.is_some() || self.is_spent
    }
}

/// Bytes that a message takes beside its texts and its body, with what the decision module keeps of it.
const MESSAGE_BYTES: usize = 1_024;

impl Transaction {
    /// Bytes of memory that it takes while it is open.
    pub fn bytes_held(&self) -> u64 {
        let optional = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        // The id stands in the index as well.
        let texts = 2 * self.id.len() + self.owner.len() + optional(&self.key) + optional(&self.idempotency);
        (MESSAGE_BYTES + texts + self.body.len()) as u64
    }
}

/// The final answer, once there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Delivered,
    Undelivered(End),
}

#[derive(Debug, Default)]
pub struct Transactions {
    by_no: BTreeMap<TransactionNo, Transaction>,
    by_id: HashMap<String, TransactionNo>,
    closed: ClosedIds,
    bytes_held: u64,
    /// Keys that a process which follows a killed one has to rest.
    keys_tried: BTreeMap<TransactionNo, TriedKey>,
}

/// The key of a transaction that is over, of which an attempt may be running or may have ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TriedKey {
    pub key: String,
    /// When its time is up: no attempt begins behind that.
    pub deadline: Nanos,
}

/// So many of them are kept at most, the newest.
const KEYS_TRIED_MOST: usize = 1_024;

impl Transactions {
    pub fn insert(&mut self, no: TransactionNo, t: Transaction) {
        self.bytes_held += t.bytes_held();
        self.by_id.insert(t.id.clone(), no);
        if let Some(before) = self.by_no.insert(no, t) {
            self.bytes_held -= before.bytes_held();
        }
    }

    /// Bytes of memory that open ones take.
    pub fn bytes_held(&self) -> u64 {
        self.bytes_held
    }

    pub fn remove(&mut self, no: TransactionNo) -> Option<Transaction> {
        let t = self.by_no.remove(&no)?;
        self.bytes_held -= t.bytes_held();
        if self.by_id.get(&t.id) == Some(&no) {
            self.by_id.remove(&t.id);
        }
        if let Some(key) = t.key.clone().filter(|_| t.may_be_running()) {
            self.note_key_tried(no, TriedKey { key, deadline: t.deadline });
        }
        Some(t)
    }

    /// Keys of transactions that are over, of which an attempt may be running or have ended without an answer.
    pub fn keys_tried(&self) -> &BTreeMap<TransactionNo, TriedKey> {
        &self.keys_tried
    }

    /// Lets go of those whose transactions had their time before this.
    pub fn forget_keys_tried(&mut self, before: Nanos) {
        self.keys_tried.retain(|_, tried| tried.deadline >= before);
    }

    /// A transaction that is over was one of them.
    pub fn note_key_tried(&mut self, no: TransactionNo, tried: TriedKey) {
        self.keys_tried.insert(no, tried);
        if self.keys_tried.len() > KEYS_TRIED_MOST {
            self.keys_tried.pop_first();
        }
    }

    /// Nothing more is owed for a transaction, which ended like this: what comes under its id again is no new one.
    pub fn close(&mut self, now: Nanos, no: TransactionNo, closed: Closed) -> Option<Transaction> {
        let t = self.remove(no)?;
        // Its one attempt ended with an answer.
        if closed == Closed::Delivered && t.attempts <= 1 {
            self.keys_tried.remove(&no);
        }
        self.closed.note(now, t.id.clone(), closed);
        Some(t)
    }

    /// Ids of transactions that have had their end of late.
    pub fn closed(&self) -> &ClosedIds {
        &self.closed
    }

    /// The same, to be changed.
    pub fn closed_mut(&mut self) -> &mut ClosedIds {
        &mut self.closed
    }

    /// Takes in those that another process delivered.
    pub fn remember_delivered(&mut self, now: Nanos, all: &[String]) {
        all.iter().for_each(|id| self.closed.note(now, id.clone(), Closed::Delivered));
    }

    pub fn get(&self, no: TransactionNo) -> Option<&Transaction> {
        self.by_no.get(&no)
    }

    pub fn get_mut(&mut self, no: TransactionNo) -> Option<&mut Transaction> {
        self.by_no.get_mut(&no)
    }

    pub fn find(&self, id: &str) -> Option<TransactionNo> {
        self.by_id.get(id).copied()
    }

    /// Has no attempt begin any more for those of which one is out. Returns which they are.
    pub fn spend_all_out(&mut self) -> Vec<TransactionNo> {
        let out: Vec<TransactionNo> =
            self.by_no.iter().filter(|(_, t)| t.out.is_some()).map(|(no, _)| *no).collect();
        out.into_iter().filter_map(|no| self.spend(no)).collect()
    }

    /// Has no attempt of this one begin any more: one that is out counts as ended, and may have run. Returns it, where it is
    /// open.
    pub fn spend(&mut self, no: TransactionNo) -> Option<TransactionNo> {
        let t = self.by_no.get_mut(&no)?;
        t.may_have_run = t.may_have_run.or(t.out.take());
        t.is_spent = true;
        Some(no)
    }

    /// In the order taken.
    pub fn iter(&self) -> impl Iterator<Item = (TransactionNo, &Transaction)> {
        self.by_no.iter().map(|(no, t)| (*no, t))
    }

    /// Has all attempts that are remembered name their zones by other places.
    pub fn renumber_zones(&mut self, place: impl Fn(usize) -> usize) {
        for t in self.by_no.values_mut() {
            for (_, zone) in t.may_have_run.iter_mut().chain(t.out.iter_mut()) {
                *zone = place(*zone);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.by_no.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_no.is_empty()
    }
}
