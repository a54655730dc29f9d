//! A discovery that answers as it is told, over a network in memory, and whoever takes the lists in.

use basaltloom::catalog::Endpoint;
use basaltloom::polling::{PollSchedule, Terms};
use basaltloom::protocol::discovery::{follow, Committed, ListArrival, ListLimits, ListReceiver, Names};
use basaltloom::transport::network::{Listen, Network, Soon, Spare, Stream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, Instant};
use tracing::field::{Field, Visit};
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::{Layer, Registry};

pub fn names() -> Names {
    let named = |names: [&str; 2]| names.map(str::to_string).to_vec();
    Names { kinds: named(["m1", "m2"]), zones: named(["a", "b"]) }
}

pub fn entry(host: &str, health: &str) -> String {
    format!(
        r#"{{"host":"{host}","dial":"10.1.0.1:5000","site":"a","class":"m2","block":3,"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

pub fn whole(seq: u64, entries: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// A list with so many entries.
pub fn long(seq: u64, entries: usize) -> String {
    whole(seq, &(0..entries).map(|i| entry(&format!("s-{i:08x}"), "active")).collect::<Vec<_>>())
}

/// What discovery does with a question.
#[derive(Clone)]
pub enum Reply {
    /// A list with its length before it.
    List(String),
    /// A list in chunks, its length not told.
    Chunked(String),
    /// Its head alone, with so many bytes announced.
    Announced(u64),
    /// A list that ends after so many bytes, and the connection with it.
    Cut(String, usize),
    /// A list, so many bytes of it every so often.
    Paced(String, usize, Duration),
    /// A list, and nothing more after so many bytes of it.
    Stalled(String, usize),
    /// A list, so long after it could be.
    Late(String, Duration),
    /// Nothing, for the time of a watch.
    Unchanged(u64),
    Silence,
}

async fn reply(reply: Reply, hold: Duration, stream: &mut DuplexStream) -> io::Result<()> {
    let head = |size: u64| format!("HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n");
    match reply {
        Reply::List(list) => stream.write_all((head(list.len() as u64) + &list).as_bytes()).await,
        Reply::Late(list, late) => {
            sleep(late).await;
            stream.write_all((head(list.len() as u64) + &list).as_bytes()).await
        }
        Reply::Chunked(list) => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
            for piece in list.as_bytes().chunks(1000) {
                stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).await?;
                stream.write_all(piece).await?;
                stream.write_all(b"\r\n").await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        }
        Reply::Announced(size) => {
            stream.write_all(head(size).as_bytes()).await?;
            std::future::pending().await
        }
        Reply::Cut(list, end) => {
            stream.write_all((head(list.len() as u64) + &list[..end]).as_bytes()).await?;
            Err(io::ErrorKind::ConnectionReset.into())
        }
        Reply::Paced(list, bytes, pause) => {
            stream.write_all(head(list.len() as u64).as_bytes()).await?;
            for piece in list.as_bytes().chunks(bytes) {
                stream.write_all(piece).await?;
                sleep(pause).await;
            }
            Ok(())
        }
        Reply::Stalled(list, end) => {
            stream.write_all((head(list.len() as u64) + &list[..end]).as_bytes()).await?;
            std::future::pending().await
        }
        Reply::Unchanged(seq) => {
            sleep(hold).await;
            let list = format!(r#"{{"seq":{seq},"whole":false,"hosts":[]}}"#);
            stream.write_all((head(list.len() as u64) + &list).as_bytes()).await
        }
        Reply::Silence => std::future::pending().await,
    }
}

/// Discovery, and the network that leads to it.
pub struct Discovery {
    /// From the number of the question, from 0, and the version that it names.
    answers: Box<dyn Fn(usize, Option<u64>) -> Reply>,
    /// When it was asked.
    pub asked: RefCell<Vec<Instant>>,
}

impl Discovery {
    async fn serve(self: Rc<Self>, mut stream: DuplexStream) -> io::Result<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let head = String::from_utf8_lossy(&head).into_owned();
            let field = |name: &str| -> Option<u64> {
                head.split_once(name)?.1.split(['&', ' ']).next()?.parse().ok()
            };
            let (from, hold) = (field("from="), Duration::from_millis(field("hold_ms=").unwrap_or(0)));
            let place = self.asked.borrow().len();
            self.asked.borrow_mut().push(Instant::now());
            reply((self.answers)(place, from), hold, &mut stream).await?;
        }
    }

    /// Seconds from each question to the next.
    pub fn gaps(&self) -> Vec<f64> {
        self.asked.borrow().windows(2).map(|w| (w[1] - w[0]).as_secs_f64()).collect()
    }
}

struct Leads(Rc<Discovery>);

impl Network for Leads {
    fn connect(&self, _: SocketAddr) -> Soon<'_, Stream> {
        let (ours, theirs) = duplex(64 * 1024);
        let discovery = self.0.clone();
        spawn_local(async move { drop(discovery.serve(theirs).await) });
        Box::pin(async move { Ok(Box::new(ours) as Stream) })
    }

    fn listen(&self, _: SocketAddr) -> Soon<'_, Box<dyn Listen>> {
        Box::pin(async { Err(io::ErrorKind::Unsupported.into()) })
    }

    fn spare(&self) -> io::Result<Spare> {
        Ok(Box::new(()))
    }
}

