//! Stand-ins on the platform's protocol: an agent (discovery and notices), endpoints, a client, and a relay's configuration.

use crate::base::{until, Folder, Process, Record};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub struct Request {
    pub line: String,
    pub head: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The next one; none at the end of the connection.
    pub fn read(input: &mut BufReader<TcpStream>) -> Option<Request> {
        let mut line = || {
            let mut line = String::new();
            (input.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_string())
        };
        let first = line()?;
        let mut head = Vec::new();
        loop {
            let field = line()?;
            if field.is_empty() {
                break;
            }
            let (name, value) = field.split_once(':')?;
            head.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
        let mut request = Request { line: first, head, body: Vec::new() };
        request.body = vec![0; request.field("content-length").parse().unwrap_or(0)];
        input.read_exact(&mut request.body).ok()?;
        Some(request)
    }

    pub fn field(&self, name: &str) -> &str {
        self.head.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Ids of the messages in a call.
    fn ids(&self) -> Vec<String> {
        if !self.line.contains("/hook/batch") {
            return vec![self.field("x-request-id").to_string()];
        }
        let (mut ids, mut rest) = (Vec::new(), &self.body[..]);
        while let Some(end) = rest.windows(2).position(|w| w == b"\r\n") {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let parts: Vec<&str> = line.split(' ').collect();
            let len: usize = parts[2].parse().unwrap();
            ids.push(parts[0].to_string());
            rest = &rest[end + 2 + len + 2..];
        }
        ids
    }
}

fn respond(output: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    output.write_all(text.as_bytes()).is_ok()
}

/// What the agent has.
#[derive(Default)]
pub struct Discovery {
    pub seq: u64,
    /// Entries of the list, in the page's form.
    pub hosts: String,
    /// Discovery is down: the agent is silent, but for notices.
    pub silent: bool,
    /// The versions that were told, and when.
    pub told: Vec<(u64, Instant)>,
    /// Ends told by notices: when, and the message's id.
    pub notices: Vec<(Instant, String)>,
}

pub type Agent = Arc<Mutex<Discovery>>;

pub fn host(name: &str, dial: SocketAddr, kind: &str, block: u32) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"ann-arbor","class":"{kind}","block":{block},"health":"active","share":1.0,"born_ms":0}}"#
    )
}

pub fn list(seq: u64, hosts: &str) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{hosts}]}}"#)
}

pub fn agent(hosts: String, record: &Record) -> (SocketAddr, Agent) {
    crowded_agent(hosts, record, Duration::ZERO)
}

/// The same where connections are served one after another, each so long behind the one before. All else is answered at once.
pub fn crowded_agent(hosts: String, record: &Record, each: Duration) -> (SocketAddr, Agent) {
    let agent: Agent = Arc::new(Mutex::new(Discovery { seq: 1, hosts, ..Discovery::default() }));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (shared, record, turn) = (agent.clone(), record.clone(), Arc::<Mutex<()>>::default());
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (agent, record, turn) = (shared.clone(), record.clone(), turn.clone());
            spawn(move || {
                if !each.is_zero() {
                    let _turn = turn.lock().unwrap();
                    sleep(each);
                }
                serve_agent(stream, agent, record)
            });
        }
    });
    (address, agent)
}

