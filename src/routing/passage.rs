//! A call on its way, as the front that carries it sees it.

use super::core::{Carried, Letter};
use super::desk::{Desk, Front};
use super::values::{Call, Reply};
use crate::attribution::Via;
use crate::catalog::Endpoint;
use crate::interface::Outcome;
use std::rc::Rc;
use tokio::sync::Notify;

/// What a call hears while it is out.
#[derive(Debug, Default)]
pub(super) struct Signals {
    /// It is given up.
    pub cancelled: Notify,
    /// A message of it has its end.
    pub ended: Notify,
}

/// A call on its way.
pub struct Passage<'a, F> {
    pub desk: &'a Rc<Desk<F>>,
    pub call: &'a Call,
    pub hop: &'a Endpoint,
    pub(super) signals: &'a Signals,
    pub(super) life: u32,
}

impl<F: Front> Passage<'_, F> {
    /// Right before the first byte: the attempts that may still go, journaled as out. None where the call is given up while
    /// their records are written.
    pub async fn begin(&self, via: Via) -> Vec<Letter> {
        if !self.desk.decides(self.life) {
            return Vec::new();
        }
        let (letters, record) =
            self.desk.act(|core, now| (core.begin(now, self.call, via), core.records_queued()));
        if letters.is_empty() {
            return letters;
        }
        if !self.desk.see(|core| core.is_resolved(record)) {
            tokio::select! {
                () = self.desk.until_resolved(record) => {}
                () = self.cancelled() => return Vec::new(),
            }
        }
        // Where time has passed another process may decide.
        match self.desk.decides(self.life) {
            true => self.desk.act(|core, now| core.let_out(now, self.call, letters)),
            false => Vec::new(),
        }
    }

    /// All its attempts ended alike, before any was begun.
    pub fn all(&self, outcome: Outcome) -> Carried {
        let attempts = self.call.attempts.iter();
        Carried::from(attempts.map(|b| (*b, Reply::Ended(outcome))).collect::<Vec<_>>())
    }

    /// Whether what was begun may still be written, on another connection.
    pub fn may_go_on(&self, letters: &[Letter]) -> bool {
        let now = self.desk.clock.now();
        self.desk.decides(self.life) && self.desk.see(|core| core.may_go_on(now, self.call, letters))
    }

    /// Completes when the core gives the call up.
    pub async fn cancelled(&self) {
        self.signals.cancelled.notified().await
    }

    /// Completes when a message of the call has its end: what is not written yet does not go on.
    pub async fn ended(&self) {
        self.signals.ended.notified().await
    }
}
