//! Datagrams: a head with mark, version, fleet and checksum, and a body by postcard. At most 1,200 bytes.

use super::roll::Life;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most bytes of a datagram: fits any path without being cut.
pub const MOST: usize = 1_200;
/// Most bytes of a name or a room.
pub const NAME_MOST: usize = 64;
/// Most bytes of a member's record.
pub const RECORD_MOST: usize = 1_024 - 64;
/// Most claims that a datagram may hold: small ones would fit in no larger number.
const CLAIMS_MOST: usize = 64;
const MARK: [u8; 2] = *b"bl";
pub const VERSION: u8 = 1;
const HEAD: usize = 11;

/// Who says it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sender {
    pub name: String,
    pub address: SocketAddr,
    pub room: String,
    pub life: Life,
    /// Milliseconds since the start of that life: tells what is old from what is new.
    pub age: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Wants an `Ack` with the same number.
    Ping {
        nonce: u64,
    },
    Ack {
        nonce: u64,
    },
    /// Wants the receiver to ping another, and to say what came of it.
    Ask {
        nonce: u64,
        name: String,
        address: SocketAddr,
    },
    /// The other one answered, in this life.
    Heard {
        nonce: u64,
        life: Life,
    },
    /// It did not: at least the asked one is there.
    Nack {
        nonce: u64,
    },
    /// News alone.
    Gossip,
    /// A part of the sender's view; `nonce` not 0: the answer to a request of the receiver's, `more` to come.
    Page {
        nonce: u64,
        more: bool,
    },
    /// Wants the whole view.
    Exchange {
        nonce: u64,
    },
    /// Wants the records of these.
    Want {
        names: Vec<String>,
    },
}

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Said {
    Alive,
    Suspect,
    Faulty,
    Left,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    pub name: String,
    pub address: SocketAddr,
    pub room: String,
    pub life: Life,
    pub said: Said,
    /// Who accuses it, where it is accused.
    pub by: String,
    /// Version of its record, and the record where it is passed on.
    pub version: u64,
    pub record: Option<Vec<u8>>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Datagram {
    pub from: Sender,
    pub kind: Kind,
    pub claims: Vec<Claim>,
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// It is none of ours.
    Foreign,
    /// Of another fleet.
    Fleet,
    /// Of another version of this wire.
    Version,
    /// It came other than it was sent, or cannot be read.
    Damaged,
    /// Of an earlier life, or sent long before what was heard last.
    Late,
}

impl Refused {
    pub const ALL: [Refused; 5] =
        [Refused::Foreign, Refused::Fleet, Refused::Version, Refused::Damaged, Refused::Late];

    pub fn name(self) -> &'static str {
        match self {
            Refused::Foreign => "foreign",
            Refused::Fleet => "other-fleet",
            Refused::Version => "other-version",
            Refused::Damaged => "damaged",
            Refused::Late => "late",
        }
    }
}

/// A fleet's name as datagrams carry it.
pub fn fleet(name: &str) -> u32 {
    crc32fast::hash(name.as_bytes())
}

fn body_sum(fleet: u32, body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new_with_initial(fleet);
    sum.update(body);
    sum.finalize()
}

pub fn encode(fleet: u32, datagram: &Datagram) -> Option<Vec<u8>> {
    let mut out = vec![0; HEAD];
    out = postcard::to_extend(datagram, out).ok()?;
    let sum = body_sum(fleet, &out[HEAD..]);
    out[..2].copy_from_slice(&MARK);
    out[2] = VERSION;
    out[3..7].copy_from_slice(&fleet.to_le_bytes());
    out[7..HEAD].copy_from_slice(&sum.to_le_bytes());
    (out.len() <= MOST).then_some(out)
}

pub fn decode(fleet: u32, bytes: &[u8]) -> Result<Datagram, Refused> {
    let word = |at: usize| bytes.get(at..at + 4).map(|w| u32::from_le_bytes([w[0], w[1], w[2], w[3]]));
    if bytes.len() > MOST || bytes.get(..2) != Some(&MARK) {
        return Err(Refused::Foreign);
    }
    if bytes[2..].first() != Some(&VERSION) {
        return Err(Refused::Version);
    }
    let (Some(of), Some(sum), Some(body)) = (word(3), word(7), bytes.get(HEAD..)) else {
        return Err(Refused::Damaged);
    };
    if of != fleet {
        return Err(Refused::Fleet);
    }
    if body_sum(fleet, body) != sum {
        return Err(Refused::Damaged);
    }
    let (datagram, rest) = postcard::take_from_bytes::<Datagram>(body).map_err(|_| Refused::Damaged)?;
    let fits = |text: &str| text.len() <= NAME_MOST;
    let sound = |c: &Claim| {
        let record = c.record.as_ref().is_none_or(|r| r.len() <= RECORD_MOST);
        named(&c.name) && fits(&c.room) && fits(&c.by) && record
    };
    let whole = rest.is_empty()
        && named(&datagram.from.name)
        && fits(&datagram.from.room)
        && datagram.claims.len() <= CLAIMS_MOST
        && datagram.claims.iter().all(sound);
    whole.then_some(datagram).ok_or(Refused::Damaged)
}

fn named(name: &str) -> bool {
    !name.is_empty() && name.len() <= NAME_MOST
}