fn serve_agent(stream: TcpStream, agent: Agent, record: Record) {
    stream.set_nodelay(true).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while let Some(request) = Request::read(&mut input) {
        if request.line.starts_with("POST") {
            for line in String::from_utf8_lossy(&request.body).lines() {
                let id = line.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("");
                record.say(&format!("agent: notice {line}"));
                agent.lock().unwrap().notices.push((Instant::now(), id.to_string()));
            }
            output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok();
            continue;
        }
        let query = |name: &str| {
            let value = request.line.split(name).nth(1)?;
            value.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let (from, asked) = (query("from="), Instant::now());
        let hold = Duration::from_millis(query("hold_ms=").unwrap_or(0));
        // A watch waits for something newer, for so long; while discovery is down nothing is said.
        let text = loop {
            {
                let mut agent = agent.lock().unwrap();
                let is_due = from.is_none_or(|from| agent.seq > from) || asked.elapsed() >= hold;
                if is_due && !agent.silent {
                    let seq = agent.seq;
                    agent.told.push((seq, Instant::now()));
                    if from != Some(seq) {
                        record.say(&format!("agent: list {seq}"));
                    }
                    break list(seq, &agent.hosts);
                }
            }
            sleep(Duration::from_millis(2));
        };
        if !respond(&mut output, "200 OK", &text) {
            return;
        }
    }
}

/// A call that came to an endpoint.
#[derive(Clone)]
pub struct Call {
    pub endpoint: String,
    pub ids: Vec<String>,
    /// When its first byte came.
    pub first: Instant,
    /// When its answer was written or its connection ended, and which.
    pub until: Option<(Instant, &'static str)>,
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

/// What an endpoint does with a call, after so long.
#[derive(Clone)]
pub enum Act {
    /// 200, and for a batch `accepted` for each.
    Accept(Duration),
    /// 500.
    Fail(Duration),
    /// 503 at once: its queue is full.
    Full,
    /// 429 at once, with these headers.
    Refuse(&'static str),
}

/// An endpoint; `act` says what becomes of a call.
pub fn endpoint(
    name: &str,
    calls: Calls,
    record: &Record,
    act: impl Fn(&[String]) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    endpoint_that_dies(name, calls, record, Arc::default(), act)
}

/// The same; while it is down its connections are broken and new ones refused.
pub fn endpoint_that_dies(
    name: &str,
    calls: Calls,
    record: &Record,
    is_down: Arc<AtomicBool>,
    act: impl Fn(&[String]) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = first.local_addr().unwrap();
    let (name, record, act) = (name.to_string(), record.clone(), Arc::new(act));
    spawn(move || {
        let (mut listener, mut open) = (Some(first), Vec::<TcpStream>::new());
        loop {
            let down = is_down.load(Ordering::SeqCst);
            if down && listener.take().is_some() {
                record.say(&format!("{name}: down, refuses connections"));
                open.drain(..).for_each(|stream| drop(stream.shutdown(std::net::Shutdown::Both)));
            }
            if !down && listener.is_none() {
                listener = TcpListener::bind(address).ok();
                record.say(&format!("{name}: back, cold"));
            }
            listener.iter().for_each(|listener| listener.set_nonblocking(true).unwrap());
            match listener.as_ref().and_then(|listener| listener.accept().ok()) {
                Some((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    open.extend(stream.try_clone());
                    let (name, calls, record, act) = (name.clone(), calls.clone(), record.clone(), act.clone());
                    spawn(move || serve_endpoint(&name, stream, calls, record, &*act));
                }
                None => sleep(Duration::from_millis(1)),
            }
        }
    });
    address
}

fn serve_endpoint(name: &str, stream: TcpStream, calls: Calls, record: Record, act: &dyn Fn(&[String]) -> Act) {
    stream.set_nodelay(true).ok();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    let mut answered = 0;
    loop {
        // The first byte.
        if !matches!(input.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
            return;
        }
        let first = Instant::now();
        let Some(request) = Request::read(&mut input) else { return };
        let (ids, came) = (request.ids(), Instant::now());
        record.say(&format!("{name}: call {ids:?}, X-Timeout {}", request.field("x-timeout")));
        let place = {
            let mut calls = calls.lock().unwrap();
            calls.push(Call { endpoint: name.to_string(), ids: ids.clone(), first, until: None });
            calls.len() - 1
        };
        let ends = |how| calls.lock().unwrap()[place].until = Some((Instant::now(), how));
        let act = act(&ids);
        let wait = match &act {
            Act::Accept(wait) | Act::Fail(wait) => *wait,
            Act::Full | Act::Refuse(_) => Duration::ZERO,
        };
        if given_up(&mut output, came + wait) {
            ends("given up by the relay");
            record.say(&format!("{name}: call {ids:?} was given up by the relay"));
            return;
        }
        match act {
            Act::Accept(_) => {
                answered += 1;
                let each: String = ids.iter().map(|id| format!("{id} accepted\r\n")).collect();
                let body = if ids.len() > 1 { each } else { format!("{name}-{answered}-{}", ids[0]) };
                ends("answered");
                record.say(&format!("{name}: 200 for {ids:?}"));
                if !respond(&mut output, "200 OK", &body) {
                    return;
                }
            }
            Act::Fail(_) => {
                ends("answered");
                record.say(&format!("{name}: 500 for {ids:?}"));
                respond(&mut output, "500 Internal Server Error", "");
            }
            Act::Full => {
                ends("turned away");
                record.say(&format!("{name}: 503 for {ids:?}"));
                respond(&mut output, "503 Service Unavailable", "");
            }
            Act::Refuse(headers) => {
                ends("turned away");
                record.say(&format!("{name}: 429 for {ids:?}, {headers}"));
                let text = format!("HTTP/1.1 429 Too Many Requests\r\n{headers}\r\nContent-Length: 0\r\n\r\n");
                output.write_all(text.as_bytes()).ok();
            }
        }
    }
}

/// Waits until then; true where the other side ends its sending before.
fn given_up(stream: &mut TcpStream, until: Instant) -> bool {
    let mut byte = [0];
    let given_up = loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break false;
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok();
        match stream.peek(&mut byte) {
            Ok(0) => break true,
            Ok(_) => sleep(Duration::from_millis(1)),
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break true,
        }
    };
    stream.set_read_timeout(None).ok();
    given_up
}

/// A message that a client hands in.
pub struct Message<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub dest: u32,
    pub key: Option<&'a str>,
    pub life: Duration,
}

/// Hands a message in on a connection of its own; the status of the answer.
pub fn hand_in(relay: SocketAddr, message: &Message, record: &Record) -> Option<u16> {
    let Message { id, class, dest, key, life } = message;
    let query = key.map_or(String::new(), |key| format!("?thread={key}"));
    let ms = life.as_millis();
    let mut stream = TcpStream::connect(relay).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_millis(400))).ok();
    record.say(&format!("client: {id}, class {class}, dest {dest}, key {}, {ms} ms", key.unwrap_or("-")));
    let text = format!(
        "POST /{class}{query} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nX-Timeout: {ms}m\r\nX-Consignee: dest={dest}\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: 5\r\n\r\nhello"
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok();
    record.say(&format!("client: {} for {id}", line.trim_end()));
    status
}

/// Settings of a small deployment, by the site file's ranges.
fn settings() -> String {
    let class = |name: &str, aim: u32, deadline: u32, worth: u32, late: f64, repeat: &str, memory: u32, order: bool| {
        format!(
            r#"{{"aim":{aim}000000,"deadline":{deadline}000000,"group":"all","importance":{worth}.0,"late_worth":{late},"memory_span":{memory}000000,"name":"{name}","repeat":"{repeat}","stream":false,"in_order":{order}}}"#
        )
    };
    let classes = [
        class("member-changes", 2_500, 24_000, 1, 0.4, "token", 15_000, true),
        class("status-sync", 2_000, 28_000, 1, 0.4, "pure", 15_000, false),
        class("dues-charges", 4_000, 24_000, 3, 0.3, "side_effect", 15_000, false),
    ]
    .join(",");
    format!(
        r#"{{"azs":["ann-arbor"],"callers":{{"marks_retry":false}},"discovery":"push",
"domain":{{"calls_out":28,"late":"even","notes":"","per_call":[5,1,1],"report_x0":"","report_x1":"","route_fee":[0.0],"separate_routes":[false,false,false],"turned_away_price":0.0}},
"family":"deliver","fleet_size":2,"goal":{{"whole":0.45,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.25}},
"kinds":["club-chains","payment-firms","local-clubs"],"layers":["partners"],
"limits":{{"cancel":true,"connect_timeout":1500000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"keepalive":10000000000,"max_open":200,"max_retry_after":3000000000,"most_tries":8,"peers":false,"probes":true,"retry_after":true,"second_copies":false,"streams_per_conn":1}},
"ordinal":0,"over_share_worth":0.1,
"prices":{{"connection":0.0,"cross_zone":0.0,"discovery":0.0,"handshake":0.04,"late_fail":0.02,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.011,"waste":0.08}},
"report":{{"fields":["x0","x1"],"how":"inline"}},
"rules":{{"answer_slack":5000000,"ask_within":10000000000,"cold_share":0.2,"fall":1500000000,"key_rest":100000000,"overload_factor":2.0,"stop_sending_within":1000000000,"warm_up":9400000000}},
"services":[{classes}],"tenants":[],"tick":5000000,"tier":0,"weights":"off","worth_by":"request","zone":0}}"#
    )
}

