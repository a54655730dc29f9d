//! The decision module behind three blocking calls: `pick`, `report`, `tick`.
//!
//! Whoever calls them gets back what is to be done now; the module's events and actions stay in this file.

use super::core::Reply;
use super::route_set::{NextHop, Standing};
use super::transactions::TransactionNo;
use crate::interface::{Action, Entry, Event, HostId, Listing, Nanos, Settings};
use crate::rules::Relay;
use std::collections::{BTreeSet, HashMap};

/// A next hop, as numbered by the route set.
pub type NextHopId = HostId;

/// One attempt of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Branch {
    pub transaction: TransactionNo,
    pub attempt: u32,
    pub timeout: Nanos,
}

/// Branches that travel to one next hop together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub next_hop: NextHopId,
    pub branches: Vec<Branch>,
}

/// How a transaction ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Failed,
    /// Handed back: to hand it in again is harmless, best after this time (0: no advice).
    Returned {
        after: Nanos,
    },
}

/// What the module wants done now.
#[derive(Debug, Default)]
pub struct Picked {
    pub calls: Vec<Call>,
    pub ends: Vec<(TransactionNo, End)>,
    /// Branches to give up.
    pub dropped: Vec<(TransactionNo, u32)>,
    /// Next hops whose idle connections are to be closed.
    pub distrusted: Vec<NextHopId>,
    pub notes: Vec<String>,
    /// Idle time after which connections are not to be used any more.
    pub trusted_idle: Nanos,
    /// The next hops in an outage or just back from one, where that may have changed.
    pub ailing: Option<Vec<NextHopId>>,
}

/// What the module needs to know of a transaction.
#[derive(Clone, Debug)]
pub struct Ask {
    pub transaction: TransactionNo,
    pub class: usize,
    pub dest: u64,
    pub key: Option<String>,
    pub time_left: Nanos,
    /// Branches of an earlier life, and how long ago and in which zone the first that may have run went out.
    pub past: Option<(u32, Option<(Nanos, usize)>)>,
    /// It has its end, of which its caller has not been told yet.
    pub ended: bool,
}

#[derive(Debug)]
pub struct Facade {
    relay: Relay,
    max_held: usize,
    in_order: Vec<bool>,
    per_call: Vec<usize>,
    kind_of: HashMap<NextHopId, usize>,
    /// Number of the next branch of each transaction that the module holds.
    attempts: HashMap<TransactionNo, u32>,
    /// Wake-ups that the module asked for; it counts on each of them.
    dues: BTreeSet<Nanos>,
}

impl Facade {
    /// `settle_later`: a transaction that was ended is over only once `settled` says so.
    pub fn new(settings: Settings, seed: u64, settle_later: bool) -> Self {
        let mut facade = Facade {
            max_held: settings.max_held,
            in_order: settings.classes.iter().map(|c| c.in_order).collect(),
            per_call: settings.kinds.iter().map(|k| k.per_call.max(1)).collect(),
            relay: Relay::new(settings, seed),
            kind_of: HashMap::new(),
            attempts: HashMap::new(),
            dues: BTreeSet::new(),
        };
        if settle_later {
            facade.relay.settle_later();
        }
        facade
    }

    /// Whether the module holds all that it may.
    pub fn full(&self) -> bool {
        self.relay.held() >= self.max_held
    }

    /// When `tick` is wanted next.
    pub fn due(&self) -> Nanos {
        self.dues.first().copied().unwrap_or(Nanos::MAX)
    }

    /// Whether a branch picked for this next hop may still be written.
    pub fn still_open(&self, next_hop: NextHopId, now: Nanos) -> bool {
        self.relay.still_open(next_hop, now)
    }

    /// Puts transactions before the module, in the order in which they were taken.
    pub fn pick(&mut self, now: Nanos, asks: Vec<Ask>) -> Picked {
        let mut events = Vec::new();
        for a in asks {
            let Ask { transaction: id, class, dest, key, time_left, past, ended } = a;
            if ended {
                let ordered = self.in_order.get(class) == Some(&true);
                events.extend(key.filter(|_| ordered).map(|key| Event::Unsettled { id, key }));
                continue;
            }
            self.attempts.insert(id, past.map_or(0, |p| p.0));
            events.push(match past {
                None => Event::Taken { id, class, dest, key, time_left },
                Some((attempts, may_have_run)) => {
                    Event::Restored { id, class, dest, key, time_left, attempts, may_have_run }
                }
            });
        }
        self.step(now, &events)
    }

