//! Taking requests on: from callers, and from what an earlier life left.

use super::{bytes_of, Core, Ended, MessageCapacity, Note, Offer, PendingAnswer, Taken, DOOR_ADVICE};
use crate::interface::Nanos;
use crate::memory::Holder;
use crate::routing::closed::{self, Closed};
use crate::routing::facade::Ask;
use crate::routing::journal::Record;
use crate::routing::message_log;
use crate::routing::transactions::{Ending, Transaction};
use crate::routing::values::{End, TransactionNo};
use crate::settlement::{Last, LastWord};
use std::collections::HashSet;

impl Core {
    /// What an earlier life left, for the module, and messages of classes that are not known any more. An attempt without
    /// an outcome may have run, but for those that are out at another process. What has its end only needs to tell it.
    pub(super) fn restored(
        &mut self,
        now: Nanos,
        out_elsewhere: &HashSet<TransactionNo>,
    ) -> (Vec<Ask>, Vec<TransactionNo>) {
        let (mut asks, mut strange) = (Vec::new(), Vec::new());
        let nos: Vec<TransactionNo> = self.transactions.iter().map(|(no, _)| no).collect();
        for no in nos {
            let Some(t) = self.transactions.get_mut(no) else { continue };
            t.is_bound = true;
            let is_out = out_elsewhere.contains(&no);
            if !is_out {
                t.may_have_run = t.may_have_run.or(t.out.take());
            }
            message_log::restored(no, t, is_out);
            let ended = t.ending.is_some();
            if ended || t.is_spent {
                self.last_words.note(&t.id, LastWord::without_answer(Last::Earlier, now));
            }
            if ended {
                self.work.ended.push(Ended { no, decided: now });
            } else if self.journal.classes().rules(t.class).is_none() {
                strange.push(no);
                continue;
            }
            let ran = t.may_have_run.map(|(at, zone)| (now.saturating_sub(at), zone));
            asks.push(Ask {
                transaction: no,
                class: t.class,
                dest: t.dest,
                key: t.key.clone(),
                time_left: t.deadline.saturating_sub(now),
                past: Some((t.attempts.saturating_sub(u32::from(is_out)), ran)),
                bytes: bytes_of(t),
                ended,
                spent: t.is_spent,
            });
        }
        if !self.transactions.is_empty() {
            let (all, held) = (self.transactions.len(), asks.iter().filter(|a| !a.ended).count());
            let text = format!("{all} transactions restored, {held} still to deliver");
            self.work.notes.push(Note::new("journal-restored", text));
        }
        (asks, strange)
    }

    pub(super) fn fail_all(&mut self, now: Nanos, nos: Vec<TransactionNo>) {
        nos.into_iter().for_each(|no| self.end(now, no, Ending::Undelivered(End::Failed)));
    }

    /// Decides on an offer. Whoever made it hears nothing before `answer` says so.
    pub fn take(&mut self, now: Nanos, offer: Offer) -> PendingAnswer {
        let before = self.records_queued();
        let taken = self.decide(now, offer);
        // What rests on no record of its own is said at once; what was taken on before may still wait for its record.
        let waits = self.records_queued() != before || taken == Taken::Already;
        PendingAnswer::new(taken, if waits { self.records_queued() } else { 0 })
    }

    /// The answer to an offer; none before its record is written or given up. A message whose record could not be written is
    /// withdrawn.
    pub fn answer(&mut self, now: Nanos, pending: &PendingAnswer) -> Option<Taken> {
        if !self.is_resolved(pending.record()) {
            return None;
        }
        match pending.number().filter(|no| self.has_unwritten(*no)) {
            None => Some(pending.taken()),
            Some(no) => {
                self.withdraw(now, no);
                Some(Taken::Refused { after: DOOR_ADVICE, full: true })
            }
        }
    }

