//! What calls have shown of hosts, routes and destinations, as one process of the relay hands it to the next.

use super::book::Book;
use super::flow::Flow;
use super::host::Condition;
use super::{DestId, HostId, Nanos, Route, RouteId};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// What was learned. Times are those of the relay's clock, which goes on from process to process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Knowledge {
    hosts: Vec<(HostId, Condition)>,
    routes: Vec<(RouteId, Route)>,
    flows: Vec<(DestId, Learned)>,
    idle_safe: Option<Nanos>,
    /// Of all hosts together.
    pub(crate) slowness: f64,
    pub(crate) mean_cost: f64,
}

/// What was learned of a destination.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Learned {
    phi: f64,
    cost: f64,
    calls: f64,
    served: f64,
    rate: f64,
    done: f64,
    asked: f64,
    asked_at: Nanos,
    asked_from: Nanos,
}

impl Learned {
    fn of(flow: &Flow, started: Nanos) -> Learned {
        let Flow { phi, cost, calls, served, rate, done, asked, asked_at, asked_from, .. } = *flow;
        let asked_from = asked_from.min(started);
        Learned { phi, cost, calls, served, rate, done, asked, asked_at, asked_from }
    }

    fn give(&self, flow: &mut Flow) {
        (flow.phi, flow.cost, flow.rate) = (self.phi, self.cost, self.rate);
        (flow.calls, flow.served, flow.done) = (self.calls, self.served, self.done);
        (flow.asked, flow.asked_at, flow.asked_from) = (self.asked, self.asked_at, self.asked_from);
    }
}

impl Knowledge {
    /// The hosts that it speaks of.
    pub fn hosts(&self) -> impl Iterator<Item = HostId> + '_ {
        let routes = self.routes.iter().filter_map(|(id, _)| match id {
            RouteId::Host(host) => Some(*host),
            RouteId::Dest(_) => None,
        });
        self.hosts.iter().map(|(id, _)| *id).chain(routes)
    }

    /// The same with the numbers that hosts have in another process; of others nothing is kept.
    pub fn renumbered(mut self, numbers: &HashMap<HostId, HostId>) -> Knowledge {
        self.hosts.retain_mut(|(id, _)| {
            numbers.get(id).is_some_and(|new| {
                *id = *new;
                true
            })
        });
        self.routes.retain_mut(|(id, _)| match id {
            RouteId::Dest(_) => true,
            RouteId::Host(host) => numbers.get(host).is_some_and(|new| {
                *host = *new;
                true
            }),
        });
        self
    }
}

impl Book {
    /// All that was learned.
    pub fn knowledge(&self, slowness: f64, mean_cost: f64) -> Knowledge {
        let alone = |route: &Route| Route { dealt: None, ..route.clone() };
        Knowledge {
            hosts: self.hosts.conditions().map(|(id, condition)| (id, condition.clone())).collect(),
            routes: self.routes.iter().map(|(id, route)| (*id, alone(route))).collect(),
            flows: self.flows.iter().map(|(dest, flow)| (*dest, Learned::of(flow, self.started))).collect(),
            idle_safe: self.idle_safe,
            slowness,
            mean_cost,
        }
    }

    /// Takes in what another process has learned; calls that are out are counted apart.
    pub fn know(&mut self, knowledge: Knowledge) {
        for (id, condition) in knowledge.hosts {
            if let Some(host) = self.hosts.get_mut(&id) {
                let out = host.out;
                **host = Condition { out, ..condition };
                host.last_used = host.last_used.max(host.last_sent);
            }
        }
        self.routes.extend(knowledge.routes);
        self.carry_handed_waits();
        self.idle_safe = knowledge.idle_safe;
        for (dest, learned) in knowledge.flows {
            if let Some(flow) = self.flows.get_mut(&dest) {
                learned.give(flow);
            }
            self.turns.touch(dest);
        }
        let ids: Vec<_> = self.messages.keys().copied().collect();
        for id in ids {
            if let Some(message) = self.messages.get_mut(&id) {
                // Nothing has come between: they go in the usual order.
                message.restored = false;
            }
            self.rank(id);
        }
    }
}
