//! Random faults that overlap, on real processes: second copies from endpoints and the agent, resets, hangs, kills,
//! restarts and upgrades under callers that use their connections to the end, some with a crowd of idle ones beside them.

use crate::agent::Agent;
use crate::callers::{Callers, Traffic};
use crate::endpoint::{Copies, Endpoint, Nature, Record, Violations};
use crate::finals::{BatchForm, Finals, Form, Says};
use crate::platform::{lives_of, Platform, Process, Terms, KILLED_AFTER, TELLS_LIVES};
use crate::stand_ins::{entry, folder, soak_seeds, Told};
use crate::{of_interest, PAUSE, PIPELINED, TIME_MS};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use std::collections::BTreeSet;
use std::net::TcpStream;
use std::ops::Range;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Seeds that are played at once.
const AT_ONCE: usize = 12;
/// Seeds where none are named, as in CI.
const SEEDS: Range<u64> = 0..12;
/// From the last message on, ends have come by then: its time, the rule's slack, and that of a restart.
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300 + 1_500);
/// What was written to a process so shortly before it ended by itself may be unread.
const UNREAD_AT_AN_END: Duration = Duration::from_millis(100);
/// As much as a journal still takes when the folder is full: part of a record.
const FEW_BYTES: u64 = 10;
/// A process starts again so long after its end.
const GONE_FOR: Duration = Duration::from_millis(600);

/// What is done to the process that serves.
#[derive(Clone, Copy, Debug)]
enum Blow {
    /// SIGKILL, and another start.
    Kill,
    /// SIGTERM twice in a row, SIGKILL when it may come at the earliest, and another start.
    Restart,
    /// A new process beside it takes over.
    Upgrade,
    /// A new process that is killed so many milliseconds after its start, while it takes over or soon after.
    TakeoverCutShort(u64),
    /// A new process has taken over, the one before is told to end, and the new one is killed so many milliseconds later; then
    /// another start.
    BothEnd(u64),
    /// SIGHUP, three times in a row.
    Hangups,
    /// The first endpoint drains, and is back after a second.
    Drain,
    /// The folder takes no writes for so many milliseconds.
    FullFolder(u64),
    /// It takes none, and the process is killed meanwhile.
    KillWithFullFolder,
}

struct Draw(ChaCha8Rng);

impl Draw {
    fn below(&mut self, most: u32) -> u32 {
        self.0.next_u32() % most
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u32) as usize]
    }
}

/// What is played for a seed.
#[derive(Clone, Debug)]
struct Scenario {
    seed: u64,
    natures: [Nature; 2],
    per_call: usize,
    slots: usize,
    crowd: usize,
    blows: Vec<(Duration, Blow)>,
    operator: &'static str,
}

impl Scenario {
    fn drawn(seed: u64) -> Scenario {
        let mut draw = Draw(ChaCha8Rng::seed_from_u64(seed));
        let spans = [
            Copies::Never,
            Copies::WithTheAnswer,
            Copies::Behind(1, 30),
            Copies::Behind(30, 400),
            Copies::AtTheNextRequest(0, 12),
            Copies::InTwoParts,
        ];
        let mut nature = |n| Nature {
            copies: draw.one(&spans),
            receipts: draw.below(3) > 0,
            resets: draw.below(4),
            hangs: draw.below(3),
            finals: None,
            seed: seed * 2 + n,
        };
        let mut natures = [nature(0), nature(1)];
        let blow = |draw: &mut Draw| {
            let after = Duration::from_millis(u64::from(300 + draw.below(2_000)));
            let full_for = u64::from(100 + draw.below(700));
            let killed_after = u64::from(draw.below(60));
            let blows = [
                Blow::Kill,
                Blow::Restart,
                Blow::Upgrade,
                Blow::TakeoverCutShort(killed_after),
                Blow::BothEnd(killed_after),
                Blow::Hangups,
                Blow::Drain,
                Blow::FullFolder(full_for),
                Blow::KillWithFullFolder,
            ];
            (after, draw.one(&blows))
        };
        let blows = (0..1 + draw.below(4)).map(|_| blow(&mut draw)).collect();
        let (per_call, slots) = (draw.one(&[1, 1, 4]), draw.one(&[4, 32]));
        let crowd = draw.one(&[0, 0, 60]);
        let operator = draw.one(&[TELLS_LIVES, TELLS_LIVES, PIPELINED]);
        let forms: Vec<Form> = Form::WHOLE.into_iter().chain(Form::CUT).collect();
        // A form that makes the endpoint seem slow or silent would leave little to play.
        let forms: Vec<Form> = forms
            .into_iter()
            .filter(|form| !matches!(form, Form::BodyLate | Form::SilentBehindHead))
            .collect();
        let finals = (draw.below(3) > 0).then(|| Finals {
            percent: 5 + draw.below(20),
            says: draw.one(&[Says::Over, Says::NoMore]),
            form: if draw.below(2) == 0 { Form::Whole } else { draw.one(&forms) },
            batch: draw.one(&BatchForm::ALL),
        });
        natures.iter_mut().for_each(|nature| nature.finals = finals);
        Scenario { seed, natures, per_call, slots, crowd, blows, operator }
    }
}

