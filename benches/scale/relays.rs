//! By relays: membership in virtual time, and the shared limits that are dealt out over it.

use crate::options::Slopes;
use crate::scale::fit::add_fit;
use crate::scale::process_figures::own_resident;
use crate::scale::run_file::Run;
use crate::world::{World, MS, SEC};
use basaltloom::fleet::record::{id, key, Pledge, Record, Tells, GRANTS_MOST};
use basaltloom::fleet::together::{Own, Peer, Terms as ShareTerms, Together};
use basaltloom::membership::{Figures, Terms};
use std::time::{Duration, Instant};

/// Relays in two years.
pub const PLANNED: f64 = 2_700.0;
/// Zones of the fleet.
const ZONES: usize = 23;
const SIZES: [usize; 6] = [16, 64, 300, 600, 1_000, 2_700];
const QUICK: [usize; 3] = [16, 32, 64];
/// Virtual time between two looks.
const STEP: u64 = 250 * MS;
/// Virtual time in which all are to agree.
const AGREED_WITHIN: u64 = 60 * SEC;
/// Virtual time after agreement in which what is still being told dies down, and that in which it is measured.
const SETTLES: u64 = 20 * SEC;
const MEASURED: u64 = 20 * SEC;
/// Time on the clock for one size; what does not fit is not measured.
const BUDGET: Duration = Duration::from_secs(300);

const COLUMNS: [&str; 15] = [
    "relays",
    "all agree after a start (s)",
    "start: bytes a relay",
    "start: bytes a second a relay",
    "not agreed within (s of virtual time)",
    "bytes a relay until then",
    "20 s later: bytes a second a relay",
    "20 s later: datagrams a second a relay",
    "20 s later: CPU a relay (us a second)",
    "memory a relay (kB)",
    "one death known to all (s)",
    "zone's relays",
    "zone's death known to all (s)",
    "zone's death: bytes a relay",
    "wall time (s)",
];

/// Measures all sizes.
pub fn measure(slopes: &Slopes) -> Run {
    let mut run = Run::begin("relays", &slopes.label, slopes.seed, &COLUMNS);
    run.notes.push("Membership in virtual time, one process; CPU includes the network that stands in between. Agreement is looked at each 0.25 s, for 60 s of virtual time at most.".to_string());
    run.notes.push("A size has 300 s on the clock; figures that did not fit are missing. *20 s later* is from 20 to 40 s after all agreed on a start. The machine was shared with other work.".to_string());
    for size in slopes.sizes(&SIZES, &QUICK) {
        measure_size(&mut run, size, slopes.seed);
    }
    for column in [
        "all agree after a start (s)",
        "start: bytes a relay",
        "20 s later: bytes a second a relay",
        "20 s later: datagrams a second a relay",
        "20 s later: CPU a relay (us a second)",
        "memory a relay (kB)",
        "one death known to all (s)",
        "zone's death known to all (s)",
    ] {
        add_fit(&mut run, column, "relays", PLANNED);
    }
    run
}

struct Measuring {
    world: World,
    from: Instant,
}

impl Measuring {
    fn in_time(&self) -> bool {
        self.from.elapsed() < BUDGET
    }

    /// Lets virtual time pass; whether there was time for it.
    fn run(&mut self, span: u64) -> bool {
        let end = self.world.time() + span;
        while self.world.time() < end && self.in_time() {
            let left = end - self.world.time();
            self.world.run(STEP.min(left));
            self.world.said.clear();
        }
        self.world.time() >= end
    }

    /// Seconds of virtual time until each of those that live holds just these to be there.
    fn until_agreed(&mut self) -> Option<f64> {
        let from = self.world.time();
        while !self.agree() {
            if self.world.time() - from > AGREED_WITHIN || !self.run(STEP) {
                return None;
            }
        }
        Some((self.world.time() - from) as f64 / SEC as f64)
    }

    fn agree(&mut self) -> bool {
        let living = self.world.nodes.iter().filter(|node| node.membership.is_some()).count();
        let mut members = self.world.nodes.iter_mut().filter_map(|node| node.membership.as_mut());
        members.all(|member| {
            let view = member.view();
            view.stale.is_none() && view.part() == living
        })
    }

