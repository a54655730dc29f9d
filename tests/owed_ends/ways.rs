//! Ways to the platform that are slow, and a folder that is.

use crate::agent::Way;
use crate::rig::{told_over, Handed, Outcome, Rig};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Tries for one end at most, of all that may be needed on the worst of these ways.
const TOLD_MOST: u32 = 12;
/// Connections to the agent at once at most: the descriptors that the program keeps for them.
const OPEN_MOST: usize = 16;

/// Each of these, at the same time: none is late, and none is told without bound.
fn all_in_time(ways: &[Way]) {
    let runs: Vec<_> = ways
        .iter()
        .map(|way| {
            (
                *way,
                spawn({
                    let way = *way;
                    move || told_over(way, 1)
                }),
            )
        })
        .collect();
    let outcomes: Vec<(Way, Outcome)> =
        runs.into_iter().map(|(way, run)| (way, run.join().unwrap())).collect();
    for (way, outcome) in outcomes {
        assert_eq!((outcome.late, outcome.never, outcome.unanswered), (0, 0, 0), "{way:?}: {outcome:?}");
        assert!(outcome.taken >= 200, "{way:?}: {outcome:?}");
        assert!(outcome.most_told <= TOLD_MOST && outcome.most_open <= OPEN_MOST, "{way:?}: {outcome:?}");
    }
}

/// Guards ends from a bound on each try that the way is slower than: none came ever.
#[test]
fn ends_come_in_time_where_connections_come_up_late() {
    all_in_time(&[Way::late(120), Way::late(300)]);
    all_in_time(&[Way::late(600), Way::between(0, 500)]);
}

/// Guards ends from a way that is late by chance: they waited for seconds, and went out together.
#[test]
fn ends_come_in_time_where_connections_come_up_late_at_random() {
    all_in_time(&[Way::between(0, 1_000)]);
}

/// Guards ends behind others that are not acknowledged yet: the first 200 were told again and again, the others never.
#[test]
fn ends_that_are_not_acknowledged_hold_up_no_others() {
    let answers = |millis| Way { answer_after: Duration::from_millis(millis), ..Way::default() };
    all_in_time(&[answers(300), answers(2_000)]);
}

/// Guards ends from connections that say nothing, are closed or refused, and answers that are lost.
#[test]
fn ends_come_in_time_where_connections_fail() {
    let half = 0.5;
    all_in_time(&[Way { silent: half, ..Way::default() }, Way { unanswered: half, ..Way::default() }]);
    all_in_time(&[Way { closed: half, ..Way::default() }, Way { refused: half, ..Way::default() }]);
}

/// Guards ends from a way on which few bytes pass in a second.
#[test]
fn ends_come_in_time_where_few_bytes_pass() {
    all_in_time(&[Way { rate: 2_000, ..Way::default() }]);
}

/// Guards a burst of ends from answers that are late: what stood behind the first request was never told.
#[test]
fn a_burst_of_ends_comes_in_time_where_answers_are_late() {
    let rig = Rig::start(1);
    rig.agent.way(Way { answer_after: Duration::from_millis(150), ..Way::default() });
    let handed = rig.hand_in(2_000, Duration::from_millis(10));
    let outcome = rig.outcome(&handed, Duration::from_secs(4));
    println!("{outcome:?}");
    assert!(outcome.taken >= 1_900, "{outcome:?}");
    assert_eq!((outcome.late, outcome.never), (0, 0), "{outcome:?}");
}

/// What comes of messages that are handed in while each write of the folder takes so long, from the third to the eighth second.
fn told_beside(write: Duration) -> Outcome {
    let rig = Rig::start(1);
    let handing = spawn({
        let relay = rig.platform.address;
        move || crate::rig::hand_in(relay, "m", 240, Duration::from_secs(8))
    });
    sleep(Duration::from_secs(3));
    rig.folder.each_write(write);
    sleep(Duration::from_secs(5));
    rig.folder.each_write(Duration::ZERO);
    let handed: Handed = handing.join().unwrap();
    let outcome = rig.outcome(&handed, Duration::from_secs(4));
    println!("{write:?}: {outcome:?}");
    outcome
}

/// Guards every deadline of the process from writes that are slow: they stopped the event loop.
#[test]
fn ends_come_in_time_where_writes_of_the_folder_are_slow() {
    for millis in [20, 100] {
        let outcome = told_beside(Duration::from_millis(millis));
        assert_eq!((outcome.late, outcome.never, outcome.unanswered), (0, 0, 0), "{millis} ms: {outcome:?}");
        assert!(outcome.taken >= 100, "{millis} ms: {outcome:?}");
    }
}

/// Guards lists from a bound on each question that discovery is slower than: none was ever taken.
#[test]
fn a_list_is_taken_however_late_it_is_answered() {
    let rig = Rig::start(1);
    rig.agent.way(Way { list_after: Duration::from_secs(2), ..Way::default() });
    sleep(Duration::from_secs(2));
    let (address, served) = crate::stand_ins::hop("127.0.0.1:0");
    rig.agent.next_list("new", address);
    sleep(Duration::from_secs(6));
    let request = crate::stand_ins::message_within("status", "behind-the-list", 3_000);
    assert_eq!(rig.platform.ask(&request), Some(202));
    assert!(served.until(Duration::from_secs(3), |served| served.contains_key("behind-the-list")).is_some());
}

/// Guards every deadline of the process from a log that nobody reads: once its pipe was full the event loop stood still.
#[test]
fn a_log_that_nobody_reads_holds_nothing_up() {
    let rig = Rig::start_unread(1);
    let handed = rig.hand_in(600, Duration::from_secs(2));
    let outcome = rig.outcome(&handed, Duration::from_secs(3));
    println!("{outcome:?}");
    assert_eq!((outcome.late, outcome.never, outcome.unanswered), (0, 0, 0), "{outcome:?}");
    assert!(outcome.taken >= 500, "{outcome:?}");
}
