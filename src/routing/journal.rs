//! The relay journal: what the relay has taken on, written ahead so that it outlasts the process.
//!
//! One file of records, each with its length and checksum. It is not synced: what was written outlasts the
//! process, which is all that is asked. When much of it is dead it is copied, live transactions only, and
//! the copy takes its place; the budget leaves room for that copy and for the outcomes of all that is live.

use super::transactions::{Ending, Transaction, Transactions};
use super::values::{End, TransactionNo};
use crate::interface::Nanos;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

const NAME: &str = "relay.journal";
const COPY: &str = "relay.journal.new";
/// Most bytes that one transaction's attempts, outcomes and end take after its intake.
const ROOM_EACH: u64 = 1_024;
/// For what is written of next hops.
const ROOM_AILING: u64 = 4_096;
/// Below this size no copy is made for tidiness alone.
const TIDY: u64 = 512 * 1024;
/// Kept free of the budget: sizes are counted in blocks.
const MARGIN: u64 = 16 * 1024;
const HEAD: usize = 8;

/// What happens to a transaction, as the journal keeps it.
#[derive(Debug)]
pub enum Record<'a> {
    Taken(&'a Transaction),
    /// An attempt is about to be written.
    Out {
        at: Nanos,
        zone: usize,
    },
    /// The attempt that was out has ended.
    Back {
        may_have_run: bool,
    },
    /// The end is decided and owed.
    Ending(Ending, u32),
    /// Nothing more is owed.
    Over,
    /// A next hop, by name, is in an outage from now on, or is not any more: of no transaction, under the number 0.
    Ailing(&'a str, bool),
    /// All next hops in an outage.
    AllAiling(&'a BTreeSet<String>),
}

#[derive(Debug)]
pub struct Journal {
    dir: PathBuf,
    file: File,
    classes: Vec<String>,
    budget: u64,
    size: u64,
    /// Bytes that the copy of each live transaction takes.
    live: HashMap<TransactionNo, u64>,
    live_bytes: u64,
    /// As last written: a copy begins with it.
    ailing: BTreeSet<String>,
    /// A write failed and could not be undone: nothing more is written.
    broken: bool,
}

/// When each destination was last called, as far as the journal still tells.
pub type LastOut = HashMap<u64, Nanos>;

/// What an earlier life left behind.
#[derive(Debug, Default)]
pub struct Replayed {
    pub transactions: Transactions,
    pub next_no: TransactionNo,
    pub ailing: BTreeSet<String>,
    pub last_out: LastOut,
    /// Bytes at the end that were no whole record.
    pub torn: u64,
}

impl Journal {
    /// Opens the journal in `dir`, which may hold `budget` bytes in all, and reads what it holds.
    pub fn open(dir: &Path, budget: u64, classes: Vec<String>) -> io::Result<(Journal, Replayed)> {
        let path = dir.join(NAME);
        match fs::remove_file(dir.join(COPY)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let bytes = match fs::read(&path) {
            Ok(b) => Bytes::from(b),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Bytes::new(),
            Err(e) => return Err(e),
        };
        let mut replayed = Replayed { next_no: 1, ..Replayed::default() };
        let good = replay(&bytes, &classes, &mut replayed);
        replayed.torn = bytes.len() as u64 - good;
        let file = OpenOptions::new().create(true).append(true).open(&path)?;
        file.set_len(good)?;
        let mut journal = Journal {
            dir: dir.to_path_buf(),
            file,
            classes,
            budget: budget.saturating_sub(MARGIN + ROOM_AILING),
            size: good,
            live: HashMap::new(),
            live_bytes: 0,
            ailing: replayed.ailing.clone(),
            broken: false,
        };
        for (no, t) in replayed.transactions.iter() {
            journal.count_live(no, t);
        }
        Ok((journal, replayed))
    }

    pub fn bytes(&self) -> u64 {
        self.size
    }

    /// Whether one more transaction fits with its copy and its outcomes; makes room first where it can.
    pub fn has_room(&mut self, t: &Transaction, all: &Transactions) -> bool {
        let more = 2 * self.copy_len(t) + ROOM_EACH;
        if !self.fits(more) && self.size > self.live_bytes + TIDY / 8 {
            self.copy(all);
        }
        !self.broken && self.fits(more)
    }

    fn fits(&self, more: u64) -> bool {
        let owed = self.live.len() as u64 * ROOM_EACH;
        self.size + self.live_bytes + owed + more <= self.budget
    }

    /// Writes one record. On an error nothing of it stays.
    pub fn write(&mut self, no: TransactionNo, record: &Record) -> io::Result<()> {
        if self.broken {
            return Err(io::Error::other("the journal is broken"));
        }
        let bytes = encode(no, record, &self.classes);
        if self.size + self.live_bytes + bytes.len() as u64 > self.budget {
            return Err(io::Error::other("the journal's budget is spent"));
        }
        if let Err(e) = self.file.write_all(&bytes) {
            self.broken = self.file.set_len(self.size).is_err();
            return Err(e);
        }
        self.size += bytes.len() as u64;
        match record {
            Record::Taken(t) => self.count_live(no, t),
            Record::Over => {
                self.live_bytes -= self.live.remove(&no).unwrap_or(0);
            }
            Record::Ailing(name, ailing) => set_ailing(&mut self.ailing, name, *ailing),
            _ => {}
        }
        Ok(())
    }

    /// Keeps whether a next hop is in an outage, where that is news.
    pub fn note_ailing(&mut self, name: &str, ailing: bool) -> io::Result<()> {
        if self.ailing.contains(name) == ailing {
            return Ok(());
        }
        self.write(0, &Record::Ailing(name, ailing))
    }

    /// Copies what is live into a new file when most of the present one is dead.
    pub fn tidy(&mut self, all: &Transactions) {
        if self.size > TIDY && self.size > 4 * self.live_bytes {
            self.copy(all);
        }
    }

    fn copy(&mut self, all: &Transactions) {
        let (path, copy) = (self.dir.join(NAME), self.dir.join(COPY));
        let mut bytes = encode(0, &Record::AllAiling(&self.ailing), &self.classes);
        for (no, t) in all.iter().filter(|(no, _)| self.live.contains_key(no)) {
            bytes.extend(encode(no, &Record::Taken(t), &self.classes));
        }
        if self.broken || self.size + bytes.len() as u64 > self.budget + MARGIN / 2 {
            return;
        }
        let written = fs::write(&copy, &bytes).and_then(|()| fs::rename(&copy, &path));
        let opened = written.and_then(|()| OpenOptions::new().append(true).open(&path));
        match opened {
            Ok(file) => {
                self.file = file;
                self.size = bytes.len() as u64;
            }
            // The old file may be gone from the folder: only a file known to be the one there is written to.
            Err(_) => {
                fs::remove_file(&copy).ok();
                match OpenOptions::new().append(true).open(&path) {
                    Ok(file) => {
                        self.size = file.metadata().map_or(self.size, |m| m.len());
                        self.file = file;
                    }
                    Err(_) => self.broken = true,
                }
            }
        }
    }

    fn copy_len(&self, t: &Transaction) -> u64 {
        let class = self.classes.get(t.class).map_or(0, String::len);
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

fn put(out: &mut Vec<u8>, bytes: &[u8]) {
    out.extend((bytes.len() as u32).to_le_bytes());
    out.extend(bytes);
}

fn put_option(out: &mut Vec<u8>, text: &Option<String>) {
    out.push(u8::from(text.is_some()));
    put(out, text.as_deref().unwrap_or("").as_bytes());
}

fn put_moment(out: &mut Vec<u8>, moment: Option<(Nanos, usize)>) {
    let (at, zone) = moment.unwrap_or((0, 0));
    out.push(u8::from(moment.is_some()));
    out.extend(at.to_le_bytes());
    out.extend((zone as u32).to_le_bytes());
}

fn put_ending(out: &mut Vec<u8>, ending: Option<Ending>, reason: u32) {
    let (code, after) = match ending {
        None => (0, 0),
        Some(Ending::Delivered) => (1, 0),
        Some(Ending::Undelivered(End::Failed)) => (2, 0),
        Some(Ending::Undelivered(End::Returned { after })) => (3, after),
    };
    out.push(code);
    out.extend(after.to_le_bytes());
    out.extend(reason.to_le_bytes());
}

fn set_ailing(all: &mut BTreeSet<String>, name: &str, ailing: bool) {
    if ailing {
        all.insert(name.to_string());
    } else {
        all.remove(name);
    }
}

fn encode(no: TransactionNo, record: &Record, classes: &[String]) -> Vec<u8> {
    let mut out = vec![0; HEAD];
    out.extend(no.to_le_bytes());
    match record {
        Record::Taken(t) => {
            out.push(1);
            out.extend(t.dest.to_le_bytes());
            out.extend(t.taken_at.to_le_bytes());
            out.extend(t.deadline.to_le_bytes());
            out.extend(t.attempts.to_le_bytes());
            put_moment(&mut out, t.may_have_run);
            put_moment(&mut out, t.out);
            put_ending(&mut out, t.ending, t.reason);
            put(&mut out, classes.get(t.class).map_or("", |c| c).as_bytes());
            put(&mut out, t.id.as_bytes());
            put(&mut out, t.owner.as_bytes());
            put_option(&mut out, &t.key);
            put_option(&mut out, &t.idempotency);
            put(&mut out, &t.body);
        }
        Record::Out { at, zone } => {
            out.push(2);
            put_moment(&mut out, Some((*at, *zone)));
        }
        Record::Back { may_have_run } => out.extend([3, u8::from(*may_have_run)]),
        Record::Ending(e, reason) => {
            out.push(4);
            put_ending(&mut out, Some(*e), *reason);
        }
        Record::Over => out.push(5),
        Record::Ailing(name, ailing) => {
            out.extend([7, u8::from(*ailing)]);
            put(&mut out, name.as_bytes());
        }
        Record::AllAiling(names) => {
            out.push(6);
            names.iter().for_each(|n| put(&mut out, n.as_bytes()));
        }
    }
    let len = (out.len() - HEAD) as u32;
    let sum = crc32fast::hash(&out[HEAD..]);
    out[..4].copy_from_slice(&len.to_le_bytes());
    out[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    out
}

/// Reads fields off the front of a record.
struct Reader(Bytes);

impl Reader {
    fn bytes(&mut self, n: usize) -> Option<Bytes> {
        (self.0.len() >= n).then(|| self.0.split_to(n))
    }

    fn u8(&mut self) -> Option<u8> {
        Some(self.bytes(1)?[0])
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.bytes(4)?.as_ref().try_into().ok()?))
    }

    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.bytes(8)?.as_ref().try_into().ok()?))
    }

    fn field(&mut self) -> Option<Bytes> {
        let n = self.u32()?;
        self.bytes(n as usize)
    }

    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.field()?.to_vec()).ok()
    }

    fn option(&mut self) -> Option<Option<String>> {
        let some = self.u8()? == 1;
        let text = self.text()?;
        Some(some.then_some(text))
    }

    fn moment(&mut self) -> Option<Option<(Nanos, usize)>> {
        let some = self.u8()? == 1;
        let moment = (self.u64()?, self.u32()? as usize);
        Some(some.then_some(moment))
    }

    fn ending(&mut self) -> Option<(Option<Ending>, u32)> {
        let (code, after, reason) = (self.u8()?, self.u64()?, self.u32()?);
        let ending = match code {
            1 => Some(Ending::Delivered),
            2 => Some(Ending::Undelivered(End::Failed)),
            3 => Some(Ending::Undelivered(End::Returned { after })),
            _ => None,
        };
        Some((ending, reason))
    }
}

