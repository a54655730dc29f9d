//! How long an answer is waited for.

use std::time::Duration;
use tokio::time::Instant;

/// Bytes that are to come within the patience for any answer: those of a list of some 400 entries.
pub const SMALL: u64 = 64 * 1024;
/// The least rate of whatever comes beyond them, in bytes a second: 29 MB may take two minutes.
const LEAST_RATE: u64 = 256 * 1024;

/// Three bounds on an answer: its first byte, and all of it up to 64 KiB, come within the time that the question gave;
/// what is longer has a second more for each 256 KiB that came; and no pause between its bytes is longer than the
/// patience. So a small list is waited for as a call always was, a long one as long as it keeps coming, and one that
/// drips 1 KB a second is given up as if nothing had come.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    asked: Instant,
    small: Duration,
    silence: Duration,
}

impl Patience {
    /// From now on, when the answer begins to come: all of a short one within `small`, of a longer one with no pause beyond
    /// `silence`.
    pub fn new(small: Duration, silence: Duration) -> Self {
        Patience { asked: Instant::now(), small, silence }
    }

    /// When the head of the answer must be there.
    pub fn head(&self) -> Instant {
        self.asked + self.small
    }

    /// When the next bytes must be there, after so many.
    pub fn after(&self, bytes: u64) -> Instant {
        let grown = Duration::from_secs_f64(bytes.saturating_sub(SMALL) as f64 / LEAST_RATE as f64);
        (self.head() + grown).min(Instant::now() + self.silence)
    }

    /// Time passed that was not the answer's.
    pub fn excuse(&mut self, time: Duration) {
        self.asked += time;
    }
}
