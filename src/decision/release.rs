//! Who goes next and where: tags, slots, hosts, and the gate that every send passes.

use super::interface::*;
use super::records::*;
use super::Relay;

pub(super) const ANSWER_MARGIN: Nanos = 30 * MS; // before a message's end: some ticks, or the end may be missed
pub(super) const INTERVAL: Nanos = 3 * SEC; // interval of the weights: the paper's
const PHI_FLOOR: f64 = 0.1; // least weight: a failing flow is pushed back, never starved
const PHI_PRIOR: f64 = 4.0; // calls taken as served in an interval: few samples barely move the weight
const PHI_STEP: f64 = 2.0; // largest factor by which a weight moves in one interval
const COST_BOUND: f64 = 3.0; // of a cost, as a multiple of the mean of all: a rare long call buries no flow
const CAP_WELL: f64 = 0.75; // share of the slots that one destination may hold
const CAP_SICK: f64 = 0.5; // the same while it fails or is slow, and of all sick ones together
const CAP_OVERDUE: f64 = 0.25; // share for a host with overdue answers: silence is found out cheaply
const TIMEOUT: f64 = 2.0; // and at which a first repeatable attempt is given up; the next gets twice as long
const RISKY: f64 = 0.12; // share of failed calls above which unsafe messages are held back
const IDLE_TRUSTED: Nanos = 20 * SEC; // idle time from which on connections are trusted again
const RATE_SPAN: Nanos = 6 * SEC; // least span of the rate of served calls
pub(super) const HORIZON_LEAST: f64 = 0.5e9; // nanoseconds: bounds of the guessed wait of a flow,
pub(super) const HORIZON_MOST: f64 = 8e9; // over which loss of worth is weighed

impl Relay {
    /// Takes a message: its tags by equations 2 to 4.
    pub(super) fn taken(&mut self, id: MsgId, class: usize, dest: DestId, key: Option<String>, left: Nanos) {
        let Some(rules) = self.rules.get(&class).cloned() else {
            self.actions.push(Action::Refuse { id, come_back: 0 });
            return;
        };
        if self.book.messages.contains_key(&id) {
            return;
        }
        let deadline = self.now.saturating_add(left);
        let key = key.filter(|_| rules.class.in_order);
        let flow = Flow::new(rules.class.aim as f64);
        if let Some(key) = &key {
            self.book.keys.entry(key.clone()).or_default().line.push_back(id);
        }
        self.book.messages.insert(id, Message::new((class, rules), dest, key, self.now, deadline));
        let idle = !self.book.turns.waits(dest);
        self.book.flows.entry(dest).or_insert(flow).count_taken(self.now, self.set.longest_life());
        for host in self.book.hosts_of(dest).to_vec().into_iter().filter(|_| idle) {
            let at = self.now + self.crowd_gap(host);
            let saved = |h: &&mut Host| h.health != Health::Well && h.next < self.now;
            if let Some(h) = self.book.hosts.used_mut(&host).filter(saved) {
                h.next = at;
            }
        }
        let ends_at = deadline.saturating_sub(self.longest_end_margin());
        self.book.next_end = self.book.next_end.min(ends_at);
        self.hold(id, dest);
    }

    pub(super) fn hold(&mut self, id: MsgId, dest: DestId) {
        let Some(f) = self.book.flows.get(&dest) else { return };
        let cost = f.cost.clamp(self.mean_cost / COST_BOUND, self.mean_cost * COST_BOUND);
        let start = self.book.virtual_time.max(f.last_finish);
        self.book.hold(id, dest, (start, start + cost / f.phi));
        self.file(id);
        self.book.ends.change(id);
    }

