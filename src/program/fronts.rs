//! Starts the fronts: the platform's and the SMPP one, each on a core and a journal of its own.

use super::departures::DepartureKeeper;
use super::inherited::Inherited;
use super::last_good::Keeper;
use super::listing::{Feed, Listing};
use super::rooms::Rooms;
use super::terms::{self, DiscoveryTerms};
use super::wiring::{keep_up, SmppPlan};
use crate::admission::ledger::Purse;
use crate::batching::Table;
use crate::configuration::Configuration;
use crate::memory::MemoryBudget;
use crate::operator::Operator;
use crate::polling::{self, PollSchedule};
use crate::protocol::discovery::{self, Names};
use crate::protocol::platform::{self, Platform};
use crate::protocol::smpp::{self, Smpp};
use crate::routing::core::{Batching, First, Moved};
use crate::routing::handover::{Endpoints, Handover};
use crate::routing::journal::{OpenError, Preread, Replayed};
use crate::routing::{Classes, Clock, Core, Desk, EndpointUpdate, Journal};
use crate::transport::gate::{Gate, Gated};
use crate::transport::network::{Counted, Listen, Net};
use crate::transport::pipeline::Pipelines;
use crate::transport::{Door, Leg, Legs, Pool};
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Sets the chances taken with discovery apart from those of the module.
const POLL_SEED: u64 = 0x6469_7363_6f76_6572;

/// The platform's front, as it runs.
pub(super) struct PlatformFront {
    pub desk: Rc<Desk<Platform>>,
    pub legs: Rc<Legs>,
    pub listing: Rc<Listing<Platform>>,
    /// Shut while another process takes callers.
    pub gate: Gate,
    /// Makes cores of the journal.
    pub cores: Cores,
    /// The configuration that holds.
    pub in_force: InForce,
    /// Keeps it in the folder.
    pub keeper: Rc<Keeper>,
    /// Keeps there which endpoints drain or have left.
    pub departures: Rc<DepartureKeeper>,
}

/// The configuration that holds now, for all who go by it.
pub(super) type InForce = Rc<watch::Sender<Rc<Configuration>>>;

/// By what cores of the platform's front are made.
pub(super) struct Cores {
    in_force: InForce,
    pub rooms: Rooms,
    batching: Table,
    clock: Clock,
    memory: Rc<MemoryBudget>,
}

impl Cores {
    /// A core of what the folder held when it was opened, and of what another process handed over beside that.
    fn of(&self, journal: Journal, replayed: Replayed, handover: Option<(Handover, Names)>) -> Core {
        let configuration = self.in_force.borrow().clone();
        let handed = handover.as_ref().and_then(|(handover, names)| {
            let moved = Moved::between(names, &configuration.names);
            list(&handover.list).map(|update| moved.apply(update))
        });
        let handover = handover.map(|(handover, _)| handover);
        let known = handed.as_ref().unwrap_or(&configuration.known);
        let batching = Batching { table: self.batching.clone(), kinds: configuration.names.kinds.clone() };
        let first = First { known, batching, tells_delivery: false };
        let (settings, seed) = (configuration.settings.clone(), configuration.seed);
        let now = self.clock.now();
        let mut core = Core::taking_over(settings, seed, journal, replayed, first, handover, now);
        core.count_memory_in(self.memory.clone());
        core
    }

    /// A core of what the folder holds now, and of what was handed over in vain, with endpoints by these names.
    pub fn again(&self, mut handed: Handover, names: Names) -> Result<Core, OpenError> {
        let configuration = self.in_force.borrow().clone();
        let budget = self.rooms.journal(&configuration);
        let classes = Classes::of(&configuration.classes, &configuration.settings);
        let (mut journal, mut replayed) =
            Journal::open_after(Preread::none(), &configuration.state, budget, &classes)?;
        let lacks_records = journal.lacks_records();
        // Calls that the other had out ended with it.
        handed.has_lost_calls = true;
        let unwritten = std::mem::take(&mut handed.unwritten);
        // Who wrote anything wrote these first.
        if journal.bytes() == handed.journal_bytes {
            journal.append_unwritten(unwritten, &mut replayed);
        }
        // What the other could not write is gone with it.
        if lacks_records {
            journal.distrust_attempts(&mut replayed);
        }
        Ok(self.of(journal, replayed, Some((handed, names))))
    }
}

/// A list that another process had in force, if it had one.
fn list(endpoints: &Endpoints) -> Option<EndpointUpdate> {
    let all = endpoints.endpoints.clone();
    let seq = endpoints.seq.unwrap_or(0);
    (!all.is_empty()).then_some(EndpointUpdate { seq, whole: true, endpoints: all })
}

