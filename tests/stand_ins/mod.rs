//! Stand-ins for what the program talks to, on loopback sockets and threads: endpoints, discovery, a caller's words.
#![allow(dead_code)]

pub mod chance;
pub mod page_form;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

pub const ANSWERED: Duration = Duration::from_secs(8);

/// What a test waits for, and what it is told.
#[derive(Default)]
pub struct Told<T>(Arc<(Mutex<T>, Condvar)>);

impl<T> Clone for Told<T> {
    fn clone(&self) -> Told<T> {
        Told(self.0.clone())
    }
}

impl<T> Told<T> {
    pub fn tell<R>(&self, f: impl FnOnce(&mut T) -> R) -> R {
        let told = f(&mut self.0 .0.lock().unwrap());
        self.0 .1.notify_all();
        told
    }

    /// Whether it comes to this within so long, and after how long.
    pub fn until(&self, most: Duration, is: impl Fn(&T) -> bool) -> Option<Duration> {
        let from = Instant::now();
        let held = self.0 .0.lock().unwrap();
        let (_held, over) = self.0 .1.wait_timeout_while(held, most, |t| !is(t)).unwrap();
        (!over.timed_out()).then(|| from.elapsed())
    }
}

/// Reads one request: its first line and header lines, and its body.
pub fn request(input: &mut BufReader<TcpStream>) -> Option<(Vec<String>, Vec<u8>)> {
    let (mut head, mut length) = (Vec::new(), 0);
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let line = line.trim_end().to_string();
        if line.is_empty() {
            break;
        }
        if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = n.trim().parse().unwrap();
        }
        head.push(line);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Serves each connection of a listener on a thread of its own, until the stand-in is gone.
pub fn serve(
    listener: TcpListener,
    answer: impl Fn(&[String]) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    serve_bodies(listener, move |head, _| answer(head))
}

/// The same where the answer depends on the body.
pub fn serve_bodies(
    listener: TcpListener,
    answer: impl Fn(&[String], &[u8]) -> Option<String> + Send + Sync + 'static,
) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            spawn(move || {
                let mut output = stream.try_clone().unwrap();
                let mut input = BufReader::new(stream);
                while let Some((head, body)) = request(&mut input) {
                    // Silence: the connection stays open, and nothing more is said on it.
                    let Some(text) = answer(&head, &body) else {
                        loop {
                            std::thread::park()
                        }
                    };
                    if output.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// A body that no answer had before, as the platform's endpoints give one to each call that they took.
pub fn receipt() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Calls that a next hop took, by id.
pub type Served = Told<BTreeMap<String, u32>>;

/// A next hop that takes every call and counts them by id.
pub fn hop(at: &str) -> (SocketAddr, Served) {
    hop_on(TcpListener::bind(at).unwrap())
}

/// The same from now on behind a listener that is there already.
pub fn hop_on(listener: TcpListener) -> (SocketAddr, Served) {
    let served = Told::default();
    let told: Served = served.clone();
    let address = serve(listener, move |head| {
        let id =
            head.iter().find_map(|l| l.strip_prefix("x-request-id: ").or(l.strip_prefix("X-Request-ID: ")));
        told.tell(|t| *t.entry(id.unwrap().to_string()).or_default() += 1);
        Some(ok(&receipt()))
    });
    (address, served)
}

/// A listener whose queue is full: further connections do not come up until somebody accepts.
pub fn full_listener() -> (TcpListener, Vec<TcpStream>) {
    use rustix::net::{bind, listen, socket, AddressFamily, SocketAddrV4, SocketType};
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    bind(&fd, &SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 0)).unwrap();
    listen(&fd, 0).unwrap();
    let listener = TcpListener::from(fd);
    let address = listener.local_addr().unwrap();
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) {
        held.push(stream);
    }
    (listener, held)
}

/// Told in place of a version: a call to discovery was left without an answer, for good.
pub const SILENT: u64 = 0;

/// Discovery: its version and list, silent while it is down, and the versions of the lists that it has told.
pub struct Discovery {
    pub address: SocketAddr,
    pub down: Arc<AtomicBool>,
    list: Arc<Mutex<(u64, String)>>,
    pub told: Told<Vec<u64>>,
    /// Ids of messages whose ends were told by notices.
    pub ended: Told<BTreeSet<String>>,
}

pub fn entry(name: &str, dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"z","class":"k","block":1,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn whole((seq, hosts): &(u64, String)) -> String {
    format!("{{\"seq\":{seq},\"whole\":true,\n  \"hosts\":[{hosts}]}}")
}

/// The version that a question knows, and how long it may wait for a newer one.
pub fn watched(line: &str) -> (Option<u64>, Duration) {
    let field =
        |name: &str| -> Option<u64> { line.split(name).nth(1)?.split(['&', ' ']).next()?.parse().ok() };
    (field("from="), Duration::from_millis(field("hold_ms=").unwrap_or(0)))
}

impl Discovery {
    pub fn start(hosts: String) -> Discovery {
        Discovery::beside(hosts, Told::default())
    }

    /// The same, which notes ends with those that another one hears.
    pub fn beside(hosts: String, ended: Told<BTreeSet<String>>) -> Discovery {
        let (down, list) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new((1, hosts))));
        let told: Told<Vec<u64>> = Told::default();
        let (d, l, t) = (down.clone(), list.clone(), told.clone());
        let notices = ended.clone();
        let address = serve_bodies(TcpListener::bind("127.0.0.1:0").unwrap(), move |head, body| {
            if head[0].starts_with("POST") {
                let ids = body.split(|b| *b == b'\n').filter(|line| !line.is_empty()).map(|line| {
                    let notice: serde_json::Value = serde_json::from_slice(line).unwrap();
                    notice["id"].as_str().unwrap().to_string()
                });
                notices.tell(|t| t.extend(ids));
                return Some("HTTP/1.1 204 No Content\r\n\r\n".to_string());
            }
            // A watch ends after its time, with the whole list.
            let (from, hold) = watched(&head[0]);
            let since = Instant::now();
            while from.is_some_and(|from| from >= l.lock().unwrap().0) && since.elapsed() < hold {
                std::thread::sleep(Duration::from_millis(5));
            }
            if d.load(Ordering::SeqCst) {
                t.tell(|t| t.push(SILENT));
                return None;
            }
            let list = l.lock().unwrap().clone();
            t.tell(|t| t.push(list.0));
            Some(ok(&whole(&list)))
        });
        Discovery { address, down, list, told, ended }
    }

    /// The list from now on.
    pub fn list(&self, hosts: &str) {
        self.list.lock().unwrap().1 = hosts.to_string();
    }

    /// The next version of the list.
    pub fn next(&self, hosts: &str) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, hosts.to_string());
    }

    /// From now on the one hop has left and the other is there.
    pub fn replace(&self, old: SocketAddr, new: SocketAddr) {
        let hosts = format!("{},{}", entry("old", old, "left"), entry("new", new, "active"));
        *self.list.lock().unwrap() = (2, hosts);
    }

    /// Another answer behind a list proves that the list was taken in: only then is the next question asked.
    pub fn asked_again(&self) {
        self.told.tell(Vec::clear);
        assert!(self.told.until(ANSWERED, |t| !t.is_empty()).is_some());
    }
}

pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("basaltloom-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

pub fn post(id: &str, body: usize, more: &str) -> String {
    let body = "x".repeat(body);
    format!(
        "POST /notice HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 20000m\r\nX-Consignee: dest=1\r\n{more}\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The status of an answer without a body; none at an end or a reset.
pub fn status(stream: &mut TcpStream) -> Option<u16> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    std::str::from_utf8(&head[9..12]).ok()?.parse().ok()
}

/// A message of a class, for destination 1, by its id; where it has a part like `@key`, that is its key.
pub fn message(class: &str, id: &str) -> String {
    message_within(class, id, 20_000)
}

/// The same, to be delivered within so many milliseconds.
pub fn message_within(class: &str, id: &str, millis: u64) -> String {
    let key = id.split_once('@').map_or(String::new(), |(_, key)| format!("?thread={key}"));
    format!(
        "POST /{class}{key} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: {millis}m\r\nX-Consignee: dest=1\r\n\
         Idempotency-Key: {id}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// The seeds of a soak: `BASALTLOOM_SOAK_SEEDS=FROM..TO` names others than these.
pub fn soak_seeds(usual: Range<u64>) -> Range<u64> {
    let named = std::env::var("BASALTLOOM_SOAK_SEEDS").ok();
    let named = named.as_deref().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    named.unwrap_or(usual)
}

/// Plays the seeds of a soak, so many at a time; what each run that broke something has to say. A run that fails has broken
/// something, too.
pub fn play_seeds(
    usual: Range<u64>,
    side_by_side: usize,
    run: impl Fn(u64) -> Vec<String> + Clone + Send + 'static,
) -> Vec<(u64, Vec<String>)> {
    let seeds: Vec<u64> = soak_seeds(usual).collect();
    let mut broken = Vec::new();
    for some in seeds.chunks(side_by_side) {
        let start = |seed: u64| {
            let run = run.clone();
            (seed, spawn(move || run(seed)))
        };
        let runs: Vec<_> = some.iter().copied().map(start).collect();
        for (seed, run) in runs {
            let violations = run.join().unwrap_or_else(|_| vec!["the run failed".to_string()]);
            broken.extend((!violations.is_empty()).then_some((seed, violations)));
        }
    }
    println!("{} of {} seeds broken", broken.len(), seeds.len());
    broken
}
