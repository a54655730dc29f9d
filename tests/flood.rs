//! The relay's own program under a flood of connections, its descriptors lowered: a few thousand here, the full size
//! in `benches/flood.rs`.

#[path = "../benches/flood/mod.rs"]
mod flood;

use flood::{Client, Ends, Rig, CALM, CLIENTS, FLOOD, KINDS, STOP};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Guards what the relay owes in a flood of silent, half-said, asking and junk connections under 96 descriptors, with
/// a reload and in the end SIGTERM in its midst: known clients get in at every ask, each message taken has one end,
/// the relay stays up until it is told to end, and the log stays quiet.
#[test]
fn known_clients_get_in_and_all_that_is_taken_ends_once() {
    let rig = Arc::new(Rig::start("test", 96, "admission {\n refuse 503 after 1s\n}\n"));
    let phase = Arc::new(AtomicUsize::new(CALM));
    let asking = rig.ask(&CLIENTS, &phase);
    sleep(Duration::from_millis(500));
    phase.store(FLOOD, Ordering::Relaxed);
    let reloads = {
        let (rig, phase) = (rig.clone(), phase.clone());
        spawn(move || {
            for cap in (10..40).cycle() {
                sleep(Duration::from_millis(150));
                if phase.load(Ordering::Relaxed) == STOP {
                    return;
                }
                rig.operator(&format!("admission {{\n address legs {cap}\n}}\n"));
            }
        })
    };
    let opened = rig.flood(4_000, 300, &KINDS);
    phase.store(STOP, Ordering::Relaxed);
    reloads.join().unwrap();
    for (client, [calm, asks]) in asking.into_iter().map(|(c, a)| (c, a.join().unwrap())) {
        assert_eq!(calm.failed, 0, "{client:?}: {:?}", calm.why);
        assert!(asks.all() > 20, "{client:?} asked {} times", asks.all());
        // Behind the flood's own address only the leg that earned its place is sure of it.
        if client != Client::SharedAnew {
            let log = || rig.log.lock().unwrap().join("\n");
            assert_eq!(asks.failed, 0, "{client:?}: {:?} of {}\n{}", asks.why, asks.all(), log());
        }
    }
    assert!(opened > 3_000, "{opened} connections came up");
    // SIGTERM while the flood goes on.
    let more = {
        let rig = rig.clone();
        spawn(move || rig.flood(1_000, 200, &KINDS))
    };
    sleep(Duration::from_millis(200));
    let lines = rig.log.lock().unwrap().len();
    rig.signal("-TERM");
    more.join().unwrap();
    let rig = Arc::into_inner(rig).expect("nobody else has it");
    let (gone, ends) = rig.end();
    assert!(gone, "it ended by itself and well");
    assert!(ends.taken > 100, "{ends:?}");
    assert_eq!(ends, Ends { without: 0, twice: 0, ..ends }, "each message has one end");
    assert!(lines < 400, "{lines} lines of log");
}
