//! All decisions of the relay. Its interface: `src/interface.rs`; its records: `src/state.rs`.
//!
//! Sections follow a message's life. Every send passes `gate`, which holds the rules.

use crate::interface::*;
use crate::state::*;
use std::collections::VecDeque;

const MS: Nanos = 1_000_000;
const SEC: Nanos = 1_000 * MS;
const PATROL: Nanos = 250 * MS; // most between steps while anything is held: risks fade without an event
const ANSWER_MARGIN: Nanos = 30 * MS; // before a message's end: some ticks, or the end may be missed
const INTERVAL: Nanos = 3 * SEC; // interval of the weights: the paper's
const PHI_FLOOR: f64 = 0.1; // least weight: a failing flow is pushed back, never starved
const PHI_PRIOR: f64 = 4.0; // calls taken as served in an interval: few samples barely move the weight
const PHI_STEP: f64 = 2.0; // largest factor by which a weight moves in one interval
const COST_GAIN: f64 = 0.1; // share of a new call's time in the smoothed cost
const COST_BOUND: f64 = 3.0; // of a cost, as a multiple of the mean of all: a rare long call buries no flow
const CAP_WELL: f64 = 0.75; // share of the slots that one destination may hold
const CAP_SICK: f64 = 0.5; // the same while it fails or is slow, and of all sick ones together
const CAP_OVERDUE: f64 = 0.25; // share for a host with overdue answers: silence is found out cheaply
const LATENCY_GAIN: f64 = 0.1; // of the smoothed latency and its deviation
const OVERDUE_DEVIATIONS: f64 = 5.0; // above the mean an answer is overdue
const OVERDUE_LEAST: Nanos = 400 * MS; // least overdue time: below lies noise
const SLOWNESS_GAIN: f64 = 0.03; // of the common slowness: latency over each host's own mean
const SLOWNESS_MOST: f64 = 4.0;
const SILENT: f64 = 2.0; // multiple of the overdue time at which a silent host is taken for down
const TIMEOUT: f64 = 2.0; // and at which a first repeatable attempt is given up; the next gets twice as long
const FAIL_GAIN: f64 = 0.2; // of the share of failed calls
const FAIL_HALVES: f64 = 4e9; // nanoseconds in which an old share halves
const SPOILT: f64 = 0.55; // of a failure: an answer that cannot be read; most of them make a host sick
const RISKY: f64 = 0.12; // share of failed calls above which unsafe messages are held back
const MOSTLY_FAILS: f64 = 0.5; // and above which a host is down
const RESERVE: f64 = 0.2; // share of its life that an unsafe message keeps when it waits for a sick host
const TRIAL_GAP: Nanos = 500 * MS; // least gap between trials of a host that is down
const LOST_ONE: Nanos = 2 * SEC; // between served calls: a single failure between them is no outage
const SPREAD: f64 = 0.5; // by chance, on gaps and rests: relays that act alike must not move together
const COLD_MARGIN: f64 = 2.0 / 3.0; // of the cold budget: a load is ours from two thirds of it on
const SIGNS: u32 = 2; // failures or refusals, halved by each served call, that are more than chance
const ROUGH: f64 = 1.5; // a listed limit may be so many times the true one
const LEAST_SEEN: f64 = 5e9; // nanoseconds over which messages are counted at least: fewer tell no rate
const LEAST_CAPACITY: f64 = 1.5; // calls a second, of all relays: even the smallest host serves about that
const BREAKS_EARLY: f64 = 0.5; // share of the usual latency: a break before it is the connection's
const IDLE_TRUSTED: Nanos = 20 * SEC; // idle time from which on connections are trusted again
const EVIDENCE: usize = 8; // calls that a rate rests on at least: one in a short span is no rate
const RATE_SPAN: Nanos = 6 * SEC; // least span of the rate of served calls
const PACE_SPAN: Nanos = 2 * SEC; // and of accepted ones
const SHUT_WAIT: Nanos = 2 * SEC; // a longer told wait means shut rather than over the limit,
const SHUT_AFTER: Nanos = 1_500 * MS; // and so do refusals alone for so long
const SHUT_REFUSALS: u32 = 3; // and so many, more where refusals in a row are usual
pub(crate) const PACE_CUT: f64 = 0.85; // of the pace at a refusal
const PACE_CUT_GAP: Nanos = 500 * MS; // least time between cuts
const PACE_GROWTH: f64 = 0.04; // of the pace by a served call
const PACE_REGROWTH: f64 = 0.1; // the same below the pace at which it was refused
const PACE_TRUST: f64 = 1.5; // a pace is cut from this multiple of what was accepted of late at most
const PACE_BURST: f64 = 0.5; // calls saved up at most, in seconds of the pace
const REST_FIRST: f64 = 0.04; // own rest after a refusal, as part of its bound; grows with each one
const REST_GROWTH: f64 = 4.0; // factor of each further refusal
const REST_LEVELS: u32 = 5; // factors at most
const REST_LEAST_MOST: f64 = 1.2e9; // its bound, in nanoseconds, where few relays send
const REST_MOST: f64 = 60e9; // and where very many do
const WAIT_ROUNDING: Nanos = 2 * MS; // added to a told wait, which comes in whole milliseconds
const HORIZON_LEAST: f64 = 0.5e9; // nanoseconds: bounds of the guessed wait of a flow,
const HORIZON_MOST: f64 = 8e9; // over which loss of worth is weighed
const ROOM: f64 = 0.05; // places of those held that are kept free for newcomers

/// The decision module of one relay.
#[derive(Debug)]
pub struct Relay {
    pub(crate) set: Settings,
    dice: Dice,
    pub(crate) now: Nanos,
    pub(crate) book: Book,
    slowness: f64,
    mean_cost: f64,
    pub(crate) actions: Vec<Action>,
}

