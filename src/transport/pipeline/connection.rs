//! One HTTP/1.1 connection on which calls go out behind one another.
//!
//! From the first answer on that may be another call's, each later one may belong to any call before its place. The connection
//! takes nothing new then, reads on, and holds those answers back until it ends, so that each call hears its own with
//! all that came behind it.

use super::held::{Answered, Broken, Heard, HeldAnswers};
use super::pending::PendingCall;
use crate::attribution::{Exchanges, Fingerprint, Verdict};
use crate::batching::fate::Break;
use crate::batching::pipe::{GivenUp, Pipe};
use crate::routing::message_log::Via;
use crate::transport::answer::{parse, Answer, Unreadable};
use crate::transport::beginning::Beginning;
use crate::transport::connection::{next_number, ANSWER_WITHIN};
use crate::transport::network::Stream;
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::{oneshot, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout_at, Instant};

/// A connection and the calls on it.
pub(super) struct Connection {
    /// Its number in the log.
    number: u64,
    pipe: RefCell<Pipe<u64>>,
    exchanges: RefCell<Exchanges>,
    /// Calls of which not a byte has been written.
    queue: RefCell<VecDeque<(u64, Bytes)>>,
    more: Notify,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Heard>>>,
    /// Answers that may be other calls'.
    held: RefCell<HeldAnswers>,
    /// What has come of an answer that is not whole yet.
    begun: RefCell<Bytes>,
    next: Cell<u64>,
    idle_since: Cell<Instant>,
    writing_failed: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Hears of an answer that came twice.
    on_surplus: Box<dyn Fn()>,
}

impl Connection {
    fn new(depth: usize, on_surplus: Box<dyn Fn()>) -> Connection {
        Connection {
            number: next_number(),
            pipe: RefCell::new(Pipe::new(depth)),
            exchanges: RefCell::default(),
            queue: RefCell::default(),
            more: Notify::new(),
            waiting: RefCell::default(),
            held: RefCell::default(),
            begun: RefCell::default(),
            next: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            writing_failed: Notify::new(),
            tasks: RefCell::default(),
            on_surplus,
        }
    }

    /// One that takes up to `depth` calls, on this stream; `on_surplus` is called for an answer that came twice.
    pub(super) fn start(stream: Stream, depth: usize, on_surplus: Box<dyn Fn()>) -> Rc<Connection> {
        let (input, output) = split(stream);
        let connection = Rc::new(Connection::new(depth, on_surplus));
        let tasks = [
            spawn_local(connection.clone().write(output)).abort_handle(),
            spawn_local(connection.clone().read(input)).abort_handle(),
        ];
        connection.tasks.borrow_mut().extend(tasks);
        connection
    }

    /// Calls that are out.
    pub(super) fn out(&self) -> usize {
        self.pipe.borrow().out()
    }

    /// Whether calls may go on it, now or once others have their answers.
    pub(super) fn is_open(&self) -> bool {
        self.pipe.borrow().is_open() && self.exchanges.borrow().may_carry_more()
    }

    /// Whether a call may go on it now: its answer has to be known for its own, whatever it says, where it may not be
    /// repeated.
    pub(super) fn may_take(&self, repeatable: bool) -> bool {
        let is_telling = repeatable || self.exchanges.borrow().only_successes();
        is_telling && self.is_open() && self.pipe.borrow().may_take(repeatable)
    }

    /// Since when it has had no answer.
    pub(super) fn idle_for(&self) -> Duration {
        self.idle_since.get().elapsed()
    }

    /// The place of a request that is sent now.
    pub(super) fn next_via(&self) -> Via {
        Via { connection: self.number, request: self.next.get() as usize + 1 }
    }

    /// Puts a call behind those that are out.
    pub(super) fn send(self: Rc<Self>, request: Bytes, repeatable: bool) -> PendingCall {
        let ticket = self.next.get();
        self.next.set(ticket + 1);
        self.exchanges.borrow_mut().requested();
        self.pipe.borrow_mut().push(ticket, request.len() as u64, repeatable);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(ticket, sender);
        self.queue.borrow_mut().push_back((ticket, request));
        self.more.notify_one();
        PendingCall { connection: self, ticket, answer, done: false }
    }

