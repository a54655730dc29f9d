//! Starts the parts and ties them together.

use super::beside::{Beside, BesidePlan, FleetPlan};
use super::descriptors::Share;
use super::fronts::{start_platform, PlatformStart};
use super::inherited::Inherited;
use super::last_good::Keeper;
use super::memory_log::MemoryLog;
use super::memory_share::MemoryShare;
use super::ownership::{own, Claim, Owned};
use super::reload::{PlatformReload, Reload, Reread};
use super::rooms::Rooms;
use super::takeover::{self, Takeover};
use super::{admission_log, fleet, shutdown, terms};
use crate::admission::ledger;
use crate::configuration::{Configuration, Environment};
use crate::memory::MemoryLimits;
use crate::operator::Operator;
use crate::protocol::console::{self, Answer, Asked};
use crate::protocol::discovery::Names;
use crate::protocol::platform::{list_figures, notice_figures, Platform};
use crate::protocol::smpp::config::SmppConfig;
use crate::routing::handover::{Hello, Operated, LEGACY_VERSION, VERSION};
use crate::routing::{Classes, Clock, Desk};
use crate::transport::network::Net;
use crate::transport::Legs;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Descriptors for the listener, the log, the journal, discovery and the notices, and some to move with.
pub(super) const SPARE: usize = 32;
/// Of them, those that discovery, notices and the journal draw as they need them.
pub(super) const RECORDS: usize = SPARE - ledger::ALWAYS;

/// What is to run: one front or both, each on a core and a journal of its own.
#[derive(Default)]
pub struct Plan {
    pub platform: Option<PlatformPlan>,
    pub smpp: Option<SmppPlan>,
    pub operator: Operator,
    /// Where the operator's file is kept, where one is in use.
    pub operator_folder: Option<PathBuf>,
    /// The files read again, as often as that is asked for.
    pub rereads: Option<UnboundedReceiver<Reread>>,
    /// Descriptors that the process may have.
    pub descriptors: usize,
    /// The callers' listening socket, where the platform hands one over: then processes may take over from one another.
    pub inherited: Option<Inherited>,
    /// Where operators call.
    pub console: Option<SocketAddr>,
    /// Whether the relay's clock goes on over its processes.
    pub continues_clock: bool,
}

/// What the platform's front starts by.
pub struct PlatformPlan {
    /// The configuration as it holds in the environment.
    pub configuration: Configuration,
    /// What stands above the file.
    pub environment: Environment,
    /// The kinds and zones of what was in force here before, if anything was.
    pub names_before: Option<Names>,
}

#[derive(Clone)]
pub struct SmppPlan {
    pub config: SmppConfig,
    pub state: PathBuf,
    pub disk_bytes: u64,
    pub seed: u64,
}

/// What runs, as its end has to know it.
struct Started {
    platform: Option<PlatformDesk>,
    beside: Rc<Beside>,
    ending: Rc<Cell<bool>>,
    superseded: Rc<Notify>,
}

/// Runs the relay until `told_to_end`, and winds it up.
pub async fn run(
    plan: Plan,
    net: Net,
    clock: Clock,
    told_to_end: impl Future<Output = ()>,
) -> Result<(), String> {
    let mut told_to_end = pin!(told_to_end);
    // Signals count from the first moment: told to end before it is up, the relay has taken nothing on.
    let started = tokio::select! {
        biased;
        started = start(plan, net, clock) => started?,
        () = told_to_end.as_mut() => return Ok(()),
    };
    tokio::select! {
        () = told_to_end => {}
        // Another process decides for good.
        () = started.superseded.notified() => {}
    }
    started.ending.set(true);
    shutdown::run(started.platform.as_ref(), &started.beside).await;
    Ok(())
}

/// The platform's front and its legs.
pub(super) type PlatformDesk = (Rc<Desk<Platform>>, Rc<Legs>);

/// The platform's front as soon as it serves.
type Serving = Rc<RefCell<Option<Rc<Desk<Platform>>>>>;

