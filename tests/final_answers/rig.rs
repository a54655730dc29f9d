//! One relay with one endpoint that has final answers for some messages, under callers.

use crate::callers::{Callers, Traffic};
use crate::endpoint::{Endpoint, Nature, Record, Violations};
use crate::finals::Says;
use crate::platform::{Platform, Process, Terms};
use crate::stand_ins::{entry, folder, Discovery};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::Duration;

/// The time of each message, and by when its end has been told: its time, the rule's slack, and that of a restart.
const TIME_MS: u64 = 4_000;
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300 + 1_500);
/// Between two messages of one caller.
const PAUSE: Duration = Duration::from_millis(50);
const CALLERS: usize = 8;

/// The next process, once it has said yes, by a line of the shell.
pub fn start_by(platform: &Platform, line: &str) -> Process {
    let operator = platform.dir.join("relay.conf");
    let process = platform.start_by(line, |command| command.env("OPERATOR", operator));
    assert!(process.ready().is_some(), "it never said yes: {:?}", process.log.tell(|lines| lines.clone()));
    process
}

/// A relay, its endpoint and discovery.
pub struct Scene {
    pub platform: Platform,
    pub endpoint: Endpoint,
    pub discovery: Discovery,
    pub processes: Vec<Process>,
    nature: Nature,
}

/// What came of a run.
#[derive(Debug)]
#[allow(dead_code)]
pub struct Seen {
    pub taken: usize,
    pub delivered: usize,
    pub finals: usize,
    /// Messages that were over by a 410, and were ended by a notice all the same.
    pub over_and_ended: usize,
    pub batches: u32,
    pub calls: usize,
    pub connections: usize,
    /// Neither delivered, nor over, nor ended by a notice.
    pub lost: BTreeSet<String>,
    pub violations: Violations,
    /// Lines of the log that tell of a broken rule.
    pub told: Vec<String>,
    /// The lines of the log about messages that were lost or called after their final answer.
    pub lives: Vec<String>,
}

impl Scene {
    pub fn new(terms: &Terms, nature: Nature) -> Scene {
        let discovery = Discovery::start(String::new());
        let endpoint = Endpoint::start(nature, discovery.ended.clone());
        let known = entry("h", endpoint.address, "active");
        discovery.list(&known);
        let platform = Platform::new(&folder(), terms, discovery.address, &known);
        let processes = vec![platform.start_ready()];
        Scene { platform, endpoint, discovery, processes, nature }
    }

    /// Callers of one class; keyed messages are in order.
    pub fn callers(&self, class: &'static str) -> Callers {
        let traffic = Traffic { class, time_ms: TIME_MS, in_order: class == "update", pause: PAUSE };
        Callers::start_with(CALLERS, self.platform.address, traffic)
    }

    /// Kills the process that serves, and starts another when the platform would.
    pub fn kill(&mut self) {
        Record::kill(&self.endpoint.record, self.processes.last_mut().unwrap());
        sleep(Duration::from_millis(600));
        self.processes.push(self.platform.start_ready());
    }

    /// What came of it, once all that the callers handed in has had its time.
    pub fn seen(self, callers: Callers) -> Seen {
        let taken = callers.stop().taken;
        sleep(SETTLED_WITHIN);
        let ended = self.discovery.ended.tell(|ended| ended.clone());
        let log: Vec<String> =
            self.processes.iter().flat_map(|process| process.log.tell(|lines| lines.clone())).collect();
        let told = log.iter().filter(|line| line.contains("-violation") || line.contains("panicked"));
        let mut seen = self.endpoint.record.tell(|record| Seen {
            taken: taken.len(),
            delivered: taken.iter().filter(|id| record.is_delivered(id)).count(),
            finals: record.finals(Says::Over).len() + record.finals(Says::NoMore).len(),
            over_and_ended: record.finals(Says::Over).intersection(&ended).count(),
            batches: record.batches,
            calls: self.endpoint.calls.load(Ordering::SeqCst),
            connections: self.endpoint.connections.load(Ordering::SeqCst),
            lost: taken.iter().filter(|id| !record.is_over(id) && !ended.contains(*id)).cloned().collect(),
            violations: record.violations.clone(),
            told: told.cloned().collect(),
            lives: Vec::new(),
        });
        let of_interest: Vec<String> =
            seen.lost.iter().chain(&seen.violations.called_after_final).take(3).cloned().collect();
        seen.lives = self.processes.iter().flat_map(|process| process.lives_of(&of_interest)).collect();
        println!("{:?}: {}", self.nature, seen.words());
        std::fs::remove_dir_all(&self.platform.dir).ok();
        seen
    }
}

impl Seen {
    /// Counts in place of ids.
    fn words(&self) -> String {
        let Seen {
            taken,
            delivered,
            finals,
            over_and_ended,
            batches,
            calls,
            connections,
            lost,
            violations,
            told,
            ..
        } = self;
        let Violations { run_again, out_twice, out_of_turn, called_after_final } = violations;
        format!(
            "{taken} taken, {delivered} delivered, {finals} final, {over_and_ended} of them over and ended, {} called after, {} lost, {} run again, {} out twice, \
             {} out of turn, {calls} calls, {batches} batches, {connections} connections, {} lines told",
            called_after_final.len(),
            lost.len(),
            run_again.len(),
            out_twice.len(),
            out_of_turn.len(),
            told.len()
        )
    }

    /// Final answers came, and no rule was broken.
    pub fn judge(&self) {
        self.lives.iter().for_each(|line| println!("{line}"));
        assert!(self.taken > 200 && self.finals >= 5, "{self:?}");
        assert_eq!((&self.lost, &self.violations), (&BTreeSet::new(), &Violations::default()), "{self:?}");
        assert!(self.told.is_empty(), "{:?}", self.told);
    }
}
