//! Starts the parts and ties them together.

use super::config::Config;
use super::{log, signals};
use crate::protocol::discovery;
use crate::protocol::platform::{self, Platform};
use crate::routing::{Clock, Core, Desk, Journal};
use crate::transport::{Legs, Pool};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// From the first signal to the end of the process; it may be killed any time later.
const LAST_RESORT: Duration = Duration::from_millis(3_600);

pub async fn serve(config: Config) -> Result<(), String> {
    let clock = Clock::system();
    let opened = Journal::open(&config.state, config.disk_bytes, config.classes.clone());
    let (journal, replayed) =
        opened.map_err(|e| format!("cannot open the journal in {}: {e}", config.state.display()))?;
    let keepalive = Duration::from_nanos(config.settings.keepalive.max(1_000_000_000) / 10 * 9);
    let connect = Duration::from_nanos(config.connect_timeout);
    let room = config.sockets.saturating_sub(32).max(16);
    let pool = Pool::new(room / 3, keepalive, connect);
    let legs = Legs::new(room * 2 / 3);
    let core = Core::new(config.settings, config.seed, journal, replayed, &config.known, false, clock.now());
    let front = Platform::new(pool.clone(), config.classes, config.discovery, log::line);
    let desk = Desk::new(core, clock, front);
    desk.act(|_, _| ());

    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    spawn_local(desk.clone().keep_time());
    spawn_local(pool.sweep());
    spawn_local(platform::tell_ends(desk.clone()));
    let learner = desk.clone();
    let learn = move |news| learner.act(|core, now| core.learn(now, &news));
    spawn_local(discovery::follow(config.discovery, config.names, learn, log::line));
    let (answering, withdrawing) = (desk.clone(), desk.clone());
    let gone = move |leg: &std::rc::Rc<crate::transport::listener::Leg>| {
        if let Some(no) = leg.unheard() {
            withdrawing.act(|core, now| core.withdraw(now, no));
        }
    };
    let answer = move |leg, request| platform::answer(answering.clone(), leg, request);
    spawn_local(legs.clone().accept(listener, answer, gone));
    log::line(&format!("{} serves on {}", config.name, config.listen));

    signals::told_to_end().await;
    let told = Instant::now();
    log::line("told to end: callers are asked to leave, what is out is seen to its end");
    legs.close_when_idle();
    while told.elapsed() < LAST_RESORT && (legs.open() > 0 || desk.see(Core::open) > 0) {
        sleep(Duration::from_millis(20)).await;
    }
    log::line("ends");
    Ok(())
}
