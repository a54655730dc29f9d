//! Crowds that drip, stop half way or write without end, under kills in series, restarts and upgrades: the relay's processes and
//! files stay within its memory, and nothing that it took on is lost.

use crate::callers::{Callers, Traffic};
use crate::crowd::{Crowd, Habit};
use crate::endpoint::{counting_endpoint, Answer};
use crate::platform::{Process, KILLED_AFTER};
use crate::rig::{memory_of, Limits, Scene};
use crate::stand_ins::soak_seeds;
use crate::turn;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// Seeds where none are named, as in CI.
const SEEDS: Range<u64> = 0..6;
/// Seeds that are played at once: each takes some processors.
const AT_ONCE: usize = 3;
/// The time of each caller's message.
const TIME_MS: u64 = 4_000;
/// From the last message on ends have come by then: its time, the rule's slack, and that of a restart.
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300 + 1_500);
/// A process starts again so long after its end.
const GONE_FOR: Duration = Duration::from_millis(600);
const CALLERS: usize = 4;
const PAUSE: Duration = Duration::from_millis(25);

#[derive(Clone, Copy, Debug)]
enum Blow {
    Kill,
    /// SIGTERM twice, SIGKILL when it may come at the earliest.
    Restart,
    Upgrade,
}

#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    limits: Limits,
    answer: Answer,
    crowds: Vec<(usize, Habit)>,
    blows: Vec<(Duration, Blow)>,
}

impl Scenario {
    fn drawn(seed: u64) -> Scenario {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut below = |most: usize| rng.next_u32() as usize % most;
        let limits = Limits {
            memory_mb: [96, 96, 192][below(3)],
            sockets: [512, 1_024][below(2)],
            disk_mb: [3, 3, 64][below(3)],
            max_open: [200, 2_000, 50_000][below(3)],
            calls_out: [16, 64, 200][below(3)],
        };
        let answers = [
            Answer::Served,
            Answer::Served,
            Answer::DrippedBody { chunked: false, status: 200 },
            Answer::DrippedBody { chunked: true, status: 200 },
            Answer::LongBody { status: 200 },
            Answer::Silence,
        ];
        let answer = answers[below(answers.len())];
        let crowd = |below: &mut dyn FnMut(usize) -> usize| {
            let pause = Duration::from_millis(1 + below(4) as u64);
            let habits = [
                Habit::Drips { good: 0, piece: 1, pause },
                Habit::Drips { good: 2, piece: 1 + below(200), pause },
                Habit::StopsHalfWay,
                Habit::ManyFields { fields: 60 + below(35), bytes: 8 + below(140) },
                Habit::Long,
                Habit::Unread,
            ];
            (30 + below(500), habits[below(habits.len())])
        };
        let crowds = (0..1 + below(2)).map(|_| crowd(&mut below)).collect();
        let blow = |below: &mut dyn FnMut(usize) -> usize| {
            let after = Duration::from_millis(200 + below(1_200) as u64);
            (after, [Blow::Kill, Blow::Kill, Blow::Restart, Blow::Upgrade][below(4)])
        };
        let blows = (0..1 + below(4)).map(|_| blow(&mut below)).collect();
        Scenario { seed, limits, answer, crowds, blows }
    }
}

/// Reads what processes and files take together, until it is told to stop.
struct Watch {
    stop: Arc<AtomicBool>,
    processes: Arc<Mutex<Vec<u32>>>,
    most: std::thread::JoinHandle<u64>,
}

impl Watch {
    fn start(scene: &Scene) -> Watch {
        let (stop, processes) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<u32>>>::default());
        let (stopped, ids, files) = (stop.clone(), processes.clone(), scene.files_of());
        let most = spawn(move || {
            let mut most = 0;
            while !stopped.load(Ordering::SeqCst) {
                let ids = ids.lock().unwrap().clone();
                let resident: u64 = ids.iter().map(|id| memory_of(*id).now).sum();
                most = most.max(resident + files());
                sleep(Duration::from_millis(5));
            }
            most
        });
        Watch { stop, processes, most }
    }

    fn add(&self, process: &Process) {
        self.processes.lock().unwrap().push(process.id());
    }

    fn most(self) -> u64 {
        self.stop.store(true, Ordering::SeqCst);
        self.most.join().unwrap()
    }
}

