//! The platform's front: callers hand messages in, next hops take them, ends go out as notices.

use super::{fields, hook, notices};
use crate::batching::fate::{fate, Break, Fate};
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Letter, Piping};
use crate::routing::desk::Passage;
use crate::routing::{Desk, EndpointId, Front, Offer, Reply, Taken, TransactionNo};
use crate::transport::connection::{read_body, Unsent, ANSWER_WITHIN};
use crate::transport::listener::Leg;
use crate::transport::network::Net;
use crate::transport::pipeline::{Broken, Pipelines};
use crate::transport::pool::{Lease, NoLease};
use crate::transport::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const BODY_MOST: usize = 64 * 1024;
/// Clients give up after 400 ms: a body that is not there by then will not be asked for.
const BODY_WITHIN: Duration = Duration::from_millis(500);
const NOTICE_RETRY: Duration = Duration::from_millis(50);

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
    net: Net,
    pub pool: Rc<Pool>,
    /// For next hops that take calls behind one another.
    pub pipelines: Pipelines,
    pub classes: Classes,
    /// Where discovery and notices are, which may change.
    pub agent: watch::Sender<Option<SocketAddr>>,
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
        let agent = watch::Sender::new(agent);
        Platform { net, pool, pipelines, classes, agent, owed, more_owed }
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

/// Tells the platform of ends, wherever it moves, until each is acknowledged. Where there is no platform, the
/// log is told.
pub async fn tell_ends(desk: Rc<Desk<Platform>>) {
    let mut agent = desk.front.agent.subscribe();
    loop {
        let at = *agent.borrow_and_update();
        let telling = async {
            match at {
                Some(at) => tell_agent(&desk, at).await,
                None => log_ends(&desk).await,
            }
        };
        tokio::select! {
            () = telling => {}
            _ = agent.changed() => {}
        }
    }
}

