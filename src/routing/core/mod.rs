//! The core: takes transactions on, has the module decide, keeps the journal ahead of what is done.

mod calls;
mod ends;
mod fleet;
mod handover;
mod intake;
mod listing;
mod maintenance;
mod outages;
mod outcomes;
mod records;
mod retune;
mod values;

pub use handover::{Adopts, Released};
pub use retune::{Moved, Retuning};
pub use values::{
    Accepted, Carried, Ended, Letter, MessageCapacity, Note, Offer, PendingAnswer, Piping, Taken, Work,
};

use super::facade::{Facade, Picked, Told};
use super::handover::Handover;
use super::journal::{Journal, Replayed};
use super::shares::Shares;
use super::transactions::{Ending, Transaction, Transactions};
use super::values::{Attempt, Reply, TransactionNo};
use crate::batching::{Former, Table, Terms};
use crate::catalog::{EndpointCatalog, EndpointId, EndpointUpdate, EndpointView};
use crate::interface::{Nanos, Outcome, Settings};
use crate::maintenance::Maintenance;
use crate::memory::{Holder, MemoryBudget};
use crate::settlement::Audit;
use ends::Withheld;
use handover::Begun;
use outages::UnlistedOutages;
use std::rc::Rc;
use std::time::Duration;

/// Advice for those turned away before the module was asked.
pub(in crate::routing) const DOOR_ADVICE: Nanos = 1_000_000_000;

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
    slots: usize,
    /// Where the relay goes by what its fleet deals out.
    shares: Option<Shares>,
    /// Ends that are told once they are written.
    withheld: Withheld,
    /// What operators have taken out of service.
    maintenance: Maintenance,
    /// Outages of an earlier life that wait for a list to name their endpoints.
    unlisted: UnlistedOutages,
    /// Calls that are out.
    begun: Begun,
    /// Checks that none begins after a message's last word.
    last_words: Audit,
    /// Counts what is held here.
    memory: Rc<MemoryBudget>,
    /// While a write takes longer than this nothing is taken on: its answer would come too late.
    slow_write: Duration,
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
    fn of(&self, endpoint: &EndpointView<'_>) -> Terms {
        self.table.of(self.kinds.get(endpoint.kind).map(String::as_str), endpoint.name)
    }
}

/// What a message takes of a call's body: itself, its line with id, key and length, and the line ends.
fn bytes_of(t: &Transaction) -> usize {
    t.body.len() + t.id.len() + t.idempotency.as_ref().map_or(1, String::len) + 12
}

impl Core {
    /// Starts from what an earlier life left, with the endpoints as last known.
    pub fn new(
        settings: Settings,
        seed: u64,
        journal: Journal,
        replayed: Replayed,
        first: First<'_>,
        now: Nanos,
    ) -> Core {
        Core::taking_over(settings, seed, journal, replayed, first, None, now)
    }

