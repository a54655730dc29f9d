//! Calls: formed of what the module releases, begun, and reported once they are back.

use super::{bytes_of, Carried, Core, Letter, Note, Piping};
use crate::batching::fate::{may_share, Wire};
use crate::batching::{Member, Pressure, Terms};
use crate::catalog::{EndpointId, EndpointView};
use crate::interface::{Nanos, Outcome, Repeat};
use crate::routing::closed::Closed;
use crate::routing::facade::Told;
use crate::routing::journal::Record;
use crate::routing::message_log::{self, NotBegun, Via};
use crate::routing::transactions::Ending;
use crate::routing::values::{Attempt, Call, Reply};
use std::cmp::Reverse;

impl Core {
    /// Called when a call can be written, before its first byte: the attempts that may still go, journaled
    /// as out. What is not among them was never sent.
    pub fn begin(&mut self, now: Nanos, call: &Call, via: Via) -> Vec<Letter> {
        let Some(hop) = self.catalog.get(call.endpoint) else { return Vec::new() };
        let leased = self.shares.as_ref().is_none_or(|s| s.in_force(call.endpoint, now));
        if !leased || !self.facade.still_open(call.endpoint, now) {
            return Vec::new();
        }
        let (dest, zone) = (hop.dest, hop.zone);
        let mut letters = Vec::new();
        for attempt in &call.attempts {
            let no = attempt.transaction;
            let in_time = self.facade.may_begin(no, call.endpoint, now);
            let Some(t) = self.transactions.get_mut(no) else { continue };
            if t.ending.is_some() || t.is_spent || t.dest != dest {
                message_log::not_begun(t, attempt, hop.name, NotBegun::HasItsEnd);
                continue;
            }
            if !in_time {
                message_log::not_begun(t, attempt, hop.name, NotBegun::TooLate);
                let first = t.may_have_run.map_or(0, |(at, _)| now.saturating_sub(at) / 1_000_000);
                let left = t.deadline.saturating_sub(now) / 1_000_000;
                let text = "a branch was ready too late to be begun";
                let text = format!("{text}: {}, {first} ms after its first, {left} ms left", t.id);
                self.work.notes.push(Note { event: "branch-late", hop: Some(hop.name.to_string()), text });
                continue;
            }
            if let Err(e) = self.journal.write(no, &Record::Out { at: now, zone }) {
                message_log::not_begun(t, attempt, hop.name, NotBegun::Unwritten);
                let text = format!("cannot begin a branch: {e}");
                self.work.notes.push(Note::new("journal-cannot-begin", text));
                continue;
            }
            (t.attempts, t.out) = (t.attempts + 1, Some((now, zone)));
            message_log::begun(t, attempt, hop.name, via);
            let (id, idempotency, body) = (t.id.clone(), t.idempotency.clone(), t.body.clone());
            letters.push((t.deadline, Letter { attempt: *attempt, id, idempotency, body }));
        }
        // A partner may hold a batch to the time of its first message: an answer after that would count for none of
        // them, though it accepts all. So that is a message whose time is not over while the call is waited for.
        let until = now + call.attempts.iter().map(|b| b.timeout).max().unwrap_or(0);
        if letters.first().is_some_and(|(deadline, _)| *deadline < until) {
            letters.sort_by_key(|(deadline, _)| Reverse(*deadline));
        }
        let letters: Vec<Letter> = letters.into_iter().map(|(_, letter)| letter).collect();
        self.begins(letters.iter().map(|l| &l.attempt), call.endpoint, now);
        letters
    }

    /// Whether what was begun may still be written, on another connection than it was begun for.
    pub fn may_go_on(&self, now: Nanos, call: &Call, letters: &[Letter]) -> bool {
        let is_open = |no| self.transactions.get(no).is_some_and(|t| t.ending.is_none() && !t.is_spent);
        let may_go = |letter: &Letter| {
            let no = letter.attempt.transaction;
            is_open(no) && self.facade.may_begin(no, call.endpoint, now)
        };
        self.facade.still_open(call.endpoint, now) && letters.iter().all(may_go)
    }

