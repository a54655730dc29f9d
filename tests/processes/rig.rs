//! Several processes of the program on 127.0.0.0/8 and a switch between them. Each relay listens on an address of its
//! own and is reached by the others at a socket of the switch, so that each directed pair can lose, delay, repeat,
//! reorder or cut what it says, by a seed. Processes are stopped, starved, killed and started again; only those that the
//! rig started are, by the handles that it holds. What relays say in their logs is kept by one clock.

use crate::page_form::completed;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PORT: u16 = 7_000;

/// The program: a release build where one is named, as CI does, else the one built with the tests.
pub fn program() -> PathBuf {
    let named = std::env::var_os("BASALTLOOM_PROGRAM").map(PathBuf::from);
    named.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_basaltloom")))
}

/// Whether nothing gets from one relay to another at a time since the start.
pub type Cut = Box<dyn Fn(Duration, usize, usize) -> bool + Send + Sync>;

/// What the switch does to datagrams.
pub struct Faults {
    pub loss: f64,
    pub repeat: f64,
    /// Added to each way, evenly up to this: what is sent later may come sooner.
    pub jitter: Duration,
    pub cut: Cut,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults { loss: 0.0, repeat: 0.0, jitter: Duration::ZERO, cut: Box::new(|_, _, _| false) }
    }
}

/// A datagram between two relays.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Way {
    pub from: usize,
    pub to: usize,
    pub bytes: Vec<u8>,
}

pub struct Switch {
    started: Instant,
    block: (u8, u8),
    sockets: Vec<UdpSocket>,
    pub faults: RwLock<Faults>,
    dice: Mutex<ChaCha8Rng>,
    late: Mutex<BinaryHeap<Reverse<(Instant, Way)>>>,
    sooner: Condvar,
    /// What passes, where it is kept.
    pub recorded: Mutex<Option<Vec<Way>>>,
    ends: AtomicBool,
}

impl Switch {
    fn relay(&self, i: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.block.0, self.block.1, i as u8 + 1), PORT))
    }

    fn reach(&self, i: usize) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.block.0, self.block.1 + 1, i as u8 + 1), PORT))
    }

    fn roll(&self) -> f64 {
        f64::from(self.dice.lock().unwrap().next_u32()) / f64::from(u32::MAX)
    }

    /// Takes in what is sent to the place at which a relay is reached.
    fn listen(self: Arc<Switch>, to: usize) {
        let mut buffer = [0; 2_048];
        while !self.ends.load(Ordering::Relaxed) {
            let Ok((len, from)) = self.sockets[to].recv_from(&mut buffer) else { continue };
            let SocketAddr::V4(at) = from else { continue };
            let from = usize::from(at.ip().octets()[3]).wrapping_sub(1);
            if from >= self.sockets.len() {
                continue;
            }
            let way = Way { from, to, bytes: buffer[..len].to_vec() };
            if let Some(kept) = self.recorded.lock().unwrap().as_mut() {
                kept.push(way.clone());
            }
            let faults = self.faults.read().unwrap();
            if self.roll() < faults.loss || (faults.cut)(self.started.elapsed(), from, to) {
                continue;
            }
            let copies = 1 + usize::from(self.roll() < faults.repeat);
            for _ in 0..copies {
                let takes = faults.jitter.mul_f64(self.roll());
                if takes.is_zero() {
                    self.deliver(&way);
                } else {
                    self.late.lock().unwrap().push(Reverse((Instant::now() + takes, way.clone())));
                    self.sooner.notify_one();
                }
            }
        }
    }

    /// Sends what was held back, when it is due.
    fn keep_late(self: Arc<Switch>) {
        let mut late = self.late.lock().unwrap();
        while !self.ends.load(Ordering::Relaxed) {
            let now = Instant::now();
            while late.peek().is_some_and(|Reverse((at, _))| *at <= now) {
                if let Some(Reverse((_, way))) = late.pop() {
                    self.deliver(&way);
                }
            }
            let next = late.peek().map_or(Duration::from_millis(50), |Reverse((at, _))| *at - now);
            late = self.sooner.wait_timeout(late, next.min(Duration::from_millis(50))).unwrap().0;
        }
    }

    /// To the relay itself, from the place at which its sender is reached.
    pub fn deliver(&self, way: &Way) {
        self.sockets[way.from].send_to(&way.bytes, self.relay(way.to)).ok();
    }
}

