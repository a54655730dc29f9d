//! Where streams come from: the system's TCP, or whatever a test puts in its place.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// Both directions of a connection.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Duplex for T {}

pub type Stream = Box<dyn Duplex>;
pub type Soon<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

pub trait Network {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream>;
    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>>;
}

pub trait Listen {
    fn accept(&self) -> Soon<'_, Stream>;
    /// The address, with the port that the system chose where none was asked for.
    fn address(&self) -> io::Result<SocketAddr>;
}

pub type Net = Rc<dyn Network>;

/// TCP of the system.
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream> {
        Box::pin(async move { ready(TcpStream::connect(to).await?) })
    }

    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(at).await?) as Box<dyn Listen>) })
    }
}

impl Listen for TcpListener {
    fn accept(&self) -> Soon<'_, Stream> {
        Box::pin(async move { ready(TcpListener::accept(self).await?.0) })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }
}

/// Small messages go at once, not when the last one is acknowledged.
fn ready(stream: TcpStream) -> io::Result<Stream> {
    stream.set_nodelay(true)?;
    Ok(Box::new(stream))
}