    /// Tells how branches ended: those of one call in one report.
    /// `limit` is what a next hop told of its own with them, `idle` for how long the connection had waited.
    pub fn report(
        &mut self,
        now: Nanos,
        ended: &[(Branch, Reply)],
        limit: Option<(NextHopId, f64)>,
        idle: Option<Nanos>,
        took: Nanos,
    ) -> Picked {
        let mut events: Vec<Event> =
            limit.into_iter().map(|(host, limit)| Event::Reported { host, limit }).collect();
        for (branch, reply) in ended {
            let (id, attempt, over) = (branch.transaction, branch.attempt, reply.settles());
            events.extend((*reply == Reply::Spent).then_some(Event::Spent { id }));
            events.extend(idle.map(|idle| Event::Idled { id, attempt, idle }));
            events.push(Event::Ended { id, attempt, outcome: reply.outcome(), latency: took, over });
            events.extend(matches!(reply, Reply::Rejected { .. }).then_some(Event::Rejected { id }));
            if over {
                self.attempts.remove(&id);
            }
        }
        self.step(now, &events)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Nanos) -> Picked {
        self.step(now, &[Event::Woken])
    }

    /// The relay may be killed from `at` on, and comes back later.
    pub fn closing(&mut self, now: Nanos, at: Nanos) -> Picked {
        self.step(now, &[Event::Closing { at }])
    }

    /// The end of this transaction has been told: now it is over.
    pub fn settled(&mut self, now: Nanos, id: TransactionNo) -> Picked {
        self.step(now, &[Event::Settled { id }])
    }

    /// These next hops were in an outage when an earlier life of the relay ended.
    pub fn ailing(&mut self, now: Nanos, next_hops: Vec<NextHopId>) -> Picked {
        let events: Vec<Event> = next_hops.into_iter().map(|host| Event::Ailing { host }).collect();
        self.step(now, &events)
    }

    /// Nobody waits for this transaction any more.
    pub fn withdraw(&mut self, now: Nanos, id: TransactionNo) -> Picked {
        self.attempts.remove(&id);
        self.step(now, &[Event::Withdrawn { id }])
    }

    /// News of the route set; `whole` replaces all that was known.
    pub fn learn(&mut self, now: Nanos, whole: bool, next_hops: &[NextHop]) -> Picked {
        let entry = |n: &NextHop| Entry {
            host: n.id,
            dest: n.dest,
            kind: n.kind,
            zone: n.zone,
            state: match n.standing {
                Standing::Active => Listing::Ready,
                Standing::Leaving => Listing::Draining,
                Standing::Left => Listing::Gone,
            },
            scale: n.share,
        };
        self.kind_of.retain(|id, _| self.relay.knows(*id));
        self.kind_of.extend(next_hops.iter().map(|n| (n.id, n.kind)));
        let mut events = vec![Event::Listed { whole, entries: next_hops.iter().map(entry).collect() }];
        events.extend(next_hops.iter().filter_map(|n| Some(Event::Terms { host: n.id, terms: n.terms? })));
        self.step(now, &events)
    }

    fn step(&mut self, now: Nanos, events: &[Event]) -> Picked {
        self.dues.retain(|at| *at > now);
        let mut picked = Picked::default();
        for action in self.relay.step(now, events) {
            match action {
                Action::Send { id, host, timeout } => self.send(&mut picked, id, host, timeout),
                Action::Cancel { id, attempt } => picked.dropped.push((id, attempt)),
                Action::Refuse { id, come_back } => {
                    self.attempts.remove(&id);
                    picked.ends.push((id, End::Returned { after: come_back }));
                }
                Action::Fail { id } => {
                    self.attempts.remove(&id);
                    picked.ends.push((id, End::Failed));
                }
                Action::Close { host } => picked.distrusted.push(host),
                Action::Wake { at } => drop(self.dues.insert(at)),
                Action::Subscribe => {}
                Action::Log(text) => picked.notes.push(text),
            }
        }
        picked.trusted_idle = self.relay.trusted_idle();
        // Whenever the health of a host turns the module says so.
        if !picked.notes.is_empty() {
            picked.ailing = Some(self.relay.ailing());
        }
        picked
    }

    /// Sends of one step to one next hop share calls as far as its kind allows.
    fn send(&mut self, picked: &mut Picked, id: TransactionNo, host: HostId, timeout: Nanos) {
        let count = self.attempts.entry(id).or_insert(0);
        let branch = Branch { transaction: id, attempt: *count, timeout };
        *count += 1;
        let kind = self.kind_of.get(&host).copied().unwrap_or(0);
        let most = self.per_call.get(kind).copied().unwrap_or(1);
        let open = picked.calls.iter_mut().rev().find(|c| c.next_hop == host);
        match open.filter(|c| c.branches.len() < most) {
            Some(call) => call.branches.push(branch),
            None => picked.calls.push(Call { next_hop: host, branches: vec![branch] }),
        }
    }
}
