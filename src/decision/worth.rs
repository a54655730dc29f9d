//! What a message is worth and until when, and the final answers for those that nothing can serve.

use super::end_margin::{end_margin, STANDING_MOST};
use super::interface::*;
use super::records::*;
use super::release::{ANSWER_MARGIN, HORIZON_LEAST, HORIZON_MOST};
use super::Relay;

const RESERVE: f64 = 0.2; // share of its life that an unsafe message keeps when it waits for a sick host
const LOSS_STEPS: f64 = 1e9; // of a worth: a smaller difference is rounding, and the older aim goes first
const ROOM: f64 = 0.05; // places of those held that are kept free for newcomers

impl Relay {
    /// Until when it may be sent: to its deadline, or while a first attempt that may have run is remembered.
    pub(super) fn end(&self, m: &Message) -> Nanos {
        match (m.may_have_run, m.rules.class.repeat) {
            (Some((at, _)), Repeat::Keyed { memory, .. }) => m.deadline.min(at.saturating_add(memory)),
            _ => m.deadline,
        }
    }

    /// What it is worth if it is sent at `at`, by the settings.
    fn worth_at(&self, m: &Message, at: Nanos) -> f64 {
        let class = &m.rules.class;
        if at >= self.end(m) {
            return 0.0;
        }
        let over = at.saturating_sub(m.aim_at) as f64;
        let share = match m.rules.late {
            _ if at <= m.aim_at => 1.0,
            Late::Even => {
                let span = m.deadline.saturating_sub(m.aim_at).max(1) as f64;
                1.0 - (1.0 - class.late_worth) * (over / span).min(1.0)
            }
            Late::Halves => 0.5f64.powf(over / class.aim.max(1) as f64).max(class.late_worth),
        };
        class.worth * share
    }

    /// Worth about to be lost if the message is passed over for `horizon`.
    pub(super) fn loss(&self, m: &Message, horizon: f64) -> f64 {
        let loss = self.worth_at(m, self.now) - self.worth_at(m, self.now + horizon as Nanos);
        (loss * LOSS_STEPS).round() / LOSS_STEPS
    }

    /// Worth that a failed trial with this message would put in danger: most where it can't be sent again.
    pub(super) fn at_stake(&self, m: &Message) -> f64 {
        let share = match m.rules.class.repeat {
            _ if m.attempts + 2 >= m.rules.max_attempts => 3.0,
            Repeat::Safe => 0.0,
            Repeat::Keyed { .. } if m.may_have_run.is_some() => 0.01,
            Repeat::Keyed { .. } => 0.5,
            Repeat::Unsafe => 2.0,
        };
        share * self.worth_at(m, self.now)
    }

    /// An unsafe message that fails is lost for good: until its reserve begins it waits for a sound host.
    pub(super) fn risk_taken(&self, m: &Message) -> bool {
        let c = &m.rules.class;
        c.repeat != Repeat::Unsafe || m.deadline < self.reserve_from(c)
    }

    /// A message of this class that ends sooner is within its reserve.
    pub(super) fn reserve_from(&self, c: &Class) -> Nanos {
        self.now + (c.deadline as f64 * RESERVE) as Nanos
    }

    pub(super) fn fee(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        let cross = if h.zone() == self.set.zone { 0.0 } else { self.set.cross_zone };
        cross + self.set.zone_fee.get(h.zone()).filter(|_| h.kind().apart).copied().unwrap_or(0.0)
    }

    pub(super) fn least_fee(&self, dest: DestId) -> f64 {
        let ready = |h: &&HostId| self.book.hosts[h].state == Listing::Ready && self.is_well(**h);
        self.book.hosts_of(dest).iter().filter(ready).map(|h| self.fee(*h)).fold(f64::INFINITY, f64::min)
    }

    /// How long before a message's end its final answer is decided.
    pub(super) fn end_margin(&self, m: &Message) -> Nanos {
        let time = m.deadline.saturating_sub(m.taken);
        ANSWER_MARGIN + self.book.ends_take.map_or(0, |observed| end_margin(time, observed))
    }

