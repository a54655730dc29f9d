//! Attempts at the same aim beside one another: how many may be open, and which one is given up for a new one.

use crate::interface::Nanos;

/// The number of an attempt.
pub type AttemptNo = u64;

/// Each place keeps its attempt this many times as long as the place before it.
const LONGER: u32 = 2;

/// A bounded number of places for open attempts.
///
/// An attempt is only given up when all places are taken and a new one is wanted. The first place keeps its attempt for the
/// time that the caller names, each further one twice as long as the one before. So a new attempt begins soon, whatever has
/// fallen silent, and some attempts stay open for so long that even a very slow answer comes to one of them.
#[derive(Debug)]
pub struct Attempts {
    places: Vec<Option<(AttemptNo, Nanos)>>,
    next: AttemptNo,
}

impl Attempts {
    /// With so many places.
    pub fn new(places: usize) -> Attempts {
        Attempts { places: vec![None; places], next: 0 }
    }

    /// Attempts that are open.
    pub fn open(&self) -> usize {
        self.places.iter().flatten().count()
    }

    /// When the next attempt may begin, where the first place keeps its attempt for `patience`; at once where one is free.
    pub fn free_at(&self, patience: Nanos) -> Nanos {
        let free = |(place, kept): (usize, &Option<(AttemptNo, Nanos)>)| {
            kept.map_or(0, |(_, begun)| begun.saturating_add(kept_for(place, patience)))
        };
        self.places.iter().enumerate().map(free).min().unwrap_or(Nanos::MAX)
    }

    /// Begins an attempt; with it the one that is given up for it. None where no place is free yet.
    pub fn begin(&mut self, now: Nanos, patience: Nanos) -> Option<(AttemptNo, Option<AttemptNo>)> {
        let is_free = |kept: &Option<(AttemptNo, Nanos)>| kept.is_none();
        let place = self.places.iter().rposition(is_free).or_else(|| {
            let is_over = |(place, kept): (usize, &Option<(AttemptNo, Nanos)>)| {
                kept.is_some_and(|(_, begun)| begun.saturating_add(kept_for(place, patience)) <= now)
            };
            self.places.iter().enumerate().position(is_over)
        })?;
        let no = self.next;
        self.next += 1;
        let given_up = self.places[place].replace((no, now));
        Some((no, given_up.map(|(no, _)| no)))
    }

    /// An attempt is over; when it began, where it was open.
    pub fn end(&mut self, no: AttemptNo) -> Option<Nanos> {
        let of = |kept: &&mut Option<(AttemptNo, Nanos)>| kept.is_some_and(|(of, _)| of == no);
        let kept = self.places.iter_mut().find(of)?;
        kept.take().map(|(_, begun)| begun)
    }

    /// None is open any more.
    pub fn clear(&mut self) {
        self.places.iter_mut().for_each(|kept| *kept = None);
    }
}

/// How long an attempt is kept in a place when another is wanted.
fn kept_for(place: usize, patience: Nanos) -> Nanos {
    patience.saturating_mul(Nanos::from(LONGER.saturating_pow(place as u32)))
}
