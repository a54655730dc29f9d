//! How often discovery is asked. One relay may ask as soon as it likes; a hundred that do, and that ask again at once
//! when they are turned away, keep discovery from answering any of them. Each keeps to its part of what the whole fleet
//! may ask, and its seed spreads it. Without I/O: it says how long to wait, whoever asks waits.

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
/// A watch waits so long: nothing tells one whose connection has fallen silent from one that has no news.
const HOLD: Duration = Duration::from_secs(1);
/// Of the time after which a relay that has not asked counts as told, the longest gap: the rest is for the answer.
const GAP_MOST: f64 = 0.75;
/// An answer is waited for so long, beyond the time of a watch: discovery has others to answer first.
const PATIENCE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(2_500));
/// Between the calls of a watch that fails: each is twice as long as the one before, up to the gap, this at least.
const RETRY: Duration = Duration::from_millis(100);
/// By which each further call that fails stretches the gap, and how often at most.
const STRETCH: f64 = 1.25;
const STRETCHES: i32 = 4;
/// By chance, on each gap: calls that once met at one moment drift apart.
const SPREAD: f64 = 0.1;

/// What the settings say of discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Terms {
    /// News come only to those who ask, and who has not asked for so long counts as told.
    pub within: Option<Duration>,
}

/// When to ask discovery, for one relay of many.
#[derive(Debug)]
pub struct Asking {
    gap: Duration,
    chance: ChaCha8Rng,
    failures: i32,
}

impl Asking {
    /// For one of so many relays; 0 counts as 1. Relays differ by `seed` alone. Where news come to the relay's own
    /// machine by themselves (`terms` has no time), a watch costs nothing.
    pub fn new(senders: u32, terms: Terms, seed: u64) -> Asking {
        let gap = terms.within.map_or(Duration::ZERO, |within| {
            EACH.saturating_mul(senders.max(1)).min(within.mul_f64(GAP_MOST))
        });
        Asking { gap, chance: ChaCha8Rng::seed_from_u64(seed), failures: 0 }
    }

    /// Whether to keep a watch; else the whole list is looked up.
    pub fn watches(&self) -> bool {
        self.gap <= WATCHED
    }

    /// Evenly between 0 and 1.
    fn roll(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / f64::from(u32::MAX)
    }

    /// Before the first call: relays that begin together spread theirs over a gap.
    pub fn first(&mut self) -> Duration {
        match self.watches() {
            true => Duration::ZERO,
            false => self.gap.mul_f64(self.roll()),
        }
    }

    /// For how long a watch waits for news.
    pub fn hold(&self) -> Duration {
        HOLD
    }

    /// For how long an answer is waited for, beyond the time of a watch.
    pub fn patience(&self) -> Duration {
        match self.watches() {
            true => PATIENCE.0,
            false => PATIENCE.1,
        }
    }

    /// Between a call and the next. A watch goes on only where the next call follows the answer at once.
    pub fn pause(&mut self, failed: bool) -> Duration {
        self.failures = if failed { (self.failures + 1).min(16) } else { 0 };
        if self.watches() {
            let grown = RETRY.mul_f64(2f64.powi(self.failures - 1));
            return if failed { grown.min(self.gap.max(RETRY)) } else { Duration::ZERO };
        }
        // One that was turned away asks no sooner than one that was answered: else those turned away are all the more.
        let stretch = STRETCH.powi(self.failures.min(STRETCHES));
        let spread = 1.0 - SPREAD * self.roll();
        self.gap.mul_f64(stretch * spread)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A discovery that answers one call after another, each in 50 ms, and turns away who has waited for 2 s, at the
    /// same cost. Returns the calls of each of 40 seconds, and how many relays had an answer from the tenth second on.
    fn play(mut asking: Vec<Asking>) -> (Vec<usize>, usize) {
        let mut calls: Vec<(f64, usize)> =
            asking.iter_mut().enumerate().map(|(i, a)| (a.first().as_secs_f64(), i)).collect();
        let (mut free, mut second, mut told) = (0.0f64, vec![0; 40], vec![false; asking.len()]);
        loop {
            calls.sort_by(|a, b| b.0.total_cmp(&a.0));
            let Some((at, relay)) = calls.pop().filter(|c| c.0 < 40.0) else { break };
            second[at as usize] += 1;
            free = free.max(at) + 0.05;
            let failed = free - at > 2.0;
            told[relay] |= !failed && at > 10.0;
            let held = if failed { 2.0 } else { free - at };
            calls.push((at + held + asking[relay].pause(failed).as_secs_f64(), relay));
        }
        (second, told.iter().filter(|t| **t).count())
    }

    const ASKED: Terms = Terms { within: Some(Duration::from_secs(10)) };

    fn fleet(relays: u32) -> Vec<Asking> {
        (0..relays).map(|i| Asking::new(relays, ASKED, u64::from(i) * 77 + 1)).collect()
    }

    /// Guards discovery from a fleet: a hundred relays that each kept a watch, and asked again every 100 ms when they
    /// were turned away, kept it from answering anybody for good.
    #[test]
    fn a_hundred_relays_that_start_at_one_moment_are_all_answered() {
        for relays in [20, 50, 100] {
            let (calls, heard) = play(fleet(relays));
            assert_eq!(heard, relays as usize, "{calls:?}");
            assert!(calls.iter().all(|n| *n <= 35), "{calls:?}");
            assert!(calls[10..].iter().sum::<usize>() <= 20 * 30, "{calls:?}");
        }
    }

    /// Guards the drains: who has not asked for 10 s counts as told.
    #[test]
    fn one_that_is_answered_asks_again_in_time() {
        for mut a in fleet(500) {
            assert!(!a.watches() && a.first() <= Duration::from_secs(8));
            assert!((0..50).all(|_| a.pause(false) + a.patience() <= Duration::from_secs(10)));
        }
    }

    /// Guards small fleets, and those whose news come by themselves: there a relay watches as it always did.
    #[test]
    fn one_of_two_watches_and_asks_every_100_ms_while_it_fails() {
        let pushed = Terms::default();
        for (senders, terms) in [(0, ASKED), (1, ASKED), (2, ASKED), (2, pushed), (100, pushed)] {
            let mut a = Asking::new(senders, terms, 7);
            assert!(a.watches() && a.first() == Duration::ZERO);
            assert!((0..20).all(|_| a.pause(true) <= Duration::from_millis(150)));
            assert_eq!(a.pause(false), Duration::ZERO);
        }
    }
}
