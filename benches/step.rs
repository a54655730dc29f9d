//! What a step of the module costs, by how many destinations and held messages there are: `cargo bench --bench step`.
//! `cargo bench --bench step -- digest [SEEDS]` prints instead what the module decided over seeded random days, as one
//! number a seed: two versions that decide alike print the same. With STEP_TRACE set, each decision as well.

#[path = "step/days.rs"]
mod days;
#[path = "../tests/fixture/mod.rs"]
mod fixture;

use basaltloom::*;
use criterion::{BenchmarkId, Criterion, Throughput};
use fixture::class;
use std::hint::black_box;
use std::time::Duration;

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
const SIZES: [u64; 4] = [10, 1_000, 10_000, 100_000];
const SLOTS: usize = 64;

fn settings(held: usize) -> Settings {
    Settings {
        slots: SLOTS,
        max_held: held * 2 + 1_000,
        may_cancel: false,
        classes: vec![Class { deadline: 30_000 * SEC, ..class(Repeat::Safe) }],
        ..fixture::settings()
    }
}

/// A relay with its clock and the attempts that are out, oldest first.
struct World {
    relay: Relay,
    now: u64,
    next: u64,
    out: std::collections::VecDeque<(u64, u64, u32)>,
    attempts: std::collections::HashMap<u64, (u64, u32)>,
}

impl World {
    fn new(dests: u64, held: u64) -> World {
        let mut relay = Relay::new(settings(held as usize), 1);
        let entry = |d: u64| Entry {
            host: d as HostId,
            dest: d,
            kind: 0,
            zone: 0,
            state: Listing::Ready,
            scale: 1.0,
        };
        let entries = (0..dests).map(entry).collect();
        relay.step(SEC, &[Event::Listed { whole: true, entries }]);
        World { relay, now: SEC, next: 0, out: Default::default(), attempts: Default::default() }
    }

    fn take(&mut self, dest: u64) {
        let id = self.next;
        self.next += 1;
        self.attempts.insert(id, (dest, 0));
        self.step(&[Event::Taken { id, class: 0, dest, key: None, time_left: 30_000 * SEC }]);
    }

    fn step(&mut self, events: &[Event]) {
        self.now += MS / 10;
        for action in self.relay.step(self.now, events) {
            if let Action::Send { id, .. } = action {
                let (dest, attempt) = self.attempts[&id];
                self.attempts.insert(id, (dest, attempt + 1));
                self.out.push_back((id, dest, attempt));
            }
        }
    }

    /// The oldest attempt ends; returns its destination.
    fn end(&mut self, outcome: Outcome) -> Option<u64> {
        let (id, dest, attempt) = self.out.pop_front()?;
        let over = outcome == Outcome::Served;
        if over {
            self.attempts.remove(&id);
        }
        self.step(&[Event::Ended { id, attempt, outcome, latency: 100 * MS, over }]);
        Some(dest)
    }

    /// A message is served and another comes for the same destination.
    fn turn(&mut self) {
        if let Some(dest) = self.end(Outcome::Served) {
            self.take(dest);
        }
    }
}

/// All destinations want to be served: one message of each waits for a slot.
fn all_wait(n: u64) -> World {
    let mut world = World::new(n, n);
    (0..n).chain(0..SLOTS as u64 + 1).for_each(|i| world.take(i % n));
    world
}

/// Ten are busy, the others know nothing to do.
fn most_idle(n: u64) -> World {
    let mut world = World::new(n, 10);
    (0..10 * 10).for_each(|i| world.take(i % 10));
    world
}

/// Ten are busy; a message waits for each of the others, which is down.
fn most_down(n: u64) -> World {
    let mut world = World::new(n, n);
    for dest in 10..n {
        world.take(dest);
        world.end(Outcome::NoConnection);
    }
    while world.end(Outcome::NoConnection).is_some() {}
    (0..10 * 10).for_each(|i| world.take(i % 10));
    world
}

/// One destination holds all messages.
fn one_holds_all(n: u64) -> World {
    let mut world = World::new(1, n);
    (0..n).for_each(|_| world.take(0));
    world
}

type Make = fn(u64) -> World;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if let Some(at) = args.iter().position(|a| a == "digest") {
        let seeds = args.get(at + 1).and_then(|n| n.parse().ok()).unwrap_or(40);
        (1..=seeds).for_each(|seed| println!("{seed} {:016x}", days::digest(seed)));
        return;
    }
    let most: u64 = args.iter().filter_map(|a| a.parse().ok()).next().unwrap_or(u64::MAX);
    let mut criterion = Criterion::default()
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1))
        .sample_size(10);
    let worlds: [(&str, Make); 4] = [
        ("all wait", all_wait),
        ("most idle", most_idle),
        ("most down", most_down),
        ("one holds all", one_holds_all),
    ];
    for (name, make) in worlds {
        let mut group = criterion.benchmark_group(name);
        group.throughput(Throughput::Elements(1));
        for n in SIZES.into_iter().filter(|n| *n <= most) {
            let mut world = make(n);
            group.bench_with_input(BenchmarkId::from_parameter(n), &n, |b, _| {
                b.iter(|| black_box(&mut world).turn());
            });
        }
        group.finish();
    }
    criterion.final_summary();
}
