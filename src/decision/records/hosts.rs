//! All hosts that are listed or were a moment ago, and the indexes over them. What a host costs that is never called
//! is what is listed of it: walks go over those that are called, and over those that leave.

use super::host::{Condition, Host, Profiles};
use crate::decision::interface::{CallTerms, DestId, Entry, HostId, Kind, Listing, Nanos, Terms};
use crate::decision::table::Table;
use smallvec::SmallVec;
use std::collections::{BTreeSet, HashMap};
use std::ops::Index;

/// A host that has left is remembered for so long: a list may come back to it.
const REMEMBERED: Nanos = 30_000_000_000;
/// What calls have shown of a host, or of a route, that is still listed is remembered for so long after the last of them.
pub(super) const IDLE_REMEMBERED: Nanos = 900_000_000_000;

/// What an entry of the list changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Nothing,
    /// The state, the scale, the kind or the zone of a host that is known.
    Listing,
    /// The host is new.
    New,
    /// The host belonged to another destination and starts anew.
    Moved,
}

#[derive(Debug, Default)]
pub(crate) struct Hosts {
    table: Table<Host>,
    /// Those that have a condition.
    used: BTreeSet<HostId>,
    /// Those that have left, by the time from which on they may be forgotten, and some that came back since.
    leaving: BTreeSet<(Nanos, HostId)>,
    /// The hosts of each destination that has any, in the order in which they came to it.
    of: HashMap<DestId, SmallVec<[HostId; 4]>>,
    profiles: Profiles,
}

impl Index<&HostId> for Hosts {
    type Output = Host;

    fn index(&self, id: &HostId) -> &Host {
        self.get(id).expect("a host that is known")
    }
}

impl Hosts {
    pub fn get(&self, id: &HostId) -> Option<&Host> {
        self.table.get(*id)
    }

    /// A host of which the condition changes: it has one from now on.
    pub fn get_mut(&mut self, id: &HostId) -> Option<&mut Host> {
        let host = self.table.get_mut(*id)?;
        if !host.has_condition() {
            host.begin();
            self.used.insert(*id);
        }
        Some(host)
    }

    /// A host that has a condition.
    pub fn used_mut(&mut self, id: &HostId) -> Option<&mut Host> {
        self.table.get_mut(*id).filter(|h| h.has_condition())
    }

    pub fn contains_key(&self, id: &HostId) -> bool {
        self.get(id).is_some()
    }

    /// The hosts of a destination, in the order in which they came to it.
    pub fn of(&self, dest: DestId) -> &[HostId] {
        self.of.get(&dest).map_or(&[], |hosts| hosts)
    }

    /// Whether a destination has any.
    pub fn serve(&self, dest: DestId) -> bool {
        self.of.contains_key(&dest)
    }

    /// Those that have a condition, with it.
    pub fn conditions(&self) -> impl Iterator<Item = (HostId, &Condition)> {
        self.used.iter().filter_map(|id| Some((*id, self.table.get(*id)?.condition()?)))
    }

    /// All conditions, by the numbers of their hosts.
    pub fn for_each_used(&mut self, mut change: impl FnMut(&mut Condition)) {
        for id in &self.used {
            if let Some(condition) = self.table.get_mut(*id).and_then(Host::condition_mut) {
                change(condition);
            }
        }
    }

    /// Takes in an entry of the list; `lot` is drawn for a host that is new.
    pub fn list(&mut self, now: Nanos, e: &Entry, kind: Kind, lot: impl FnOnce() -> u32) -> Change {
        let change = match self.table.get_mut(e.host) {
            Some(h) if h.dest == e.dest => {
                let relisted = self.profiles.relist(h, kind, e.zone);
                let is_same = h.state == e.state && h.scale == e.scale && !relisted;
                (h.state, h.scale) = (e.state, e.scale);
                if is_same {
                    Change::Nothing
                } else {
                    Change::Listing
                }
            }
            known => {
                let change = if known.is_some() { Change::Moved } else { Change::New };
                let host = self.profiles.host(e, kind, lot(), now);
                self.add(e.host, host);
                change
            }
        };
        if change != Change::Nothing && e.state == Listing::Gone {
            self.leaves(e.host);
        }
        change
    }

    /// Those that are listed now and not among these, which are in order, have left; returns them.
    pub fn leave_but(&mut self, listed: &[HostId]) -> Vec<HostId> {
        let gone = |id: &HostId, h: &Host| h.state != Listing::Gone && listed.binary_search(id).is_err();
        let left: Vec<HostId> = self.table.iter().filter(|(id, h)| gone(id, h)).map(|(id, _)| id).collect();
        for id in &left {
            if let Some(host) = self.table.get_mut(*id) {
                host.state = Listing::Gone;
            }
            self.leaves(*id);
        }
        left
    }

    /// Forgets those that left long enough ago and have no call out; returns them.
    pub fn forget_left(&mut self, now: Nanos) -> Vec<HostId> {
        let mut forgotten = Vec::new();
        while let Some((_, id)) = self.leaving.first().copied().filter(|(due, _)| *due < now) {
            self.leaving.pop_first();
            let Some(host) = self.get(&id).filter(|h| h.state == Listing::Gone) else { continue };
            // The end of a call that is out counts as its last use.
            let used = if host.out > 0 { now } else { host.last_used };
            let due = used.saturating_add(REMEMBERED);
            if due >= now {
                self.leaving.insert((due, id));
            } else {
                self.remove(id);
                forgotten.push(id);
            }
        }
        forgotten
    }

    /// Lets go of the conditions that have decided nothing for long; `binds` tells which must stay.
    pub fn rest(&mut self, now: Nanos, warm_up: Nanos, binds: impl Fn(HostId, &Host) -> bool) {
        let table = &mut self.table;
        self.used.retain(|id| match table.get_mut(*id) {
            Some(host) if !binds(*id, host) => !host.rest(now, IDLE_REMEMBERED, warm_up),
            host => host.is_some(),
        });
    }

    pub fn set_terms(&mut self, id: HostId, terms: Terms) {
        if let Some(host) = self.table.get_mut(id) {
            let terms = Terms { call: host.terms().call, ..terms };
            self.profiles.set_terms(host, terms);
        }
    }

    pub fn set_call(&mut self, id: HostId, call: CallTerms) {
        if let Some(host) = self.table.get_mut(id) {
            let terms = Terms { call, ..*host.terms() };
            self.profiles.set_terms(host, terms);
        }
    }

    /// Records a host anew under its destination, with the calls that are still out to it.
    fn add(&mut self, id: HostId, mut host: Host) {
        let old = self.remove(id);
        if let Some(out) = old.map(|old| old.out).filter(|out| *out > 0) {
            host.out = out;
            self.used.insert(id);
        }
        self.of.entry(host.dest).or_default().push(id);
        self.table.insert(id, host);
    }

    fn remove(&mut self, id: HostId) -> Option<Host> {
        let host = self.table.remove(id)?;
        self.used.remove(&id);
        if let Some(hosts) = self.of.get_mut(&host.dest) {
            hosts.retain(|h| *h != id);
            if hosts.is_empty() {
                self.of.remove(&host.dest);
            }
        }
        Some(host)
    }

    fn leaves(&mut self, id: HostId) {
        if let Some(host) = self.get(&id) {
            self.leaving.insert((host.last_used.saturating_add(REMEMBERED), id));
        }
    }
}
