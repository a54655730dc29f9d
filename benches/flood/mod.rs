//! A flood of connections against the relay's own program, its descriptors lowered, beside clients that are known:
//! used by the bench of the full size and, with a few thousand connections, by the tests.

mod endpoint;
#[path = "../../tests/stand_ins/page_form.rs"]
mod page_form;

use endpoint::Endpoint;
use hdrhistogram::Histogram;
use page_form::completed;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// A client gives up after this time.
const PATIENCE: Duration = Duration::from_millis(400);
/// Time between two asks of a known client.
const PAUSE: Duration = Duration::from_millis(20);
/// Phases in which clients ask: before the flood, and in it; then they stop.
pub const CALM: usize = 0;
pub const FLOOD: usize = 1;
pub const STOP: usize = 2;
/// Addresses from which the flood comes.
const FLOODERS: u8 = 4;

/// What a connection of the flood does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Silent,
    HalfHead,
    AskAndHold,
    Junk,
}

pub const KINDS: [Kind; 4] = [Kind::Silent, Kind::HalfHead, Kind::AskAndHold, Kind::Junk];

/// Which client asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Client {
    /// Keeps its leg, from an address of its own.
    Keeps,
    /// Opens one for each message, from an address of its own.
    Anew,
    /// Keeps its leg, behind an address that it shares with the flood.
    SharedKeeps,
    /// Opens anew behind the shared address.
    SharedAnew,
}

pub const CLIENTS: [Client; 4] = [Client::Keeps, Client::Anew, Client::SharedKeeps, Client::SharedAnew];

impl Client {
    fn address(self) -> Ipv4Addr {
        match self {
            Client::Keeps => Ipv4Addr::new(127, 0, 9, 1),
            Client::Anew => Ipv4Addr::new(127, 0, 9, 2),
            Client::SharedKeeps | Client::SharedAnew => flooder(0),
        }
    }

    fn keeps(self) -> bool {
        matches!(self, Client::Keeps | Client::SharedKeeps)
    }
}

fn flooder(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 8, 1 + n)
}

/// How a client's asks went.
pub struct Asks {
    pub failed: u64,
    pub why: BTreeMap<String, u64>,
    pub micros: Histogram<u64>,
}

impl Asks {
    fn new() -> Asks {
        Asks { failed: 0, why: BTreeMap::new(), micros: Histogram::new(3).expect("three digits") }
    }

    pub fn all(&self) -> u64 {
        self.micros.len() + self.failed
    }

