//! The endpoint catalog: what the list names, under numbers of our own.

use super::endpoint::{EndpointId, EndpointState, EndpointView};
use super::entry::Entry;
use super::names::{name_hash, NameIndex};
use super::table::PagedTable;
use super::update::{Draft, Piece};
use crate::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// An endpoint that has left is remembered for so long since it was last active: a list may come back to it.
const REMEMBERED: Nanos = 30_000_000_000;
/// So many are forgotten at a time, and the next ones after a pause: no message waits while a whole list is forgotten.
const MOST_FORGOTTEN: usize = 256;
const FORGETS_EACH: Nanos = 2_000_000;

/// What has left is forgotten after a while, its number never given again: a new endpoint at an old address
/// has nothing of the one before it.
#[derive(Debug, Default)]
pub struct EndpointCatalog {
    table: PagedTable<Entry>,
    names: NameIndex,
    /// How many endpoints there are for a destination.
    of_dest: BTreeMap<u64, u32>,
    /// Those that are not active, and since when.
    resting: BTreeMap<EndpointId, Nanos>,
    /// Those that have left, by the time at which they are forgotten.
    departed: BTreeSet<(Nanos, EndpointId)>,
    /// Nothing is forgotten before.
    pause_until: Nanos,
    next: EndpointId,
    /// Counts the pieces put in force.
    version: u64,
    /// A list was put in force to its end, and something is known since.
    is_known: bool,
}

/// What a piece has changed.
#[derive(Debug, Default)]
pub struct Applied {
    /// Endpoints of which something is different now, in the order listed; those that have left the list come first.
    pub changed: Vec<EndpointId>,
    /// What went to make room for it.
    pub forgotten: Forgotten,
}

/// What the catalog does not know any more.
#[derive(Debug, Default)]
pub struct Forgotten {
    /// Numbers that are never given again.
    pub endpoints: Vec<EndpointId>,
    /// The names that these had.
    pub names: Vec<Box<str>>,
    /// Destinations for which no endpoint is known.
    pub dests: Vec<u64>,
}

