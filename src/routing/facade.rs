//! The decision module behind three blocking calls: `pick`, `report`, `tick`.
//!
//! Whoever calls them gets back what is to be done now; the module's events and actions stay in this file.

mod values;

pub use values::{Ask, DestinationOutage, EndpointOutage, Left, LeftCall, Picked, Told};

use super::values::{Attempt, Call, End, Limit, Reply, TransactionNo};
use crate::catalog::{EndpointId, EndpointState, EndpointView};
use crate::decision::views::HostView;
use crate::decision::{Knowledge, Relay};
use crate::interface::{
    Action, AdoptedAttempt, CallTerms, Entry, Event, HostId, Listing, MessageRules, Nanos, Settings,
};
use std::collections::{BTreeSet, HashMap};

/// An endpoint as the module is told of it.
fn entry(endpoint: &EndpointView<'_>) -> Entry {
    Entry {
        host: endpoint.id,
        dest: endpoint.dest,
        kind: endpoint.kind,
        zone: endpoint.zone,
        state: match endpoint.state {
            EndpointState::Active => Listing::Ready,
            EndpointState::Leaving => Listing::Draining,
            EndpointState::Left => Listing::Gone,
        },
        scale: endpoint.share,
    }
}

fn endpoint_out(outage: &EndpointOutage) -> Event {
    let EndpointOutage { endpoint, last_call, rate } = *outage;
    Event::EndpointOut { host: endpoint, last_call, rate }
}

fn destination_out(outage: &DestinationOutage) -> Event {
    let DestinationOutage { dest, last_call, rate } = *outage;
    Event::DestinationOut { dest, last_call, rate }
}

#[derive(Debug)]
pub struct Facade {
    relay: Relay,
    /// Number of the next attempt of each transaction that the module holds.
    attempts: HashMap<TransactionNo, u32>,
    /// Wake-ups that the module asked for; it counts on each of them.
    dues: BTreeSet<Nanos>,
}

impl Facade {
    /// `settle_later`: a transaction that was ended is over only once `settled` says so.
    pub fn new(settings: Settings, seed: u64, settle_later: bool) -> Self {
        let mut facade =
            Facade { relay: Relay::new(settings, seed), attempts: HashMap::new(), dues: BTreeSet::new() };
        if settle_later {
            facade.relay.settle_later();
        }
        facade
    }

    /// Messages that the module holds, and how many it may.
    pub fn held(&self) -> (usize, usize) {
        (self.relay.held(), self.relay.settings().max_held)
    }

    /// Whether the module holds all that it may.
    pub fn full(&self) -> bool {
        let (held, most) = self.held();
        held >= most
    }

    /// When `tick` is wanted next.
    pub fn due(&self) -> Nanos {
        self.dues.first().copied().unwrap_or(Nanos::MAX)
    }

    /// Whether an attempt picked for this next hop may still be written.
    pub fn still_open(&self, endpoint: EndpointId, now: Nanos) -> bool {
        self.relay.still_open(endpoint, now)
    }

    /// Whether this transaction may still be begun there: its time, and that in which it may be repeated, go on
    /// while a connection comes up.
    pub fn may_begin(&self, no: TransactionNo, endpoint: EndpointId, now: Nanos) -> bool {
        self.relay.may_begin(no, endpoint, now)
    }

    /// Puts a transaction before the module.
    pub fn pick(&mut self, now: Nanos, ask: Ask) -> Picked {
        let events = self.asked(vec![ask]);
        self.step(now, &events)
    }

    /// Puts what an earlier life left before the module: its messages in the order taken, then the endpoints that were in
    /// an outage when it ended, since how soon one is tried rests on what is held for it. Returns the calls that are out
    /// at another process, with the numbers of their attempts.
    pub fn restore(&mut self, now: Nanos, left: Left) -> (Picked, Vec<Call>) {
        // Before their messages: whether those go in turn is asked at once.
        self.learn_classes(now, left.classes);
        let mut events = self.asked(left.asks);
        events.extend(left.endpoint_outages.iter().map(endpoint_out));
        events.extend(left.knowledge.map(|knowledge| Event::Known { knowledge: Box::new(knowledge) }));
        events.extend(left.destination_outages.iter().map(destination_out));
        let rests = left.keys.into_iter();
        events.extend(rests.map(|(key, rest, id)| Event::KeyRests { key, rest, id }));
        let mut calls = Vec::new();
        for LeftCall { endpoint, ago, attempts } in left.calls {
            let numbered: Vec<Attempt> =
                attempts.iter().map(|a| self.adopted_attempt(a.transaction)).collect();
            let adopted = attempts.into_iter().zip(&numbered).map(|(open, attempt)| AdoptedAttempt {
                id: open.transaction,
                attempt: attempt.number,
                lock: open.lock,
            });
            events.push(Event::Adopted { host: endpoint, attempts: adopted.collect(), ago });
            calls.push(Call { endpoint, attempts: numbered });
        }
        (self.step(now, &events), calls)
    }

