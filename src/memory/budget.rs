//! The ledger of bytes held, by who holds them.

use super::plan::MemoryPlan;
use super::{Holder, HOLDERS};
use std::cell::Cell;
use std::rc::Rc;

/// Counts the bytes that each holder holds, and says whether it may hold more.
#[derive(Debug)]
pub struct MemoryBudget {
    plan: Cell<MemoryPlan>,
    held: [Cell<u64>; HOLDERS],
    /// Draws that found nothing left, since the start.
    refused: [Cell<u64>; HOLDERS],
}

impl Default for MemoryBudget {
    /// One without bounds.
    fn default() -> MemoryBudget {
        let unbounded = MemoryPlan { total: u64::MAX, reserved: [0; HOLDERS] };
        MemoryBudget { plan: Cell::new(unbounded), held: Default::default(), refused: Default::default() }
    }
}

impl MemoryBudget {
    /// One that goes by this plan.
    pub fn new(plan: MemoryPlan) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget { plan: Cell::new(plan), ..MemoryBudget::default() })
    }

    /// Goes by another plan from now on. What is held beyond it is not taken away.
    pub fn replan(&self, plan: MemoryPlan) {
        self.plan.set(plan);
    }

    /// What it goes by.
    pub fn plan(&self) -> MemoryPlan {
        self.plan.get()
    }

    /// Bytes that this holder holds.
    pub fn held(&self, holder: Holder) -> u64 {
        self.held[holder as usize].get()
    }

    /// Bytes that all hold together.
    pub fn held_in_all(&self) -> u64 {
        self.held.iter().map(Cell::get).sum()
    }

    /// Draws of this holder that found nothing left, since the start.
    pub fn refused(&self, holder: Holder) -> u64 {
        self.refused[holder as usize].get()
    }

    /// Bytes that this holder may still draw: what is left of its own part, and of what is kept for nobody.
    pub fn left(&self, holder: Holder) -> u64 {
        let plan = self.plan.get();
        let kept: u64 = plan.reserved.iter().sum();
        let beyond = |h: &Holder| self.held(*h).saturating_sub(plan.reserved[*h as usize]);
        let free = plan.total.saturating_sub(kept).saturating_sub(Holder::ALL.iter().map(beyond).sum());
        plan.reserved[holder as usize].saturating_sub(self.held(holder)).saturating_add(free)
    }

    /// Whether this holder may hold so many bytes more; one that may not is counted as refused.
    pub fn allows(&self, holder: Holder, bytes: u64) -> bool {
        let allows = bytes <= self.left(holder);
        if !allows {
            let refused = &self.refused[holder as usize];
            refused.set(refused.get() + 1);
        }
        allows
    }

    /// Draws so many bytes, until they are dropped; none where nothing is left for this holder.
    pub fn draw(self: &Rc<Self>, holder: Holder, bytes: u64) -> Option<Held> {
        self.allows(holder, bytes).then(|| self.hold(holder, bytes))
    }

    /// Counts bytes that are held in any case, until they are dropped.
    pub fn hold(self: &Rc<Self>, holder: Holder, bytes: u64) -> Held {
        let held = &self.held[holder as usize];
        held.set(held.get() + bytes);
        Held { budget: self.clone(), holder, bytes }
    }

    /// This holder holds so many bytes in all from now on, by its own count.
    pub fn book(&self, holder: Holder, bytes: u64) {
        self.held[holder as usize].set(bytes);
    }

    /// Whether all hold more than they may together.
    pub fn is_exceeded(&self) -> bool {
        self.held_in_all() > self.plan.get().total
    }
}

/// Bytes that are held; dropped, they are given back.
#[derive(Debug)]
pub struct Held {
    budget: Rc<MemoryBudget>,
    holder: Holder,
    bytes: u64,
}

impl Held {
    /// Draws more, up to so many bytes in all; false where nothing is left.
    pub fn grow_to(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let grows = more == 0 || self.budget.allows(self.holder, more);
        if grows {
            let held = &self.budget.held[self.holder as usize];
            held.set(held.get() + more);
            self.bytes += more;
        }
        grows
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = &self.budget.held[self.holder as usize];
        held.set(held.get().saturating_sub(self.bytes));
    }
}
