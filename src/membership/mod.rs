//! Membership: who of the fleet is there. Without I/O and clock: datagrams and times go in, datagrams and news come out,
//! chances are drawn from a seed.
//!
//! SWIM's probes and suspicion, with what Lifeguard adds (one's own health, accusers that add up, a suspect is told at
//! once), and with proof: only who answers a probe of ours is taken for alive again. `docs/design/membership.md` weighs
//! it.

mod exchange;
mod hearing;
mod news;
mod out;
mod probes;
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
    /// A round of probes; so many helpers were asked, none yet where 0.
    Own { asked: usize },
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
}
