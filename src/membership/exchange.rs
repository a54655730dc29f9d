//! The whole view, asked for and told page by page.

use super::out::claim_size;
use super::*;

impl Membership {
    pub(super) fn ask_exchange(&mut self, now: Nanos) {
        let nonce = self.dice.next_u64().max(1);
        self.exchange = Some((nonce, now));
        for (address, _) in self.some(ASKED, |_, m| m.state == State::Alive) {
            self.say(now, address, Kind::Exchange { nonce }, Vec::new());
        }
    }

    /// The whole view in as many datagrams as it takes.
    pub(super) fn answer_exchange(&mut self, now: Nanos, to: SocketAddr, nonce: u64) {
        let names: Vec<Name> = self.roll.members.keys().cloned().collect();
        let mut claims: Vec<Claim> = names.iter().filter_map(|n| self.roll.claim(n, false)).collect();
        loop {
            let rest = self.fill(now, to, Kind::Page { nonce, more: true }, claims);
            if rest.is_empty() {
                break;
            }
            claims = rest;
        }
    }

    /// A part of the view, to one member by chance; the next page goes on where this one ends.
    pub(super) fn page(&mut self, now: Nanos) {
        let Some((address, _)) = self.some(1, |_, _| true).pop() else { return };
        let from = self.page_from.take();
        let behind = |name: &Name| from.as_ref().is_none_or(|f| name > f);
        let names: Vec<Name> = self.roll.members.keys().filter(|n| behind(n)).take(16).cloned().collect();
        let claims: Vec<Claim> = names.iter().filter_map(|n| self.roll.claim(n, false)).collect();
        let all = claims.len();
        let rest = self.fill(now, address, Kind::Page { nonce: 0, more: false }, claims);
        let told = all - rest.len();
        self.page_from = if told == 0 || (names.len() < 16 && rest.is_empty()) {
            None
        } else {
            names.get(told - 1).cloned()
        };
    }

    /// Sends one datagram with as many of the claims as it holds, and returns the others. The last page of an answer
    /// says that no more come.
    fn fill(&mut self, now: Nanos, to: SocketAddr, kind: Kind, mut claims: Vec<Claim>) -> Vec<Claim> {
        let (mut room, mut n) = (wire::MOST - 160 - self.name.len() - self.room.len(), 0);
        for claim in &claims {
            let len = claim_size(claim);
            if len > room {
                break;
            }
            (room, n) = (room - len, n + 1);
        }
        let rest = claims.split_off(n.min(60));
        let kind = match kind {
            Kind::Page { nonce, .. } if nonce > 0 => Kind::Page { nonce, more: !rest.is_empty() },
            kind => kind,
        };
        let mut mine = vec![self.own_claim(false)];
        mine.append(&mut claims);
        self.send(now, to, kind, mine);
        rest
    }
}
