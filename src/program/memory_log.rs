//! Logs what the process holds in memory, by holder, beside what it may, and checks that it is no more.

use super::memory_share::MemoryShare;
use super::resident::{self, Resident};
use crate::admission::ledger::Purse;
use crate::memory::{Holder, MemoryBudget};
use crate::transport::Door;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// It is looked so often.
const LOOK_EACH: Duration = Duration::from_secs(1);
/// What has not changed is told again after this time.
const TELL_EACH: Duration = Duration::from_secs(10);
/// A change by this part of the limit is told at once.
const NOTABLE_PART: u64 = 16;

/// Whose memory is looked at.
pub(super) struct MemoryLog {
    pub memory: Rc<MemoryShare>,
    /// Knows of clients' connections.
    pub door: Rc<Door>,
    /// The lasting folder.
    pub dir: PathBuf,
}

/// What a look found.
#[derive(Clone, Copy)]
struct Look {
    resident: Resident,
    files: u64,
    held: u64,
    refused: u64,
    at: Instant,
}

/// A figure for each holder that has one.
pub(super) fn by_holder(figure: impl Fn(Holder) -> u64) -> String {
    let figures = Holder::ALL.iter().map(|holder| (holder.name(), figure(*holder)));
    let words: Vec<String> =
        figures.filter(|(_, bytes)| *bytes > 0).map(|(name, bytes)| format!("{name}={bytes}")).collect();
    words.join(" ")
}

fn refused_in_all(budget: &MemoryBudget) -> u64 {
    Holder::ALL.iter().map(|holder| budget.refused(*holder)).sum()
}

impl MemoryLog {
    /// Tells, for good, where it has changed or was not told for a while.
    pub async fn run(self) {
        let mut reported = self.look();
        self.tell(&reported);
        let mut violations = 0;
        loop {
            sleep(LOOK_EACH).await;
            let look = self.look();
            if look.refused != reported.refused {
                let (count, by) = (
                    look.refused - reported.refused,
                    by_holder(|holder| self.memory.budget().refused(holder)),
                );
                tracing::warn!(target: "memory", event = "memory-refused", count, by, "there was no memory for what was to be held");
            }
            if let Some(of) = self.exceeded(&look) {
                violations += 1;
                let (limit, resident, files) = (self.memory.limit(), look.resident.now, look.files);
                let (held, other) = (look.held, self.memory.other());
                let by = by_holder(|holder| self.memory.budget().held(holder));
                tracing::error!(target: "memory", event = "memory-violation", of, limit, resident, files, other, held, by, violations, "more memory is taken than may be");
            }
            if self.is_notable(&look, &reported) {
                self.tell(&look);
                reported = look;
            }
        }
    }

    fn look(&self) -> Look {
        let budget = self.memory.budget();
        let (held, refused) = (budget.held_in_all(), refused_in_all(budget));
        let (resident, files) = (resident::own(), resident::files(&self.dir));
        Look { resident, files, held, refused, at: Instant::now() }
    }

    /// What is beyond its bound.
    fn exceeded(&self, look: &Look) -> Option<&'static str> {
        let taken = look.resident.now + look.files + self.memory.other();
        match () {
            () if taken > self.memory.limit() => Some("resident"),
            // Another process may have come; what is held is not taken away for it.
            () if self.memory.other() == 0 && self.memory.budget().is_exceeded() => Some("held"),
            () => None,
        }
    }

    fn is_notable(&self, look: &Look, reported: &Look) -> bool {
        let part = self.memory.limit() / NOTABLE_PART;
        let pairs = [
            (look.resident.now, reported.resident.now),
            (look.resident.peak, reported.resident.peak),
            (look.held, reported.held),
            (look.files, reported.files),
        ];
        let is_late = reported.at.elapsed() >= TELL_EACH;
        is_late || look.refused != reported.refused || pairs.iter().any(|(is, was)| is.abs_diff(*was) > part)
    }

    fn tell(&self, look: &Look) {
        let budget = self.memory.budget();
        let by = by_holder(|holder| budget.held(holder));
        let (clients, known) = self.door.open();
        let connections = clients + self.door.ledger().drawn(Purse::Calls);
        let Look { resident: Resident { now, peak }, files, held, refused, .. } = *look;
        let (limit, other, may_hold) = (self.memory.limit(), self.memory.other(), budget.plan().total);
        tracing::info!(target: "memory", event = "memory", limit, resident = now, peak, files, other, may_hold, held, by, refused, connections, clients, known);
    }
}
