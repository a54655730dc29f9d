//! Reads files that somebody else may be writing.

use std::fs::{self, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// A file that changes while it is read is read again, so many times at most.
const READS_MOST: usize = 5;

/// The text of a file, which was one file and the same from the first byte to the last. An error begins with the file's name.
pub(super) fn read(path: &Path) -> Result<String, String> {
    let said = |e: std::io::Error| format!("{}: {e}", path.display());
    for _ in 0..READS_MOST {
        let before = fs::metadata(path).map_err(said)?;
        let text = fs::read_to_string(path).map_err(said)?;
        let after = fs::metadata(path).map_err(said)?;
        let is_settled = is_same(&before, &after) && text.len() as u64 == after.len();
        // What is no file, such as a pipe, is read once.
        if is_settled || !before.is_file() {
            return Ok(text);
        }
    }
    Err(format!("{}: it changes while it is read", path.display()))
}

fn is_same(one: &Metadata, other: &Metadata) -> bool {
    let identity = |file: &Metadata| (file.dev(), file.ino(), file.len(), file.mtime(), file.mtime_nsec());
    identity(one) == identity(other)
}