/// A line of a relay's log.
#[derive(Clone, Debug)]
pub struct Said {
    pub at: Duration,
    pub relay: usize,
    /// Which of its lives said it.
    pub life: usize,
    pub event: String,
    pub member: Option<usize>,
    pub fields: Value,
}

struct Relay {
    child: Option<Child>,
    life: usize,
    starved: Option<Arc<AtomicBool>>,
}

pub struct Rig {
    pub started: Instant,
    dir: PathBuf,
    relays: Vec<Relay>,
    pub switch: Arc<Switch>,
    said: Arc<Mutex<Vec<Said>>>,
    pub join: Vec<usize>,
    /// What the section `fleet` says beside the addresses.
    pub spans: &'static str,
    /// What the configuration says beside its name, its address and its seed; and what next hops relay `i` knows.
    pub settings: &'static str,
    pub known: Option<Box<dyn Fn(usize) -> String>>,
    /// No section `fleet` at all.
    pub alone: bool,
}

static BLOCKS: AtomicU8 = AtomicU8::new(0);

const SETTINGS: &str = r#""settings":{"fleet_size":8,"domain":{"calls_out":2},"limits":{"max_open":4,"most_tries":2,"peers":true},
"rules":{"cold_share":0.2,"fall":1500000000,"overload_factor":2.0,"warm_up":9000000000},
"services":[{"name":"notice","aim":1000000000,"deadline":5000000000,"importance":1,"late_worth":0.5,"repeat":"pure"}]}"#;

impl Rig {
    /// A switch for so many relays; none runs yet.
    pub fn new(n: usize, seed: u64) -> Rig {
        let block = (64 + (std::process::id() % 128) as u8, 2 * BLOCKS.fetch_add(1, Ordering::Relaxed));
        let at = |i: usize| (Ipv4Addr::new(127, block.0, block.1 + 1, i as u8 + 1), PORT);
        let open = |i| {
            let socket = UdpSocket::bind(at(i)).unwrap();
            socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
            socket
        };
        let started = Instant::now();
        let switch = Arc::new(Switch {
            started,
            block,
            sockets: (0..n).map(open).collect(),
            faults: RwLock::default(),
            dice: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            late: Mutex::default(),
            sooner: Condvar::new(),
            recorded: Mutex::default(),
            ends: AtomicBool::new(false),
        });
        for i in 0..n {
            let switch = switch.clone();
            thread::spawn(move || switch.listen(i));
        }
        let late = switch.clone();
        thread::spawn(move || late.keep_late());
        let dir = std::env::temp_dir().join(format!("basaltloom-rig-{}-{}", std::process::id(), block.1));
        std::fs::remove_dir_all(&dir).ok();
        let relays = (0..n).map(|_| Relay { child: None, life: 0, starved: None }).collect();
        let (said, join, spans) = (Arc::default(), vec![0, 1, 2], "");
        let (settings, known, alone) = (SETTINGS, None, false);
        Rig { started, dir, relays, switch, said, join, spans, settings, known, alone }
    }

    /// All of them running, each knowing all.
    pub fn settled(n: usize, seed: u64) -> Rig {
        let mut rig = Rig::new(n, seed);
        (0..n).for_each(|i| rig.start(i));
        let all: BTreeSet<usize> = (0..n).collect();
        let took = rig.until_agreed(&all, Duration::from_secs(20));
        assert!(took.is_some(), "the fleet did not come together: {:?}", rig.parts());
        rig
    }

