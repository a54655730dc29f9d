//! Each form in which a final answer may come: alone, in a batch, on a pipeline.

use crate::endpoint::{Copies, Nature};
use crate::finals::{BatchForm, Finals, Form, Says};
use crate::platform::{Terms, TELLS_LIVES};
use crate::rig::{Scene, Seen};
use std::thread::sleep;
use std::time::Duration;

/// For how long callers hand messages in.
const SERVED_FOR: Duration = Duration::from_secs(4);
/// Of a hundred messages, those that have had their final answer.
const PERCENT: u32 = 20;
/// Calls go behind one another.
const PIPELINED: &str = "log {\ntarget messages debug\n}\nbatching {\ndepth 8\n}";

fn nature(says: Says, form: Form, batch: BatchForm, receipts: bool) -> Nature {
    let finals = Some(Finals { percent: PERCENT, says, form, batch });
    Nature { finals, ..Nature::new(Copies::Never, receipts, 1) }
}

fn run(class: &'static str, terms: &Terms, nature: Nature) -> Seen {
    let scene = Scene::new(terms, nature);
    let callers = scene.callers(class);
    sleep(SERVED_FOR);
    scene.seen(callers)
}

/// Plays these side by side, and judges each.
fn all_hold(terms: &Terms, runs: Vec<(&'static str, Nature)>) {
    let seen: Vec<(Seen, Nature)> = std::thread::scope(|scope| {
        let runs: Vec<_> = runs
            .into_iter()
            .map(|(class, nature)| (scope.spawn(move || run(class, terms, nature)), nature))
            .collect();
        runs.into_iter().map(|(run, nature)| (run.join().unwrap(), nature)).collect()
    });
    for (seen, nature) in seen {
        println!("{nature:?}");
        seen.judge();
        // Alone and whole, each is known to be its call's own, so that nothing is left to be told.
        let is_known = terms.per_call == 1 && terms.slots < 64 && nature.finals.unwrap().form == Form::Whole;
        assert!(!is_known || seen.over_and_ended == 0, "{seen:?}");
    }
}

/// A class that may be repeated and a keyed one, with each of these forms.
fn forms(says: Says, forms: &[Form]) -> Vec<(&'static str, Nature)> {
    let each =
        |form: &Form| ["status", "update"].map(|class| (class, nature(says, *form, BatchForm::Whole, true)));
    forms.iter().flat_map(each).collect()
}

/// Guards messages that are over from the second answer on a connection that says so, which reads like the first.
#[test]
fn a_message_answered_410_is_not_called_again() {
    let mut runs = forms(Says::Over, &Form::WHOLE);
    runs.push(("status", nature(Says::Over, Form::Whole, BatchForm::Whole, false)));
    runs.push(("notice", nature(Says::Over, Form::Whole, BatchForm::Whole, true)));
    all_hold(&Terms { operator: TELLS_LIVES, ..Terms::default() }, runs);
}

/// Guards messages that have had all their attempts from another one.
#[test]
fn a_message_answered_504_is_not_called_again() {
    all_hold(&Terms { operator: TELLS_LIVES, ..Terms::default() }, forms(Says::NoMore, &Form::WHOLE));
}

/// Guards messages that may be over: an answer that was cut, however little of it came, is no leave to call again.
#[test]
fn a_410_that_is_cut_is_no_leave_to_call_again() {
    all_hold(&Terms { operator: TELLS_LIVES, ..Terms::default() }, forms(Says::Over, &Form::CUT));
}

/// The same, of messages that may have had all their attempts.
#[test]
fn a_504_that_is_cut_is_no_leave_to_call_again() {
    all_hold(&Terms { operator: TELLS_LIVES, ..Terms::default() }, forms(Says::NoMore, &Form::CUT));
}

/// Guards messages that are over from a process that follows one that was killed.
#[test]
fn a_message_answered_410_is_not_called_again_after_a_kill() {
    std::thread::scope(|scope| {
        for class in ["status", "update"] {
            scope.spawn(move || {
                let nature = nature(Says::Over, Form::Whole, BatchForm::Whole, true);
                let mut scene = Scene::new(&Terms { operator: TELLS_LIVES, ..Terms::default() }, nature);
                let callers = scene.callers(class);
                for _ in 0..3 {
                    sleep(SERVED_FOR / 3);
                    scene.kill();
                }
                scene.seen(callers).judge();
            });
        }
    });
}

/// Guards calls behind one another: neither the message of a final answer nor those behind it whose own is on its way are
/// called again.
#[test]
fn final_answers_on_a_pipeline_are_final() {
    let terms = Terms { slots: 64, operator: PIPELINED, ..Terms::default() };
    let forms =
        [Form::Whole, Form::CutInBody, Form::CutBehindFirstLine, Form::WithClose, Form::WithoutLength];
    let each = |form: Form| {
        [Says::Over, Says::NoMore].map(|says| ("status", nature(says, form, BatchForm::Whole, true)))
    };
    all_hold(&terms, forms.into_iter().flat_map(each).collect());
}

/// Guards the messages of a batch, each with an end of its own, from an answer of which a part is missing.
#[test]
fn final_answers_in_a_batch_are_final() {
    let terms = Terms { slots: 3, per_call: 5, operator: TELLS_LIVES, ..Terms::default() };
    let each = |form: BatchForm| {
        [Says::Over, Says::NoMore].map(|says| ("status", nature(says, Form::Whole, form, true)))
    };
    all_hold(&terms, BatchForm::ALL.into_iter().flat_map(each).collect());
}
