//! Our own stand-in of discovery: the whole list, and watches that are told of changes, as the protocol's page says.

use super::http::{listen, Connection};
use super::list::{ListEntry, ListShape};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The longest watch that is held.
const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// The list and its history of changes.
struct State {
    entries: Vec<ListEntry>,
    /// Version and entry of each change, the oldest first.
    changes: Vec<(u64, usize)>,
    version: u64,
    /// The whole list as it was last rendered, with its version.
    rendered: Option<(u64, Arc<Vec<u8>>)>,
}

impl State {
    fn whole(&mut self) -> Arc<Vec<u8>> {
        if let Some((_, body)) = self.rendered.as_ref().filter(|(version, _)| *version == self.version) {
            return body.clone();
        }
        let body = Arc::new(render(self.version, true, self.entries.iter()));
        self.rendered = Some((self.version, body.clone()));
        body
    }

    fn changed_since(&self, version: u64) -> Vec<u8> {
        let first = self.changes.partition_point(|(at, _)| *at <= version);
        let places: BTreeSet<usize> = self.changes[first..].iter().map(|(_, place)| *place).collect();
        render(self.version, false, places.into_iter().map(|place| &self.entries[place]))
    }
}

fn render<'a>(version: u64, whole: bool, entries: impl Iterator<Item = &'a ListEntry>) -> Vec<u8> {
    let entries: Vec<String> = entries.map(ListEntry::json).collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(",")).into_bytes()
}

/// What the stand-in has answered so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answered {
    pub whole_lists: u64,
    pub change_lists: u64,
    pub bytes: u64,
}

struct Shared {
    state: Mutex<State>,
    version: watch::Sender<u64>,
    /// The highest version from which any watch has asked.
    confirmed: watch::Sender<u64>,
    whole_lists: AtomicU64,
    change_lists: AtomicU64,
    bytes: AtomicU64,
}

/// A stand-in that listens, on a thread with a runtime of its own.
pub struct Discovery {
    shared: Arc<Shared>,
    address: SocketAddr,
    runtime: tokio::runtime::Runtime,
}

impl Discovery {
    /// Serves a list of this shape at an address until it is dropped.
    pub fn start(at: SocketAddr, shape: &ListShape) -> Discovery {
        let state = State { entries: shape.entries(), changes: Vec::new(), version: 1, rendered: None };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            version: watch::Sender::new(1),
            confirmed: watch::Sender::new(0),
            whole_lists: AtomicU64::new(0),
            change_lists: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).thread_name(THREAD).enable_all().build();
        let runtime = runtime.expect("a runtime for discovery");
        let listener = runtime.block_on(async { listen(at) }).expect("discovery listens");
        let address = listener.local_addr().expect("an address");
        let serving = shared.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(Connection::new(stream)));
            }
        });
        Discovery { shared, address, runtime }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        *self.shared.version.borrow()
    }

    /// What it has answered so far.
    pub fn answered(&self) -> Answered {
        Answered {
            whole_lists: self.shared.whole_lists.load(Ordering::Relaxed),
            change_lists: self.shared.change_lists.load(Ordering::Relaxed),
            bytes: self.shared.bytes.load(Ordering::Relaxed),
        }
    }

    /// Changes the entry at a place, or adds one at the end; returns the new version.
    pub fn change(&self, place: usize, change: impl FnOnce(&mut ListEntry)) -> u64 {
        let mut state = self.shared.lock();
        if place >= state.entries.len() {
            let (place, like) = (state.entries.len(), state.entries[0].clone());
            state.entries.push(ListEntry { number: place as u64, ..like });
        }
        let place = place.min(state.entries.len() - 1);
        change(&mut state.entries[place]);
        state.version += 1;
        let version = state.version;
        state.changes.push((version, place));
        drop(state);
        self.shared.version.send_replace(version);
        version
    }

    /// Entries now.
    pub fn entries(&self) -> usize {
        self.shared.lock().entries.len()
    }

    /// Bytes of the whole list.
    pub fn whole_bytes(&self) -> usize {
        self.shared.lock().whole().len()
    }

    /// Waits until a watch asks from this version on: what came before has been taken in by whoever asks.
    pub fn until_confirmed(&self, version: u64, most: Duration) -> Option<Duration> {
        let from = Instant::now();
        let mut confirmed = self.shared.confirmed.subscribe();
        self.runtime.block_on(async {
            let reached = confirmed.wait_for(|at| *at >= version);
            tokio::time::timeout(most, reached).await.ok()?.ok().map(|_| ())
        })?;
        Some(from.elapsed())
    }
}

/// Names the thread that answers, so that its processor time can be told from that of others.
pub const THREAD: &str = "scale-discovery";

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn serve(self: Arc<Shared>, mut connection: Connection) {
        while let Some(request) = connection.request().await {
            let sent = match asked_from(&request.target) {
                _ if !request.target.starts_with("/v1/endpoints") => {
                    connection.answer("204 No Content", b"").await
                }
                None => self.answer_whole(&mut connection).await,
                Some((version, hold)) => self.answer_watch(&mut connection, version, hold).await,
            };
            self.bytes.fetch_add(connection.take_written(), Ordering::Relaxed);
            if sent.is_err() {
                return;
            }
        }
    }

    async fn answer_whole(&self, connection: &mut Connection) -> std::io::Result<()> {
        self.whole_lists.fetch_add(1, Ordering::Relaxed);
        let body = self.lock().whole();
        connection.answer("200 OK", &body).await
    }

    async fn answer_watch(
        &self,
        connection: &mut Connection,
        version: u64,
        hold: Duration,
    ) -> std::io::Result<()> {
        self.confirmed.send_if_modified(|at| {
            let higher = version > *at;
            *at = version.max(*at);
            higher
        });
        let mut newer = self.version.subscribe();
        let wait = newer.wait_for(|at| *at > version);
        drop(tokio::time::timeout(hold.min(LONGEST_HOLD), wait).await);
        self.change_lists.fetch_add(1, Ordering::Relaxed);
        let body = self.lock().changed_since(version);
        connection.answer("200 OK", &body).await
    }
}

/// From which version a watch asks, and for how long it may be held.
fn asked_from(target: &str) -> Option<(u64, Duration)> {
    let query = target.split_once('?')?.1;
    let field = |name: &str| {
        let said = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        said.and_then(|value| value.parse::<u64>().ok())
    };
    Some((field("from")?, Duration::from_millis(field("hold_ms").unwrap_or(0))))
}
