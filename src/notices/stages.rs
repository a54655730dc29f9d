//! What an end waited for on its way to the platform, stage by stage: for the log of ends that come near their limits.

use crate::interface::Nanos;

/// How long each stage of an acknowledged end took. Times are nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stages {
    /// What was left to its limit when it was acknowledged; negative: it came after that.
    pub to_limit: i64,
    /// What was left to its limit when it was decided.
    pub margin: i64,
    /// From the decision until its record was written, or waited for no longer.
    pub record: Nanos,
    /// From then to the beginning of its first request.
    pub request: Nanos,
    /// From the beginning of its first request to that of the one that was acknowledged.
    pub tries: Nanos,
    /// What the acknowledged request waited for its connection.
    pub connection: Nanos,
    /// From then to the acknowledgement.
    pub answer: Nanos,
    /// How long the event loop was held up meanwhile.
    pub held_up: Nanos,
    /// Requests that told it.
    pub requests: u32,
}

impl Stages {
    /// Whether it came after its limit, or less than so long before it.
    pub fn is_within(&self, least: Nanos) -> bool {
        self.to_limit < least as i64
    }
}

/// The end that came nearest to its limit, or farthest behind it, in the time that is looked back on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Nearest {
    seen: Option<(Nanos, Stages)>,
}

/// How long the nearest one is remembered.
const REMEMBERED: Nanos = 60_000_000_000;

impl Nearest {
    /// An end was acknowledged.
    pub fn note(&mut self, now: Nanos, stages: Stages) {
        let nearer = |(at, seen): (Nanos, Stages)| now >= at + REMEMBERED || stages.to_limit <= seen.to_limit;
        if self.seen.is_none_or(nearer) {
            self.seen = Some((now, stages));
        }
    }

    /// The nearest one, if any was acknowledged of late.
    pub fn get(&self, now: Nanos) -> Option<Stages> {
        self.seen.filter(|(at, _)| now < at + REMEMBERED).map(|(_, stages)| stages)
    }
}
