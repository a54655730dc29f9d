//! Connection admission: who may hold a caller leg, and whose gives way. Free of I/O and of any wire: it is told
//! of each connection and of what comes of it, and says admit, admit and close another, refuse now, or wait.
//!
//! - **Caps** by address (IPv6: by /64), by prefix and by network hold what an operator sets; the longest match
//!   among the networks decides alone.
//! - **Fairness** needs no setting: when room is short the address that holds most gives way first, and among its
//!   legs the one that earned least and has waited longest. An address whose legs brought only junk counts as
//!   holding more, until that fades.
//! - **The reserve** is room that only known clients use: known by network, vouched for by a front, or by good
//!   messages of the leg or, lately, of its address.
//!
//! Each decision costs O(log room); what is remembered of addresses without legs is bounded (`Settings::records`).

mod counts;
pub mod ledger;
pub mod messages;
mod records;
mod room;
mod terms;

pub use records::Records;
pub use terms::{Caps, Networks, Rate, Settings, Terms};

use crate::interface::Nanos;
use ipnet::IpNet;
use records::{Bucket, Group, Record};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

pub type LegNo = u64;

/// New legs of a known address that have earned nothing yet count as known up to so many, and may come beyond a
/// rate: behind one address a flood may stand beside a client that earned its standing.
const ON_PROBATION: u32 = 8;
/// Legs that earned so much are not closed for a newcomer of their own address.
const PROVEN: u32 = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Admit(LegNo),
    /// The other one is to be closed, unless it has begun a request meanwhile: then once that is answered.
    AdmitAndClose(LegNo, LegNo),
    Refuse(Why),
    /// Legs that were told to close are still there: ask again when one has gone.
    Wait,
}

/// Why a leg is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Why {
    Barred,
    AddressLegs,
    AddressRate,
    PrefixLegs,
    PrefixRate,
    NetworkLegs,
    NetworkRate,
    /// All that is not reserved is in use, by those who hold no more than the newcomer.
    Room,
}

impl Why {
    pub fn name(self) -> &'static str {
        match self {
            Why::Barred => "barred",
            Why::AddressLegs => "address-legs",
            Why::AddressRate => "address-rate",
            Why::PrefixLegs => "prefix-legs",
            Why::PrefixRate => "prefix-rate",
            Why::NetworkLegs => "network-legs",
            Why::NetworkRate => "network-rate",
            Why::Room => "room",
        }
    }
}

/// What a request turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// A message that could be read and had a place to go.
    Good,
    /// Neither here nor there: a question whether we are there, a refusal for want of room.
    Neutral,
    /// What could not be read or served.
    Junk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for a request; may be closed.
    Idle,
    /// A request is being read or answered; never closed.
    Busy,
    /// Told to close. With a request that crossed the word: once that is answered.
    Closing { busy: bool },
}

#[derive(Debug)]
struct Leg {
    address: IpAddr,
    prefix: Option<IpNet>,
    network: usize,
    known: bool,
    state: State,
    /// Since when it waits.
    since: Nanos,
    asked: u32,
    good: u32,
    /// Over its last byte, or answered with an error after which nothing can follow.
    lingers: bool,
    /// Stays whoever comes: a front's or an account's that was vouched for.
    kept: bool,
}

/// Which of an address's legs gives way first: the least.
type Rank = (u8, Nanos, LegNo);

impl Leg {
    fn rank(&self, no: LegNo) -> Rank {
        let tier = match (self.lingers, self.asked, self.good) {
            (true, ..) | (_, 0, _) => 0,
            (_, _, 0) => 1,
            (_, _, good) => 1 + good.min(PROVEN) as u8,
        };
        (tier, self.since, no)
    }

    /// No request is open on it any more.
    fn rests(&mut self, now: Nanos) {
        self.since = now;
        self.state = match self.state {
            State::Closing { .. } => State::Closing { busy: false },
            State::Idle | State::Busy => State::Idle,
        };
    }

    fn counts(&self) -> bool {
        !matches!(self.state, State::Closing { .. })
    }
}

/// The legs of an address that are of one standing.
#[derive(Debug, Default)]
struct Seats {
    open: u32,
    idle: BTreeSet<Rank>,
    /// Under which weight, and with which leg to give, the address stands in the indexes.
    listed: Option<(u32, Reverse<Rank>)>,
}

