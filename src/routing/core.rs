//! The core: takes transactions on, has the module decide, keeps the journal ahead of what is done.

use super::facade::{Ask, Facade, Picked, Told};
use super::journal::{Journal, Record, Replayed};
use super::shares::Shares;
use super::transactions::{Ending, Transaction, Transactions};
use super::values::{Branch, Call, End, Limit, Reply, TransactionNo};
use crate::batching::fate::{may_share, Wire};
use crate::batching::{Counts, Former, Member, Pressure, Table, Terms};
use crate::catalog::{Endpoint, EndpointCatalog, EndpointId, EndpointUpdate};
use crate::fleet::record;
use crate::fleet::together::{Deal, Own};
use crate::interface::{CallTerms, Nanos, Outcome, Repeat, Settings};
use bytes::Bytes;
use std::cmp::Reverse;

/// Advice for those turned away before the module was asked.
const DOOR_ADVICE: Nanos = 1_000_000_000;

/// A transaction as a caller hands it in.
#[derive(Clone, Debug)]
pub struct Offer {
    pub id: String,
    pub class: usize,
    pub dest: u64,
    pub key: Option<String>,
    pub idempotency: Option<String>,
    pub time_left: Nanos,
    pub body: Bytes,
    pub owner: String,
}

/// The answer to an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// Taken on and journaled.
    On(TransactionNo),
    /// It was taken on before, under this id.
    Already,
    /// Another one was taken on under this id.
    Other,
    /// Turned away; to offer it again is harmless, best after this time. `full`: for want of room.
    Refused { after: Nanos, full: bool },
    /// It cannot be delivered, and no promise is made.
    Failed,
}

/// Something for the log, with the stable name of its kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    pub event: &'static str,
    /// The next hop that it is about.
    pub hop: Option<String>,
    pub text: String,
}

impl Note {
    fn new(event: &'static str, text: String) -> Note {
        Note { event, hop: None, text }
    }
}

/// What the network is to do now.
#[derive(Debug, Default)]
pub struct Work {
    pub calls: Vec<(Call, Endpoint)>,
    /// Transactions whose end is now owed to whoever handed them in.
    pub ended: Vec<TransactionNo>,
    pub dropped: Vec<(TransactionNo, u32)>,
    pub distrusted: Vec<EndpointId>,
    /// Idle time after which connections are not to be used any more, where a step was made.
    pub trusted_idle: Option<Nanos>,
    pub notes: Vec<Note>,
}

/// What came of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Carried {
    /// Branches that were never begun may be left out.
    pub replies: Vec<(Branch, Reply)>,
    /// The limit that the next hop told.
    pub limit: Option<Limit>,
    /// For how long the connection had waited for this call, 0 if it was new; none where nothing was sent.
    pub idle: Option<Nanos>,
    /// The break that ended it was told of with another call on the same connection.
    pub echo: bool,
    /// The next hop told to wait for so long.
    pub wait: Nanos,
    /// The call was refused as a whole, as one that cannot be read or is too large.
    pub refused: bool,
}

impl Carried {
    /// The same came of each of these.
    pub fn each(letters: &[Letter], reply: Reply) -> Carried {
        Carried::from(letters.iter().map(|l| (l.branch, reply)).collect::<Vec<_>>())
    }
}

impl From<Vec<(Branch, Reply)>> for Carried {
    fn from(replies: Vec<(Branch, Reply)>) -> Self {
        Carried { replies, ..Carried::default() }
    }
}

/// What is about to be written for a branch.
#[derive(Clone, Debug)]
pub struct Letter {
    pub branch: Branch,
    pub id: String,
    pub idempotency: Option<String>,
    pub body: Bytes,
}

