//! Settings that change while messages are open.

use crate::platform::Process;
use crate::rig::{place_of, Scene, IN_FORCE_WITHIN};
use crate::stand_ins::page_form::{class, set};
use serde_json::Value;
use std::thread::sleep;
use std::time::Duration;

/// The class `status` may not be repeated any more, a message has one attempt, and there is a class that was not there.
fn stricter(document: &mut Value) {
    let place = place_of(document, "status");
    set(document, &format!("/settings/services/{place}/repeat"), "side_effect");
    set(document, "/settings/limits/most_tries", 1);
    document["settings"]["services"].as_array_mut().unwrap().push(class("fresh", "pure"));
}

/// The class `status` is gone.
fn without_status(document: &mut Value) {
    let place = place_of(document, "status");
    document["settings"]["services"].as_array_mut().unwrap().remove(place);
}

/// Two messages of `status` are out at an endpoint that answers neither yet: one will fail once, one be refused once.
fn open_messages() -> (Scene, Process) {
    let scene = Scene::new(false);
    let process = scene.platform.start_ready();
    for id in ["error1", "refuse1"] {
        assert_eq!(scene.hand_in("status", id, 15_000), Some(202));
        scene.endpoint.has_calls(id, 1);
    }
    (scene, process)
}

/// Both are called again and delivered, as the rules say by which they were taken on.
fn are_delivered(scene: &Scene) {
    scene.endpoint.has_calls("error1", 2);
    scene.endpoint.has_calls("refuse1", 2);
    sleep(Duration::from_millis(300));
    assert!(!scene.has_ended("error1") && !scene.has_ended("refuse1"), "given up under other rules");
}

/// Guards clients that use a new class as soon as they may, and those of a class that is gone.
#[test]
fn classes_come_and_go_with_a_good_file() {
    let scene = Scene::new(true);
    let process = scene.platform.start_ready();
    assert_eq!(scene.hand_in("fresh", "m0", 5_000), Some(404));
    scene.reread(&process, &scene.changed(stricter));
    sleep(IN_FORCE_WITHIN);
    assert_eq!(scene.hand_in("fresh", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
    scene.reread(&process, &scene.changed(without_status));
    sleep(IN_FORCE_WITHIN);
    assert_eq!(scene.hand_in("status", "m2", 5_000), Some(404));
    assert_eq!(scene.hand_in("fresh", "m3", 5_000), Some(202));
    scene.endpoint.has_calls("m3", 1);
}

/// Guards open messages from settings that come after them, and newer ones from those that were before.
#[test]
fn open_messages_keep_the_rules_by_which_they_were_taken_on() {
    let (scene, process) = open_messages();
    scene.reread(&process, &scene.changed(stricter));
    scene.endpoint.let_go();
    are_delivered(&scene);
    for id in ["error2", "refuse2"] {
        assert_eq!(scene.hand_in("status", id, 5_000), Some(202));
        scene.ends(id, Duration::from_millis(5_300));
        assert_eq!(scene.endpoint.calls_of(id), 1, "{id} has one attempt");
    }
}

/// Guards open messages of a class that a good file drops.
#[test]
fn open_messages_outlive_their_class() {
    let (scene, process) = open_messages();
    scene.reread(&process, &scene.changed(without_status));
    scene.endpoint.let_go();
    are_delivered(&scene);
}

/// Guards the rules of open messages over a kill: the journal has them.
#[test]
fn open_messages_keep_their_rules_over_a_kill() {
    for change in [stricter, without_status] {
        let (scene, mut process) = open_messages();
        scene.reread(&process, &scene.changed(change));
        process.kill();
        scene.endpoint.let_go();
        let _next = scene.platform.start_ready();
        are_delivered(&scene);
    }
}

/// Guards the rules of open messages where another process takes over, whichever of the two has read the new file.
#[test]
fn open_messages_keep_their_rules_over_a_takeover() {
    for (change, tells_old) in
        [(stricter as fn(&mut Value), true), (stricter, false), (without_status, false)]
    {
        let (scene, old) = open_messages();
        let text = scene.changed(change);
        if tells_old {
            scene.reread(&old, &text);
        }
        scene.platform.write(&text);
        let _new = scene.platform.start_ready();
        scene.endpoint.let_go();
        are_delivered(&scene);
        old.end();
    }
}
