//! Requests that come again under the id of a message that has had its end: it runs once, whatever came in between.

use crate::crowd::{fresh_id, head, LONGEST_BODY};
use crate::rig::{Limits, Scene};
use crate::stand_ins::{hop, status, Served, ANSWERED};
use std::io::Write;
use std::net::TcpStream;
use std::thread::sleep;
use std::time::Duration;

/// Messages in between, more than were once remembered.
const MANY: usize = 4_000;

/// Hands in a message that may not be repeated.
fn hand_in(stream: &mut TcpStream, id: &str, length: usize) -> Option<u16> {
    let request = [head("notice", id, "", length).into_bytes(), vec![b'x'; length]].concat();
    stream.write_all(&request).ok()?;
    status(stream)
}

/// Hands in that many, each until it is taken on, and waits until all were served.
fn hand_in_many(scene: &Scene, served: &Served, count: usize, length: usize) {
    let mut stream = scene.platform.connect();
    let ids: Vec<String> = (0..count).map(|_| fresh_id("between")).collect();
    for id in &ids {
        while hand_in(&mut stream, id, length) != Some(202) {
            sleep(Duration::from_millis(5));
            stream = scene.platform.connect();
        }
    }
    let all = served.until(ANSWERED, |served| ids.iter().all(|id| served.contains_key(id)));
    assert!(all.is_some(), "not all were served");
}

fn served_once(scene: &Scene, served: &Served, id: &str) {
    assert_eq!(hand_in(&mut scene.platform.connect(), id, 20), Some(202));
    assert!(served.until(ANSWERED, |served| served.contains_key(id)).is_some());
    // Its answer has been read by then.
    sleep(Duration::from_millis(100));
}

fn runs_no_second_time(scene: &Scene, served: &Served, id: &str) {
    let again = hand_in(&mut scene.platform.connect(), id, 20);
    let ran_again = served.until(Duration::from_secs(1), |served| served[id] > 1);
    assert!(ran_again.is_none(), "{id} ran twice");
    assert_eq!(again, Some(202));
}

/// Guards what may not be repeated from ids that are forgotten by their number.
#[test]
fn an_id_runs_once_however_many_came_after_it() {
    let (address, served) = hop("127.0.0.1:0");
    let scene = Scene::new(Limits::default(), address);
    let _process = scene.platform.start_ready();
    served_once(&scene, &served, "first");
    hand_in_many(&scene, &served, MANY, 20);
    runs_no_second_time(&scene, &served, "first");
}

/// Guards the same over a kill, where the journal was copied since.
#[test]
fn an_id_runs_once_over_a_kill_behind_a_copy_of_the_journal() {
    let (address, served) = hop("127.0.0.1:0");
    let scene = Scene::new(Limits::default(), address);
    let mut process = scene.platform.start_ready();
    served_once(&scene, &served, "first");
    hand_in_many(&scene, &served, 60, LONGEST_BODY);
    process.kill();
    let _next = scene.platform.start_ready();
    runs_no_second_time(&scene, &served, "first");
}

/// Guards the same at the process that took over, with many others in between.
#[test]
fn an_id_runs_once_at_the_next_process_of_an_upgrade() {
    let (address, served) = hop("127.0.0.1:0");
    let scene = Scene::inheriting(Limits::default(), address);
    let process = scene.platform.start_ready();
    served_once(&scene, &served, "first");
    hand_in_many(&scene, &served, MANY / 2, 20);
    hand_in_many(&scene, &served, 60, LONGEST_BODY);
    let _next = scene.platform.upgrade(process);
    hand_in_many(&scene, &served, MANY / 2, 20);
    runs_no_second_time(&scene, &served, "first");
}

/// Guards ids of clients that write many requests and leave with all answers unread, and send them once more: to the same
/// process, and to the one that took over.
#[test]
fn requests_of_a_client_that_left_run_once_when_they_come_again() {
    let (address, served) = hop("127.0.0.1:0");
    let scene = Scene::inheriting(Limits::default(), address);
    let process = scene.platform.start_ready();
    let mut ids = Vec::new();
    let mut leave = || {
        let those: Vec<String> = (0..40).map(|_| fresh_id("left")).collect();
        let all: String = those.iter().map(|id| head("notice", id, "", 2) + "hi").collect();
        scene.platform.connect().write_all(all.as_bytes()).unwrap();
        ids.extend(those);
    };
    (0..10).for_each(|_| leave());
    let new = scene.platform.start_ready();
    (0..10).for_each(|_| leave());
    process.end();
    for id in &ids {
        hand_in(&mut scene.platform.connect(), id, 2);
    }
    sleep(Duration::from_secs(2));
    let twice = served.tell(|served| ids.iter().filter(|id| served.get(*id) > Some(&1)).count());
    assert_eq!(twice, 0, "of {}", ids.len());
    drop(new);
}
