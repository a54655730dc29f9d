//! What one connection has drawn for something that grows while it is read.

use super::budget::{Held, MemoryBudget};
use super::{Holder, SMALL_BYTES};
use std::cell::RefCell;
use std::rc::Rc;

/// Bytes of something that is being read: small ones are part of their connection, more are drawn.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Without one nothing is counted.
    budget: Option<Rc<MemoryBudget>>,
    drawn: RefCell<Option<Held>>,
}

impl Allowance {
    /// Of this budget, for answers.
    pub fn for_answers(budget: Option<Rc<MemoryBudget>>) -> Allowance {
        Allowance { budget, drawn: RefCell::default() }
    }

    /// Whether there is memory for so many bytes in all; they are held until `reset`.
    pub fn covers(&self, bytes: usize) -> bool {
        let Some(budget) = self.budget.as_ref().filter(|_| bytes > SMALL_BYTES) else { return true };
        let mut drawn = self.drawn.borrow_mut();
        match &mut *drawn {
            Some(held) => held.grow_to(bytes as u64),
            None => {
                *drawn = budget.draw(Holder::Answers, bytes as u64);
                drawn.is_some()
            }
        }
    }

    /// Gives all back.
    pub fn reset(&self) {
        self.drawn.take();
    }
}
