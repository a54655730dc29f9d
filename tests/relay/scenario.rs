//! A small language for scenarios, a line a step:
//!
//! ```text
//! ACTOR send ...      says something now
//! ACTOR expect ...    waits, in paused time, until it is said to the actor; anything else fails
//! ACTOR take ...      a caller or ESME hands a message in and expects that it is taken on
//! ACTOR close         ends its connection (a hop: that of its oldest call)
//! wait MS             lets time pass
//! relay start | smpp | import | end | kill, carrier NAME leaving | carrier both swapped (and the file read again), hop refuse | silent | listen | slow MS | deaf MS | hangup, net width BYTES, agent down | up | list HOST STATE
//! ```
//!
//! `in A..B` behind an `expect` gives bounds for the milliseconds since the last step; `nothing MS` expects
//! silence. Hops and callers get names as they are used; the relay knows hops `a1 a2` of destination 1 (a
//! kind that takes 3 messages a call), `b1` of 2 and `c1` of 3 (1 a call).

use crate::carriers::{self, Esme, Smsc, Texts};
use crate::network::{Places, Seen};
use crate::page_form::completed;
use basaltloom::configuration::{judge, Environment, Origin};
use basaltloom::operator::{self, Operator};
use basaltloom::program::import::import;
use basaltloom::program::reload::Reread;
use basaltloom::program::wiring;
use basaltloom::program::wiring::{Plan, PlatformPlan, SmppPlan};
use basaltloom::routing::Clock;
use basaltloom::transport::network::Arrived;
use basaltloom::transport::Stream;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

pub const RELAY: &str = "10.0.0.1:5000";
pub const AGENT: &str = "10.0.0.2:8500";
/// Where the platform moves.
const NEW_AGENT: &str = "10.0.0.3:8500";
/// So that a few legs fill the room: 29 of them.
const SOCKETS: usize = 76;
const HOPS: [(&str, u64, &str); 4] =
    [("a1", 1, "chains"), ("a2", 1, "chains"), ("b1", 2, "firms"), ("c1", 3, "firms")];
const SETTINGS: &str = r#"{"azs":["z"],"kinds":["chains","firms"],"fleet_size":2,"weights":"off",
"domain":{"calls_out":8,"late":"even","per_call":[3,1],"separate_routes":[false,false],"route_fee":[0.0]},
"limits":{"cancel":true,"connect_timeout":1500000000,"keepalive":10000000000,"max_open":12,
"max_retry_after":3000000000,"most_tries":8,"retry_after":true},
"rules":{"cold_share":0.2,"fall":1500000000,"key_rest":100000000,"overload_factor":2.0,"warm_up":9400000000},
"services":[
{"name":"ordered","aim":2500000000,"deadline":24000000000,"importance":1.0,"late_worth":0.4,"repeat":"token",
"memory_span":15000000000,"group":"all","in_order":true},
{"name":"safe","aim":2000000000,"deadline":28000000000,"importance":1.0,"late_worth":0.4,"repeat":"pure"},
{"name":"unsafe","aim":4000000000,"deadline":24000000000,"importance":3.0,"late_worth":0.3,
"repeat":"side_effect"}]}"#;

/// Hops `b1`, `c1` as its backup, and `a1`, as an operator of nginx has them.
const NGINX: &str = "upstream firms { server 10.1.0.3:80 max_conns=1; server 10.1.0.4:80 backup; }
server {
    location /notice {
        proxy_pass http://firms;
        proxy_next_upstream error timeout invalid_header http_500 http_502 http_504 http_403 http_404 non_idempotent;
    }
    location / { proxy_pass http://10.1.0.1:80; }
}";

/// Plays a script from a fresh state folder.
pub fn play(script: &str) {
    stage(false, async |world| {
        for (i, line) in script.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()) {
            let place = format!("line {}: {}", i + 1, line.trim());
            world.step(&line.split_whitespace().collect::<Vec<_>>(), &place).await;
        }
    });
}

/// Gives an act a fresh world in paused time, its network in memory or on loopback.
pub fn stage(loopback: bool, act: impl AsyncFnOnce(&mut World)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let mut world = World::new();
        world.net = Rc::new(Places { loopback, ..Places::default() });
        act(&mut world).await;
        std::fs::remove_dir_all(&world.state).ok();
    });
}

