//! One entry of a list: from its members, in whatever order they come, to an endpoint.

use crate::catalog::{Endpoint, EndpointState, Names};
use crate::interface::Terms;
use std::fmt;
use std::net::SocketAddr;

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// The members of an entry that mean something to a relay. `weight`, `max_conns` and `backup` stand in lists of an
/// operator's own, never in discovery's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Member {
    /// The endpoint's name.
    Host,
    /// Its address.
    Dial,
    /// The name of its zone.
    Site,
    /// The name of its kind.
    Class,
    /// The number of its destination.
    Block,
    /// Whether it is active.
    Health,
    /// Its weight or rate.
    Share,
    /// Its part among the calls out.
    Weight,
    /// A bound on the calls out to it.
    MaxConns,
    /// Whether it waits until the others are sick.
    Backup,
}

impl Member {
    /// The member of this name, if it means anything here.
    pub fn named(name: &str) -> Option<Member> {
        Some(match name {
            "host" => Member::Host,
            "dial" => Member::Dial,
            "site" => Member::Site,
            "class" => Member::Class,
            "block" => Member::Block,
            "health" => Member::Health,
            "share" => Member::Share,
            "weight" => Member::Weight,
            "max_conns" => Member::MaxConns,
            "backup" => Member::Backup,
            _ => return None,
        })
    }

    fn name(self) -> &'static str {
        match self {
            Member::Host => "host",
            Member::Dial => "dial",
            Member::Site => "site",
            Member::Class => "class",
            Member::Block => "block",
            Member::Health => "health",
            Member::Share => "share",
            Member::Weight => "weight",
            Member::MaxConns => "max_conns",
            Member::Backup => "backup",
        }
    }
}

/// A member's value, as either decoder found it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    /// A string.
    Text(&'a str),
    /// A number.
    Number(f64),
    /// `true` or `false`.
    Flag(bool),
    /// `null`, which counts as left out.
    Null,
    /// An array or an object.
    Nested,
}

impl<'a> Value<'a> {
    fn text(self) -> Option<&'a str> {
        match self {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    fn number(self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(number).filter(|n| n.is_finite()),
            _ => None,
        }
    }

    fn flag(self) -> Option<bool> {
        match self {
            Value::Flag(flag) => Some(flag),
            _ => None,
        }
    }
}

/// Why an entry cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryFault {
    /// It is no object.
    NotAnObject,
    /// A member that it needs is not there.
    Missing(Member),
    /// A member is of the wrong kind, or an address that does not parse.
    Wrong(Member),
}

impl fmt::Display for EntryFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EntryFault::NotAnObject => write!(f, "no object"),
            EntryFault::Missing(member) => write!(f, "no `{}`", member.name()),
            EntryFault::Wrong(member) => write!(f, "bad `{}`", member.name()),
        }
    }
}

/// The members of one entry that have come so far. Of a member that comes twice the last one counts.
#[derive(Debug, Default)]
pub struct Fields {
    name: Option<String>,
    address: Option<SocketAddr>,
    dest: Option<u64>,
    kind: Option<usize>,
    zone: Option<usize>,
    state: Option<EndpointState>,
    share: Option<f64>,
    weight: Option<u64>,
    most_out: Option<u64>,
    backup: Option<bool>,
    wrong: Option<Member>,
}

impl Fields {
    /// Takes in one member.
    pub fn take(&mut self, member: Member, value: Value<'_>, names: &Names) {
        if value != Value::Null && self.set(member, value, names).is_none() {
            self.wrong.get_or_insert(member);
        }
    }

