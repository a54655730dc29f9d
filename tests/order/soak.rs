//! Upgrades, kills, take-backs and restarts in series over calls that are refused, cut, slow or never answered, with clients that
//! use their connections as long as those are open: no message of a key goes out of its turn.

use crate::endpoint::Act;
use crate::platform::{Process, KILLED_AFTER};
use crate::rig::{Message, Rig, PLAYED, QUICK};
use crate::stand_ins::{chance::Chance, play_seeds, status};
use crate::world::World;
use rustix::process::Signal;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_secs(10);
/// Runs at the same time.
const SIDE_BY_SIDE: usize = 3;
/// A process that was killed is started again after this time.
const DOWN: Duration = Duration::from_millis(600);
/// A client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// Keys of a client, whose messages it hands in one after another.
const KEYS_EACH: u64 = 3;
const CLIENTS: u64 = 6;
/// Connections of a crowd that say nothing.
const CROWD: usize = 120;
/// The longest life of a message, and the time behind it in which its end has to be told.
const SETTLED_WITHIN: Duration = Duration::from_secs(10);

/// What an endpoint does with one call.
fn act(chance: &mut Chance) -> Act {
    let pause = |most| Duration::from_millis(20 + most);
    match chance.below(20) {
        0..=8 => Act::Accept(pause(chance.below(120))),
        9..=11 => Act::Accept(pause(chance.below(3_000))),
        12 => Act::Refuse(pause(chance.below(600))),
        13 => Act::Busy,
        14 => Act::Cut(pause(chance.below(1_500)), "HTTP/1.1 2"),
        15 => Act::Cut(pause(chance.below(1_500)), "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nx"),
        16 => Act::Cut(pause(chance.below(1_500)), ""),
        _ => Act::Silent,
    }
}

/// A client that hands messages in, on a connection that it keeps as long as it is open.
fn client(seed: u64, number: u64, address: SocketAddr, world: Arc<World>) -> JoinHandle<()> {
    let mut chance = Chance::new(seed ^ (number + 1) << 32);
    spawn(move || {
        let (from, mut stream) = (Instant::now(), None);
        for n in 0.. {
            if from.elapsed() > LASTS {
                return;
            }
            let class = ["update", "update", "update", "status", "notice"][chance.below(5) as usize];
            let key = match class {
                "update" => format!("@k{number}-{}", chance.below(KEYS_EACH)),
                _ => String::new(),
            };
            let (id, dest) = (format!("{class}{number}-{n}{key}"), [PLAYED, QUICK][chance.below(2) as usize]);
            let message = Message { class, id: &id, dest, millis: 900 + chance.below(6_000) };
            hand_in(&mut stream, address, &message, &world);
            sleep(Duration::from_millis(10 + chance.below(120)));
        }
    })
}

/// Hands a message in, once more where the connection ends before its answer.
fn hand_in(kept: &mut Option<TcpStream>, address: SocketAddr, message: &Message<'_>, world: &World) {
    world.handed(message.id);
    let from = Instant::now();
    while from.elapsed() < PATIENCE {
        let Some(mut stream) = kept.take().or_else(|| open(address)) else { break };
        let answer = stream.write_all(message.text().as_bytes()).ok().and_then(|()| status(&mut stream));
        match answer {
            Some(202) => return drop(kept.replace(stream)),
            Some(_) => {
                kept.replace(stream);
                break;
            }
            None => {}
        }
    }
    world.void(message.id);
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

/// A process that was told to end, and when it is killed.
struct Ending(Process, Instant);

/// The processes of a relay in the hands of its platform.
struct Fleet<'a> {
    rig: &'a Rig,
    serving: Process,
    ending: Vec<Ending>,
}

