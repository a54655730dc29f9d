//! What a relay tells the decision module and what the module asks of it. Times are integer nanoseconds.

use super::records::Knowledge;
use serde::{Deserialize, Serialize};

pub(crate) const MS: Nanos = 1_000_000;
pub(crate) const SEC: Nanos = 1_000 * MS;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// A message, unique within one relay's life.
pub type MsgId = u64;
/// An endpoint, as numbered by the relay.
pub type HostId = u32;
/// A destination, as numbered by the list of endpoints.
pub type DestId = u64;

/// What a repeat of a message does at its destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Any number of attempts is harmless.
    Safe,
    /// The destination drops repeats for `memory` after the first attempt that may have run; where
    /// `zone_only` holds, only the endpoints of that attempt's zone do.
    Keyed { memory: Nanos, zone_only: bool },
    /// A second effect does harm.
    Unsafe,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Full worth within this time of the first hand-in.
    pub aim: Nanos,
    /// Time from the first hand-in after which it is worth nothing.
    pub deadline: Nanos,
    pub worth: f64,
    /// Share of the worth left at the deadline.
    pub late_worth: f64,
    pub repeat: Repeat,
    /// Messages that share a key go out singly, in the order taken.
    pub in_order: bool,
}

impl Class {
    /// From the aim to the deadline.
    pub(crate) fn span(&self) -> Nanos {
        self.deadline.saturating_sub(self.aim)
    }
}

/// What holds for a message from the time when it was taken on to its end, whatever settings come into force meanwhile.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MessageRules {
    /// Its class.
    pub class: Class,
    /// Attempts that it may have.
    pub max_attempts: u32,
    /// How its worth falls.
    pub late: Late,
    /// Rest of its key after an attempt of unknown outcome.
    pub key_rest: Nanos,
}

/// The place of a message in the order of its key: an attempt holds it from its beginning to its end, however long its message
/// lives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyLock {
    pub key: String,
    /// Rest of the key after an attempt that may still be running.
    pub rest: Nanos,
}

/// An attempt that another process of this relay made and that is still out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdoptedAttempt {
    pub id: MsgId,
    pub attempt: u32,
    /// What it holds where its message is over; one that is held has its key itself.
    pub lock: Option<KeyLock>,
}

/// How worth falls between aim and deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Late {
    Even,
    Halves,
}

/// What the list's `scale` says of a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limits {
    Unlisted,
    Exact,
    Rough,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its endpoints are separate routes, each with its own limit, waits and outages.
    pub apart: bool,
    /// Messages that may share one call.
    pub per_call: usize,
}

/// Everything a relay knows at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Relays that send to the same destinations, this one included.
    pub senders: u32,
    /// Calls that may be out at once (the depth D).
    pub slots: usize,
    /// Messages that may be held, sent or not.
    pub max_held: usize,
    pub max_attempts: u32,
    pub may_cancel: bool,
    /// Changes of the list come only when asked for.
    pub must_subscribe: bool,
    /// Idle time after which a connection is closed.
    pub keepalive: Nanos,
    /// Longest advice on coming back that a client heeds; 0: none is passed on.
    pub max_come_back: Nanos,
    pub limits: Limits,
    pub late: Late,
    pub classes: Vec<Class>,
    pub kinds: Vec<Kind>,
    /// Price of a message taken on by a route apart, by zone, in worth of a mean message.
    pub zone_fee: Vec<f64>,
    /// This relay's zone, and the price of each attempt at an endpoint of another, in worth of a mean message.
    pub zone: usize,
    pub cross_zone: f64,
    /// Share of its capacity that a destination has at least after an outage...
    pub cold_share: f64,
    /// ...and the time in which it has all of it again.
    pub warm_up: Nanos,
    /// Sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...for this long, a cold destination falls over.
    pub fall: Nanos,
    /// Rest of a key after an attempt of unknown outcome.
    pub key_rest: Nanos,
}

impl Settings {
    /// What holds for messages of the class at this place.
    pub fn rules_of(&self, place: usize) -> Option<MessageRules> {
        let (max_attempts, late, key_rest) = (self.max_attempts, self.late, self.key_rest);
        Some(MessageRules { class: self.classes.get(place)?.clone(), max_attempts, late, key_rest })
    }

    /// A share of the slots, one at least.
    pub(crate) fn part_of_slots(&self, share: f64) -> usize {
        ((self.slots as f64 * share) as usize).max(1)
    }

    /// Longest life of a message, in nanoseconds: whatever is held was taken within it.
    pub(crate) fn longest_life(&self) -> f64 {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or(SEC).max(SEC) as f64
    }
}

/// A line of the list of endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    pub host: HostId,
    pub dest: DestId,
    pub kind: usize,
    pub zone: usize,
    pub state: Listing,
    pub scale: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Ready,
    Draining,
    Gone,
}

/// An operator's terms for a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// Calls out to it at most.
    pub most_out: usize,
    /// Its part of the calls, among the hosts of its destination.
    pub weight: u32,
    /// It gets calls only while no other host of its destination is well.
    pub backup: bool,
    pub call: CallTerms,
}

/// What may share a call to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallTerms {
    /// Messages at most, within what its kind allows.
    pub messages: usize,
    /// Bytes of all its messages at most.
    pub bytes: usize,
    /// What may not be repeated shares calls too.
    pub unsafe_shares: bool,
    /// The limit counts messages, not calls.
    pub by_message: bool,
}

impl Default for CallTerms {
    fn default() -> Self {
        CallTerms { messages: usize::MAX, bytes: usize::MAX, unsafe_shares: true, by_message: false }
    }
}

