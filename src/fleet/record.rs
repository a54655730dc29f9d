//! What a relay tells the others of its partners, as the record of a member carries it: at most `MOST` bytes.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a record.
pub const MOST: usize = 1_024;
const VERSION: u8 = 1;
/// Members to whom parts are dealt out in one record.
pub const GRANTS_MOST: usize = 48;
/// More calls a second than this are not believed.
const RATE_MOST: f32 = 1e7;

/// A member, by its name.
pub type Id = u32;
/// A partner, by the name that all relays know it by.
pub type Key = u64;

pub fn id(name: &str) -> Id {
    xxh3_64(name.as_bytes()) as Id
}

pub fn key(name: &str) -> Key {
    xxh3_64(name.as_bytes())
}

/// A place by chance that all work out alike: the first of several is the one with the highest.
pub fn place(key: Key, member: Id, round: u64) -> u64 {
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..12].copy_from_slice(&member.to_le_bytes());
    bytes[12..].copy_from_slice(&round.to_le_bytes());
    xxh3_64(&bytes)
}

/// All that a relay tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The number of this record in its relay's life.
    pub tick: u32,
    pub tells: Vec<Tells>,
}

/// What it tells of one partner. Rates are a second, over the last second.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tells {
    pub key: Key,
    /// Calls that it would make if it could.
    pub wanted: f32,
    pub served: f32,
    pub refused: f32,
    /// The most that it was served over a longer run.
    pub best: f32,
    /// It takes the partner for down.
    pub down: bool,
    /// Milliseconds since a call was last served; none if there was none.
    pub served_ago: Option<u32>,
    /// Milliseconds of a wait that the partner told.
    pub wait: u32,
    /// The limit that the partner or the list tells; 0: none.
    pub limit: f32,
    /// It was refused for want of room not long ago.
    pub limited: bool,
    /// It has a reason of its own to tell: a limit, refusals, an outage.
    pub cause: bool,
    pub pledge: Option<Pledge>,
    /// It has heard the others for long enough to deal.
    pub fit: bool,
    /// The parts that it deals out to others, if it does.
    pub deals: Option<Deals>,
}

/// Whom it goes by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pledge {
    pub to: Id,
    /// The newest record of the dealer that it has heard.
    pub heard: u32,
    /// The part that it uses, in parts of `pledges::WHOLE`.
    pub part: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Deals {
    /// Calls a second for a whole part.
    pub whole: f32,
    /// Whether the partner is held to be down or on its way back, and for how many milliseconds.
    pub down: bool,
    pub warming: bool,
    pub age: u32,
    pub grants: Vec<Grant>,
}

/// A part for one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub to: Id,
    /// The newest record of that member that the dealer had heard.
    pub heard: u32,
    /// In parts of `pledges::WHOLE`.
    pub part: u32,
}

impl Record {
    /// As bytes; what does not fit is left out, the last first.
    pub fn encode(&self) -> Vec<u8> {
        let mut record = self.clone();
        loop {
            let mut bytes = vec![VERSION];
            bytes.extend(postcard::to_stdvec(&record).unwrap_or_default());
            if bytes.len() <= MOST || record.tells.is_empty() {
                return bytes;
            }
            record.tells.pop();
        }
    }

    /// None where it is of another version, damaged, or tells what cannot be.
    pub fn decode(bytes: &[u8]) -> Option<Record> {
        let (version, rest) = bytes.split_first()?;
        if *version != VERSION || bytes.len() > MOST {
            return None;
        }
        let (record, left) = postcard::take_from_bytes::<Record>(rest).ok()?;
        let sound = |r: f32| (0.0..=RATE_MOST).contains(&r);
        let of = |t: &Tells| {
            let rates = [t.wanted, t.served, t.refused, t.best, t.limit];
            let dealt = t.deals.as_ref().is_none_or(|d| sound(d.whole) && d.grants.len() <= GRANTS_MOST);
            rates.into_iter().all(sound) && dealt
        };
        (left.is_empty() && record.tells.iter().all(of)).then_some(record)
    }

    pub fn of(&self, key: Key) -> Option<&Tells> {
        self.tells.iter().find(|t| t.key == key)
    }
}
