//! Who is let in, and which leg gives way where room is short.

use super::records::Group;
use super::{
    above, full, Admission, Holder, Index, Leg, LegNo, Rank, State, Verdict, Why, ON_PROBATION, PROVEN,
};
use crate::interface::Nanos;
use ipnet::IpNet;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::IpAddr;

impl Admission {
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
    pub(super) fn turned_away(&mut self, now: Nanos, address: IpAddr, why: Why) -> Verdict {
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

    /// The address by which a client counts: IPv6 by its /64.
    pub fn counts_as(&self, address: IpAddr) -> IpAddr {
        self.networks.place(address).0
    }

    /// What has to go for a newcomer, or why nothing does.
    pub(super) fn make_room(
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
        let weight = self.newcomer_weight(now, address, known);
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
            return Ok(self.heaviest(now, None, known, address, Some(weight)));
        }
        Ok(None)
    }

    /// How much an address would hold with one more leg. A known one may take the place of any other, so that all that it has
    /// counts.
    fn newcomer_weight(&self, now: Nanos, address: IpAddr, known: bool) -> u32 {
        let others = self.holders.get(&address).filter(|_| known).map_or(0, |holder| holder.seats[0].open);
        self.weight(now, address, usize::from(known)) + others + 1
    }

    /// The leg that this address would give.
    pub(super) fn own_least(&self, address: IpAddr) -> Option<Rank> {
        let holder = self.holders.get(&address)?;
        let least = holder.seats.iter().filter_map(|s| s.idle.first().copied());
        least.min()
    }

    /// How much an address holds, in legs of one standing; what it spoilt and did not make good counts too.
    pub(super) fn weight(&self, now: Nanos, address: IpAddr, standing: usize) -> u32 {
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

    /// Whether a group of this leg holds more than it may.
    pub(super) fn over(&self, leg: &Leg) -> bool {
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
}

/// Among whom one is to give way.
#[derive(Clone, Copy)]
enum Of {
    Prefix(Option<IpNet>),
    Network(usize),
}