    /// Every interval the weight follows the served fraction; on a change equations 9 to 11 retag.
    pub(super) fn reweigh(&mut self) {
        let seconds = (self.now + INTERVAL - self.book.next_interval) as f64 / 1e9;
        self.book.next_interval = self.now + INTERVAL;
        let seen: Vec<f64> = self.book.flows.values().map(|f| f.cost).collect();
        self.mean_cost = seen.iter().sum::<f64>() / seen.len().max(1) as f64;
        let (now, v, mean) = (self.now, self.book.virtual_time, self.mean_cost);
        let mut moved = Vec::new();
        for (dest, f) in self.book.flows.iter_mut() {
            let target = ((f.served + PHI_PRIOR) / (f.calls + PHI_PRIOR)).max(PHI_FLOOR);
            let phi = target.clamp(f.phi / PHI_STEP, f.phi * PHI_STEP).min(1.0);
            f.rate += 0.5 * (f.done / seconds - f.rate);
            (f.calls, f.served, f.done) = (0.0, 0.0, 0.0);
            if phi != f.phi {
                f.phi = phi;
                f.retag(f.cost.clamp(mean / COST_BOUND, mean * COST_BOUND), v);
                moved.push(*dest);
            }
        }
        moved.into_iter().for_each(|dest| self.book.turn(dest));
        self.book.hosts.for_each_used(|h| {
            let rate = rate_of(&mut h.served, RATE_SPAN, now);
            h.best_rate = h.best_rate.max(rate.unwrap_or(0.0));
            h.idle_proven -= h.idle_proven / 4;
        });
        self.book.idle_safe = self.book.idle_safe.map(|s| s + s / 4 + MS).filter(|s| *s < IDLE_TRUSTED);
        self.end_warmings();
        self.book.let_go(now, &self.set);
    }

    /// The lowest start tag goes next while fewer than D calls are out.
    pub(super) fn release(&mut self) {
        self.book.turns.wake(self.now);
        let mut turn = None;
        while self.book.calls.len() < self.set.slots {
            turn = self.book.turns.next(turn);
            let Some((_, dest)) = turn else { return };
            match self.choose(dest) {
                Some((host, ids)) => self.send(host, &ids),
                None => self.book.turns.set_aside(dest, self.now, self.shut_until(dest)),
            }
        }
    }

    /// Until when no call can go to a destination, whatever it is for, unless something happens to it: a call to it
    /// ends, its list or limit changes. 0 where that can't be told: what only fades with time is looked at each step.
    fn shut_until(&self, dest: DestId) -> Nanos {
        if self.book.closing.is_some() {
            return 0;
        }
        if self.book.calls_to_dest(dest) >= self.set.part_of_slots(CAP_WELL) {
            return Nanos::MAX;
        }
        self.book.hosts_of(dest).iter().map(|h| self.ready_at(*h)).min().unwrap_or(Nanos::MAX)
    }

    /// The slot cap of a destination: three quarters, half or less while any of its hosts is sick.
    pub(super) fn cap(&self, dest: DestId) -> usize {
        let sick = self.book.hosts_of(dest).iter().any(|h| !self.is_well(*h));
        self.set.part_of_slots(if sick { CAP_SICK } else { CAP_WELL })
    }

