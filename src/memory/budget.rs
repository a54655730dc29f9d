//! Bytes held, by who holds them.

use std::cell::Cell;
use std::rc::Rc;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Files of the lasting folder, which count as memory, and records that could not be written yet.
    Journal = 0,
    /// Messages that were taken on and are not over.
    Messages,
    /// Ids of messages that are over.
    Ids,
    /// Buffers of connections to clients and endpoints.
    Connections,
    /// Answers of endpoints that are being read.
    Answers,
    /// Bodies that known clients are sending.
    KnownBodies,
    /// Bodies that other clients are sending.
    OtherBodies,
}

impl Holder {
    /// All of them, in the order of their numbers.
    pub const ALL: [Holder; HOLDERS] = [
        Holder::Journal,
        Holder::Messages,
        Holder::Ids,
        Holder::Connections,
        Holder::Answers,
        Holder::KnownBodies,
        Holder::OtherBodies,
    ];

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Holder::Journal => "journal",
            Holder::Messages => "messages",
            Holder::Ids => "ids",
            Holder::Connections => "connections",
            Holder::Answers => "answers",
            Holder::KnownBodies => "known-bodies",
            Holder::OtherBodies => "other-bodies",
        }
    }
}

const HOLDERS: usize = 7;

/// Counts the bytes that each holder holds.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    held: [Cell<u64>; HOLDERS],
}

impl MemoryBudget {
    /// Bytes that this holder holds.
    pub fn held(&self, holder: Holder) -> u64 {
        self.held[holder as usize].get()
    }

    /// Bytes that all hold together.
    pub fn held_in_all(&self) -> u64 {
        self.held.iter().map(Cell::get).sum()
    }

    /// This holder holds so many bytes in all from now on, by its own count.
    pub fn book(&self, holder: Holder, bytes: u64) {
        self.held[holder as usize].set(bytes);
    }

    /// Counts some more bytes, until they are dropped.
    pub fn hold(self: &Rc<Self>, holder: Holder, bytes: u64) -> Held {
        self.add(holder, bytes);
        Held { budget: self.clone(), holder, bytes }
    }

    fn add(&self, holder: Holder, bytes: u64) {
        let held = &self.held[holder as usize];
        held.set(held.get() + bytes);
    }
}

/// Bytes that are held; dropped, they are given back.
#[derive(Debug)]
pub struct Held {
    budget: Rc<MemoryBudget>,
    holder: Holder,
    bytes: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.budget.held[self.holder as usize];
        held.set(held.get().saturating_sub(self.bytes));
    }
}
