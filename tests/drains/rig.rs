//! One relay, two endpoints of one destination that take turns at draining, and clients that send all the time.

use crate::agent::Agent;
use crate::platform::{Platform, Process, Terms};
use crate::slow_folder::SlowFolder;
use crate::stand_ins::{entry, folder, message_within, ok, receipt, request, status, Told};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Every limit is so much longer on sockets.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// The settings' `stop_sending_within`.
pub const GRACE: Duration = Duration::from_secs(1);
/// A call may begin at a draining endpoint so long after the agent has been told.
pub const LIMIT: Duration = GRACE.saturating_add(SOCKET_SLACK);
/// A process that was killed is started again after this time.
pub const RESTARTED_AFTER: Duration = Duration::from_millis(600);
/// How long calls are looked for behind a drain.
const WATCHED_FOR: Duration = Duration::from_millis(3_000);

/// The last lines of a log are shown.
const LOG_LINES: usize = 40;

const CLIENTS: usize = 6;
const SENT_EACH: Duration = Duration::from_millis(25);
const MESSAGE_MS: u64 = 4_000;

/// An endpoint, and when the first byte of each call to it came.
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub calls: Told<Vec<Instant>>,
}

impl Endpoint {
    pub fn start(name: &str) -> Endpoint {
        Endpoint::accepting_after(name, TcpListener::bind("127.0.0.1:0").unwrap(), Duration::ZERO)
    }

    /// One that accepts no connection for so long.
    pub fn accepting_after(name: &str, listener: TcpListener, time: Duration) -> Endpoint {
        let address = listener.local_addr().unwrap();
        let calls: Told<Vec<Instant>> = Told::default();
        let noted = calls.clone();
        spawn(move || {
            sleep(time);
            for stream in listener.incoming().flatten() {
                let noted = noted.clone();
                spawn(move || serve(stream, &noted));
            }
        });
        Endpoint { name: name.to_string(), address, calls }
    }

    /// Its entry in the list.
    pub fn listed(&self, health: &str) -> (String, String) {
        (self.name.clone(), entry(&self.name, self.address, health))
    }

    /// How long behind a moment the last call began that came before another.
    pub fn last_call(&self, from: Instant, until: Instant) -> Duration {
        self.calls.tell(|calls| {
            let later = calls.iter().filter(|at| **at > from && **at < until);
            later.max().map_or(Duration::ZERO, |at| *at - from)
        })
    }
}

fn serve(stream: TcpStream, calls: &Told<Vec<Instant>>) {
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while input.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
        let begun = Instant::now();
        if request(&mut input).is_none() {
            return;
        }
        calls.tell(|calls| calls.push(begun));
        if output.write_all(ok(&receipt()).as_bytes()).is_err() {
            return;
        }
    }
}

/// Clients that send one message after another, on connections that they keep.
struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(relay: SocketAddr) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let client = |client: usize| {
            let stop = stop.clone();
            spawn(move || {
                let mut kept = None;
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    kept = send(relay, kept, &format!("m{client}x{n}"));
                    sleep(SENT_EACH);
                }
            })
        };
        let threads = (0..CLIENTS).map(client).collect();
        Clients { stop, threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|thread| thread.join().unwrap());
    }
}

/// Hands one message in; the connection, where it can be used again.
fn send(relay: SocketAddr, kept: Option<TcpStream>, id: &str) -> Option<TcpStream> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => TcpStream::connect(relay).ok()?,
    };
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
    stream.write_all(message_within("status", id, MESSAGE_MS).as_bytes()).ok()?;
    status(&mut stream).map(|_| stream)
}

/// One relay and what is around it.
pub struct Rig {
    pub agent: Agent,
    pub platform: Platform,
    pub process: Process,
    pub endpoints: [Endpoint; 2],
    /// The one that is not draining.
    pub active: usize,
    /// How slow its lasting folder is.
    pub folder: SlowFolder,
    _clients: Clients,
}

