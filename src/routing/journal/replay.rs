//! What the records of an earlier life say, read back.

use super::super::classes::{Class, ClassKey, Classes, UNKNOWN};
use super::super::closed::Closed;
use super::super::transactions::{Ending, Transaction, Transactions, TriedKey};
use super::super::values::{End, TransactionNo};
use super::outages::Outages;
use super::record::{
    ALL_CLOSED, BACK, CLASS, DELIVERED, DESTINATION_OUTAGE, DESTINATION_OUTAGES, ENDED, ENDING,
    FINAL_ELSEWHERE, HEAD, KEYS_TRIED, OVER, SPENT,
};
use super::torn::TornEnd;
use crate::interface::Nanos;
use crate::maintenance::Maintenance;
use bytes::Bytes;
use std::collections::{BTreeSet, HashMap};

/// When each destination was last called, as far as the journal still tells.
pub type LastOut = HashMap<u64, Nanos>;

/// What an earlier life left behind.
#[derive(Debug, Default)]
pub struct Replayed {
    pub transactions: Transactions,
    /// The classes that they name, and those in force.
    pub classes: Classes,
    /// Keys of the classes that the journal holds.
    pub written: BTreeSet<ClassKey>,
    pub next_no: TransactionNo,
    pub outages: Outages,
    pub last_out: LastOut,
    pub maintenance: Maintenance,
    /// Bytes at the end that were no whole record.
    pub torn: u64,
    /// What they may have said.
    pub torn_end: TornEnd,
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

    fn closed(&mut self) -> Option<(String, Closed)> {
        let kind = self.u8()?;
        let ending = self.ending()?.0;
        let closed = match kind {
            DELIVERED => Closed::Delivered,
            _ => ending.map_or(Closed::Over, Closed::Notified),
        };
        Some((self.text()?, closed))
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
pub(super) fn replay(bytes: &Bytes, into: &mut Replayed) -> u64 {
    let (mut rest, mut good) = (Reader(bytes.clone()), 0);
    while let (Some(len), Some(sum)) = (rest.u32(), rest.u32()) {
        let Some(body) = rest.bytes(len as usize).filter(|b| crc32fast::hash(b) == sum) else { break };
        if apply(Reader(body), into).is_none() {
            break;
        }
        good += HEAD as u64 + u64::from(len);
    }
    good
}

fn apply(mut r: Reader, into: &mut Replayed) -> Option<()> {
    let (no, code) = (r.u64()?, r.u8()?);
    into.next_no = into.next_no.max(no + 1);
    if code == 6 {
        // As it was written before rates were kept.
        into.outages.endpoints = std::iter::from_fn(|| Some((r.text()?, 0.0))).collect();
        return Some(());
    }
    if code == 9 {
        let (is_out, rate, name) = (r.u8()? == 1, f64::from_bits(r.u64()?), r.text()?);
        into.outages.set_endpoint(&name, is_out.then_some(rate));
        return Some(());
    }
    if code == DESTINATION_OUTAGE {
        let (is_out, rate, dest) = (r.u8()? == 1, f64::from_bits(r.u64()?), r.u64()?);
        into.outages.set_destination(dest, is_out.then_some(rate));
        return Some(());
    }
    if code == DESTINATION_OUTAGES {
        into.outages.destinations = std::iter::from_fn(|| {
            let rate = f64::from_bits(r.u64()?);
            Some((r.u64()?, rate))
        })
        .collect();
        return Some(());
    }
    if code == 10 {
        into.outages.endpoints = std::iter::from_fn(|| {
            let rate = f64::from_bits(r.u64()?);
            Some((r.text()?, rate))
        })
        .collect();
        return Some(());
    }
    if code == 8 {
        let draining = r.u8()? == 1;
        into.maintenance = Maintenance::new(std::iter::from_fn(|| r.text()).collect(), draining);
        return Some(());
    }
    if code == 7 {
        let (is_out, name) = (r.u8()? == 1, r.text()?);
        into.outages.set_endpoint(&name, is_out.then_some(0.0));
        return Some(());
    }
    if code == ALL_CLOSED {
        while let Some((id, closed)) = r.closed() {
            into.transactions.closed_mut().note(0, id, closed);
        }
        return Some(());
    }
    if code == KEYS_TRIED {
        while let Some(no) = r.u64() {
            let (deadline, key) = (r.u64()?, r.text()?);
            into.transactions.note_key_tried(no, TriedKey { key, deadline });
        }
        return Some(());
    }
    if code == CLASS {
        let class: Class = postcard::from_bytes(&r.0).ok()?;
        into.written.insert(class.encoded().0);
        into.classes.number_of(class);
        return Some(());
    }
    if code == 1 {
        let t = taken(r, &into.classes)?;
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
        BACK => {
            let ran = r.u8()? == 1;
            let final_answer = r.u8();
            t.is_spent |= final_answer.is_some();
            if final_answer != Some(FINAL_ELSEWHERE) {
                t.may_have_run = t.may_have_run.or(t.out.filter(|_| ran));
                t.out = None;
            }
        }
        ENDING => (t.ending, t.reason) = r.ending()?,
        OVER => {
            let closed = t.ending.map_or(Closed::Over, Closed::Notified);
            match r.u8() {
                Some(DELIVERED) => drop(into.transactions.close(0, no, Closed::Delivered)),
                Some(ENDED) => drop(into.transactions.close(0, no, closed)),
                _ => drop(into.transactions.remove(no)),
            }
        }
        _ => return None,
    }
    Some(())
}

fn taken(mut r: Reader, classes: &Classes) -> Option<Transaction> {
    let (dest, taken_at, deadline, attempts) = (r.u64()?, r.u64()?, r.u64()?, r.u32()?);
    let (may_have_run, out, (ending, reason)) = (r.moment()?, r.moment()?, r.ending()?);
    let class = r.text()?;
    let mut t = Transaction {
        class: classes.named(&class).unwrap_or(UNKNOWN),
        id: r.text()?,
        owner: r.text()?,
        key: r.option()?,
        idempotency: r.option()?,
        // A slice would keep the whole file in memory as long as the last of its transactions.
        body: Bytes::copy_from_slice(&r.field()?),
        dest,
        taken_at,
        deadline,
        attempts: if attempts == SPENT { 0 } else { attempts },
        may_have_run,
        out,
        ending,
        reason,
        is_bound: false,
        is_spent: attempts == SPENT,
    };
    // Versions that knew of no keys wrote none.
    t.class = r.u64().and_then(|key| classes.find(key)).unwrap_or(t.class);
    Some(t)
}
