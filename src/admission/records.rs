//! What is remembered of addresses: what they earned, what they spoilt, how fast they came. A bounded number
//! of records, whatever comes.

use super::terms::Rate;
use crate::interface::Nanos;
use ipnet::IpNet;
use lru::LruCache;
use std::net::IpAddr;
use std::num::NonZeroUsize;

/// A figure that halves with each span of time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    value: f32,
    at: Nanos,
}

impl Fading {
    pub fn now(&self, now: Nanos, half: Nanos) -> f32 {
        let spans = now.saturating_sub(self.at) as f64 / half.max(1) as f64;
        self.value * (-spans).exp2() as f32
    }

    pub fn add(&mut self, now: Nanos, half: Nanos, more: f32) {
        *self = Fading { value: self.now(now, half) + more, at: now };
    }
}

/// A bucket of what may come at once; it fills at a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    spent: f32,
    at: Nanos,
}

impl Bucket {
    fn spent(&self, now: Nanos, rate: &Rate) -> f64 {
        let back = now.saturating_sub(self.at) as f64 / 1e9 * rate.each_second;
        (f64::from(self.spent) - back).max(0.0)
    }

    /// Whether one more may come now.
    pub fn lets(&self, now: Nanos, rate: &Rate) -> bool {
        self.spent(now, rate) + 1.0 <= rate.burst.max(1.0)
    }

    pub fn take(&mut self, now: Nanos, rate: &Rate) {
        *self = Bucket { spent: (self.spent(now, rate) + 1.0) as f32, at: now };
    }
}

/// What is known of an address or a prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct Record {
    pub good: Fading,
    pub junk: Fading,
    pub bucket: Bucket,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Group {
    Address(IpAddr),
    Prefix(IpNet),
}

/// Records of groups that hold no leg just now, the least lately used forgotten first. What holds legs is
/// bounded by the room.
pub struct Records {
    resting: LruCache<Group, Record>,
}

impl Records {
    pub fn new(most: usize) -> Records {
        Records { resting: LruCache::new(NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN)) }
    }

    pub fn resize(&mut self, most: usize) {
        self.resting.resize(NonZeroUsize::new(most).unwrap_or(NonZeroUsize::MIN));
    }

    /// Takes a record out for a group that gets its first leg.
    pub fn wake(&mut self, group: Group) -> Record {
        self.resting.pop(&group).unwrap_or_default()
    }

    /// Looks at one that rests.
    pub fn of(&self, group: Group) -> Record {
        self.resting.peek(&group).copied().unwrap_or_default()
    }

    /// Puts a record back, its last leg gone or its newcomer refused.
    pub fn rest(&mut self, group: Group, record: Record) {
        self.resting.put(group, record);
    }

    pub fn len(&self) -> usize {
        self.resting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.resting.is_empty()
    }
}
