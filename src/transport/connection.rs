//! One HTTP/1.1 connection of ours to a next hop or to the platform.

use super::network::{Net, Stream};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, Instant};

/// A stream that counts the bytes it has passed on to the system.
pub struct Counted {
    stream: Stream,
    written: Rc<Cell<u64>>,
}

impl Counted {
    pub fn new(stream: Stream) -> (Self, Rc<Cell<u64>>) {
        let written = Rc::new(Cell::new(0));
        (Counted { stream, written: written.clone() }, written)
    }

    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = &result {
            self.written.set(self.written.get() + *n as u64);
        }
        result
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(result)
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

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// Its last byte was surely not written.
    Never,
    /// It may have been written whole.
    Perhaps,
}

/// A connection that carries one request at a time. Dropped, it closes at once, whatever is out on it.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    written: Rc<Cell<u64>>,
    task: AbortHandle,
    /// When it was last given back.
    pub idle_since: Instant,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Line {
    pub async fn open(net: &Net, dial: SocketAddr, within: Duration) -> io::Result<Line> {
        let connect = async {
            let (counted, written) = Counted::new(net.connect(dial).await?);
            let (sender, connection) = handshake(TokioIo::new(counted)).await.map_err(io::Error::other)?;
            let task = spawn_local(async move { drop(connection.await) }).abort_handle();
            Ok(Line { sender, written, task, idle_since: Instant::now() })
        };
        timeout(within, connect).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether the other side has left it open as far as is known, with no request out.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends one request. Its last byte is certainly unwritten while no more bytes than the body has are
    /// written, since the head goes first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
    ) -> Result<Response<Incoming>, Unsent> {
        let before = self.written.get();
        if self.sender.ready().await.is_err() {
            return Err(Unsent::Never);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(e) if e.message().is_some() => Err(Unsent::Never),
            Err(_) if self.written.get() - before <= body as u64 => Err(Unsent::Never),
            Err(_) => Err(Unsent::Perhaps),
        }
    }
}

/// Reads a body to its end, which must come before `most` bytes.
pub async fn read_body<B>(body: B, most: usize) -> Option<Bytes>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let collected = http_body_util::Limited::new(body, most).collect().await;
    collected.ok().map(|c| c.to_bytes())
}
