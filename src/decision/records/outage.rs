//! Outages of routes: what is known of one whichever endpoints its route has by now. Nothing is decided here.

use super::book::Book;
use super::hosts::IDLE_REMEMBERED;
use super::{DestId, Health, HostId, Nanos, RouteId};
use crate::decision::interface::Listing;
use smallvec::SmallVec;

/// An outage of a route, from the first moment at which none of its endpoints is well to the end of its way back.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Outage {
    /// How an endpoint begins that has shown nothing of its own yet.
    pub health: Health,
    /// When that, or which endpoints the route has, last changed.
    pub changed_at: Nanos,
    /// Calls a second that the endpoints of the route had served together, over a longer run, as it began; 0: not known.
    pub rate: f64,
    /// Endpoints that came to the route since it began.
    pub joined: SmallVec<[HostId; 4]>,
}

impl Outage {
    /// The way back has taken as long as a route takes to warm up.
    pub fn is_over(&self, now: Nanos, warm_up: Nanos) -> bool {
        matches!(self.health, Health::Warming { since } if since.saturating_add(warm_up) <= now)
    }
}

impl Book {
    /// The outage that a route is in, or on its way back from.
    pub fn outage(&self, route: RouteId, now: Nanos, warm_up: Nanos) -> Option<&Outage> {
        self.routes.get(&route)?.outage.as_ref().filter(|outage| !outage.is_over(now, warm_up))
    }

    /// The hosts of a route to which calls may go.
    pub fn ready_hosts(&self, route: RouteId) -> SmallVec<[HostId; 4]> {
        let hosts = match &route {
            RouteId::Dest(dest) => self.hosts_of(*dest),
            RouteId::Host(host) => std::slice::from_ref(host),
        };
        let is_ready = |id: &&HostId| {
            self.hosts.get(id).is_some_and(|h| h.state == Listing::Ready && h.route(**id) == route)
        };
        hosts.iter().filter(is_ready).copied().collect()
    }

    /// An outage of this route began, turned or ended.
    pub fn outage_turned(&mut self, route: RouteId) {
        if let RouteId::Dest(dest) = route {
            self.turned_destinations.insert(dest);
        }
    }

    /// Destinations of which the outage has turned since this was last asked for.
    pub fn take_turned_destinations(&mut self) -> Vec<DestId> {
        std::mem::take(&mut self.turned_destinations).into_iter().collect()
    }

    /// Lets go of outages that are over, and of those of routes that have had no endpoint for long.
    pub(super) fn let_go_of_outages(&mut self, now: Nanos, warm_up: Nanos) {
        let is_left = |id: &RouteId, outage: &Outage| {
            outage.changed_at.saturating_add(IDLE_REMEMBERED) <= now && self.ready_hosts(*id).is_empty()
        };
        let ended = self.routes.iter().filter_map(|(id, route)| {
            let outage = route.outage.as_ref()?;
            (outage.is_over(now, warm_up) || is_left(id, outage)).then_some(*id)
        });
        for id in ended.collect::<Vec<_>>() {
            if let Some(route) = self.routes.get_mut(&id) {
                route.outage = None;
            }
            self.outage_turned(id);
        }
    }
}