pub struct Core {
    facade: Facade,
    catalog: EndpointCatalog,
    transactions: Transactions,
    journal: Journal,
    next_no: TransactionNo,
    /// A delivery, too, is told to whoever handed the transaction in, and stays owed until acknowledged.
    tells_delivery: bool,
    work: Work,
    /// Forms calls of what the module releases, by these terms.
    former: Former,
    batching: Batching,
    /// Messages in a call, by kind, that the partners allow.
    allowed: Vec<usize>,
    of_classes: Vec<(Nanos, Nanos, Repeat)>,
    slots: usize,
    /// Where the relay goes by what its fleet deals out.
    shares: Option<Shares>,
}

/// The operator's terms for calls, with the names of the kinds that they speak of.
#[derive(Clone, Debug, Default)]
pub struct Batching {
    pub table: Table,
    pub kinds: Vec<String>,
}

/// What a core has to know before it touches what an earlier life left.
#[derive(Clone, Debug)]
pub struct First<'a> {
    /// The route set as last known.
    pub known: &'a EndpointUpdate,
    pub batching: Batching,
    /// A delivery, too, is told to whoever handed the transaction in.
    pub tells_delivery: bool,
}

impl Batching {
    fn of(&self, hop: &Endpoint) -> Terms {
        self.table.of(self.kinds.get(hop.kind).map(String::as_str), &hop.name)
    }
}

/// How a call goes on connections that carry several.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piping {
    /// Calls on a connection.
    pub depth: usize,
    /// Connections, as long as they suffice.
    pub lines: usize,
    /// It may go behind others, and others behind it.
    pub repeatable: bool,
}

/// What a message takes of a call's body: itself, its line with id, key and length, and the line ends.
fn bytes_of(t: &Transaction) -> usize {
    t.body.len() + t.id.len() + t.idempotency.as_ref().map_or(1, String::len) + 12
}

fn call_terms(former: &Former, hop: EndpointId) -> CallTerms {
    let terms = former.terms(hop);
    CallTerms {
        messages: former.size(hop),
        bytes: terms.bytes,
        unsafe_shares: terms.unsafe_shares,
        by_message: terms.counts == Counts::Messages,
    }
}

impl Core {
    /// Starts from what an earlier life left, with the route set as last known.
    pub fn new(
        settings: Settings,
        seed: u64,
        journal: Journal,
        replayed: Replayed,
        first: First<'_>,
        now: Nanos,
    ) -> Core {
        let First { known, batching, tells_delivery } = first;
        let classes = settings.classes.len();
        let slots = settings.slots;
        let former = Former::new(slots * 3 / 4);
        let allowed = settings.kinds.iter().map(|k| k.per_call.max(1)).collect();
        let of_classes = settings.classes.iter().map(|c| (c.aim, c.deadline, c.repeat)).collect();
        let Replayed { transactions, next_no, ailing, torn } = replayed;
        let facade = Facade::new(settings, seed, !tells_delivery);
        let (catalog, work) = (EndpointCatalog::default(), Work::default());
        let mut core = Core {
            facade,
            catalog,
            transactions,
            journal,
            next_no,
            tells_delivery,
            work,
            former,
            batching,
            allowed,
            of_classes,
            slots,
            shares: None,
        };
        if torn > 0 {
            core.work
                .notes
                .push(Note::new("journal-torn", format!("{torn} bytes at the end were no whole record")));
        }
        core.learn(now, known);
        let mut sick = Vec::new();
        for name in &ailing {
            match core.catalog.find(name) {
                Some(hop) => sick.push(hop),
                None => drop(core.journal.note_ailing(name, false)),
            }
        }
        let picked = core.facade.ailing(now, sick);
        core.absorb(now, picked);
        core.restore(classes, now);
        core
    }