async fn start(mut plan: Plan, net: Net, clock: Clock) -> Result<Started, String> {
    let (caps, limit) = (plan.operator.admission.clone(), descriptors(&plan));
    let memory = MemoryShare::new(memory_limits(&plan));
    let share = Share::new(limit, plan.inherited.is_some(), caps, net.clone(), memory.clone());
    let door = share.door().clone();
    spawn_local(door.clone().give_way());
    spawn_local(admission_log::run(door.clone()));
    let serving = Serving::default();
    start_console(plan.console, &net, &serving, &memory).await?;
    let rooms = Rooms { has_smpp: plan.smpp.is_some(), has_fleet: plan.operator.fleet.is_some() };
    let fleet = fleet_plan(&plan.operator, &plan)?;
    if let Some(PlatformPlan { configuration, .. }) = &plan.platform {
        let dir = configuration.state.clone();
        spawn_local(MemoryLog { memory, door: door.clone(), dir }.run());
    }
    let beside_plan = BesidePlan { fleet, smpp: plan.smpp.take(), net, door, clock };
    let platform = plan.platform.take();
    let keeper = operator_keeper(&plan, platform.as_ref());
    let reload = Reload {
        operator: RefCell::new(plan.operator.clone()),
        share: share.clone(),
        beside: Rc::new(Beside::default()),
        keeper,
    };
    match platform {
        Some(platform) => start_with_platform(plan, platform, beside_plan, reload, rooms, &serving).await,
        None => start_without_platform(plan, beside_plan, reload).await,
    }
}

/// The SMPP front alone, or membership alone.
async fn start_without_platform(
    plan: Plan,
    beside_plan: BesidePlan,
    reload: Reload,
) -> Result<Started, String> {
    let beside = reload.beside.clone();
    beside.start(&beside_plan, None, false).await?;
    reload.keep();
    follow(plan.rereads, reload, None);
    Ok(Started { platform: None, beside, ending: Rc::default(), superseded: Rc::default() })
}

/// The platform's front, and what is beside it; where another process serves, it hands over what it has.
async fn start_with_platform(
    plan: Plan,
    platform: PlatformPlan,
    mut beside_plan: BesidePlan,
    reload: Reload,
    rooms: Rooms,
    serving: &Serving,
) -> Result<Started, String> {
    let PlatformPlan { configuration, environment, names_before } = platform;
    let own_hello = plan.inherited.as_ref().map(|_| hello(&configuration, &configuration.names));
    // A process that serves goes by what is in force, whatever lies there now.
    let names = names_before.iter().chain([&configuration.names]);
    let hellos = names.filter(|_| own_hello.is_some()).map(|names| hello(&configuration, names));
    let hellos: Vec<Hello> = hellos.collect();
    // A process of the version before refuses the first of them.
    let legacy = hellos.iter().map(|hello| Hello { version: LEGACY_VERSION, ..hello.clone() });
    let hellos = hellos.iter().cloned().chain(legacy).collect();
    let classes = Classes::of(&configuration.classes, &configuration.settings);
    let claim = Claim {
        dir: &configuration.state,
        budget: rooms.journal(&configuration),
        classes: &classes,
        hellos,
        clock: beside_plan.clock,
        continues_clock: plan.continues_clock,
    };
    let mut owned = own(claim).await?;
    owned.rename_zones(names_before.as_ref(), &configuration.names);
    let Owned { journal, replayed, handover, predecessor, clock, turn } = owned;
    reload.keep();
    beside_plan.clock = clock;
    let (share, beside) = (reload.share.clone(), reload.beside.clone());
    if let Some(predecessor) = &predecessor {
        share.other_holds(predecessor.descriptors);
    }
    let after_takeover = handover.is_some();
    let dir = configuration.state.clone();
    let inherited = plan.inherited.as_ref();
    let start = PlatformStart { configuration, rooms, journal, replayed, handover, inherited, clock };
    let (net, door) = (beside_plan.net.clone(), beside_plan.door.clone());
    let front = start_platform(start, net, door, &plan.operator).await?;
    let platform_reload =
        Rc::new(PlatformReload::of(&front, environment, plan.descriptors, inherited.is_some()));
    spawn_local(platform_reload.clone().audit());
    follow(plan.rereads, reload, Some(platform_reload));
    let desk = front.desk.clone();
    let platform = (desk.clone(), front.legs.clone());
    serving.replace(Some(desk.clone()));
    drop(turn);
    if let Some(predecessor) = predecessor {
        spawn_local(takeover::follow(predecessor, desk, share.clone()));
    }
    beside.start(&beside_plan, Some(&platform), after_takeover).await?;
    let (ending, superseded) = (Rc::new(Cell::new(false)), Rc::new(Notify::new()));
    if let Some(hello) = own_hello {
        let (beside, ending, superseded) = (beside.clone(), ending.clone(), superseded.clone());
        let takeover = Takeover { front, share, hello, dir, beside, beside_plan, ending, superseded };
        spawn_local(takeover.offer());
    }
    Ok(Started { platform: Some(platform), beside, ending, superseded })
}

/// Listens to operators, where the platform says at which address.
async fn start_console(
    address: Option<SocketAddr>,
    net: &Net,
    serving: &Serving,
    memory: &Rc<MemoryShare>,
) -> Result<(), String> {
    let Some(address) = address else { return Ok(()) };
    let listener = net.listen(address).await;
    let listener = listener.map_err(|e| format!("console: cannot listen on {address}: {e}"))?;
    let (serving, memory) = (serving.clone(), memory.clone());
    spawn_local(console::serve(listener, move |asked| answer(serving.clone(), memory.clone(), asked)));
    Ok(())
}