    fn tell(&self, ticket: u64, heard: Heard) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
            sender.send(heard).ok();
        }
    }

    /// The connection ends: each call that is out hears what is known of it.
    pub(super) fn end(&self, how: Break) {
        if self.pipe.borrow().has_ended() {
            return;
        }
        // It is closed before anybody hears of it: who does may call again elsewhere.
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
        let first = self.pipe.borrow().first();
        let broke = self.pipe.borrow_mut().broke(how);
        self.queue.borrow_mut().clear();
        let begun = Beginning::of(&self.begun.take());
        for (ticket, answered) in self.held.take().resolve(&begun) {
            self.tell(ticket, Ok(answered));
        }
        // What has come in part is the first one's, also where that was given up.
        if let Some(first) = first {
            let how = broke.iter().find(|(ticket, _)| *ticket == first).map_or(how, |(_, how)| *how);
            self.tell(first, Err(Broken { how, echo: false, beginning: begun }));
        }
        for (i, (ticket, how)) in broke.into_iter().enumerate() {
            self.tell(ticket, Err(Broken { how, echo: i > 0, beginning: Beginning::Nothing }));
        }
        // Those that were given up hear that it is over.
        self.waiting.borrow_mut().clear();
    }

    /// Nobody waits for this call's answer any more; the connection ends now where it is its turn, or where its answer is
    /// one of those that are held back.
    pub(super) fn give_up(&self, ticket: u64) {
        let given_up = self.pipe.borrow_mut().give_up(ticket);
        let is_held = given_up == GivenUp::Gone && self.waiting.borrow().contains_key(&ticket);
        if given_up == GivenUp::Now || is_held {
            self.end(Break::Cancelled);
        }
    }

    /// The same where nobody is there to hear of it.
    pub(super) fn forget(&self, ticket: u64) {
        self.waiting.borrow_mut().remove(&ticket);
        self.give_up(ticket);
    }

    /// Takes nothing new, and takes back what has not begun. An endpoint may have answered a call before it was written:
    /// that one is out no more.
    pub(super) fn withdraw(&self) {
        self.pipe.borrow_mut().drain();
        let queued = std::mem::take(&mut *self.queue.borrow_mut());
        for (ticket, bytes) in queued.into_iter().rev() {
            self.pipe.borrow_mut().take_back(ticket, bytes.len() as u64);
            let how = Break::Unwritten;
            self.tell(ticket, Err(Broken { how, echo: true, beginning: Beginning::Nothing }));
        }
    }

    /// An answer came without a call. One with a status of its own may well speak of the connection, as 408 does.
    fn note_surplus(&self, answer: &Answer) {
        if !self.exchanges.borrow().is_new_status(answer.status.as_u16()) {
            (self.on_surplus)();
        }
    }

    /// Whether an answer is known to be that of the oldest call that is out.
    fn judge(&self, answer: &Answer) -> Verdict {
        let print = Fingerprint::of_head(answer.status, &answer.headers).with_body(&answer.body);
        let mut exchanges = self.exchanges.borrow_mut();
        let verdict = exchanges.judge_whole(&print);
        match verdict.is_known() {
            true => exchanges.answered(&print),
            false => exchanges.doubted(),
        }
        verdict
    }

    /// An answer has come whole, in its place behind those before it; false where nobody asked.
    fn take(&self, answer: Answer, closes: bool) -> bool {
        let Some((ticket, _)) = self.pipe.borrow_mut().answered(closes) else {
            self.note_surplus(&answer);
            return false;
        };
        self.idle_since.set(Instant::now());
        let verdict = self.judge(&answer);
        let request = ticket as usize + 1;
        let answered = Answered::new(answer, verdict, Via { connection: self.number, request });
        if verdict.is_known() {
            if !self.exchanges.borrow().may_carry_more() {
                self.pipe.borrow_mut().drain();
            }
            self.tell(ticket, Ok(answered));
        } else {
            self.withdraw();
            self.held.borrow_mut().hold(ticket, answered);
        }
        true
    }

    /// Nothing can be written any more. What the other side said before that lies there to be read.
    fn stop_writing(&self) {
        self.withdraw();
        self.writing_failed.notify_one();
    }

    async fn write(self: Rc<Self>, mut output: WriteHalf<Stream>) {
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some((_, mut bytes)) = next else {
                self.more.notified().await;
                continue;
            };
            while !bytes.is_empty() {
                match output.write(&bytes).await {
                    Ok(n) if n > 0 => {
                        self.pipe.borrow_mut().wrote(n as u64);
                        bytes.advance(n);
                    }
                    _ => return self.stop_writing(),
                }
            }
            if output.flush().await.is_err() {
                return self.stop_writing();
            }
        }
    }

    async fn read(self: Rc<Self>, mut input: ReadHalf<Stream>) {
        let (mut buffer, mut announced) = (BytesMut::new(), false);
        let mut whole_by: Option<Instant> = None;
        loop {
            match parse(&mut buffer) {
                Ok(Some((answer, closes))) => {
                    announced |= closes;
                    whole_by = (!buffer.is_empty()).then(|| Instant::now() + ANSWER_WITHIN);
                    if !self.take(answer, closes) {
                        return self.end(Break::Unreadable);
                    }
                    continue;
                }
                Ok(None) => drop(self.begun.replace(Bytes::copy_from_slice(&buffer))),
                Err(Unreadable) => {
                    self.begun.replace(Bytes::copy_from_slice(&buffer));
                    return self.end(Break::Unreadable);
                }
            }
            // All that has come is read first: it may have the answer of a call that was given up.
            if self.pipe.borrow().is_spent() {
                return self.end(if self.held.borrow().is_empty() {
                    Break::CloseAnnounced
                } else {
                    Break::Cancelled
                });
            }
            let reading = async {
                tokio::select! {
                    biased;
                    read = input.read_buf(&mut buffer) => Some(read),
                    () = self.writing_failed.notified() => None,
                }
            };
            let read = match whole_by {
                Some(by) => timeout_at(by, reading).await.ok(),
                None => Some(reading.await),
            };
            match read {
                Some(Some(Ok(n))) if n > 0 => {
                    whole_by.get_or_insert(Instant::now() + ANSWER_WITHIN);
                }
                Some(None) => whole_by = Some(Instant::now() + ANSWER_WITHIN),
                _ if !buffer.is_empty() => return self.end(Break::AnswerCut),
                _ if announced => return self.end(Break::CloseAnnounced),
                _ => return self.end(Break::Written),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all(text: &str) -> Result<Vec<(u16, String, bool)>, Unreadable> {
        let (mut buffer, mut answers) = (BytesMut::from(text), Vec::new());
        while let Some((answer, closes)) = parse(&mut buffer)? {
            answers.push((
                answer.status.as_u16(),
                String::from_utf8_lossy(&answer.body).into_owned(),
                closes,
            ));
        }
        Ok(answers)
    }

    fn connection(pipe: Pipe<u64>, queued: &[(u64, &'static [u8])]) -> Connection {
        let queue = queued.iter().map(|(t, b)| (*t, Bytes::from_static(b))).collect();
        let connection = Connection::new(4, Box::new(|| {}));
        Connection { pipe: RefCell::new(pipe), queue: RefCell::new(queue), ..connection }
    }

    /// Guards a drain against a partner that answers what was not sent: what was answered is off the line, what waits
    /// is taken back, and nothing of either is written.
    #[test]
    fn a_call_answered_before_it_was_written_is_no_hindrance_to_a_drain() {
        let mut pipe = Pipe::new(4);
        pipe.push(1, 2, true);
        pipe.push(2, 3, true);
        assert_eq!(pipe.answered(false), Some((1, true)));
        let connection = connection(pipe, &[(1, b"ab"), (2, b"cde")]);
        connection.withdraw();
        assert!(connection.queue.borrow().is_empty());
        assert_eq!(connection.out(), 0);
    }

    /// Guards memory: each answer of a connection is remembered, so it carries no more than can be.
    #[test]
    fn a_connection_takes_no_more_calls_than_answers_can_be_remembered() {
        let connection = connection(Pipe::new(4), &[]);
        while connection.exchanges.borrow().may_carry_more() {
            assert!(connection.may_take(true));
            connection.exchanges.borrow_mut().requested();
        }
        assert!(connection.exchanges.borrow().requests() > 100);
        assert!(!connection.may_take(true) && !connection.is_open());
    }

    /// Guards answers behind one another: each ends where it says, in lengths or chunks, and what leaves its end open
    /// is no answer at all.
    #[test]
    fn answers_behind_one_another_end_where_they_say() {
        let text = "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi\
            HTTP/1.1 204 X\r\n\r\nHTTP/1.1 429 X\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n1;x=y\r\nc\r\n0\r\nt: 1\r\n\r\n\
            HTTP/1.1 500 X\r\nconnection: keep-alive, Close\r\ncontent-length: 0\r\n\r\n";
        let wanted = [(200, "hi", false), (204, "", false), (429, "abc", false), (500, "", true)];
        assert_eq!(all(text), Ok(wanted.map(|(s, b, c)| (s, b.to_string(), c)).to_vec()));
        // Cut off anywhere, what is whole is read and the rest waited for.
        for cut in 0..text.len() {
            let mut buffer = BytesMut::from(&text[..cut]);
            let mut whole = 0;
            while let Some((answer, _)) = parse(&mut buffer).expect("a part of an answer is no error") {
                assert_eq!(answer.body, wanted[whole].1);
                whole += 1;
            }
        }
        for bad in [
            "noise\r\n\r\n",
            "HTTP/1.1 200 OK\r\n\r\nopen end",
            "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 3000000000\r\n\r\n",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\n",
        ] {
            assert_eq!(all(bad), Err(Unreadable), "{bad:?}");
        }
        assert_eq!(all("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal"), Ok(vec![]));
    }
}
