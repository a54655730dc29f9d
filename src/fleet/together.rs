//! The relays of a fleet at their common destinations: which records this relay hears and writes, and whom it goes by.
//!
//! For each destination that is short of something one relay allocates, chosen by hash among those that tell of it. The
//! others reserve their parts with it and go by what it grants, as `pledges` says; `allocation` has what it grants, and
//! `destination` what a relay knows and may send.

use super::allocation::{Allocation, Summary, HELD};
use super::destination::{Destination, CAUSE};
use super::outage::Phase;
use super::pledges::{Written, WHOLE};
use super::record::{place, Deals, Id, Key, Record, Tells, GRANTS_MOST};
use crate::interface::{Nanos, MS};
use std::collections::{BTreeMap, HashSet};

pub use super::destination::{Deal, Own};

/// Between records.
pub const EACH: Nanos = 200 * MS;
/// A relay whose records are older tells nothing any more.
const SILENT: Nanos = 1_500 * MS;
/// Destinations told of at once.
const DESTINATIONS: usize = 24;

/// What holds of the fleet and its destinations.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub senders: u32,
    pub cold_share: f64,
    pub warm_up: Nanos,
}

impl Terms {
    /// The part that each relay has of itself.
    fn base(&self) -> u32 {
        WHOLE / self.senders.max(1)
    }
}

/// Another relay that is there, and what it last told.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    pub id: Id,
    /// Another one with every record, also over restarts.
    pub version: (u64, u64),
    pub record: &'a [u8],
}

/// What comes of a turn.
#[derive(Clone, Debug, Default)]
pub struct Turn {
    pub deals: Vec<Deal>,
    /// A record for the others.
    pub record: Option<Vec<u8>>,
    /// Those to be told of it at once.
    pub tell: Vec<Id>,
}

/// What another relay last told, and when.
#[derive(Clone, Debug)]
struct Notified {
    version: (u64, u64),
    at: Nanos,
    record: Record,
}

/// All destinations of one relay.
#[derive(Clone, Debug)]
pub struct Together {
    me: Id,
    terms: Terms,
    tick: u32,
    written: Written,
    last: Nanos,
    notified: BTreeMap<Id, Notified>,
    destinations: BTreeMap<Key, Destination>,
    /// What was last told, as others hear it.
    mine: Record,
}

impl Together {
    /// Other terms, from now on.
    pub fn set_terms(&mut self, terms: Terms) {
        self.terms = terms;
    }

    /// Numbers go on from the time at the start, so that a later life has higher ones.
    pub fn new(me: Id, terms: Terms, now: Nanos) -> Together {
        let tick = (now / (EACH / 2)) as u32;
        Together {
            me,
            terms,
            tick,
            written: Written::default(),
            last: 0,
            notified: BTreeMap::new(),
            destinations: BTreeMap::new(),
            mine: Record::default(),
        }
    }

