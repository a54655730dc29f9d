//! The life of each message in the log, at level debug under the target `messages`: one line an event, each with the
//! message's id in the field `id`, so that a search for an id finds all of it.

use super::handover::OpenCall;
use super::transactions::{Ending, Transaction};
use super::values::{Attempt, OpenAttempt, Reply};
use crate::attribution::Via;
use std::fmt;

/// The target of these events.
pub const TARGET: &str = "messages";

/// Why an attempt that was released is not begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotBegun {
    /// The message has its end already.
    HasItsEnd,
    /// Its time, or that in which it may be repeated, is over.
    TooLate,
    /// The journal takes no record of it.
    Unwritten,
}

/// A message was taken on.
pub fn taken(no: u64, t: &Transaction, class: &str) {
    tracing::debug!(target: TARGET, event = "message-taken", id = %t.id, no, class, dest = t.dest, deadline = t.deadline);
}

/// A message of an earlier process was read back.
pub fn restored(no: u64, t: &Transaction, is_out_elsewhere: bool) {
    let (attempts, may_have_run, ending) = (t.attempts, t.may_have_run.is_some(), t.ending);
    tracing::debug!(target: TARGET, event = "message-restored", id = %t.id, no, attempts, may_have_run, is_out_elsewhere, ?ending);
}

/// An attempt is about to be written.
pub fn begun(t: &Transaction, attempt: &Attempt, hop: &str, via: Via) {
    let (number, Via { connection, request }) = (attempt.number, via);
    tracing::debug!(target: TARGET, event = "message-begun", id = %t.id, attempt = number, hop, connection, request);
}

/// An attempt that was released is not written.
pub fn not_begun(t: &Transaction, attempt: &Attempt, hop: &str, why: NotBegun) {
    tracing::debug!(target: TARGET, event = "message-not-begun", id = %t.id, attempt = attempt.number, hop, ?why);
}

/// An attempt has its outcome.
pub fn outcome(t: &Transaction, attempt: &Attempt, hop: &str, reply: &Reply, was_out: bool) {
    tracing::debug!(target: TARGET, event = "message-outcome", id = %t.id, attempt = attempt.number, hop, ?reply, was_out);
}

/// An attempt has its outcome, of a message that is over.
pub fn outcome_behind_end(attempt: &Attempt, hop: &str, reply: &Reply, key: Option<&str>) {
    let (no, attempt) = (attempt.transaction, attempt.number);
    tracing::debug!(target: TARGET, event = "message-outcome-behind-end", no, attempt, hop, ?reply, key);
}

/// A call goes on at this process while another one decides; of messages that are over only the numbers are known.
pub fn call_handed_over<'a>(call: &OpenCall, id_of: impl Fn(u64) -> Option<&'a str>) {
    let OpenCall { endpoint, begun, attempts } = call;
    let ids: Vec<&str> = attempts.iter().filter_map(|open| id_of(open.transaction)).collect();
    let over = attempts.iter().filter(|open| !open.is_owed).map(|open| open.transaction);
    let (over, keys) = (over.collect::<Vec<_>>(), keys_of(attempts));
    tracing::info!(target: "takeover", event = "call-handed-over", hop = %endpoint, begun, ?ids, ?over, ?keys);
}

/// A call goes on at the process before this one.
pub fn call_adopted(hop: &str, begun: u64, attempts: &[OpenAttempt]) {
    let (nos, keys): (Vec<_>, _) = (attempts.iter().map(|a| a.transaction).collect(), keys_of(attempts));
    tracing::info!(target: "takeover", event = "call-adopted", hop, begun, ?nos, ?keys);
}

/// The keys that these attempts hold.
fn keys_of(attempts: &[OpenAttempt]) -> Vec<&str> {
    attempts.iter().filter_map(|open| Some(open.lock.as_ref()?.key.as_str())).collect()
}

/// The relay has decided how a message ends.
pub fn ending(t: &Transaction, ending: Ending, written: bool) {
    tracing::debug!(target: TARGET, event = "message-ending", id = %t.id, ?ending, written);
}

/// The end of a message goes to the platform, with this request.
pub fn notice_sent(t: &Transaction, request: u64) {
    tracing::debug!(target: TARGET, event = "message-notice-sent", id = %t.id, request);
}

/// The platform has acknowledged the end of a message.
pub fn notice_acknowledged(t: &Transaction) {
    tracing::debug!(target: TARGET, event = "message-notice-acknowledged", id = %t.id);
}

/// Nothing more is owed for a message.
pub fn over(id: &str, how: impl fmt::Debug) {
    tracing::debug!(target: TARGET, event = "message-over", id, ?how);
}
