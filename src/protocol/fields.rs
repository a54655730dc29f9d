//! Small fields of the platform's protocol.

use crate::interface::Nanos;
use std::str::FromStr;
use std::time::Duration;

/// `480m` or `250u`: a number and a unit, milliseconds or microseconds.
pub fn span(text: &str) -> Option<Nanos> {
    let text = text.trim();
    let (number, unit) = match text.strip_suffix('m') {
        Some(n) => (n, 1e6),
        None => (text.strip_suffix('u')?, 1e3),
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value: f64 = number.parse().ok().filter(|_| plain)?;
    Some((value * unit) as Nanos)
}

/// A span as `X-Timeout` states it.
pub fn span_text(span: Nanos) -> String {
    format!("{}m", span.div_ceil(1_000_000).max(1))
}

/// Seconds with decimals, as in `Retry-After`.
pub fn seconds(text: &str) -> Option<Nanos> {
    let value: f64 = text.trim().parse().ok()?;
    (0.0..1e9).contains(&value).then_some((value * 1e9).ceil() as Nanos)
}

pub fn seconds_text(span: Nanos) -> String {
    format!("{:.3}", Duration::from_nanos(span).as_secs_f64())
}

/// The value of `name=...` among fields set apart by commas.
pub fn value<T: FromStr>(text: &str, name: &str) -> Option<T> {
    text.split(',').find_map(|f| f.trim().strip_prefix(name)?.strip_prefix('=')?.trim().parse().ok())
}

/// An id or idempotency key that can stand in a line of a batch.
pub fn token(text: &str) -> bool {
    !text.is_empty() && text != "-" && text.len() <= 512 && text.bytes().all(|b| b.is_ascii_graphic())
}

/// The value of a query parameter, with its escapes undone.
pub fn query(query: Option<&str>, name: &str) -> Option<String> {
    let raw = query?.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
    let mut bytes = Vec::with_capacity(raw.len());
    let mut rest = raw.bytes();
    while let Some(b) = rest.next() {
        let hex = |b: u8| (b as char).to_digit(16);
        let escaped = || {
            let mut ahead = rest.clone();
            Some((hex(ahead.next()?)? * 16 + hex(ahead.next()?)?) as u8)
        };
        match (b, if b == b'%' { escaped() } else { None }) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest.nth(1);
            }
            (b'+', _) => bytes.push(b' '),
            _ => bytes.push(b),
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned()).filter(|s| !s.is_empty())
}
