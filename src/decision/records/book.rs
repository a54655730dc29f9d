//! The book of all that the module remembers, and the indexes over it.

use super::hosts::{Change, Hosts, IDLE_REMEMBERED};
use super::*;
use crate::decision::interface::{Entry, Event, KeyLock, Kind, Settings};
use crate::decision::turns::{Ends, Turns};
use std::collections::{BTreeMap, BTreeSet};

/// Lots that may be drawn for a host.
const LOTS: f64 = 1e9;

#[derive(Debug, Default)]
pub(crate) struct Book {
    pub messages: BTreeMap<MsgId, Message>,
    pub attempts: BTreeMap<(MsgId, u32), Attempt>,
    pub calls: BTreeMap<u64, Call>,
    pub hosts: Hosts,
    pub routes: BTreeMap<RouteId, Route>,
    pub flows: BTreeMap<DestId, Flow>,
    /// Destinations with held messages, messages by their ends, and the calls out to each host.
    pub turns: Turns,
    pub ends: Ends,
    calls_to: BTreeSet<(HostId, u64)>,
    /// Hosts of which the health or the listing has changed since it was last asked for.
    pub turned: BTreeSet<HostId>,
    /// Hosts that have changed since the outages of their routes were last reviewed.
    pub unreviewed: BTreeSet<HostId>,
    /// Destinations of which the outage may have turned since that was last asked for.
    pub(super) turned_destinations: BTreeSet<DestId>,
    pub keys: BTreeMap<String, KeyLine>,
    next_call: u64,
    pub virtual_time: f64,
    pub next_interval: Nanos,
    /// The first step.
    pub started: Nanos,
    /// The next wake-up asked for.
    pub wake: Nanos,
    /// No held message comes to its end before this.
    pub next_end: Nanos,
    /// Idle time after which connections are not trusted; none while they prove sound.
    pub idle_safe: Option<Nanos>,
    /// What final answers took to arrive of late; none where they take no time, and need no margin.
    pub ends_take: Option<Nanos>,
    /// From when on the relay may be killed.
    pub closing: Option<Nanos>,
    /// Ends take time to reach the client, and a message is over only then: until then those that have
    /// theirs keep their places in their keys' lines.
    pub settles_later: bool,
    pub unsettled: BTreeMap<MsgId, String>,
}

impl Book {
    pub fn calls_to_dest(&self, dest: DestId) -> usize {
        self.flows.get(&dest).map_or(0, |f| f.out)
    }

    pub fn hosts_of(&self, dest: DestId) -> &[HostId] {
        self.hosts.of(dest)
    }

    /// Takes in an update of the list; `whole` replaces all that was known. What changes nothing is only looked up. Returns
    /// the hosts of which something is different.
    pub fn listed(
        &mut self,
        now: Nanos,
        whole: bool,
        entries: &[Entry],
        kinds: &[Kind],
        rng: &mut Dice,
    ) -> Vec<HostId> {
        let mut changed = Vec::new();
        if whole {
            let mut listed: Vec<HostId> = entries.iter().map(|e| e.host).collect();
            listed.sort_unstable();
            for id in self.hosts.leave_but(&listed) {
                self.turned_unless_well(id);
                changed.push(id);
            }
        }
        for e in entries {
            let kind = kinds.get(e.kind).copied().unwrap_or(Kind { apart: false, per_call: 1 });
            let route = self.hosts.get(&e.host).filter(|h| h.dest == e.dest).map(|h| h.route(e.host));
            let change = self.hosts.list(now, e, kind, || (rng.roll() * LOTS) as u32);
            if change == Change::Listing {
                self.carry_waits(e.host, route);
            }
            match change {
                Change::Nothing => continue,
                // Listed for another destination, it must not get messages of the one that it left.
                Change::Moved => drop(self.turned.insert(e.host)),
                // Its outage, if it is in one, matters to those who keep it only as long as it is listed.
                Change::Listing | Change::New => self.turned_unless_well(e.host),
            }
            self.turns.touch(e.dest);
            changed.push(e.host);
        }
        changed
    }

    /// The health of a host that is not well may have changed.
    pub fn turned_unless_well(&mut self, host: HostId) {
        if self.hosts.get(&host).is_some_and(|h| h.health != Health::Well) {
            self.turned.insert(host);
        }
    }

