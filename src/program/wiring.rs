//! Starts the parts and ties them together.

use super::config::Config;
use super::log;
use crate::protocol::discovery;
use crate::protocol::platform::{self, Platform};
use crate::routing::{Clock, Core, Desk, Journal};
use crate::transport::network::Net;
use crate::transport::{Leg, Legs, Pool};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// From the first signal on the relay may be killed after this time.
const KILLED_AFTER: Duration = Duration::from_millis(3_600);
/// Callers may still come for a while after the signal; to be gone by then would turn them away unheard.
const STAYS: Duration = Duration::from_millis(1_500);
/// Descriptors for the listener, the log, the journal, discovery and the notices.
const SPARE: usize = 32;

/// Runs the relay until `told_to_end`, and winds it up.
pub async fn run(
    config: Config,
    net: Net,
    clock: Clock,
    told_to_end: impl Future<Output = ()>,
) -> Result<(), String> {
    let opened = Journal::open(&config.state, config.disk_bytes, config.classes.clone());
    let (journal, replayed) =
        opened.map_err(|e| format!("cannot open the journal in {}: {e}", config.state.display()))?;
    let keepalive = Duration::from_nanos(config.settings.keepalive.max(1_000_000_000) / 10 * 9);
    let connect = Duration::from_nanos(config.connect_timeout);
    let room = config.sockets.saturating_sub(SPARE).max(16);
    let pool = Pool::new(net.clone(), room / 3, keepalive, connect);
    let legs = Legs::new(room * 2 / 3);
    let core = Core::new(config.settings, config.seed, journal, replayed, &config.known, false, clock.now());
    let front = Platform::new(net.clone(), pool.clone(), config.classes, config.discovery, log::line);
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = net.listen(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let address = listener.address().unwrap_or(config.listen);
    spawn_local(desk.clone().keep_time());
    spawn_local(pool.sweep());
    spawn_local(platform::tell_ends(desk.clone()));
    let learner = desk.clone();
    let learn = move |news| learner.act(|core, now| core.learn(now, &news));
    spawn_local(discovery::follow(net, config.discovery, config.names, learn, log::line));
    let (answering, withdrawing) = (desk.clone(), desk.clone());
    let answer = move |leg, request| platform::answer(answering.clone(), leg, request);
    let gone = move |leg: &Rc<Leg>| {
        if let Some(no) = leg.unheard() {
            withdrawing.act(|core, now| core.withdraw(now, no));
        }
    };
    spawn_local(legs.clone().accept(listener, answer, gone));
    log::line(&format!("{} serves on {address}", config.name));

    told_to_end.await;
    let told = Instant::now();
    log::line("told to end: callers are asked to leave, what is out is seen to its end");
    legs.close_when_idle();
    desk.act(|core, now| core.closing(now, now + KILLED_AFTER.as_nanos() as u64));
    let busy =
        || told.elapsed() < STAYS || legs.open() > 0 || desk.calls_out() > 0 || desk.see(Core::open) > 0;
    while told.elapsed() < KILLED_AFTER && busy() {
        sleep(Duration::from_millis(20)).await;
    }
    log::line(&format!("ends with {} transactions in the journal", desk.see(Core::open)));
    Ok(())
}
