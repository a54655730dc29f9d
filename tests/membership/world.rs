//! A fleet in virtual time: many memberships, a network between them that loses, delays, repeats, reorders and cuts, and
//! processes that stand still, starve, die and come back. Seeded: the same seed gives the same datagrams.

use basaltloom::membership::saved::Saved;
use basaltloom::membership::{Me, Membership, News, Stale, State, Terms, View};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};

pub const MS: u64 = 1_000_000;
pub const SEC: u64 = 1_000 * MS;
/// Unix time at which worlds begin.
const FROM: u64 = 1_000_000 * SEC;

/// Whether nothing gets from one relay to another at a time (since the start of the world).
type Cut = Box<dyn Fn(u64, usize, usize) -> bool>;

type Way = (u64, u64, usize, Vec<u8>);
/// Where to, and what.
type Sent = (usize, Vec<u8>);

pub struct Network {
    pub loss: f64,
    pub repeat: f64,
    /// Added to each datagram's way, evenly up to this.
    pub jitter: u64,
    pub cut: Cut,
}

impl Default for Network {
    fn default() -> Network {
        Network { loss: 0.0, repeat: 0.0, jitter: MS, cut: Box::new(|_, _, _| false) }
    }
}

pub struct Node {
    pub membership: Option<Membership>,
    /// Stands still until then.
    stopped: u64,
    /// Runs for the second span of each first one, beginning at the third.
    duty: Option<(u64, u64, u64)>,
    /// The same for its datagrams alone, both ways: its timers go on, what is said waits.
    clogged: Option<(u64, u64, u64)>,
    inbox: Vec<Vec<u8>>,
    /// What its folder holds.
    saved: Option<Saved>,
}

pub struct World {
    now: u64,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub terms: Terms,
    dues: BinaryHeap<Reverse<(u64, usize)>>,
    /// When each datagram arrives, in the order sent, where and what.
    ways: BinaryHeap<Reverse<Way>>,
    sent: u64,
    dice: ChaCha8Rng,
    /// What each relay said, and when.
    pub said: Vec<(u64, usize, News)>,
    /// Of all datagrams, to tell runs apart.
    pub digest: u32,
    /// Datagrams of a relay, as they were sent, where they are kept.
    pub recorded: Option<(usize, Vec<Sent>)>,
    seed: u64,
    join: Vec<usize>,
}

/// The first moment from `at` on in the running part of a period.
fn phased(duty: Option<(u64, u64, u64)>, at: u64) -> u64 {
    let Some((period, runs, offset)) = duty else { return at };
    let phase = (at + offset) % period;
    if phase < runs {
        at
    } else {
        at + period - phase
    }
}

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 1, (i / 200) as u8, (i % 200 + 1) as u8), 7_000))
}

fn index(at: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(at) = at else { return None };
    let [127, 1, high, low] = at.ip().octets() else { return None };
    Some(usize::from(high) * 200 + usize::from(low).checked_sub(1)?)
}

pub fn name(i: usize) -> String {
    format!("r{i}")
}

pub fn number(name: &str) -> usize {
    name[1..].parse().unwrap()
}

impl World {
    /// A fleet of so many relays, all started within half a second and joined by the first three.
    pub fn new(n: usize, seed: u64, terms: Terms) -> World {
        let nodes = (0..n).map(|_| Node {
            membership: None,
            stopped: 0,
            duty: None,
            clogged: None,
            inbox: Vec::new(),
            saved: None,
        });
        let mut world = World {
            now: FROM,
            nodes: nodes.collect(),
            network: Network::default(),
            terms,
            dues: BinaryHeap::new(),
            ways: BinaryHeap::new(),
            sent: 0,
            dice: ChaCha8Rng::seed_from_u64(seed),
            said: Vec::new(),
            digest: 0,
            recorded: None,
            seed,
            join: vec![0, 1, 2],
        };
        for i in 0..n {
            world.start(i, false);
        }
        world
    }

    /// One that has lived long enough for all to know all.
    pub fn settled(n: usize, seed: u64, terms: Terms) -> World {
        let mut world = World::new(n, seed, terms);
        world.run(if n > 100 { 12 * SEC } else { 6 * SEC });
        let all: BTreeSet<usize> = (0..n).collect();
        assert!(world.agree(&all), "the fleet did not come together: {:?}", world.parts());
        world.said.clear();
        world
    }

    /// Time since the start.
    pub fn time(&self) -> u64 {
        self.now - FROM
    }

    fn roll(&mut self) -> f64 {
        f64::from(self.dice.next_u32()) / f64::from(u32::MAX)
    }

    pub fn below(&mut self, n: usize) -> usize {
        (self.dice.next_u64() % n as u64) as usize
    }

