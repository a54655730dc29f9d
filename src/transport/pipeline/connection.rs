//! One HTTP/1.1 connection on which calls go out behind one another.
//!
//! From the first answer on that may be another call's, each later one may belong to any call before its place. The connection
//! takes nothing new then, reads on, and holds those answers back until it ends, so that each call hears its own with
//! all that came behind it.

use super::held::{Broken, Heard, HeldAnswers};
use super::pending::PendingCall;
use crate::attribution::Via;
use crate::attribution::{Exchanges, Fingerprint, Verdict};
use crate::batching::fate::Break;
use crate::batching::pipe::{GivenUp, Pipe};
use crate::memory::{Allowance, SMALL_BYTES};
use crate::transport::answer::{parse, Answer, Answered, Unreadable};
use crate::transport::beginning::Beginning;
use crate::transport::connection::{next_number, ANSWER_WITHIN, GIVEN_UP_WITHIN, HEARD_OUT_WITHIN};
use crate::transport::network::Stream;
use crate::transport::tap::ANSWER_COPIES;
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
    taken_back: RefCell<Vec<u64>>,
    idle_since: Cell<Instant>,
    /// What is read on is read by then, once nothing more is written.
    read_by: Cell<Option<Instant>>,
    writing_ends: Notify,
    reading_ends: Notify,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Hears of an answer that came twice.
    on_surplus: Box<dyn Fn()>,
    /// For answers that are being read or held back.
    allowance: Allowance,
}

