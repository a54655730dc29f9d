//! Told waits, limits that show themselves by refusals, and the budget of a cold host.

use super::health::{PACE_CUT, PACE_SPAN, TRIAL_GAP};
use super::interface::*;
use super::records::*;
use super::Relay;

const SPREAD: f64 = 0.5; // by chance, on gaps and rests: relays that act alike must not move together
const COLD_MARGIN: f64 = 2.0 / 3.0; // of the cold budget: a load is ours from two thirds of it on
const ROUGH: f64 = 1.5; // a listed limit may be so many times the true one
const LEAST_CAPACITY: f64 = 1.5; // calls a second, of all relays: even the smallest host serves about that
const SHUT_WAIT: Nanos = 2 * SEC; // a longer told wait means shut rather than over the limit,
const SHUT_AFTER: Nanos = 1_500 * MS; // and so do refusals alone for so long
const SHUT_REFUSALS: u32 = 3; // and so many, more where refusals in a row are usual
const PACE_CUT_GAP: Nanos = 500 * MS; // least time between cuts
const PACE_TRUST: f64 = 1.5; // a pace is cut from this multiple of what was accepted of late at most
const LEAST_PART: f64 = 0.5; // of our part of a told limit: refusals cut the pace no further
const FEW: f64 = 2.0; // calls a second: from so many on a relay finds its part by its own refusals
const SCARCE: f64 = 0.3; // share of a told limit that is left, below which no relay takes more than its part
const REST_FIRST: f64 = 0.04; // own rest after a refusal, as part of its bound; grows with each one
const REST_GROWTH: f64 = 4.0; // factor of each further refusal
const REST_LEVELS: u32 = 5; // factors at most
const REST_LEAST_MOST: f64 = 1.2e9; // its bound, in nanoseconds, where few relays send
const REST_MOST: f64 = 60e9; // and where very many do
const WAIT_ROUNDING: Nanos = 2 * MS; // added to a told wait, which comes in whole milliseconds

impl Relay {
    /// Counts a call against the pace, from the first on our part of a listed limit, and the cold budget.
    pub(super) fn spend(&mut self, host: HostId, messages: usize) {
        let (now, units) = (self.now, self.book.units(host, messages));
        let weight = 1.0 + self.weight_of_more(host) * messages.saturating_sub(1) as f64;
        let gap = self.gap_after_call(host, weight);
        let listed = self.set.limits != Limits::Unlisted;
        let part = Some(self.slice(host) * PACE_TRUST).filter(|p| listed && p > &0.0);
        let r = self.book.route_of(host);
        if let Some(p) = r.pace.or(part) {
            r.tokens = filled(r, p, now) - units;
            (r.filled, r.pace) = (now.max(r.filled), Some(p));
        }
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        (h.last_sent, h.last_used) = (now, now);
        let least = TRIAL_GAP * u64::from(h.health == Health::Down);
        h.next = if h.health == Health::Well { 0 } else { now + gap.max(least) };
    }

    /// Between a call to a cold host and the next one.
    pub(super) fn gap_after_call(&mut self, host: HostId, weight: f64) -> Nanos {
        (self.cold_gap(host, weight) * (1.0 - SPREAD / 2.0 + SPREAD * self.dice.roll())) as Nanos
    }

    /// A clump that meets a shut or full host is refused at one moment at as many relays. Spread over the aim,
    /// stretched by what a cold host takes, it keeps to half of our margin; relays with more signs have the
    /// other half. The same for messages that come while saved-up calls could go.
    pub(super) fn crowd_gap(&mut self, host: HostId) -> Nanos {
        let aim = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(SEC) as f64;
        let stretch = (COLD_MARGIN / 2.0 * self.set.overload_factor * self.set.cold_share).clamp(0.01, 1.0);
        (self.dice.roll() * self.cold_gap(host, 1.0).min(aim / stretch)) as Nanos
    }

