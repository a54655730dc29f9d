//! A fleet at one partner in virtual time: copies of the decision module, each with its part of the fleet's dealing, the
//! records between them late, lost or cut, and relays that stand still, die and come back. Seeded; no network.

use crate::partner::{Limited, COLD, FALL, OVERLOAD, SEC, WARM_UP};
use basaltloom::fleet::record::{id, key, Id, Key};
use basaltloom::fleet::together::{Deal, Own, Peer, Terms, Together};
use basaltloom::*;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

pub const MS: u64 = 1_000_000;
/// Unix time at which worlds begin.
const FROM: u64 = 1_000_000 * SEC;
const ANSWER: u64 = 50 * MS;
pub const DEADLINE: u64 = 8 * SEC;
/// Out of the others' views after so long without a sign.
const GONE: u64 = 4 * SEC;

/// What befalls the fleet, at a second.
pub enum Fault {
    Kill(usize),
    Start(usize),
    /// Stands still for so many seconds.
    Stop(usize, f64),
    /// The partner's limit, in calls a second.
    Limit(f64),
    /// The partner is gone for so many seconds, and back cold.
    Down(f64),
    /// The partner refuses every call for so many seconds, without a wait, and is back cold.
    Shut(f64),
    /// Nothing gets from one relay to another.
    Cut(fn(usize, usize) -> bool),
    /// This relay cannot reach the partner.
    Unlinked(usize),
    /// Says of the partner that it is down, whatever it sees.
    Liar(usize),
}

pub struct Case {
    pub relays: usize,
    pub seconds: usize,
    pub limit: f64,
    /// Messages a second, and at which relay each is handed in, by the second and a roll.
    pub asked: f64,
    pub at: fn(f64, f64) -> usize,
    /// Relays deal parts out among them.
    pub talk: bool,
    /// The list tells the limit.
    pub listed: bool,
    /// Share of records lost that are told at once, and how long those told by others take at most.
    pub loss: f64,
    pub gossip: u64,
    pub faults: Vec<(f64, Fault)>,
    /// How fast relay 0's clock runs.
    pub clock: f64,
    /// What relay 0 takes the size of the fleet to be.
    pub believes: Option<u32>,
}

impl Default for Case {
    fn default() -> Case {
        Case {
            relays: 8,
            seconds: 26,
            limit: 160.0,
            asked: 184.0,
            at: |_, roll| (roll * 8.0) as usize,
            talk: true,
            listed: false,
            loss: 0.0,
            gossip: 400 * MS,
            faults: Vec::new(),
            clock: 1.0,
            believes: None,
        }
    }
}

/// What came of a second, all relays together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Second {
    pub asked: usize,
    pub served: usize,
    pub refused: usize,
    /// Calls that found nobody.
    pub failed: usize,
    /// What the partner could have served.
    pub could: f64,
    /// What each relay was dealt at its end, where it was.
    pub dealt: [Option<f64>; 16],
}

pub struct Played {
    pub seconds: Vec<Second>,
    pub messages: usize,
    pub calls: usize,
    /// How often the partner was pushed over on its way back.
    pub pushed: usize,
    /// Calls to it beyond the cold budget.
    pub beyond: usize,
    /// Seconds from the end of the outage to the first call served, where there was one.
    pub back: Option<f64>,
    /// The most calls a second that were dealt out at once, and not run out, while a limit was listed.
    pub most_dealt: f64,
    pub bytes: usize,
    /// Messages with more than one final answer, or served twice.
    pub twice: usize,
    pub ended: usize,
}

impl Played {
    /// What was served of what the partner could serve.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let sum = |f: fn(&Second) -> f64| self.seconds[from..to].iter().map(f).sum::<f64>();
        sum(|s| s.served as f64) / sum(|s| s.could.min(s.asked as f64)).max(1.0)
    }

    pub fn refused(&self, from: usize, to: usize) -> f64 {
        let sum = |f: fn(&Second) -> usize| self.seconds[from..to].iter().map(f).sum::<usize>() as f64;
        sum(|s| s.refused) / sum(|s| s.refused + s.served + s.failed).max(1.0)
    }
}

#[derive(Clone, Debug)]
enum Comes {
    Message(u64),
    Step(Vec<Event>),
    Turn,
    Heard { from: usize, version: (u64, u64), bytes: Vec<u8> },
}

struct Node {
    relay: Relay,
    together: Option<Together>,
    alive: bool,
    life: u64,
    stopped: u64,
    /// When each other was last seen, and its last record.
    seen: BTreeMap<usize, u64>,
    records: BTreeMap<usize, ((u64, u64), Vec<u8>)>,
    stale_until: u64,
    version: u64,
    own: Own,
    until: Option<u64>,
    dealt: Option<f64>,
    linked: bool,
    liar: bool,
    attempts: BTreeMap<u64, u32>,
    clock: f64,
}

