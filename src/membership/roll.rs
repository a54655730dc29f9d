//! The roll of members: what stands of each, and which of two claims about one stands. No spans and no datagrams:
//! whoever calls says what has run out.

use super::wire::{Claim, Said};
use crate::interface::Nanos;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// One life of a process, and how often it has refuted what was said of it. The later life stands; in one life the
/// higher round. Only the member itself raises its round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Life {
    /// Nanoseconds of Unix time at its start, or one more than that of the life before where the clock ran back.
    pub born: u64,
    pub round: u32,
}

impl Life {
    /// The life that goes on after what another says of it; none where that needs no answer.
    pub fn refuting(self, claim: &Claim) -> Option<Life> {
        if claim.life.born != self.born {
            return None;
        }
        match claim.said {
            Said::Alive => None,
            // Only a new life comes back from a goodbye.
            Said::Left => Some(Life { born: self.born + 1, round: 0 }),
            Said::Suspect | Said::Faulty if claim.life.round < self.round => None,
            Said::Suspect | Said::Faulty => Some(Life { round: claim.life.round + 1, ..self }),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Alive,
    /// Accused: it counts as there until its span has run out.
    Suspect,
    Faulty,
    /// It said goodbye.
    Left,
}

impl State {
    /// Whether it counts as there.
    pub fn there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    pub fn name(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Faulty => "faulty",
            State::Left => "left",
        }
    }
}

/// Members' names are held in many places.
pub type Name = Arc<str>;

/// What a member tells of itself, for others to use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Record {
    pub version: u64,
    pub bytes: Arc<[u8]>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    pub address: SocketAddr,
    pub room: Name,
    pub life: Life,
    pub state: State,
    /// When it came to be in this state.
    pub since: Nanos,
    /// Who accuses it, in the order heard.
    pub accusers: Vec<Name>,
    /// A fault was told of, not found out here: the suspicion takes the least span.
    pub told: bool,
    /// When it last answered a probe of ours.
    pub proven: Nanos,
    /// When anything last came from it.
    pub heard: Nanos,
    /// Age of its newest datagram in this life, in milliseconds.
    pub newest: u64,
    pub record: Record,
}

/// What a claim or a finding did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It was not known.
    Joined,
    /// It lives another life than the one known.
    Again,
    /// It refuted what was said of it, or was found to be there.
    Cleared,
    Accused,
    /// One more accuser.
    Seconded,
    Faulty,
    Left,
    /// Its address, room or round is another one.
    Moved,
}

/// All members but oneself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Roll {
    pub members: BTreeMap<Name, Member>,
}

/// So many accusers are told of: more shorten nothing.
const ACCUSERS_MOST: usize = 8;

impl Roll {
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Takes in what another says. `hearsay`: a fault that is told of is to be borne out here; else it stands at once.
    pub fn merge(&mut self, now: Nanos, claim: &Claim, hearsay: bool) -> Option<Turn> {
        let Some(m) = self.members.get_mut(claim.name.as_str()) else {
            // One that is not known, or was forgotten, does not come back by what is said of its end.
            let there = matches!(claim.said, Said::Alive | Said::Suspect);
            return there.then(|| {
                self.members.insert(claim.name.as_str().into(), Member::of(now, claim));
                Turn::Joined
            });
        };
        if claim.life.born < m.life.born {
            return None;
        }
        if claim.life.born > m.life.born {
            *m = Member::of(now, claim);
            if m.state == State::Faulty && hearsay {
                (m.state, m.told) = (State::Suspect, true);
                return Some(Turn::Accused);
            }
            return Some(match m.state {
                State::Alive => Turn::Again,
                State::Suspect => Turn::Accused,
                State::Faulty => Turn::Faulty,
                State::Left => Turn::Left,
            });
        }
        if m.state == State::Left {
            return None;
        }
        let (newer, round) = (claim.life.round > m.life.round, claim.life.round);
        match claim.said {
            Said::Left => {
                m.turn(now, State::Left);
                Some(Turn::Left)
            }
            // One held to be faulty is to answer itself: what says that it refuted it may have been sent before its end.
            Said::Alive if m.state == State::Faulty && hearsay => None,
            Said::Alive if newer => {
                m.life.round = round;
                (m.address, m.room) = (claim.address, claim.room.as_str().into());
                let was = m.state;
                m.turn(now, State::Alive);
                Some(if was == State::Alive { Turn::Moved } else { Turn::Cleared })
            }
            Said::Alive => None,
            _ if round < m.life.round => None,
            Said::Suspect if m.state == State::Faulty => None,
            Said::Suspect => self.accuse(now, &claim.name, round, &claim.by, false),
            Said::Faulty if m.state == State::Faulty => None,
            Said::Faulty if !hearsay => {
                m.life.round = round;
                m.turn(now, State::Faulty);
                Some(Turn::Faulty)
            }
            Said::Faulty => self.accuse(now, &claim.name, round, &claim.by, true),
        }
    }

