//! When to ask again for a list that came and could not be used: it is long, and the next one is likely as bad.

use rand_chacha::rand_core::RngCore;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// The first pause.
const FIRST: Duration = Duration::from_millis(250);
/// The longest pause.
const MOST: Duration = Duration::from_secs(60);
/// Of each pause, the part that is up to chance: relays that had the same list at one moment drift apart.
const SPREAD: f64 = 0.5;

/// Pauses of which each is twice as long as the one before, less what is up to chance.
#[derive(Debug)]
pub struct Backoff {
    chance: ChaCha8Rng,
    next: Duration,
}

impl Backoff {
    /// Relays differ by these chances alone.
    pub fn new(chance: ChaCha8Rng) -> Self {
        Backoff { chance, next: FIRST }
    }

    /// The pause before the next question.
    pub fn pause(&mut self) -> Duration {
        let longest = self.next;
        self.next = (longest * 2).min(MOST);
        let roll = f64::from(self.chance.next_u32()) / f64::from(u32::MAX);
        longest.mul_f64(1.0 - SPREAD * roll)
    }

    /// A list was taken in: the next trouble begins anew.
    pub fn reset(&mut self) {
        self.next = FIRST;
    }
}
