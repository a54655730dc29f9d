//! One clock for decisions, deadlines and the journal: nanoseconds of Unix time that never run backwards.
//!
//! It goes on from one process of the relay to the next: a wall clock that is stepped between them moves no deadline.

use crate::interface::Nanos;
use rustix::time::{clock_gettime, ClockId};
use serde::{Deserialize, Serialize};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Wall time at the start, carried on by the runtime's clock, which tests can pause.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall: Nanos,
    at: Instant,
}

/// The clock's time at a reading of the system's monotonic clock, which all processes of one boot share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Anchor {
    /// Unix time in nanoseconds.
    pub now: Nanos,
    /// Nanoseconds of the monotonic clock.
    pub monotonic: Nanos,
}

/// Nanoseconds of the system's monotonic clock.
fn monotonic() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos
}

impl Clock {
    /// Begins at the system's wall time.
    pub fn system() -> Self {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { wall: wall.as_nanos() as Nanos, at: Instant::now() }
    }

    /// Goes on with the clock of an earlier process of this boot.
    pub fn continued(anchor: Anchor) -> Self {
        let passed = monotonic().saturating_sub(anchor.monotonic);
        Clock { wall: anchor.now + passed, at: Instant::now() }
    }

    /// A clock that says `wall` now.
    pub fn set(wall: Nanos) -> Self {
        Clock { wall, at: Instant::now() }
    }

    /// Nanoseconds of Unix time.
    pub fn now(&self) -> Nanos {
        self.wall + self.at.elapsed().as_nanos() as Nanos
    }

    /// By which another process goes on with this clock.
    pub fn anchor(&self) -> Anchor {
        Anchor { now: self.now(), monotonic: monotonic() }
    }

    /// The runtime's instant for a time of this clock.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.at + Duration::from_nanos(at.saturating_sub(self.wall))
    }
}
