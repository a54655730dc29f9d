//! Settings that come into force while messages are open.

use super::{Core, Note};
use crate::catalog::{EndpointId, EndpointState, EndpointUpdate, EndpointView, Names};
use crate::interface::{MessageRules, Nanos, Settings};
use crate::routing::values::TransactionNo;
use std::collections::{BTreeMap, BTreeSet};

/// What comes into force.
#[derive(Clone, Debug)]
pub struct Retuning<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The names of their classes, in their order.
    pub classes: &'a [String],
    /// The names of their kinds.
    pub kinds: &'a [String],
    /// The place that each kind and each zone has now, by the place that it had; of those that are gone none. Empty where
    /// nothing has moved.
    pub moved: Moved,
    /// Bytes that the journal may hold.
    pub journal_bytes: u64,
}

/// Where kinds and zones have moved to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    pub kinds: Vec<Option<usize>>,
    pub zones: Vec<Option<usize>>,
}

/// Calls that may be out to one endpoint.
pub(super) fn calls_to_one(slots: usize) -> usize {
    slots * 3 / 4
}

/// Messages that endpoints allow in a call, by kind.
pub(super) fn messages_in_a_call(settings: &Settings) -> Vec<usize> {
    settings.kinds.iter().map(|kind| kind.per_call.max(1)).collect()
}

impl Moved {
    /// From names to names.
    pub fn between(before: &Names, now: &Names) -> Moved {
        let moved = |before: &[String], now: &[String]| match now.starts_with(before) {
            true => Vec::new(),
            false => before.iter().map(|name| now.iter().position(|other| other == name)).collect(),
        };
        Moved { kinds: moved(&before.kinds, &now.kinds), zones: moved(&before.zones, &now.zones) }
    }

    /// Whether a zone has another place now.
    pub fn moves_zones(&self) -> bool {
        !self.zones.is_empty()
    }

    /// The place that a zone has now; of one that is gone a place that no zone has.
    pub fn zone(&self, before: usize) -> usize {
        self.zones.get(before).copied().flatten().unwrap_or(usize::MAX)
    }

    /// An update with the places that hold now.
    pub fn apply(&self, mut update: EndpointUpdate) -> EndpointUpdate {
        let place = |moved: &[Option<usize>], place: usize, gone: usize| match moved.get(place) {
            Some(now) => now.unwrap_or(gone),
            None => place,
        };
        for endpoint in &mut update.endpoints {
            endpoint.kind = place(&self.kinds, endpoint.kind, usize::MAX);
            endpoint.zone = place(&self.zones, endpoint.zone, 0);
        }
        update
    }
}

impl Core {
    /// The settings that hold.
    pub fn settings(&self) -> &Settings {
        self.facade.settings()
    }

    /// The names of the classes by which messages are taken on.
    pub fn class_names(&self) -> Vec<String> {
        let classes = self.journal.classes();
        classes.in_force().iter().map(|class| classes.name(*class).to_string()).collect()
    }

    /// The rules of all that is open.
    fn open_rules(&self) -> BTreeMap<TransactionNo, Option<MessageRules>> {
        let classes = self.journal.classes();
        self.transactions.iter().map(|(no, t)| (no, classes.rules(t.class).cloned())).collect()
    }

    /// These settings hold from now on: for what is taken on, and for all endpoints. What is open keeps the rules by which it
    /// was taken on.
    pub fn retune(&mut self, now: Nanos, retuning: &Retuning<'_>) {
        let Retuning { settings, classes, kinds, moved, journal_bytes } = retuning;
        let before = self.open_rules();
        let numbers = self.journal.classes_mut().put_in_force(classes, settings);
        let used: BTreeSet<usize> = self.transactions.iter().map(|(_, t)| t.class).collect();
        self.journal.classes_mut().retain(|class| used.contains(&class));
        self.journal.set_budget(*journal_bytes, &self.transactions);
        let now_open = self.open_rules();
        let changed = before.iter().filter(|(no, rules)| now_open.get(no) != Some(rules)).count();
        if changed > 0 {
            let text =
                format!("{changed} open messages have other rules than those that they were taken on by");
            self.work.notes.push(Note::new("rules-violation", text));
        }
        self.slots = settings.slots;
        self.former.set_at_once(calls_to_one(settings.slots));
        self.allowed = messages_in_a_call(settings);
        self.batching.kinds = kinds.to_vec();
        let listed_anew = self.facade.would_list_anew(settings) || *moved != Moved::default();
        let picked = self.facade.retune(now, (*settings).clone(), numbers);
        self.absorb(now, picked);
        if listed_anew {
            self.list_all(now, moved);
        }
    }

    /// Tells all that go by what is listed of endpoints what that is.
    fn list_all(&mut self, now: Nanos, moved: &Moved) {
        let endpoints = self.catalog.iter().map(EndpointView::to_endpoint).collect();
        let update = moved.apply(EndpointUpdate { seq: 0, whole: false, endpoints });
        self.learn(now, &update);
        let listed = self.catalog.iter().filter(|endpoint| endpoint.state != EndpointState::Left);
        let listed: Vec<EndpointId> = listed.map(|endpoint| endpoint.id).collect();
        self.learn_of(now, &listed);
    }
}