impl Default for Terms {
    fn default() -> Self {
        Terms { most_out: usize::MAX, weight: 1, backup: false, call: CallTerms::default() }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    Served,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away unseen, with the wait told, if one was.
    Full {
        wait: Nanos,
    },
    /// Turned away unseen on a new connection, for which the host has no room; those that it has go on.
    Crowded,
    TimedOut,
    NoConnection,
    Broken,
    /// What came back could not be read: the host runs, and so may the message have.
    Spoilt,
    Cancelled,
    /// It was never sent.
    NotSent,
    /// An answer came that may be another call's: the host runs, and so may the message have.
    Doubtful,
}

impl Outcome {
    /// It is certain that the attempt had no effect.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full { .. } | Outcome::Crowded | Outcome::NoConnection | Outcome::NotSent)
    }

    /// The attempt ended without an answer that can be read whole: it may still be running.
    pub fn may_still_run(self) -> bool {
        match self {
            Outcome::TimedOut
            | Outcome::Broken
            | Outcome::Spoilt
            | Outcome::Cancelled
            | Outcome::Doubtful => true,
            Outcome::Served | Outcome::Error => false,
            Outcome::Full { .. } | Outcome::Crowded | Outcome::NoConnection | Outcome::NotSent => false,
        }
    }
}

/// What the relay saw, in the order in which it happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the list; `whole` replaces all that was known.
    Listed { whole: bool, entries: Vec<Entry> },
    /// These settings hold from now on. `classes`: the number by which the class at each place of them is named; at the
    /// start it is the place. Messages that are held keep the rules by which they were taken on.
    Retuned { settings: Box<Settings>, classes: Vec<usize> },
    /// What holds for messages of an earlier life that name their class by this number.
    Rules { class: usize, rules: Box<MessageRules> },
    /// A message was handed in and now awaits its final answer.
    Taken { id: MsgId, class: usize, dest: DestId, key: Option<String>, time_left: Nanos },
    /// An attempt ended; `over` says that its message has had its final answer.
    Ended { id: MsgId, attempt: u32, outcome: Outcome, latency: Nanos, over: bool },
    /// The connection of this attempt had been idle for so long, 0 if it was new; told before its end.
    Idled { id: MsgId, attempt: u32, idle: Nanos },
    /// Nobody waits for this message any more.
    Withdrawn { id: MsgId },
    /// A message of an earlier life of this relay: attempts made then, and how long ago and in which zone
    /// the first of them that may have run was sent.
    Restored {
        id: MsgId,
        class: usize,
        dest: DestId,
        key: Option<String>,
        time_left: Nanos,
        attempts: u32,
        may_have_run: Option<(Nanos, usize)>,
    },
    /// The destination lets no further attempt of this message through.
    Spent { id: MsgId },
    /// The destination will never take this message; its attempt has ended.
    Rejected { id: MsgId },
    /// The end of this message, asked for earlier, has reached its client: only now it is over.
    Settled { id: MsgId },
    /// A message of an earlier life whose end has not reached its client yet.
    Unsettled { id: MsgId, key: String },
    /// This host was sick in an earlier life of this relay, which sent it a call so long ago, if any that is known of, and
    /// was served by it at most so many calls a second; 0: not known.
    EndpointOut { host: HostId, last_call: Option<Nanos>, rate: f64 },
    /// The same of a destination whose hosts share one route, whichever it has by now.
    DestinationOut { dest: DestId, last_call: Option<Nanos>, rate: f64 },
    /// What another process of this relay has learned, behind the messages that are restored.
    Known { knowledge: Box<Knowledge> },
    /// A call that another process of this relay sent to this host so long ago, and that is still out: with messages that
    /// were restored in the same step, and with such that are over.
    Adopted { host: HostId, attempts: Vec<AdoptedAttempt>, ago: Nanos },
    /// Messages of this key but this one wait: an attempt of an earlier life may still be running.
    KeyRests { key: String, rest: Nanos, id: MsgId },
    /// The destination tells its limit, in calls a second from all relays together.
    /// `left`: the share of it that was left, 0 to 1; none where nothing is said of that.
    Reported { host: HostId, limit: f64, left: Option<f64> },
    /// The calls a second that the fleet deals out to this relay, of the limit, the cold budget or the trials of a host;
    /// none: it has one part of as many as there are senders.
    Dealt { host: HostId, rate: Option<f64> },
    /// What an operator's own list says of a host beyond its listing.
    Terms { host: HostId, terms: Terms },
    /// The break that ends this attempt was told of with another: it says nothing more of its host.
    Echo { id: MsgId, attempt: u32 },
    /// A host tells to wait, beside what it says of the messages of a call.
    Waits { host: HostId, wait: Nanos },
    /// What may share a call to a host, from now on.
    Shares { host: HostId, call: CallTerms },
    /// The bytes of a message, and with how many others it may share a call.
    Travels { id: MsgId, bytes: usize, group: usize },
    /// The relay may be killed from then on, and comes back later.
    Closing { at: Nanos },
    /// Final answers take time to arrive, so long of late: each is decided earlier by a margin of its message.
    EndsTake { time: Nanos },
    /// A wake-up asked for falls due.
    Woken,
}

/// What the relay is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: MsgId,
        host: HostId,
        timeout: Nanos,
    },
    /// Give up on an attempt that is out.
    Cancel {
        id: MsgId,
        attempt: u32,
    },
    /// Final: not delivered, a retry does no harm; 0: no advice on when.
    Refuse {
        id: MsgId,
        come_back: Nanos,
    },
    /// Final: not delivered, no promise.
    Fail {
        id: MsgId,
    },
    /// Close the idle connections to an endpoint.
    Close {
        host: HostId,
    },
    Wake {
        at: Nanos,
    },
    Subscribe,
    Log(String),
}
