//! Forms calls of what the module has released to a next hop: lets a call wait to be filled where that pays, learns
//! what calls cost, and says how large they should be.

use super::pace::{self, Arrivals, Cost, Pressure};
use super::terms::{Size, Terms};
use crate::interface::Nanos;
use crate::routing::{Attempt, Call, EndpointId};
use std::collections::{BTreeSet, HashMap};

/// An attempt that the module has released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    pub attempt: Attempt,
    /// Of the call's body.
    pub bytes: usize,
    /// When its worth begins to fall.
    pub aim_at: Nanos,
    /// It may not share a call.
    pub alone: bool,
}

#[derive(Debug)]
struct Waiting {
    member: Member,
    since: Nanos,
}

#[derive(Debug)]
struct Hop {
    terms: Terms,
    /// The bound of its kind.
    allowed: usize,
    cost: Cost,
    arrivals: Arrivals,
    size: usize,
    waiting: Vec<Waiting>,
    until: Nanos,
}

impl Hop {
    fn most(&self) -> usize {
        self.terms.messages.min(self.allowed).max(1)
    }

    fn bytes(&self) -> usize {
        self.waiting.iter().map(|w| w.member.bytes).sum()
    }
}

#[derive(Debug)]
pub struct Former {
    hops: HashMap<EndpointId, Hop>,
    due: BTreeSet<(Nanos, EndpointId)>,
    /// Calls that may be out to one next hop.
    at_once: usize,
    /// Nothing waits any more.
    winding_up: bool,
}

impl Former {
    pub fn new(at_once: usize) -> Former {
        Former { hops: HashMap::new(), due: BTreeSet::new(), at_once: at_once.max(1), winding_up: false }
    }

    /// So many calls may be out to one endpoint from now on.
    pub fn set_at_once(&mut self, at_once: usize) {
        self.at_once = at_once.max(1);
    }

    /// Whether anything was released to this next hop, or its terms were set.
    pub fn knows(&self, hop: EndpointId) -> bool {
        self.hops.contains_key(&hop)
    }

    /// A next hop gets its first call, or its terms changed; its kind allows so many messages a call. What was learned stays.
    pub fn set(&mut self, hop: EndpointId, terms: Terms, allowed: usize) {
        let known = self.hops.entry(hop).or_insert_with(|| Hop {
            terms,
            allowed,
            cost: Cost::default(),
            arrivals: Arrivals::default(),
            size: usize::MAX,
            waiting: Vec::new(),
            until: 0,
        });
        (known.terms, known.allowed) = (terms, allowed.max(1));
    }

    /// Forgets what is not listed any more and has nothing that waits.
    pub fn forget(&mut self, hop: EndpointId) {
        if self.hops.get(&hop).is_some_and(|h| h.waiting.is_empty()) {
            self.hops.remove(&hop);
        }
    }

    /// Messages in a call to this next hop, as things stand.
    pub fn size(&self, hop: EndpointId) -> usize {
        self.hops.get(&hop).map_or(usize::MAX, |h| h.size.min(h.most()))
    }

    pub fn terms(&self, hop: EndpointId) -> Terms {
        self.hops.get(&hop).map(|h| h.terms).unwrap_or_default()
    }

    /// When a call that waits is to go.
    pub fn due(&self) -> Nanos {
        self.due.first().map_or(Nanos::MAX, |(at, _)| *at)
    }

    /// The module released these together; returns the calls that go now.
    pub fn release(&mut self, now: Nanos, hop: EndpointId, members: Vec<Member>) -> Vec<Call> {
        let at_once = self.at_once;
        let all = |members: &[Member]| Call {
            endpoint: hop,
            attempts: members.iter().map(|m| m.attempt).collect(),
        };
        let Some(h) = self.hops.get_mut(&hop) else { return vec![all(&members)] };
        h.arrivals.came(now, members.len());
        let most = h.size.min(h.most());
        let alone = members.iter().any(|m| m.alone);
        let first_aim = members.iter().map(|m| m.aim_at).min().unwrap_or(now);
        let affordable = first_aim.saturating_sub(now);
        let rate = h.arrivals.rate(now);
        let linger = match (self.winding_up || alone, h.terms.size) {
            (true, _) => 0,
            (_, Size::Fixed) => h.terms.linger.min(affordable / 2),
            (_, Size::Adaptive) => pace::linger(&h.cost, rate, at_once, most, affordable, h.terms.linger),
        };
        if alone || (linger == 0 && h.waiting.is_empty()) || members.len() >= most {
            return vec![all(&members)];
        }
        let (count, bytes) = (members.len(), members.iter().map(|m| m.bytes).sum::<usize>());
        let mut calls = Vec::new();
        let fits = h.waiting.len() + count <= most && h.bytes() + bytes <= h.terms.bytes;
        if !h.waiting.is_empty() && !fits {
            calls.extend(self.flush(now, hop));
        }
        let Some(h) = self.hops.get_mut(&hop) else { return calls };
        if h.waiting.is_empty() {
            h.until = now + linger;
        } else {
            self.due.remove(&(h.until, hop));
            h.until = h.until.min(now + linger);
        }
        h.waiting.extend(members.into_iter().map(|member| Waiting { member, since: now }));
        if h.waiting.len() >= most || h.until <= now {
            calls.extend(self.flush(now, hop));
        } else {
            self.due.insert((h.until, hop));
        }
        calls
    }

