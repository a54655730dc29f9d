//! Decisions that only a relay on real sockets needs: about restarts, and between a decision and its first byte.

use super::interface::*;
use super::records::Knowledge;
use super::Relay;
use std::sync::Arc;

impl Relay {
    pub(super) fn rare(&mut self, event: &Event) {
        match event {
            Event::Restored { id, class, dest, key, time_left, attempts, may_have_run } => {
                self.taken(*id, *class, *dest, key.clone(), *time_left);
                let past = may_have_run.map(|(ago, zone)| (self.now.saturating_sub(ago), zone));
                self.book.restore(self.now, *id, *attempts, past);
                self.file(*id);
            }
            Event::Rejected { id } => {
                self.actions.push(Action::Fail { id: *id });
                self.part_with(*id);
            }
            Event::EndpointOut { host, last_call, rate } if self.book.hosts.contains_key(host) => {
                if let Some(h) = self.book.hosts.get_mut(host) {
                    h.best_rate = h.best_rate.max(*rate);
                }
                let until = self.after_last_call(*host, *last_call);
                self.down(*host, until);
            }
            Event::DestinationOut { dest, last_call, rate } => {
                self.destination_was_out(*dest, *last_call, *rate)
            }
            Event::Known { knowledge } => self.know((**knowledge).clone()),
            Event::Adopted { host, attempts, ago } if self.book.hosts.contains_key(host) => {
                self.book.adopt(*host, attempts, self.now.saturating_sub(*ago));
            }
            Event::KeyRests { key, rest, id } => {
                self.book.key_rests(key, self.now.saturating_add(*rest), *id);
            }
            Event::Reported { host, limit, left } if self.book.hosts.contains_key(host) => {
                self.reported(*host, *limit, *left);
                self.book.turns.touch(self.book.hosts[host].dest);
            }
            Event::Dealt { host, rate } if self.book.hosts.contains_key(host) => self.dealt(*host, *rate),
            Event::Waits { host, wait } => self.heed(*host, *wait),
            Event::Retuned { settings, classes } => self.retuned((**settings).clone(), classes),
            Event::Rules { class, rules } => drop(self.rules.insert(*class, Arc::new((**rules).clone()))),
            noted => self.book.note(self.now, noted),
        }
    }

    /// A message that has its end leaves, but for its place in its key's line.
    pub(super) fn part_with(&mut self, id: MsgId) {
        let key = self.book.messages.get(&id).and_then(|m| m.key.clone());
        self.forget(id);
        if let Some(key) = key.filter(|_| self.book.settles_later) {
            self.book.leave_unsettled(id, key);
        }
    }

    /// Whether a call decided on a moment ago may still be written: its connection may have been slow to come up.
    pub fn still_open(&self, host: HostId, now: Nanos) -> bool {
        let Some(h) = self.book.hosts.get(&host) else { return false };
        h.state == Listing::Ready && self.book.route(host).is_none_or(|r| r.wait <= now)
    }

    /// What calls have shown, for a process that takes over.
    pub fn knowledge(&self) -> Knowledge {
        self.book.knowledge(self.slowness, self.mean_cost)
    }

    /// The highest rate at which a host has served calls of this relay, a second; 0: not known.
    pub fn best_rate(&self, host: HostId) -> f64 {
        self.book.hosts.get(&host).map_or(0.0, |h| h.best_rate)
    }

    fn know(&mut self, knowledge: Knowledge) {
        (self.slowness, self.mean_cost) = (knowledge.slowness, knowledge.mean_cost);
        self.book.know(knowledge);
        // Which routes are in an outage follows from how their hosts stand.
        let known: Vec<HostId> = self.book.hosts.conditions().map(|(host, _)| host).collect();
        self.book.unreviewed.extend(known);
        let v = self.book.virtual_time;
        self.book.flows.values_mut().for_each(|f| f.retag(self.mean_cost.min(f.cost), v));
        let dests: Vec<DestId> = self.book.flows.keys().copied().collect();
        dests.into_iter().for_each(|dest| self.book.turn(dest));
    }

    /// Keys that rest, until when, and the message that does not wait for it.
    pub fn resting_keys(&self) -> impl Iterator<Item = (&str, Nanos, MsgId)> {
        self.book.resting_keys(self.now)
    }

    /// A call that would be out when the relay is killed may have run, and nobody would know.
    pub(super) fn too_late(&self, host: HostId) -> bool {
        self.book.closing.is_some_and(|at| self.now.saturating_add(self.overdue_after(host)) > at)
    }

    /// What the fleet deals out to this relay, else its part of the listed or reported limit; 0 where there is none.
    pub(super) fn slice(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        let (reported, dealt) = self.book.route(host).map_or((0.0, None), |r| (r.limit, r.dealt));
        let limit = if self.set.limits == Limits::Unlisted { reported } else { h.scale };
        dealt.unwrap_or(limit / f64::from(self.set.senders.max(1)))
    }

    /// An operator's terms: a bound on the calls out, and backups that wait for the others to fall sick.
    pub(super) fn within_terms(&self, host: HostId) -> bool {
        let h = &self.book.hosts[&host];
        let first = |m: &HostId| {
            let mate = &self.book.hosts[m];
            !mate.terms().backup && mate.state == Listing::Ready && self.is_well(*m)
        };
        h.out < h.terms().most_out && !(h.terms().backup && self.book.hosts_of(h.dest).iter().any(first))
    }

    /// The last of each step. Before a planned end what cannot go any more is handed back where that is harmless.
    pub(super) fn wind_up(&mut self) {
        self.reclaim();
        if self.book.closing.is_none() {
            return;
        }
        let dests =
            self.book.turns.all().filter(|d| self.book.hosts_of(*d).iter().all(|h| self.too_late(*h)));
        let held = dests.flat_map(|d| self.book.flows[&d].held.values());
        let back =
            held.filter(|id| self.may_refuse(&self.book.messages[id])).copied().collect::<Vec<MsgId>>();
        back.into_iter().for_each(|id| self.give_up(id));
    }
}
