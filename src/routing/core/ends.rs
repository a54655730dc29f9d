//! Ends of transactions: decided, written, told, acknowledged, over.

use super::{Core, Ended, Note};
use crate::interface::Nanos;
use crate::memory::Holder;
use crate::routing::closed::Closed;
use crate::routing::journal::Record;
use crate::routing::message_log;
use crate::routing::transactions::{Ending, Transaction};
use crate::routing::values::{Reply, Standing, TransactionNo};
use crate::settlement::{Last, LastWord};

/// What could not be written is tried again after this time.
const WRITE_AGAIN: Nanos = 50_000_000;

/// An end that is not told yet.
#[derive(Debug)]
struct WithheldEnd {
    ended: Ended,
    deadline: Nanos,
    /// The number of its record; none where that could not be queued.
    record: Option<u64>,
}

/// Ends that are not told yet since they are not written: a process that follows would know nothing of them, and could
/// deliver what was handed back.
#[derive(Debug, Default)]
pub(super) struct Withheld {
    ends: Vec<WithheldEnd>,
    /// When the time of the first of them is up.
    first: Option<Nanos>,
    /// When the journal is tried again, where it is behind.
    write_at: Option<Nanos>,
}

impl Withheld {
    pub fn due(&self) -> Nanos {
        self.write_at.unwrap_or(Nanos::MAX).min(self.first.unwrap_or(Nanos::MAX))
    }

    /// Whether ends wait for their records.
    pub fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }

    /// Plans another try where a record could not be written; whether it was.
    pub fn plan_unless(&mut self, written: std::io::Result<()>, now: Nanos) -> bool {
        if written.is_err() {
            self.write_at.get_or_insert(now + WRITE_AGAIN);
        }
        written.is_ok()
    }
}

impl Core {
    /// The end of this transaction has reached whoever it was owed to.
    pub fn acknowledged(&mut self, now: Nanos, no: TransactionNo) {
        let ending = self.transactions.get(no).and_then(|t| t.ending);
        self.close(now, no, ending.map_or(Closed::Over, Closed::Notified));
        let picked = self.facade.settled(now, no);
        self.absorb(now, picked);
    }

    /// Whether the end of this message may be told: its record is written, or its time is up.
    pub fn may_tell_end(&self, no: TransactionNo) -> bool {
        self.withheld.ends.iter().all(|end| end.ended.no != no)
    }

    /// The same of the message that was taken on under this id.
    pub fn may_tell_end_of(&self, id: &str) -> bool {
        self.transactions.find(id).is_none_or(|no| self.may_tell_end(no))
    }

    /// When the first message that has no end yet comes to it.
    pub fn first_end(&self) -> Option<Nanos> {
        self.facade.first_end()
    }

    /// Ends took so long to arrive of late: from now on each is decided earlier, by a margin of its message.
    pub fn ends_take(&mut self, now: Nanos, time: Nanos) {
        let picked = self.facade.ends_take(now, time);
        self.absorb(now, picked);
    }

    /// Answers that came to calls of an earlier core, or that another process made: those after which no call may follow
    /// count for their messages all the same.
    pub fn answered_before(&mut self, now: Nanos, answers: &[(TransactionNo, Reply)]) {
        for (no, reply) in answers {
            let Some(t) = self.transactions.get(*no) else { continue };
            if reply.is_final() {
                self.last_words.note(&t.id, LastWord::without_answer(Last::Earlier, now));
            }
            let picked = match reply.standing() {
                Standing::MayGoAgain => continue,
                Standing::Settled if self.tells_delivery => {
                    self.end(now, *no, Ending::Delivered);
                    self.facade.withdraw(now, *no)
                }
                Standing::Settled => {
                    let is_delivered = *reply != Reply::Over;
                    self.close(now, *no, if is_delivered { Closed::Delivered } else { Closed::Over });
                    self.facade.withdraw(now, *no)
                }
                Standing::Spent | Standing::MustEnd => {
                    self.spend(now, *no, *reply);
                    continue;
                }
            };
            self.absorb(now, picked);
        }
    }

    /// No attempt of this message begins any more, by a final answer that came to another one.
    pub(super) fn spend(&mut self, now: Nanos, no: TransactionNo, reply: Reply) {
        let Some(t) = self.transactions.get_mut(no) else { return };
        t.is_spent = true;
        if let Reply::Rejected { reason } = reply {
            t.reason = reason;
        }
        self.note(now, no, &Record::Spent);
        let picked = self.facade.spend(now, no, reply);
        self.absorb(now, picked);
    }