    fn sum(&self, figure: fn(&Figures) -> u64) -> f64 {
        let members = self.world.nodes.iter().filter_map(|node| node.membership.as_ref());
        members.map(|member| figure(&member.figures())).sum::<u64>() as f64
    }
}

fn measure_size(run: &mut Run, size: usize, seed: u64) {
    let (before, count) = (own_resident(), size as f64);
    let mut at = Measuring { world: World::new(size, seed, Terms::default()), from: Instant::now() };
    let agreed = at.until_agreed();
    let start_bytes = at.sum(|f| f.bytes) / count;
    let reached = at.world.time() as f64 / SEC as f64;
    // What was told until time ran out is no figure of a whole start.
    let if_agreed = |figure: f64| agreed.map(|_| figure);
    let unless_agreed = |figure: f64| agreed.is_none().then_some(figure);
    let start_rate = start_bytes / reached;
    let settled = agreed.is_some() && at.run(SETTLES);
    let (bytes, sent, clock) = (at.sum(|f| f.bytes), at.sum(|f| f.sent), Instant::now());
    let quiet = settled && at.run(MEASURED);
    let each = |sum: f64| quiet.then_some(sum / count / (MEASURED / SEC) as f64);
    let (rate, datagrams) = (each(at.sum(|f| f.bytes) - bytes), each(at.sum(|f| f.sent) - sent));
    let spent = each(clock.elapsed().as_secs_f64() * 1e6);
    let memory = own_resident().saturating_sub(before) as f64 / count / 1_024.0;
    let death = quiet.then(|| kill(&mut at, &[size - 1])).flatten();
    let zone: Vec<usize> = (0..size - 1).filter(|i| i % ZONES == ZONES - 1).collect();
    let bytes = at.sum(|f| f.bytes);
    // Of a small fleet nobody is in the zone.
    let zone_death = death.filter(|_| !zone.is_empty()).and_then(|_| kill(&mut at, &zone));
    let zone_bytes = zone_death.map(|_| (at.sum(|f| f.bytes) - bytes) / (count - zone.len() as f64));
    run.push([
        ("relays", count.into()),
        ("all agree after a start (s)", agreed.into()),
        ("start: bytes a relay", if_agreed(start_bytes).into()),
        ("not agreed within (s of virtual time)", unless_agreed(reached).into()),
        ("bytes a relay until then", unless_agreed(start_bytes).into()),
        ("start: bytes a second a relay", if_agreed(start_rate).into()),
        ("20 s later: bytes a second a relay", rate.into()),
        ("20 s later: datagrams a second a relay", datagrams.into()),
        ("20 s later: CPU a relay (us a second)", spent.into()),
        ("memory a relay (kB)", if_agreed(memory).into()),
        ("one death known to all (s)", death.into()),
        ("zone's relays", (zone.len() as f64).into()),
        ("zone's death known to all (s)", zone_death.into()),
        ("zone's death: bytes a relay", zone_bytes.into()),
        ("wall time (s)", at.from.elapsed().as_secs_f64().into()),
    ]);
}

/// Seconds of virtual time until all others know that these are gone.
fn kill(at: &mut Measuring, gone: &[usize]) -> Option<f64> {
    gone.iter().for_each(|relay| at.world.kill(*relay));
    at.until_agreed()
}

// ---- shared limits ----

const SHARING_COLUMNS: [&str; 7] = [
    "relays",
    "partners with a shared limit",
    "CPU a turn of the dealer (ms)",
    "CPU of the dealer (% of a core)",
    "CPU of another (% of a core)",
    "record of the dealer (bytes)",
    "grants in a record",
];
/// Turns a second, as the program has them.
const TURNS: f64 = 10.0;
const TURN: u64 = 100 * MS;
const TURNS_MEASURED: u64 = 20;
const TURNS_BEFORE: u64 = 60;