    fn learn_classes(&mut self, now: Nanos, classes: Vec<(usize, MessageRules)>) {
        let rules = |(class, rules)| Event::Rules { class, rules: Box::new(rules) };
        let events: Vec<Event> = classes.into_iter().map(rules).collect();
        if !events.is_empty() {
            self.step(now, &events);
        }
    }

    /// These settings hold from now on; `classes` are the numbers of their classes, by their places.
    pub fn retune(&mut self, now: Nanos, settings: Settings, classes: Vec<usize>) -> Picked {
        self.step(now, &[Event::Retuned { settings: Box::new(settings), classes }])
    }

    /// The settings that the module goes by.
    pub fn settings(&self) -> &Settings {
        self.relay.settings()
    }

    /// Whether endpoints would be listed otherwise under these settings.
    pub fn would_list_anew(&self, settings: &Settings) -> bool {
        self.relay.settings().kinds != settings.kinds
    }

    fn next_attempt(&mut self, id: TransactionNo, timeout: Nanos) -> Attempt {
        let count = self.attempts.entry(id).or_insert(0);
        let attempt = Attempt { transaction: id, number: *count, timeout };
        *count += 1;
        attempt
    }

    /// An attempt that is out at another process. A message that is over has no further one, so that any number names it.
    fn adopted_attempt(&mut self, id: TransactionNo) -> Attempt {
        match self.attempts.contains_key(&id) {
            true => self.next_attempt(id, 0),
            false => Attempt { transaction: id, number: 0, timeout: 0 },
        }
    }

