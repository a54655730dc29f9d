//! Logs what the process holds in memory, by holder, beside the limit.

use super::resident::{self, Resident};
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
    /// Counts what is held.
    pub budget: Rc<MemoryBudget>,
    /// Knows of clients' connections.
    pub door: Rc<Door>,
    /// The lasting folder.
    pub dir: PathBuf,
    /// Bytes that the relay may take.
    pub limit: u64,
}

/// What the log was told last.
struct Told {
    resident: Resident,
    held: u64,
    at: Instant,
}

impl MemoryLog {
    /// Tells, for good, where it has changed or was not told for a while.
    pub async fn run(self) {
        let mut told = self.tell();
        loop {
            sleep(LOOK_EACH).await;
            let (resident, held) = (resident::own(), self.budget.held_in_all());
            let is_notable = |is: u64, was: u64| is.abs_diff(was) > self.limit / NOTABLE_PART;
            let has_changed =
                is_notable(resident.now, told.resident.now) || is_notable(resident.peak, told.resident.peak);
            if has_changed || is_notable(held, told.held) || told.at.elapsed() >= TELL_EACH {
                told = self.tell();
            }
        }
    }

    fn tell(&self) -> Told {
        let (resident, held) = (resident::own(), self.budget.held_in_all());
        let by: Vec<String> = Holder::ALL
            .iter()
            .map(|holder| format!("{}={}", holder.name(), self.budget.held(*holder)))
            .collect();
        let (by, (clients, known), files) = (by.join(" "), self.door.open(), resident::files(&self.dir));
        let (limit, Resident { now, peak }) = (self.limit, resident);
        let connections = clients + self.door.ledger().drawn(crate::admission::ledger::Purse::Calls);
        tracing::info!(target: "memory", event = "memory", limit, resident = now, peak, files, held, by, connections, clients, known);
        Told { resident, held, at: Instant::now() }
    }
}
