//! By held messages: the core and its journal in process, with destinations that do not answer.

use crate::options::Slopes;
use crate::scale::fit::add_fit;
use crate::scale::process_figures::own_resident;
use crate::scale::run_file::Run;
use basaltloom::routing::core::{Batching, First};
use basaltloom::routing::{
    Class, Core, Endpoint, EndpointState, EndpointUpdate, Journal, Kind, Late, Limits, Offer, Repeat,
    Settings, Taken,
};
use bytes::Bytes;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Messages that a relay may have to hold.
pub const PLANNED: f64 = 10_000_000.0;
const SIZES: [usize; 5] = [10_000, 30_000, 100_000, 300_000, 1_000_000];
const QUICK: [usize; 3] = [500, 1_000, 2_000];
/// Destinations over which they spread, one endpoint each.
const DESTINATIONS: u64 = 100;
/// A message's body, as the protocol's example has it.
const BODY: usize = 212;
/// Bytes that the journal may have: as many as it wants.
const DISK: u64 = 64 << 30;
const NOW: u64 = 1_000_000_000_000_000;
const DAY: u64 = 86_400_000_000_000;
/// Time on the clock to fill one size.
const BUDGET: Duration = Duration::from_secs(90);

const COLUMNS: [&str; 8] = [
    "held",
    "memory (MB)",
    "memory a message (bytes)",
    "journal (MB)",
    "journal a message (bytes)",
    "CPU to take one on (us)",
    "replay (s)",
    "replay a message (us)",
];

/// Measures all sizes.
pub fn measure(slopes: &Slopes) -> io::Result<Run> {
    let mut run = Run::begin("held", &slopes.label, slopes.seed, &COLUMNS);
    run.notes.push(format!("In process: core and journal, {DESTINATIONS} destinations whose calls stay out, bodies of {BODY} bytes. The journal's budget is as large as it wants; in use it is `disk_mb`."));
    run.notes.push(
        "The folder is on the machine's disk or in memory, as its temporary folder is; nothing is synced."
            .to_string(),
    );
    for size in slopes.sizes(&SIZES, &QUICK) {
        if !measure_size(&mut run, size, slopes.seed)? {
            break;
        }
    }
    for column in ["memory (MB)", "journal (MB)", "replay (s)"] {
        add_fit(&mut run, column, "held", PLANNED);
    }
    Ok(run)
}

/// Whether there was time enough for it.
fn measure_size(run: &mut Run, size: usize, seed: u64) -> io::Result<bool> {
    let folder = Folder::new()?;
    let known = list();
    let (mut core, _) = open(&folder.0, &known, seed, size)?;
    let (before, from) = (own_resident(), Instant::now());
    let held = fill(&mut core, size);
    let took = from.elapsed();
    if held < size {
        run.notes.push(format!(
            "Of {size} messages {held} were taken on in {} s, then the bench stopped.",
            BUDGET.as_secs()
        ));
        return Ok(false);
    }
    let memory = own_resident().saturating_sub(before) as f64;
    let journal = std::fs::metadata(folder.0.join("relay.journal"))?.len() as f64;
    drop(core);
    let (again, replay) = open(&folder.0, &known, seed, size)?;
    assert_eq!(again.open(), size, "all are held again");
    let (count, mega) = (size as f64, 1024.0 * 1024.0);
    run.push([
        ("held", count.into()),
        ("memory (MB)", (memory / mega).into()),
        ("memory a message (bytes)", (memory / count).into()),
        ("journal (MB)", (journal / mega).into()),
        ("journal a message (bytes)", (journal / count).into()),
        ("CPU to take one on (us)", (took.as_secs_f64() * 1e6 / count).into()),
        ("replay (s)", replay.as_secs_f64().into()),
        ("replay a message (us)", (replay.as_secs_f64() * 1e6 / count).into()),
    ]);
    Ok(true)
}

/// A core on a journal, and how long it took to open.
fn open(folder: &Path, known: &EndpointUpdate, seed: u64, most: usize) -> io::Result<(Core, Duration)> {
    let from = Instant::now();
    let (journal, replayed) = Journal::open(folder, DISK, vec!["notice".to_string()])?;
    let batching = Batching { kinds: vec!["m1".to_string()], ..Batching::default() };
    let first = First { known, batching, tells_delivery: false };
    let core = Core::new(settings(most), seed, journal, replayed, first, NOW);
    Ok((core, from.elapsed()))
}

/// Takes messages on; says how many, which is fewer where time ran out.
fn fill(core: &mut Core, size: usize) -> usize {
    let (from, body) = (Instant::now(), Bytes::from(vec![b'x'; BODY]));
    for i in 0..size {
        let offer = Offer {
            id: format!("{i:016x}"),
            class: "notice".to_string(),
            dest: i as u64 % DESTINATIONS,
            key: None,
            idempotency: None,
            time_left: DAY,
            body: body.clone(),
            owner: String::new(),
        };
        let pending = core.take(NOW + i as u64, offer);
        let taken = core.answer(NOW + i as u64, &pending);
        if !matches!(taken, Some(Taken::On(_))) || from.elapsed() > BUDGET {
            return i;
        }
        // The calls stay out: no endpoint answers.
        core.work();
    }
    size
}

fn list() -> EndpointUpdate {
    let endpoint = |dest: u64| Endpoint {
        id: 0,
        name: format!("s-{dest:08x}"),
        address: ([127, 0, 0, 1], 9).into(),
        dest,
        kind: 0,
        zone: 0,
        state: EndpointState::Active,
        share: 1.0,
        terms: None,
    };
    EndpointUpdate { seq: 1, whole: true, endpoints: (0..DESTINATIONS).map(endpoint).collect() }
}

fn settings(most: usize) -> Settings {
    let class = Class {
        aim: 1_000_000_000,
        deadline: DAY,
        worth: 1.0,
        late_worth: 0.5,
        repeat: Repeat::Safe,
        in_order: false,
    };
    Settings {
        senders: 1,
        slots: 64,
        max_held: 2 * most,
        max_attempts: 6,
        may_cancel: true,
        must_subscribe: false,
        keepalive: 10_000_000_000,
        max_come_back: 1_000_000_000,
        limits: Limits::Unlisted,
        late: Late::Even,
        classes: vec![class],
        kinds: vec![Kind { apart: false, per_call: 1 }],
        zone_fee: vec![],
        zone: 0,
        cross_zone: 0.0,
        cold_share: 0.3,
        warm_up: 9_000_000_000,
        overload_factor: 2.0,
        fall: 1_500_000_000,
        key_rest: 0,
    }
}

/// A folder for a journal, gone with it.
struct Folder(PathBuf);

impl Folder {
    fn new() -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("basaltloom-scale-held-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}