    /// Where a relay serves callers.
    pub fn serves(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.switch.relay(i).ip(), PORT + 1)
    }

    /// An address of a stand-in, one for each relay.
    pub fn stand_in(&self, i: usize) -> SocketAddr {
        let (a, b) = self.switch.block;
        SocketAddr::from((Ipv4Addr::new(127, a, b, 100 + i as u8), PORT + 2))
    }

    pub fn folder(&self, i: usize) -> PathBuf {
        self.dir.join(format!("r{i}"))
    }

    pub fn start(&mut self, i: usize) {
        self.start_as(i, i);
    }

    /// Starts a relay under the name of another.
    pub fn start_as(&mut self, i: usize, of: usize) {
        assert!(self.relays[i].child.is_none(), "r{i} runs already");
        let dir = self.folder(i);
        std::fs::create_dir_all(&dir).unwrap();
        let seed = self.switch.dice.lock().unwrap().next_u64();
        let (settings, serves) = (self.settings, self.serves(i));
        let known = self.known.as_ref().map_or(String::new(), |known| format!(r#""known":{},"#, known(i)));
        let config = completed(&format!(
            r#"{{"name":"r{of}","listen":"{serves}","seed":"{seed:x}",{known}"limits":{{"sockets":256,"disk_mb":3}},{settings}}}"#
        ));
        let (listen, reach) = (self.switch.relay(i), self.switch.reach(i));
        let join: Vec<String> = self.join.iter().map(|j| self.switch.reach(*j).to_string()).collect();
        let (join, room, spans) = (join.join(" "), i % 3, self.spans);
        let fleet = format!(
            "fleet {{\n name t\n listen {listen}\n reach {reach}\n room {room}\n join {join}\n {spans}\n}}\n"
        );
        let fleet = if self.alone { "" } else { &fleet };
        let operator = format!("log {{\n format json\n target fleet debug\n}}\n{fleet}");
        std::fs::write(dir.join("c.json"), config).unwrap();
        std::fs::write(dir.join("relay.conf"), operator).unwrap();
        let mut command = Command::new(program());
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_STATE", "LB_CONFIG"] {
            command.env_remove(name);
        }
        command.arg("serve").arg("--config").arg(dir.join("c.json"));
        command.arg("--operator").arg(dir.join("relay.conf")).env("LB_STATE", &dir);
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stderr.take().unwrap());
        let relay = &mut self.relays[i];
        relay.life += 1;
        relay.child = Some(child);
        let (said, started, life) = (self.said.clone(), self.started, relay.life);
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                let at = started.elapsed();
                let Ok(fields) = serde_json::from_str::<Value>(&line) else {
                    eprintln!("r{i}: {line}");
                    continue;
                };
                let text = |name: &str| fields.get(name).and_then(Value::as_str);
                let event = text("event").unwrap_or("").to_string();
                let member = text("member").and_then(|m| m.strip_prefix('r')?.parse().ok());
                said.lock().unwrap().push(Said { at, relay: i, life, event, member, fields });
            }
        });
    }

    fn signal(&self, i: usize, signal: Signal) {
        let child = self.relays[i].child.as_ref().unwrap_or_else(|| panic!("r{i} does not run"));
        kill_process(Pid::from_child(child), signal).unwrap();
    }

    pub fn kill(&mut self, i: usize) {
        let mut child = self.relays[i].child.take().unwrap_or_else(|| panic!("r{i} does not run"));
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Tells it to end, and waits until it has.
    pub fn end(&mut self, i: usize) {
        self.signal(i, Signal::TERM);
        let mut child = self.relays[i].child.take().unwrap();
        assert!(child.wait().unwrap().success());
    }

    pub fn forget_folder(&self, i: usize) {
        std::fs::remove_dir_all(self.folder(i)).ok();
    }

    pub fn stop(&self, i: usize) {
        self.signal(i, Signal::STOP);
    }

    pub fn go_on(&self, i: usize) {
        self.signal(i, Signal::CONT);
    }

    /// Lets it run only for a part of each period, until `feed`.
    pub fn starve(&mut self, i: usize, period: Duration, runs: Duration) {
        let pid = Pid::from_child(self.relays[i].child.as_ref().unwrap());
        let on = Arc::new(AtomicBool::new(true));
        self.relays[i].starved = Some(on.clone());
        thread::spawn(move || {
            while on.load(Ordering::Relaxed) {
                kill_process(pid, Signal::STOP).ok();
                thread::sleep(period - runs);
                kill_process(pid, Signal::CONT).ok();
                thread::sleep(runs);
            }
        });
    }

    /// It starves no more, and the thread that starved it has done its last.
    pub fn feed(&mut self, i: usize) {
        if let Some(on) = self.relays[i].starved.take() {
            on.store(false, Ordering::Relaxed);
            while Arc::strong_count(&on) > 1 {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    pub fn faults(&self, faults: Faults) {
        *self.switch.faults.write().unwrap() = faults;
    }

    pub fn runs(&self, i: usize) -> bool {
        self.relays[i].child.is_some()
    }

    pub fn time(&self) -> Duration {
        self.started.elapsed()
    }

    /// All that was said since then.
    pub fn said(&self, since: Duration) -> Vec<Said> {
        self.said.lock().unwrap().iter().filter(|s| s.at >= since).cloned().collect()
    }

    /// Whom each relay holds to be there, by what its present life has said, itself included; and whether it acts on
    /// that.
    pub fn views(&self) -> Vec<(BTreeSet<usize>, Option<String>)> {
        let mut views: Vec<(BTreeSet<usize>, Option<String>)> =
            (0..self.relays.len()).map(|i| (BTreeSet::from([i]), None)).collect();
        for s in self.said.lock().unwrap().iter().filter(|s| s.life == self.relays[s.relay].life) {
            let (there, stale) = &mut views[s.relay];
            match (s.event.as_str(), s.member) {
                ("member-alive" | "member-suspect", Some(m)) => drop(there.insert(m)),
                ("member-faulty" | "member-left" | "member-forgotten", Some(m)) => drop(there.remove(&m)),
                // Not `view`: of several in a second only the first is told.
                ("view-stale", _) => *stale = s.fields.get("why").and_then(Value::as_str).map(str::to_string),
                ("view-fresh", _) => *stale = None,
                _ => {}
            }
        }
        views
    }

    pub fn parts(&self) -> Vec<(usize, usize, Option<String>)> {
        self.views().into_iter().enumerate().map(|(i, (there, stale))| (i, there.len(), stale)).collect()
    }

    pub fn agree(&self, all: &BTreeSet<usize>) -> bool {
        let views = self.views();
        all.iter().all(|i| views[*i].0 == *all)
    }

    /// Waits until these agree, and says how long that took.
    pub fn until_agreed(&self, all: &BTreeSet<usize>, most: Duration) -> Option<Duration> {
        self.until(most, |rig| rig.agree(all))
    }

    pub fn until(&self, most: Duration, is: impl Fn(&Rig) -> bool) -> Option<Duration> {
        let from = Instant::now();
        loop {
            if is(self) {
                return Some(from.elapsed());
            }
            if from.elapsed() > most {
                return None;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// How long after `since` each relay of these held `of` to be faulty, the first time, in order.
    pub fn told_faulty(&self, of: usize, since: Duration, by: &BTreeSet<usize>) -> Vec<Duration> {
        let mut first: BTreeMap<usize, Duration> = BTreeMap::new();
        for s in self.said(since) {
            if s.event == "member-faulty" && s.member == Some(of) && by.contains(&s.relay) {
                first.entry(s.relay).or_insert(s.at - since);
            }
        }
        let mut all: Vec<Duration> = first.into_values().collect();
        all.sort_unstable();
        all
    }

    /// Faults told since then by one of `by` about one of `of`.
    pub fn faults_told(
        &self,
        since: Duration,
        by: &BTreeSet<usize>,
        of: &BTreeSet<usize>,
    ) -> Vec<(usize, usize, Duration)> {
        let about = |s: &Said| {
            s.event == "member-faulty" && by.contains(&s.relay) && s.member.is_some_and(|m| of.contains(&m))
        };
        self.said(since)
            .iter()
            .filter(|s| about(s))
            .map(|s| (s.relay, s.member.unwrap_or(0), s.at - since))
            .collect()
    }

    /// Relay-seconds since then in which one of `by` held one of `of` to be faulty.
    pub fn wrongly_faulty(&self, since: Duration, by: &BTreeSet<usize>, of: &BTreeSet<usize>) -> f64 {
        let mut from: BTreeMap<(usize, usize), Duration> = BTreeMap::new();
        let mut sum = Duration::ZERO;
        for s in self.said(since).iter().filter(|s| by.contains(&s.relay)) {
            let Some(m) = s.member.filter(|m| of.contains(m)) else { continue };
            match s.event.as_str() {
                "member-faulty" => drop(from.entry((s.relay, m)).or_insert(s.at)),
                "member-alive" => sum += from.remove(&(s.relay, m)).map_or(Duration::ZERO, |at| s.at - at),
                _ => {}
            }
        }
        let now = self.time();
        sum += from.values().map(|at| now - *at).sum::<Duration>();
        sum.as_secs_f64()
    }

    /// CPU seconds that a process has used so far, in user and system mode.
    pub fn cpu(&self, i: usize) -> Option<f64> {
        let id = self.relays[i].child.as_ref()?.id();
        let stat = std::fs::read_to_string(Path::new("/proc").join(id.to_string()).join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for i in 0..self.relays.len() {
            self.feed(i);
            if let Some(child) = &mut self.relays[i].child {
                child.kill().ok();
                child.wait().ok();
            }
        }
        self.switch.ends.store(true, Ordering::Relaxed);
        if !thread::panicking() {
            std::fs::remove_dir_all(&self.dir).ok();
        }
    }
}
