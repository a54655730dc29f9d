//! Records of the journal that are written beside the event loop.

use super::{Core, Note};
use crate::interface::Nanos;
use crate::routing::journal::PendingWrite;
use crate::routing::values::TransactionNo;
use std::time::Duration;

/// A write that takes longer is too slow for clients that wait 400 ms for their answers.
pub(super) const SLOW_WRITE: Duration = Duration::from_millis(150);

impl Core {
    /// Has records be written by another thread, or by this one.
    pub fn defer_records(&mut self, is_deferred: bool) {
        self.journal.defer(is_deferred);
    }

    /// Whether `next_write` has something to write.
    pub fn wants_write(&self) -> bool {
        self.journal.wants_write()
    }

    /// Whether anything waits for what `next_write` writes.
    pub fn is_write_urgent(&self) -> bool {
        self.journal.has_intents() || self.withheld.has_ends()
    }

    /// The records that wait, for another thread to write in one go.
    pub fn next_write(&mut self) -> Option<PendingWrite> {
        if self.journal.wants_copy() && self.journal.write_takes().is_zero() {
            self.journal.rewrite(&self.transactions).ok();
        }
        self.journal.next_write()
    }

    /// The write that was on its way is done; whether nothing of it was lost.
    pub fn records_written(&mut self, now: Nanos) -> bool {
        let was_behind = self.journal.is_behind();
        let written = self.journal.end_write();
        match &written {
            Ok(()) if was_behind => {
                let text = "what has happened is written".to_string();
                self.work.notes.push(Note::new("journal-caught-up", text));
            }
            Ok(()) => {}
            Err(e) => {
                let text = format!("cannot write what has happened: {e}");
                self.work.notes.push(Note::new("journal-behind", text));
            }
        }
        self.tell_written(now);
        written.is_ok()
    }

    /// Writes all that waits, on this thread.
    pub fn settle_records(&mut self) {
        self.journal.settle();
    }

    /// The number of the last record that was to be written.
    pub fn records_queued(&self) -> u64 {
        self.journal.queued()
    }

    /// The number of the last record that is written or given up.
    pub fn records_resolved(&self) -> u64 {
        self.journal.resolved()
    }

    /// Whether this record, and all before it, are written or given up.
    pub fn is_resolved(&self, record: u64) -> bool {
        record <= self.journal.resolved()
    }

    /// Whether a record of this transaction could not be written of late: what it was for is not to be done.
    pub fn has_unwritten(&self, no: TransactionNo) -> bool {
        self.journal.has_failed(no)
    }

    /// Clients wait for their answers so long that writes of up to this time do no harm.
    pub fn bear_writes_of(&mut self, time: Duration) {
        self.slow_write = time;
    }

    /// Whether the folder is so slow that what is taken on now could not be answered in time.
    pub(super) fn is_folder_slow(&self) -> bool {
        self.journal.write_takes() > self.slow_write
    }
}
