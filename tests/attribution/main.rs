//! Second copies of answers, on calls to a real process of the program: no message may be lost, run again, called twice at
//! once or go out of its turn because the answer to another was taken for its own.

mod agent;
#[path = "../upgrade/callers.rs"]
mod callers;
mod endpoint;
mod finals;
#[path = "../upgrade/platform.rs"]
#[allow(dead_code)]
mod platform;
mod soak;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use agent::Agent;
use callers::{Callers, Traffic};
use endpoint::{Copies, Endpoint, Nature, Violations};
use platform::{free_address, Platform, Terms, TELLS_LIVES};
use stand_ins::{entry, folder, hop, Discovery};
use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;

/// The time of each message, and by when its end has been told.
const TIME_MS: u64 = 4_000;
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300);
/// For how long callers hand messages in.
const SERVED_FOR: Duration = Duration::from_secs(8);

/// Calls go behind one another.
const PIPELINED: &str = "log {\ntarget messages debug\n}\nbatching {\ndepth 4\n}";

/// Between two messages of one caller.
const PAUSE: Duration = Duration::from_millis(50);

/// What came of a run.
#[derive(Debug)]
#[allow(dead_code)]
struct Seen {
    taken: usize,
    copies: u32,
    batches: u32,
    connections: usize,
    lost: BTreeSet<String>,
    violations: Violations,
}

/// Messages to be looked up in the log where a rule was broken, the first two. Of messages in order all of their key are named.
fn of_interest(lost: &BTreeSet<String>, violations: &Violations) -> Vec<String> {
    let Violations { run_again, out_twice, out_of_turn, called_after_final } = violations;
    let broken = lost.iter().chain(called_after_final).chain(run_again).chain(out_twice).chain(out_of_turn);
    broken.take(2).map(|id| id.split_once('@').map_or(id.as_str(), |(_, key)| key).to_string()).collect()
}

/// Eight callers of one class, or three of each, before one relay with one endpoint.
fn run(classes: &[&'static str], terms: &Terms, nature: Nature) -> Seen {
    let discovery = Discovery::start(String::new());
    let endpoint = Endpoint::start(nature, discovery.ended.clone());
    let known = entry("h", endpoint.address, "active");
    discovery.list(&known);
    let platform = Platform::new(&folder(), terms, discovery.address, &known);
    let process = platform.start_ready();
    let count = if classes.len() == 1 { 8 } else { 3 };
    let call = |class: &&'static str| {
        let traffic = Traffic { class, time_ms: TIME_MS, in_order: *class == "update", pause: PAUSE };
        Callers::start_with(count, platform.address, traffic)
    };
    let callers: Vec<Callers> = classes.iter().map(call).collect();
    sleep(SERVED_FOR);
    let taken: BTreeSet<String> = callers.into_iter().flat_map(|callers| callers.stop().taken).collect();
    sleep(SETTLED_WITHIN);
    let ended = discovery.ended.tell(|ended| ended.clone());
    let seen = endpoint.record.tell(|record| Seen {
        taken: taken.len(),
        copies: record.copies_sent,
        batches: record.batches,
        connections: endpoint.connections.load(std::sync::atomic::Ordering::SeqCst),
        lost: taken.iter().filter(|id| !record.is_over(id) && !ended.contains(*id)).cloned().collect(),
        violations: record.violations.clone(),
    });
    println!("{classes:?} {nature:?}: {seen:?}");
    let of_interest = of_interest(&seen.lost, &seen.violations);
    process.lives_of(&of_interest).iter().for_each(|line| println!("{line}"));
    std::fs::remove_dir_all(&platform.dir).ok();
    seen
}

