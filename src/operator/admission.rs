//! `admission { ... }`: caps, networks, the reserve, and what is said to those turned away.

use super::section::{choice, count, form, number, span, Section};
use super::syntax::{Directive, Word};
use crate::admission::{Caps, Rate, Settings, Terms};
use crate::interface::Nanos;
use ipnet::IpNet;
use std::time::Duration;

/// What the operator says of admission; what is left out follows the descriptors that there are.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    room: Option<usize>,
    easy: Option<usize>,
    reserve: Option<usize>,
    records: usize,
    earns: f64,
    fade: Nanos,
    penalty_fade: Nanos,
    rest: Terms,
    networks: Vec<(IpNet, Terms)>,
    pub refusal: Refusal,
}

/// What a caller is told that is turned away before it has asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// 503, and when to come back.
    Unavailable(Duration),
    Close,
}

impl Said {
    pub fn read(mut section: Section<'_>) -> Said {
        let s = &mut section;
        let room = maybe(s, "room", "2/3 of the descriptors", count(1, 10_000_000));
        let easy = maybe(s, "ease-at", "1/4 of the descriptors", count(0, 10_000_000));
        let reserve = maybe(s, "reserve", "1/8 of the room", count(0, 10_000_000));
        if let (Some(room), Some(reserve), Some(at)) = (room, reserve, s.one("reserve")) {
            if reserve > room {
                s.fault(
                    &at.name.place,
                    format!("`reserve` is {reserve}, expected no more than `room`, {room}"),
                );
            }
        }
        let said = Said {
            room,
            easy,
            reserve,
            records: s.or("remember", "16384", count(1, 10_000_000)),
            earns: s.or("standing", "8", number(1.0, 1e6)),
            fade: s.or("standing-fades", "5m", span),
            penalty_fade: s.or("penalty-fades", "10s", span),
            refusal: refusal(s),
            rest: terms(s),
            networks: networks(s),
        };
        section.finish();
        said
    }

    /// What holds with so many descriptors as `plain` was made for.
    pub fn settings(&self, plain: Settings) -> Settings {
        let room = self.room.unwrap_or(plain.room).min(plain.room);
        Settings {
            room,
            easy: self.easy.unwrap_or(plain.easy),
            reserve: self.reserve.unwrap_or(room / 8).min(room),
            records: self.records,
            earns: self.earns as f32,
            fade: self.fade,
            penalty_fade: self.penalty_fade,
            rest: self.rest,
            networks: self.networks.clone(),
        }
    }
}

fn maybe(
    s: &mut Section<'_>,
    name: &'static str,
    default: &str,
    read: impl Fn(&str) -> Result<usize, String>,
) -> Option<usize> {
    let said = s.maybe(name, read);
    if said.is_none() {
        s.note(name, default, None);
    }
    said
}

fn refusal(s: &mut Section<'_>) -> Refusal {
    let default = Refusal::Unavailable(Duration::from_secs(1));
    let Some(directive) = s.one("refuse") else {
        s.note("refuse", "503 after 1s", None);
        return default;
    };
    let (before, found) = s.pairs(directive, &["after"]);
    let kinds: &'static [(&str, bool)] = &[("503", true), ("close", false)];
    let place = &directive.name.place;
    match before[..] {
        [kind] => match (s.read(kind, choice(kinds)), found[0]) {
            (Some(false), Some(after)) => {
                s.fault(&after.place, "`refuse close` says nothing, so it has no `after`".to_string());
                Refusal::Close
            }
            (Some(false), None) => Refusal::Close,
            (_, after) => {
                let after =
                    after.and_then(|w| s.read(w, span)).map_or(Duration::from_secs(1), Duration::from_nanos);
                Refusal::Unavailable(after)
            }
        },
        _ => {
            s.fault(place, "`refuse` expects `503 after TIME` or `close`".to_string());
            default
        }
    }
}

fn networks(s: &mut Section<'_>) -> Vec<(IpNet, Terms)> {
    let mut networks: Vec<(IpNet, Terms)> = Vec::new();
    for (name, mut section) in s.named_sections("network") {
        let net = s.read(name, form::<IpNet>("a network such as `10.1.0.0/16` or `2001:db8::/32`"));
        let known = section.said("known");
        let barred = section.said("barred");
        let front = section.said("front");
        let mut terms = terms(&mut section);
        (terms.known, terms.barred, terms.front) = (known, barred, front);
        if let Some(line) = section.one("together") {
            terms.together = caps(&section, line, 0).1;
        }
        if let (true, true, Some(place)) = (barred, known || front, section.place.clone()) {
            section.fault(&place, "a network that is `barred` can't be `known` or a `front` too".to_string());
        }
        section.finish();
        if let Some(net) = net {
            if net.trunc() != net {
                s.fault(
                    &name.place,
                    format!("`{net}` has bits beyond its prefix, expected `{}`", net.trunc()),
                );
            }
            networks.push((net.trunc(), terms));
        }
    }
    networks
}

/// `address legs N rate N/s burst N` and `prefix /V4 /V6 legs N ...`.
fn terms(s: &mut Section<'_>) -> Terms {
    let mut terms = Terms::default();
    if let Some(line) = s.one("address") {
        terms.address = caps(s, line, 0).1;
    }
    if let Some(line) = s.one("prefix") {
        let (bits, caps) = caps(s, line, 2);
        let bit = |word: &Word, most: u8| {
            s.read(word, |text| {
                let n = text.strip_prefix('/').and_then(|n| n.parse().ok()).filter(|n| *n <= most);
                n.ok_or_else(|| format!("a length of a prefix from `/0` to `/{most}`"))
            })
        };
        if let [v4, v6] = bits[..] {
            terms.prefix = bit(v4, 32).zip(bit(v6, 64));
        }
        terms.prefix_caps = caps;
    }
    terms
}

fn caps<'a>(s: &Section<'a>, line: &'a Directive, words: usize) -> (Vec<&'a Word>, Caps) {
    let (before, found) = s.pairs(line, &["legs", "rate", "burst"]);
    if before.len() != words {
        let expected = ["no words", "", "two prefixes (IPv4, IPv6) such as `/24 /56`"][words.min(2)];
        s.fault(&line.name.place, format!("`{}` expects {expected} before `legs` or `rate`", line.name.text));
    }
    let legs = found[0].and_then(|w| s.read(w, count(0, 10_000_000))).map(|n| n as u32);
    let each_second = found[1].and_then(|w| {
        s.read(w, |text| {
            let n =
                text.strip_suffix("/s").and_then(|n| n.parse::<f64>().ok()).filter(|n| *n > 0.0 && *n <= 1e7);
            n.ok_or_else(|| "a rate such as `20/s`".to_string())
        })
    });
    let burst = found[2].and_then(|w| s.read(w, number(1.0, 1e7)));
    match (found[1], found[2]) {
        (None, Some(w)) => s.fault(&w.place, "`burst` says nothing without a `rate`".to_string()),
        (None, None) if found[0].is_none() => {
            s.fault(
                &line.name.place,
                format!("`{}` caps nothing, expected `legs` or `rate`", line.name.text),
            );
        }
        _ => {}
    }
    let rate =
        each_second.map(|each_second| Rate { each_second, burst: burst.unwrap_or(each_second.max(1.0)) });
    (before, Caps { legs, rate })
}
