//! Carries membership's datagrams over UDP and wakes it when it wants to be. What is said in them it does not know.

use crate::membership::{Membership, News};
use crate::routing::Clock;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Datagrams taken in before others have their turn.
const IN_A_TURN: usize = 64;
/// More than any datagram of ours: what is longer shows as such and is refused.
const ROOM: usize = 2_048;

/// Membership on a socket.
pub struct Carrier {
    pub membership: RefCell<Membership>,
    socket: UdpSocket,
    clock: Clock,
    /// Something was said to it beside its datagrams.
    sooner: Notify,
    /// Datagrams that the system did not take.
    pub unsent: Cell<u64>,
}

impl Carrier {
    pub fn new(membership: Membership, socket: UdpSocket, clock: Clock) -> Rc<Carrier> {
        let (sooner, unsent) = (Notify::new(), Cell::new(0));
        Rc::new(Carrier { membership: RefCell::new(membership), socket, clock, sooner, unsent })
    }

    /// Says something to membership itself.
    pub fn act<R>(&self, f: impl FnOnce(&mut Membership, u64) -> R) -> R {
        let result = f(&mut self.membership.borrow_mut(), self.clock.now());
        self.sooner.notify_one();
        result
    }

    /// Carries on for good. News are told as they come.
    pub async fn carry(self: Rc<Self>, tell: impl Fn(Vec<News>)) {
        let mut buffer = [0; ROOM];
        loop {
            self.flush();
            let news = self.membership.borrow_mut().take_news();
            if !news.is_empty() {
                tell(news);
            }
            let due = self.membership.borrow().due();
            tokio::select! {
                heard = self.socket.recv_from(&mut buffer) => self.hear(heard, &mut buffer),
                () = sleep_until(self.clock.instant(due)), if due < u64::MAX => {
                    self.membership.borrow_mut().tick(self.clock.now());
                }
                () = self.sooner.notified() => {}
            }
        }
    }

    /// One that came, and those that wait behind it.
    fn hear(&self, first: std::io::Result<(usize, SocketAddr)>, buffer: &mut [u8]) {
        let mut heard = first;
        for _ in 0..IN_A_TURN {
            // An error here tells of a datagram sent earlier that nobody took in.
            if let Ok((len, _)) = heard {
                self.membership.borrow_mut().hear(self.clock.now(), &buffer[..len]);
            }
            heard = match self.socket.try_recv_from(buffer) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                other => other,
            };
        }
    }

    /// What the system does not take is lost, as it may be on the way.
    fn flush(&self) {
        for (to, bytes) in self.membership.borrow_mut().take_out() {
            if self.socket.try_send_to(&bytes, to).is_err() {
                self.unsent.set(self.unsent.get() + 1);
            }
        }
    }
}
