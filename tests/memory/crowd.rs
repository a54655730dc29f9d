//! Clients that hold much and ask little: they write a byte now and then, stop half way, or send heads of many fields.

use crate::stand_ins::message_within;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Bytes of a body as long as the platform allows.
pub const LONGEST_BODY: usize = 65_536;
/// Threads that a crowd's connections are spread over.
const THREADS: usize = 6;
/// A connection that could not be opened is tried again after this time.
const OPEN_AGAIN: Duration = Duration::from_millis(20);

/// What each client of a crowd does, over and over.
#[derive(Clone, Copy, Debug)]
pub enum Habit {
    /// So many good messages, then a long body in pieces of so many bytes, with a pause between two of them.
    Drips { good: usize, piece: usize, pause: Duration },
    /// A long body that stops half way.
    StopsHalfWay,
    /// A head of so many fields of so many bytes, and a long body behind it in one write but for its last byte.
    ManyFields { fields: usize, bytes: usize },
    /// Whole messages with a long body, each as soon as the one before has its answer.
    Long,
    /// Whole small messages, written without waiting for answers, which are not read.
    Unread,
    /// The same, with the answers read: as fast as the relay takes them.
    FullSpeed { class: &'static str },
}

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An id that no message had.
pub fn fresh_id(prefix: &str) -> String {
    format!("{prefix}{}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// The head of a request with a body of this length.
pub fn head(class: &str, id: &str, more: &str, length: usize) -> String {
    format!(
        "POST /{class} HTTP/1.1\r\nHost: x\r\nX-Request-ID: {id}\r\nX-Timeout: 8000m\r\nX-Consignee: dest=1\r\n\
         Idempotency-Key: {id}\r\n{more}Content-Length: {length}\r\n\r\n"
    )
}

/// What a client has to write at once, one part after another.
struct Script {
    parts: Vec<Vec<u8>>,
    pause: Duration,
}

impl Habit {
    fn script(self) -> Script {
        let id = fresh_id("crowd");
        let long = || head("status", &id, "", LONGEST_BODY).into_bytes();
        let (parts, pause) = match self {
            Habit::Drips { good, piece, pause } => {
                let mut first: Vec<u8> = (0..good)
                    .flat_map(|_| message_within("status", &fresh_id("good"), 8_000).into_bytes())
                    .collect();
                first.extend(long());
                let pieces = vec![vec![b'x'; piece]; LONGEST_BODY / piece];
                ([first].into_iter().chain(pieces).collect(), pause)
            }
            Habit::StopsHalfWay => {
                let half = [long(), vec![b'x'; LONGEST_BODY / 2]].concat();
                (vec![half], Duration::from_millis(50))
            }
            Habit::ManyFields { fields, bytes } => {
                let more: String =
                    (0..fields).map(|n| format!("x{n:03}: {}\r\n", "v".repeat(bytes.max(7) - 7))).collect();
                let head = head("status", &id, &more, LONGEST_BODY).into_bytes();
                (vec![[head, vec![b'x'; LONGEST_BODY - 1]].concat()], Duration::from_millis(50))
            }
            Habit::Long => (vec![[long(), vec![b'x'; LONGEST_BODY]].concat()], Duration::from_millis(20)),
            Habit::Unread | Habit::FullSpeed { .. } => {
                let class = if let Habit::FullSpeed { class } = self { class } else { "status" };
                let many: String = (0..50).map(|_| message_within(class, &fresh_id("many"), 8_000)).collect();
                (vec![many.into_bytes()], Duration::ZERO)
            }
        };
        Script { parts, pause }
    }

    fn reads(self) -> bool {
        !matches!(self, Habit::Unread)
    }

    /// Whether a client says something more once all is written and answered.
    fn goes_on(self) -> bool {
        matches!(self, Habit::Long | Habit::Unread | Habit::FullSpeed { .. })
    }

    /// Whether it waits for an answer before that.
    fn waits(self) -> bool {
        matches!(self, Habit::Long)
    }
}

/// One connection of a crowd.
struct Client {
    stream: Option<TcpStream>,
    script: Script,
    part: usize,
    at: usize,
    due: Instant,
}

impl Client {
    fn new(habit: Habit) -> Client {
        Client { stream: None, script: habit.script(), part: 0, at: 0, due: Instant::now() }
    }

    fn begin_anew(&mut self, habit: Habit, after: Duration) {
        (self.script, self.part, self.at) = (habit.script(), 0, 0);
        self.due = Instant::now() + after;
    }

    /// Does what is due.
    fn step(&mut self, to: SocketAddr, habit: Habit) {
        if self.due > Instant::now() {
            return;
        }
        let Some(stream) = &mut self.stream else {
            self.stream = TcpStream::connect_timeout(&to, Duration::from_millis(200)).ok();
            match &self.stream {
                Some(stream) => {
                    stream.set_nodelay(true).ok();
                    stream.set_nonblocking(true).unwrap();
                }
                None => self.due = Instant::now() + OPEN_AGAIN,
            }
            return;
        };
        let mut answer = [0; 4_096];
        let read = if habit.reads() { stream.read(&mut answer) } else { Err(ErrorKind::WouldBlock.into()) };
        let is_over = match &read {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != ErrorKind::WouldBlock,
        };
        let answered = matches!(read, Ok(n) if n > 0);
        let broke = is_over || !self.write();
        if broke {
            self.stream = None;
            self.begin_anew(habit, Duration::ZERO);
        } else if self.part >= self.script.parts.len() && habit.goes_on() && (answered || !habit.waits()) {
            let pause = self.script.pause;
            self.begin_anew(habit, pause);
        }
    }

    /// Writes what is due; false where nothing can be written any more.
    fn write(&mut self) -> bool {
        let (Some(stream), Some(part)) = (&mut self.stream, self.script.parts.get(self.part)) else {
            return true;
        };
        match stream.write(&part[self.at..]) {
            Ok(n) => self.at += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(_) => return false,
        }
        if self.at >= part.len() {
            (self.part, self.at) = (self.part + 1, 0);
            self.due = Instant::now() + self.script.pause;
        }
        true
    }
}

/// Clients that all have one habit.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// So many clients of a relay.
    pub fn start(count: usize, to: SocketAddr, habit: Habit) -> Crowd {
        let stop = Arc::new(AtomicBool::new(false));
        let serve = |n: usize| {
            let stop = stop.clone();
            spawn(move || {
                let mut clients: Vec<Client> = (0..n).map(|_| Client::new(habit)).collect();
                while !stop.load(Ordering::Relaxed) {
                    clients.iter_mut().for_each(|client| client.step(to, habit));
                    sleep(Duration::from_micros(300));
                }
            })
        };
        let threads = (0..THREADS).map(|_| serve(count.div_ceil(THREADS))).collect();
        Crowd { stop, threads }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// A client waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// Between two messages of it.
const PAUSE: Duration = Duration::from_millis(20);

/// What a client saw that asks little, on one connection as long as that is open.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    pub taken: usize,
    pub refused: usize,
    /// No answer in time, or another one than these.
    pub failed: Vec<String>,
    pub slowest: Duration,
}

/// A client that hands in a small message every 20 ms, from an address of its own.
pub struct Modest {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl Modest {
    pub fn start(to: SocketAddr) -> Modest {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = spawn(move || {
            let (mut answers, mut stream) = (Answers::default(), None);
            while !stopped.load(Ordering::Relaxed) {
                ask(to, &mut stream, &mut answers);
                sleep(PAUSE);
            }
            answers
        });
        Modest { stop, thread }
    }

    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

/// The address of a client that asks little: nobody else's.
const MODEST_ADDRESS: Ipv4Addr = Ipv4Addr::new(127, 0, 9, 1);

fn connect(to: SocketAddr) -> Option<TcpStream> {
    use rustix::net::{bind, connect, socket, AddressFamily, SocketAddrV4, SocketType};
    let SocketAddr::V4(to) = to else { return None };
    let fd = socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    bind(&fd, &SocketAddrV4::new(MODEST_ADDRESS, 0)).ok()?;
    connect(&fd, &to).ok()?;
    let stream = TcpStream::from(fd);
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

/// Hands one message in; once more on a new connection where the one that was open ends under it.
fn ask(to: SocketAddr, kept: &mut Option<TcpStream>, answers: &mut Answers) {
    let id = fresh_id("modest");
    let from = Instant::now();
    for is_new in [false, true] {
        let stream = if is_new { connect(to) } else { kept.take() };
        let Some(mut stream) = stream else { continue };
        let written = stream.write_all(message_within("status", &id, 8_000).as_bytes());
        let status = written.ok().and_then(|()| crate::stand_ins::status(&mut stream));
        let took = from.elapsed();
        if status.is_none() && !is_new && took < PATIENCE {
            continue;
        }
        answers.slowest = answers.slowest.max(took);
        match status {
            Some(202) if took <= PATIENCE => answers.taken += 1,
            Some(429 | 503) if took <= PATIENCE => answers.refused += 1,
            other => answers.failed.push(format!("{id}: {other:?} after {took:?}, connection new: {is_new}")),
        }
        if status.is_some() {
            *kept = Some(stream);
        }
        return;
    }
    answers.failed.push(format!("{id}: no connection"));
}
