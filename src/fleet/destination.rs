//! One destination as one relay sees it: its own counts there, what it tells the others of them, and what it may send.

use super::allocation::Allocation;
use super::outage::Phase;
use super::pledges::{Holder, Spans, WHOLE};
use super::record::{Key, Tells};
use crate::interface::{Nanos, MS, SEC};
use std::collections::VecDeque;

/// Known for so long, a destination was heard of from all others.
const FIT: Nanos = 1_500 * MS;
/// A destination is told of for so long after the last cause.
pub const CAUSE: Nanos = 30 * SEC;
/// Rates are counted over this span.
pub const SPAN: Nanos = SEC;
/// Those that wait want to be gone within so many seconds.
const CLEARS: f64 = 2.0;

/// What this relay knows of a destination by itself. Counts are since its start.
#[derive(Clone, Copy, Debug, Default)]
pub struct Own {
    pub key: Key,
    /// Messages taken for its destination, by hosts that share it.
    pub taken: f64,
    pub waiting: f64,
    pub served: u64,
    pub refused: u64,
    pub down: bool,
    /// When a call was last served; 0: never.
    pub served_at: Nanos,
    /// The end of a wait that it told.
    pub wait: Nanos,
    pub limit: f64,
    pub best: f64,
}

/// What may be sent to a destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deal {
    pub key: Key,
    /// Calls a second; none: as many as without the others.
    pub rate: Option<f64>,
    /// It holds until then.
    pub until: Nanos,
}

/// Counts over the last second or so.
#[derive(Clone, Debug, Default)]
pub struct Window(VecDeque<(Nanos, [f64; 3])>);

impl Window {
    pub fn add(&mut self, now: Nanos, counts: [f64; 3]) {
        self.0.push_back((now, counts));
        while self.0.len() > 2 && self.0[1].0 + SPAN <= now {
            self.0.pop_front();
        }
    }

    /// A second: taken, served, refused.
    pub fn rates(&self) -> [f64; 3] {
        let (Some((from, first)), Some((to, last))) = (self.0.front(), self.0.back()) else {
            return [0.0; 3];
        };
        let over = (to - from).max(SPAN) as f64 / 1e9;
        std::array::from_fn(|i| (last[i] - first[i]).max(0.0) / over)
    }
}

/// One destination as this relay knows it, and its part of what is allocated there.
#[derive(Clone, Debug)]
pub struct Destination {
    pub own: Own,
    pub window: Window,
    pub cause: Nanos,
    /// When it was last refused for want of room.
    pub limited: Nanos,
    pub holder: Holder,
    pub allocation: Option<Allocation>,
    /// Calls a second of a whole part, as the lease in force goes by.
    pub whole: f64,
    /// What was last heard of the destination from its allocator, and the rate that this one went by while it was up: for
    /// the allocator that comes after it.
    pub phase: Phase,
    pub found: f64,
    /// Known since then.
    pub began: Nanos,
    pub dealt: Option<Deal>,
}

impl Destination {
    pub fn new(base: u32, now: Nanos) -> Destination {
        Destination {
            own: Own::default(),
            window: Window::default(),
            cause: 0,
            limited: 0,
            holder: Holder::new(base, Spans::default()),
            allocation: None,
            whole: 0.0,
            phase: Phase::Up,
            found: 0.0,
            began: now,
            dealt: None,
        }
    }

    /// Calls a second that it would make.
    pub fn wanted(&self) -> f64 {
        self.window.rates()[0] + self.own.waiting / CLEARS
    }

    pub fn tells(&self, key: Key, now: Nanos) -> Tells {
        let [_, served, refused] = self.window.rates();
        let o = &self.own;
        Tells {
            key,
            wanted: self.wanted() as f32,
            served: served as f32,
            refused: refused as f32,
            best: o.best as f32,
            down: o.down,
            served_ago: (o.served_at > 0)
                .then(|| (now.saturating_sub(o.served_at) / MS).min(u64::from(u32::MAX)) as u32),
            wait: (o.wait.saturating_sub(now) / MS).min(600_000) as u32,
            limit: o.limit as f32,
            limited: self.limited > 0 && now < self.limited + CAUSE,
            cause: self.cause > 0 && now < self.cause + CAUSE,
            pledge: None,
            fit: now >= self.began + FIT,
            deals: None,
        }
    }

    /// What may be sent now. Without a lease: less than an equal part of a limit that is told, until the pledge has run
    /// out; else as if there were no others to talk to.
    pub fn deal(&self, key: Key, now: Nanos) -> Deal {
        let share = |part: u32, whole: f64| f64::from(part) / f64::from(WHOLE) * whole;
        if let Some((part, until)) = self.holder.leased(now) {
            return Deal { key, rate: Some(share(part, self.whole)), until };
        }
        let (part, until) = self.holder.part(now);
        let bound = until < Nanos::MAX && self.own.limit > 0.0;
        Deal { key, rate: bound.then(|| share(part, self.own.limit)), until }
    }
}
