//! Records that wait to be written together, and what became of those before them.

use super::super::classes::ClassKey;
use super::super::values::TransactionNo;
use std::collections::HashSet;
use std::time::Instant;

/// A record that waits.
#[derive(Debug)]
pub(super) struct Queued {
    pub no: TransactionNo,
    /// The class whose rules stand before it.
    pub class: Option<ClassKey>,
    pub bytes: Vec<u8>,
    /// It is dropped where it cannot be written: nothing has been done yet that rests on it.
    pub is_intent: bool,
}

/// The queue, by numbers of records in their order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Queued>,
    in_flight: Vec<Queued>,
    in_flight_since: Option<Instant>,
    /// Of all of these.
    bytes: u64,
    /// Intents among those that wait.
    intents: usize,
    /// The number of the last record that was queued, of the last one that is written or given up, and of the last one up to
    /// which nothing of what has happened is missing in the file.
    pub queued: u64,
    pub resolved: u64,
    pub complete: u64,
    /// Transactions with an intent that could not be written, of the latest write and the one before.
    failed: [HashSet<TransactionNo>; 2],
}

impl Queue {
    pub fn push(&mut self, record: Queued) {
        self.bytes += record.bytes.len() as u64;
        self.intents += usize::from(record.is_intent);
        self.waiting.push(record);
        self.queued += 1;
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Whether something waits that is done only once it is written.
    pub fn has_intents(&self) -> bool {
        self.intents > 0
    }

    pub fn in_flight_since(&self) -> Option<Instant> {
        self.in_flight_since
    }

    /// Whatever waits goes into the next write, behind `before`.
    pub fn begin(&mut self, before: &[u8]) -> Vec<u8> {
        self.in_flight = std::mem::take(&mut self.waiting);
        self.in_flight_since = Some(Instant::now());
        self.intents = 0;
        let mut bytes = before.to_vec();
        self.in_flight.iter().for_each(|record| bytes.extend(&record.bytes));
        bytes
    }

    fn end(&mut self) -> Vec<Queued> {
        self.in_flight_since = None;
        let records = std::mem::take(&mut self.in_flight);
        self.resolved += records.len() as u64;
        self.bytes -= bytes_of(&records);
        self.failed.swap(0, 1);
        self.failed[0].clear();
        records
    }

    /// The write is done.
    pub fn written(&mut self) {
        self.end();
        self.complete = self.resolved;
    }

    /// The write failed. Returns its records: intents are given up.
    pub fn failed(&mut self) -> Vec<Queued> {
        let records = self.end();
        let intents = records.iter().filter(|record| record.is_intent);
        self.failed[0] = intents.map(|record| record.no).collect();
        records
    }

    /// All that waits stands in the file otherwise.
    pub fn covered(&mut self) {
        self.bytes -= bytes_of(&self.waiting);
        self.waiting.clear();
        self.intents = 0;
        (self.resolved, self.complete) = (self.queued, self.queued);
    }

    pub fn has_failed(&self, no: TransactionNo) -> bool {
        self.failed.iter().any(|failed| failed.contains(&no))
    }
}

fn bytes_of(records: &[Queued]) -> u64 {
    records.iter().map(|record| record.bytes.len() as u64).sum()
}
