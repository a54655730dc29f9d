//! A journal read while another process writes it, so that little is left to read once it is ours.

use super::super::classes::Classes;
use super::replay::{replay, Replayed};
use super::torn::TornEnd;
use super::NAME;
use bytes::Bytes;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// What the whole records of a journal said up to a place in its file.
#[derive(Debug)]
pub struct Preread {
    /// Device and number of the file: a copy takes the place of it from time to time.
    file: Option<(u64, u64)>,
    pub(super) good: u64,
    pub(super) replayed: Replayed,
}

impl Preread {
    /// Nothing was read.
    pub fn none() -> Preread {
        let replayed = Replayed { next_no: 1, ..Replayed::default() };
        Preread { file: None, good: 0, replayed }
    }

    /// Reads what there is in a folder, and changes nothing.
    pub fn of(dir: &Path, classes: &Classes) -> io::Result<Preread> {
        Preread::none().go_on(&dir.join(NAME), classes)
    }

    /// Reads on from where it was left, or from the start where another file has taken its place.
    pub(super) fn go_on(self, path: &Path, classes: &Classes) -> io::Result<Preread> {
        let none = || {
            let mut none = Preread::none();
            none.replayed.classes = classes.clone();
            none
        };
        let mut file = match File::open(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(none()),
            file => file?,
        };
        let meta = file.metadata()?;
        let is = Some((meta.dev(), meta.ino()));
        let mut read = if self.file == is && self.good <= meta.len() { self } else { none() };
        file.seek(SeekFrom::Start(read.good))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        let bytes = Bytes::from(bytes);
        let good = replay(&bytes, &mut read.replayed);
        read.replayed.torn = bytes.len() as u64 - good;
        read.replayed.torn_end = TornEnd::of(&bytes[good as usize..]);
        read.good += good;
        read.file = is;
        Ok(read)
    }
}