    /// Calls a second that this relay may send to a host that is, or may be, coming back: its part of the
    /// cold budget; before a call is served that of its first moment. The parts of all relays add up to no more:
    /// - messages taken add up to the traffic, which a destination takes in the mean. Others that know of no
    ///   outage send too: if we keep to two thirds, no load above the budget is two thirds ours.
    /// - equal parts of the listed limit, lowered by what the list may err, are at most the capacity.
    /// - rates served over a longer run add up to what was served; where one is known, all have met the outage.
    pub(super) fn cold_rate(&self, host: HostId, at: Nanos) -> f64 {
        let Some(h) = self.book.hosts.get(&host) else { return 1.0 };
        if let Some(dealt) = self.book.route(host).and_then(|r| r.dealt) {
            return dealt;
        }
        let warm = match h.health {
            Health::Warming { since } => (at - since) as f64 / self.set.warm_up.max(1) as f64,
            _ => 0.0,
        };
        let share = self.set.cold_share + (1.0 - self.set.cold_share) * warm.min(1.0);
        self.set.overload_factor * share * self.rate_once_warm(host)
    }

    /// Calls a second of this relay that a host has served over a longer run, or else its part of what is asked.
    pub(super) fn own_rate(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        if h.best_rate > 0.0 {
            return h.best_rate;
        }
        let mates = self.book.hosts_of(h.dest).iter().map(|m| self.book.hosts[m].scale).sum::<f64>();
        let life = self.set.longest_life();
        let asked =
            self.book.flows.get(&h.dest).map_or(0.0, |f| f.asked_rate(self.now, self.book.started, life));
        let listed = if self.set.limits == Limits::Unlisted { 0.0 } else { h.scale / ROUGH };
        let told = self.few(host) * h.scale / mates.max(h.scale);
        let equal = (listed.max(LEAST_CAPACITY) / f64::from(self.set.senders.max(1))).max(told);
        COLD_MARGIN * (asked * h.scale / mates.max(h.scale)).max(equal)
    }

    /// Nanoseconds in which the part allows a call of this weight, the ramp rising meanwhile, in bounds.
    pub(super) fn cold_gap(&self, host: HostId, weight: f64) -> f64 {
        let gap = weight * 1e9 / self.cold_rate(host, self.now);
        let rate = self.cold_rate(host, self.now.saturating_add((gap / 2.0) as Nanos));
        (weight * 1e9 / rate).min(Nanos::MAX as f64 / 4.0)
    }

    /// A told wait binds its whole route, and the millisecond cut off when it is told.
    pub(super) fn heed(&mut self, host: HostId, wait: Nanos) {
        let until = self.now.saturating_add(wait).saturating_add(WAIT_ROUNDING);
        let r = self.book.route_of(host);
        r.wait = r.wait.max(until);
    }

    /// Our part of a reported limit where it is so small that our own calls tell too little of it; else 0.
    pub(super) fn few(&self, host: HostId) -> f64 {
        let limit = self.book.route(host).map_or(0.0, |r| r.limit);
        Some(self.slice(host)).filter(|s| limit > 0.0 && *s < FEW).unwrap_or(0.0)
    }

    /// A told limit, and what is left of it, binds as soon as it is heard of: all relays hear the same.
    pub(super) fn reported(&mut self, host: HostId, limit: f64, left: Option<f64>) {
        let (before, left) = (self.slice(host), left.map_or(0.5, |left| left.clamp(0.0, 1.0)));
        let r = self.book.route_of(host);
        (r.limit, r.left) = (limit, left);
        let (slice, few, now, r) = (self.slice(host), self.few(host), self.now, self.book.route_of(host));
        if few == 0.0 {
            r.pace = r.pace.map(|p| p.max(slice * PACE_CUT));
        } else if let Some(p) = r.pace.filter(|_| before > 0.0) {
            r.refill(now);
            r.pace = Some(p * slice / before);
        }
        if few > 0.0 && left < SCARCE {
            let used = rate_of(&mut r.accepted, PACE_SPAN, now).unwrap_or(0.0);
            r.pace = Some(r.pace.unwrap_or(f64::MAX).min(used.max(slice)));
        }
    }