    /// The end is decided and owed until acknowledged; one that was told already stands.
    pub(super) fn end(&mut self, now: Nanos, no: TransactionNo, ending: Ending) {
        let Some(t) = self.transactions.get_mut(no) else { return };
        if t.ending.is_some() {
            return;
        }
        t.ending = Some(ending);
        self.last_words.note(&t.id, LastWord::without_answer(Last::Ended, now));
        let (reason, is_out) = (t.reason, t.out.is_some());
        if is_out {
            let out = self.begun.keys().filter(|(of, _)| *of == no);
            self.work.ended_out.extend(out.copied());
        }
        let written = self.note(now, no, &Record::Ending(ending, reason));
        if let Some(t) = self.transactions.get(no) {
            message_log::ending(t, ending, written);
        }
        let record = written.then(|| self.journal.queued());
        match record.is_some_and(|record| record <= self.journal.complete()) {
            true => self.work.ended.push(Ended { no, decided: now }),
            false => {
                let deadline = self.transactions.get(no).map_or(now, |t| t.deadline);
                self.withheld.first = Some(self.withheld.first.map_or(deadline, |first| first.min(deadline)));
                let ended = Ended { no, decided: now };
                self.withheld.ends.push(WithheldEnd { ended, deadline, record });
            }
        }
    }

    /// Nothing more is owed, and what comes under its id is a new message; whether that is written.
    pub(super) fn over(&mut self, now: Nanos, no: TransactionNo) -> bool {
        let removed = self.transactions.remove(no);
        self.write_over(now, no, removed, &Record::Over)
    }

    /// Nothing more is owed, and what comes under its id is no new message; whether that is written.
    pub(super) fn close(&mut self, now: Nanos, no: TransactionNo, closed: Closed) -> bool {
        let removed = self.transactions.close(now, no, closed);
        let bytes_most = self.memory.held(Holder::Ids).saturating_add(self.memory.left(Holder::Ids));
        self.transactions.closed_mut().forget(now, bytes_most);
        self.write_over(now, no, removed, &Record::Closed(closed))
    }

    fn write_over(
        &mut self,
        now: Nanos,
        no: TransactionNo,
        removed: Option<Transaction>,
        record: &Record,
    ) -> bool {
        let Some(t) = removed else { return true };
        message_log::over(&t.id, record);
        self.work.over.push(no);
        let written = self.note(now, no, record);
        self.journal.tidy(&self.transactions);
        written
    }

    /// Has the journal keep what has happened, if not now, then as soon as it can be written; whether it is.
    pub(super) fn note(&mut self, now: Nanos, no: TransactionNo, record: &Record) -> bool {
        let Err(e) = self.journal.note(no, record) else { return true };
        self.work.notes.push(Note::new("journal-behind", format!("cannot write what has happened: {e}")));
        self.withheld.plan_unless(Err(e), now)
    }

    /// Writes what could not be written before, and tells the ends that waited for it; those whose time is up are told
    /// in any case.
    pub(super) fn write_behind(&mut self, now: Nanos) {
        if self.withheld.due() > now {
            return;
        }
        if self.withheld.write_at.is_some_and(|at| at <= now) {
            let written = self.journal.flush().is_ok();
            self.withheld.write_at = (!written).then_some(now + WRITE_AGAIN);
            if written {
                self.work
                    .notes
                    .push(Note::new("journal-caught-up", "what has happened is written".to_string()));
            }
        }
        self.tell_written(now);
    }

    /// Tells the ends whose records are written, or whose time is up.
    pub(in crate::routing) fn tell_written(&mut self, now: Nanos) {
        let (complete, is_behind) = (self.journal.complete(), self.journal.is_behind());
        let is_told = |end: &WithheldEnd| match end.record {
            _ if end.deadline <= now => true,
            Some(record) => record <= complete,
            None => !is_behind,
        };
        let (told, kept) = std::mem::take(&mut self.withheld.ends).into_iter().partition(is_told);
        self.withheld.ends = kept;
        self.withheld.first = self.withheld.ends.iter().map(|end| end.deadline).min();
        self.work.ended.extend(Vec::into_iter(told).map(|end: WithheldEnd| end.ended));
    }
}
