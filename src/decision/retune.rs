//! Settings that come into force while messages are held and calls are out.

use super::interface::Settings;
use super::Relay;
use std::collections::BTreeMap;
use std::sync::Arc;

impl Relay {
    /// These settings hold from now on; `classes` are the numbers of their classes. Each message goes on by the rules that it
    /// has.
    pub(super) fn retuned(&mut self, settings: Settings, classes: &[usize]) {
        let shares_differ = settings.limits != self.set.limits || settings.senders != self.set.senders;
        self.held_most = self.held_most.max(self.book.messages.len()).max(settings.max_held);
        self.set = settings;
        let in_force = classes.iter().enumerate().filter_map(|(place, class)| {
            let rules = self.set.rules_of(place)?;
            Some((*class, self.rules.get(class).cloned().unwrap_or_else(|| Arc::new(rules))))
        });
        self.rules = in_force.collect::<BTreeMap<_, _>>();
        if shares_differ {
            self.book.forget_listed_paces();
        }
        self.book.turns.touch_all();
    }

    /// Whether messages of this class go in turn.
    pub fn is_in_order(&self, class: usize) -> bool {
        self.rules.get(&class).is_some_and(|rules| rules.class.in_order)
    }

    /// The settings that hold.
    pub fn settings(&self) -> &Settings {
        &self.set
    }
}
