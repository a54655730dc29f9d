//! Calls to next hops: `/hook` for one attempt, `/hook/batch` for several.

use super::fields::{self, seconds, span_text};
use crate::interface::{Nanos, Outcome};
use crate::routing::core::Letter;
use crate::routing::{Limit, Reply};
use crate::settlement::Said;
use crate::transport::beginning::{Beginning, Told};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, StatusCode};
use std::collections::HashMap;
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

/// What a whole answer says of each message of its call.
pub fn said(status: StatusCode, headers: &HeaderMap, body: &[u8], letters: &[Letter]) -> Vec<Said> {
    match status {
        StatusCode::OK if letters.len() > 1 => {
            said_in_batch(&String::from_utf8_lossy(body), wait(headers), letters)
        }
        status => vec![Said::Plainly(reply(status, headers)); letters.len()],
    }
}

/// The same of an answer that has not come whole.
pub fn said_in_part(beginning: &Beginning, letters: &[Letter]) -> Vec<Said> {
    let each = |said| vec![said; letters.len()];
    match beginning {
        Beginning::Nothing | Beginning::Unreadable => each(Said::NotFinal),
        Beginning::Digits(digits) => {
            let may_be_final = final_statuses(letters.len())
                .iter()
                .any(|status| status.as_str().starts_with(digits.as_str()));
            each(if may_be_final { Said::MaybeFinal } else { Said::NotFinal })
        }
        Beginning::Told(Told { status, headers, body, .. }) => {
            // A line of which a part is missing says nothing.
            let lines = body.iter().rposition(|byte| *byte == b'\n').map_or(0, |end| end + 1);
            said(*status, headers.as_ref().unwrap_or(&HeaderMap::new()), &body[..lines], letters)
        }
    }
}

/// Statuses of answers that may say of a message that it is over, or has had all its attempts.
fn final_statuses(messages: usize) -> &'static [StatusCode] {
    match messages {
        1 => &[StatusCode::GONE, StatusCode::GATEWAY_TIMEOUT],
        // Each message has an end of its own in the body.
        _ => &[StatusCode::GONE, StatusCode::GATEWAY_TIMEOUT, StatusCode::OK],
    }
}

/// What the lines of a batch's answer say of each message; `wait` is told to those that are deferred.
fn said_in_batch(text: &str, wait: Nanos, letters: &[Letter]) -> Vec<Said> {
    let mut ends: HashMap<&str, Vec<&str>> = HashMap::new();
    for (id, end) in text.lines().filter_map(|line| line.trim().split_once(' ')) {
        ends.entry(id).or_default().push(end.trim());
    }
    let said = |letter: &Letter| match ends.get(letter.id.as_str()).map_or(&[][..], Vec::as_slice) {
        [] => Said::Nothing,
        [first, others @ ..] if others.iter().all(|end| end == first) => {
            Said::Plainly(reply_in_batch(first, wait))
        }
        several if several.iter().any(|end| reply_in_batch(end, wait).is_final()) => Said::Contradictory,
        _ => Said::Nothing,
    };
    letters.iter().map(said).collect()
}

fn reply_in_batch(end: &str, wait: Nanos) -> Reply {
    match end {
        "accepted" => Reply::Ended(Outcome::Served),
        "deferred" => Reply::Ended(Outcome::Full { wait }),
        "expired" => Reply::Over,
        "no_more" => Reply::Spent,
        "fault" => Reply::Ended(Outcome::Error),
        _ => Reply::Ended(Outcome::Spoilt),
    }
}
