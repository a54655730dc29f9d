//! The relays of a fleet at one partner: what this relay tells of it, whom it goes by, and what it may send there.
//!
//! For each partner that is short of something one relay deals, by a place by chance among those that tell of it. The
//! others pledge their parts to it and go by what it grants, as `pledges` says. What there is to be dealt out is found by
//! `learner`, or is the limit told; while the partner is down it is single trials, and on its way back one ramp.

use super::learner::{Learner, Seen};
use super::outage::{warmth, Outage, Phase, Refusals, Word};
use super::parts::by_demand;
use super::pledges::{Dealer, Holder, Spans, Written, WHOLE};
use super::record::{place, Deals, Id, Key, Record, Tells, GRANTS_MOST};
use crate::interface::{Nanos, MS, SEC};
use std::collections::{BTreeMap, VecDeque};

/// Known for so long, a partner was heard of from all others.
const FIT: Nanos = 1_500 * MS;
/// Between records.
pub const EACH: Nanos = 200 * MS;
/// A relay whose records are older tells nothing any more.
const SILENT: Nanos = 1_500 * MS;
/// A partner is told of for so long after the last cause.
const CAUSE: Nanos = 30 * SEC;
/// Partners told of at once.
const PARTNERS: usize = 24;
/// A partner that served no call for so long may be out: its refusals are then no limit.
const SERVES: Nanos = 500 * MS;
/// Rates are counted over this span.
const SPAN: Nanos = SEC;
/// Those that wait want to be gone within so many seconds.
const CLEARS: f64 = 2.0;
/// Calls a second of a whole part while the partner has told all to wait.
const HELD: f64 = 1e-3;
/// A wait shorter than this is over before it is heard of.
const WAIT: u32 = 100;
/// Of what a partner on its way back takes, after more than this share was refused.
const COLD_REFUSED: f64 = 0.05;
const COLD_CUT: f64 = 0.85;
/// What was cut comes back in so many seconds.
const COLD_REGROWS: f64 = 8.0;
/// Of the ramp at most, where nothing is refused on it.
const COLD_MOST: f64 = 1.15;

/// Its growth a second where all of it is served, and where its rate was never known.
const COLD_GROWTH: f64 = 0.5;
const COLD_GUESSED: f64 = 1.0;
/// Of what is dealt out, so much served is all.
const USED: f64 = 0.85;
/// Calls a second of all on the ramp, at least: so few are no load.
const COLD_LEAST: f64 = 1.0;

/// What holds of the fleet and its partners.
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

/// What this relay knows of a partner by itself. Counts are since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    pub key: Key,
    /// Messages taken for its destination, by hosts that share it.
    pub taken: f64,
    pub waiting: f64,
    pub served: u64,
    pub refused: u64,
    pub down: bool,
    /// When a call was last served; 0: never.
    pub served_at: Nanos,
    /// The end of a wait that it told.
    pub wait: Nanos,
    pub limit: f64,
    pub best: f64,
}

/// Another relay that is there, and what it last told.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    pub id: Id,
    /// Another one with every record, also over restarts.
    pub version: (u64, u64),
    pub record: &'a [u8],
}

/// What may be sent to a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deal {
    pub key: Key,
    /// Calls a second; none: as many as without the others.
    pub rate: Option<f64>,
    /// It holds until then.
    pub until: Nanos,
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

#[derive(Clone, Debug)]
struct Told {
    version: (u64, u64),
    at: Nanos,
    record: Record,
}

/// Counts over the last second or so.
#[derive(Clone, Debug, Default)]
struct Window(VecDeque<(Nanos, [f64; 3])>);

impl Window {
    fn add(&mut self, now: Nanos, counts: [f64; 3]) {
        self.0.push_back((now, counts));
        while self.0.len() > 2 && self.0[1].0 + SPAN <= now {
            self.0.pop_front();
        }
    }

    /// A second: taken, served, refused.
    fn rates(&self) -> [f64; 3] {
        let (Some((from, first)), Some((to, last))) = (self.0.front(), self.0.back()) else {
            return [0.0; 3];
        };
        let over = (to - from).max(SPAN) as f64 / 1e9;
        std::array::from_fn(|i| (last[i] - first[i]).max(0.0) / over)
    }
}

