//! Where callers connect, and the legs on which they talk.

use super::connection::Counted;
use super::network::{Listen, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A head that takes longer never comes.
const HEAD_WITHIN: Duration = Duration::from_secs(60);

/// One caller leg, as the service sees it.
pub struct Leg {
    close: Notify,
    /// Since when it has waited for a request; none while one is being answered.
    idle_since: Cell<Option<Instant>>,
    /// Bytes written to the caller so far.
    written: Rc<Cell<u64>>,
    /// An answer on which something hangs, and what had been written before it.
    promise: Cell<Option<(u64, u64)>>,
}

impl Leg {
    /// The answer that comes next makes a promise; `tag` names it.
    pub fn promises(&self, tag: u64) {
        self.promise.set(Some((tag, self.written.get())));
    }

    /// The promise of which not a byte has been written.
    pub fn unheard(&self) -> Option<u64> {
        self.promise.get().filter(|(_, before)| *before == self.written.get()).map(|(tag, _)| tag)
    }
}

/// All caller legs.
pub struct Legs {
    open: RefCell<BTreeMap<u64, Rc<Leg>>>,
    next: Cell<u64>,
    most: usize,
    freed: Notify,
    closing: Cell<bool>,
}

impl Legs {
    pub fn new(most: usize) -> Rc<Self> {
        let (open, next) = (RefCell::default(), Cell::new(0));
        Rc::new(Legs { open, next, most, freed: Notify::new(), closing: Cell::new(false) })
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
                self.close_one_idle();
                self.freed.notified().await;
            }
            let Ok(stream) = listener.accept().await else {
                // Out of descriptors: room comes when a leg ends.
                self.close_one_idle();
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            self.serve(stream, answer.clone(), gone.clone());
        }
    }

    /// Asks the leg that has been idle longest to close.
    fn close_one_idle(&self) {
        let open = self.open.borrow();
        let idle = open.values().filter_map(|leg| Some((leg.idle_since.get()?, leg)));
        if let Some((_, leg)) = idle.min_by_key(|(since, _)| *since) {
            leg.idle_since.set(None);
            leg.close.notify_one();
        }
    }

    fn serve<A, F, G>(self: &Rc<Self>, stream: Stream, answer: A, gone: G)
    where
        A: Fn(Rc<Leg>, Request<Incoming>) -> F + 'static,
        F: Future<Output = Response<Full<Bytes>>> + 'static,
        G: Fn(&Rc<Leg>) + 'static,
    {
        let (counted, written) = Counted::new(stream);
        let leg = Rc::new(Leg {
            close: Notify::new(),
            idle_since: Cell::new(Some(Instant::now())),
            written,
            promise: Cell::new(None),
        });
        let no = self.next.get();
        self.next.set(no + 1);
        self.open.borrow_mut().insert(no, leg.clone());
        let legs = self.clone();
        spawn_local(async move {
            let service = service_fn(|request| {
                leg.idle_since.set(None);
                let answered = answer(leg.clone(), request);
                let leg = leg.clone();
                async move {
                    let response = answered.await;
                    leg.idle_since.set(Some(Instant::now()));
                    Ok::<_, std::convert::Infallible>(response)
                }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEAD_WITHIN);
            // A caller that still comes has its one request answered: it would be turned away again.
            builder.keep_alive(!legs.closing.get());
            let mut connection = pin!(builder.serve_connection(TokioIo::new(counted), service));
            let mut closing = false;
            loop {
                tokio::select! {
                    _ = connection.as_mut() => break,
                    () = leg.close.notified(), if !closing => {
                        closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
            gone(&leg);
            legs.open.borrow_mut().remove(&no);
            legs.freed.notify_one();
        });
    }
}
