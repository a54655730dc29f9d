//! Memory of a relay of one or two processes: what both take counts together.

use super::resident::{self, Resident};
use crate::memory::{Holder, MemoryBudget, MemoryLimits, MemoryPlan};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

/// The other process is looked at so often.
const LOOK_EACH: Duration = Duration::from_millis(50);

/// What this process may take of what its relay may.
pub(super) struct MemoryShare {
    budget: Rc<MemoryBudget>,
    limits: Cell<MemoryLimits>,
    /// What another process of the relay takes.
    other: Cell<u64>,
}

/// Looks at another process of the relay until it is dropped: nothing is taken there any more then.
pub(super) struct Beside {
    share: Rc<MemoryShare>,
    task: AbortHandle,
}

impl Drop for Beside {
    fn drop(&mut self) {
        self.task.abort();
        self.share.other_takes(0);
    }
}

impl MemoryShare {
    /// Of these limits.
    pub fn new(limits: MemoryLimits) -> Rc<MemoryShare> {
        let budget = MemoryBudget::new(MemoryPlan::within(limits, 0));
        Rc::new(MemoryShare { budget, limits: Cell::new(limits), other: Cell::new(0) })
    }

    /// What all draw on.
    pub fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// What the relay may take, in bytes.
    pub fn limit(&self) -> u64 {
        self.limits.get().relay
    }

    /// What another process of the relay takes, in bytes.
    pub fn other(&self) -> u64 {
        self.other.get()
    }

    /// All figures, a line each: of each holder what it holds, what is kept for it, and how often it was refused; all but the
    /// last in bytes.
    pub fn figures(&self) -> String {
        let (plan, Resident { now, peak }) = (self.budget.plan(), resident::own());
        let mut text = format!(
            "limit {}\nresident {now}\npeak {peak}\nother {}\nmay-hold {}\nheld {}\n",
            self.limit(),
            self.other(),
            plan.total,
            self.budget.held_in_all()
        );
        for holder in Holder::ALL {
            let (held, refused) = (self.budget.held(holder), self.budget.refused(holder));
            let (name, kept) = (holder.name(), plan.reserved[holder as usize]);
            text.push_str(&format!("{name} held {held} kept {kept} refused {refused}\n"));
        }
        text
    }

    /// Other limits from now on.
    pub fn allow(&self, limits: MemoryLimits) {
        self.limits.set(limits);
        self.apply();
    }

    fn other_takes(&self, bytes: u64) {
        if self.other.replace(bytes) != bytes {
            self.apply();
        }
    }

    fn apply(&self) {
        self.budget.replan(MemoryPlan::within(self.limits.get(), self.other.get()));
    }

    /// Counts what this other process takes, where its number is known.
    pub fn beside(self: &Rc<Self>, process: Option<i32>) -> Option<Beside> {
        let (process, share) = (process?, self.clone());
        share.other_takes(resident::of(process).now);
        let looking = {
            let share = share.clone();
            async move {
                loop {
                    sleep(LOOK_EACH).await;
                    share.other_takes(resident::of(process).now);
                }
            }
        };
        let task = spawn_local(looking).abort_handle();
        Some(Beside { share, task })
    }
}
