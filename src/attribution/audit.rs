//! Counts answers, and checks each decision on one against a second account.

use super::{Doubt, Proof, Verdict};
use std::collections::BTreeMap;

/// Answers counted so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// First answers of their connections.
    pub first: u64,
    /// Later ones that were known by what they read like.
    pub unlike: u64,
    /// Doubtful ones, by reason.
    pub doubtful: BTreeMap<Doubt, u64>,
    /// Times at which something came on a connection without a call.
    pub surplus: u64,
    /// Answers that were about to be acted on though they are not known to be their call's.
    pub violations: u64,
}

/// The run-time check that nothing rests on an answer that is not known to be its call's.
#[derive(Debug, Default)]
pub struct Audit {
    counts: Counts,
}

impl Audit {
    /// What was counted.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// An answer was judged.
    pub fn judged(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Known(Proof::First) => self.counts.first += 1,
            Verdict::Known(Proof::Unlike) => self.counts.unlike += 1,
            Verdict::Doubtful(doubt) => *self.counts.doubtful.entry(doubt).or_default() += 1,
        }
    }

    /// Something came on a connection without a call.
    pub fn surplus(&mut self) {
        self.counts.surplus += 1;
    }

    /// Whether an outcome that says that a message is over, or that it never ran, may rest on an answer that was judged
    /// so, where its request was the `request`th of its connection, from 1. Counts a violation where it may not.
    pub fn admits(&mut self, verdict: Option<Verdict>, request: usize) -> bool {
        let sound = match verdict {
            Some(Verdict::Known(Proof::First)) => request == 1,
            Some(Verdict::Known(Proof::Unlike)) => request > 1,
            Some(Verdict::Doubtful(_)) | None => false,
        };
        self.counts.violations += u64::from(!sound);
        sound
    }
}
