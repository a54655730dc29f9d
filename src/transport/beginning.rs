//! What can be read of an answer that has not come whole.

use super::answer::chunked_part;
use bytes::Bytes;
use hyper::header::TRANSFER_ENCODING;
use hyper::{HeaderMap, StatusCode};

/// Most headers of an answer.
const HEADERS_MOST: usize = 64;
/// An answer begins with this, a digit, a space and its status.
const VERSION: &[u8] = b"HTTP/1.";
/// Bytes of a line that are kept where it is no first line of an answer.
const LINE_MOST: usize = 256;
/// Digits of a status.
const STATUS_DIGITS: usize = 3;

/// The first bytes of an answer, as far as they came. Informational answers (1xx) before it are passed over.
#[derive(Clone, Debug, PartialEq)]
pub enum Beginning {
    /// Nothing has come of it.
    Nothing,
    /// Its status begins with these digits, fewer than a status has.
    Digits(String),
    /// Its status is known.
    Status(PartialAnswer),
    /// No answer begins with this line, or with as much of one.
    Unreadable(Bytes),
}

/// An answer of which at least the status has come.
#[derive(Clone, Debug, PartialEq)]
pub struct PartialAnswer {
    /// The status.
    pub status: StatusCode,
    /// Its first line has come whole.
    pub line_is_whole: bool,
    /// Its headers, once they have come whole.
    pub headers: Option<HeaderMap>,
    /// The part of its body that has come, without what codes it for the transfer.
    pub body: Bytes,
}

impl Beginning {
    /// What these bytes are the beginning of.
    pub fn of(mut bytes: &[u8]) -> Beginning {
        loop {
            let Some(status) = first_status(bytes) else {
                let line = bytes.split(|byte| *byte == b'\n').next().unwrap_or_default();
                return Beginning::Unreadable(Bytes::copy_from_slice(&line[..line.len().min(LINE_MOST)]));
            };
            match status {
                FirstStatus::None => return Beginning::Nothing,
                FirstStatus::Digits(digits) => return Beginning::Digits(digits),
                FirstStatus::Whole(status)
                    if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS =>
                {
                    let Some(end) = head_end(bytes) else { return Beginning::Nothing };
                    bytes = &bytes[end..];
                }
                FirstStatus::Whole(status) => return Beginning::Status(partial(status, bytes)),
            }
        }
    }

    /// The status, where the first line has come whole.
    pub fn line_status(&self) -> Option<u16> {
        match self {
            Beginning::Status(partial) => partial.line_is_whole.then_some(partial.status.as_u16()),
            _ => None,
        }
    }
}

/// What a first line says of the status, as far as it has come.
enum FirstStatus {
    None,
    Digits(String),
    Whole(StatusCode),
}

/// None where this is no first line of an answer.
fn first_status(bytes: &[u8]) -> Option<FirstStatus> {
    if bytes.is_empty() {
        return Some(FirstStatus::None);
    }
    let version = bytes.len().min(VERSION.len());
    if bytes[..version] != VERSION[..version] {
        return None;
    }
    let rest = &bytes[version..];
    let digits = match rest {
        [] => return Some(FirstStatus::Digits(String::new())),
        [minor] if minor.is_ascii_digit() => return Some(FirstStatus::Digits(String::new())),
        [minor, b' ', digits @ ..] if minor.is_ascii_digit() => digits,
        _ => return None,
    };
    let (digits, behind) = digits.split_at(digits.len().min(STATUS_DIGITS));
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    if digits.len() < STATUS_DIGITS {
        return Some(FirstStatus::Digits(String::from_utf8_lossy(digits).into_owned()));
    }
    let is_set_apart = behind.first().is_none_or(|byte| matches!(byte, b' ' | b'\r' | b'\n'));
    let status = StatusCode::from_bytes(digits).ok().filter(|_| is_set_apart)?;
    Some(FirstStatus::Whole(status))
}

fn head_end(bytes: &[u8]) -> Option<usize> {
    let end = |pattern: &[u8]| {
        let at = bytes.windows(pattern.len()).position(|window| window == pattern)?;
        Some(at + pattern.len())
    };
    end(b"\r\n\r\n")
}

fn partial(status: StatusCode, bytes: &[u8]) -> PartialAnswer {
    let line_is_whole = bytes.contains(&b'\n');
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut head = httparse::Response::new(&mut fields);
    let Ok(httparse::Status::Complete(len)) = head.parse(bytes) else {
        return PartialAnswer { status, line_is_whole, headers: None, body: Bytes::new() };
    };
    let fields = head.headers.iter();
    let headers: HeaderMap = fields
        .filter_map(|field| {
            let name = hyper::header::HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            Some((name, hyper::header::HeaderValue::from_bytes(field.value).ok()?))
        })
        .collect();
    let body = match headers.contains_key(TRANSFER_ENCODING) {
        true => chunked_part(&bytes[len..]),
        false => Bytes::copy_from_slice(&bytes[len..]),
    };
    PartialAnswer { status, line_is_whole, headers: Some(headers), body }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn status_of(bytes: &[u8]) -> (u16, bool, bool, Bytes) {
        match Beginning::of(bytes) {
            Beginning::Status(partial) => {
                (partial.status.as_u16(), partial.line_is_whole, partial.headers.is_some(), partial.body)
            }
            other => panic!("{other:?}"),
        }
    }

    /// Guards final answers that were cut: as much as has come is read, and what may still become one is told apart from
    /// what cannot.
    #[test]
    fn an_answer_is_read_as_far_as_it_has_come() {
        assert_eq!(Beginning::of(b""), Beginning::Nothing);
        for (bytes, digits) in [("H", ""), ("HTTP/1.1", ""), ("HTTP/1.1 ", ""), ("HTTP/1.0 41", "41")] {
            assert_eq!(Beginning::of(bytes.as_bytes()), Beginning::Digits(digits.to_string()), "{bytes}");
        }
        for bytes in ["noise", "HTTP/2", "HTTP/1.1 4x", "HTTP/1.1 4100", "HTTP/1.x 410", "HTTP/1.1410"] {
            assert_eq!(Beginning::of(bytes.as_bytes()), Beginning::Unreadable(Bytes::from(bytes)), "{bytes}");
        }
        assert_eq!(status_of(b"HTTP/1.1 410"), (410, false, false, Bytes::new()));
        assert_eq!(status_of(b"HTTP/1.1 504 No\r\nContent-Le"), (504, true, false, Bytes::new()));
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
        assert_eq!(status_of(format!("{head}abc").as_bytes()), (200, true, true, Bytes::from("abc")));
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n4\r\ncd";
        assert_eq!(status_of(chunked.as_bytes()), (200, true, true, Bytes::from("abcd")));
    }

    /// Guards the same behind informational answers, however many there are.
    #[test]
    fn informational_answers_are_passed_over() {
        let early = "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n".repeat(40);
        assert_eq!(Beginning::of(early.as_bytes()), Beginning::Nothing);
        assert_eq!(Beginning::of(b"HTTP/1.1 103 Early Hints\r\nX:"), Beginning::Nothing);
        assert_eq!(status_of(format!("{early}HTTP/1.1 410 Gone\r\n").as_bytes()).0, 410);
        assert_eq!(
            Beginning::of(format!("{early}HTTP/1.1 4").as_bytes()),
            Beginning::Digits("4".to_string())
        );
    }
}
