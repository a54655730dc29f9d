//! `fleet { ... }`: whether this relay is one of a fleet whose members know of one another. Off where it is left out.

use super::section::{choice, form, span, text, Section};
use super::syntax::Place;
use crate::interface::{Nanos, MS, SEC};
use crate::membership::{wire, Terms};
use std::net::SocketAddr;

#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where the section stands, for what is wrong with it as a whole.
    pub place: Option<Place>,
    pub name: String,
    pub listen: SocketAddr,
    pub reach: SocketAddr,
    pub room: String,
    pub join: Vec<SocketAddr>,
    /// Limits, trials and cold budgets are dealt out among the relays.
    pub deals: bool,
    pub terms: Terms,
}

const ADDRESS: &str = "an IP address and a port such as `10.0.0.4:7000`";

/// A time within bounds.
fn within(least: Nanos, most: Nanos, words: &'static str) -> impl Fn(&str) -> Result<Nanos, String> {
    move |said| span(said).ok().filter(|n| (least..=most).contains(n)).ok_or_else(|| words.to_string())
}

fn short(said: &str) -> Result<String, String> {
    let found = text(said)?;
    (found.len() <= wire::NAME_MOST)
        .then_some(found)
        .ok_or_else(|| format!("at most {} bytes", wire::NAME_MOST))
}

pub fn read(mut s: Section<'_>) -> Option<Fleet> {
    if !s.is_there() {
        return None;
    }
    let or = Terms::default();
    let place = s.place.clone();
    let name = s.need("name", short);
    let listen = s.need("listen", |said| form::<SocketAddr>(ADDRESS)(said).map(Some));
    let reach = s.maybe("reach", form::<SocketAddr>(ADDRESS));
    let room = s.maybe("room", short).unwrap_or_default();
    let mut join = Vec::new();
    for directive in s.many("join") {
        for word in &directive.values {
            join.extend(s.read(word, form::<SocketAddr>(ADDRESS)));
        }
        let words: Vec<&str> = directive.values.iter().map(|w| w.text.as_str()).collect();
        s.note("join", &words.join(" "), Some(&directive.name.place));
    }
    let deals = s.maybe("deals", choice(&[("on", true), ("off", false)])).unwrap_or(true);
    let probe = within(50 * MS, 10 * SEC, "a time from 50ms to 10s");
    let suspect = within(500 * MS, 300 * SEC, "a time from 500ms to 5m");
    let forget = within(SEC, 30 * 86_400 * SEC, "a time from 1s to 30 days");
    let probe = s.maybe("probe", probe).unwrap_or(or.probe);
    let least = s.maybe("suspect", suspect).unwrap_or(or.suspect_least);
    let forget = s.maybe("forget", forget).unwrap_or(or.forget);
    // The other spans keep their proportions to these two.
    let scale = |n: Nanos| (n as f64 * probe as f64 / or.probe as f64) as Nanos;
    let terms = Terms {
        probe,
        answer: scale(or.answer),
        accuse: scale(or.accuse),
        pause: scale(or.pause).max(or.pause),
        alone: scale(or.alone).max(or.alone),
        suspect_least: least,
        suspect_most: 3 * least,
        forget,
        ..or
    };
    let reached = reach.or(listen);
    if let (Some(at), Some(place)) = (reached.filter(|at| at.ip().is_unspecified() || at.port() == 0), &place)
    {
        s.fault(place, format!("the others cannot reach {at}, expected `reach` with {ADDRESS}"));
    }
    s.finish();
    let (listen, reach) = (listen?, reached?);
    Some(Fleet { place, name, listen, reach, room, join, deals, terms })
}

impl Fleet {
    /// The settings say whether relays may talk to one another.
    pub fn allowed(&self, peers: Option<bool>) -> Result<(), String> {
        if peers != Some(false) {
            return Ok(());
        }
        let place = self.place.as_ref().map(|p| format!("{p}: ")).unwrap_or_default();
        Err(format!(
            "{place}`fleet` is set, but the platform's settings say `limits.peers` false, expected no section `fleet` there"
        ))
    }
}
