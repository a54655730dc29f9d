//! The relay's clock over its processes: a file in the lasting folder tells what it said at a reading of the system's
//! monotonic clock, which is good until the machine starts anew.

use crate::routing::clock::Anchor;
use crate::routing::Clock;
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::Path;

const NAME: &str = "relay.clock";
const BOOT: &str = "/proc/sys/kernel/random/boot_id";
/// Bytes of the checksum before what it is of.
const HEAD: usize = 4;

#[derive(Serialize, Deserialize)]
struct Kept {
    boot: String,
    anchor: Anchor,
}

/// The clock of the processes before, where one of this boot has left it; else this one, left to those that follow.
pub fn go_on(dir: &Path, clock: Clock) -> Clock {
    let Ok(boot) = fs::read_to_string(BOOT) else { return clock };
    let path = dir.join(NAME);
    if let Some(kept) = fs::read(&path).ok().and_then(|bytes| decode(&bytes)).filter(|kept| kept.boot == boot)
    {
        let continued = Clock::continued(kept.anchor);
        let ms = (clock.now() as i64 - continued.now() as i64) / 1_000_000;
        tracing::debug!(target: "relay", event = "clock-continued", ms, "the wall clock is {ms} ms ahead");
        return continued;
    }
    // Without it a process that follows begins at the wall clock again.
    if let Some(bytes) = encode(&Kept { boot, anchor: clock.anchor() }) {
        fs::write(path, bytes).ok();
    }
    clock
}

fn encode(kept: &Kept) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(kept).ok()?;
    Some([&crc32fast::hash(&body).to_le_bytes(), body.as_slice()].concat())
}

fn decode(bytes: &[u8]) -> Option<Kept> {
    let (sum, body) = bytes.split_at_checked(HEAD)?;
    (crc32fast::hash(body).to_le_bytes() == sum).then(|| postcard::from_bytes(body).ok())?
}
