//! The stages between a drain and the last call that it forbids, each slow or short by itself.

use crate::rig::{all_within, Endpoint, Rig, Start, LIMIT, SOCKET_SLACK};
use crate::stand_ins::{entry, full_listener};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A question came so shortly before the agent falls silent to it.
const JUST_ASKED: Duration = Duration::from_millis(30);

/// A drain that the agent has right behind a question that it never answers.
fn drain_behind_a_silent_watch(rig: &mut Rig) -> Instant {
    rig.agent.after_a_question(JUST_ASKED);
    rig.agent.mute_open();
    let turn = rig.turn();
    rig.agent.change(&turn)
}

/// Guards a site whose grace is half as long as others': the steps of its questions are made of that.
#[test]
fn a_drain_is_heeded_within_a_short_grace() {
    let grace = Duration::from_millis(500);
    all_within(grace + SOCKET_SLACK, 2, move |_| {
        let mut rig = Rig::start_with(Start { grace, ..Start::default() });
        (0..3)
            .map(|_| {
                let told = drain_behind_a_silent_watch(&mut rig);
                rig.behind(told)
            })
            .collect()
    });
}

/// Guards a drain in a list of 20,000 others.
#[test]
fn a_drain_among_many_endpoints_is_heeded() {
    all_within(LIMIT, 2, |_| {
        let dial = "127.0.0.1:9".parse().unwrap();
        let other = |n: u32| {
            (
                format!("o{n:05}"),
                entry(&format!("o{n:05}"), dial, "active")
                    .replace("\"block\":1", &format!("\"block\":{}", 10 + n)),
            )
        };
        let others = (0..20_000).map(other).collect();
        let mut rig = Rig::start_with(Start { others, ..Start::default() });
        let told = drain_behind_a_silent_watch(&mut rig);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from calls that were picked before it and wait for their records meanwhile.
#[test]
fn a_call_whose_record_is_slow_does_not_go_to_a_draining_endpoint() {
    all_within(LIMIT, 2, |_| {
        let mut rig = Rig::start();
        rig.folder.each_write(Duration::from_millis(1_500));
        sleep(Duration::from_millis(300));
        let turn = rig.turn();
        let told = rig.agent.change(&turn);
        sleep(Duration::from_millis(1_800));
        rig.folder.each_write(Duration::ZERO);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from calls that were picked before it and wait for a connection that comes up late.
#[test]
fn a_call_whose_connection_is_late_does_not_go_to_a_draining_endpoint() {
    all_within(LIMIT, 2, |_| {
        let (listener, held) = full_listener();
        let first = Endpoint::accepting_after("e0", listener, Duration::from_millis(1_800));
        let mut rig = Rig::start_with(Start { first: Some(first), ..Start::default() });
        drop(held);
        let turn = rig.turn();
        let told = rig.agent.change(&turn);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from a crowd of idle clients that leaves few descriptors.
#[test]
fn a_drain_is_heeded_while_descriptors_are_scarce() {
    all_within(LIMIT, 2, |_| {
        let mut rig = Rig::start_with(Start { descriptors: 128, ..Start::default() });
        let _crowd: Vec<_> = (0..150).filter_map(|_| TcpStream::connect(rig.platform.address).ok()).collect();
        sleep(Duration::from_millis(200));
        (0..3)
            .map(|_| {
                let told = drain_behind_a_silent_watch(&mut rig);
                rig.behind(told)
            })
            .collect()
    });
}
