//! Requests that come once more after their message has had its end: a caller whose connection ended sends them again.

use crate::endpoint::{Copies, Nature};
use crate::finals::{BatchForm, Finals, Form, Says};
use crate::platform::{Terms, TELLS_LIVES};
use crate::rig::Scene;
use crate::stand_ins::message_within;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

const TIME_MS: u64 = 4_000;
const WITHIN: Duration = Duration::from_secs(3);
/// Long enough for a call that should not be.
const CALLED_WITHIN: Duration = Duration::from_millis(300);

/// What happens to the process between the end and the second request.
#[derive(Clone, Copy, Debug)]
enum Between {
    Nothing,
    Kill,
    Upgrade,
}

/// An endpoint that says this of every message.
fn scene(says: Says) -> Scene {
    let finals = Some(Finals { percent: 100, says, form: Form::Whole, batch: BatchForm::Whole });
    let nature = Nature { finals, ..Nature::new(Copies::Never, true, 1) };
    Scene::new(&Terms { operator: TELLS_LIVES, ..Terms::default() }, nature)
}

fn handed_in_again(says: Says, between: Between) {
    let mut scene = scene(says);
    let request = message_within("status", "m1", TIME_MS);
    assert_eq!(scene.platform.ask(&request), Some(202));
    let is_told = |ended: &BTreeSet<String>| ended.contains("m1");
    match says {
        Says::Over => assert!(scene.endpoint.record.until(WITHIN, |r| r.is_over("m1")).is_some()),
        Says::NoMore => assert!(scene.discovery.ended.until(WITHIN, is_told).is_some()),
    }
    sleep(CALLED_WITHIN);
    match between {
        Between::Nothing => {}
        Between::Kill => scene.kill(),
        Between::Upgrade => {
            let next = scene.platform.start_ready();
            std::mem::replace(scene.processes.last_mut().unwrap(), next).end();
        }
    }
    scene.discovery.ended.tell(BTreeSet::clear);
    assert_eq!(scene.platform.ask(&request), Some(202), "{says:?} {between:?}");
    if says == Says::NoMore {
        let told_again = scene.discovery.ended.until(WITHIN, is_told);
        assert!(told_again.is_some(), "{between:?}: whoever asks again is told the end again");
    }
    sleep(CALLED_WITHIN);
    assert_eq!(scene.endpoint.calls.load(Ordering::SeqCst), 1, "{says:?} {between:?}");
    std::fs::remove_dir_all(&scene.platform.dir).ok();
}

/// Guards messages that are over from the same request once more, over a kill and an upgrade too: it is answered as taken on,
/// no call begins, and an end that was told is told again.
#[test]
fn a_request_that_comes_again_after_its_end_begins_no_call() {
    std::thread::scope(|scope| {
        for says in [Says::Over, Says::NoMore] {
            for between in [Between::Nothing, Between::Kill, Between::Upgrade] {
                scope.spawn(move || handed_in_again(says, between));
            }
        }
    });
}
