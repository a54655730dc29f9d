//! Silences of all lengths, series of changes at the return, kills, upgrades, moves and stops at random, some with a crowd: each call
//! is judged by when the agent had the drain of its endpoint.

use crate::agent::{Agent, Answering, AtReturn};
use crate::moves::TOLD_AFTER_MOVE;
use crate::platform::Process;
use crate::rig::{Rig, LIMIT};
use crate::stand_ins::chance::Chance;
use crate::stand_ins::play_seeds;
use rustix::process::Signal;
use std::net::TcpStream;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_secs(24);
/// Runs at the same time.
const SIDE_BY_SIDE: usize = 3;
/// A relay may be held up for so long at any moment.
const STOP: Duration = Duration::from_millis(150);
/// Idle clients of a crowd.
const CROWD: usize = 100;

impl Chance {
    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(least + self.below(most - least))
    }
}

/// A change by which one endpoint drains, and the other one takes over.
struct Turn {
    /// When the agent had it.
    had: Instant,
    /// From when on that counts.
    told: Instant,
    drains: usize,
}

/// One run.
struct Soak {
    chance: Chance,
    rig: Rig,
    turns: Vec<Turn>,
    /// What the agent has before this moment counts from then on.
    counts_from: Instant,
    ending: Vec<JoinHandle<()>>,
    did: Vec<&'static str>,
    _crowd: Vec<TcpStream>,
}

impl Soak {
    fn start(seed: u64) -> Soak {
        let mut chance = Chance::new(seed);
        let rig = Rig::start();
        let crowd = if chance.below(3) == 0 { CROWD } else { 0 };
        let crowd = (0..crowd).filter_map(|_| TcpStream::connect(rig.platform.address).ok()).collect();
        let (turns, ending, did) = (Vec::new(), Vec::new(), Vec::new());
        Soak { chance, rig, turns, counts_from: Instant::now(), ending, did, _crowd: crowd }
    }

    fn run(mut self, seed: u64) -> Vec<String> {
        let from = Instant::now();
        while from.elapsed() < LASTS {
            let quiet = self.chance.millis(700, 1_500);
            sleep(quiet);
            match self.chance.below(4) {
                0 => self.watch_silence(),
                _ => self.silence(),
            }
            self.series();
            // Calls behind the last limit are looked for.
            sleep(LIMIT + Duration::from_millis(300));
        }
        self.ending.drain(..).for_each(|ending| ending.join().unwrap());
        self.judge(seed)
    }

    /// The open questions are never answered, the agent is there.
    fn watch_silence(&mut self) {
        self.did.push("watch silent");
        self.rig.agent.mute_open();
        let pause = self.chance.millis(0, 600);
        sleep(pause);
        self.turn();
    }

    fn silence(&mut self) {
        self.rig.agent.fall_silent();
        let most = if self.chance.below(4) == 0 { 9_000 } else { 3_000 };
        let until = Instant::now() + self.chance.millis(300, most);
        match self.chance.below(6) {
            0 => self.kill(),
            1 => self.upgrade(),
            2 => self.hang_up(),
            3 => self.stop(),
            _ => self.did.push("silence"),
        }
        sleep(until.saturating_duration_since(Instant::now()));
        let up_after = if self.chance.below(3) == 0 { self.chance.millis(1, 200) } else { Duration::ZERO };
        self.rig.agent.answering(Answering { up_after, ..Answering::default() });
        let at_return =
            [AtReturn::Ignored, AtReturn::Answered, AtReturn::Reset][self.chance.below(3) as usize];
        let drains = self.rig.active;
        let turn = self.rig.turn();
        let told = self.rig.agent.come_back(at_return, &turn);
        self.note(told, drains);
    }

    /// Changes right behind the return.
    fn series(&mut self) {
        for _ in 0..self.chance.below(4) {
            let pause = self.chance.millis(200, 2_000);
            sleep(pause);
            if self.chance.below(4) == 0 {
                self.stop();
            }
            self.turn();
        }
    }

    fn turn(&mut self) {
        let drains = self.rig.active;
        let turn = self.rig.turn();
        let told = self.rig.agent.change(&turn);
        self.note(told, drains);
    }

    fn note(&mut self, had: Instant, drains: usize) {
        self.turns.push(Turn { had, told: had.max(self.counts_from), drains });
    }

    fn stop(&mut self) {
        self.did.push("stop");
        self.rig.process.signal(Signal::STOP);
        sleep(STOP);
        self.rig.process.signal(Signal::CONT);
    }

    fn kill(&mut self) {
        self.did.push("kill");
        self.rig.restart();
    }

    fn upgrade(&mut self) {
        self.did.push("upgrade");
        let next = self.rig.platform.start_ready();
        let old: Process = std::mem::replace(&mut self.rig.process, next);
        self.ending.push(spawn(move || old.end()));
    }

    /// Discovery moves to an agent that is silent as well.
    fn hang_up(&mut self) {
        self.did.push("move");
        let other: Agent = self.rig.other_agent();
        other.fall_silent();
        self.rig.move_to(other, |_| {});
        self.counts_from = Instant::now() + TOLD_AFTER_MOVE;
    }

    fn judge(&self, seed: u64) -> Vec<String> {
        let now = Instant::now();
        let mut broken = Vec::new();
        let mut worst = Duration::ZERO;
        for (place, turn) in self.turns.iter().enumerate() {
            // From the next change on it may be called again.
            let until = self.turns.get(place + 1).map_or(now, |next| next.had);
            let behind = self.rig.endpoints[turn.drains].last_call(turn.told, until);
            worst = worst.max(behind);
            if behind > LIMIT {
                broken.push(format!("seed {seed}: change {place}, a call {behind:?} behind it"));
                self.rig.log().iter().for_each(|line| println!("seed {seed}: {line}"));
            }
        }
        let calls: usize = self.rig.endpoints.iter().map(|e| e.calls.tell(|calls| calls.len())).sum();
        let did = self.did.join(", ");
        println!(
            "seed {seed}: {} changes, {calls} calls, {worst:?} at worst, {} broken: {did}",
            self.turns.len(),
            broken.len()
        );
        if calls < 200 {
            broken.push(format!("seed {seed}: only {calls} calls"));
        }
        broken
    }
}

/// Guards drains from silences, whatever else goes on.
#[test]
fn drains_are_heeded_whatever_discovery_does() {
    let broken = play_seeds(0..6, SIDE_BY_SIDE, |seed| Soak::start(seed).run(seed));
    assert!(broken.is_empty(), "{broken:#?}");
}
