//! The network of a test: in memory, or on loopback with ports that the system chooses. Stand-ins and relay
//! name each other by addresses of the test's own, at which something listens, refuses or says nothing.

use basaltloom::transport::network::{Arrived, Listen, Network, Soon, Spare, Stream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::duplex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Mutex;
use tokio::task::spawn_local;
use tokio::time::sleep;

pub enum Place {
    /// Connections come up after this time.
    Listening(UnboundedSender<Arrived>, Duration),
    Loopback(SocketAddr),
    Silent,
}

/// Bytes that a connection holds unread where a test does not say.
const WIDTH: usize = 256 * 1024;

/// Whatever has no place refuses.
pub struct Places {
    pub places: RefCell<HashMap<SocketAddr, Place>>,
    pub loopback: bool,
    pub opened: RefCell<HashMap<SocketAddr, usize>>,
    /// Bytes that a connection opened from now on holds unread each way.
    pub width: Cell<usize>,
    /// No descriptor is left but the one that the relay holds in reserve, if it does.
    pub short: Cell<bool>,
    pub reserve: Rc<Cell<bool>>,
}

impl Default for Places {
    fn default() -> Places {
        Places {
            places: RefCell::default(),
            loopback: false,
            opened: RefCell::default(),
            width: Cell::new(WIDTH),
            short: Cell::default(),
            reserve: Rc::default(),
        }
    }
}

impl Places {
    pub fn open(&self, at: SocketAddr) -> UnboundedReceiver<Arrived> {
        let (sender, receiver) = unbounded_channel::<Arrived>();
        let place = if self.loopback {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            listener.set_nonblocking(true).unwrap();
            let listener = TcpListener::from_std(listener).unwrap();
            let address = listener.local_addr().unwrap();
            spawn_local(async move {
                while let Ok((stream, from)) = listener.accept().await {
                    if sender.send(Arrived { stream: Box::new(stream), from }).is_err() {
                        return;
                    }
                }
            });
            Place::Loopback(address)
        } else {
            Place::Listening(sender, Duration::ZERO)
        };
        self.places.borrow_mut().insert(at, place);
        receiver
    }

    pub fn slow(&self, at: SocketAddr, by: Duration) {
        if let Some(Place::Listening(_, after)) = self.places.borrow_mut().get_mut(&at) {
            *after = by;
        }
    }

    pub fn silence(&self, at: SocketAddr) {
        self.places.borrow_mut().insert(at, Place::Silent);
    }

    /// Connections opened to it so far.
    pub fn opened(&self, at: SocketAddr) -> usize {
        self.opened.borrow().get(&at).copied().unwrap_or(0)
    }

    pub fn refuse(&self, at: SocketAddr) {
        self.places.borrow_mut().remove(&at);
    }

    pub async fn dial(&self, to: SocketAddr) -> io::Result<Stream> {
        self.dial_from(SocketAddr::from(([10, 9, 0, 1], 1)), to).await
    }

    pub async fn dial_from(&self, from: SocketAddr, to: SocketAddr) -> io::Result<Stream> {
        let refused = || io::Error::from(io::ErrorKind::ConnectionRefused);
        let (listening, address) = match self.places.borrow().get(&to) {
            Some(Place::Silent) => (None, None),
            Some(Place::Loopback(address)) => (None, Some(*address)),
            Some(Place::Listening(sender, after)) => (Some((sender.clone(), *after)), None),
            None => return Err(refused()),
        };
        if let Some(address) = address {
            return Ok(Box::new(TcpStream::connect(address).await?));
        }
        *self.opened.borrow_mut().entry(to).or_default() += 1;
        let Some((sender, after)) = listening else { return std::future::pending().await };
        sleep(after).await;
        let (ours, theirs) = duplex(self.width.get().max(1));
        sender.send(Arrived { stream: Box::new(theirs), from }).map_err(|_| refused())?;
        Ok(Box::new(ours))
    }
}

/// The places as the relay sees them.
pub struct Seen(pub Rc<Places>);

impl Network for Seen {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream> {
        Box::pin(self.0.dial(to))
    }

    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        let arriving = Mutex::new((self.0.open(at), None));
        let listener = Listener { arriving, at, places: self.0.clone() };
        Box::pin(async move { Ok(Box::new(listener) as Box<dyn Listen>) })
    }

    fn spare(&self) -> io::Result<Spare> {
        self.0.reserve.set(true);
        Ok(Box::new(Reserve(self.0.reserve.clone())))
    }
}

struct Reserve(Rc<Cell<bool>>);

impl Drop for Reserve {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

struct Listener {
    arriving: Mutex<(UnboundedReceiver<Arrived>, Option<Arrived>)>,
    at: SocketAddr,
    places: Rc<Places>,
}

impl Listen for Listener {
    fn accept(&self) -> Soon<'_, Arrived> {
        Box::pin(async move {
            let mut arriving = self.arriving.lock().await;
            if arriving.1.is_none() {
                arriving.1 = arriving.0.recv().await;
            }
            // As the system does: whoever waits goes on waiting.
            if self.places.short.get() && self.places.reserve.get() {
                return Err(io::Error::from_raw_os_error(24));
            }
            arriving.1.take().ok_or(io::ErrorKind::NotConnected.into())
        })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}