    #[allow(dead_code, reason = "the bench tells times, the test only counts")]
    pub fn millis(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// The relay's program, an endpoint that takes all, and what came of it.
pub struct Rig {
    pub child: Child,
    pub address: SocketAddr,
    dir: PathBuf,
    endpoint: Arc<Endpoint>,
    /// Ids for which the log told an end.
    ended: Arc<Mutex<Vec<String>>>,
    pub log: Arc<Mutex<Vec<String>>>,
    reader: Option<JoinHandle<()>>,
    asked: AtomicU64,
    taken: Mutex<BTreeSet<String>>,
}

impl Rig {
    /// Starts the program under so many descriptors, with an operator's file.
    pub fn start(name: &str, descriptors: usize, operator: &str) -> Rig {
        let dir = std::env::temp_dir().join(format!("basaltloom-flood-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let endpoint = Arc::new(Endpoint::default());
        let dial = endpoint.serve();
        let config = completed(&format!(
            r#"{{"listen":"127.0.0.1:0","seed":"1","limits":{{"sockets":{descriptors},"disk_mb":8}},
"known":{{"seq":1,"whole":true,"hosts":[{{"host":"h","dial":"{dial}","site":"z","class":"k","block":1,
"health":"active","share":1.0,"born_ms":0}}]}},
"settings":{{"azs":["z"],"kinds":["k"],"fleet_size":1,"domain":{{"calls_out":32,"per_call":[1]}},
"limits":{{"max_open":4000,"most_tries":8,"retry_after":true,"max_retry_after":3000000000,"keepalive":10000000000}},
"rules":{{"cold_share":1.0,"fall":1500000000,"overload_factor":1000.0,"warm_up":100000000}},
"services":[{{"name":"notice","aim":2000000000,"deadline":10000000000,"importance":1,"late_worth":0.5,
"repeat":"side_effect"}}]}}}}"#
        ));
        std::fs::write(dir.join("c.json"), config).expect("a configuration");
        std::fs::write(dir.join("relay.conf"), operator).expect("an operator's file");
        // The shell lowers the limit for the program alone.
        let start = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\" --operator \"$2\"");
        let mut command = Command::new("sh");
        command.args(["-c", &start, env!("CARGO_BIN_EXE_basaltloom")]);
        command.arg(dir.join("c.json")).arg(dir.join("relay.conf")).env("LB_STATE", &dir);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
            command.env_remove(name);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the relay");
        let mut lines = BufReader::new(child.stderr.take().expect("its log")).lines();
        let first = lines.by_ref().map_while(Result::ok).find(|line| line.contains("serves on"));
        let first = first.expect("it serves");
        let address =
            first.split_once("serves on ").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
        let (ended, log) = (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(vec![first.clone()])));
        let (e, l) = (ended.clone(), log.clone());
        let reader = spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once("{\"id\":\"") {
                    e.lock().unwrap().extend(rest.split('"').next().map(str::to_string));
                } else {
                    l.lock().unwrap().push(line);
                }
            }
        });
        Rig {
            child,
            address: address.unwrap_or_else(|| panic!("no address in {first:?}")),
            dir,
            endpoint,
            ended,
            log,
            reader: Some(reader),
            asked: AtomicU64::new(0),
            taken: Mutex::default(),
        }
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").args([name, &self.child.id().to_string()]).status().expect("kill");
    }

    /// Writes another operator's file and has it read.
    pub fn operator(&self, text: &str) {
        std::fs::write(self.dir.join("relay.conf"), text).expect("an operator's file");
        self.signal("-HUP");
    }

    /// The most memory that the relay held, in kB.
    #[allow(dead_code, reason = "the bench tells memory, the test does not")]
    pub fn peak_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmHWM:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }

    fn request(&self) -> (String, String) {
        let id = format!("m{}", self.asked.fetch_add(1, Ordering::Relaxed));
        let text = format!(
            "POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 9000m\r\nX-Consignee: dest=1\r\n\
             Content-Length: 2\r\n\r\nhi"
        );
        (id, text)
    }

    /// Has the clients ask until the phase is `STOP`; their asks are counted by phase.
    pub fn ask(
        self: &Arc<Rig>,
        clients: &[Client],
        phase: &Arc<AtomicUsize>,
    ) -> Vec<(Client, JoinHandle<[Asks; 2]>)> {
        let each = |client: &Client| {
            let (rig, phase, client) = (self.clone(), phase.clone(), *client);
            (client, spawn(move || rig.ask_on(client, &phase)))
        };
        clients.iter().map(each).collect()
    }

    fn ask_on(&self, client: Client, phase: &AtomicUsize) -> [Asks; 2] {
        let mut all = [Asks::new(), Asks::new()];
        let mut kept: Option<TcpStream> = None;
        loop {
            let Some(asks) = all.get_mut(phase.load(Ordering::Relaxed)) else { return all };
            let begun = Instant::now();
            let (id, text) = self.request();
            let mut result = self.ask_once(client, &mut kept, &text);
            // A leg that was closed between two requests may be opened anew once, as the protocol has it.
            if client.keeps() && matches!(&result, Err(e) if e == "closed") {
                kept = None;
                result = self.ask_once(client, &mut kept, &text);
            }
            match result {
                Ok(()) => {
                    asks.micros.record(begun.elapsed().as_micros() as u64).expect("a time in range");
                    self.taken.lock().unwrap().insert(id);
                }
                Err(why) => {
                    kept = None;
                    asks.failed += 1;
                    *asks.why.entry(why).or_default() += 1;
                }
            }
            if !client.keeps() {
                kept = None;
            }
            sleep(PAUSE.saturating_sub(begun.elapsed()));
        }
    }

    fn ask_once(&self, client: Client, kept: &mut Option<TcpStream>, text: &str) -> Result<(), String> {
        let told = |e: std::io::Error| match e.kind() {
            std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => "no answer in time".to_string(),
            std::io::ErrorKind::ConnectionReset | std::io::ErrorKind::BrokenPipe => "closed".to_string(),
            _ => e.to_string(),
        };
        let fresh = kept.is_none();
        if fresh {
            *kept = Some(connect(client.address(), self.address).map_err(told)?);
        }
        let Some(stream) = kept.as_mut() else { return Err("no connection".to_string()) };
        stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
        stream.write_all(text.as_bytes()).map_err(told)?;
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte).map_err(told)? {
                0 => return Err("closed".to_string()),
                _ => head.push(byte[0]),
            }
        }
        let status = String::from_utf8_lossy(&head[9..12.min(head.len())]).into_owned();
        if status == "202" {
            return Ok(());
        }
        Err(format!("status {status}"))
    }

    /// Sends so many connections of the kinds in turn, some open at once; returns how many could be opened.
    pub fn flood(self: &Arc<Rig>, connections: u64, at_once: u64, kinds: &[Kind]) -> u64 {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("an event loop");
        let (next, opened) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        runtime.block_on(async {
            let mut tasks = Vec::new();
            for _ in 0..at_once {
                let (rig, next, opened, kinds) = (self.clone(), next.clone(), opened.clone(), kinds.to_vec());
                tasks.push(tokio::spawn(async move {
                    loop {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        if n >= connections {
                            return;
                        }
                        let kind = kinds[n as usize % kinds.len()];
                        let from = flooder((n / kinds.len() as u64 % u64::from(FLOODERS)) as u8);
                        let done = rig.one_of_the_flood(kind, from);
                        if timeout(Duration::from_secs(3), done).await.is_ok_and(|r| r.is_ok()) {
                            opened.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }));
            }
            for task in tasks {
                task.await.ok();
            }
        });
        opened.load(Ordering::Relaxed)
    }

    async fn one_of_the_flood(&self, kind: Kind, from: Ipv4Addr) -> std::io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(SocketAddr::from((from, 0)))?;
        let mut stream = socket.connect(self.address).await?;
        let mut sink = [0; 1024];
        match kind {
            Kind::Silent => {}
            Kind::HalfHead => stream.write_all(b"POST /notice HTTP/1.1\r\nHost: x\r\nX-Requ").await?,
            Kind::Junk => stream.write_all(b"\x16\x03\x01 what is this\r\n\r\n").await?,
            Kind::AskAndHold => {
                let (id, text) = self.request();
                stream.write_all(text.as_bytes()).await?;
                let n = stream.read(&mut sink).await.unwrap_or(0);
                if sink[..n].starts_with(b"HTTP/1.1 202") {
                    self.taken.lock().unwrap().insert(id);
                }
            }
        }
        // Held for good: until the relay closes it.
        while stream.read(&mut sink).await.is_ok_and(|n| n > 0) {}
        Ok(())
    }

    /// Ends the relay and counts ends: of each message that was taken on, exactly one.
    pub fn end(mut self) -> (bool, Ends) {
        self.signal("-TERM");
        let gone = self.child.wait().is_ok_and(|status| status.success());
        if let Some(reader) = self.reader.take() {
            reader.join().ok();
        }
        let taken = std::mem::take(&mut *self.taken.lock().unwrap());
        let served = self.endpoint.served.lock().unwrap();
        let ended = self.ended.lock().unwrap();
        let ends = |id: &String| {
            served.get(id).copied().unwrap_or(0) + ended.iter().filter(|e| *e == id).count() as u32
        };
        let counts: Vec<u32> = taken.iter().map(ends).collect();
        let ends = Ends {
            taken: counts.len(),
            without: counts.iter().filter(|n| **n == 0).count(),
            twice: counts.iter().filter(|n| **n > 1).count(),
        };
        std::fs::remove_dir_all(&self.dir).ok();
        (gone, ends)
    }
}

impl Drop for Rig {
    /// A test that fails leaves no program behind.
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// What became of the messages that were taken on.
#[derive(Debug, PartialEq)]
pub struct Ends {
    pub taken: usize,
    pub without: usize,
    pub twice: usize,
}

fn connect(from: Ipv4Addr, to: SocketAddr) -> std::io::Result<TcpStream> {
    use rustix::net::{bind, connect, socket_with, AddressFamily, SocketAddrV4, SocketFlags, SocketType};
    let socket = socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None)?;
    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
    bind(&socket, &SocketAddrV4::new(from, 0))?;
    let stream = TcpStream::from(socket);
    // The system's own patience with a connection is bounded by that for writing.
    stream.set_write_timeout(Some(PATIENCE))?;
    connect(&stream, &to)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
