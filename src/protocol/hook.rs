//! Calls to next hops: `/hook` for one attempt, `/hook/batch` for several.

use super::fields::{self, seconds, span_text};
use crate::interface::{Nanos, Outcome};
use crate::routing::core::Letter;
use crate::routing::{Attempt, Limit, Reply};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, StatusCode};
use std::net::SocketAddr;

/// The request of a call, and its body's length.
pub fn request(
    dial: SocketAddr,
    letters: &[Letter],
    timeout: Nanos,
) -> Option<(Request<Full<Bytes>>, usize)> {
    let (path, body) = target(letters);
    let len = body.len();
    let mut request = Request::post(path).header("host", dial.to_string());
    if let [one] = letters {
        request = request.header("x-request-id", one.id.as_str());
        if let Some(key) = &one.idempotency {
            request = request.header("idempotency-key", key.as_str());
        }
    }
    let request = request.header("x-timeout", span_text(timeout)).body(Full::new(body)).ok()?;
    Some((request, len))
}

fn target(letters: &[Letter]) -> (&'static str, Bytes) {
    match letters {
        [one] => ("/hook", one.body.clone()),
        _ => ("/hook/batch", batch(letters)),
    }
}

/// The same request as it goes on the wire, for connections that carry several behind one another.
pub fn wire(dial: SocketAddr, letters: &[Letter], timeout: Nanos) -> Option<Bytes> {
    let (head, _) = request(dial, letters, timeout)?.0.into_parts();
    let (path, body) = target(letters);
    let mut out = BytesMut::with_capacity(512 + body.len());
    out.put_slice(format!("POST {path} HTTP/1.1\r\n").as_bytes());
    for (name, value) in &head.headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
    out.put_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    out.put_slice(&body);
    Some(out.freeze())
}

fn batch(letters: &[Letter]) -> Bytes {
    let mut out = BytesMut::with_capacity(letters.iter().map(|l| l.body.len() + 160).sum());
    for l in letters {
        let key = l.idempotency.as_deref().unwrap_or("-");
        out.put_slice(format!("{} {key} {}\r\n", l.id, l.body.len()).as_bytes());
        out.put_slice(&l.body);
        out.put_slice(b"\r\n");
    }
    out.freeze()
}

/// What an answer says of a call with one attempt, or of all of a batch when all fared the same.
pub fn reply(status: StatusCode, headers: &HeaderMap) -> Reply {
    let wait = wait(headers);
    match status.as_u16() {
        200 => Reply::Ended(Outcome::Served),
        503 if headers.get("x-line-busy").is_some_and(|v| v == "1") => Reply::Ended(Outcome::NotSent),
        429 | 503 => Reply::Ended(Outcome::Full { wait }),
        504 => Reply::Spent,
        410 => Reply::Over,
        // What could not be read or was too much has not run.
        400 | 413 => Reply::Ended(Outcome::NotSent),
        _ => Reply::Ended(Outcome::Error),
    }
}

/// The wait that an answer tells; 0: none.
pub fn wait(headers: &HeaderMap) -> Nanos {
    let told = headers.get("retry-after").and_then(|v| v.to_str().ok());
    told.and_then(seconds).unwrap_or(0)
}

/// The limit in `X-Server-Load: x0=0.4,x1=25`: the share that is left and calls a second, 0 where there is none.
pub fn limit(headers: &HeaderMap) -> Option<Limit> {
    let report = headers.get("x-server-load")?.to_str().ok()?;
    let usable = |n: &f64| n.is_finite() && *n >= 0.0;
    let rate = fields::value::<f64>(report, "x1").filter(usable)?;
    let left = fields::value::<f64>(report, "x0").filter(usable);
    Some(Limit { rate, left })
}

/// Whether a call was turned away on a new connection for want of room for that: it is closed at once, and no wait is told.
pub fn no_room(status: StatusCode, headers: &HeaderMap) -> bool {
    let closes = headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    status == StatusCode::SERVICE_UNAVAILABLE && closes && wait(headers) == 0
}

/// What the answer to a batch says of each attempt; one that it does not name may have run.
pub fn replies(headers: &HeaderMap, body: &Bytes, letters: &[Letter]) -> Vec<(Attempt, Reply)> {
    let wait = wait(headers);
    let text = String::from_utf8_lossy(body);
    let ends: Vec<(&str, &str)> = text.lines().filter_map(|l| l.trim().split_once(' ')).collect();
    // Named twice with different ends it may have had either.
    let end = |l: &Letter| {
        let mut named = ends.iter().filter(|e| e.0 == l.id).map(|e| e.1.trim());
        let first = named.next()?;
        named.all(|end| end == first).then_some(first)
    };
    let reply = |l: &Letter| match end(l) {
        Some("accepted") => Reply::Ended(Outcome::Served),
        Some("deferred") => Reply::Ended(Outcome::Full { wait }),
        Some("expired") => Reply::Over,
        Some("no_more") => Reply::Spent,
        Some("fault") => Reply::Ended(Outcome::Error),
        _ => Reply::Ended(Outcome::Spoilt),
    };
    letters.iter().map(|l| (l.attempt, reply(l))).collect()
}