/// Measures a relay's part in sharing one limited partner among so many that want it.
pub fn measure_sharing(slopes: &Slopes) -> Run {
    let mut run = Run::begin("sharing", &slopes.label, slopes.seed, &SHARING_COLUMNS);
    run.notes.push(format!("One relay's turns, the others' records made by rule: all want the same partner, and each tells something new at every second turn. A record holds {GRANTS_MOST} grants at most, whatever the number of relays."));
    for size in slopes.sizes(&SIZES, &QUICK) {
        let (dealer, others) = (turns(size, true), turns(size, false));
        run.push([
            ("relays", (size as f64).into()),
            ("partners with a shared limit", 1.0.into()),
            ("CPU a turn of the dealer (ms)", (dealer.seconds * 1e3).into()),
            ("CPU of the dealer (% of a core)", (dealer.seconds * TURNS * 100.0).into()),
            ("CPU of another (% of a core)", (others.seconds * TURNS * 100.0).into()),
            ("record of the dealer (bytes)", (dealer.record as f64).into()),
            ("grants in a record", (dealer.grants as f64).into()),
        ]);
    }
    for column in
        ["CPU a turn of the dealer (ms)", "CPU of the dealer (% of a core)", "CPU of another (% of a core)"]
    {
        add_fit(&mut run, column, "relays", PLANNED);
    }
    run
}

struct Turns {
    seconds: f64,
    record: usize,
    grants: usize,
}

/// A relay that deals, as one whom the others pledge themselves to, or one that goes by another.
fn turns(relays: usize, deals: bool) -> Turns {
    let partner = key("partner");
    let names: Vec<String> = (0..relays).map(|i| format!("r{i}")).collect();
    let place = |name: &String| basaltloom::fleet::record::place(partner, id(name), 0);
    let best = (0..relays).max_by_key(|i| place(&names[*i])).unwrap_or(0);
    let me = if deals { best } else { (best + 1) % relays };
    let terms = ShareTerms { senders: relays as u32, cold_share: 0.3, warm_up: 9 * SEC };
    let mut now = 1_000_000 * SEC;
    let mut together = Together::new(id(&names[me]), terms, now);
    let (mut spent, mut record, mut served, mut heard) = (Duration::ZERO, Vec::new(), 0, 0);
    for turn in 0..TURNS_BEFORE + TURNS_MEASURED {
        now += TURN;
        served += 2;
        let own = [Own {
            key: partner,
            taken: 3.0 * served as f64,
            waiting: 10.0,
            served,
            refused: served / 4,
            down: false,
            served_at: now,
            wait: 0,
            limit: 100.0 * relays as f64,
            best: 20.0,
        }];
        let version = turn / 2;
        let bytes = others_record(partner, id(&names[best]), turn as u32, heard);
        let others = (0..relays).filter(|i| *i != me);
        let peers: Vec<Peer<'_>> =
            others.map(|i| Peer { id: id(&names[i]), version: (1, version), record: &bytes }).collect();
        let from = Instant::now();
        let done = together.turn(now, false, &peers, &own);
        if turn >= TURNS_BEFORE {
            spent += from.elapsed();
        }
        record = done.record.unwrap_or(record);
        heard = Record::decode(&record).map_or(heard, |record| record.tick);
    }
    let dealt = Record::decode(&record).unwrap_or_default();
    let grants = dealt.tells.iter().filter_map(|t| t.deals.as_ref()).map(|d| d.grants.len()).sum();
    Turns { seconds: spent.as_secs_f64() / TURNS_MEASURED as f64, record: record.len(), grants }
}

/// What each other relay tells: it goes by the dealer, whose last record it has heard.
fn others_record(partner: u64, dealer: u32, tick: u32, heard: u32) -> Vec<u8> {
    let tells = Tells {
        key: partner,
        wanted: 30.0,
        served: 20.0,
        refused: 5.0,
        best: 20.0,
        served_ago: Some(10),
        limit: 100.0,
        limited: true,
        cause: true,
        fit: true,
        pledge: Some(Pledge { to: dealer, heard, part: 100 }),
        ..Tells::default()
    };
    Record { tick, tells: vec![tells] }.encode()
}
