//! Good and broken configurations in any order, under callers that use their connections to the end, with kills, restarts and
//! upgrades between them, some while a broken file lies there.

use crate::breaks::{breaks, texts};
use crate::callers::{Callers, Traffic};
use crate::endpoint::{Copies, Endpoint, Nature, Record, Violations};
use crate::platform::{Platform, Process, Terms, KILLED_AFTER};
use crate::rig::IN_FORCE_WITHIN;
use crate::stand_ins::page_form::{class, set};
use crate::stand_ins::{entry, folder, message_within, soak_seeds, Discovery, Told};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, Builder};
use std::time::Duration;

/// Seeds that are played at once.
const AT_ONCE: usize = 8;
/// Seeds where none are named, as in CI.
const SEEDS: Range<u64> = 0..16;
/// The time of each message.
const TIME_MS: u64 = 4_000;
/// From the last message on, ends have come by then: its time, the rule's slack, and that of a restart.
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300 + 1_500);
/// A process starts again so long after its end.
const GONE_FOR: Duration = Duration::from_millis(600);
/// Whatever discovery has to tell counts as told so long after SIGHUP, and new work stops a second later.
const DRAINED_WITHIN: Duration = Duration::from_millis(5_000);
/// Idle connections of a crowd.
const CROWD: usize = 60;

/// What is done.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// A good file and SIGHUP.
    Good,
    /// A broken file and SIGHUP.
    Broken,
    /// Broken, good and broken files with a signal each, and no pause.
    Burst,
    /// SIGKILL, and a start over a broken file.
    KillOverBroken,
    /// SIGKILL, and a start over a good file that no signal told of.
    KillOverGood,
    /// SIGTERM, a good file and SIGHUP behind it, SIGKILL at the earliest, and a start.
    Restart,
    /// A process takes over that finds a broken file.
    UpgradeOverBroken,
    /// A process takes over that finds a good file that no signal told of.
    UpgradeOverGood,
}

const ACTIONS: [Action; 8] = [
    Action::Good,
    Action::Broken,
    Action::Burst,
    Action::KillOverBroken,
    Action::KillOverGood,
    Action::Restart,
    Action::UpgradeOverBroken,
    Action::UpgradeOverGood,
];

/// A relay under changing configurations.
struct Play {
    rng: ChaCha8Rng,
    platform: Platform,
    serving: Process,
    logs: Vec<Told<Vec<String>>>,
    /// What a good file has put in force.
    in_force: Value,
    discoveries: [Discovery; 2],
    /// The address that broken files name.
    poison: String,
    /// Classes that good files have added so far.
    added: usize,
    wrong: Vec<String>,
}

impl Play {
    fn below(&mut self, most: usize) -> usize {
        self.rng.next_u32() as usize % most
    }

    /// A good file: a class goes, another comes, discovery may move, attempts may get fewer.
    fn good(&mut self) -> String {
        let mut document = self.in_force.clone();
        self.added += 1;
        let services = document["settings"]["services"].as_array_mut().unwrap();
        services.retain(|service| !service["name"].as_str().unwrap().starts_with("extra"));
        let repeat = ["pure", "token", "side_effect"][self.rng.next_u32() as usize % 3];
        services.push(class(&format!("extra{}", self.added), repeat));
        let (at, tries) = (self.below(2), [2, 4, 8][self.below(3)]);
        set(&mut document, "/discovery", self.discoveries[at].address.to_string());
        set(&mut document, "/settings/limits/most_tries", tries);
        self.in_force = document;
        self.in_force.to_string()
    }

    /// A file broken in one way, with a discovery that nobody may ask.
    fn broken(&mut self) -> String {
        let mut document = self.in_force.clone();
        set(&mut document, "/discovery", self.poison.clone());
        let (all, texts) = (breaks(&document), texts(&document.to_string()));
        let one = self.below(all.len() + texts.len());
        match all.get(one) {
            Some(one) => {
                one.make(&mut document);
                document.to_string()
            }
            None => texts[one - all.len()].clone(),
        }
    }

    fn signal(&self, text: &str) {
        self.platform.write(text);
        self.serving.signal(Signal::HUP);
    }

    fn serve(&mut self, process: Process) {
        self.logs.push(process.log.clone());
        self.serving = process;
    }

    fn start_again(&mut self) {
        sleep(GONE_FOR);
        let process = self.platform.start_ready();
        self.serve(process);
    }

    fn upgrade(&mut self) {
        let next = self.platform.start_ready();
        let old = std::mem::replace(&mut self.serving, next);
        self.logs.push(self.serving.log.clone());
        old.end();
    }

    fn act(&mut self, action: Action) {
        let text = match action {
            Action::Good | Action::KillOverGood | Action::UpgradeOverGood | Action::Restart => self.good(),
            Action::Broken | Action::KillOverBroken | Action::UpgradeOverBroken => self.broken(),
            Action::Burst => {
                for text in [self.broken(), self.good()] {
                    self.signal(&text);
                    sleep(Duration::from_millis(5));
                }
                self.broken()
            }
        };
        match action {
            Action::Good | Action::Broken | Action::Burst => self.signal(&text),
            Action::KillOverBroken | Action::KillOverGood => {
                self.platform.write(&text);
                self.serving.kill();
                self.start_again();
            }
            Action::Restart => {
                self.serving.signal(Signal::TERM);
                sleep(Duration::from_millis(100));
                self.signal(&text);
                self.serving.ends_within(KILLED_AFTER);
                self.serving.kill();
                self.start_again();
            }
            Action::UpgradeOverBroken | Action::UpgradeOverGood => {
                self.platform.write(&text);
                self.upgrade();
            }
        }
        sleep(IN_FORCE_WITHIN);
        self.probe(action);
    }

