//! Kills at each moment of an upgrade: the one process serves on, or the next start loses nothing.

use crate::callers::Callers;
use crate::platform::{Process, Terms, KILLED_AFTER};
use crate::scene::Scene;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Callers of two classes, all of whose messages were answered and are delivered once.
struct Watched {
    scene: Scene,
    callers: Vec<Callers>,
}

impl Watched {
    fn start(scene: Scene) -> Watched {
        let callers = ["notice", "update"].map(|class| Callers::start(3, scene.platform.address, class));
        Watched { scene, callers: callers.into() }
    }

    fn taken(&self) -> usize {
        self.callers.iter().map(|c| c.seen().taken.len()).sum()
    }

    /// Callers are served on: more is taken.
    fn goes_on(&self) {
        let (before, from) = (self.taken(), Instant::now());
        while self.taken() < before + 20 {
            assert!(from.elapsed() < Duration::from_secs(8), "nothing more is taken");
            sleep(Duration::from_millis(5));
        }
    }

    /// What was taken on is delivered, each message once, and no request was left without its answer.
    fn delivers_all(self) {
        let mut taken = BTreeSet::new();
        for outcomes in self.callers.into_iter().map(Callers::stop) {
            assert!(outcomes.unanswered.is_empty(), "read and not answered: {:?}", outcomes.unanswered);
            taken.extend(outcomes.taken);
        }
        self.scene.all_served_once(&taken);
    }

    /// The process that serves now settles what was taken on, by those killed before it too: calls that were out at a kill
    /// may have been lost.
    fn settles_all(self, _serving: Process) {
        let taken = self.callers.into_iter().flat_map(|callers| callers.stop().taken).collect();
        self.scene.all_settled(&taken);
    }

    /// The process that serves now is killed, and the next one settles what was taken on.
    fn settles_all_after_a_kill(self, mut serving: Process) {
        serving.kill();
        let next = self.scene.platform.start_ready();
        self.goes_on();
        self.settles_all(next);
    }
}

/// Callers of a process that serves, and a start beside it that began so many milliseconds ago.
fn start_beside(ms: u64) -> (Watched, Process, Process) {
    let scene = Scene::new(&Terms::default());
    let serving = scene.platform.start_ready();
    let watched = Watched::start(scene);
    watched.goes_on();
    let new = watched.scene.platform.start();
    sleep(Duration::from_millis(ms));
    (watched, serving, new)
}

/// Guards the process that serves from one that is killed before it can take over, at any moment of its start.
#[test]
fn a_new_process_killed_before_its_yes_takes_nothing_along() {
    let scene = Scene::new(&Terms::default());
    let serving = scene.platform.start_ready();
    let watched = Watched::start(scene);
    watched.goes_on();
    for ms in [0, 2, 4, 6, 8, 10, 12, 15, 20, 30] {
        let mut new = watched.scene.platform.start();
        sleep(Duration::from_millis(ms));
        new.kill();
        watched.goes_on();
    }
    let next = watched.scene.platform.upgrade(serving);
    watched.goes_on();
    watched.settles_all_after_a_kill(next);
}

/// Guards callers from a new process that is killed right after it has taken over: the old one takes back what it handed
/// over, and serves on.
#[test]
fn a_process_takes_back_what_it_handed_over_in_vain() {
    let scene = Scene::new(&Terms::default());
    let serving = scene.platform.start_ready();
    let watched = Watched::start(scene);
    for _ in 0..3 {
        watched.goes_on();
        let mut new = watched.scene.platform.start_ready();
        watched.goes_on();
        new.kill();
        serving.says("taken-back");
        watched.goes_on();
        assert!(serving.says_yes(), "it takes clients again");
    }
    let last = watched.scene.platform.upgrade(serving);
    watched.goes_on();
    watched.settles_all_after_a_kill(last);
}

/// Guards a start that waits for a process which is killed meanwhile: it serves what that one left.
#[test]
fn an_old_process_killed_while_the_new_one_starts_leaves_all_to_it() {
    for ms in [0, 5, 10, 20, 40] {
        let (watched, mut serving, new) = start_beside(ms);
        serving.kill();
        assert!(new.ready().is_some(), "{:?}", new.log.tell(|l| l.clone()));
        watched.goes_on();
        watched.settles_all(new);
    }
}

/// Guards what both processes of an upgrade hold when both are killed.
#[test]
fn a_start_after_both_processes_were_killed_loses_nothing() {
    for ms in [0, 5, 10, 20, 40] {
        let (watched, mut old, new) = start_beside(ms);
        old.kill();
        watched.settles_all_after_a_kill(new);
    }
}

/// Guards a takeover from an old process that is told to end before the new one has said yes.
#[test]
fn a_process_told_to_end_while_another_takes_over_hands_over_all() {
    for ms in [0, 3, 6, 10, 20] {
        let (watched, mut serving, new) = start_beside(ms);
        serving.signal(Signal::TERM);
        assert!(new.ready().is_some(), "{:?}", new.log.tell(|l| l.clone()));
        let ended = serving.ends_within(KILLED_AFTER);
        assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
        watched.goes_on();
        watched.delivers_all();
    }
}