    /// Takes down what nothing follows from at once.
    pub fn note(&mut self, now: Nanos, event: &Event) {
        match event {
            Event::Spent { id } => self.spend_attempts(*id),
            Event::Settled { id } => {
                let key = self.unsettled.remove(id);
                self.leave_key(&key, *id, now);
            }
            Event::Unsettled { id, key } => self.leave_unsettled(*id, key.clone()),
            Event::Terms { host, terms } => self.hosts.set_terms(*host, *terms),
            Event::Shares { host, call } => self.hosts.set_call(*host, *call),
            Event::Travels { id, bytes, group } => self.set_travels(*id, *bytes, *group),
            Event::Idled { id, attempt, idle } => self.idled((*id, *attempt), *idle),
            Event::Echo { id, attempt } => self.mute((*id, *attempt)),
            Event::EndsTake { time } => {
                self.ends_take = Some(*time);
                self.next_end = 0;
            }
            Event::Closing { at } => {
                self.closing = Some(*at);
                self.turns.touch_all();
            }
            _ => {}
        }
    }

    /// A new connection to this host was turned away for want of room.
    pub fn crowded(&mut self, host: HostId, now: Nanos, roll: f64) {
        let Some(h) = self.hosts.get_mut(&host) else { return };
        h.crowd.turned_away(now, roll);
    }

    /// The route of a host, if there is a record of it.
    pub fn route(&self, host: HostId) -> Option<&Route> {
        self.routes.get(&self.hosts.get(&host)?.route(host))
    }

    pub fn route_of(&mut self, host: HostId) -> &mut Route {
        let id = self.hosts[&host].route(host);
        self.routes.entry(id).or_default()
    }

    /// What is known of the connection of an attempt, in place of what its host lets suppose.
    pub fn idled(&mut self, attempt: (MsgId, u32), idle: Nanos) {
        if let Some(a) = self.attempts.get_mut(&attempt) {
            a.idle = idle;
        }
    }

    pub fn set_travels(&mut self, id: MsgId, bytes: usize, group: usize) {
        if let Some(m) = self.messages.get_mut(&id) {
            (m.bytes, m.group) = (bytes, group);
        }
    }

    /// Whether the limit of this host counts messages, not calls.
    pub fn by_message(&self, host: HostId) -> bool {
        self.hosts.get(&host).is_some_and(|h| h.terms().call.by_message)
    }

    /// What a call of so many messages counts against the limit of its host.
    pub fn units(&self, host: HostId, messages: usize) -> f64 {
        if self.by_message(host) {
            messages as f64
        } else {
            1.0
        }
    }

    /// Lets go of what nothing refers to any more: hosts that have left, the destinations of which none is
    /// there, lines of keys; and of what was learned of hosts that have long been idle. It walks over what is used.
    pub fn let_go(&mut self, now: Nanos, set: &Settings) {
        self.keys.retain(|_, k| !(k.line.is_empty() && k.out == 0 && k.rest.0 <= now));
        for id in self.hosts.forget_left(now) {
            self.routes.remove(&RouteId::Host(id));
        }
        self.let_go_of_outages(now, set.warm_up);
        let (routes, turned) = (&self.routes, &self.turned);
        let binds =
            |id, h: &Host| turned.contains(&id) || routes.get(&h.route(id)).is_some_and(|r| r.binds(now));
        self.hosts.rest(now, set.warm_up, binds);
        let (hosts, turns) = (&self.hosts, &self.turns);
        self.flows.retain(|d, f| hosts.serve(*d) || turns.waits(*d) || f.out > 0);
        self.routes.retain(|id, r| match id {
            RouteId::Dest(d) if !hosts.serve(*d) => r.rests(now) || r.outage.is_some(),
            _ => r.binds(now) || r.last_active().saturating_add(IDLE_REMEMBERED) >= now,
        });
    }

