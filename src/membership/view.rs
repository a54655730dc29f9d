//! The view: who is there, as far as this relay can tell, and how far that is.

use super::roll::{Life, Name, Record, State};
use crate::interface::Nanos;
use std::net::SocketAddr;

/// Why a view is not to be acted on for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stale {
    /// Nobody has told yet who is there.
    Starting,
    /// This relay stood still, and has not heard yet what it missed.
    Paused,
    /// No probe was answered of late: all others are gone, or this relay is cut off.
    Alone,
    /// A later process goes by this relay's name.
    Superseded,
    /// It said goodbye itself.
    Leaving,
}

impl Stale {
    pub fn name(self) -> &'static str {
        match self {
            Stale::Starting => "starting",
            Stale::Paused => "paused",
            Stale::Alone => "alone",
            Stale::Superseded => "superseded",
            Stale::Leaving => "leaving",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub name: Name,
    pub address: SocketAddr,
    pub room: Name,
    pub life: Life,
    pub state: State,
    pub record: Record,
}

/// A snapshot. One with a higher version is newer.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub version: u64,
    pub me: Seen,
    /// All others that are known and not forgotten, by name.
    pub others: Vec<Seen>,
    /// Not to be acted on.
    pub stale: Option<Stale>,
}

impl View {
    /// Those that count as there, oneself included.
    pub fn part(&self) -> usize {
        1 + self.others.iter().filter(|m| m.state.there()).count()
    }

    /// The fleet as last agreed: those that are there and those that were until they fell silent without goodbye.
    pub fn of(&self) -> usize {
        1 + self.others.iter().filter(|m| m.state != State::Left).count()
    }

    /// All of the last agreed fleet is there.
    pub fn whole(&self) -> bool {
        self.part() == self.of()
    }
}

/// What changed, for the log and for those who use the view.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    Alive {
        name: Name,
        life: Life,
        why: &'static str,
    },
    Suspect {
        name: Name,
        by: Name,
    },
    Faulty {
        name: Name,
        by: Vec<Name>,
    },
    Left {
        name: Name,
    },
    Forgotten {
        name: Name,
    },
    Record {
        name: Name,
        version: u64,
    },
    /// This relay was accused and has said that it is there.
    Refuted {
        by: Name,
    },
    /// This relay stood still for so long.
    Paused {
        lag: Nanos,
    },
    /// Another process goes by this relay's name: the later one stands.
    Twin {
        address: SocketAddr,
        stands: bool,
    },
    /// The view is, or is not any more, to be acted on.
    Stale(Option<Stale>),
}
