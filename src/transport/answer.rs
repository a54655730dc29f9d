//! Answers that came whole, cut out of what came on a connection.

use super::beginning::Beginning;
use super::pool::ANSWER_MOST;
use crate::attribution::{Verdict, Via};
use bytes::{Buf, Bytes, BytesMut};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, StatusCode};
use std::rc::Rc;

/// Most headers of an answer.
const HEADERS_MOST: usize = 64;

/// An answer that came whole.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// An answer, as the call hears it to which it came.
#[derive(Clone, Debug)]
pub struct Answered {
    /// The answer.
    pub answer: Rc<Answer>,
    /// Whether it is known to be that of the call.
    pub verdict: Verdict,
    /// The call's connection, and the place of its request there.
    pub via: Via,
    /// Where it is not known for that: answers behind it, each of which may be the call's.
    pub later: Vec<Rc<Answer>>,
    /// The same of an answer that has not come whole.
    pub begun: Beginning,
}

impl Answered {
    /// With nothing behind it.
    pub fn new(answer: Answer, verdict: Verdict, via: Via) -> Answered {
        let answer = Rc::new(answer);
        Answered { answer, verdict, via, later: Vec::new(), begun: Beginning::Nothing }
    }
}

/// What came is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable;

/// Takes the first answer out of what came, if it is whole: with it, whether the line closes after it. 1xx are passed
/// over.
pub fn parse(buffer: &mut BytesMut) -> Result<Option<(Answer, bool)>, Unreadable> {
    loop {
        if buffer.len() > ANSWER_MOST {
            return Err(Unreadable);
        }
        let mut fields = [httparse::EMPTY_HEADER; HEADERS_MOST];
        let mut head = httparse::Response::new(&mut fields);
        let head_len = match head.parse(buffer) {
            Ok(httparse::Status::Complete(n)) => n,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Unreadable),
        };
        let status = head.code.and_then(|c| StatusCode::from_u16(c).ok()).ok_or(Unreadable)?;
        if status.is_informational() && status != StatusCode::SWITCHING_PROTOCOLS {
            buffer.advance(head_len);
            continue;
        }
        let mut headers = HeaderMap::new();
        for field in head.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| Unreadable)?;
            headers.append(name, HeaderValue::from_bytes(field.value).map_err(|_| Unreadable)?);
        }
        let says = |value: &str| {
            let all = headers.get_all(CONNECTION).iter().filter_map(|v| v.to_str().ok());
            all.flat_map(|v| v.split(',')).any(|v| v.trim().eq_ignore_ascii_case(value))
        };
        let closes = says("close") || (head.version == Some(0) && !says("keep-alive"));
        let none = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        let (body, len) = if none {
            (Bytes::new(), head_len)
        } else if let Some(coding) = headers.get(TRANSFER_ENCODING) {
            // With a length beside it the end of the answer is anybody's guess.
            if headers.contains_key(CONTENT_LENGTH) || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Unreadable);
            }
            match chunked(&buffer[head_len..])? {
                Some((body, len)) => (body, head_len + len),
                None => return Ok(None),
            }
        } else {
            // Without a length the body would end with the line, on which others wait.
            let len: usize = one_length(&headers)?;
            if len > ANSWER_MOST {
                return Err(Unreadable);
            }
            if buffer.len() < head_len + len {
                return Ok(None);
            }
            (Bytes::copy_from_slice(&buffer[head_len..head_len + len]), head_len + len)
        };
        buffer.advance(len);
        return Ok(Some((Answer { status, headers, body }, closes)));
    }
}

fn one_length(headers: &HeaderMap) -> Result<usize, Unreadable> {
    let mut all = headers.get_all(CONTENT_LENGTH).iter();
    let text = all.next().and_then(|v| v.to_str().ok()).ok_or(Unreadable)?;
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !plain || all.any(|other| other.as_bytes() != text.as_bytes()) {
        return Err(Unreadable);
    }
    text.parse().map_err(|_| Unreadable)
}

/// A body in chunks and how many bytes it took; `None` while it is not whole.
fn chunked(bytes: &[u8]) -> Result<Option<(Bytes, usize)>, Unreadable> {
    let (mut body, mut at) = (BytesMut::new(), 0);
    loop {
        let rest = bytes.get(at..).unwrap_or_default();
        let (head, size) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((head, size))) => (head, size as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Unreadable),
        };
        if size > ANSWER_MOST {
            return Err(Unreadable);
        }
        at += head;
        if size == 0 {
            // Trailers are passed over, up to the empty line.
            loop {
                let rest = bytes.get(at..).unwrap_or_default();
                let Some(end) = rest.iter().position(|b| *b == b'\n') else { return Ok(None) };
                at += end + 1;
                if matches!(&rest[..end], b"" | b"\r") {
                    return Ok(Some((body.freeze(), at)));
                }
            }
        }
        let Some(chunk) = bytes.get(at..at + size + 2) else { return Ok(None) };
        if !chunk.ends_with(b"\r\n") {
            return Err(Unreadable);
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
}

/// As much of a body in chunks as has come.
pub(super) fn chunked_part(mut bytes: &[u8]) -> Bytes {
    let mut body = BytesMut::new();
    while let Ok(httparse::Status::Complete((head, size))) = httparse::parse_chunk_size(bytes) {
        let chunk = &bytes[head..];
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size == 0 {
            break;
        }
        body.extend_from_slice(&chunk[..size.min(chunk.len())]);
        let Some(rest) = size.checked_add(2).and_then(|end| chunk.get(end..)) else { break };
        bytes = rest;
    }
    body.freeze()
}
