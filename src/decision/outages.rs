//! Outages of routes: when one is on, and how an endpoint begins that comes while it is. A route comes back cold whichever
//! endpoints it has by then, so what one of them has shown binds those that come after it.

use super::health::LOST_ONE;
use super::interface::*;
use super::records::*;
use super::Relay;
use std::collections::BTreeSet;

impl Relay {
    /// Takes in an update of the list.
    pub(super) fn listed(&mut self, whole: bool, entries: &[Entry]) {
        let changed = self.book.listed(self.now, whole, entries, &self.set.kinds, &mut self.dice);
        // By what was known before the update: an endpoint that was well may have left by it.
        changed.iter().for_each(|host| self.join_outage(*host, 0));
        self.book.unreviewed.extend(changed);
    }

    /// An earlier life of this relay saw an outage of a destination whose endpoints share one route.
    pub(super) fn destination_was_out(&mut self, dest: DestId, last_call: Option<Nanos>, rate: f64) {
        let route = RouteId::Dest(dest);
        let ready = self.book.ready_hosts(route);
        let is_rate_known = ready.iter().any(|host| self.book.hosts[host].best_rate > 0.0);
        let began = Outage { health: Health::Down, changed_at: self.now, rate, joined: Default::default() };
        let outage = self.book.routes.entry(route).or_default().outage.get_or_insert(began);
        outage.rate = outage.rate.max(rate);
        // Where the rate of none is known they share that of the destination.
        if !is_rate_known {
            outage.joined.extend(ready.iter().copied());
        }
        self.book.outage_turned(route);
        for host in ready {
            // Those that have served calls were well in a process that has handed over to this one.
            if self.book.hosts[&host].last_served == 0 {
                let until = self.after_last_call(host, last_call);
                self.join_outage(host, until);
            }
            self.book.unreviewed.insert(host);
        }
    }

    /// When a host that was last called so long ago may be called again.
    pub(super) fn after_last_call(&mut self, host: HostId, last_call: Option<Nanos>) -> Nanos {
        let gap = self.gap_after_call(host, 1.0);
        last_call.map_or(0, |ago| self.now.saturating_sub(ago).saturating_add(gap))
    }

    fn route_id(&self, host: HostId) -> Option<RouteId> {
        Some(self.book.hosts.get(&host)?.route(host))
    }

    /// A host that may be called and has shown nothing against it begins as its route stands, not before `until`.
    fn join_outage(&mut self, host: HostId, until: Nanos) {
        let Some(route) = self.route_id(host) else { return };
        let Some(health) = self.book.outage(route, self.now, self.set.warm_up).map(|o| o.health) else {
            return;
        };
        let h = &self.book.hosts[&host];
        if h.state != Listing::Ready || h.health != Health::Well {
            return;
        }
        if let Some(outage) = self.book.route_of(host).outage.as_mut() {
            outage.joined.push(host);
        }
        let gap = match health {
            Health::Down => self.gap_before_first_trial(host),
            _ => (self.dice.roll() * self.cold_gap(host, 1.0)) as Nanos,
        };
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        (h.down_at, h.next) = (self.now, until.max(self.now.saturating_add(gap)));
        match health {
            Health::Doubted => h.health = health,
            _ => self.turn(host, health, "comes in an outage, or on the way back from one"),
        }
    }

    /// Takes in which hosts have turned, and which the list has changed.
    pub(super) fn review_outages(&mut self) {
        let changed = std::mem::take(&mut self.book.unreviewed);
        let routes: BTreeSet<RouteId> = changed.into_iter().filter_map(|host| self.route_id(host)).collect();
        routes.into_iter().for_each(|route| self.review_route(route));
    }

