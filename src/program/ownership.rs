//! How a process comes to own the relay's lasting folder: at once where nobody has it, after a takeover where the process
//! before it still serves, never where the two have nothing to do with each other.

use super::boot_clock;
use crate::protocol::discovery::Names;
use crate::routing::core::Moved;
use crate::routing::handover::{Handover, Hello, ToPredecessor, ToSuccessor};
use crate::routing::journal::{OpenError, Preread, Replayed};
use crate::routing::{Classes, Clock, Journal};
use crate::transport::local_channel::{self, Reader, Writer};
use rustix::fs::{flock, FlockOperation};
use rustix::io::Errno;
use std::fmt;
use std::fs::File;
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Between two looks at a lock that another process has.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// A process that was killed a moment ago may not be gone yet: so long is waited for its lock.
const RELEASED_WITHIN: Duration = Duration::from_millis(500);
/// The owner answers at once, or it is not there any more.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);

/// Held while a process starts: of several, one at a time comes to own the folder.
#[derive(Debug)]
pub struct StartTurn {
    _folder: File,
}

impl StartTurn {
    /// Waits for its turn, at most so long.
    async fn wait(dir: &Path, most: Duration) -> Result<StartTurn, String> {
        let folder = File::open(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
        let from = Instant::now();
        loop {
            match flock(&folder, FlockOperation::NonBlockingLockExclusive) {
                Ok(()) => return Ok(StartTurn { _folder: folder }),
                Err(Errno::WOULDBLOCK) if from.elapsed() >= most => {
                    return Err(format!("{}: another process is starting there", dir.display()));
                }
                Err(Errno::WOULDBLOCK | Errno::INTR) => sleep(LOOK_AGAIN).await,
                Err(e) => return Err(format!("cannot lock {}: {e}", dir.display())),
            }
        }
    }
}

/// What a process wants to own.
pub struct Claim<'a> {
    /// The lasting folder.
    pub dir: &'a Path,
    /// Bytes that it may hold.
    pub budget: u64,
    /// The classes by which messages are to be taken on.
    pub classes: &'a Classes,
    /// Who it is to a process that still serves, by the names that are in force there: the likelier first. None where it
    /// cannot take over.
    pub hellos: Vec<Hello>,
    /// The clock to go by where no earlier process of this boot has left one.
    pub clock: Clock,
    /// Whether it goes on with the clock of earlier processes.
    pub continues_clock: bool,
}

/// The process that this one took over from.
pub struct Predecessor {
    /// What it says.
    pub reader: Reader<ToSuccessor>,
    /// The way to it.
    pub writer: Writer<ToPredecessor>,
    /// Descriptors that it held when it stopped deciding.
    pub descriptors: usize,
    /// Its number, where the system tells.
    pub process: Option<i32>,
}

/// The folder, owned.
pub struct Owned {
    /// The journal, open for writing.
    pub journal: Journal,
    /// What it holds.
    pub replayed: Replayed,
    /// What it does not tell, where a process handed it over, and the names by which that tells of endpoints.
    pub handover: Option<(Handover, Names)>,
    /// That process.
    pub predecessor: Option<Predecessor>,
    /// The relay's clock.
    pub clock: Clock,
    /// Given up once this process serves.
    pub turn: StartTurn,
}

impl Owned {
    /// The names by which zones were told by who wrote the journal, and those of now.
    pub fn rename_zones(&mut self, before: Option<&Names>, now: &Names) {
        let handed = self.handover.as_ref().map(|(_, names)| names.clone());
        let Some(before) = handed.as_ref().or(before) else { return };
        let moved = Moved::between(before, now);
        if !moved.moves_zones() {
            return;
        }
        self.replayed.transactions.renumber_zones(|zone| moved.zone(zone));
        if let Err(e) = self.journal.rewrite(&self.replayed.transactions) {
            tracing::warn!(target: "journal", event = "journal-zones-unwritten", "the zones of open messages have moved, which cannot be written: {e}");
        }
    }
}

