//! One HTTP/1.1 connection of ours to a next hop or to the platform.

use super::beginning::Beginning;
use super::network::{Net, Stream};
use crate::attribution::Exchanges;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, Instant};

/// What passes over a stream, for what has to be known beyond what hyper tells.
#[derive(Default)]
pub struct Tapped {
    written: Cell<u64>,
    /// What was written once the request that goes out has all its bytes, and before its body's length of them.
    request_ends: Cell<u64>,
    body_begins: Cell<u64>,
    /// Bytes that may still be read before the next `listen_anew`, and how many each time.
    left: Cell<u64>,
    most: u64,
    /// How many of them are kept.
    kept: usize,
    /// The first bytes read since then, and when they came.
    heard: RefCell<Vec<u8>>,
    heard_at: Cell<Option<Instant>>,
    first: Notify,
    /// Whether nothing is to come, and whether something came all the same.
    resting: Cell<bool>,
    surplus: Cell<bool>,
}

/// A stream with its tap.
pub struct TappedStream {
    stream: Stream,
    tap: Rc<Tapped>,
}

impl Tapped {
    /// A tap that lets `most` bytes in for each thing listened to, and keeps the first `kept`; what goes on longer breaks the
    /// stream.
    pub fn new(stream: Stream, most: u64, kept: usize) -> (TappedStream, Rc<Tapped>) {
        let tap = Rc::new(Tapped { left: Cell::new(most), most, kept, ..Tapped::default() });
        (TappedStream { stream, tap: tap.clone() }, tap)
    }

    /// Bytes that were passed on to the system.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// A request of so many bytes is about to be written, its body the last of them.
    fn expect(&self, request: usize, body: usize) {
        let written = self.written.get();
        self.request_ends.set(written + request as u64);
        self.body_begins.set(written + body as u64);
    }

    /// Whether all of the request was passed on to the system.
    pub fn is_request_written(&self) -> bool {
        self.written.get() >= self.request_ends.get()
    }

    /// Whether its last byte was surely not: no more bytes than its body has were passed on, and the head goes first.
    pub fn is_request_surely_cut(&self) -> bool {
        self.written.get() <= self.body_begins.get()
    }

    /// What comes from now on is another request or answer.
    pub fn listen_anew(&self) {
        self.heard.borrow_mut().clear();
        self.heard_at.set(None);
        self.left.set(self.most);
        self.resting.set(false);
    }

    /// Nothing is to come before the next `listen_anew`.
    pub fn rest(&self) {
        self.listen_anew();
        self.resting.set(true);
    }

    /// Whether something came while nothing was to come.
    pub fn surplus(&self) -> bool {
        self.surplus.get()
    }

    /// When the first byte of it came.
    pub fn heard_at(&self) -> Option<Instant> {
        self.heard_at.get()
    }

    /// Completes when the first byte of it has come.
    pub async fn begins(&self) {
        while self.heard_at.get().is_none() {
            self.first.notified().await;
        }
    }

    /// What can be read of the answer being heard.
    pub fn beginning(&self) -> Beginning {
        Beginning::of(&self.heard.borrow())
    }

    fn hear(&self, bytes: &[u8]) -> bool {
        if bytes.is_empty() {
            return true;
        }
        self.surplus.set(self.surplus.get() || self.resting.get());
        if self.heard_at.get().is_none() {
            self.heard_at.set(Some(Instant::now()));
            self.first.notify_one();
        }
        let mut heard = self.heard.borrow_mut();
        let room = self.kept - heard.len();
        heard.extend_from_slice(&bytes[..bytes.len().min(room)]);
        let left = self.left.get().checked_sub(bytes.len() as u64);
        self.left.set(left.unwrap_or(0));
        left.is_some()
    }
}

impl AsyncRead for TappedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if matches!(result, Poll::Ready(Ok(()))) && !self.tap.hear(&buf.filled()[before..]) {
            return Poll::Ready(Err(io::Error::other("more came than any answer holds")));
        }
        result
    }
}