    /// The same of any message, at most.
    pub(super) fn longest_end_margin(&self) -> Nanos {
        ANSWER_MARGIN + self.book.ends_take.map_or(0, |observed| observed.max(STANDING_MOST))
    }

    /// Final answers for messages that no allowed attempt can still serve.
    pub(super) fn end_hopeless(&mut self) {
        if self.now < self.book.next_end {
            return;
        }
        let until = self.now + self.longest_end_margin();
        let (mut over, mut next_end) = (Vec::new(), Nanos::MAX);
        for id in self.book.ends.take(until) {
            let Some(m) = self.book.messages.get(&id) else { continue };
            let ends_at = self.end(m).saturating_sub(self.end_margin(m));
            let spent = m.attempts >= m.rules.max_attempts;
            let lost = m.may_have_run.is_some() && m.rules.class.repeat == Repeat::Unsafe;
            let is_hopeless = !m.out && (spent || self.now >= ends_at || lost);
            let must_end_at = m.deadline.saturating_sub(self.end_margin(m));
            match is_hopeless || self.now >= must_end_at {
                true => over.push(id),
                false => next_end = next_end.min(if m.out { must_end_at } else { ends_at }),
            }
        }
        over.into_iter().for_each(|id| self.give_up(id));
        let behind = self.book.ends.first_behind(until);
        let behind = behind.map_or(Nanos::MAX, |t| t.saturating_sub(self.longest_end_margin()));
        self.book.next_end = next_end.min(behind);
    }

    /// Refused where no effect can be repeated by it, with advice on when to come back; else failed.
    pub(super) fn give_up(&mut self, id: MsgId) {
        let Some(m) = self.book.messages.get(&id) else { return };
        if self.may_refuse(m) && m.deadline > self.now + SEC {
            let horizon = self.book.flows.get(&m.dest).map_or(HORIZON_LEAST, |f| self.horizon(f));
            let come_back = (horizon as Nanos).min(self.set.max_come_back);
            self.actions.push(Action::Refuse { id, come_back });
        } else {
            self.actions.push(Action::Fail { id });
        }
        self.part_with(id);
    }

    pub(super) fn may_refuse(&self, m: &Message) -> bool {
        let clean = m.may_have_run.is_none() && !m.out;
        match m.rules.class.repeat {
            Repeat::Safe => true,
            Repeat::Keyed { zone_only, .. } => clean || !zone_only,
            Repeat::Unsafe => clean,
        }
    }

    pub(super) fn forget(&mut self, id: MsgId) {
        let Some(m) = self.book.messages.remove(&id) else { return };
        self.book.ends.set(id, None);
        if !m.out {
            self.book.unhold(id, &m);
        }
        self.book.leave_key(&m.key, id, self.now);
    }

    /// When a message of this flow that is held now likely has its turn.
    fn turn_at(&self, dest: DestId) -> Nanos {
        let dead = self.book.hosts_of(dest).iter().all(|h| self.sick(*h));
        self.now + if dead { HORIZON_MOST } else { self.horizon(&self.book.flows[&dest]) } as Nanos
    }

    /// When places run out the door turns away any newcomer: the least hopeful go instead, told to come back.
    pub(super) fn make_room(&mut self) {
        let free = ((self.set.max_held as f64 * ROOM) as usize).max(1);
        // What was held when the room became less stays.
        self.held_most = self.held_most.min(self.book.messages.len() + free).max(self.set.max_held);
        while self.book.messages.len() + free > self.held_most {
            let mut least: Option<(f64, Nanos, MsgId)> = None;
            for dest in self.book.turns.all() {
                let at = self.turn_at(dest);
                for id in self.book.flows[&dest].held.values() {
                    let m = &self.book.messages[id];
                    let worth = self.worth_at(m, at);
                    let less = least.is_none_or(|(w, t, _)| worth < w || (worth == w && m.taken > t));
                    least = if less && self.may_refuse(m) { Some((worth, m.taken, *id)) } else { least };
                }
            }
            let Some((_, _, id)) = least else { return };
            self.give_up(id);
        }
    }
}
