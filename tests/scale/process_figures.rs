//! What the system tells of a process from outside: processor time in nanoseconds, and memory.

use std::fs;
use std::path::Path;
use std::time::Duration;

/// Figures of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessFigures {
    /// On a processor so far, all threads together.
    pub processor_time: Duration,
    pub resident_kb: u64,
    /// The most that was ever resident.
    pub peak_kb: u64,
}

impl ProcessFigures {
    /// Of a process that runs; none once it is gone.
    pub fn of(id: u32) -> Option<ProcessFigures> {
        let folder = Path::new("/proc").join(id.to_string());
        let mut processor_time = Duration::ZERO;
        for thread in fs::read_dir(folder.join("task")).ok()?.flatten() {
            processor_time += thread_time(&thread.path()).unwrap_or_default();
        }
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            line.and_then(|said| said.trim().trim_end_matches(" kB").parse().ok())
        };
        let (resident_kb, peak_kb) = (field("VmRSS")?, field("VmHWM")?);
        Some(ProcessFigures { processor_time, resident_kb, peak_kb })
    }
}

/// Processor time of one thread, by its folder below `/proc`.
pub fn thread_time(folder: &Path) -> Option<Duration> {
    let said = fs::read_to_string(folder.join("schedstat")).ok()?;
    said.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}

/// Processor time of the threads of this process whose name begins so (the system keeps 15 bytes of a name).
pub fn named_threads_time(name: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let short = &name[..name.len().min(15)];
    let named = threads
        .flatten()
        .map(|thread| thread.path())
        .filter(|path| fs::read_to_string(path.join("comm")).is_ok_and(|said| said.starts_with(short)));
    named.filter_map(|path| thread_time(&path)).sum()
}

/// Memory of this process, in bytes.
pub fn own_resident() -> u64 {
    ProcessFigures::of(std::process::id()).map_or(0, |figures| figures.resident_kb * 1_024)
}
