//! The door: what admission decides is done here, for all listeners. Connections are accepted a few in each turn
//! of the event loop, so that timers, calls and answers keep their time however many come.

use super::network::{accept_now, out_of_room, Arrived, Listen, Net, Spare, Stream};
use super::proxy::{introduced, Introduced};
use crate::admission::ledger::{Drawn, Ledger, Purse};
use crate::admission::{Admission, Deed, LegNo, Settings, Verdict, Why};
use crate::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// Connections taken in one turn of the event loop.
const A_TURN: u32 = 32;
/// A front says at once whose connection it passes on.
const INTRODUCED_WITHIN: Duration = Duration::from_secs(2);
/// A leg that was told to close is gone after this time, or its descriptor is not to be had.
const GIVES_WAY: Duration = Duration::from_millis(50);
/// With no descriptor to refuse with, and nobody closing one, it is looked again after this time.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// What the door did lately, for the log and the tests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub admitted: u64,
    /// Legs told to close for a newcomer.
    pub made_room: u64,
    pub refused: BTreeMap<Why, u64>,
    /// Connections that the reserve descriptor took, for want of others.
    pub without_descriptor: u64,
    /// Legs closed for what stood in the place of a front's header.
    pub not_introduced: u64,
}

impl Tally {
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

pub struct Door {
    admission: RefCell<Admission>,
    ledger: Rc<Ledger>,
    net: Net,
    since: Instant,
    entrants: RefCell<HashMap<LegNo, Weak<Entrant>>>,
    freed: Notify,
    spare: RefCell<Option<Spare>>,
    turn: Cell<u32>,
    tally: RefCell<Tally>,
}

/// A leg that was let in, as long as it lasts.
pub struct Entrant {
    door: Rc<Door>,
    no: Cell<LegNo>,
    from: IpAddr,
    client: Cell<IpAddr>,
    evicted: Notify,
    drawn: RefCell<Drawn>,
}

impl Drop for Entrant {
    fn drop(&mut self) {
        self.door.forget(self.no.get());
    }
}

impl Entrant {
    /// The address that its client counts by: behind a front the one that the front has told.
    pub fn address(&self) -> IpAddr {
        self.door.admission.borrow().counts_as(self.client.get())
    }

    /// Whether its client is known.
    pub fn is_known(&self) -> bool {
        self.door.admission.borrow().is_known(self.no.get())
    }

    /// A request begins.
    pub fn asked(&self) {
        self.door.decide(|a, now| a.asked(now, self.no.get()));
    }

    /// It is answered; says whether the leg is to close now.
    pub fn answered(&self, deed: Deed) -> bool {
        let over = self.door.decide(|a, now| a.answered(now, self.no.get(), deed));
        self.pass_on();
        over
    }

    /// Something came of it beside a request.
    pub fn deed(&self, deed: Deed) {
        self.door.decide(|a, now| a.deed(now, self.no.get(), deed));
        self.pass_on();
    }

    /// All is said on it.
    pub fn lingers(&self) {
        self.door.decide(|a, now| a.lingers(now, self.no.get()));
    }

    /// Whoever is on it has shown who it is.
    pub fn vouch(&self) {
        self.door.decide(|a, now| a.vouch(now, self.no.get()));
        self.pass_on();
    }

    /// Completes when the leg has to make room.
    pub async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// The descriptor counts among those of known clients as soon as the client is one.
    fn pass_on(&self) {
        let known = self.is_known();
        self.drawn.borrow_mut().pass_to(purse(known));
    }
}

fn purse(known: bool) -> Purse {
    if known {
        Purse::Known
    } else {
        Purse::Others
    }
}

impl Door {
    pub fn new(settings: Settings, ledger: Rc<Ledger>, net: Net) -> Rc<Door> {
        let spare = RefCell::new(net.spare().ok());
        Rc::new(Door {
            admission: RefCell::new(Admission::new(settings)),
            ledger,
            net,
            since: Instant::now(),
            entrants: RefCell::default(),
            freed: Notify::new(),
            spare,
            turn: Cell::new(0),
            tally: RefCell::default(),
        })
    }

    pub fn ledger(&self) -> &Rc<Ledger> {
        &self.ledger
    }

    /// Takes the tally, which begins anew.
    pub fn take_tally(&self) -> Tally {
        std::mem::take(&mut self.tally.borrow_mut())
    }

    /// Legs that are open, and those of them whose clients are known.
    pub fn open(&self) -> (usize, usize) {
        let admission = self.admission.borrow();
        (admission.open() + admission.closing(), admission.known())
    }

    /// Other settings, from now on; what waits beyond them is closed.
    pub fn reload(&self, settings: Settings) -> usize {
        let closed = self.decide(|a, now| a.reload(now, settings));
        closed.iter().for_each(|leg| self.evict(*leg));
        closed.len()
    }

    fn decide<R>(&self, f: impl FnOnce(&mut Admission, Nanos) -> R) -> R {
        f(&mut self.admission.borrow_mut(), self.since.elapsed().as_nanos() as Nanos)
    }

    fn evict(&self, leg: LegNo) {
        if let Some(entrant) = self.entrants.borrow().get(&leg).and_then(Weak::upgrade) {
            entrant.evicted.notify_one();
        }
        self.tally.borrow_mut().made_room += 1;
    }

    fn forget(&self, leg: LegNo) {
        self.entrants.borrow_mut().remove(&leg);
        self.decide(|a, now| a.gone(now, leg));
        self.freed.notify_one();
    }

    /// Has legs give way whenever the ledger is short of descriptors for what goes before callers.
    pub async fn give_way(self: Rc<Self>) {
        loop {
            self.ledger.short().await;
            self.give_one_up();
        }
    }