/// The rules hold with copies that come like this, whether endpoints' answers read alike or each has a receipt.
fn holds(copies: Copies) {
    let classes: [&[&'static str]; 4] =
        [&["notice"], &["status"], &["update"], &["notice", "status", "update"]];
    let runs: Vec<_> = classes
        .into_iter()
        .flat_map(|classes| [false, true].map(|receipts| (classes, Nature::new(copies, receipts, 1))))
        .map(|(classes, nature)| {
            std::thread::spawn(move || {
                run(classes, &Terms { operator: TELLS_LIVES, ..Terms::default() }, nature)
            })
        })
        .collect();
    runs.into_iter().for_each(|run| judge(&run.join().unwrap(), copies));
}

/// Something was seen, copies too where they are sent, and no rule was broken.
fn judge(seen: &Seen, copies: Copies) {
    assert!(seen.taken > 300, "{seen:?}");
    assert!(copies == Copies::Never || seen.copies > 10, "{seen:?}");
    assert_eq!((&seen.lost, &seen.violations), (&BTreeSet::new(), &Violations::default()), "{seen:?}");
}

/// Guards the oracle: without copies it has nothing to say.
#[test]
fn no_rule_is_broken_without_copies() {
    holds(Copies::Never);
}

/// Guards calls from a second copy that comes just behind their request, which nothing read before it can tell.
#[test]
fn a_copy_behind_the_next_request_is_not_its_answer() {
    holds(Copies::AtTheNextRequest(0, 12));
}

/// Guards calls from a second copy that lies unread when they are written.
#[test]
fn a_copy_before_the_next_request_is_not_its_answer() {
    holds(Copies::Behind(1, 30));
}

/// Guards calls from a second copy that comes long after, whatever was carried meanwhile.
#[test]
fn a_late_copy_is_not_the_answer_of_a_later_call() {
    holds(Copies::Behind(30, 400));
}

/// Guards calls from a second copy in one write with the answer.
#[test]
fn a_copy_with_the_answer_is_not_the_answer_of_the_next_call() {
    holds(Copies::WithTheAnswer);
}

/// Guards calls from a second copy of which a part comes early.
#[test]
fn a_copy_in_two_parts_is_not_the_answer_of_the_next_call() {
    holds(Copies::InTwoParts);
}

/// Guards batches: an answer that names none of a call's messages leaves open whether they ran, and its connection goes
/// with it.
#[test]
fn a_copy_on_a_batch_does_not_have_it_called_again_beside_itself() {
    let terms = Terms { slots: 3, per_call: 4, operator: TELLS_LIVES, ..Terms::default() };
    let spans = [Copies::AtTheNextRequest(0, 12), Copies::Behind(1, 30), Copies::WithTheAnswer];
    std::thread::scope(|scope| {
        for copies in spans {
            let terms = &terms;
            scope.spawn(move || {
                let nature = Nature::new(copies, true, 2);
                let seen = run(&["status", "update"], terms, nature);
                assert!(seen.batches > 50, "{seen:?}");
                judge(&seen, copies);
            });
        }
    });
}

/// Guards calls behind one another on a connection: a copy ends none of those that are out behind the call that it answers.
#[test]
fn a_copy_on_a_pipeline_is_not_the_answer_of_a_call_behind() {
    let terms = Terms { slots: 64, operator: PIPELINED, ..Terms::default() };
    let spans =
        [Copies::Never, Copies::AtTheNextRequest(0, 12), Copies::Behind(1, 30), Copies::WithTheAnswer];
    std::thread::scope(|scope| {
        for (copies, receipts) in spans.into_iter().flat_map(|copies| [(copies, false), (copies, true)]) {
            let terms = &terms;
            scope.spawn(move || {
                let nature = Nature::new(copies, receipts, 3);
                judge(&run(&["notice", "status", "update"], terms, nature), copies);
            });
        }
    });
}

/// Guards ends from a second copy of an acknowledgement: the notice that it seemed to answer was never heard.
#[test]
fn a_copy_of_an_acknowledgement_ends_no_other_message() {
    // Nobody is there: each message is given up in its time.
    let known = entry("h", free_address(), "active");
    let agent = Agent::start(&known);
    let platform = Platform::new(&folder(), &Terms::default(), agent.address, &known);
    let _process = platform.start_ready();
    let traffic = Traffic { class: "notice", time_ms: 500, in_order: false, pause: PAUSE };
    let callers = Callers::start_with(8, platform.address, traffic);
    sleep(Duration::from_secs(3));
    let taken = callers.stop().taken;
    assert!(taken.len() > 20, "{taken:?}");
    let all = agent.ended.until(Duration::from_secs(3), |ended| taken.is_subset(ended));
    let unheard = agent.ended.tell(|ended| taken.difference(ended).count());
    assert!(all.is_some(), "{unheard} of {} ends were never heard", taken.len());
    std::fs::remove_dir_all(&platform.dir).ok();
}

/// Guards drains and removals from a second copy of an older list: an endpoint that has left stays away.
#[test]
fn a_copy_of_an_older_list_brings_no_endpoint_back() {
    let (old, old_served) = hop("127.0.0.1:0");
    let (new, new_served) = hop("127.0.0.1:0");
    let known = entry("old", old, "active");
    let agent = Agent::start(&known);
    let platform = Platform::new(&folder(), &Terms::default(), agent.address, &known);
    let _process = platform.start_ready();
    let traffic = Traffic { class: "status", time_ms: TIME_MS, in_order: false, pause: PAUSE };
    let callers = Callers::start_with(4, platform.address, traffic);
    sleep(Duration::from_secs(1));
    agent.change(&entry("new", new, "active"));
    sleep(Duration::from_secs(2));
    let before = old_served.tell(|served| served.len());
    sleep(Duration::from_secs(2));
    callers.stop();
    let after = old_served.tell(|served| served.len());
    assert!(before > 0 && new_served.tell(|served| served.len()) > 50);
    assert_eq!(after, before, "calls went to an endpoint that had left");
    std::fs::remove_dir_all(&platform.dir).ok();
}
