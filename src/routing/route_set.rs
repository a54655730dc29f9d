//! The route set: the next hops that the list names, under numbers of our own.

use super::facade::NextHopId;
use crate::interface::Terms;
use std::collections::HashMap;
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

#[derive(Debug, Default)]
pub struct RouteSet {
    ids: HashMap<String, NextHopId>,
    next_hops: Vec<NextHop>,
}

impl RouteSet {
    /// Takes in news and returns its entries under our numbers.
    pub fn learn(&mut self, news: &RouteNews) -> Vec<NextHop> {
        if news.whole {
            self.next_hops.iter_mut().for_each(|n| n.standing = Standing::Left);
        }
        let mut known = Vec::new();
        for told in &news.next_hops {
            let next = self.next_hops.len() as NextHopId;
            let id = *self.ids.entry(told.name.clone()).or_insert(next);
            let hop = NextHop { id, ..told.clone() };
            match self.next_hops.get_mut(id as usize) {
                Some(old) => *old = hop.clone(),
                None => self.next_hops.push(hop.clone()),
            }
            known.push(hop);
        }
        known
    }

    pub fn find(&self, name: &str) -> Option<NextHopId> {
        self.ids.get(name).copied()
    }

    pub fn get(&self, id: NextHopId) -> Option<&NextHop> {
        self.next_hops.get(id as usize)
    }
}
