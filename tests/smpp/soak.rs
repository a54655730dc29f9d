//! Slow and failing writes, kills behind answers, SMSCs that are slow, unbind, break or move, upgrades and ESMEs that leave, at
//! random and one over another: what the SMSCs saw and what the ESMEs heard has to agree with what was answered.

use crate::platform::Process;
use crate::rig::{copies, Esme, Rig, TIME};
use crate::stand_ins::play_seeds;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::thread::sleep;
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_secs(14);
/// Runs at the same time.
const SIDE_BY_SIDE: u64 = 4;
/// A process that was killed is started again after this time.
const DOWN: Duration = Duration::from_millis(600);
/// From the last disruption on each message has its receipt within its time and this.
const SETTLES: Duration = Duration::from_secs(4);

struct Soak {
    rig: Rig,
    chance: ChaCha8Rng,
    process: Option<Process>,
    /// All that were ever bound, with the texts of their submits; the last one is bound.
    esmes: Vec<(Esme, BTreeMap<u32, String>)>,
    submitted: u32,
    /// What went on, for whoever reads of a violation.
    story: Vec<String>,
    violations: Vec<String>,
}

impl Soak {
    fn below(&mut self, most: u64) -> u64 {
        u64::from(self.chance.next_u32()) % most
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(from + self.below(to - from))
    }

    fn start(&mut self) {
        self.process = Some(self.rig.start());
        self.bind();
    }

    fn bind(&mut self) {
        self.esmes.push((self.rig.esme(), BTreeMap::new()));
    }

    fn submit(&mut self) {
        let (class, service) = if self.below(3) == 0 { ("dues", "DUES") } else { ("notice", "STAT") };
        let text = format!("{class}-{}", self.submitted);
        self.submitted += 1;
        let to = format!("{}{}", 1 + self.below(2), self.below(15));
        let (esme, texts) = self.esmes.last_mut().unwrap();
        texts.insert(esme.submit(service, &to, &format!("{text} {to}")), text);
    }

    fn kill(&mut self) {
        let mut process = self.process.take().unwrap();
        process.kill();
        self.has_ended(&process);
        sleep(DOWN);
    }

    fn has_ended(&mut self, process: &Process) {
        let lines =
            process.log.tell(|log| log.iter().filter(|line| line.contains("violation")).cloned().collect());
        self.violations.extend::<Vec<String>>(lines);
    }

    /// One disruption; the ones before it may last.
    fn disrupt(&mut self, kind: u64) {
        let smsc = self.below(2) as usize;
        match kind {
            0 | 1 => {
                let time = self.millis(5, 300);
                self.rig.slow.each_write(time);
            }
            2 => {
                self.rig.refuse_writes(self.process.as_ref().unwrap(), true);
                let time = self.millis(20, 400);
                self.submit();
                sleep(time);
                self.rig.refuse_writes(self.process.as_ref().unwrap(), false);
            }
            3 | 4 => {
                (0..10).for_each(|_| self.submit());
                let soon = self.millis(0, 60);
                sleep(soon);
                self.kill();
                self.start();
                if self.below(2) == 0 {
                    let soon = self.millis(0, 300);
                    sleep(soon);
                    self.kill();
                    self.start();
                }
            }
            5 | 6 => {
                let time = self.millis(500, 6_000);
                self.rig.smscs[smsc].takes(time);
            }
            7 => self.rig.smscs[smsc].unbind(),
            8 => self.rig.smscs[smsc].reset(),
            9 => {
                for lead_to in [[2, 1], [0, 1]] {
                    self.rig.lead_to(lead_to);
                    self.process.as_ref().unwrap().signal(Signal::HUP);
                    let soon = self.millis(50, 1_500);
                    sleep(soon);
                }
            }
            10 => {
                let old = self.process.take().unwrap();
                self.start();
                self.has_ended(&old);
                old.end();
            }
            _ => {
                (0..5).for_each(|_| self.submit());
                self.esmes.last().unwrap().0.close();
                self.bind();
            }
        }
    }

    /// What may be disrupted goes as a rule again.
    fn calm(&mut self) {
        self.rig.slow.each_write(Duration::ZERO);
        self.rig.smscs.iter().for_each(|smsc| smsc.takes(Duration::from_millis(20)));
    }

    fn play(&mut self) {
        self.start();
        let (from, mut next) = (Instant::now(), Instant::now());
        while from.elapsed() < LASTS {
            if Instant::now() >= next {
                if self.below(3) == 0 {
                    self.calm();
                }
                let kind = self.below(12);
                let (at, message) = (from.elapsed().as_millis(), self.submitted);
                self.story.push(format!("{at} ms, message {message}: disruption {kind}"));
                self.disrupt(kind);
                next = Instant::now() + self.millis(100, 900);
            }
            self.submit();
            let pause = self.millis(10, 80);
            sleep(pause);
        }
        self.calm();
        sleep(TIME + SETTLES);
    }

    fn judge(mut self) -> Vec<String> {
        let process = self.process.take().unwrap();
        self.has_ended(&process);
        let (mut texts, mut states) = (BTreeMap::new(), BTreeMap::<String, BTreeSet<String>>::new());
        for (esme, of_sequence) in &self.esmes {
            let heard = esme.heard.tell(|heard| (heard.answers.clone(), heard.receipts.clone()));
            let taken = heard.0.into_iter().filter(|(_, status, _)| *status == 0);
            texts.extend(taken.map(|(sequence, _, id)| (id, of_sequence[&sequence].clone())));
            for (id, state, _) in heard.1 {
                states.entry(id).or_default().insert(state);
            }
        }
        let came = self.rig.submits.tell(|all| all.clone());
        for (id, text) in &texts {
            match states.get(id) {
                None => self.violations.push(format!("{text} was answered with 0 and has no receipt")),
                Some(states) if states.len() > 1 => {
                    self.violations.push(format!("{text} ended as {states:?}"))
                }
                Some(_) => {}
            }
        }
        self.violations.extend(copies(&came).into_iter().map(|text| format!("{text} was out twice at once")));
        let (mut first, mut last) = (BTreeSet::new(), BTreeMap::new());
        for came in &came {
            let (text, key) = came.text.split_once(' ').unwrap();
            let is_first = first.insert(text);
            if !is_first && text.starts_with("dues") {
                self.violations.push(format!("{text} was submitted twice"));
            }
            let Some(number) = text.strip_prefix("notice-").filter(|_| is_first) else { continue };
            let number: u32 = number.parse().unwrap();
            if last.insert(key, number).is_some_and(|before| before > number) {
                self.violations.push(format!("{text} to {key} went behind a later one"));
            }
        }
        if texts.len() * 2 < self.submitted as usize {
            self.violations.push(format!("only {} of {} were taken on", texts.len(), self.submitted));
        }
        if !self.violations.is_empty() {
            self.violations.push(self.story.join("; "));
        }
        self.violations
    }
}

fn run(seed: u64) -> Vec<String> {
    let (rig, chance) = (Rig::new(), ChaCha8Rng::seed_from_u64(seed));
    let (esmes, process, story, violations) = Default::default();
    let mut soak = Soak { rig, chance, process, esmes, submitted: 0, story, violations };
    soak.play();
    soak.judge()
}

/// Guards each message that was answered with 0: it has one end, one submit at a time, and goes in the order of its key.
#[test]
fn each_submit_that_is_accepted_has_one_end_whatever_happens() {
    let broken = play_seeds(0..SIDE_BY_SIDE, SIDE_BY_SIDE as usize, run);
    assert!(broken.is_empty(), "{broken:#?}");
}
