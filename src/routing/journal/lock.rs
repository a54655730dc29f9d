//! The lock that makes one process the writer of a journal. The system releases it with the process, however that ends.

use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, Write};
use std::path::Path;

const NAME: &str = "relay.lock";
/// Where nobody says who holds it.
const UNKNOWN: &str = "unknown";
/// Most bytes that are read of who holds a lock.
const HOLDER_MOST: u64 = 256;

/// Held by the one process that may write what a folder holds.
#[derive(Debug)]
pub struct WriterLock {
    file: File,
}

/// Why a folder could not be opened for writing.
#[derive(Debug)]
pub enum OpenError {
    /// Another process writes it: what it says of itself, for a message.
    InUse(String),
    /// The system refused.
    Io(io::Error),
}

impl From<io::Error> for OpenError {
    fn from(e: io::Error) -> Self {
        OpenError::Io(e)
    }
}

impl From<OpenError> for io::Error {
    fn from(e: OpenError) -> Self {
        match e {
            OpenError::InUse(_) => io::Error::new(io::ErrorKind::WouldBlock, e.to_string()),
            OpenError::Io(e) => e,
        }
    }
}

impl fmt::Display for OpenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OpenError::InUse(holder) => write!(f, "it is in use by another process ({holder})"),
            OpenError::Io(e) => e.fmt(f),
        }
    }
}

impl WriterLock {
    /// Takes the lock of a folder, or says who has it. Nothing else of the folder is touched.
    pub fn take(dir: &Path) -> Result<WriterLock, OpenError> {
        let path = dir.join(NAME);
        let mut file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        loop {
            match flock(&file, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => break,
                Err(Errno::INTR) => {}
                Err(Errno::WOULDBLOCK) => return Err(OpenError::InUse(holder(&mut file))),
                Err(e) => return Err(OpenError::Io(e.into())),
            }
        }
        let before = holder(&mut file);
        if before != UNKNOWN {
            tracing::warn!(target: "journal", event = "process-killed", before, "the {before} that had the folder ended without a word: it was killed, or for want of memory, or by a fault");
        }
        // Who holds it is for people to read: the lock holds without it.
        let me = format!("process {}\n", std::process::id());
        if file.set_len(0).and_then(|()| file.rewind()).is_ok() {
            file.write_all(me.as_bytes()).ok();
        }
        Ok(WriterLock { file })
    }

    /// The process that has it ends as it should, or gives it away: the next one does not find a holder named.
    pub fn clear_holder(&self) {
        self.file.set_len(0).ok();
    }
}

fn holder(file: &mut File) -> String {
    let mut text = String::new();
    file.take(HOLDER_MOST).read_to_string(&mut text).ok();
    match text.trim() {
        "" => UNKNOWN.to_string(),
        holder => holder.to_string(),
    }
}
