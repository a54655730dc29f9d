//! Logs once a second what admission did.

use super::log;
use crate::transport::Door;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// One line of a kind in this time.
const EACH: Duration = Duration::from_secs(1);

/// Logs, for good, what the door did in the last second, where it turned anybody away or ran short.
pub(super) async fn run(door: Rc<Door>) {
    loop {
        sleep(EACH).await;
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
