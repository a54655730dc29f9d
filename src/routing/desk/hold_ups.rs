//! Hold-ups of the event loop: how much later than it was to a task ran that is woken often.

use crate::interface::Nanos;
use rustix::time::{clock_gettime, ClockId};

const MS: Nanos = 1_000_000;
/// A shorter one is not told of.
const NOTABLE: Nanos = 100 * MS;

/// When the task was to run next, and the processor time that the loop's thread had used when that was said.
#[derive(Debug, Default)]
pub(super) struct HoldUps {
    waits: Option<(Nanos, Nanos)>,
}

impl HoldUps {
    /// The task is to run at this time at the latest.
    pub fn wait_until(&mut self, due: Nanos) {
        self.waits = Some((due, processor_time()));
    }

    /// The task runs: for how long the loop was held up, where that is notable.
    pub fn woken(&mut self, front: &'static str, now: Nanos) -> Option<Nanos> {
        let (due, used_before) = self.waits.take()?;
        let late = now.saturating_sub(due);
        if late < NOTABLE {
            return None;
        }
        let (ms, processor_ms) = (late / MS, processor_time().saturating_sub(used_before) / MS);
        tracing::warn!(target: "relay", event = "held-up", front, ms, processor_ms, "the event loop did not run when it was to");
        Some(late)
    }
}

/// What this thread has used so far: a loop that was held up by work of its own has used as much as the hold-up took.
fn processor_time() -> Nanos {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos
}
