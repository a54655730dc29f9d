//! The descriptor ledger: who may draw how many of the process's descriptors, and who goes first when they are
//! short. Free of I/O; what is drawn is given back by dropping it.
//!
//! The order is that of what is owed: the journal and what tells ends of messages, calls for what is taken on,
//! known clients, others. Each purse has a part that those after it can't draw: what is free beyond the parts of
//! those before is for whoever comes.

use crate::memory::{Held, Holder, MemoryBudget, CONNECTION_BYTES};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Descriptors that the process holds beside its sockets: standard streams, the event loop's own, signals,
/// listeners, the reserve for refusals.
pub const ALWAYS: usize = 16;

/// What a descriptor is for, the first going first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purse {
    /// Journal, notices, discovery.
    Records = 0,
    /// Connections to next hops.
    Calls = 1,
    Known = 2,
    Others = 3,
}

#[derive(Debug)]
pub struct Ledger {
    total: Cell<usize>,
    kept: [Cell<usize>; 4],
    drawn: [Cell<usize>; 4],
    /// Somebody who goes before them found nothing left: legs are to give way.
    short: Notify,
    /// Something was given back.
    freed: Notify,
    /// Connections hold buffers there.
    memory: Rc<MemoryBudget>,
}

/// A descriptor drawn from the ledger; dropped, it is given back.
#[derive(Debug)]
pub struct Drawn {
    ledger: Rc<Ledger>,
    purse: Purse,
    _buffers: Option<Held>,
}

impl Ledger {
    /// `total` descriptors in all, of which each purse has its part kept for it.
    pub fn new(total: usize, kept: [usize; 4]) -> Rc<Ledger> {
        Ledger::beside(total, kept, Rc::default())
    }

    /// The same, with the buffers of connections counted there.
    pub fn beside(total: usize, kept: [usize; 4], memory: Rc<MemoryBudget>) -> Rc<Ledger> {
        Rc::new(Ledger {
            total: Cell::new(total),
            kept: kept.map(Cell::new),
            drawn: Default::default(),
            short: Notify::new(),
            freed: Notify::new(),
            memory,
        })
    }

    /// Where the buffers of connections are counted.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
    }

    pub fn total(&self) -> usize {
        self.total.get()
    }

    pub fn drawn(&self, purse: Purse) -> usize {
        self.drawn[purse as usize].get()
    }

    /// What is kept for this purse, whoever else is short.
    pub fn kept(&self, purse: Purse) -> usize {
        self.kept[purse as usize].get()
    }

    fn all_drawn(&self) -> usize {
        self.drawn.iter().map(Cell::get).sum()
    }

    /// What this purse could draw now.
    pub fn left(&self, purse: Purse) -> usize {
        let before = &self.kept[..purse as usize];
        let held_back =
            before.iter().zip(&self.drawn).map(|(kept, drawn)| kept.get().saturating_sub(drawn.get()));
        self.total.get().saturating_sub(self.all_drawn() + held_back.sum::<usize>())
    }

    /// Draws one. `None`: there is none for this purse; where it goes before callers, legs are told to give way.
    pub fn draw(self: &Rc<Self>, purse: Purse) -> Option<Drawn> {
        if self.left(purse) == 0 {
            if purse < Purse::Known {
                self.short.notify_one();
            }
            return None;
        }
        let drawn = &self.drawn[purse as usize];
        drawn.set(drawn.get() + 1);
        // There are no more of them than there is memory for: that bounds the descriptors.
        let is_connection = purse != Purse::Records;
        let buffers = is_connection.then(|| self.memory.hold(Holder::Connections, CONNECTION_BYTES));
        Some(Drawn { ledger: self.clone(), purse, _buffers: buffers })
    }

    /// The system had none although the ledger had: something outside it holds descriptors, or the limit is lower
    /// than was thought.
    pub fn found_short(&self) {
        self.short.notify_one();
    }

    /// Completes when legs are to give way.
    pub async fn short(&self) {
        self.short.notified().await;
    }

    /// Completes when a descriptor has been given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Other figures, from now on. What is drawn beyond them is not taken away.
    pub fn set(&self, total: usize, kept: [usize; 4]) {
        self.total.set(total);
        self.kept.iter().zip(kept).for_each(|(cell, n)| cell.set(n));
    }
}

impl Drawn {
    /// The same descriptor for another purpose: a caller turned out to be known, or not to be.
    pub fn pass_to(&mut self, purse: Purse) {
        let drawn = |p: Purse| &self.ledger.drawn[p as usize];
        drawn(self.purse).set(drawn(self.purse).get() - 1);
        drawn(purse).set(drawn(purse).get() + 1);
        self.purse = purse;
    }
}

impl Drop for Drawn {
    fn drop(&mut self) {
        let drawn = &self.ledger.drawn[self.purse as usize];
        drawn.set(drawn.get() - 1);
        self.ledger.freed.notify_one();
    }
}