/// What a relay starts with beside the usual.
pub struct Start {
    /// The settings' `stop_sending_within`.
    pub grace: Duration,
    /// Further entries in the list.
    pub others: Vec<(String, String)>,
    pub descriptors: usize,
    /// The endpoint that is active first.
    pub first: Option<Endpoint>,
}

impl Default for Start {
    fn default() -> Start {
        Start { grace: GRACE, others: Vec::new(), descriptors: Terms::default().descriptors, first: None }
    }
}

impl Rig {
    pub fn start() -> Rig {
        Rig::start_with(Start::default())
    }

    pub fn start_with(start: Start) -> Rig {
        let Start { grace, others, descriptors, first } = start;
        let endpoints = [first.unwrap_or_else(|| Endpoint::start("e0")), Endpoint::start("e1")];
        let mut listed = vec![endpoints[0].listed("active"), endpoints[1].listed("leaving")];
        listed.extend(others);
        let agent = Agent::start(&listed);
        let dir = folder();
        let known: Vec<&str> = listed.iter().map(|(_, entry)| entry.as_str()).collect();
        let terms = Terms { descriptors, ..Terms::default() };
        let platform = Platform::new(&dir, &terms, agent.address, &known.join(","));
        let mut document = platform.document();
        document["settings"]["rules"]["stop_sending_within"] = (grace.as_nanos() as u64).into();
        platform.write(&document.to_string());
        let slow = SlowFolder::new(&dir);
        let process = platform.start_with(|command| slow.preload(command));
        assert!(process.ready().is_some(), "{:?}", process.log.tell(|lines| lines.clone()));
        let clients = Clients::start(platform.address);
        sleep(Duration::from_millis(500));
        Rig { agent, platform, process, endpoints, active: 0, folder: slow, _clients: clients }
    }

    /// The entries by which the active endpoint drains and the other one takes over.
    pub fn turn(&mut self) -> [(String, String); 2] {
        let (drains, takes_over) = (self.active, 1 - self.active);
        self.active = takes_over;
        [self.endpoints[drains].listed("leaving"), self.endpoints[takes_over].listed("active")]
    }

    /// How long behind `told` the last call began at the endpoint that drains since then.
    pub fn behind(&self, told: Instant) -> Duration {
        sleep((told + WATCHED_FOR).saturating_duration_since(Instant::now()));
        let drains = &self.endpoints[1 - self.active];
        let takes_over = &self.endpoints[self.active];
        let went_on =
            takes_over.calls.until(Duration::from_secs(3), |calls| calls.iter().any(|at| *at > told));
        assert!(went_on.is_some(), "nothing goes to the other endpoint: {:?}", self.log());
        let behind = drains.last_call(told, Instant::now());
        if behind > LIMIT {
            let lists = self.log().into_iter().filter(|line| line.contains("list-in-force"));
            lists.for_each(|line| println!("{line}"));
        }
        behind
    }

    /// Kills the process and starts the next one.
    pub fn restart(&mut self) {
        self.process.kill();
        sleep(RESTARTED_AFTER);
        self.process = self.platform.start_ready();
    }

    /// The last lines of the log.
    pub fn log(&self) -> Vec<String> {
        self.process.log.tell(|lines| lines.iter().rev().take(LOG_LINES).rev().cloned().collect())
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.process.kill();
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

/// Plays so many relays side by side and checks that none began a call behind its limit.
pub fn all_within(
    limit: Duration,
    relays: usize,
    play: impl Fn(usize) -> Vec<Duration> + Send + Sync + 'static,
) {
    let play = Arc::new(play);
    let plays = (0..relays).map(|relay| {
        let play = play.clone();
        spawn(move || play(relay))
    });
    let behind: Vec<Duration> =
        plays.collect::<Vec<_>>().into_iter().flat_map(|play| play.join().unwrap()).collect();
    let late = behind.iter().filter(|behind| **behind > limit).count();
    println!("{late} of {} drains were heeded too late: {behind:?}", behind.len());
    assert_eq!(late, 0, "calls began behind {limit:?}: {behind:?}");
}