    /// The outcomes of a call's attempts, all in one report, with the limit that the answer told.
    pub fn report(&mut self, now: Nanos, hop: EndpointId, carried: &Carried, took: Nanos) {
        let Carried { replies, limit, idle, echo, wait, refused } = carried;
        let mut late = Vec::new();
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
        for (attempt, reply) in replies {
            let no = attempt.transaction;
            let was_out = self.begun.remove(&(no, attempt.number)).is_some();
            let Some(t) = self.transactions.get_mut(no) else { continue };
            message_log::outcome(t, attempt, &name, reply, was_out);
            if !was_out && reply.settles() {
                let text = format!("an attempt that is not out was said to be over: {}", t.id);
                self.work.notes.push(Note::new("outcome-violation", text));
            }
            let ran = !reply.outcome().never_ran();
            if let Reply::Rejected { reason } = reply {
                t.reason = *reason;
            }
            // Given up meanwhile: with an answer that settles it, it is over, whether its end was told or not.
            let ending = t.ending;
            // The outcome of another attempt says nothing of the one that is out now.
            let out = t.out.take_if(|_| was_out);
            t.may_have_run = t.may_have_run.or(out.filter(|_| ran));
            let is_final = reply.is_final();
            t.is_spent |= is_final;
            if !reply.settles() && out.is_some() {
                self.note(now, no, &Record::Back { may_have_run: ran, is_final });
            } else if !reply.settles() && is_final {
                self.note(now, no, &Record::Spent);
            }
            match reply {
                Reply::Ended(Outcome::Served) if self.tells_delivery => self.end(now, no, Ending::Delivered),
                reply if reply.settles() => {
                    late.extend(ending.map(|_| no));
                    let is_delivered = *reply == Reply::Ended(Outcome::Served);
                    self.close(now, no, if is_delivered { Closed::Delivered } else { Closed::Over });
                }
                _ => {}
            }
        }
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

    /// Before calls are formed to an endpoint its former is told its terms; whether what may not be repeated shares
    /// calls there.
    pub(super) fn prepare(&mut self, id: EndpointId) -> bool {
        let Some(endpoint) = self.catalog.get(id) else { return Terms::default().unsafe_shares };
        let (terms, allowed) = self.batching_terms(&endpoint);
        self.former.set(id, terms, allowed);
        terms.unsafe_shares
    }

    pub(super) fn go(&mut self, calls: Vec<Call>) {
        for call in calls {
            if let Some(endpoint) = self.catalog.get(call.endpoint).map(EndpointView::to_endpoint) {
                self.work.calls.push((call, endpoint));
            }
        }
    }

    /// What its former has to know of an attempt.
    pub(super) fn member(&self, attempt: Attempt, unsafe_shares: bool) -> Member {
        let t = self.transactions.get(attempt.transaction);
        let class = t.and_then(|t| self.journal.classes().rules(t.class)).map(|rules| &rules.class);
        let (aim, deadline, repeat) =
            class.map_or((0, 0, Repeat::Unsafe), |class| (class.aim, class.deadline, class.repeat));
        let alone = !unsafe_shares && !may_share(Wire::Batch, repeat);
        // A message may have been handed in with less than its class's time, so its aim is told from its end.
        let aim_at = t.map_or(0, |t| t.deadline.saturating_sub(deadline.saturating_sub(aim)));
        Member { attempt, bytes: t.map_or(0, bytes_of), aim_at, alone }
    }

    /// Whether all its messages may be sent again if it stays open whether they ran.
    pub fn is_repeatable(&self, call: &Call) -> bool {
        let rules = |b: &Attempt| self.journal.classes().rules(self.transactions.get(b.transaction)?.class);
        let repeatable =
            |b: &Attempt| rules(b).is_some_and(|rules| may_share(Wire::Pipeline, rules.class.repeat));
        call.attempts.iter().all(repeatable)
    }

    /// How this call goes where its next hop takes calls behind one another.
    pub fn piping(&self, call: &Call) -> Option<Piping> {
        let depth = self.former.terms(call.endpoint).depth;
        let repeatable = self.is_repeatable(call);
        (depth > 1).then(|| Piping { depth, connections: self.slots.div_ceil(depth), repeatable })
    }
}