    fn give_one_up(&self) {
        if let Some(leg) = self.decide(|a, now| a.give_one_up(now)) {
            self.evict(leg);
        }
    }

    /// The next leg that is let in. Others are told `words` and closed, at once and without waiting for a head.
    pub async fn next(self: &Rc<Self>, listener: &dyn Listen, words: &[u8]) -> (Stream, Rc<Entrant>) {
        loop {
            let arrived = self.arrived(listener, words).await;
            match self.admit(arrived.from.ip()).await {
                Ok(entrant) => return (arrived.stream, entrant),
                Err(why) => self.refuse(why, arrived.stream, words),
            }
        }
    }

    fn refuse(&self, why: Why, stream: Stream, words: &[u8]) {
        stream.say_and_close(words);
        *self.tally.borrow_mut().refused.entry(why).or_default() += 1;
    }

    async fn arrived(&self, listener: &dyn Listen, words: &[u8]) -> Arrived {
        loop {
            // The loop's other work first, after so many: a queue of callers is never empty in a flood.
            self.turn.set(self.turn.get() + 1);
            if self.turn.get() >= A_TURN {
                self.turn.set(0);
                tokio::task::yield_now().await;
            }
            match listener.accept().await {
                Ok(arrived) => return arrived,
                Err(e) if out_of_room(&e) => self.ran_out(listener, words).await,
                // It was gone before it was accepted.
                Err(_) => tokio::task::yield_now().await,
            }
        }
    }

    /// No descriptor is left for the next caller in the queue: the one in reserve takes it, so that it is told
    /// and does not wait for a time-out, and is got back. One leg gives way for those behind it.
    async fn ran_out(&self, listener: &dyn Listen, words: &[u8]) {
        self.give_one_up();
        let held = self.spare.borrow_mut().take();
        if held.is_some() {
            drop(held);
            // None: the queue was empty, and the system looked for a descriptor first.
            if let Some(Ok(arrived)) = accept_now(listener) {
                arrived.stream.say_and_close(words);
                self.tally.borrow_mut().without_descriptor += 1;
            }
        }
        *self.spare.borrow_mut() = self.net.spare().ok();
        if self.spare.borrow().is_none() {
            timeout(LOOK_AGAIN, self.ledger.freed()).await.ok();
            *self.spare.borrow_mut() = self.net.spare().ok();
        }
    }

    async fn admit(self: &Rc<Self>, from: IpAddr) -> Result<Rc<Entrant>, Why> {
        loop {
            let free = self.ledger.left(Purse::Others) > 0;
            match self.decide(|a, now| a.arrive(now, from, free)) {
                Verdict::Admit(leg) => return self.enter(leg, from).await,
                Verdict::AdmitAndClose(leg, other) => {
                    self.evict(other);
                    return self.enter(leg, from).await;
                }
                Verdict::Refuse(why) => return Err(why),
                Verdict::Wait => {
                    tokio::select! {
                        () = self.freed.notified() => {}
                        () = sleep(LOOK_AGAIN) => {}
                    }
                }
            }
        }
    }

    async fn enter(self: &Rc<Self>, leg: LegNo, from: IpAddr) -> Result<Rc<Entrant>, Why> {
        let known = self.admission.borrow().is_known(leg);
        // Whoever gave way closes within a turn or two of the loop, and its descriptor is free then.
        let until = Instant::now() + GIVES_WAY;
        let mut drawn = self.ledger.draw(purse(known));
        while drawn.is_none() && timeout_at(until, self.freed.notified()).await.is_ok() {
            drawn = self.ledger.draw(purse(known));
        }
        let Some(drawn) = drawn else {
            self.decide(|a, now| a.gone(now, leg));
            return Err(Why::Room);
        };
        let (no, evicted, drawn) = (Cell::new(leg), Notify::new(), RefCell::new(drawn));
        let client = Cell::new(from);
        let entrant = Rc::new(Entrant { door: self.clone(), no, from, client, evicted, drawn });
        self.entrants.borrow_mut().insert(leg, Rc::downgrade(&entrant));
        self.tally.borrow_mut().admitted += 1;
        Ok(entrant)
    }

    /// Where `from` is a front's, reads its word on whose connection this is, and decides on that. `None`: the leg
    /// is to be closed, and has been told why where there was a way.
    pub async fn introduce(&self, entrant: &Entrant, stream: Stream, words: &[u8]) -> Option<Stream> {
        if !self.admission.borrow().is_front(entrant.from) {
            return Some(stream);
        }
        let Some((introduced, stream)) = timeout(INTRODUCED_WITHIN, introduced(stream)).await.ok().flatten()
        else {
            entrant.deed(Deed::Junk);
            self.tally.borrow_mut().not_introduced += 1;
            return None;
        };
        let Introduced::Client(client) = introduced else { return Some(stream) };
        entrant.client.set(client);
        let before = entrant.no.get();
        match self.decide(|a, now| a.introduce(now, before, client)) {
            Verdict::Refuse(why) => {
                self.refuse(why, stream, words);
                None
            }
            Verdict::Wait => None,
            Verdict::Admit(leg) => Some(self.renumber(entrant, leg, stream)),
            Verdict::AdmitAndClose(leg, other) => {
                self.evict(other);
                Some(self.renumber(entrant, leg, stream))
            }
        }
    }

    fn renumber(&self, entrant: &Entrant, leg: LegNo, stream: Stream) -> Stream {
        let mut entrants = self.entrants.borrow_mut();
        if let Some(weak) = entrants.remove(&entrant.no.replace(leg)) {
            entrants.insert(leg, weak);
        }
        drop(entrants);
        entrant.pass_on();
        stream
    }
}
