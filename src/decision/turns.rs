//! Indexes over what waits: whose turn it is, and which messages come to their end. They only find; what is found is
//! decided on elsewhere.

use super::interface::{DestId, MsgId, Nanos};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// A start tag, in its total order.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Tag(pub f64);

impl PartialEq for Tag {
    fn eq(&self, other: &Tag) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Tag {}

impl PartialOrd for Tag {
    fn partial_cmp(&self, other: &Tag) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Tag {
    fn cmp(&self, other: &Tag) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A place in the order of turns.
pub(crate) type Turn = (Tag, DestId);

/// Destinations with held messages. Those to which no call can go for now are set aside until a time, or until
/// something happens that may let one go.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    /// All of them: the first start tag, and until when one is set aside.
    waiting: BTreeMap<DestId, (Tag, Option<Nanos>)>,
    open: BTreeSet<Turn>,
    aside: BTreeSet<(Nanos, DestId)>,
}

impl Turns {
    /// The first start tag of a destination; `None`: nothing of it waits any more.
    pub fn set(&mut self, dest: DestId, tag: Option<f64>) {
        let (tag, known) = (tag.map(Tag), self.waiting.get(&dest).copied());
        let (old, aside) = known.map_or((None, None), |(old, aside)| (Some(old), aside));
        if old == tag {
            return;
        }
        if let Some(old) = old {
            self.open.remove(&(old, dest));
        }
        match (tag, aside) {
            (Some(tag), None) => {
                self.waiting.insert(dest, (tag, None));
                self.open.insert((tag, dest));
            }
            (Some(tag), aside) => drop(self.waiting.insert(dest, (tag, aside))),
            (None, aside) => {
                self.waiting.remove(&dest);
                if let Some(until) = aside {
                    self.aside.remove(&(until, dest));
                }
            }
        }
    }

    pub fn waits(&self, dest: DestId) -> bool {
        self.waiting.contains_key(&dest)
    }

    /// All destinations with held messages, by their numbers.
    pub fn all(&self) -> impl Iterator<Item = DestId> + '_ {
        self.waiting.keys().copied()
    }

    /// Those that are not set aside, by their tags.
    pub fn open(&self) -> impl Iterator<Item = DestId> + '_ {
        self.open.iter().map(|(_, dest)| *dest)
    }

    /// The first turn after this one.
    pub fn next(&self, after: Option<Turn>) -> Option<Turn> {
        match after {
            None => self.open.first().copied(),
            Some(turn) => self.open.range((Excluded(turn), Unbounded)).next().copied(),
        }
    }

    /// No call can go there before `until`, unless something happens. It stays where that is no time to come.
    pub fn set_aside(&mut self, dest: DestId, now: Nanos, until: Nanos) {
        if until <= now {
            return;
        }
        if let Some((tag, aside @ None)) = self.waiting.get_mut(&dest) {
            *aside = Some(until);
            self.open.remove(&(*tag, dest));
            self.aside.insert((until, dest));
        }
    }

    /// Something happened to a destination that may let a call go.
    pub fn touch(&mut self, dest: DestId) {
        let Some((tag, aside)) = self.waiting.get_mut(&dest) else { return };
        let Some(until) = aside.take() else { return };
        self.aside.remove(&(until, dest));
        self.open.insert((*tag, dest));
    }

    pub fn touch_all(&mut self) {
        self.wake(Nanos::MAX);
    }

    /// Lets in again those whose time has come.
    pub fn wake(&mut self, now: Nanos) {
        while let Some((_, dest)) = self.aside.first().copied().filter(|(at, _)| *at <= now) {
            self.touch(dest);
        }
    }

    /// When the first of those set aside comes in again.
    pub fn due(&self) -> Nanos {
        self.aside.first().map_or(Nanos::MAX, |(at, _)| *at)
    }
}

/// When messages come to their ends, and those of which something has changed that may end them sooner.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    at: BTreeMap<MsgId, Nanos>,
    by_time: BTreeSet<(Nanos, MsgId)>,
    changed: BTreeSet<MsgId>,
}

impl Ends {
    /// The message comes to its end at this time; `None`: it is gone.
    pub fn set(&mut self, id: MsgId, at: Option<Nanos>) {
        let old = match at {
            Some(at) => self.at.insert(id, at),
            None => self.at.remove(&id),
        };
        if old != at {
            if let Some(old) = old {
                self.by_time.remove(&(old, id));
            }
            if let Some(at) = at {
                self.by_time.insert((at, id));
            }
        }
        if at.is_none() {
            self.changed.remove(&id);
        }
    }

    /// Something changed that may end it at once.
    pub fn change(&mut self, id: MsgId) {
        self.changed.insert(id);
    }

    /// Those whose time has come or that have changed since the last call, by their numbers.
    pub fn take(&mut self, until: Nanos) -> BTreeSet<MsgId> {
        let mut ids = std::mem::take(&mut self.changed);
        ids.extend(self.by_time.range(..=(until, MsgId::MAX)).map(|(_, id)| *id));
        ids
    }

    pub fn first(&self) -> Option<Nanos> {
        self.by_time.first().map(|(at, _)| *at)
    }

    /// The first time behind this one.
    pub fn first_behind(&self, time: Nanos) -> Option<Nanos> {
        self.by_time.range((time.saturating_add(1), MsgId::MIN)..).next().map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the order of turns: by tag, then by number, without those set aside; one that is touched, or whose time
    /// has come, is back in its place with the tag that it has by then.
    #[test]
    fn those_set_aside_come_back_in_their_place() {
        let mut turns = Turns::default();
        for (dest, tag) in [(1, 5.0), (2, 3.0), (3, 5.0), (4, 1.0)] {
            turns.set(dest, Some(tag));
        }
        let order = |turns: &Turns| turns.open().collect::<Vec<_>>();
        assert_eq!(order(&turns), [4, 2, 1, 3]);
        turns.set_aside(4, 1, 100);
        turns.set_aside(2, 1, 50);
        turns.set(4, Some(4.0));
        assert_eq!((order(&turns), turns.due()), (vec![1, 3], 50));
        assert_eq!(turns.next(Some((Tag(5.0), 1))), Some((Tag(5.0), 3)));
        turns.touch(4);
        assert_eq!(order(&turns), [4, 1, 3]);
        turns.wake(50);
        assert_eq!((order(&turns), turns.due()), (vec![2, 4, 1, 3], Nanos::MAX));
        turns.set_aside(2, 1, 70);
        turns.set(2, None);
        turns.wake(1_000);
        assert_eq!(order(&turns), [4, 1, 3]);
        assert!(!turns.waits(2) && turns.all().eq([1, 3, 4]));
    }

    /// Guards ends: found by time, however often they moved, and those that changed are found once.
    #[test]
    fn ends_are_found_by_time_and_by_change() {
        let mut ends = Ends::default();
        for (id, at) in [(1, 30), (2, 20), (3, 10), (2, 40)] {
            ends.set(id, Some(at));
        }
        ends.set(3, None);
        ends.change(2);
        assert_eq!(ends.take(30), BTreeSet::from([1, 2]));
        assert_eq!((ends.take(30), ends.first()), (BTreeSet::from([1]), Some(30)));
    }
}