/// Processes that have served, with their logs.
struct Served {
    record: Told<Record>,
    agent: Agent,
    /// The two endpoints, as the list has them.
    hosts: [String; 2],
    platform: Platform,
    serving: Process,
    logs: Vec<Told<Vec<String>>>,
}

impl Served {
    fn restart(&mut self) {
        sleep(GONE_FOR);
        self.serve(self.platform.start_ready());
    }

    fn serve(&mut self, process: Process) -> Process {
        self.logs.push(process.log.clone());
        std::mem::replace(&mut self.serving, process)
    }

    /// Ends a process so, and notes when it was gone: what was written to it just before may be unread.
    fn gone(&self, end: impl FnOnce()) {
        end();
        let gone = Instant::now();
        self.record.tell(|record| record.kills.push((gone - UNREAD_AT_AN_END, gone)));
    }

    fn kill(&mut self) {
        Record::kill(&self.record, &mut self.serving);
    }

    /// Lets files of the process grow to so many bytes beyond what its journal has, or to any size.
    fn files_grow(&self, bytes: Option<u64>) {
        let journal = self.platform.state().join("relay.journal");
        let has = std::fs::metadata(journal).map_or(0, |meta| meta.len());
        let current = bytes.map(|bytes| has + bytes);
        let pid = Pid::from_raw(self.serving.id() as i32);
        // The process may have ended.
        prlimit(pid, Resource::Fsize, Rlimit { current, maximum: None }).ok();
    }

    fn strike(&mut self, blow: Blow) {
        match blow {
            Blow::Kill => {
                self.kill();
                self.restart();
            }
            Blow::Restart => {
                self.serving.signal(Signal::TERM);
                sleep(Duration::from_millis(5));
                self.serving.signal(Signal::TERM);
                self.serving.ends_within(KILLED_AFTER);
                self.kill();
                self.restart();
            }
            Blow::Upgrade => {
                let next = self.platform.start_ready();
                let old = self.serve(next);
                self.gone(|| old.end());
            }
            Blow::TakeoverCutShort(ms) => {
                let mut next = self.platform.start();
                sleep(Duration::from_millis(ms));
                Record::kill(&self.record, &mut next);
                self.logs.push(next.log.clone());
            }
            Blow::BothEnd(ms) => {
                let next = self.platform.start_ready();
                let old = self.serve(next);
                old.signal(Signal::TERM);
                sleep(Duration::from_millis(ms));
                self.kill();
                self.gone(|| old.end());
                self.restart();
            }
            Blow::Hangups => (0..3).for_each(|_| {
                self.serving.signal(Signal::HUP);
                sleep(Duration::from_millis(3));
            }),
            Blow::Drain => {
                let [first, second] = &self.hosts;
                let leaving = first.replace("active", "leaving");
                self.agent.change(&format!("{leaving},{second}"));
                sleep(Duration::from_secs(1));
                self.agent.change(&self.hosts.join(","));
            }
            Blow::FullFolder(ms) => {
                self.files_grow(Some(FEW_BYTES));
                sleep(Duration::from_millis(ms));
                self.files_grow(None);
            }
            Blow::KillWithFullFolder => {
                self.files_grow(Some(FEW_BYTES));
                sleep(Duration::from_millis(300));
                self.kill();
                self.restart();
            }
        }
    }
}

