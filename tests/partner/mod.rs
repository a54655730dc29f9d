//! A partner as the tests of overload have it, in virtual time and on TCP alike: it takes so many calls in each span of a
//! second, goes away, comes back cold, and falls over where too much is sent to it then. Times are nanoseconds.

use std::collections::VecDeque;

pub const SEC: u64 = 1_000_000_000;
/// Cold spans are shorter: what it takes changes.
const COLD_SPAN: u64 = SEC / 5;
/// Share of its limit that it takes at first, and until when it takes all.
pub const COLD: f64 = 0.2;
pub const WARM_UP: u64 = 8 * SEC;
/// Sent more than this multiple of what it takes for so long, it falls over and is gone for so long.
pub const OVERLOAD: f64 = 2.0;
pub const FALL: u64 = 3 * SEC / 2;
const GONE: u64 = 3 * SEC;
/// Calls beyond that, that are chance.
const CHANCE: f64 = 4.0;

#[derive(Debug, Default)]
pub struct Limited {
    /// Calls a second.
    pub limit: f64,
    span: (u64, bool),
    taken: f64,
    /// Gone until then, and cold since then.
    down_until: u64,
    back: Option<u64>,
    /// While it is gone it answers, and refuses every call.
    refuses: bool,
    /// Calls of late, while it is cold.
    lately: VecDeque<u64>,
    /// How often it was pushed over on its way back.
    pub pushed: usize,
    /// Calls beyond what the rule allows while it is cold: `N + 2 x root of N + 2` in a `fall`.
    pub beyond: usize,
}

impl Limited {
    pub fn new(limit: f64) -> Limited {
        Limited { limit, ..Limited::default() }
    }

    /// Gone for so long, and back cold.
    pub fn down(&mut self, now: u64, span: u64) {
        self.down_until = now + span;
        self.back = Some(self.down_until);
        self.refuses = false;
    }

    /// Refuses every call for so long, without a wait, and is back cold.
    #[allow(dead_code)]
    pub fn shut(&mut self, now: u64, span: u64) {
        self.down(now, span);
        self.refuses = true;
    }

    /// Nobody answers.
    #[allow(dead_code)]
    pub fn gone(&self, now: u64) -> bool {
        now < self.down_until && !self.refuses
    }

    fn out(&self, now: u64) -> bool {
        now < self.down_until
    }

    /// When it came back, or comes; none if it was never gone.
    #[allow(dead_code)]
    pub fn back(&self) -> Option<u64> {
        self.back
    }

    /// Calls a second that it takes now.
    pub fn capacity(&self, now: u64) -> f64 {
        if self.out(now) {
            return 0.0;
        }
        let warm = self.back.map_or(1.0, |back| ((now - back) as f64 / WARM_UP as f64).min(1.0));
        self.limit * (COLD + (1.0 - COLD) * warm)
    }

    /// Whether a call is served or refused; none where it finds nobody.
    pub fn call(&mut self, now: u64) -> Option<bool> {
        if self.out(now) {
            return self.refuses.then_some(false);
        }
        let cold = self.back.is_some_and(|back| now < back + WARM_UP);
        if cold {
            self.lately.push_back(now);
            while self.lately.front().is_some_and(|at| at + FALL < now) {
                self.lately.pop_front();
            }
            let most = OVERLOAD * self.capacity(now) * FALL as f64 / 1e9 + CHANCE;
            // The rule's budget is that of the midst of its window: the ramp rises meanwhile.
            let midst = (now - FALL / 2).max(self.back.unwrap_or(now));
            let allowed = OVERLOAD * self.capacity(midst) * FALL as f64 / 1e9;
            self.beyond += usize::from(self.lately.len() as f64 > allowed + 2.0 * allowed.sqrt() + 2.0);
            if self.lately.len() as f64 > most {
                self.pushed += 1;
                self.down(now, GONE);
                self.lately.clear();
                return None;
            }
        }
        let long = if cold { COLD_SPAN } else { SEC };
        if self.span != (now / long, cold) {
            (self.span, self.taken) = ((now / long, cold), 0.0);
        }
        let served = self.taken + 1.0 <= self.capacity(now) * long as f64 / 1e9;
        self.taken += f64::from(u8::from(served));
        Some(served)
    }
}
