//! Repeats over kills: a core with its journal, killed after every record that it writes, and the time in which a
//! message may be repeated, measured by whoever saw the first bytes go. Virtual time, seeded; no network.

mod fixture;

use basaltloom::attribution::Via;
use basaltloom::routing::core::{Batching, Carried, First, Letter};
use basaltloom::routing::{
    Attempt, Call, Core, Endpoint, EndpointState, EndpointUpdate, Journal, Offer, Reply, Taken,
};
use basaltloom::*;
use bytes::Bytes;
use fixture::settings;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
/// What an attempt takes at most between its first byte and its last, with the rule's own slack.
const TRANSIT: u64 = 30 * MS;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("basaltloom-windows-{}-{name}", std::process::id()));
    std::fs::remove_dir_all(&path).ok();
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// What a partner saw of a message: when its attempts began, in which zone, and whether each may have run; and whether the relay
/// has had a final answer for it, proven or not.
#[derive(Clone, Debug, Default)]
struct Seen {
    class: usize,
    begun: Vec<(u64, usize, bool)>,
    has_final_answer: bool,
}

/// The rules on repeats and on final answers, by what was seen and nothing that the relay says.
#[derive(Clone, Debug, Default)]
struct Oracle(BTreeMap<String, Seen>);

impl Oracle {
    fn begins(&mut self, now: u64, zone: usize, id: &str) -> Result<(), String> {
        let seen = self.0.get_mut(id).expect("nobody handed it in");
        if seen.has_final_answer {
            return Err(format!("{id} is called after its final answer"));
        }
        let first = seen.begun.iter().find(|b| b.2).copied();
        seen.begun.push((now, zone, true));
        let (Some((at, in_zone, _)), repeat) = (first, settings().classes[seen.class].repeat) else {
            return Ok(());
        };
        let allowed = match repeat {
            Repeat::Safe => true,
            Repeat::Unsafe => false,
            Repeat::Keyed { memory, zone_only } => {
                now + TRANSIT < at + memory && (!zone_only || zone == in_zone)
            }
        };
        let after = (now - at) / MS;
        allowed
            .then_some(())
            .ok_or_else(|| format!("{id} ({repeat:?}) again {after} ms after {at} in {zone}"))
    }

    /// An outcome proves that the last attempt never ran.
    fn never_ran(&mut self, id: &str) {
        self.0.get_mut(id).unwrap().begun.last_mut().unwrap().2 = false;
    }
}

enum Due {
    Take(usize),
    Begin(Call, usize),
    End(Call, Vec<Letter>, Reply, u64),
    Told(u64),
}

struct Life {
    core: Core,
    now: u64,
    dice: ChaCha8Rng,
    due: BTreeMap<(u64, u64), Due>,
    order: u64,
    gone: BTreeSet<(u64, u32)>,
    oracle: Oracle,
    begun: usize,
}

fn hop(name: &str, zone: usize) -> Endpoint {
    let dial = "127.0.0.1:9".parse().unwrap();
    let (name, standing) = (name.to_string(), EndpointState::Active);
    Endpoint { id: 0, name, address: dial, dest: 5, kind: 0, zone, state: standing, share: 1.0, terms: None }
}

impl Life {
    fn new(dir: &Path, now: u64, seed: u64, oracle: Oracle) -> Life {
        let classes: Vec<String> = (0..5).map(|i| format!("c{i}")).collect();
        let (journal, replayed) = Journal::open(dir, 3_000_000, classes).unwrap();
        let known = EndpointUpdate { seq: 1, whole: true, endpoints: vec![hop("a", 0), hop("b", 1)] };
        let first = First { known: &known, batching: Batching::default(), tells_delivery: false };
        let core = Core::new(settings(), seed, journal, replayed, first, now);
        let (due, gone) = (BTreeMap::new(), BTreeSet::new());
        let dice = ChaCha8Rng::seed_from_u64(seed);
        let mut life = Life { core, now, dice, due, order: 0, gone, oracle, begun: 0 };
        life.take_up();
        life
    }

    fn roll(&mut self, below: u64) -> u64 {
        self.dice.next_u64() % below
    }

