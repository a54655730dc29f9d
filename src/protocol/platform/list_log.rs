//! The log of lists: when each was asked for, answered and in force; the same at the console.

use crate::interface::Nanos;
use crate::polling::{LateStage, ListStatus, ListSteps};

const MS: Nanos = 1_000_000;

/// Tells of a list that is in force, and of a stage before that which took longer than it may.
pub(super) fn tell(steps: &ListSteps, late: Option<LateStage>) {
    let ListSteps { seq, whole, .. } = *steps;
    let step_ms = steps.longest_step / MS;
    let [unasked_ms, answer_ms, read_ms, apply_ms] = stages(steps);
    tracing::info!(target: "platform", event = "list-in-force", seq, whole, unasked_ms, step_ms, answer_ms, read_ms, apply_ms, "a list of discovery is in force");
    if let Some(stage) = late {
        tracing::warn!(target: "platform", event = "list-late", seq, ?stage, step_ms, read_ms, apply_ms, "a list came into force later than its budget allows");
    }
}

/// Milliseconds between questions that were answered, to the head of the answer, until it was read, until it was in force.
fn stages(steps: &ListSteps) -> [Nanos; 4] {
    [
        steps.unasked() / MS,
        steps.answered.saturating_sub(steps.asked) / MS,
        steps.read.saturating_sub(steps.answered) / MS,
        steps.in_force.saturating_sub(steps.read) / MS,
    ]
}

/// The figures of the list in force, a line each.
pub fn text(now: Nanos, status: &ListStatus) -> String {
    let mut rows = vec![("age_ms", status.age(now).unwrap_or(now) / MS), ("late", status.late())];
    if let Some(steps) = status.last() {
        let names = ["last_unasked_ms", "last_answer_ms", "last_read_ms", "last_apply_ms"];
        let in_force = now.saturating_sub(steps.in_force) / MS;
        rows.extend([("seq", steps.seq), ("in_force_for_ms", in_force)]);
        rows.extend(names.into_iter().zip(stages(steps)));
    }
    rows.into_iter().map(|(name, figure)| format!("{name} {figure}\n")).collect()
}
