//! Our binds to SMSCs: the next hops of the SMPP front.

use super::bind::{Bind, Seat};
use super::config::{Carrier, Times};
use super::link::{self, Heard, Link, Reader};
use crate::transport::network::Net;
use rusmpp::pdus::BindTransmitter;
use rusmpp::types::COctetString;
use rusmpp::values::InterfaceVersion;
use rusmpp::{CommandStatus, Pdu};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// After an unbind of the SMSC what is out may still be answered for so long.
const PARTING: Duration = Duration::from_secs(1);
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
    /// The process is about to end.
    parted: Cell<bool>,
    changed: Rc<Notify>,
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
            parted: Cell::default(),
            changed: Rc::default(),
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
        self.open.borrow().iter().for_each(|bind| bind.leave());
        self.changed.notify_waiters();
    }

    /// A place in a window, on a new bind where all are full and one more is allowed. `None`: a bind was
    /// refused or did not come up, or the process is about to end.
    pub async fn seat(self: &Rc<Self>) -> Option<Seat> {
        while !self.parted.get() {
            let (window, most) = {
                let carrier = self.carrier.borrow();
                (carrier.window, carrier.binds)
            };
            let bind = {
                let mut open = self.open.borrow_mut();
                open.retain(|b| b.link.is_open());
                let usable = open.iter().filter(|b| !b.is_leaving() && b.out() < window);
                usable.min_by_key(|b| b.out()).cloned()
            };
            if let Some(bind) = bind {
                return Some(Seat::on(bind));
            }
            let staying = self.open.borrow().iter().filter(|b| !b.is_leaving()).count();
            if staying + self.opening.get() < most {
                // Counted while it comes up, also where whoever asked gives up meanwhile.
                let opening = Opening::new(self);
                let generation = self.generation.get();
                let bound = self.bind().await;
                drop(opening);
                let bind = bound?;
                if self.generation.get() != generation {
                    bind.leave();
                }
                self.open.borrow_mut().push(bind);
            } else {
                self.changed.notified().await;
            }
        }
        None
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
        let bind = Bind::new(link.clone(), self.times.response, self.changed.clone());
        spawn_local(self.clone().listen(bind.clone(), reader));
        let guard = CloseUnlessBound(Some(link.clone()));
        let answer = link.request(pdu, self.times.response).await?;
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
                    bind.stop_sending();
                    let (binds, bind) = (self.clone(), bind.clone());
                    spawn_local(async move {
                        let seen_out = async {
                            while bind.out() > 0 {
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

    /// Ends the binds on which nothing is out.
    pub fn close_idle(&self) {
        self.open.borrow().iter().filter(|bind| bind.out() == 0).for_each(|bind| bind.link.close());
    }

    /// Says goodbye on all binds once nothing is waited for on them, within `within`; no other is opened after that.
    pub async fn part(&self, within: Duration) {
        let binds: Vec<Rc<Bind>> = self.open.borrow().clone();
        Bind::until_idle(&binds, within).await;
        self.parted.set(true);
        self.changed.notify_waiters();
        let binds: Vec<Rc<Bind>> = self.open.borrow().clone();
        for bind in binds {
            bind.stop_sending();
            bind.unbind().await;
        }
    }
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
