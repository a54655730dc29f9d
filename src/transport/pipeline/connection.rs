//! One HTTP/1.1 connection on which calls go out behind one another.

use crate::attribution::{Exchanges, Fingerprint, Verdict};
use crate::batching::fate::Break;
use crate::batching::pipe::{GivenUp, Pipe};
use crate::routing::message_log::Via;
use crate::transport::answer::{parse, Answer, Unreadable};
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

/// Why a call has no answer. `echo`: another call on the same connection has told of this break already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken {
    pub how: Break,
    pub echo: bool,
}

/// An answer, as the call hears it whose turn it was.
#[derive(Debug)]
pub struct Answered {
    pub answer: Answer,
    /// Whether it is known to be that of the call.
    pub verdict: Verdict,
    /// The connection's number in the log.
    pub connection: u64,
    /// The call's request was so manyth of its connection, from 1.
    pub request: usize,
}

type AnswerSender = oneshot::Sender<Result<Answered, Broken>>;

/// A connection and the calls on it.
pub(super) struct Connection {
    /// Its number in the log.
    number: u64,
    pipe: RefCell<Pipe<u64>>,
    exchanges: RefCell<Exchanges>,
    /// Calls of which not a byte has been written.
    queue: RefCell<VecDeque<(u64, Bytes)>>,
    more: Notify,
    waiting: RefCell<HashMap<u64, AnswerSender>>,
    next: Cell<u64>,
    idle_since: Cell<Instant>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Hears of an answer that came twice.
    on_surplus: Box<dyn Fn()>,
}

impl Connection {
    /// One that takes up to `depth` calls, on this stream; `on_surplus` is called for an answer that came twice.
    pub(super) fn start(stream: Stream, depth: usize, on_surplus: Box<dyn Fn()>) -> Rc<Connection> {
        let (input, output) = split(stream);
        let connection = Rc::new(Connection {
            number: next_number(),
            pipe: RefCell::new(Pipe::new(depth)),
            exchanges: RefCell::default(),
            queue: RefCell::default(),
            more: Notify::new(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            tasks: RefCell::default(),
            on_surplus,
        });
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
        self.pipe.borrow().is_open() && self.exchanges.borrow().has_room()
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

    /// The connection ends: each call that is out hears what is known of it.
    pub(super) fn end(&self, how: Break) {
        if self.pipe.borrow().has_ended() {
            return;
        }
        // It is closed before anybody hears of it: who does may call again elsewhere.
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
        let broke = self.pipe.borrow_mut().broke(how);
        self.queue.borrow_mut().clear();
        for (i, (ticket, how)) in broke.into_iter().enumerate() {
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                sender.send(Err(Broken { how, echo: i > 0 })).ok();
            }
        }
        // Those that were given up hear that it is over.
        self.waiting.borrow_mut().clear();
    }

    /// Nobody waits for this call's answer any more; the connection ends now where it is its turn.
    fn give_up(&self, ticket: u64) -> GivenUp {
        let given_up = self.pipe.borrow_mut().give_up(ticket);
        if given_up == GivenUp::Now {
            self.end(Break::Cancelled);
        }
        given_up
    }

    /// What has not begun does not go any more. An endpoint may have answered a call before it was written: that one
    /// is out no more.
    pub(super) fn withdraw(&self) {
        let queued = std::mem::take(&mut *self.queue.borrow_mut());
        for (ticket, bytes) in queued.into_iter().rev() {
            self.pipe.borrow_mut().take_back(ticket, bytes.len() as u64);
            if let Some(sender) = self.waiting.borrow_mut().remove(&ticket) {
                sender.send(Err(Broken { how: Break::Unwritten, echo: true })).ok();
            }
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
        if verdict.is_known() {
            exchanges.answered(&print);
        }
        verdict
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
                    _ => return self.end(Break::Written),
                }
            }
            if output.flush().await.is_err() {
                return self.end(Break::Written);
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
                    let answered = self.pipe.borrow_mut().answered(closes);
                    let Some((ticket, waited)) = answered else {
                        self.note_surplus(&answer);
                        return self.end(Break::Unreadable);
                    };
                    self.idle_since.set(Instant::now());
                    let verdict = self.judge(&answer);
                    if let Some(sender) = self.waiting.borrow_mut().remove(&ticket).filter(|_| waited) {
                        let request = ticket as usize + 1;
                        let connection = self.number;
                        sender.send(Ok(Answered { answer, verdict, connection, request })).ok();
                    }
                    if !verdict.is_known() {
                        return self.end(Break::Cancelled);
                    }
                    if self.pipe.borrow().is_spent() {
                        return self.end(Break::CloseAnnounced);
                    }
                    continue;
                }
                Ok(None) => {}
                Err(Unreadable) => return self.end(Break::Unreadable),
            }
            let reading = input.read_buf(&mut buffer);
            let read = match whole_by {
                Some(by) => timeout_at(by, reading).await.ok(),
                None => Some(reading.await),
            };
            match read {
                Some(Ok(n)) if n > 0 => {
                    whole_by.get_or_insert(Instant::now() + ANSWER_WITHIN);
                }
                _ if !buffer.is_empty() => return self.end(Break::AnswerCut),
                _ if announced => return self.end(Break::CloseAnnounced),
                _ => return self.end(Break::Written),
            }
        }
    }
}

/// A call on a connection; dropped before its answer, it is given up.
pub struct PendingCall {
    connection: Rc<Connection>,
    ticket: u64,
    answer: oneshot::Receiver<Result<Answered, Broken>>,
    done: bool,
}

impl PendingCall {
    /// The answer, once it has come whole, or what is known where none comes.
    pub async fn answer(&mut self) -> Result<Answered, Broken> {
        let answer = (&mut self.answer).await;
        self.done = true;
        answer.unwrap_or(Err(Broken { how: Break::Written, echo: false }))
    }

    /// Gives the call up, and returns once its connection has ended: until then it may run, and is not to be called again.
    pub async fn give_up(&mut self) {
        if self.connection.give_up(self.ticket) == GivenUp::InTurn {
            (&mut self.answer).await.ok();
        }
        self.done = true;
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.connection.waiting.borrow_mut().remove(&self.ticket);
        self.connection.give_up(self.ticket);
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
        Connection {
            number: 0,
            pipe: RefCell::new(pipe),
            exchanges: RefCell::default(),
            queue: RefCell::new(queued.iter().map(|(t, b)| (*t, Bytes::from_static(b))).collect()),
            more: Notify::new(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            tasks: RefCell::default(),
            on_surplus: Box::new(|| {}),
        }
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
        while connection.exchanges.borrow().has_room() {
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
