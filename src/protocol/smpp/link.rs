//! One SMPP session's plumbing, the same on both sides: frames in, frames out, answers to their requests.

use super::cut::CutAnswer;
use crate::attribution::Via;
use crate::transport::connection::next_number;
use crate::transport::Stream;
use bytes::{Bytes, BytesMut};
use rusmpp::decode::DecodeWithLength;
use rusmpp::tokio_codec::CommandCodec;
use rusmpp::{Command, CommandId, CommandStatus, Pdu};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep_until, timeout, Instant};
use tokio_util::codec::Encoder;

const HEAD: usize = 16;
/// PDUs that wait to be written at most: whoever would add one waits.
const QUEUE: usize = 256;

/// A request of the other side, or what could not be read as one.
#[derive(Debug)]
pub enum Heard {
    /// With the body as it came.
    Request(Box<Command>, Bytes),
    Bad {
        sequence: u32,
        status: CommandStatus,
    },
}

/// Why a request has no answer.
#[derive(Debug)]
pub enum Unanswered {
    /// Its last byte was surely not written.
    Unwritten,
    /// The link ended; the request may have been read.
    Lost,
    /// The link ended within what may have been its answer.
    Cut(CutAnswer),
}

/// What a request hears.
type Answer = Result<Box<Command>, CutAnswer>;

struct Outgoing {
    bytes: Bytes,
    /// Nobody waits for it where the receiver is gone: what has not begun by then is not written.
    written: oneshot::Sender<()>,
    begun: Rc<Cell<bool>>,
    /// All of it was passed to the system.
    is_written: Rc<Cell<bool>>,
}

/// Ends a link on which a request that was given up is half written: the rest of it would still go out.
struct HalfWritten<'a> {
    link: &'a Link,
    begun: Rc<Cell<bool>>,
    is_written: Rc<Cell<bool>>,
}

impl Drop for HalfWritten<'_> {
    fn drop(&mut self) {
        if self.begun.get() && !self.is_written.get() {
            self.link.close();
        }
    }
}

pub struct Link {
    /// Its number in the log.
    number: u64,
    out: mpsc::Sender<Outgoing>,
    waiting: RefCell<HashMap<u32, oneshot::Sender<Answer>>>,
    next: Cell<u32>,
    heard_at: Cell<Instant>,
    open: Cell<bool>,
    closed: Notify,
    writer: AbortHandle,
}

/// The reading half of a link.
pub struct Reader {
    input: ReadHalf<Stream>,
    buffer: BytesMut,
    max_pdu: usize,
}

pub fn open(stream: Stream, max_pdu: usize) -> (Rc<Link>, Reader) {
    let (input, mut output) = split(stream);
    let (out, mut queue) = mpsc::channel::<Outgoing>(QUEUE);
    let writing = async move {
        while let Some(Outgoing { bytes, written, begun, is_written }) = queue.recv().await {
            if written.is_closed() {
                continue;
            }
            begun.set(true);
            if output.write_all(&bytes).await.is_err() {
                return;
            }
            // Said here: whoever waits for it may give it up before it runs again.
            is_written.set(true);
            if output.flush().await.is_err() {
                return;
            }
            written.send(()).ok();
        }
    };
    let link = Link {
        number: next_number(),
        out,
        waiting: RefCell::default(),
        next: Cell::new(1),
        heard_at: Cell::new(Instant::now()),
        open: Cell::new(true),
        closed: Notify::new(),
        writer: spawn_local(writing).abort_handle(),
    };
    (Rc::new(link), Reader { input, buffer: BytesMut::new(), max_pdu })
}

fn encode(command: Command) -> Bytes {
    let mut bytes = BytesMut::new();
    // Encoding into memory cannot fail.
    CommandCodec::new().encode(command, &mut bytes).ok();
    bytes.freeze()
}

impl Link {
    pub fn is_open(&self) -> bool {
        self.open.get()
    }

    /// Whether the other side has said anything since then.
    pub fn has_heard_since(&self, moment: Instant) -> bool {
        self.heard_at.get() > moment
    }

    /// Its number, and the sequence number of its next request.
    pub fn next_via(&self) -> Via {
        Via { connection: self.number, request: self.next.get() as usize }
    }

    /// Ends the link at once; whatever waits for an answer on it is lost.
    pub fn close(&self) {
        self.open.set(false);
        self.writer.abort();
        self.waiting.borrow_mut().clear();
        self.closed.notify_waiters();
    }

    /// Completes when the link has ended.
    pub async fn ended(&self) {
        let closed = self.closed.notified();
        if self.is_open() {
            closed.await;
        }
    }

    /// Puts a PDU in line; what comes back completes once it is written, and fails if it never is.
    async fn put(
        &self,
        bytes: Bytes,
        begun: Rc<Cell<bool>>,
        is_written: Rc<Cell<bool>>,
    ) -> Option<oneshot::Receiver<()>> {
        let (written, done) = oneshot::channel();
        let outgoing = Outgoing { bytes, written, begun, is_written };
        let sent = self.is_open() && self.out.send(outgoing).await.is_ok();
        sent.then_some(done)
    }

    /// Answers a request; true once the answer is written.
    pub async fn answer(&self, sequence: u32, status: CommandStatus, pdu: impl Into<Pdu>) -> bool {
        self.answer_noted(sequence, status, pdu, Rc::default()).await
    }

