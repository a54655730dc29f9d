//! Final answers that come while the lasting folder takes no writes, and a kill behind them.

use crate::finals::{Form, Says};
use crate::held::Held;
use crate::platform::{Platform, Process, Terms, TELLS_LIVES};
use crate::rig::start_by;
use crate::stand_ins::{entry, folder, message_within, Discovery};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::sync::atomic::Ordering;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// The time of each message, and until when its end has been told.
const TIME_MS: u64 = 4_000;
const SETTLED_WITHIN: Duration = Duration::from_millis(TIME_MS + 300 + 1_500);
/// A write that goes beyond the limit of the file's size raises a signal, which would end the process.
const START: &str = "trap '' XFSZ; exec \"$0\" serve --operator \"$OPERATOR\" 3<&0 0</dev/null";

/// Lets files that this process writes grow to so many bytes; more is refused by the system.
fn files_hold(process: &Process, bytes: Option<u64>) {
    let pid = Pid::from_raw(process.id() as i32);
    prlimit(pid, Resource::Fsize, Rlimit { current: bytes, maximum: None }).unwrap();
}

/// Has a message's final answer come while no write is taken, kills the process, and returns how often the message was called
/// and whether its end was told.
fn killed_behind_a_final_answer(class: &str, says: Says, form: Form) -> (u32, bool) {
    let endpoint = Held::start(says, form);
    let known = entry("h", endpoint.address, "active");
    let discovery = Discovery::start(known.clone());
    let terms = Terms { operator: TELLS_LIVES, ..Terms::default() };
    let platform = Platform::new(&folder(), &terms, discovery.address, &known);
    let mut process = start_by(&platform, START);
    let id = "m1";
    assert_eq!(platform.ask(&message_within(class, id, TIME_MS)), Some(202));
    assert!(endpoint.calls.until(Duration::from_secs(2), |calls| calls.contains_key(id)).is_some());
    let journal = platform.state().join("relay.journal");
    files_hold(&process, Some(std::fs::metadata(&journal).unwrap().len()));
    endpoint.answers.store(true, Ordering::SeqCst);
    process.says("journal-behind");
    process.kill();
    sleep(Duration::from_millis(600));
    let _next = start_by(&platform, START);
    sleep(SETTLED_WITHIN);
    std::fs::remove_dir_all(&platform.dir).ok();
    (endpoint.calls.tell(|calls| calls[id]), discovery.ended.tell(|ended| ended.contains(id)))
}

/// Guards messages that are over from the next process, where what happened to them could not be written: it calls none of
/// them again, and ends what it does not know to be over.
#[test]
fn a_final_answer_that_could_not_be_written_is_final_after_a_kill() {
    let cases = ["status", "update"].into_iter().flat_map(|class| {
        [(Says::Over, Form::Whole), (Says::NoMore, Form::Whole), (Says::Over, Form::CutInBody)]
            .map(|(says, form)| (class, says, form))
    });
    let runs: Vec<_> = cases
        .map(|(class, says, form)| {
            spawn(move || ((class, says, form), killed_behind_a_final_answer(class, says, form)))
        })
        .collect();
    for run in runs {
        let (case, came) = run.join().unwrap();
        assert_eq!(came, (1, true), "{case:?}: calls, and whether its end was told");
    }
}
