//! Other spans that begin at somebody else's act, heard of late.

use crate::agent::Answering;
use crate::platform::KILLED_AFTER;
use crate::rig::{Endpoint, Rig, Start};
use crate::stand_ins::Told;
use rustix::process::Signal;
use std::net::TcpListener;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A relay may be held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);

/// Guards a planned end from the kill: its time was counted from when the relay heard of the signal.
#[test]
fn a_relay_that_hears_of_its_end_late_has_ended_before_the_kill() {
    // It takes connections and says nothing: calls to it are out to the last.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let first =
        Endpoint { name: "e0".to_string(), address: listener.local_addr().unwrap(), calls: Told::default() };
    let _taken = spawn(move || listener.incoming().flatten().collect::<Vec<_>>());
    let mut rig = Rig::start_with(Start { first: Some(first), ..Start::default() });
    // What is owed to the agent is never acknowledged.
    rig.agent.answering(Answering { ignores_notices: true, ..Answering::default() });
    rig.process.signal(Signal::STOP);
    rig.process.signal(Signal::TERM);
    let told = Instant::now();
    sleep(HELD_UP);
    rig.process.signal(Signal::CONT);
    let ended = rig.process.ends_within(KILLED_AFTER.saturating_sub(told.elapsed()));
    println!("ended after {:?}", told.elapsed());
    assert!(
        ended.is_some_and(|status| status.success()),
        "{:?} behind the signal: {:?}",
        told.elapsed(),
        rig.log()
    );
}