    /// A branch without an outcome may have run. What has its end only needs to tell it again.
    fn restore(&mut self, classes: usize, now: Nanos) {
        let mut asks = Vec::new();
        let mut strange = Vec::new();
        let nos: Vec<TransactionNo> = self.transactions.iter().map(|(no, _)| no).collect();
        for no in nos {
            let Some(t) = self.transactions.get_mut(no) else { continue };
            t.may_have_run = t.may_have_run.or(t.out.take());
            let ended = t.ending.is_some();
            if ended {
                self.work.ended.push(no);
            } else if t.class >= classes {
                strange.push(no);
                continue;
            }
            let ran = t.may_have_run.map(|(at, zone)| (now.saturating_sub(at), zone));
            asks.push(Ask {
                transaction: no,
                class: t.class,
                dest: t.dest,
                key: t.key.clone(),
                time_left: t.deadline.saturating_sub(now),
                past: Some((t.attempts, ran)),
                bytes: bytes_of(t),
                ended,
            });
        }
        if !self.transactions.is_empty() {
            let (all, held) = (self.transactions.len(), asks.iter().filter(|a| !a.ended).count());
            let text = format!("{all} transactions restored, {held} still to deliver");
            self.work.notes.push(Note::new("journal-restored", text));
        }
        let picked = self.facade.pick(now, asks);
        self.absorb(now, picked);
        strange.into_iter().for_each(|no| self.end(no, Ending::Undelivered(End::Failed)));
    }

    pub fn take(&mut self, now: Nanos, offer: Offer) -> Taken {
        if let Some(t) = self.transactions.find(&offer.id).and_then(|no| self.transactions.get(no)) {
            let same = t.class == offer.class && t.dest == offer.dest && t.body == offer.body;
            return if same { Taken::Already } else { Taken::Other };
        }
        if self.transactions.was_delivered(&offer.id) {
            return Taken::Already;
        }
        // What no next hop serves could only be held until its time is up.
        if !self.catalog.serves(offer.dest) {
            return Taken::Refused { after: DOOR_ADVICE, full: false };
        }
        let Offer { id, class, dest, key, idempotency, time_left, body, owner } = offer;
        let deadline = now.saturating_add(time_left);
        // A slice of what was read from the connection would keep all of that, several kB for a few bytes.
        let body = Bytes::copy_from_slice(&body);
        let t = Transaction {
            id,
            class,
            dest,
            key: key.clone(),
            idempotency,
            taken_at: now,
            deadline,
            body,
            owner,
            attempts: 0,
            may_have_run: None,
            out: None,
            ending: None,
            reason: 0,
        };
        if self.facade.full() || !self.journal.has_room(&t, &self.transactions) {
            return Taken::Refused { after: DOOR_ADVICE, full: true };
        }
        if let Some(shares) = &mut self.shares {
            shares.taken(dest);
        }
        let (no, bytes) = (self.next_no, bytes_of(&t));
        if let Err(e) = self.journal.write(no, &Record::Taken(&t)) {
            let text = format!("cannot take a transaction on: {e}");
            self.work.notes.push(Note::new("journal-cannot-take", text));
            return Taken::Refused { after: DOOR_ADVICE, full: true };
        }
        self.next_no += 1;
        self.transactions.insert(no, t);
        let ask = Ask { transaction: no, class, dest, key, time_left, past: None, bytes, ended: false };
        let mut picked = self.facade.pick(now, vec![ask]);
        let at_once = picked.ends.iter().position(|(of, _)| *of == no).map(|i| picked.ends.remove(i).1);
        self.absorb(now, picked);
        match at_once {
            None => Taken::On(no),
            // Its answer ends it: nothing is left to be told.
            Some(end) => {
                self.acknowledged(now, no);
                match end {
                    End::Returned { after } => Taken::Refused { after, full: false },
                    End::Failed => Taken::Failed,
                }
            }
        }
    }

    /// Whoever handed it in is gone, or never heard that it was taken on.
    pub fn withdraw(&mut self, now: Nanos, no: TransactionNo) {
        if self.transactions.get(no).is_some_and(|t| t.ending.is_none()) {
            self.over(no);
            let picked = self.facade.withdraw(now, no);
            self.absorb(now, picked);
        }
    }

    /// From now on the fleet is told of next hops, and what it deals out holds.
    pub fn share(&mut self) {
        self.shares = Some(Shares::default());
        self.name_shares();
    }

