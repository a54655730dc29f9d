//! What others can make the relay hold, on real processes under a bound on memory. Each picture is that of a crowd or an
//! endpoint on loopback sockets; the kernel's count of the process and the files of its folder together are judged.

mod again;
#[path = "../upgrade/callers.rs"]
mod callers;
mod crowd;
mod endpoint;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod rig;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use crowd::{Crowd, Habit, Modest};
use endpoint::{endpoint, Answer};
use rig::{Limits, Scene};
use stand_ins::hop;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a crowd stays.
const STAYS: Duration = Duration::from_secs(4);

/// Crowds take all that the machine has: one at a time.
static TURN: Mutex<()> = Mutex::new(());

fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A crowd of clients beside one that asks little.
fn crowded(limits: Limits, endpoint: SocketAddr, count: usize, habit: Habit) {
    let _turn = turn();
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

/// The same of answers in other forms, with as many calls out as the descriptors allow.
#[test]
fn answers_in_odd_forms_pass_no_limit() {
    let forms = [
        Answer::DrippedBody { chunked: false, status: 500 },
        Answer::Interim,
        Answer::ManyFields,
        Answer::LongBody { status: 500 },
        Answer::LongBody { status: 200 },
    ];
    let limits = Limits { calls_out: 400, ..Limits::default() };
    for form in forms {
        crowded(
            limits,
            endpoint(form),
            100,
            Habit::Drips { good: 40, piece: 1, pause: Duration::from_secs(1) },
        );
    }
}

/// Guards memory from long requests that stop half way, and from heads of many fields with a long body behind them.
#[test]
fn requests_that_stop_half_way_pass_no_limit() {
    let habits = [
        Habit::StopsHalfWay,
        Habit::ManyFields { fields: 90, bytes: 150 },
        Habit::ManyFields { fields: 90, bytes: 8 },
    ];
    for habit in habits {
        crowded(Limits::default(), hop("127.0.0.1:0").0, 900, habit);
    }
}

/// Guards memory, and the answers of others, from clients that write without reading.
#[test]
fn requests_without_end_on_few_connections_pass_no_limit() {
    let limits = Limits { max_open: 20_000, ..Limits::default() };
    crowded(limits, hop("127.0.0.1:0").0, 30, Habit::Unread);
}

/// Guards memory from messages that are held while their endpoint is silent, at once and when they are read back.
#[test]
fn messages_that_cannot_be_delivered_pass_no_limit() {
    let _turn = turn();
    for disk_mb in [3, 512] {
        let limits = Limits { max_open: 50_000, disk_mb, ..Limits::default() };
        let scene = Scene::new(limits, endpoint(Answer::Silence));
        let mut process = scene.platform.start_ready();
        let long = Crowd::start(60, scene.platform.address, Habit::Long);
        let most = scene.watch(&[&process], STAYS);
        scene.judge(&mut process, most, "long messages that cannot be delivered");
        // A series of kills, each start into the crowd.
        for _ in 0..3 {
            process.kill();
            process = scene.platform.start_ready();
            let most = scene.watch(&[&process], STAYS / 4);
            scene.judge(&mut process, most, "the same, read back");
        }
        long.stop();
    }
}

/// Guards the answers of others from one client at full speed, under ever new ids, with and without delivery, and memory from the
/// ids.
#[test]
fn a_client_at_full_speed_keeps_nobody_waiting() {
    let limits = Limits { max_open: 100_000, disk_mb: 64, memory_mb: 192, ..Limits::default() };
    crowded(limits, hop("127.0.0.1:0").0, 6, Habit::FullSpeed { class: "status" });
    crowded(limits, endpoint(Answer::Silence), 6, Habit::FullSpeed { class: "status" });
    crowded(limits, hop("127.0.0.1:0").0, 6, Habit::FullSpeed { class: "unheard-of" });
}

/// Guards the limit, which is one relay's, while another process takes over in the midst of a crowd.
#[test]
fn two_processes_of_an_upgrade_pass_no_limit_together() {
    let habits = [Habit::Drips { good: 2, piece: 100, pause: MILLISECOND }, Habit::Long, Habit::StopsHalfWay];
    let _turn = turn();
    for habit in habits {
        let scene = Scene::inheriting(Limits { disk_mb: 64, ..Limits::default() }, endpoint(Answer::Silence));
        let old = scene.platform.start_ready();
        let crowd = Crowd::start(900, scene.platform.address, habit);
        std::thread::sleep(STAYS / 2);
        let mut new = scene.platform.start_ready();
        let most = scene.watch(&[&old, &new], STAYS / 2);
        old.end();
        crowd.stop();
        scene.judge(&mut new, most, &format!("an upgrade beside {habit:?}"));
    }
}

/// Guards the check itself: a process that takes more than it may says so, and the console has the figures.
#[test]
fn more_memory_than_may_be_is_told_as_a_violation() {
    // Less than any process takes.
    let scene = Scene::new(Limits { memory_mb: 2, ..Limits::default() }, hop("127.0.0.1:0").0);
    let process = scene.platform.start_ready();
    process.says("memory-violation");
    assert_eq!(process.call("GET", "/admin/memory"), Some(200));
    assert_eq!(process.call("POST", "/admin/memory"), Some(405));
}