    /// The same where a process that runs on hands over what its journal does not tell.
    pub fn taking_over(
        settings: Settings,
        seed: u64,
        journal: Journal,
        replayed: Replayed,
        first: First<'_>,
        handover: Option<Handover>,
        now: Nanos,
    ) -> Core {
        let First { known, batching, tells_delivery } = first;
        let slots = settings.slots;
        let former = Former::new(retune::calls_to_one(slots));
        let allowed = retune::messages_in_a_call(&settings);
        let mut journal = journal;
        journal.name_classes(&settings);
        let Replayed { transactions, next_no, last_out, torn, maintenance, .. } = replayed;
        let facade = Facade::new(settings.clone(), seed, !tells_delivery);
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
            slots,
            shares: None,
            withheld: Withheld::default(),
            maintenance,
            unlisted: UnlistedOutages::default(),
            begun: Begun::default(),
            last_words: Audit::default(),
            memory: Rc::default(),
            slow_write: records::SLOW_WRITE,
        };
        if torn > 0 {
            core.work
                .notes
                .push(Note::new("journal-torn", format!("{torn} bytes at the end were no whole record")));
        }
        let in_force = core.journal.classes().in_force().to_vec();
        if !in_force.iter().copied().eq(0..in_force.len()) {
            let picked = core.facade.retune(now, settings, in_force);
            core.absorb(now, picked);
        }
        core.transactions.closed_mut().ended_at(now);
        core.work.draining = Some(core.maintenance.is_draining()).filter(|draining| *draining);
        core.learn(now, known);
        core.take_over(now, handover, &last_out);
        core
    }

    /// The relay may be killed from `at` on, and comes back later.
    pub fn closing(&mut self, now: Nanos, at: Nanos) {
        let calls = self.former.wind_up(now);
        self.go(calls);
        let picked = self.facade.closing(now, at);
        self.absorb(now, picked);
    }

    pub fn tick(&mut self, now: Nanos) {
        let lingered = self.former.due() <= now;
        let calls = self.former.tick(now);
        self.go(calls);
        self.write_behind(now);
        let forgot = self.catalog.due() <= now && self.forget_departed(now);
        self.forget_unlisted(now);
        if !(lingered || forgot) || self.facade.due() <= now {
            let picked = self.facade.tick(now);
            self.absorb(now, picked);
        }
    }

    /// When `tick` is wanted next.
    pub fn due(&self) -> Nanos {
        let lists = self.catalog.due().min(self.unlisted.due());
        self.facade.due().min(self.former.due()).min(lists).min(self.withheld.due())
    }

    pub fn transaction(&self, no: TransactionNo) -> Option<&Transaction> {
        self.transactions.get(no)
    }

    /// The transaction taken on under this id.
    pub fn find(&self, id: &str) -> Option<&Transaction> {
        self.transactions.get(self.transactions.find(id)?)
    }

    pub fn endpoint(&self, id: EndpointId) -> Option<EndpointView<'_>> {
        self.catalog.get(id)
    }

    /// Transactions not yet over.
    pub fn open(&self) -> usize {
        self.transactions.len()
    }

    /// The process ends as it should.
    pub fn ends(&mut self) {
        self.journal.settle();
        self.journal.clear_holder();
    }

    /// Counts what it holds there from now on.
    pub fn count_memory_in(&mut self, memory: Rc<MemoryBudget>) {
        self.memory = memory;
        self.book_memory();
    }

    fn book_memory(&self) {
        self.memory.book(Holder::Journal, self.journal.bytes_held());
        self.memory.book(Holder::Messages, self.transactions.bytes_held());
        self.memory.book(Holder::Ids, self.transactions.closed().bytes_held());
    }

    pub fn work(&mut self) -> Work {
        self.book_memory();
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

    /// Returns the attempts that are given up and had not gone yet.
    fn absorb_one(&mut self, now: Nanos, picked: Picked) -> Vec<(Attempt, Reply)> {
        for call in picked.calls {
            let shares = self.prepare(call.endpoint);
            let members = call.attempts.iter().map(|b| self.member(*b, shares)).collect();
            let calls = self.former.release(now, call.endpoint, members);
            self.go(calls);
        }
        let mut unsent = Vec::new();
        for (no, attempt) in picked.dropped {
            let waits = self.former.find(no).and_then(|hop| self.former.withdraw(hop, no, attempt));
            match waits {
                Some(attempt) => unsent.push((attempt, Reply::Ended(Outcome::NotSent))),
                None => self.work.dropped.push((no, attempt)),
            }
        }
        self.work.trusted_idle = Some(picked.trusted_idle);
        self.work.distrusted.extend(picked.distrusted);
        let notes: Vec<Note> = picked.notes.iter().map(|text| self.named(text)).collect();
        self.work.notes.extend(notes);
        self.note_outages(now, &picked.endpoint_outages, &picked.destination_outages);
        for (no, end) in picked.ends {
            self.end(now, no, Ending::Undelivered(end));
        }
        unsent
    }

    /// A note of the module with its hosts by the names that the route set gives them.
    fn named(&self, text: &str) -> Note {
        let turns = [
            ("taken for down", "hop-down"),
            ("comes in an outage", "hop-joins-outage"),
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
                Note { event, hop: Some(hop.name.to_string()), text }
            }
            None => plain(),
        }
    }
}
