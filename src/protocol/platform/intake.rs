//! Requests of clients: what their heads say, and the answer to each.

use super::super::fields;
use super::{Defaults, Platform};
use crate::interface::Nanos;
use crate::memory::{Held, Holder, MemoryBudget, SMALL_BYTES};
use crate::routing::core::MessageCapacity;
use crate::routing::{Core, Desk, Offer, Taken};
use crate::transport::connection::read_body;
use crate::transport::listener::Leg;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes of a message's body.
pub(super) const BODY_MOST: usize = 64 * 1024;
/// Clients give up after 400 ms: a body that is not there by then will not be asked for.
const BODY_WITHIN: Duration = Duration::from_millis(500);
/// There is memory for a body again once others have come or were given up.
const BODY_ADVICE: Nanos = 500_000_000;
/// Nothing is taken on while the platform lacks more overdue ends than this part of the messages that may be held.
const OVERDUE_PART: usize = 8;
/// Advice for a client that holds too much of the capacity for messages.
const FULL_ADVICE: Nanos = 1_000_000_000;

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
            Method::GET | Method::HEAD if *desk.front.draining.borrow() => {
                plain(StatusCode::SERVICE_UNAVAILABLE)
            }
            Method::GET | Method::HEAD => plain(StatusCode::OK),
            _ => not_allowed("GET, HEAD"),
        });
    }
    let classes = desk.front.classes.borrow().clone();
    let Some(class) = classes.place_of(path) else {
        return refused(plain(StatusCode::NOT_FOUND));
    };
    if request.method() != Method::POST {
        return refused(not_allowed("POST"));
    }
    // hyper drops a Content-Length that comes with it: whatever has both may hide a request in its body.
    if request.headers().contains_key(TRANSFER_ENCODING) {
        return closing(plain(StatusCode::LENGTH_REQUIRED));
    }
    let (name, defaults) = (&classes.names[class], classes.defaults[class]);
    let Some(mut offer) = offer(name, defaults, request.uri().query(), request.headers()) else {
        return refused(plain(StatusCode::BAD_REQUEST));
    };
    if classes.longest > 0 && offer.time_left > classes.longest {
        return refused(plain(StatusCode::BAD_REQUEST));
    }
    let body = request.into_body();
    if body.size_hint().lower() > BODY_MOST as u64 {
        return closing(plain(StatusCode::PAYLOAD_TOO_LARGE));
    }
    // Held until the message is taken on, here or by another process.
    let Some(_held) = hold_body(&desk.front.memory, &leg, body.size_hint().lower()) else {
        return closing(refusal(BODY_ADVICE));
    };
    offer.body = match timeout(BODY_WITHIN, read_body(body, BODY_MOST)).await {
        Ok(Some(body)) => body,
        Ok(None) => return closing(plain(StatusCode::BAD_REQUEST)),
        Err(_) => return closing(plain(StatusCode::REQUEST_TIMEOUT)),
    };
    let capacity = desk.see(|core| core.capacity_for(offer.body.len()));
    if !admits(&desk, &leg, &offer, capacity) {
        return refusal(FULL_ADVICE);
    }
    match desk.take(offer).await {
        Taken::On(accepted) => {
            let no = accepted.number();
            desk.front.shares.borrow_mut().taken(no, leg.address(), capacity.part);
            leg.promises(no);
            plain(StatusCode::ACCEPTED)
        }
        Taken::Already => plain(StatusCode::ACCEPTED),
        Taken::Other => plain(StatusCode::CONFLICT),
        Taken::Failed => plain(StatusCode::GATEWAY_TIMEOUT),
        // It was dropped while the request came.
        Taken::UnknownClass => plain(StatusCode::NOT_FOUND),
        Taken::Refused { after, .. } => refusal(after),
    }
}

/// Whether this client leaves enough to others to hand in one more, its end can be told in its time, and ends are told as they
/// fall due. What is no new message takes none.
fn admits(desk: &Desk<Platform>, leg: &Leg, offer: &Offer, capacity: MessageCapacity) -> bool {
    let now = desk.clock.now();
    let decides = desk.roles.serves() && !desk.see(|core| core.knows(&offer.id));
    if decides && !desk.front.can_end_in_time(now, offer.time_left) {
        return false;
    }
    if decides && desk.front.is_behind(now, desk.see(Core::held_most) / OVERDUE_PART) {
        return false;
    }
    !decides || desk.front.shares.borrow_mut().admits(now, leg.address(), capacity.part, capacity.free)
}

/// Draws the memory for a body of this length; none where there is none left.
fn hold_body(memory: &Rc<MemoryBudget>, leg: &Leg, length: u64) -> Option<Held> {
    let holder = if leg.is_known() { Holder::KnownBodies } else { Holder::OtherBodies };
    // A small one is part of its connection.
    let drawn = if length > SMALL_BYTES as u64 { length } else { 0 };
    memory.draw(holder, drawn)
}

/// What the head of a request says; `None` if anything is missing, said twice or can't be passed on.
fn offer(class: &str, or: Defaults, query: Option<&str>, headers: &HeaderMap) -> Option<Offer> {
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
        class: class.to_string(),
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
