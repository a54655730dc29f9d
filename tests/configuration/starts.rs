//! Processes that start while a broken configuration lies there, or behind one that was read by SIGHUP.

use crate::platform::Terms;
use crate::rig::Scene;
use crate::stand_ins::page_form::{class, set};
use crate::stand_ins::{entry, Discovery};
use serde_json::{json, Value};
use std::time::Duration;

const BROKEN: [&str; 3] = ["", "{\"name\":", "{}"];

/// A second discovery, and the configuration that names it and has one more class.
fn moved(scene: &Scene) -> (Discovery, String) {
    let discovery = Discovery::start(entry("h", scene.endpoint.address, "active"));
    let text = scene.changed(|document| {
        set(document, "/discovery", discovery.address.to_string());
        document["settings"]["services"].as_array_mut().unwrap().push(class("fresh", "pure"));
    });
    (discovery, text)
}

/// Guards a relay that is killed while a broken file lies there: the next process serves by what was in force.
#[test]
fn a_start_over_a_broken_file_serves_by_the_last_good_one() {
    let scene = Scene::new(true);
    let mut process = scene.platform.start_ready();
    let (discovery, text) = moved(&scene);
    scene.reread(&process, &text);
    let mut zero: Value = serde_json::from_str(&text).unwrap();
    set(&mut zero, "/settings/services/0/deadline", json!(0));
    for (i, broken) in BROKEN.into_iter().map(str::to_string).chain([zero.to_string()]).enumerate() {
        scene.platform.write(&broken);
        process.kill();
        process = scene.platform.start_ready();
        let id = format!("m{i}");
        assert_eq!(scene.hand_in("fresh", &id, 5_000), Some(202), "{broken:?}");
        scene.endpoint.has_calls(&id, 1);
        discovery.asked_again();
    }
}

/// Guards an upgrade that begins while a broken file lies there.
#[test]
fn an_upgrade_over_a_broken_file_serves_by_the_last_good_one() {
    let scene = Scene::new(true);
    let old = scene.platform.start_ready();
    let (discovery, text) = moved(&scene);
    scene.reread(&old, &text);
    scene.platform.write("{");
    let _new = scene.platform.upgrade(old);
    assert_eq!(scene.hand_in("fresh", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
    discovery.asked_again();
}

/// Guards a restart behind a SIGHUP that moved discovery: a variable that still has the address of before does not move it
/// back, one that has another does.
#[test]
fn a_restart_stays_where_a_good_file_has_moved_discovery() {
    let scene = Scene::new(true);
    let start = |variable: String| {
        let process = scene.platform.start_with(|command| command.env("LB_DISCOVERY", variable));
        assert!(process.ready().is_some());
        process
    };
    let first = scene.discovery.address.to_string();
    let mut process = start(first.clone());
    let (second, text) = moved(&scene);
    scene.reread(&process, &text);
    second.asked_again();
    process.kill();
    process = start(first);
    second.asked_again();
    process.kill();
    let third = Discovery::start(entry("h", scene.endpoint.address, "active"));
    process = start(third.address.to_string());
    third.asked_again();
    drop(process);
}

/// Guards a start over an operator's file that is broken: what was in force last is, and the log names all that is wrong.
#[test]
fn a_start_over_a_broken_operators_file_serves_by_the_last_good_one() {
    let terms = Terms { operator: "admission {\n refuse close\n}\n", ..Terms::default() };
    let scene = Scene::with(true, &terms);
    let operator = scene.platform.dir.join("relay.conf");
    let mut process = scene.platform.start_ready();
    process.kill();
    std::fs::write(&operator, "admission {\n refuse never\n legs none\n}\nlog nowhere\n").unwrap();
    process = scene.platform.start_ready();
    process.says("the operator's file is broken, the last good one stays in force");
    assert_eq!(scene.hand_in("notice", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
}

/// Guards a start with nothing good to go by: what was kept is damaged, or there never was anything.
#[test]
fn a_start_without_any_good_file_ends_with_a_clear_error() {
    let scene = Scene::new(true);
    let kept = scene.platform.state().join("relay.config");
    let mut process = scene.platform.start_ready();
    process.kill();
    scene.platform.write("{");
    let whole = std::fs::read(&kept).unwrap();
    for damaged in [whole[..whole.len() / 2].to_vec(), [&whole[..], b"x"].concat(), Vec::new()] {
        std::fs::write(&kept, damaged).unwrap();
        let mut process = scene.platform.start();
        let ended = process.ends_within(Duration::from_secs(5));
        assert!(ended.is_some_and(|status| !status.success()), "{ended:?}");
        process.says("the file is no JSON");
    }
    std::fs::write(&kept, whole).unwrap();
    drop(scene.platform.start_ready());
}

/// Guards the last good file from a folder that takes no writes for a while: it is kept as soon as it does.
#[test]
fn a_file_that_cannot_be_kept_at_once_is_kept_later() {
    let scene = Scene::new(true);
    let mut process = scene.platform.start_ready();
    let copy = scene.platform.state().join("relay.config.new");
    // A folder in its place lets no file be written there.
    std::fs::create_dir(&copy).unwrap();
    let (discovery, text) = moved(&scene);
    scene.reread(&process, &text);
    process.says("cannot be kept yet");
    assert_eq!(scene.hand_in("fresh", "m1", 5_000), Some(202));
    std::fs::remove_dir(&copy).unwrap();
    std::thread::sleep(Duration::from_millis(2_500));
    scene.platform.write("");
    process.kill();
    process = scene.platform.start_ready();
    assert_eq!(scene.hand_in("fresh", "m2", 5_000), Some(202));
    discovery.asked_again();
    drop(process);
}

/// Guards a good operator's file from a section of it that a running process cannot change: all of the file waits for a start.
#[test]
fn an_operators_file_that_needs_a_start_is_refused_whole_until_then() {
    let terms = Terms { operator: "log {\n level info\n}\n", ..Terms::default() };
    let scene = Scene::with(true, &terms);
    let mut process = scene.platform.start_ready();
    let example = std::fs::read_to_string("deploy/relay.conf").unwrap();
    let smpp = &example[example.find("\nsmpp {").unwrap()..];
    std::fs::write(scene.platform.dir.join("relay.conf"), format!("log {{\n level error\n}}\n{smpp}"))
        .unwrap();
    let text = scene.platform.document().to_string();
    scene.reread(&process, &text);
    process.says("section `smpp` differs from what is in force");
    // The level `info` still holds.
    scene.reread(&process, &text);
    assert_eq!(process.count_of("event=\"reread\""), 2);
    process.kill();
}

/// Guards a process that is told to end and has messages open yet: what SIGHUP tells then holds for them.
#[test]
fn a_process_that_ends_still_reads_its_configuration() {
    let scene = Scene::new(false);
    let process = scene.platform.start_ready();
    assert_eq!(scene.hand_in("notice", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
    process.signal(rustix::process::Signal::TERM);
    let (discovery, text) = moved(&scene);
    scene.reread(&process, &text);
    discovery.asked_again();
    scene.endpoint.let_go();
}