    fn plan(&mut self, at: u64, due: Due) {
        self.order += 1;
        self.due.insert((at, self.order), due);
    }

    fn take_up(&mut self) {
        let work = self.core.work();
        for (call, hop) in work.calls {
            // Some connections are slow to come up.
            let slow = self.roll(3) == 0;
            let takes = if slow { self.roll(1_500) * MS } else { self.roll(2) * MS };
            self.plan(self.now + takes, Due::Begin(call, hop.zone));
        }
        self.gone.extend(work.dropped);
        for ended in work.ended {
            self.plan(self.now + 20 * MS, Due::Told(ended.no));
        }
    }

    fn report(&mut self, call: &Call, replies: Vec<(Attempt, Reply)>, took: u64) {
        let mut carried = Carried::from(replies);
        for b in &call.attempts {
            if !carried.replies.iter().any(|(of, _)| of == b) {
                carried.replies.push((*b, Reply::Ended(Outcome::NotSent)));
            }
        }
        self.core.report(self.now, call.endpoint, &carried, took);
    }

    /// The next thing that happens; none once all is over.
    fn step(&mut self) -> Result<bool, String> {
        let next = self.due.first_key_value().map_or(u64::MAX, |(at, _)| at.0);
        let tick = self.core.due();
        if next == u64::MAX && (tick == u64::MAX || self.core.open() == 0) {
            return Ok(false);
        }
        self.now = self.now.max(next.min(tick));
        if tick <= next {
            self.core.tick(self.now);
            self.take_up();
            return Ok(true);
        }
        let (_, due) = self.due.pop_first().unwrap();
        match due {
            Due::Take(i) => {
                let id = format!("m{i}");
                let class = i % 5;
                self.oracle.0.insert(id.clone(), Seen { class, ..Seen::default() });
                let key = (class == 4).then(|| "k".to_string());
                let offer = Offer {
                    id,
                    class: format!("c{class}"),
                    dest: 5,
                    key,
                    idempotency: None,
                    time_left: 20 * SEC,
                    body: Bytes::from_static(b"x"),
                    owner: String::new(),
                };
                let pending = self.core.take(self.now, offer);
                let taken = self.core.answer(self.now, &pending);
                assert!(matches!(taken, Some(Taken::On(_) | Taken::Refused { .. })), "{taken:?}");
            }
            Due::Begin(call, zone) => {
                let gone = call.attempts.iter().any(|b| self.gone.contains(&(b.transaction, b.number)));
                let letters =
                    if gone { Vec::new() } else { self.core.begin(self.now, &call, Via::default()) };
                self.begun += letters.len();
                for l in &letters {
                    self.oracle.begins(self.now, zone, &l.id)?;
                }
                if letters.is_empty() {
                    self.report(&call, Vec::new(), 0);
                } else {
                    let wait = if self.roll(3) == 0 { self.roll(3_000) * MS } else { 0 };
                    let (reply, takes) = match self.roll(23) {
                        0..=2 => (Reply::Ended(Outcome::Served), 40 * MS),
                        3..=7 => (Reply::Ended(Outcome::Broken), 30 * MS),
                        8..=10 => (Reply::Ended(Outcome::Error), 30 * MS),
                        11..=13 => (Reply::Ended(Outcome::TimedOut), call.attempts[0].timeout),
                        14..=16 => (Reply::Ended(Outcome::Full { wait }), 10 * MS),
                        17..=19 => (Reply::Ended(Outcome::NoConnection), MS),
                        20 => (Reply::Over, MS),
                        21 => (Reply::Spent, MS),
                        _ => (Reply::MustEnd(Outcome::Spoilt), MS),
                    };
                    self.plan(self.now + takes, Due::End(call, letters, reply, self.now));
                }
            }
            Due::End(call, letters, reply, from) => {
                for letter in &letters {
                    if reply.outcome().never_ran() {
                        self.oracle.never_ran(&letter.id);
                    }
                    self.oracle.0.get_mut(&letter.id).unwrap().has_final_answer |= reply.is_final();
                }
                let replies = letters.iter().map(|l| (l.attempt, reply)).collect();
                self.report(&call, replies, self.now - from);
            }
            Due::Told(no) => self.core.acknowledged(self.now, no),
        }
        self.take_up();
        Ok(true)
    }