impl Relay {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mean_cost = settings.classes.iter().map(|c| c.aim as f64).fold(0.0, f64::max);
        let (book, actions) = (Book::default(), Vec::new());
        Relay { set: settings, dice: Dice(seed), now: 0, book, slowness: 1.0, mean_cost, actions }
    }

    /// Messages that still await their final answer.
    pub fn held(&self) -> usize {
        self.book.messages.len()
    }

    /// Takes in what happened at `now` and returns what to do. One step is one batch: its sends to one
    /// host share calls as far as its kind allows.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Action> {
        self.now = self.now.max(now);
        if self.book.next_interval == 0 {
            (self.book.started, self.book.next_interval) = (self.now, self.now + INTERVAL);
            self.actions.extend(self.set.must_subscribe.then_some(Action::Subscribe));
        }
        for e in events {
            match e {
                Event::Listed { whole, entries } => self.listed(*whole, entries),
                Event::Taken { id, class, dest, key, time_left } => {
                    self.taken(*id, *class, *dest, key.clone(), *time_left)
                }
                Event::Ended { id, attempt, outcome, latency, over } => {
                    self.ended(*id, *attempt, *outcome, *latency, *over)
                }
                Event::Withdrawn { id } => self.forget(*id),
                rare => self.rare(rare),
            }
        }
        if self.now >= self.book.next_interval {
            self.reweigh();
        }
        self.watch_silence();
        self.end_hopeless();
        self.make_room();
        self.release();
        self.wind_up();
        self.plan_wake();
        std::mem::take(&mut self.actions)
    }

    /// Asks for the next step at the first time at which something may fall due.
    fn plan_wake(&mut self) {
        if self.book.messages.is_empty() && self.book.attempts.is_empty() {
            return;
        }
        let mut due = vec![self.now + PATROL, self.book.next_end];
        due.extend(self.book.calls.values().map(|c| self.silent_at(c)));
        for dest in self.book.waiting.iter().filter(|d| self.book.calls_to_dest(**d) < self.cap(**d)) {
            let hosts = self.book.hosts_of(*dest).iter();
            due.extend(hosts.map(|h| self.ready_at(*h)));
        }
        let next = due.into_iter().filter(|t| *t > self.now).min().unwrap_or(0).max(self.now + MS);
        // A clock may round a wake-up to just before its time: one so near counts as come.
        if self.book.wake <= self.now + MS || next < self.book.wake {
            self.book.wake = next;
            self.actions.push(Action::Wake { at: next });
        }
    }

    // ---- News of the list ----

    fn listed(&mut self, whole: bool, entries: &[Entry]) {
        if whole {
            self.book.hosts.values_mut().for_each(|h| h.state = Listing::Gone);
        }
        for e in entries {
            let kind = self.set.kinds.get(e.kind).copied().unwrap_or(Kind { apart: false, per_call: 1 });
            // Listed for another destination, it must not get messages of the one that it left.
            if self.book.hosts.get(&e.host).is_none_or(|h| h.dest != e.dest) {
                let lot = (self.dice.roll() * 1e9) as u64;
                self.book.add_host(e.host, Host::new(e, kind, lot, self.now));
            }
            if let Some(h) = self.book.hosts.get_mut(&e.host) {
                (h.state, h.scale) = (e.state, e.scale);
            }
        }
    }

    pub(crate) fn route(&mut self, host: HostId) -> &mut Route {
        let id = self.book.hosts[&host].route;
        self.book.routes.entry(id).or_default()
    }

    // ---- Taking a message: tags by equations 2 to 4 ----

    pub(crate) fn taken(&mut self, id: MsgId, class: usize, dest: DestId, key: Option<String>, left: Nanos) {
        let Some(c) = self.set.classes.get(class) else {
            self.actions.push(Action::Refuse { id, come_back: 0 });
            return;
        };
        if self.book.messages.contains_key(&id) {
            return;
        }
        let deadline = self.now.saturating_add(left);
        let key = key.filter(|_| c.in_order);
        let aim_at = deadline.saturating_add(c.aim).saturating_sub(c.deadline);
        let flow = Flow::new(c.aim as f64);
        if let Some(key) = &key {
            self.book.keys.entry(key.clone()).or_default().line.push_back(id);
        }
        self.book.messages.insert(id, Message::new(class, dest, key, self.now, aim_at, deadline));
        let idle = !self.book.waiting.contains(&dest);
        let memory = self.memory();
        self.book.flows.entry(dest).or_insert(flow).count_taken(self.now, memory);
        for host in self.book.hosts_of(dest).to_vec().into_iter().filter(|_| idle) {
            let at = self.now + self.crowd_gap(host);
            let saved = |h: &&mut Host| h.health != Health::Well && h.next < self.now;
            if let Some(h) = self.book.hosts.get_mut(&host).filter(saved) {
                h.next = at;
            }
        }
        self.book.next_end = self.book.next_end.min(deadline.saturating_sub(ANSWER_MARGIN));
        self.hold(id, dest);
    }

    fn hold(&mut self, id: MsgId, dest: DestId) {
        let Some(f) = self.book.flows.get(&dest) else { return };
        let cost = f.cost.clamp(self.mean_cost / COST_BOUND, self.mean_cost * COST_BOUND);
        let start = self.book.virtual_time.max(f.last_finish);
        self.book.hold(id, dest, (start, start + cost / f.phi));
    }

    /// Every interval the weight follows the served fraction; on a change equations 9 to 11 retag.
    fn reweigh(&mut self) {
        let seconds = (self.now + INTERVAL - self.book.next_interval) as f64 / 1e9;
        self.book.next_interval = self.now + INTERVAL;
        let seen: Vec<f64> = self.book.flows.values().map(|f| f.cost).collect();
        self.mean_cost = seen.iter().sum::<f64>() / seen.len().max(1) as f64;
        let (v, mean) = (self.book.virtual_time, self.mean_cost);
        for f in self.book.flows.values_mut() {
            let target = ((f.served + PHI_PRIOR) / (f.calls + PHI_PRIOR)).max(PHI_FLOOR);
            let phi = target.clamp(f.phi / PHI_STEP, f.phi * PHI_STEP).min(1.0);
            f.rate += 0.5 * (f.done / seconds - f.rate);
            (f.calls, f.served, f.done) = (0.0, 0.0, 0.0);
            if phi != f.phi {
                f.phi = phi;
                retag(f, f.cost.clamp(mean / COST_BOUND, mean * COST_BOUND), v);
            }
        }
        for h in self.book.hosts.values_mut() {
            let rate = rate_of(&mut h.served, RATE_SPAN, self.now);
            h.best_rate = h.best_rate.max(rate.unwrap_or(0.0));
            h.idle_proven -= h.idle_proven / 4;
        }
        self.book.idle_safe = self.book.idle_safe.map(|s| s + s / 4 + MS).filter(|s| *s < IDLE_TRUSTED);
        self.book.let_go(self.now);
    }

    // ---- Release: the lowest start tag goes next while fewer than D calls are out ----

    fn release(&mut self) {
        let tag = |d: &DestId| self.book.flows[d].tags.front().map(|t| (t.0, *d));
        let mut order: Vec<(f64, DestId)> = self.book.waiting.iter().filter_map(tag).collect();
        while self.book.calls.len() < self.set.slots && !order.is_empty() {
            order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let dest = order.remove(0).1;
            if let Some((host, ids)) = self.choose(dest) {
                self.send(host, &ids);
                order.extend(self.book.flows[&dest].tags.front().map(|t| (t.0, dest)));
            }
        }
    }

    /// The slot cap of a destination: three quarters, half or less while any of its hosts is sick.
    fn cap(&self, dest: DestId) -> usize {
        let sick = self.book.hosts_of(dest).iter().any(|h| !self.is_well(*h));
        ((self.set.slots as f64 * if sick { CAP_SICK } else { CAP_WELL }) as usize).max(1)
    }

    /// Several silent destinations would fill the slots: all sick hosts share what one may have.
    fn sick_full(&self) -> bool {
        let sick = self.book.hosts.iter().filter(|(id, h)| h.out > 0 && !self.is_well(**id));
        sick.map(|(_, h)| h.out).sum::<usize>() >= ((self.set.slots as f64 * CAP_SICK) as usize).max(1)
    }

    pub(crate) fn sick(&self, host: HostId) -> bool {
        matches!(self.book.hosts[&host].health, Health::Down | Health::Warming { .. })
    }

    pub(crate) fn is_well(&self, host: HostId) -> bool {
        !self.sick(host) && self.fail_share(host) <= MOSTLY_FAILS && self.overdue(host) == 0
    }

    fn fail_share(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        h.fail * 0.5f64.powf((self.now - h.fail_at) as f64 / FAIL_HALVES)
    }

    /// Host and messages of the next call of a flow, or none if nothing of it may go now.
    fn choose(&self, dest: DestId) -> Option<(HostId, Vec<MsgId>)> {
        if self.book.calls_to_dest(dest) >= self.cap(dest) {
            return None;
        }
        let mut hosts: Vec<HostId> =
            self.book.hosts_of(dest).iter().copied().filter(|h| self.may_call(*h)).collect();
        hosts.sort_by_key(|id| {
            let h = &self.book.hosts[id];
            let fee = (self.fee(*id) * 1e6) as u64;
            // An open connection saves its set-up: a relay with few calls keeps to one host, each to its own.
            let idle = self.now - h.last_used > self.set.keepalive || h.last_sent == 0;
            (self.sick(*id), h.bad.min(3), fee, h.load(), idle, h.last_sent, h.lot)
        });
        let f = self.book.flows.get(&dest)?;
        let least_fee = self.least_fee(dest);
        let horizon = self.horizon(f);
        for host in hosts {
            let trial = matches!(self.book.hosts[&host].health, Health::Down);
            let extra = self.fee(host) - least_fee;
            let risky = trial || self.fail_share(host) > RISKY || self.overdue(host) > 0;
            let rank = |id: &MsgId| {
                let (m, open) = (&self.book.messages[id], self.gate(*id, host));
                let loss = self.loss(m, horizon);
                let goes = open && (!risky || self.risk_taken(m)) && loss >= extra;
                goes.then_some((if trial { -self.at_stake(m) } else { loss }, *id))
            };
            let mut ranked: Vec<(f64, MsgId)> = f.held.iter().filter_map(rank).collect();
            let age = |id: MsgId| (self.book.messages[&id].aim_at, id);
            ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(age(a.1).cmp(&age(b.1))));
            let most = self.batch(host);
            let mut keys: Vec<&String> = Vec::new();
            let mut ids = Vec::new();
            for (_, id) in ranked {
                let key = self.book.messages[&id].key.as_ref();
                if !self.joins(host, &ids, id, most) || key.is_some_and(|k| keys.contains(&k)) {
                    continue;
                }
                keys.extend(key);
                ids.push(id);
            }
            if !ids.is_empty() {
                return Some((host, ids));
            }
        }
        None
    }

    /// Messages in the next call: to a cold host half of what may be sent within `fall`, for a trial one.
    fn batch(&self, host: HostId) -> usize {
        let most = self.most_in_a_call(host);
        match self.book.hosts[&host].health {
            Health::Down => 1,
            _ if self.book.routes.get(&self.book.hosts[&host].route).is_some_and(Route::probes) => 1,
            Health::Well => most,
            Health::Doubted | Health::Warming { .. } => {
                let weight = self.cold_rate(host, self.now) * self.set.fall as f64 / 2e9;
                most.min(1 + ((weight - 1.0).max(0.0) / self.weight_of_more(host)) as usize)
            }
        }
    }

    /// Guessed time until a message of this flow that is passed over now gets its turn.
    fn horizon(&self, f: &Flow) -> f64 {
        let rate = f.rate.max(0.5);
        (f.held.len() as f64 / rate * 1e9).clamp(HORIZON_LEAST, HORIZON_MOST)
    }

    /// Until when it may be sent: to its deadline, or while a first attempt that may have run is remembered.
    fn end(&self, m: &Message) -> Nanos {
        match (m.may_have_run, self.set.classes[m.class].repeat) {
            (Some((at, _)), Repeat::Keyed { memory, .. }) => m.deadline.min(at.saturating_add(memory)),
            _ => m.deadline,
        }
    }

    /// What it is worth if it is sent at `at`, by the settings.
    fn worth_at(&self, m: &Message, at: Nanos) -> f64 {
        let class = &self.set.classes[m.class];
        if at >= self.end(m) {
            return 0.0;
        }
        let over = at.saturating_sub(m.aim_at) as f64;
        let share = match self.set.late {
            _ if at <= m.aim_at => 1.0,
            Late::Even => {
                let span = m.deadline.saturating_sub(m.aim_at).max(1) as f64;
                1.0 - (1.0 - class.late_worth) * (over / span).min(1.0)
            }
            Late::Halves => 0.5f64.powf(over / class.aim.max(1) as f64).max(class.late_worth),
        };
        class.worth * share
    }

    /// Worth about to be lost if the message is passed over for `horizon`.
    fn loss(&self, m: &Message, horizon: f64) -> f64 {
        self.worth_at(m, self.now) - self.worth_at(m, self.now + horizon as Nanos)
    }

    /// Worth that a failed trial with this message would put in danger: most where it can't be sent again.
    fn at_stake(&self, m: &Message) -> f64 {
        let share = match self.set.classes[m.class].repeat {
            _ if m.attempts + 2 >= self.set.max_attempts => 3.0,
            Repeat::Safe => 0.0,
            Repeat::Keyed { .. } if m.may_have_run.is_some() => 0.01,
            Repeat::Keyed { .. } => 0.5,
            Repeat::Unsafe => 2.0,
        };
        share * self.worth_at(m, self.now)
    }

    /// An unsafe message that fails is lost for good: until its reserve begins it waits for a sound host.
    fn risk_taken(&self, m: &Message) -> bool {
        let c = &self.set.classes[m.class];
        c.repeat != Repeat::Unsafe || m.deadline < self.now + (c.deadline as f64 * RESERVE) as Nanos
    }

    fn fee(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        self.set.zone_fee.get(h.zone).filter(|_| h.kind.apart).copied().unwrap_or(0.0)
    }

    fn least_fee(&self, dest: DestId) -> f64 {
        let ready = |h: &&HostId| self.book.hosts[h].state == Listing::Ready && self.is_well(**h);
        let well = self.book.hosts_of(dest).iter().filter(ready);
        well.map(|h| self.fee(*h)).fold(f64::INFINITY, f64::min)
    }

    // ---- The gate: all rules, whatever the heuristics want ----

    fn gate(&self, id: MsgId, host: HostId) -> bool {
        let (Some(m), Some(h)) = (self.book.messages.get(&id), self.book.hosts.get(&host)) else {
            return false;
        };
        let open = !m.out && m.attempts < self.set.max_attempts && self.now + ANSWER_MARGIN < m.deadline;
        open && m.dest == h.dest
            && self.book.calls.len() < self.set.slots
            && self.opens_at(host) <= self.now
            && self.repeat_allowed(m, h)
            && self.key_free(id, m)
    }

    fn repeat_allowed(&self, m: &Message, h: &Host) -> bool {
        match (m.may_have_run, self.set.classes[m.class].repeat) {
            (None, _) | (_, Repeat::Safe) => true,
            (Some(_), Repeat::Unsafe) => false,
            (Some((at, zone)), Repeat::Keyed { memory, zone_only }) => {
                self.now < at.saturating_add(memory) && (!zone_only || zone == h.zone)
            }
        }
    }

    fn key_free(&self, id: MsgId, m: &Message) -> bool {
        let Some(k) = m.key.as_ref().and_then(|k| self.book.keys.get(k)) else { return true };
        k.line.front() == Some(&id) && k.out == 0 && (self.now >= k.rest.0 || k.rest.1 == id)
    }

    /// Listed as ready (to a draining one nothing is sent at all), not within a wait, not within a cold gap.
    fn opens_at(&self, host: HostId) -> Nanos {
        let h = &self.book.hosts[&host];
        if h.state != Listing::Ready || self.too_late(host) {
            return Nanos::MAX;
        }
        let wait = self.book.routes.get(&h.route).map_or(0, |r| r.wait);
        wait.max(match h.health {
            Health::Well => 0,
            Health::Warming { since } => h.next.min(since.saturating_add(self.set.warm_up)),
            Health::Doubted | Health::Down => h.next,
        })
    }

    /// Heuristics on top of the gate: pace, own rest, overdue answers, one trial at a time.
    fn may_call(&self, host: HostId) -> bool {
        let h = &self.book.hosts[&host];
        // Further sends of this step to a host that takes batches would join the same call unasked.
        if self.ready_at(host) > self.now || (h.kind.per_call > 1 && h.last_sent == self.now) {
            return false;
        }
        let overdue = self.overdue(host);
        let few = ((self.set.slots as f64 * CAP_OVERDUE) as usize).max(2);
        let full = (h.health == Health::Down && h.out > overdue) || (overdue > 0 && h.out >= few);
        !full && self.within_terms(host) && (self.is_well(host) || !self.sick_full())
    }

    /// From when on wait, cold gap, own rest and pace let a call go.
    fn ready_at(&self, host: HostId) -> Nanos {
        let h = &self.book.hosts[&host];
        let Some(r) = self.book.routes.get(&h.route) else { return self.opens_at(host) };
        if r.refused > 0 && h.out > 0 {
            return Nanos::MAX;
        }
        let token = |p: f64| r.filled + ((1.0 - r.tokens).max(0.0) / p * 1e9).ceil() as Nanos;
        self.opens_at(host).max(r.rest).max(r.pace.map_or(0, token))
    }

    // ---- Sending ----

    fn send(&mut self, host: HostId, ids: &[MsgId]) {
        let dest = self.book.hosts[&host].dest;
        if self.book.idle_safe.is_some_and(|s| self.now - self.book.hosts[&host].last_used > s) {
            self.actions.push(Action::Close { host });
        }
        let call = self.book.open_call(host, dest, self.now, ids.len());
        for (i, id) in ids.iter().enumerate() {
            let timeout = self.timeout(*id, host);
            let start = self.book.take_tag(*id, dest).filter(|_| i == 0);
            self.book.virtual_time = start.map_or(self.book.virtual_time, |s| self.book.virtual_time.max(s));
            self.book.open_attempt(*id, host, call, self.now);
            self.actions.push(Action::Send { id: *id, host, timeout });
        }
        self.spend(host, ids.len());
    }

    /// Something on the way may drop idle connections: the next call on one breaks at once, and is lost if
    /// unsafe. Where a call breaks sooner than its host answers and the host serves the very next one (after
    /// a crash it does not), connections idle for half as long are closed before use; trust regrows. What
    /// breaks after no longer than others of its host lately served after broke for another reason.
    fn distrust_idle(&mut self, idle: Nanos, proven: Nanos) {
        self.book.idle_safe = Some((self.book.idle_safe.unwrap_or(idle).min(idle) / 2).max(proven));
    }

    /// A repeatable attempt ends when its answer is long overdue, the next later (the host may be slow); a
    /// keyed one while half of its memory is left, to ask for a lost answer again; an unsafe one at the end.
    fn timeout(&self, id: MsgId, host: HostId) -> Nanos {
        let m = &self.book.messages[&id];
        let left = m.deadline - self.now - ANSWER_MARGIN.min(m.deadline - self.now);
        let twice = f64::from(1 << m.attempts.min(4));
        let patience = (self.overdue_after(host) as f64 * TIMEOUT * twice) as Nanos;
        match self.set.classes[m.class].repeat {
            Repeat::Unsafe => left,
            Repeat::Safe => left.min(patience),
            Repeat::Keyed { memory, .. } => {
                left.min(patience).min(memory.min(self.end(m).saturating_sub(self.now)) / 2)
            }
        }
        .max(MS)
    }

    /// Counts a call against the pace and the cold budget.
    fn spend(&mut self, host: HostId, messages: usize) {
        let (now, units) = (self.now, self.book.units(host, messages));
        let weight = 1.0 + self.weight_of_more(host) * messages.saturating_sub(1) as f64;
        let gap = (self.cold_gap(host, weight) * (1.0 - SPREAD / 2.0 + SPREAD * self.dice.roll())) as Nanos;
        let r = self.route(host);
        if let Some(p) = r.pace {
            r.tokens = filled(r, p, now) - units;
            r.filled = now;
        }
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        (h.last_sent, h.last_used) = (now, now);
        let least = TRIAL_GAP * u64::from(h.health == Health::Down);
        h.next = if h.health == Health::Well { 0 } else { now + gap.max(least) };
    }

    /// Slots run out while others wait: the call that was silent longest gives its slot back, one a step.
    pub(crate) fn reclaim(&mut self) {
        if !self.set.may_cancel || self.book.calls.len() < self.set.slots {
            return;
        }
        let freed = self.book.attempts.values().any(|a| a.cancelled);
        let waiting = self.book.waiting.iter().any(|d| {
            self.book.calls_to_dest(*d) < self.cap(*d)
                && self.book.hosts_of(*d).iter().any(|h| self.ready_at(*h) <= self.now)
        });
        if freed || !waiting {
            return;
        }
        let silent = self.book.calls.iter().map(|(id, c)| (self.silent_at(c), *id));
        let Some((_, call)) = silent.filter(|c| c.0 < self.now).min() else { return };
        for ((id, attempt), a) in self.book.attempts.iter_mut().filter(|(_, a)| a.call == call) {
            a.cancelled = true;
            self.actions.push(Action::Cancel { id: *id, attempt: *attempt });
        }
    }

    // ---- Outcomes ----

    fn ended(&mut self, id: MsgId, attempt: u32, outcome: Outcome, latency: Nanos, over: bool) {
        let Some(a) = self.book.attempts.remove(&(id, attempt)) else { return };
        let uncertain = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled);
        let rest = if uncertain { self.now + self.set.key_rest } else { 0 };
        self.book.key_back(&a.key, id, rest);
        let first = self.book.close_call(a.call, self.now);
        if let Outcome::Full { wait: wait @ 1.. } = outcome {
            self.heed(a.host, wait);
        }
        if first {
            self.judge(a.host, a.sent, outcome, latency);
            if let Some(h) = self.book.hosts.get_mut(&a.host) {
                let early = latency as f64 <= h.latency.map_or(0.0, |l| l.0) * BREAKS_EARLY;
                let proven = h.prove_idle(outcome == Outcome::Served, a.idle);
                let broke = outcome == Outcome::Broken && early && a.idle > proven && h.bad == 1;
                h.broke_idle = broke.then_some((a.idle, proven));
                if broke && self.book.idle_safe.is_some() {
                    self.distrust_idle(a.idle, proven);
                }
            }
        }
        self.count(a.host, outcome, latency);
        let zone = self.book.hosts.get(&a.host).map_or(0, |h| h.zone);
        let Some(m) = self.book.messages.get_mut(&id) else {
            self.book.leave_key(&a.key, id, self.now);
            return;
        };
        m.out = false;
        if !outcome.never_ran() && m.may_have_run.is_none() {
            m.may_have_run = Some((a.sent, zone));
        }
        let dest = m.dest;
        if over || outcome == Outcome::Served {
            self.forget(id);
        } else {
            self.book.next_end = 0;
            self.hold(id, dest);
        }
    }

    fn count(&mut self, host: HostId, outcome: Outcome, latency: Nanos) {
        let Some(dest) = self.book.hosts.get(&host).map(|h| h.dest) else { return };
        let Some(f) = self.book.flows.get_mut(&dest) else { return };
        let served = outcome == Outcome::Served;
        if served {
            f.done += 1.0;
            f.cost += COST_GAIN * (latency as f64 - f.cost);
        }
        if !matches!(outcome, Outcome::Full { .. } | Outcome::NotSent | Outcome::Spoilt) {
            f.calls += 1.0;
            f.served += f64::from(u8::from(served));
        }
    }

    /// What a call says of its host. One that breaks is no outage yet: where there is one, others fail next.
    fn judge(&mut self, host: HostId, sent: Nanos, outcome: Outcome, latency: Nanos) {
        match outcome {
            Outcome::Served => self.served(host, sent, latency),
            Outcome::Full { wait } => self.refused(host, wait),
            Outcome::Error | Outcome::Broken => self.failed(host, false),
            Outcome::Spoilt => self.note_fail(host, SPOILT),
            // A host that served others meanwhile lost this one call, unless it loses most of them.
            Outcome::TimedOut | Outcome::Cancelled if self.book.hosts[&host].last_served > sent => {
                self.note_fail(host, 1.0);
                if self.fail_share(host) > MOSTLY_FAILS {
                    self.down(host, 0);
                }
            }
            Outcome::TimedOut => self.failed(host, false),
            Outcome::Cancelled | Outcome::NoConnection => self.failed(host, true),
            Outcome::NotSent => {}
        }
    }

    // ---- Health ----

    fn note_fail(&mut self, host: HostId, failed: f64) {
        let now = self.now;
        let share = self.fail_share(host);
        if let Some(h) = self.book.hosts.get_mut(&host) {
            h.fail = share + FAIL_GAIN * (failed - share);
            h.fail_at = now;
            h.bad = if failed > 0.0 { h.bad.saturating_add(failed as u32) } else { 0 };
        }
    }

    fn served(&mut self, host: HostId, sent: Nanos, latency: Nanos) {
        // Refusals and further silent calls are signs of an outage as failures are.
        let once = self.book.hosts[&host].bad as usize + self.overdue(host) <= 1;
        self.note_fail(host, 0.0);
        if let Some((idle, proven)) = self.book.hosts.get_mut(&host).and_then(|h| h.broke_idle.take()) {
            self.distrust_idle(idle, proven);
        }
        let (now, warm_up) = (self.now, self.set.warm_up);
        let gap = self.cold_gap(host, 1.0) as Nanos;
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        let l = latency as f64;
        let (mean, dev) = h.latency.unwrap_or((l, l));
        self.slowness += SLOWNESS_GAIN * ((l / mean.max(1.0)).min(SLOWNESS_MOST) - self.slowness);
        h.latency = Some((mean + LATENCY_GAIN * (l - mean), dev + LATENCY_GAIN * ((l - mean).abs() - dev)));
        h.signs /= 2;
        let brief = now < h.last_served + LOST_ONE && once;
        h.last_served = now;
        h.served.push_back(now);
        let (last_sent, health) = (h.last_sent, h.health);
        match health {
            // An answer to a call from before the outage says nothing of its end: taken for it, the
            // ramp would run out while the host is still away, and the backlog burst on its return.
            Health::Down | Health::Doubted if sent < h.down_at => {}
            // One lost call of a host that was not cold, and the first trial served at once: no outage.
            Health::Down if brief => self.turn(host, Health::Well, "lost one call"),
            Health::Doubted => h.health = Health::Well,
            Health::Down => {
                h.next = now.max(last_sent + gap);
                self.turn(host, Health::Warming { since: now }, "answers again, warming");
            }
            Health::Warming { since } if now >= since + warm_up => self.turn(host, Health::Well, "is warm"),
            _ => {}
        }
        let r = self.route(host);
        if sent >= r.refused_since {
            (r.refused, r.rest, r.level) = (0, 0, r.level / 2);
        }
        r.accepted.push_back(now);
        rate_of(&mut r.accepted, PACE_SPAN, now);
        if let Some(p) = r.pace {
            r.tokens = filled(r, p, now);
            r.filled = now;
            let growth = if p < r.full_at * PACE_CUT { PACE_REGROWTH } else { PACE_GROWTH };
            r.pace = Some(p + growth * p.max(1.0));
        }
    }

    fn turn(&mut self, host: HostId, to: Health, word: &str) {
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.health = to;
        self.actions.push(Action::Log(format!("destination {} host {host} {word}", h.dest)));
    }

    /// A failure that no answering host produces (`hard`), or an error answer. One error among successes is
    /// everyday; two in a row, or most calls failing, are an outage: the host will come back cold.
    fn failed(&mut self, host: HostId, hard: bool) {
        self.note_fail(host, 1.0);
        self.doubt(host, false);
        let h = &self.book.hosts[&host];
        if hard || h.bad >= 2 || self.sick(host) || self.fail_share(host) > MOSTLY_FAILS {
            self.down(host, 0);
        }
    }

    /// A failed or refused call may be the first of an outage: this relay now counts as one that knew. One
    /// failed call is tried again at once, among as many of relays that know nothing; one refused comes when
    /// those are gone and is spread like a crowd. From two signs on (a relay with a known rate has them at
    /// once) it keeps to its part of the cold budget until a call is served.
    fn doubt(&mut self, host: HostId, refused: bool) {
        let (crowd, gap) = (self.crowd_gap(host), self.dice.roll() * self.cold_gap(host, 1.0));
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.signs = (h.signs + 1).min(2 * SIGNS); // so two served calls outweigh any outage
        let once = h.signs < SIGNS;
        if h.health == Health::Well && !(once && (!refused || h.best_rate > 0.0)) {
            (h.health, h.down_at, h.next) = (Health::Doubted, self.now, 0);
        }
        if h.health == Health::Doubted {
            h.next = h.next.max(self.now + if once { crowd } else { gap as Nanos });
        }
    }

    pub(crate) fn down(&mut self, host: HostId, until: Nanos) {
        let gap = (self.dice.roll() * self.cold_gap(host, 1.0)) as Nanos;
        let first = (TRIAL_GAP as f64 * (1.0 + self.dice.roll())) as Nanos;
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.next = h.next.max(until);
        if h.health != Health::Down {
            h.next = h.next.max(self.now + gap.max(first));
            h.down_at = self.now;
            self.turn(host, Health::Down, "is taken for down");
        }
    }

    /// A clump that meets a shut or full host is refused at one moment at as many relays. What is wanted of
    /// it is no more than the host takes within the aim: spread over the aim, stretched by what a cold host
    /// takes, it keeps to half of our margin; relays with more signs have the other half. The same for
    /// messages that come while saved-up calls could go.
    fn crowd_gap(&mut self, host: HostId) -> Nanos {
        let aim = self.set.classes.iter().map(|c| c.aim).min().unwrap_or(SEC) as f64;
        let stretch = (COLD_MARGIN / 2.0 * self.set.overload_factor * self.set.cold_share).clamp(0.01, 1.0);
        (self.dice.roll() * self.cold_gap(host, 1.0).min(aim / stretch)) as Nanos
    }

    /// Latency beyond which an answer is overdue; looser when all hosts are slow together.
    pub(crate) fn overdue_after(&self, host: HostId) -> Nanos {
        let slow = self.slowness.max(1.0);
        match self.book.hosts.get(&host).and_then(|h| h.latency) {
            Some((mean, dev)) => (((mean + OVERDUE_DEVIATIONS * dev) * slow) as Nanos).max(OVERDUE_LEAST),
            None => self.set.classes.iter().map(|c| c.aim / 2).min().unwrap_or(SEC),
        }
    }

    fn overdue(&self, host: HostId) -> usize {
        let Some(h) = self.book.hosts.get(&host).filter(|h| h.out > 0) else { return 0 };
        let (limit, served) = (self.overdue_after(host), h.last_served);
        let late = |c: &&Call| c.host == host && c.sent >= served && self.now - c.sent > limit;
        self.book.calls.values().filter(late).count()
    }

    fn silent_at(&self, c: &Call) -> Nanos {
        c.sent + (SILENT * self.overdue_after(c.host) as f64) as Nanos
    }

    /// A host that takes calls and answers none is down long before its calls time out.
    fn watch_silence(&mut self) {
        let late =
            |c: &&Call| self.book.hosts[&c.host].last_served <= c.sent && self.silent_at(c) <= self.now;
        let silent: Vec<HostId> = self.book.calls.values().filter(late).map(|c| c.host).collect();
        silent.into_iter().for_each(|host| self.down(host, 0));
    }

    /// Calls a second that this relay may send to a host that is, or may be, coming back: its part of the
    /// cold budget. Nobody knows when it returns or how warm it is; before a call is served the budget is
    /// that of its first moment, factor x cold_share x capacity. The parts of all relays add up to no more:
    /// - messages taken add up to the traffic, which a destination takes in the mean. Others that know of no
    ///   outage send too: if we keep to two thirds, no load above the budget is two thirds ours.
    /// - equal parts of the listed limit, lowered by what the list may err, are at most the capacity.
    /// - rates served over a longer run add up to what was served. Where a relay knows one, all have met the
    ///   outage within moments, and nobody is left to fill the other third.
    fn cold_rate(&self, host: HostId, at: Nanos) -> f64 {
        let Some(h) = self.book.hosts.get(&host) else { return 1.0 };
        let warm = match h.health {
            Health::Warming { since } => (at - since) as f64 / self.set.warm_up.max(1) as f64,
            _ => 0.0,
        };
        let share = self.set.cold_share + (1.0 - self.set.cold_share) * warm.min(1.0);
        let mates = self.book.hosts_of(h.dest).iter().map(|m| self.book.hosts[m].scale).sum::<f64>();
        let seen = (-((self.now - self.book.started) as f64).max(LEAST_SEEN) / self.memory()).exp_m1().abs();
        let asked = self.book.flows.get(&h.dest).map_or(0.0, |f| f.asked(self.now, self.memory()));
        let asked = asked / (self.memory() * seen) * 1e9;
        let listed = if self.set.limits == Limits::Unlisted { 0.0 } else { h.scale / ROUGH };
        let equal = listed.max(LEAST_CAPACITY) / f64::from(self.set.senders.max(1));
        let part = COLD_MARGIN * (asked * h.scale / mates.max(h.scale)).max(equal);
        self.set.overload_factor * share * if h.best_rate > 0.0 { h.best_rate } else { part }
    }

    /// Nanoseconds in which the part allows a call of this weight, the ramp rising meanwhile, in bounds.
    fn cold_gap(&self, host: HostId, weight: f64) -> f64 {
        let gap = weight * 1e9 / self.cold_rate(host, self.now);
        let rate = self.cold_rate(host, self.now.saturating_add((gap / 2.0) as Nanos));
        (weight * 1e9 / rate).min(Nanos::MAX as f64 / 4.0)
    }

    /// Longest life of a message: whatever is held was taken within it.
    fn memory(&self) -> f64 {
        self.set.classes.iter().map(|c| c.deadline).max().unwrap_or(SEC).max(SEC) as f64
    }

    // ---- Waits and pace ----

    /// A told wait binds its whole route, and the millisecond cut off when it is told.
    pub(crate) fn heed(&mut self, host: HostId, wait: Nanos) {
        let until = self.now.saturating_add(wait).saturating_add(WAIT_ROUNDING);
        let r = self.route(host);
        r.wait = r.wait.max(until);
    }

    /// Refused as full: cut the pace; refusals without a success, or a long wait, mean shut and cold later.
    fn refused(&mut self, host: HostId, wait: Nanos) {
        let (now, route, slice) = (self.now, self.book.hosts[&host].route, self.slice(host));
        let (roll, most) = (self.dice.roll(), self.longest_rest());
        let r = self.book.routes.entry(route).or_default();
        if r.refused == 0 {
            (r.refused_since, r.usual) = (now, r.level);
        }
        (r.refused, r.level) = (r.refused.saturating_add(1), (r.level + 1).min(REST_LEVELS));
        // A told wait may end for all relays at one moment: the rest after it is spread from nothing on.
        let rest = (REST_FIRST * most * REST_GROWTH.powi(r.level as i32 - 1)).min(most);
        let from = if wait == 0 { 1.0 - SPREAD } else { 0.0 };
        let spread = (rest * (from + 2.0 * SPREAD * roll)) as Nanos;
        r.rest = r.rest.max(now.max(r.wait).saturating_add(spread));
        if now >= r.cut + PACE_CUT_GAP {
            let used = rate_of(&mut r.accepted, PACE_SPAN, now).unwrap_or(0.0);
            let from = r.pace.map_or(used.max(slice), |p| p.min(used * PACE_TRUST).max(p * 0.5));
            // Where the limit is told, one cut is enough to come near our part of it.
            let from = if slice > 0.0 { from.clamp(slice, slice * PACE_TRUST) } else { from };
            let pace = (from * PACE_CUT).max(1e9 / REST_LEAST_MOST);
            r.full_at = from;
            if r.pace.is_none() {
                let text = format!("host {host} refuses as full, paced at {pace:.1} a second");
                self.actions.push(Action::Log(text));
            }
            (r.pace, r.cut, r.filled, r.tokens) = (Some(pace), now, now, 0.0);
        }
        let mut mates = self.book.hosts_of(self.book.hosts[&host].dest).to_vec();
        mates.retain(|h| self.book.hosts[h].route == route);
        mates.iter().for_each(|h| self.doubt(*h, true));
        let r = self.book.routes.entry(route).or_default();
        let shut =
            wait > SHUT_WAIT || (r.refused >= SHUT_REFUSALS + r.usual && now >= r.refused_since + SHUT_AFTER);
        let until = r.wait.max(r.rest);
        if shut {
            mates.into_iter().for_each(|h| self.down(h, until));
        }
    }

    /// Bound of the rest after refusals: the relays together ask a small destination as often as it can take.
    fn longest_rest(&self) -> f64 {
        (f64::from(self.set.senders) / LEAST_CAPACITY * 1e9).clamp(REST_LEAST_MOST, REST_MOST)
    }

    // ---- Giving up ----

    /// Final answers for messages that no allowed attempt can still serve.
    fn end_hopeless(&mut self) {
        if self.now < self.book.next_end {
            return;
        }
        let hopeless = |m: &Message| {
            let spent = m.attempts >= self.set.max_attempts;
            let ran_out = self.now + ANSWER_MARGIN >= self.end(m);
            let lost = m.may_have_run.is_some() && self.set.classes[m.class].repeat == Repeat::Unsafe;
            (!m.out && (spent || ran_out || lost)) || self.now + ANSWER_MARGIN >= m.deadline
        };
        let over = self.book.messages.iter().filter(|(_, m)| hopeless(m));
        let over: Vec<MsgId> = over.map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.give_up(id));
        let ends = self.book.messages.values().map(|m| if m.out { m.deadline } else { self.end(m) });
        self.book.next_end = ends.min().map_or(Nanos::MAX, |t| t.saturating_sub(ANSWER_MARGIN));
    }

    /// Refused where no effect can be repeated by it, with advice on when to come back; else failed.
    pub(crate) fn give_up(&mut self, id: MsgId) {
        let Some(m) = self.book.messages.get(&id) else { return };
        if self.may_refuse(m) && m.deadline > self.now + SEC {
            let horizon = self.book.flows.get(&m.dest).map_or(HORIZON_LEAST, |f| self.horizon(f));
            let come_back = (horizon as Nanos).min(self.set.max_come_back);
            self.actions.push(Action::Refuse { id, come_back });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.part_with(id);
    }

    pub(crate) fn may_refuse(&self, m: &Message) -> bool {
        let clean = m.may_have_run.is_none() && !m.out;
        match self.set.classes[m.class].repeat {
            Repeat::Safe => true,
            Repeat::Keyed { zone_only, .. } => clean || !zone_only,
            Repeat::Unsafe => clean,
        }
    }

    pub(crate) fn forget(&mut self, id: MsgId) {
        let Some(m) = self.book.messages.remove(&id) else { return };
        if !m.out {
            self.book.unhold(id, m.dest);
        }
        self.book.leave_key(&m.key, id, self.now);
    }

    /// When a message of this flow that is held now likely has its turn.
    fn turn_at(&self, dest: DestId) -> Nanos {
        let dead = self.book.hosts_of(dest).iter().all(|h| self.sick(*h));
        self.now + if dead { HORIZON_MOST } else { self.horizon(&self.book.flows[&dest]) } as Nanos
    }

    /// When places run out the door turns away any newcomer: the least hopeful go instead, told to come back.
    fn make_room(&mut self) {
        let free = ((self.set.max_held as f64 * ROOM) as usize).max(1);
        while self.book.messages.len() + free > self.set.max_held {
            let mut least: Option<(f64, Nanos, MsgId)> = None;
            for dest in &self.book.waiting {
                let at = self.turn_at(*dest);
                for id in &self.book.flows[dest].held {
                    let m = &self.book.messages[id];
                    let worth = self.worth_at(m, at);
                    let less = least.is_none_or(|(w, t, _)| worth < w || (worth == w && m.taken > t));
                    least = if less && self.may_refuse(m) { Some((worth, m.taken, *id)) } else { least };
                }
            }
            let Some((_, _, id)) = least else { return };
            self.give_up(id);
        }
    }
}

/// Rate of the recorded times over `span`, or over as many calls as it takes to tell; none if too few.
fn rate_of(times: &mut VecDeque<Nanos>, span: Nanos, now: Nanos) -> Option<f64> {
    while times.len() > EVIDENCE && times[0] + span < now {
        times.pop_front();
    }
    let over = now.saturating_sub(*times.front()?).max(span);
    (times.len() >= EVIDENCE).then_some(times.len() as f64 * 1e9 / over as f64)
}

/// Calls that may go now under a pace, a burst or one being saved up at most.
pub(crate) fn filled(r: &Route, pace: f64, now: Nanos) -> f64 {
    let saved = r.tokens + pace * (now - r.filled) as f64 / 1e9;
    saved.min((pace * PACE_BURST).max(1.0))
}

/// Equations 9 to 11: the last sent message's finish tag as if it had had the new weight, then those held.
pub(crate) fn retag(f: &mut Flow, cost: f64, v: f64) {
    let mut finish = f.last_start + cost / f.phi;
    for t in f.tags.iter_mut() {
        let start = v.max(finish);
        finish = start + cost / f.phi;
        *t = (start, finish);
    }
    f.last_finish = finish;
}
