//! Final answers to calls that are out while something happens to the process: signals, a drain, another process that takes over.

use crate::finals::{Form, Says};
use crate::held::Held;
use crate::platform::{Platform, Process, Terms, KILLED_AFTER, TELLS_LIVES};
use crate::stand_ins::{entry, folder, hop, message_within, Discovery};
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The time of each message, and until when its end has been told.
const TIME_MS: u64 = 4_000;
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300);
/// In which an answer on loopback has been read.
const READ_WITHIN: Duration = Duration::from_millis(150);

/// Answers come so many milliseconds after another process was started, which takes over within some ten.
const STEPS_MS: [u64; 5] = [0, 3, 7, 14, 40];

/// A process starts again so long after its end.
const GONE_FOR: Duration = Duration::from_millis(600);

/// A relay of which a message is out at an endpoint that has not answered yet.
struct Out {
    endpoint: Held,
    discovery: Discovery,
    platform: Platform,
}

impl Out {
    fn new(class: &str, says: Says, form: Form) -> (Out, Process) {
        let endpoint = Held::start(says, form);
        let known = entry("h", endpoint.address, "active");
        let discovery = Discovery::start(known.clone());
        let terms = Terms { operator: TELLS_LIVES, ..Terms::default() };
        let platform = Platform::new(&folder(), &terms, discovery.address, &known);
        let process = platform.start_ready();
        assert_eq!(platform.ask(&message_within(class, "m1", TIME_MS)), Some(202));
        assert!(endpoint.calls.until(Duration::from_secs(2), |calls| calls.contains_key("m1")).is_some());
        (Out { endpoint, discovery, platform }, process)
    }

    fn answer(&self) {
        self.endpoint.answers.store(true, Ordering::SeqCst);
        sleep(READ_WITHIN);
    }

    /// How often the message was called, and whether it is over by what was said or its end was told.
    fn came(&self, says: Says, form: Form) -> (u32, bool) {
        sleep(SETTLED_WITHIN);
        std::fs::remove_dir_all(&self.platform.dir).ok();
        let is_told = self.discovery.ended.tell(|ended| ended.contains("m1"));
        let is_over = says == Says::Over && Form::WHOLE.contains(&form);
        (self.endpoint.calls.tell(|calls| calls["m1"]), is_told || is_over)
    }
}

/// What is to come: one call, and the message is settled.
const ONE_CALL: (u32, bool) = (1, true);
const CASES: [(Says, Form); 3] =
    [(Says::Over, Form::Whole), (Says::NoMore, Form::Whole), (Says::Over, Form::CutInBody)];

fn all_hold(play: impl Fn(&str, Says, Form) -> (u32, bool) + Copy + Send + 'static) {
    let cases =
        ["status", "update"].into_iter().flat_map(|class| CASES.map(|(says, form)| (class, says, form)));
    let runs: Vec<_> = cases
        .map(|(class, says, form)| spawn(move || ((class, says, form), play(class, says, form))))
        .collect();
    for run in runs {
        let (case, came) = run.join().unwrap();
        assert_eq!(came, ONE_CALL, "{case:?}: calls, and whether it is settled");
    }
}

/// Guards a message whose final answer comes to the process that made the call, after another one has taken over.
#[test]
fn a_final_answer_at_the_process_before_counts_at_the_one_that_took_over() {
    all_hold(|class, says, form| {
        let (out, old) = Out::new(class, says, form);
        let _new = out.platform.start_ready();
        out.answer();
        old.end();
        out.came(says, form)
    });
}

/// Guards a message whose final answer was told to a process that had taken over, and is killed before it hears of it: the
/// process that takes back calls it no more.
#[test]
fn a_final_answer_told_in_vain_counts_at_the_process_that_takes_back() {
    all_hold(|class, says, form| {
        let (out, old) = Out::new(class, says, form);
        let mut new = out.platform.start_ready();
        new.signal(Signal::STOP);
        out.answer();
        new.kill();
        old.says("taken-back");
        out.came(says, form)
    });
}

