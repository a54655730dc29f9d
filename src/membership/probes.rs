//! Probes, and what follows where none is answered: accusers add up, and a suspicion that runs out is a fault.

use super::*;

impl Membership {
    pub(super) fn probe(&mut self, now: Nanos) {
        if self.stale == Some(Stale::Paused) && self.terms.guards.pause {
            return;
        }
        for _ in 0..2 * self.order.len() {
            if self.turn >= self.order.len() {
                self.shuffle();
            }
            let Some(name) = self.order.get(self.turn).cloned() else { return };
            self.turn += 1;
            if let Some(m) = self.roll.get(&name).filter(|m| m.state.there()) {
                let address = m.address;
                self.ping(now, name, address, Why::Own { asked: 0 });
                return;
            }
        }
    }

    /// A new round of probes, each member once, in an order by chance.
    fn shuffle(&mut self) {
        self.turn = 0;
        self.order = self.roll.there().map(|(name, _)| name.clone()).collect();
        for i in (1..self.order.len()).rev() {
            let j = self.roll_below(i + 1);
            self.order.swap(i, j);
        }
    }

    pub(super) fn roll_below(&mut self, n: usize) -> usize {
        (self.dice.next_u64() % n.max(1) as u64) as usize
    }

    pub(super) fn ping(&mut self, now: Nanos, name: Name, address: SocketAddr, why: Why) {
        let stranger = matches!(why, Why::Proof);
        if self.probes.len() >= PROBES_MOST || (stranger && self.strangers >= STRANGERS_MOST) {
            return;
        }
        self.strangers += usize::from(stranger);
        let nonce = self.dice.next_u64().max(1);
        let claims = self.held_against(&name);
        self.probes.insert(nonce, Probe { name, address, sent: now, why });
        self.say(now, address, Kind::Ping { nonce }, claims);
    }

    /// What is to be told at once to a member that is held to be less than alive.
    pub(super) fn held_against(&self, name: &str) -> Vec<Claim> {
        let claim = self.roll.claim(name, false);
        claim.into_iter().filter(|c| matches!(c.said, Said::Suspect | Said::Faulty)).collect()
    }

    pub(super) fn end_probes(&mut self, now: Nanos) {
        let slow = u64::from(self.health + 1);
        let (answer, accuse) = (self.terms.answer * slow, self.terms.accuse * slow);
        let waiting = |p: &Probe| now >= p.sent + answer;
        let nonces: Vec<u64> = self.probes.iter().filter(|(_, p)| waiting(p)).map(|(n, _)| *n).collect();
        for nonce in nonces {
            let Some(probe) = self.probes.get(&nonce).cloned() else { continue };
            let over = now >= probe.sent + accuse;
            match probe.why {
                Why::Own { asked: 0 } if !over => self.ask_helpers(now, nonce, &probe),
                Why::Own { asked } if over => {
                    self.probes.remove(&nonce);
                    self.figures.unanswered += 1;
                    // Helpers that say nothing either are a sign that it is this relay that is not well.
                    // Not where another answered meanwhile: then it is they who are gone.
                    let unwell = self.terms.guards.health && self.proven < probe.sent;
                    let missing = if unwell { asked.max(1) as u32 } else { 0 };
                    self.health = (self.health + missing).min(HEALTH_MOST);
                    self.accuse(now, &probe.name);
                }
                Why::For { requester, nonce: of } => {
                    self.probes.remove(&nonce);
                    self.say(now, requester, Kind::Nack { nonce: of }, Vec::new());
                }
                Why::Proof if over => {
                    self.probes.remove(&nonce);
                    self.strangers -= 1;
                }
                _ => {}
            }
        }
    }

    fn ask_helpers(&mut self, now: Nanos, nonce: u64, probe: &Probe) {
        let helpers = self.some(self.terms.helpers, |name, m| *name != probe.name && m.state == State::Alive);
        if let Some(Probe { why: Why::Own { asked }, .. }) = self.probes.get_mut(&nonce) {
            *asked = helpers.len().max(1);
        }
        for (address, _) in helpers {
            let (name, of) = (probe.name.to_string(), probe.address);
            self.say(now, address, Kind::Ask { nonce, name, address: of }, Vec::new());
        }
        // The first may only have been lost.
        let claims = self.held_against(&probe.name);
        self.say(now, probe.address, Kind::Ping { nonce }, claims);
    }

    /// Whether this relay may hold anything against others: it does not while it may be itself who is cut off.
    fn may_judge(&self, now: Nanos) -> bool {
        let alone = self.terms.guards.health && now > self.proven + self.terms.alone;
        let paused = self.terms.guards.pause && self.stale == Some(Stale::Paused);
        !alone && !paused && !self.silent()
    }

    fn accuse(&mut self, now: Nanos, name: &Name) {
        let Some(m) = self.roll.get(name).filter(|m| m.state.there()) else { return };
        if !self.may_judge(now) {
            return;
        }
        let (round, address, me) = (m.life.round, m.address, self.name.clone());
        let turn = self.roll.accuse(now, name, round, &me, false);
        self.turned(now, name, turn, &me, "probes");
        let claims = self.held_against(name);
        self.say(now, address, Kind::Gossip, claims);
    }

    /// How long a suspicion lasts that has so many accusers.
    fn span(&self, m: &roll::Member) -> Nanos {
        let (least, most) = (self.terms.suspect_least, self.terms.suspect_most);
        if m.told || !self.terms.guards.accusers {
            return least;
        }
        // Those that could accuse it, this relay among them.
        let others = 1 + self.order.len().saturating_sub(self.suspects.len());
        let enough = others.clamp(1, self.terms.accusers) as f64;
        let accusers = (m.accusers.len().max(1) as f64).min(enough);
        if enough <= 1.0 {
            return least;
        }
        most - ((most - least) as f64 * accusers.ln() / enough.ln()) as Nanos
    }

    pub(super) fn end_suspicions(&mut self, now: Nanos) {
        if self.suspects.is_empty() || !self.may_judge(now) {
            return;
        }
        for name in self.suspects.clone() {
            let Some(m) = self.roll.get(&name).filter(|m| m.state == State::Suspect) else {
                self.suspects.remove(&name);
                continue;
            };
            if now < m.since + self.span(m) {
                continue;
            }
            // It answered this relay itself since it was accused: it is to hear of it, and to refute it.
            let (address, by) = (m.address, m.accusers.clone());
            if self.terms.guards.hearsay && m.proven > m.since && now < m.proven + self.terms.suspect_least {
                // About once a second.
                if self.roll_below(10) == 0 {
                    self.ping(now, name, address, Why::Proof);
                }
                continue;
            }
            self.roll.fault(now, &name);
            self.suspects.remove(&name);
            self.pass_on(name.clone(), "");
            self.changed(News::Faulty { name, by });
        }
    }
}