/// What this relay has as a dealer.
#[derive(Clone, Debug, Default)]
struct Lead {
    dealer: Dealer,
    learner: Learner,
    outage: Outage,
    pool: u32,
    /// Of the ramp, after refusals on it.
    eased: f64,
    eased_at: Nanos,
    whole: f64,
    wanted: BTreeMap<Id, u32>,
}

#[derive(Clone, Debug)]
struct Partner {
    own: Own,
    window: Window,
    cause: Nanos,
    /// When it was last refused for want of room.
    limited: Nanos,
    holder: Holder,
    lead: Option<Lead>,
    /// Calls a second of a whole part, as the lease in force goes by.
    whole: f64,
    /// What was last heard of the partner from whoever deals, and the rate that it went by while the partner was up: for the
    /// one that comes after it.
    phase: Phase,
    found: f64,
    /// Known since then.
    began: Nanos,
    dealt: Option<Deal>,
}

/// All partners of one relay.
#[derive(Clone, Debug)]
pub struct Together {
    me: Id,
    terms: Terms,
    tick: u32,
    written: Written,
    last: Nanos,
    told: BTreeMap<Id, Told>,
    partners: BTreeMap<Key, Partner>,
    /// What was last told, as others hear it.
    mine: Record,
}

impl Together {
    /// Numbers go on from the time at the start, so that a later life has higher ones.
    pub fn new(me: Id, terms: Terms, now: Nanos) -> Together {
        let tick = (now / (EACH / 2)) as u32;
        Together {
            me,
            terms,
            tick,
            written: Written::default(),
            last: 0,
            told: BTreeMap::new(),
            partners: BTreeMap::new(),
            mine: Record::default(),
        }
    }

