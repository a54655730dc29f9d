//! A list on its way into force: compared with what is known as it is decoded, then applied piece by piece.
//!
//! An entry that says what is known already costs a bit. What differs is staged by destination: the entries of one
//! destination, and those of destinations between which an endpoint moves, come into force together.

use super::endpoint::{Endpoint, EndpointId, EndpointState};
use super::entry::Entry;
use super::names::{name_hash, NameIndex};
use super::store::EndpointCatalog;
use super::table::PAGE;
use std::collections::{BTreeMap, BTreeSet};

/// Entries in a piece at most, unless one destination has more.
pub const MOST_IN_A_PIECE: usize = 256;
/// Entries, and destinations, that come into force together at most because endpoints move between them.
pub const MOST_MOVED_TOGETHER: usize = 1_024;
/// Pages of the catalog that are looked over for departures at a time.
const PAGES_IN_A_LOOK: usize = 64;
/// Staged entries in a chunk: large enough to go back to the system as a whole.
const CHUNK: usize = 4_096;
/// Ends the chain of a destination's entries.
const NONE: u32 = u32::MAX;

#[derive(Debug)]
struct Staged {
    /// None where a later entry of the same name stands in its place.
    entry: Option<Entry>,
    hash: u64,
    /// The next entry of the same destination.
    next: u32,
}

/// What changes at a destination.
#[derive(Debug)]
struct Group {
    first: u32,
    last: u32,
    entries: u32,
}

impl Default for Group {
    fn default() -> Self {
        Group { first: NONE, last: NONE, entries: 0 }
    }
}

/// Staged entries, given back to the system once all of them have been applied.
#[derive(Debug)]
struct Chunk {
    staged: Vec<Staged>,
    /// Places of which the destination has not come into force yet.
    pending: usize,
}

/// The entries of one list until it has come whole.
#[derive(Debug)]
pub struct Draft {
    version: u64,
    /// Numbers that the list names, by page.
    seen: BTreeMap<u32, u64>,
    chunks: Vec<Chunk>,
    /// Places of staged entries by name.
    names: NameIndex,
    groups: BTreeMap<u64, Group>,
    /// Endpoints that have left, by destination; each of these has a group.
    departures: BTreeMap<u64, Vec<EndpointId>>,
    /// Destinations at which something goes or drains: their groups come first.
    urgent: BTreeSet<u64>,
    /// Destinations between which an endpoint moves.
    moves: BTreeMap<u64, Vec<u64>>,
}

impl Draft {
    pub(super) fn new(version: u64) -> Draft {
        Draft {
            version,
            seen: BTreeMap::new(),
            chunks: Vec::new(),
            names: NameIndex::default(),
            groups: BTreeMap::new(),
            departures: BTreeMap::new(),
            urgent: BTreeSet::new(),
            moves: BTreeMap::new(),
        }
    }

    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Takes the next entry in. Of several under one name the last one stands.
    pub fn entry(&mut self, catalog: &EndpointCatalog, endpoint: Endpoint) {
        let hash = name_hash(&endpoint.name);
        let id = catalog.find_hashed(hash, &endpoint.name);
        let is_first = id.is_some_and(|id| self.see(id));
        let earlier = if is_first { None } else { self.find_staged(hash, &endpoint.name) };
        let known = id.and_then(|id| catalog.entry(id));
        if known.is_some_and(|known| known.matches(&endpoint)) {
            if let Some(place) = earlier {
                self.unstage(place);
            }
            return;
        }
        let moved_from = known.map(|known| known.dest).filter(|dest| *dest != endpoint.dest);
        if let Some(from) = moved_from {
            self.link(from, endpoint.dest);
        }
        if endpoint.state != EndpointState::Active || moved_from.is_some() {
            self.urgent.insert(endpoint.dest);
        }
        self.stage(hash, earlier, endpoint.into());
    }

    /// Marks a number as named; false where it was already.
    fn see(&mut self, id: EndpointId) -> bool {
        let page = self.seen.entry(id / PAGE).or_default();
        let bit = 1 << (id % PAGE);
        let is_new = *page & bit == 0;
        *page |= bit;
        is_new
    }