/// Tells ends at one address, those that come meanwhile together. What is owed stays in line until it is
/// acknowledged: the address may change at any moment.
async fn tell_agent(desk: &Rc<Desk<Platform>>, agent: SocketAddr) {
    let front = &desk.front;
    let (mut line, mut most, mut failing) = (None, notices::MOST, false);
    loop {
        let batch: Vec<TransactionNo> = front.owed.borrow().iter().take(most).copied().collect();
        if batch.is_empty() {
            front.more_owed.notified().await;
            continue;
        }
        let mut text = String::new();
        for no in &batch {
            let owed = desk.see(|core| core.transaction(*no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = owed {
                notices::line(&id, ending, &mut text);
            }
        }
        let told = match text.is_empty() {
            true => Ok(()),
            false => notices::post(&front.net, agent, &mut line, text).await,
        };
        match told {
            Ok(()) => {
                (most, failing) = (notices::MOST, false);
                front.owed.borrow_mut().drain(..batch.len());
                desk.act(|core, now| batch.into_iter().for_each(|no| core.acknowledged(now, no)));
            }
            Err(status) => {
                // What cannot be read must not hold up the rest: one by one until one is taken.
                if status == Some(StatusCode::BAD_REQUEST) {
                    most = 1;
                }
                if most == 1 {
                    front.owed.borrow_mut().rotate_left(1);
                }
                match status {
                    Some(status) => {
                        let status = status.as_u16();
                        tracing::warn!(target: "platform", event = "notices-refused", status, "notices: not taken, told again");
                    }
                    None if failing => {}
                    // One connection that has fallen silent or was closed: the next try is on a new one.
                    None => {
                        tracing::warn!(target: "platform", event = "notices-unanswered", "notices: no answer, told again");
                        failing = true;
                        continue;
                    }
                }
                sleep(NOTICE_RETRY).await;
            }
        }
    }
}

async fn log_ends(desk: &Rc<Desk<Platform>>) {
    loop {
        let owed = std::mem::take(&mut *desk.front.owed.borrow_mut());
        for no in owed {
            let mut text = String::new();
            let told = desk.see(|core| core.transaction(no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = told {
                notices::line(&id, ending, &mut text);
                tracing::info!(target: "platform", event = "message-end", "{}", text.trim_end());
            }
            desk.act(|core, now| core.acknowledged(now, no));
        }
        desk.front.more_owed.notified().await;
    }
}

/// Answers one request of a caller.
pub async fn answer(
    desk: Rc<Desk<Platform>>,
    leg: Rc<Leg>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    // What is small has come with the head, as a rule, and the leg can go on.
    let refused = |response| match request.body().size_hint().upper() {
        Some(len) if len <= BODY_MOST as u64 => response,
        _ => closing(response),
    };
    let path = request.uri().path();
    if path == "/ready" {
        return refused(match *request.method() {
            Method::GET | Method::HEAD => plain(StatusCode::OK),
            _ => not_allowed("GET, HEAD"),
        });
    }
    let classes = &desk.front.classes;
    let name = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or("");
    let Some(class) = classes.names.iter().position(|c| c == name).or(classes.rest) else {
        return refused(plain(StatusCode::NOT_FOUND));
    };
    if request.method() != Method::POST {
        return refused(not_allowed("POST"));
    }
    // hyper drops a Content-Length that comes with it: whatever has both may hide a request in its body.
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return closing(plain(StatusCode::LENGTH_REQUIRED));
    }
    let Some(mut offer) = offer(class, classes.defaults[class], request.uri().query(), request.headers())
    else {
        return refused(plain(StatusCode::BAD_REQUEST));
    };
    if classes.longest > 0 && offer.time_left > classes.longest {
        return refused(plain(StatusCode::BAD_REQUEST));
    }
    let body = request.into_body();
    if body.size_hint().lower() > BODY_MOST as u64 {
        return closing(plain(StatusCode::PAYLOAD_TOO_LARGE));
    }
    offer.body = match timeout(BODY_WITHIN, read_body(body, BODY_MOST)).await {
        Ok(Some(body)) => body,
        Ok(None) => return closing(plain(StatusCode::BAD_REQUEST)),
        Err(_) => return closing(plain(StatusCode::REQUEST_TIMEOUT)),
    };
    match desk.act(|core, now| core.take(now, offer)) {
        Taken::On(no) => {
            leg.promises(no);
            plain(StatusCode::ACCEPTED)
        }
        Taken::Already => plain(StatusCode::ACCEPTED),
        Taken::Other => plain(StatusCode::CONFLICT),
        Taken::Failed => plain(StatusCode::GATEWAY_TIMEOUT),
        Taken::Refused { after, .. } => refusal(after),
    }
}

/// What the head of a request says; `None` if anything is missing, said twice or can't be passed on.
fn offer(class: usize, or: Defaults, query: Option<&str>, headers: &HeaderMap) -> Option<Offer> {
    let said = ["x-request-id", "idempotency-key", "x-consignee", "x-timeout"];
    if said.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
        return None;
    }
    let get = |name: &str| headers.get(name).map(|v| v.to_str().unwrap_or("\n"));
    let id = get("x-request-id").filter(|id| fields::token(id))?;
    let idempotency = get("idempotency-key");
    if idempotency.is_some_and(|k| !fields::token(k)) {
        return None;
    }
    Some(Offer {
        id: id.to_string(),
        class,
        dest: get("x-consignee").map_or(or.dest, |v| fields::value(v, "dest"))?,
        key: fields::query(query, "thread"),
        idempotency: idempotency.map(str::to_string),
        time_left: get("x-timeout").map_or(or.time_left, fields::span)?,
        body: Bytes::new(),
        owner: String::new(),
    })
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// An answer before the request was read whole: the leg cannot go on.
fn closing(mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
    response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    response
}

fn not_allowed(allow: &'static str) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::METHOD_NOT_ALLOWED);
    response.headers_mut().insert("allow", HeaderValue::from_static(allow));
    response
}

fn refusal(after: Nanos) -> Response<Full<Bytes>> {
    let mut response = plain(StatusCode::SERVICE_UNAVAILABLE);
    if let Some(value) =
        (after > 0).then(|| HeaderValue::from_str(&fields::seconds_text(after)).ok()).flatten()
    {
        response.headers_mut().insert("retry-after", value);
    }
    response
}
