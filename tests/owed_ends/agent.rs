//! A stand-in of the platform's agent behind a way that may be late, silent, slow or lossy: it serves lists and reads notices.

use crate::stand_ins::{entry, ok, request, watched, whole, Told};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{park, sleep, spawn};
use std::time::{Duration, Instant};

/// A connection that says nothing stays so, at most for so long.
const SILENT_FOR: Duration = Duration::from_secs(60);
/// Whether the other side has closed is looked at so often.
const LOOK_EACH: Duration = Duration::from_millis(10);

/// How the way to the agent treats connections from now on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Way {
    /// A connection comes up after a time between these.
    pub up_after: (Duration, Duration),
    /// Each request is passed on after a time between these.
    pub request_after: (Duration, Duration),
    /// Connections come up one after another, each so long behind the one before; zero: at once.
    pub one_by_one: Duration,
    /// The answer to a notice is written so much later.
    pub answer_after: Duration,
    /// The same of the answer to a question for the list.
    pub list_after: Duration,
    /// Parts of the connections that say nothing at all, of requests that are answered 503, of connections that are closed
    /// unread, and of answers that are lost.
    pub silent: f64,
    pub refused: f64,
    pub closed: f64,
    pub unanswered: f64,
    /// Bytes of a request that pass in a second; 0: any.
    pub rate: u64,
}

impl Way {
    pub fn late(millis: u64) -> Way {
        Way::between(millis, millis)
    }

    pub fn between(least: u64, most: u64) -> Way {
        let up_after = (Duration::from_millis(least), Duration::from_millis(most));
        Way { up_after, ..Way::default() }
    }

    /// Each request is passed on between so many milliseconds late.
    pub fn requests_between(least: u64, most: u64) -> Way {
        let request_after = (Duration::from_millis(least), Duration::from_millis(most));
        Way { request_after, ..Way::default() }
    }
}

/// What the agent has read.
#[derive(Clone, Debug, Default)]
pub struct Read {
    /// When the end of each message was read first, and how often.
    pub ends: BTreeMap<String, (Instant, u32)>,
    pub requests: u32,
    /// Connections that their other side closed before they had come up.
    pub given_up: u32,
    /// Versions of lists whose answers were written.
    pub lists: Vec<u64>,
    /// Most connections at once.
    pub most_open: usize,
    open: usize,
}

/// Counts a connection as open until the other side has closed it, whatever it has still to say.
struct Counted(Told<Read>);

impl Counted {
    fn new(read: &Told<Read>) -> Counted {
        read.tell(|read| {
            read.open += 1;
            read.most_open = read.most_open.max(read.open);
        });
        Counted(read.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.tell(|read| read.open -= 1);
    }
}

/// The agent and the way to it.
pub struct Agent {
    pub address: SocketAddr,
    pub read: Told<Read>,
    way: Arc<Mutex<Way>>,
    stopped_until: Arc<Mutex<Instant>>,
    list: Arc<Mutex<(u64, String)>>,
}

#[derive(Clone)]
struct Serving {
    read: Told<Read>,
    way: Arc<Mutex<Way>>,
    stopped_until: Arc<Mutex<Instant>>,
    /// Held while a connection comes up, where they do so one after another.
    turn: Arc<Mutex<()>>,
    list: Arc<Mutex<(u64, String)>>,
    chance: Arc<Mutex<ChaCha8Rng>>,
}

impl Agent {
    pub fn start(hosts: String, seed: u64) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let chance = Arc::new(Mutex::new(ChaCha8Rng::seed_from_u64(seed)));
        let list = Arc::new(Mutex::new((1, hosts)));
        let (stopped_until, turn) = (Arc::new(Mutex::new(Instant::now())), Arc::default());
        let (read, way) = (Told::default(), Arc::default());
        let serving = Serving { read, way, stopped_until, turn, list, chance };
        let agent = Agent {
            address,
            read: serving.read.clone(),
            way: serving.way.clone(),
            stopped_until: serving.stopped_until.clone(),
            list: serving.list.clone(),
        };
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                spawn(move || {
                    let counted = Counted::new(&serving.read);
                    serving.serve(stream, counted);
                });
            }
        });
        agent
    }

    /// Nothing passes for so long.
    pub fn stop_for(&self, time: Duration) {
        *self.stopped_until.lock().unwrap() = Instant::now() + time;
    }

    /// The way from now on, for connections that begin; for requests on those that are open, how late they are passed on.
    pub fn way(&self, way: Way) {
        *self.way.lock().unwrap() = way;
    }

    /// The endpoints that it lists.
    pub fn list_text(&self) -> String {
        self.list.lock().unwrap().1.clone()
    }

    /// The next version of the list: this endpoint alone.
    pub fn next_list(&self, name: &str, dial: SocketAddr) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, entry(name, dial, "active"));
    }
}

