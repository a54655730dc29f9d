//! Opening a journal: what it holds is read, and what the process before may have known beyond that is allowed for.

use super::behind::BehindMark;
use super::file::SharedFile;
use super::queue::Queue;
use super::record::{encode, Record};
use super::{
    remove_if_there, Journal, OpenError, Preread, Replayed, TornEnd, WriterLock, COPY, MARGIN, NAME,
    ROOM_OUTAGES,
};
use crate::routing::classes::Classes;
use crate::routing::values::TransactionNo;
use std::collections::HashMap;
use std::fs::OpenOptions;
use std::path::Path;

impl Journal {
    /// Opens the journal in `dir`, which may hold `budget` bytes in all, and reads what it holds. Where another process
    /// has it, nothing is changed.
    pub fn open(
        dir: &Path,
        budget: u64,
        classes: impl Into<Classes>,
    ) -> Result<(Journal, Replayed), OpenError> {
        let (mut journal, mut replayed) = Journal::open_after(Preread::none(), dir, budget, &classes.into())?;
        match replayed.torn_end {
            _ if journal.lacks_records() => journal.distrust_attempts(&mut replayed),
            TornEnd::Anybody => journal.distrust_attempts(&mut replayed),
            TornEnd::One(no) => {
                let spent = replayed.transactions.spend(no);
                journal.write_spent(spent);
            }
            TornEnd::Nobody => {}
        }
        Ok((journal, replayed))
    }

    /// Whether the process before could not write all that happened.
    pub fn lacks_records(&self) -> bool {
        self.mark.is_set()
    }

    /// Where it could not, any attempt that was out may have had a final answer: no other begins.
    pub fn distrust_attempts(&mut self, replayed: &mut Replayed) {
        let spent = replayed.transactions.spend_all_out();
        self.write_spent(spent);
    }

    /// No attempt of these begins any more; one that was out may have run.
    fn write_spent(&mut self, spent: impl IntoIterator<Item = TransactionNo>) {
        for no in spent {
            let record = Record::Back { may_have_run: true, is_final: true };
            self.unwritten.extend(encode(no, &record, &self.classes));
        }
        self.flush().inspect_err(|_| drop(self.mark.set())).ok();
    }

    /// The same where most of it was read before, while another process still had it, which tells what it could not write.
    pub fn open_after(
        preread: Preread,
        dir: &Path,
        budget: u64,
        classes: &Classes,
    ) -> Result<(Journal, Replayed), OpenError> {
        let lock = WriterLock::take(dir)?;
        let path = dir.join(NAME);
        remove_if_there(&dir.join(COPY))?;
        let Preread { replayed, good, .. } = preread.go_on(&path, classes)?;
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        let file = SharedFile::new(file, good, replayed.torn > 0);
        let mut journal = Journal {
            dir: dir.to_path_buf(),
            file,
            lock: Some(lock),
            classes: replayed.classes.clone(),
            written: replayed.written.clone(),
            budget: budget.saturating_sub(MARGIN + ROOM_OUTAGES),
            size: good,
            unwritten: Vec::new(),
            mark: BehindMark::open(dir),
            unwritten_in_flight: 0,
            is_deferred: false,
            queue: Queue::default(),
            wants_copy: false,
            live: HashMap::new(),
            live_bytes: 0,
            outages: replayed.outages.clone(),
            maintenance: replayed.maintenance.clone(),
        };
        for (no, t) in replayed.transactions.iter() {
            journal.count_live(no, t);
        }
        // Where that fails now, it is done before the next record.
        journal.file.lock().repair().ok();
        Ok((journal, replayed))
    }
}
