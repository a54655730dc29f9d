//! What the decision module remembers. Plain records and their bookkeeping: nothing is decided here.

mod book;
mod continued;
mod flow;
mod host;
mod hosts;
mod keys;
mod knowledge;
mod outage;

pub(crate) use book::Book;
pub(crate) use flow::Flow;
pub(crate) use host::{Health, Host};
pub use knowledge::Knowledge;
pub(crate) use outage::Outage;

use super::interface::{DestId, HostId, KeyLock, MessageRules, MsgId, Nanos, Terms};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// A message that still awaits its final answer.
#[derive(Clone, Debug)]
pub(crate) struct Message {
    /// Messages with the same number have the same rules.
    pub class: usize,
    pub rules: Arc<MessageRules>,
    pub dest: DestId,
    pub key: Option<String>,
    pub taken: Nanos,
    pub aim_at: Nanos,
    pub deadline: Nanos,
    pub attempts: u32,
    pub out: bool,
    /// Send time and zone of the first attempt that may have run.
    pub may_have_run: Option<(Nanos, usize)>,
    /// Of a call's body, and messages with which it may share one, itself counted.
    pub bytes: usize,
    pub group: usize,
    /// Among those held of its flow.
    pub place: u64,
    /// It ends otherwise than its class lets suppose.
    pub odd: bool,
    /// An earlier life took it on, and this one has not tried it yet: it goes before what came later.
    pub restored: bool,
}

/// An attempt without an outcome; it outlives its message.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub host: HostId,
    pub call: u64,
    pub sent: Nanos,
    /// How long its host had gone unused before it.
    pub idle: Nanos,
    /// The key that it holds to its end.
    pub lock: Option<KeyLock>,
    pub cancelled: bool,
}

/// A call that holds a slot until each of its messages has an outcome.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub host: HostId,
    pub dest: DestId,
    pub sent: Nanos,
    pub open: usize,
    pub judged: bool,
}

/// What shares one limit: a host where routes are apart, else a destination.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Route {
    /// End of a wait that was told.
    pub wait: Nanos,
    /// End of a rest of our own after a refusal that told none.
    pub rest: Nanos,
    pub refused: u32,
    /// The limit as last told by the destination, in calls a second; 0: none was told.
    pub limit: f64,
    /// The share of it that was left then; means nothing where none was told.
    pub left: f64,
    /// Steps in the length of the rest, kept in part when a call is accepted.
    pub level: u32,
    /// The same as it was before the refusals since the last accepted call.
    pub usual: u32,
    pub refused_since: Nanos,
    /// When the level last rose.
    pub stepped: Nanos,
    /// Calls a second; none while no limit has shown itself.
    pub pace: Option<f64>,
    /// The rate at which it was last refused.
    pub full_at: f64,
    pub tokens: f64,
    pub filled: Nanos,
    pub cut: Nanos,
    pub accepted: VecDeque<Nanos>,
    /// Calls a second that the fleet deals out to this relay; none where it shares by the number of senders.
    pub dealt: Option<f64>,
    /// The outage that it is in. Processes hand over how its endpoints stand, and the journal keeps the rest.
    #[serde(skip)]
    pub outage: Option<Outage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum RouteId {
    Dest(DestId),
    Host(HostId),
}

/// Messages of one key, in the order taken.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyLine {
    pub line: VecDeque<MsgId>,
    pub out: u32,
    /// Others wait until then for an attempt of this message that may still run.
    pub rest: (Nanos, MsgId),
}

const EVIDENCE: usize = 8; // calls that a rate rests on at least: one in a short span is no rate
const PACE_BURST: f64 = 0.5; // calls saved up at most, in seconds of the pace

impl Message {
    pub fn new(
        (class, rules): (usize, Arc<MessageRules>),
        dest: DestId,
        key: Option<String>,
        taken: Nanos,
        deadline: Nanos,
    ) -> Self {
        let aim_at = deadline.saturating_add(rules.class.aim).saturating_sub(rules.class.deadline);
        Message {
            class,
            rules,
            dest,
            key,
            taken,
            aim_at,
            deadline,
            attempts: 0,
            out: false,
            may_have_run: None,
            bytes: 0,
            group: usize::MAX,
            place: 0,
            odd: false,
            restored: false,
        }
    }
}

impl Route {
    /// Counts what its pace has saved up by now.
    pub fn refill(&mut self, now: Nanos) {
        if let Some(pace) = self.pace {
            (self.tokens, self.filled) = (filled(self, pace, now), now.max(self.filled));
        }
    }

    /// Refused, and no limit was told: nobody knows how much it takes. At a told limit what is refused is
    /// the call, however many messages it has.
    pub fn probes(&self) -> bool {
        self.refused > 0 && self.limit == 0.0
    }

    /// A wait of the destination's, or a rest of our own, is not over.
    pub fn rests(&self, now: Nanos) -> bool {
        self.wait > now || self.rest > now
    }

    /// When a call that went that way, or what its destination said of it, last changed something.
    pub fn last_active(&self) -> Nanos {
        let accepted = self.accepted.back().copied().unwrap_or(0);
        let paced = self.filled.max(self.cut).max(self.stepped);
        accepted.max(paced).max(self.wait).max(self.rest)
    }

    /// It holds calls back: it rests or is in an outage, or a limit of it was reported, was dealt out or has shown itself by
    /// refusals. A pace that has come of the listing alone would be the same again.
    pub fn binds(&self, now: Nanos) -> bool {
        let limited = self.limit > 0.0 || self.dealt.is_some();
        self.rests(now)
            || self.outage.is_some()
            || limited
            || self.refused > 0
            || (self.cut > 0 && self.pace.is_some())
    }
}

/// Rate of the recorded times over `span`, or over as many calls as it takes to tell; none if too few.
pub(crate) fn rate_of(times: &mut VecDeque<Nanos>, span: Nanos, now: Nanos) -> Option<f64> {
    while times.len() > EVIDENCE && times[0] + span < now {
        times.pop_front();
    }
    let over = now.saturating_sub(*times.front()?).max(span);
    (times.len() >= EVIDENCE).then_some(times.len() as f64 * 1e9 / over as f64)
}

/// Calls that may go now under a pace, a burst or one being saved up at most.
pub(crate) fn filled(r: &Route, pace: f64, now: Nanos) -> f64 {
    let saved = r.tokens + pace * now.saturating_sub(r.filled) as f64 / 1e9;
    saved.min((pace * PACE_BURST).max(1.0))
}

/// A small seeded generator (splitmix64).
#[derive(Debug)]
pub(crate) struct Dice(pub u64);

impl Dice {
    /// Evenly between 0 and 1.
    pub fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
