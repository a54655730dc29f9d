//! How much of a list is taken in.

/// Bounds on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Most bytes of an answer's body.
    pub bytes: usize,
}

impl ListLimits {
    /// Whatever the memory, a list of so many bytes is taken in.
    const LEAST: usize = 4 << 20;

    /// For a relay that may hold so many bytes of memory. A body takes none itself, as it is decoded while it comes, and
    /// neither does an entry that repeats what is in force. One that is new takes about 1.8 times its text, with what
    /// the decision module keeps of it: a first list of half the memory in text leaves a little to all else.
    pub fn within(memory: usize) -> ListLimits {
        ListLimits { bytes: (memory / 2).max(Self::LEAST) }
    }
}

impl Default for ListLimits {
    fn default() -> Self {
        ListLimits { bytes: 64_000_000 }
    }
}
