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

    /// For a relay that may hold so many bytes of memory. A body takes none itself, as it is decoded while it comes; an
    /// entry that it names takes about as much as its text, for a while twice: in the list in force and the one that
    /// comes. So a quarter leaves half to all else.
    pub fn within(memory: usize) -> ListLimits {
        ListLimits { bytes: (memory / 4).max(Self::LEAST) }
    }
}

impl Default for ListLimits {
    fn default() -> Self {
        ListLimits { bytes: 64_000_000 }
    }
}
