//! Records of the journal as bytes: length, checksum, the number of the transaction, what happened to it.

use super::super::classes::{Class, ClassKey, Classes};
use super::super::closed::Closed;
use super::super::transactions::{Ending, Transaction, TriedKey};
use super::super::values::{End, TransactionNo};
use crate::interface::Nanos;
use crate::maintenance::Maintenance;
use std::collections::BTreeMap;

/// Bytes of a record before its body: length and checksum.
pub(super) const HEAD: usize = 8;

/// Where a record's transaction stands, and behind it its code.
pub(super) const NO_AT: usize = HEAD;
pub(super) const CODE_AT: usize = NO_AT + 8;
/// The code of an end that is decided, and the bytes of its record behind the head, the longest that ends anything.
pub(super) const ENDING: u8 = 4;
pub(super) const ENDING_LEN: usize = 8 + 1 + 1 + 8 + 4;
/// The code of an attempt that has ended, and what follows it where a final answer has come, to it or to another.
pub(super) const BACK: u8 = 3;
pub(super) const BACK_FINAL: u8 = 1;
pub(super) const FINAL_ELSEWHERE: u8 = 2;
/// Attempts of a transaction that has had a final answer.
pub(super) const SPENT: u32 = u32::MAX;

/// The code of a transaction that is over, and what follows it where that was delivered, or has had its end.
pub(super) const OVER: u8 = 5;
pub(super) const DELIVERED: u8 = 1;
pub(super) const ENDED: u8 = 2;
/// The code of a class.
pub(super) const CLASS: u8 = 11;

/// The code of ids of transactions that are over.
pub(super) const ALL_CLOSED: u8 = 12;

/// The codes of one destination in an outage, and of all of them.
pub(super) const DESTINATION_OUTAGE: u8 = 13;
pub(super) const DESTINATION_OUTAGES: u8 = 14;