impl Node {
    /// Its own clock's time.
    fn local(&self, now: u64) -> u64 {
        FROM + ((now - FROM) as f64 * self.clock) as u64
    }

    fn real(&self, local: u64) -> u64 {
        FROM + (local.saturating_sub(FROM) as f64 / self.clock) as u64 + 1
    }
}

pub struct World {
    case: Case,
    now: u64,
    nodes: Vec<Node>,
    partner: Limited,
    due: BTreeMap<(u64, u64), (usize, u64, Comes)>,
    next: u64,
    dice: ChaCha8Rng,
    cut: fn(usize, usize) -> bool,
    played: Played,
    over: BTreeSet<u64>,
    served: BTreeSet<u64>,
    faults: VecDeque<(f64, Fault)>,
}

fn name(i: usize) -> String {
    format!("r{i}")
}

const PARTNER: &str = "partner";

impl World {
    fn settings(case: &Case, i: usize) -> Settings {
        let believes = case.believes.filter(|_| i == 0).unwrap_or(case.relays as u32);
        let class = Class {
            aim: 2 * SEC,
            deadline: DEADLINE,
            worth: 1.0,
            late_worth: 0.4,
            repeat: Repeat::Safe,
            in_order: false,
        };
        Settings {
            senders: believes,
            slots: 64,
            max_held: 2_000,
            max_attempts: 8,
            may_cancel: true,
            must_subscribe: false,
            keepalive: 10 * SEC,
            max_come_back: SEC,
            limits: if case.listed { Limits::Exact } else { Limits::Unlisted },
            late: Late::Even,
            classes: vec![class],
            kinds: vec![Kind { apart: false, per_call: 1 }],
            zone_fee: vec![],
            zone: 0,
            cross_zone: 0.0,
            cold_share: COLD,
            warm_up: WARM_UP,
            overload_factor: OVERLOAD,
            fall: FALL,
            key_rest: 0,
        }
    }

    fn node(case: &Case, i: usize, life: u64, now: u64, seed: u64) -> Node {
        let set = Self::settings(case, i);
        let terms = Terms { senders: set.senders, cold_share: COLD, warm_up: WARM_UP };
        let clock = if i == 0 { case.clock } else { 1.0 };
        let mut node = Node {
            relay: Relay::new(set, seed),
            together: None,
            alive: true,
            life,
            stopped: 0,
            seen: BTreeMap::new(),
            records: BTreeMap::new(),
            stale_until: 0,
            version: 0,
            own: Own::default(),
            until: None,
            dealt: None,
            linked: true,
            liar: false,
            attempts: BTreeMap::new(),
            clock,
        };
        let local = node.local(now);
        node.together = case.talk.then(|| Together::new(id(&name(i)), terms, local));
        let entry = Entry { host: 0, dest: 5, kind: 0, zone: 0, state: Listing::Ready, scale: case.limit };
        node.relay.step(local, &[Event::Listed { whole: true, entries: vec![entry] }]);
        node
    }

    pub fn play(mut case: Case, seed: u64) -> Played {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let now = FROM;
        let nodes = (0..case.relays).map(|i| Self::node(&case, i, 0, now, dice.next_u64())).collect();
        let partner = Limited::new(case.limit);
        let played = Played {
            seconds: vec![Second::default(); case.seconds],
            messages: 0,
            calls: 0,
            pushed: 0,
            beyond: 0,
            back: None,
            most_dealt: 0.0,
            bytes: 0,
            twice: 0,
            ended: 0,
        };
        let mut faults: Vec<(f64, Fault)> = std::mem::take(&mut case.faults);
        faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut world = World {
            now,
            nodes,
            partner,
            due: BTreeMap::new(),
            next: 0,
            dice,
            cut: |_, _| false,
            played,
            over: BTreeSet::new(),
            served: BTreeSet::new(),
            faults: faults.into(),
            case,
        };
        world.run();
        (world.played.pushed, world.played.beyond) = (world.partner.pushed, world.partner.beyond);
        world.played
    }

