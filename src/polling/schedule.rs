//! How often discovery is asked. One relay may ask as soon as it likes; a hundred that do, and that ask again at once
//! when they are turned away, keep discovery from answering any of them. Each keeps to its part of what the whole fleet
//! may ask, and its seed spreads it. Without I/O: it says how long to wait, whoever asks waits.

use super::budget::NOTIFIED_AFTER_FAILURE;
use super::{NotificationBudget, QuestionBounds};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time that each relay of a fleet adds to the gap between the calls of any one: some 14 calls a second of all
/// together, however many they are.
const EACH: Duration = Duration::from_millis(75);
/// Up to this gap a relay watches: it asks again as soon as it was answered. A watch takes a place at discovery for as
/// long as it waits, and all of them end at one moment when there is news; where relays are many and each answer is
/// asked of discovery itself, they look the list up from time to time instead.
const WATCHED: Duration = Duration::from_secs(1);
/// Of the time after which a relay that has not asked counts as notified, the longest gap: the rest is for the answer.
const GAP_MOST: f64 = 0.75;
/// An answer may take so long at least.
const ANSWER_PATIENCE: Duration = Duration::from_millis(500);
/// The answer to a look-up is waited for so long: discovery has others to answer first.
const LOOK_UP_PATIENCE: Duration = Duration::from_millis(1_500);
/// A change counts as notified so long after discovery has moved.
const NOTIFIED_AFTER_MOVE: Duration = Duration::from_secs(4);
/// Kept of the time until a change counts as notified, for the connection and the clock.
const MARGIN: Duration = Duration::from_millis(300);
/// Refusals in a row that may be chance. Beyond them discovery is reached, and has more to answer than it can: those that
/// go on asking it as often keep it so.
const REFUSED_BY_CHANCE: i32 = 2;
/// By which each further refusal stretches the gap, and how often at most.
const STRETCH: f64 = 1.25;
const STRETCHES: i32 = 4;
/// By chance, on each gap: calls that once met at one moment drift apart.
const SPREAD: f64 = 0.1;

/// What the settings say of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Changes come only to those who ask, and who has not asked for so long counts as notified.
    pub within: Option<Duration>,
    /// New work to an endpoint that drains or is gone has to stop so long after that counts as notified.
    pub grace: Duration,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { within: None, grace: Duration::from_secs(1) }
    }
}

impl Terms {
    /// The time that each stage of a change may take.
    pub fn budget(&self) -> NotificationBudget {
        match self.within {
            None => NotificationBudget::pushed(self.grace),
            Some(_) => NotificationBudget::asked(self.grace),
        }
    }
}

/// What came of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// A list.
    List,
    /// It was turned away, by an answer that came whole.
    Refusal,
    /// No answer, or none that came whole in time.
    Nothing,
}

/// When to ask discovery, for one relay of many.
#[derive(Debug)]
pub struct PollSchedule {
    gap: Duration,
    is_pushed: bool,
    goes_on: bool,
    bounds: QuestionBounds,
    rng: ChaCha8Rng,
    failures: i32,
    refusals: i32,
}

impl PollSchedule {
    /// For one of so many relays; 0 counts as 1. Relays differ by `seed` alone. Where news come to the relay's own
    /// machine by themselves (`terms` has no time), a watch costs nothing.
    pub fn new(senders: u32, terms: Terms, seed: u64) -> PollSchedule {
        let gap = terms.within.map_or(Duration::ZERO, |within| {
            EACH.saturating_mul(senders.max(1)).min(within.mul_f64(GAP_MOST))
        });
        let bounds = QuestionBounds::of(&terms.budget());
        let rng = ChaCha8Rng::seed_from_u64(seed);
        PollSchedule {
            gap,
            is_pushed: terms.within.is_none(),
            goes_on: false,
            bounds,
            rng,
            failures: 0,
            refusals: 0,
        }
    }

    /// Whether to keep a watch; else the whole list is looked up.
    pub fn watches(&self) -> bool {
        self.gap <= WATCHED
    }

    /// Evenly between 0 and 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// The same in the place of one by which this process has asked already: its clock runs on.
    pub fn going_on(self) -> PollSchedule {
        PollSchedule { goes_on: true, ..self }
    }

    /// Before the first call: relays that begin together spread theirs over a gap.
    pub fn first(&mut self) -> Duration {
        match self.goes_on {
            true => self.moved(),
            false => self.spread(),
        }
    }

    fn spread(&mut self) -> Duration {
        match self.watches() {
            true => Duration::ZERO,
            false => self.gap.mul_f64(self.random_fraction()),
        }
    }

    /// Before the first call where discovery has moved to.
    pub fn moved(&mut self) -> Duration {
        self.spread().min(self.in_time_for(NOTIFIED_AFTER_MOVE).mul_f64(self.random_fraction()))
    }

    /// The longest pause after which an answer is there in so long.
    fn in_time_for(&self, limit: Duration) -> Duration {
        limit.saturating_sub(self.patience().max(ANSWER_PATIENCE) + MARGIN)
    }

    /// The longest pause after a call that failed, of which the answer was waited for so long: one that begins later may
    /// have its answer after the time when it counts as notified.
    pub fn longest_after_failure(&self, took: Duration) -> Duration {
        self.in_time_for(NOTIFIED_AFTER_FAILURE).saturating_sub(took)
    }

    /// Chances of the same seed that take none from the relay's own.
    pub fn separate_rng(&self) -> ChaCha8Rng {
        let mut apart = self.rng.clone();
        apart.set_stream(1);
        apart
    }

    /// The bounds of each question.
    pub fn bounds(&self) -> QuestionBounds {
        match self.watches() {
            true => self.bounds,
            false => QuestionBounds { hold: Duration::ZERO, patience: LOOK_UP_PATIENCE, ..self.bounds },
        }
    }

    /// For how long an answer is waited for, beyond the time of a watch.
    pub fn patience(&self) -> Duration {
        self.bounds().patience
    }

    /// Before the next question behind a short answer that stopped in the middle, where lists are pushed: what the agent has
    /// counts as notified all the same.
    pub fn pause_after_short(&self, took: Duration) -> Option<Duration> {
        self.is_pushed.then(|| self.bounds.step().saturating_sub(took).max(self.bounds.retry))
    }

    /// Between a call and the next. A watch goes on only where the next call follows the answer at once. `took`: how
    /// long the call was waited for.
    pub fn pause(&mut self, heard: PollOutcome, took: Duration) -> Duration {
        let count = |so_far: i32, one_more: bool| if one_more { (so_far + 1).min(16) } else { 0 };
        self.failures = count(self.failures, heard != PollOutcome::List);
        self.refusals = count(self.refusals, heard == PollOutcome::Refusal);
        if self.watches() {
            let retry = self.bounds.retry;
            return match heard {
                PollOutcome::List => Duration::ZERO,
                // Each is twice as long as the one before, up to the gap.
                _ => retry.mul_f64(2f64.powi(self.failures - 1)).min(self.gap.max(retry)),
            };
        }
        let spread = 1.0 - SPREAD * self.random_fraction();
        let failed = match heard {
            PollOutcome::List => return self.gap.mul_f64(spread),
            // The call began when discovery may have been back already.
            _ => self.longest_after_failure(took).min(self.gap),
        };
        match self.refusals - REFUSED_BY_CHANCE {
            ..=0 => failed.mul_f64(spread),
            more => self.gap.mul_f64(STRETCH.powi(more.min(STRETCHES)) * spread),
        }
    }
}