/// Guards a message whose final answer was told in vain by a process that was told to end meanwhile: the one that starts next
/// calls it no more.
#[test]
fn a_final_answer_told_in_vain_by_a_process_that_ends_counts_after_the_next_start() {
    all_hold(|class, says, form| {
        let (out, mut old) = Out::new(class, says, form);
        let mut new = out.platform.start_ready();
        new.signal(Signal::STOP);
        out.answer();
        old.signal(Signal::TERM);
        sleep(READ_WITHIN);
        new.kill();
        sleep(GONE_FOR);
        assert!(old.ended().is_some(), "it goes on with nothing to do");
        old.says("answers-recorded");
        let _next = out.platform.start_ready();
        out.came(says, form)
    });
}

/// Plays an answer that comes at this step of a takeover by a process that lives on, or is killed right then.
fn answered_at(step: Duration, is_killed: bool, class: &str, says: Says, form: Form) -> (u32, bool) {
    let (out, mut old) = Out::new(class, says, form);
    let mut new = out.platform.start();
    sleep(step);
    out.endpoint.answers.store(true, Ordering::SeqCst);
    sleep(step / 2);
    if !is_killed {
        assert!(new.ready().is_some(), "it never said yes");
        return out.came(says, form);
    }
    new.kill();
    sleep(READ_WITHIN);
    let next = old.ended().is_some().then(|| out.platform.start_ready());
    let came = out.came(says, form);
    if came != ONE_CALL {
        let processes = [Some(&old), Some(&new), next.as_ref()].into_iter().flatten();
        let logs: Vec<_> = processes.map(|process| process.log.tell(|log| log.clone())).collect();
        eprintln!("{step:?} {class} {says:?} {form:?}: {logs:#?}");
    }
    came
}

fn all_hold_at_each_step(is_killed: bool) {
    let steps = STEPS_MS.map(|step| {
        let step = Duration::from_millis(step);
        spawn(move || all_hold(move |class, says, form| answered_at(step, is_killed, class, says, form)))
    });
    steps.into_iter().for_each(|step| step.join().unwrap());
}

/// Guards a message whose final answer comes while another process is taking over.
#[test]
fn a_final_answer_at_any_step_of_a_takeover_counts() {
    all_hold_at_each_step(false);
}

/// Guards a message whose final answer comes while a process that is taking over is killed.
#[test]
fn a_final_answer_at_any_step_of_a_takeover_that_is_cut_short_counts() {
    all_hold_at_each_step(true);
}

/// Guards a message whose final answer comes behind a SIGHUP that read the configuration again.
#[test]
fn a_final_answer_behind_a_sighup_counts() {
    all_hold(|class, says, form| {
        let (out, process) = Out::new(class, says, form);
        process.signal(Signal::HUP);
        process.says("reread");
        out.answer();
        out.came(says, form)
    });
}

/// Guards a message whose final answer comes from an endpoint that has left the list meanwhile: no other one is called.
#[test]
fn a_final_answer_from_an_endpoint_that_drains_counts() {
    all_hold(|class, says, form| {
        let (out, _process) = Out::new(class, says, form);
        let (other, served) = hop("127.0.0.1:0");
        let drains = entry("h", out.endpoint.address, "leaving");
        out.discovery.next(&format!("{drains},{}", entry("other", other, "active")));
        out.discovery.asked_again();
        out.answer();
        let came = out.came(says, form);
        assert!(served.tell(|served| served.is_empty()), "another endpoint was called");
        came
    });
}

/// Guards a message whose final answer comes between SIGTERM and the kill: the process that follows calls it no more.
#[test]
fn a_final_answer_between_sigterm_and_the_kill_counts_after_the_next_start() {
    all_hold(|class, says, form| {
        let (out, mut process) = Out::new(class, says, form);
        process.signal(Signal::TERM);
        sleep(READ_WITHIN);
        out.answer();
        process.ends_within(KILLED_AFTER);
        process.kill();
        sleep(GONE_FOR);
        let _next = out.platform.start_ready();
        out.came(says, form)
    });
}
