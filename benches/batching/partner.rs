//! A stand-in partner on a thread of its own, at a pace of its own.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc as queue, OwnedSemaphorePermit, Semaphore};
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::sleep;

/// How a partner works.
#[derive(Clone, Copy)]
pub struct Pace {
    pub name: &'static str,
    /// A call takes so long, and so much longer for each message.
    pub call: Duration,
    pub item: Duration,
    /// Calls that the relay may have out, and that the partner works on at once.
    pub slots: usize,
    /// Connections that it serves at once, each until none of its calls is left; others wait. 0: all.
    pub workers: usize,
    /// It works on the calls of one connection at the same time, and answers them in order.
    pub side_by_side: bool,
    /// Calls a second, above which it refuses; 0: none.
    pub limit: f64,
    /// Share of calls that it works on and then drops with their connection.
    pub breaks: f64,
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub const fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

impl Pace {
    pub const PLAIN: Pace = Pace {
        name: "",
        call: ms(1),
        item: ms(1),
        slots: 1,
        workers: 0,
        side_by_side: false,
        limit: 0.0,
        breaks: 0.0,
    };

    /// Messages a second that it takes one a call, one call a connection, with this share of the slots in use.
    pub fn carries_singly(&self, share: f64) -> f64 {
        let calls = share * self.slots as f64;
        let calls = if self.workers > 0 { calls.min(self.workers as f64) } else { calls };
        let limit = if self.limit > 0.0 { self.limit } else { f64::MAX };
        (calls / (self.call + self.item).as_secs_f64()).min(limit)
    }
}

/// When each message was answered first.
pub type Seen = Arc<Mutex<HashMap<String, Instant>>>;

struct Partner {
    pace: Pace,
    width: Semaphore,
    workers: Arc<Semaphore>,
    dice: RefCell<ChaCha8Rng>,
    /// When the limit's second began, and the calls in it.
    window: RefCell<(Instant, f64)>,
    seen: Seen,
    calls: Arc<Mutex<usize>>,
}

/// One that stays until the process ends; counts the calls that it hears.
pub fn partner(pace: Pace, seed: u64, seen: Seen, calls: Arc<Mutex<usize>>) -> SocketAddr {
    let (told, address) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a loop");
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            told.send(listener.local_addr().expect("an address")).expect("somebody waits");
            let partner = Rc::new(Partner {
                pace,
                width: Semaphore::new(pace.slots),
                workers: Arc::new(Semaphore::new(match pace.workers {
                    0 => Semaphore::MAX_PERMITS,
                    n => n,
                })),
                dice: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
                window: RefCell::new((Instant::now(), 0.0)),
                seen,
                calls,
            });
            while let Ok((stream, _)) = listener.accept().await {
                stream.set_nodelay(true).ok();
                spawn_local(partner.clone().serve(stream));
            }
        });
    });
    address.recv().expect("its address")
}

/// What is written for a call, and the messages that it answers; `None`: the connection drops.
type Answer = Option<(String, Vec<String>)>;

impl Partner {
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let (input, output) = stream.into_split();
        let (work, in_order) = queue::channel::<JoinHandle<Answer>>(64);
        // What was read is still answered; a dropped call ends both, since the relay closes then.
        tokio::join!(self.clone().read(BufReader::new(input), work), self.answer(output, in_order));
    }

    async fn read(
        self: Rc<Self>,
        mut input: BufReader<OwnedReadHalf>,
        work: queue::Sender<JoinHandle<Answer>>,
    ) {
        let one_by_one = Rc::new(Semaphore::new(if self.pace.side_by_side { 64 } else { 1 }));
        let mut served = Weak::<OwnedSemaphorePermit>::new();
        while let Some((batch, ids)) = hear(&mut input).await {
            *self.calls.lock().expect("no panic") += 1;
            let worker = match served.upgrade() {
                Some(worker) => worker,
                None => match self.workers.clone().acquire_owned().await {
                    Ok(worker) => Rc::new(worker),
                    Err(_) => return,
                },
            };
            served = Rc::downgrade(&worker);
            let (this, turn) = (self.clone(), one_by_one.clone());
            let call = async move {
                let _worker = worker;
                let _turn = turn.acquire().await.ok()?;
                this.work(batch, ids).await
            };
            if work.send(spawn_local(call)).await.is_err() {
                return;
            }
        }
    }

    async fn work(&self, batch: bool, ids: Vec<String>) -> Answer {
        if let Some(wait) = self.over_limit() {
            let wait = wait.max(0.001);
            let text = format!("HTTP/1.1 429 X\r\nretry-after: {wait:.3}\r\ncontent-length: 0\r\n\r\n");
            return Some((text, Vec::new()));
        }
        let place = self.width.acquire().await.ok()?;
        sleep(self.pace.call + self.pace.item * ids.len() as u32).await;
        drop(place);
        if f64::from(self.dice.borrow_mut().next_u32()) / f64::from(u32::MAX) < self.pace.breaks {
            return None;
        }
        let ends: String = ids.iter().map(|id| format!("{id} accepted\r\n")).collect();
        let body = if batch { ends } else { String::new() };
        Some((format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()), ids))
    }

    /// For how long it refuses, where the call is one above its limit.
    fn over_limit(&self) -> Option<f64> {
        if self.pace.limit <= 0.0 {
            return None;
        }
        let mut window = self.window.borrow_mut();
        if window.0.elapsed() >= Duration::from_secs(1) {
            *window = (Instant::now(), 0.0);
        }
        window.1 += 1.0;
        (window.1 > self.pace.limit).then(|| 1.0 - window.0.elapsed().as_secs_f64())
    }

    async fn answer(&self, mut output: OwnedWriteHalf, mut in_order: queue::Receiver<JoinHandle<Answer>>) {
        while let Some(call) = in_order.recv().await {
            let Ok(Some((text, ids))) = call.await else { return };
            if output.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            let now = Instant::now();
            let mut seen = self.seen.lock().expect("no panic");
            for id in ids {
                seen.entry(id).or_insert(now);
            }
        }
    }
}

/// One call: whether it is a batch, and its ids.
async fn hear(stream: &mut BufReader<OwnedReadHalf>) -> Option<(bool, Vec<String>)> {
    let (mut line, mut batch, mut length, mut ids) = (String::new(), false, 0, Vec::new());
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let lower = line.to_ascii_lowercase();
        batch |= lower.starts_with("post /hook/batch");
        if let Some(id) = lower.strip_prefix("x-request-id:") {
            ids.push(id.trim().to_string());
        } else if let Some(n) = lower.strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        } else if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let mut rest = &body[..];
    while batch && !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let head = std::str::from_utf8(&rest[..end]).ok()?.trim();
        let mut fields = head.split(' ');
        ids.push(fields.next()?.to_string());
        let len: usize = fields.nth(1)?.parse().ok()?;
        rest = rest.get(end + 1 + len + 2..)?;
    }
    Some((batch, ids))
}