    /// Starts a relay, with what its folder holds or without.
    pub fn start(&mut self, i: usize, with_folder: bool) {
        let saved = self.nodes[i].saved.take().filter(|_| with_folder);
        let born = saved.as_ref().map_or(self.now, |s| s.born(self.now));
        let mut contacts: Vec<SocketAddr> = self.join.iter().map(|j| address(*j)).collect();
        contacts.extend(saved.iter().flat_map(Saved::contacts));
        let me = Me {
            fleet: "f".to_string(),
            name: name(i),
            address: address(i),
            room: format!("room{}", i % 3),
            born: born + i as u64,
        };
        let seed = self.seed ^ self.dice.next_u64();
        let node = &mut self.nodes[i];
        node.membership = Some(Membership::new(self.now, seed, me, self.terms.clone(), contacts));
        (node.stopped, node.duty, node.clogged) = (0, None, None);
        node.inbox.clear();
        self.touch(i);
    }

    /// A relay of another's name at an address of its own.
    pub fn start_twin(&mut self, i: usize, of: usize) {
        self.start(i, false);
        let me = Me {
            fleet: "f".to_string(),
            name: name(of),
            address: address(i),
            room: String::new(),
            born: self.now,
        };
        let contacts = self.join.iter().map(|j| address(*j)).collect();
        self.nodes[i].membership =
            Some(Membership::new(self.now, self.seed + 99, me, self.terms.clone(), contacts));
        self.touch(i);
    }

    pub fn kill(&mut self, i: usize) {
        let at = self.now;
        let saved = self.nodes[i].membership.as_mut().map(|m| {
            let view = m.view();
            Saved::of("f", at, &view, m.contacts())
        });
        self.nodes[i].saved = saved.or(self.nodes[i].saved.take());
        self.nodes[i].membership = None;
    }

    /// Says goodbye, and is gone a second later.
    pub fn end(&mut self, i: usize) {
        let now = self.now;
        if let Some(m) = &mut self.nodes[i].membership {
            m.leave(now);
        }
        self.touch(i);
    }

    pub fn stop(&mut self, i: usize, span: u64) {
        self.nodes[i].stopped = self.now + span;
        self.dues.push(Reverse((self.now + span, i)));
    }

    /// Runs only so much of each period from now on; the whole of it: starves no more.
    pub fn starve(&mut self, i: usize, period: u64, runs: u64) {
        let offset = self.dice.next_u64() % period;
        self.nodes[i].duty = (runs < period).then_some((period, runs, offset));
        self.dues.push(Reverse((self.now, i)));
    }

    /// The same, for what it sends and what is sent to it.
    pub fn clog(&mut self, i: usize, period: u64, runs: u64) {
        let offset = self.dice.next_u64() % period;
        self.nodes[i].clogged = (runs < period).then_some((period, runs, offset));
    }

    /// When what is said by or to it gets through.
    fn open_at(&self, i: usize, at: u64) -> u64 {
        phased(self.nodes[i].clogged, at)
    }

    /// When it can act next; now, if it can.
    fn awake_at(&self, i: usize) -> u64 {
        let node = &self.nodes[i];
        if node.stopped > self.now {
            return node.stopped;
        }
        phased(node.duty, self.now)
    }

    /// Takes in what a relay wants done.
    fn touch(&mut self, i: usize) {
        let Some(m) = &mut self.nodes[i].membership else { return };
        let (out, news, due) = (m.take_out(), m.take_news(), m.due());
        let time = self.now - FROM;
        self.said.extend(news.into_iter().map(|n| (time, i, n)));
        if due < u64::MAX {
            self.dues.push(Reverse((due.max(self.now + 1), i)));
        }
        for (to, bytes) in out {
            if let Some(to) = index(to).filter(|to| *to < self.nodes.len()) {
                self.carry(i, to, bytes);
            }
        }
    }