    /// None where the value is of the wrong kind.
    fn set(&mut self, member: Member, value: Value<'_>, names: &Names) -> Option<()> {
        match member {
            Member::Host => self.name = Some(value.text()?.to_string()),
            Member::Dial => self.address = Some(value.text()?.parse().ok()?),
            Member::Block => self.dest = Some(whole_number(value.number()?)?),
            Member::Class => self.kind = place(&names.kinds, value.text()?),
            Member::Site => self.zone = place(&names.zones, value.text()?),
            Member::Health => self.state = Some(state(value.text()?)),
            Member::Share => self.share = Some(value.number().filter(|share| *share >= 0.0)?),
            Member::Weight => self.weight = Some(whole_number(value.number()?).filter(|n| *n > 0)?),
            Member::MaxConns => self.most_out = Some(whole_number(value.number()?).filter(|n| *n > 0)?),
            Member::Backup => self.backup = Some(value.flag()?),
        }
        Some(())
    }

    /// The endpoint that they make; none where the entry cannot be used, which is then counted as skipped at its place.
    /// An unknown class is of no kind, an unknown site is the first zone.
    pub fn complete(self, place: usize, skipped: &mut Skipped) -> Option<Endpoint> {
        if let Some(fault) = self.fault() {
            skipped.add(self.name.as_deref(), place, fault);
            return None;
        }
        let terms = self.terms();
        Some(Endpoint {
            id: 0,
            name: self.name?,
            address: self.address?,
            dest: self.dest?,
            kind: self.kind.unwrap_or(usize::MAX),
            zone: self.zone.unwrap_or(0),
            state: self.state?,
            share: self.share.unwrap_or(1.0),
            terms,
        })
    }

    /// What keeps the entry from being used.
    fn fault(&self) -> Option<EntryFault> {
        let needed = [
            (Member::Host, self.name.is_some()),
            (Member::Dial, self.address.is_some()),
            (Member::Block, self.dest.is_some()),
            (Member::Health, self.state.is_some()),
        ];
        let missing = || needed.iter().find(|(_, there)| !there).map(|(member, _)| *member);
        self.wrong.map(EntryFault::Wrong).or_else(|| missing().map(EntryFault::Missing))
    }

    fn terms(&self) -> Option<Terms> {
        let named = self.weight.is_some() || self.most_out.is_some() || self.backup.is_some();
        named.then(|| Terms {
            most_out: self.most_out.map_or(usize::MAX, |n| n as usize),
            weight: self.weight.map_or(1, |n| u32::try_from(n).unwrap_or(u32::MAX)),
            backup: self.backup == Some(true),
            ..Terms::default()
        })
    }
}

/// Above this a number without a fraction cannot be told from its neighbours.
const EXACT_MOST: f64 = 9_007_199_254_740_992.0;

/// A number that has no fraction, is not negative and is the one that was written.
pub(super) fn whole_number(number: f64) -> Option<u64> {
    let is_whole = number.fract() == 0.0 && (0.0..=EXACT_MOST).contains(&number);
    is_whole.then_some(number as u64)
}

fn state(health: &str) -> EndpointState {
    match health {
        "active" => EndpointState::Active,
        "leaving" => EndpointState::Leaving,
        _ => EndpointState::Left,
    }
}

/// Entries of one list that could not be used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Skipped {
    /// How many.
    pub count: usize,
    /// The first few of them, each with what is wrong with it.
    pub names: Vec<String>,
}

impl Skipped {
    /// So many are named.
    const NAMED: usize = 5;
    /// Of a name so many characters are told.
    const NAME_MOST: usize = 64;

    /// Counts one, by its name or else its place in the list.
    pub fn add(&mut self, name: Option<&str>, place: usize, fault: EntryFault) {
        self.count += 1;
        if self.names.len() < Self::NAMED {
            let name = match name {
                Some(name) => name.chars().take(Self::NAME_MOST).collect(),
                None => format!("#{place}"),
            };
            self.names.push(format!("{name} ({fault})"));
        }
    }

    /// Tells of them in the log, if there are any.
    pub fn tell(&self) {
        if self.count > 0 {
            let (count, names) = (self.count, self.names.join(", "));
            let text = "entries of the list cannot be used and are skipped";
            tracing::warn!(target: "platform", event = "discovery-entries-skipped", count, names, "{text}");
        }
    }
}
