//! The name of a configuration in the log.

use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Names the text of a configuration: the same text has the same version in each process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Version(u32);

impl Version {
    /// The version of a text.
    pub fn of(text: &str) -> Version {
        Version(xxh3_64(text.as_bytes()) as u32)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}
