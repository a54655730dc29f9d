//! Legs as they are counted: entered, seated, changed, and listed by what their address holds.

use super::records::{Bucket, Group, Record};
use super::{Admission, Holder, Leg, LegNo, Seats, State};
use crate::interface::Nanos;
use std::cmp::Reverse;
use std::net::IpAddr;

impl Admission {
    pub(super) fn tell_to_close(&mut self, now: Nanos, no: LegNo) {
        self.change(now, no, |l| l.state = State::Closing { busy: l.state == State::Busy });
        self.closing += 1;
    }

    /// A leg is entered; it counts nowhere until it is seated.
    pub(super) fn enter(&mut self, no: LegNo, leg: Leg, record: Record, bucket: Option<Bucket>) {
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

    pub(super) fn change(&mut self, now: Nanos, no: LegNo, f: impl FnOnce(&mut Leg)) {
        self.unseat(now, no);
        if let Some(leg) = self.legs.get_mut(&no) {
            f(leg);
        }
        self.seat(now, no);
    }

    /// Counts a leg where it belongs, and lists it among those that may give way.
    pub(super) fn seat(&mut self, now: Nanos, no: LegNo) {
        self.count(now, no, true);
    }

    pub(super) fn unseat(&mut self, now: Nanos, no: LegNo) {
        self.count(now, no, false);
    }

    pub(super) fn count(&mut self, now: Nanos, no: LegNo, in_: bool) {
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
    pub(super) fn list(&mut self, now: Nanos, address: IpAddr) {
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