    fn name_shares(&mut self) {
        if let Some(shares) = &mut self.shares {
            shares.learn(self.catalog.iter().map(|hop| (record::key(&hop.name), hop.id)));
        }
    }

    /// What this relay knows of the next hops that it uses, and of these others.
    pub fn own(&self, others: impl Iterator<Item = record::Key>) -> Vec<Own> {
        let Some(shares) = &self.shares else { return Vec::new() };
        let mut hops: Vec<EndpointId> =
            shares.used().chain(others.filter_map(|key| shares.hop(key))).collect();
        hops.sort_unstable();
        hops.dedup();
        let own = |hop: EndpointId| {
            let name = record::key(&self.catalog.get(hop)?.name);
            Some(shares.own(name, hop, &self.facade.standing(hop)?))
        };
        hops.into_iter().filter_map(own).collect()
    }

    /// What the fleet deals out to this relay from now on.
    pub fn deal(&mut self, now: Nanos, deals: &[Deal]) {
        let parts = self.shares.as_mut().map_or(Vec::new(), |s| s.deal(deals));
        if !parts.is_empty() {
            let picked = self.facade.deal(now, &parts);
            self.absorb(now, picked);
        }
    }

    pub fn learn(&mut self, now: Nanos, news: &EndpointUpdate) {
        let known = self.catalog.learn(now, news);
        self.name_shares();
        for hop in &known {
            self.set_terms(hop);
        }
        let former = &self.former;
        let picked = self.facade.learn(now, news.whole, &known, |hop| call_terms(former, hop.id));
        self.absorb(now, picked);
        self.recall(now);
        // No call will use the connections to those that are not active any more.
        self.work.distrusted.extend(self.catalog.resting());
    }

    /// The relay may be killed from `at` on, and comes back later.
    pub fn closing(&mut self, now: Nanos, at: Nanos) {
        let calls = self.former.wind_up(now);
        self.go(calls);
        let picked = self.facade.closing(now, at);
        self.absorb(now, picked);
    }

    /// Called when a call can be written, before its first byte: the branches that may still go, journaled
    /// as out. What is not among them was never sent.
    pub fn begin(&mut self, now: Nanos, call: &Call) -> Vec<Letter> {
        let Some(hop) = self.catalog.get(call.endpoint) else { return Vec::new() };
        let leased = self.shares.as_ref().is_none_or(|s| s.in_force(call.endpoint, now));
        if !leased || !self.facade.still_open(call.endpoint, now) {
            return Vec::new();
        }
        let (dest, zone) = (hop.dest, hop.zone);
        let mut letters = Vec::new();
        for branch in &call.branches {
            let no = branch.transaction;
            let in_time = self.facade.may_begin(no, call.endpoint, now);
            let Some(t) = self.transactions.get_mut(no) else { continue };
            if t.ending.is_some() || t.dest != dest {
                continue;
            }
            if !in_time {
                let first = t.may_have_run.map_or(0, |(at, _)| now.saturating_sub(at) / 1_000_000);
                let left = t.deadline.saturating_sub(now) / 1_000_000;
                let text = "a branch was ready too late to be begun";
                let text = format!("{text}: {}, {first} ms after its first, {left} ms left", t.id);
                self.work.notes.push(Note { event: "branch-late", hop: Some(hop.name.clone()), text });
                continue;
            }
            if let Err(e) = self.journal.write(no, &Record::Out { at: now, zone }) {
                let text = format!("cannot begin a branch: {e}");
                self.work.notes.push(Note::new("journal-cannot-begin", text));
                continue;
            }
            (t.attempts, t.out) = (t.attempts + 1, Some((now, zone)));
            let (id, idempotency, body) = (t.id.clone(), t.idempotency.clone(), t.body.clone());
            letters.push((t.deadline, Letter { branch: *branch, id, idempotency, body }));
        }
        // A partner may hold a batch to the time of its first message: an answer after that would count for none of
        // them, though it accepts all. So that is a message whose time is not over while the call is waited for.
        let until = now + call.branches.iter().map(|b| b.timeout).max().unwrap_or(0);
        if letters.first().is_some_and(|(deadline, _)| *deadline < until) {
            letters.sort_by_key(|(deadline, _)| Reverse(*deadline));
        }
        letters.into_iter().map(|(_, letter)| letter).collect()
    }

