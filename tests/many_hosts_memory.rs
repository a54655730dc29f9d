//! What the module takes with a hundred and ninety thousand hosts listed. One test, in a process of its own, since it
//! reads what the whole process takes.

mod fixture;

use basaltloom::*;
use fixture::settings;

const SEC: u64 = 1_000_000_000;
const HOSTS: u32 = 190_000;
const KIB_A_PAGE: u64 = 4;
/// Of a relay's 64 MiB the module may have so many.
const MOST_MIB: u64 = 20;

/// Resident memory of this process, in KiB.
fn resident() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm").expect("the process's own memory");
    pages.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).expect("its resident pages") * KIB_A_PAGE
}

/// Guards the memory of a relay of which most hosts are never called, each the only one of its destination, which takes
/// the most. They are listed in parts, as a list that is read piece by piece.
#[test]
fn a_listed_host_that_is_not_used_takes_little() {
    let mut relay = Relay::new(settings(), 1);
    let part = |from: u32| {
        let entry = |host: u32| Entry {
            host,
            dest: u64::from(host),
            kind: (host % 3) as usize,
            zone: (host % 2) as usize,
            state: Listing::Ready,
            scale: f64::from(host),
        };
        let terms = Terms { most_out: 9, ..Terms::default() };
        let call = CallTerms { messages: 5, ..CallTerms::default() };
        let hosts = from..from + 1_000;
        let mut events = vec![Event::Listed { whole: false, entries: hosts.clone().map(entry).collect() }];
        events.extend(hosts.clone().map(|host| Event::Terms { host, terms }));
        events.extend(hosts.map(|host| Event::Shares { host, call }));
        events
    };
    relay.step(SEC, &[]);
    drop(part(0));
    let before = resident();
    for from in (0..HOSTS).step_by(1_000) {
        relay.step(2 * SEC, &part(from));
    }
    let idle = resident() - before;
    // Intervals, and the same list again: neither makes anything of a host that nothing is sent to.
    for turn in 1..5 {
        for from in (0..HOSTS).step_by(1_000) {
            relay.step(turn * 100 * SEC, &part(from));
        }
    }
    let later = resident() - before;
    println!("{idle} KiB, later {later} KiB: {} bytes a host", later * 1024 / u64::from(HOSTS));
    assert!(relay.knows(HOSTS - 1));
    assert!(idle.max(later) <= MOST_MIB * 1024, "{idle} KiB, later {later} KiB");
}
