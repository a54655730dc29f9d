//! One clock for decisions, deadlines and the journal: nanoseconds of Unix time that never run backwards.

use crate::interface::Nanos;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Wall time at the start, carried on by the runtime's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Nanos,
    at: Instant,
}

impl Clock {
    pub fn system() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { wall: wall.as_nanos() as Nanos, at: Instant::now() }
    }

    /// A clock that says `wall` now.
    pub fn set(wall: Nanos) -> Self {
        Clock { wall, at: Instant::now() }
    }

    pub fn now(&self) -> Nanos {
        self.wall + self.at.elapsed().as_nanos() as Nanos
    }

    /// The runtime's instant for a time of this clock.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.at + Duration::from_nanos(at.saturating_sub(self.wall))
    }
}