    fn staged(&self, place: u32) -> &Staged {
        &self.chunks[place as usize / CHUNK].staged[place as usize % CHUNK]
    }

    fn staged_mut(&mut self, place: u32) -> &mut Staged {
        &mut self.chunks[place as usize / CHUNK].staged[place as usize % CHUNK]
    }

    fn find_staged(&self, hash: u64, name: &str) -> Option<u32> {
        let is = |place| self.staged(place).entry.as_ref().is_some_and(|e| *e.name == *name);
        self.names.find(hash, is)
    }

    /// Stages an entry, in the place of an earlier one of its name where both are of one destination.
    fn stage(&mut self, hash: u64, earlier: Option<u32>, entry: Entry) {
        if let Some(place) = earlier {
            let stands = self.staged_mut(place).entry.as_mut().filter(|e| e.dest == entry.dest);
            match stands {
                Some(stands) => {
                    *stands = entry;
                    return;
                }
                None => self.unstage(place),
            }
        }
        let dest = entry.dest;
        let place = self.push(Staged { entry: Some(entry), hash, next: NONE });
        let group = self.groups.entry(dest).or_default();
        group.entries += 1;
        let last = std::mem::replace(&mut group.last, place);
        if last == NONE {
            group.first = place;
        } else {
            self.staged_mut(last).next = place;
        }
        let chunks = &self.chunks;
        let hash_of = |place: u32| chunks[place as usize / CHUNK].staged[place as usize % CHUNK].hash;
        self.names.insert(hash, place, hash_of);
    }

    fn push(&mut self, staged: Staged) -> u32 {
        if self.chunks.last().is_none_or(|chunk| chunk.staged.len() == CHUNK) {
            self.chunks.push(Chunk { staged: Vec::with_capacity(CHUNK), pending: 0 });
        }
        let full = (self.chunks.len() - 1) * CHUNK;
        self.chunks.last_mut().map_or(NONE, |chunk| {
            chunk.staged.push(staged);
            chunk.pending += 1;
            (full + chunk.staged.len() - 1) as u32
        })
    }

    fn unstage(&mut self, place: u32) {
        let Some(dest) = self.staged_mut(place).entry.take().map(|entry| entry.dest) else { return };
        let Some(group) = self.groups.get_mut(&dest) else { return };
        group.entries -= 1;
        if group.entries == 0 {
            self.groups.remove(&dest);
        }
    }

    fn link(&mut self, from: u64, to: u64) {
        self.moves.entry(from).or_default().push(to);
        self.moves.entry(to).or_default().push(from);
    }

    /// Entries and departures of a destination.
    fn len_of(&self, dest: u64) -> usize {
        let departures = self.departures.get(&dest).map_or(0, Vec::len);
        self.groups.get(&dest).map_or(0, |group| group.entries as usize) + departures
    }

    /// Places of the entries of a group, those that no longer stand included.
    fn places_of(&self, group: &Group) -> Vec<u32> {
        let first = Some(group.first).filter(|place| *place != NONE);
        let next = |place: &u32| Some(self.staged(*place).next).filter(|place| *place != NONE);
        std::iter::successors(first, next).collect()
    }

    /// Nothing stands at this place any more. A chunk of which that holds everywhere gives its memory back.
    fn release(&mut self, place: u32) {
        let chunk = &mut self.chunks[place as usize / CHUNK];
        chunk.pending -= 1;
        if chunk.pending == 0 && chunk.staged.len() == CHUNK {
            chunk.staged = Vec::new();
        }
    }

    /// The list has come whole; `whole`: it replaces all that was known.
    pub fn complete(mut self, whole: bool) -> PendingUpdate {
        // Nothing is staged under a name any more.
        self.names = NameIndex::default();
        PendingUpdate { draft: self, look_from: whole.then_some(0) }
    }
}

/// A part of an update that comes into force as one.
#[derive(Debug)]
pub struct Piece {
    pub(super) departures: Vec<EndpointId>,
    pub(super) entries: Vec<Entry>,
    pub(super) is_last: bool,
}

impl Piece {
    /// Endpoints that it speaks of.
    pub fn len(&self) -> usize {
        self.departures.len() + self.entries.len()
    }

