//! Drains told by an agent that discovery has moved to by SIGHUP.

use crate::agent::{Agent, AtReturn};
use crate::platform::KILLED_AFTER;
use crate::rig::{all_within, Rig, LIMIT};
use rustix::process::Signal;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What an agent has counts as told so long after SIGHUP.
pub const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);

impl Rig {
    /// Moves discovery to an agent that has the same list, with further changes to the configuration.
    pub fn move_to(&mut self, agent: Agent, change: impl FnOnce(&mut serde_json::Value)) {
        let mut document = self.platform.document();
        document["discovery"] = agent.address.to_string().into();
        change(&mut document);
        self.platform.write(&document.to_string());
        self.process.signal(Signal::HUP);
        self.agent = agent;
    }

    /// Another agent with the list as it is.
    pub fn other_agent(&self) -> Agent {
        let listed = |endpoint: usize| {
            let health = if endpoint == self.active { "active" } else { "leaving" };
            self.endpoints[endpoint].listed(health)
        };
        Agent::start(&[listed(0), listed(1)])
    }
}

/// Guards a drain from a watch at the new address that is silent as the drain comes.
#[test]
fn a_drain_told_behind_a_move_while_the_watch_is_silent_is_heeded() {
    all_within(LIMIT, 3, |_| {
        let mut rig = Rig::start();
        let other = rig.other_agent();
        rig.move_to(other, |_| {});
        sleep(TOLD_AFTER_MOVE + Duration::from_millis(100));
        rig.agent.after_a_question(Duration::from_millis(30));
        rig.agent.mute_open();
        let turn = rig.turn();
        let told = rig.agent.change(&turn);
        vec![rig.behind(told)]
    });
}

/// Guards a drain from the version of a discovery that was left: where the same SIGHUP changed what discovery is asked by, the new
/// one was asked for what is newer than that, and what it had said in lower versions was never heard.
#[test]
fn a_drain_in_a_lower_version_of_another_agent_is_heeded() {
    all_within(LIMIT, 3, |_| {
        let mut rig = Rig::start();
        for _ in 0..20 {
            rig.agent.change(&[]);
        }
        rig.agent.after_a_question(Duration::from_millis(30));
        rig.turn();
        let other = rig.other_agent();
        rig.move_to(other, |document| document["settings"]["fleet_size"] = 3.into());
        vec![rig.behind(Instant::now() + TOLD_AFTER_MOVE)]
    });
}

/// How a process ends before the next one starts.
#[derive(Clone, Copy, Debug)]
enum End {
    Killed,
    Told,
    /// Another takes over, and is killed.
    TakenOver,
}

impl Rig {
    /// Ends the process, and has the next one serve.
    fn end(&mut self, end: End) {
        match end {
            End::Killed => self.restart(),
            End::Told => {
                self.process.signal(Signal::TERM);
                self.process.ends_within(KILLED_AFTER);
                self.restart();
            }
            End::TakenOver => {
                let next = self.platform.start_ready();
                std::mem::replace(&mut self.process, next).end();
                self.restart();
            }
        }
    }

    /// Moves to another agent with the same list, which is silent from the first moment on.
    fn move_to_silent_agent(&mut self) {
        let other = self.other_agent();
        other.fall_silent();
        self.move_to(other, |_| {});
        self.process.says("reread");
    }
}

/// Guards drains that were told before discovery moved: a process that starts while the new address is silent knew nothing of
/// them, since they were kept by the address that had told them.
#[test]
fn a_drain_told_before_a_move_is_heeded_by_the_next_process() {
    let ways: [(usize, &[End]); 6] = [
        (1, &[End::Killed]),
        (1, &[End::Told]),
        (2, &[End::Killed]),
        (1, &[End::Killed, End::Killed]),
        (1, &[End::TakenOver]),
        (0, &[End::TakenOver]),
    ];
    all_within(LIMIT, ways.len(), move |way| {
        let (moves, ends) = ways[way];
        let mut rig = Rig::start();
        let turn = rig.turn();
        rig.agent.change(&turn);
        sleep(LIMIT);
        rig.agent.fall_silent();
        (0..moves).for_each(|_| rig.move_to_silent_agent());
        ends.iter().for_each(|end| rig.end(*end));
        let while_silent = rig.behind(Instant::now());
        // Once discovery answers, what it says holds.
        let turn = rig.turn();
        let told = rig.agent.come_back(AtReturn::Ignored, &turn);
        vec![while_silent, rig.behind(told)]
    });
}

/// Guards a drain that is told to a process that takes over and is gone soon: the one that takes back knew nothing of it.
#[test]
fn a_drain_told_to_a_process_that_is_gone_is_heeded_by_the_one_that_takes_back() {
    all_within(LIMIT, 3, |_| {
        let mut rig = Rig::start();
        let mut next = rig.platform.start_ready();
        let turn = rig.turn();
        rig.agent.change(&turn);
        sleep(LIMIT);
        rig.agent.fall_silent();
        next.kill();
        rig.process.says("taken-back");
        vec![rig.behind(Instant::now())]
    });
}
