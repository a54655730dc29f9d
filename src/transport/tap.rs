//! A stream that tells what passes over it.

use super::answer::{parse, Answer};
use super::beginning::Beginning;
use super::network::Stream;
use crate::memory::{Allowance, MemoryBudget, SMALL_BYTES};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Bytes that are read at once where nobody else reads on.
const REST_AT_ONCE: usize = 4 * 1024;
/// An answer is kept as it came, and its body once more.
pub const ANSWER_COPIES: usize = 2;

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
    /// For what is kept of an answer, and its body once more.
    allowance: Allowance,
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
        Tapped::drawing(stream, most, kept, None)
    }

    /// The same, where what is kept and is more than small draws on a budget; what finds nothing there breaks the stream.
    pub fn drawing(
        stream: Stream,
        most: u64,
        kept: usize,
        memory: Option<Rc<MemoryBudget>>,
    ) -> (TappedStream, Rc<Tapped>) {
        let allowance = Allowance::for_answers(memory);
        let tap = Rc::new(Tapped { left: Cell::new(most), most, kept, allowance, ..Tapped::default() });
        (TappedStream { stream, tap: tap.clone() }, tap)
    }

    /// Bytes that were passed on to the system.
    pub fn written(&self) -> u64 {
        self.written.get()
    }

    /// A request of so many bytes is about to be written, its body the last of them.
    pub(super) fn expect(&self, request: usize, body: usize) {
        let written = self.written.get();
        self.request_ends.set(written + request as u64);
        self.body_begins.set(written + body as u64);
    }

    /// Whether all of the request was passed on to the system.
    pub fn is_request_written(&self) -> bool {
        self.written.get() >= self.request_ends.get()
    }

    /// Whether more was passed on than the request has.
    pub fn is_beyond_request(&self) -> bool {
        self.written.get() > self.request_ends.get()
    }

    /// Whether its last byte was surely not: no more bytes than its body has were passed on, and the head goes first.
    pub fn is_request_surely_cut(&self) -> bool {
        self.written.get() <= self.body_begins.get()
    }

    /// What comes from now on is another request or answer.
    pub fn listen_anew(&self) {
        self.heard.take();
        self.allowance.reset();
        self.heard_at.set(None);
        self.left.set(self.most);
        self.resting.set(false);
    }

    /// Nothing is to come before the next `listen_anew`.
    pub fn rest(&self) {
        self.listen_anew();
        self.resting.set(true);
    }

    /// Whether nothing is to come.
    pub fn is_resting(&self) -> bool {
        self.resting.get()
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

    /// The answers that came whole behind the one being heard, and what has come of one more. Where the first one's end is not
    /// known, that is the first one itself.
    pub fn behind(&self) -> (Vec<Rc<Answer>>, Beginning) {
        let mut rest = BytesMut::from(&self.heard.borrow()[..]);
        let mut later = Vec::new();
        let is_first_whole = matches!(parse(&mut rest), Ok(Some(_)));
        while let Some((answer, _)) = parse(&mut rest).ok().flatten().filter(|_| is_first_whole) {
            later.push(Rc::new(answer));
        }
        (later, Beginning::of(&rest))
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
        let is_held = self.keep(bytes);
        let left = self.left.get().checked_sub(bytes.len() as u64);
        self.left.set(left.unwrap_or(0));
        left.is_some() && is_held
    }

    /// Keeps the first bytes of what is heard; false where there is no memory for them.
    fn keep(&self, bytes: &[u8]) -> bool {
        let mut heard = self.heard.borrow_mut();
        let more = bytes.len().min(self.kept - heard.len());
        let is_held = self.allowance.covers((heard.len() + more) * ANSWER_COPIES);
        // The first line says most: a small part is kept in any case.
        let more = if is_held { more } else { more.min(SMALL_BYTES.saturating_sub(heard.len())) };
        heard.extend_from_slice(&bytes[..more]);
        is_held
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
    /// Ends our sending, and hears what the other side has still said until it closes.
    pub async fn hear_out(mut self) {
        let mut bytes = [0; REST_AT_ONCE];
        self.shutdown().await.ok();
        while matches!(self.read(&mut bytes).await, Ok(n) if n > 0) {}
    }

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
