//! The log of notices: how many ends are owed, how old the oldest is, why tries failed, and ends that came too late.

use crate::interface::Nanos;
use crate::notices::{Failure, Figures, Stages};

const MS: Nanos = 1_000_000;
/// An end that is owed for longer is told of in the log.
const NOTABLE_AGE: Nanos = 100 * MS;
/// An end that is acknowledged with less time than this to its limit is told of, stage by stage.
const NEAR_LIMIT: Nanos = 100 * MS;
/// Of these as many in a second at most.
const NEAR_LIMIT_MOST: u32 = 20;
/// What goes on is told again after this time.
const TELL_EACH: Nanos = 1_000 * MS;

/// What the log knows of already.
#[derive(Debug, Default)]
pub(super) struct NoticeLog {
    told_at: Nanos,
    is_behind: bool,
    last: Option<Failure>,
    violations: Option<u64>,
    /// The second that is counted in, and ends near their limits that were told of in it.
    near_limit: (Nanos, u32),
}

impl NoticeLog {
    /// Why a try failed: told with the next line.
    pub fn failed(&mut self, failure: Failure) {
        match failure {
            Failure::Refused(status) => {
                tracing::warn!(target: "platform", event = "notices-refused", status, "notices: not taken, told again")
            }
            Failure::Unreadable => {
                let status = 400;
                tracing::warn!(target: "platform", event = "notices-refused", status, "notices: not read, told by halves")
            }
            Failure::Unanswered if self.last != Some(failure) => {
                tracing::warn!(target: "platform", event = "notices-unanswered", "notices: no answer, told again")
            }
            Failure::Unanswered => {}
        }
        self.last = Some(failure);
    }

    /// Tells of an end that came late or nearly so, with what it waited for.
    pub fn acknowledged(&mut self, now: Nanos, id: &str, stages: &Stages) {
        if !stages.is_within(NEAR_LIMIT) {
            return;
        }
        let second = now / TELL_EACH;
        if self.near_limit.0 != second {
            self.near_limit = (second, 0);
        }
        self.near_limit.1 += 1;
        if self.near_limit.1 > NEAR_LIMIT_MOST {
            return;
        }
        let Stages { to_limit, margin, requests, .. } = *stages;
        let (to_limit_ms, margin_ms) = (to_limit / MS as i64, margin / MS as i64);
        let (record_ms, request_ms, tries_ms) = (stages.record / MS, stages.request / MS, stages.tries / MS);
        let (connection_ms, answer_ms) = (stages.connection / MS, stages.answer / MS);
        let held_up_ms = stages.held_up / MS;
        tracing::warn!(target: "platform", event = "end-near-limit", id, to_limit_ms, margin_ms, record_ms, request_ms, tries_ms, connection_ms, answer_ms, held_up_ms, requests, "an end came near its limit or after it");
    }

    /// Tells of what is owed for long, once a second, and when it is over.
    pub fn look(&mut self, now: Nanos, figures: Figures) {
        self.check(&figures);
        match figures.oldest >= NOTABLE_AGE {
            true if now >= self.told_at + TELL_EACH || !self.is_behind => {
                self.is_behind = true;
                self.told_at = now;
                tell(now, &figures, self.last);
            }
            false if self.is_behind && figures.owed == 0 => {
                self.is_behind = false;
                self.last = None;
                tracing::info!(target: "platform", event = "ends-told", "all ends are acknowledged");
            }
            _ => {}
        }
    }

    /// An end that is acknowledged after its limit breaks the rule on lost requests.
    fn check(&mut self, figures: &Figures) {
        let known = self.violations.replace(figures.violations).unwrap_or(figures.violations);
        let count = figures.violations - known;
        if count > 0 {
            let violations = figures.violations;
            tracing::error!(target: "platform", event = "notice-violation", count, violations, "ends were acknowledged after their limits");
        }
    }
}

fn tell(now: Nanos, figures: &Figures, last: Option<Failure>) {
    let Figures {
        owed, oldest, first_limit, open, begun, given_up, failed, acknowledged_in, ends_take, ..
    } = *figures;
    let oldest_ms = oldest / MS;
    let limit = first_limit.unwrap_or(now);
    let to_limit_ms = (limit as i64 - now as i64) / MS as i64;
    let (acknowledged_in_ms, ends_take_ms) = (acknowledged_in / MS, ends_take / MS);
    tracing::warn!(target: "platform", event = "ends-owed", count = owed, oldest_ms, to_limit_ms, open, begun, given_up, failed, ?last, acknowledged_in_ms, ends_take_ms, "ends wait for the platform's acknowledgement");
}

/// The figures of what is owed, a line each.
pub fn text(now: Nanos, figures: &Figures) -> String {
    let to_limit = figures.first_limit.map_or(0, |limit| (limit as i64 - now as i64) / MS as i64);
    let rows = [
        ("owed", figures.owed as i64),
        ("oldest_ms", (figures.oldest / MS) as i64),
        ("to_limit_ms", to_limit),
        ("open", figures.open as i64),
        ("begun", figures.begun as i64),
        ("given_up", figures.given_up as i64),
        ("failed", figures.failed as i64),
        ("acknowledged_in_ms", (figures.acknowledged_in / MS) as i64),
        ("ends_take_ms", (figures.ends_take / MS) as i64),
        ("violations", figures.violations as i64),
    ];
    let nearest = figures.nearest.iter().flat_map(nearest_rows);
    rows.into_iter().chain(nearest).map(|(name, figure)| format!("{name} {figure}\n")).collect()
}

/// The end that came nearest to its limit in the last minute, stage by stage.
fn nearest_rows(stages: &Stages) -> [(&'static str, i64); 8] {
    let ms = |time: Nanos| (time / MS) as i64;
    [
        ("nearest_to_limit_ms", stages.to_limit / MS as i64),
        ("nearest_margin_ms", stages.margin / MS as i64),
        ("nearest_record_ms", ms(stages.record)),
        ("nearest_request_ms", ms(stages.request)),
        ("nearest_tries_ms", ms(stages.tries)),
        ("nearest_connection_ms", ms(stages.connection)),
        ("nearest_answer_ms", ms(stages.answer)),
        ("nearest_held_up_ms", ms(stages.held_up)),
    ]
}
