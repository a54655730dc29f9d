//! Membership: who of the fleet is there. Without I/O and clock: datagrams and times go in, datagrams and news come out,
//! chances are drawn from a seed.
//!
//! SWIM's probes and suspicion, with what Lifeguard adds (one's own health, accusers that add up, a suspect is told at
//! once), and with proof: only who answers a probe of ours is taken for alive again. `docs/design/membership.md` weighs
//! it.

pub mod roll;
pub mod saved;
pub mod terms;
pub mod view;
pub mod wire;

pub use roll::{Life, Name, Record, State};
pub use terms::{Guards, Terms};
pub use view::{News, Seen, Stale, View};

use crate::interface::{Nanos, MS, SEC};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use roll::{Roll, Turn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use wire::{Claim, Datagram, Kind, Refused, Said, Sender};

/// Worst health of one's own: each step stretches probes by their whole span.
const HEALTH_MOST: u32 = 4;
/// Probes that wait for an answer, those of strangers and for others among them.
const PROBES_MOST: usize = 512;
/// Of them, probes of strangers.
const STRANGERS_MOST: usize = 64;
/// Members held to be faulty that others say are there, to be asked one after another.
const DOUBTS_MOST: usize = 1_024;
/// Of those, asked in a round of gossip.
const DOUBTS_EACH: usize = 8;
/// Rounds in which a piece of news is passed on, for each doubling of the fleet.
const REPEATS: f64 = 4.0;
/// Members asked for their whole view at once, and the time after which others are.
const ASKED: usize = 3;
const ASKED_AGAIN: Nanos = SEC;
/// Addresses remembered of an earlier life.
const CONTACTS_MOST: usize = 256;
/// Members told directly of a goodbye.
const GOODBYES: usize = 24;
/// Least time between two versions of one's own record.
const RECORD_GAP: Nanos = 200 * MS;

/// Who this relay is to the others.
#[derive(Clone, Debug)]
pub struct Me {
    pub fleet: String,
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
    pub room: String,
    /// Unix time in nanoseconds at the start, or later than the life before.
    pub born: u64,
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    pub sent: u64,
    pub bytes: u64,
    pub heard: u64,
    /// Probes of ours that nobody answered.
    pub unanswered: u64,
    /// Dropped, in the order of `Refused::ALL`.
    pub refused: [u64; 5],
}

#[derive(Clone, Debug)]
enum Why {
    /// A round of probes.
    Own { asked: usize, nacks: usize },
    /// Another asked for it, under a number of its own.
    For { requester: SocketAddr, nonce: u64 },
    /// Whoever it is, it is to prove that it is there.
    Proof,
}

#[derive(Clone, Debug)]
struct Probe {
    name: Name,
    address: SocketAddr,
    sent: Nanos,
    why: Why,
}

pub struct Membership {
    terms: Terms,
    fleet: u32,
    name: Name,
    room: Name,
    address: SocketAddr,
    life: Life,
    record: Record,
    /// A record that waits for its time, and that time.
    next_record: Option<Arc<[u8]>>,
    recorded: Nanos,
    started: Nanos,
    roll: Roll,
    dice: ChaCha8Rng,
    /// Those that are there, in the order of probes; and how far that has come.
    order: Vec<Name>,
    turn: usize,
    probes: BTreeMap<u64, Probe>,
    strangers: usize,
    suspects: BTreeSet<Name>,
    /// News that are passed on: how often each was told, about whom, and by which accuser.
    queue: BTreeSet<(usize, Name, Name)>,
    doubts: VecDeque<Name>,
    contacts: Vec<SocketAddr>,
    next_probe: Nanos,
    next_gossip: Nanos,
    next_reach: Nanos,
    next_page: Nanos,
    /// Name of the member with which the next page begins.
    page_from: Option<Name>,
    health: u32,
    /// When a probe of ours was last answered.
    proven: Nanos,
    stale: Option<Stale>,
    /// A whole view that was asked for, under this number, and when.
    exchange: Option<(u64, Nanos)>,
    due: Nanos,
    out: Vec<(SocketAddr, Vec<u8>)>,
    news: Vec<News>,
    figures: Figures,
    version: u64,
    view: Option<Rc<View>>,
}

impl Membership {
    /// Begins alone; `contacts` are addresses to join by, those of the operator's file first.
    pub fn new(now: Nanos, seed: u64, me: Me, terms: Terms, contacts: Vec<SocketAddr>) -> Membership {
        let mut dice = ChaCha8Rng::seed_from_u64(seed);
        let first = (u64::from(dice.next_u32()) * terms.probe) >> 32;
        let mut contacts: Vec<SocketAddr> = contacts.into_iter().filter(|c| *c != me.address).collect();
        contacts.truncate(CONTACTS_MOST);
        Membership {
            fleet: wire::fleet(&me.fleet),
            name: me.name.as_str().into(),
            room: me.room.as_str().into(),
            address: me.address,
            life: Life { born: me.born, round: 0 },
            record: Record::default(),
            next_record: None,
            recorded: 0,
            started: now,
            roll: Roll::default(),
            dice,
            order: Vec::new(),
            turn: 0,
            probes: BTreeMap::new(),
            strangers: 0,
            suspects: BTreeSet::new(),
            queue: BTreeSet::new(),
            doubts: VecDeque::new(),
            stale: (!contacts.is_empty()).then_some(Stale::Starting),
            contacts,
            next_probe: now + first,
            next_gossip: now + terms.gossip,
            next_reach: now,
            next_page: now + terms.page,
            page_from: None,
            health: 0,
            proven: now,
            exchange: None,
            due: 0,
            out: Vec::new(),
            news: Vec::new(),
            figures: Figures::default(),
            version: 1,
            view: None,
            terms,
        }
    }

    /// When `tick` is wanted next.
    pub fn due(&self) -> Nanos {
        self.due
    }

    /// Datagrams to be sent, each with where to.
    pub fn take_out(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    pub fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Addresses to join by, met or not.
    pub fn contacts(&self) -> &[SocketAddr] {
        &self.contacts
    }

    pub fn figures(&self) -> Figures {
        self.figures
    }

    pub fn life(&self) -> Life {
        self.life
    }

    /// The view as it stands; the same one until something changes.
    pub fn view(&mut self) -> Rc<View> {
        if let Some(view) = self.view.as_ref().filter(|v| v.version == self.version) {
            return view.clone();
        }
        let seen = |name: &Name, m: &roll::Member| Seen {
            name: name.clone(),
            address: m.address,
            room: m.room.clone(),
            life: m.life,
            state: m.state,
            record: m.record.clone(),
        };
        let me = Seen {
            name: self.name.clone(),
            address: self.address,
            room: self.room.clone(),
            life: self.life,
            state: if self.stale == Some(Stale::Leaving) { State::Left } else { State::Alive },
            record: self.record.clone(),
        };
        let others = self.roll.members.iter().map(|(name, m)| seen(name, m)).collect();
        let view = Rc::new(View { version: self.version, me, others, stale: self.stale });
        self.view = Some(view.clone());
        view
    }

    /// What the others are to know of this relay: at most `RECORD_MOST` bytes, the last one said stands. Told at most
    /// five times a second.
    pub fn set_record(&mut self, now: Nanos, bytes: &[u8]) -> bool {
        if bytes.len() > wire::RECORD_MOST {
            return false;
        }
        if *self.record.bytes != *bytes || self.next_record.is_some() {
            self.next_record = Some(bytes.into());
            self.tell_record(now);
            self.plan();
        }
        true
    }

    fn tell_record(&mut self, now: Nanos) {
        if now < self.recorded + RECORD_GAP && self.record.version > 0 {
            return;
        }
        if let Some(bytes) = self.next_record.take() {
            self.recorded = now;
            self.record = Record { version: self.record.version + 1, bytes };
            self.version += 1;
            self.pass_on(self.name.clone(), "");
        }
    }

    /// Says goodbye: from now on this relay is known to have left.
    pub fn leave(&mut self, now: Nanos) {
        if self.silent() {
            return;
        }
        self.set_stale(Some(Stale::Leaving));
        for (address, _) in self.some(GOODBYES, |_, _| true) {
            self.say(now, address, Kind::Gossip, Vec::new());
        }
    }

    /// It says nothing any more, or nothing but goodbye.
    fn silent(&self) -> bool {
        matches!(self.stale, Some(Stale::Leaving | Stale::Superseded))
    }

    // ---- time ----

    pub fn tick(&mut self, now: Nanos) {
        self.wakes(now);
        if self.stale == Some(Stale::Superseded) {
            self.due = Nanos::MAX;
            return;
        }
        if self.stale == Some(Stale::Leaving) {
            if now >= self.next_gossip {
                self.next_gossip = now + self.terms.gossip;
                for (address, _) in self.some(self.terms.fanout, |_, _| true) {
                    self.say(now, address, Kind::Gossip, Vec::new());
                }
            }
            self.due = self.next_gossip;
            return;
        }
        self.tell_record(now);
        self.end_probes(now);
        self.end_suspicions(now);
        if now >= self.next_probe {
            self.next_probe = now + self.terms.probe * u64::from(self.health + 1);
            self.probe(now);
        }
        if now >= self.next_gossip {
            self.next_gossip = now + self.terms.gossip;
            self.gossip(now);
        }
        if now >= self.next_reach {
            self.next_reach = now + self.terms.reach;
            self.reach(now);
        }
        if now >= self.next_page {
            self.next_page = now + self.terms.page;
            self.page(now);
            for name in self.roll.forget(now.saturating_sub(self.terms.forget)) {
                self.queue.retain(|(_, of, _)| *of != name);
                self.changed(News::Forgotten { name });
            }
        }
        self.look_at_oneself(now);
        self.plan();
    }

    /// What falls due next. Asked for at each moment at which it may be another one.
    fn plan(&mut self) {
        let record = self.next_record.as_ref().map_or(Nanos::MAX, |_| self.recorded + RECORD_GAP);
        let fixed = [self.next_probe, self.next_gossip, self.next_reach, self.next_page, record];
        self.due = fixed.into_iter().min().unwrap_or(Nanos::MAX);
    }

    /// Woken long after the time asked for, this relay stood still: what came of its probes meanwhile it cannot know,
    /// and what it holds of the others is old.
    fn wakes(&mut self, now: Nanos) {
        let lag = if self.due == 0 { 0 } else { now.saturating_sub(self.due) };
        if lag <= self.terms.pause || !self.terms.guards.pause || self.silent() {
            return;
        }
        self.due = now;
        self.news.push(News::Paused { lag });
        self.probes.clear();
        self.strangers = 0;
        self.health = (self.health + 1).min(HEALTH_MOST);
        for name in &self.suspects {
            if let Some(m) = self.roll.members.get_mut(name) {
                m.since += lag;
            }
        }
        self.proven = self.proven.max(now.saturating_sub(self.terms.alone / 2));
        if self.order.is_empty() {
            return;
        }
        self.set_stale(Some(Stale::Paused));
        if self.exchange.is_none_or(|(_, at)| now >= at + ASKED_AGAIN) {
            self.ask_exchange(now);
        }
    }

    /// Whether its own view is to be acted on, and whether it hears anybody.
    fn look_at_oneself(&mut self, now: Nanos) {
        if self.exchange.is_some_and(|(_, at)| now >= at + ASKED_AGAIN) {
            self.exchange = None;
        }
        let others = self.roll.there().next().is_some();
        if self.terms.guards.health && others && now > self.proven + self.terms.alone {
            if self.stale.is_none() {
                self.set_stale(Some(Stale::Alone));
            }
            return;
        }
        match self.stale {
            // Whoever could be asked is not there: this relay is the first.
            Some(Stale::Starting) if !others && now > self.started + self.terms.alone => self.set_stale(None),
            Some(Stale::Starting | Stale::Paused | Stale::Alone) if self.exchange.is_none() && others => {
                self.ask_exchange(now);
            }
            Some(Stale::Paused) if !others => self.set_stale(None),
            _ => {}
        }
    }

    fn set_stale(&mut self, stale: Option<Stale>) {
        if self.stale != stale {
            self.stale = stale;
            self.changed(News::Stale(stale));
        }
    }

    fn changed(&mut self, news: News) {
        self.version += 1;
        self.news.push(news);
    }

    // ---- probes ----

    fn probe(&mut self, now: Nanos) {
        if self.stale == Some(Stale::Paused) && self.terms.guards.pause {
            return;
        }
        for _ in 0..2 * self.order.len() {
            if self.turn >= self.order.len() {
                self.shuffle();
            }
            let Some(name) = self.order.get(self.turn).cloned() else { return };
            self.turn += 1;
            if let Some(m) = self.roll.get(&name).filter(|m| m.state.there()) {
                let address = m.address;
                self.ping(now, name, address, Why::Own { asked: 0, nacks: 0 });
                return;
            }
        }
    }

    /// A new round of probes, each member once, in an order by chance.
    fn shuffle(&mut self) {
        self.turn = 0;
        self.order = self.roll.there().map(|(name, _)| name.clone()).collect();
        for i in (1..self.order.len()).rev() {
            let j = self.roll_below(i + 1);
            self.order.swap(i, j);
        }
    }

    fn roll_below(&mut self, n: usize) -> usize {
        (self.dice.next_u64() % n.max(1) as u64) as usize
    }

    fn ping(&mut self, now: Nanos, name: Name, address: SocketAddr, why: Why) {
        let stranger = matches!(why, Why::Proof);
        if self.probes.len() >= PROBES_MOST || (stranger && self.strangers >= STRANGERS_MOST) {
            return;
        }
        self.strangers += usize::from(stranger);
        let nonce = self.dice.next_u64().max(1);
        let claims = self.held_against(&name);
        self.probes.insert(nonce, Probe { name, address, sent: now, why });
        self.say(now, address, Kind::Ping { nonce }, claims);
    }

    /// What is to be told at once to a member that is held to be less than alive.
    fn held_against(&self, name: &str) -> Vec<Claim> {
        let claim = self.roll.claim(name, false);
        claim.into_iter().filter(|c| matches!(c.said, Said::Suspect | Said::Faulty)).collect()
    }

    fn end_probes(&mut self, now: Nanos) {
        let slow = u64::from(self.health + 1);
        let (answer, accuse) = (self.terms.answer * slow, self.terms.accuse * slow);
        let waiting = |p: &Probe| now >= p.sent + answer;
        let nonces: Vec<u64> = self.probes.iter().filter(|(_, p)| waiting(p)).map(|(n, _)| *n).collect();
        for nonce in nonces {
            let Some(probe) = self.probes.get(&nonce).cloned() else { continue };
            let over = now >= probe.sent + accuse;
            match probe.why {
                Why::Own { asked: 0, .. } if !over => self.ask_helpers(now, nonce, &probe),
                Why::Own { asked, nacks } if over => {
                    self.probes.remove(&nonce);
                    self.figures.unanswered += 1;
                    // Helpers that say nothing either are a sign that it is this relay that is not well.
                    // Not where another answered meanwhile: then it is they who are gone.
                    let missing = if asked == 0 { 1 } else { asked.saturating_sub(nacks) };
                    let unwell = self.terms.guards.health && self.proven < probe.sent;
                    let missing = if unwell { missing as u32 } else { 0 };
                    self.health = (self.health + missing).min(HEALTH_MOST);
                    self.accuse(now, &probe.name);
                }
                Why::For { requester, nonce: of } => {
                    self.probes.remove(&nonce);
                    self.say(now, requester, Kind::Nack { nonce: of }, Vec::new());
                }
                Why::Proof if over => {
                    self.probes.remove(&nonce);
                    self.strangers -= 1;
                }
                _ => {}
            }
        }
    }

    fn ask_helpers(&mut self, now: Nanos, nonce: u64, probe: &Probe) {
        let helpers = self.some(self.terms.helpers, |name, m| *name != probe.name && m.state == State::Alive);
        if let Some(Probe { why: Why::Own { asked, .. }, .. }) = self.probes.get_mut(&nonce) {
            *asked = helpers.len().max(1);
        }
        for (address, _) in helpers {
            let (name, of) = (probe.name.to_string(), probe.address);
            self.say(now, address, Kind::Ask { nonce, name, address: of }, Vec::new());
        }
        // The first may only have been lost.
        let claims = self.held_against(&probe.name);
        self.say(now, probe.address, Kind::Ping { nonce }, claims);
    }

    /// Whether this relay may hold anything against others: it does not while it may be itself who is cut off.
    fn may_judge(&self, now: Nanos) -> bool {
        let alone = self.terms.guards.health && now > self.proven + self.terms.alone;
        let paused = self.terms.guards.pause && self.stale == Some(Stale::Paused);
        !alone && !paused && !self.silent()
    }

    fn accuse(&mut self, now: Nanos, name: &Name) {
        let Some(m) = self.roll.get(name).filter(|m| m.state.there()) else { return };
        if !self.may_judge(now) {
            return;
        }
        let (round, address, me) = (m.life.round, m.address, self.name.clone());
        let turn = self.roll.accuse(now, name, round, &me, false);
        self.turned(now, name, turn, &me, "probes");
        let claims = self.held_against(name);
        self.say(now, address, Kind::Gossip, claims);
    }

    /// How long a suspicion lasts that has so many accusers.
    fn span(&self, m: &roll::Member) -> Nanos {
        let (least, most) = (self.terms.suspect_least, self.terms.suspect_most);
        if m.told || !self.terms.guards.accusers {
            return least;
        }
        // Those that could accuse it, this relay among them.
        let others = 1 + self.order.len().saturating_sub(self.suspects.len());
        let enough = others.clamp(1, self.terms.accusers) as f64;
        let accusers = (m.accusers.len().max(1) as f64).min(enough);
        if enough <= 1.0 {
            return least;
        }
        most - ((most - least) as f64 * accusers.ln() / enough.ln()) as Nanos
    }

    fn end_suspicions(&mut self, now: Nanos) {
        if self.suspects.is_empty() || !self.may_judge(now) {
            return;
        }
        for name in self.suspects.clone() {
            let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Suspect) else {
                self.suspects.remove(&name);
                continue;
            };
            if now < m.since + self.span(m) {
                continue;
            }
            // It answered this relay itself since it was accused: it is to hear of it, and to refute it.
            let (address, by) = (m.address, m.accusers.clone());
            if self.terms.guards.hearsay && m.proven > m.since && now < m.proven + self.terms.suspect_least {
                // About once a second.
                if self.roll_below(10) == 0 {
                    self.ping(now, name, address, Why::Proof);
                }
                continue;
            }
            self.roll.fault(now, &name);
            self.suspects.remove(&name);
            self.pass_on(name.clone(), "");
            self.changed(News::Faulty { name, by });
        }
    }

    // ---- news ----

    /// What follows from a change of the roll.
    fn turned(&mut self, now: Nanos, name: &Name, turn: Option<Turn>, by: &str, why: &'static str) {
        let (Some(turn), Some(m)) = (turn, self.roll.get(name)) else { return };
        let (life, address, state) = (m.life, m.address, m.state);
        if state == State::Suspect {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(name);
        }
        match turn {
            Turn::Joined | Turn::Again | Turn::Cleared | Turn::Accused
                if state.there() && !self.order.contains(name) =>
            {
                let at = self.roll_below(self.order.len() + 1);
                self.order.insert(at, name.clone());
            }
            _ => {}
        }
        let accuser = if state == State::Suspect { by } else { "" };
        self.pass_on(name.clone(), accuser);
        match turn {
            Turn::Joined | Turn::Again | Turn::Cleared if state == State::Alive => {
                self.changed(News::Alive { name: name.clone(), life, why });
            }
            Turn::Joined | Turn::Accused => {
                self.changed(News::Suspect { name: name.clone(), by: by.into() });
                // It is to hear of it at once, from a few and not from all.
                if self.roll_below(self.order.len()) < self.terms.fanout && self.terms.guards.hearsay {
                    let claims = self.held_against(name);
                    self.say(now, address, Kind::Gossip, claims);
                }
            }
            Turn::Faulty => self.changed(News::Faulty { name: name.clone(), by: vec![by.into()] }),
            Turn::Left => self.changed(News::Left { name: name.clone() }),
            _ => self.version += 1,
        }
    }

    /// Has a piece of news told from now on; what was said of the same member before is over.
    fn pass_on(&mut self, name: Name, by: &str) {
        let by: Name = by.into();
        let accused = !by.is_empty();
        self.queue
            .retain(|(_, of, accuser)| *of != name || (accused && !accuser.is_empty() && *accuser != by));
        self.queue.insert((0, name, by));
    }

    /// How often a piece of news is told.
    fn repeats(&self) -> usize {
        (REPEATS * ((self.order.len() + 2) as f64).log2()).ceil() as usize
    }

    fn gossip(&mut self, now: Nanos) {
        for _ in 0..DOUBTS_EACH {
            let Some(name) = self.doubts.pop_front() else { break };
            if let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Faulty) {
                let address = m.address;
                self.ping(now, name, address, Why::Proof);
            }
        }
        // Where most are gone, probes in turn seldom meet one that answers: those heard of last are asked.
        if now > self.proven + self.terms.alone / 4 && !self.order.is_empty() {
            let heard = |(name, m): (&Name, &roll::Member)| (m.heard, name.clone(), m.address);
            if let Some((_, name, address)) = self.roll.there().map(heard).max() {
                self.ping(now, name, address, Why::Proof);
            }
        }
        if self.queue.is_empty() {
            return;
        }
        for (address, _) in self.some(self.terms.fanout, |_, _| true) {
            self.say(now, address, Kind::Gossip, Vec::new());
        }
    }

    /// Tries those that are held to be faulty, since a cut looks the same from here, and the addresses to join by.
    fn reach(&mut self, now: Nanos) {
        let faulty: Vec<(Name, SocketAddr)> = self
            .roll
            .members
            .iter()
            .filter(|(_, m)| m.state == State::Faulty)
            .map(|(name, m)| (name.clone(), m.address))
            .collect();
        if !faulty.is_empty() {
            let at = self.roll_below(faulty.len());
            let (name, address) = faulty[at].clone();
            self.ping(now, name, address, Why::Proof);
        }
        let there: BTreeSet<SocketAddr> = self.roll.there().map(|(_, m)| m.address).collect();
        let unknown: Vec<SocketAddr> = self.contacts.iter().filter(|c| !there.contains(c)).copied().collect();
        // One that knows nobody tries several.
        let tries = if there.is_empty() { ASKED } else { 1 };
        for _ in 0..tries.min(unknown.len()) {
            let address = unknown[self.roll_below(unknown.len())];
            self.ping(now, "".into(), address, Why::Proof);
        }
    }

    /// Some of those that are there, by chance, each once.
    fn some(&mut self, n: usize, fits: impl Fn(&Name, &roll::Member) -> bool) -> Vec<(SocketAddr, Name)> {
        let mut found: Vec<(SocketAddr, Name)> = Vec::new();
        if self.order.is_empty() {
            return found;
        }
        let from = self.roll_below(self.order.len());
        // Steps by chance through an order by chance.
        let step = 1 + self.roll_below(self.order.len().min(7));
        for i in 0..self.order.len() {
            let name = &self.order[(from + i * step) % self.order.len()];
            let Some(m) = self.roll.get(name) else { continue };
            if m.state.there() && fits(name, m) && !found.iter().any(|(_, n)| n == name) {
                found.push((m.address, name.clone()));
            }
            if found.len() >= n {
                break;
            }
        }
        found
    }

    // ---- the whole view ----

    fn ask_exchange(&mut self, now: Nanos) {
        let nonce = self.dice.next_u64().max(1);
        self.exchange = Some((nonce, now));
        for (address, _) in self.some(ASKED, |_, m| m.state == State::Alive) {
            self.say(now, address, Kind::Exchange { nonce }, Vec::new());
        }
    }

    /// The whole view in as many datagrams as it takes.
    fn answer_exchange(&mut self, now: Nanos, to: SocketAddr, nonce: u64) {
        let names: Vec<Name> = self.roll.members.keys().cloned().collect();
        let mut claims: Vec<Claim> = names.iter().filter_map(|n| self.roll.claim(n, false)).collect();
        loop {
            let rest = self.fill(now, to, Kind::Page { nonce, more: true }, claims);
            if rest.is_empty() {
                break;
            }
            claims = rest;
        }
    }

    /// A part of the view, to one member by chance; the next page goes on where this one ends.
    fn page(&mut self, now: Nanos) {
        let Some((address, _)) = self.some(1, |_, _| true).pop() else { return };
        let from = self.page_from.take();
        let behind = |name: &Name| from.as_ref().is_none_or(|f| name > f);
        let names: Vec<Name> = self.roll.members.keys().filter(|n| behind(n)).take(16).cloned().collect();
        let claims: Vec<Claim> = names.iter().filter_map(|n| self.roll.claim(n, false)).collect();
        let all = claims.len();
        let rest = self.fill(now, address, Kind::Page { nonce: 0, more: false }, claims);
        let told = all - rest.len();
        self.page_from = if told == 0 || (names.len() < 16 && rest.is_empty()) {
            None
        } else {
            names.get(told - 1).cloned()
        };
    }

    /// Sends one datagram with as many of the claims as it holds, and returns the others. The last page of an answer
    /// says that no more come.
    fn fill(&mut self, now: Nanos, to: SocketAddr, kind: Kind, mut claims: Vec<Claim>) -> Vec<Claim> {
        let (mut room, mut n) = (wire::MOST - 160 - self.name.len() - self.room.len(), 0);
        for claim in &claims {
            let len = size_of(claim);
            if len > room {
                break;
            }
            (room, n) = (room - len, n + 1);
        }
        let rest = claims.split_off(n.min(60));
        let kind = match kind {
            Kind::Page { nonce, .. } if nonce > 0 => Kind::Page { nonce, more: !rest.is_empty() },
            kind => kind,
        };
        let mut mine = vec![self.own_claim(false)];
        mine.append(&mut claims);
        self.send(now, to, kind, mine);
        rest
    }

    // ---- datagrams out ----

    fn own_claim(&self, with_record: bool) -> Claim {
        Claim {
            name: self.name.to_string(),
            address: self.address,
            room: self.room.to_string(),
            life: self.life,
            said: if self.stale == Some(Stale::Leaving) { Said::Left } else { Said::Alive },
            by: String::new(),
            version: self.record.version,
            record: (with_record && self.record.version > 0).then(|| self.record.bytes.to_vec()),
        }
    }

    /// One datagram with these claims first, and with as much of the news as it holds.
    fn say(&mut self, now: Nanos, to: SocketAddr, kind: Kind, mut claims: Vec<Claim>) {
        if self.stale == Some(Stale::Leaving) {
            claims.insert(0, self.own_claim(false));
        }
        let mut room = wire::MOST - 200 - self.name.len() - self.room.len();
        room -= room.min(claims.iter().map(size_of).sum());
        let (mut told_now, mut unknown) = (Vec::new(), Vec::new());
        for news in &self.queue {
            if room < CLAIM_LEAST || claims.len() >= 60 {
                break;
            }
            let (_, of, by) = news;
            let claim = if *of == self.name {
                Some(self.own_claim(true))
            } else {
                self.roll.claim(of, true).map(|c| {
                    if by.is_empty() {
                        c
                    } else {
                        Claim { by: by.to_string(), ..c }
                    }
                })
            };
            let Some(claim) = claim else {
                unknown.push(news.clone());
                continue;
            };
            let len = size_of(&claim);
            if len <= room {
                room -= len;
                claims.push(claim);
                told_now.push(news.clone());
            }
        }
        let repeats = self.repeats();
        for news in &unknown {
            self.queue.remove(news);
        }
        for news in told_now {
            self.queue.remove(&news);
            let (told, of, by) = news;
            if told + 1 < repeats {
                self.queue.insert((told + 1, of, by));
            }
        }
        self.send(now, to, kind, claims);
    }

    fn send(&mut self, now: Nanos, to: SocketAddr, kind: Kind, claims: Vec<Claim>) {
        if self.stale == Some(Stale::Superseded) {
            return;
        }
        let from = Sender {
            name: self.name.to_string(),
            address: self.address,
            room: self.room.to_string(),
            life: self.life,
            age: now.saturating_sub(self.started) / MS,
        };
        if let Some(bytes) = wire::encode(self.fleet, &Datagram { from, kind, claims }) {
            self.figures.sent += 1;
            self.figures.bytes += bytes.len() as u64;
            self.out.push((to, bytes));
        }
    }

    // ---- datagrams in ----

    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        self.wakes(now);
        if let Err(why) = self.take_in(now, bytes) {
            let at = Refused::ALL.iter().position(|r| *r == why).unwrap_or(0);
            self.figures.refused[at] += 1;
        }
    }

    fn take_in(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), Refused> {
        let Datagram { from, kind, claims } = wire::decode(self.fleet, bytes)?;
        self.figures.heard += 1;
        if *from.name == *self.name {
            self.meet_twin(now, &from);
            return Ok(());
        }
        if self.silent() {
            return Ok(());
        }
        let known = match self.known(now, &from) {
            // An earlier process under a name is to hear that there is a later one.
            Err(why) if matches!(kind, Kind::Ping { .. }) => {
                let later = self.roll.claim(&from.name, false).filter(|c| c.life.born > from.life.born);
                if let Some(claim) = later {
                    self.send(now, from.address, Kind::Gossip, vec![claim]);
                }
                return Err(why);
            }
            known => known?,
        };
        let known = known | self.answered(now, &from, &kind);
        let (about_me, others): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|c| *c.name == *self.name);
        about_me.iter().for_each(|c| self.hear_of_oneself(now, c));
        let name: Name = from.name.as_str().into();
        match kind {
            Kind::Ping { nonce } => {
                let claims = self.held_against(&name);
                self.say(now, from.address, Kind::Ack { nonce }, claims);
            }
            Kind::Ask { nonce, name, address } if known => {
                let requester = from.address;
                self.ping(now, name.as_str().into(), address, Why::For { requester, nonce });
            }
            Kind::Heard { nonce, life } if known => self.heard_by_another(now, nonce, life),
            Kind::Nack { nonce } if known => {
                if let Some(Probe { why: Why::Own { nacks, .. }, .. }) = self.probes.get_mut(&nonce) {
                    *nacks += 1;
                    self.proven = now;
                }
            }
            Kind::Exchange { nonce } if known => self.answer_exchange(now, from.address, nonce),
            Kind::Want { names } if known => {
                for name in names.iter().take(16) {
                    let claim = if *name == *self.name {
                        Some(self.own_claim(true))
                    } else {
                        self.roll.claim(name, true)
                    };
                    if let Some(claim) = claim.filter(|c| c.record.is_some()) {
                        self.send(now, from.address, Kind::Gossip, vec![claim]);
                    }
                }
            }
            Kind::Page { nonce, more } if known => {
                let wanted: Vec<String> =
                    others.iter().filter(|c| self.wants(c)).map(|c| c.name.clone()).collect();
                if !wanted.is_empty() {
                    self.send(now, from.address, Kind::Want { names: wanted }, Vec::new());
                }
                if nonce > 0 && !more && self.exchange.is_some_and(|(asked, _)| asked == nonce) {
                    self.exchange = None;
                    if matches!(self.stale, Some(Stale::Starting | Stale::Paused | Stale::Alone)) {
                        self.set_stale(None);
                    }
                }
            }
            _ => {}
        }
        if known {
            others.iter().for_each(|c| self.hear_of(now, c, &name));
        }
        Ok(())
    }

    fn wants(&self, claim: &Claim) -> bool {
        let there = matches!(claim.said, Said::Alive | Said::Suspect);
        let have = self.roll.get(&claim.name).map_or(0, |m| {
            if m.life.born == claim.life.born {
                m.record.version
            } else {
                0
            }
        });
        there && claim.record.is_none() && claim.version > have
    }

    /// Whether what it says of others counts. A stranger, or one that is held to be faulty, has to prove first that it is
    /// there: what came may have been sent long ago.
    fn known(&mut self, now: Nanos, from: &Sender) -> Result<bool, Refused> {
        let name: Name = from.name.as_str().into();
        let late = self.terms.late / MS;
        let proof = self.terms.guards.proof;
        match self.roll.members.get_mut(&name) {
            Some(m) if from.life.born < m.life.born => return Err(Refused::Late),
            Some(m) if from.life.born == m.life.born => {
                if proof && (m.state == State::Left || from.age + late < m.newest) {
                    return Err(Refused::Late);
                }
                m.newest = m.newest.max(from.age);
                m.heard = now;
                if m.state.there() {
                    if from.life.round > m.life.round {
                        let claim = claim_of(from);
                        let turn = self.roll.merge(now, &claim, true);
                        self.turned(now, &name, turn, "", "refuted");
                    }
                    return Ok(true);
                }
            }
            _ => {}
        }
        if !proof {
            let claim = claim_of(from);
            let turn = self.roll.merge(now, &claim, true);
            self.turned(now, &name, turn, "", "heard");
            return Ok(true);
        }
        let asked = self.probes.values().any(|p| matches!(p.why, Why::Proof) && p.name == name);
        if !asked {
            self.ping(now, name, from.address, Why::Proof);
        }
        Ok(false)
    }

    /// An answer to a probe of ours proves that its sender is there. Returns whether it did.
    fn answered(&mut self, now: Nanos, from: &Sender, kind: &Kind) -> bool {
        let Kind::Ack { nonce } = kind else { return false };
        let Some(probe) =
            self.probes.get(nonce).filter(|p| p.name.is_empty() || *p.name == *from.name).cloned()
        else {
            return false;
        };
        self.probes.remove(nonce);
        self.proven = now;
        match probe.why {
            Why::Own { .. } => self.health = self.health.saturating_sub(1),
            Why::Proof => self.strangers -= 1,
            Why::For { requester, nonce } => {
                self.say(now, requester, Kind::Heard { nonce, life: from.life }, Vec::new());
            }
        }
        let claim = claim_of(from);
        let turn = self.roll.prove(now, &claim);
        let name: Name = from.name.as_str().into();
        if let Some(m) = self.roll.members.get_mut(&name).filter(|m| m.life.born == from.life.born) {
            m.newest = m.newest.max(from.age);
        }
        self.turned(now, &name, turn, "", "answers");
        // Whoever comes back knows what those on its side hold, and they what we do.
        if matches!(turn, Some(Turn::Joined | Turn::Again | Turn::Cleared)) {
            let nonce = self.exchange.map_or(self.dice.next_u64().max(1), |(nonce, _)| nonce);
            self.exchange = Some((nonce, now));
            self.say(now, from.address, Kind::Exchange { nonce }, Vec::new());
        }
        self.roll.get(&name).is_some_and(|m| m.state.there())
    }

    /// A helper says that the member answered it.
    fn heard_by_another(&mut self, now: Nanos, nonce: u64, life: Life) {
        let Some(probe) = self.probes.get(&nonce).filter(|p| matches!(p.why, Why::Own { .. })).cloned()
        else {
            return;
        };
        self.probes.remove(&nonce);
        self.proven = now;
        if let Some(claim) = self.roll.claim(&probe.name, false).filter(|c| life > c.life) {
            let claim = Claim { life, said: Said::Alive, by: String::new(), ..claim };
            let turn = self.roll.merge(now, &claim, true);
            self.turned(now, &probe.name, turn, "", "heard by another");
        }
    }

    /// What a known member says of another.
    fn hear_of(&mut self, now: Nanos, claim: &Claim, from: &Name) {
        let name: Name = claim.name.as_str().into();
        if let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Faulty) {
            let there = matches!(claim.said, Said::Alive | Said::Suspect) && claim.life.born == m.life.born;
            if there && self.doubts.len() < DOUBTS_MOST && !self.doubts.contains(&name) {
                self.doubts.push_back(name.clone());
            }
        }
        let by = if claim.by.is_empty() { from.as_ref() } else { claim.by.as_str() };
        let claim_by = Claim { by: by.to_string(), ..claim.clone() };
        let claimed = if matches!(claim.said, Said::Suspect | Said::Faulty) { &claim_by } else { claim };
        // Nobody is accused on the word of one that is accused itself.
        let turn = self.roll.merge(now, claimed, self.terms.guards.hearsay);
        self.turned(now, &name, turn, by, "told");
        let Some(m) = self.roll.members.get_mut(&name) else { return };
        let newer = claim.version > m.record.version && claim.life.born == m.life.born;
        if let Some(bytes) = claim.record.as_ref().filter(|_| newer) {
            m.record = Record { version: claim.version, bytes: bytes.as_slice().into() };
            self.changed(News::Record { name: name.clone(), version: claim.version });
            if m_there(self.roll.get(&name)) {
                self.pass_on(name, "");
            }
        }
    }

    /// What is said of this relay itself.
    fn hear_of_oneself(&mut self, now: Nanos, claim: &Claim) {
        if claim.life.born > self.life.born {
            let sender = Sender {
                name: claim.name.clone(),
                address: claim.address,
                room: claim.room.clone(),
                life: claim.life,
                age: 0,
            };
            return self.meet_twin(now, &sender);
        }
        let Some(life) = self.life.refuting(claim) else { return };
        self.life = life;
        if self.terms.guards.health {
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
        self.pass_on(self.name.clone(), "");
        self.changed(News::Refuted { by: claim.by.as_str().into() });
        // Not only when the next round comes.
        if self.terms.guards.hearsay {
            for (address, _) in self.some(self.terms.fanout, |_, _| true) {
                self.say(now, address, Kind::Gossip, Vec::new());
            }
        }
    }

    /// Something goes by this relay's name. At this relay's own address it can only be what was here before.
    fn meet_twin(&mut self, now: Nanos, other: &Sender) {
        let (mine, theirs) = (self.life.born, other.life.born);
        if other.address == self.address {
            if theirs > mine {
                self.life = Life { born: theirs + 1, round: 0 };
                self.version += 1;
                self.pass_on(self.name.clone(), "");
            }
            return;
        }
        let stands = mine > theirs || (mine == theirs && self.address > other.address);
        if stands {
            // It learns of it by our head.
            self.news.push(News::Twin { address: other.address, stands });
            self.say(now, other.address, Kind::Gossip, Vec::new());
        } else if self.stale != Some(Stale::Superseded) {
            self.news.push(News::Twin { address: other.address, stands });
            self.set_stale(Some(Stale::Superseded));
        }
    }
}

fn m_there(m: Option<&roll::Member>) -> bool {
    m.is_some_and(|m| m.state.there())
}

fn claim_of(from: &Sender) -> Claim {
    Claim {
        name: from.name.clone(),
        address: from.address,
        room: from.room.clone(),
        life: from.life,
        said: Said::Alive,
        by: String::new(),
        version: 0,
        record: None,
    }
}

/// Fewer bytes than any claim takes.
const CLAIM_LEAST: usize = 64;

/// Bytes that a claim takes at most.
fn size_of(claim: &Claim) -> usize {
    let texts = claim.name.len() + claim.room.len() + claim.by.len();
    texts + claim.record.as_ref().map_or(0, Vec::len) + 64
}