impl EndpointCatalog {
    /// All endpoints that are listed, or were until lately.
    pub fn iter(&self) -> impl Iterator<Item = EndpointView<'_>> {
        self.table.iter().map(|(id, entry)| entry.view(id))
    }

    /// Endpoints that are not active, as far as they are remembered.
    pub fn resting(&self) -> impl Iterator<Item = EndpointView<'_>> {
        self.resting.keys().filter_map(|id| self.get(*id))
    }

    /// The number of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.find_hashed(name_hash(name), name)
    }

    pub(super) fn find_hashed(&self, hash: u64, name: &str) -> Option<EndpointId> {
        self.names.find(hash, |id| self.table.get(id).is_some_and(|entry| *entry.name == *name))
    }

    /// The number of the endpoint whose name has this hash.
    pub fn find_by_hash(&self, hash: u64) -> Option<EndpointId> {
        self.names.find(hash, |id| self.table.get(id).is_some_and(|entry| name_hash(&entry.name) == hash))
    }

    /// The endpoint with this number.
    pub fn get(&self, id: EndpointId) -> Option<EndpointView<'_>> {
        Some(self.table.get(id)?.view(id))
    }

    pub(super) fn entry(&self, id: EndpointId) -> Option<&Entry> {
        self.table.get(id)
    }

    pub(super) fn table(&self) -> &PagedTable<Entry> {
        &self.table
    }

    /// Whether any endpoint is, or was a moment ago, there for this destination. A relay without a list
    /// cannot tell, nor can one that has the first part of its first list.
    pub fn serves(&self, dest: u64) -> bool {
        !self.is_known || self.of_dest.contains_key(&dest)
    }

    /// Whether an endpoint of this destination is known.
    pub fn has(&self, dest: u64) -> bool {
        self.of_dest.contains_key(&dest)
    }

    /// When the next one is to be forgotten.
    pub fn due(&self) -> Nanos {
        self.departed.first().map_or(Nanos::MAX, |(due, _)| (*due).max(self.pause_until))
    }

    /// Begins a draft, which compares a list with what is in force now.
    pub fn begin(&self) -> Draft {
        Draft::new(self.version)
    }

    /// Whether nothing was put in force since this draft was begun.
    pub fn is_current(&self, draft: &Draft) -> bool {
        draft.version() == self.version
    }

    /// Puts a piece of an update in force.
    pub fn apply(&mut self, now: Nanos, piece: Piece) -> Applied {
        self.version += 1;
        let mut applied = Applied::default();
        for id in piece.departures {
            if let Some(entry) = self.table.get_mut(id).filter(|e| e.state != EndpointState::Left) {
                entry.state = EndpointState::Left;
                self.note_state(now, id, EndpointState::Left);
                applied.changed.push(id);
            }
        }
        for entry in piece.entries {
            applied.changed.extend(self.put(now, entry, &mut applied.forgotten));
        }
        self.is_known |= piece.is_last && !self.table.is_empty();
        applied
    }

    /// Takes an entry in; its number where it says anything new.
    fn put(&mut self, now: Nanos, mut entry: Entry, forgotten: &mut Forgotten) -> Option<EndpointId> {
        let hash = name_hash(&entry.name);
        let known = self.find_hashed(hash, &entry.name);
        let is_over = |id: &EndpointId| self.forgotten_at(*id).is_some_and(|due| due <= now);
        if let Some(id) = known.filter(is_over) {
            self.forget(id, forgotten);
        }
        let known = known.filter(|id| self.table.get(*id).is_some());
        if known.and_then(|id| self.table.get(id)).is_some_and(|old| *old == entry) {
            return None;
        }
        let id = known.unwrap_or_else(|| self.add_name(hash));
        let (dest, state) = (entry.dest, entry.state);
        *self.of_dest.entry(dest).or_default() += 1;
        // The name stays where it is: what comes in with a list and goes again leaves no holes.
        let before = match self.table.get_mut(id) {
            Some(old) => {
                std::mem::swap(&mut entry.name, &mut old.name);
                Some(std::mem::replace(old, entry).dest)
            }
            None => {
                self.table.insert(id, entry);
                None
            }
        };
        if let Some(dest) = before {
            self.leave(dest, forgotten);
        }
        self.note_state(now, id, state);
        Some(id)
    }

    fn add_name(&mut self, hash: u64) -> EndpointId {
        let id = self.next;
        self.next += 1;
        let table = &self.table;
        self.names.insert(hash, id, |other| table.get(other).map_or(hash, |e| name_hash(&e.name)));
        id
    }

    /// When an endpoint that has left is forgotten.
    fn forgotten_at(&self, id: EndpointId) -> Option<Nanos> {
        let has_left = self.table.get(id)?.state == EndpointState::Left;
        Some(self.resting.get(&id)? + REMEMBERED).filter(|_| has_left)
    }

    fn note_state(&mut self, now: Nanos, id: EndpointId, state: EndpointState) {
        let since = self.resting.get(&id).copied();
        if let Some(since) = since {
            self.departed.remove(&(since + REMEMBERED, id));
        }
        let since = since.unwrap_or(now);
        match state {
            EndpointState::Active => drop(self.resting.remove(&id)),
            EndpointState::Leaving => drop(self.resting.insert(id, since)),
            EndpointState::Left => {
                self.resting.insert(id, since);
                self.departed.insert((since + REMEMBERED, id));
            }
        }
    }

    /// Forgets what has been gone for long enough, some of it at a time.
    pub fn forget_due(&mut self, now: Nanos) -> Forgotten {
        let mut forgotten = Forgotten::default();
        if now < self.pause_until {
            return forgotten;
        }
        while let Some((_, id)) = self.departed.first().copied().filter(|(due, _)| *due <= now) {
            if forgotten.endpoints.len() == MOST_FORGOTTEN {
                self.pause_until = now + FORGETS_EACH;
                break;
            }
            self.forget(id, &mut forgotten);
        }
        forgotten
    }

    fn forget(&mut self, id: EndpointId, forgotten: &mut Forgotten) {
        if let Some(since) = self.resting.remove(&id) {
            self.departed.remove(&(since + REMEMBERED, id));
        }
        let Some(entry) = self.table.remove(id) else { return };
        let table = &self.table;
        let hash = name_hash(&entry.name);
        self.names.remove(hash, id, |other| table.get(other).map_or(hash, |e| name_hash(&e.name)));
        self.leave(entry.dest, forgotten);
        forgotten.endpoints.push(id);
        forgotten.names.push(entry.name);
        self.is_known &= !self.table.is_empty();
    }

    /// One endpoint less is there for a destination.
    fn leave(&mut self, dest: u64, forgotten: &mut Forgotten) {
        if let Some(count) = self.of_dest.get_mut(&dest) {
            *count -= 1;
            if *count == 0 {
                self.of_dest.remove(&dest);
                forgotten.dests.push(dest);
            }
        }
    }
}
