//! Where callers connect, and the legs on which they talk.

use super::door::{Door, Entrant};
use super::network::{Listen, Stream};
use super::tap::{Tapped, TappedStream};
use crate::admission::Deed;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// A head that has begun, or the first one of a leg, takes no longer.
const HEAD_WITHIN: Duration = Duration::from_secs(2);
/// A leg that has asked but once may never ask again; one that has asked more waits for its next request.
const ASKED_ONCE: Duration = Duration::from_millis(2_000);
const ASKED_MORE: Duration = Duration::from_secs(10);
/// Most bytes of a head.
const HEAD_MOST: usize = 16 * 1024;
/// A caller that still sends, or may not have read its last answer, is closed only after it could read it: a reset, by
/// which the system answers what crosses a close, would take that away.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 256 * 1024;
/// Legs whose callers are sent away are closed once they have rested so long: their callers have been told with an answer
/// by then, or do not use them.
const SENT_AWAY_AFTER: Duration = Duration::from_millis(400);
/// The same where others wait for its descriptor.
const LINGER_EVICTED: Duration = Duration::from_millis(30);

/// One caller leg, as the service sees it.
pub struct Leg {
    close: Notify,
    entrant: Rc<Entrant>,
    /// Since when it has waited for a request; none while one is being answered.
    idle_since: Cell<Option<Instant>>,
    /// Requests heard.
    asked: Cell<u32>,
    /// Answered before its request had come whole: the caller may still be sending.
    cut: Cell<bool>,
    /// When its last answer was given.
    answered_at: Cell<Option<Instant>>,
    tap: Rc<Tapped>,
    /// An answer on which something hangs, and what had been written before it.
    promise: Cell<Option<(u64, u64)>>,
}

impl Leg {
    /// The answer that comes next makes a promise; `tag` names it.
    pub fn promises(&self, tag: u64) {
        self.promise.set(Some((tag, self.tap.written())));
    }

    /// Where its client is.
    pub fn address(&self) -> IpAddr {
        self.entrant.address()
    }

    /// Whether its client is known.
    pub fn is_known(&self) -> bool {
        self.entrant.is_known()
    }

    /// The promise of which not a byte has been written.
    pub fn unheard(&self) -> Option<u64> {
        self.promise.get().filter(|(_, before)| *before == self.tap.written()).map(|(tag, _)| tag)
    }

    fn begins(&self) {
        self.entrant.asked();
        self.idle_since.set(None);
        self.asked.set(self.asked.get().saturating_add(1));
    }

    fn rests(&self, deed: Deed) {
        self.tap.listen_anew();
        let now = Some(Instant::now());
        self.idle_since.set(now);
        self.answered_at.set(now);
        if self.entrant.answered(deed) {
            self.close.notify_one();
        }
    }

    /// Until when the next request may come whole.
    fn due(&self, since: Instant) -> Instant {
        match (self.tap.heard_at(), self.asked.get()) {
            (_, 0) => since + HEAD_WITHIN,
            (Some(begun), _) => begun + HEAD_WITHIN,
            (None, 1) => since + ASKED_ONCE,
            (None, _) => since + ASKED_MORE,
        }
    }

    /// For how long after its last byte it is read on, so that its caller hears us. `broke`: by what could not be read.
    fn lingers(&self, broke: bool) -> Duration {
        let answered = self.answered_at.get().map_or(LINGER, |at| at.elapsed());
        match self.cut.get() || broke {
            true => LINGER,
            false => LINGER.saturating_sub(answered),
        }
    }

    /// For how long it has waited for a request of which nothing has come.
    fn rested(&self) -> Duration {
        let since = self.idle_since.get().filter(|_| self.tap.heard_at().is_none());
        since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    /// Completes when it has waited too long.
    async fn overstays(&self) {
        loop {
            let now = Instant::now();
            match self.idle_since.get().map(|since| self.due(since)) {
                Some(due) if due <= now => return,
                // Looked at again: a head may have begun meanwhile.
                Some(due) => sleep_until(due.min(now + HEAD_WITHIN / 4)).await,
                None => sleep_until(now + HEAD_WITHIN).await,
            }
        }
    }
}

/// Why a client connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientEnd {
    /// Its last request is answered, or its client ended it.
    Done,
    /// What came could not be read, or the connection broke.
    Broken,
    /// It waited too long for a request, or for the rest of a head.
    Overstayed,
    /// Another one needs its room.
    Evicted,
}

/// What an answer says of its request.
fn deed(status: StatusCode) -> Deed {
    match status {
        StatusCode::ACCEPTED => Deed::Good,
        // A client that says again what it said before is no bad one.
        StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS => Deed::Neutral,
        s if s.is_client_error() => Deed::Junk,
        _ => Deed::Neutral,
    }
}

/// The caller legs of one listener.
pub struct Legs {
    door: Rc<Door>,
    /// Told to a caller that is turned away before it has asked.
    words: RefCell<Bytes>,
    open: RefCell<Vec<Weak<Leg>>>,
    closing: Cell<bool>,
    /// Each answer is the last one of its leg.
    sends_away: Cell<bool>,
}

impl Legs {
    pub fn new(door: Rc<Door>, words: Bytes) -> Rc<Self> {
        let (open, words) = (RefCell::default(), RefCell::new(words));
        Rc::new(Legs { door, words, open, closing: Cell::new(false), sends_away: Cell::new(false) })
    }

    pub fn open(&self) -> usize {
        self.open.borrow().iter().filter(|leg| leg.strong_count() > 0).count()
    }

    /// Other words for those who are turned away.
    pub fn say(&self, words: Bytes) {
        *self.words.borrow_mut() = words;
    }