/// What the platform's front starts from.
pub(super) struct PlatformStart<'a> {
    pub configuration: Configuration,
    pub rooms: Rooms,
    pub journal: Journal,
    pub replayed: Replayed,
    pub handover: Option<(Handover, Names)>,
    pub inherited: Option<&'a Inherited>,
    pub clock: Clock,
}

pub(super) async fn start_platform(
    start: PlatformStart<'_>,
    net: Net,
    door: Rc<Door>,
    said: &Operator,
) -> Result<PlatformFront, String> {
    let PlatformStart { mut configuration, rooms, journal, replayed, handover, inherited, clock } = start;
    let departures = DepartureKeeper::start(&mut configuration);
    let configuration = Rc::new(configuration);
    let in_force: InForce = Rc::new(watch::Sender::new(configuration.clone()));
    let front = platform_front(&configuration, &net, &door);
    let (pool, records, memory) = (front.pool.clone(), front.net.clone(), front.memory.clone());
    let known = &configuration.known;
    let known = (known.whole && !known.endpoints.is_empty()).then_some(known.seq);
    let handed =
        handover.as_ref().map(|(handover, _)| &handover.list).filter(|handed| list(handed).is_some());
    let seq = handed.map_or(known, |handed| handed.seq);
    let cores = Cores { in_force: in_force.clone(), rooms, batching: said.batching.clone(), clock, memory };
    let handed_seq = handed.and_then(|handed| handed.seq);
    let was_handed = handed.is_some();
    let core = cores.of(journal, replayed, handover);
    if was_handed {
        // The process before this one may not have kept yet what it heard last.
        departures.take_in(core.catalog(), handed_seq);
    }
    let keeper = Keeper::new(&configuration.state, configuration.disk_bytes);
    keeper.keep_configuration(&configuration);
    spawn_local(keeper.clone().catch_up());
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = listen(&configuration, &net, inherited).await?;
    let address = listener.address().unwrap_or(configuration.listen);
    let (timed, telling, writing) = (desk.clone(), desk.clone(), desk.clone());
    keep_serving("the journal", &desk, move || writing.clone().write_records());
    keep_serving("the timer", &desk, move || timed.clone().keep_time());
    keep_serving("the notices", &desk, move || platform::tell_ends(telling.clone()));
    spawn_local(pool.sweep());
    let listing = Listing::new(desk.clone(), seq);
    listing.keep_departures(departures.clone());
    spawn_local(departures.clone().keep());
    let applying = listing.clone();
    keep_serving("the list", &desk, move || applying.clone().apply());
    spawn_local(follow_discovery(desk.clone(), listing.clone(), records, in_force.clone()));
    let legs = Legs::new(door, terms::refusal_text(said.admission.refusal));
    spawn_local(send_callers_away(desk.clone(), legs.clone()));
    let gate = Gate::open();
    let listener = Box::new(Gated { listener, gate: gate.clone() });
    let (answering, withdrawing) = (desk.clone(), desk.clone());
    let answer = move |leg, request| platform::answer(answering.clone(), leg, request);
    let gone = move |leg: &Rc<Leg>| {
        if let Some(no) = leg.unheard() {
            withdrawing.withdraw(no);
        }
    };
    spawn_local(legs.clone().accept(listener, answer, gone));
    let name = &configuration.name;
    tracing::info!(target: "relay", event = "serves", front = "platform", %address, "{name} serves on {address}");
    Ok(PlatformFront { desk, legs, listing, gate, cores, in_force, keeper, departures })
}

/// What stands before the core.
fn platform_front(configuration: &Configuration, net: &Net, door: &Rc<Door>) -> Platform {
    let drawing = |purse| Counted::over(net.clone(), door.ledger().clone(), purse);
    let terms = terms::pool(configuration, door);
    let pool = Pool::new(drawing(Purse::Calls), terms);
    let pipelines =
        Pipelines::new(drawing(Purse::Calls), pool.clone(), terms.keepalive, terms.connect_timeout);
    let classes = terms::path_classes(configuration);
    let memory = door.ledger().memory().clone();
    Platform::new(drawing(Purse::Records), pool, pipelines, classes, configuration.discovery, memory)
}

/// The socket that callers connect to: the platform's own, where it hands one over.
async fn listen(
    config: &Configuration,
    net: &Net,
    inherited: Option<&Inherited>,
) -> Result<Box<dyn Listen>, String> {
    let cannot = |e: &dyn std::fmt::Display| format!("cannot listen on {}: {e}", config.listen);
    match inherited {
        Some(inherited) => {
            let listener = inherited.listener().and_then(TcpListener::from_std);
            Ok(Box::new(listener.map_err(|e| cannot(&e))?))
        }
        None => net.listen(config.listen).await.map_err(|e| cannot(&e)),
    }
}

