//! Starts the parts and ties them together.

use super::beside::{Beside, BesidePlan, FleetPlan};
use super::descriptors::Share;
use super::fronts::{start_platform, PlatformFront, PlatformStart};
use super::inherited::Inherited;
use super::last_good::{Keeper, Name};
use super::ownership::{own, Claim, Owned};
use super::reload::{PlatformReload, Reload, Reread};
use super::rooms::Rooms;
use super::takeover::{self, Takeover};
use super::{fleet, log, terms};
use crate::admission::ledger;
use crate::configuration::{Configuration, Environment};
use crate::operator::admission::Refusal;
use crate::operator::Operator;
use crate::protocol::console::{self, Asked};
use crate::protocol::discovery::Names;
use crate::protocol::platform::Platform;
use crate::protocol::smpp;
use crate::protocol::smpp::config::SmppConfig;
use crate::routing::handover::{Hello, Operated, VERSION};
use crate::routing::{Classes, Clock, Core, Desk, Front};
use crate::transport::network::Net;
use crate::transport::{Door, Legs};
use bytes::Bytes;
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// From the first signal on the relay may be killed after this time.
const KILLED_AFTER: Duration = Duration::from_millis(3_600);
/// Callers may still come for a while after the signal; to be gone by then would turn them away unheard.
const STAYS: Duration = Duration::from_millis(1_500);
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
    wind_up(&started).await;
    Ok(())
}

async fn wind_up(started: &Started) {
    let told = Instant::now();
    tracing::info!(target: "relay", event = "told-to-end", "callers are asked to leave, what is out is seen to its end");
    let Started { platform, beside, .. } = started;
    if let Some(member) = beside.member() {
        member.leave();
    }
    let mut stays = STAYS;
    if let Some((desk, legs)) = platform {
        if desk.roles.serves() {
            legs.close_when_idle();
            close(desk);
        } else {
            // Callers find the process that took over.
            stays = Duration::ZERO;
        }
    }
    let smpp = beside.smpp();
    if let Some(desk) = smpp.clone() {
        close(&desk);
        spawn_local(async move { smpp::part(&desk, KILLED_AFTER - Duration::from_millis(300)).await });
    }
    let busy = || {
        let callers = platform.as_ref().is_some_and(|(_, legs)| legs.open() > 0);
        let out = platform.as_ref().map_or(0, |(desk, _)| match desk.roles.serves() {
            true => desk.calls_out() + desk.see(Core::open),
            false => desk.calls_here(),
        });
        let smpp = smpp.as_ref().is_some_and(|d| d.calls_out() > 0 || d.front.legs_open() > 0);
        callers || out > 0 || smpp
    };
    while told.elapsed() < KILLED_AFTER && (told.elapsed() < stays || busy()) {
        sleep(Duration::from_millis(20)).await;
    }
    let of_platform = platform.as_ref().filter(|(desk, _)| desk.roles.serves());
    let left = of_platform.map_or(0, |(d, _)| d.see(Core::open)) + smpp.map_or(0, |d| d.see(Core::open));
    tracing::info!(target: "relay", event = "ends", left, "ends with {left} transactions in the journal");
}

pub(super) type PlatformDesk = (Rc<Desk<Platform>>, Rc<Legs>);

async fn start(mut plan: Plan, net: Net, clock: Clock) -> Result<Started, String> {
    let operator = plan.operator.clone();
    let share =
        Share::new(descriptors(&plan), plan.inherited.is_some(), operator.admission.clone(), net.clone());
    let door = share.door().clone();
    spawn_local(door.clone().give_way());
    spawn_local(watch(door.clone()));
    let desk = Rc::new(RefCell::new(None));
    if let Some(console) = plan.console {
        let listener = net.listen(console).await;
        let listener = listener.map_err(|e| format!("console: cannot listen on {console}: {e}"))?;
        let desk = desk.clone();
        spawn_local(console::serve(listener, move |asked| answer(desk.clone(), asked)));
    }
    let (ending, superseded) = (Rc::new(Cell::new(false)), Rc::new(Notify::new()));
    let beside = Rc::new(Beside::default());
    let fleet = fleet_plan(&operator, &plan)?;
    let smpp = plan.smpp.take();
    let operator_keeper = plan.operator_folder.as_ref().map(|folder| {
        Keeper::new(folder, plan.platform.as_ref().map_or(u64::MAX, |p| p.configuration.disk_bytes))
    });
    let reload = Reload {
        operator: RefCell::new(operator.clone()),
        share: share.clone(),
        beside: beside.clone(),
        keeper: operator_keeper.clone(),
    };
    let rereads = plan.rereads.take();
    let Some(platform) = plan.platform.take() else {
        let beside_plan = BesidePlan { fleet, smpp, net, door, clock };
        beside.start(&beside_plan, None, false).await?;
        keep_operator(operator_keeper, &operator);
        follow(rereads, reload, None);
        return Ok(Started { platform: None, beside, ending, superseded });
    };
    let PlatformPlan { configuration, environment, names_before } = platform;
    let rooms = Rooms { has_smpp: smpp.is_some(), has_fleet: fleet.is_some() };
    let own_hello = plan.inherited.as_ref().map(|_| hello(&configuration, &configuration.names));
    // A process that serves goes by what is in force, whatever lies there now.
    let names = names_before.iter().cloned().chain([configuration.names.clone()]);
    let hellos = names.filter(|_| own_hello.is_some()).map(|names| hello(&configuration, &names)).collect();
    let classes = Classes::of(&configuration.classes, &configuration.settings);
    let claimed = Claim {
        dir: &configuration.state,
        budget: rooms.journal(&configuration),
        classes: &classes,
        hellos,
        clock,
        continues_clock: plan.continues_clock,
    };
    let mut owned = own(claimed).await?;
    owned.rename_zones(names_before.as_ref(), &configuration.names);
    let Owned { journal, replayed, handover, predecessor, clock, turn } = owned;
    keep_operator(operator_keeper, &operator);
    if let Some(predecessor) = &predecessor {
        share.other_holds(predecessor.descriptors);
    }
    let beside_plan = BesidePlan { fleet, smpp, net: net.clone(), door: door.clone(), clock };
    let after_takeover = handover.is_some();
    let dir = configuration.state.clone();
    let inherited = plan.inherited.as_ref();
    let start = PlatformStart { configuration, rooms, journal, replayed, handover, inherited, clock };
    let front = start_platform(start, net, door, &operator).await?;
    let platform_reload = Rc::new(PlatformReload::of(&front, environment, plan.descriptors));
    spawn_local(platform_reload.clone().audit());
    follow(rereads, reload, Some(platform_reload));
    let PlatformFront { desk: serving, legs, .. } = &front;
    let platform = (serving.clone(), legs.clone());
    desk.replace(Some(serving.clone()));
    drop(turn);
    if let Some(predecessor) = predecessor {
        spawn_local(takeover::follow(predecessor, serving.clone(), share.clone()));
    }
    beside.start(&beside_plan, Some(&platform), after_takeover).await?;
    if let Some(hello) = own_hello {
        let (beside, ending, superseded) = (beside.clone(), ending.clone(), superseded.clone());
        let takeover = Takeover { front, hello, dir, beside, beside_plan, ending, superseded };
        spawn_local(takeover.offer());
    }
    Ok(Started { platform: Some(platform), beside, ending, superseded })
}