    fn asked(&mut self, asks: Vec<Ask>) -> Vec<Event> {
        let mut events = Vec::new();
        for a in asks {
            let Ask { transaction: id, class, dest, key, time_left, past, bytes, ended, spent } = a;
            if ended {
                let ordered = self.relay.is_in_order(class);
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
            events.extend(spent.then_some(Event::Spent { id }));
            events.push(Event::Travels { id, bytes, group: usize::MAX });
        }
        events
    }

    /// Tells how attempts ended: those of one call in one report.
    /// `splits` names those that may travel on only in smaller groups, with their bytes.
    pub fn report(
        &mut self,
        now: Nanos,
        ended: &[(Attempt, Reply)],
        told: Told,
        took: Nanos,
        splits: &[(TransactionNo, usize, usize)],
    ) -> Picked {
        let split = |(id, bytes, group): &(TransactionNo, usize, usize)| Event::Travels {
            id: *id,
            bytes: *bytes,
            group: *group,
        };
        let mut events: Vec<Event> = splits.iter().map(split).collect();
        let Told { limit, wait, idle, echo } = told;
        events.extend(wait.map(|(host, wait)| Event::Waits { host, wait }));
        let limits =
            limit.into_iter().map(|(host, Limit { rate, left })| Event::Reported { host, limit: rate, left });
        events.extend(limits);
        for (attempt, reply) in ended {
            let (id, attempt, over) = (attempt.transaction, attempt.number, reply.settles());
            let is_spent = matches!(reply, Reply::Spent | Reply::MustEnd(_));
            events.extend(is_spent.then_some(Event::Spent { id }));
            events.extend(idle.map(|idle| Event::Idled { id, attempt, idle }));
            events.extend(echo.then_some(Event::Echo { id, attempt }));
            events.push(Event::Ended { id, attempt, outcome: reply.outcome(), latency: took, over });
            events.extend(matches!(reply, Reply::Rejected { .. }).then_some(Event::Rejected { id }));
            if over {
                self.attempts.remove(&id);
            }
        }
        self.step(now, &events)
    }

    /// What may share a call to these next hops, from now on.
    pub fn share(&mut self, now: Nanos, calls: &[(EndpointId, CallTerms)]) -> Picked {
        let events: Vec<Event> =
            calls.iter().map(|(host, call)| Event::Shares { host: *host, call: *call }).collect();
        self.step(now, &events)
    }

    /// What the fleet deals out to this relay of next hops, in calls a second; none: one part of as many as there are
    /// relays.
    pub fn deal(&mut self, now: Nanos, parts: &[(EndpointId, Option<f64>)]) -> Picked {
        let events: Vec<Event> =
            parts.iter().map(|(host, rate)| Event::Dealt { host: *host, rate: *rate }).collect();
        self.step(now, &events)
    }

    /// How things stand between this relay and a next hop.
    pub fn standing(&self, endpoint: EndpointId) -> Option<HostView> {
        self.relay.standing(endpoint)
    }

    /// The highest rate at which an endpoint has served calls of this relay, a second; 0: not known.
    pub fn best_rate(&self, endpoint: EndpointId) -> f64 {
        self.relay.best_rate(endpoint)
    }

    /// What calls have shown, for a process that takes over.
    pub fn knowledge(&self) -> Knowledge {
        self.relay.knowledge()
    }

    /// Keys that rest, until when, and the message that does not wait for it.
    pub fn resting_keys(&self) -> impl Iterator<Item = (&str, Nanos, TransactionNo)> {
        self.relay.resting_keys()
    }

    /// Messages that wait for the destination of this next hop, and calls that are out to it.
    pub fn load_of(&self, endpoint: EndpointId) -> (usize, usize) {
        self.relay.load_of(endpoint)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Nanos) -> Picked {
        self.step(now, &[Event::Woken])
    }

    /// The relay may be killed from `at` on, and comes back later.
    pub fn closing(&mut self, now: Nanos, at: Nanos) -> Picked {
        self.step(now, &[Event::Closing { at }])
    }

    /// When the first message comes to its end.
    pub fn first_end(&self) -> Option<Nanos> {
        self.relay.first_end()
    }

    /// Ends take so long to arrive: they are decided earlier.
    pub fn ends_take(&mut self, now: Nanos, time: Nanos) -> Picked {
        self.step(now, &[Event::EndsTake { time }])
    }

    /// The end of this transaction has been told: now it is over.
    pub fn settled(&mut self, now: Nanos, id: TransactionNo) -> Picked {
        self.step(now, &[Event::Settled { id }])
    }

    /// No attempt of this transaction may begin any more, by a final answer that came to an earlier one.
    pub fn spend(&mut self, now: Nanos, id: TransactionNo, reply: Reply) -> Picked {
        let event = match reply {
            Reply::Rejected { .. } => Event::Rejected { id },
            _ => Event::Spent { id },
        };
        self.step(now, &[event])
    }

    /// Nobody waits for this transaction any more.
    pub fn withdraw(&mut self, now: Nanos, id: TransactionNo) -> Picked {
        self.attempts.remove(&id);
        self.step(now, &[Event::Withdrawn { id }])
    }

    /// What the list says of these endpoints is different now; `calls` of each is what may share a call to it. `outages`: of
    /// those among them that were in one when an earlier life ended, and that no list has named since.
    pub fn learn<'a>(
        &mut self,
        now: Nanos,
        changed: impl Iterator<Item = (EndpointView<'a>, CallTerms)>,
        outages: &[EndpointOutage],
    ) -> Picked {
        let (mut entries, mut terms) = (Vec::new(), Vec::new());
        for (endpoint, call) in changed {
            let host = endpoint.id;
            entries.push(entry(&endpoint));
            terms.extend(endpoint.terms.map(|terms| Event::Terms { host, terms }));
            terms.push(Event::Shares { host, call });
        }
        let mut events = vec![Event::Listed { whole: false, entries }];
        events.append(&mut terms);
        events.extend(outages.iter().map(endpoint_out));
        self.step(now, &events)
    }

    fn step(&mut self, now: Nanos, events: &[Event]) -> Picked {
        while self.dues.first().is_some_and(|at| *at <= now) {
            self.dues.pop_first();
        }
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
        picked.endpoint_outages = self.relay.endpoint_outages();
        picked.destination_outages = self.relay.destination_outages();
        picked
    }

    /// Sends of one step to one next hop share calls as far as its kind allows.
    fn send(&mut self, picked: &mut Picked, id: TransactionNo, host: HostId, timeout: Nanos) {
        let attempt = self.next_attempt(id, timeout);
        let most = self.relay.most_in_a_call(host);
        let open = picked.calls.iter_mut().rev().find(|c| c.endpoint == host);
        let together = |c: &Call| c.attempts.iter().map(|b| b.transaction).collect::<Vec<_>>();
        match open.filter(|c| c.attempts.len() < most && self.relay.joins(host, &together(c), id, most)) {
            Some(call) => call.attempts.push(attempt),
            None => picked.calls.push(Call { endpoint: host, attempts: vec![attempt] }),
        }
    }
}
