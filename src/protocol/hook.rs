//! Calls to next hops: `/hook` for one attempt, `/hook/batch` for several.

use super::fields::{self, seconds, span_text};
use crate::interface::{Nanos, Outcome};
use crate::routing::core::Letter;
use crate::routing::{Limit, Reply};
use crate::settlement::Said;
use crate::transport::beginning::{Beginning, PartialAnswer};
use bytes::{BufMut, Bytes, BytesMut};
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, StatusCode};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Ends of messages in a batch: of one that is over, and of one that has had all its attempts.
const EXPIRED: &str = "expired";
const NO_MORE: &str = "no_more";
/// Those that are not final.
const ACCEPTED: &str = "accepted";
const DEFERRED: &str = "deferred";
const FAULT: &str = "fault";
const NOT_FINAL: [&str; 3] = [ACCEPTED, DEFERRED, FAULT];

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
        Beginning::Nothing => each(Said::NotFinal),
        // Spoilt as it is, it may have been one of these.
        Beginning::Unreadable(line) => {
            let names =
                |status: &StatusCode| line.windows(3).any(|digits| digits == status.as_str().as_bytes());
            let may_be_final = final_statuses(letters.len()).iter().any(names);
            each(if may_be_final { Said::MaybeFinal } else { Said::NotFinal })
        }
        Beginning::Digits(digits) => {
            let may_be_final = final_statuses(letters.len())
                .iter()
                .any(|status| status.as_str().starts_with(digits.as_str()));
            each(if may_be_final { Said::MaybeFinal } else { Said::NotFinal })
        }
        Beginning::Status(PartialAnswer { status, headers, body, .. }) => {
            let (lines, rest) =
                body.split_at(body.iter().rposition(|b| *b == b'\n').map_or(0, |end| end + 1));
            let mut all = said(*status, headers.as_ref().unwrap_or(&HeaderMap::new()), lines, letters);
            let rest = String::from_utf8_lossy(rest);
            for (said, letter) in all.iter_mut().zip(letters).filter(|(said, _)| **said == Said::Nothing) {
                *said = said_in_cut_line(&rest, &letter.id);
            }
            all
        }
    }
}

/// What a line of a batch's answer says of a message where its end is missing.
fn said_in_cut_line(line: &str, id: &str) -> Said {
    let end = line.strip_prefix(id).and_then(|behind| behind.strip_prefix(' ')).map(str::trim);
    match end {
        None => Said::Nothing,
        Some(end) if !end.is_empty() && NOT_FINAL.iter().any(|word| word.starts_with(end)) => Said::NotFinal,
        Some(_) => Said::MaybeFinal,
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
        ACCEPTED => Reply::Ended(Outcome::Served),
        DEFERRED => Reply::Ended(Outcome::Full { wait }),
        EXPIRED => Reply::Over,
        NO_MORE => Reply::Spent,
        FAULT => Reply::Ended(Outcome::Error),
        _ => Reply::Ended(Outcome::Spoilt),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::routing::Attempt;

    fn letter(id: &str) -> Letter {
        let attempt = Attempt { transaction: 1, number: 0, timeout: 1 };
        Letter { attempt, id: id.to_string(), idempotency: None, body: Bytes::new() }
    }

    fn in_part(answer: &str, ids: &[&str]) -> Vec<Said> {
        let letters: Vec<Letter> = ids.iter().map(|id| letter(id)).collect();
        said_in_part(&Beginning::of(answer.as_bytes()), &letters)
    }

    const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n";

    /// Guards the messages of a batch whose answer was cut: what its lines say counts, what may still have stood there too.
    #[test]
    fn each_message_of_a_cut_batch_has_what_its_line_says() {
        let accepted = Said::Plainly(Reply::Ended(Outcome::Served));
        let said = in_part(&format!("{OK}a accepted\r\nb expired\r\nc no"), &["a", "b", "c", "d"]);
        assert_eq!(said, [accepted, Said::Plainly(Reply::Over), Said::MaybeFinal, Said::Nothing]);
        assert_eq!(in_part(&format!("{OK}a acc"), &["a", "b"]), [Said::NotFinal, Said::Nothing]);
        for line in ["a ", "a exp", "a expired", "a expired\r", "a no_more\r", "a ?"] {
            let said = in_part(&format!("{OK}{line}"), &["a", "b"]);
            assert_eq!(said, [Said::MaybeFinal, Said::Nothing], "{line:?}");
        }
        assert_eq!(in_part("HTTP/1.1 2", &["a", "b"]), [Said::MaybeFinal; 2]);
        assert_eq!(
            in_part("HTTP/1.1 503 Full\r\n", &["a", "b"])[0].clone(),
            in_part("HTTP/1.1 503", &["a"])[0]
        );
    }

    /// Guards a message called alone: how much of its answer is enough to know that it was no final one.
    #[test]
    fn the_digits_of_a_status_tell_what_it_may_become() {
        for (answer, said) in [
            ("", Said::NotFinal),
            ("HT", Said::MaybeFinal),
            ("HTTP/1.1 4", Said::MaybeFinal),
            ("HTTP/1.1 42", Said::NotFinal),
            ("HTTP/1.1 50", Said::MaybeFinal),
            ("HTTP/1.1 2", Said::NotFinal),
            ("noise", Said::NotFinal),
            ("HTTP/1.1  410 Gone", Said::MaybeFinal),
            ("HTTP/2 504\r\n", Said::MaybeFinal),
            ("HTTP/1.x 503 Full, 410 calls\r\n", Said::MaybeFinal),
            ("HTTP/1.x 503 Full\r\n410", Said::NotFinal),
            ("HTTP/1.1 410", Said::Plainly(Reply::Over)),
            ("HTTP/1.1 504 No", Said::Plainly(Reply::Spent)),
        ] {
            assert_eq!(in_part(answer, &["a"]), [said], "{answer:?}");
        }
    }

    /// Guards a message that a batch's answer names in two ways: where one of them is final, it goes out no more.
    #[test]
    fn a_message_named_twice_is_final_where_one_of_its_ends_is() {
        let letters = [letter("a"), letter("b")];
        let said = |body: &str| said(StatusCode::OK, &HeaderMap::new(), body.as_bytes(), &letters);
        assert_eq!(said("a expired\r\nb accepted\r\na accepted")[0], Said::Contradictory);
        assert_eq!(said("a deferred\r\na accepted\r\n"), [Said::Nothing; 2]);
        assert_eq!(said("a expired\r\na expired")[0], Said::Plainly(Reply::Over));
    }
}
