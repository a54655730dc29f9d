//! What may travel together to whom: the operator's terms, by kind and by next hop.

use crate::interface::Nanos;

/// How many messages go in a call, where more wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Size {
    /// As many as are allowed.
    #[default]
    Fixed,
    /// As few as keep up, by what calls and messages were seen to cost the partner.
    Adaptive,
}

/// What a partner's limit counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Counts {
    #[default]
    Calls,
    Messages,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Messages in a call at most; what the partner allows stays the bound.
    pub messages: usize,
    /// Bytes of a call's body at most, all messages with their heads.
    pub bytes: usize,
    /// How long a call may wait to be filled.
    pub linger: Nanos,
    pub size: Size,
    pub counts: Counts,
    /// Calls behind one another on a connection.
    pub depth: usize,
    /// What may not be repeated shares calls although their failure leaves its fate unknown.
    pub unsafe_shares: bool,
}

/// A body holds so much at most, in the platform's protocol.
pub const BODY_MOST: usize = 64 * 1024;

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            messages: usize::MAX,
            bytes: BODY_MOST,
            linger: 0,
            size: Size::Fixed,
            counts: Counts::Calls,
            depth: 1,
            // The platform's partners count calls: alone, dues charges would take the calls of others there.
            unsafe_shares: true,
        }
    }
}

/// The terms for all: a next hop's own, else its kind's, else those for the rest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    pub rest: Terms,
    pub kinds: Vec<(String, Terms)>,
    pub hops: Vec<(String, Terms)>,
}

impl Table {
    pub fn of(&self, kind: Option<&str>, hop: &str) -> Terms {
        let own = self.hops.iter().find(|(name, _)| name == hop);
        let of_kind = || self.kinds.iter().find(|(name, _)| Some(name.as_str()) == kind);
        own.or_else(of_kind).map_or(self.rest, |(_, terms)| *terms)
    }
}
