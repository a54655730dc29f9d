//! The ways of report f32d61: calls that outlive a message of theirs.

use crate::endpoint::Act;
use crate::platform::Process;
use crate::rig::{Rig, PLAYED, QUICK};
use rustix::process::Signal;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::Duration;

/// How long the endpoint tells to wait, so that what comes meanwhile shares a call.
const TOLD_WAIT: Duration = Duration::from_millis(600);
/// The life of the message that ends while its call is out.
const SHORT_MS: u64 = 2_000;
const LONG_MS: u64 = 20_000;
const DELIVERED_WITHIN: Duration = Duration::from_secs(12);
const AT_ONCE: Act = Act::Accept(Duration::from_millis(20));

/// A relay that has a call out with `first`, `a@k` and `beside`: `a@k` has come to its end, and `b@k` and `c@k`, for another
/// destination, wait for the call.
struct SharedCall {
    rig: Rig,
    process: Process,
}

impl SharedCall {
    /// The shared call meets `act`; `beside` is of this class.
    fn out(act: Act, beside: &'static str) -> SharedCall {
        let calls = AtomicUsize::new(0);
        let played = move |_: &[String]| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => Act::Refuse(TOLD_WAIT),
            1 => act.clone(),
            _ => AT_ONCE,
        };
        let rig = Rig::new(played, |_| AT_ONCE);
        let process = rig.platform.start_ready();
        rig.take("status", "first", PLAYED, LONG_MS);
        sleep(TOLD_WAIT / 4);
        rig.take("update", "a@k", PLAYED, SHORT_MS);
        rig.take(beside, "beside", PLAYED, LONG_MS);
        rig.take("update", "b@k", QUICK, LONG_MS);
        rig.take("update", "c@k", QUICK, LONG_MS);
        rig.until_ended("a@k");
        let call = rig.world.call_of("a@k").expect("a@k was called");
        assert!(call.ids.len() > 1 && call.ended.is_none(), "{call:?} is no shared call that is out");
        assert!(rig.world.call_of("b@k").is_none(), "b@k went before the call with a@k was over");
        SharedCall { rig, process }
    }

    /// Waits until those that waited for the key are delivered, in their turns.
    fn delivers_in_turn(&self, others: &[&Process]) {
        for id in ["b@k", "c@k"] {
            self.rig.until_delivered(id, DELIVERED_WITHIN);
        }
        let mut logs = vec![&self.process];
        logs.extend(others);
        self.rig.kept_order(&logs);
    }
}

/// Guards a key whose message has ended while its call is out: at an upgrade the call goes on, and the key waits for its end.
#[test]
fn a_key_waits_for_the_call_of_an_ended_message_over_an_upgrade() {
    let SharedCall { rig, process } = SharedCall::out(Act::Silent, "status");
    let next = rig.platform.start_ready();
    process.signal(Signal::TERM);
    SharedCall { rig, process }.delivers_in_turn(&[&next]);
}

/// Guards the same over two upgrades, the second of which comes while the first process still ends.
#[test]
fn a_key_waits_for_the_call_of_an_ended_message_over_two_upgrades() {
    let SharedCall { rig, process } = SharedCall::out(Act::Silent, "status");
    let next = rig.platform.start_ready();
    process.signal(Signal::TERM);
    let last = rig.platform.start_ready();
    next.signal(Signal::TERM);
    SharedCall { rig, process }.delivers_in_turn(&[&next, &last]);
}

/// Guards messages that are owed: one that has ended does not take the others of its call with it at an upgrade.
#[test]
fn a_charge_that_shares_a_call_with_an_ended_message_is_delivered_over_an_upgrade() {
    let SharedCall { rig, process } = SharedCall::out(Act::Accept(Duration::from_secs(4)), "notice");
    let next = rig.platform.start_ready();
    process.signal(Signal::TERM);
    rig.until_delivered("beside", DELIVERED_WITHIN);
    let shared = SharedCall { rig, process };
    shared.delivers_in_turn(&[&next]);
    assert!(!shared.rig.discovery.ended.tell(|ended| ended.contains("beside")), "the charge was ended");
}

