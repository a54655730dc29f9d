//! What comes in: whom it is from, whether that counts, and what it says of others and of this relay.

use super::*;

impl Membership {
    pub fn hear(&mut self, now: Nanos, bytes: &[u8]) {
        self.wakes(now);
        if let Err(why) = self.take_in(now, bytes) {
            let at = Refused::ALL.iter().position(|r| *r == why).unwrap_or(0);
            self.figures.refused[at] += 1;
        }
    }

    fn take_in(&mut self, now: Nanos, bytes: &[u8]) -> Result<(), Refused> {
        let Datagram { from, kind, claims } = wire::decode(self.fleet, bytes)?;
        self.figures.heard += 1;
        if *from.name == *self.name {
            self.meet_twin(now, &from);
            return Ok(());
        }
        if self.silent() {
            return Ok(());
        }
        let known = match self.known(now, &from) {
            // An earlier process under a name is to hear that there is a later one.
            Err(why) if matches!(kind, Kind::Ping { .. }) => {
                let later = self.roll.claim(&from.name, false).filter(|c| c.life.born > from.life.born);
                if let Some(claim) = later {
                    self.send(now, from.address, Kind::Gossip, vec![claim]);
                }
                return Err(why);
            }
            known => known?,
        };
        let known = known | self.answered(now, &from, &kind);
        let (about_me, others): (Vec<Claim>, Vec<Claim>) =
            claims.into_iter().partition(|c| *c.name == *self.name);
        about_me.iter().for_each(|c| self.hear_of_oneself(now, c));
        let name: Name = from.name.as_str().into();
        match kind {
            Kind::Ping { nonce } => {
                let claims = self.held_against(&name);
                self.say(now, from.address, Kind::Ack { nonce }, claims);
            }
            Kind::Ask { nonce, name, address } if known => {
                let requester = from.address;
                self.ping(now, name.as_str().into(), address, Why::For { requester, nonce });
            }
            Kind::Heard { nonce, life } if known => self.heard_by_another(now, nonce, life),
            Kind::Nack { nonce } if known && self.is_own_probe(nonce) => self.proven = now,
            Kind::Exchange { nonce } if known => self.answer_exchange(now, from.address, nonce),
            Kind::Want { names } if known => {
                for name in names.iter().take(16) {
                    let claim = if *name == *self.name {
                        Some(self.own_claim(true))
                    } else {
                        self.roll.claim(name, true)
                    };
                    if let Some(claim) = claim.filter(|c| c.record.is_some()) {
                        self.send(now, from.address, Kind::Gossip, vec![claim]);
                    }
                }
            }
            Kind::Page { nonce, more } if known => {
                let wanted: Vec<String> =
                    others.iter().filter(|c| self.wants(c)).map(|c| c.name.clone()).collect();
                if !wanted.is_empty() {
                    self.send(now, from.address, Kind::Want { names: wanted }, Vec::new());
                }
                if nonce > 0 && !more && self.exchange.is_some_and(|(asked, _)| asked == nonce) {
                    self.exchange = None;
                    if matches!(self.stale, Some(Stale::Starting | Stale::Paused | Stale::Alone)) {
                        self.set_stale(None);
                    }
                }
            }
            _ => {}
        }
        if known {
            others.iter().for_each(|c| self.hear_of(now, c, &name));
        }
        Ok(())
    }

    fn is_own_probe(&self, nonce: u64) -> bool {
        self.probes.get(&nonce).is_some_and(|probe| matches!(probe.why, Why::Own { .. }))
    }

    fn wants(&self, claim: &Claim) -> bool {
        let there = matches!(claim.said, Said::Alive | Said::Suspect);
        let have = self.roll.get(&claim.name).map_or(0, |m| {
            if m.life.born == claim.life.born {
                m.record.version
            } else {
                0
            }
        });
        there && claim.record.is_none() && claim.version > have
    }

    /// Whether what it says of others counts. A stranger, or one that is held to be faulty, has to prove first that it is
    /// there: what came may have been sent long ago.
    fn known(&mut self, now: Nanos, from: &Sender) -> Result<bool, Refused> {
        let name: Name = from.name.as_str().into();
        let late = self.terms.late / MS;
        let proof = self.terms.guards.proof;
        match self.roll.members.get_mut(&name) {
            Some(m) if from.life.born < m.life.born => return Err(Refused::Late),
            Some(m) if from.life.born == m.life.born => {
                if proof && (m.state == State::Left || from.age + late < m.newest) {
                    return Err(Refused::Late);
                }
                m.newest = m.newest.max(from.age);
                m.heard = now;
                if m.state.there() {
                    if from.life.round > m.life.round {
                        let claim = claim_of(from);
                        let turn = self.roll.merge(now, &claim, true);
                        self.turned(now, &name, turn, "", "refuted");
                    }
                    return Ok(true);
                }
            }
            _ => {}
        }
        if !proof {
            let claim = claim_of(from);
            let turn = self.roll.merge(now, &claim, true);
            self.turned(now, &name, turn, "", "heard");
            return Ok(true);
        }
        let asked = self.probes.values().any(|p| matches!(p.why, Why::Proof) && p.name == name);
        if !asked {
            self.ping(now, name, from.address, Why::Proof);
        }
        Ok(false)
    }

