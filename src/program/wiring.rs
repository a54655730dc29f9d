//! Starts the parts and ties them together.

use super::config::Config;
use super::log;
use crate::protocol::discovery::{self, Names};
use crate::protocol::platform::{self, Classes, Platform};
use crate::protocol::smpp::config::SmppConfig;
use crate::protocol::smpp::{self, Smpp};
use crate::routing::{Clock, Core, Desk, Front, Journal, RouteNews};
use crate::transport::network::Net;
use crate::transport::{Leg, Legs, Pool};
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
/// Descriptors for the listener, the log, the journal, discovery and the notices.
const SPARE: usize = 32;

/// What is to run: one front or both, each on a core and a journal of its own.
#[derive(Default)]
pub struct Plan {
    pub platform: Option<PlatformPlan>,
    pub smpp: Option<SmppPlan>,
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
    /// The file read again, as often as that is asked for.
    pub reread: UnboundedReceiver<SmppConfig>,
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
    let (platform, smpp) = started;

    told_to_end.await;
    let told = Instant::now();
    log::line("told to end: callers are asked to leave, what is out is seen to its end");
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
    log::line(&format!("ends with {} transactions in the journal", platform + smpp));
    Ok(())
}

type PlatformDesk = (Rc<Desk<Platform>>, Rc<Legs>);

async fn start(
    plan: Plan,
    net: Net,
    clock: Clock,
) -> Result<(Option<PlatformDesk>, Option<Rc<Desk<Smpp>>>), String> {
    let platform = match plan.platform {
        Some(plan) => Some(start_platform(plan, net.clone(), clock).await?),
        None => None,
    };
    let smpp = match plan.smpp {
        Some(plan) => Some(start_smpp(plan, net, clock).await?),
        None => None,
    };
    Ok((platform, smpp))
}

/// Starts a task without which the relay would stand still, and starts it again if it panics.
fn keep_up<F: Future<Output = ()> + 'static>(name: &'static str, task: impl Fn() -> F + 'static) {
    spawn_local(async move {
        while spawn_local(task()).await.is_err_and(|e| e.is_panic()) {
            log::line(&format!("{name} failed and goes on"));
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

async fn start_platform(plan: PlatformPlan, net: Net, clock: Clock) -> Result<PlatformDesk, String> {
    let PlatformPlan { config, reread } = plan;
    let (journal, replayed) = journal(&config.state, config.disk_bytes, config.classes.clone())?;
    let keepalive = Duration::from_nanos(config.settings.keepalive.max(1_000_000_000) / 10 * 9);
    let connect = Duration::from_nanos(config.connect_timeout);
    let room = config.sockets.saturating_sub(SPARE).max(16);
    let pool = Pool::new(net.clone(), room / 3, keepalive, connect);
    let legs = Legs::new(room * 2 / 3, config.sockets / 4);
    // Well beyond what the settings give any class, a deadline is a mistake.
    let longest = config.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0).saturating_mul(2);
    let core = Core::new(config.settings, config.seed, journal, replayed, &config.known, false, clock.now());
    let classes =
        Classes { names: config.classes, defaults: config.defaults, rest: config.default_class, longest };
    let front = Platform::new(net.clone(), pool.clone(), classes, config.discovery, log::line);
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    let (timed, telling) = (desk.clone(), desk.clone());
    keep_up("the timer", move || timed.clone().keep_time());
    keep_up("the notices", move || platform::tell_ends(telling.clone()));
    spawn_local(pool.sweep());
    let learner = desk.clone();
    let learn = move |news: RouteNews| learner.act(|core, now| core.learn(now, &news));
    let agent = desk.front.agent.subscribe();
    spawn_local(discovery::follow(net, agent, config.names.clone(), learn, log::line));
    spawn_local(heed(desk.clone(), config.names, config.discovery, reread));
    let (answering, withdrawing) = (desk.clone(), desk.clone());
    let answer = move |leg, request| platform::answer(answering.clone(), leg, request);
    let gone = move |leg: &Rc<Leg>| {
        if let Some(no) = leg.unheard() {
            withdrawing.act(|core, now| core.withdraw(now, no));
        }
    };
    spawn_local(legs.clone().accept(listener, answer, gone));
    log::line(&format!("{} serves on {address}", config.name));
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
            Some(agent) => log::line(&format!("the configuration was read again: discovery at {agent}")),
            None if config.names == names => {
                desk.act(|core, now| core.learn(now, &config.known));
                log::line("the configuration was read again: its list stands");
            }
            None => log::line("the configuration was read again: other kinds or zones need a restart"),
        }
    }
}

async fn start_smpp(plan: SmppPlan, net: Net, clock: Clock) -> Result<Rc<Desk<Smpp>>, String> {
    let SmppPlan { config, state, disk_bytes, seed, mut reread } = plan;
    let (journal, replayed) = journal(&state, disk_bytes, config.class_list())?;
    let (settings, known) = (config.settings.clone(), config.route_news());
    let core = Core::new(settings, seed, journal, replayed, &known, true, clock.now());
    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("smpp: cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    let desk = Desk::new(core, clock, Smpp::new(config, net, clock.now(), log::line));
    desk.act(|_, _| ());
    let timed = desk.clone();
    keep_up("the SMPP timer", move || timed.clone().keep_time());
    spawn_local(smpp::accept(desk.clone(), listener));
    let learner = desk.clone();
    spawn_local(async move {
        while let Some(config) = reread.recv().await {
            smpp::learn(&learner, &config);
            log::line("smpp: the file was read again");
        }
    });
    log::line(&format!("smpp: serves on {address}"));
    Ok(desk)
}