    /// The call that waits for this next hop goes now. Its attempts have waited: their patience is so much shorter.
    fn flush(&mut self, now: Nanos, hop: EndpointId) -> Option<Call> {
        let h = self.hops.get_mut(&hop)?;
        self.due.remove(&(h.until, hop));
        let shorter = |w: Waiting| {
            let timeout = w.member.attempt.timeout.saturating_sub(now - w.since).max(1);
            Attempt { timeout, ..w.member.attempt }
        };
        let attempts: Vec<Attempt> = h.waiting.drain(..).map(shorter).collect();
        (!attempts.is_empty()).then_some(Call { endpoint: hop, attempts })
    }

    /// Lets time pass: the calls whose wait is over.
    pub fn tick(&mut self, now: Nanos) -> Vec<Call> {
        self.flush_until(now, now)
    }

    fn flush_until(&mut self, now: Nanos, until: Nanos) -> Vec<Call> {
        let mut calls = Vec::new();
        while let Some((at, hop)) = self.due.first().copied().filter(|(at, _)| *at <= until) {
            self.due.remove(&(at, hop));
            calls.extend(self.flush(now, hop));
        }
        calls
    }

    /// Nothing waits from now on; returns what did.
    pub fn wind_up(&mut self, now: Nanos) -> Vec<Call> {
        self.winding_up = true;
        self.flush_until(now, Nanos::MAX)
    }

    /// An attempt is not to go any more; true where it waited here, and so never went.
    pub fn withdraw(&mut self, hop: EndpointId, transaction: u64, attempt: u32) -> Option<Attempt> {
        let h = self.hops.get_mut(&hop)?;
        let is =
            |w: &Waiting| (w.member.attempt.transaction, w.member.attempt.number) == (transaction, attempt);
        let at = h.waiting.iter().position(is)?;
        let gone = h.waiting.remove(at).member.attempt;
        if h.waiting.is_empty() {
            self.due.remove(&(h.until, hop));
        }
        Some(gone)
    }

    /// Where an attempt waits, looked for among the few next hops for which any does.
    pub fn find(&self, transaction: u64) -> Option<EndpointId> {
        let mut waiting = self.due.iter().map(|(_, hop)| *hop);
        waiting.find(|hop| {
            let of = self.hops.get(hop);
            of.is_some_and(|h| h.waiting.iter().any(|w| w.member.attempt.transaction == transaction))
        })
    }

    /// A next hop is to get nothing more: what waited for it, which never went.
    pub fn recall(&mut self, now: Nanos, hop: EndpointId) -> Vec<Attempt> {
        self.flush(now, hop).map_or(Vec::new(), |call| call.attempts)
    }

    /// A call of `n` messages ended, after `took` where it was served. Returns the size of its next calls where that
    /// changed.
    pub fn ended(
        &mut self,
        now: Nanos,
        hop: EndpointId,
        n: usize,
        took: Option<Nanos>,
        pressure: Pressure,
    ) -> Option<usize> {
        let at_once = self.at_once;
        let h = self.hops.get_mut(&hop)?;
        if let Some(took) = took {
            h.cost.saw(n, took);
        }
        let size = match h.terms.size {
            Size::Fixed => h.most(),
            Size::Adaptive => pace::size(&h.cost, h.arrivals.rate(now), at_once, pressure, h.most()),
        };
        let before = std::mem::replace(&mut h.size, size);
        (before.min(h.most()) != size).then_some(size)
    }
}
