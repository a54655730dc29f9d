//! Ends on their way to the platform: each is sent again until it is acknowledged.

use super::super::notices;
use super::Platform;
use crate::routing::{Desk, TransactionNo};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Between two tries to tell the platform.
const NOTICE_RETRY: Duration = Duration::from_millis(50);

/// Tells the platform of ends, wherever it moves, until each is acknowledged. Where there is no platform, the
/// log is told.
pub async fn tell_ends(desk: Rc<Desk<Platform>>) {
    let mut agent = desk.front.agent.subscribe();
    loop {
        let at = *agent.borrow_and_update();
        let telling = async {
            match at {
                Some(at) => tell_agent(&desk, at).await,
                None => log_ends(&desk).await,
            }
        };
        tokio::select! {
            () = telling => {}
            _ = agent.changed() => {}
        }
    }
}

/// Tells ends at one address, those that come meanwhile together. What is owed stays in line until it is
/// acknowledged: the address may change at any moment.
async fn tell_agent(desk: &Rc<Desk<Platform>>, agent: SocketAddr) {
    let front = &desk.front;
    let (mut most, mut failing) = (notices::MOST, false);
    let mut tries = 0u32;
    loop {
        let batch: Vec<TransactionNo> = front.owed.borrow().iter().take(most).copied().collect();
        if batch.is_empty() {
            front.more_owed.notified().await;
            continue;
        }
        let mut text = String::new();
        for no in &batch {
            let owed = desk.see(|core| core.transaction(*no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = owed {
                notices::line(&id, ending, &mut text);
            }
        }
        let told = match text.is_empty() {
            true => Ok(()),
            false => notices::post(&front.net, agent, text).await,
        };
        match told {
            Ok(()) => {
                (most, failing, tries) = (notices::MOST, false, 0);
                front.owed.borrow_mut().drain(..batch.len());
                desk.act(|core, now| batch.into_iter().for_each(|no| core.acknowledged(now, no)));
            }
            Err(status) => {
                tries += 1;
                log_owed(desk, batch.len(), tries, status);
                // What cannot be read must not hold up the rest: one by one until one is taken.
                if status == Some(StatusCode::BAD_REQUEST) {
                    most = 1;
                }
                if most == 1 {
                    front.owed.borrow_mut().rotate_left(1);
                }
                match status {
                    Some(status) => {
                        let status = status.as_u16();
                        tracing::warn!(target: "platform", event = "notices-refused", status, "notices: not taken, told again");
                    }
                    None if failing => {}
                    // One connection that has fallen silent or was closed: the next try is on a new one.
                    None => {
                        tracing::warn!(target: "platform", event = "notices-unanswered", "notices: no answer, told again");
                        failing = true;
                        continue;
                    }
                }
                sleep(NOTICE_RETRY).await;
            }
        }
    }
}

/// Tells how many ends are owed and how late the first is, and why a try failed.
fn log_owed(desk: &Rc<Desk<Platform>>, sent: usize, tries: u32, status: Option<StatusCode>) {
    let (count, first) = {
        let owed = desk.front.owed.borrow();
        (owed.len(), owed.front().copied())
    };
    let deadline = first.and_then(|no| desk.see(|core| core.transaction(no).map(|t| t.deadline)));
    let overdue_ms = deadline.map_or(0, |at| desk.clock.now().saturating_sub(at) / 1_000_000);
    let status = status.map(|status| status.as_u16());
    tracing::info!(target: "platform", event = "ends-owed", count, overdue_ms, sent, tries, status, "ends wait for the platform's acknowledgement");
}

async fn log_ends(desk: &Rc<Desk<Platform>>) {
    loop {
        let owed = std::mem::take(&mut *desk.front.owed.borrow_mut());
        for no in owed {
            let mut text = String::new();
            let told = desk.see(|core| core.transaction(no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = told {
                notices::line(&id, ending, &mut text);
                tracing::info!(target: "platform", event = "message-end", "{}", text.trim_end());
            }
            desk.act(|core, now| core.acknowledged(now, no));
        }
        desk.front.more_owed.notified().await;
    }
}