/// A list of this version finds another one in its place.
pub const SUPERSEDED: u64 = 13;

/// A list that was put in force: its version, whether it is whole, and the names in it.
pub type Taken = (u64, bool, Vec<String>);

/// Takes lists in, and counts.
#[derive(Default)]
pub struct Received {
    pub taken: RefCell<Vec<Taken>>,
    /// When each was taken.
    pub times: RefCell<Vec<Instant>>,
    /// Entries held in drafts.
    pub held: Rc<Cell<usize>>,
    /// Entries since the event loop had its last turn, and the most of them.
    pub in_turn: Cell<(usize, usize)>,
    pub came: Notify,
}

impl Received {
    pub fn versions(&self) -> Vec<u64> {
        self.taken.borrow().iter().map(|(seq, ..)| *seq).collect()
    }
}

pub struct Draft(Vec<String>, Rc<Cell<usize>>);

impl Drop for Draft {
    fn drop(&mut self) {
        self.1.set(self.1.get() - self.0.len());
    }
}

#[derive(Clone)]
struct Receiver(Rc<Received>);

impl ListReceiver for Receiver {
    type Draft = Draft;

    async fn begin(&self) -> Draft {
        Draft(Vec::new(), self.0.held.clone())
    }

    fn entry(&self, draft: &mut Draft, endpoint: Endpoint) {
        draft.0.push(endpoint.name);
        self.0.held.set(self.0.held.get() + 1);
        let (now, most) = self.0.in_turn.get();
        self.0.in_turn.set((now + 1, most.max(now + 1)));
        self.0.came.notify_one();
    }

    async fn commit(&self, draft: Draft, list: ListArrival) -> Committed {
        self.0.taken.borrow_mut().push((list.seq, list.whole, draft.0.clone()));
        self.0.times.borrow_mut().push(Instant::now());
        match list.seq {
            SUPERSEDED => Committed::Superseded,
            _ => Committed::InForce,
        }
    }
}

/// An event of the log: its fields as text.
pub type Told = BTreeMap<String, String>;

/// What the log was told.
#[derive(Clone, Default)]
pub struct Log(Arc<Mutex<Vec<Told>>>);

impl Log {
    /// The events of this name.
    pub fn of(&self, event: &str) -> Vec<Told> {
        self.0.lock().unwrap().iter().filter(|t| t["event"] == event).cloned().collect()
    }

    /// The names of all events, in order.
    pub fn events(&self) -> Vec<String> {
        self.0.lock().unwrap().iter().map(|t| t["event"].clone()).collect()
    }
}

impl<S: tracing::Subscriber> Layer<S> for Log {
    fn on_event(&self, event: &tracing::Event<'_>, _: Context<'_, S>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        if fields.0.contains_key("event") {
            fields.0.insert("target".to_string(), event.metadata().target().to_string());
            self.0.lock().unwrap().push(fields.0);
        }
    }
}

#[derive(Default)]
struct Fields(Told);

impl Visit for Fields {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().to_string(), value.to_string());
    }

    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.0.insert(field.name().to_string(), format!("{value:?}"));
    }
}

/// What came of following a discovery for a while.
pub struct Followed {
    pub discovery: Rc<Discovery>,
    pub received: Rc<Received>,
    pub log: Log,
    pub began: Instant,
}

/// How the list is followed.
pub struct How {
    pub cap: usize,
    pub terms: Terms,
    pub relays: u32,
    pub seed: u64,
}

/// New work to an endpoint that drains has to stop so long after that counts as told.
pub const GRACE: Duration = Duration::from_secs(1);

/// A relay whose list is pushed to its machine: it watches.
pub const WATCHES: How =
    How { cap: 1_000_000, terms: Terms { within: None, grace: GRACE }, relays: 2, seed: 7 };
/// One of a hundred that look the list up.
pub const LOOKS_UP: How = How {
    cap: 1_000_000,
    terms: Terms { within: Some(Duration::from_secs(10)), grace: GRACE },
    relays: 100,
    seed: 7,
};

/// Follows a discovery that answers so, for so long, in paused time.
pub fn followed(how: How, seconds: u64, answers: impl Fn(usize, Option<u64>) -> Reply + 'static) -> Followed {
    let log = Log::default();
    let _told = tracing::subscriber::set_default(Registry::default().with(log.clone()));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.unwrap(), async {
        let discovery = Rc::new(Discovery { answers: Box::new(answers), asked: RefCell::default() });
        let received = Rc::new(Received::default());
        let began = Instant::now();
        let (_agent, agent) = watch::channel(Some(SocketAddr::from(([10, 0, 0, 2], 8500))));
        let asking = PollSchedule::new(how.relays, how.terms, how.seed);
        let limits = ListLimits { bytes: how.cap };
        let net = Rc::new(Leads(discovery.clone()));
        let following = follow(net, agent, names(), asking, None, limits, Receiver(received.clone()));
        let turns = received.clone();
        let spinning = async move {
            loop {
                turns.came.notified().await;
                turns.in_turn.set((0, turns.in_turn.get().1));
            }
        };
        let spinning = spawn_local(spinning);
        drop(tokio::time::timeout(Duration::from_secs(seconds), following).await);
        spinning.abort();
        Followed { discovery, received, log, began }
    })
}
