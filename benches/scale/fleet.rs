//! A fleet on this machine: hollow relays beside processes of the program, through changes, a zone's death, restarts and
//! regions that lose each other.

use crate::options::FleetOptions;
use crate::scale::fleet::{FleetPlan, FleetRig, InForce, Usage};
use crate::scale::run_file::{Row, Run, Value};
use crate::scale::switch::ZONES;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A change that is not in force by then counts as never.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
const LISTS_WITHIN: Duration = Duration::from_secs(30);
/// A zone without real relays, as these are among the first.
const ZONE: usize = ZONES - 1;
/// Regions that lose each other.
const REGIONS: (usize, usize) = (1, 3);
/// How far a hollow relay's cost may be from a real one's.
const AGREEMENT: f64 = 0.2;

const COLUMNS: [&str; 18] = [
    "phase",
    "relays",
    "seconds",
    "all agree after (s)",
    "relays that agree in the end",
    "changes",
    "real: first (ms)",
    "real: middle (ms)",
    "real: last (ms)",
    "hollow: first (ms)",
    "hollow: middle (ms)",
    "hollow: last (ms)",
    "real: CPU (% of a core)",
    "hollow: CPU (% of a core)",
    "real: bytes a second",
    "hollow: bytes a second",
    "real: datagrams a second",
    "real: resident (MB)",
];

/// Spans of a run.
struct Spans {
    agreed: Duration,
    settles: Duration,
    quiet: Duration,
    phase: Duration,
    restarts: usize,
    changes: usize,
}

impl Spans {
    fn of(options: &FleetOptions) -> Spans {
        let relays = options.real + options.hollow;
        let seconds = Duration::from_secs;
        match options.quick {
            true => Spans {
                agreed: seconds(15),
                settles: seconds(3),
                quiet: seconds(5),
                phase: seconds(8),
                restarts: relays / 18,
                changes: 3,
            },
            false => Spans {
                agreed: seconds(60),
                settles: seconds(15),
                quiet: seconds(20),
                phase: seconds(60),
                restarts: 150.min(relays / 4),
                changes: 10,
            },
        }
    }
}

/// Whether a hollow relay's cost was that of a real one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    HollowIsRight,
    HollowIsWrong,
}

/// Measures all phases.
pub fn measure(options: &FleetOptions) -> (Run, Verdict) {
    let subject = format!("fleet-{}", options.real + options.hollow);
    let mut run = Run::begin(&subject, &options.label, options.seed, &COLUMNS);
    run.heed_program(options.program.as_deref());
    run.notes.push(format!("{} processes of the program and {} hollow relays on {} threads, {} entries. Hollow relays begin at the list's present version and never fetch the whole of it; those of a thread hold the changed entries together. Each has its own membership, view on disk and watch at discovery, and fetches, decodes and compares each change.", options.real, options.hollow, options.threads, options.entries));
    run.notes.push("Bytes and datagrams are those of membership, sent and heard (datagrams: sent), counted by the switch. Processor time is from outside: the processes, or the hollow relays' threads divided by their number. The machine was shared with other work.".to_string());
    let spans = Spans::of(options);
    let plan = FleetPlan {
        real: options.real,
        hollow: options.hollow,
        entries: options.entries,
        threads: options.threads,
        seed: options.seed,
    };
    let mut fleet = FleetRig::new(plan);
    let mut phases = Phases { run, spans, chance: ChaCha8Rng::seed_from_u64(options.seed) };
    fleet.start_bare();
    phases.start(&mut fleet);
    let quiet = phases.quiet(&mut fleet);
    phases.changes(&mut fleet);
    phases.zone_dies(&mut fleet);
    phases.zone_returns(&mut fleet);
    phases.restarts(&mut fleet);
    phases.regions_part(&mut fleet);
    let verdict = judge(&mut phases.run, quiet);
    (phases.run, verdict)
}

struct Phases {
    run: Run,
    spans: Spans,
    chance: ChaCha8Rng,
}

impl Phases {
    /// A row for a phase in which this was done, with what relays used meanwhile.
    fn phase(&mut self, fleet: &mut FleetRig, name: &str, done: impl FnOnce(&mut FleetRig)) -> (Usage, Row) {
        let from = Instant::now();
        let used = fleet.used(done);
        let mut row = Row::new();
        row.insert("phase".to_string(), name.into());
        set(&mut row, "relays", fleet.relays() as f64);
        set(&mut row, "seconds", from.elapsed().as_secs_f64());
        set(&mut row, "real: CPU (% of a core)", used.real.processor);
        set(&mut row, "hollow: CPU (% of a core)", used.hollow.processor);
        set(&mut row, "real: bytes a second", used.real.bytes_a_second);
        set(&mut row, "hollow: bytes a second", used.hollow.bytes_a_second);
        set(&mut row, "real: datagrams a second", used.real.datagrams_a_second);
        set(&mut row, "real: resident (MB)", fleet.real_resident());
        (used, row)
    }

    fn push(&mut self, row: Row) {
        eprintln!("fleet: {}", serde_json::to_string(&row).unwrap_or_default());
        self.run.rows.push(row);
    }

    /// Waits for agreement in a phase of its own.
    fn agreement(&mut self, fleet: &mut FleetRig, name: &str) {
        let (most, mut agreed) = (self.spans.agreed, (None, 0));
        let (_, mut row) = self.phase(fleet, name, |fleet| agreed = fleet.until_agreed(most));
        row.insert("all agree after (s)".to_string(), agreed.0.map(|took| took.as_secs_f64()).into());
        set(&mut row, "relays that agree in the end", agreed.1 as f64);
        self.push(row);
    }

