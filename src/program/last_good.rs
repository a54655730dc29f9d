//! The last files that were good, kept in the lasting folder: a process that starts over a broken one serves by what was in
//! force before.

use crate::configuration::{Configuration, Origin};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

/// Of what the folder may hold, one part in so many is for each copy of a file.
const PART: u64 = 16;
/// A copy is never larger, in bytes.
const COPY_MOST: u64 = 64 * 1024;
/// What could not be written is tried again after this time.
const WRITE_AGAIN: Duration = Duration::from_secs(1);
/// Others than the owner are not to read passwords.
const MODE: u32 = 0o600;

/// A file that is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Name {
    /// The platform's configuration.
    Configuration,
    /// The operator's file, with all that it includes.
    Operator,
    /// Endpoints that drain or have left.
    Departures,
}

impl Name {
    /// Files of the largest size.
    const COUNT: u64 = 2;

    fn file(self) -> &'static str {
        match self {
            Name::Configuration => "relay.config",
            Name::Operator => "operator.config",
            Name::Departures => "relay.departures",
        }
    }

    fn copy(self) -> &'static str {
        match self {
            Name::Configuration => "relay.config.new",
            Name::Operator => "operator.config.new",
            Name::Departures => "relay.departures.new",
        }
    }
}

/// Bytes that a kept file may have, in a folder that may hold so many.
fn copy_most(disk_bytes: u64) -> u64 {
    (disk_bytes / PART).min(COPY_MOST)
}

/// Bytes that the file of departures may have.
pub(super) fn departures_most(disk_bytes: u64) -> u64 {
    copy_most(disk_bytes) / 2
}

/// Bytes that kept files may take of such a folder: one of them is there twice while it is replaced, and so is that of departures.
pub(super) fn room(disk_bytes: u64) -> u64 {
    copy_most(disk_bytes) * (Name::COUNT + 1) + departures_most(disk_bytes) * 2
}

/// The configuration that was in force last.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct LastConfiguration {
    /// Its text.
    pub text: String,
    /// How its discovery came into force.
    pub origin: Origin,
}

/// Reads what was kept; none where nothing was, or not whole.
pub(super) fn read(dir: &Path, name: Name) -> Option<String> {
    let bytes = fs::read_to_string(dir.join(name.file())).ok()?;
    let (sum, text) = bytes.split_once('\n')?;
    (u64::from_str_radix(sum, 16) == Ok(xxh3_64(text.as_bytes()))).then(|| text.to_string())
}

/// The configuration that was in force last in this folder.
pub(super) fn configuration(dir: &Path) -> Option<LastConfiguration> {
    serde_json::from_str(&read(dir, Name::Configuration)?).ok()
}

/// The operator's file that was in force last in this folder.
pub(super) fn operator(dir: &Path) -> Option<String> {
    read(dir, Name::Operator)
}

/// Replaces a kept file: it is there whole, the old one or the new one.
pub(super) fn write(dir: &Path, name: Name, text: &str) -> io::Result<()> {
    let copy = dir.join(name.copy());
    let mut file = OpenOptions::new().write(true).create(true).truncate(true).mode(MODE).open(&copy)?;
    let bytes = format!("{:016x}\n{text}", xxh3_64(text.as_bytes()));
    let written = file.write_all(bytes.as_bytes()).and_then(|()| fs::rename(&copy, dir.join(name.file())));
    written.inspect_err(|_| drop(fs::remove_file(&copy)))
}

/// Keeps files of one folder, however long it takes no writes.
pub(super) struct Keeper {
    dir: PathBuf,
    /// Bytes that a file may have.
    most: u64,
    /// What could not be written yet.
    pending: RefCell<BTreeMap<Name, String>>,
    behind: Notify,
}

impl Keeper {
    /// For a folder that may hold so many bytes.
    pub fn new(dir: &Path, disk_bytes: u64) -> Rc<Keeper> {
        let (pending, behind) = (RefCell::default(), Notify::new());
        Rc::new(Keeper { dir: dir.to_path_buf(), most: copy_most(disk_bytes), pending, behind })
    }

    /// Keeps the configuration that is in force; one that is too large without its endpoints.
    pub fn keep_configuration(&self, configuration: &Configuration) {
        let kept = |text: String| {
            let last = LastConfiguration { text, origin: configuration.origin };
            serde_json::to_string(&last).unwrap_or_default()
        };
        let whole = kept(configuration.text.to_string());
        let is_small = whole.len() as u64 <= self.most;
        self.keep(
            Name::Configuration,
            if is_small { whole } else { kept(configuration.without_endpoints()) },
        );
    }

    /// Keeps a file, if not now, then as soon as it can be written.
    pub fn keep(&self, name: Name, text: String) {
        if text.len() as u64 > self.most {
            let (bytes, most) = (text.len(), self.most);
            tracing::warn!(target: "relay", event = "file-not-kept", file = name.file(), bytes, most, "too large to be kept: a start over a broken file would go by the one before");
            return;
        }
        self.pending.borrow_mut().insert(name, text);
        self.write_pending();
    }

    /// Another process keeps them from now on.
    pub fn stop(&self) {
        self.pending.borrow_mut().clear();
    }

    fn write_pending(&self) {
        let mut failure = None;
        self.pending.borrow_mut().retain(|name, text| match write(&self.dir, *name, text) {
            Ok(()) => false,
            Err(e) => {
                failure = Some(e);
                true
            }
        });
        if let Some(e) = failure {
            tracing::warn!(target: "relay", event = "file-not-kept", "the files in force cannot be kept yet: {e}");
            self.behind.notify_one();
        }
    }

    /// Writes what could not be written before, for good.
    pub async fn catch_up(self: Rc<Self>) {
        loop {
            self.behind.notified().await;
            sleep(WRITE_AGAIN).await;
            self.write_pending();
        }
    }
}
