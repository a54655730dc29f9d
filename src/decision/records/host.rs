//! A host: what is listed of it, and its condition, which is there only from its first use on.

use super::{RouteId, Terms};
use crate::crowding::Crowd;
use crate::decision::interface::{DestId, Entry, HostId, Kind, Listing, Nanos};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, LazyLock};

/// Nothing on the way drops connections so soon: a shorter idle time explains no break.
const IDLE_NOISE: Nanos = 100_000_000;
/// Profiles kept at least before those that no host has any more are looked for.
const FEW_PROFILES: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Health {
    Well,
    /// It failed or refused a call: an outage may be on, or this was all.
    Doubted,
    /// An outage is taken to be on: single trials.
    Down,
    /// It answered again at `since`.
    Warming {
        since: Nanos,
    },
}

/// What is listed of a host, and its condition if it has one. It reads as its condition, or as the one of a host that
/// was never used.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub dest: DestId,
    pub scale: f64,
    /// Last send or outcome; when it was listed, before the first.
    pub last_used: Nanos,
    profile: Arc<Profile>,
    condition: Option<Box<Condition>>,
    /// Drawn by this relay, so that relays differ in which of equal hosts they take first.
    pub lot: u32,
    pub state: Listing,
}

/// What most hosts have in common, kept once for all that have the same.
#[derive(Clone, Debug)]
struct Profile {
    kind: Kind,
    zone: usize,
    terms: Terms,
}

/// What calls have shown of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Condition {
    /// Calls out.
    pub out: usize,
    pub health: Health,
    /// The next call may go then, unless it is well.
    pub next: Nanos,
    /// Failed outcomes since the last served one.
    pub bad: u32,
    /// Failed or refused calls, halved by each served one.
    pub signs: u32,
    /// Smoothed share of failed calls, as of `fail_at`, which means nothing while it is 0.
    pub fail: f64,
    pub fail_at: Nanos,
    /// Smoothed latency and its mean deviation; none before the first served call.
    pub latency: Option<(f64, f64)>,
    pub last_served: Nanos,
    pub last_sent: Nanos,
    /// Idle time before a call that broke early, and what was proven then, until the next outcome.
    pub broke_idle: Option<(Nanos, Nanos)>,
    /// The longest idle time after which a call was served of late.
    pub idle_proven: Nanos,
    pub crowd: Crowd,
    pub served: VecDeque<Nanos>,
    /// Highest sustained rate of served calls, a second.
    pub best_rate: f64,
    /// When it was last doubted or taken for down.
    pub down_at: Nanos,
    /// When an outage of it, or its way back from one, last took a turn; none if there was none.
    pub turned_at: Option<Nanos>,
}

/// The condition of all hosts that have none.
static PRISTINE: LazyLock<Condition> = LazyLock::new(Condition::default);

impl Default for Condition {
    fn default() -> Self {
        Condition {
            out: 0,
            health: Health::Well,
            next: 0,
            bad: 0,
            signs: 0,
            fail: 0.0,
            fail_at: 0,
            latency: None,
            last_served: 0,
            last_sent: 0,
            broke_idle: None,
            idle_proven: IDLE_NOISE,
            crowd: Crowd::default(),
            served: VecDeque::new(),
            best_rate: 0.0,
            down_at: 0,
            turned_at: None,
        }
    }
}

impl Condition {
    pub fn turn(&mut self, to: Health, now: Nanos) {
        (self.health, self.turned_at) = (to, Some(now));
    }

    /// A call on a connection idle for so long was served or not; returns what was proven sound before.
    pub fn prove_idle(&mut self, served: bool, idle: Nanos) -> Nanos {
        let before = self.idle_proven;
        self.idle_proven = if served { before.max(idle) } else { before };
        before.max(IDLE_NOISE)
    }

    /// Nothing of it decides anything any more: no call is out, and no outage, no way back from one within `warm_up`
    /// and no rest for want of room for connections is on.
    fn is_over(&self, now: Nanos, warm_up: Nanos) -> bool {
        let sound = self.health == Health::Well && self.crowd.until() <= now;
        sound && self.out == 0 && self.turned_at.is_none_or(|at| at.saturating_add(warm_up) <= now)
    }
}

impl Deref for Host {
    type Target = Condition;