    /// Whether it speaks of none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Destinations of its entries, in their order.
    pub fn dests(&self) -> impl Iterator<Item = u64> + '_ {
        self.entries.iter().map(|entry| entry.dest)
    }

    /// Endpoints that have left the list.
    pub fn departures(&self) -> &[EndpointId] {
        &self.departures
    }
}

/// What a step of an update came to.
#[derive(Debug)]
pub enum Progress {
    /// Nothing to apply yet.
    Looking,
    /// This is to be applied before the next step.
    Piece(Piece),
    /// The update is in force.
    Done,
}

/// An update that is being put in force. Nothing else may be applied to the catalog until it is done.
#[derive(Debug)]
pub struct PendingUpdate {
    draft: Draft,
    /// The page from which on departures are still to be looked for.
    look_from: Option<u32>,
}

impl PendingUpdate {
    /// Takes the next step, of bounded length.
    pub fn advance(&mut self, catalog: &EndpointCatalog) -> Progress {
        if let Some(first) = self.look_from.take() {
            self.look_from = self.look_for_departures(catalog, first);
            return Progress::Looking;
        }
        let piece = self.next_piece();
        if piece.is_empty() && piece.is_last {
            return Progress::Done;
        }
        Progress::Piece(piece)
    }

    /// Departures on the next few pages; the page from which on to look the next time.
    fn look_for_departures(&mut self, catalog: &EndpointCatalog, first: u32) -> Option<u32> {
        let mut pages = catalog.table().pages_from(first);
        for (page, entries) in pages.by_ref().take(PAGES_IN_A_LOOK) {
            let seen = self.draft.seen.get(&page).copied().unwrap_or(0);
            let is_seen = |id: EndpointId| seen & (1 << (id % PAGE)) != 0;
            for (id, entry) in entries.filter(|(id, e)| !is_seen(*id) && e.state != EndpointState::Left) {
                self.draft.groups.entry(entry.dest).or_default();
                self.draft.departures.entry(entry.dest).or_default().push(id);
                self.draft.urgent.insert(entry.dest);
            }
        }
        pages.next().map(|(page, _)| page)
    }

    fn next_piece(&mut self) -> Piece {
        let (mut places, mut departures) = (Vec::new(), Vec::new());
        let urgent = |draft: &Draft| draft.urgent.first().or(draft.groups.keys().next()).copied();
        while let Some(dest) = urgent(&self.draft) {
            let dests = self.moved_together(dest);
            let more: usize = dests.iter().map(|dest| self.draft.len_of(*dest)).sum();
            let taken = places.len() + departures.len();
            if taken > 0 && taken + more > MOST_IN_A_PIECE {
                break;
            }
            for dest in dests {
                self.draft.urgent.remove(&dest);
                self.draft.moves.remove(&dest);
                departures.extend(self.draft.departures.remove(&dest).unwrap_or_default());
                if let Some(group) = self.draft.groups.remove(&dest) {
                    places.extend(self.draft.places_of(&group));
                }
            }
        }
        // In the order listed.
        places.sort_unstable();
        let entries = places.iter().filter_map(|place| self.draft.staged_mut(*place).entry.take()).collect();
        places.iter().for_each(|place| self.draft.release(*place));
        Piece { departures, entries, is_last: self.draft.groups.is_empty() }
    }

    /// This destination and those that an endpoint moves from or to, as far as they have anything to apply. A chain of
    /// them that is too long is cut: no message waits for half of the list.
    fn moved_together(&self, dest: u64) -> BTreeSet<u64> {
        let len = |dest: &u64| self.draft.len_of(*dest);
        let (mut dests, mut open, mut entries) = (BTreeSet::from([dest]), vec![dest], len(&dest));
        while let Some(dest) = open.pop() {
            for other in self.draft.moves.get(&dest).into_iter().flatten() {
                let more = entries + len(other);
                let fits = dests.len() < MOST_MOVED_TOGETHER && more <= MOST_MOVED_TOGETHER;
                if fits && dests.insert(*other) {
                    entries = more;
                    open.push(*other);
                }
            }
        }
        dests
    }
}
