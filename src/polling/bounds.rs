//! The bounds of single questions to discovery, made of the budget of a change.

use super::NotificationBudget;
use std::time::Duration;

/// A watch waits so long at most: nothing distinguishes one whose connection has fallen silent from one that has no changes.
const HOLD_MOST: Duration = Duration::from_secs(1);
/// Beyond that its answer is waited for so long at most before the next question.
const PATIENCE_MOST: Duration = Duration::from_millis(500);
/// Between an answer that failed and the next question, at most.
const RETRY_MOST: Duration = Duration::from_millis(100);
/// A connection that is not up by then is not waited for before the next question.
const CONNECT_MOST: Duration = Duration::from_millis(500);
/// Of the longest step between two questions: the part between a failed answer and the next question, and, of the rest, the
/// part for which an answer is waited for beyond the time of a watch.
const RETRY_PART: u32 = 4;
const PATIENCE_PART: u32 = 4;
/// An answer that comes so late is still heard: that many questions are kept open beside one another, within these numbers.
const HEARD_WITHIN: Duration = Duration::from_secs(3);
const OPEN: (usize, usize) = (5, 10);
/// One question is kept for so long, for an answer that comes later than that.
const KEPT_LONGEST: Duration = Duration::from_secs(16);

/// When a question is overdue, and which ones are kept open beside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuestionBounds {
    /// Discovery may wait so long for changes before it answers a watch; zero where there are none.
    pub hold: Duration,
    /// For how long an answer is waited for beyond that before the next question.
    pub patience: Duration,
    /// Between a failed answer and the next question of a watch.
    pub retry: Duration,
    /// For how long a connection is waited for before the next question.
    pub connect: Duration,
    /// Questions that are open beside one another at most.
    pub open_most: usize,
}

impl QuestionBounds {
    /// Those of a watch that keeps a budget.
    pub fn of(budget: &NotificationBudget) -> QuestionBounds {
        let retry = (budget.step / RETRY_PART).min(RETRY_MOST);
        let waited = budget.step - retry;
        let patience = (waited / PATIENCE_PART).min(PATIENCE_MOST);
        let hold = (waited - patience).min(HOLD_MOST);
        let connect = (hold + patience).min(CONNECT_MOST);
        let step = hold + patience + retry;
        let (least, most) = OPEN;
        let open_most = (HEARD_WITHIN.as_nanos() / step.as_nanos()) as usize + 1;
        QuestionBounds { hold, patience, retry, connect, open_most: open_most.clamp(least, most) }
    }

    /// The longest time between the beginnings of two questions of a watch, whatever becomes of the first.
    pub fn step(&self) -> Duration {
        self.hold + self.patience + self.retry
    }

    /// How long after its beginning a question is overdue, be it a watch or for a whole list: both are begun once in a step.
    pub fn overdue_after(&self, is_connected: bool) -> Duration {
        let waited = self.hold + self.patience;
        match is_connected {
            true => waited,
            false => self.connect.min(waited),
        }
    }

    /// For how long a short answer to a watch is waited for once it has begun: the next question is to begin in its step all
    /// the same.
    pub fn reading(&self) -> Duration {
        (self.hold + self.patience).min(PATIENCE_MOST)
    }

    /// Of open questions of these ages, the oldest first, the place of the one that gives way to a new one. The oldest is
    /// kept beyond the others, for answers that are very late.
    pub fn giving_way(&self, ages: &[Duration]) -> Option<usize> {
        let is_full = ages.len() >= self.open_most;
        let oldest = *ages.first()?;
        is_full.then_some(usize::from(oldest < KEPT_LONGEST && ages.len() > 1))
    }
}
