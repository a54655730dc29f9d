//! The platform's front: callers hand messages in, next hops take them, ends go out as notices.

mod ends;
mod intake;

pub use ends::tell_ends;
pub use intake::answer;

use intake::BODY_MOST;

use super::hook;
use crate::batching::fate::{fate, Break, Fate};
use crate::catalog::Endpoint;
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Letter, Piping};
use crate::routing::desk::Passage;
use crate::routing::{Desk, EndpointId, Front, Reply, TransactionNo};
use crate::transport::connection::{read_body, Unsent, ANSWER_WITHIN};
use crate::transport::network::Net;
use crate::transport::pipeline::{Broken, Pipelines};
use crate::transport::pool::{Lease, NoLease};
use crate::transport::{Line, Pool};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::{HeaderMap, Request, StatusCode};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What holds for requests of a class that do not say it themselves.
#[derive(Clone, Copy, Debug, Default)]
pub struct Defaults {
    pub dest: Option<u64>,
    pub time_left: Option<Nanos>,
}

/// The classes as paths name them.
#[derive(Clone, Debug, Default)]
pub struct Classes {
    pub names: Vec<String>,
    pub defaults: Vec<Defaults>,
    /// For paths that begin like none of them.
    pub rest: Option<usize>,
    /// The longest time that a message may be given; 0: any.
    pub longest: Nanos,
}

pub struct Platform {
    /// For discovery and notices.
    pub net: Net,
    pub pool: Rc<Pool>,
    /// For next hops that take calls behind one another.
    pub pipelines: Pipelines,
    pub classes: Classes,
    /// Where discovery and notices are, which may change.
    pub agent: watch::Sender<Option<SocketAddr>>,
    /// Whether callers are sent away.
    pub draining: watch::Sender<bool>,
    owed: RefCell<VecDeque<TransactionNo>>,
    more_owed: Notify,
}

impl Platform {
    pub fn new(
        net: Net,
        pool: Rc<Pool>,
        pipelines: Pipelines,
        classes: Classes,
        agent: Option<SocketAddr>,
    ) -> Self {
        let (owed, more_owed) = (RefCell::default(), Notify::new());
        let (agent, draining) = (watch::Sender::new(agent), watch::Sender::new(false));
        Platform { net, pool, pipelines, classes, agent, draining, owed, more_owed }
    }
}

impl Front for Platform {
    const NAME: &'static str = "platform";