impl Serving {
    fn chance(&self) -> f64 {
        f64::from(self.chance.lock().unwrap().next_u32()) / f64::from(u32::MAX)
    }

    fn between(&self, (least, most): (Duration, Duration)) -> Duration {
        least + (most - least).mul_f64(self.chance())
    }

    fn stopped_for(&self) -> Duration {
        self.stopped_until.lock().unwrap().saturating_duration_since(Instant::now())
    }

    /// Whether it was this connection's turn, which has taken so long.
    fn takes_its_turn(&self, time: Duration) -> bool {
        let Ok(_turn) = self.turn.try_lock() else {
            sleep(LOOK_EACH);
            return false;
        };
        sleep(time);
        true
    }

    fn serve(&self, stream: TcpStream, counted: Counted) {
        let mut counted = Some(counted);
        let way = *self.way.lock().unwrap();
        if !way.one_by_one.is_zero() {
            while !self.takes_its_turn(way.one_by_one) {
                counted.take_if(|_| is_closed(&stream));
            }
        }
        if closes_within(&stream, self.between(way.up_after)) {
            self.read.tell(|read| read.given_up += 1);
            return;
        }
        if self.chance() < way.silent {
            closes_within(&stream, SILENT_FOR);
            return;
        }
        if self.chance() < way.closed {
            return;
        }
        let mut output = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Some((head, body)) = request(&mut input) {
            let late = self.way.lock().unwrap().request_after;
            if closes_within(input.get_ref(), self.between(late)) {
                return;
            }
            while !self.stopped_for().is_zero() {
                counted.take_if(|_| is_closed(input.get_ref()));
                sleep(self.stopped_for().min(LOOK_EACH));
            }
            let answered = match head[0].starts_with("POST") {
                true => self.notices(way, &head, &body, input.get_ref()),
                false => self.list(way, &head[0], input.get_ref()),
            };
            let Some(text) = answered else { return };
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn notices(&self, way: Way, head: &[String], body: &[u8], stream: &TcpStream) -> Option<String> {
        let bytes = head.iter().map(String::len).sum::<usize>() + body.len();
        if let Some(millis) = (bytes as u64 * 1_000).checked_div(way.rate) {
            if closes_within(stream, Duration::from_millis(millis)) {
                self.read.tell(|read| read.given_up += 1);
                return None;
            }
        }
        if self.chance() < way.refused {
            return Some("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string());
        }
        let at = Instant::now();
        let ids = body.split(|b| *b == b'\n').filter(|line| !line.is_empty()).map(|line| {
            let notice: serde_json::Value = serde_json::from_slice(line).unwrap();
            notice["id"].as_str().unwrap().to_string()
        });
        self.read.tell(|read| {
            read.requests += 1;
            ids.for_each(|id| read.ends.entry(id).or_insert((at, 0)).1 += 1);
        });
        if self.chance() < way.unanswered {
            closes_within(stream, SILENT_FOR);
            return None;
        }
        if closes_within(stream, way.answer_after) {
            return None;
        }
        Some("HTTP/1.1 204 No Content\r\n\r\n".to_string())
    }

    fn list(&self, way: Way, line: &str, stream: &TcpStream) -> Option<String> {
        let (from, hold) = watched(line);
        let since = Instant::now();
        while from.is_some_and(|from| from >= self.list.lock().unwrap().0) && since.elapsed() < hold {
            sleep(Duration::from_millis(5));
        }
        if closes_within(stream, way.list_after) {
            return None;
        }
        let list = self.list.lock().unwrap().clone();
        self.read.tell(|read| read.lists.push(list.0));
        Some(ok(&whole(&list)))
    }
}

/// Whether the other side has closed, whatever it has sent before.
fn is_closed(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&at_once)).unwrap();
    polled[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Whether the other side closes within so long; else that time has passed.
fn closes_within(stream: &TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || is_closed(stream) {
            return is_closed(stream);
        }
        sleep(left.min(LOOK_EACH));
    }
}

/// An endpoint that takes connections and never says a word.
pub fn silent_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        let _open: Vec<TcpStream> = listener.incoming().flatten().collect();
        park();
    });
    address
}

/// An endpoint that answers so many calls a second, in their order, and has others wait.
pub fn busy_endpoint(rate: f64) -> (SocketAddr, Told<BTreeSet<String>>) {
    let served: Told<BTreeSet<String>> = Told::default();
    let (ids, next) = (served.clone(), Mutex::new(Instant::now()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = crate::stand_ins::serve(listener, move |head| {
        let at = {
            let mut next = next.lock().unwrap();
            *next = (*next).max(Instant::now()) + Duration::from_secs_f64(1.0 / rate);
            *next
        };
        sleep(at.saturating_duration_since(Instant::now()));
        let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap().to_string();
        ids.tell(|ids| ids.insert(id));
        Some(ok(&crate::stand_ins::receipt()))
    });
    (address, served)
}
