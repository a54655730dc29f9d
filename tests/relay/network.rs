//! A network in memory: addresses at which stand-ins listen, refuse or say nothing.

use basaltloom::transport::network::{Listen, Network, Soon, Stream};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Mutex;
use tokio::time::sleep;

enum Place {
    /// Connections come up after this time.
    Listening(UnboundedSender<DuplexStream>, Duration),
    Silent,
}

/// Whatever has no place refuses.
#[derive(Default)]
pub struct Memory {
    places: RefCell<HashMap<SocketAddr, Place>>,
}

impl Memory {
    pub fn open(&self, at: SocketAddr) -> UnboundedReceiver<DuplexStream> {
        let (sender, receiver) = unbounded_channel();
        self.places.borrow_mut().insert(at, Place::Listening(sender, Duration::ZERO));
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

    pub fn refuse(&self, at: SocketAddr) {
        self.places.borrow_mut().remove(&at);
    }

    /// What comes of dialling, and when; none if nothing ever does.
    pub fn dial(&self, to: SocketAddr) -> Option<(io::Result<DuplexStream>, Duration)> {
        let refused = Some((Err(io::ErrorKind::ConnectionRefused.into()), Duration::ZERO));
        match self.places.borrow().get(&to) {
            Some(Place::Silent) => None,
            Some(Place::Listening(sender, after)) => {
                let (ours, theirs) = duplex(256 * 1024);
                sender.send(theirs).map_or(refused, |()| Some((Ok(ours), *after)))
            }
            None => refused,
        }
    }
}

/// The memory as the relay sees it.
pub struct Seen(pub Rc<Memory>);

impl Network for Seen {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream> {
        let dialled = self.0.dial(to);
        Box::pin(async move {
            match dialled {
                None => std::future::pending().await,
                Some((stream, after)) => {
                    sleep(after).await;
                    stream.map(|s| Box::new(s) as Stream)
                }
            }
        })
    }

    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        let listener = Listener(Mutex::new(self.0.open(at)), at);
        Box::pin(async move { Ok(Box::new(listener) as Box<dyn Listen>) })
    }
}

struct Listener(Mutex<UnboundedReceiver<DuplexStream>>, SocketAddr);

impl Listen for Listener {
    fn accept(&self) -> Soon<'_, Stream> {
        Box::pin(async move {
            let stream = self.0.lock().await.recv().await;
            stream.map(|s| Box::new(s) as Stream).ok_or(io::ErrorKind::NotConnected.into())
        })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        Ok(self.1)
    }
}