/// Keeps up a task while this process decides.
fn keep_serving<F: std::future::Future<Output = ()> + 'static>(
    name: &'static str,
    desk: &Rc<Desk<Platform>>,
    task: impl Fn() -> F + Clone + 'static,
) {
    let desk = desk.clone();
    keep_up(name, move || {
        let (desk, task) = (desk.clone(), task.clone());
        async move { desk.roles.while_serving(&task).await }
    });
}

/// Follows discovery while this process decides, each time from the list that is in force.
async fn follow_discovery(
    desk: Rc<Desk<Platform>>,
    listing: Rc<Listing<Platform>>,
    net: Net,
    in_force: InForce,
) {
    let life = Cell::new(0u64);
    let follow = || {
        let mut configurations = in_force.subscribe();
        let (desk, listing, net, life) = (&desk, &listing, &net, &life);
        async move {
            loop {
                let (terms, seed) = {
                    let configuration = configurations.borrow_and_update();
                    (DiscoveryTerms::of(&configuration), configuration.seed)
                };
                // Chances of its own each time.
                let seed = seed ^ POLL_SEED ^ life.replace(life.get() + 1);
                let schedule = PollSchedule::new(terms.senders, terms.asked, seed);
                let schedule = if life.get() > 1 { schedule.going_on() } else { schedule };
                keep_budget(desk, terms.asked, &schedule);
                let (agent, names) = (desk.front.agent.subscribe(), terms.names.clone());
                let (seq, feed) = (listing.in_force(), Feed(listing.clone()));
                let others = |now: &Rc<Configuration>| DiscoveryTerms::of(now) != terms;
                tokio::select! {
                    () = discovery::follow(net.clone(), agent, names, schedule, seq, terms.limits, feed) => return,
                    changed = configurations.wait_for(others) => if changed.is_err() { return },
                }
            }
        }
    };
    desk.roles.while_serving(follow).await;
}

/// Has lists come into force within the time that the settings give, where they are watched for.
fn keep_budget(desk: &Desk<Platform>, asked: polling::Terms, schedule: &PollSchedule) {
    let budget = asked.budget();
    desk.front.keep_list_budget(Some(budget).filter(|_| schedule.watches()));
    let step = schedule.bounds().step();
    if schedule.watches() && !budget.holds(step) {
        let (grace_ms, worst_ms) = (asked.grace.as_millis(), budget.worst_case(step).as_millis());
        tracing::warn!(target: "platform", event = "grace-too-short", grace_ms, worst_ms, "`rules.stop_sending_within` is shorter than a drain may take to be heeded");
    }
}

/// Has callers sent away, and stay again, as operators want it.
async fn send_callers_away(desk: Rc<Desk<Platform>>, legs: Rc<Legs>) {
    let mut draining = desk.front.draining.subscribe();
    loop {
        let away = *draining.borrow_and_update();
        tokio::select! {
            () = legs.send_away(away) => {
                if draining.changed().await.is_err() {
                    return;
                }
            }
            changed = draining.changed() => if changed.is_err() { return },
        }
    }
}

pub(super) async fn start_smpp(
    plan: SmppPlan,
    net: Net,
    door: Rc<Door>,
    clock: Clock,
) -> Result<Rc<Desk<Smpp>>, String> {
    let SmppPlan { config, state, disk_bytes, seed } = plan;
    let opened = std::fs::create_dir_all(&state).map_err(OpenError::Io).and_then(|()| {
        Journal::open(&state, disk_bytes, Classes::of(&config.class_list(), &config.settings))
    });
    let (journal, replayed) =
        opened.map_err(|e| format!("cannot open the journal in {}: {e}", state.display()))?;
    let (settings, known) = (config.settings.clone(), config.route_news());
    let first = First { known: &known, batching: Batching::default(), tells_delivery: true };
    let mut core = Core::new(settings, seed, journal, replayed, first, clock.now());
    // ESMEs wait for their answers by response timers of their own, seconds as a rule.
    core.bear_writes_of(config.times.response / 2);
    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("smpp: cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    let calls = Counted::over(net, door.ledger().clone(), Purse::Calls);
    let desk = Desk::new(core, clock, Smpp::new(config, calls));
    desk.act(|_, _| ());
    let (timed, writing) = (desk.clone(), desk.clone());
    keep_up("the SMPP journal", move || writing.clone().write_records());
    keep_up("the SMPP timer", move || timed.clone().keep_time());
    spawn_local(smpp::accept(desk.clone(), door, listener));
    tracing::info!(target: "relay", event = "serves", front = "smpp", %address, "smpp: serves on {address}");
    Ok(desk)
}