/// What went wrong, in words.
fn play(scenario: Scenario) -> Vec<String> {
    let (agent, record) = (Agent::start(""), Told::<Record>::default());
    let endpoints =
        scenario.natures.map(|nature| Endpoint::beside(nature, agent.ended.clone(), record.clone()));
    let hosts =
        [("a", &endpoints[0]), ("b", &endpoints[1])].map(|(name, e)| entry(name, e.address, "active"));
    let known = hosts.join(",");
    agent.change(&known);
    let Scenario { per_call, slots, operator, .. } = scenario;
    let terms = Terms { per_call, slots, operator, ..Terms::default() };
    let platform = Platform::new(&folder(), &terms, agent.address, &known);
    let serving = platform.start_ready();
    let logs = vec![serving.log.clone()];
    let crowd: Vec<TcpStream> =
        (0..scenario.crowd).filter_map(|_| TcpStream::connect(platform.address).ok()).collect();
    let call = |class| {
        let traffic = Traffic { class, time_ms: TIME_MS, in_order: class == "update", pause: PAUSE };
        Callers::start_with(3, platform.address, traffic)
    };
    let callers = ["notice", "status", "update"].map(call);
    let ended = agent.ended.clone();
    let mut served = Served { record: record.clone(), agent, hosts, platform, serving, logs };
    for (after, blow) in scenario.blows.clone() {
        sleep(after);
        served.strike(blow);
    }
    sleep(Duration::from_secs(2));
    let taken: BTreeSet<String> = callers.into_iter().flat_map(|callers| callers.stop().taken).collect();
    drop(crowd);
    sleep(SETTLED_WITHIN);
    let ended = ended.tell(|ended| ended.clone());
    let (lost, violations) = record.tell(|record| {
        let lost: BTreeSet<String> =
            taken.iter().filter(|id| !record.is_over(id) && !ended.contains(*id)).cloned().collect();
        (lost, record.violations.clone())
    });
    let (delivered, finals) = record.tell(|record| {
        let delivered = taken.iter().filter(|id| record.is_delivered(id)).count();
        (delivered, record.finals(Says::Over).len() + record.finals(Says::NoMore).len())
    });
    println!("seed {}: {} taken, {delivered} delivered, {finals} final", scenario.seed, taken.len());
    let mut wrong = Vec::new();
    if taken.len() < 50 || !lost.is_empty() || violations != Violations::default() {
        wrong.push(format!("{} taken, lost {lost:?}, {violations:?}", taken.len()));
        let ids = of_interest(&lost, &violations);
        wrong.extend(served.logs.iter().flat_map(|log| lives_of(log, &ids)));
    }
    let said = served.logs.iter().flat_map(|log| log.tell(|lines| lines.clone()));
    wrong.extend(said.filter(|line| line.contains("-violation") || line.contains("panicked")));
    std::fs::remove_dir_all(&served.platform.dir).ok();
    wrong.into_iter().map(|line| format!("seed {}, {scenario:?}: {line}", scenario.seed)).collect()
}

/// Guards all rules that rest on answers from faults that overlap.
#[test]
fn no_answer_is_taken_for_anothers_under_faults_that_overlap() {
    let seeds: Vec<u64> = soak_seeds(SEEDS).collect();
    let mut wrong = Vec::new();
    for seeds in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = seeds.iter().map(|seed| Scenario::drawn(*seed)).collect();
        let plays: Vec<_> = plays.into_iter().map(|scenario| spawn(move || play(scenario))).collect();
        wrong.extend(plays.into_iter().flat_map(|play| play.join().unwrap()));
    }
    assert!(wrong.is_empty(), "{} of {} seeds:\n{}", wrong.len(), seeds.len(), wrong.join("\n"));
}