/// A head and its body.
#[derive(Debug, Clone)]
pub struct Said {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Reads one HTTP message; none at the end.
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Option<Said> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let (first, rest) = head.split_once("\r\n")?;
    let fields = rest.lines().filter_map(|l| l.split_once(": "));
    let headers: HashMap<String, String> = fields.map(|(n, v)| (n.to_lowercase(), v.to_string())).collect();
    let mut body = vec![0; headers.get("content-length").map_or(0, |n| n.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some(Said { first: first.to_string(), headers, body: String::from_utf8_lossy(&body).into_owned() })
}

type Halves = (ReadHalf<Stream>, WriteHalf<Stream>);
/// A call, its connection, and where that goes back for the next call.
type Call = (Said, Halves, oneshot::Sender<Halves>);

/// No two answers of next hops read alike, unless a script says so.
fn receipt() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

struct Hop {
    address: SocketAddr,
    arrived: UnboundedReceiver<Call>,
    /// Calls seen and not answered yet, the oldest first.
    open: VecDeque<Call>,
    /// Until when it reads nothing but the first byte of a call.
    deaf_until: Rc<Cell<Instant>>,
}

impl Hop {
    fn listen(net: &Places, address: SocketAddr) -> Hop {
        let mut streams = net.open(address);
        let (sender, arrived) = unbounded_channel();
        let deaf_until = Rc::new(Cell::new(Instant::now()));
        let deaf = deaf_until.clone();
        spawn_local(async move {
            while let Some(Arrived { stream, .. }) = streams.recv().await {
                let (sender, deaf) = (sender.clone(), deaf.clone());
                spawn_local(async move {
                    let mut halves = split(stream);
                    while let Ok(first) = halves.0.read_u8().await {
                        sleep_until(deaf.get()).await;
                        let first = [first];
                        let Some(said) = read(&mut first.chain(&mut halves.0)).await else { return };
                        let (back, given) = oneshot::channel();
                        sender.send((said, halves, back)).ok();
                        let Ok(again) = given.await else { return };
                        halves = again;
                    }
                });
            }
        });
        Hop { address, arrived, open: VecDeque::new(), deaf_until }
    }
}

/// A hop that takes calls behind one another, one connection at a time.
struct Piped {
    streams: UnboundedReceiver<Arrived>,
    open: Option<Halves>,
    aside: Option<Halves>,
}

/// Discovery and notices.
#[derive(Default)]
struct Agent {
    seq: u64,
    states: HashMap<String, String>,
    changed: Vec<(u64, String)>,
    down: bool,
    /// The connection on which the next notice comes falls silent under it.
    mute: bool,
    notices: VecDeque<String>,
    news: Rc<tokio::sync::Notify>,
}

impl Agent {
    fn hosts(&self, names: &[String]) -> String {
        let entry = |(name, dest, kind): &(&str, u64, &str), dial: String| {
            let health = self.states.get(*name).map_or("active", |s| s);
            format!(
                r#"{{"host":"{name}","dial":"{dial}","site":"z","class":"{kind}","block":{dest},"health":"{health}","share":1.0,"born_ms":0}}"#
            )
        };
        let hosts = HOPS.iter().enumerate().filter(|(_, h)| names.iter().any(|n| n == h.0));
        hosts.map(|(i, h)| entry(h, hop_address(i).to_string())).collect::<Vec<_>>().join(",")
    }

    fn whole(&self) -> String {
        let all: Vec<String> = HOPS.iter().map(|h| h.0.to_string()).collect();
        format!(r#"{{"seq":{},"whole":true,"hosts":[{}]}}"#, self.seq, self.hosts(&all))
    }
}

fn hop_address(i: usize) -> SocketAddr {
    format!("10.1.0.{}:80", i + 1).parse().unwrap()
}

async fn serve_agent(agent: Rc<RefCell<Agent>>, stream: Stream) {
    let (mut input, mut output) = split(stream);
    while let Some(said) = read(&mut input).await {
        let is_notice = said.first.starts_with("POST /v1/notices");
        if is_notice && std::mem::take(&mut agent.borrow_mut().mute) {
            return std::future::pending().await;
        }
        let news = agent.borrow().news.clone();
        let reply = if is_notice {
            if agent.borrow().down {
                return news.notified().await;
            }
            agent.borrow_mut().notices.extend(said.body.lines().map(str::to_string));
            news.notify_waiters();
            "HTTP/1.1 204 No Content\r\n\r\n".to_string()
        } else {
            let asked =
                said.first.split_once("from=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
            let hold =
                said.first.split_once("hold_ms=").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
            let since = |from: u64| {
                let agent = agent.borrow();
                let newer = agent.changed.iter().filter(|(seq, _)| *seq > from);
                newer.map(|(_, host)| host.clone()).collect::<Vec<_>>()
            };
            if let Some(from) = asked {
                let changed = async {
                    while since(from).is_empty() {
                        news.notified().await;
                    }
                };
                timeout(Duration::from_millis(hold.unwrap_or(0)), changed).await.ok();
            }
            while agent.borrow().down {
                news.notified().await;
            }
            let changed = asked.map(since);
            let agent = agent.borrow();
            let body = match changed {
                Some(hosts) => {
                    format!(r#"{{"seq":{},"whole":false,"hosts":[{}]}}"#, agent.seq, agent.hosts(&hosts))
                }
                None => agent.whole(),
            };
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        if output.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

struct Caller {
    input: ReadHalf<Stream>,
    output: WriteHalf<Stream>,
}

struct Running {
    task: JoinHandle<()>,
    end: Option<oneshot::Sender<()>>,
    again: UnboundedSender<Reread>,
}

pub struct World {
    pub net: Rc<Places>,
    state: PathBuf,
    started: Instant,
    last: Instant,
    relay: Option<Running>,
    hops: HashMap<String, Hop>,
    piped: HashMap<String, Piped>,
    callers: HashMap<String, Caller>,
    agent: Rc<RefCell<Agent>>,
    pub smscs: HashMap<String, Smsc>,
    pub esmes: HashMap<String, Esme>,
    pub texts: Texts,
    leaving: Vec<String>,
    /// The carriers are each at the other's address.
    swapped: bool,
    /// What the operator's file holds beside carriers.
    terms: String,
}

pub fn fresh_folder() -> PathBuf {
    use std::sync::atomic::{AtomicU32, Ordering};
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("basaltloom-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path).unwrap();
    path
}

/// The value of `name=...` among a step's words.
fn value<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

impl World {
    fn new() -> World {
        World {
            net: Rc::default(),
            state: fresh_folder(),
            started: Instant::now(),
            last: Instant::now(),
            relay: None,
            hops: HashMap::new(),
            piped: HashMap::new(),
            callers: HashMap::new(),
            agent: Rc::default(),
            smscs: HashMap::new(),
            esmes: HashMap::new(),
            texts: Rc::default(),
            leaving: Vec::new(),
            swapped: false,
            terms: String::new(),
        }
    }

    /// What the operator's file holds from the next start on.
    pub fn terms(&mut self, text: &str) {
        self.terms = text.to_string();
    }

    /// The notices that came and no step has expected.
    pub fn notices(&self) -> Vec<String> {
        self.agent.borrow().notices.iter().cloned().collect()
    }

    /// The operator's file as it stands now, its `smpp` section only where that front is to run.
    fn operator(&self, smpp: bool) -> Operator {
        let text = if smpp { carriers::file(&self.leaving, self.swapped) } else { String::new() };
        operator::parse("relay.conf", &format!("{text}\n{}", self.terms)).unwrap_or_else(|f| panic!("{f:?}"))
    }

    fn clock(&self) -> Clock {
        Clock::set(1_800_000_000_000_000_000 + self.started.elapsed().as_nanos() as u64)
    }

    /// The SMPP front alone, with its carriers.
    pub async fn start_smpp(&mut self) {
        for (i, at) in carriers::SMSCS.iter().enumerate().filter(|_| self.relay.is_none()) {
            self.smscs.insert((i + 1).to_string(), Smsc::listen(&self.net, at.parse().unwrap()));
        }
        let (again, rereads) = unbounded_channel();
        let (operator, state) = (self.operator(true), self.state.clone());
        let config = operator.smpp.clone().unwrap();
        let plan = SmppPlan { config, state, disk_bytes: 3_000_000, seed: 7 };
        let rereads = Some(rereads);
        let plan = Plan { smpp: Some(plan), operator, rereads, descriptors: 1024, ..Plan::default() };
        self.run(plan, again).await;
    }

    async fn run(&mut self, plan: Plan, again: UnboundedSender<Reread>) {
        let (end, ended) = oneshot::channel();
        let (net, inner, clock) = (Rc::new(Seen(self.net.clone())), LocalSet::new(), self.clock());
        inner.spawn_local(async move {
            wiring::run(plan, net, clock, async { drop(ended.await) }).await.unwrap();
        });
        self.relay = Some(Running { task: spawn_local(inner), end: Some(end), again });
        sleep(Duration::from_millis(1)).await;
    }

    async fn step(&mut self, words: &[&str], place: &str) {
        let began = self.last;
        match words {
            ["wait", ms] => sleep(Duration::from_millis(ms.parse().unwrap())).await,
            ["net", "width", bytes] => self.net.width.set(bytes.parse().unwrap()),
            ["relay", what] => self.relay(what).await,
            ["agent", rest @ ..] => self.agent(rest, place).await,
            ["piped", name, rest @ ..] => self.piped(name, rest, place).await,
            ["descriptors", what] => self.net.short.set(*what == "short"),
            ["opened", name, count] => {
                let opened = self.net.opened(self.hops[*name].address);
                assert_eq!(opened, count.parse::<usize>().unwrap(), "{place}");
            }
            ["hop", name, rest @ ..] => self.hop(name, rest, place).await,
            ["caller", name, rest @ ..] => self.caller(name, rest, place).await,
            ["smsc", name, rest @ ..] => {
                self.smscs.get_mut(*name).unwrap().step(&self.net, rest, place).await;
            }
            ["esme", name, rest @ ..] => {
                if !self.esmes.contains_key(*name) || rest[0].starts_with("b") {
                    self.esmes.insert(name.to_string(), Esme::connect(&self.net, self.texts.clone()).await);
                }
                let rest: Vec<&str> = rest.iter().take_while(|w| **w != "in").copied().collect();
                self.esmes.get_mut(*name).unwrap().step(&rest, place).await;
            }
            ["operator", rest @ ..] => {
                // Lines are set apart by `;` in a script.
                self.terms = rest.join(" ").replace(';', "\n");
                if let Some(running) = &self.relay {
                    let operator = Some(Ok(self.operator(false)));
                    running.again.send(Reread { operator, ..Reread::default() }).unwrap();
                }
            }
            ["carrier", name, change] => {
                match *change {
                    "leaving" => self.leaving.push(name.to_string()),
                    _ => self.swapped = !self.swapped,
                }
                let operator = Some(Ok(self.operator(true)));
                self.relay.as_ref().unwrap().again.send(Reread { operator, ..Reread::default() }).unwrap();
            }
            _ => panic!("{place}: no such step"),
        }
        self.last = Instant::now();
        if let Some(at) = words.iter().position(|w| *w == "in") {
            let (from, to) = words[at + 1].split_once("..").unwrap();
            let took = (self.last - began).as_millis();
            let (from, to): (u128, u128) = (from.parse().unwrap(), to.parse().unwrap());
            assert!((from..=to).contains(&took), "{place}: took {took} ms");
        }
    }

    /// A hop that reads calls behind one another before it answers any: `expect IDS`, `send STATUS`, `cut TEXT`, and
    /// `other`, which turns to the next connection; `aside` does too, and leaves the one before open for `back`.
    async fn piped(&mut self, name: &str, words: &[&str], place: &str) {
        let address = hop_address(HOPS.iter().position(|h| h.0 == name).unwrap());
        if words.is_empty() {
            let streams = self.net.open(address);
            self.piped.insert(name.to_string(), Piped { streams, open: None, aside: None });
            return;
        }
        let piped = self.piped.get_mut(name).unwrap();
        match words {
            ["expect", ids, ..] => {
                for id in ids.split(',') {
                    let reading = async {
                        loop {
                            if piped.open.is_none() {
                                piped.open = Some(split(piped.streams.recv().await?.stream));
                            }
                            match read(&mut piped.open.as_mut()?.0).await {
                                Some(said) => return Some(said),
                                // The relay ended that one.
                                None => piped.open = None,
                            }
                        }
                    };
                    let said = timeout(Duration::from_secs(60), reading).await.ok().flatten();
                    let said = said.unwrap_or_else(|| panic!("{place}: {id} did not come"));
                    assert_eq!(said.headers["x-request-id"], id, "{place}: got {said:?}");
                }
            }
            ["send", status, headers @ ..] => {
                let mut text =
                    format!("HTTP/1.1 {status} X\r\nx-receipt: {}\r\ncontent-length: 0\r\n", receipt());
                headers.iter().for_each(|h| text += &format!("{}\r\n", h.replace('=', ": ")));
                piped.open.as_mut().unwrap().1.write_all(format!("{text}\r\n").as_bytes()).await.unwrap();
            }
            ["back"] => std::mem::swap(&mut piped.open, &mut piped.aside),
            [turn @ ("other" | "aside"), ..] => {
                if *turn == "aside" {
                    piped.aside = piped.open.take();
                }
                let opened = timeout(Duration::from_secs(60), piped.streams.recv()).await.ok().flatten();
                let opened = opened.unwrap_or_else(|| panic!("{place}: no other connection"));
                piped.open = Some(split(opened.stream));
            }
            ["write", text @ ..] => {
                let text = text.join(" ").replace("\\r\\n", "\r\n");
                piped.open.as_mut().unwrap().1.write_all(text.as_bytes()).await.unwrap();
            }
            ["cut", text @ ..] => {
                let (_, mut output) = piped.open.take().unwrap();
                let text = text.join(" ").replace("\\r\\n", "\r\n");
                output.write_all(text.as_bytes()).await.unwrap();
            }
            _ => panic!("{place}: no such step"),
        }
    }

    pub async fn relay(&mut self, what: &str) {
        match what {
            "start" => {
                if self.hops.is_empty() {
                    self.open_world();
                }
                let config = self.config(AGENT);
                self.start(&config).await;
            }
            "move" => {
                let configuration = Some(Ok(self.config(NEW_AGENT)));
                let reread = Reread { configuration, operator: None };
                self.relay.as_ref().unwrap().again.send(reread).unwrap();
                self.net.refuse(AGENT.parse().unwrap());
            }
            "import" => {
                self.open_world();
                self.start(&import(NGINX).unwrap().config).await;
            }
            "smpp" => self.start_smpp().await,
            "end" => drop(self.relay.as_mut().unwrap().end.take().unwrap().send(())),
            "kill" => {
                let running = self.relay.as_mut().unwrap();
                running.task.abort();
                (&mut running.task).await.ok();
                self.net.refuse(RELAY.parse().unwrap());
                self.net.refuse(carriers::FRONT.parse().unwrap());
                self.callers.clear();
                self.esmes.clear();
                self.smscs.values_mut().for_each(Smsc::forget);
            }
            _ => panic!("relay {what}?"),
        }
    }

    fn config(&self, agent: &str) -> String {
        let known = self.agent.borrow().whole();
        completed(&format!(
            r#"{{"name":"t","listen":"{RELAY}","discovery":"{agent}","seed":"7","limits":{{"sockets":{SOCKETS},"disk_mb":3}},"known":{known},"settings":{SETTINGS}}}"#
        ))
    }

    async fn start(&mut self, text: &str) {
        let (state, listen) = (Some(self.state.clone()), RELAY.parse().ok());
        let environment = Environment { state, listen, ..Environment::default() };
        let read = judge(text, None).unwrap_or_else(|faults| panic!("{faults}"));
        let configuration = read.at_start(&environment, Origin::default());
        let (again, rereads) = unbounded_channel();
        let platform = Some(PlatformPlan { configuration, environment, names_before: None });
        let operator = self.operator(false);
        let plan = Plan { platform, operator, rereads: Some(rereads), descriptors: 1024, ..Plan::default() };
        self.run(plan, again).await;
    }

    fn open_world(&mut self) {
        for (i, (name, _, _)) in HOPS.iter().enumerate() {
            self.hops.insert(name.to_string(), Hop::listen(&self.net, hop_address(i)));
        }
        for at in [AGENT, NEW_AGENT] {
            let mut streams = self.net.open(at.parse().unwrap());
            let agent = self.agent.clone();
            spawn_local(async move {
                while let Some(Arrived { stream, .. }) = streams.recv().await {
                    spawn_local(serve_agent(agent.clone(), stream));
                }
            });
        }
    }

    async fn agent(&mut self, words: &[&str], place: &str) {
        let news = self.agent.borrow().news.clone();
        match words {
            ["list", host, state] => {
                let mut agent = self.agent.borrow_mut();
                agent.seq += 1;
                agent.states.insert(host.to_string(), state.to_string());
                let seq = agent.seq;
                agent.changed.push((seq, host.to_string()));
            }
            ["down"] => self.agent.borrow_mut().down = true,
            ["mute"] => self.agent.borrow_mut().mute = true,
            ["up"] => self.agent.borrow_mut().down = false,
            ["expect", "nothing", ms] => {
                sleep(Duration::from_millis(ms.parse().unwrap())).await;
                assert_eq!(self.agent.borrow().notices, [""; 0], "{place}");
            }
            ["expect", state, id, ..] => {
                let told = async {
                    loop {
                        if let Some(line) = self.agent.borrow_mut().notices.pop_front() {
                            return line;
                        }
                        news.notified().await;
                    }
                };
                let line =
                    timeout(Duration::from_secs(60), told).await.unwrap_or_else(|_| panic!("{place}: none"));
                let start = format!(r#"{{"id":"{id}","state":"{state}""#);
                assert!(line.starts_with(&start), "{place}: got {line}");
                let after = line.contains("after_ms");
                assert_eq!(after, words.contains(&"after_ms"), "{place}: got {line}");
            }
            _ => panic!("{place}: no such step"),
        }
        news.notify_waiters();
    }

    async fn hop(&mut self, name: &str, words: &[&str], place: &str) {
        let hop = self.hops.get_mut(name).unwrap_or_else(|| panic!("{place}: no such hop"));
        match words {
            ["refuse"] => self.net.refuse(hop.address),
            ["silent"] => self.net.silence(hop.address),
            ["deaf", ms] => {
                let until = Instant::now() + Duration::from_millis(ms.parse().unwrap());
                hop.deaf_until.set(until);
            }
            ["slow", ms] => self.net.slow(hop.address, Duration::from_millis(ms.parse().unwrap())),
            ["hangup", ..] => {
                let (_, (mut input, _), _) =
                    hop.open.pop_front().unwrap_or_else(|| panic!("{place}: no call"));
                let more = timeout(Duration::from_secs(60), read(&mut input)).await;
                assert!(more.unwrap_or_else(|_| panic!("{place}: still open")).is_none(), "{place}");
            }
            ["listen"] => *hop = Hop::listen(&self.net, hop.address),
            ["close"] => drop(hop.open.pop_front().unwrap_or_else(|| panic!("{place}: no call"))),
            ["expect", "nothing", ms] => {
                sleep(Duration::from_millis(ms.parse().unwrap())).await;
                assert!(hop.arrived.is_empty(), "{place}: got {:?}", hop.arrived.try_recv().map(|c| c.0));
            }
            ["expect", ids, rest @ ..] => {
                let call = timeout(Duration::from_secs(60), hop.arrived.recv()).await;
                let call = call.ok().flatten().unwrap_or_else(|| panic!("{place}: nothing came"));
                let said = &call.0;
                let got = match said.first.as_str() {
                    "POST /hook HTTP/1.1" => said.headers["x-request-id"].clone(),
                    _ => batch_ids(&said.body).join(","),
                };
                assert_eq!(&got, ids, "{place}: got {said:?}");
                for w in rest.iter().filter_map(|w| w.split_once('=')) {
                    let field = if w.0 == "body" { Some(&said.body) } else { said.headers.get(w.0) };
                    assert_eq!(field.map(String::as_str), Some(w.1), "{place}: got {said:?}");
                }
                hop.open.push_back(call);
            }
            ["raw", text @ ..] => {
                let (_, (input, mut output), back) =
                    hop.open.pop_front().unwrap_or_else(|| panic!("{place}: no call"));
                let text = text.join(" ").replace("\\r\\n", "\r\n");
                output.write_all(text.as_bytes()).await.unwrap();
                back.send((input, output)).ok();
            }
            // Says something and ends the connection in the middle of it.
            ["cut", text @ ..] => {
                let (_, (_, mut output), _) =
                    hop.open.pop_front().unwrap_or_else(|| panic!("{place}: no call"));
                let text = text.join(" ").replace("\\r\\n", "\r\n");
                output.write_all(text.as_bytes()).await.unwrap();
            }
            ["send", status, rest @ ..] => {
                let (_, (input, mut output), back) =
                    hop.open.pop_front().unwrap_or_else(|| panic!("{place}: no call"));
                let (headers, ends): (Vec<&str>, Vec<&str>) = rest.iter().partition(|w| w.contains('='));
                let body: String = ends.chunks(2).map(|e| format!("{}\r\n", e.join(" "))).collect();
                let mut text = format!(
                    "HTTP/1.1 {status} X\r\nx-receipt: {}\r\ncontent-length: {}\r\n",
                    receipt(),
                    body.len()
                );
                headers.iter().for_each(|h| text += &format!("{}\r\n", h.replace('=', ": ")));
                output.write_all(format!("{text}\r\n{body}").as_bytes()).await.unwrap();
                back.send((input, output)).ok();
            }
            _ => panic!("{place}: no such step"),
        }
    }

    async fn caller(&mut self, name: &str, words: &[&str], place: &str) {
        if !self.callers.contains_key(name) {
            let from = match words {
                ["from", address, ..] => address.parse().unwrap(),
                _ => SocketAddr::from(([10, 9, 0, 1], 1)),
            };
            let stream = self.net.dial_from(from, RELAY.parse().unwrap()).await.unwrap();
            let (input, output) = split(stream);
            self.callers.insert(name.to_string(), Caller { input, output });
        }
        let caller = self.callers.get_mut(name).unwrap();
        match words {
            ["take", rest @ ..] => {
                Box::pin(self.caller(name, &[&["send", "POST"], rest].concat(), place)).await;
                Box::pin(self.caller(name, &["expect", "202"], place)).await;
            }
            ["raw", text @ ..] => {
                let text = text.join(" ").replace("\\r\\n", "\r\n");
                let text = match text.split_once('*') {
                    Some((text, n)) => text.to_string() + &"x".repeat(n.parse().unwrap()),
                    None => text,
                };
                caller.output.write_all(text.as_bytes()).await.ok();
            }
            ["send", method, path, rest @ ..] => {
                let body = value(rest, "body").unwrap_or("hello");
                let mut text = format!("{method} {path} HTTP/1.1\r\nhost: x\r\n");
                let named = [("id", "x-request-id"), ("timeout", "x-timeout"), ("key", "idempotency-key")];
                for (word, header) in named {
                    text += &value(rest, word).map_or(String::new(), |v| format!("{header}: {v}\r\n"));
                }
                text += &value(rest, "dest").map_or(String::new(), |d| format!("x-consignee: dest={d}\r\n"));
                let body =
                    body.strip_prefix('*').map_or(body.to_string(), |n| "x".repeat(n.parse().unwrap()));
                text += &format!("content-length: {}\r\n\r\n", body.len());
                caller.output.write_all(format!("{text}{body}").as_bytes()).await.unwrap();
            }
            ["hello"] | ["from", _] => {}
            ["from", _, rest @ ..] => Box::pin(self.caller(name, rest, place)).await,
            ["close"] => drop(self.callers.remove(name)),
            ["expect", "close", ..] => {
                let said = timeout(Duration::from_secs(60), read(&mut caller.input)).await;
                assert!(said.unwrap_or_else(|_| panic!("{place}: still open")).is_none(), "{place}");
                self.callers.remove(name);
            }
            ["expect", status, rest @ ..] => {
                let said = timeout(Duration::from_secs(60), read(&mut caller.input)).await;
                let said = said.ok().flatten().unwrap_or_else(|| panic!("{place}: no answer"));
                assert_eq!(said.first.split(' ').nth(1), Some(*status), "{place}: got {said:?}");
                for header in rest.iter().take_while(|w| **w != "in") {
                    assert!(said.headers.contains_key(*header), "{place}: got {said:?}");
                }
            }
            _ => panic!("{place}: no such step"),
        }
    }
}

pub fn batch_ids(body: &str) -> Vec<String> {
    let (mut ids, mut rest) = (Vec::new(), body);
    while let Some((line, after)) = rest.split_once("\r\n") {
        let mut fields = line.split(' ');
        ids.push(fields.next().unwrap().to_string());
        let len: usize = fields.nth(1).unwrap().parse().unwrap();
        rest = after[len..].strip_prefix("\r\n").unwrap();
    }
    ids
}
