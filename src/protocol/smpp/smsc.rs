//! Our binds to SMSCs: the next hops of the SMPP front.

use super::config::{Carrier, Times};
use super::link::{self, Heard, LateAnswer, Link, Reader, Unanswered};
use crate::attribution::Via;
use crate::interface::Outcome;
use crate::routing::Reply;
use crate::settlement::{settle, Certainty, Said};
use crate::transport::network::Net;
use rusmpp::pdus::BindTransmitter;
use rusmpp::types::COctetString;
use rusmpp::values::InterfaceVersion;
use rusmpp::{Command, CommandStatus, Pdu};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// After an unbind of the SMSC what is out may still be answered for so long.
const PARTING: Duration = Duration::from_secs(1);
/// Whether a bind that is left still carries anything is looked at so often.
const LOOK_EACH: Duration = Duration::from_millis(10);
/// An unbind is answered within this time, or the bind is closed.
const UNBIND_WITHIN: Duration = Duration::from_millis(200);

struct Bind {
    link: Rc<Link>,
    out: Cell<usize>,
    /// The SMSC wants nothing new on it.
    leaving: Cell<bool>,
}

/// The binds to one SMSC.
pub struct Binds {
    net: Net,
    times: Times,
    max_pdu: usize,
    carrier: RefCell<Carrier>,
    open: RefCell<Vec<Rc<Bind>>>,
    opening: Cell<usize>,
    /// Counts how often the binds of before became useless.
    generation: Cell<u64>,
    changed: Notify,
}

/// A place in the window of a bind.
pub struct Seat {
    binds: Rc<Binds>,
    bind: Rc<Bind>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.bind.out.set(self.bind.out.get() - 1);
        self.binds.changed.notify_waiters();
    }
}

impl Seat {
    /// The bind's number in the log, and the sequence number that a request would have now.
    pub fn via(&self) -> Via {
        self.bind.link.next_via()
    }

    /// Whether nothing new may go on its bind any more.
    pub fn is_leaving(&self) -> bool {
        self.bind.leaving.get()
    }

    /// Submits and says how that ended; `is_written` tells meanwhile whether all of it was passed to the system.
    pub async fn submit(&self, pdu: Pdu, within: Duration, is_written: &Cell<bool>) -> Submitted {
        let reply = match self.bind.link.request_noted(pdu, within, is_written).await {
            Ok(answer) => reply(&answer),
            Err(Unanswered::Unwritten) => Reply::Ended(Outcome::NoConnection),
            Err(Unanswered::Lost) => Reply::Ended(Outcome::Broken),
            Err(Unanswered::Cut(cut)) => {
                let said = cut.status.map_or(Said::MaybeFinal, |status| Said::Plainly(reply_to(status)));
                settle(said, Certainty::Cut, Outcome::Broken)
            }
            Err(Unanswered::Late(late)) => {
                // The bind stays for the others on it, if the SMSC is there at all.
                let (link, within) = (self.bind.link.clone(), self.binds.times.response);
                spawn_local(async move {
                    if link.request(Pdu::EnquireLink, within).await.is_err() {
                        link.close();
                    }
                });
                return Submitted::Late(late);
            }
        };
        Submitted::Ended(reply)
    }
}

/// What came of a submit.
pub enum Submitted {
    /// It ended like this.
    Ended(Reply),
    /// Its answer has not come in time.
    Late(LateAnswer),
}

/// What an answer to a submit means.
pub fn reply(answer: &Command) -> Reply {
    reply_to(answer.status())
}

/// What the status of an answer to a submit means.
fn reply_to(status: CommandStatus) -> Reply {
    use CommandStatus::*;
    match status {
        EsmeRok => Reply::Ended(Outcome::Served),
        EsmeRthrottled | EsmeRmsgqful => Reply::Ended(Outcome::Full { wait: 0 }),
        // The bind is not what we took it for: it has not been looked at.
        EsmeRinvbndsts => Reply::Ended(Outcome::NoConnection),
        // These say nothing of the message itself, and not that it did not run.
        EsmeRsyserr | EsmeRsubmitfail | EsmeRunknownerr | EsmeRdeliveryfailure => {
            Reply::Ended(Outcome::Error)
        }
        EsmeRxTAppn => Reply::Ended(Outcome::Error),
        Other(_) => Reply::Ended(Outcome::Error),
        permanent => Reply::Rejected { reason: u32::from(permanent) },
    }
}

impl Binds {
    pub fn new(net: Net, times: Times, max_pdu: usize, carrier: Carrier) -> Rc<Self> {
        Rc::new(Binds {
            net,
            times,
            max_pdu,
            carrier: RefCell::new(carrier),
            open: RefCell::default(),
            opening: Cell::new(0),
            generation: Cell::default(),
            changed: Notify::new(),
        })
    }

    /// Takes other terms in. Where they lead to another SMSC, or to the same one as somebody else, nothing new goes on the binds of
    /// before.
    pub fn update(&self, carrier: Carrier) {
        let before = self.carrier.replace(carrier);
        if self.carrier.borrow().binds_alike(&before) {
            return;
        }
        self.generation.set(self.generation.get() + 1);
        for bind in self.open.borrow().iter() {
            bind.leaving.set(true);
            spawn_local(leave(bind.clone()));
        }
        self.changed.notify_waiters();
    }