    /// Partners that others tell of with a cause: of these, too, this relay's own standing is wanted.
    pub fn heard_of(&self, now: Nanos) -> impl Iterator<Item = Key> + '_ {
        let live = self.told.values().filter(move |t| now < t.at + SILENT);
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
        for (key, p) in &mut self.partners {
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
            let p = self.partners.entry(o.key).or_insert_with(|| Partner::new(base, now));
            p.own = *o;
            p.window.add(now, [o.taken, o.served as f64, o.refused as f64]);
            let [taken, served, refused] = p.window.rates();
            p.limited = if refused > 0.0 { now } else { p.limited };
            let busy = taken + served + o.waiting > 0.0;
            if refused > 0.0 || o.down || (o.limit > 0.0 && busy) {
                p.cause = now;
            }
        }
        let heard: Vec<Key> = self.heard_of(now).collect();
        // What nobody has spoken of for long goes, and so does its window.
        self.partners.retain(|key, p| {
            now < p.cause + 2 * CAUSE || heard.contains(key) || own.iter().any(|o| o.key == *key)
        });
    }

    fn note_peers(&mut self, now: Nanos, peers: &[Peer<'_>]) {
        self.told.retain(|id, _| peers.iter().any(|p| p.id == *id));
        let mut news = Vec::new();
        for peer in peers {
            if self.told.get(&peer.id).is_some_and(|t| t.version == peer.version) {
                continue;
            }
            let Some(record) = Record::decode(peer.record) else { continue };
            news.push((peer.id, record.clone()));
            self.told.insert(peer.id, Told { version: peer.version, at: now, record });
        }
        for (id, record) in news {
            self.hear(now, id, &record);
        }
    }

    /// A record of another, or of this relay itself.
    fn hear(&mut self, now: Nanos, from: Id, record: &Record) {
        let base = self.terms.base();
        for t in &record.tells {
            let Some(p) = self.partners.get_mut(&t.key) else { continue };
            if let Some(pledge) = t.pledge.filter(|pledge| pledge.to == self.me) {
                if let Some(lead) = &mut p.lead {
                    lead.dealer.hear(now, from, base, record.tick, pledge, &self.written);
                }
            }
            if let Some(deals) = &t.deals {
                let grant = deals.grants.iter().find(|g| g.to == self.me).copied();
                let before = p.holder.leased(now);
                p.holder.hear(now, from, record.tick, grant, &self.written);
                let led = p.holder.leased(now) != before;
                if led || p.holder.leased(now).is_none() && p.lead.is_none() {
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
        let live = self.told.iter().filter(|(_, t)| now < t.at + SILENT);
        let others = live.filter_map(|(id, t)| Some((*id, t.at, t.record.of(key)?)));
        let mine = self.mine.of(key).map(|t| (self.me, self.last, t));
        others.chain(mine).collect()
    }

    /// Writes the next record: what is known of each partner that is short, whom this relay goes by, what it deals.
    fn write(&mut self, now: Nanos, turn: &mut Turn) {
        let heard: Vec<Key> = self.heard_of(now).collect();
        let mut keys: Vec<(bool, u64, Key)> = Vec::new();
        for (key, p) in &mut self.partners {
            if now < p.cause + CAUSE && p.cause > 0 || heard.contains(key) {
                keys.push((p.lead.is_some(), (p.wanted() * 1e3) as u64, *key));
            } else {
                p.lead = None;
            }
        }
        if keys.is_empty() && self.mine.tells.is_empty() {
            return;
        }
        // Those that it deals and those that it wants most come first: only so many fit.
        keys.sort_unstable_by(|a, b| b.cmp(a));
        keys.truncate(PARTNERS);
        self.tick = self.tick.wrapping_add(1);
        self.written.note(self.tick, now);
        let mut tells = Vec::new();
        for (_, _, key) in keys {
            let dealer = self.dealer_of(now, key);
            // Whom it goes by is told at once, and by the dealer all that tell of the partner.
            match dealer {
                Some(of) if of == self.me => {
                    turn.tell.extend(self.tellers(now, key).iter().map(|(id, ..)| *id))
                }
                of => turn.tell.extend(of),
            }
            self.lead(now, key, dealer == Some(self.me));
            let tick = self.tick;
            let Some(p) = self.partners.get_mut(&key) else { continue };
            let mut told = p.tells(key, now);
            if let Some(lead) = &mut p.lead {
                let mut grants =
                    if lead.whole > 0.0 { lead.dealer.deal(now, tick, &lead.wanted) } else { Vec::new() };
                // Those who want most: the others go on by their base parts.
                grants.sort_by_key(|g| std::cmp::Reverse(g.part));
                grants.truncate(GRANTS_MOST);
                let (down, warming, since) = match lead.outage.phase() {
                    Phase::Up => (false, false, now),
                    Phase::Down { since } => (true, false, since),
                    Phase::Warming { since } => (false, true, since),
                };
                let age = (now.saturating_sub(since) / MS) as u32;
                told.deals = Some(Deals { whole: lead.whole as f32, down, warming, age, grants });
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
    fn dealer_of(&self, now: Nanos, key: Key) -> Option<Id> {
        let tellers = self.tellers(now, key);
        let rank = |(id, _, t): &(Id, Nanos, &Tells)| (t.deals.is_some(), t.fit, place(key, *id, 0));
        let first = tellers.iter().max_by_key(|t| rank(t)).map_or(self.me, |(id, ..)| *id);
        // Alone there is nothing to be dealt out.
        Some(first).filter(|_| !self.told.is_empty())
    }

    /// As the dealer of a partner: what there is, and who is to have how much of it.
    fn lead(&mut self, now: Nanos, key: Key, is: bool) {
        let terms = self.terms;
        let tellers = self.tellers(now, key);
        let words: Vec<Word> = tellers
            .iter()
            .map(|(id, at, t)| Word {
                from: *id,
                down: t.down,
                served: t.served_ago.map_or(0, |ago| at.saturating_sub(u64::from(ago) * MS).max(1)),
                wants: t.wanted > 0.0,
            })
            .collect();
        let pledged = self.partners.get(&key).and_then(|p| p.lead.as_ref()).map(|l| l.dealer.pledgers(now));
        let pledged = pledged.unwrap_or_default();
        // What goes to those that go their own way is not to be dealt out.
        let apart = tellers.iter().filter(|(id, ..)| !pledged.contains(id));
        let apart: f64 = apart.map(|(_, _, t)| f64::from(t.served)).sum();
        let sum = |f: fn(&Tells) -> f32| tellers.iter().map(|(_, _, t)| f64::from(f(t))).sum::<f64>();
        let (served, refused, best) = (sum(|t| t.served), sum(|t| t.refused), sum(|t| t.best));
        // One relay that tells a wrong limit is outvoted.
        let mut limits: Vec<f32> = tellers.iter().map(|(_, _, t)| t.limit).filter(|l| *l > 0.0).collect();
        limits.sort_unstable_by(f32::total_cmp);
        let limit = limits.get(limits.len() / 2).map_or(0.0, |l| f64::from(*l));
        let limited = tellers.iter().any(|(_, _, t)| t.limited);
        let waits = tellers.iter().filter(|(_, _, t)| t.wait > WAIT).count();
        let active = words.iter().filter(|w| w.served > 0 || w.down).count();
        let served_last = words.iter().map(|w| w.served).max().unwrap_or(0);
        let held = waits > 0 && waits >= active.clamp(1, 2) && served_last + 7 * WAIT as u64 * MS < now;
        let wants: BTreeMap<Id, f64> = tellers.iter().map(|(id, _, t)| (*id, f64::from(t.wanted))).collect();
        let Some(p) = self.partners.get_mut(&key) else { return };
        if !is {
            p.lead = None;
            return;
        }
        let (phase, found) = (p.phase, p.found);
        let lead = p.lead.get_or_insert_with(|| {
            let mut lead = Lead { eased: 1.0, ..Lead::default() };
            lead.outage.adopt(phase, now);
            lead
        });
        let pool = lead.dealer.pool(now).min(WHOLE);
        if pool == 0 {
            return;
        }
        let of_pool = f64::from(pool) / f64::from(WHOLE);
        // What the one before it went by, as far as it is pledged where a limit is told.
        if found > 0.0 && lead.pool == 0 {
            lead.learner.set(now, if limit > 0.0 { found.min(limit) * of_pool } else { found });
        }
        let before = lead.outage.phase();
        let refusals = Refusals { rate: refused, serves: lead.learner.rate(), told: held };
        lead.outage.hear(now, &words, refusals, terms.warm_up);
        let phase = lead.outage.phase();
        match (before, phase) {
            (Phase::Up, Phase::Down { .. }) => lead.learner.recall(served_last),
            // What was refused before its return says nothing of the ramp.
            (Phase::Down { .. }, Phase::Warming { since }) => {
                (lead.eased, lead.eased_at) =
                    (lead.eased.min(1.0), lead.eased_at.max(since.saturating_sub(SPAN)));
            }
            _ => {}
        }
        // Parts of a limit that is told are the pledged ones; what others left may be claimed as nothing is refused.
        if limit > 0.0 && lead.pool > 0 && pool != lead.pool {
            if let Some(rate) = lead.learner.rate() {
                lead.learner.set(now, (rate * f64::from(pool) / f64::from(lead.pool)).min(limit));
            }
        }
        lead.pool = pool;
        let rate = match phase {
            Phase::Up => {
                if let Phase::Warming { .. } = before {
                    let full = lead.learner.rate().unwrap_or(0.0)
                        * lead.eased.min((lead.eased / COLD_MOST).max(1.0));
                    if full > 0.0 {
                        lead.learner.set(now, full);
                    }
                    lead.eased = 1.0;
                }
                let (least, most) = if limit > 0.0 { (limit * of_pool, limit) } else { (0.0, f64::MAX) };
                // Of a limit that is told only what those have counts who pledged their parts of it.
                let seen = if limit > 0.0 { (served - apart).max(0.0) } else { served };
                let serves = now < served_last.saturating_add(SERVES);
                lead.learner.see(now, Seen { served: seen, refused, limited, serves }, least, most);
                lead.learner
                    .rate()
                    .map(|rate| if limit > 0.0 { rate } else { (rate - apart).max(rate * of_pool) })
            }
            Phase::Down { .. } => Some(lead.outage.trials()),
            Phase::Warming { since } => {
                let known = lead.learner.rate().or(Some(limit).filter(|l| *l > 0.0));
                let full = known.unwrap_or(best);
                let refuses = refused > COLD_REFUSED * (served + refused);
                if refuses && now >= lead.eased_at + 2 * SEC {
                    (lead.eased, lead.eased_at) = (lead.eased * COLD_CUT, now);
                } else if !refuses {
                    let passed = EACH as f64 / SEC as f64;
                    let most = if refused > 0.0 { lead.eased.max(1.0) } else { lead.eased.max(COLD_MOST) };
                    lead.eased = (lead.eased + passed / COLD_REGROWS).min(most);
                    // All that is dealt out is served: what is known of its rate is too little.
                    if refused == 0.0 && served >= USED * lead.whole * of_pool {
                        lead.eased *= 1.0 + passed * if known.is_some() { COLD_GROWTH } else { COLD_GUESSED };
                    }
                }
                // It was back before the first call that was served: half a gap between trials, in the mean.
                let back = since.saturating_sub(lead.outage.lag());
                let rate = full * lead.eased * warmth(terms.cold_share, terms.warm_up, now, back);
                Some(rate.max(COLD_LEAST)).filter(|_| full > 0.0)
            }
        };
        let Some(rate) = rate else {
            lead.whole = 0.0;
            return;
        };
        lead.whole = if held { HELD } else { rate / of_pool };
        let pledgers = lead.dealer.pledgers(now);
        lead.wanted = match phase {
            Phase::Down { .. } => {
                let may: Vec<Word> = words.into_iter().filter(|w| pledgers.contains(&w.from)).collect();
                lead.outage.tries(now, key, &may).into_iter().map(|id| (id, pool)).collect()
            }
            _ => {
                // One that alone cannot reach the partner would only keep its part from the others.
                let apart = |id: &Id| words.iter().any(|w| w.from == *id && w.down);
                let wants = |id: &Id| match wants.get(id).copied().unwrap_or(0.0) {
                    w if apart(id) => w.min(lead.outage.trials()),
                    w => w,
                };
                let each = |id: &Id| (*id, wants(id) / lead.whole * f64::from(WHOLE));
                by_demand(pool, &pledgers.iter().map(each).collect::<Vec<_>>())
            }
        };
    }
}

impl Partner {
    fn new(base: u32, now: Nanos) -> Partner {
        Partner {
            own: Own::default(),
            window: Window::default(),
            cause: 0,
            limited: 0,
            holder: Holder::new(base, Spans::default()),
            lead: None,
            whole: 0.0,
            phase: Phase::Up,
            found: 0.0,
            began: now,
            dealt: None,
        }
    }

    /// Calls a second that it would make.
    fn wanted(&self) -> f64 {
        self.window.rates()[0] + self.own.waiting / CLEARS
    }

    fn tells(&self, key: Key, now: Nanos) -> Tells {
        let [_, served, refused] = self.window.rates();
        let o = &self.own;
        Tells {
            key,
            wanted: self.wanted() as f32,
            served: served as f32,
            refused: refused as f32,
            best: o.best as f32,
            down: o.down,
            served_ago: (o.served_at > 0)
                .then(|| (now.saturating_sub(o.served_at) / MS).min(u64::from(u32::MAX)) as u32),
            wait: (o.wait.saturating_sub(now) / MS).min(600_000) as u32,
            limit: o.limit as f32,
            limited: self.limited > 0 && now < self.limited + CAUSE,
            cause: self.cause > 0 && now < self.cause + CAUSE,
            pledge: None,
            fit: now >= self.began + FIT,
            deals: None,
        }
    }

    /// What may be sent now. Without a lease: less than an equal part of a limit that is told, until the pledge has run
    /// out; else as if there were no others to talk to.
    fn deal(&self, key: Key, now: Nanos) -> Deal {
        let share = |part: u32, whole: f64| f64::from(part) / f64::from(WHOLE) * whole;
        if let Some((part, until)) = self.holder.leased(now) {
            return Deal { key, rate: Some(share(part, self.whole)), until };
        }
        let (part, until) = self.holder.part(now);
        let bound = until < Nanos::MAX && self.own.limit > 0.0;
        Deal { key, rate: bound.then(|| share(part, self.own.limit)), until }
    }
}