/// Who this process is to one that serves; endpoints are told by these names.
fn hello(configuration: &Configuration, names: &Names) -> Hello {
    let Names { kinds, zones } = names.clone();
    Hello { version: VERSION, name: configuration.name.clone(), listen: configuration.listen, kinds, zones }
}

/// Keeps the operator's file that is in force.
fn keep_operator(keeper: Option<Rc<Keeper>>, operator: &Operator) {
    if let Some(keeper) = keeper {
        keeper.keep(Name::Operator, operator.text.clone());
        spawn_local(keeper.catch_up());
    }
}

/// Has what is read again put in force, for good.
fn follow(rereads: Option<UnboundedReceiver<Reread>>, reload: Reload, platform: Option<Rc<PlatformReload>>) {
    if let Some(rereads) = rereads {
        spawn_local(reload.follow(rereads, platform));
    }
}

/// What the console answers: whether this process takes clients, and whether an operation is in force.
async fn answer(desk: Rc<RefCell<Option<Rc<Desk<Platform>>>>>, asked: Asked) -> StatusCode {
    let desk = desk.borrow().clone();
    let yes = match (asked, desk) {
        (_, None) => false,
        (Asked::Health, Some(desk)) => desk.roles.serves(),
        (Asked::Operate(operation), Some(desk)) => match desk.operate(&operation).await {
            Some(Operated::Unknown) => return StatusCode::NOT_FOUND,
            Some(Operated::Done) => true,
            None => false,
        },
    };
    if yes {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
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

/// What a caller is told that is turned away before it has asked.
pub(super) fn words(refusal: Refusal) -> Bytes {
    match refusal {
        Refusal::Close => Bytes::new(),
        Refusal::Unavailable(after) => {
            let after = after.as_secs_f64();
            let head = format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {after}\r\n");
            Bytes::from(head + "Connection: close\r\nContent-Length: 0\r\n\r\n")
        }
    }
}

/// Tells once a second what the door did, where it turned anybody away or ran short.
async fn watch(door: Rc<Door>) {
    loop {
        sleep(Duration::from_secs(1)).await;
        log::sum_up();
        let tally = door.take_tally();
        let (open, known) = door.open();
        let (admitted, made_room) = (tally.admitted, tally.made_room);
        if tally.refusals() > 0 {
            let by: Vec<String> =
                tally.refused.iter().map(|(why, n)| format!("{}={n}", why.name())).collect();
            let (refused, by) = (tally.refusals(), by.join(" "));
            tracing::warn!(target: "admission", event = "legs-refused", refused, by, open, known, "callers were turned away");
        }
        if tally.without_descriptor > 0 {
            let count = tally.without_descriptor;
            tracing::warn!(target: "admission", event = "descriptors-out", count, open, "callers were turned away for want of descriptors");
        }
        if tally.not_introduced > 0 {
            let count = tally.not_introduced;
            tracing::warn!(target: "admission", event = "not-introduced", count, "legs of a front had no PROXY header that could be read");
        }
        tracing::debug!(target: "admission", event = "legs", open, known, admitted, made_room, "the last second");
    }
}

/// As many descriptors as the platform allows, or the process has, whichever is lower.
fn descriptors(plan: &Plan) -> usize {
    plan.platform.as_ref().map_or(usize::MAX, |p| p.configuration.sockets).min(plan.descriptors)
}

/// Starts a task without which the relay would stand still, and starts it again if it panics.
pub(super) fn keep_up<F: Future<Output = ()> + 'static>(name: &'static str, task: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(task()).await.is_err_and(|e| e.is_panic()) {
            tracing::error!(target: "relay", event = "part-failed", part = name, "{name} failed and goes on");
        }
    });
}

fn close<F: Front>(desk: &Rc<Desk<F>>) {
    desk.act(|core, now| core.closing(now, now + KILLED_AFTER.as_nanos() as u64));
}
