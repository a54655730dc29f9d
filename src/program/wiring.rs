//! Starts the parts and ties them together.

use super::config::Config;
use super::fleet;
use super::listing::Listing;
use super::log;
use crate::admission::ledger::{self, Ledger, Purse};
use crate::admission::Settings;
use crate::fleet::Asking;
use crate::operator::admission::Refusal;
use crate::operator::Operator;
use crate::protocol::discovery::{self, Names};
use crate::protocol::platform::{self, Classes, Platform};
use crate::protocol::smpp::config::SmppConfig;
use crate::protocol::smpp::{self, Smpp};
use crate::routing::core::{Batching, First};
use crate::routing::{Clock, Core, Desk, Front, Journal};
use crate::transport::network::{Counted, Net};
use crate::transport::pipeline::Pipelines;
use crate::transport::{Door, Leg, Legs, Pool};
use bytes::Bytes;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// From the first signal on the relay may be killed after this time.
const KILLED_AFTER: Duration = Duration::from_millis(3_600);
/// Callers may still come for a while after the signal; to be gone by then would turn them away unheard.
const STAYS: Duration = Duration::from_millis(1_500);
/// Descriptors for the listener, the log, the journal, discovery and the notices, and some to move with.
const SPARE: usize = 32;
/// Of them, those that discovery, notices and the journal draw as they need them.
const RECORDS: usize = SPARE - ledger::ALWAYS;
/// Sets the chances taken with discovery apart from those of the module.
const ASKING: u64 = 0x6469_7363_6f76_6572;
/// More descriptors than this are not planned with, whatever the system allows.
const MOST: usize = 1 << 20;

/// What is to run: one front or both, each on a core and a journal of its own.
#[derive(Default)]
pub struct Plan {
    pub platform: Option<PlatformPlan>,
    pub smpp: Option<SmppPlan>,
    pub operator: Operator,
    /// The operator's file read again, as often as that is asked for.
    pub changes: Option<UnboundedReceiver<Operator>>,
    /// Descriptors that the process may have.
    pub descriptors: usize,
}

pub struct PlatformPlan {
    pub config: Config,
    /// The file read again, as often as that is asked for.
    pub reread: UnboundedReceiver<Config>,
}

pub struct SmppPlan {
    pub config: SmppConfig,
    pub state: PathBuf,
    pub disk_bytes: u64,
    pub seed: u64,
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
    let (platform, smpp, member) = started;

    told_to_end.await;
    let told = Instant::now();
    tracing::info!(target: "relay", event = "told-to-end", "callers are asked to leave, what is out is seen to its end");
    if let Some(member) = &member {
        member.leave();
    }
    if let Some((desk, legs)) = &platform {
        legs.close_when_idle();
        close(desk);
    }
    if let Some(desk) = &smpp {
        close(desk);
        let desk = desk.clone();
        spawn_local(async move { smpp::part(&desk, KILLED_AFTER - Duration::from_millis(300)).await });
    }
    let busy = || {
        let callers = platform.as_ref().is_some_and(|(_, legs)| legs.open() > 0);
        let out = platform.as_ref().map_or(0, |(d, _)| d.calls_out() + d.see(Core::open));
        let smpp = smpp.as_ref().is_some_and(|d| d.calls_out() > 0 || d.front.legs_open() > 0);
        callers || out > 0 || smpp
    };
    while told.elapsed() < KILLED_AFTER && (told.elapsed() < STAYS || busy()) {
        sleep(Duration::from_millis(20)).await;
    }
    let platform = platform.map_or(0, |(d, _)| d.see(Core::open));
    let smpp = smpp.map_or(0, |d| d.see(Core::open));
    let left = platform + smpp;
    tracing::info!(target: "relay", event = "ends", left, "ends with {left} transactions in the journal");
    Ok(())
}

type PlatformDesk = (Rc<Desk<Platform>>, Rc<Legs>);
type Started = (Option<PlatformDesk>, Option<Rc<Desk<Smpp>>>, Option<Rc<fleet::Running>>);

async fn start(mut plan: Plan, net: Net, clock: Clock) -> Result<Started, String> {
    let door = open_door(&plan, &net);
    spawn_local(door.clone().give_way());
    spawn_local(watch(door.clone()));
    let (changes, operator) = (plan.changes.take(), plan.operator.clone());
    let plain = plain(&plan);
    let member = match &operator.fleet {
        Some(said) => Some(join_fleet(said, &mut plan, clock).await?),
        None => None,
    };
    let said_fleet = operator.fleet.clone();
    let shared = plan.platform.as_ref().filter(|_| said_fleet.as_ref().is_some_and(|f| f.deals)).map(|p| {
        let s = &p.config.settings;
        crate::fleet::together::Terms { senders: s.senders, cold_share: s.cold_share, warm_up: s.warm_up }
    });
    let platform = match plan.platform {
        Some(plan) => Some(start_platform(plan, net.clone(), door.clone(), &operator, clock).await?),
        None => None,
    };
    if let (Some(member), Some((desk, _)), Some(terms)) = (&member, &platform, shared) {
        spawn_local(member.clone().share(desk.clone(), terms));
    }
    let smpp = match plan.smpp {
        Some(plan) => Some(start_smpp(plan, net, door.clone(), clock).await?),
        None => None,
    };
    if let Some(changes) = changes {
        spawn_local(follow_operator(changes, plain, said_fleet, door, platform.clone(), smpp.clone()));
    }
    Ok((platform, smpp, member))
}