    /// What the fleet deals out binds from the first call on; a gap that came of another part lasts no longer.
    pub(super) fn dealt(&mut self, host: HostId, rate: Option<f64>) {
        let (now, r) = (self.now, self.book.route_of(host));
        r.refill(now);
        (r.dealt, r.pace) = (rate, rate.or(r.pace.filter(|p| *p > 0.0)));
        r.rest = r.rest.min(rate.map_or(Nanos::MAX, |_| now + REST_LEAST_MOST as Nanos));
        let gap = (self.dice.roll() * self.cold_gap(host, 1.0)) as Nanos;
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.next = h.next.min(now.saturating_add(gap).max(h.down_at.saturating_add(TRIAL_GAP)));
        self.book.turns.touch(h.dest);
    }

    /// Refused as full: cut the pace; refusals without a success, or a long wait, mean shut and cold later.
    pub(super) fn refused(&mut self, host: HostId, sent: Nanos, wait: Nanos) {
        let (now, route, slice) = (self.now, self.book.hosts[&host].route(host), self.slice(host));
        let (roll, few, cold) = (self.dice.roll(), self.few(host), self.may_be_cold(host));
        let dealt = self.book.routes.get(&route).and_then(|r| r.dealt);
        let (most, told) = (self.longest_rest(dealt.unwrap_or(few)), few > 0.0);
        let r = self.book.routes.entry(route).or_default();
        if r.refused == 0 {
            (r.refused_since, r.usual) = (now, r.level);
        }
        // Where rests are long, calls out together at a sound host are refused once: one sent later is a step more.
        let alone = dealt.is_none() && (cold || most <= REST_LEAST_MOST);
        let step = u32::from(r.refused == 0 || sent >= r.stepped || alone);
        (r.refused, r.level) = (r.refused.saturating_add(1), (r.level + step).min(REST_LEVELS));
        r.stepped = if step > 0 { now } else { r.stepped };
        // A told wait may end for all relays at one moment: the rest after it is spread from nothing on.
        let rest = (REST_FIRST * most * REST_GROWTH.powi(r.level as i32 - 1)).min(most);
        let from = if wait == 0 { 1.0 - SPREAD } else { 0.0 };
        let spread = (rest * (from + 2.0 * SPREAD * roll)) as Nanos;
        r.rest = r.rest.max(now.max(r.wait).saturating_add(spread));
        if now >= r.cut + PACE_CUT_GAP {
            let used = rate_of(&mut r.accepted, PACE_SPAN, now).unwrap_or(0.0);
            let from = r.pace.map_or(used.max(slice), |p| p.min(used * PACE_TRUST).max(p * 0.5));
            // One cut is enough to come under our part of a told limit: refused calls use it up, so at it all are.
            let trust = if told { (LEAST_PART, 1.0) } else { (1.0, PACE_TRUST) };
            let from = if slice > 0.0 { from.clamp(slice * trust.0, slice * trust.1) } else { from };
            let pace = (from * PACE_CUT).max(if told { 0.0 } else { 1e9 / REST_LEAST_MOST });
            let pace = pace.min(dealt.unwrap_or(f64::MAX));
            r.full_at = from;
            let text = || Action::Log(format!("host {host} refuses as full, paced at {pace:.1} a second"));
            self.actions.extend(r.pace.is_none().then(text));
            (r.pace, r.cut, r.filled, r.tokens) = (Some(pace), now, now, 0.0);
        }
        if told {
            (r.filled, r.tokens) = (now.max(r.wait), roll); // all waits end at one moment
        }
        let mut mates = self.book.hosts_of(self.book.hosts[&host].dest).to_vec();
        mates.retain(|h| self.book.hosts[h].route(*h) == route);
        let r = &self.book.routes[&route];
        let doubted = !told || r.refused > 1 && r.left > SCARCE;
        let shut = wait > SHUT_WAIT
            || (!told || r.left > SCARCE)
                && (r.refused >= SHUT_REFUSALS + r.usual && now >= r.refused_since + SHUT_AFTER);
        let until = r.wait.max(r.rest);
        mates.iter().filter(|_| doubted).for_each(|h| self.doubt(*h, true));
        if shut {
            mates.into_iter().for_each(|h| self.down(h, until));
        }
    }

    /// Bound of the rest after refusals: the relays together ask a small destination as often as it can take.
    fn longest_rest(&self, slice: f64) -> f64 {
        let each = (LEAST_CAPACITY / f64::from(self.set.senders.max(1))).max(slice);
        (1e9 / each).clamp(REST_LEAST_MOST, REST_MOST)
    }
}