    /// Whether what was begun may still be written, on another connection than it was begun for.
    pub fn may_go_on(&self, now: Nanos, call: &Call, letters: &[Letter]) -> bool {
        let in_time = |l: &Letter| self.facade.may_begin(l.branch.transaction, call.endpoint, now);
        self.facade.still_open(call.endpoint, now) && letters.iter().all(in_time)
    }

    /// The outcomes of a call's branches, all in one report, with the limit that the answer told.
    pub fn report(&mut self, now: Nanos, hop: EndpointId, carried: &Carried, took: Nanos) {
        let Carried { replies, limit, idle, echo, wait, refused } = carried;
        let mut late = Vec::new();
        // One that has the whole refused is found by halves; the others go on in theirs.
        let group = if *refused { replies.len().div_ceil(2) } else { usize::MAX };
        let of_split = |(b, _): &(Branch, Reply)| {
            Some((b.transaction, bytes_of(self.transactions.get(b.transaction)?), group))
        };
        let splits: Vec<_> = replies.iter().filter(|_| group < replies.len()).filter_map(of_split).collect();
        let served = replies.iter().any(|(_, r)| *r == Reply::Ended(Outcome::Served));
        let left = replies.iter().filter_map(|(b, _)| {
            let t = self.transactions.get(b.transaction)?;
            let (aim, deadline, _) = self.of_classes.get(t.class)?;
            Some((t.deadline + aim).saturating_sub(deadline + now))
        });
        let affordable = left.min().unwrap_or(0);
        if let Some(shares) = &mut self.shares {
            shares.ended(hop, &replies.iter().map(|(_, r)| *r).collect::<Vec<_>>());
        }
        let (waiting, out) = self.facade.load_of(hop);
        let pressure = Pressure { affordable, waiting, out };
        let size = self.former.ended(now, hop, replies.len(), served.then_some(took), pressure);
        for (branch, reply) in replies {
            let no = branch.transaction;
            let Some(t) = self.transactions.get_mut(no) else { continue };
            let ran = !reply.outcome().never_ran();
            if let Some(out) = t.out.take() {
                t.may_have_run = t.may_have_run.or(Some(out).filter(|_| ran));
                if !reply.settles() && self.journal.write(no, &Record::Back { may_have_run: ran }).is_err() {
                    let text = "an outcome could not be written".to_string();
                    self.work.notes.push(Note::new("journal-outcome-unwritten", text));
                }
            }
            if let Reply::Rejected { reason } = reply {
                t.reason = *reason;
            }
            match reply {
                Reply::Ended(Outcome::Served) if self.tells_delivery => self.end(no, Ending::Delivered),
                reply if reply.settles() => {
                    // Given up meanwhile: it is over with this, whether its end was told or not.
                    late.extend(t.ending.map(|_| no));
                    if matches!(reply, Reply::Ended(Outcome::Served)) {
                        self.transactions.note_delivered(no);
                    }
                    self.over(no);
                }
                _ => {}
            }
        }
        let limit = limit.map(|limit| (hop, limit));
        let wait = Some((hop, *wait)).filter(|(_, wait)| *wait > 0);
        let told = Told { limit, wait, idle: *idle, echo: *echo };
        let picked = self.facade.report(now, replies, told, took, &splits);
        self.absorb(now, picked);
        if size.is_some() {
            let picked = self.facade.share(now, &[(hop, call_terms(&self.former, hop))]);
            self.absorb(now, picked);
        }
        late.into_iter().for_each(|no| self.acknowledged(now, no));
    }

