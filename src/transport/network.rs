//! Where streams come from: the system's TCP, or whatever a test puts in its place.

use crate::admission::ledger::{Drawn, Ledger, Purse};
use crate::memory::MemoryBudget;
use bytes::{Buf, Bytes};
use std::any::Any;
use std::fs::File;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, DuplexStream, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Both directions of a connection.
pub trait Duplex: AsyncRead + AsyncWrite + Unpin {
    /// Says a few last words, as far as they can be taken at once, and closes.
    fn say_and_close(self: Box<Self>, words: &[u8]);
}

impl Duplex for TcpStream {
    fn say_and_close(self: Box<Self>, words: &[u8]) {
        // The event loop has not heard of it yet: the system is asked directly.
        let Ok(mut stream) = self.into_std() else { return };
        // A few words fit, or the connection is of no use any more.
        stream.write_all(words).ok();
        // What came already is taken in, or the close would be a reset that takes our words away.
        drop(stream.read(&mut [0; 4096]));
    }
}

impl Duplex for DuplexStream {
    fn say_and_close(mut self: Box<Self>, words: &[u8]) {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        drop(Pin::new(&mut *self).poll_write(&mut cx, words));
    }
}

pub type Stream = Box<dyn Duplex>;
pub type Soon<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + 'a>>;

/// A caller's connection and where it comes from.
pub struct Arrived {
    pub stream: Stream,
    pub from: SocketAddr,
}

/// A descriptor that is held for nothing but to be given up.
pub type Spare = Box<dyn Any>;

pub trait Network {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream>;
    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>>;
    /// Opens a descriptor to be held in reserve.
    fn spare(&self) -> io::Result<Spare>;
    /// What is read on its connections draws on this; without one it is not counted.
    fn memory(&self) -> Option<Rc<MemoryBudget>> {
        None
    }
}

pub trait Listen {
    fn accept(&self) -> Soon<'_, Arrived>;
    /// The address, with the port that the system chose where none was asked for.
    fn address(&self) -> io::Result<SocketAddr>;
}

pub type Net = Rc<dyn Network>;

/// No descriptor or no port is left: that is our own affair and says nothing of the other side.
pub fn out_of_room(e: &io::Error) -> bool {
    use rustix::io::Errno;
    let ours = [Errno::NFILE, Errno::MFILE, Errno::ADDRNOTAVAIL, Errno::NOBUFS, Errno::NOMEM];
    e.raw_os_error().is_some_and(|code| ours.iter().any(|o| o.raw_os_error() == code))
}

/// TCP of the system.
pub struct Tcp;

/// Connections that the system holds for us before they are accepted: a flood that comes while a turn of the
/// loop lasts must not have the system drop others, which would then try again only after a second.
const BACKLOG: u32 = 4_096;

impl Network for Tcp {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream> {
        Box::pin(async move { ready(TcpStream::connect(to).await?) })
    }

    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        Box::pin(async move {
            let socket = if at.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
            socket.set_reuseaddr(true)?;
            socket.bind(at)?;
            Ok(Box::new(socket.listen(BACKLOG)?) as Box<dyn Listen>)
        })
    }

    fn spare(&self) -> io::Result<Spare> {
        Ok(Box::new(File::open("/dev/null")?))
    }
}

impl Listen for TcpListener {
    fn accept(&self) -> Soon<'_, Arrived> {
        Box::pin(async move {
            let (stream, from) = TcpListener::accept(self).await?;
            Ok(Arrived { stream: ready(stream)?, from })
        })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }
}

/// A socket for datagrams.
pub async fn datagrams(at: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(at).await
}

/// Small messages go at once, not when the last one is acknowledged.
fn ready(stream: TcpStream) -> io::Result<Stream> {
    stream.set_nodelay(true)?;
    Ok(Box::new(stream))
}

/// A network whose connections are drawn from the descriptor ledger.
pub struct Counted {
    pub net: Net,
    pub ledger: Rc<Ledger>,
    pub purse: Purse,
}

impl Counted {
    pub fn over(net: Net, ledger: Rc<Ledger>, purse: Purse) -> Net {
        Rc::new(Counted { net, ledger, purse })
    }
}

impl Network for Counted {
    fn connect(&self, to: SocketAddr) -> Soon<'_, Stream> {
        Box::pin(async move {
            let drawn = self.ledger.draw(self.purse);
            let Some(drawn) = drawn else { return Err(rustix::io::Errno::MFILE.into()) };
            match self.net.connect(to).await {
                Ok(stream) => {
                    Ok(Box::new(Kept { stream, ahead: Bytes::new(), drawn: Some(drawn) }) as Stream)
                }
                Err(e) => {
                    if out_of_room(&e) {
                        self.ledger.found_short();
                    }
                    Err(e)
                }
            }
        })
    }

    fn listen(&self, at: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        self.net.listen(at)
    }

    fn spare(&self) -> io::Result<Spare> {
        self.net.spare()
    }

    fn memory(&self) -> Option<Rc<MemoryBudget>> {
        Some(self.ledger.memory().clone())
    }
}

/// A stream with what was read ahead of it, and what it was drawn on.
pub struct Kept {
    pub stream: Stream,
    pub ahead: Bytes,
    pub drawn: Option<Drawn>,
}

impl AsyncRead for Kept {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.ahead.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let n = self.ahead.len().min(buf.remaining());
        buf.put_slice(&self.ahead[..n]);
        self.ahead.advance(n);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Kept {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Duplex for Kept {
    fn say_and_close(self: Box<Self>, words: &[u8]) {
        self.stream.say_and_close(words);
    }
}

/// What a listener has to give at this very moment, if anything: its answer is taken without waiting, and
/// without regard to how much this task has done in its turn.
pub fn accept_now(listener: &dyn Listen) -> Option<io::Result<Arrived>> {
    let accepting = pin!(tokio::task::unconstrained(listener.accept()));
    match accepting.poll(&mut Context::from_waker(std::task::Waker::noop())) {
        Poll::Ready(result) => Some(result),
        Poll::Pending => None,
    }
}
