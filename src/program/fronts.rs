//! Starts the fronts: the platform's and the SMPP one, each on a core and a journal of its own.

use super::config::Config;
use super::inherited::Inherited;
use super::listing::{Feed, Listing};
use super::wiring::{keep_up, words, SmppPlan};
use crate::admission::ledger::Purse;
use crate::fleet::PollSchedule;
use crate::operator::Operator;
use crate::protocol::discovery::{self, Names};
use crate::protocol::platform::{self, Classes, Platform};
use crate::protocol::smpp::{self, Smpp};
use crate::routing::core::{Batching, First};
use crate::routing::handover::{Endpoints, Handover};
use crate::routing::journal::{OpenError, Replayed};
use crate::routing::{Clock, Core, Desk, EndpointUpdate, Journal};
use crate::transport::gate::{Gate, Gated};
use crate::transport::network::{Counted, Listen, Net};
use crate::transport::pipeline::Pipelines;
use crate::transport::{Door, Leg, Legs, Pool};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
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
}

/// By what cores of the platform's front are made.
pub(super) struct Cores {
    config: Config,
    batching: Batching,
    clock: Clock,
}

impl Cores {
    /// A core of what the folder held when it was opened, and of what another process handed over beside that.
    fn of(&self, journal: Journal, replayed: Replayed, handover: Option<Handover>) -> Core {
        let handed = handover.as_ref().and_then(|h| list(&h.list));
        let known = handed.as_ref().unwrap_or(&self.config.known);
        let first = First { known, batching: self.batching.clone(), tells_delivery: false };
        let (settings, seed) = (self.config.settings.clone(), self.config.seed);
        Core::taking_over(settings, seed, journal, replayed, first, handover, self.clock.now())
    }

    /// A core of what the folder holds now, and of what was handed over in vain.
    pub fn again(&self, mut handed: Handover) -> Result<Core, OpenError> {
        let Config { state, disk_bytes, classes, .. } = &self.config;
        let (mut journal, mut replayed) = Journal::open(state, *disk_bytes, classes.clone())?;
        // Its calls are not waited for any more.
        handed.calls.clear();
        let unwritten = std::mem::take(&mut handed.unwritten);
        // Who wrote anything wrote these first.
        if journal.bytes() == handed.journal_bytes {
            journal.append_unwritten(unwritten, &mut replayed);
        }
        Ok(self.of(journal, replayed, Some(handed)))
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
    pub config: Config,
    pub reread: UnboundedReceiver<Config>,
    pub journal: Journal,
    pub replayed: Replayed,
    pub handover: Option<Handover>,
    pub inherited: Option<&'a Inherited>,
    pub clock: Clock,
}

pub(super) async fn start_platform(
    start: PlatformStart<'_>,
    net: Net,
    door: Rc<Door>,
    said: &Operator,
) -> Result<PlatformFront, String> {
    let PlatformStart { config, reread, journal, replayed, handover, inherited, clock } = start;
    let batching = Batching { table: said.batching.clone(), kinds: config.names.kinds.clone() };
    let front = platform_front(&config, &net, &door);
    let (pool, records) = (front.pool.clone(), front.net.clone());
    let known = (config.known.whole && !config.known.endpoints.is_empty()).then_some(config.known.seq);
    let seq = handover.as_ref().filter(|h| list(&h.list).is_some()).map_or(known, |h| h.list.seq);
    let cores = Cores { config: config.clone(), batching, clock };
    let core = cores.of(journal, replayed, handover);
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = listen(&config, &net, inherited).await?;
    let address = listener.address().unwrap_or(config.listen);
    let (timed, telling) = (desk.clone(), desk.clone());
    keep_serving("the timer", &desk, move || timed.clone().keep_time());
    keep_serving("the notices", &desk, move || platform::tell_ends(telling.clone()));
    spawn_local(pool.sweep());
    let listing = Listing::new(desk.clone(), seq);
    let applying = listing.clone();
    keep_serving("the list", &desk, move || applying.clone().apply());
    spawn_local(follow_discovery(desk.clone(), listing.clone(), records, config.clone()));
    spawn_local(heed(desk.clone(), listing.clone(), config.names.clone(), config.discovery, reread));
    let legs = Legs::new(door, words(said.admission.refusal));
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
    let name = &config.name;
    tracing::info!(target: "relay", event = "serves", front = "platform", %address, "{name} serves on {address}");
    Ok(PlatformFront { desk, legs, listing, gate, cores })
}

/// What stands before the core.
fn platform_front(config: &Config, net: &Net, door: &Rc<Door>) -> Platform {
    let drawing = |purse| Counted::over(net.clone(), door.ledger().clone(), purse);
    let keepalive = Duration::from_nanos(config.settings.keepalive.max(1_000_000_000) / 10 * 9);
    let connect = Duration::from_nanos(config.connect_timeout);
    let most = door.ledger().kept(Purse::Calls);
    let pool = Pool::new(drawing(Purse::Calls), most, keepalive, config.settings.senders, connect);
    let pipelines = Pipelines::new(drawing(Purse::Calls), pool.clone(), keepalive, connect);
    // Well beyond what the settings give any class, a deadline is a mistake.
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0).saturating_mul(2);
    let classes = Classes {
        names: config.classes.clone(),
        defaults: config.defaults.clone(),
        rest: config.default_class,
        longest,
    };
    Platform::new(drawing(Purse::Records), pool, pipelines, classes, config.discovery)
}

/// The socket that callers connect to: the platform's own, where it hands one over.
async fn listen(
    config: &Config,
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
    config: Config,
) {
    let life = Cell::new(0u64);
    let follow = || {
        // Chances of its own each time.
        life.set(life.get() + 1);
        let seed = config.seed ^ POLL_SEED ^ (life.get() - 1);
        let schedule = PollSchedule::new(config.settings.senders, config.asked, seed);
        let agent = desk.front.agent.subscribe();
        let (names, feed) = (config.names.clone(), Feed(listing.clone()));
        discovery::follow(net.clone(), agent, names, schedule, listing.in_force(), config.list, feed)
    };
    desk.roles.while_serving(follow).await;
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

/// Takes in the configuration as it was read again: where discovery and notices go, from now on, and the
/// known list where there is no discovery. All else holds from the next start on.
async fn heed(
    desk: Rc<Desk<Platform>>,
    listing: Rc<Listing<Platform>>,
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
            None if config.names == names && desk.roles.serves() => {
                listing.learn(&config.known).await;
                tracing::info!(target: "relay", event = "reread", "the configuration was read again: its list stands");
            }
            None => {
                let text = "the configuration was read again: other kinds or zones need a restart";
                tracing::warn!(target: "relay", event = "reread-needs-restart", "{text}");
            }
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
    let opened = std::fs::create_dir_all(&state)
        .map_err(OpenError::Io)
        .and_then(|()| Journal::open(&state, disk_bytes, config.class_list()));
    let (journal, replayed) =
        opened.map_err(|e| format!("cannot open the journal in {}: {e}", state.display()))?;
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