    pub fn carry(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let mut sum = crc32fast::Hasher::new_with_initial(self.digest);
        sum.update(&bytes);
        self.digest = sum.finalize();
        if let Some((_, kept)) = self.recorded.as_mut().filter(|(of, _)| *of == from) {
            kept.push((to, bytes.clone()));
        }
        if self.roll() < self.network.loss || (self.network.cut)(self.now - FROM, from, to) {
            return;
        }
        let copies = 1 + usize::from(self.roll() < self.network.repeat);
        for _ in 0..copies {
            let takes = MS / 2 + (self.roll() * self.network.jitter as f64) as u64;
            self.sent += 1;
            let at = self.open_at(to, self.open_at(from, self.now) + takes);
            self.ways.push(Reverse((at, self.sent, to, bytes.clone())));
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        loop {
            let due = self.dues.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
            let way = self.ways.peek().map_or(u64::MAX, |Reverse((at, ..))| *at);
            if due.min(way) > end {
                self.now = end;
                return;
            }
            self.now = self.now.max(due.min(way));
            if way <= due {
                let Some(Reverse((_, _, to, bytes))) = self.ways.pop() else { continue };
                let awake = self.awake_at(to);
                if awake > self.now {
                    // The system keeps some for it.
                    if self.nodes[to].inbox.len() < 400 {
                        self.nodes[to].inbox.push(bytes);
                    }
                    self.dues.push(Reverse((awake, to)));
                    continue;
                }
                self.hear(to, &bytes);
                continue;
            }
            let Some(Reverse((_, i))) = self.dues.pop() else { continue };
            let awake = self.awake_at(i);
            if awake > self.now {
                self.dues.push(Reverse((awake, i)));
                continue;
            }
            // After a pause the timer and what waits at the socket are ready at one moment: either may come first.
            let waits = !self.nodes[i].inbox.is_empty();
            let timer_first = waits && self.roll() < 0.5;
            if timer_first {
                self.tick(i);
            }
            for bytes in std::mem::take(&mut self.nodes[i].inbox) {
                self.hear(i, &bytes);
            }
            self.tick(i);
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.now;
        if let Some(m) = self.nodes[i].membership.as_mut().filter(|m| m.due() <= now) {
            m.tick(now);
            self.touch(i);
        }
    }

    pub fn hear(&mut self, i: usize, bytes: &[u8]) {
        let now = self.now;
        if let Some(m) = &mut self.nodes[i].membership {
            m.hear(now, bytes);
            self.touch(i);
        }
    }

    pub fn view(&mut self, i: usize) -> Option<std::rc::Rc<View>> {
        self.nodes[i].membership.as_mut().map(Membership::view)
    }

    /// Those that a relay holds to be there, itself included.
    pub fn there(&mut self, i: usize) -> BTreeSet<usize> {
        let Some(view) = self.view(i) else { return BTreeSet::new() };
        let others = view.others.iter().filter(|m| m.state.there()).map(|m| number(&m.name));
        others.chain([i]).collect()
    }

    /// Whether all of these hold just these to be there, and act on it.
    pub fn agree(&mut self, all: &BTreeSet<usize>) -> bool {
        all.iter().all(|i| self.there(*i) == *all && self.stale(*i).is_none())
    }

    pub fn stale(&mut self, i: usize) -> Option<Stale> {
        self.view(i).and_then(|v| v.stale)
    }

    pub fn parts(&mut self) -> Vec<(usize, usize, Option<Stale>)> {
        (0..self.nodes.len()).map(|i| (i, self.there(i).len(), self.stale(i))).collect()
    }

    /// Runs until these agree, and says how long that took; none if it takes longer than this.
    pub fn until_agreed(&mut self, all: &BTreeSet<usize>, most: u64) -> Option<u64> {
        let from = self.now;
        while self.now - from <= most {
            if self.agree(all) {
                return Some(self.now - from);
            }
            self.run(50 * MS);
        }
        None
    }

    /// How long after `from` each relay of these held `of` to be faulty, the first time.
    pub fn told_faulty(&self, of: usize, from: u64, by: &BTreeSet<usize>) -> Vec<u64> {
        let mut first: BTreeMap<usize, u64> = BTreeMap::new();
        for (at, i, news) in &self.said {
            if let News::Faulty { name, .. } = news {
                if number(name) == of && *at >= from && by.contains(i) {
                    first.entry(*i).or_insert(at - from);
                }
            }
        }
        let mut all: Vec<u64> = first.into_values().collect();
        all.sort_unstable();
        all
    }

    /// Relay-seconds in which a relay of `by` held one of `of` to be faulty, and how often that began.
    pub fn wrongly_faulty(&self, by: &BTreeSet<usize>, of: &BTreeSet<usize>) -> (f64, usize) {
        let mut since: BTreeMap<(usize, usize), u64> = BTreeMap::new();
        let (mut sum, mut times) = (0, 0);
        for (at, i, news) in self.said.iter().filter(|(_, i, _)| by.contains(i)) {
            match news {
                News::Faulty { name, .. } if of.contains(&number(name)) => {
                    times += usize::from(since.insert((*i, number(name)), *at).is_none());
                }
                News::Alive { name, .. } => {
                    sum += since.remove(&(*i, number(name))).map_or(0, |from| at - from);
                }
                _ => {}
            }
        }
        sum += since.values().map(|from| self.time() - from).sum::<u64>();
        (sum as f64 / 1e9, times)
    }

    /// How often anybody held anybody to be faulty.
    pub fn faults(&self) -> usize {
        self.said.iter().filter(|(_, _, n)| matches!(n, News::Faulty { .. })).count()
    }

    /// States in which a relay holds another.
    pub fn state(&mut self, by: usize, of: usize) -> Option<State> {
        let view = self.view(by)?;
        view.others.iter().find(|m| number(&m.name) == of).map(|m| m.state)
    }
}
