//! Held messages of a flow by the worth that they are about to lose, found without looking at all of them: within a
//! class that loss rises or falls with the aim alone, in a few stretches of time. An index: what it finds still has to
//! pass the gate.

use super::interface::*;
use super::records::{Book, Flow, Message};
use super::Relay;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{self, Excluded, Included, Unbounded};

/// Those that may be the next to go: without a key, or the first of their key's line.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ranks {
    /// By class and aim.
    usual: BTreeMap<usize, BTreeSet<(Nanos, MsgId)>>,
    /// Those that end otherwise than their class lets suppose: each is looked at.
    odd: BTreeSet<MsgId>,
    /// Those that an earlier life took on and this one has not tried yet, by their deadlines.
    restored: BTreeSet<(Nanos, MsgId)>,
}

impl Ranks {
    fn add(&mut self, id: MsgId, m: &Message) {
        if m.restored {
            self.restored.insert((m.deadline, id));
        } else if m.odd {
            self.odd.insert(id);
        } else {
            self.usual.entry(m.class).or_default().insert((m.aim_at, id));
        }
    }

    /// Whether or not it is among them, and as whatever it was filed.
    pub fn remove(&mut self, id: MsgId, m: &Message) {
        self.odd.remove(&id);
        self.restored.remove(&(m.deadline, id));
        if let Some(of_class) = self.usual.get_mut(&m.class) {
            of_class.remove(&(m.aim_at, id));
            if of_class.is_empty() {
                self.usual.remove(&m.class);
            }
        }
    }
}

impl Book {
    /// Whether a message ends otherwise than its class lets suppose, as of now.
    pub fn file(&mut self, id: MsgId, odd: bool) {
        if let Some(m) = self.messages.get_mut(&id) {
            m.odd = odd;
        }
        self.rank(id);
    }

    /// Files a message among those that may go next, if it is held and the first of its key's line.
    pub fn rank(&mut self, id: MsgId) {
        let Some(m) = self.messages.get(&id) else { return };
        let Some(f) = self.flows.get_mut(&m.dest) else { return };
        f.ranks.remove(id, m);
        let line = m.key.as_ref().and_then(|k| self.keys.get(k));
        if f.held.get(&m.place) == Some(&id) && line.is_none_or(|k| k.line.front() == Some(&id)) {
            f.ranks.add(id, m);
        }
    }
}

/// A message by what it loses, its aim and itself.
type Valued = (f64, Nanos, MsgId);

fn most_first(a: &Valued, b: &Valued) -> Ordering {
    b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2)))
}

type Range<'a> = Box<dyn Iterator<Item = Valued> + 'a>;

/// What an earlier life left and this one has not tried, then messages by falling loss, older aims first where it is the same, out of ranges
/// that each are in that order.
pub(super) struct ByLoss<'a> {
    restored: Range<'a>,
    ranges: Vec<std::iter::Peekable<Range<'a>>>,
}

impl Iterator for ByLoss<'_> {
    type Item = (f64, MsgId);

    fn next(&mut self) -> Option<(f64, MsgId)> {
        if let Some((loss, _, id)) = self.restored.next() {
            return Some((loss, id));
        }
        let heads = self.ranges.iter_mut().enumerate();
        let heads = heads.filter_map(|(i, range)| range.peek().map(|head| (i, *head)));
        let first = heads.min_by(|(_, a), (_, b)| most_first(a, b));
        let (i, (loss, _, id)) = first?;
        self.ranges[i].next();
        Some((loss, id))
    }
}

/// The newest aims first, but of those with the same aim the one that came first.
fn newest_aim_first(
    range: impl DoubleEndedIterator<Item = (Nanos, MsgId)>,
) -> impl Iterator<Item = (Nanos, MsgId)> {
    let mut back = range.rev().peekable();
    let mut same: Vec<(Nanos, MsgId)> = Vec::new();
    std::iter::from_fn(move || {
        if same.is_empty() {
            same.extend(back.next());
            let aim = same.first()?.0;
            same.extend(std::iter::from_fn(|| back.next_if(|next| next.0 == aim)));
        }
        same.pop()
    })
}

