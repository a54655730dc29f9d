//! Slow ways and slow folders at random, one over another, ways that turn slow long after the start, stops of the way, of the
//! process and of the folder, beside kills, restarts, upgrades, short messages and a crowd: each message is judged by when the
//! agent read its end.

use crate::agent::Way;
use crate::rig::{hand_in, hand_in_for, Handed, Rig, LATE_AFTER, TIME};
use crate::stand_ins::chance::Chance;
use crate::stand_ins::play_seeds;
use rustix::process::Signal;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_secs(16);
/// The time of the short ones among the messages.
const SHORT_TIME: Duration = Duration::from_millis(900);
/// Runs at the same time.
const SIDE_BY_SIDE: usize = 3;
/// No end is overdue before so long behind a start's yes.
const START_SLACK: Duration = Duration::from_millis(1_500);
/// A process that was killed is started again after this time.
const DOWN: Duration = Duration::from_millis(600);

impl Chance {
    /// One of the ways on which ends can come in time.
    fn way(&mut self) -> Way {
        let part = 0.05 * self.below(7) as f64;
        match self.below(11) {
            0 | 1 => Way::default(),
            2 => Way::late(50 + self.below(350)),
            3 => Way::between(0, 100 + self.below(500)),
            4 => Way { answer_after: Duration::from_millis(self.below(2_000)), ..Way::default() },
            5 => Way { silent: part, ..Way::default() },
            6 => Way { closed: part, refused: part, ..Way::default() },
            7 | 8 => Way::requests_between(0, 200 + self.below(600)),
            9 => Way { closed: 0.7, refused: 0.7, ..Way::default() },
            _ => Way {
                unanswered: 0.5,
                list_after: Duration::from_millis(self.below(2_000)),
                ..Way::default()
            },
        }
    }

    /// A good time that is longer than what was seen before is remembered, then a change of which nothing is known.
    fn quiet(&mut self) -> Duration {
        Duration::from_millis(2_000 + self.below(3_000))
    }

    fn stop(&mut self) -> Duration {
        Duration::from_millis(300 + self.below(600))
    }

    fn write(&mut self) -> Duration {
        match self.below(3) {
            0 => Duration::from_millis(5 + self.below(60)),
            _ => Duration::ZERO,
        }
    }
}

/// When ends could not be told since a process was gone or just there, from and to.
type Gaps = Vec<(Instant, Instant)>;

/// One run; the messages whose ends came late or never.
fn run(seed: u64) -> Vec<String> {
    let mut chance = Chance::new(seed);
    let mut rig = Rig::start(seed);
    let (relay, many) = (rig.platform.address, 150 + chance.below(250) as usize);
    let steady = spawn(move || hand_in(relay, "s", many, LASTS));
    let short = spawn(move || hand_in_for(SHORT_TIME, relay, "short", many / 3, LASTS));
    let crowd = (chance.below(3) == 0).then(|| {
        let (at, many) = (chance.below(6_000), 300 + chance.below(500) as usize);
        spawn(move || {
            sleep(Duration::from_millis(at));
            hand_in(relay, "c", many, Duration::from_millis(50))
        })
    });
    let (from, mut gaps) = (Instant::now(), Gaps::new());
    while from.elapsed() < LASTS {
        rig.agent.way(chance.way());
        rig.folder.each_write(chance.write());
        sleep(Duration::from_millis(500 + chance.below(2_500)));
        match chance.below(6) {
            0 => replace(&mut rig, &mut gaps, Replaced::Killed),
            1 => replace(&mut rig, &mut gaps, Replaced::Upgraded),
            _ => {}
        }
        rig.agent.way(Way::default());
        rig.folder.each_write(Duration::ZERO);
        sleep(chance.quiet());
        stop_something(&rig, &mut chance);
    }
    let mut handed = steady.join().unwrap();
    handed.taken.extend(short.join().unwrap().taken);
    if let Some(crowd) = crowd {
        handed.taken.extend(crowd.join().unwrap().taken);
    }
    // What is left of the last way holds to the end.
    sleep(TIME + Duration::from_secs(3));
    judge(seed, &rig, &handed, &gaps)
}

/// The way, the process or the folder stands still for a moment.
fn stop_something(rig: &Rig, chance: &mut Chance) {
    let time = chance.stop();
    match chance.below(4) {
        0 => rig.agent.stop_for(time),
        1 => {
            rig.process.signal(Signal::STOP);
            sleep(time);
            rig.process.signal(Signal::CONT);
        }
        2 => {
            rig.folder.each_write(time);
            sleep(time);
            rig.folder.each_write(Duration::ZERO);
        }
        _ => {}
    }
}

#[derive(Clone, Copy, Debug)]
enum Replaced {
    Killed,
    Upgraded,
}

fn replace(rig: &mut Rig, gaps: &mut Gaps, how: Replaced) {
    let from = Instant::now();
    match how {
        Replaced::Killed => {
            rig.process.kill();
            sleep(DOWN);
            rig.process = rig.next();
        }
        Replaced::Upgraded => {
            let next = rig.next();
            let old = std::mem::replace(&mut rig.process, next);
            old.signal(Signal::TERM);
            old.end();
        }
    }
    gaps.push((from, Instant::now() + START_SLACK));
}

/// An end is due behind its message's time, or behind the gap in which that was over.
fn due(deadline: Instant, gaps: &Gaps) -> Instant {
    let later = gaps.iter().filter(|(from, to)| *from <= deadline + LATE_AFTER && deadline <= *to);
    later.map(|(_, to)| *to).max().map_or(deadline, |to| to.max(deadline)) + LATE_AFTER
}

fn judge(seed: u64, rig: &Rig, handed: &Handed, gaps: &Gaps) -> Vec<String> {
    let ends = rig.agent.read.tell(|read| read.ends.clone());
    let mut broken = Vec::new();
    for (id, deadline) in &handed.taken {
        let due = due(*deadline, gaps);
        match ends.get(id) {
            None => broken.push(format!("seed {seed}: {id} never")),
            Some((read, _)) if *read > due => {
                broken.push(format!("seed {seed}: {id} {} ms late", (*read - due).as_millis()))
            }
            Some(_) => {}
        }
    }
    let most = ends.values().map(|(_, times)| *times).max().unwrap_or(0);
    let (taken, refused, unanswered) = (handed.taken.len(), handed.refused, handed.unanswered);
    println!("seed {seed}: {taken} taken, {refused} refused, {unanswered} unanswered, {} replaced, told {most} times at most, {} late or never", gaps.len(), broken.len());
    if taken < 50 {
        broken.push(format!("seed {seed}: only {taken} taken on"));
    }
    broken
}

/// Guards each end from whatever may be slow, whatever else goes on.
#[test]
fn ends_come_in_time_whatever_is_slow() {
    let broken = play_seeds(0..6, SIDE_BY_SIDE, run);
    assert!(broken.is_empty(), "{broken:#?}");
}
