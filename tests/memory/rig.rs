//! A relay under a bound on memory, and what its processes and files took of it.

use crate::platform::{Platform, Process, Terms};
use crate::stand_ins::page_form::set;
use crate::stand_ins::{entry, folder, Discovery, Told};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

/// What the relay may use, where the site's figures differ from test to test.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub memory_mb: u64,
    pub sockets: usize,
    pub disk_mb: u64,
    pub max_open: u64,
    pub calls_out: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 96, sockets: 1_024, disk_mb: 3, max_open: 2_000, calls_out: 64 }
    }
}

/// A relay with one endpoint.
pub struct Scene {
    pub platform: Platform,
    discovery: Discovery,
    limits: Limits,
}

/// Memory of a process or a relay, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Memory {
    pub peak: u64,
    pub now: u64,
}

/// Memory of a process as the kernel counts it.
pub fn memory_of(process: u32) -> Memory {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let of = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kibibytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kibibytes.unwrap_or(0) * 1_024
    };
    Memory { peak: of("VmHWM:"), now: of("VmRSS:") }
}

impl Scene {
    /// With an endpoint at this address.
    pub fn new(limits: Limits, endpoint: SocketAddr) -> Scene {
        Scene::with(limits, endpoint, false)
    }

    /// The same where processes inherit the listening socket, and may take over from one another.
    pub fn inheriting(limits: Limits, endpoint: SocketAddr) -> Scene {
        Scene::with(limits, endpoint, true)
    }

    fn with(limits: Limits, endpoint: SocketAddr, inherit: bool) -> Scene {
        let known = entry("h", endpoint, "active");
        let discovery = Discovery::start(known.clone());
        let terms =
            Terms { descriptors: limits.sockets, slots: limits.calls_out, inherit, ..Terms::default() };
        let platform = Platform::new(&folder(), &terms, discovery.address, &known);
        let mut document = platform.document();
        set(&mut document, "/limits/memory_mb", limits.memory_mb);
        set(&mut document, "/limits/disk_mb", limits.disk_mb);
        set(&mut document, "/settings/limits/max_open", limits.max_open);
        platform.write(&document.to_string());
        Scene { platform, discovery, limits }
    }

    /// Reads the bytes of the files in the lasting folder.
    pub fn files_of(&self) -> impl Fn() -> u64 + Send + 'static {
        let state = self.platform.state();
        move || {
            let entries = fs::read_dir(&state).into_iter().flatten().flatten();
            let files = entries.filter_map(|entry| entry.metadata().ok()).filter(fs::Metadata::is_file);
            files.map(|file| file.len()).sum()
        }
    }

    pub fn files(&self) -> u64 {
        self.files_of()()
    }

    /// Ids of messages whose ends were told by notices.
    pub fn ended(&self) -> Told<BTreeSet<String>> {
        self.discovery.ended.clone()
    }

    pub fn limit(&self) -> u64 {
        self.limits.memory_mb * 1_000_000
    }

    /// Looks on for so long; the most that these processes and the folder took together.
    pub fn watch(&self, processes: &[&Process], during: Duration) -> u64 {
        let from = std::time::Instant::now();
        let mut most = 0;
        while from.elapsed() < during {
            let resident: u64 = processes.iter().map(|process| memory_of(process.id()).now).sum();
            most = most.max(resident + self.files());
            std::thread::sleep(Duration::from_millis(10));
        }
        // What no look has met.
        let peak: u64 = processes.iter().map(|process| memory_of(process.id()).peak).sum();
        most.max(if processes.len() == 1 { peak + self.files() } else { 0 })
    }

    /// The process stands, its log tells of no broken rule, and the relay took no more than it may.
    pub fn judge(&self, process: &mut Process, most: u64, what: &str) {
        println!("{what}: {} of {} MB", most / 1_000_000, self.limits.memory_mb);
        assert!(process.ended().is_none(), "{what}: it has ended");
        let told: Vec<String> = process.log.tell(|lines| {
            lines.iter().filter(|l| l.contains("-violation") || l.contains("panicked")).cloned().collect()
        });
        assert!(told.is_empty(), "{what}: {told:?}");
        let lines = || {
            process.log.tell(|l| l.iter().filter(|l| l.contains("\"memory\"")).cloned().collect::<Vec<_>>())
        };
        assert!(most <= self.limit(), "{what}: {most} of {}: {:#?}", self.limit(), lines());
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.platform.dir).ok();
    }
}