    /// An answer to a probe of ours proves that its sender is there. Returns whether it did.
    fn answered(&mut self, now: Nanos, from: &Sender, kind: &Kind) -> bool {
        let Kind::Ack { nonce } = kind else { return false };
        let Some(probe) =
            self.probes.get(nonce).filter(|p| p.name.is_empty() || *p.name == *from.name).cloned()
        else {
            return false;
        };
        self.probes.remove(nonce);
        self.proven = now;
        match probe.why {
            Why::Own { .. } => self.health = self.health.saturating_sub(1),
            Why::Proof => self.strangers -= 1,
            Why::For { requester, nonce } => {
                self.say(now, requester, Kind::Heard { nonce, life: from.life }, Vec::new());
            }
        }
        let claim = claim_of(from);
        let turn = self.roll.prove(now, &claim);
        let name: Name = from.name.as_str().into();
        if let Some(m) = self.roll.members.get_mut(&name).filter(|m| m.life.born == from.life.born) {
            m.newest = m.newest.max(from.age);
        }
        self.turned(now, &name, turn, "", "answers");
        // Whoever comes back knows what those on its side hold, and they what we do.
        if matches!(turn, Some(Turn::Joined | Turn::Again | Turn::Cleared)) {
            let nonce = self.exchange.map_or(self.dice.next_u64().max(1), |(nonce, _)| nonce);
            self.exchange = Some((nonce, now));
            self.say(now, from.address, Kind::Exchange { nonce }, Vec::new());
        }
        self.roll.get(&name).is_some_and(|m| m.state.there())
    }

    /// A helper says that the member answered it.
    fn heard_by_another(&mut self, now: Nanos, nonce: u64, life: Life) {
        let Some(probe) = self.probes.get(&nonce).filter(|p| matches!(p.why, Why::Own { .. })).cloned()
        else {
            return;
        };
        self.probes.remove(&nonce);
        self.proven = now;
        if let Some(claim) = self.roll.claim(&probe.name, false).filter(|c| life > c.life) {
            let claim = Claim { life, said: Said::Alive, by: String::new(), ..claim };
            let turn = self.roll.merge(now, &claim, true);
            self.turned(now, &probe.name, turn, "", "heard by another");
        }
    }

    /// What a known member says of another.
    fn hear_of(&mut self, now: Nanos, claim: &Claim, from: &Name) {
        let name: Name = claim.name.as_str().into();
        if let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Faulty) {
            let there = matches!(claim.said, Said::Alive | Said::Suspect) && claim.life.born == m.life.born;
            if there && self.doubts.len() < DOUBTS_MOST && !self.doubts.contains(&name) {
                self.doubts.push_back(name.clone());
            }
        }
        let by = if claim.by.is_empty() { from.as_ref() } else { claim.by.as_str() };
        let claim_by = Claim { by: by.to_string(), ..claim.clone() };
        let claimed = if matches!(claim.said, Said::Suspect | Said::Faulty) { &claim_by } else { claim };
        // Nobody is accused on the word of one that is accused itself.
        let turn = self.roll.merge(now, claimed, self.terms.guards.hearsay);
        self.turned(now, &name, turn, by, "told");
        let Some(m) = self.roll.members.get_mut(&name) else { return };
        let newer = claim.version > m.record.version && claim.life.born == m.life.born;
        if let Some(bytes) = claim.record.as_ref().filter(|_| newer) {
            m.record = Record { version: claim.version, bytes: bytes.as_slice().into() };
            self.changed(News::Record { name: name.clone(), version: claim.version });
            if self.roll.get(&name).is_some_and(|m| m.state.there()) {
                self.pass_on(name, "");
            }
        }
    }

    /// What is said of this relay itself.
    fn hear_of_oneself(&mut self, now: Nanos, claim: &Claim) {
        if claim.life.born > self.life.born {
            let sender = Sender {
                name: claim.name.clone(),
                address: claim.address,
                room: claim.room.clone(),
                life: claim.life,
                age: 0,
            };
            return self.meet_twin(now, &sender);
        }
        let Some(life) = self.life.refuting(claim) else { return };
        self.life = life;
        if self.terms.guards.health {
            self.health = (self.health + 1).min(HEALTH_MOST);
        }
        self.pass_on(self.name.clone(), "");
        self.changed(News::Refuted { by: claim.by.as_str().into() });
        // Not only when the next round comes.
        if self.terms.guards.hearsay {
            for (address, _) in self.some(self.terms.fanout, |_, _| true) {
                self.say(now, address, Kind::Gossip, Vec::new());
            }
        }
    }

    /// Something goes by this relay's name. At this relay's own address it can only be what was here before.
    fn meet_twin(&mut self, now: Nanos, other: &Sender) {
        let (mine, theirs) = (self.life.born, other.life.born);
        if other.address == self.address {
            if theirs > mine {
                self.life = Life { born: theirs + 1, round: 0 };
                self.version += 1;
                self.pass_on(self.name.clone(), "");
            }
            return;
        }
        let stands = mine > theirs || (mine == theirs && self.address > other.address);
        if stands {
            // It learns of it by our head.
            self.news.push(News::Twin { address: other.address, stands });
            self.say(now, other.address, Kind::Gossip, Vec::new());
        } else if self.stale != Some(Stale::Superseded) {
            self.news.push(News::Twin { address: other.address, stands });
            self.set_stale(Some(Stale::Superseded));
        }
    }
}

fn claim_of(from: &Sender) -> Claim {
    Claim {
        name: from.name.clone(),
        address: from.address,
        room: from.room.clone(),
        life: from.life,
        said: Said::Alive,
        by: String::new(),
        version: 0,
        record: None,
    }
}
