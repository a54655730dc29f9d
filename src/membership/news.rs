//! News passed on by gossip, and those tried again that may only be cut off.

use super::*;

impl Membership {
    /// What follows from a change of the roll.
    pub(super) fn turned(
        &mut self,
        now: Nanos,
        name: &Name,
        turn: Option<Turn>,
        by: &str,
        why: &'static str,
    ) {
        let (Some(turn), Some(m)) = (turn, self.roll.get(name)) else { return };
        let (life, address, state) = (m.life, m.address, m.state);
        if state == State::Suspect {
            self.suspects.insert(name.clone());
        } else {
            self.suspects.remove(name);
        }
        match turn {
            Turn::Joined | Turn::Again | Turn::Cleared | Turn::Accused
                if state.there() && !self.order.contains(name) =>
            {
                let at = self.roll_below(self.order.len() + 1);
                self.order.insert(at, name.clone());
            }
            _ => {}
        }
        let accuser = if state == State::Suspect { by } else { "" };
        self.pass_on(name.clone(), accuser);
        match turn {
            Turn::Joined | Turn::Again | Turn::Cleared if state == State::Alive => {
                self.changed(News::Alive { name: name.clone(), life, why });
            }
            Turn::Joined | Turn::Accused => {
                self.changed(News::Suspect { name: name.clone(), by: by.into() });
                // It is to hear of it at once, from a few and not from all.
                if self.roll_below(self.order.len()) < self.terms.fanout && self.terms.guards.hearsay {
                    let claims = self.held_against(name);
                    self.say(now, address, Kind::Gossip, claims);
                }
            }
            Turn::Faulty => self.changed(News::Faulty { name: name.clone(), by: vec![by.into()] }),
            Turn::Left => self.changed(News::Left { name: name.clone() }),
            _ => self.version += 1,
        }
    }

    /// Has a piece of news told from now on; what was said of the same member before is over.
    pub(super) fn pass_on(&mut self, name: Name, by: &str) {
        let by: Name = by.into();
        let accused = !by.is_empty();
        self.queue
            .retain(|(_, of, accuser)| *of != name || (accused && !accuser.is_empty() && *accuser != by));
        self.queue.insert((0, name, by));
    }

    /// How often a piece of news is told.
    pub(super) fn repeats(&self) -> usize {
        (REPEATS * ((self.order.len() + 2) as f64).log2()).ceil() as usize
    }

    pub(super) fn gossip(&mut self, now: Nanos) {
        for _ in 0..DOUBTS_EACH {
            let Some(name) = self.doubts.pop_front() else { break };
            if let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Faulty) {
                let address = m.address;
                self.ping(now, name, address, Why::Proof);
            }
        }
        // Where most are gone, probes in turn seldom meet one that answers: those heard of last are asked.
        if now > self.proven + self.terms.alone / 4 && !self.order.is_empty() {
            let heard = |(name, m): (&Name, &roll::Member)| (m.heard, name.clone(), m.address);
            if let Some((_, name, address)) = self.roll.there().map(heard).max() {
                self.ping(now, name, address, Why::Proof);
            }
        }
        if self.queue.is_empty() {
            return;
        }
        for (address, _) in self.some(self.terms.fanout, |_, _| true) {
            self.say(now, address, Kind::Gossip, Vec::new());
        }
    }

    /// Tries those that are held to be faulty, since a cut looks the same from here, and the addresses to join by.
    pub(super) fn reach(&mut self, now: Nanos) {
        let faulty: Vec<(Name, SocketAddr)> = self
            .roll
            .members
            .iter()
            .filter(|(_, m)| m.state == State::Faulty)
            .map(|(name, m)| (name.clone(), m.address))
            .collect();
        if !faulty.is_empty() {
            let at = self.roll_below(faulty.len());
            let (name, address) = faulty[at].clone();
            self.ping(now, name, address, Why::Proof);
        }
        let there: BTreeSet<SocketAddr> = self.roll.there().map(|(_, m)| m.address).collect();
        let unknown: Vec<SocketAddr> = self.contacts.iter().filter(|c| !there.contains(c)).copied().collect();
        // One that knows nobody tries several.
        let tries = if there.is_empty() { ASKED } else { 1 };
        for _ in 0..tries.min(unknown.len()) {
            let address = unknown[self.roll_below(unknown.len())];
            self.ping(now, "".into(), address, Why::Proof);
        }
    }

    /// Some of those that are there, by chance, each once.
    pub(super) fn some(
        &mut self,
        n: usize,
        fits: impl Fn(&Name, &roll::Member) -> bool,
    ) -> Vec<(SocketAddr, Name)> {
        let mut found: Vec<(SocketAddr, Name)> = Vec::new();
        if self.order.is_empty() {
            return found;
        }
        let from = self.roll_below(self.order.len());
        // Steps by chance through an order by chance.
        let step = 1 + self.roll_below(self.order.len().min(7));
        for i in 0..self.order.len() {
            let name = &self.order[(from + i * step) % self.order.len()];
            let Some(m) = self.roll.get(name) else { continue };
            if m.state.there() && fits(name, m) && !found.iter().any(|(_, n)| n == name) {
                found.push((m.address, name.clone()));
            }
            if found.len() >= n {
                break;
            }
        }
        found
    }
}