    /// Clients use the class that is in force, and not the one before it.
    fn probe(&mut self, action: Action) {
        let answer = |n: usize| {
            let (class, id) = (format!("extra{n}"), format!("extra{n}-{}", self.rng.get_word_pos()));
            self.platform.ask(&message_within(&class, &id, 1_000))
        };
        let now = if self.added > 0 { answer(self.added) } else { Some(202) };
        let before = if self.added > 1 { answer(self.added - 1) } else { Some(404) };
        if !matches!(now, Some(202 | 503)) || before != Some(404) {
            let added = self.added;
            self.wrong.push(format!("after {action:?}: extra{added} {now:?}, the one before {before:?}"));
        }
    }
}

/// Counts those who connect.
fn poison() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, count) = (listener.local_addr().unwrap().to_string(), Arc::new(AtomicUsize::new(0)));
    let counts = count.clone();
    spawn(move || {
        for _ in listener.incoming() {
            counts.fetch_add(1, Ordering::SeqCst);
        }
    });
    (address, count)
}

/// Plays a seed; what went wrong, in words.
fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (ended, record) = (Told::default(), Told::<Record>::default());
    let mut nature = |n: u64| Nature {
        resets: rng.next_u32() % 4,
        hangs: rng.next_u32() % 3,
        ..Nature::new(Copies::Never, true, seed * 2 + n)
    };
    let stays = Endpoint::beside(nature(0), ended.clone(), record.clone());
    let leaves = Endpoint::beside(nature(1), ended.clone(), record.clone());
    let hosts = |health: &str| {
        [entry("stays", stays.address, "active"), entry("leaves", leaves.address, health)].join(",")
    };
    let known = hosts("active");
    let discoveries = [0, 1].map(|_| Discovery::beside(known.clone(), ended.clone()));
    let platform = Platform::new(&folder(), &Terms::default(), discoveries[0].address, &known);
    let mut in_force = platform.document();
    set(&mut in_force, "/settings/rules/key_rest", json!(100_000_000));
    let (serving, (poison, poisoned)) = (platform.start_ready(), poison());
    let logs = vec![serving.log.clone()];
    let crowd = if rng.next_u32() % 3 == 0 { CROWD } else { 0 };
    let crowd: Vec<TcpStream> =
        (0..crowd).filter_map(|_| TcpStream::connect(platform.address).ok()).collect();
    let call = |class| {
        let pause = Duration::from_millis(50);
        let traffic = Traffic { class, time_ms: TIME_MS, in_order: class == "update", pause };
        Callers::start_with(3, platform.address, traffic)
    };
    let callers = ["notice", "status", "update"].map(call);
    let wrong = Vec::new();
    let mut play = Play { rng, platform, serving, logs, in_force, discoveries, poison, added: 0, wrong };
    let actions: Vec<Action> = (0..2 + play.below(3)).map(|_| ACTIONS[play.below(ACTIONS.len())]).collect();
    for action in &actions {
        let pause = Duration::from_millis(play.below(600) as u64);
        sleep(pause);
        play.act(*action);
    }
    play.discoveries.iter().for_each(|discovery| discovery.next(&hosts("leaving")));
    sleep(DRAINED_WITHIN);
    let calls = leaves.calls.load(Ordering::SeqCst);
    sleep(Duration::from_secs(1));
    let late = leaves.calls.load(Ordering::SeqCst) - calls;
    let taken: BTreeSet<String> = callers.into_iter().flat_map(|callers| callers.stop().taken).collect();
    drop(crowd);
    sleep(SETTLED_WITHIN);
    let ended = ended.tell(|ended: &mut BTreeSet<String>| ended.clone());
    let (lost, violations) = record.tell(|record| {
        let lost = taken.iter().filter(|id| !record.is_delivered(id) && !ended.contains(*id));
        (lost.cloned().collect::<Vec<String>>(), record.violations.clone())
    });
    let mut wrong = std::mem::take(&mut play.wrong);
    if taken.len() < 50 || !lost.is_empty() || violations != Violations::default() {
        wrong.push(format!("{} taken, lost {lost:?}, {violations:?}", taken.len()));
    }
    if late > 0 || calls == 0 {
        wrong.push(format!("{late} calls to an endpoint that drains, behind {calls}"));
    }
    let asked = poisoned.load(Ordering::SeqCst);
    if asked > 0 {
        wrong.push(format!("{asked} connections to the discovery of broken files"));
    }
    let said = play.logs.iter().flat_map(|log| log.tell(|lines| lines.clone()));
    wrong.extend(said.filter(|line| line.contains("-violation") || line.contains("panicked")));
    std::fs::remove_dir_all(&play.platform.dir).ok();
    wrong.into_iter().map(|line| format!("seed {seed}, {actions:?}: {line}")).collect()
}

/// Guards all that goes by a configuration from files in any order, good and broken, over all that ends a process.
#[test]
fn no_part_of_a_broken_file_comes_into_force_and_all_of_a_good_one_does() {
    let seeds: Vec<u64> = soak_seeds(SEEDS).collect();
    let mut wrong = Vec::new();
    for seeds in seeds.chunks(AT_ONCE) {
        let start = |seed: &u64| {
            let seed = *seed;
            // A thread that panics is named.
            Builder::new().name(format!("seed {seed}")).spawn(move || play(seed)).unwrap()
        };
        let plays: Vec<_> = seeds.iter().map(start).collect();
        wrong.extend(plays.into_iter().flat_map(|play| play.join().unwrap()));
    }
    assert!(wrong.is_empty(), "{} of {} seeds:\n{}", wrong.len(), seeds.len(), wrong.join("\n"));
}
