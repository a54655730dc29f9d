//! By destinations: the real program as a process, against our stand-in of discovery.

use crate::options::Slopes;
use crate::scale::discovery::Discovery;
use crate::scale::endpoint::EndpointStandIn;
use crate::scale::fit::add_fit;
use crate::scale::list::{ListShape, FIRST_DESTINATION};
use crate::scale::real_relay::{RealRelay, RelayPlan};
use crate::scale::run_file::{Run, Value};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Destinations in two years.
pub const PLANNED: f64 = 190_000.0;
const SIZES: [usize; 6] = [1_000, 3_000, 10_000, 30_000, 50_000, 190_000];
const QUICK: [usize; 3] = [100, 300, 1_000];
/// A list that is not known by then never is.
const KNOWN_WITHIN: Duration = Duration::from_secs(30);
/// A change that is not in force by then never is.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
const CHANGES: usize = 400;
const ADDED: usize = 20;
const MESSAGES: usize = 4_000;
/// A settled relay is looked at for so long, for what it uses when nothing happens.
const IDLE: Duration = Duration::from_secs(4);
/// After the list came, what is left of it in memory has settled.
const SETTLES: Duration = Duration::from_secs(1);

const COLUMNS: [&str; 17] = [
    "entries",
    "list bytes",
    "known after (ms)",
    "CPU until known (ms)",
    "resident (MB)",
    "peak (MB)",
    "CPU a change (ms)",
    "bytes a change",
    "added entry serves, middle (ms)",
    "added entry serves, last (ms)",
    "CPU a message (us)",
    "idle CPU (% of a core)",
    "list never known within (s)",
    "CPU while never known (% of a core)",
    "peak while never known (MB)",
    "bytes fetched",
    "lists fetched",
];

/// Measures all sizes.
pub fn measure(slopes: &Slopes) -> Run {
    let mut run = Run::begin("destinations", &slopes.label, slopes.seed, &COLUMNS);
    run.heed_program(slopes.program.as_deref());
    run.notes.push("One relay, the real program, measured from outside; discovery and all endpoints are stand-ins on loopback. The machine was shared with other work.".to_string());
    run.notes.push("CPU a change: mean over single-entry changes, each told before the next. CPU a message: taken on, delivered to a destination picked by chance, all destinations at one address.".to_string());
    for size in slopes.sizes(&SIZES, &QUICK) {
        measure_size(&mut run, size, slopes);
    }
    for column in [
        "list bytes",
        "known after (ms)",
        "CPU until known (ms)",
        "resident (MB)",
        "peak (MB)",
        "CPU a change (ms)",
        "bytes a change",
        "CPU a message (us)",
    ] {
        add_fit(&mut run, column, "entries", PLANNED);
    }
    run
}