    fn decide(&mut self, now: Nanos, offer: Offer) -> Taken {
        let known = self.transactions.find(&offer.id);
        if let Some(t) = known.and_then(|no| self.transactions.get_mut(no)) {
            let same_class = self.journal.classes().name(t.class) == offer.class;
            let same = same_class && t.dest == offer.dest && t.body == offer.body;
            t.is_bound |= same;
            return if same { Taken::Already } else { Taken::Other };
        }
        match self.transactions.closed().get(&offer.id) {
            None => {}
            Some(Closed::Delivered | Closed::Over) => return Taken::Already,
            Some(Closed::Notified(ending)) => return self.tell_again(now, offer, ending),
        }
        let Some(class) = self.journal.classes().named(&offer.class) else { return Taken::UnknownClass };
        // What no next hop serves could only be held until its time is up.
        let dest = offer.dest;
        if !self.catalog.serves(dest) {
            return Taken::Refused { after: DOOR_ADVICE, full: false };
        }
        let (key, time_left) = (offer.key.clone(), offer.time_left);
        self.last_words.forget(&offer.id);
        let t = Transaction::new(offer, class, now);
        let bytes = bytes_of(&t);
        let no = match self.facade.full() || self.is_folder_slow() {
            true => None,
            false => self.write_taken(t),
        };
        let Some(no) = no else { return Taken::Refused { after: DOOR_ADVICE, full: true } };
        if let Some(shares) = &mut self.shares {
            shares.taken(dest);
        }
        let ask = Ask {
            transaction: no,
            class,
            dest,
            key,
            time_left,
            past: None,
            bytes,
            ended: false,
            spent: false,
        };
        let mut picked = self.facade.pick(now, ask);
        let at_once = picked.ends.iter().position(|(of, _)| *of == no).map(|i| picked.ends.remove(i).1);
        self.absorb(now, picked);
        match at_once {
            None => Taken::on(no),
            // Its answer ends it: nothing is left to be told.
            Some(end) => {
                let written = self.over(now, no);
                let picked = self.facade.settled(now, no);
                self.absorb(now, picked);
                match end {
                    // A process that follows would deliver it: no promise can be made.
                    End::Returned { .. } if !written => Taken::Failed,
                    End::Returned { after } => Taken::Refused { after, full: false },
                    End::Failed => Taken::Failed,
                }
            }
        }
    }

    /// What is left for one more message with a body of so many bytes.
    pub fn capacity_for(&self, body: usize) -> MessageCapacity {
        let (held, most) = self.facade.held();
        let most = most.max(1) as f64;
        let (of_journal, free_of_journal) = self.journal.capacity_for(body);
        let left = self.memory.left(Holder::Messages) as f64;
        let memory = (left + self.memory.held(Holder::Messages) as f64).max(1.0);
        let part = (1.0 / most).max(of_journal).max(body as f64 / memory);
        let free = (1.0 - held as f64 / most).min(free_of_journal).min(left / memory);
        MessageCapacity { part, free }
    }

    /// Messages that may be held at most.
    pub fn held_most(&self) -> usize {
        self.facade.held().1
    }

    /// Whether what comes under this id is no new message.
    pub fn knows(&self, id: &str) -> bool {
        self.transactions.find(id).is_some() || self.transactions.closed().get(id).is_some()
    }

    /// A message that has had its end comes again: whoever hands it in may not have heard, and is told once more.
    fn tell_again(&mut self, now: Nanos, offer: Offer, ending: Ending) -> Taken {
        let Some(class) = self.journal.classes().named(&offer.class) else { return Taken::UnknownClass };
        let ended = Transaction { ending: Some(ending), ..Transaction::new(offer, class, now) };
        match self.write_taken(ended) {
            Some(no) => {
                self.work.ended.push(Ended { no, decided: now });
                Taken::Already
            }
            None => Taken::Refused { after: DOOR_ADVICE, full: true },
        }
    }

    /// Has the journal keep a transaction; none where it cannot.
    fn write_taken(&mut self, t: Transaction) -> Option<TransactionNo> {
        let has_memory = self.memory.allows(Holder::Messages, t.bytes_held())
            && self.memory.allows(Holder::Ids, closed::bytes_of(&t.id));
        if !has_memory || !self.journal.has_room(&t, &self.transactions) {
            return None;
        }
        let no = self.next_no;
        if let Err(e) = self.journal.write(no, &Record::Taken(&t)) {
            let text = format!("cannot take a transaction on: {e}");
            self.work.notes.push(Note::new("journal-cannot-take", text));
            return None;
        }
        self.next_no += 1;
        message_log::taken(no, &t, self.journal.classes().name(t.class));
        self.transactions.insert(no, t);
        Some(no)
    }

    /// Whoever handed it in is gone, or never heard that it was taken on. It is forgotten, unless somebody else may know of it.
    pub fn withdraw(&mut self, now: Nanos, no: TransactionNo) {
        if self.transactions.get(no).is_some_and(|t| t.ending.is_none() && !t.is_bound) {
            self.over(now, no);
            let picked = self.facade.withdraw(now, no);
            self.absorb(now, picked);
        }
    }
}
