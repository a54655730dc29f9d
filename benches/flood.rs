//! 50,000 connections from four addresses under 256 descriptors, beside known clients: `cargo bench --bench flood`.
//! Prints what `docs/measurements/admission.md` holds. With a number as argument: so many connections.

#[path = "flood/mod.rs"]
#[allow(dead_code, reason = "the test reloads and reads the log, the bench does not")]
mod flood;

use flood::{Asks, Client, Kind, Rig, CALM, CLIENTS, FLOOD, KINDS, STOP};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn main() {
    // cargo passes `--bench`.
    let connections = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(50_000);
    println!("| flood | connections | opened | s | client | asks | failed | p50 ms | p99 ms | max ms |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut worst = true;
    for (name, kinds, part, at_once) in [
        ("all kinds", &KINDS[..], 1, 600),
        ("all kinds, 2,000 at once", &KINDS[..], 1, 2_000),
        ("silent", &[Kind::Silent], 1, 600),
        ("half heads", &[Kind::HalfHead], 1, 600),
        ("ask and hold", &[Kind::AskAndHold], 1, 600),
        ("junk", &[Kind::Junk], 1, 600),
    ] {
        worst &= one(name, kinds, connections / part, at_once);
    }
    println!(
        "\n{}",
        if worst {
            "all known clients got in at every ask, in time"
        } else {
            "some asks failed or came late"
        }
    );
}

fn one(name: &str, kinds: &[Kind], connections: u64, at_once: u64) -> bool {
    let rig = Arc::new(Rig::start("bench", 256, ""));
    let phase = Arc::new(AtomicUsize::new(CALM));
    let asking = rig.ask(&CLIENTS, &phase);
    std::thread::sleep(Duration::from_secs(3));
    phase.store(FLOOD, Ordering::Relaxed);
    let begun = Instant::now();
    let opened = rig.flood(connections, at_once, kinds);
    let took = begun.elapsed().as_secs_f64();
    phase.store(STOP, Ordering::Relaxed);
    let mut good = true;
    for (client, [calm, asks]) in asking.into_iter().map(|(c, a)| (c, a.join().expect("asks"))) {
        row("none", 0, 0, 3.0, client, &calm);
        row(name, connections, opened, took, client, &asks);
        // The one that opens anew behind the flood's own address is told apart by nothing: shown, not judged.
        good &= calm.failed == 0 && (asks.failed == 0 || client == Client::SharedAnew);
        good &= asks.millis(0.99) <= 2.0 * calm.millis(0.99) + 20.0;
    }
    let peak = rig.peak_kb();
    let rig = Arc::into_inner(rig).expect("nobody else has it");
    let (gone, ends) = rig.end();
    println!("\n{name}: peak memory {peak} kB, ended well: {gone}, {ends:?}\n");
    good && gone && ends.without == 0 && ends.twice == 0
}

fn row(flood: &str, connections: u64, opened: u64, took: f64, client: Client, asks: &Asks) {
    let (all, failed) = (asks.all(), asks.failed);
    let [p50, p99, max] = [0.5, 0.99, 1.0].map(|q| asks.millis(q));
    println!("| {flood} | {connections} | {opened} | {took:.1} | {client:?} | {all} | {failed} {:?} | {p50:.1} | {p99:.1} | {max:.1} |", asks.why);
}