    /// The same; `is_begun` tells from when on the other side may have it.
    pub async fn answer_noted(
        &self,
        sequence: u32,
        status: CommandStatus,
        pdu: impl Into<Pdu>,
        is_begun: Rc<Cell<bool>>,
    ) -> bool {
        let bytes = encode(Command::new(status, sequence, pdu.into()));
        match self.put(bytes, is_begun, Rc::default()).await {
            Some(written) => written.await.is_ok(),
            None => false,
        }
    }

    /// Sends a request and waits so long for its answer, whatever that says.
    pub async fn request(self: &Rc<Self>, pdu: impl Into<Pdu>, within: Duration) -> Option<Box<Command>> {
        let exchange = Link::exchange(self.clone(), pdu.into(), Rc::default());
        timeout(within, exchange).await.ok()?.ok()
    }

    /// Sends a request and waits for its answer or the end of the link. `is_written` tells meanwhile whether all of the request
    /// was passed to the system.
    pub async fn exchange(
        link: Rc<Link>,
        pdu: Pdu,
        is_written: Rc<Cell<bool>>,
    ) -> Result<Box<Command>, Unanswered> {
        let sequence = link.next.get();
        link.next.set(if sequence >= 0x7fff_fffe { 1 } else { sequence + 1 });
        let bytes = encode(Command::new(CommandStatus::EsmeRok, sequence, pdu));
        let (answered, answer) = oneshot::channel();
        link.waiting.borrow_mut().retain(|_, waiting| !waiting.is_closed());
        link.waiting.borrow_mut().insert(sequence, answered);
        let begun = Rc::default();
        let _guard = HalfWritten { link: &link, begun: Rc::clone(&begun), is_written: is_written.clone() };
        let written = link.put(bytes, begun, is_written.clone()).await;
        let Some(written) = written else { return Err(Unanswered::Unwritten) };
        if written.await.is_err() && !is_written.get() {
            return Err(Unanswered::Unwritten);
        }
        match answer.await {
            Ok(Ok(command)) => Ok(command),
            Ok(Err(cut)) => Err(Unanswered::Cut(cut)),
            Err(_) => Err(Unanswered::Lost),
        }
    }

    /// The next request of the other side; answers go to whoever waits for them. None: the link has ended.
    pub async fn hear(&self, reader: &mut Reader) -> Option<Heard> {
        loop {
            let frame = tokio::select! {
                frame = reader.frame() => frame,
                () = self.ended() => return None,
            };
            let Some(heard) = frame else {
                self.hear_cut(reader);
                return None;
            };
            self.heard_at.set(Instant::now());
            match heard {
                Heard::Request(command, _) if command.id().is_response() => {
                    // One that nobody waits for any more came too late.
                    if let Some(waiting) = self.waiting.borrow_mut().remove(&command.sequence_number()) {
                        waiting.send(Ok(command)).ok();
                    }
                }
                other => return Some(other),
            }
        }
    }

    /// The link has ended within a frame, which may be the answer to any request that it fits.
    fn hear_cut(&self, reader: &Reader) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for (sequence, waiting) in waiting {
            if let Some(cut) = CutAnswer::of(&reader.buffer, sequence) {
                waiting.send(Err(cut)).ok();
            }
        }
    }

    /// Asks whether the other side whenever it has been silent for `idle`; ends the link if not.
    pub async fn watch(self: Rc<Self>, idle: Duration, within: Duration) {
        while self.is_open() {
            let due = self.heard_at.get() + idle;
            if due > Instant::now() {
                sleep_until(due).await;
            } else if self.request(Pdu::EnquireLink, within).await.is_none() {
                self.close();
            }
        }
    }

    /// Says goodbye and ends the link.
    pub async fn unbind(self: &Rc<Self>, within: Duration) {
        self.request(Pdu::Unbind, within).await;
        self.close();
    }
}

impl Reader {
    /// The next frame; none at the end, and where the length makes no sense: nothing after it could be read.
    async fn frame(&mut self) -> Option<Heard> {
        while self.buffer.len() < HEAD {
            self.more().await?;
        }
        let field = |b: &[u8], i: usize| u32::from_be_bytes([b[i], b[i + 1], b[i + 2], b[i + 3]]);
        let len = field(&self.buffer, 0) as usize;
        if len < HEAD || len > self.max_pdu {
            return None;
        }
        while self.buffer.len() < len {
            self.more().await?;
        }
        let frame = self.buffer.split_to(len);
        let (id, sequence) = (CommandId::from(field(&frame, 4)), field(&frame, 12));
        let body = Bytes::copy_from_slice(&frame[HEAD..]);
        let mut rest = BytesMut::from(&frame[4..]);
        let known = !matches!(id, CommandId::Other(_));
        let bad = |status| Some(Heard::Bad { sequence, status });
        match Command::decode(&mut rest, len - 4) {
            Ok((command, _)) if known => Some(Heard::Request(Box::new(command), body)),
            Ok(_) => bad(CommandStatus::EsmeRinvcmdid),
            // An answer that cannot be read is still an answer: its status counts.
            Err(_) if id.is_response() => {
                let status = CommandStatus::from(field(&frame, 8));
                Some(Heard::Request(Box::new(Command::new(status, sequence, Pdu::GenericNack)), body))
            }
            Err(_) => bad(CommandStatus::EsmeRinvcmdlen),
        }
    }

    async fn more(&mut self) -> Option<()> {
        let read = self.input.read_buf(&mut self.buffer).await.ok()?;
        (read > 0).then_some(())
    }
}
