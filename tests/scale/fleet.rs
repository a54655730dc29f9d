//! A fleet on one machine: real processes of the program beside hollow relays, one stand-in of discovery, one switch.

use super::discovery::Discovery;
use super::endpoint::EndpointStandIn;
use super::hollow::{HollowRelays, Surroundings, THREAD};
use super::list::{ListShape, FIRST_DESTINATION};
use super::process_figures::named_threads_time;
use super::real_relay::{RealRelay, RelayPlan};
use super::switch::{zone, Addresses, Switch};
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Between two looks at the fleet.
const LOOKS_EACH: Duration = Duration::from_millis(50);

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub real: usize,
    pub hollow: usize,
    pub entries: usize,
    /// Threads of hollow relays.
    pub threads: usize,
    pub seed: u64,
}

/// The first relays are those by whose addresses all others join, and hear more than others: these are hollow, and real
/// ones follow, so that real and hollow ones can be compared.
pub const JOINED: usize = 3;

/// A fleet: real relays from `JOINED` on, all others hollow.
pub struct FleetRig {
    pub plan: FleetPlan,
    pub discovery: Discovery,
    pub switch: Switch,
    surroundings: Surroundings,
    hollow: HollowRelays,
    real: Vec<Option<RealRelay>>,
    /// A process with neither fleet nor discovery: what it uses with nothing to do is its data path's, which hollow relays
    /// do not have.
    bare: Option<RealRelay>,
    _endpoint: EndpointStandIn,
}

/// When a change came into force, since it was made: at the first, the middle and the last relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InForce {
    pub first: Duration,
    pub middle: Duration,
    pub last: Duration,
}

impl InForce {
    fn of(mut all: Vec<Duration>) -> Option<InForce> {
        all.sort_unstable();
        Some(InForce { first: *all.first()?, middle: all[all.len() / 2], last: *all.last()? })
    }
}

/// What control used over a while: for each relay, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Used {
    /// Percent of a core.
    pub processor: f64,
    /// Of datagrams, sent and heard.
    pub bytes_a_second: f64,
    pub datagrams_a_second: f64,
}

/// What real and hollow relays used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// What the bare process used, in percent of a core.
    pub bare_processor: f64,
    pub real: Used,
    pub hollow: Used,
}

impl FleetRig {
    /// Stand-ins and hollow threads; no relay runs yet.
    pub fn new(plan: FleetPlan) -> FleetRig {
        let any = ([127, 0, 0, 1], 0).into();
        let (addresses, relays) = (Addresses::own(), plan.real + plan.hollow);
        let endpoint = EndpointStandIn::start(any);
        let discovery =
            Discovery::start(any, &ListShape { entries: plan.entries, address: endpoint.address() });
        let folder: PathBuf = std::env::temp_dir().join(format!("basaltloom-fleet-{}", std::process::id()));
        let surroundings = Surroundings {
            addresses,
            discovery: discovery.address(),
            relays,
            folder,
            began: Instant::now(),
            seed: plan.seed,
        };
        let switch = Switch::start(addresses, relays);
        let hollow = HollowRelays::new(surroundings.clone(), plan.threads);
        let real = (0..plan.real).map(|_| None).collect();
        FleetRig { plan, discovery, switch, surroundings, hollow, real, bare: None, _endpoint: endpoint }
    }

    /// Starts the bare process, for runs that compare.
    pub fn start_bare(&mut self) {
        let plan = RelayPlan {
            name: "bare".to_string(),
            listen: self.surroundings.addresses.serves(0),
            discovery: None,
            fleet_size: self.relays(),
            disk_mb: 64,
            operator: String::new(),
            known: None,
        };
        self.bare = Some(RealRelay::start(plan).expect("the program starts"));
    }

    /// Starts all.
    pub fn start_all(&mut self) {
        (0..self.relays()).for_each(|relay| self.start(relay));
    }

    /// Relays in all.
    pub fn relays(&self) -> usize {
        self.plan.real + self.plan.hollow
    }

    fn place_of_real(&self, relay: usize) -> Option<usize> {
        relay.checked_sub(JOINED).filter(|place| *place < self.plan.real)
    }

    /// The hollow relays after the real ones.
    pub fn later_hollow(&self) -> std::ops::Range<usize> {
        JOINED + self.plan.real..self.relays()
    }

    /// Starts one. A hollow one knows the list of this moment; a real one fetches it.
    pub fn start(&mut self, relay: usize) {
        let Some(place) = self.place_of_real(relay) else {
            return self.hollow.start(relay, Some(self.discovery.version()));
        };
        let fleet = self.surroundings.fleet(relay);
        let join: Vec<String> = fleet.join.iter().map(ToString::to_string).collect();
        let operator = format!(
            "fleet {{\n name {}\n listen {}\n reach {}\n room {}\n join {}\n}}\n",
            fleet.name,
            fleet.listen,
            fleet.reach,
            fleet.room,
            join.join(" ")
        );
        let plan = RelayPlan {
            name: format!("r{relay}"),
            listen: self.surroundings.addresses.serves(relay),
            discovery: Some(self.discovery.address()),
            fleet_size: self.relays(),
            disk_mb: 64,
            operator,
            known: None,
        };
        self.real[place] = Some(RealRelay::start(plan).expect("the program starts"));
    }

    /// Ends one as a killed process, or a machine that fails with its folder.
    pub fn kill(&mut self, relay: usize) {
        match self.place_of_real(relay) {
            Some(place) => self.real[place] = None,
            None => self.hollow.kill(relay),
        }
        std::fs::remove_dir_all(self.surroundings.folder_of(relay)).ok();
    }