    /// A route is in an outage while none of its hosts is well.
    fn review_route(&mut self, route: RouteId) {
        let ready = self.book.ready_hosts(route);
        if ready.is_empty() {
            return self.route_is_empty(route);
        }
        let hosts = || ready.iter().map(|host| &self.book.hosts[host]);
        let health = hosts().map(|h| h.health).fold(Health::Doubted, more_telling);
        let rate = hosts().map(|h| h.best_rate).sum();
        if health == Health::Well {
            let ended = self.book.routes.get_mut(&route).and_then(|route| route.outage.take());
            if ended.is_some() {
                self.book.outage_turned(route);
            }
            return;
        }
        let begun = Outage { health, changed_at: self.now, rate, joined: Default::default() };
        let warm_up = self.set.warm_up;
        let record = &mut self.book.routes.entry(route).or_default().outage;
        record.take_if(|outage| outage.is_over(self.now, warm_up) && outage.health != health);
        let outage = record.get_or_insert(begun);
        outage.joined.retain(|host| ready.contains(host));
        if outage.health != health {
            (outage.health, outage.changed_at) = (health, self.now);
        }
        self.book.outage_turned(route);
    }

    /// A host that has had as long as it takes is warm, also where calls go to others meanwhile.
    pub(super) fn end_warmings(&mut self) {
        let (now, warm_up) = (self.now, self.set.warm_up);
        let is_warm =
            |health| matches!(health, Health::Warming { since } if since.saturating_add(warm_up) <= now);
        let warm = self.book.hosts.conditions().filter(|(_, condition)| is_warm(condition.health));
        for host in warm.map(|(host, _)| host).collect::<Vec<_>>() {
            self.turn(host, Health::Well, "is warm");
        }
        self.review_outages();
    }

    /// Whoever comes next begins as those stood that have gone.
    fn route_is_empty(&mut self, route: RouteId) {
        if let Some(outage) = self.book.routes.get_mut(&route).and_then(|r| r.outage.as_mut()) {
            outage.changed_at = self.now;
        }
    }

    /// Calls a second of this relay that a host takes once it is warm. Hosts that came in an outage take, of what their route
    /// served before, what those that were there leave; all of them together have no more than that.
    pub(super) fn rate_once_warm(&self, host: HostId) -> f64 {
        let own = self.own_rate(host);
        let Some(route) = self.route_id(host) else { return own };
        let outage = self.book.outage(route, self.now, self.set.warm_up);
        let Some(outage) = outage.filter(|outage| !outage.joined.is_empty()) else { return own };
        let ready = self.book.ready_hosts(route);
        let (joined, before): (Vec<HostId>, Vec<HostId>) =
            ready.into_iter().partition(|ready| outage.joined.contains(ready));
        let rate_before: f64 = before.iter().map(|host| self.own_rate(*host)).sum();
        let left = (outage.rate - rate_before).max(0.0) / joined.len().max(1) as f64;
        let rate_joined: f64 = joined.iter().map(|host| self.own_rate(*host).max(left)).sum();
        let wanted = if outage.joined.contains(&host) { own.max(left) } else { own };
        let (all, most) = (rate_before + rate_joined, outage.rate.max(rate_before));
        match most > 0.0 && all > most {
            true => wanted * most / all,
            false => wanted,
        }
    }

    /// Destinations whose outage may have turned since this was last asked for; with the rate that they had served before
    /// where they are in one, or just back from one: a next life has to know. One that is only doubted and has served
    /// nothing for a while may be shut.
    pub fn destination_outages(&mut self) -> Vec<(DestId, Option<f64>)> {
        let turned = self.book.take_turned_destinations();
        turned.into_iter().map(|dest| (dest, self.rate_before_outage(dest))).collect()
    }

    fn rate_before_outage(&self, dest: DestId) -> Option<f64> {
        let route = RouteId::Dest(dest);
        let outage = self.book.outage(route, self.now, self.set.warm_up)?;
        let served = self.book.ready_hosts(route).iter().map(|h| self.book.hosts[h].last_served).max();
        let is_quiet = self.now >= served.unwrap_or(0).saturating_add(LOST_ONE);
        (outage.health != Health::Doubted || is_quiet).then_some(outage.rate)
    }
}

/// Of how two hosts of a route stand what says more of the route: one that is well, then the latest answer on the way back,
/// then an outage that is certain.
fn more_telling(a: Health, b: Health) -> Health {
    let rank = |health: Health| match health {
        Health::Doubted => (0, 0),
        Health::Down => (1, 0),
        Health::Warming { since } => (2, since),
        Health::Well => (3, 0),
    };
    if rank(a) >= rank(b) {
        a
    } else {
        b
    }
}