struct Played {
    scene: Scene,
    serving: Process,
    watch: Watch,
    logs: Vec<crate::stand_ins::Told<Vec<String>>>,
}

impl Played {
    fn serve(&mut self) -> Process {
        let next = self.scene.platform.start_ready();
        self.watch.add(&next);
        self.logs.push(next.log.clone());
        std::mem::replace(&mut self.serving, next)
    }

    fn strike(&mut self, blow: Blow) {
        match blow {
            Blow::Kill => {
                self.serving.kill();
                sleep(GONE_FOR);
                self.serve();
            }
            Blow::Restart => {
                self.serving.signal(Signal::TERM);
                sleep(Duration::from_millis(5));
                self.serving.signal(Signal::TERM);
                self.serving.ends_within(KILLED_AFTER);
                self.serving.kill();
                sleep(GONE_FOR);
                self.serve();
            }
            Blow::Upgrade => {
                let old = self.serve();
                old.end();
            }
        }
    }
}

/// What went wrong, in words.
fn play(scenario: Scenario) -> Vec<String> {
    let (endpoint, served) = counting_endpoint(scenario.answer);
    let scene = Scene::inheriting(scenario.limits, endpoint);
    let (limit, address, ended) = (scene.limit(), scene.platform.address, scene.ended());
    let watch = Watch::start(&scene);
    let serving = scene.platform.start_ready();
    watch.add(&serving);
    let logs = vec![serving.log.clone()];
    let mut played = Played { scene, serving, watch, logs };
    let call = |class| {
        let traffic = Traffic { class, time_ms: TIME_MS, in_order: false, pause: PAUSE };
        Callers::start_with(CALLERS, address, traffic)
    };
    let callers = ["notice", "status"].map(call);
    sleep(Duration::from_millis(300));
    let crowds: Vec<Crowd> =
        scenario.crowds.iter().map(|(count, habit)| Crowd::start(*count, address, *habit)).collect();
    for (after, blow) in scenario.blows.clone() {
        sleep(after);
        played.strike(blow);
    }
    sleep(Duration::from_secs(1));
    crowds.into_iter().for_each(Crowd::stop);
    let taken: BTreeSet<String> = callers.into_iter().flat_map(|callers| callers.stop().taken).collect();
    sleep(SETTLED_WITHIN);
    let has_ended = played.serving.ended().is_some();
    let Played { watch, logs, .. } = played;
    let most = watch.most();
    let ended = ended.tell(|ended| ended.clone());
    let (lost, twice) = served.tell(|served| {
        let lost: Vec<String> =
            taken.iter().filter(|id| !served.contains_key(*id) && !ended.contains(*id)).cloned().collect();
        let twice = taken.iter().filter(|id| id.starts_with("notice") && served.get(*id) > Some(&1)).count();
        (lost, twice)
    });
    println!(
        "seed {}: {} taken, {} of {} MB",
        scenario.seed,
        taken.len(),
        most / 1_000_000,
        limit / 1_000_000
    );
    let mut wrong = Vec::new();
    if has_ended || most > limit || !lost.is_empty() || twice > 0 || taken.is_empty() {
        let lost = lost.len();
        wrong.push(format!(
            "ended {has_ended}, {most} bytes, {} taken, {lost} lost, {twice} run twice",
            taken.len()
        ));
    }
    let lines = logs.iter().flat_map(|log| log.tell(|lines| lines.clone()));
    wrong.extend(lines.filter(|line| line.contains("-violation") || line.contains("panicked")));
    wrong.into_iter().map(|line| format!("seed {}, {scenario:?}: {line}", scenario.seed)).collect()
}

/// Guards memory, and what is owed, from crowds under faults that overlap.
#[test]
fn no_crowd_takes_a_relay_over_its_memory_under_faults_that_overlap() {
    let _turn = turn();
    let seeds: Vec<u64> = soak_seeds(SEEDS).collect();
    let mut wrong = Vec::new();
    for seeds in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = seeds.iter().map(|seed| Scenario::drawn(*seed)).collect();
        let plays: Vec<_> = plays.into_iter().map(|scenario| spawn(move || play(scenario))).collect();
        wrong.extend(plays.into_iter().flat_map(|play| play.join().unwrap()));
    }
    assert!(wrong.is_empty(), "{} of {} seeds:\n{}", wrong.len(), seeds.len(), wrong.join("\n"));
}