/// An address that holds legs.
#[derive(Debug)]
struct Holder {
    record: Record,
    /// Others, known.
    seats: [Seats; 2],
    unproven: u32,
    /// Legs of any state, closing ones too.
    here: u32,
    network: usize,
    prefix: Option<IpNet>,
}

impl Holder {
    fn open(&self) -> u32 {
        self.seats[0].open + self.seats[1].open
    }
}

/// Addresses that have a leg to give, by weight, and among equals by the leg that goes first; others and known apart.
type Index = [BTreeSet<(u32, Reverse<Rank>, IpAddr)>; 2];

/// Legs of a prefix or a network with caps.
#[derive(Debug, Default)]
struct Crowd {
    open: u32,
    here: u32,
    bucket: Bucket,
    index: Index,
}

pub struct Admission {
    settings: Settings,
    networks: Networks,
    legs: HashMap<LegNo, Leg>,
    holders: HashMap<IpAddr, Holder>,
    prefixes: HashMap<IpNet, Crowd>,
    crowds: Vec<Crowd>,
    index: Index,
    records: Records,
    /// Open, of others and known; closing ones not counted.
    open: [usize; 2],
    closing: usize,
    next: LegNo,
}

impl Admission {
    pub fn new(settings: Settings) -> Admission {
        let networks = Networks::new(&settings);
        Admission {
            crowds: (0..=settings.networks.len()).map(|_| Crowd::default()).collect(),
            records: Records::new(settings.records),
            networks,
            settings,
            legs: HashMap::new(),
            holders: HashMap::new(),
            prefixes: HashMap::new(),
            index: Index::default(),
            open: [0, 0],
            closing: 0,
            next: 0,
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Legs that are open, those told to close not counted.
    pub fn open(&self) -> usize {
        self.open[0] + self.open[1]
    }

    pub fn known(&self) -> usize {
        self.open[1]
    }

    /// Legs that were told to close and are still there.
    pub fn closing(&self) -> usize {
        self.closing
    }

    /// Addresses remembered that hold no leg.
    pub fn remembered(&self) -> usize {
        self.records.len()
    }

    pub fn is_known(&self, leg: LegNo) -> bool {
        self.legs.get(&leg).is_some_and(|l| l.known)
    }

    /// Whether each leg from this address has to begin with a PROXY header.
    pub fn is_front(&self, address: IpAddr) -> bool {
        self.networks.terms(self.networks.place(address).1).front
    }

    /// Room that is not reserved.
    fn others_room(&self) -> usize {
        self.settings.room.saturating_sub(self.settings.reserve)
    }

    /// Legs that may be on their way out at once: beyond that newcomers wait.
    fn slack(&self) -> usize {
        (self.settings.room / 8).max(4)
    }

    /// A front has passed on whose leg this is. On anything but an admission the leg is to be closed.
    pub fn introduce(&mut self, now: Nanos, leg: LegNo, address: IpAddr) -> Verdict {
        self.gone(now, leg);
        // The front's word was heard already: a wait here would hold a descriptor for nothing.
        match self.arrive(now, address, true) {
            Verdict::Wait => Verdict::Refuse(Why::Room),
            verdict => verdict,
        }
    }

    /// Whoever is on this leg has shown who it is (an account): it is known and stays.
    pub fn vouch(&mut self, now: Nanos, leg: LegNo) {
        self.change(now, leg, |l| (l.known, l.kept) = (true, true));
    }

    /// A request begins. A leg that was told to close carries it to its answer.
    pub fn asked(&mut self, now: Nanos, leg: LegNo) {
        self.change(now, leg, |l| {
            l.asked = l.asked.saturating_add(1);
            l.state = match l.state {
                State::Closing { .. } => State::Closing { busy: true },
                State::Idle | State::Busy => State::Busy,
            };
        });
    }

    /// A request is answered; says whether the leg is to close now, since its group is over a cap that was lowered.
    pub fn answered(&mut self, now: Nanos, leg: LegNo, deed: Deed) -> bool {
        self.deed(now, leg, deed);
        self.change(now, leg, |l| {
            l.rests(now);
        });
        let over = self.legs.get(&leg).is_some_and(|l| l.counts() && self.over(l));
        if over {
            self.tell_to_close(now, leg);
        }
        over
    }

    /// Something came of a leg beside a request: a head that could not be read.
    pub fn deed(&mut self, now: Nanos, leg: LegNo, deed: Deed) {
        let (fade, penalty) = (self.settings.fade, self.settings.penalty_fade);
        let earns = self.settings.earns;
        let Some(address) = self.legs.get(&leg).map(|l| l.address) else { return };
        let Some(holder) = self.holders.get_mut(&address) else { return };
        match deed {
            Deed::Good => holder.record.good.add(now, fade, 1.0),
            Deed::Junk => holder.record.junk.add(now, penalty, 1.0),
            Deed::Neutral => return,
        }
        self.change(now, leg, |l| {
            if deed == Deed::Good {
                l.good = l.good.saturating_add(1);
                l.known |= l.good as f32 >= earns;
            }
        });
    }

    /// All is said on this leg: it is only read on so that its caller hears us.
    pub fn lingers(&mut self, now: Nanos, leg: LegNo) {
        self.change(now, leg, |l| {
            l.lingers = true;
            l.rests(now);
        });
    }

    pub fn gone(&mut self, now: Nanos, leg: LegNo) {
        if !self.legs.contains_key(&leg) {
            return;
        }
        self.unseat(now, leg);
        let Some(leg) = self.legs.remove(&leg) else { return };
        self.closing -= usize::from(!leg.counts());
        if let Some(prefix) = leg.prefix {
            if let Some(crowd) = self.prefixes.get_mut(&prefix) {
                crowd.here -= 1;
                if crowd.here == 0 {
                    let bucket = crowd.bucket;
                    self.prefixes.remove(&prefix);
                    self.records.rest(Group::Prefix(prefix), Record { bucket, ..Record::default() });
                }
            }
        }
        let Some(holder) = self.holders.get_mut(&leg.address) else { return };
        holder.here -= 1;
        if holder.here == 0 {
            let record = holder.record;
            self.holders.remove(&leg.address);
            self.records.rest(Group::Address(leg.address), record);
        }
    }

    /// Other settings, from now on. Returns the legs to close: what waits beyond the caps, least earned first;
    /// what has a request goes once that is answered.
    pub fn reload(&mut self, now: Nanos, settings: Settings) -> Vec<LegNo> {
        let mut all: Vec<LegNo> = self.legs.keys().copied().collect();
        all.sort_unstable();
        all.iter().for_each(|no| self.unseat(now, *no));
        self.networks = Networks::new(&settings);
        self.records.resize(settings.records);
        self.crowds = (0..=settings.networks.len()).map(|_| Crowd::default()).collect();
        self.prefixes.clear();
        self.settings = settings;
        for no in &all {
            let Some(address) = self.legs.get(no).map(|l| l.address) else { continue };
            let network = self.networks.place(address).1;
            let prefix = self.networks.prefix(network, address);
            let terms = *self.networks.terms(network);
            if let Some(leg) = self.legs.get_mut(no) {
                (leg.network, leg.prefix) = (network, prefix);
                leg.known = leg.kept || terms.known || terms.front || leg.good as f32 >= self.settings.earns;
            }
            if let Some(holder) = self.holders.get_mut(&address) {
                (holder.network, holder.prefix) = (network, prefix);
            }
            if let Some(prefix) = prefix {
                self.prefixes.entry(prefix).or_default().here += 1;
            }
            self.seat(now, *no);
        }
        let mut ranked: Vec<(Rank, LegNo)> =
            all.iter().filter_map(|no| Some((self.legs.get(no)?.rank(*no), *no))).collect();
        ranked.sort_unstable();
        let mut closed = Vec::new();
        for (_, no) in ranked {
            let Some(leg) = self.legs.get(&no) else { continue };
            if leg.state == State::Idle && self.over(leg) {
                self.tell_to_close(now, no);
                closed.push(no);
            }
        }
        closed
    }
}

fn full(cap: Option<u32>, open: u32) -> bool {
    cap.is_some_and(|most| open >= most)
}

fn above(cap: Option<u32>, open: u32) -> bool {
    cap.is_some_and(|most| open > most)
}
