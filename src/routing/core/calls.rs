//! Calls: formed of what the module releases, and begun.

use super::handover::BegunAttempt;
use super::{bytes_of, Core, Letter, Note, Piping};
use crate::attribution::Via;
use crate::batching::fate::{may_share, Wire};
use crate::batching::{Member, Terms};
use crate::catalog::{Endpoint, EndpointId, EndpointView};
use crate::interface::{Nanos, Repeat};
use crate::routing::journal::Record;
use crate::routing::message_log::{self, NotBegun};
use crate::routing::values::{Attempt, Call, Reply, TransactionNo};
use std::cmp::Reverse;

impl Core {
    /// Called when a call can be written, before its first byte: the attempts that may still go, journaled
    /// as out. What is not among them was never sent.
    pub fn begin(&mut self, now: Nanos, call: &Call, via: Via) -> Vec<Letter> {
        let Some(hop) = self.catalog.get(call.endpoint).map(EndpointView::to_endpoint) else {
            return Vec::new();
        };
        let leased = self.shares.as_ref().is_none_or(|s| s.in_force(call.endpoint, now));
        if !leased || !self.facade.still_open(call.endpoint, now) {
            return Vec::new();
        }
        let begun = call.attempts.iter().filter_map(|attempt| self.begin_attempt(now, attempt, &hop, via));
        let mut letters: Vec<(Nanos, Letter)> = begun.collect();
        // A partner may hold a batch to the time of its first message: an answer after that would count for none of
        // them, though it accepts all. So that is a message whose time is not over while the call is waited for.
        let until = now + call.attempts.iter().map(|b| b.timeout).max().unwrap_or(0);
        if letters.first().is_some_and(|(deadline, _)| *deadline < until) {
            letters.sort_by_key(|(deadline, _)| Reverse(*deadline));
        }
        let letters: Vec<Letter> = letters.into_iter().map(|(_, letter)| letter).collect();
        for Letter { attempt, .. } in &letters {
            let lock = self.lock_of(attempt.transaction);
            self.begins(attempt, BegunAttempt { endpoint: call.endpoint, at: now, via, lock });
        }
        letters
    }

    /// Journals an attempt as out where it may still go; its message's deadline, and what is written.
    fn begin_attempt(
        &mut self,
        now: Nanos,
        attempt: &Attempt,
        hop: &Endpoint,
        via: Via,
    ) -> Option<(Nanos, Letter)> {
        let no = attempt.transaction;
        let in_time = self.facade.may_begin(no, hop.id, now);
        let t = self.transactions.get(no)?;
        let not_begun = |why| message_log::not_begun(t, attempt, &hop.name, why);
        if t.ending.is_some() || t.is_spent || t.dest != hop.dest {
            not_begun(NotBegun::HasItsEnd);
            return None;
        }
        if let Some(word) = self.last_words.violated_by(&t.id) {
            not_begun(NotBegun::HasItsEnd);
            let violations = self.last_words.counts().violations;
            let text = format!("{}: a call at {now}, {via}, {word}; {violations} so far", t.id);
            self.note_of("call-after-final-violation", hop, text);
            self.spend(now, no, Reply::Spent);
            return None;
        }
        if !in_time {
            not_begun(NotBegun::TooLate);
            let first = t.may_have_run.map_or(0, |(at, _)| now.saturating_sub(at) / 1_000_000);
            let left = t.deadline.saturating_sub(now) / 1_000_000;
            let text = "an attempt was ready too late to be begun";
            let text = format!("{text}: {}, {first} ms after its first, {left} ms left", t.id);
            self.note_of("branch-late", hop, text);
            return None;
        }
        if let Err(e) = self.journal.write(no, &Record::Out { at: now, zone: hop.zone }) {
            not_begun(NotBegun::Unwritten);
            let text = format!("cannot begin an attempt: {e}");
            self.work.notes.push(Note::new("journal-cannot-begin", text));
            return None;
        }
        let t = self.transactions.get_mut(no)?;
        (t.attempts, t.out) = (t.attempts + 1, Some((now, hop.zone)));
        message_log::begun(t, attempt, &hop.name, via);
        let (id, idempotency, body) = (t.id.clone(), t.idempotency.clone(), t.body.clone());
        Some((t.deadline, Letter { attempt: *attempt, id, idempotency, body }))
    }

    fn note_of(&mut self, event: &'static str, hop: &Endpoint, text: String) {
        self.work.notes.push(Note { event, hop: Some(hop.name.clone()), text });
    }

    /// Lets out what was begun, once its records are written: those that may still go. From here on none of them is forgotten
    /// before its end.
    pub fn let_out(&mut self, now: Nanos, call: &Call, mut letters: Vec<Letter>) -> Vec<Letter> {
        letters.retain(|letter| !self.has_unwritten(letter.attempt.transaction));
        if !self.may_go_on(now, call, &letters) {
            return Vec::new();
        }
        for letter in &letters {
            if let Some(t) = self.transactions.get_mut(letter.attempt.transaction) {
                t.is_bound = true;
            }
        }
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

    /// How this message may be repeated, by the rules that it was taken on with.
    pub fn repeat_of(&self, no: TransactionNo) -> Option<Repeat> {
        Some(self.journal.classes().rules(self.transactions.get(no)?.class)?.class.repeat)
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
