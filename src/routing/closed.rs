//! Ids of messages that have had their end of late. What comes under one of them again is no new message.

use super::transactions::Ending;
use std::collections::{HashMap, VecDeque};

/// Bytes that an id takes beside its text, which stands twice.
const ID_BYTES: usize = 128;
/// So many of them are remembered.
const REMEMBERED: usize = 2_048;

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
    order: VecDeque<String>,
    bytes_held: u64,
}

/// Bytes of memory that a remembered id takes.
fn bytes_of(id: &str) -> u64 {
    (ID_BYTES + 2 * id.len()) as u64
}

impl ClosedIds {
    /// How the message with this id ended, if it did of late.
    pub fn get(&self, id: &str) -> Option<Closed> {
        self.ends.get(id).copied()
    }

    /// The message with this id has ended.
    pub fn note(&mut self, id: String, closed: Closed) {
        if self.ends.insert(id.clone(), closed).is_some() {
            return;
        }
        if self.order.len() >= REMEMBERED {
            self.forget_oldest();
        }
        self.bytes_held += bytes_of(&id);
        self.order.push_back(id);
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.order.pop_front() {
            self.bytes_held -= bytes_of(&oldest);
            self.ends.remove(&oldest);
        }
    }

    /// Bytes of memory that they take.
    pub fn bytes_held(&self) -> u64 {
        self.bytes_held
    }

    /// Ids of those that were delivered, the oldest first.
    pub fn delivered(&self) -> impl Iterator<Item = &String> {
        self.order.iter().filter(|id| self.get(id) == Some(Closed::Delivered))
    }
}
