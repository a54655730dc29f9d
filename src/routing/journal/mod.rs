//! The relay journal: what the relay has taken on, written ahead so that it outlasts the process.
//!
//! One file of records, each with its length and checksum, written by one process at a time ([`WriterLock`]). It is not
//! synced: what was written outlasts the process, which is all that is asked. When much of it is dead it is copied, live
//! transactions only, and the copy takes its place; the budget leaves room for that copy and for the outcomes of all that
//! is live.
//!
//! Writes may fail for a while. What has to be on disk before something is done ([`Journal::write`]) is then refused; what
//! has happened already ([`Journal::note`]) is kept back and written first as soon as that is possible.

mod behind;
mod deferred;
mod file;
mod lock;
mod open;
mod outages;
mod preread;
mod queue;
mod record;
mod replay;
mod torn;

pub use file::PendingWrite;
pub use lock::{OpenError, WriterLock};
pub use outages::Outages;
pub use preread::Preread;
pub use record::Record;
pub use replay::{LastOut, Replayed};
pub use torn::TornEnd;

use super::classes::{ClassKey, Classes};
use super::closed::Closed;
use super::transactions::{Transaction, Transactions};
use super::values::TransactionNo;
use crate::interface::Settings;
use crate::maintenance::Maintenance;
use behind::BehindMark;
use bytes::Bytes;
use file::SharedFile;
use queue::Queue;
use record::{closed_len, encode};
use replay::replay;
use std::collections::{BTreeSet, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const NAME: &str = "relay.journal";
const COPY: &str = "relay.journal.new";
/// Most bytes that one transaction's attempts, outcomes and end take after its intake.
const ROOM_EACH: u64 = 1_024;
/// For what is written of outages.
const ROOM_OUTAGES: u64 = 4_096;
/// The part of the budget that is for ids of transactions that are over.
const CLOSED_PART: u64 = 32;
/// Below this size no copy is made for tidiness alone.
const TIDY: u64 = 512 * 1024;
/// Kept free of the budget: sizes are counted in blocks, and other files lie beside the journal.
const MARGIN: u64 = 16 * 1024;

/// The journal of one folder, open for writing.
#[derive(Debug)]
pub struct Journal {
    dir: PathBuf,
    file: SharedFile,
    /// None once the journal is another process's.
    lock: Option<WriterLock>,
    classes: Classes,
    /// Keys of the classes that the file holds.
    written: BTreeSet<ClassKey>,
    budget: u64,
    /// Bytes of whole records in the file.
    size: u64,
    /// Records of what has happened that could not be written yet.
    unwritten: Vec<u8>,
    /// Tells the next process that there are such records.
    mark: BehindMark,
    /// So many bytes of those are on their way.
    unwritten_in_flight: usize,
    /// Records are written by another thread.
    is_deferred: bool,
    queue: Queue,
    /// A copy is to be made when no write is on its way.
    wants_copy: bool,
    /// Bytes that the copy of each live transaction takes.
    live: HashMap<TransactionNo, u64>,
    live_bytes: u64,
    /// As last written: a copy begins with these.
    outages: Outages,
    maintenance: Maintenance,
}

impl Journal {
    pub fn bytes(&self) -> u64 {
        self.size
    }

    /// Bytes that it takes of memory: its file, and what could not be written yet.
    pub fn bytes_held(&self) -> u64 {
        self.size + self.unwritten.len() as u64 + self.queue.bytes()
    }

    /// Whether one more transaction fits with its copy and its outcomes; makes room first where it can.
    pub fn has_room(&mut self, t: &Transaction, all: &Transactions) -> bool {
        let more = 2 * self.copy_len(t) + ROOM_EACH;
        if !self.fits(more) && self.size > self.live_bytes + TIDY / 8 {
            match self.queue.in_flight_since() {
                None => drop(self.copy(all)),
                Some(_) => self.wants_copy = true,
            }
        }
        self.fits(more)
    }

    /// The part of the budget that one more transaction with a body of so many bytes takes, and the part that is free once what
    /// is dead is left out.
    pub fn capacity_for(&self, body: usize) -> (f64, f64) {
        let (each, budget) = (ROOM_EACH as f64, self.budget.max(1) as f64);
        let owed = 2.0 * self.live_bytes as f64 + self.live.len() as f64 * each;
        ((2.0 * body as f64 + each) / budget, 1.0 - owed / budget)
    }

    fn fits(&self, more: u64) -> bool {
        let owed = self.live.len() as u64 * ROOM_EACH;
        let size = self.size + self.queue.bytes();
        size + self.live_bytes + owed + more + self.closed_budget() <= self.budget
    }

    /// Writes a record of what is done only once it is written, or queues it. On an error nothing of it stays.
    pub fn write(&mut self, no: TransactionNo, record: &Record) -> io::Result<()> {
        if !self.is_deferred {
            self.flush()?;
        }
        let class = match record {
            Record::Taken(t) => self.classes.key(t.class).filter(|key| !self.written.contains(key)),
            _ => None,
        };
        // In one write: a transaction without its class would go by other rules.
        let mut bytes = class.map_or(Vec::new(), |key| self.encoded_class(key));
        bytes.extend(self.encoded(no, record));
        match self.is_deferred {
            true => self.queue_intent(no, class, bytes)?,
            false => self.append(&bytes)?,
        }
        self.written.extend(class);
        self.account(no, record);
        Ok(())
    }

    fn encoded(&self, no: TransactionNo, record: &Record) -> Vec<u8> {
        encode(no, record, &self.classes)
    }

    fn encoded_class(&self, key: ClassKey) -> Vec<u8> {
        let class = self.classes.find(key).and_then(|no| self.classes.get(no));
        class.map_or(Vec::new(), |class| self.encoded(0, &Record::Class(&class)))
    }

    /// The classes by which transactions are and were taken on.
    pub fn classes(&self) -> &Classes {
        &self.classes
    }

    /// The rules of the classes in force, which were opened by their names alone.
    pub fn name_classes(&mut self, settings: &Settings) {
        let in_force = self.classes.in_force().iter();
        let names: Vec<String> = in_force.map(|no| self.classes.name(*no).to_string()).collect();
        self.classes.put_in_force(&names, settings);
    }

    /// The same, to be changed.
    pub fn classes_mut(&mut self) -> &mut Classes {
        &mut self.classes
    }

    /// Writes what is live anew: what was changed of it holds for the next process too.
    pub fn rewrite(&mut self, all: &Transactions) -> io::Result<()> {
        self.copy(all)
    }

    /// It may hold so many bytes from now on, but never less than what is owed takes.
    pub fn set_budget(&mut self, budget: u64, all: &Transactions) {
        self.budget = budget.saturating_sub(MARGIN + ROOM_OUTAGES);
        if !self.fits(0) {
            self.copy(all).ok();
        }
        let owed = self.size + self.live_bytes + self.live.len() as u64 * ROOM_EACH;
        self.budget = self.budget.max(owed);
    }

    /// Writes a record of what has happened already. An error is told, and the record kept until it can be written.
    pub fn note(&mut self, no: TransactionNo, record: &Record) -> io::Result<()> {
        if self.is_deferred {
            return self.queue_note(no, record);
        }
        let bytes = self.encoded(no, record);
        self.unwritten.extend(bytes);
        self.account(no, record);
        self.flush().inspect_err(|_| drop(self.mark.set()))
    }

    /// Writes what could not be written before.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.unwritten.is_empty() {
            self.mark.clear();
            return Ok(());
        }
        if self.is_deferred {
            return Err(io::Error::other("it is to be written by another thread"));
        }
        let bytes = std::mem::take(&mut self.unwritten);
        let written = self.append(&bytes);
        match written {
            Ok(()) => self.mark.clear(),
            Err(_) => self.unwritten = bytes,
        }
        written
    }

    /// Gives the journal to another process: nothing is written here any more. Returns the records that could not be.
    pub fn release(&mut self) -> Vec<u8> {
        self.settle();
        self.clear_holder();
        self.lock = None;
        std::mem::take(&mut self.unwritten)
    }

    /// The process ends as it should: the next one finds nobody named who had the folder.
    pub fn clear_holder(&self) {
        self.lock.iter().for_each(WriterLock::clear_holder);
    }

    /// Takes in records that the process before could not write.
    pub fn append_unwritten(&mut self, unwritten: Vec<u8>, replayed: &mut Replayed) {
        replay(&Bytes::from(unwritten.clone()), replayed);
        self.unwritten.extend(unwritten);
        (self.classes, self.written) = (replayed.classes.clone(), replayed.written.clone());
        self.outages = replayed.outages.clone();
        self.maintenance = replayed.maintenance.clone();
        self.live.clear();
        self.live_bytes = 0;
        for (no, t) in replayed.transactions.iter() {
            self.count_live(no, t);
        }
        self.flush().ok();
    }

    /// Whether something that has happened is not written yet.
    pub fn is_behind(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Whether so many bytes more may be written.
    fn check(&self, bytes: usize) -> io::Result<()> {
        if self.lock.is_none() {
            return Err(io::Error::other("the journal is another process's"));
        }
        if self.size + self.queue.bytes() + self.live_bytes + bytes as u64 > self.budget {
            return Err(io::Error::other("the journal's budget is spent"));
        }
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check(bytes.len())?;
        let mut file = self.file.lock();
        let appended = file.append(bytes);
        self.size = file.size;
        appended
    }

    fn account(&mut self, no: TransactionNo, record: &Record) {
        match record {
            Record::Taken(t) => self.count_live(no, t),
            Record::Over | Record::Closed(_) => self.live_bytes -= self.live.remove(&no).unwrap_or(0),
            Record::EndpointOutage(name, rate) => self.outages.set_endpoint(name, *rate),
            Record::DestinationOutage(dest, rate) => self.outages.set_destination(*dest, *rate),
            Record::Maintenance(maintenance) => self.maintenance = (*maintenance).clone(),
            _ => {}
        }
    }

    /// What is in an outage, as far as was noted.
    pub fn outages(&self) -> &Outages {
        &self.outages
    }

    /// Keeps whether an endpoint is in an outage, and the rate at which it had served calls before, where that has changed.
    pub fn note_endpoint_outage(&mut self, name: &str, rate: Option<f64>) -> io::Result<()> {
        if self.outages.endpoints.contains_key(name) == rate.is_some() {
            return Ok(());
        }
        self.note(0, &Record::EndpointOutage(name, rate))
    }

    /// The same of a destination.
    pub fn note_destination_outage(&mut self, dest: u64, rate: Option<f64>) -> io::Result<()> {
        if self.outages.destinations.contains_key(&dest) == rate.is_some() {
            return Ok(());
        }
        self.note(0, &Record::DestinationOutage(dest, rate))
    }

    /// Copies what is live into a new file when most of the present one is dead.
    pub fn tidy(&mut self, all: &Transactions) {
        if self.size > TIDY && self.size > 4 * self.live_bytes {
            match self.is_deferred {
                true => self.wants_copy = true,
                false => drop(self.copy(all)),
            }
        }
    }

    /// Replaces the file by one of what is live. Where that fails, the present one goes on.
    fn copy(&mut self, all: &Transactions) -> io::Result<()> {
        self.end_write().ok();
        self.wants_copy = false;
        let mut bytes = self.encoded(0, &Record::EndpointOutages(&self.outages.endpoints));
        bytes.extend(self.encoded(0, &Record::DestinationOutages(&self.outages.destinations)));
        if self.maintenance != Maintenance::default() {
            bytes.extend(self.encoded(0, &Record::Maintenance(&self.maintenance)));
        }
        bytes.extend(self.encoded(0, &Record::AllClosed(&self.newest_closed(all))));
        bytes.extend(self.encoded(0, &Record::KeysTried(all.keys_tried())));
        let mut written = BTreeSet::new();
        for (no, t) in all.iter().filter(|(no, _)| self.live.contains_key(no)) {
            if let Some(key) = self.classes.key(t.class).filter(|key| written.insert(*key)) {
                bytes.extend(self.encoded_class(key));
            }
            bytes.extend(self.encoded(no, &Record::Taken(t)));
        }
        if self.lock.is_none() || self.size + bytes.len() as u64 > self.budget + MARGIN / 2 {
            return Err(io::Error::other("there is no room for a copy"));
        }
        let (path, copy) = (self.dir.join(NAME), self.dir.join(COPY));
        let replaced = write_new(&copy, &bytes).and_then(|file| fs::rename(&copy, &path).map(|()| file));
        let file = replaced.inspect_err(|_| drop(fs::remove_file(&copy)))?;
        self.size = bytes.len() as u64;
        self.file.replace(file, self.size);
        self.written = written;
        // The copy is made of what is known, so it has these too.
        self.unwritten.clear();
        self.queue.covered();
        self.mark.clear();
        Ok(())
    }

    /// The ids of transactions that are over that fit a copy, the oldest first: a client may send one of them again
    /// behind a kill.
    fn newest_closed<'a>(&self, all: &'a Transactions) -> Vec<(&'a String, Closed)> {
        let mut left = self.closed_budget();
        let mut fits = |id: &String| {
            left = left.saturating_sub(closed_len(id));
            left > 0
        };
        let mut newest: Vec<_> = all.closed().newest().take_while(|(id, _)| fits(id)).collect();
        newest.reverse();
        newest
    }

    /// Bytes of the budget that are for ids of transactions that are over.
    fn closed_budget(&self) -> u64 {
        self.budget / CLOSED_PART
    }

    fn copy_len(&self, t: &Transaction) -> u64 {
        let class = self.classes.name(t.class).len();
        let texts = [class, t.id.len(), t.owner.len(), t.body.len()].iter().sum::<usize>();
        let optional =
            [&t.key, &t.idempotency].iter().map(|o| o.as_ref().map_or(0, |s| s.len())).sum::<usize>();
        // Lengths and fixed fields, all at their largest.
        (texts + optional + 128) as u64
    }

    fn count_live(&mut self, no: TransactionNo, t: &Transaction) {
        let len = self.copy_len(t);
        self.live_bytes += len;
        self.live_bytes -= self.live.insert(no, len).unwrap_or(0);
    }
}

/// Writes a file that is not there yet, open for more.
fn write_new(path: &Path, bytes: &[u8]) -> io::Result<File> {
    remove_if_there(path)?;
    let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
    file.write_all(bytes)?;
    Ok(file)
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}
