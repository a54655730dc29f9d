//! What the system says that processes take of memory.

use std::fs;
use std::path::Path;

/// Memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Resident {
    /// Now.
    pub now: u64,
    /// The most since its start.
    pub peak: u64,
}

/// Memory of this process; nothing where the system does not tell.
pub(super) fn own() -> Resident {
    by_name("self")
}

/// Memory of another process; nothing where it is gone.
pub(super) fn of(process: i32) -> Resident {
    by_name(&process.to_string())
}

fn by_name(process: &str) -> Resident {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let kibibytes = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim_start_matches(':').split_whitespace().next()?.parse::<u64>().ok()
    };
    let bytes = |name| kibibytes(name).unwrap_or(0) * 1_024;
    Resident { now: bytes("VmRSS"), peak: bytes("VmHWM") }
}

/// Bytes of the files that lie in a folder, those of its folders not counted.
pub(super) fn files(dir: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(dir) else { return 0 };
    let len =
        |entry: fs::DirEntry| entry.metadata().ok().filter(fs::Metadata::is_file).map(|file| file.len());
    entries.flatten().filter_map(len).sum()
}