    /// Partners that others tell of with a cause: of these, too, this relay's own standing is wanted.
    pub fn heard_of(&self, now: Nanos) -> impl Iterator<Item = Key> + '_ {
        let live = self.notified.values().filter(move |t| now < t.at + SILENT);
        live.flat_map(|t| t.record.tells.iter()).filter(|t| t.cause).map(|t| t.key)
    }

    /// Wanted about every tenth of a second. `stale`: the view of the fleet is not to be acted on.
    pub fn turn(&mut self, now: Nanos, stale: bool, peers: &[Peer<'_>], own: &[Own]) -> Turn {
        self.note_own(now, own);
        self.note_peers(now, peers);
        let mut turn = Turn::default();
        if !stale && !peers.is_empty() && now >= self.last + EACH {
            self.last = now;
            self.write(now, &mut turn);
        }
        for (key, p) in &mut self.destinations {
            let deal = p.deal(*key, now);
            if p.dealt != Some(deal) && (deal.rate.is_some() || p.dealt.is_some_and(|d| d.rate.is_some())) {
                turn.deals.push(deal);
            }
            p.dealt = Some(deal);
        }
        turn
    }

    fn note_own(&mut self, now: Nanos, own: &[Own]) {
        let base = self.terms.base();
        for o in own {
            let p = self.destinations.entry(o.key).or_insert_with(|| Destination::new(base, now));
            p.own = *o;
            p.window.add(now, [o.taken, o.served as f64, o.refused as f64]);
            let [taken, served, refused] = p.window.rates();
            p.limited = if refused > 0.0 { now } else { p.limited };
            let busy = taken + served + o.waiting > 0.0;
            if refused > 0.0 || o.down || (o.limit > 0.0 && busy) {
                p.cause = now;
            }
        }
        let spoken_of: HashSet<Key> = self.heard_of(now).chain(own.iter().map(|o| o.key)).collect();
        // What nobody has spoken of for long goes, and so does its window.
        self.destinations.retain(|key, p| now < p.cause + 2 * CAUSE || spoken_of.contains(key));
    }

    fn note_peers(&mut self, now: Nanos, peers: &[Peer<'_>]) {
        self.notified.retain(|id, _| peers.iter().any(|p| p.id == *id));
        let mut news = Vec::new();
        for peer in peers {
            if self.notified.get(&peer.id).is_some_and(|t| t.version == peer.version) {
                continue;
            }
            let Some(record) = Record::decode(peer.record) else { continue };
            news.push((peer.id, record.clone()));
            self.notified.insert(peer.id, Notified { version: peer.version, at: now, record });
        }
        for (id, record) in news {
            self.hear(now, id, &record);
        }
    }

    /// A record of another, or of this relay itself.
    fn hear(&mut self, now: Nanos, from: Id, record: &Record) {
        let base = self.terms.base();
        for t in &record.tells {
            let Some(p) = self.destinations.get_mut(&t.key) else { continue };
            if let Some(pledge) = t.pledge.filter(|pledge| pledge.to == self.me) {
                if let Some(allocation) = &mut p.allocation {
                    allocation.dealer.hear(now, from, base, record.tick, pledge, &self.written);
                }
            }
            if let Some(deals) = &t.deals {
                let grant = deals.grants.iter().find(|g| g.to == self.me).copied();
                let before = p.holder.leased(now);
                p.holder.hear(now, from, record.tick, grant, &self.written);
                let led = p.holder.leased(now) != before;
                if led || p.holder.leased(now).is_none() && p.allocation.is_none() {
                    p.whole = f64::from(deals.whole);
                }
                let since = now.saturating_sub(u64::from(deals.age) * MS);
                p.phase = match (deals.down, deals.warming) {
                    (true, _) => Phase::Down { since },
                    (_, true) => Phase::Warming { since },
                    _ => Phase::Up,
                };
                if p.phase == Phase::Up && f64::from(deals.whole) > HELD {
                    p.found = f64::from(deals.whole);
                }
            }
        }
    }

    /// Those that tell of a partner now, this relay among them.
    fn tellers(&self, now: Nanos, key: Key) -> Vec<(Id, Nanos, &Tells)> {
        let live = self.notified.iter().filter(|(_, t)| now < t.at + SILENT);
        let others = live.filter_map(|(id, t)| Some((*id, t.at, t.record.of(key)?)));
        let mine = self.mine.of(key).map(|t| (self.me, self.last, t));
        others.chain(mine).collect()
    }

    /// Writes the next record: what is known of each partner that is short, whom this relay goes by, what it deals.
    fn write(&mut self, now: Nanos, turn: &mut Turn) {
        let heard: Vec<Key> = self.heard_of(now).collect();
        let mut keys: Vec<(bool, u64, Key)> = Vec::new();
        for (key, p) in &mut self.destinations {
            if now < p.cause + CAUSE && p.cause > 0 || heard.contains(key) {
                keys.push((p.allocation.is_some(), (p.wanted() * 1e3) as u64, *key));
            } else {
                p.allocation = None;
            }
        }
        if keys.is_empty() && self.mine.tells.is_empty() {
            return;
        }
        // Those that it deals and those that it wants most come first: only so many fit.
        keys.sort_unstable_by(|a, b| b.cmp(a));
        keys.truncate(DESTINATIONS);
        self.tick = self.tick.wrapping_add(1);
        self.written.note(self.tick, now);
        let mut tells = Vec::new();
        for (_, _, key) in keys {
            let dealer = self.allocator_of(now, key);
            // Whom it goes by is told at once, and by the dealer all that tell of the partner.
            match dealer {
                Some(of) if of == self.me => {
                    turn.tell.extend(self.tellers(now, key).iter().map(|(id, ..)| *id))
                }
                of => turn.tell.extend(of),
            }
            self.allocate(now, key, dealer == Some(self.me));
            let tick = self.tick;
            let Some(p) = self.destinations.get_mut(&key) else { continue };
            let mut told = p.tells(key, now);
            if let Some(allocation) = &mut p.allocation {
                let mut grants = if allocation.whole > 0.0 {
                    allocation.dealer.deal(now, tick, &allocation.wanted)
                } else {
                    Vec::new()
                };
                // Those who want most: the others go on by their base parts.
                grants.sort_by_key(|g| std::cmp::Reverse(g.part));
                grants.truncate(GRANTS_MOST);
                let (down, warming, since) = match allocation.outage.phase() {
                    Phase::Up => (false, false, now),
                    Phase::Down { since } => (true, false, since),
                    Phase::Warming { since } => (false, true, since),
                };
                let age = (now.saturating_sub(since) / MS) as u32;
                told.deals = Some(Deals { whole: allocation.whole as f32, down, warming, age, grants });
            }
            told.pledge = p.holder.pledge(now, dealer);
            tells.push(told);
        }
        turn.tell.sort_unstable();
        turn.tell.dedup();
        turn.tell.retain(|to| *to != self.me);
        self.mine = Record { tick: self.tick, tells };
        let bytes = self.mine.encode();
        // What did not fit was not said.
        self.mine = Record::decode(&bytes).unwrap_or_default();
        let mine = self.mine.clone();
        self.hear(now, self.me, &mine);
        turn.record = Some(bytes);
    }

    /// Whom to go by: one that deals already, so that nobody who comes takes over; else one that has heard the others.
    fn allocator_of(&self, now: Nanos, key: Key) -> Option<Id> {
        let tellers = self.tellers(now, key);
        let rank = |(id, _, t): &(Id, Nanos, &Tells)| (t.deals.is_some(), t.fit, place(key, *id, 0));
        let first = tellers.iter().max_by_key(|t| rank(t)).map_or(self.me, |(id, ..)| *id);
        // Alone there is nothing to be dealt out.
        Some(first).filter(|_| !self.notified.is_empty())
    }

    /// Has the allocator of a destination, where it is this relay, work out its grants.
    fn allocate(&mut self, now: Nanos, key: Key, is: bool) {
        let terms = self.terms;
        let tellers = self.tellers(now, key);
        let allocation = self.destinations.get(&key).and_then(|d| d.allocation.as_ref());
        let pledged = allocation.map(|a| a.dealer.pledgers(now)).unwrap_or_default();
        let summary = Summary::of(now, &tellers, &pledged);
        let Some(destination) = self.destinations.get_mut(&key) else { return };
        if !is {
            destination.allocation = None;
            return;
        }
        let (phase, found) = (destination.phase, destination.found);
        let allocation = destination.allocation.get_or_insert_with(|| Allocation::new(now, phase));
        allocation.allocate(now, key, terms, summary, found);
    }
}