/// The code of keys of transactions that are over and may have run.
pub(super) const KEYS_TRIED: u8 = 15;

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
        /// With a final answer: no other attempt begins.
        is_final: bool,
    },
    /// A final answer has come for another attempt than the one that is out, if any is: no other begins.
    Spent,
    /// The end is decided and owed.
    Ending(Ending, u32),
    /// Nothing more is owed, and what comes under its id is a new message.
    Over,
    /// Nothing more is owed, and what comes under its id is no new message.
    Closed(Closed),
    /// An endpoint, by name, is in an outage from now on, having served so many calls a second before, or is not any more:
    /// of no transaction, under the number 0.
    EndpointOutage(&'a str, Option<f64>),
    /// The same of a destination.
    DestinationOutage(u64, Option<f64>),
    /// All endpoints in an outage.
    EndpointOutages(&'a BTreeMap<String, f64>),
    /// All destinations in an outage.
    DestinationOutages(&'a BTreeMap<u64, f64>),
    /// All that operators have taken out of service.
    Maintenance(&'a Maintenance),
    /// Ids of transactions that were over when the file was copied, the oldest first.
    AllClosed(&'a [(&'a String, Closed)]),
    /// Keys of transactions that were over when the file was copied, of which an attempt may have been out.
    KeysTried(&'a BTreeMap<TransactionNo, TriedKey>),
    /// A class that transactions name by its key from now on.
    Class(&'a Class),
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

/// Bytes that an id takes in a record of closed ones.
pub(super) fn closed_len(id: &str) -> u64 {
    (1 + 13 + 4 + id.len()) as u64
}

pub(super) fn encode(no: TransactionNo, record: &Record, classes: &Classes) -> Vec<u8> {
    let mut out = vec![0; HEAD];
    out.extend(no.to_le_bytes());
    match record {
        Record::Taken(t) => {
            out.push(1);
            out.extend(t.dest.to_le_bytes());
            out.extend(t.taken_at.to_le_bytes());
            out.extend(t.deadline.to_le_bytes());
            out.extend(if t.is_spent { SPENT } else { t.attempts }.to_le_bytes());
            put_moment(&mut out, t.may_have_run);
            put_moment(&mut out, t.out);
            put_ending(&mut out, t.ending, t.reason);
            put(&mut out, classes.name(t.class).as_bytes());
            put(&mut out, t.id.as_bytes());
            put(&mut out, t.owner.as_bytes());
            put_option(&mut out, &t.key);
            put_option(&mut out, &t.idempotency);
            put(&mut out, &t.body);
            // Versions that know of no keys go by the name, and read no further.
            out.extend(classes.key(t.class).into_iter().flat_map(ClassKey::to_le_bytes));
        }
        Record::Out { at, zone } => {
            out.push(2);
            put_moment(&mut out, Some((*at, *zone)));
        }
        // Versions that know of no final answers read the first two bytes alone.
        Record::Back { may_have_run, is_final: false } => out.extend([BACK, u8::from(*may_have_run)]),
        Record::Back { may_have_run, is_final: true } => {
            out.extend([BACK, u8::from(*may_have_run), BACK_FINAL])
        }
        Record::Spent => out.extend([BACK, 1, FINAL_ELSEWHERE]),
        Record::Ending(e, reason) => {
            out.push(ENDING);
            put_ending(&mut out, Some(*e), *reason);
        }
        Record::Over => out.push(OVER),
        // Versions that know of no ends of this kind read the first byte alone.
        Record::Closed(Closed::Delivered) => out.extend([OVER, DELIVERED]),
        Record::Closed(Closed::Over | Closed::Notified(_)) => out.extend([OVER, ENDED]),
        Record::EndpointOutage(name, rate) => {
            out.extend([9, u8::from(rate.is_some())]);
            out.extend(rate.unwrap_or(0.0).to_le_bytes());
            put(&mut out, name.as_bytes());
        }
        // Under the number 0 versions that do not know it pass it over.
        Record::DestinationOutage(dest, rate) => {
            out.extend([DESTINATION_OUTAGE, u8::from(rate.is_some())]);
            out.extend(rate.unwrap_or(0.0).to_le_bytes());
            out.extend(dest.to_le_bytes());
        }
        Record::Maintenance(maintenance) => {
            out.extend([8, u8::from(maintenance.is_draining())]);
            maintenance.cordoned().for_each(|name| put(&mut out, name.as_bytes()));
        }
        Record::AllClosed(all) => {
            out.push(ALL_CLOSED);
            for (id, closed) in all.iter() {
                let ending = if let Closed::Notified(ending) = closed { Some(*ending) } else { None };
                out.push(if *closed == Closed::Delivered { DELIVERED } else { ENDED });
                put_ending(&mut out, ending, 0);
                put(&mut out, id.as_bytes());
            }
        }
        // Under the number 0 versions that do not know it pass it over.
        Record::KeysTried(all) => {
            out.push(KEYS_TRIED);
            for (no, tried) in all.iter() {
                out.extend(no.to_le_bytes());
                out.extend(tried.deadline.to_le_bytes());
                put(&mut out, tried.key.as_bytes());
            }
        }
        // Under the number 0 versions that do not know it pass it over.
        Record::Class(class) => {
            out.push(CLASS);
            out.extend(class.encoded().1);
        }
        Record::EndpointOutages(all) => {
            out.push(10);
            for (name, rate) in all.iter() {
                out.extend(rate.to_le_bytes());
                put(&mut out, name.as_bytes());
            }
        }
        Record::DestinationOutages(all) => {
            out.push(DESTINATION_OUTAGES);
            for (dest, rate) in all.iter() {
                out.extend(rate.to_le_bytes());
                out.extend(dest.to_le_bytes());
            }
        }
    }
    let len = (out.len() - HEAD) as u32;
    let sum = crc32fast::hash(&out[HEAD..]);
    out[..4].copy_from_slice(&len.to_le_bytes());
    out[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    out
}
