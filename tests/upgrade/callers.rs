//! Callers that hand messages in all the time, on connections that they keep open.

use crate::stand_ins::{message_within, status, Told};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// A caller waits so long for its answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// Between two messages of one caller, where a test says nothing of it.
const PAUSE: Duration = Duration::from_millis(10);

/// What became of the messages that were handed in, by their ids.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    pub taken: BTreeSet<String>,
    pub refused: BTreeSet<String>,
    /// Written whole on a new connection, and no answer came.
    pub unanswered: BTreeSet<String>,
    /// Sent once more since the connection ended under them before any answer.
    pub crossed: u32,
    pub slowest: Duration,
}

pub struct Callers {
    stop: Arc<AtomicBool>,
    outcomes: Told<Outcomes>,
    threads: Vec<JoinHandle<()>>,
}

/// Callers' messages have this time where a test says nothing of it.
const TIME_MS: u64 = 20_000;

static BATCHES: AtomicU32 = AtomicU32::new(0);

/// What callers hand in.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub class: &'static str,
    /// The time of each message.
    pub time_ms: u64,
    /// Each caller's messages have a key of their own.
    pub in_order: bool,
    /// Between two messages of one caller.
    pub pause: Duration,
}

impl Callers {
    /// So many callers, of messages of one class.
    #[allow(dead_code)]
    pub fn start(count: usize, address: SocketAddr, class: &'static str) -> Callers {
        Callers::start_with(
            count,
            address,
            Traffic { class, time_ms: TIME_MS, in_order: false, pause: PAUSE },
        )
    }

    /// So many callers, of such messages.
    pub fn start_with(count: usize, address: SocketAddr, traffic: Traffic) -> Callers {
        let Traffic { class, time_ms, in_order, pause } = traffic;
        let stop = Arc::new(AtomicBool::new(false));
        let outcomes: Told<Outcomes> = Told::default();
        let batch = BATCHES.fetch_add(1, Ordering::Relaxed);
        let call = |i: usize| {
            let (stop, outcomes) = (stop.clone(), outcomes.clone());
            spawn(move || {
                let mut connection = None;
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let key = if in_order { format!("@key{batch}-{i}") } else { String::new() };
                    let id = format!("{class}{batch}-{i}-{n}{key}");
                    let request = message_within(class, &id, time_ms);
                    hand_in(&mut connection, address, &request, &id, &outcomes);
                    sleep(pause);
                }
            })
        };
        let threads = (0..count).map(call).collect();
        Callers { stop, outcomes, threads }
    }

    pub fn seen(&self) -> Outcomes {
        self.outcomes.tell(|o| o.clone())
    }

    /// Waits until so many messages were taken on.
    #[allow(dead_code)]
    pub fn until_taken(&self, count: usize) {
        let taken = self.outcomes.until(Duration::from_secs(10), |o| o.taken.len() >= count);
        assert!(taken.is_some(), "{:?} taken of {count}", self.seen().taken.len());
    }

    pub fn stop(self) -> Outcomes {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| t.join().unwrap());
        self.outcomes.tell(|o| o.clone())
    }
}

fn open(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}

/// Hands one message in, once more on a new connection where the one that was open ends under it.
fn hand_in(
    kept: &mut Option<TcpStream>,
    address: SocketAddr,
    request: &str,
    id: &str,
    outcomes: &Told<Outcomes>,
) {
    let from = Instant::now();
    for is_new in [false, true] {
        let stream = if is_new { open(address) } else { kept.take() };
        let Some(mut stream) = stream else { continue };
        let written = stream.write_all(request.as_bytes()).is_ok();
        let answer = if written { status(&mut stream) } else { None };
        let took = from.elapsed();
        let over = outcomes.tell(|o| {
            o.slowest = o.slowest.max(took);
            match answer {
                Some(202) => o.taken.insert(id.to_string()),
                Some(429 | 503) => o.refused.insert(id.to_string()),
                // It waited to the end: the connection did not end under it.
                None if !is_new && took < PATIENCE => {
                    o.crossed += 1;
                    return false;
                }
                _ => o.unanswered.insert(id.to_string()),
            };
            true
        });
        if answer.is_some() {
            *kept = Some(stream);
        }
        if over {
            return;
        }
    }
}
