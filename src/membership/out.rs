//! What goes out: one datagram with as much of the news as it holds.

use super::*;

impl Membership {
    pub(super) fn own_claim(&self, with_record: bool) -> Claim {
        Claim {
            name: self.name.to_string(),
            address: self.address,
            room: self.room.to_string(),
            life: self.life,
            said: if self.stale == Some(Stale::Leaving) { Said::Left } else { Said::Alive },
            by: String::new(),
            version: self.record.version,
            record: (with_record && self.record.version > 0).then(|| self.record.bytes.to_vec()),
        }
    }

    /// Tells these members at once, and not only when the news come round, what this relay last had to say of itself.
    pub fn tell<'a>(&mut self, now: Nanos, names: impl IntoIterator<Item = &'a str>) {
        if self.silent() {
            return;
        }
        for name in names {
            if let Some(address) = self.roll.get(name).filter(|m| m.state.there()).map(|m| m.address) {
                let claim = self.own_claim(true);
                self.send(now, address, Kind::Gossip, vec![claim]);
            }
        }
    }

    /// One datagram with these claims first, and with as much of the news as it holds.
    pub(super) fn say(&mut self, now: Nanos, to: SocketAddr, kind: Kind, mut claims: Vec<Claim>) {
        if self.stale == Some(Stale::Leaving) {
            claims.insert(0, self.own_claim(false));
        }
        let mut room = wire::MOST - 200 - self.name.len() - self.room.len();
        room -= room.min(claims.iter().map(claim_size).sum());
        let (mut told_now, mut unknown) = (Vec::new(), Vec::new());
        for news in &self.queue {
            if room < CLAIM_LEAST || claims.len() >= 60 {
                break;
            }
            let (_, of, by) = news;
            let claim = if *of == self.name {
                Some(self.own_claim(true))
            } else {
                self.roll.claim(of, true).map(|c| {
                    if by.is_empty() {
                        c
                    } else {
                        Claim { by: by.to_string(), ..c }
                    }
                })
            };
            let Some(claim) = claim else {
                unknown.push(news.clone());
                continue;
            };
            let len = claim_size(&claim);
            if len <= room {
                room -= len;
                claims.push(claim);
                told_now.push(news.clone());
            }
        }
        let repeats = self.repeats();
        for news in &unknown {
            self.queue.remove(news);
        }
        for news in told_now {
            self.queue.remove(&news);
            let (told, of, by) = news;
            if told + 1 < repeats {
                self.queue.insert((told + 1, of, by));
            }
        }
        self.send(now, to, kind, claims);
    }

    pub(super) fn send(&mut self, now: Nanos, to: SocketAddr, kind: Kind, claims: Vec<Claim>) {
        if self.stale == Some(Stale::Superseded) {
            return;
        }
        let from = Sender {
            name: self.name.to_string(),
            address: self.address,
            room: self.room.to_string(),
            life: self.life,
            age: now.saturating_sub(self.started) / MS,
        };
        if let Some(bytes) = wire::encode(self.fleet, &Datagram { from, kind, claims }) {
            self.figures.sent += 1;
            self.figures.bytes += bytes.len() as u64;
            self.out.push((to, bytes));
        }
    }
}

/// Fewer bytes than any claim takes.
const CLAIM_LEAST: usize = 64;

/// Bytes that a claim takes at most.
pub(super) fn claim_size(claim: &Claim) -> usize {
    let texts = claim.name.len() + claim.room.len() + claim.by.len();
    texts + claim.record.as_ref().map_or(0, Vec::len) + 64
}