fn measure_size(run: &mut Run, size: usize, slopes: &Slopes) {
    let any: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 0));
    let endpoint = EndpointStandIn::start(any);
    let discovery = Discovery::start(any, &ListShape { entries: size, address: endpoint.address() });
    let list_bytes = discovery.whole_bytes();
    let plan = RelayPlan {
        name: format!("d{size}"),
        listen: free_address(),
        discovery: Some(discovery.address()),
        fleet_size: 1,
        disk_mb: 64,
        operator: String::new(),
        known: None,
    };
    let started = Instant::now();
    let mut relay = RealRelay::start(plan).expect("the program starts");
    let known = relay.until_list_known(KNOWN_WITHIN).map(|_| started.elapsed());
    let after_list = relay.figures();
    let sizes = [("entries", (size as f64).into()), ("list bytes", (list_bytes as f64).into())];
    if known.is_none() {
        let answered = discovery.answered();
        let [entries, bytes] = sizes;
        run.push([
            entries,
            bytes,
            ("list never known within (s)", KNOWN_WITHIN.as_secs_f64().into()),
            (
                "CPU while never known (% of a core)",
                (100.0 * after_list.processor_time.as_secs_f64() / KNOWN_WITHIN.as_secs_f64()).into(),
            ),
            ("peak while never known (MB)", megabytes(after_list.peak_kb)),
            ("bytes fetched", (answered.bytes as f64).into()),
            ("lists fetched", (answered.whole_lists as f64).into()),
        ]);
        return;
    }
    std::thread::sleep(SETTLES);
    let settled = relay.figures();
    let idle = cpu_of(&relay, || std::thread::sleep(IDLE));
    let scale = if slopes.quick { 10 } else { 1 };
    let mut chance = ChaCha8Rng::seed_from_u64(slopes.seed);
    let (cpu_a_change, bytes_a_change) = changes(&relay, &discovery, size, CHANGES / scale, &mut chance);
    let served = added(&mut relay, &discovery, ADDED / scale);
    let cpu_a_message = messages(&mut relay, size, MESSAGES / scale, &mut chance);
    let [entries, bytes] = sizes;
    run.push([
        entries,
        bytes,
        ("known after (ms)", known.map(|took| took.as_secs_f64() * 1e3).into()),
        ("CPU until known (ms)", (after_list.processor_time.as_secs_f64() * 1e3).into()),
        ("resident (MB)", megabytes(settled.resident_kb)),
        ("peak (MB)", megabytes(settled.peak_kb)),
        ("CPU a change (ms)", cpu_a_change.into()),
        ("bytes a change", bytes_a_change.into()),
        ("added entry serves, middle (ms)", served.map(|(middle, _)| middle).into()),
        ("added entry serves, last (ms)", served.map(|(_, last)| last).into()),
        ("CPU a message (us)", cpu_a_message.into()),
        ("idle CPU (% of a core)", (100.0 * idle.as_secs_f64() / IDLE.as_secs_f64()).into()),
    ]);
}

fn megabytes(kb: u64) -> Value {
    (kb as f64 / 1_024.0).into()
}

/// An address that nobody else listens on.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Processor time of the relay while something is done.
fn cpu_of(relay: &RealRelay, done: impl FnOnce()) -> Duration {
    let before = relay.figures().processor_time;
    done();
    relay.figures().processor_time.saturating_sub(before)
}

/// Milliseconds of processor time and bytes sent for one change, each taken in before the next is made. Nothing where the
/// relay falls behind.
fn changes(
    relay: &RealRelay,
    discovery: &Discovery,
    size: usize,
    count: usize,
    chance: &mut ChaCha8Rng,
) -> (Option<f64>, Option<f64>) {
    let bytes = discovery.answered().bytes;
    let mut taken_in = true;
    let spent = cpu_of(relay, || {
        for i in 0..count {
            let place = chance.next_u64() as usize % size;
            let version = discovery.change(place, |entry| entry.share = if i % 2 == 0 { 0.5 } else { 2.0 });
            taken_in = taken_in && discovery.until_confirmed(version, IN_FORCE_WITHIN).is_some();
        }
    });
    let each = |sum: f64| taken_in.then_some(sum / count as f64);
    (each(spent.as_secs_f64() * 1e3), each((discovery.answered().bytes - bytes) as f64))
}

/// Milliseconds from adding an entry until a message to it is taken on: the middle and the longest.
fn added(relay: &mut RealRelay, discovery: &Discovery, count: usize) -> Option<(f64, f64)> {
    let mut took = Vec::new();
    for _ in 0..count.max(1) {
        let destination = FIRST_DESTINATION + discovery.entries() as u64;
        discovery.change(usize::MAX, |_| ());
        took.push(relay.until_served(destination, IN_FORCE_WITHIN)?.as_secs_f64() * 1e3);
    }
    took.sort_unstable_by(f64::total_cmp);
    Some((took[took.len() / 2], *took.last()?))
}

/// Microseconds of processor time for a message that is taken on and delivered.
fn messages(relay: &mut RealRelay, size: usize, count: usize, chance: &mut ChaCha8Rng) -> Option<f64> {
    let before = relay.figures().processor_time;
    let mut taken = 0;
    for _ in 0..count {
        let destination = FIRST_DESTINATION + chance.next_u64() % size as u64;
        taken += usize::from(relay.hand_in(destination).is_ok());
    }
    std::thread::sleep(Duration::from_millis(200));
    let spent = relay.figures().processor_time.saturating_sub(before);
    (taken == count).then(|| spent.as_secs_f64() * 1e6 / count as f64)
}