    fn roll(&mut self) -> f64 {
        (self.dice.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn put(&mut self, at: u64, node: usize, comes: Comes) {
        self.next += 1;
        let life = self.nodes[node].life;
        self.due.insert((at.max(self.now), self.next), (node, life, comes));
    }

    fn second(&mut self) -> Option<&mut Second> {
        let at = ((self.now - FROM) / SEC) as usize;
        self.played.seconds.get_mut(at)
    }

    fn run(&mut self) {
        for i in 0..self.nodes.len() {
            let at = self.now + (self.roll() * 100.0) as u64 * MS;
            self.put(at, i, Comes::Turn);
        }
        let mut message = 0;
        let mut at = 0.0;
        let end = FROM + self.case.seconds as u64 * SEC;
        let mut sampled = FROM;
        loop {
            // The next message is as good as in the queue.
            let arrives = FROM + (at * 1e9) as u64;
            let due = self.due.first_key_value().map_or(u64::MAX, |(k, _)| k.0);
            let fault = self.faults.front().map_or(u64::MAX, |(s, _)| FROM + (s * 1e9) as u64);
            let first = arrives.min(due).min(fault);
            if first >= end {
                return;
            }
            while sampled + 10 * MS <= first {
                sampled += 10 * MS;
                self.now = sampled;
                let could = self.partner.capacity(sampled) / 100.0;
                if let Some(s) = self.second() {
                    s.could += could;
                }
                self.sample();
            }
            self.now = self.now.max(first);
            if fault == first {
                if let Some((_, fault)) = self.faults.pop_front() {
                    self.befall(fault);
                }
                continue;
            }
            if arrives == first && arrives <= due {
                let roll = self.roll();
                let to = (self.case.at)(at, roll);
                message += 1;
                // Whoever hands in goes to one that is there.
                let to = (0..self.nodes.len())
                    .map(|k| (to + k) % self.nodes.len())
                    .find(|i| self.nodes[*i].alive && self.nodes[*i].stopped <= self.now);
                if let Some(to) = to {
                    self.played.messages += 1;
                    if let Some(s) = self.second() {
                        s.asked += 1;
                    }
                    self.put(self.now, to, Comes::Message(message));
                }
                at += 2.0 * self.roll() / self.case.asked;
                continue;
            }
            let Some((_, (i, life, comes))) = self.due.pop_first() else { return };
            if !self.nodes[i].alive || self.nodes[i].life != life {
                continue;
            }
            if self.nodes[i].stopped > self.now {
                let at = self.nodes[i].stopped;
                self.put(at, i, comes);
                continue;
            }
            self.happen(i, comes);
        }
    }

    /// The sum of what is dealt out and in force.
    fn sample(&mut self) {
        let now = self.now;
        let dealt: Vec<Option<f64>> = self
            .nodes
            .iter()
            .map(|n| n.dealt.filter(|_| n.until.is_some_and(|u| n.local(now) < u)))
            .collect();
        if let Some(s) = self.second() {
            s.dealt.iter_mut().zip(dealt).for_each(|(to, of)| *to = of);
        }
        let all = self.nodes.iter().filter(|n| n.alive && n.stopped <= self.now);
        let sum: f64 =
            all.filter_map(|n| n.dealt.filter(|_| n.until.is_some_and(|u| n.local(self.now) < u))).sum();
        if self.now > FROM + 3 * SEC {
            self.played.most_dealt = self.played.most_dealt.max(sum);
        }
    }

    fn befall(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(i) => self.nodes[i].alive = false,
            Fault::Start(i) => {
                let (life, seed) = (self.nodes[i].life + 1, self.dice.next_u64());
                self.nodes[i] = Self::node(&self.case, i, life, self.now, seed);
                self.put(self.now, i, Comes::Turn);
            }
            Fault::Stop(i, s) => self.nodes[i].stopped = self.now + (s * 1e9) as u64,
            Fault::Limit(limit) => self.partner.limit = limit,
            Fault::Down(s) => {
                self.partner.down(self.now, (s * 1e9) as u64);
            }
            Fault::Shut(s) => self.partner.shut(self.now, (s * 1e9) as u64),
            Fault::Cut(cut) => self.cut = cut,
            Fault::Unlinked(i) => self.nodes[i].linked = false,
            Fault::Liar(i) => self.nodes[i].liar = true,
        }
    }

    fn happen(&mut self, i: usize, comes: Comes) {
        match comes {
            Comes::Message(message) => {
                self.nodes[i].own.taken += 1.0;
                let taken = Event::Taken { id: message, class: 0, dest: 5, key: None, time_left: DEADLINE };
                self.step(i, &[taken]);
            }
            Comes::Step(events) => self.step(i, &events),
            Comes::Heard { from, version, bytes } => {
                let node = &mut self.nodes[i];
                if node.records.get(&from).is_none_or(|(v, _)| *v < version) {
                    node.records.insert(from, (version, bytes));
                }
            }
            Comes::Turn => self.turn(i),
        }
    }

    fn step(&mut self, i: usize, events: &[Event]) {
        let local = self.nodes[i].local(self.now);
        let actions = self.nodes[i].relay.step(local, events);
        for action in actions {
            match action {
                Action::Wake { at } => {
                    let at = self.nodes[i].real(at);
                    self.put(at, i, Comes::Step(vec![Event::Woken]));
                }
                Action::Send { id, .. } => self.send(i, id),
                Action::Refuse { id, .. } | Action::Fail { id } => {
                    self.played.ended += 1;
                    self.played.twice += usize::from(!self.over.insert(id));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, i: usize, id: u64) {
        let now = self.now;
        let n = self.nodes[i].attempts.entry(id).or_default();
        let attempt = *n;
        *n += 1;
        let local = self.nodes[i].local(now);
        // As a core does right before the first byte.
        if self.nodes[i].until.is_some_and(|until| until <= local) {
            let outcome = Outcome::NotSent;
            let ended = Event::Ended { id, attempt, outcome, latency: 0, over: false };
            return self.put(now + MS, i, Comes::Step(vec![ended]));
        }
        let answer = if self.nodes[i].linked { self.partner.call(now) } else { None };
        let outcome = match answer {
            Some(true) => Outcome::Served,
            Some(false) => Outcome::Full { wait: 0 },
            None => Outcome::NoConnection,
        };
        let served = outcome == Outcome::Served;
        self.played.calls += 1;
        let back = self.partner.back();
        let node = &mut self.nodes[i];
        node.own.served += u64::from(served);
        node.own.refused += u64::from(matches!(outcome, Outcome::Full { .. }));
        if served {
            self.played.twice += usize::from(!self.served.insert(id));
            if self.played.back.is_none() {
                self.played.back = back.map(|back| (now - back) as f64 / 1e9);
            }
        }
        if let Some(s) = self.second() {
            match outcome {
                Outcome::Served => s.served += 1,
                Outcome::Full { .. } => s.refused += 1,
                _ => s.failed += 1,
            }
        }
        let ended = Event::Ended { id, attempt, outcome, latency: ANSWER, over: served };
        self.put(now + ANSWER, i, Comes::Step(vec![ended]));
    }

    fn turn(&mut self, i: usize) {
        let now = self.now;
        self.put(now + 100 * MS, i, Comes::Turn);
        for j in 0..self.nodes.len() {
            if i != j && !(self.cut)(i, j) {
                self.nodes[j].seen.insert(i, now);
            }
        }
        let node = &mut self.nodes[i];
        if node.together.is_none() {
            return;
        }
        let local = node.local(now);
        // It finds out that it stood still, and asks before it acts on its view again.
        if node.stopped > 0 && node.stopped + 100 * MS > now {
            node.stale_until = now + 300 * MS;
        }
        let there: Vec<usize> =
            node.seen.iter().filter(|(_, at)| now < **at + GONE).map(|(j, _)| *j).collect();
        let fresh = node.seen.values().any(|at| now < at + 2 * SEC);
        let stale = now < node.stale_until || !fresh;
        let peers: Vec<Peer<'_>> = there
            .iter()
            .map(|j| match node.records.get(j) {
                Some((version, bytes)) => Peer { id: id(&name(*j)), version: *version, record: bytes },
                None => Peer { id: id(&name(*j)), version: (0, 0), record: &[] },
            })
            .collect();
        let Some(view) = node.relay.standing(0) else { return };
        let partner: Key = key(PARTNER);
        let (down, served_at) = if node.liar { (true, 0) } else { (view.down, view.served) };
        let own = Own {
            key: partner,
            waiting: view.waiting as f64,
            down,
            served_at,
            wait: view.wait,
            limit: view.limit,
            best: view.best,
            ..node.own
        };
        let Some(together) = &mut node.together else { return };
        let turn = together.turn(local, stale, &peers, &[own]);
        let mut events = Vec::new();
        for Deal { rate, until, .. } in turn.deals {
            (node.dealt, node.until) = (rate, rate.map(|_| until));
            events.push(Event::Dealt { host: 0, rate });
        }
        if let Some(bytes) = turn.record {
            node.version += 1;
            let version = (node.life, node.version);
            self.played.bytes += bytes.len();
            let tell: Vec<Id> = turn.tell;
            for j in 0..self.nodes.len() {
                if i == j || (self.cut)(i, j) {
                    continue;
                }
                let heard = Comes::Heard { from: i, version, bytes: bytes.clone() };
                if tell.contains(&id(&name(j))) && self.roll() >= self.case.loss {
                    let at = now + MS + (self.roll() * 10.0 * MS as f64) as u64;
                    self.put(at, j, heard.clone());
                }
                let takes =
                    50.0 * MS as f64 + self.roll() * self.case.gossip as f64 * (1.0 + 2.0 * self.case.loss);
                self.put(now + takes as u64, j, heard);
            }
        }
        if !events.is_empty() {
            self.step(i, &events);
        }
    }
}
