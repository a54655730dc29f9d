//! Where callers connect, and the legs on which they talk.

use super::connection::Tapped;
use super::network::{Listen, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

/// A head that has begun, or the first one of a leg, takes no longer.
const HEAD_WITHIN: Duration = Duration::from_secs(2);
/// A leg that has asked but once may never ask again; one that has asked more waits for its next request.
const ASKED_ONCE: Duration = Duration::from_millis(2_000);
const ASKED_MORE: Duration = Duration::from_secs(10);
/// Most bytes of a head.
const HEAD_MOST: usize = 16 * 1024;
/// A caller that still sends is closed only after it could read its answer: a reset would take that away.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MOST: usize = 256 * 1024;

/// One caller leg, as the service sees it.
pub struct Leg {
    close: Notify,
    evicted: Notify,
    /// Since when it has waited for a request; none while one is being answered.
    idle_since: Cell<Option<Instant>>,
    /// Requests heard.
    asked: Cell<u32>,
    /// Answered before its request had come whole: the caller may still be sending.
    cut: Cell<bool>,
    tap: Rc<Tapped>,
    /// An answer on which something hangs, and what had been written before it.
    promise: Cell<Option<(u64, u64)>>,
}

impl Leg {
    /// The answer that comes next makes a promise; `tag` names it.
    pub fn promises(&self, tag: u64) {
        self.promise.set(Some((tag, self.tap.written())));
    }

    /// The promise of which not a byte has been written.
    pub fn unheard(&self) -> Option<u64> {
        self.promise.get().filter(|(_, before)| *before == self.tap.written()).map(|(tag, _)| tag)
    }

    fn begins(&self) {
        self.idle_since.set(None);
        self.asked.set(self.asked.get().saturating_add(1));
    }

    fn rests(&self) {
        self.tap.listen_anew();
        self.idle_since.set(Some(Instant::now()));
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

    /// Completes when it has waited too long, or has to make room.
    async fn overstays(&self) {
        let waits = async {
            loop {
                let now = Instant::now();
                match self.idle_since.get().map(|since| self.due(since)) {
                    Some(due) if due <= now => return,
                    // Looked at again: a head may have begun meanwhile.
                    Some(due) => sleep_until(due.min(now + HEAD_WITHIN / 4)).await,
                    None => sleep_until(now + HEAD_WITHIN).await,
                }
            }
        };
        tokio::select! {
            () = waits => {}
            () = self.evicted.notified() => {}
        }
    }
}

/// All caller legs.
pub struct Legs {
    open: RefCell<BTreeMap<u64, Rc<Leg>>>,
    next: Cell<u64>,
    most: usize,
    /// From so many on, each new one has the one that has waited longest closed: callers, too, hold only so
    /// many, and those that ask once and stay would use them up.
    easy: usize,
    freed: Notify,
    closing: Cell<bool>,
}

impl Legs {
    pub fn new(most: usize, easy: usize) -> Rc<Self> {
        let (open, next) = (RefCell::default(), Cell::new(0));
        Rc::new(Legs { open, next, most, easy, freed: Notify::new(), closing: Cell::new(false) })
    }

    pub fn open(&self) -> usize {
        self.open.borrow().len()
    }

    /// From now on legs close as soon as they have no request.
    pub fn close_when_idle(&self) {
        self.closing.set(true);
        self.open.borrow().values().for_each(|leg| leg.close.notify_one());
    }

    /// Accepts callers; `answer` answers a request, `gone` is told of a leg that has ended.
    pub async fn accept<A, F, G>(self: Rc<Self>, listener: Box<dyn Listen>, answer: A, gone: G)
    where
        A: Fn(Rc<Leg>, Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = Response<Full<Bytes>>> + 'static,
        G: Fn(&Rc<Leg>) + Clone + 'static,
    {
        loop {
            while self.open() >= self.most {
                self.evict_one();
                self.freed.notified().await;
            }
            let Ok(stream) = listener.accept().await else {
                // Out of descriptors: room comes when a leg ends.
                self.evict_one();
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            if self.open() >= self.easy {
                self.evict_one();
            }
            self.serve(stream, answer.clone(), gone.clone());
        }
    }

    /// Makes room: first go those that have never asked, then whichever has waited longest.
    fn evict_one(&self) {
        let open = self.open.borrow();
        let rank = |leg: &Rc<Leg>| Some((leg.asked.get() > 0, leg.idle_since.get()?));
        let waiting = open.values().filter_map(|leg| Some((rank(leg)?, leg)));
        if let Some((_, leg)) = waiting.min_by_key(|(rank, _)| *rank) {
            leg.idle_since.set(None);
            leg.evicted.notify_one();
        }
    }

    fn serve<A, F, G>(self: &Rc<Self>, stream: Stream, answer: A, gone: G)
    where
        A: Fn(Rc<Leg>, Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Full<Bytes>>> + 'static,
        G: Fn(&Rc<Leg>) + 'static,
    {
        let (stream, tap) = Tapped::new(stream, u64::MAX);
        let leg = Rc::new(Leg {
            close: Notify::new(),
            evicted: Notify::new(),
            idle_since: Cell::new(Some(Instant::now())),
            asked: Cell::new(0),
            cut: Cell::new(false),
            tap,
            promise: Cell::new(None),
        });
        let no = self.next.get();
        self.next.set(no + 1);
        self.open.borrow_mut().insert(no, leg.clone());
        let legs = self.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                leg.begins();
                let answered = answer(leg.clone(), request);
                let leg = leg.clone();
                Box::pin(async move {
                    let response = answered.await;
                    leg.cut.set(response.headers().contains_key(CONNECTION));
                    leg.rests();
                    Ok::<_, std::convert::Infallible>(response)
                })
            });
            let mut builder = http1::Builder::new();
            builder.max_buf_size(HEAD_MOST).header_read_timeout(None);
            // A caller that still comes has its one request answered: it would be turned away again.
            builder.keep_alive(!legs.closing.get());
            let mut connection = builder.serve_connection(TokioIo::new(stream), service);
            let mut closing = false;
            let ended = loop {
                tokio::select! {
                    ended = poll_fn(|cx| connection.poll_without_shutdown(cx)) => break Some(ended),
                    () = leg.overstays() => break None,
                    () = leg.close.notified(), if !closing => {
                        closing = true;
                        std::pin::Pin::new(&mut connection).graceful_shutdown();
                    }
                }
            };
            gone(&leg);
            // All else is over with its last byte: a leg that lingers holds room that others need.
            if let Some(ended) = ended {
                leg.idle_since.set(Some(Instant::now()));
                let within = if leg.cut.get() || ended.is_err() { LINGER } else { Duration::ZERO };
                tokio::select! {
                    () = part(connection.into_parts().io.into_inner(), within) => {}
                    () = leg.evicted.notified() => {}
                }
            }
            legs.open.borrow_mut().remove(&no);
            legs.freed.notify_one();
        });
    }
}

/// Ends our sending, and the connection once the caller has ended its own or had time to hear us.
async fn part(mut stream: super::connection::TappedStream, within: Duration) {
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