impl Connection {
    fn new(depth: usize, allowance: Allowance, on_surplus: Box<dyn Fn()>) -> Connection {
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
            taken_back: RefCell::default(),
            idle_since: Cell::new(Instant::now()),
            read_by: Cell::new(None),
            writing_ends: Notify::new(),
            reading_ends: Notify::new(),
            tasks: RefCell::default(),
            on_surplus,
            allowance,
        }
    }

    /// One that takes up to `depth` calls, on this stream; `on_surplus` is called for an answer that came twice.
    pub(super) fn start(
        stream: Stream,
        depth: usize,
        allowance: Allowance,
        on_surplus: Box<dyn Fn()>,
    ) -> Rc<Connection> {
        let (input, output) = split(stream);
        let connection = Rc::new(Connection::new(depth, allowance, on_surplus));
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

    /// Whether nothing is out, and no answer is held back.
    pub(super) fn is_idle(&self) -> bool {
        self.out() == 0 && self.held.borrow().is_empty()
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
        Via { connection: self.number, request: self.place_of(self.next.get()) }
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

    /// Nobody waits for this call's answer any more; the connection ends where it is its turn, or where its answer is one of
    /// those that are held back.
    pub(super) fn give_up(&self, ticket: u64) {
        if self.take_back(ticket) {
            return;
        }
        // The rest of a call that is half written would still go out, and it would run.
        if !self.pipe.borrow().is_written(ticket) {
            return self.end(Break::Cancelled);
        }
        let given_up = self.pipe.borrow_mut().give_up(ticket);
        let is_held = given_up == GivenUp::Gone && self.waiting.borrow().contains_key(&ticket);
        if given_up == GivenUp::Now || is_held {
            self.hang_up(GIVEN_UP_WITHIN);
        }
    }

    /// Ends our sending, which gives up all that is out. What the other side has still said is heard until it closes, or for
    /// so long.
    fn hang_up(&self, within: Duration) {
        self.withdraw();
        if !self.pipe.borrow().is_all_written() {
            return self.end(Break::Cancelled);
        }
        self.exchanges.borrow_mut().given_up();
        self.read_until(within);
        self.writing_ends.notify_one();
    }

    /// Reads on for so long at the most.
    fn read_until(&self, within: Duration) {
        let by = Instant::now() + within;
        self.read_by.set(Some(self.read_by.get().map_or(by, |earlier| earlier.min(by))));
        self.reading_ends.notify_one();
    }

    /// The same where nobody is there to hear of it.
    pub(super) fn forget(&self, ticket: u64) {
        self.waiting.borrow_mut().remove(&ticket);
        self.give_up(ticket);
    }

    /// Whether all of this call was passed to the system.
    pub(super) fn is_written(&self, ticket: u64) -> bool {
        self.pipe.borrow().is_written(ticket)
    }

    /// Takes a call back that has not begun; false where it has.
    fn take_back(&self, ticket: u64) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some(at) = queue.iter().position(|(queued, _)| *queued == ticket) else { return false };
        if let Some((_, bytes)) = queue.remove(at) {
            // An endpoint may have answered a call before it was written: that one is out no more.
            if self.pipe.borrow_mut().take_back(ticket, bytes.len() as u64) {
                self.exchanges.borrow_mut().taken_back();
                self.taken_back.borrow_mut().push(ticket);
            }
        }
        drop(queue);
        let how = Break::Unwritten;
        self.tell(ticket, Err(Broken { how, echo: true, beginning: Beginning::Nothing }));
        true
    }

    /// Takes nothing new, and takes back what has not begun.
    pub(super) fn withdraw(&self) {
        self.pipe.borrow_mut().drain();
        let queued: Vec<u64> = self.queue.borrow().iter().map(|(ticket, _)| *ticket).collect();
        for ticket in queued.into_iter().rev() {
            self.take_back(ticket);
        }
    }

    /// An answer came without a call. One with a status of its own may well speak of the connection, as 408 does.
    fn note_surplus(&self, answer: &Answer) {
        if !self.exchanges.borrow().is_new_status(answer.status.as_u16()) {
            (self.on_surplus)();
        }
    }

    /// Gives up the calls of a connection that has nothing more to do, where an answer may still be on its way: behind one that
    /// may be another call's, or to a call that was given up. Returns whether there is anything to wait for.
    fn read_on(&self) -> bool {
        if self.read_by.get().is_none() && !self.is_idle() {
            let is_doubtful = !self.held.borrow().is_empty();
            self.hang_up(if is_doubtful { HEARD_OUT_WITHIN } else { GIVEN_UP_WITHIN });
        }
        !self.is_idle()
    }

    /// The place of a call's request on the connection, from 1: those that were taken back have none.
    fn place_of(&self, ticket: u64) -> usize {
        let before = self.taken_back.borrow().iter().filter(|other| **other < ticket).count();
        ticket as usize + 1 - before
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
            let is_held = !self.held.borrow().is_empty();
            if is_held {
                self.held.borrow_mut().hold_surplus(answer);
            }
            return is_held;
        };
        self.idle_since.set(Instant::now());
        let request = self.place_of(ticket);
        let verdict = self.judge(&answer);
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

    /// Whether so much of an answer may be kept, beside those that are held back.
    fn has_memory_for(&self, buffered: usize) -> bool {
        let held = self.held.borrow().bytes();
        if held == 0 && buffered <= SMALL_BYTES {
            self.allowance.reset();
        }
        self.allowance.covers(held + buffered * ANSWER_COPIES)
    }

    /// Nothing can be written any more. What the other side said before that lies there to be read.
    fn stop_writing(&self) {
        self.withdraw();
        self.read_until(ANSWER_WITHIN);
    }

    async fn write(self: Rc<Self>, mut output: WriteHalf<Stream>) {
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some((_, mut bytes)) = next else {
                tokio::select! {
                    () = self.more.notified() => continue,
                    () = self.writing_ends.notified() => return drop(output.shutdown().await),
                }
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
            if self.pipe.borrow().is_spent() && !self.read_on() {
                return self.end(Break::CloseAnnounced);
            }
            let reading = async {
                tokio::select! {
                    biased;
                    read = input.read_buf(&mut buffer) => Some(read),
                    () = self.reading_ends.notified() => None,
                }
            };
            let read = match whole_by.into_iter().chain(self.read_by.get()).min() {
                Some(by) => timeout_at(by, reading).await.ok(),
                None => Some(reading.await),
            };
            match read {
                Some(Some(Ok(n))) if n > 0 => {
                    if !self.has_memory_for(buffer.len()) {
                        return self.end(Break::AnswerCut);
                    }
                    whole_by.get_or_insert(Instant::now() + ANSWER_WITHIN);
                }
                Some(None) => {}
                _ if !buffer.is_empty() => return self.end(Break::AnswerCut),
                _ if announced => return self.end(Break::CloseAnnounced),
                _ => return self.end(Break::Written),
            }
        }
    }
}

#[cfg(test)]
mod tests;
