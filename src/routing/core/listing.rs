//! What the list says: endpoints that come, change and go, and the terms of calls to them.

use super::{Batching, Core};
use crate::batching::{Counts, Table, Terms};
use crate::catalog::{
    Draft, EndpointCatalog, EndpointId, EndpointUpdate, EndpointView, Forgotten, PendingUpdate, Piece,
    Progress,
};
use crate::interface::{CallTerms, Nanos, Outcome};
use crate::routing::facade::Told;
use crate::routing::values::Reply;

impl Core {
    /// Puts an update in force at once: a list that is short, or one that is known before anything is taken on.
    pub fn learn(&mut self, now: Nanos, update: &EndpointUpdate) {
        let mut draft = self.catalog.begin();
        update.endpoints.iter().for_each(|endpoint| draft.entry(&self.catalog, endpoint.clone()));
        let mut pending = draft.complete(update.whole);
        while self.advance(now, &mut pending) {}
    }

    /// Takes the next step of an update, of bounded length; false once it is in force.
    pub fn advance(&mut self, now: Nanos, pending: &mut PendingUpdate) -> bool {
        match pending.advance(&self.catalog) {
            Progress::Looking => true,
            Progress::Piece(piece) => {
                self.apply(now, piece);
                true
            }
            Progress::Done => {
                self.forget_departed(now);
                false
            }
        }
    }

    /// The endpoints that are known.
    pub fn catalog(&self) -> &EndpointCatalog {
        &self.catalog
    }

    /// Whether a draft may still be completed: nothing was put in force since it was begun.
    pub fn is_current(&self, draft: &Draft) -> bool {
        self.catalog.is_current(draft)
    }

    fn apply(&mut self, now: Nanos, piece: Piece) {
        let applied = self.catalog.apply(now, piece);
        self.let_go(now, &applied.forgotten);
        self.learn_of(now, &applied.changed);
        self.forget_departed(now);
    }

    /// Forgets what left long ago; whether there was any.
    pub(super) fn forget_departed(&mut self, now: Nanos) -> bool {
        let forgotten = self.catalog.forget_due(now);
        self.let_go(now, &forgotten);
        !forgotten.endpoints.is_empty()
    }

    fn let_go(&mut self, now: Nanos, forgotten: &Forgotten) {
        forgotten.endpoints.iter().for_each(|id| self.former.forget(*id));
        forgotten.names.iter().for_each(|name| self.outage_forgotten(now, name));
        if let Some(shares) = &mut self.shares {
            forgotten.endpoints.iter().for_each(|id| shares.forget(*id));
            let gone = forgotten.dests.iter().filter(|dest| !self.catalog.has(**dest));
            gone.for_each(|dest| shares.forget_dest(*dest));
        }
    }

    /// What waits for endpoints that are to get nothing more goes back to the module, as never sent.
    pub(super) fn recall(&mut self, now: Nanos, resting: &[EndpointId]) {
        let attempts = resting.iter().flat_map(|id| self.former.recall(now, *id));
        let unsent: Vec<_> = attempts.map(|b| (b, Reply::Ended(Outcome::NotSent))).collect();
        if !unsent.is_empty() {
            let picked = self.facade.report(now, &unsent, Told::default(), 0, &[]);
            self.absorb(now, picked);
        }
    }

    /// The operator's terms for calls to an endpoint, and the messages in one that its kind allows.
    pub(super) fn batching_terms(&self, endpoint: &EndpointView<'_>) -> (Terms, usize) {
        let terms = self.batching.of(endpoint);
        (terms, self.allowed.get(endpoint.kind).copied().unwrap_or(1).max(1))
    }

    /// What may share a call to an endpoint: by what was learned of it, once it has had a call.
    pub(super) fn call_terms(&self, endpoint: &EndpointView<'_>) -> CallTerms {
        let (terms, allowed) = self.batching_terms(endpoint);
        let most = terms.messages.min(allowed).max(1);
        CallTerms {
            messages: self.former.size(endpoint.id).min(most),
            bytes: terms.bytes,
            unsafe_shares: terms.unsafe_shares,
            by_message: terms.counts == Counts::Messages,
        }
    }

    /// Other terms for calls, from now on. What was released by then goes as it was.
    pub fn set_batching(&mut self, now: Nanos, table: Table) {
        if self.batching.table == table {
            return;
        }
        let kinds = self.batching.kinds.clone();
        let before = Batching { table: std::mem::replace(&mut self.batching.table, table), kinds };
        let mut calls = Vec::new();
        for endpoint in self.catalog.iter() {
            let (terms, allowed) = self.batching_terms(&endpoint);
            if before.of(&endpoint) == terms {
                continue;
            }
            if self.former.knows(endpoint.id) {
                self.former.set(endpoint.id, terms, allowed);
            }
            calls.push((endpoint.id, self.call_terms(&endpoint)));
        }
        let picked = self.facade.share(now, &calls);
        self.absorb(now, picked);
    }
}
