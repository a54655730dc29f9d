//! Drains told to a process that is killed while discovery is down: the next one starts from an older list.

use crate::agent::AtReturn;
use crate::rig::{all_within, Rig, LIMIT};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Guards a drain that was told before a kill: while discovery is down the next process knew nothing of it, since the list in its
/// configuration is older.
#[test]
fn a_drain_told_before_a_kill_is_heeded_while_discovery_is_down() {
    all_within(LIMIT, 3, |relay| {
        let mut rig = Rig::start();
        let turn = rig.turn();
        rig.agent.change(&turn);
        sleep(Duration::from_millis(300 + 700 * relay as u64));
        rig.agent.fall_silent();
        rig.restart();
        let while_down = rig.behind(Instant::now());
        // Once discovery is back, what it says holds.
        let turn = rig.turn();
        let told = rig.agent.come_back(AtReturn::Ignored, &turn);
        vec![while_down, rig.behind(told)]
    });
}

/// Guards a drain that comes while the process is gone: it counts from the first moment of the next one.
#[test]
fn a_drain_told_between_a_kill_and_the_start_is_heeded() {
    all_within(LIMIT, 3, |_| {
        let mut rig = Rig::start();
        rig.process.kill();
        let turn = rig.turn();
        rig.agent.change(&turn);
        rig.restart();
        vec![rig.behind(Instant::now())]
    });
}