impl AsyncWrite for TappedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(result, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(result, cx)
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

impl TappedStream {
    fn wrote(&mut self, result: Poll<io::Result<usize>>, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(n)) => self.tap.written.set(self.tap.written.get() + *n as u64),
            Poll::Ready(Err(_)) => self.hear_rest(cx),
            Poll::Pending => {}
        }
        result
    }

    /// Nothing can be written any more, and nobody will read on: what lies there is heard at least.
    fn hear_rest(&mut self, cx: &mut Context<'_>) {
        let mut bytes = [0; REST_AT_ONCE];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = Pin::new(&mut self.stream).poll_read(cx, &mut buffer);
            let more = matches!(read, Poll::Ready(Ok(()))) && !buffer.filled().is_empty();
            if !more || !self.tap.hear(buffer.filled()) {
                return;
            }
        }
    }
}

/// Bytes that are read at once where nobody reads on.
const REST_AT_ONCE: usize = 4 * 1024;

/// An answer that has begun takes no longer to come whole.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// Most bytes of an answer's head.
const HEAD_MOST: usize = 32 * 1024;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// Its last byte was surely not written.
    Never,
    /// It may have been written whole.
    Perhaps,
}

/// The number that a new connection of this process gets in the log.
pub fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A connection that carries one request at a time. Dropped, it closes at once, whatever is out on it.
pub struct Line {
    number: u64,
    /// The requests that it has carried, one that is out included, and their answers.
    pub exchanges: Exchanges,
    sender: SendRequest<Full<Bytes>>,
    tap: Rc<Tapped>,
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
    /// Opens a line on which no answer may hold more than `most` bytes, of which the first `kept` can be read again.
    pub async fn open(
        net: &Net,
        dial: SocketAddr,
        within: Duration,
        most: usize,
        kept: usize,
    ) -> io::Result<Line> {
        let connect = async {
            let (stream, tap) = Tapped::new(net.connect(dial).await?, most as u64, kept);
            let mut builder = Builder::new();
            builder.max_buf_size(HEAD_MOST);
            let shaken = builder.handshake(TokioIo::new(stream)).await;
            let (sender, connection) = shaken.map_err(io::Error::other)?;
            let task = spawn_local(async move { drop(connection.await) }).abort_handle();
            let number = next_number();
            let exchanges = Exchanges::default();
            Ok(Line { number, exchanges, sender, tap, task, idle_since: Instant::now() })
        };
        timeout(within, connect).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Its number in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It waits for its next request from now on.
    pub fn rest(&mut self) {
        self.tap.rest();
        self.idle_since = Instant::now();
    }

    /// Whether an answer came, or began to, while it waited, which reads as if it had been sent twice.
    pub fn had_surplus(&self) -> bool {
        let repeats = |status| !self.exchanges.is_new_status(status);
        self.tap.surplus() && self.tap.beginning().line_status().is_some_and(repeats)
    }

    /// Whether the other side has left it open as far as is known, with no request out.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// What can be read of the answer that is coming.
    pub fn beginning(&self) -> Beginning {
        self.tap.beginning()
    }

    /// What goes on over the line, to be watched beside a request.
    pub fn tap(&self) -> Rc<Tapped> {
        self.tap.clone()
    }

    /// Sends one request. Its last byte is certainly unwritten while no more bytes than the body has are
    /// written, since the head goes first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
    ) -> Result<Response<Incoming>, Unsent> {
        let request_len = head_len(&request, body) + body;
        if self.sender.ready().await.is_err() {
            return Err(Unsent::Never);
        }
        self.tap.listen_anew();
        self.tap.expect(request_len, body);
        self.exchanges.requested();
        let sent = self.sender.try_send_request(request).await;
        debug_assert!(
            self.tap.written.get() <= self.tap.request_ends.get(),
            "a request is longer than was thought"
        );
        match sent {
            Ok(response) => Ok(response),
            Err(e) if e.message().is_some() => Err(Unsent::Never),
            Err(_) if self.tap.is_request_surely_cut() => Err(Unsent::Never),
            Err(_) => Err(Unsent::Perhaps),
        }
    }
}

/// Bytes of a request before its body, as they go on the wire with the body's length.
fn head_len<B>(request: &Request<B>, body: usize) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let field = |name: usize, value: usize| name + ": ".len() + value + "\r\n".len();
    let fields: usize =
        request.headers().iter().map(|(name, value)| field(name.as_str().len(), value.len())).sum();
    line + fields + field("content-length".len(), body.to_string().len()) + "\r\n".len()
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
