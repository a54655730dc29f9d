//! Outcomes of calls: what they say of each message, and what follows for the module.

use super::{bytes_of, Carried, Core, Note};
use crate::attribution::Via;
use crate::batching::Pressure;
use crate::catalog::EndpointId;
use crate::interface::{Nanos, Outcome};
use crate::routing::closed::Closed;
use crate::routing::facade::Told;
use crate::routing::journal::Record;
use crate::routing::message_log;
use crate::routing::transactions::Ending;
use crate::routing::values::{Attempt, Reply, Standing, TransactionNo};
use crate::settlement::{Last, LastWord};

impl Core {
    /// The outcomes of a call's attempts, all in one report, with the limit that the answer told.
    pub fn report(&mut self, now: Nanos, hop: EndpointId, carried: &Carried, took: Nanos) {
        let Carried { replies, limit, idle, echo, wait, refused, finals } = carried;
        // One that has the whole refused is found by halves; the others go on in theirs.
        let group = if *refused { replies.len().div_ceil(2) } else { usize::MAX };
        let of_split = |(b, _): &(Attempt, Reply)| {
            Some((b.transaction, bytes_of(self.transactions.get(b.transaction)?), group))
        };
        let splits: Vec<_> = replies.iter().filter(|_| group < replies.len()).filter_map(of_split).collect();
        let served = replies.iter().any(|(_, r)| *r == Reply::Ended(Outcome::Served));
        let left = replies.iter().filter_map(|(b, _)| {
            let t = self.transactions.get(b.transaction)?;
            let class = &self.journal.classes().rules(t.class)?.class;
            Some((t.deadline + class.aim).saturating_sub(class.deadline + now))
        });
        let affordable = left.min().unwrap_or(0);
        if let Some(shares) = &mut self.shares {
            shares.ended(hop, &replies.iter().map(|(_, r)| *r).collect::<Vec<_>>());
        }
        let (waiting, out) = self.facade.load_of(hop);
        let pressure = Pressure { affordable, waiting, out };
        let size = self.former.ended(now, hop, replies.len(), served.then_some(took), pressure);
        let name = self.catalog.get(hop).map_or(String::new(), |endpoint| endpoint.name.to_string());
        let ended = replies.iter().filter_map(|(attempt, reply)| {
            let may_be_final = reply.is_final() || finals.contains(attempt);
            self.attempt_ended(now, &name, attempt, *reply, may_be_final)
        });
        let late: Vec<TransactionNo> = ended.collect();
        let limit = limit.map(|limit| (hop, limit));
        let wait = Some((hop, *wait)).filter(|(_, wait)| *wait > 0);
        let told = Told { limit, wait, idle: *idle, echo: *echo };
        let picked = self.facade.report(now, replies, told, took, &splits);
        self.absorb(now, picked);
        if size.is_some() {
            let call = self.catalog.get(hop).map(|endpoint| (hop, self.call_terms(&endpoint)));
            let picked = self.facade.share(now, call.as_slice());
            self.absorb(now, picked);
        }
        late.into_iter().for_each(|no| self.acknowledged(now, no));
    }

    /// What the outcome of an attempt says of its message, written. Returns the message where it is over though its end was
    /// decided before: that is not owed any more.
    fn attempt_ended(
        &mut self,
        now: Nanos,
        hop: &str,
        attempt: &Attempt,
        reply: Reply,
        may_be_final: bool,
    ) -> Option<TransactionNo> {
        let no = attempt.transaction;
        let begun = self.begun.remove(&(no, attempt.number));
        let Some(t) = self.transactions.get_mut(no) else {
            let key = begun.and_then(|begun| Some(begun.lock?.key));
            message_log::outcome_behind_end(attempt, hop, &reply, key.as_deref());
            return None;
        };
        message_log::outcome(t, attempt, hop, &reply, begun.is_some());
        if begun.is_none() && reply.settles() {
            let text = format!("an attempt that is not out was said to be over: {}", t.id);
            self.work.notes.push(Note::new("outcome-violation", text));
        }
        if let Reply::Rejected { reason } = reply {
            t.reason = reason;
        }
        // The outcome of another attempt says nothing of the one that is out now.
        let out = t.out.take_if(|_| begun.is_some());
        let ran = !reply.outcome().never_ran();
        t.may_have_run = t.may_have_run.or(out.filter(|_| ran));
        let (ending, is_final) = (t.ending, reply.is_final());
        t.is_spent |= is_final;
        if may_be_final {
            self.note_final(now, no, hop, begun.map_or(Via::default(), |begun| begun.via), reply);
        }
        match reply.standing() {
            Standing::Settled if self.tells_delivery && reply != Reply::Over => {
                self.end(now, no, Ending::Delivered);
                None
            }
            Standing::Settled => {
                self.close(now, no, if reply == Reply::Over { Closed::Over } else { Closed::Delivered });
                ending.map(|_| no)
            }
            _ if out.is_some() => {
                self.note(now, no, &Record::Back { may_have_run: ran, is_final });
                None
            }
            _ => {
                if is_final {
                    self.note(now, no, &Record::Spent);
                }
                None
            }
        }
    }

    /// A message has had what may be a final answer.
    fn note_final(&mut self, now: Nanos, no: TransactionNo, hop: &str, via: Via, reply: Reply) {
        let Some(t) = self.transactions.get(no) else { return };
        let is_unproven = !matches!(reply.standing(), Standing::Settled | Standing::Spent);
        let last = if is_unproven { Last::Unproven } else { Last::Proven };
        self.last_words.note(&t.id, LastWord { last, at: now, hop: hop.to_string(), via });
        if is_unproven {
            let text = format!("what may be a final answer to {} cannot be proven: it ends", t.id);
            self.work.notes.push(Note { event: "final-answer-unproven", hop: Some(hop.to_string()), text });
        }
    }
}
