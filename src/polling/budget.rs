//! How long a change may take from the moment at which it counts as notified to the last call that it forbids, dealt out to the
//! stages between them.

use std::time::Duration;

/// The relay may be held up for so long between reading its clock and writing, once before a question and once before a call.
pub const HOLD_UP: Duration = Duration::from_millis(150);
const HOLD_UPS: u32 = 2;
/// Where changes come to those who ask, a change counts as notified so long after discovery had it and could be reached.
pub const NOTIFIED_AFTER_FAILURE: Duration = Duration::from_secs(6);
/// Of what hold-ups leave, the parts that are kept for the way to a question's answer, and for putting its list in force.
const ANSWER_PART: f64 = 1.0 / 7.0;
const APPLY_PART: f64 = 3.0 / 14.0;
/// The most that is kept for either.
const ANSWER_MOST: Duration = Duration::from_millis(500);
const APPLY_MOST: Duration = Duration::from_millis(750);
/// Questions are never begun closer together than this, however short the grace.
const STEP_LEAST: Duration = Duration::from_millis(50);

/// The time that each stage between a change and the last call that it forbids may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotificationBudget {
    /// All of them together.
    pub limit: Duration,
    /// Between the beginnings of two questions, whatever becomes of the first.
    pub step: Duration,
    /// From the beginning of a question to its answer, the connection included.
    pub answer: Duration,
    /// From the answer until its list is in force.
    pub apply: Duration,
}

impl NotificationBudget {
    /// Where lists are pushed: what the agent has counts as notified at once, and new work is to stop `grace` after that.
    pub fn pushed(grace: Duration) -> NotificationBudget {
        NotificationBudget::within(grace)
    }

    /// Where changes come to those who ask: a change counts as notified some time after discovery had it, then `grace` begins.
    pub fn asked(grace: Duration) -> NotificationBudget {
        NotificationBudget::within(NOTIFIED_AFTER_FAILURE + grace)
    }

    fn within(limit: Duration) -> NotificationBudget {
        let spare = limit.saturating_sub(HOLD_UP * HOLD_UPS);
        let answer = spare.mul_f64(ANSWER_PART).min(ANSWER_MOST);
        let apply = spare.mul_f64(APPLY_PART).min(APPLY_MOST);
        let step = spare.saturating_sub(answer + apply).max(STEP_LEAST);
        NotificationBudget { limit, step, answer, apply }
    }

    /// From the moment at which a change counts as notified to the first byte of the last call that it forbids, where questions
    /// are begun so long apart and every stage takes all of its time.
    pub fn worst_case(&self, step: Duration) -> Duration {
        step + self.answer + self.apply + HOLD_UP * HOLD_UPS
    }

    /// Whether that is in time with questions so long apart.
    pub fn holds(&self, step: Duration) -> bool {
        self.worst_case(step) <= self.limit
    }
}