    async fn carry(&self, passage: Passage<'_, Self>) -> Carried {
        let longest = passage.call.attempts.iter().map(|b| b.timeout).max().unwrap_or(0);
        let from = passage.desk.clock.now();
        let hop = passage.hop;
        if let Some(piping) = passage.desk.see(|core| core.piping(passage.call)) {
            return self.pipe(passage, piping, longest).await;
        }
        let leased = tokio::select! {
            leased = self.pool.lease(hop.id, hop.address, hop.kind) => leased,
            () = passage.cancelled() => return passage.all(Outcome::NoConnection),
            () = sleep(Duration::from_nanos(longest)) => return passage.all(Outcome::NoConnection),
        };
        let mut lease = match leased {
            Ok(lease) => lease,
            Err(NoLease::NotUp) => return passage.all(Outcome::NoConnection),
            Err(NoLease::OutOfRoom) => return passage.all(Outcome::NotSent),
        };
        let letters = passage.begin();
        let left = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
        let Some((request, len)) = hook::request(hop.address, &letters, left).filter(|_| !letters.is_empty())
        else {
            lease.give_back();
            return Carried::default();
        };
        let exchange = async {
            let mut sent = exchange(&mut lease, request.clone(), len, &letters).await;
            // The line was closed before the request was written whole, be it while it waited or when it was
            // new: another, twice at most.
            for _ in 0..2 {
                if !matches!(sent, Err(Unsent::Never))
                    || lease.renew().await.is_err()
                    || !passage.may_go_on(&letters)
                {
                    break;
                }
                sent = exchange(&mut lease, request.clone(), len, &letters).await;
            }
            sent
        };
        let mut sent = tokio::select! {
            sent = exchange => sent.map_err(|unsent| match unsent {
                Unsent::Never => Outcome::NoConnection,
                Unsent::Perhaps => Outcome::Broken,
            }),
            () = sleep(Duration::from_nanos(left)) => Err(Outcome::TimedOut),
            () = passage.cancelled() => Err(Outcome::Cancelled),
        };
        log_call(hop, &letters, lease.line(), &sent);
        let idle = Some(lease.waited().as_nanos() as Nanos);
        if let Ok((carried, _)) = &mut sent {
            carried.idle = idle;
        }
        match sent {
            Ok((carried, Some(body))) if !body.is_end_stream() => {
                spawn_local(drain(lease, body));
                carried
            }
            Ok((carried, _)) => {
                if carried.replies.iter().any(|(_, reply)| *reply == Reply::Ended(Outcome::Crowded)) {
                    self.pool.turned_away(hop.kind);
                }
                lease.give_back();
                carried
            }
            // The first line of an answer says enough where it says 200, whatever is wrong with the rest. Any
            // other answer that cannot be read leaves open what it meant: the message may have run.
            Err(outcome) => {
                let outcome = match lease.line() {
                    Some(line) if letters.len() == 1 && line.status() == Some(200) => Outcome::Served,
                    Some(line) if outcome != Outcome::NoConnection && line.heard() => Outcome::Spoilt,
                    _ => outcome,
                };
                Carried { idle, ..Carried::each(&letters, Reply::Ended(outcome)) }
            }
        }
    }

    fn ended(&self, _: &Rc<Desk<Self>>, nos: Vec<TransactionNo>) {
        self.owed.borrow_mut().extend(nos);
        self.more_owed.notify_one();
    }

    fn drain(&self, draining: bool) {
        self.draining.send_replace(draining);
    }

    fn retire(&self) {
        self.owed.borrow_mut().clear();
        self.pool.close_all_idle();
    }

    fn distrust(&self, endpoint: EndpointId) {
        self.pool.close_idle(endpoint);
        self.pipelines.rest(endpoint);
    }

    fn trust(&self, idle: Nanos) {
        self.pool.trust(Duration::from_nanos(idle));
    }
}

impl Platform {
    /// Carries a call on a connection that takes several behind one another.
    async fn pipe(&self, passage: Passage<'_, Self>, piping: Piping, longest: Nanos) -> Carried {
        let (hop, lines) = (passage.hop, &self.pipelines);
        let from = passage.desk.clock.now();
        let ready = lines.ready(hop.id, hop.address, piping.repeatable, piping.depth, piping.lines);
        let ready = tokio::select! {
            ready = ready => ready,
            () = passage.cancelled() => return passage.all(Outcome::NotSent),
            () = sleep(Duration::from_nanos(longest)) => return passage.all(Outcome::NotSent),
        };
        match ready {
            Ok(()) => {}
            Err(NoLease::NotUp) => return passage.all(Outcome::NoConnection),
            Err(NoLease::OutOfRoom) => return passage.all(Outcome::NotSent),
        }
        let letters = passage.begin();
        let left = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
        let Some(request) = hook::wire(hop.address, &letters, left).filter(|_| !letters.is_empty()) else {
            return Carried::default();
        };
        let Some(mut seat) = lines.seat(hop.id, hop.address, piping.repeatable, request) else {
            return Carried::each(&letters, Reply::Ended(Outcome::NotSent));
        };
        let answer = tokio::select! {
            answer = seat.answer() => answer,
            () = sleep(Duration::from_nanos(left)) => return Carried::each(&letters, Reply::Ended(Outcome::TimedOut)),
            () = passage.cancelled() => return Carried::each(&letters, Reply::Ended(Outcome::Cancelled)),
        };
        match answer {
            Ok(answer) => meant(answer.status, &answer.headers, &answer.body, &letters),
            Err(Broken { how, echo }) => {
                let outcome = match (fate(how), how) {
                    // Of a line that broke only the first says that its host may be down.
                    (Fate::NeverRan, _) if echo => Outcome::NotSent,
                    (Fate::NeverRan, _) => Outcome::NoConnection,
                    (Fate::MayHaveRun, Break::AnswerCut | Break::Unreadable) => Outcome::Spoilt,
                    (Fate::MayHaveRun, _) => Outcome::Broken,
                };
                Carried { echo, ..Carried::each(&letters, Reply::Ended(outcome)) }
            }
        }
    }
}