/// Comes to own the folder, however long the process that has it takes to hand it over.
pub async fn own(claim: Claim<'_>) -> Result<Owned, String> {
    let dir = claim.dir;
    std::fs::create_dir_all(dir).map_err(|e| cannot_open(dir, &e))?;
    // A process that cannot take over does not wait for those that can.
    let patience = if claim.hellos.is_empty() { RELEASED_WITHIN } else { Duration::MAX };
    let turn = StartTurn::wait(dir, patience).await?;
    let from = Instant::now();
    loop {
        match Journal::open(dir, claim.budget, claim.classes.clone()) {
            Ok((journal, replayed)) => {
                let clock =
                    if claim.continues_clock { boot_clock::go_on(dir, claim.clock) } else { claim.clock };
                return Ok(Owned { journal, replayed, handover: None, predecessor: None, clock, turn });
            }
            Err(OpenError::InUse(_)) if !claim.hellos.is_empty() => match take_over(&claim).await {
                Ok(taken) => return Ok(taken.owned(turn)),
                Err(Failed::Refused(why)) => return Err(cannot_open(dir, &why)),
                Err(Failed::Gone) => sleep(LOOK_AGAIN).await,
            },
            Err(OpenError::InUse(_)) if from.elapsed() < RELEASED_WITHIN => sleep(LOOK_AGAIN).await,
            Err(e) => return Err(cannot_open(dir, &e)),
        }
    }
}

fn cannot_open(dir: &Path, why: &dyn fmt::Display) -> String {
    format!("cannot open the journal in {}: {why}", dir.display())
}

/// Why a takeover came to nothing.
enum Failed {
    /// The process that serves has nothing to do with this one.
    Refused(String),
    /// It cannot be reached, or was gone before it handed over.
    Gone,
}

/// What a process that still runs has handed over.
struct TakenOver {
    journal: Journal,
    replayed: Replayed,
    handover: Handover,
    names: Names,
    predecessor: Predecessor,
    clock: Clock,
}

impl TakenOver {
    fn owned(self, turn: StartTurn) -> Owned {
        let TakenOver { journal, replayed, handover, names, predecessor, clock } = self;
        let (handover, predecessor) = (Some((handover, names)), Some(predecessor));
        Owned { journal, replayed, handover, predecessor, clock, turn }
    }
}

/// Has the process that owns the folder hand it over.
async fn take_over(claim: &Claim<'_>) -> Result<TakenOver, Failed> {
    let mut refused = Failed::Gone;
    for hello in &claim.hellos {
        match take_over_as(claim, hello).await {
            Err(why @ Failed::Refused(_)) => refused = why,
            result => return result,
        }
    }
    Err(refused)
}

async fn take_over_as(claim: &Claim<'_>, hello: &Hello) -> Result<TakenOver, Failed> {
    let stream = local_channel::connect(claim.dir).await.map_err(|_| Failed::Gone)?;
    let process = local_channel::process_beyond(&stream);
    let (mut reader, mut writer) = local_channel::framed(stream);
    say(&mut writer, ToPredecessor::Hello(hello.clone())).await?;
    let anchor = match hear(&mut reader).await? {
        ToSuccessor::Welcome(anchor) => anchor,
        ToSuccessor::Refused(why) => return Err(Failed::Refused(why)),
        _ => return Err(Failed::Gone),
    };
    // It goes on serving while most of its journal is read.
    let preread = Preread::of(claim.dir, claim.classes).unwrap_or_else(|_| Preread::none());
    say(&mut writer, ToPredecessor::Ready).await?;
    let (mut handover, descriptors) = match hear(&mut reader).await? {
        ToSuccessor::HandedOver(handover, descriptors) => (*handover, descriptors),
        ToSuccessor::Released(handover, descriptors) => (Handover::from(*handover), descriptors),
        _ => return Err(Failed::Gone),
    };
    let opened = Journal::open_after(preread, claim.dir, claim.budget, claim.classes);
    let (mut journal, mut replayed) = opened.map_err(|_| Failed::Gone)?;
    journal.append_unwritten(std::mem::take(&mut handover.unwritten), &mut replayed);
    let predecessor = Predecessor { reader, writer, descriptors, process };
    let clock = Clock::continued(anchor);
    let names = Names { kinds: hello.kinds.clone(), zones: hello.zones.clone() };
    Ok(TakenOver { journal, replayed, handover, names, predecessor, clock })
}

async fn say(writer: &mut Writer<ToPredecessor>, message: ToPredecessor) -> Result<(), Failed> {
    writer.send(&message).await.map_err(|_| Failed::Gone)
}

async fn hear(reader: &mut Reader<ToSuccessor>) -> Result<ToSuccessor, Failed> {
    let heard = timeout(ANSWERED_WITHIN, reader.next()).await;
    heard.ok().and_then(Result::ok).ok_or(Failed::Gone)
}