    fn start(&mut self, fleet: &mut FleetRig) {
        fleet.start_all();
        self.agreement(fleet, "start of all");
        let known = fleet.until_lists_known(LISTS_WITHIN);
        self.run.notes.push(format!("{known} of {} processes knew their list.", fleet.plan.real));
    }

    fn quiet(&mut self, fleet: &mut FleetRig) -> Usage {
        sleep(self.spans.settles);
        let quiet = self.spans.quiet;
        let (used, row) = self.phase(fleet, "quiet", |_| sleep(quiet));
        self.push(row);
        used
    }

    fn changes(&mut self, fleet: &mut FleetRig) {
        let count = self.spans.changes;
        let mut all = Vec::new();
        let (_, mut row) = self.phase(fleet, "changes", |fleet| {
            all = (0..count).map(|_| fleet.change(IN_FORCE_WITHIN)).collect();
        });
        set(&mut row, "changes", count as f64);
        in_force(&mut row, &all);
        self.push(row);
    }

    fn zone_dies(&mut self, fleet: &mut FleetRig) {
        fleet.of_zone(ZONE).into_iter().for_each(|relay| fleet.kill(relay));
        self.agreement(fleet, "a zone's relays die at once");
    }

    fn zone_returns(&mut self, fleet: &mut FleetRig) {
        fleet.of_zone(ZONE).into_iter().for_each(|relay| fleet.start(relay));
        self.agreement(fleet, "they start again");
    }

    /// Relays restart one after another, spread over the phase, while a few changes are made.
    fn restarts(&mut self, fleet: &mut FleetRig) {
        let (count, span) = (self.spans.restarts, self.spans.phase);
        let hollow = fleet.later_hollow();
        let chance = &mut self.chance;
        let chosen: Vec<usize> =
            (0..count).map(|_| hollow.start + chance.next_u64() as usize % hollow.len()).collect();
        let changed_after = (count / 3).max(1);
        let mut all = Vec::new();
        let (_, mut row) = self.phase(fleet, "restarts spread over the phase", |fleet| {
            let from = Instant::now();
            for (number, relay) in chosen.into_iter().enumerate() {
                fleet.kill(relay);
                fleet.start(relay);
                if number % changed_after == 0 {
                    all.push(fleet.change(IN_FORCE_WITHIN));
                }
                let due = from + span.mul_f64((number + 1) as f64 / count as f64);
                sleep(due.saturating_duration_since(Instant::now()));
            }
        });
        set(&mut row, "changes", all.len() as f64);
        in_force(&mut row, &all);
        self.push(row);
        self.agreement(fleet, "after the restarts");
    }

    fn regions_part(&mut self, fleet: &mut FleetRig) {
        let span = self.spans.phase;
        let mut all = Vec::new();
        fleet.switch.cut(Some(REGIONS));
        let (_, mut row) = self.phase(fleet, "two regions cut from each other", |fleet| {
            let from = Instant::now();
            sleep(span / 2);
            all.push(fleet.change(IN_FORCE_WITHIN));
            sleep(span.saturating_sub(from.elapsed()));
        });
        set(&mut row, "relays that agree in the end", fleet.agreeing().0 as f64);
        set(&mut row, "changes", all.len() as f64);
        in_force(&mut row, &all);
        self.push(row);
        fleet.switch.cut(None);
        self.agreement(fleet, "after the cut");
    }
}

fn set(row: &mut Row, column: &str, number: f64) {
    row.insert(column.to_string(), Value::Number(number));
}

/// Of several changes: the fastest first, the middle of the middles, the slowest last; nothing where one never came.
fn in_force(row: &mut Row, all: &[(Option<InForce>, Option<InForce>)]) {
    let kinds: [(&str, Option<Vec<InForce>>); 2] = [
        ("real", all.iter().map(|(real, _)| *real).collect()),
        ("hollow", all.iter().map(|(_, hollow)| *hollow).collect()),
    ];
    for (kind, changes) in kinds {
        let Some(changes) = changes.filter(|changes| !changes.is_empty()) else {
            row.insert(format!("{kind}: last (ms)"), "one change never in force everywhere".into());
            continue;
        };
        let sorted = |of: fn(&InForce) -> Duration| {
            let mut all: Vec<f64> = changes.iter().map(|c| of(c).as_secs_f64() * 1e3).collect();
            all.sort_unstable_by(f64::total_cmp);
            all
        };
        let (first, middle, last) = (sorted(|c| c.first), sorted(|c| c.middle), sorted(|c| c.last));
        set(row, &format!("{kind}: first (ms)"), first[0]);
        set(row, &format!("{kind}: middle (ms)"), middle[middle.len() / 2]);
        set(row, &format!("{kind}: last (ms)"), last[last.len() - 1]);
    }
}

/// Whether a hollow relay costs what a real one does when nothing goes on.
fn judge(run: &mut Run, quiet: Usage) -> Verdict {
    let apart = |hollow: f64, real: f64| (hollow / real - 1.0).abs();
    let control = quiet.real.processor - quiet.bare_processor;
    let processor = apart(quiet.hollow.processor, control);
    let bytes = apart(quiet.hollow.bytes_a_second, quiet.real.bytes_a_second);
    let right = processor <= AGREEMENT && bytes <= AGREEMENT;
    let word = if right { "right" } else { "WRONG" };
    run.notes.push(format!(
        "The hollow relay is {word}: quiet, its processor time ({:.3} % of a core) is {:.0} % and its bytes {:.0} % apart from a real one's ({control:.3} %, without the {:.3} % of a process that has neither fleet nor discovery; at most {:.0} % apart).",
        quiet.hollow.processor,
        processor * 100.0,
        bytes * 100.0,
        quiet.bare_processor,
        AGREEMENT * 100.0
    ));
    if right {
        Verdict::HollowIsRight
    } else {
        Verdict::HollowIsWrong
    }
}
