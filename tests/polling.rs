//! The budget of a change: from the moment at which it counts as told to the last call that it forbids.

use basaltloom::polling::{
    LateStage, ListStatus, ListSteps, NotificationBudget, PollSchedule, QuestionBounds, Terms, HOLD_UP,
};
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards the grace of a drain: the bounds of all stages together, with two hold-ups, are no longer, whatever the settings say.
#[test]
fn the_worst_case_of_all_stages_is_within_the_grace() {
    for grace in [400, 500, 650, 1_000, 1_500, 3_000, 10_000] {
        let budget = NotificationBudget::pushed(ms(grace));
        let bounds = QuestionBounds::of(&budget);
        assert!(bounds.step() <= budget.step, "{grace}: {bounds:?} {budget:?}");
        assert!(budget.holds(bounds.step()), "{grace}: {budget:?}");
        let stages = bounds.step() + budget.answer + budget.apply + HOLD_UP * 2;
        assert_eq!(budget.worst_case(bounds.step()), stages);
        assert!(stages <= ms(grace), "{grace}: {stages:?}");
        // Whatever becomes of a question, the next one begins in the step.
        for is_connected in [true, false] {
            assert!(bounds.overdue_after(is_connected) + bounds.retry <= budget.step);
        }
        assert!(bounds.reading() + bounds.retry <= budget.step);
    }
}

/// Guards whoever sets a grace that is shorter than two hold-ups: it is known not to hold.
#[test]
fn a_grace_that_hold_ups_alone_may_use_up_is_not_taken_to_hold() {
    for grace in [0, 100, 300, 340] {
        let budget = NotificationBudget::pushed(ms(grace));
        assert!(!budget.holds(QuestionBounds::of(&budget).step()), "{grace}: {budget:?}");
    }
}

/// Guards the 6 s of sites whose relays have to ask, and discovery there from more questions than before.
#[test]
fn a_site_that_asks_keeps_its_six_seconds() {
    let terms = Terms { within: Some(ms(10_000)), grace: ms(1_000) };
    let bounds = PollSchedule::new(2, terms, 7).bounds();
    assert!(terms.budget().worst_case(bounds.step()) <= ms(6_000));
    assert_eq!((bounds.hold, bounds.patience, bounds.retry), (ms(1_000), ms(500), ms(100)));
    assert_eq!(bounds.open_most, 5);
}

/// Guards the newest questions from those that were never answered: these give way, but for one that is kept for a very late
/// answer.
#[test]
fn unanswered_questions_give_way_to_new_ones() {
    let bounds = QuestionBounds::of(&NotificationBudget::pushed(ms(1_000)));
    let mut asked: Vec<Duration> = Vec::new();
    let mut longest = Duration::ZERO;
    for n in 0..200 {
        let now = bounds.step() * n;
        let ages: Vec<Duration> = asked.iter().map(|at| now - *at).collect();
        longest = longest.max(ages.first().copied().unwrap_or_default());
        if let Some(place) = bounds.giving_way(&ages) {
            asked.remove(place);
        }
        asked.push(now);
        assert!(asked.len() <= bounds.open_most);
        let second = asked.get(1).map_or(Duration::ZERO, |at| now - *at);
        assert!(n < 10 || second >= ms(2_000), "answers 2 s late are heard: {second:?}");
    }
    assert!((ms(16_000)..ms(20_000)).contains(&longest), "{longest:?}");
}

/// Guards the check at run time: a list before which nothing was asked for too long, or that was applied too late, is told.
#[test]
fn a_stage_beyond_its_budget_is_told() {
    let budget = NotificationBudget::pushed(ms(1_000));
    let nanos = |time: Duration| time.as_nanos() as u64;
    let steps = |step: Duration, applying: Duration| ListSteps {
        seq: 1,
        whole: false,
        asked_before: None,
        longest_step: nanos(step),
        asked: 0,
        answered: 0,
        read: 0,
        in_force: nanos(applying),
    };
    let mut status = ListStatus::default();
    assert_eq!(status.came_into_force(steps(ms(5_000), ms(0))), None, "there is no budget yet");
    status.keep(Some(budget));
    assert_eq!(status.came_into_force(steps(budget.step + HOLD_UP, budget.apply + HOLD_UP)), None);
    assert_eq!(status.came_into_force(steps(ms(1_600), ms(0))), Some(LateStage::Unasked));
    assert_eq!(status.came_into_force(steps(ms(450), ms(1_300))), Some(LateStage::Applying));
    assert_eq!(status.late(), 2);
}