/// Tells in the log, at level debug, how a call ended, on which connection and as its how manyth request.
fn log_call(
    endpoint: &Endpoint,
    letters: &[Letter],
    line: Option<&mut Line>,
    sent: &Result<(Carried, Option<Incoming>), Outcome>,
) {
    if !tracing::enabled!(target: "routing", tracing::Level::DEBUG) {
        return;
    }
    let hop = endpoint.name.as_str();
    let ids: Vec<&str> = letters.iter().map(|l| l.id.as_str()).collect();
    let (connection, request) = line.map_or((0, 0), |line| (line.number(), line.requests()));
    let outcome = match sent {
        Ok((carried, _)) => format!("{:?}", carried.replies.iter().map(|(_, r)| r).collect::<Vec<_>>()),
        Err(outcome) => format!("{outcome:?}"),
    };
    tracing::debug!(target: "routing", event = "call-ended", hop, ?ids, connection, request, outcome);
}

/// What an answer says of a call that came whole.
fn meant(status: StatusCode, headers: &HeaderMap, body: &Bytes, letters: &[Letter]) -> Carried {
    let each = |reply| letters.iter().map(|l| (l.attempt, reply)).collect();
    let several = letters.len() > 1;
    let unread = matches!(status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE);
    Carried {
        replies: match status {
            StatusCode::OK if several => hook::replies(headers, body, letters),
            status => each(hook::reply(status, headers)),
        },
        limit: hook::limit(headers),
        wait: if status == StatusCode::OK && several { hook::wait(headers) } else { 0 },
        refused: unread && several,
        ..Carried::default()
    }
}

/// One request and its answer: what that means, and the rest of it where the rest means nothing.
async fn exchange(
    lease: &mut Lease,
    request: Request<Full<Bytes>>,
    len: usize,
    letters: &[Letter],
) -> Result<(Carried, Option<Incoming>), Unsent> {
    let new = lease.waited().is_zero();
    let Some(line) = lease.line() else { return Err(Unsent::Never) };
    // What the line said before is no beginning of this answer: a call longer than ANSWER_WITHIN was cut by it.
    let tap = line.tap();
    tap.listen_anew();
    let read = async {
        let response = line.send(request, len).await?;
        let (head, body) = response.into_parts();
        if letters.len() == 1 && head.status == StatusCode::OK {
            return Ok((meant(head.status, &head.headers, &Bytes::new(), letters), Some(body)));
        }
        // Only an answer that came whole can say that nothing has run.
        let body = read_body(body, BODY_MOST).await.ok_or(Unsent::Perhaps)?;
        if new && hook::no_room(head.status, &head.headers) {
            return Ok((Carried::each(letters, Reply::Ended(Outcome::Crowded)), None));
        }
        Ok((meant(head.status, &head.headers, &body, letters), None))
    };
    let stuck = async {
        tap.begins().await;
        sleep(ANSWER_WITHIN).await;
    };
    tokio::select! {
        sent = read => sent,
        () = stuck => Err(Unsent::Perhaps),
    }
}

/// Reads the rest of an answer that means nothing, so that the line can be used again.
async fn drain(lease: Lease, body: Incoming) {
    if let Ok(Some(_)) = timeout(Duration::from_secs(1), read_body(body, BODY_MOST)).await {
        lease.give_back();
    }
}
