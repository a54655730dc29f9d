//! The platform's front: callers hand messages in, next hops take them, ends go out as notices.

use super::{fields, hook, notices};
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Reply};
use crate::routing::desk::Passage;
use crate::routing::{Desk, Front, NextHopId, Offer, Taken, TransactionNo};
use crate::transport::connection::{read_body, Unsent};
use crate::transport::listener::Leg;
use crate::transport::network::Net;
use crate::transport::pool::{Lease, NoLease};
use crate::transport::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
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
}

pub struct Platform {
    net: Net,
    pub pool: Rc<Pool>,
    pub classes: Classes,
    pub agent: Option<SocketAddr>,
    owed: RefCell<VecDeque<TransactionNo>>,
    more_owed: Notify,
    log: fn(&str),
}

impl Platform {
    pub fn new(net: Net, pool: Rc<Pool>, classes: Classes, agent: Option<SocketAddr>, log: fn(&str)) -> Self {
        let (owed, more_owed) = (RefCell::default(), Notify::new());
        Platform { net, pool, classes, agent, owed, more_owed, log }
    }
}

impl Front for Platform {
    async fn carry(&self, passage: Passage<'_, Self>) -> Carried {
        let longest = passage.call.branches.iter().map(|b| b.timeout).max().unwrap_or(0);
        let from = passage.desk.clock.now();
        let all = |outcome| {
            let branches = passage.call.branches.iter();
            Carried::from(branches.map(|b| (*b, Reply::Ended(outcome))).collect::<Vec<_>>())
        };
        let hop = passage.hop;
        let leased = tokio::select! {
            leased = self.pool.lease(hop.id, hop.dial) => leased,
            () = passage.cancelled() => return all(Outcome::NoConnection),
            () = sleep(Duration::from_nanos(longest)) => return all(Outcome::NoConnection),
        };
        let mut lease = match leased {
            Ok(lease) => lease,
            Err(NoLease::NotUp) => return all(Outcome::NoConnection),
            Err(NoLease::OutOfRoom) => return all(Outcome::NotSent),
        };
        let letters = passage.begin();
        let left = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
        let Some((request, len)) = hook::request(hop.dial, &letters, left).filter(|_| !letters.is_empty())
        else {
            lease.give_back();
            return Carried::default();
        };
        let each =
            |reply: Reply| Carried::from(letters.iter().map(|l| (l.branch, reply)).collect::<Vec<_>>());
        let Some(line) = lease.line() else { return each(Reply::Ended(Outcome::NoConnection)) };
        let answered = async {
            let response = line.send(request, len).await?;
            let status = response.status();
            let limit = hook::limit(response.headers());
            if letters.len() > 1 && status == StatusCode::OK {
                let headers = response.headers().clone();
                let body = read_body(response.into_body(), BODY_MOST).await.ok_or(Unsent::Perhaps)?;
                return Ok((Carried { replies: hook::replies(&headers, &body, &letters), limit }, None));
            }
            let reply = hook::reply(status, response.headers());
            Ok((Carried { limit, ..each(reply) }, Some(response.into_body())))
        };
        let (carried, rest) = tokio::select! {
            answered = answered => match answered {
                Ok(answered) => answered,
                Err(Unsent::Never) => return each(Reply::Ended(Outcome::NoConnection)),
                Err(Unsent::Perhaps) => return each(Reply::Ended(Outcome::Broken)),
            },
            () = sleep(Duration::from_nanos(left)) => return each(Reply::Ended(Outcome::TimedOut)),
            () = passage.cancelled() => return each(Reply::Ended(Outcome::Cancelled)),
        };
        match rest {
            Some(body) if !body.is_end_stream() => drop(spawn_local(drain(lease, body))),
            _ => lease.give_back(),
        }
        carried
    }

    fn ended(&self, _: &Rc<Desk<Self>>, nos: Vec<TransactionNo>) {
        self.owed.borrow_mut().extend(nos);
        self.more_owed.notify_one();
    }

    fn distrust(&self, next_hop: NextHopId) {
        self.pool.close_idle(next_hop);
    }

    fn log(&self, text: &str) {
        (self.log)(text);
    }
}