    /// The relays of a zone.
    pub fn of_zone(&self, number: usize) -> Vec<usize> {
        (0..self.relays()).filter(|relay| zone(*relay) == number).collect()
    }

    fn running_real(&self) -> impl Iterator<Item = &RealRelay> {
        self.real.iter().flatten()
    }

    /// How many of how many running relays hold just so many to be there as run.
    pub fn agreeing(&self) -> (usize, usize) {
        let hollow = self.hollow.running().count();
        let running = hollow + self.running_real().count();
        let agreeing =
            self.hollow.running().filter(|(_, progress)| progress.there() == Some(running)).count();
        let real = self.running_real().filter(|relay| relay.members() == Some(running)).count();
        (agreeing + real, running)
    }

    /// Waits until all that run agree; how long that took, and how many did in the end.
    pub fn until_agreed(&self, most: Duration) -> (Option<Duration>, usize) {
        let from = Instant::now();
        loop {
            let (agreeing, running) = self.agreeing();
            if agreeing == running {
                return (Some(from.elapsed()), agreeing);
            }
            if from.elapsed() > most {
                return (None, agreeing);
            }
            sleep(LOOKS_EACH);
        }
    }

    /// Waits until all real relays know their list; how many do.
    pub fn until_lists_known(&mut self, most: Duration) -> usize {
        let until = Instant::now() + most;
        let known = |relay: &mut RealRelay| {
            relay.until_list_known(until.saturating_duration_since(Instant::now())).is_some()
        };
        self.real.iter_mut().flatten().map(known).filter(|known| *known).count()
    }

    /// Adds a destination at discovery: when it is in force at real relays, seen from outside by what they answer, and at
    /// hollow ones. A part is missing where not all of it came within the time.
    pub fn change(&mut self, most: Duration) -> (Option<InForce>, Option<InForce>) {
        let destination = FIRST_DESTINATION + self.discovery.entries() as u64;
        let (made, clock) = (Instant::now(), self.surroundings.began.elapsed());
        let version = self.discovery.change(usize::MAX, |_| ());
        let real = std::thread::scope(|scope| {
            let served = |relay| {
                scope.spawn(move || RealRelay::until_served(relay, destination, most).map(|_| made.elapsed()))
            };
            let waiting: Vec<_> = self.real.iter_mut().flatten().map(served).collect();
            waiting.into_iter().map(|waits| waits.join().ok().flatten()).collect::<Option<Vec<Duration>>>()
        });
        let hollow = loop {
            let at = |progress: &super::hollow::Progress| progress.in_force_at(version);
            let all: Option<Vec<Duration>> = self
                .hollow
                .running()
                .map(|(_, progress)| Some(at(progress)?.saturating_sub(clock)))
                .collect();
            if all.is_some() || made.elapsed() > most {
                break all;
            }
            sleep(LOOKS_EACH);
        };
        (real.and_then(InForce::of), hollow.and_then(InForce::of))
    }

    /// What relays use while something is done. The set of those that run must stay.
    pub fn used(&mut self, done: impl FnOnce(&mut FleetRig)) -> Usage {
        let before = self.meters();
        let from = Instant::now();
        done(self);
        let (after, seconds) = (self.meters(), from.elapsed().as_secs_f64());
        let hollow = self.hollow.running().count().max(1) as f64;
        let bare = after.bare.saturating_sub(before.bare);
        Usage {
            bare_processor: 100.0 * bare.as_secs_f64() / seconds,
            real: before.real.until(&after.real, seconds, self.running_real().count().max(1) as f64),
            hollow: Used {
                processor: before.hollow.until(&after.hollow, seconds, hollow).processor,
                ..before.hollow.until(&after.hollow, seconds, self.later_hollow().len() as f64)
            },
        }
    }

    fn meters(&self) -> Meters {
        let hollow = self.later_hollow();
        Meters {
            bare: self.bare.as_ref().map_or(Duration::ZERO, |relay| relay.figures().processor_time),
            real: Meter {
                processor: self.running_real().map(|relay| relay.figures().processor_time).sum(),
                traffic: self.switch.traffic(JOINED..JOINED + self.plan.real),
            },
            hollow: Meter { processor: named_threads_time(THREAD), traffic: self.switch.traffic(hollow) },
        }
    }

    /// Megabytes of memory of the real relays, on average.
    pub fn real_resident(&self) -> f64 {
        let sum: u64 = self.running_real().map(|relay| relay.figures().resident_kb).sum();
        sum as f64 / 1_024.0 / self.running_real().count().max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Meter {
    processor: Duration,
    traffic: super::switch::Traffic,
}

impl Meter {
    /// From here to a later one, for each relay.
    fn until(&self, after: &Meter, seconds: f64, relays: f64) -> Used {
        let each = |sum: f64| sum / seconds / relays;
        let (a, b) = (self.traffic, after.traffic);
        let bytes = |t: super::switch::Traffic| (t.sent_bytes + t.heard_bytes) as f64;
        Used {
            processor: each(100.0 * after.processor.saturating_sub(self.processor).as_secs_f64()),
            bytes_a_second: each(bytes(b) - bytes(a)),
            datagrams_a_second: each(b.datagrams as f64 - a.datagrams as f64),
        }
    }
}

struct Meters {
    bare: Duration,
    real: Meter,
    hollow: Meter,
}

impl Drop for FleetRig {
    fn drop(&mut self) {
        self.real.clear();
        self.bare = None;
        std::fs::remove_dir_all(&self.surroundings.folder).ok();
    }
}
