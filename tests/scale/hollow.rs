//! Hollow relays: the program's own control code without a data path, many in a thread. Each has its own membership (with
//! its socket and its view on disk), its own part in shared limits and its own watch at discovery; the list itself is one
//! for each thread.

use super::hollow_list::{follow, SharedList};
use super::switch::{zone, Addresses};
use basaltloom::fleet::record::id;
use basaltloom::fleet::together::{Peer, Terms as ShareTerms, Together};
use basaltloom::membership::Terms;
use basaltloom::operator::fleet::Fleet;
use basaltloom::program::fleet::{start, Running};
use basaltloom::routing::Clock;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// Names the threads of hollow relays, so that their processor time can be told from that of others.
pub const THREAD: &str = "scale-hollow";
/// Between two turns of shared limits, as the program has it.
const TURNS_EACH: Duration = Duration::from_millis(100);
const SECOND: u64 = 1_000_000_000;

/// What a hollow relay shows of itself.
#[derive(Debug)]
pub struct Progress {
    began: Instant,
    /// Those that it holds to be there, itself included.
    there: AtomicUsize,
    stale: AtomicBool,
    version: AtomicU64,
    /// Versions in force, and since when.
    in_force: Mutex<Vec<(u64, Duration)>>,
}

impl Progress {
    fn new(began: Instant) -> Progress {
        Progress {
            began,
            there: AtomicUsize::new(0),
            stale: AtomicBool::new(true),
            version: AtomicU64::new(0),
            in_force: Mutex::default(),
        }
    }

    /// A version of the list is in force from now on.
    pub fn list_in_force(&self, version: u64) {
        self.version.store(version, Ordering::Relaxed);
        let mut all = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        all.push((version, self.began.elapsed()));
    }

    /// When this version or a later one came into force, since the fleet began.
    pub fn in_force_at(&self, version: u64) -> Option<Duration> {
        let all = self.in_force.lock().unwrap_or_else(PoisonError::into_inner);
        all.iter().find(|(at, _)| *at >= version).map(|(_, when)| *when)
    }

    /// How many it holds to be there, where it acts on that.
    pub fn there(&self) -> Option<usize> {
        (!self.stale.load(Ordering::Relaxed)).then(|| self.there.load(Ordering::Relaxed))
    }
}

/// Where everything is.
#[derive(Clone, Debug)]
pub struct Surroundings {
    pub addresses: Addresses,
    pub discovery: SocketAddr,
    pub relays: usize,
    pub folder: PathBuf,
    pub began: Instant,
    pub seed: u64,
}

impl Surroundings {
    /// The section `fleet` of a relay, as an operator would write it.
    pub fn fleet(&self, relay: usize) -> Fleet {
        Fleet {
            place: None,
            name: "scale".to_string(),
            listen: self.addresses.listens(relay),
            reach: self.addresses.reached(relay),
            room: format!("z{}", zone(relay)),
            join: (0..3).map(|first| self.addresses.reached(first)).collect(),
            deals: true,
            terms: Terms::default(),
        }
    }

    /// A relay's folder.
    pub fn folder_of(&self, relay: usize) -> PathBuf {
        self.folder.join(format!("r{relay}"))
    }
}

enum Order {
    Start { relay: usize, known: Option<u64>, progress: Arc<Progress> },
    Kill { relay: usize },
}

/// Hollow relays on threads.
pub struct HollowRelays {
    surroundings: Surroundings,
    threads: Vec<UnboundedSender<Order>>,
    progress: Vec<Option<Arc<Progress>>>,
}

impl HollowRelays {
    /// Threads for hollow relays; none runs yet.
    pub fn new(surroundings: Surroundings, threads: usize) -> HollowRelays {
        let senders = (0..threads).map(|number| thread(number, surroundings.clone())).collect();
        let progress = vec![None; surroundings.relays];
        HollowRelays { surroundings, threads: senders, progress }
    }

