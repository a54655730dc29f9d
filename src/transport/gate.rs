//! A listener that takes no connection while it is shut: those that come stay in the system's queue.

use super::network::{Arrived, Listen, Soon};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Whether connections are taken.
#[derive(Clone)]
pub struct Gate(Rc<watch::Sender<bool>>);

impl Gate {
    /// One that is open.
    pub fn open() -> Gate {
        Gate(Rc::new(watch::Sender::new(true)))
    }

    /// Opens or shuts it.
    pub fn set(&self, open: bool) {
        self.0.send_replace(open);
    }

    /// Whether it is open.
    pub fn is_open(&self) -> bool {
        *self.0.borrow()
    }
}

/// A listener behind a gate.
pub struct Gated {
    /// What it takes connections from.
    pub listener: Box<dyn Listen>,
    /// Whether it does.
    pub gate: Gate,
}

impl Listen for Gated {
    fn accept(&self) -> Soon<'_, Arrived> {
        Box::pin(async move {
            let mut open = self.gate.0.subscribe();
            loop {
                if open.wait_for(|open| *open).await.is_err() {
                    return Err(io::ErrorKind::NotConnected.into());
                }
                tokio::select! {
                    biased;
                    _ = open.wait_for(|open| !*open) => {}
                    arrived = self.listener.accept() => return arrived,
                }
            }
        })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.listener.address()
    }
}