/// Reads the rest of an answer that means nothing, so that the line can be used again.
async fn drain(lease: Lease, body: Incoming) {
    if let Ok(Some(_)) = timeout(Duration::from_secs(1), read_body(body, BODY_MOST)).await {
        lease.give_back();
    }
}

/// Tells the platform of ends, those that come meanwhile together, until each is acknowledged.
pub async fn tell_ends(desk: Rc<Desk<Platform>>) {
    let front = &desk.front;
    let Some(agent) = front.agent else { return log_ends(&desk).await };
    let (mut line, mut most) = (None, notices::MOST);
    loop {
        let mut batch: Vec<TransactionNo> = Vec::new();
        let mut text = String::new();
        while batch.len() < most {
            let Some(no) = front.owed.borrow_mut().pop_front() else { break };
            let owed = desk.see(|core| core.transaction(no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = owed {
                notices::line(&id, ending, &mut text);
                batch.push(no);
            }
        }
        if batch.is_empty() {
            front.more_owed.notified().await;
            continue;
        }
        match notices::post(&front.net, agent, &mut line, text).await {
            Ok(()) => {
                most = notices::MOST;
                desk.act(|core, now| batch.into_iter().for_each(|no| core.acknowledged(now, no)));
            }
            Err(status) => {
                // What cannot be read must not hold up the rest: one by one until one is taken.
                most = if status == Some(StatusCode::BAD_REQUEST) { 1 } else { most };
                if let Some(status) = status {
                    front.log(&format!("notices: answered with {status}"));
                }
                let mut put_back = |no| match most {
                    1 => front.owed.borrow_mut().push_back(no),
                    _ => front.owed.borrow_mut().push_front(no),
                };
                batch.into_iter().rev().for_each(&mut put_back);
                sleep(NOTICE_RETRY).await;
            }
        }
    }
}

/// Where there is no platform to tell, the log is told.
async fn log_ends(desk: &Rc<Desk<Platform>>) {
    loop {
        let owed = std::mem::take(&mut *desk.front.owed.borrow_mut());
        for no in owed {
            let mut text = String::new();
            let told = desk.see(|core| core.transaction(no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = told {
                notices::line(&id, ending, &mut text);
                desk.front.log(text.trim_end());
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
    let path = request.uri().path();
    if path == "/ready" {
        return match *request.method() {
            Method::GET | Method::HEAD => plain(StatusCode::OK),
            _ => not_allowed("GET, HEAD"),
        };
    }
    let classes = &desk.front.classes;
    let name = path.strip_prefix('/').unwrap_or(path).split('/').next().unwrap_or("");
    let Some(class) = classes.names.iter().position(|c| c == name).or(classes.rest) else {
        return plain(StatusCode::NOT_FOUND);
    };
    if request.method() != Method::POST {
        return not_allowed("POST");
    }
    let Some(mut offer) = offer(class, classes.defaults[class], request.uri().query(), request.headers())
    else {
        return plain(StatusCode::BAD_REQUEST);
    };
    let body = request.into_body();
    if body.size_hint().lower() > BODY_MOST as u64 {
        return closing(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let long = body.size_hint().exact().is_none();
    offer.body = match timeout(BODY_WITHIN, read_body(body, BODY_MOST)).await {
        Ok(Some(body)) => body,
        Ok(None) if long => return closing(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(None) => return closing(StatusCode::BAD_REQUEST),
        Err(_) => return closing(StatusCode::REQUEST_TIMEOUT),
    };
    match desk.act(|core, now| core.take(now, offer)) {
        Taken::On(no) => {
            leg.promises(no);
            plain(StatusCode::ACCEPTED)
        }
        Taken::Already => plain(StatusCode::ACCEPTED),
        Taken::Failed => plain(StatusCode::GATEWAY_TIMEOUT),
        Taken::Refused { after, .. } => refusal(after),
    }
}

/// What the head of a request says; `None` if anything is missing or can't be passed on.
fn offer(class: usize, or: Defaults, query: Option<&str>, headers: &HeaderMap) -> Option<Offer> {
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
fn closing(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = plain(status);
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
