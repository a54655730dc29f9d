//! Next hops that have no room for one more connection: when to open another, and how long to hold one that has no call.
//!
//! Such a hop is sound and serves those who have a connection. What one relay of hundreds does about it is harmless
//! alone: to take the hop for down, or to keep a connection for a call that comes in a minute. No I/O, no clock.

use crate::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

const MS: Nanos = 1_000_000;
/// The rest before another connection is opened where there was no room: this first, doubled each further time.
const REST_FIRST: Nanos = 200 * MS;
/// Doublings at most: room is made by each call that ends there, so that it pays to ask again soon.
const REST_DOUBLINGS: u32 = 4;
/// Relays for whose connections even a small hop has room.
const ROOM_LEAST: u32 = 8;
/// Where more of them send, a connection lives so long in the mean: who holds one is never turned away, and would never
/// learn that others are.
const LIFE: f64 = 30e9;
const LIFE_SPREAD: f64 = 0.5;
/// Multiples of it, cut to their fractions, are spread evenly.
const GOLDEN: f64 = 0.618_033_988_749_895;
/// How long a connection is held for a next call where hops of its kind were seen without room: for one that waits.
const HELD_SCARCE: Nanos = 40 * MS;
/// And for how long after that it is.
const REMEMBERED: Nanos = 300_000 * MS;

/// What one relay saw of a hop's room for connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crowd {
    turned_away: u32,
    until: Nanos,
}

impl Crowd {
    /// A new connection was turned away. `roll`, from 0 to 1, spreads those that were turned away at one moment.
    pub fn turned_away(&mut self, now: Nanos, roll: f64) {
        let rest = (REST_FIRST << self.turned_away.min(REST_DOUBLINGS)) as f64;
        self.turned_away = self.turned_away.saturating_add(1);
        self.until = self.until.max(now.saturating_add((rest * (0.5 + roll)) as Nanos));
    }

    /// A call was served there.
    pub fn served(&mut self) {
        *self = Crowd::default();
    }

    /// From when on it may have room.
    pub fn until(&self) -> Nanos {
        self.until
    }
}

/// How long connections without a call are held, by kind of next hop: hops of a kind are alike, and what is seen at one
/// tells of the others.
#[derive(Clone, Debug)]
pub struct Holding {
    keepalive: Nanos,
    many: bool,
    opened: u32,
    scarce_until: HashMap<usize, Nanos>,
}

impl Holding {
    /// `keepalive`: for how long they are held where there is room; `senders`: how many relays there are.
    pub fn new(keepalive: Nanos, senders: u32) -> Holding {
        Holding { keepalive, many: senders > ROOM_LEAST, opened: 0, scarce_until: HashMap::new() }
    }

    /// Other terms, from now on.
    pub fn set(&mut self, keepalive: Nanos, senders: u32) {
        (self.keepalive, self.many) = (keepalive, senders > ROOM_LEAST);
    }

    /// A connection is opened: until when it may be used.
    pub fn opened(&mut self, now: Nanos) -> Nanos {
        self.opened = self.opened.wrapping_add(1);
        let spread = (f64::from(self.opened) * GOLDEN).fract() - 0.5;
        match self.many {
            true => now.saturating_add((LIFE * (1.0 + 2.0 * LIFE_SPREAD * spread)) as Nanos),
            false => Nanos::MAX,
        }
    }

    /// A next hop of this kind had no room for another connection.
    pub fn turned_away(&mut self, kind: usize, now: Nanos) {
        self.scarce_until.insert(kind, now.saturating_add(REMEMBERED));
    }

    /// How long a connection to one of this kind is held.
    pub fn of(&self, kind: usize, now: Nanos) -> Nanos {
        match self.scarce_until.get(&kind) {
            Some(until) if now < *until => HELD_SCARCE.min(self.keepalive),
            _ => self.keepalive,
        }
    }

    /// The shortest time for which any is held.
    pub fn shortest(&self, now: Nanos) -> Nanos {
        let scarce = self.scarce_until.values().any(|until| now < *until);
        if scarce {
            HELD_SCARCE.min(self.keepalive)
        } else {
            self.keepalive
        }
    }
}