/// A relay that is to be run in a folder.
pub struct Relay<'a> {
    pub folder: &'a Folder,
    pub address: SocketAddr,
    pub agent: SocketAddr,
    /// The callers' socket, where the platform holds it.
    pub listener: Option<TcpListener>,
}

impl<'a> Relay<'a> {
    /// Its configuration names these endpoints as last known.
    pub fn new(folder: &'a Folder, agent: SocketAddr, known: &str, holds_socket: bool) -> Relay<'a> {
        let address = crate::base::free_address();
        let listener = holds_socket.then(|| TcpListener::bind(address).unwrap());
        std::fs::create_dir_all(folder.0.join("state")).unwrap();
        let known = list(1, known);
        let text = format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":128,"sockets":512,"disk_mb":3}},
"known":{known},
"settings":{}}}"#,
            settings()
        );
        folder.file("config.json", &text);
        Relay { folder, address, agent, listener }
    }

    /// Starts a process of it and waits until it is ready; with the console's address where the platform holds the socket.
    pub fn start(&self, record: &Record) -> Option<Process> {
        let console = crate::base::free_address();
        let path = |name: &str| self.folder.0.join(name).display().to_string();
        let mut variables = vec![
            ("LB_NAME", "n0".to_string()),
            ("LB_LISTEN", self.address.to_string()),
            ("LB_DISCOVERY", self.agent.to_string()),
            ("LB_STATE", path("state")),
            ("LB_CONFIG", path("config.json")),
            ("LB_CONSOLE", console.to_string()),
        ];
        let (mut arguments, mut input) = ("", None);
        if let Some(listener) = &self.listener {
            variables.push(("LB_FD", "3".to_string()));
            arguments = "3<&0 0</dev/null";
            input = Some(OwnedFd::from(listener.try_clone().unwrap()));
        }
        let mut process = Process::start_with(self.folder, arguments, &variables, input);
        let is_ready = || {
            let mut stream = TcpStream::connect(console).ok()?;
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
            stream.write_all(b"GET /admin/health HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
            let mut line = String::new();
            BufReader::new(stream).read_line(&mut line).ok()?;
            line.contains(" 200").then_some(())
        };
        until(Duration::from_secs(10), is_ready)?;
        record.say("relay: ready");
        process.is_running().then_some(process)
    }
}
