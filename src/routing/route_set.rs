//! The route set: the next hops that the list names, under numbers of our own.

use super::values::NextHopId;
use crate::interface::{Nanos, Terms};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// What the list says of a next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Active,
    /// It finishes what it has and wants nothing new.
    Leaving,
    Left,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NextHop {
    pub id: NextHopId,
    pub name: String,
    pub dial: SocketAddr,
    pub dest: u64,
    pub kind: usize,
    pub zone: usize,
    pub standing: Standing,
    pub share: f64,
    /// Terms of an operator's own list; none in discovery's.
    pub terms: Option<Terms>,
}

/// A list, or the changes of one, as a front decoded it; the numbers are given by the route set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteNews {
    pub seq: u64,
    pub whole: bool,
    pub next_hops: Vec<NextHop>,
}

/// A next hop that has left is remembered for so long: a list may come back to it.
const REMEMBERED: Nanos = 30_000_000_000;

/// What has left is forgotten after a while, its number never given again: a new next hop at an old address
/// has nothing of the one before it.
#[derive(Debug, Default)]
pub struct RouteSet {
    ids: HashMap<String, NextHopId>,
    /// With the time since when it is not active.
    next_hops: BTreeMap<NextHopId, (NextHop, Option<Nanos>)>,
    /// How many of them there are for a destination.
    of_dest: HashMap<u64, usize>,
    next: NextHopId,
}

fn leaves(of_dest: &mut HashMap<u64, usize>, dest: u64) {
    if let Some(n) = of_dest.get_mut(&dest) {
        *n -= 1;
        if *n == 0 {
            of_dest.remove(&dest);
        }
    }
}

impl RouteSet {
    /// All next hops that are listed, or were until lately.
    pub fn iter(&self) -> impl Iterator<Item = &NextHop> {
        self.next_hops.values().map(|(hop, _)| hop)
    }

    /// Takes in news and returns its entries under our numbers.
    pub fn learn(&mut self, now: Nanos, news: &RouteNews) -> Vec<NextHop> {
        if news.whole {
            for (n, rests) in self.next_hops.values_mut() {
                n.standing = Standing::Left;
                rests.get_or_insert(now);
            }
        }
        let mut known = Vec::new();
        for told in &news.next_hops {
            let id = *self.ids.entry(told.name.clone()).or_insert_with(|| {
                self.next += 1;
                self.next - 1
            });
            let hop = NextHop { id, ..told.clone() };
            let rested = self.next_hops.get(&id).and_then(|(_, rests)| *rests);
            let rests = (hop.standing != Standing::Active).then(|| rested.unwrap_or(now));
            *self.of_dest.entry(hop.dest).or_default() += 1;
            if let Some((old, _)) = self.next_hops.insert(id, (hop.clone(), rests)) {
                leaves(&mut self.of_dest, old.dest);
            }
            known.push(hop);
        }
        self.next_hops.retain(|_, (hop, rests)| {
            let kept = hop.standing != Standing::Left || rests.is_none_or(|at| now < at + REMEMBERED);
            if !kept {
                self.ids.remove(&hop.name);
                leaves(&mut self.of_dest, hop.dest);
            }
            kept
        });
        known
    }

    pub fn find(&self, name: &str) -> Option<NextHopId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: NextHopId) -> Option<&NextHop> {
        Some(&self.next_hops.get(&id)?.0)
    }

    /// Those that are not active.
    pub fn resting(&self) -> impl Iterator<Item = NextHopId> + '_ {
        self.next_hops.iter().filter(|(_, (_, rests))| rests.is_some()).map(|(id, _)| *id)
    }

    /// Whether any next hop is, or was a moment ago, there for this destination. A relay without a list
    /// cannot tell.
    pub fn serves(&self, dest: u64) -> bool {
        self.next_hops.is_empty() || self.of_dest.contains_key(&dest)
    }
}
