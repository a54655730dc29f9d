//! Lists of endpoints of any size, made by rule.

use std::net::SocketAddr;

/// The first destination's number; lower ones are never listed.
pub const FIRST_DESTINATION: u64 = 1_000;
/// A destination that no list names.
pub const UNLISTED: u64 = 1;

/// One entry as discovery lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Its place when it was made.
    pub number: u64,
    pub address: SocketAddr,
    pub share: f64,
    pub leaving: bool,
}

impl ListEntry {
    /// The destination that it serves: one for each entry.
    pub fn destination(&self) -> u64 {
        FIRST_DESTINATION + self.number
    }

    /// As the list has it.
    pub fn json(&self) -> String {
        let ListEntry { number, address, share, leaving } = self;
        let health = if *leaving { "leaving" } else { "active" };
        let (zone, destination) = (["a", "b", "c"][(number % 3) as usize], self.destination());
        format!(
            r#"{{"host":"s-{number:08x}","dial":"{address}","site":"{zone}","class":"m1","block":{destination},"health":"{health}","share":{share:.1},"born_ms":0}}"#
        )
    }
}

/// What a list holds.
#[derive(Clone, Debug)]
pub struct ListShape {
    pub entries: usize,
    /// Where calls to any of them go.
    pub address: SocketAddr,
}

impl ListShape {
    /// The entries, all active.
    pub fn entries(&self) -> Vec<ListEntry> {
        let entry = |number| ListEntry { number, address: self.address, share: 1.0, leaving: false };
        (0..self.entries as u64).map(entry).collect()
    }
}
