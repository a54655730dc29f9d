//! A mark in the folder that the journal lacks records of what has happened.
//!
//! A full or failing disk takes no more bytes, but as a rule it still renames a file that is there. So an empty file is laid
//! ready under one name, and has the other one while records are missing.

use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

const COMPLETE: &str = "relay.journal.complete";
const BEHIND: &str = "relay.journal.behind";

/// Whether the journal in a folder lacks records, as the folder itself tells the next process.
#[derive(Debug)]
pub(super) struct BehindMark {
    complete: PathBuf,
    behind: PathBuf,
    is_set: bool,
}

impl BehindMark {
    /// As an earlier process left it; lays the file ready where there is none.
    pub fn open(dir: &Path) -> BehindMark {
        let (complete, behind) = (dir.join(COMPLETE), dir.join(BEHIND));
        let is_set = behind.exists();
        if !is_set && !complete.exists() {
            // Where that fails it is tried again when it is needed.
            create(&complete).ok();
        }
        BehindMark { complete, behind, is_set }
    }

    /// Whether records were missing when the earlier process ended, or are missing now.
    pub fn is_set(&self) -> bool {
        self.is_set
    }

    /// Records are missing from now on.
    pub fn set(&mut self) -> io::Result<()> {
        if !self.is_set {
            fs::rename(&self.complete, &self.behind).or_else(|_| create(&self.behind))?;
            self.is_set = true;
        }
        Ok(())
    }

    /// None are missing any more. Where that cannot be said, the next process takes too much for missing.
    pub fn clear(&mut self) {
        if self.is_set && fs::rename(&self.behind, &self.complete).is_ok() {
            self.is_set = false;
        }
    }
}

fn create(path: &Path) -> io::Result<()> {
    OpenOptions::new().create(true).truncate(false).write(true).open(path).map(drop)
}