    fn deref(&self) -> &Condition {
        self.condition.as_deref().unwrap_or(&PRISTINE)
    }
}

impl DerefMut for Host {
    fn deref_mut(&mut self) -> &mut Condition {
        self.condition.get_or_insert_default()
    }
}

impl Host {
    /// Its condition, if it has one.
    pub fn condition(&self) -> Option<&Condition> {
        self.condition.as_deref()
    }

    pub fn kind(&self) -> &Kind {
        &self.profile.kind
    }

    pub fn zone(&self) -> usize {
        self.profile.zone
    }

    pub fn terms(&self) -> &Terms {
        &self.profile.terms
    }

    /// The route of this host, of which `id` is the number.
    pub fn route(&self, id: HostId) -> RouteId {
        match self.kind().apart {
            true => RouteId::Host(id),
            false => RouteId::Dest(self.dest),
        }
    }

    /// Messages in a call at most.
    pub fn per_call(&self) -> usize {
        self.kind().per_call.min(self.terms().call.messages).max(1)
    }

    /// Calls out as hosts of one destination compare them: by their weights.
    pub fn load(&self) -> usize {
        self.out * 1_000 / self.terms().weight.max(1) as usize
    }

    pub fn has_condition(&self) -> bool {
        self.condition.is_some()
    }

    /// From now on it has a condition of its own.
    pub fn begin(&mut self) {
        self.condition.get_or_insert_default();
    }

    pub fn condition_mut(&mut self) -> Option<&mut Condition> {
        self.condition.as_deref_mut()
    }

    /// Lets go of its condition where that has decided nothing for `span` and still does not; true if it did.
    pub fn rest(&mut self, now: Nanos, span: Nanos, warm_up: Nanos) -> bool {
        let idle = self.last_used.saturating_add(span) < now && self.is_over(now, warm_up);
        if idle {
            self.condition = None;
        }
        idle
    }
}

/// The profiles of all hosts, each kept once.
#[derive(Debug, Default)]
pub(crate) struct Profiles {
    known: HashMap<Arc<Profile>, ()>,
    /// Those that no host has are let go of when there are so many.
    most: usize,
}

impl Profiles {
    /// A host as it is listed for the first time.
    pub fn host(&mut self, e: &Entry, kind: Kind, lot: u32, now: Nanos) -> Host {
        Host {
            dest: e.dest,
            scale: e.scale,
            last_used: now,
            profile: self.shared(Profile { kind, zone: e.zone, terms: Terms::default() }),
            condition: None,
            lot,
            state: e.state,
        }
    }

    /// Gives a host this kind and zone; whether they are others than it had.
    pub fn relist(&mut self, host: &mut Host, kind: Kind, zone: usize) -> bool {
        let differs = *host.kind() != kind || host.zone() != zone;
        if differs {
            host.profile = self.shared(Profile { kind, zone, ..(*host.profile).clone() });
        }
        differs
    }

    /// Gives a host these terms.
    pub fn set_terms(&mut self, host: &mut Host, terms: Terms) {
        if *host.terms() != terms {
            host.profile = self.shared(Profile { terms, ..(*host.profile).clone() });
        }
    }

    fn shared(&mut self, profile: Profile) -> Arc<Profile> {
        if let Some((known, ())) = self.known.get_key_value(&profile) {
            return known.clone();
        }
        if self.known.len() >= self.most.max(FEW_PROFILES) {
            self.known.retain(|profile, ()| Arc::strong_count(profile) > 1);
            self.most = self.known.len() * 2;
        }
        let profile = Arc::new(profile);
        self.known.insert(profile.clone(), ());
        profile
    }
}

impl Profile {
    /// All that makes it differ from others.
    fn parts(&self) -> ([usize; 6], [bool; 4]) {
        let (kind, terms, call) = (&self.kind, &self.terms, &self.terms.call);
        let weight = terms.weight as usize;
        (
            [kind.per_call, self.zone, terms.most_out, weight, call.messages, call.bytes],
            [kind.apart, terms.backup, call.unsafe_shares, call.by_message],
        )
    }
}

impl PartialEq for Profile {
    fn eq(&self, other: &Profile) -> bool {
        self.parts() == other.parts()
    }
}

impl Eq for Profile {}

impl Hash for Profile {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.parts().hash(state);
    }
}