impl Fleet<'_> {
    /// Kills those that have had their time.
    fn reap(&mut self) {
        self.ending.retain_mut(|Ending(process, kill_at)| {
            let is_due = *kill_at <= Instant::now();
            if is_due {
                process.kill();
            }
            !is_due
        });
    }

    fn wait(&mut self, millis: u64) {
        let until = Instant::now() + Duration::from_millis(millis);
        while Instant::now() < until {
            self.reap();
            sleep(Duration::from_millis(10));
        }
    }

    fn upgrade(&mut self) {
        let next = self.rig.platform.start_ready();
        let old = std::mem::replace(&mut self.serving, next);
        old.signal(Signal::TERM);
        self.ending.push(Ending(old, Instant::now() + KILLED_AFTER));
    }

    /// The next process is killed so long after its start; if that was too early to say yes, the one before serves on.
    fn kill_next(&mut self, millis: u64) {
        let mut next = self.rig.platform.start();
        sleep(Duration::from_millis(millis));
        next.kill();
    }

    fn kill_old(&mut self, millis: u64) {
        let next = self.rig.platform.start();
        sleep(Duration::from_millis(millis));
        std::mem::replace(&mut self.serving, next).kill();
        assert!(self.serving.ready().is_some(), "{:?}", self.serving.log.tell(|log| log.clone()));
    }

    fn restart(&mut self, is_told: bool) {
        if is_told {
            self.serving.signal(Signal::TERM);
            self.wait(KILLED_AFTER.as_millis() as u64);
        }
        self.serving.kill();
        self.ending.iter_mut().for_each(|Ending(process, _)| process.kill());
        self.ending.clear();
        sleep(DOWN);
        self.serving = self.rig.platform.start_ready();
    }

    /// The endpoint drains while calls to it are out, and is active again.
    fn drain(&mut self, millis: u64) {
        self.rig.list_played("leaving");
        self.wait(millis);
        self.rig.list_played("active");
    }

    fn reload(&mut self, key_rest_millis: u64) {
        self.rig.rest_keys_for(key_rest_millis);
        self.serving.signal(Signal::HUP);
    }

    fn step(&mut self, chance: &mut Chance) {
        match chance.below(10) {
            0..=2 => self.upgrade(),
            3 => {
                self.upgrade();
                self.wait(chance.below(300));
                self.upgrade();
            }
            4 => self.kill_next(chance.below(120)),
            5 => self.kill_old(chance.below(120)),
            6 => self.restart(false),
            7 => self.drain(500 + chance.below(1_000)),
            8 => self.reload(100 + 100 * chance.below(3)),
            _ => self.restart(true),
        }
    }
}

/// One run; what broke, with the lines of all logs about it.
fn run(seed: u64) -> Vec<String> {
    let acts = Arc::new(Mutex::new(Chance::new(seed)));
    let others = acts.clone();
    let rig = Rig::new(
        move |_| act(&mut acts.lock().unwrap()),
        move |_| match others.lock().unwrap().below(4) {
            0 => Act::Accept(Duration::from_millis(400)),
            _ => Act::Accept(Duration::from_millis(20)),
        },
    );
    let mut chance = Chance::new(!seed);
    let address = rig.platform.address;
    let mut fleet = Fleet { rig: &rig, serving: rig.platform.start_ready(), ending: Vec::new() };
    let clients: Vec<_> = (0..CLIENTS).map(|n| client(seed, n, address, rig.world.clone())).collect();
    let crowd = if chance.below(3) == 0 { CROWD } else { 0 };
    let _crowd: Vec<_> = (0..crowd).filter_map(|_| open(address)).collect();
    let from = Instant::now();
    while from.elapsed() < LASTS {
        fleet.wait(300 + chance.below(1_500));
        fleet.step(&mut chance);
    }
    clients.into_iter().for_each(|client| client.join().unwrap());
    let mut broken = rig.world.violations();
    broken.extend(rig.unsettled_after(SETTLED_WITHIN).into_iter().map(|id| format!("{id} was lost")));
    broken.extend(rig.world.violations());
    broken.sort();
    broken.dedup();
    broken
}

/// Guards the order of keys over whatever ends calls and processes. `BASALTLOOM_SOAK_SEEDS=FROM..TO` plays others than CI's.
#[test]
fn keys_keep_their_order_over_signals_in_series() {
    let broken = play_seeds(0..6, SIDE_BY_SIDE, run);
    assert!(broken.is_empty(), "{broken:#?}");
}