/// Guards the same where the process that has the call out is killed at once: the call counts as reset then.
#[test]
fn a_key_rests_from_the_kill_of_the_process_before() {
    let SharedCall { rig, mut process } = SharedCall::out(Act::Silent, "status");
    let next = rig.platform.start_ready();
    sleep(Duration::from_millis(60));
    process.kill();
    SharedCall { rig, process }.delivers_in_turn(&[&next]);
}

/// Guards a process that decides again: calls that ended with the process that had taken over, and its own, are rested for.
#[test]
fn a_key_rests_from_the_end_of_its_call_where_the_process_before_decides_again() {
    let shared = SharedCall::out(Act::Silent, "status");
    let mut next = shared.rig.platform.start_ready();
    next.kill();
    shared.delivers_in_turn(&[&next]);
}

/// Guards a process that decides again while one before it, which has the call, says nothing: the key waits for that one.
#[test]
fn a_key_waits_for_the_call_of_a_process_that_does_not_answer() {
    let SharedCall { rig, mut process } = SharedCall::out(Act::Silent, "status");
    let middle = rig.platform.start_ready();
    process.signal(Signal::STOP);
    let mut last = rig.platform.start_ready();
    last.kill();
    middle.says("taken-back");
    sleep(Duration::from_millis(500));
    assert!(rig.world.call_of("b@k").is_none(), "b@k went beside the call with a@k");
    process.kill();
    SharedCall { rig, process }.delivers_in_turn(&[&middle, &last]);
}

/// Guards a call of the process before the last: the one between stays until its end has been passed on.
#[test]
fn a_charge_of_the_process_before_the_last_is_delivered() {
    let SharedCall { rig, process } = SharedCall::out(Act::Accept(Duration::from_secs(4)), "notice");
    let middle = rig.platform.start_ready();
    process.signal(Signal::TERM);
    let last = rig.platform.start_ready();
    middle.signal(Signal::TERM);
    rig.until_delivered("beside", DELIVERED_WITHIN);
    let shared = SharedCall { rig, process };
    shared.delivers_in_turn(&[&middle, &last]);
    assert!(!shared.rig.discovery.ended.tell(|ended| ended.contains("beside")), "the charge was ended");
}

/// Guards the first turn of a start: calls that a killed process had out ended with it, a moment ago.
#[test]
fn a_key_rests_at_a_start_right_behind_a_kill() {
    let SharedCall { rig, mut process } = SharedCall::out(Act::Silent, "status");
    process.kill();
    let next = rig.platform.start_ready();
    SharedCall { rig, process }.delivers_in_turn(&[&next]);
}

/// Guards a rest that a kill falls into: the call had ended, and its message was over.
#[test]
fn a_key_rests_behind_a_call_that_ended_right_before_a_kill() {
    let cut = Act::Cut(Duration::from_millis(200), "HTTP/1.1 4");
    let rig = Rig::new(move |_| cut.clone(), |_| AT_ONCE);
    let mut process = rig.platform.start_ready();
    rig.take("update", "a@k", PLAYED, LONG_MS);
    rig.take("update", "b@k", QUICK, LONG_MS);
    rig.until_ended("a@k");
    // Its record has to be written.
    sleep(Duration::from_millis(15));
    process.kill();
    let next = rig.platform.start_ready();
    rig.until_delivered("b@k", DELIVERED_WITHIN);
    rig.kept_order(&[&process, &next]);
}

/// Guards a call that breaks within its answer: its key rests as behind any reset.
#[test]
fn a_key_rests_behind_an_answer_that_is_cut() {
    for part in ["HTTP/1.1 2", "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\nbeside acc"] {
        SharedCall::out(Act::Cut(Duration::from_millis(2_500), part), "status").delivers_in_turn(&[]);
    }
}
