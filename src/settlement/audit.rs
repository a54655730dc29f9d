//! The run-time check that no call begins for a message after its final answer, proven or not, or after the end that the
//! relay gave it: an account of its own, beside what is known of each open message.

use crate::attribution::Via;
use crate::interface::Nanos;
use lru::LruCache;
use std::fmt;
use std::num::NonZeroUsize;

/// Messages of which the final answer is remembered, the latest ones.
const REMEMBERED: NonZeroUsize = NonZeroUsize::new(4_096).unwrap();

/// After what no call may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Last {
    /// A final answer that is known to be that of its call.
    Proven,
    /// A final answer that may be another's, or may be none.
    Unproven,
    /// The relay has ended the message by itself.
    Ended,
    /// An earlier process knew of one of these.
    Earlier,
}

/// When a message had its last word, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LastWord {
    /// What it was.
    pub last: Last,
    /// When, by the relay's clock in nanoseconds of Unix time.
    pub at: Nanos,
    /// The endpoint that answered; empty where none did.
    pub hop: String,
    /// The connection and the request that it answered.
    pub via: Via,
}

impl LastWord {
    /// One that no endpoint said.
    pub fn without_answer(last: Last, at: Nanos) -> LastWord {
        LastWord { last, at, hop: String::new(), via: Via::default() }
    }
}

impl fmt::Display for LastWord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LastWord { last, at, hop, via } = self;
        write!(f, "after its last word ({last:?}) at {at} from '{hop}', {via}")
    }
}

/// Last words counted so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Final answers that were proven.
    pub proven: u64,
    /// Final answers that were not.
    pub unproven: u64,
    /// Ends that the relay gave without one.
    pub ended: u64,
    /// Calls that were about to begin after one.
    pub violations: u64,
}

/// The account of last words.
#[derive(Debug)]
pub struct Audit {
    by_id: LruCache<String, LastWord>,
    counts: Counts,
}

impl Default for Audit {
    fn default() -> Audit {
        Audit { by_id: LruCache::new(REMEMBERED), counts: Counts::default() }
    }
}

impl Audit {
    /// What was counted.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The message with this id has had its last word; the first one stands.
    pub fn note(&mut self, id: &str, word: LastWord) {
        if self.by_id.contains(id) {
            return;
        }
        match word.last {
            Last::Proven => self.counts.proven += 1,
            Last::Unproven => self.counts.unproven += 1,
            Last::Ended => self.counts.ended += 1,
            Last::Earlier => {}
        }
        self.by_id.put(id.to_string(), word);
    }

    /// A new message has this id.
    pub fn forget(&mut self, id: &str) {
        self.by_id.pop(id);
    }

    /// A call is about to begin for the message with this id: what should have kept it from that, which counts as a violation.
    pub fn violated_by(&mut self, id: &str) -> Option<LastWord> {
        let word = self.by_id.peek(id).cloned();
        self.counts.violations += u64::from(word.is_some());
        word
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the check itself: a call after a last word is found out and counted, with the first word; one for a new message
    /// under the id is none.
    #[test]
    fn a_call_after_a_last_word_is_a_violation() {
        let mut audit = Audit::default();
        assert_eq!(audit.violated_by("m1"), None);
        let word = |last, at| LastWord::without_answer(last, at);
        audit.note("m1", word(Last::Unproven, 5));
        audit.note("m1", word(Last::Ended, 7));
        assert_eq!(audit.violated_by("m1"), Some(word(Last::Unproven, 5)));
        assert_eq!(audit.counts(), Counts { unproven: 1, violations: 1, ..Counts::default() });
        audit.forget("m1");
        assert_eq!(audit.violated_by("m1"), None);
        for n in 0..2 * REMEMBERED.get() {
            audit.note(&n.to_string(), word(Last::Proven, 1));
        }
        assert_eq!(audit.by_id.len(), REMEMBERED.get());
    }
}