    /// Starts one, which knows the list up to a version already, or not at all.
    pub fn start(&mut self, relay: usize, known: Option<u64>) {
        let progress = Arc::new(Progress::new(self.surroundings.began));
        if let Some(version) = known {
            progress.list_in_force(version);
        }
        self.progress[relay] = Some(progress.clone());
        self.tell(relay, Order::Start { relay, known, progress });
    }

    /// Ends one as a killed process ends: its sockets close, and it says nothing.
    pub fn kill(&mut self, relay: usize) {
        self.progress[relay] = None;
        self.tell(relay, Order::Kill { relay });
    }

    /// What those that run show of themselves.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Arc<Progress>)> {
        self.progress.iter().enumerate().filter_map(|(relay, p)| Some((relay, p.as_ref()?)))
    }

    fn tell(&self, relay: usize, order: Order) {
        self.threads[relay % self.threads.len()].send(order).ok();
    }
}

fn thread(number: usize, surroundings: Surroundings) -> UnboundedSender<Order> {
    let (sender, orders) = unbounded_channel();
    let body = move || {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().build().expect("a runtime for hollow relays");
        LocalSet::new().block_on(&runtime, obey(surroundings, orders));
    };
    let named = std::thread::Builder::new().name(format!("{THREAD}-{number}"));
    named.spawn(body).expect("a thread for hollow relays");
    sender
}

/// Starts and kills until nobody gives orders any more.
async fn obey(surroundings: Surroundings, mut orders: UnboundedReceiver<Order>) {
    let list = Rc::new(SharedList::default());
    let mut running: Vec<Option<JoinHandle<()>>> = (0..surroundings.relays).map(|_| None).collect();
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start { relay, known, progress } => {
                let life = live(surroundings.clone(), relay, known, list.clone(), progress);
                // A set of its own: with it all that the relay has started ends.
                let own = LocalSet::new();
                running[relay] = Some(spawn_local(async move { own.run_until(life).await }));
            }
            Order::Kill { relay } => {
                if let Some(life) = running[relay].take() {
                    life.abort();
                    // Its sockets are closed once it has ended: the next life takes the same addresses.
                    life.await.ok();
                }
            }
        }
    }
}

/// One hollow relay's life.
async fn live(
    surroundings: Surroundings,
    relay: usize,
    known: Option<u64>,
    list: Rc<SharedList>,
    progress: Arc<Progress>,
) {
    let (folder, seed) = (surroundings.folder_of(relay), surroundings.seed ^ ((relay as u64 + 1) << 20));
    std::fs::create_dir_all(&folder).expect("a folder");
    let clock = Clock::system();
    let name = format!("r{relay}");
    let running = start(&surroundings.fleet(relay), &name, &folder, seed, clock).await;
    let running = running.expect("membership starts");
    let (discovery, relays) = (surroundings.discovery, surroundings.relays);
    spawn_local(follow(discovery, relays, seed, known, list, progress.clone()));
    share(running, clock, relays, progress).await;
}

/// Shared limits as the program turns them, with no partner of its own; shows what membership holds.
async fn share(running: Rc<Running>, clock: Clock, relays: usize, progress: Arc<Progress>) {
    let terms = ShareTerms { senders: relays as u32, cold_share: 0.3, warm_up: 9 * SECOND };
    let mut together = Together::new(id(&running.view().me.name), terms, clock.now());
    loop {
        tokio::time::sleep(TURNS_EACH).await;
        let view = running.view();
        let others: Vec<_> = view.others.iter().filter(|m| m.state.there()).collect();
        let peer = |m: &&basaltloom::membership::Seen| (id(&m.name), (m.life.born, m.record.version));
        let peers: Vec<Peer<'_>> = others
            .iter()
            .map(|m| (peer(m), &m.record.bytes))
            .map(|((id, version), record)| Peer { id, version, record })
            .collect();
        together.turn(clock.now(), view.stale.is_some(), &peers, &[]);
        progress.there.store(view.part(), Ordering::Relaxed);
        progress.stale.store(view.stale.is_some(), Ordering::Relaxed);
    }
}