    /// Someone accuses it, by a probe or by what it tells.
    pub fn accuse(&mut self, now: Nanos, name: &str, round: u32, by: &str, told: bool) -> Option<Turn> {
        let m = self.members.get_mut(name)?;
        if !m.state.there() {
            return None;
        }
        let fresh = m.state != State::Suspect || round > m.life.round;
        m.life.round = m.life.round.max(round);
        if fresh {
            m.turn(now, State::Suspect);
        }
        let first_told = told && !m.told;
        m.told |= told;
        let new =
            !by.is_empty() && m.accusers.len() < ACCUSERS_MOST && !m.accusers.iter().any(|a| **a == *by);
        if new {
            m.accusers.push(by.into());
        }
        match (fresh, new || first_told) {
            (true, _) => Some(Turn::Accused),
            (false, true) => Some(Turn::Seconded),
            _ => None,
        }
    }

    /// It answered a probe of ours in this life, or in the one known: whatever was said of it up to that round is over.
    pub fn prove(&mut self, now: Nanos, claim: &Claim) -> Option<Turn> {
        let turn = match self.members.get_mut(claim.name.as_str()) {
            None => {
                self.members.insert(claim.name.as_str().into(), Member::of(now, claim));
                Some(Turn::Joined)
            }
            Some(m) if claim.life.born > m.life.born => {
                *m = Member::of(now, claim);
                Some(Turn::Again)
            }
            Some(m) if claim.life.born < m.life.born => return None,
            Some(m) if claim.life.round > m.life.round && m.state != State::Left => {
                let was = m.state;
                (m.life, m.address, m.room) = (claim.life, claim.address, claim.room.as_str().into());
                m.turn(now, State::Alive);
                (was != State::Alive).then_some(Turn::Cleared)
            }
            Some(_) => None,
        };
        if let Some(m) = self.members.get_mut(claim.name.as_str()).filter(|m| m.life == claim.life) {
            m.proven = now;
        }
        turn
    }

    /// Its span has run out.
    pub fn fault(&mut self, now: Nanos, name: &str) {
        if let Some(m) = self.members.get_mut(name).filter(|m| m.state == State::Suspect) {
            m.turn(now, State::Faulty);
        }
    }

    /// Forgets those that were gone for so long, and returns their names.
    pub fn forget(&mut self, before: Nanos) -> Vec<Name> {
        let gone = |m: &Member| !m.state.there() && m.since < before;
        let names: Vec<Name> =
            self.members.iter().filter(|(_, m)| gone(m)).map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| drop(self.members.remove(name)));
        names
    }

    /// What is to be said of a member.
    pub fn claim(&self, name: &str, with_record: bool) -> Option<Claim> {
        let m = self.members.get(name)?;
        let said = match m.state {
            State::Alive => Said::Alive,
            State::Suspect => Said::Suspect,
            State::Faulty => Said::Faulty,
            State::Left => Said::Left,
        };
        let by = m.accusers.first().filter(|_| matches!(said, Said::Suspect | Said::Faulty));
        Some(Claim {
            name: name.to_string(),
            address: m.address,
            room: m.room.to_string(),
            life: m.life,
            said,
            by: by.map_or(String::new(), |by| by.to_string()),
            version: m.record.version,
            record: (with_record && m.record.version > 0).then(|| m.record.bytes.to_vec()),
        })
    }

    /// Those that count as there.
    pub fn there(&self) -> impl Iterator<Item = (&Name, &Member)> {
        self.members.iter().filter(|(_, m)| m.state.there())
    }
}

impl Member {
    fn of(now: Nanos, claim: &Claim) -> Member {
        let state = match claim.said {
            Said::Alive => State::Alive,
            Said::Suspect => State::Suspect,
            Said::Faulty => State::Faulty,
            Said::Left => State::Left,
        };
        let accusers = if state == State::Suspect && !claim.by.is_empty() {
            vec![claim.by.as_str().into()]
        } else {
            Vec::new()
        };
        Member {
            address: claim.address,
            room: claim.room.as_str().into(),
            life: claim.life,
            state,
            since: now,
            accusers,
            told: false,
            proven: 0,
            heard: 0,
            newest: 0,
            record: Record::default(),
        }
    }

    fn turn(&mut self, now: Nanos, to: State) {
        (self.state, self.since) = (to, now);
        if to != State::Faulty {
            self.accusers.clear();
        }
        self.told = false;
    }
}
