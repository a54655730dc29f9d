//! Configurations that are broken in each way that a file can be.

use crate::breaks::{breaks, texts, Break};
use crate::platform::{free_address, Process};
use crate::rig::Scene;
use crate::stand_ins::entry;
use crate::stand_ins::page_form::set;
use serde_json::Value;
use std::thread::sleep;
use std::time::Duration;

/// New work may go to an endpoint that drains for so long after the relay was told.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Beyond its time, an end is told within this.
const END_SLACK: Duration = Duration::from_millis(300);

/// What lies there, broken in each way, with a discovery at which nobody is.
fn broken_texts(scene: &Scene) -> Vec<String> {
    let good: Value = serde_json::from_str(&scene.changed(|document| {
        set(document, "/discovery", free_address().to_string());
    }))
    .unwrap();
    let broken = |one: &Break| {
        let mut document = good.clone();
        one.make(&mut document);
        document.to_string()
    };
    breaks(&good).iter().map(broken).chain(texts(&good.to_string())).collect()
}

/// Nothing has changed for the relay: it hears that its endpoint drains, and tells the end of a message.
fn goes_on_as_before(scene: &Scene, process: &Process) {
    assert_eq!(process.count_of("event=\"reread\""), 0, "broken files were taken");
    scene.discovery.asked_again();
    scene.discovery.next(&entry("h", scene.endpoint.address, "leaving"));
    sleep(DRAIN_GRACE + Duration::from_millis(200));
    let time = Duration::from_millis(800);
    assert_eq!(scene.hand_in("notice", "after", time.as_millis() as u64), Some(202));
    scene.ends("after", time + END_SLACK);
    assert_eq!(scene.endpoint.calls_of("after"), 0, "called at an endpoint that drains");
}

/// Guards drains and ends of messages from files that are broken and name another discovery (incident 800b21).
#[test]
fn a_broken_file_moves_neither_discovery_nor_notices() {
    let scene = Scene::new(true);
    let process = scene.platform.start_ready();
    let lies_there = scene.platform.document().to_string();
    for text in broken_texts(&scene) {
        scene.reread(&process, &text);
    }
    scene.platform.write(&lies_there);
    assert_eq!(scene.hand_in("notice", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
    goes_on_as_before(&scene, &process);
}
