//! What a call costs a partner: so much for the call, so much for each message in it. Learned from the calls
//! themselves, and the size of calls that keeps up with what comes.

use crate::interface::Nanos;

/// Each call counts so much less with each one after it: about the last fifty tell.
const FORGETS: f64 = 0.98;
/// The share of an item's cost in a single call that is believed before calls of different sizes were seen, and how
/// many calls that belief counts for.
const ITEM_SHARE: f64 = 0.3;
const BELIEVED: f64 = 2.0;
/// Capacity wanted above what comes: queues grow without bound where they are equal.
const HEADROOM: f64 = 1.3;
/// The time over which arrivals are counted.
const ARRIVALS: f64 = 1e9;
/// A batch may hold up its first message by so much of what is left of its aim.
const OF_AIM: f64 = 0.5;

/// A running account of call times by size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    weight: f64,
    n: f64,
    nn: f64,
    t: f64,
    nt: f64,
}

impl Cost {
    /// A call of `n` messages that was served took `took`.
    pub fn saw(&mut self, n: usize, took: Nanos) {
        let (n, t) = (n as f64, took as f64);
        let keep = |sum: f64, new: f64| sum * FORGETS + new;
        *self = Cost {
            weight: keep(self.weight, 1.0),
            n: keep(self.n, n),
            nn: keep(self.nn, n * n),
            t: keep(self.t, t),
            nt: keep(self.nt, n * t),
        };
    }

    pub fn known(&self) -> bool {
        self.weight > 0.0
    }

    /// Nanoseconds for a call, and for each message in it. While sizes hardly differ nothing tells them apart, so a
    /// believed share is mixed in as if a few calls of one and of none had shown it.
    pub fn fit(&self) -> (f64, f64) {
        if self.weight <= 0.0 {
            return (0.0, 0.0);
        }
        let mean_n = self.n / self.weight;
        let single = self.t / self.weight / (1.0 - ITEM_SHARE + ITEM_SHARE * mean_n);
        let (call, item) = (single * (1.0 - ITEM_SHARE), single * ITEM_SHARE);
        let (w, n, nn) = (self.weight + 2.0 * BELIEVED, self.n + BELIEVED, self.nn + BELIEVED);
        let (t, nt) = (self.t + BELIEVED * (2.0 * call + item), self.nt + BELIEVED * (call + item));
        let spread = w * nn - n * n;
        let slope = ((w * nt - n * t) / spread).max(0.0);
        let base = (t - slope * n) / w;
        if base >= 0.0 {
            return (base, slope);
        }
        // All of it is the items'.
        (0.0, nt / nn)
    }

    /// What a call of `n` messages takes.
    pub fn of(&self, n: usize) -> f64 {
        let (call, item) = self.fit();
        call + item * n as f64
    }
}

/// How fast messages come, over about the last second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    seen: f64,
    at: Nanos,
    since: Option<Nanos>,
}

impl Arrivals {
    pub fn came(&mut self, now: Nanos, n: usize) {
        self.since.get_or_insert(now);
        self.seen = self.faded(now) + n as f64;
        self.at = now;
    }

    fn faded(&self, now: Nanos) -> f64 {
        self.seen * (-(now.saturating_sub(self.at) as f64) / ARRIVALS).exp()
    }

    /// Messages a second.
    pub fn rate(&self, now: Nanos) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        // What was seen of a window that has not passed yet stands for as much of it.
        let share = 1.0 - (-(now.saturating_sub(since) as f64).max(ARRIVALS / 10.0) / ARRIVALS).exp();
        self.faded(now) / share * 1e9 / ARRIVALS
    }
}

/// What waits for a partner while a call to it ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pressure {
    /// What is left of the aim of the oldest message of the call, in nanoseconds.
    pub affordable: Nanos,
    /// Messages that wait, and calls that are out, the one that ends among them.
    pub waiting: usize,
    pub out: usize,
}

/// The smallest calls that keep up: `at_once` calls may be out.
pub fn size(cost: &Cost, rate: f64, at_once: usize, pressure: Pressure, most: usize) -> usize {
    let most = most.max(1);
    if !cost.known() {
        // Nothing is known: what waits goes together, as far as that is allowed.
        return most;
    }
    let (call, item) = cost.fit();
    let longest = (pressure.affordable as f64 * OF_AIM).max(cost.of(1));
    let fits = |n: usize| n == 1 || call + item * n as f64 <= longest;
    let each_second = |n: usize| at_once as f64 * n as f64 / ((call + item * n as f64) / 1e9).max(1e-9);
    let mut best = 1;
    for n in (1..=most).take_while(|n| fits(*n)) {
        best = n;
        // Where the items cost all, larger calls carry no more.
        let enough = each_second(n) >= rate * HEADROOM;
        if enough || each_second(n + 1) < each_second(n) * 1.02 {
            break;
        }
    }
    if pressure.out >= at_once {
        return best;
    }
    // Not the slots hold up what waits but a limit, a rest or a budget of calls: then each call has to take more.
    let each = pressure.waiting.div_ceil(pressure.out.max(1)).min(most);
    (best..=each).take_while(|n| fits(*n)).last().unwrap_or(best)
}

/// How long a call may wait to be filled: as long as the messages that come meanwhile save more than the wait costs,
/// and never beyond what the first of them can afford.
pub fn linger(
    cost: &Cost,
    rate: f64,
    at_once: usize,
    size: usize,
    affordable: Nanos,
    longest: Nanos,
) -> Nanos {
    if size <= 1 || !cost.known() {
        return 0;
    }
    let (call, item) = cost.fit();
    // Without pressure a wait only lengthens the tail.
    let alone = at_once as f64 / ((call + item) / 1e9).max(1e-9);
    if rate * HEADROOM <= alone {
        return 0;
    }
    let fills = size.saturating_sub(1) as f64 / rate.max(1e-9) * 1e9;
    (fills as Nanos).min(longest).min((affordable as f64 * OF_AIM - cost.of(size)).max(0.0) as Nanos)
}