    pub fn open_call(&mut self, host: HostId, dest: DestId, sent: Nanos, open: usize) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, Call { host, dest, sent, open, judged: false });
        self.calls_to.insert((host, call));
        self.count_out(host, dest, 1);
        call
    }

    pub fn open_attempt(&mut self, id: MsgId, host: HostId, call: u64, sent: Nanos) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        let attempt = (id, m.attempts);
        m.attempts += 1;
        m.restored = false;
        m.out = true;
        self.ends.set(id, Some(m.deadline));
        let lock = m.key.clone().map(|key| KeyLock { key, rest: m.rules.key_rest });
        self.enter_attempt(attempt, lock, host, call, sent);
    }

    /// Counts an attempt that is out, and has it hold its key.
    pub(super) fn enter_attempt(
        &mut self,
        attempt: (MsgId, u32),
        lock: Option<KeyLock>,
        host: HostId,
        call: u64,
        sent: Nanos,
    ) {
        let idle = self.hosts.get(&host).map_or(0, |h| sent.saturating_sub(h.last_used));
        if let Some(lock) = &lock {
            self.keys.entry(lock.key.clone()).or_default().out += 1;
        }
        self.attempts.insert(attempt, Attempt { host, call, sent, idle, lock, cancelled: false });
    }

    /// The call of this attempt says nothing of its host any more.
    pub fn mute(&mut self, attempt: (MsgId, u32)) {
        if let Some(c) = self.attempts.get(&attempt).and_then(|a| self.calls.get_mut(&a.call)) {
            c.judged = true;
        }
    }

    /// One message of a call has its outcome; true for the first of them.
    pub fn close_call(&mut self, call: u64, now: Nanos) -> bool {
        let Some(c) = self.calls.get_mut(&call) else { return false };
        let first = !std::mem::replace(&mut c.judged, true);
        c.open -= 1;
        let (host, dest, open) = (c.host, c.dest, c.open);
        self.turns.touch(dest);
        if let Some(h) = self.hosts.get_mut(&host) {
            h.last_used = now;
            self.turns.touch(h.dest);
        }
        if open == 0 {
            self.calls.remove(&call);
            self.calls_to.remove(&(host, call));
            self.count_out(host, dest, -1);
        }
        first
    }

    pub fn hold(&mut self, id: MsgId, dest: DestId, tags: (f64, f64)) {
        let Some(f) = self.flows.get_mut(&dest) else { return };
        f.last_finish = tags.1;
        f.tags.push_back(tags);
        let place = f.next_place;
        f.next_place += 1;
        f.held.insert(place, id);
        if let Some(m) = self.messages.get_mut(&id) {
            m.place = place;
        }
        self.turn(dest);
    }

    /// The place of a flow in the order of turns follows its first tag.
    pub fn turn(&mut self, dest: DestId) {
        let Some(f) = self.flows.get(&dest) else { return };
        let tag = f.tags.front().filter(|_| !f.held.is_empty()).map(|t| t.0);
        self.turns.set(dest, tag);
    }

    /// Calls out to a host.
    pub fn calls_to(&self, host: HostId) -> impl Iterator<Item = &Call> {
        self.calls_to.range((host, 0)..=(host, u64::MAX)).filter_map(|(_, call)| self.calls.get(call))
    }

    /// Gives a message the past that it had before a restart.
    pub fn restore(&mut self, now: Nanos, id: MsgId, attempts: u32, may_have_run: Option<(Nanos, usize)>) {
        let Some(m) = self.messages.get_mut(&id) else { return };
        (m.attempts, m.may_have_run) = (attempts, may_have_run);
        m.restored = true;
        let age = m.rules.class.deadline.saturating_sub(m.deadline.saturating_sub(now));
        if let Some(f) = self.flows.get_mut(&m.dest) {
            f.count_older(now, age);
        }
        self.ends.change(id);
        self.next_end = 0;
    }

    /// A message has had all its attempts.
    pub fn spend_attempts(&mut self, id: MsgId) {
        if let Some(m) = self.messages.get_mut(&id) {
            m.attempts = m.attempts.max(m.rules.max_attempts);
            self.ends.change(id);
            self.next_end = 0;
        }
    }

    /// A held message leaves unsent: the last tag goes, so that those before it keep their places.
    pub fn unhold(&mut self, id: MsgId, m: &Message) {
        let Some(f) = self.flows.get_mut(&m.dest) else { return };
        if f.held.remove(&m.place).is_none() {
            return;
        }
        f.ranks.remove(id, m);
        if let Some((start, finish)) = f.tags.pop_back() {
            f.last_finish = f.tags.back().map_or(start.min(finish), |t| t.1);
        }
        self.turn(m.dest);
    }

    /// A held message leaves to be sent, with the first start tag of its flow.
    pub fn take_tag(&mut self, id: MsgId, dest: DestId) -> Option<f64> {
        let f = self.flows.get_mut(&dest)?;
        let m = self.messages.get(&id)?;
        f.held.remove(&m.place);
        f.ranks.remove(id, m);
        let (start, _) = f.tags.pop_front()?;
        f.last_start = start;
        self.turn(dest);
        Some(start)
    }

    fn count_out(&mut self, host: HostId, dest: DestId, by: isize) {
        if let Some(h) = self.hosts.get_mut(&host) {
            h.out = h.out.saturating_add_signed(by);
        }
        if let Some(f) = self.flows.get_mut(&dest) {
            f.out = f.out.saturating_add_signed(by);
        }
    }
}