/// Sets apart the seed of membership from that of the module.
const MEMBERSHIP: u64 = 0x6d65_6d62_6572_7368;

/// Membership lives beside the journal, and within its room.
async fn join_fleet(
    said: &crate::operator::fleet::Fleet,
    plan: &mut Plan,
    clock: Clock,
) -> Result<Rc<fleet::Running>, String> {
    let (name, dir, seed) = match (&mut plan.platform, &plan.smpp) {
        (Some(PlatformPlan { config, .. }), _) => {
            if config.disk_bytes < 2 * fleet::DISK {
                let (has, wants) = (config.disk_bytes, 2 * fleet::DISK);
                return Err(format!(
                    "fleet: the lasting folder may hold {has} bytes, expected {wants} at least"
                ));
            }
            config.disk_bytes -= fleet::DISK;
            (config.name.clone(), config.state.clone(), config.seed)
        }
        (None, Some(smpp)) => ("relay".to_string(), smpp.state.clone(), smpp.seed),
        (None, None) => return Err("fleet: nothing is served".to_string()),
    };
    std::fs::create_dir_all(&dir).map_err(|e| format!("fleet: {}: {e}", dir.display()))?;
    fleet::start(said, &name, &dir, seed ^ MEMBERSHIP, clock).await
}

/// Takes in the operator's file as it was read again: the log, admission, and of SMPP its next hops.
async fn follow_operator(
    mut changes: UnboundedReceiver<Operator>,
    plain: Settings,
    fleet: Option<crate::operator::fleet::Fleet>,
    door: Rc<Door>,
    platform: Option<PlatformDesk>,
    smpp: Option<Rc<Desk<Smpp>>>,
) {
    while let Some(said) = changes.recv().await {
        log::heed(said.log.clone());
        let closed = door.reload(said.admission.settings(plain.clone()));
        if let Some((desk, legs)) = &platform {
            legs.say(words(said.admission.refusal));
            desk.act(|core, now| core.set_batching(now, said.batching.clone()));
        }
        let same =
            |a: &crate::operator::fleet::Fleet| crate::operator::fleet::Fleet { place: None, ..a.clone() };
        if fleet.as_ref().map(same) != said.fleet.as_ref().map(same) {
            tracing::warn!(target: "operator", event = "reread-needs-restart", "section `fleet` holds from the next start on");
        }
        match (&smpp, &said.smpp) {
            (Some(desk), Some(config)) => smpp::learn(desk, config),
            (None, None) => {}
            _ => {
                tracing::warn!(target: "operator", event = "reread-needs-restart", "the SMPP front comes or goes with a restart alone")
            }
        }
        let text = "the operator's file was read again";
        tracing::info!(target: "operator", event = "operator-reread", closed, "{text}: {closed} legs beyond its caps are closed");
    }
}

/// What a caller is told that is turned away before it has asked.
fn words(refusal: Refusal) -> Bytes {
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

/// The door for all listeners, and the descriptors that go through it: as many as the platform allows, or the
/// process has, whichever is lower.
fn open_door(plan: &Plan, net: &Net) -> Rc<Door> {
    let total = descriptors(plan);
    let room = room(total);
    let admission = plan.operator.admission.settings(plain(plan));
    let kept = [RECORDS, room / 3, admission.reserve, 0];
    let ledger = Ledger::new(total.saturating_sub(ledger::ALWAYS).max(room), kept);
    Door::new(admission, ledger, net.clone())
}

fn descriptors(plan: &Plan) -> usize {
    plan.platform.as_ref().map_or(MOST, |p| p.config.sockets).min(plan.descriptors).min(MOST)
}

/// Descriptors for callers and calls.
fn room(total: usize) -> usize {
    total.saturating_sub(SPARE).max(16)
}

/// What holds of admission where the operator says nothing.
fn plain(plan: &Plan) -> Settings {
    let total = descriptors(plan);
    Settings::plain(room(total) * 2 / 3, total / 4)
}

/// Starts a task without which the relay would stand still, and starts it again if it panics.
fn keep_up<F: Future<Output = ()> + 'static>(name: &'static str, task: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(task()).await.is_err_and(|e| e.is_panic()) {
            tracing::error!(target: "relay", event = "part-failed", part = name, "{name} failed and goes on");
        }
    });
}

fn close<F: Front>(desk: &Rc<Desk<F>>) {
    desk.act(|core, now| core.closing(now, now + KILLED_AFTER.as_nanos() as u64));
}

fn journal(
    state: &Path,
    bytes: u64,
    classes: Vec<String>,
) -> Result<(Journal, crate::routing::journal::Replayed), String> {
    std::fs::create_dir_all(state)
        .and_then(|()| Journal::open(state, bytes, classes))
        .map_err(|e| format!("cannot open the journal in {}: {e}", state.display()))
}

