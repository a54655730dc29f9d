//! `batching { ... }`: how much travels together, for each kind or next hop.

use super::section::{choice, count, span, Section};
use crate::batching::{Counts, Size, Table, Terms};

const SIZES: &[(&str, Size)] = &[("fixed", Size::Fixed), ("adaptive", Size::Adaptive)];
const COUNTS: &[(&str, Counts)] = &[("calls", Counts::Calls), ("messages", Counts::Messages)];
const SHARES: &[(&str, bool)] = &[("alone", false), ("shared", true)];

/// Reads the section: terms for all, and under `kind NAME` and `next-hop NAME` what differs there.
pub fn read(mut section: Section<'_>) -> Table {
    let rest = terms(&mut section, Terms::default());
    let kinds = named(&mut section, "kind", rest);
    let hops = named(&mut section, "next-hop", rest);
    section.finish();
    Table { rest, kinds, hops }
}

fn named(section: &mut Section<'_>, kind: &'static str, rest: Terms) -> Vec<(String, Terms)> {
    let each = |(name, mut inner): (&super::syntax::Word, Section<'_>)| {
        let terms = terms(&mut inner, rest);
        inner.finish();
        (name.text.clone(), terms)
    };
    section.named_sections(kind).into_iter().map(each).collect()
}

/// What is left out is as it is for all.
fn terms(s: &mut Section<'_>, or: Terms) -> Terms {
    Terms {
        messages: s.maybe("messages", count(1, 10_000)).unwrap_or(or.messages),
        bytes: s.maybe("bytes", count(1, 64 << 20)).unwrap_or(or.bytes),
        linger: s.maybe("linger", span).unwrap_or(or.linger),
        size: s.maybe("size", choice(SIZES)).unwrap_or(or.size),
        counts: s.maybe("limit-counts", choice(COUNTS)).unwrap_or(or.counts),
        depth: s.maybe("depth", count(1, 1_000)).unwrap_or(or.depth),
        unsafe_shares: s.maybe("unsafe", choice(SHARES)).unwrap_or(or.unsafe_shares),
    }
}
