//! How the memory that a relay may take is shared out among those who hold any of it.

use super::{Holder, HOLDERS};

/// What a process takes with nothing held: its code, its stacks, a list of some thousand endpoints.
const PROCESS_BYTES: u64 = 8_000_000;
/// Buffers and state of one connection, with a small body or answer on it.
pub const CONNECTION_BYTES: u64 = 28 * 1_024;
/// Bodies and answers of so many bytes are part of their connection, and draw nothing.
pub const SMALL_BYTES: usize = 8 * 1_024;
/// The part of the limit that may be held at least.
const LEAST_PART: u64 = 4;
/// However little memory there is, so many connections are planned with.
const CONNECTIONS_LEAST: u64 = 64;

/// The memory of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// What all of its processes and files may take, in bytes.
    pub relay: u64,
    /// What its files may take, in bytes.
    pub files: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Whether another process may be started beside this one.
    pub may_hand_over: bool,
}

/// What may be held, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// By all together.
    pub total: u64,
    /// Of that, what is kept for each holder, whatever others want.
    pub reserved: [u64; HOLDERS],
}

impl MemoryPlan {
    /// Of these limits, while another process of the relay takes so many bytes.
    pub fn within(limits: MemoryLimits, other: u64) -> MemoryPlan {
        // With very little memory a relay still takes messages on, but for what another process has taken.
        let least = (limits.relay / LEAST_PART).saturating_sub(other);
        let other = if limits.may_hand_over { other.max(PROCESS_BYTES) } else { other };
        // A quarter is left to what the allocator cannot give back.
        let total = (limits.relay.saturating_sub(PROCESS_BYTES + other) / 4 * 3).max(least);
        let sockets = limits.sockets as u64 * CONNECTION_BYTES;
        let connections = sockets.min((total / 2).max(CONNECTIONS_LEAST * CONNECTION_BYTES));
        let mut reserved = [0; HOLDERS];
        reserved[Holder::Connections as usize] = connections;
        reserved[Holder::Messages as usize] = total / 8;
        reserved[Holder::Ids as usize] = total / 32;
        reserved[Holder::Answers as usize] = total / 32;
        reserved[Holder::KnownBodies as usize] = total / 16;
        reserved[Holder::OtherBodies as usize] = total / 32;
        let rest = total.saturating_sub(reserved.iter().sum());
        reserved[Holder::Journal as usize] = limits.files.min(rest);
        MemoryPlan { total, reserved }
    }

    /// Connections that there is memory for.
    pub fn connections(&self) -> usize {
        (self.reserved[Holder::Connections as usize] / CONNECTION_BYTES) as usize
    }

    /// Bytes that the files of the lasting folder may have.
    pub fn files(&self) -> u64 {
        self.reserved[Holder::Journal as usize]
    }
}
