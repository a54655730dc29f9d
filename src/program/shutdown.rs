//! Ends the parts in order, before the process ends.

use super::beside::Beside;
use super::wiring::PlatformDesk;
use crate::polling::HOLD_UP;
use crate::protocol::smpp::{self, Smpp};
use crate::routing::{Core, Desk, Front};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

/// The relay may be killed so long after the first signal was sent.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// It ends so long before that.
const KILL_MARGIN: Duration = Duration::from_millis(50);
/// From the first signal on, as it was heard of, all is done in this time: a relay that is held up hears of it late.
const ENDS_WITHIN: Duration = KILLED_AFTER.saturating_sub(HOLD_UP).saturating_sub(KILL_MARGIN);
/// Callers may still come for a while after the signal; to be gone by then would turn them away unheard.
const STAYS: Duration = Duration::from_millis(1_500);
/// SMPP sessions are unbound so long before that.
const UNBIND_MARGIN: Duration = Duration::from_millis(300);
/// What is still busy is looked at so often.
const POLL_EACH: Duration = Duration::from_millis(20);

/// Asks callers to leave and sees what is out to its end, as far as the time allows.
pub(super) async fn run(platform: Option<&PlatformDesk>, beside: &Beside) {
    let signalled = Instant::now();
    tracing::info!(target: "relay", event = "told-to-end", "callers are asked to leave, what is out is seen to its end");
    if let Some(member) = beside.member() {
        member.leave();
    }
    let least = platform.map_or(STAYS, close_platform);
    let smpp = beside.smpp();
    if let Some(desk) = smpp.clone() {
        close(&desk);
        spawn_local(async move { smpp::part(&desk, ENDS_WITHIN - UNBIND_MARGIN).await });
    }
    let busy = || platform.is_some_and(platform_is_busy) || smpp.as_ref().is_some_and(smpp_is_busy);
    while signalled.elapsed() < ENDS_WITHIN && (signalled.elapsed() < least || busy()) {
        sleep(POLL_EACH).await;
    }
    let serving = platform.filter(|(desk, _)| desk.roles.serves());
    let left =
        serving.map_or(0, |(desk, _)| desk.see(Core::open)) + smpp.map_or(0, |desk| desk.see(Core::open));
    if let Some((desk, _)) = platform {
        desk.act(|core, _| core.ends());
    }
    if let Some(desk) = beside.smpp() {
        desk.act(|core, _| core.ends());
    }
    tracing::info!(target: "relay", event = "ends", left, "ends with {left} transactions in the journal");
}

/// Takes nothing on any more; how long the process stays at least.
fn close_platform((desk, legs): &PlatformDesk) -> Duration {
    if !desk.roles.serves() {
        // Callers find the process that took over.
        return Duration::ZERO;
    }
    legs.close_when_idle();
    close(desk);
    STAYS
}

fn platform_is_busy((desk, legs): &PlatformDesk) -> bool {
    let is_owing = match desk.roles.serves() {
        true => desk.calls_out() + desk.see(Core::open) > 0,
        // The ends of calls that the process before made pass through this one.
        false => desk.calls_out() > 0 || desk.has_unheard(),
    };
    legs.open() > 0 || is_owing
}

fn smpp_is_busy(desk: &Rc<Desk<Smpp>>) -> bool {
    desk.calls_out() > 0 || desk.front.sessions_open() > 0
}

fn close<F: Front>(desk: &Rc<Desk<F>>) {
    desk.act(|core, now| core.closing(now, now + ENDS_WITHIN.as_nanos() as u64));
}