    /// Lives on until nothing is owed any more.
    fn live_on(&mut self) -> Result<(), String> {
        let end = self.now + 30 * SEC;
        while self.step()? {
            if self.now > end {
                return Err(format!("{} messages have no end", self.core.open()));
            }
        }
        if self.core.open() > 0 {
            return Err(format!("{} messages have no end", self.core.open()));
        }
        Ok(())
    }
}

/// Where the records end that a journal holds, each with its length in front.
fn ends(bytes: &[u8]) -> Vec<usize> {
    let (mut at, mut ends) = (0, Vec::new());
    while let Some(len) = bytes.get(at..at + 4) {
        at += 8 + u32::from_le_bytes(len.try_into().unwrap()) as usize;
        ends.push(at);
    }
    ends
}

/// Lives on from what a folder holds; while `kills` are left, it is killed again after some steps. Returns the attempts
/// begun.
fn live_again(dir: &Path, now: u64, seed: u64, oracle: Oracle, kills: u64) -> Result<usize, String> {
    let mut life = Life::new(dir, now, seed, oracle);
    if kills == 0 {
        return life.live_on().map(|()| life.begun);
    }
    for _ in 0..life.roll(40) {
        if !life.step()? {
            break;
        }
    }
    let (again, oracle, begun) = (life.now + 600 * MS, life.oracle.clone(), life.begun);
    drop(life);
    live_again(dir, again, seed + 1, oracle, kills - 1).map(|more| begun + more)
}

/// Lives once, and on from every record of it, killed up to two times more; returns how many lives that were and
/// attempts they began.
fn kill_at_every_record(seed: u64) -> Result<(usize, usize), String> {
    let (dir, side) = (folder(&format!("main-{seed}")), folder(&format!("side-{seed}")));
    let file = dir.join("relay.journal");
    let mut life = Life::new(&dir, 100 * SEC, seed, Oracle::default());
    for i in 0..10 {
        let at = life.now + i as u64 * 300 * MS;
        life.plan(at, Due::Take(i));
    }
    let (mut written, mut lives, mut begun) = (0, 0, 0);
    loop {
        let before = life.oracle.clone();
        if !life.step()? {
            break;
        }
        let bytes = std::fs::read(&file).unwrap();
        let mut begins = written;
        for end in ends(&bytes).into_iter().filter(|end| *end > written) {
            // Behind the record, and somewhere within it.
            let within = begins + 1 + life.roll((end - begins) as u64 - 1) as usize;
            for killed in [within, end] {
                // The last record of a step was followed by first bytes; what stands before it was not yet.
                let mut known = life.oracle.clone();
                if killed < bytes.len() {
                    for (id, seen) in &mut known.0 {
                        seen.begun.truncate(before.0.get(id).map_or(0, |s| s.begun.len()));
                    }
                }
                std::fs::write(side.join("relay.journal"), &bytes[..killed]).unwrap();
                let again = life.now + 600 * MS;
                let told = live_again(&side, again, seed ^ (killed as u64) << 8, known, killed as u64 % 3);
                let at = life.now / MS;
                begun +=
                    told.map_err(|why| format!("seed {seed}, killed after byte {killed} at {at}: {why}"))?;
                lives += 1;
            }
            begins = end;
        }
        written = bytes.len();
    }
    for dir in [dir, side] {
        std::fs::remove_dir_all(dir).ok();
    }
    Ok((lives, begun + life.begun))
}

/// Guards the rule on repeats, over a kill after any record: no first byte goes after a message's time to be repeated,
/// nor outside its zone, however long its connection took; and whatever was taken on has its end.
#[test]
fn no_repeat_goes_outside_its_window_whenever_the_relay_is_killed() {
    let (mut lives, mut begun) = (0, 0);
    for seed in 0..60 {
        match kill_at_every_record(seed) {
            Ok((n, b)) => (lives, begun) = (lives + n, begun + b),
            Err(why) => panic!("{why}"),
        }
    }
    assert!(lives > 3_000 && begun > 10_000, "{lives} lives, {begun} attempts");
}
