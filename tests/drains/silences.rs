//! Drains that the agent is given at the end of a silence, or while a question hangs that it will never answer.

use crate::agent::AtReturn;
use crate::rig::{all_within, Rig, LIMIT, RESTARTED_AFTER};
use std::thread::sleep;
use std::time::Duration;

const RELAYS: usize = 3;
/// A question that came so shortly before is not answered any more.
const JUST_ASKED: Duration = Duration::from_millis(30);

/// Guards a drain from a question asked right before discovery returned: the next one came 1.6 s later.
#[test]
fn a_drain_told_right_behind_a_question_in_the_silence_is_heeded() {
    all_within(LIMIT, RELAYS, |_| {
        let mut rig = Rig::start();
        (0..2)
            .map(|_| {
                rig.agent.fall_silent();
                sleep(Duration::from_secs(3));
                rig.agent.after_a_question(JUST_ASKED);
                let turn = rig.turn();
                let told = rig.agent.come_back(AtReturn::Ignored, &turn);
                rig.behind(told)
            })
            .collect()
    });
}

/// Guards the same where the relay is killed and started again while discovery is down, as report 6346ab had it.
#[test]
fn a_drain_told_to_a_relay_that_was_started_in_the_silence_is_heeded() {
    all_within(LIMIT, RELAYS, |_| {
        let mut rig = Rig::start();
        rig.agent.fall_silent();
        sleep(Duration::from_millis(500));
        rig.restart();
        sleep(Duration::from_secs(3) - RESTARTED_AFTER);
        rig.agent.after_a_question(JUST_ASKED);
        let turn = rig.turn();
        let told = rig.agent.come_back(AtReturn::Ignored, &turn);
        vec![rig.behind(told)]
    });
}

/// Guards the second change behind a silence from questions that were dropped for the first one's answer: their ends were
/// waited out, while the second change lay there unread.
#[test]
fn a_second_change_behind_a_silence_is_heeded() {
    all_within(LIMIT, RELAYS, |relay| {
        let mut rig = Rig::start();
        rig.agent.fall_silent();
        sleep(Duration::from_secs(4));
        let told = rig.agent.come_back(AtReturn::Ignored, &[]);
        // By then the first change is in force.
        rig.agent.after_a_question(Duration::from_millis(200 + 100 * relay as u64));
        let turn = rig.turn();
        let told = rig.agent.change(&turn).max(told);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from a watch that fell silent while discovery is up.
#[test]
fn a_drain_told_while_the_open_watch_is_silent_is_heeded() {
    all_within(LIMIT, RELAYS, |_| {
        let mut rig = Rig::start();
        (0..3)
            .map(|_| {
                rig.agent.after_a_question(JUST_ASKED);
                rig.agent.mute_open();
                let turn = rig.turn();
                let told = rig.agent.change(&turn);
                rig.behind(told)
            })
            .collect()
    });
}
