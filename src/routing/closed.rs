//! Ids of messages that have had their end of late. What comes under one of them again is no new message.

use super::transactions::Ending;
use crate::interface::Nanos;
use std::collections::{HashMap, VecDeque};

/// Bytes that an id takes beside its text, which stands twice.
const ID_BYTES: usize = 128;
/// An id is remembered for so long where there is memory for it.
const REMEMBERED_FOR: Nanos = 60_000_000_000;
/// And for so long in any case: by then its client has given up, and sent it again where its connection had ended.
const REMEMBERED_AT_LEAST: Nanos = 2_000_000_000;
/// So many are remembered however long ago they ended.
const REMEMBERED_LEAST: usize = 2_048;

/// How a message ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closed {
    /// It was delivered.
    Delivered,
    /// An endpoint said that it is over, and nothing was owed.
    Over,
    /// By an end of which whoever handed it in was notified.
    Notified(Ending),
}

/// Messages that ended of late, the oldest first.
#[derive(Debug, Default)]
pub struct ClosedIds {
    ends: HashMap<String, Closed>,
    order: VecDeque<(Nanos, String)>,
    bytes_held: u64,
}

/// Bytes of memory that a remembered id takes.
pub fn bytes_of(id: &str) -> u64 {
    (ID_BYTES + 2 * id.len()) as u64
}

impl ClosedIds {
    /// How the message with this id ended, if it did of late.
    pub fn get(&self, id: &str) -> Option<Closed> {
        self.ends.get(id).copied()
    }

    /// The message with this id has ended.
    pub fn note(&mut self, now: Nanos, id: String, closed: Closed) {
        if self.ends.insert(id.clone(), closed).is_some() {
            return;
        }
        self.bytes_held += bytes_of(&id);
        self.order.push_back((now, id));
    }

    /// Forgets those that ended long ago, and more of them where they take more than so many bytes.
    pub fn forget(&mut self, now: Nanos, bytes_most: u64) {
        while let Some((at, _)) = self.order.front() {
            let age = now.saturating_sub(*at);
            let is_old = age >= REMEMBERED_FOR && self.order.len() > REMEMBERED_LEAST;
            let is_short = age >= REMEMBERED_AT_LEAST && self.bytes_held > bytes_most;
            if !is_old && !is_short {
                return;
            }
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, oldest)) = self.order.pop_front() {
            self.bytes_held -= bytes_of(&oldest);
            self.ends.remove(&oldest);
        }
    }

    /// They count as ended now: nobody tells when an earlier process saw them end.
    pub fn ended_at(&mut self, now: Nanos) {
        self.order.iter_mut().for_each(|(at, _)| *at = now);
    }

    /// Bytes of memory that they take.
    pub fn bytes_held(&self) -> u64 {
        self.bytes_held
    }

    /// Ids of those that were delivered, the oldest first.
    pub fn delivered(&self) -> impl Iterator<Item = &String> {
        self.order.iter().map(|(_, id)| id).filter(|id| self.get(id) == Some(Closed::Delivered))
    }

    /// All of them, the newest first.
    pub fn newest(&self) -> impl Iterator<Item = (&String, Closed)> {
        self.order.iter().rev().filter_map(|(_, id)| Some((id, self.get(id)?)))
    }
}
