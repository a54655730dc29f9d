//! Why a list cannot be used.

use std::fmt;

/// Most bytes from one token of the text to the next: no name, address or indent is as long.
pub const TOKEN_MOST: usize = 64 * 1024;

/// What is wrong with the text of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Damage {
    /// It is no JSON from here on.
    Syntax,
    /// A string that is no UTF-8, or holds half of an escaped pair.
    Encoding,
    /// A name or value longer than any can be.
    TooLong,
    /// The text is no object.
    NotAnObject,
    /// A member that each list has is not there.
    Missing(&'static str),
    /// A member of the list is of the wrong kind, or has come before.
    Wrong(&'static str),
    /// It names entries, of which none can be used.
    NoneUsable,
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Damage::Syntax => write!(f, "no JSON"),
            Damage::Encoding => write!(f, "no UTF-8"),
            Damage::TooLong => write!(f, "a token over {TOKEN_MOST} bytes"),
            Damage::NotAnObject => write!(f, "no object"),
            Damage::Missing(member) => write!(f, "no `{member}`"),
            Damage::Wrong(member) => write!(f, "bad `{member}`"),
            Damage::NoneUsable => write!(f, "no entry can be used"),
        }
    }
}

/// Why a list cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFault {
    /// It is damaged at this byte.
    Damaged {
        /// Bytes before it.
        offset: u64,
        /// What is wrong there.
        damage: Damage,
    },
    /// It ended before it was whole.
    Cut {
        /// Bytes that came.
        offset: u64,
    },
    /// It has more bytes than are taken in.
    TooLarge {
        /// Its bytes, as announced, or as many as came.
        size: u64,
        /// Bytes that came.
        offset: u64,
    },
    /// It came too slowly and was given up.
    Slow {
        /// Bytes that came.
        offset: u64,
    },
}
