//! Parts of a whole, lent in time. Each relay has a base part. It pledges it to one dealer at a time, and goes by the part
//! that the dealer grants it, for a lease by its own clock; the dealer deals out what is pledged and no more.
//!
//! What holds, whatever is lost, delayed, repeated, stopped or cut, with clocks that run up to a tenth fast or slow: the
//! parts in use add up to no more than the base parts of all. Nobody needs to agree with anybody on who is there.
//!
//! - A grant holds for `lease` from when its holder wrote the record that the dealer had heard before granting: that
//!   is before the dealer granted, so at the dealer it ends no later than that.
//! - A pledge counts at the dealer for `counts` from when it wrote the record that the pledge names: that is before the
//!   pledger pledged. The pledger keeps off its base for `kept` from then on, longer than a grant made of it lasts.
//! - Without a lease a holder falls back to the lesser of its base and the last grant until its pledge has run out, then
//!   to its base. So the dealer lends nothing of a base that its holder may still be using.

use super::record::{Grant, Id, Pledge as Said};
use crate::interface::{Nanos, MS};
use std::collections::{BTreeMap, VecDeque};

/// All base parts together.
pub const WHOLE: u32 = 1 << 20;
/// The spans on which all of it rests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Spans {
    /// A grant holds so long from the holder's record that it answers to.
    pub lease: Nanos,
    /// A pledge counts so long from the dealer's record that it names.
    pub counts: Nanos,
    /// A pledger keeps off its base so long after it pledged: both others together, by clocks a tenth apart either way.
    pub kept: Nanos,
}

impl Default for Spans {
    fn default() -> Spans {
        Spans { lease: 900 * MS, counts: 700 * MS, kept: 2_000 * MS }
    }
}

/// A dealer not heard for so long is pledged to no further.
const SILENT: Nanos = 500 * MS;
/// Records of one's own whose time is remembered: others echo them.
const REMEMBERED: usize = 32;
/// Dealers heard of at once for one partner: views may differ.
const DEALERS: usize = 4;
/// Grants under way to one holder: older ones count as one.
const UNDER_WAY: usize = 16;

/// When one's own records were written, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Written(VecDeque<(u32, Nanos)>);

impl Written {
    pub fn note(&mut self, tick: u32, now: Nanos) {
        self.0.push_back((tick, now));
        if self.0.len() > REMEMBERED {
            self.0.pop_front();
        }
    }

    fn at(&self, tick: u32) -> Option<Nanos> {
        self.0.iter().find(|(t, _)| *t == tick).map(|(_, at)| *at)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pledge {
    dealer: Id,
    until: Nanos,
    /// The last grant of this dealer; none yet: the base is still in use.
    last: Option<u32>,
}

/// One relay's part.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    spans: Spans,
    base: u32,
    pledge: Option<Pledge>,
    /// The newest record heard of each that deals, and when; the latest last.
    heard: VecDeque<(Id, u32, Nanos)>,
    /// A part, and until when it holds.
    lease: Option<(u32, Nanos)>,
}

impl Holder {
    pub fn new(base: u32, spans: Spans) -> Holder {
        Holder { spans, base, pledge: None, heard: VecDeque::new(), lease: None }
    }

    /// What a record written now says of whom it goes by. At most one dealer at a time.
    pub fn pledge(&mut self, now: Nanos, dealer: Option<Id>) -> Option<Said> {
        let (heard, tick, at) = *self.heard.iter().find(|(of, ..)| Some(*of) == dealer)?;
        if now > at.saturating_add(SILENT) {
            return None;
        }
        match &mut self.pledge {
            Some(p) if p.dealer != heard && now < p.until => return None,
            Some(p) if p.dealer == heard && now < p.until => p.until = now.saturating_add(self.spans.kept),
            other => {
                *other =
                    Some(Pledge { dealer: heard, until: now.saturating_add(self.spans.kept), last: None })
            }
        }
        Some(Said { to: heard, heard: tick, part: self.part(now).0 })
    }

    /// A record of one that deals, and what it grants this relay, if it does.
    pub fn hear(&mut self, now: Nanos, dealer: Id, tick: u32, grant: Option<Grant>, written: &Written) {
        if self.heard.iter().any(|(of, t, _)| *of == dealer && tick <= *t) {
            return;
        }
        self.heard.retain(|(of, ..)| *of != dealer);
        self.heard.push_back((dealer, tick, now));
        if self.heard.len() > DEALERS {
            self.heard.pop_front();
        }
        let pledge = self.pledge.as_mut().filter(|p| p.dealer == dealer && now < p.until);
        let (Some(grant), Some(pledge)) = (grant, pledge) else { return };
        let Some(at) = written.at(grant.heard).filter(|at| now < at + self.spans.lease) else { return };
        pledge.last = Some(grant.part);
        self.lease = Some((grant.part, at + self.spans.lease));
    }

