//! Discovery's list and its watch: asks for lists, decodes each while it comes, and hands it to a [`ListReceiver`].
//!
//! Calls that fail are made again as [`PollSchedule`] says. A list that came and cannot be used (over the cap, damaged) leaves
//! the one before in force, is told once in the log, and is asked for again with growing pauses of up to a minute; so is
//! one that was cut off or came too slowly, but within the time after which a change counts as told.
#![warn(missing_docs)]

mod backoff;
mod decode;
mod entry;
mod fault;
mod known;
mod limits;
mod patience;
mod receiver;
mod request;
mod trouble;

pub use crate::catalog::Names;
pub use decode::{Decoder, Heading};
pub use entry::{EntryFault, Member, Skipped};
pub use fault::{Damage, ListFault};
pub use known::decode_update;
pub use limits::ListLimits;
pub use receiver::ListReceiver;

use crate::fleet::{PollOutcome, PollSchedule};
use crate::transport::network::Net;
use backoff::Backoff;
use request::{ask, Unheard};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};
use trouble::Trouble;

/// Follows the list for good, wherever discovery moves: what the address left behind had still to say does
/// not count. `seq`: the version of the whole list that is known already, from which only changes are asked for.
pub async fn follow(
    net: Net,
    mut agent: watch::Receiver<Option<SocketAddr>>,
    names: Names,
    mut schedule: PollSchedule,
    mut seq: Option<u64>,
    limits: ListLimits,
    receiver: impl ListReceiver,
) {
    let follower = Follower { net, names, limits, receiver };
    let mut first = schedule.first();
    loop {
        let at = *agent.borrow_and_update();
        let known = seq.take();
        let following = async {
            match at {
                Some(at) => {
                    pass(first).await;
                    follower.follow(at, &mut schedule, known).await
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = following => {}
            moved = agent.changed() => if moved.is_err() { return },
        }
        first = schedule.moved();
    }
}

/// No time at all is not even a turn of the timer: a watch goes on at once.
async fn pass(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

struct Follower<R> {
    net: Net,
    names: Names,
    limits: ListLimits,
    receiver: R,
}

impl<R: ListReceiver> Follower<R> {
    /// Follows the list at one address: the whole of it first, unless it is known, then its changes,
    /// or where that is too much for discovery the whole of it again and again.
    async fn follow(&self, agent: SocketAddr, schedule: &mut PollSchedule, mut seq: Option<u64>) {
        let mut trouble = Trouble::default();
        let mut backoff = Backoff::new(schedule.chances_apart());
        loop {
            let from = Instant::now();
            let pause = match self.update(agent, schedule, seq).await {
                Ok(version) => {
                    trouble.over();
                    backoff.reset();
                    seq = Some(version);
                    schedule.pause(PollOutcome::List, from.elapsed())
                }
                Err(unheard) => {
                    trouble.tell(unheard, self.limits.bytes);
                    pause_after(unheard, from.elapsed(), schedule, &mut backoff)
                }
            };
            pass(pause).await;
        }
    }

    /// Asks once, and puts in force what is new. Returns the version that is known from then on.
    async fn update(
        &self,
        agent: SocketAddr,
        schedule: &PollSchedule,
        seq: Option<u64>,
    ) -> Result<u64, Unheard> {
        let mut answer = ask(&self.net, agent, seq, schedule).await?;
        let asked = Instant::now();
        let mut draft = self.receiver.begin().await;
        answer.patience.excuse(asked.elapsed());
        let entry = |endpoint| self.receiver.entry(&mut draft, endpoint);
        let heading = answer.read(Decoder::new(&self.names), self.limits.bytes, entry).await?;
        if seq != Some(heading.seq) || (heading.whole && schedule.watches()) {
            heading.skipped.tell();
            self.receiver.commit(draft, heading.seq, heading.whole).await;
        }
        Ok(heading.seq)
    }
}

/// Before the next question, after one that was waited for so long.
fn pause_after(
    unheard: Unheard,
    took: Duration,
    schedule: &mut PollSchedule,
    backoff: &mut Backoff,
) -> Duration {
    match unheard {
        Unheard::Refused => schedule.pause(PollOutcome::Refusal, took),
        Unheard::Silent => schedule.pause(PollOutcome::Nothing, took),
        Unheard::Unusable { fault: ListFault::Cut { .. } | ListFault::Slow { .. }, .. } => {
            let backed_off = backoff.pause().min(schedule.longest_after_failure(took));
            schedule.pause(PollOutcome::Nothing, took).max(backed_off)
        }
        // It has answered.
        Unheard::Unusable { .. } => schedule.pause(PollOutcome::List, took).max(backoff.pause()),
    }
}
