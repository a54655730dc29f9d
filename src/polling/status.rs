//! How old the list in force is, and how long each step on its way into force took.

use super::{NotificationBudget, HOLD_UP};
use crate::interface::Nanos;
use std::time::Duration;

/// When each step of one list was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSteps {
    /// Its version.
    pub seq: u64,
    /// It replaced all that was known.
    pub whole: bool,
    /// The answer before it was asked for, if there was one.
    pub asked_before: Option<Nanos>,
    /// The longest time between the beginnings of two questions since then.
    pub longest_step: Nanos,
    /// The question that brought it was begun.
    pub asked: Nanos,
    /// The head of its answer had come.
    pub answered: Nanos,
    /// All of it had been read.
    pub read: Nanos,
    /// The last piece of it was in force.
    pub in_force: Nanos,
}

impl ListSteps {
    /// How long nothing was asked that was answered before this question.
    pub fn unasked(&self) -> Nanos {
        self.asked_before.map_or(0, |before| self.asked.saturating_sub(before))
    }

    /// From the head of the answer until the list was in force.
    pub fn applying(&self) -> Nanos {
        self.in_force.saturating_sub(self.answered)
    }
}

/// What is known of the list in force, and whether the stages before it kept their budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListStatus {
    budget: Option<NotificationBudget>,
    current_as_of: Option<Nanos>,
    last: Option<ListSteps>,
    late: u64,
}

/// A stage that took longer than its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateStage {
    /// Nothing was asked for longer than a step.
    Unasked,
    /// What had been answered was not in force.
    Applying,
}

impl ListStatus {
    /// A question that was begun at this moment has been answered, and the answer is in force.
    pub fn is_current_as_of(&mut self, asked: Nanos) {
        self.current_as_of = self.current_as_of.max(Some(asked));
    }

    /// The budget that holds from now on; none where relays look lists up from time to time.
    pub fn keep(&mut self, budget: Option<NotificationBudget>) {
        self.budget = budget;
    }

    /// A list came into force; the stage that took longer than it may.
    pub fn came_into_force(&mut self, steps: ListSteps) -> Option<LateStage> {
        self.last = Some(steps);
        let budget = self.budget?;
        let is_over = |took: Nanos, bound: Duration| Duration::from_nanos(took) > bound + HOLD_UP;
        let stage = match () {
            () if is_over(steps.longest_step, budget.step) => LateStage::Unasked,
            () if is_over(steps.applying(), budget.apply) => LateStage::Applying,
            () => return None,
        };
        self.late += 1;
        Some(stage)
    }

    /// Lists before which a stage took longer than it may.
    pub fn late(&self) -> u64 {
        self.late
    }

    /// How old the list in force may be: so long ago the last question was begun that has been answered.
    pub fn age(&self, now: Nanos) -> Option<Nanos> {
        self.current_as_of.map(|asked| now.saturating_sub(asked))
    }

    /// The list that came into force last.
    pub fn last(&self) -> Option<&ListSteps> {
        self.last.as_ref()
    }
}