    pub fn tick(&mut self, now: Nanos) {
        let lingered = self.former.due() <= now;
        let calls = self.former.tick(now);
        self.go(calls);
        if !lingered || self.facade.due() <= now {
            let picked = self.facade.tick(now);
            self.absorb(now, picked);
        }
    }

    /// When `tick` is wanted next.
    pub fn due(&self) -> Nanos {
        self.facade.due().min(self.former.due())
    }

    /// The end of this transaction has reached whoever it was owed to.
    pub fn acknowledged(&mut self, now: Nanos, no: TransactionNo) {
        self.over(no);
        let picked = self.facade.settled(now, no);
        self.absorb(now, picked);
    }

    pub fn transaction(&self, no: TransactionNo) -> Option<&Transaction> {
        self.transactions.get(no)
    }

    /// The transaction taken on under this id.
    pub fn find(&self, id: &str) -> Option<&Transaction> {
        self.transactions.get(self.transactions.find(id)?)
    }

    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.catalog.get(id)
    }

    /// How this call goes where its next hop takes calls behind one another.
    pub fn piping(&self, call: &Call) -> Option<Piping> {
        let depth = self.former.terms(call.endpoint).depth;
        let class = |b: &Branch| self.of_classes.get(self.transactions.get(b.transaction)?.class);
        let repeatable = |b: &Branch| class(b).is_some_and(|(.., repeat)| may_share(Wire::Pipeline, *repeat));
        let repeatable = call.branches.iter().all(repeatable);
        (depth > 1).then(|| Piping { depth, lines: self.slots.div_ceil(depth), repeatable })
    }

    /// Transactions not yet over.
    pub fn open(&self) -> usize {
        self.transactions.len()
    }

    pub fn work(&mut self) -> Work {
        std::mem::take(&mut self.work)
    }

    /// Sets going what the module wants; what was held back for a call that is not to go goes back to the module,
    /// which may want something else then.
    fn absorb(&mut self, now: Nanos, picked: Picked) {
        let mut next = Some(picked);
        while let Some(picked) = next.take() {
            let unsent = self.absorb_one(now, picked);
            if !unsent.is_empty() {
                next = Some(self.facade.report(now, &unsent, Told::default(), 0, &[]));
            }
        }
    }

    /// Returns the branches that are given up and had not gone yet.
    fn absorb_one(&mut self, now: Nanos, picked: Picked) -> Vec<(Branch, Reply)> {
        for call in picked.calls {
            let shares = self.former.terms(call.endpoint).unsafe_shares;
            let members = call.branches.iter().map(|b| self.member(*b, shares)).collect();
            let calls = self.former.release(now, call.endpoint, members);
            self.go(calls);
        }
        let mut unsent = Vec::new();
        for (no, attempt) in picked.dropped {
            let waits = self.former.find(no).and_then(|hop| self.former.withdraw(hop, no, attempt));
            match waits {
                Some(branch) => unsent.push((branch, Reply::Ended(Outcome::NotSent))),
                None => self.work.dropped.push((no, attempt)),
            }
        }
        self.work.trusted_idle = Some(picked.trusted_idle);
        self.work.distrusted.extend(picked.distrusted);
        let notes: Vec<Note> = picked.notes.iter().map(|text| self.named(text)).collect();
        self.work.notes.extend(notes);
        for (id, ailing) in picked.ailing {
            if let Some(hop) = self.catalog.get(id) {
                // Known to the next life only as far as it can be written.
                self.journal.note_ailing(&hop.name, ailing).ok();
            }
        }
        for (no, end) in picked.ends {
            self.end(no, Ending::Undelivered(end));
        }
        unsent
    }

    fn go(&mut self, calls: Vec<Call>) {
        for call in calls {
            if let Some(hop) = self.catalog.get(call.endpoint).cloned() {
                self.work.calls.push((call, hop));
            }
        }
    }

    /// What its former has to know of a branch.
    fn member(&self, branch: Branch, unsafe_shares: bool) -> Member {
        let t = self.transactions.get(branch.transaction);
        let class = t.and_then(|t| self.of_classes.get(t.class));
        let (aim, deadline, repeat) = class.copied().unwrap_or((0, 0, Repeat::Unsafe));
        let alone = !unsafe_shares && !may_share(Wire::Batch, repeat);
        // A message may have been handed in with less than its class's time, so its aim is told from its end.
        let aim_at = t.map_or(0, |t| t.deadline.saturating_sub(deadline.saturating_sub(aim)));
        Member { branch, bytes: t.map_or(0, bytes_of), aim_at, alone }
    }

    /// What waits for a next hop that is to get nothing more goes back to the module, as never sent.
    fn recall(&mut self, now: Nanos) {
        let mut unsent = Vec::new();
        for hop in self.catalog.resting() {
            let branches = self.former.recall(now, hop);
            unsent.extend(branches.into_iter().map(|b| (b, Reply::Ended(Outcome::NotSent))));
        }
        let catalog = &self.catalog;
        self.former.retain(|hop| catalog.get(hop).is_some());
        if !unsent.is_empty() {
            let picked = self.facade.report(now, &unsent, Told::default(), 0, &[]);
            self.absorb(now, picked);
        }
    }

    fn set_terms(&mut self, hop: &Endpoint) {
        let allowed = self.allowed.get(hop.kind).copied().unwrap_or(1);
        self.former.set(hop.id, self.batching.of(hop), allowed);
    }

    /// Other terms for calls, from now on. What was released by then goes as it was.
    pub fn set_batching(&mut self, now: Nanos, table: Table) {
        self.batching.table = table;
        let hops: Vec<Endpoint> = self.catalog.iter().cloned().collect();
        for hop in &hops {
            self.set_terms(hop);
        }
        let calls: Vec<_> = hops.iter().map(|h| (h.id, call_terms(&self.former, h.id))).collect();
        let picked = self.facade.share(now, &calls);
        self.absorb(now, picked);
    }

    /// A note of the module with its hosts by the names that the route set gives them.
    fn named(&self, text: &str) -> Note {
        let turns = [
            ("taken for down", "hop-down"),
            ("answers again", "hop-back"),
            ("is warm", "hop-warm"),
            ("lost one call", "hop-lost-call"),
            ("refuses as full", "hop-full"),
        ];
        let event = turns.iter().find(|(words, _)| text.contains(words)).map_or("hop", |(_, event)| event);
        let plain = || Note::new(event, text.to_string());
        let Some((before, rest)) = text.split_once("host ") else { return plain() };
        let (number, after) = rest.split_once(' ').unwrap_or((rest, ""));
        match number.parse().ok().and_then(|id| self.catalog.get(id)) {
            Some(hop) => {
                let text = format!("{before}next hop {} {after}", hop.name);
                Note { event, hop: Some(hop.name.clone()), text }
            }
            None => plain(),
        }
    }

    /// The end is decided and owed until acknowledged; one that was told already stands.
    fn end(&mut self, no: TransactionNo, ending: Ending) {
        let Some(t) = self.transactions.get_mut(no) else { return };
        if t.ending.is_some() {
            return;
        }
        t.ending = Some(ending);
        if let Err(e) = self.journal.write(no, &Record::Ending(ending, t.reason)) {
            let text = format!("an end could not be written: {e}");
            self.work.notes.push(Note::new("journal-end-unwritten", text));
        }
        self.work.ended.push(no);
    }

    fn over(&mut self, no: TransactionNo) {
        if self.transactions.remove(no).is_none() {
            return;
        }
        if let Err(e) = self.journal.write(no, &Record::Over) {
            let text = format!("it could not be written that a transaction is over: {e}");
            self.work.notes.push(Note::new("journal-over-unwritten", text));
        }
        self.journal.tidy(&self.transactions);
    }
}