    /// Several silent destinations would fill the slots: all sick hosts share what one may have.
    fn sick_full(&self) -> bool {
        let sick = self.book.calls.values().filter(|c| !self.is_well(c.host));
        sick.count() >= self.set.part_of_slots(CAP_SICK)
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
            // An open connection saves its set-up: a relay with few calls keeps to one host, each to its own.
            let idle = self.now - h.last_used > self.set.keepalive || h.last_sent == 0;
            (self.sick(*id), h.bad.min(3), (self.fee(*id) * 1e6) as u64, h.load(), idle, h.last_sent, h.lot)
        });
        let f = self.book.flows.get(&dest)?;
        let (least_fee, horizon) = (self.least_fee(dest), self.horizon(f));
        for host in hosts {
            let trial = matches!(self.book.hosts[&host].health, Health::Down);
            let extra = self.fee(host) - least_fee;
            let risky = trial || self.fail_share(host) > RISKY || self.overdue(host) > 0;
            let ranked: Box<dyn Iterator<Item = (f64, MsgId)> + '_> = match trial {
                true => Box::new(self.by_stake(f, horizon).into_iter()),
                false => Box::new(self.by_loss(f, horizon, risky)),
            };
            let (most, mut ids) = (self.batch(host), Vec::new());
            for (loss, id) in ranked {
                let goes = loss >= extra && (!risky || self.risk_taken(&self.book.messages[&id]));
                if goes && self.gate(id, host) && self.joins(host, &ids, id, most) {
                    ids.push(id);
                }
                if ids.len() >= most {
                    break;
                }
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
            _ if self.book.route(host).is_some_and(Route::probes) => 1,
            Health::Well => most,
            Health::Doubted | Health::Warming { .. } => {
                let weight = self.cold_rate(host, self.now) * self.set.fall as f64 / 2e9;
                most.min(1 + ((weight - 1.0).max(0.0) / self.weight_of_more(host)) as usize)
            }
        }
    }

    /// Guessed time until a message of this flow that is passed over now gets its turn.
    pub(super) fn horizon(&self, f: &Flow) -> f64 {
        let rate = f.rate.max(0.5);
        (f.held.len() as f64 / rate * 1e9).clamp(HORIZON_LEAST, HORIZON_MOST)
    }

    /// All rules, whatever the heuristics want.
    fn gate(&self, id: MsgId, host: HostId) -> bool {
        let Some(m) = self.book.messages.get(&id) else { return false };
        let open = !m.out && m.attempts < m.rules.max_attempts && self.may_begin(id, host, self.now);
        open && self.book.calls.len() < self.set.slots
            && self.opens_at(host) <= self.now
            && self.book.key_free(id, m, self.now)
    }

    /// Whether its first byte may go to this host at `at`: before its end, and as its class may be repeated.
    pub fn may_begin(&self, id: MsgId, host: HostId, at: Nanos) -> bool {
        let Some((m, h)) = self.book.messages.get(&id).zip(self.book.hosts.get(&host)) else { return false };
        let repeats = match (m.may_have_run, m.rules.class.repeat) {
            (None, _) | (_, Repeat::Safe) => true,
            (Some(_), Repeat::Unsafe) => false,
            (Some((_, zone)), Repeat::Keyed { zone_only, .. }) => !zone_only || zone == h.zone(),
        };
        repeats && m.dest == h.dest && at.saturating_add(self.end_margin(m)) < self.end(m)
    }

    /// Listed as ready (to a draining one nothing is sent at all), not within a wait, not within a cold gap.
    fn opens_at(&self, host: HostId) -> Nanos {
        let h = &self.book.hosts[&host];
        if h.state != Listing::Ready || self.too_late(host) {
            return Nanos::MAX;
        }
        let wait = self.book.route(host).map_or(0, |r| r.wait);
        wait.max(h.crowd.until()).max(match h.health {
            Health::Well => 0,
            Health::Warming { since } => h.next.min(since.saturating_add(self.set.warm_up)),
            Health::Doubted | Health::Down => h.next,
        })
    }

    /// Heuristics on top of the gate: pace, own rest, overdue answers, one trial at a time.
    fn may_call(&self, host: HostId) -> bool {
        let h = &self.book.hosts[&host];
        // Further sends of this step to a host that takes batches would join the same call unasked.
        if self.ready_at(host) > self.now || (h.kind().per_call > 1 && h.last_sent == self.now) {
            return false;
        }
        let overdue = self.overdue(host);
        let few = self.set.part_of_slots(CAP_OVERDUE).max(2);
        let full = (h.health == Health::Down && h.out > overdue) || (overdue > 0 && h.out >= few);
        !full && self.within_terms(host) && (self.is_well(host) || !self.sick_full())
    }

    /// From when on wait, cold gap, own rest and pace let a call go.
    pub(super) fn ready_at(&self, host: HostId) -> Nanos {
        let Some(r) = self.book.route(host) else { return self.opens_at(host) };
        if r.refused > 0 && self.book.hosts[&host].out > 0 {
            return Nanos::MAX;
        }
        let token = |p: f64| r.filled.saturating_add(((1.0 - r.tokens).max(0.0) / p * 1e9).ceil() as Nanos);
        self.opens_at(host).max(r.rest).max(r.pace.map_or(0, token))
    }

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

    /// A repeatable attempt ends when its answer is long overdue, the next later (the host may be slow); a
    /// keyed one while half of its memory is left, to ask for a lost answer again; an unsafe one at the end.
    fn timeout(&self, id: MsgId, host: HostId) -> Nanos {
        let m = &self.book.messages[&id];
        let left = (m.deadline - self.now).saturating_sub(self.end_margin(m));
        let twice = f64::from(1 << m.attempts.min(4));
        let patience = (self.overdue_after(host) as f64 * TIMEOUT * twice) as Nanos;
        match m.rules.class.repeat {
            Repeat::Unsafe => left,
            Repeat::Safe => left.min(patience),
            Repeat::Keyed { memory, .. } => {
                left.min(patience).min(memory.min(self.end(m).saturating_sub(self.now)) / 2)
            }
        }
        .max(MS)
    }

    /// Slots run out while others wait: the call that was silent longest gives its slot back, one a step.
    pub(super) fn reclaim(&mut self) {
        if !self.set.may_cancel || self.book.calls.len() < self.set.slots {
            return;
        }
        let freed = self.book.attempts.values().any(|a| a.cancelled);
        let waiting = self.book.turns.open().any(|d| {
            self.book.calls_to_dest(d) < self.cap(d)
                && self.book.hosts_of(d).iter().any(|h| self.ready_at(*h) <= self.now)
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
}