    /// A part that is leased, and until when.
    pub fn leased(&self, now: Nanos) -> Option<(u32, Nanos)> {
        self.lease.filter(|(_, until)| now < *until)
    }

    /// The part in force, and until when at least nothing lowers it.
    pub fn part(&self, now: Nanos) -> (u32, Nanos) {
        if let Some(lease) = self.leased(now) {
            return lease;
        }
        match self.pledge.as_ref().filter(|p| now < p.until) {
            Some(p) => (p.last.unwrap_or(self.base).min(self.base), p.until),
            None => (self.base, Nanos::MAX),
        }
    }
}

/// What a dealer holds of one that pledged to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Account {
    base: u32,
    /// Its newest record heard, and when.
    tick: u32,
    heard: Nanos,
    /// When the record of ours was written that its pledge names.
    pledged: Nanos,
    /// Grants that may be in force or on their way, by the records that made them.
    grants: VecDeque<(u32, u32)>,
}

impl Account {
    /// The most that it may be using.
    fn most(&self) -> u32 {
        self.grants.iter().map(|(_, part)| *part).max().unwrap_or(self.base)
    }

    /// Whether its pledge counts now.
    fn counts(&self, now: Nanos, spans: &Spans) -> bool {
        now < self.pledged.saturating_add(spans.counts)
    }
}

/// What one dealer deals out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Dealer {
    spans: Spans,
    accounts: BTreeMap<Id, Account>,
}

impl Dealer {
    pub fn new(spans: Spans) -> Dealer {
        Dealer { spans, accounts: BTreeMap::new() }
    }

    /// A pledge to this relay, in a record of another (or its own).
    pub fn hear(&mut self, now: Nanos, from: Id, base: u32, tick: u32, said: Said, written: &Written) {
        let Some(at) = written.at(said.heard).filter(|at| now < at.saturating_add(self.spans.counts)) else {
            return;
        };
        let account = self.accounts.entry(from).or_insert(Account {
            base,
            tick: 0,
            heard: now,
            pledged: at,
            grants: VecDeque::new(),
        });
        if tick <= account.tick {
            return;
        }
        (account.tick, account.heard, account.base) = (tick, now, base);
        account.pledged = account.pledged.max(at);
        // What it says that it uses is in force, and what was granted after the record that it has heard may be.
        account.grants.retain(|(of, _)| *of > said.heard);
        account.grants.push_front((said.heard, said.part));
    }

    /// The base parts that are pledged now.
    pub fn pool(&self, now: Nanos) -> u32 {
        self.counted(now).map(|(_, a)| a.base).sum()
    }

    /// Those whose pledges count now.
    pub fn pledgers(&self, now: Nanos) -> Vec<Id> {
        self.counted(now).map(|(id, _)| *id).collect()
    }

    fn counted(&self, now: Nanos) -> impl Iterator<Item = (&Id, &Account)> {
        self.accounts.iter().filter(move |(_, a)| a.counts(now, &self.spans))
    }

    /// Grants for the record `tick` that is written now, as near to those wanted as what is pledged allows: less at once,
    /// more only of what nobody may be using.
    pub fn deal(&mut self, now: Nanos, tick: u32, wanted: &BTreeMap<Id, u32>) -> Vec<Grant> {
        // A lease that answers to its last record has run out, by any clock.
        self.accounts.retain(|_, a| now < a.heard.max(a.pledged).saturating_add(self.spans.kept));
        let pool = self.pool(now);
        let mut used = 0u32;
        for a in self.accounts.values() {
            // One that fell silent has its base for itself again; what it had beyond that may still be in force.
            used += if a.counts(now, &self.spans) { a.most() } else { a.most().saturating_sub(a.base) };
        }
        let mut free = pool.saturating_sub(used);
        let mut grants = Vec::new();
        for (id, a) in &mut self.accounts {
            if !a.counts(now, &self.spans) {
                continue;
            }
            let (want, most) = (wanted.get(id).copied().unwrap_or(0), a.most());
            let more = want.saturating_sub(most).min(free);
            free -= more;
            let part = want.min(most + more);
            if a.grants.back().is_none_or(|(_, last)| *last != part) {
                a.grants.push_back((tick, part));
            }
            while a.grants.len() > UNDER_WAY {
                // The two oldest count as one, the larger.
                if let Some((_, first)) = a.grants.pop_front() {
                    if let Some(next) = a.grants.front_mut() {
                        next.1 = next.1.max(first);
                    }
                }
            }
            grants.push(Grant { to: *id, heard: a.tick, part });
        }
        grants
    }
}