/// Keeps the operator's file, where one is in use.
fn operator_keeper(plan: &Plan, platform: Option<&PlatformPlan>) -> Option<Rc<Keeper>> {
    let disk_bytes = platform.map_or(u64::MAX, |platform| platform.configuration.disk_bytes);
    plan.operator_folder.as_ref().map(|folder| Keeper::new(folder, disk_bytes))
}

/// Who this process is to one that serves; endpoints are told by these names.
fn hello(configuration: &Configuration, names: &Names) -> Hello {
    let Names { kinds, zones } = names.clone();
    Hello { version: VERSION, name: configuration.name.clone(), listen: configuration.listen, kinds, zones }
}

/// Has what is read again put in force, for good.
fn follow(rereads: Option<UnboundedReceiver<Reread>>, reload: Reload, platform: Option<Rc<PlatformReload>>) {
    if let Some(rereads) = rereads {
        spawn_local(reload.follow(rereads, platform));
    }
}

/// What the console answers: whether this process takes clients, whether an operation is in force, what is held.
async fn answer(serving: Serving, memory: Rc<MemoryShare>, asked: Asked) -> Answer {
    let desk = serving.borrow().clone();
    let yes = match (asked, desk) {
        (Asked::Memory, _) => {
            return Answer { status: StatusCode::OK, text: Some(memory.figures()) };
        }
        (_, None) => false,
        (Asked::Notices, Some(desk)) => {
            let now = desk.clock.now();
            let text = notice_figures(now, &desk.front.owed(now));
            return Answer { status: StatusCode::OK, text: Some(text) };
        }
        (Asked::List, Some(desk)) => {
            let text = list_figures(desk.clock.now(), &desk.front.list_status());
            return Answer { status: StatusCode::OK, text: Some(text) };
        }
        (Asked::Health, Some(desk)) => desk.roles.serves(),
        (Asked::Operate(operation), Some(desk)) => match desk.operate(&operation).await {
            Some(Operated::Unknown) => return StatusCode::NOT_FOUND.into(),
            Some(Operated::Done) => true,
            None => false,
        },
    };
    if yes {
        StatusCode::OK.into()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into()
    }
}

/// Sets apart the seed of membership from that of the module.
const MEMBERSHIP: u64 = 0x6d65_6d62_6572_7368;

/// Membership, as the operator's file has it.
fn fleet_plan(operator: &Operator, plan: &Plan) -> Result<Option<FleetPlan>, String> {
    let Some(section) = operator.fleet.clone() else { return Ok(None) };
    let shares = plan
        .platform
        .as_ref()
        .filter(|_| section.deals)
        .map(|p| Rc::new(Cell::new(terms::sharing(&p.configuration))));
    let (name, dir, seed) = match (&plan.platform, &plan.smpp) {
        (Some(PlatformPlan { configuration, .. }), _) => {
            let (has, wants) = (configuration.disk_bytes, 2 * fleet::DISK);
            if has < wants {
                return Err(format!(
                    "fleet: the lasting folder may hold {has} bytes, expected {wants} at least"
                ));
            }
            (configuration.name.clone(), configuration.state.clone(), configuration.seed)
        }
        (None, Some(smpp)) => ("relay".to_string(), smpp.state.clone(), smpp.seed),
        (None, None) => return Err("fleet: nothing is served".to_string()),
    };
    Ok(Some(FleetPlan { section, name, dir, seed: seed ^ MEMBERSHIP, shares }))
}

/// As many descriptors as the platform allows, or the process has, whichever is lower.
fn descriptors(plan: &Plan) -> usize {
    plan.platform.as_ref().map_or(usize::MAX, |p| p.configuration.sockets).min(plan.descriptors)
}

/// The memory that the relay may take; without a platform nobody says how much.
fn memory_limits(plan: &Plan) -> MemoryLimits {
    let may_hand_over = plan.inherited.is_some();
    let none = MemoryLimits { relay: u64::MAX, files: u64::MAX, sockets: 0, may_hand_over };
    plan.platform.as_ref().map_or(none, |platform| platform.configuration.memory(may_hand_over))
}

/// Starts a task without which the relay would stand still, and starts it again if it panics.
pub(super) fn keep_up<F: Future<Output = ()> + 'static>(name: &'static str, task: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(task()).await.is_err_and(|e| e.is_panic()) {
            tracing::error!(target: "relay", event = "part-failed", part = name, "{name} failed and goes on");
        }
    });
}
