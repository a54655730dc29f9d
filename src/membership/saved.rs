//! The last view as it outlasts the process: addresses to join by, and the life before this one. What it says of others
//! is never taken for the present.

use super::roll::{Life, State};
use super::view::View;
use crate::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const MARK: [u8; 4] = *b"blv1";
const HEAD: usize = 8;
/// Members that are kept: at most 256 bytes each.
const MOST: usize = 1_024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub name: String,
    pub address: SocketAddr,
    pub room: String,
    pub life: Life,
    pub state: State,
}

/// A view at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub fleet: String,
    /// Unix time in nanoseconds.
    pub at: Nanos,
    pub version: u64,
    pub stale: Option<String>,
    pub me: Kept,
    pub others: Vec<Kept>,
    /// Addresses to join by of an earlier life, where nobody was met yet.
    pub contacts: Vec<SocketAddr>,
}

impl Saved {
    pub fn of(fleet: &str, at: Nanos, view: &View, contacts: &[SocketAddr]) -> Saved {
        let kept = |m: &super::Seen| Kept {
            name: m.name.to_string(),
            address: m.address,
            room: m.room.to_string(),
            life: m.life,
            state: m.state,
        };
        Saved {
            fleet: fleet.to_string(),
            at,
            version: view.version,
            stale: view.stale.map(|s| s.name().to_string()),
            me: kept(&view.me),
            others: view.others.iter().take(MOST).map(kept).collect(),
            contacts: contacts.to_vec(),
        }
    }

    pub fn encode(&self) -> Option<Vec<u8>> {
        let mut out = vec![0; HEAD];
        out = postcard::to_extend(self, out).ok()?;
        let sum = crc32fast::hash(&out[HEAD..]);
        out[..4].copy_from_slice(&MARK);
        out[4..HEAD].copy_from_slice(&sum.to_le_bytes());
        Some(out)
    }

    /// What a file holds, or what is wrong with it.
    pub fn decode(bytes: &[u8]) -> Result<Saved, &'static str> {
        if bytes.get(..4) != Some(&MARK) {
            return Err("it is no view of this version");
        }
        let (Some(sum), Some(body)) = (bytes.get(4..HEAD), bytes.get(HEAD..)) else {
            return Err("it is cut off");
        };
        if crc32fast::hash(body).to_le_bytes() != *sum {
            return Err("its checksum does not fit");
        }
        postcard::from_bytes(body).map_err(|_| "it cannot be read")
    }

    /// Addresses to join by, those last heard of as there first.
    pub fn contacts(&self) -> Vec<SocketAddr> {
        let there = |k: &&Kept| k.state.there();
        let (first, rest): (Vec<&Kept>, Vec<&Kept>) = self.others.iter().partition(there);
        let rest = rest.into_iter().filter(|k| k.state == State::Faulty);
        let mut all: Vec<SocketAddr> = first.into_iter().chain(rest).map(|k| k.address).collect();
        let unmet: Vec<SocketAddr> = self.contacts.iter().filter(|c| !all.contains(c)).copied().collect();
        all.extend(unmet);
        all
    }

    /// When a life that follows counts as begun: later than the one before, whatever the clock says.
    pub fn born(&self, now: Nanos) -> Nanos {
        now.max(self.me.life.born + 1)
    }
}