    /// From now on legs close as soon as they have no request.
    pub fn close_when_idle(&self) {
        self.closing.set(true);
        self.open.borrow().iter().filter_map(Weak::upgrade).for_each(|leg| leg.close.notify_one());
    }

    /// Sends callers away, or has them stay again: each answer says that it is the last one of its leg, and those that
    /// rest are closed a little later, when few requests can cross that.
    pub async fn send_away(&self, away: bool) {
        self.sends_away.set(away);
        while self.sends_away.get() && self.open() > 0 {
            sleep(SENT_AWAY_AFTER / 4).await;
            let legs: Vec<Rc<Leg>> = self.open.borrow().iter().filter_map(Weak::upgrade).collect();
            legs.iter().filter(|leg| leg.rested() >= SENT_AWAY_AFTER).for_each(|leg| leg.close.notify_one());
        }
    }

    /// Accepts callers; `answer` answers a request, `gone` is told of a leg that has ended.
    pub async fn accept<A, F, G>(self: Rc<Self>, listener: Box<dyn Listen>, answer: A, gone: G)
    where
        A: Fn(Rc<Leg>, Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Full<Bytes>>> + 'static,
        G: Fn(&Rc<Leg>) + Clone + 'static,
    {
        loop {
            let words = self.words.borrow().clone();
            let (stream, entrant) = self.door.next(&*listener, &words).await;
            let (legs, answer, gone) = (self.clone(), answer.clone(), gone.clone());
            spawn_local(async move {
                let stream = tokio::select! {
                    stream = legs.door.introduce(&entrant, stream, &words) => stream,
                    () = entrant.evicted() => None,
                };
                if let Some(stream) = stream {
                    legs.clone().serve(stream, entrant, answer, gone).await;
                }
            });
        }
    }

    /// Enters a leg in the list; those that have ended leave it, all at once each time it has doubled.
    fn list(&self, leg: &Rc<Leg>) {
        let mut open = self.open.borrow_mut();
        if open.len() == open.capacity() {
            open.retain(|leg| leg.strong_count() > 0);
        }
        open.push(Rc::downgrade(leg));
    }

    async fn serve<A, F, G>(self: Rc<Self>, stream: Stream, entrant: Rc<Entrant>, answer: A, gone: G)
    where
        A: Fn(Rc<Leg>, Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Full<Bytes>>> + 'static,
        G: Fn(&Rc<Leg>) + 'static,
    {
        let (stream, tap) = Tapped::new(stream, u64::MAX, 0);
        let leg = Rc::new(Leg {
            close: Notify::new(),
            entrant: entrant.clone(),
            idle_since: Cell::new(Some(Instant::now())),
            asked: Cell::new(0),
            cut: Cell::new(false),
            answered_at: Cell::new(None),
            tap,
            promise: Cell::new(None),
        });
        self.list(&leg);
        let service = service_fn(|request| {
            leg.begins();
            let answered = answer(leg.clone(), request);
            let (leg, legs) = (leg.clone(), self.clone());
            Box::pin(async move {
                let mut response = answered.await;
                leg.cut.set(response.headers().contains_key(CONNECTION));
                if legs.sends_away.get() {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                leg.rests(deed(response.status()));
                Ok::<_, std::convert::Infallible>(response)
            })
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_MOST).header_read_timeout(None);
        // A caller that still comes has its one request answered: it would be turned away again.
        builder.keep_alive(!self.closing.get());
        let mut connection = builder.serve_connection(TokioIo::new(stream), service);
        let (mut closing, mut parting) = (false, false);
        // For how long it is read on after our last byte, and why it ends.
        let (within, why) = loop {
            tokio::select! {
                // What has come is looked at before the leg may be closed: a request that crossed the word
                // to close is answered.
                biased;
                ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => {
                    break (leg.lingers(ended.is_err()), if ended.is_err() { ClientEnd::Broken } else { ClientEnd::Done });
                }
                () = leg.overstays() => {
                    if leg.asked.get() == 0 {
                        entrant.deed(Deed::Junk);
                    }
                    break (Duration::ZERO, ClientEnd::Overstayed);
                }
                () = entrant.evicted(), if !closing && !parting => parting = true,
                // What a new leg says with its first packet is only known to the loop after a turn of it.
                () = tokio::task::yield_now(), if parting => {
                    if leg.idle_since.get().is_some() {
                        break (leg.lingers(false).min(LINGER_EVICTED), ClientEnd::Evicted);
                    }
                    (closing, parting) = (true, false);
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
                () = leg.close.notified(), if !closing => {
                    closing = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
        };
        gone(&leg);
        let (from, requests) = (entrant.address().to_string(), leg.asked.get());
        tracing::debug!(target: "admission", event = "client-closed", from, requests, ?why);
        if why == ClientEnd::Broken {
            entrant.deed(Deed::Junk);
        }
        // All else is over with its last byte: a leg that lingers holds room that others need.
        entrant.lingers();
        tokio::select! {
            () = part(connection.into_parts().io.into_inner(), within) => {}
            () = entrant.evicted() => {}
        }
    }
}

/// Ends our sending, and the connection once the caller has ended its own or had time to hear us.
async fn part(mut stream: TappedStream, within: Duration) {
    if stream.shutdown().await.is_err() || within.is_zero() {
        return;
    }
    let listening = async {
        let (mut left, mut sink) = (LINGER_MOST, [0; 4096]);
        while left > 0 {
            match stream.read(&mut sink).await {
                Ok(0) | Err(_) => return,
                Ok(n) => left = left.saturating_sub(n),
            }
        }
        std::future::pending().await
    };
    timeout(within, listening).await.ok();
}