impl Relay {
    /// Keeps the indexes with a message that is held, or whose past became known.
    pub(super) fn file(&mut self, id: MsgId) {
        let Some(m) = self.book.messages.get(&id) else { return };
        let (c, end) = (&m.rules.class, self.end(m));
        let odd = end != m.aim_at.saturating_add(c.span());
        self.book.ends.set(id, Some(end));
        self.book.file(id, odd);
    }

    /// The messages of a flow that may be next, by the worth that each loses if it is passed over for `horizon`.
    /// `risky`: of those that may not be repeated only the ones that take the risk.
    pub(super) fn by_loss<'a>(&'a self, f: &'a Flow, horizon: f64, risky: bool) -> ByLoss<'a> {
        let valued = move |(aim, id): (Nanos, MsgId)| (self.loss(&self.book.messages[&id], horizon), aim, id);
        let restored = f.ranks.restored.iter().map(|(_, id)| (&self.book.messages[id], *id));
        let restored = restored.filter(move |(m, _)| !risky || self.risk_taken(m));
        let restored: Range<'a> = Box::new(restored.map(move |(m, id)| valued((m.aim_at, id))));
        let mut ranges: Vec<std::iter::Peekable<Range<'a>>> = Vec::new();
        for ids in f.ranks.usual.values() {
            let Some(rules) = ids.first().map(|(_, id)| &self.book.messages[id].rules) else { continue };
            let last = if risky { self.takes_risk_until(&rules.class) } else { Nanos::MAX };
            for (from, to, newest_first) in self.stretches(rules, horizon as Nanos) {
                let to = to.min(last);
                if from.is_some_and(|from| from >= to) {
                    continue;
                }
                let from: Bound<(Nanos, MsgId)> = from.map_or(Unbounded, |at| Excluded((at, MsgId::MAX)));
                let range = ids.range((from, Included((to, MsgId::MAX)))).copied();
                let range: Range<'a> = match newest_first {
                    true => Box::new(newest_aim_first(range).map(valued)),
                    false => Box::new(range.map(valued)),
                };
                ranges.push(range.peekable());
            }
        }
        let mut odd: Vec<_> =
            f.ranks.odd.iter().map(|id| valued((self.book.messages[id].aim_at, *id))).collect();
        odd.sort_by(most_first);
        let odd: Range<'a> = Box::new(odd.into_iter());
        ranges.push(odd.peekable());
        ByLoss { restored, ranges }
    }

    /// The last aim with which a message of this class is sent at a risk.
    fn takes_risk_until(&self, c: &Class) -> Nanos {
        match c.repeat {
            Repeat::Unsafe => self.reserve_from(c).saturating_sub(c.span()),
            _ => Nanos::MAX,
        }
    }

    /// All held messages of a flow, those that a failed trial endangers least first, with what each loses.
    pub(super) fn by_stake(&self, f: &Flow, horizon: f64) -> Vec<(f64, MsgId)> {
        let valued =
            |id: &MsgId| (self.at_stake(&self.book.messages[id]), self.book.messages[id].aim_at, *id);
        let mut all: Vec<_> = f.held.values().map(valued).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        all.into_iter().map(|(_, _, id)| (self.loss(&self.book.messages[&id], horizon), id)).collect()
    }

    /// Aims of a class in stretches, each after the first time up to the second, in which the loss rises with the aim
    /// (then the newest comes first) or does not.
    fn stretches(&self, rules: &MessageRules, horizon: Nanos) -> Vec<(Option<Nanos>, Nanos, bool)> {
        let (c, now) = (&rules.class, self.now);
        // Those that end within the horizon lose all that they are worth now: less, the older they are. Those whose
        // aim is still to come would lose the same.
        let ending = now.saturating_add(horizon).checked_sub(c.span());
        let mut stretches = Vec::new();
        let mut after = None;
        let mut stretch = |to: Option<Nanos>, newest_first: bool| {
            if let Some(to) = to.filter(|to| after.is_none_or(|after| after < *to)) {
                stretches.push((after, to, newest_first));
                after = Some(to);
            }
        };
        // Where it halves, down to the least worth: whoever is there loses nothing more until its end.
        let halves = rules.late == Late::Halves;
        let floor = if c.late_worth > 0.0 { c.aim as f64 * -c.late_worth.log2() } else { f64::MAX };
        let least = now.checked_sub(floor as Nanos).filter(|_| halves);
        stretch(ending.and_then(|e| Some(e.min(least?))), false);
        stretch(ending.map(|e| e.min(now)), true);
        stretch(ending, false);
        stretch(least, false);
        stretch(Some(now).filter(|_| halves), true);
        // Where worth falls evenly all lose the same once their aim is past, and the less the later it is.
        stretch(Some(Nanos::MAX), false);
        stretches
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::decision::records::Flow;

    /// Guards the index against the plain way, which values all: the same order for messages of all ages, in both ways
    /// in which worth falls, with horizons short and long.
    #[test]
    fn the_order_is_that_of_valuing_all() {
        for late in [Late::Even, Late::Halves] {
            for (horizon, late_worth) in [(500.0, 0.4), (3_000.0, 0.4), (8_000.0, 0.1), (8_000.0, 0.0)] {
                let class = |aim: Nanos, deadline: Nanos| Class {
                    aim: aim * MS,
                    deadline: deadline * MS,
                    worth: 1.0 + aim as f64 / 1e4,
                    late_worth,
                    repeat: Repeat::Safe,
                    in_order: false,
                };
                let set = Settings {
                    senders: 1,
                    slots: 8,
                    max_held: 1_000,
                    max_attempts: 4,
                    may_cancel: false,
                    must_subscribe: false,
                    keepalive: 1,
                    max_come_back: 1,
                    limits: Limits::Unlisted,
                    late,
                    classes: vec![class(1_000, 9_000), class(3_000, 6_000)],
                    kinds: vec![],
                    zone_fee: vec![],
                    zone: 0,
                    cross_zone: 0.0,
                    cold_share: 0.3,
                    warm_up: 1,
                    overload_factor: 1.0,
                    fall: 1,
                    key_rest: 0,
                };
                let mut relay = Relay::new(set, 1);
                relay.now = 20_000 * MS;
                relay.book.flows.insert(1, Flow::new(1.0));
                for id in 0..400u64 {
                    let class = (id % 2) as usize;
                    let rules = relay.rules[&class].clone();
                    let deadline = (20_010 + id * 23) * MS;
                    let mut m = Message::new((class, rules), 1, None, 0, deadline);
                    m.odd = id % 17 == 0;
                    relay.book.messages.insert(id, m);
                    relay.book.hold(id, 1, (id as f64, id as f64 + 1.0));
                    relay.book.rank(id);
                }
                let horizon = horizon * MS as f64;
                let mut plain: Vec<(f64, MsgId)> =
                    relay.book.messages.iter().map(|(id, m)| (relay.loss(m, horizon), *id)).collect();
                let aim = |id: &MsgId| relay.book.messages[id].aim_at;
                plain.sort_by(|a, b| b.0.total_cmp(&a.0).then((aim(&a.1), a.1).cmp(&(aim(&b.1), b.1))));
                let found: Vec<_> = relay.by_loss(&relay.book.flows[&1], horizon, false).collect();
                assert_eq!(found.len(), plain.len());
                // Equal but for rounding, they may come in either order.
                let far = found.iter().zip(&plain).find(|(a, b)| (a.0 - b.0).abs() > 1e-9);
                assert_eq!(far, None, "{late:?} {horizon}");
            }
        }
    }
}