async fn start_platform(
    plan: PlatformPlan,
    net: Net,
    door: Rc<Door>,
    said: &Operator,
    clock: Clock,
) -> Result<PlatformDesk, String> {
    let PlatformPlan { config, reread } = plan;
    let batching = Batching { table: said.batching.clone(), kinds: config.names.kinds.clone() };
    let (journal, replayed) = journal(&config.state, config.disk_bytes, config.classes.clone())?;
    let keepalive = Duration::from_nanos(config.settings.keepalive.max(1_000_000_000) / 10 * 9);
    let connect = Duration::from_nanos(config.connect_timeout);
    let drawing = |purse| Counted::over(net.clone(), door.ledger().clone(), purse);
    let most = door.ledger().kept(Purse::Calls);
    let pool = Pool::new(drawing(Purse::Calls), most, keepalive, config.settings.senders, connect);
    let pipelines = Pipelines::new(drawing(Purse::Calls), keepalive, connect);
    let legs = Legs::new(door.clone(), words(said.admission.refusal));
    let records = drawing(Purse::Records);
    // Well beyond what the settings give any class, a deadline is a mistake.
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0).saturating_mul(2);
    let (settings, known) = (config.settings, &config.known);
    let asking = Asking::new(settings.senders, config.asked, config.seed ^ ASKING);
    let seq = (known.whole && !known.endpoints.is_empty()).then_some(known.seq);
    let first = First { known, batching, tells_delivery: false };
    let core = Core::new(settings, config.seed, journal, replayed, first, clock.now());
    let classes =
        Classes { names: config.classes, defaults: config.defaults, rest: config.default_class, longest };
    let front = Platform::new(records.clone(), pool.clone(), pipelines, classes, config.discovery);
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    let (timed, telling) = (desk.clone(), desk.clone());
    keep_up("the timer", move || timed.clone().keep_time());
    keep_up("the notices", move || platform::tell_ends(telling.clone()));
    spawn_local(pool.sweep());
    let listing = Listing { desk: desk.clone() };
    let agent = desk.front.agent.subscribe();
    spawn_local(discovery::follow(records, agent, config.names.clone(), asking, seq, config.list, listing));
    spawn_local(heed(desk.clone(), config.names, config.discovery, reread));
    let (answering, withdrawing) = (desk.clone(), desk.clone());
    let answer = move |leg, request| platform::answer(answering.clone(), leg, request);
    let gone = move |leg: &Rc<Leg>| {
        if let Some(no) = leg.unheard() {
            withdrawing.act(|core, now| core.withdraw(now, no));
        }
    };
    spawn_local(legs.clone().accept(listener, answer, gone));
    let name = &config.name;
    tracing::info!(target: "relay", event = "serves", front = "platform", %address, "{name} serves on {address}");
    Ok((desk, legs))
}

/// Takes in the configuration as it was read again: where discovery and notices go, from now on, and the
/// known list where there is no discovery. All else holds from the next start on.
async fn heed(
    desk: Rc<Desk<Platform>>,
    names: Names,
    first: Option<SocketAddr>,
    mut reread: UnboundedReceiver<Config>,
) {
    while let Some(config) = reread.recv().await {
        // An address that only the environment gave stays.
        let agent = config.discovery.or(first);
        desk.front.agent.send_if_modified(|now| std::mem::replace(now, agent) != agent);
        match agent {
            Some(agent) => {
                tracing::info!(target: "relay", event = "reread", %agent, "the configuration was read again: discovery at {agent}");
            }
            None if config.names == names => {
                desk.act(|core, now| core.learn(now, &config.known));
                tracing::info!(target: "relay", event = "reread", "the configuration was read again: its list stands");
            }
            None => {
                let text = "the configuration was read again: other kinds or zones need a restart";
                tracing::warn!(target: "relay", event = "reread-needs-restart", "{text}");
            }
        }
    }
}

async fn start_smpp(
    plan: SmppPlan,
    net: Net,
    door: Rc<Door>,
    clock: Clock,
) -> Result<Rc<Desk<Smpp>>, String> {
    let SmppPlan { config, state, disk_bytes, seed } = plan;
    let (journal, replayed) = journal(&state, disk_bytes, config.class_list())?;
    let (settings, known) = (config.settings.clone(), config.route_news());
    let first = First { known: &known, batching: Batching::default(), tells_delivery: true };
    let core = Core::new(settings, seed, journal, replayed, first, clock.now());
    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("smpp: cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    let calls = Counted::over(net, door.ledger().clone(), Purse::Calls);
    let desk = Desk::new(core, clock, Smpp::new(config, calls, clock.now()));
    desk.act(|_, _| ());
    let timed = desk.clone();
    keep_up("the SMPP timer", move || timed.clone().keep_time());
    spawn_local(smpp::accept(desk.clone(), door, listener));
    tracing::info!(target: "relay", event = "serves", front = "smpp", %address, "smpp: serves on {address}");
    Ok(desk)
}
