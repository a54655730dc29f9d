//! Spans and figures of membership. The operator sets some of them; all have defaults that bear a pause of 3 s and
//! tell a death within 5 s.

use crate::interface::{Nanos, MS, SEC};

/// What membership goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// Between one relay's probes.
    pub probe: Nanos,
    /// After this time without an answer others are asked to probe the same member.
    pub answer: Nanos,
    /// A probe without an answer by then is an accusation.
    pub accuse: Nanos,
    /// How many others are asked.
    pub helpers: usize,
    /// A suspect that enough others accuse is faulty after the first, one that nobody else accuses after the second.
    pub suspect_least: Nanos,
    pub suspect_most: Nanos,
    /// Accusers, each by probes of its own, from which on the least span holds.
    pub accusers: usize,
    /// Between the rounds in which news are passed on, to so many others each.
    pub gossip: Nanos,
    pub fanout: usize,
    /// Between tries to reach those that are faulty, and the addresses to join by.
    pub reach: Nanos,
    /// Between pages of the view sent to one member by chance.
    pub page: Nanos,
    /// A faulty member, or one that left, is forgotten after this time.
    pub forget: Nanos,
    /// A datagram sent so long before the newest one of its sender counts as played again.
    pub late: Nanos,
    /// Having been woken so late is a pause of one's own.
    pub pause: Nanos,
    /// Without an answer to any probe for so long, nobody is accused: it may be oneself who is cut off.
    pub alone: Nanos,
    pub guards: Guards,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms {
            probe: 200 * MS,
            answer: 250 * MS,
            accuse: 700 * MS,
            helpers: 3,
            suspect_least: 2_800 * MS,
            suspect_most: 8_400 * MS,
            accusers: 3,
            gossip: 100 * MS,
            fanout: 3,
            reach: 500 * MS,
            page: SEC,
            forget: 24 * 3_600 * SEC,
            late: 5 * SEC,
            pause: 300 * MS,
            alone: 2 * SEC,
            guards: Guards::default(),
        }
    }
}

/// What goes beyond plain SWIM, each on its own: tests and measurements take one out to show what it does. An
/// operator cannot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A relay's own health stretches its probes, and one that hears no answers accuses nobody.
    pub health: bool,
    /// A suspicion's span depends on how many accuse.
    pub accusers: bool,
    /// A pause of one's own is found out, and nothing that was missed in it is held against others.
    pub pause: bool,
    /// What is heard of a fault starts a suspicion that can be refuted, and one's own proof outweighs it.
    pub hearsay: bool,
    /// Only who answers a probe of ours is taken for alive, and what was sent long ago is dropped.
    pub proof: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { health: true, accusers: true, pause: true, hearsay: true, proof: true }
    }
}

impl Guards {
    /// Plain SWIM with suspicion: the baseline of the measurements.
    pub fn plain() -> Guards {
        Guards { health: false, accusers: false, pause: false, hearsay: false, proof: true }
    }
}
