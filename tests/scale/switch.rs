//! The network between relays: each is reached at a socket of the switch, which counts what passes by relay and cuts
//! regions from each other.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use tokio::net::UdpSocket;

/// Zones and regions of the fleet; a zone lies in one region.
pub const ZONES: usize = 23;
pub const REGIONS: usize = 7;

/// Apart from the ports of other tests.
const PORT: u16 = 7_400;
const PER_BLOCK: usize = 250;
const NOT_CUT: usize = usize::MAX;
const LONGEST: usize = 2_048;

/// The zone of a relay.
pub fn zone(relay: usize) -> usize {
    relay % ZONES
}

/// The region of a relay.
pub fn region(relay: usize) -> usize {
    zone(relay) % REGIONS
}

/// Where the relays of one run are, apart from those of other processes.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    net: u8,
}

impl Addresses {
    /// For this process.
    pub fn own() -> Addresses {
        Addresses { net: 128 + 2 * (std::process::id() % 60) as u8 }
    }

    fn at(self, net: u8, relay: usize, port: u16) -> SocketAddr {
        let last = (relay % PER_BLOCK + 1) as u8;
        (Ipv4Addr::new(127, net, (relay / PER_BLOCK) as u8, last), port).into()
    }

    /// Where a relay listens for datagrams.
    pub fn listens(self, relay: usize) -> SocketAddr {
        self.at(self.net, relay, PORT)
    }

    /// Where the others reach it.
    pub fn reached(self, relay: usize) -> SocketAddr {
        self.at(self.net + 1, relay, PORT)
    }

    /// Where it serves clients.
    pub fn serves(self, relay: usize) -> SocketAddr {
        self.at(self.net, relay, PORT + 1)
    }

    fn relay(self, from: SocketAddr) -> Option<usize> {
        let SocketAddr::V4(from) = from else { return None };
        let [127, net, block, last] = from.ip().octets() else { return None };
        (net == self.net).then(|| usize::from(block) * PER_BLOCK + usize::from(last).saturating_sub(1))
    }
}

/// What one relay sent and was sent.
#[derive(Debug, Default)]
struct Count {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    heard_bytes: AtomicU64,
}

/// Datagrams and bytes of some relays so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams: u64,
    pub sent_bytes: u64,
    pub heard_bytes: u64,
}

/// Carries datagrams between relays, on two threads of its own.
pub struct Switch {
    shared: Arc<Shared>,
    _runtime: tokio::runtime::Runtime,
}

struct Shared {
    addresses: Addresses,
    counts: Vec<Count>,
    /// Two regions that hear nothing of each other, as one number.
    cut: AtomicUsize,
}

impl Switch {
    /// For so many relays.
    pub fn start(addresses: Addresses, relays: usize) -> Switch {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).thread_name("scale-switch").enable_all().build();
        let runtime = runtime.expect("a runtime for the switch");
        let counts = (0..relays).map(|_| Count::default()).collect();
        let shared = Arc::new(Shared { addresses, counts, cut: AtomicUsize::new(NOT_CUT) });
        for relay in 0..relays {
            let socket = runtime.block_on(UdpSocket::bind(addresses.reached(relay)));
            let socket = socket.expect("the switch listens");
            runtime.spawn(shared.clone().carry(relay, socket));
        }
        Switch { shared, _runtime: runtime }
    }

    /// Nothing passes between these regions from now on; none: all passes.
    pub fn cut(&self, regions: Option<(usize, usize)>) {
        let number = regions.map_or(NOT_CUT, |(one, other)| one * REGIONS + other);
        self.shared.cut.store(number, Ordering::Relaxed);
    }

    /// What these relays sent and were sent so far.
    pub fn traffic(&self, relays: impl Iterator<Item = usize>) -> Traffic {
        let mut all = Traffic::default();
        for count in relays.map(|relay| &self.shared.counts[relay]) {
            all.datagrams += count.sent.load(Ordering::Relaxed);
            all.sent_bytes += count.sent_bytes.load(Ordering::Relaxed);
            all.heard_bytes += count.heard_bytes.load(Ordering::Relaxed);
        }
        all
    }
}

impl Shared {
    fn is_cut(&self, one: usize, other: usize) -> bool {
        let cut = self.cut.load(Ordering::Relaxed);
        let between = (region(one), region(other));
        cut != NOT_CUT
            && (between == (cut / REGIONS, cut % REGIONS) || between == (cut % REGIONS, cut / REGIONS))
    }

    /// Carries what is sent to one relay.
    async fn carry(self: Arc<Shared>, to: usize, socket: UdpSocket) {
        let mut buffer = [0; LONGEST];
        let listens = self.addresses.listens(to);
        loop {
            // An error tells of a datagram sent earlier that nobody took in.
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
            let Some(from) = self.addresses.relay(from).filter(|from| *from < self.counts.len()) else {
                continue;
            };
            let count = &self.counts[from];
            count.sent.fetch_add(1, Ordering::Relaxed);
            count.sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
            if self.is_cut(from, to) {
                continue;
            }
            self.counts[to].heard_bytes.fetch_add(length as u64, Ordering::Relaxed);
            socket.try_send_to(&buffer[..length], listens).ok();
        }
    }
}
