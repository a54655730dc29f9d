//! What others can make the relay hold, on real processes under a bound on memory. Each picture is that of a crowd or an
//! endpoint on loopback sockets; the kernel's count of the process and the files of its folder together are judged.

mod crowd;
mod endpoint;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use crowd::{Crowd, Habit, Modest};
use endpoint::{endpoint, Answer};
use rig::{Limits, Scene};
use stand_ins::hop;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a crowd stays.
const STAYS: Duration = Duration::from_secs(4);

/// A crowd of clients beside one that asks little.
fn crowded(limits: Limits, endpoint: SocketAddr, count: usize, habit: Habit) {
    let scene = Scene::new(limits, endpoint);
    let mut process = scene.platform.start_ready();
    let modest = Modest::start(scene.platform.address);
    std::thread::sleep(Duration::from_millis(500));
    let crowd = Crowd::start(count, scene.platform.address, habit);
    let most = scene.watch(&[&process], STAYS);
    let answers = modest.stop();
    crowd.stop();
    println!("{} taken, {} refused, slowest {:?}", answers.taken, answers.refused, answers.slowest);
    scene.judge(&mut process, most, &format!("{count} of {habit:?}, {limits:?}"));
    assert!(answers.failed.is_empty(), "{:?}", answers.failed);
    assert!(answers.taken > 50, "{answers:?}");
}

const MILLISECOND: Duration = Duration::from_millis(1);

/// Guards memory from bodies that come a byte at a time: each byte used to hold a read buffer.
#[test]
fn bodies_that_come_a_byte_at_a_time_pass_no_limit() {
    crowded(
        Limits::default(),
        hop("127.0.0.1:0").0,
        900,
        Habit::Drips { good: 0, piece: 1, pause: MILLISECOND },
    );
}

/// The same of clients that count as known.
#[test]
fn bodies_of_known_clients_that_come_a_byte_at_a_time_pass_no_limit() {
    crowded(
        Limits::default(),
        hop("127.0.0.1:0").0,
        900,
        Habit::Drips { good: 2, piece: 1, pause: MILLISECOND },
    );
}

/// The same in larger pieces, with more memory.
#[test]
fn bodies_that_come_in_small_pieces_pass_no_limit() {
    let limits = Limits { memory_mb: 192, ..Limits::default() };
    crowded(limits, hop("127.0.0.1:0").0, 900, Habit::Drips { good: 1, piece: 100, pause: MILLISECOND });
}

/// Guards memory from answers that come a byte at a time.
#[test]
fn answers_that_come_a_byte_at_a_time_pass_no_limit() {
    for chunked in [false, true] {
        let at = endpoint(Answer::DrippedBody { chunked, status: 200 });
        crowded(
            Limits::default(),
            at,
            100,
            Habit::Drips { good: 40, piece: 1, pause: Duration::from_secs(1) },
        );
    }
}

/// Guards memory from messages that are held while their endpoint is silent.
#[test]
fn messages_that_cannot_be_delivered_pass_no_limit() {
    let limits = Limits { max_open: 5_000, disk_mb: 512, ..Limits::default() };
    let scene = Scene::new(limits, endpoint(Answer::Silence));
    let mut process = scene.platform.start_ready();
    let crowd = Crowd::start(60, scene.platform.address, Habit::Long);
    let most = scene.watch(&[&process], STAYS * 2);
    crowd.stop();
    scene.judge(&mut process, most, "long messages that cannot be delivered");
}
