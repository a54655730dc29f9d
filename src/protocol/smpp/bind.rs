//! One bind to an SMSC: its window, and how it ends.

use super::link::Link;
use crate::attribution::Via;
use rusmpp::Pdu;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// Whether a bind that is left still carries anything is looked at so often.
const LOOK_EACH: Duration = Duration::from_millis(10);
/// An unbind is answered within this time, or the bind is closed.
const UNBIND_WITHIN: Duration = Duration::from_millis(200);

/// A bind.
pub struct Bind {
    pub link: Rc<Link>,
    /// Submits whose places in the window are taken.
    out: Cell<usize>,
    /// Those of them that are not waited for any more.
    given_up: Cell<usize>,
    /// Nothing new goes on it.
    leaving: Cell<bool>,
    /// An enquire_link is out for a submit that is overdue.
    enquiring: Cell<bool>,
    /// For any answer but that to a submit.
    response: Duration,
    /// A place in a window is free, or a bind has come or gone.
    changed: Rc<Notify>,
}

impl Bind {
    /// A bind on this link. `response`: how long answers other than those to submits may take; `changed` hears of free places.
    pub fn new(link: Rc<Link>, response: Duration, changed: Rc<Notify>) -> Rc<Bind> {
        let (out, given_up, leaving, enquiring) = Default::default();
        Rc::new(Bind { link, out, given_up, leaving, enquiring, response, changed })
    }

    /// Submits that are out on it.
    pub fn out(&self) -> usize {
        self.out.get()
    }

    /// Whether a submit that is waited for is out on it.
    pub fn is_waited_for(&self) -> bool {
        self.out.get() > self.given_up.get()
    }

    /// Whether nothing new may go on it any more.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Nothing new goes on it from now on; whether anything did before.
    pub fn stop_sending(&self) -> bool {
        !self.leaving.replace(true)
    }

    /// Takes nothing new, and ends once what is waited for on it is over.
    pub fn leave(self: &Rc<Self>) {
        if !self.stop_sending() {
            return;
        }
        let bind = self.clone();
        spawn_local(async move {
            while bind.link.is_open() && bind.is_waited_for() {
                sleep(LOOK_EACH).await;
            }
            bind.unbind().await;
        });
    }

    /// Says goodbye and ends the link.
    pub async fn unbind(&self) {
        self.link.unbind(UNBIND_WITHIN).await;
    }

    /// Completes when nothing is waited for on any of these, or after so long.
    pub async fn until_idle(binds: &[Rc<Bind>], within: Duration) {
        let idle = async {
            while binds.iter().any(|bind| bind.link.is_open() && bind.is_waited_for()) {
                sleep(LOOK_EACH).await;
            }
        };
        timeout(within, idle).await.ok();
    }

    /// Has the link end where the SMSC says nothing at all, be it this answer or any other.
    async fn ask(self: Rc<Self>) {
        if self.enquiring.replace(true) {
            return;
        }
        let asked = Instant::now();
        let answer = self.link.request(Pdu::EnquireLink, self.response).await;
        if answer.is_none() && !self.link.has_heard_since(asked) {
            self.link.close();
        }
        self.enquiring.set(false);
    }
}

/// A place in the window of a bind, taken until its submit is over.
pub struct Seat {
    bind: Rc<Bind>,
    is_given_up: Cell<bool>,
}

impl Seat {
    /// Takes a place on this bind.
    pub fn on(bind: Rc<Bind>) -> Seat {
        bind.out.set(bind.out.get() + 1);
        Seat { bind, is_given_up: Cell::new(false) }
    }

    /// The bind's number in the log, and the sequence number that a request would have now.
    pub fn via(&self) -> Via {
        self.bind.link.next_via()
    }

    /// The link of its bind.
    pub fn link(&self) -> &Rc<Link> {
        &self.bind.link
    }

    /// Whether nothing new may go on its bind any more.
    pub fn is_leaving(&self) -> bool {
        self.bind.is_leaving()
    }

    /// Its submit's answer is overdue: the link ends, unless the SMSC is there.
    pub fn ask_whether_it_is_there(&self) {
        spawn_local(self.bind.clone().ask());
    }

    /// Its submit is not waited for any more: the bind ends once the others on it are over.
    pub fn give_up(&self) {
        if !self.is_given_up.replace(true) {
            self.bind.given_up.set(self.bind.given_up.get() + 1);
            let (bind, out) = (self.bind.link.next_via().connection, self.bind.out());
            tracing::info!(target: "smpp", event = "submit-given-up", bind, out, "a submit is not waited for any more, its bind ends once the others on it are over");
            self.bind.leave();
        }
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.bind.out.set(self.bind.out.get() - 1);
        if self.is_given_up.get() {
            self.bind.given_up.set(self.bind.given_up.get() - 1);
        }
        self.bind.changed.notify_waiters();
    }
}
