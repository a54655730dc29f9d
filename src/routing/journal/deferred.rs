//! Records written beside the event loop: those of a turn go out in one write, on another thread, in their order.

use super::queue::Queued;
use super::{Journal, PendingWrite, Record};
use crate::routing::classes::ClassKey;
use crate::routing::values::TransactionNo;
use std::io;
use std::time::Duration;

impl Journal {
    /// Whether records are written by another thread from now on. What waits is written first where they are not.
    pub fn defer(&mut self, is_deferred: bool) {
        if !is_deferred {
            self.settle();
        }
        self.is_deferred = is_deferred;
    }

    /// The number of the last record that was to be written.
    pub fn queued(&self) -> u64 {
        self.queue.queued
    }

    /// The number of the last record that is written or given up.
    pub fn resolved(&self) -> u64 {
        self.queue.resolved
    }

    /// Up to this record the file lacks nothing of what has happened.
    pub fn complete(&self) -> u64 {
        self.queue.complete
    }

    /// Whether a record of this transaction could not be written of late, and what it was for is not done.
    pub fn has_failed(&self, no: TransactionNo) -> bool {
        self.queue.has_failed(no)
    }

    /// For how long the write that is on its way has taken so far.
    pub fn write_takes(&self) -> Duration {
        self.queue.in_flight_since().map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Whether something waits to be written and no write is on its way.
    pub fn wants_write(&self) -> bool {
        let waits = self.queue.is_waiting() || !self.unwritten.is_empty() || self.wants_copy;
        self.is_deferred && waits && self.queue.in_flight_since().is_none() && self.lock.is_some()
    }

    /// Whether something waits that others wait for.
    pub fn has_intents(&self) -> bool {
        self.queue.has_intents()
    }

    /// A copy is to be made when no write is on its way.
    pub fn wants_copy(&self) -> bool {
        self.wants_copy
    }

    /// What the other thread is to write now.
    pub fn next_write(&mut self) -> Option<PendingWrite> {
        let is_due = self.queue.is_waiting() || !self.unwritten.is_empty();
        if !is_due || self.queue.in_flight_since().is_some() || self.lock.is_none() {
            return None;
        }
        let bytes = self.queue.begin(&self.unwritten);
        self.unwritten_in_flight = self.unwritten.len();
        Some(self.file.lay_ready(bytes))
    }

    /// Takes in what came of the write that was on its way, which is waited for.
    pub fn end_write(&mut self) -> io::Result<()> {
        if self.queue.in_flight_since().is_none() {
            return Ok(());
        }
        let outcome = self.file.outcome();
        self.size = self.file.lock().size;
        match &outcome {
            Ok(()) => {
                self.queue.written();
                self.unwritten.drain(..self.unwritten_in_flight);
                self.mark.clear();
            }
            Err(_) => {
                for record in self.queue.failed() {
                    self.give_up(record);
                }
                self.mark.set().ok();
            }
        }
        outcome
    }

    /// What has happened is kept; what was only to be done is not.
    fn give_up(&mut self, record: Queued) {
        if !record.is_intent {
            self.unwritten.extend(record.bytes);
        } else if let Some(class) = record.class {
            self.written.remove(&class);
        }
    }

    /// Waits for the write that is on its way, and writes here what waits.
    pub fn settle(&mut self) {
        self.end_write().ok();
        if let Some(write) = self.next_write() {
            write.run();
            self.end_write().ok();
        }
    }

    /// Queues a record of what is done only once it is written.
    pub(super) fn queue_intent(
        &mut self,
        no: TransactionNo,
        class: Option<ClassKey>,
        bytes: Vec<u8>,
    ) -> io::Result<()> {
        if !self.unwritten.is_empty() {
            return Err(io::Error::other("earlier records are not written yet"));
        }
        self.check(bytes.len())?;
        self.queue.push(Queued { no, class, bytes, is_intent: true });
        Ok(())
    }

    /// Queues a record of what has happened.
    pub(super) fn queue_note(&mut self, no: TransactionNo, record: &Record) -> io::Result<()> {
        let bytes = self.encoded(no, record);
        self.account(no, record);
        if let Err(e) = self.check(bytes.len()) {
            self.unwritten.extend(bytes);
            self.mark.set().ok();
            return Err(e);
        }
        self.queue.push(Queued { no, class: None, bytes, is_intent: false });
        Ok(())
    }
}