    /// A place in a window, on a new bind where all are full and one more is allowed. `None`: a bind was
    /// refused or did not come up.
    pub async fn seat(self: &Rc<Self>) -> Option<Seat> {
        loop {
            let (window, most) = {
                let carrier = self.carrier.borrow();
                (carrier.window, carrier.binds)
            };
            let bind = {
                let mut open = self.open.borrow_mut();
                open.retain(|b| b.link.is_open());
                let usable = open.iter().filter(|b| !b.leaving.get() && b.out.get() < window);
                usable.min_by_key(|b| b.out.get()).cloned()
            };
            if let Some(bind) = bind {
                bind.out.set(bind.out.get() + 1);
                return Some(Seat { binds: self.clone(), bind });
            }
            let staying = self.open.borrow().iter().filter(|b| !b.leaving.get()).count();
            if staying + self.opening.get() < most {
                // Counted while it comes up, also where whoever asked gives up meanwhile.
                let opening = Opening::new(self);
                let generation = self.generation.get();
                let bound = self.bind().await;
                drop(opening);
                let bind = bound?;
                if self.generation.get() != generation {
                    bind.leaving.set(true);
                    spawn_local(leave(bind.clone()));
                }
                self.open.borrow_mut().push(bind);
            } else {
                self.changed.notified().await;
            }
        }
    }

    async fn bind(self: &Rc<Self>) -> Option<Rc<Bind>> {
        let (dial, pdu) = {
            let c = self.carrier.borrow();
            let pdu = BindTransmitter::builder()
                .system_id(COctetString::from_string(c.system_id.clone()).ok()?)
                .password(COctetString::from_string(c.password.clone()).ok()?)
                .system_type(COctetString::from_string(c.system_type.clone()).ok()?)
                .interface_version(InterfaceVersion::Smpp3_4)
                .build();
            (c.dial, pdu)
        };
        let stream = timeout(self.times.connect, self.net.connect(dial)).await.ok()?.ok()?;
        let (link, reader) = link::open(stream, self.max_pdu);
        let bind = Rc::new(Bind { link: link.clone(), out: Cell::new(0), leaving: Cell::new(false) });
        spawn_local(self.clone().listen(bind.clone(), reader));
        let guard = CloseUnlessBound(Some(link.clone()));
        let answer = link.request(pdu, self.times.response).await.ok()?;
        if answer.status() != CommandStatus::EsmeRok {
            return None;
        }
        guard.keep();
        spawn_local(link.watch(self.times.enquire, self.times.response));
        Some(bind)
    }

    /// Hears what the SMSC asks for by itself.
    async fn listen(self: Rc<Self>, bind: Rc<Bind>, mut reader: Reader) {
        let link = &bind.link;
        while let Some(heard) = link.hear(&mut reader).await {
            let (sequence, request) = match heard {
                Heard::Request(command, _) => (command.sequence_number(), command.pdu().cloned()),
                Heard::Bad { sequence, status } => {
                    link.answer(sequence, status, Pdu::GenericNack).await;
                    continue;
                }
            };
            match request {
                Some(Pdu::EnquireLink) => {
                    link.answer(sequence, CommandStatus::EsmeRok, Pdu::EnquireLinkResp).await;
                }
                Some(Pdu::Unbind) => {
                    bind.leaving.set(true);
                    let (binds, bind) = (self.clone(), bind.clone());
                    spawn_local(async move {
                        let seen_out = async {
                            while bind.out.get() > 0 {
                                binds.changed.notified().await;
                            }
                        };
                        timeout(PARTING, seen_out).await.ok();
                        bind.link.answer(sequence, CommandStatus::EsmeRok, Pdu::UnbindResp).await;
                        bind.link.close();
                    });
                }
                // We bind to send: nothing can be handed to us here.
                _ => {
                    link.answer(sequence, CommandStatus::EsmeRinvcmdid, Pdu::GenericNack).await;
                }
            }
        }
        link.close();
        self.open.borrow_mut().retain(|b| !Rc::ptr_eq(b, &bind));
        self.changed.notify_waiters();
    }

    /// Ends the binds that carry nothing.
    pub fn close_idle(&self) {
        self.open.borrow().iter().filter(|b| b.out.get() == 0).for_each(|b| b.link.close());
    }

    /// Says goodbye on all binds once they carry nothing, within `within`.
    pub async fn part(&self, within: Duration) {
        let idle = async {
            while self.open.borrow().iter().any(|b| b.out.get() > 0) {
                sleep(LOOK_EACH).await;
            }
        };
        timeout(within, idle).await.ok();
        let binds: Vec<Rc<Bind>> = self.open.borrow().clone();
        for bind in binds {
            bind.leaving.set(true);
            bind.link.unbind(UNBIND_WITHIN).await;
        }
    }
}

/// Ends a bind once what is out on it has its answer, which is waited for as long as a submit may take.
async fn leave(bind: Rc<Bind>) {
    while bind.link.is_open() && bind.out.get() > 0 {
        sleep(LOOK_EACH).await;
    }
    bind.link.unbind(UNBIND_WITHIN).await;
}

/// Counts a bind that is coming up.
struct Opening(Rc<Binds>);

impl Opening {
    fn new(binds: &Rc<Binds>) -> Self {
        binds.opening.set(binds.opening.get() + 1);
        Opening(binds.clone())
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        self.0.opening.set(self.0.opening.get() - 1);
        self.0.changed.notify_waiters();
    }
}

/// A link that did not become a bind must not linger.
struct CloseUnlessBound(Option<Rc<Link>>);

impl CloseUnlessBound {
    fn keep(mut self) {
        self.0 = None;
    }
}

impl Drop for CloseUnlessBound {
    fn drop(&mut self) {
        if let Some(link) = &self.0 {
            link.close();
        }
    }
}