/// Takes in all whole records; returns how many bytes they are.
fn replay(bytes: &Bytes, classes: &[String], into: &mut Replayed) -> u64 {
    let (mut rest, mut good) = (Reader(bytes.clone()), 0);
    while let (Some(len), Some(sum)) = (rest.u32(), rest.u32()) {
        let Some(body) = rest.bytes(len as usize).filter(|b| crc32fast::hash(b) == sum) else { break };
        if apply(Reader(body), classes, into).is_none() {
            break;
        }
        good += HEAD as u64 + u64::from(len);
    }
    good
}

fn apply(mut r: Reader, classes: &[String], into: &mut Replayed) -> Option<()> {
    let (no, code) = (r.u64()?, r.u8()?);
    into.next_no = into.next_no.max(no + 1);
    if code == 6 {
        into.ailing = std::iter::from_fn(|| r.text()).collect();
        return Some(());
    }
    if code == 7 {
        let (ailing, name) = (r.u8()? == 1, r.text()?);
        set_ailing(&mut into.ailing, &name, ailing);
        return Some(());
    }
    if code == 1 {
        let t = taken(r, classes)?;
        into.transactions.insert(no, t);
        return Some(());
    }
    // A record of a transaction that is over already says nothing.
    let Some(t) = into.transactions.get_mut(no) else { return Some(()) };
    match code {
        2 => {
            // One that never came back was out when an earlier life ended: it may have run, and it was the first.
            t.may_have_run = t.may_have_run.or(t.out.take());
            (t.attempts, t.out) = (t.attempts + 1, r.moment()?);
            if let Some((at, _)) = t.out {
                into.last_out.insert(t.dest, at);
            }
        }
        3 => {
            let ran = r.u8()? == 1;
            t.may_have_run = t.may_have_run.or(t.out.filter(|_| ran));
            t.out = None;
        }
        4 => (t.ending, t.reason) = r.ending()?,
        5 => drop(into.transactions.remove(no)),
        _ => return None,
    }
    Some(())
}

fn taken(mut r: Reader, classes: &[String]) -> Option<Transaction> {
    let (dest, taken_at, deadline, attempts) = (r.u64()?, r.u64()?, r.u64()?, r.u32()?);
    let (may_have_run, out, (ending, reason)) = (r.moment()?, r.moment()?, r.ending()?);
    let class = r.text()?;
    Some(Transaction {
        class: classes.iter().position(|c| *c == class).unwrap_or(usize::MAX),
        id: r.text()?,
        owner: r.text()?,
        key: r.option()?,
        idempotency: r.option()?,
        // A slice would keep the whole file in memory as long as the last of its transactions.
        body: Bytes::copy_from_slice(&r.field()?),
        dest,
        taken_at,
        deadline,
        attempts,
        may_have_run,
        out,
        ending,
        reason,
    })
}
