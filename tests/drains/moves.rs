//! Drains told by an agent that discovery has moved to by SIGHUP.

use crate::agent::Agent;
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
