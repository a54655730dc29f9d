//! The journal's file, which the thread that decides shares with the one that writes.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A write that takes so long is told of in the log.
const SLOW_WRITE: Duration = Duration::from_millis(50);

/// The file, with what is to be appended to it next.
#[derive(Debug)]
pub(super) struct Appended {
    pub file: File,
    /// Bytes of whole records in the file.
    pub size: u64,
    /// The file may hold part of a record behind its whole ones.
    pub has_torn_tail: bool,
    pending: Option<Vec<u8>>,
    outcome: Option<io::Result<()>>,
}

impl Appended {
    /// Appends whole records; on an error nothing of them stays.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.repair()?;
        let from = Instant::now();
        let written = self.file.write_all(bytes);
        let took = from.elapsed();
        if took >= SLOW_WRITE {
            let (ms, bytes) = (took.as_millis() as u64, bytes.len());
            tracing::warn!(target: "journal", event = "journal-slow", ms, bytes, "a write of the journal was slow");
        }
        if let Err(e) = written {
            self.has_torn_tail = true;
            self.repair().ok();
            return Err(e);
        }
        self.size += bytes.len() as u64;
        Ok(())
    }

    /// Cuts off what a failed write left behind the last whole record.
    pub fn repair(&mut self) -> io::Result<()> {
        if self.has_torn_tail {
            self.file.set_len(self.size)?;
            self.has_torn_tail = false;
        }
        Ok(())
    }

    fn write_pending(&mut self) {
        if let Some(bytes) = self.pending.take() {
            self.outcome = Some(self.append(&bytes));
        }
    }
}

/// The file, shared.
#[derive(Clone, Debug)]
pub(super) struct SharedFile(Arc<Mutex<Appended>>);

impl SharedFile {
    pub fn new(file: File, size: u64, has_torn_tail: bool) -> SharedFile {
        SharedFile(Arc::new(Mutex::new(Appended { file, size, has_torn_tail, pending: None, outcome: None })))
    }

    /// The file, once no other thread writes it.
    pub fn lock(&self) -> MutexGuard<'_, Appended> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another file in its place.
    pub fn replace(&self, file: File, size: u64) {
        let mut appended = self.lock();
        (appended.file, appended.size, appended.has_torn_tail) = (file, size, false);
    }

    /// Lays ready what is to be appended, for whichever thread comes first.
    pub fn lay_ready(&self, bytes: Vec<u8>) -> PendingWrite {
        self.lock().pending = Some(bytes);
        PendingWrite(self.clone())
    }

    /// What came of what was laid ready; written here where no other thread has begun to.
    pub fn outcome(&self) -> io::Result<()> {
        let mut appended = self.lock();
        appended.write_pending();
        appended.outcome.take().unwrap_or(Ok(()))
    }
}

/// Records that are to be appended by another thread.
#[derive(Debug)]
pub struct PendingWrite(SharedFile);

impl PendingWrite {
    /// Appends them, unless that was done meanwhile.
    pub fn run(self) {
        self.0.lock().write_pending();
    }
}
