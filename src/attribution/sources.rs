//! Which calls may share a connection with earlier ones, by what an endpoint's answers were like.

use super::fingerprint::SUCCESS;
use super::{Exchanges, Fingerprint};
use crate::catalog::EndpointId;
use crate::interface::Nanos;
use lru::LruCache;
use std::num::NonZeroUsize;

/// An endpoint that has sent an answer twice gets each call on a new connection for so long.
const COPIES_REMEMBERED: Nanos = 60_000_000_000;
/// Endpoints of which it is known what their answers are like.
const SOURCES_MOST: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// How a call may use a connection that carried others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Not at all: it needs a new one.
    No,
    /// As its last call: the answer to a request to close says so, and reads like none before it.
    AsLast,
    /// As one of many.
    Yes,
}

/// Whether an endpoint's successes read alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Likeness {
    #[default]
    Unknown,
    Alike,
    Unlike,
}

#[derive(Debug, Default)]
struct Source {
    likeness: Likeness,
    last_success: Option<u64>,
    /// It sends answers twice, as far as is known until then.
    copies_until: Nanos,
}

/// What the answers of endpoints are like.
#[derive(Debug)]
pub struct Sources(LruCache<EndpointId, Source>);

impl Default for Sources {
    fn default() -> Sources {
        Sources(LruCache::new(SOURCES_MOST))
    }
}

impl Sources {
    /// How a call to this endpoint may use a connection that carried others. One that may not be repeated does so only
    /// where its answer will be known to be its own, whatever it says.
    pub fn reuse(&self, endpoint: EndpointId, repeatable: bool, now: Nanos) -> Reuse {
        let unknown = Source::default();
        let source = self.0.peek(&endpoint).unwrap_or(&unknown);
        if now < source.copies_until {
            return Reuse::No;
        }
        match (source.likeness, repeatable) {
            (Likeness::Unlike, _) | (Likeness::Unknown, true) => Reuse::Yes,
            (Likeness::Alike, true) => Reuse::AsLast,
            (Likeness::Unknown | Likeness::Alike, false) => Reuse::No,
        }
    }

    /// Whether a call may go on this connection. What may not be repeated goes on none that carried a refusal: another
    /// would read like it, and could not be told from its copy.
    pub fn may_carry(&self, exchanges: &Exchanges, repeatable: bool) -> bool {
        exchanges.in_step() && (repeatable || exchanges.only_successes())
    }

    /// An answer that is known to be its call's.
    pub fn known(&mut self, endpoint: EndpointId, answer: &Fingerprint) {
        if answer.status() != SUCCESS {
            return;
        }
        let source = self.0.get_or_insert_mut(endpoint, Source::default);
        let content = answer.content();
        if let Some(last) = source.last_success.replace(content) {
            source.likeness = if last == content { Likeness::Alike } else { Likeness::Unlike };
        }
    }

    /// A success that may be another call's. Where successes read alike it may well be honest; elsewhere it was sent twice.
    pub fn doubtful_success(&mut self, endpoint: EndpointId, asked_to_close: bool, now: Nanos) {
        let source = self.0.get_or_insert_mut(endpoint, Source::default);
        match source.likeness {
            Likeness::Unknown => source.likeness = Likeness::Alike,
            Likeness::Alike if !asked_to_close => {}
            Likeness::Alike | Likeness::Unlike => source.copies_until = now.saturating_add(COPIES_REMEMBERED),
        }
    }

    /// Something came while no call was out.
    pub fn surplus(&mut self, endpoint: EndpointId, now: Nanos) {
        let source = self.0.get_or_insert_mut(endpoint, Source::default);
        source.copies_until = now.saturating_add(COPIES_REMEMBERED);
    }
}
