//! The classes by which messages are taken on, and those by which open ones were.
//!
//! A class goes by a number as long as the process runs; other rules under the same name are another class. What outlasts the
//! process is its key, which is made of the name and the rules.

use crate::interface::{MessageRules, Settings};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// The number of a class within this process.
pub type ClassNo = usize;
/// Names a class in the journal.
pub type ClassKey = u64;

/// A class of which nothing is known any more.
pub const UNKNOWN: ClassNo = usize::MAX;

/// A class: its name, and what holds for its messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// As clients name it.
    pub name: String,
    /// What holds for messages that are taken on by it.
    pub rules: MessageRules,
}

impl Class {
    /// The class in bytes, and its key.
    pub(super) fn encoded(&self) -> (ClassKey, Vec<u8>) {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        (xxh3_64(&bytes), bytes)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    name: String,
    /// None where only the name was said.
    known: Option<(ClassKey, MessageRules)>,
}

/// All classes that anybody goes by.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    entries: BTreeMap<ClassNo, Entry>,
    by_key: BTreeMap<ClassKey, ClassNo>,
    next: ClassNo,
    /// Those by which messages are taken on, by their places in the settings.
    in_force: Vec<ClassNo>,
}

impl From<Vec<String>> for Classes {
    fn from(names: Vec<String>) -> Classes {
        let mut classes = Classes::default();
        for name in names {
            let no = classes.add(Entry { name, known: None });
            classes.in_force.push(no);
        }
        classes
    }
}

impl Classes {
    /// Those of these settings, named in their order.
    pub fn of(names: &[String], settings: &Settings) -> Classes {
        let mut classes = Classes::from(names.to_vec());
        classes.put_in_force(names, settings);
        classes
    }

    fn add(&mut self, entry: Entry) -> ClassNo {
        let no = self.next;
        self.next += 1;
        self.entries.insert(no, entry);
        no
    }

    /// Messages are taken on by these classes from now on. Returns their numbers, by their places.
    pub fn put_in_force(&mut self, names: &[String], settings: &Settings) -> Vec<ClassNo> {
        let named = names.iter().enumerate();
        let classes = named
            .filter_map(|(place, name)| Some(Class { name: name.clone(), rules: settings.rules_of(place)? }));
        self.in_force =
            classes.collect::<Vec<Class>>().into_iter().map(|class| self.number_of(class)).collect();
        self.in_force.clone()
    }

    /// The number of a class: that of the same one, of one that had only its name until now, or a new one.
    pub(super) fn number_of(&mut self, class: Class) -> ClassNo {
        let (key, _) = class.encoded();
        if let Some(no) = self.by_key.get(&key) {
            return *no;
        }
        let Class { name, rules } = class;
        let without =
            self.entries.iter().find(|(_, e)| e.known.is_none() && e.name == name).map(|(no, _)| *no);
        let no = without.unwrap_or_else(|| self.add(Entry { name, known: None }));
        if let Some(entry) = self.entries.get_mut(&no) {
            entry.known = Some((key, rules));
        }
        self.by_key.insert(key, no);
        no
    }

    /// The number of the class that the journal names by this key.
    pub(super) fn find(&self, key: ClassKey) -> Option<ClassNo> {
        self.by_key.get(&key).copied()
    }

    /// The number of the class by which messages of this name are taken on.
    pub fn named(&self, name: &str) -> Option<ClassNo> {
        self.in_force.iter().copied().find(|no| self.name(*no) == name)
    }

    /// The name of a class; empty where it is not known.
    pub fn name(&self, no: ClassNo) -> &str {
        self.entries.get(&no).map_or("", |entry| &entry.name)
    }

    /// What holds for messages of a class.
    pub fn rules(&self, no: ClassNo) -> Option<&MessageRules> {
        self.entries.get(&no)?.known.as_ref().map(|(_, rules)| rules)
    }

    /// By what the journal names a class, where its rules are known.
    pub(super) fn key(&self, no: ClassNo) -> Option<ClassKey> {
        self.entries.get(&no)?.known.as_ref().map(|(key, _)| *key)
    }

    /// A class as a whole, where its rules are known.
    pub(super) fn get(&self, no: ClassNo) -> Option<Class> {
        Some(Class { name: self.name(no).to_string(), rules: self.rules(no)?.clone() })
    }

    /// The numbers of those in force, by their places.
    pub fn in_force(&self) -> &[ClassNo] {
        &self.in_force
    }

    /// Those that are not in force.
    pub fn older(&self) -> impl Iterator<Item = (ClassNo, &MessageRules)> {
        let older = self.entries.iter().filter(|(no, _)| !self.in_force.contains(no));
        older.filter_map(|(no, _)| Some((*no, self.rules(*no)?)))
    }

    /// Lets go of those that are not in force and that nobody uses.
    pub fn retain(&mut self, is_used: impl Fn(ClassNo) -> bool) {
        let in_force = &self.in_force;
        self.entries.retain(|no, _| in_force.contains(no) || is_used(*no));
        self.by_key.retain(|_, no| self.entries.contains_key(no));
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
