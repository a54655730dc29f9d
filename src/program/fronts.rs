//! Starts the fronts: the platform's and the SMPP one, each on a core and a journal of its own.

use super::config::Config;
use super::listing::{Feed, Listing};
use super::wiring::{keep_up, words, PlatformDesk, PlatformPlan, SmppPlan};
use crate::admission::ledger::Purse;
use crate::fleet::PollSchedule;
use crate::operator::Operator;
use crate::protocol::discovery::{self, Names};
use crate::protocol::platform::{self, Classes, Platform};
use crate::protocol::smpp::{self, Smpp};
use crate::routing::core::{Batching, First};
use crate::routing::journal::{OpenError, Replayed};
use crate::routing::{Clock, Core, Desk, Journal};
use crate::transport::network::{Counted, Net};
use crate::transport::pipeline::Pipelines;
use crate::transport::{Door, Leg, Legs, Pool};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;

/// Sets the chances taken with discovery apart from those of the module.
const POLL_SEED: u64 = 0x6469_7363_6f76_6572;

fn journal(state: &Path, bytes: u64, classes: Vec<String>) -> Result<(Journal, Replayed), String> {
    std::fs::create_dir_all(state)
        .map_err(OpenError::Io)
        .and_then(|()| Journal::open(state, bytes, classes))
        .map_err(|e| format!("cannot open the journal in {}: {e}", state.display()))
}

pub(super) async fn start_platform(
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
    let schedule = PollSchedule::new(settings.senders, config.asked, config.seed ^ POLL_SEED);
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
    let listing = Listing::new(desk.clone());
    let applying = listing.clone();
    keep_up("the list", move || applying.clone().apply());
    let (agent, feed) = (desk.front.agent.subscribe(), Feed(listing.clone()));
    spawn_local(discovery::follow(records, agent, config.names.clone(), schedule, seq, config.list, feed));
    spawn_local(heed(desk.clone(), listing, config.names, config.discovery, reread));
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
            None if config.names == names => {
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
