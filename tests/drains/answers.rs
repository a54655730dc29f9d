//! Drains whose answers are late or spoilt, or that come with the answers to questions of the silence.

use crate::agent::{Answering, AtReturn};
use crate::rig::{all_within, Rig, LIMIT};
use std::thread::sleep;
use std::time::Duration;

/// Guards drains whatever becomes, at the agent's return, of the questions that came while it was silent.
#[test]
fn a_drain_is_heeded_whatever_becomes_of_the_questions_before() {
    all_within(LIMIT, 4, |relay| {
        let mut rig = Rig::start();
        let at_return = [AtReturn::Answered, AtReturn::Reset][relay % 2];
        rig.agent.fall_silent();
        sleep(Duration::from_millis(2_000 + 400 * relay as u64));
        let turn = rig.turn();
        let told = rig.agent.come_back(at_return, &turn);
        vec![rig.behind(told)]
    });
}

/// Guards drains whose answers are late behind a silence: they are heeded that much later at the most.
#[test]
fn a_drain_that_is_answered_late_is_heeded_once_it_is_answered() {
    let late = Duration::from_millis(600);
    all_within(LIMIT + late, 3, move |relay| {
        let mut rig = Rig::start();
        rig.agent.fall_silent();
        sleep(Duration::from_millis(1_000 + 1_500 * relay as u64));
        rig.agent.answering(Answering { late, ..Answering::default() });
        let turn = rig.turn();
        let told = rig.agent.come_back(AtReturn::Ignored, &turn);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from an answer before it that stops in the middle.
#[test]
fn a_drain_behind_half_an_answer_is_heeded() {
    all_within(LIMIT, 3, |_| {
        let mut rig = Rig::start();
        rig.agent.answering(Answering { half: true, ..Answering::default() });
        // It begins to be answered, and never is to its end.
        rig.agent.change(&[]);
        sleep(Duration::from_millis(50));
        rig.agent.answering(Answering::default());
        let turn = rig.turn();
        let told = rig.agent.change(&turn);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from a time in which connections to the agent are refused.
#[test]
fn a_drain_behind_refused_connections_is_heeded() {
    all_within(LIMIT, 3, |relay| {
        let mut rig = Rig::start();
        rig.agent.fall_silent();
        rig.agent.refuse(true);
        sleep(Duration::from_millis(1_500 + 500 * relay as u64));
        let turn = rig.turn();
        let told = rig.agent.come_back(AtReturn::Reset, &turn);
        rig.agent.refuse(false);
        vec![rig.behind(told)]
    });
}
