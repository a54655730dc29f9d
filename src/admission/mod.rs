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

pub mod ledger;
mod records;
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

    /// A connection has come. Legs of a front are its own until they are introduced. `free`: there is a descriptor
    /// for it; else room is made as if all were in use.
    pub fn arrive(&mut self, now: Nanos, from: IpAddr, free: bool) -> Verdict {
        if self.closing >= self.slack() {
            return Verdict::Wait;
        }
        let (address, network) = self.networks.place(from);
        let terms = *self.networks.terms(network);
        if terms.barred {
            return Verdict::Refuse(Why::Barred);
        }
        let prefix = self.networks.prefix(network, from);
        let holder = self.holders.get(&address);
        let mut record = holder.map_or_else(|| self.records.of(Group::Address(address)), |h| h.record);
        let unproven = holder.map_or(0, |h| h.unproven);
        let standing = record.good.now(now, self.settings.fade) >= self.settings.earns;
        let on_probation = standing && unproven < ON_PROBATION;
        let known = terms.known || terms.front || on_probation;

        // Rates first: what is over them costs nothing but this look.
        if let Some(rate) = terms.address.rate {
            let lets = record.bucket.lets(now, &rate);
            if !lets && !on_probation {
                return self.turned_away(now, address, Why::AddressRate);
            }
            if lets {
                record.bucket.take(now, &rate);
            }
        }
        let of_prefix = prefix.and_then(|p| terms.prefix_caps.rate.map(|rate| (p, rate)));
        let mut bucket = of_prefix.map(|(p, _)| match self.prefixes.get(&p) {
            Some(crowd) => crowd.bucket,
            None => self.records.of(Group::Prefix(p)).bucket,
        });
        if let (Some(bucket), Some((_, rate))) = (&mut bucket, of_prefix) {
            if !bucket.lets(now, &rate) && !on_probation {
                return Verdict::Refuse(Why::PrefixRate);
            }
            bucket.take(now, &rate);
        }
        if let Some(rate) = terms.together.rate {
            let bucket = &mut self.crowds[network].bucket;
            if !bucket.lets(now, &rate) && !on_probation {
                return Verdict::Refuse(Why::NetworkRate);
            }
            bucket.take(now, &rate);
        }

        let room = match self.make_room(now, address, prefix, network, known, free) {
            Ok(victim) => victim,
            Err(why) => return self.turned_away(now, address, why),
        };
        if let Some(victim) = room {
            self.tell_to_close(now, victim);
        }
        let no = self.next;
        self.next += 1;
        let leg = Leg {
            address,
            prefix,
            network,
            known,
            state: State::Idle,
            since: now,
            asked: 0,
            good: 0,
            lingers: false,
            kept: false,
        };
        self.enter(no, leg, record, bucket);
        self.seat(now, no);
        match room {
            Some(victim) => Verdict::AdmitAndClose(no, victim),
            None => Verdict::Admit(no),
        }
    }

    /// A refusal counts a little against an address: one that keeps coming has its newcomers weigh more.
    fn turned_away(&mut self, now: Nanos, address: IpAddr, why: Why) -> Verdict {
        let half = self.settings.penalty_fade;
        match self.holders.get_mut(&address) {
            Some(holder) => holder.record.junk.add(now, half, 0.05),
            None => {
                let group = Group::Address(address);
                let mut record = self.records.wake(group);
                record.junk.add(now, half, 0.05);
                self.records.rest(group, record);
            }
        }
        Verdict::Refuse(why)
    }

    /// What has to go for a newcomer, or why nothing does.
    fn make_room(
        &mut self,
        now: Nanos,
        address: IpAddr,
        prefix: Option<IpNet>,
        network: usize,
        known: bool,
        free: bool,
    ) -> Result<Option<LegNo>, Why> {
        let terms = *self.networks.terms(network);
        let own = self.holders.get(&address).map_or(0, Holder::open);
        if full(terms.address.legs, own) {
            // One of its own that proved nothing gives way; all else stays.
            // Above a cap that was lowered a change would not do.
            let within = !above(terms.address.legs, own);
            let gives = self.own_least(address).filter(|(tier, ..)| *tier <= PROVEN as u8 && within);
            return gives.map(|(_, _, no)| Some(no)).ok_or(Why::AddressLegs);
        }
        let weight = self.weight(now, address, usize::from(known)) + 1;
        let in_prefix = prefix.and_then(|p| self.prefixes.get(&p)).map_or(0, |c| c.open);
        if above(terms.prefix_caps.legs, in_prefix) {
            return Err(Why::PrefixLegs);
        }
        if full(terms.prefix_caps.legs, in_prefix) {
            let gives = self.heaviest(now, Some(Of::Prefix(prefix)), known, address, Some(weight));
            return gives.map(Some).ok_or(Why::PrefixLegs);
        }
        if above(terms.together.legs, self.crowds[network].open) {
            return Err(Why::NetworkLegs);
        }
        if full(terms.together.legs, self.crowds[network].open) {
            let gives = self.heaviest(now, Some(Of::Network(network)), known, address, Some(weight));
            return gives.map(Some).ok_or(Why::NetworkLegs);
        }
        if !known && self.open[0] >= self.others_room() {
            // The reserve is not theirs, so only one of them can give way.
            return self.heaviest(now, None, false, address, Some(weight)).map(Some).ok_or(Why::Room);
        }
        if self.open() >= self.settings.room || !free {
            return self.heaviest(now, None, known, address, Some(weight)).map(Some).ok_or(Why::Room);
        }
        if self.open() >= self.settings.easy {
            return Ok(self.heaviest(now, None, known, address, None));
        }
        Ok(None)
    }

    /// The leg that this address would give.
    fn own_least(&self, address: IpAddr) -> Option<Rank> {
        let holder = self.holders.get(&address)?;
        let least = holder.seats.iter().filter_map(|s| s.idle.first().copied());
        least.min()
    }

    /// How much an address holds, in legs of one standing; what it spoilt and did not make good counts too.
    fn weight(&self, now: Nanos, address: IpAddr, standing: usize) -> u32 {
        let (open, record) = match self.holders.get(&address) {
            Some(h) => (h.seats[standing].open, h.record),
            None => (0, self.records.of(Group::Address(address))),
        };
        let good = record.good.now(now, self.settings.fade);
        let junk = record.junk.now(now, self.settings.penalty_fade);
        open + (junk - good).clamp(0.0, self.settings.room as f32) as u32
    }

    /// The leg of whoever holds most: of others first, of known ones only for a known newcomer. Nobody gives way
    /// to a newcomer that would then hold more, where `weight` says how much that is.
    fn heaviest(
        &mut self,
        now: Nanos,
        of: Option<Of>,
        known: bool,
        newcomer: IpAddr,
        weight: Option<u32>,
    ) -> Option<LegNo> {
        for standing in 0..=usize::from(known) {
            // A weight was reckoned when its address was last touched; a penalty has faded since.
            for _ in 0..8 {
                let Some((listed, Reverse((.., no)), address)) = self.index_of(of)[standing].last().copied()
                else {
                    break;
                };
                let now_weighs = self.weight(now, address, standing);
                if now_weighs < listed {
                    self.list(now, address);
                    continue;
                }
                // A known newcomer outweighs whatever others hold.
                let lighter = weight.is_none_or(|w| w <= listed);
                let yields = address == newcomer || lighter || (known && standing == 0);
                if !yields {
                    break;
                }
                return Some(no);
            }
        }
        // It may still take the place of one of its own.
        let own = self.holders.get(&newcomer)?;
        let standing = 0..=usize::from(known);
        standing.filter_map(|s| own.seats[s].idle.first()).min().map(|(_, _, no)| *no)
    }

    fn index_of(&self, of: Option<Of>) -> &Index {
        static NONE: Index = [BTreeSet::new(), BTreeSet::new()];
        match of {
            None => &self.index,
            Some(Of::Network(n)) => &self.crowds[n].index,
            Some(Of::Prefix(p)) => p.and_then(|p| self.prefixes.get(&p)).map_or(&NONE, |c| &c.index),
        }
    }

    /// Descriptors are short, whatever the room says: one leg that is to be closed, if any waits.
    pub fn give_one_up(&mut self, now: Nanos) -> Option<LegNo> {
        if self.closing >= self.slack() {
            return None;
        }
        let nobody = IpAddr::from([0, 0, 0, 0]);
        let victim = self.heaviest(now, None, true, nobody, None)?;
        self.tell_to_close(now, victim);
        Some(victim)
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

    /// Whether a group of this leg holds more than it may.
    fn over(&self, leg: &Leg) -> bool {
        let terms = self.networks.terms(leg.network);
        terms.barred
            || above(terms.address.legs, self.holders.get(&leg.address).map_or(0, Holder::open))
            || leg
                .prefix
                .and_then(|p| self.prefixes.get(&p))
                .is_some_and(|c| above(terms.prefix_caps.legs, c.open))
            || above(terms.together.legs, self.crowds[leg.network].open)
            || (!leg.kept && self.open() > self.settings.room)
            || (!leg.known && self.open[0] > self.others_room())
    }

    fn tell_to_close(&mut self, now: Nanos, no: LegNo) {
        self.change(now, no, |l| l.state = State::Closing { busy: l.state == State::Busy });
        self.closing += 1;
    }

    /// A leg is entered; it counts nowhere until it is seated.
    fn enter(&mut self, no: LegNo, leg: Leg, record: Record, bucket: Option<Bucket>) {
        if let Some(prefix) = leg.prefix {
            let crowd = self.prefixes.entry(prefix).or_default();
            crowd.here += 1;
            crowd.bucket = bucket.unwrap_or(crowd.bucket);
        }
        let (network, prefix) = (leg.network, leg.prefix);
        if !self.holders.contains_key(&leg.address) {
            self.records.wake(Group::Address(leg.address));
        }
        let holder = self.holders.entry(leg.address).or_insert_with(|| Holder {
            record,
            seats: [Seats::default(), Seats::default()],
            unproven: 0,
            here: 0,
            network,
            prefix,
        });
        holder.record = record;
        holder.here += 1;
        self.legs.insert(no, leg);
    }

    fn change(&mut self, now: Nanos, no: LegNo, f: impl FnOnce(&mut Leg)) {
        self.unseat(now, no);
        if let Some(leg) = self.legs.get_mut(&no) {
            f(leg);
        }
        self.seat(now, no);
    }

    /// Counts a leg where it belongs, and lists it among those that may give way.
    fn seat(&mut self, now: Nanos, no: LegNo) {
        self.count(now, no, true);
    }

    fn unseat(&mut self, now: Nanos, no: LegNo) {
        self.count(now, no, false);
    }

    fn count(&mut self, now: Nanos, no: LegNo, in_: bool) {
        let Some(leg) = self.legs.get(&no) else { return };
        let Some(holder) = self.holders.get_mut(&leg.address) else { return };
        if !leg.counts() {
            return;
        }
        let (standing, address) = (usize::from(leg.known), leg.address);
        let step = |n: &mut u32| *n = if in_ { *n + 1 } else { n.saturating_sub(1) };
        let seats = &mut holder.seats[standing];
        step(&mut seats.open);
        if leg.state == State::Idle && !leg.kept {
            match in_ {
                true => seats.idle.insert(leg.rank(no)),
                false => seats.idle.remove(&leg.rank(no)),
            };
        }
        if leg.good == 0 && !leg.kept {
            step(&mut holder.unproven);
        }
        step(&mut self.crowds[leg.network].open);
        if let Some(crowd) = leg.prefix.and_then(|p| self.prefixes.get_mut(&p)) {
            step(&mut crowd.open);
        }
        let open = &mut self.open[standing];
        *open = if in_ { *open + 1 } else { open.saturating_sub(1) };
        self.list(now, address);
    }

    /// Brings the indexes up to date with what an address holds.
    fn list(&mut self, now: Nanos, address: IpAddr) {
        for standing in [0, 1] {
            let weight = self.weight(now, address, standing);
            let Some(holder) = self.holders.get_mut(&address) else { return };
            let (network, prefix) = (holder.network, holder.prefix);
            let seats = &mut holder.seats[standing];
            let wanted = seats.idle.first().map(|rank| (weight, Reverse(*rank)));
            let listed = std::mem::replace(&mut seats.listed, wanted);
            if listed == wanted {
                continue;
            }
            let crowd = prefix.and_then(|p| self.prefixes.get_mut(&p));
            let of_all = [&mut self.index, &mut self.crowds[network].index];
            for index in of_all.into_iter().chain(crowd.map(|c| &mut c.index)) {
                let index = &mut index[standing];
                if let Some((weight, rank)) = listed {
                    index.remove(&(weight, rank, address));
                }
                if let Some((weight, rank)) = wanted {
                    index.insert((weight, rank, address));
                }
            }
        }
    }
}

fn full(cap: Option<u32>, open: u32) -> bool {
    cap.is_some_and(|most| open >= most)
}

fn above(cap: Option<u32>, open: u32) -> bool {
    cap.is_some_and(|most| open > most)
}

/// Among whom one is to give way.
#[derive(Clone, Copy)]
enum Of {
    Prefix(Option<IpNet>),
    Network(usize),
}
