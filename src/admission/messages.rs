//! Whose messages may fill what there is for messages. Free of I/O.
//!
//! While more than one client address is active each may hold at most a multiple of what is still free (dynamic thresholds):
//! one that hands in without end leaves a part to the others, and several that do share what there is.

use crate::interface::Nanos;
use std::collections::HashMap;
use std::net::IpAddr;

/// A client may hold so many times what is free.
const THRESHOLD: f64 = 4.0;
/// A client that hands nothing in for so long is not active.
const ACTIVE_FOR: Nanos = 10_000_000_000;
/// Addresses that hold nothing are forgotten when there are so many.
const CLIENTS: usize = 4_096;

/// What one address holds.
#[derive(Clone, Copy, Debug, Default)]
struct Client {
    /// Parts of the capacity, summed.
    share: f64,
    asked_at: Nanos,
}

/// What each client address holds of the capacity for messages, as parts of the whole.
#[derive(Debug, Default)]
pub struct MessageShares {
    clients: HashMap<IpAddr, Client>,
    /// Who handed a message in, and the part that it takes.
    messages: HashMap<u64, (IpAddr, f64)>,
    /// Until when nobody but one client is known to be active, looked at again then.
    counted_at: Nanos,
    active: usize,
}

impl MessageShares {
    /// Whether a client may hand in a message that takes this part of the capacity, of which so much is free.
    pub fn admits(&mut self, now: Nanos, from: IpAddr, part: f64, free: f64) -> bool {
        let is_new = !self.clients.contains_key(&from);
        if is_new && self.clients.len() >= CLIENTS {
            self.clients.retain(|_, client| client.share > 0.0);
        }
        let client = self.clients.entry(from).or_default();
        client.asked_at = now;
        let wants = client.share + part;
        if is_new || now >= self.counted_at + ACTIVE_FOR / 10 {
            self.count_active(now);
        }
        self.active <= 1 || wants <= THRESHOLD * free
    }

    fn count_active(&mut self, now: Nanos) {
        let is_active = |client: &&Client| now.saturating_sub(client.asked_at) < ACTIVE_FOR;
        self.active = self.clients.values().filter(is_active).count();
        self.counted_at = now;
    }

    /// A client's message was taken on.
    pub fn taken(&mut self, message: u64, from: IpAddr, part: f64) {
        if let Some(client) = self.clients.get_mut(&from) {
            client.share += part;
            self.messages.insert(message, (from, part));
        }
    }

    /// A message is over.
    pub fn over(&mut self, message: u64) {
        let Some((from, part)) = self.messages.remove(&message) else { return };
        if let Some(client) = self.clients.get_mut(&from) {
            client.share = (client.share - part).max(0.0);
        }
    }

    /// Another process decides from now on.
    pub fn clear(&mut self) {
        *self = MessageShares::default();
    }
}
