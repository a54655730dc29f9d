//! Discovery's list and its watch: asks for lists, decodes each while it comes, and hands it to a [`ListReceiver`].
//!
//! Calls that fail are made again as [`PollSchedule`] says. A list that came and cannot be used (over the cap, damaged) leaves
//! the one before in force, is told once in the log, and is asked for again with growing pauses of up to a minute; so is
//! one that was cut off or came too slowly, but within the time after which a change counts as notified.
#![warn(missing_docs)]

mod backoff;
mod decode;
mod entry;
mod fault;
mod known;
mod limits;
mod patience;
mod questions;
mod receiver;
mod request;
mod trouble;

pub use crate::catalog::Names;
pub use decode::{Decoder, Heading};
pub use entry::{EntryFault, Member, Skipped};
pub use fault::{Damage, ListFault};
pub use known::decode_update;
pub use limits::ListLimits;
pub use receiver::{Committed, ListArrival, ListReceiver};

use crate::polling::{PollOutcome, PollSchedule};
use crate::transport::network::Net;
use backoff::Backoff;
use questions::{Heard, Questions};
use request::{Terms, Unheard};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until, Instant};
use trouble::Trouble;

/// The pieces of a long list may be so far apart at least.
const SILENCE_LEAST: Duration = Duration::from_millis(500);
/// Nothing is said of silence that is shorter than this: a single answer may be late.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

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

/// What a list that came whole has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Taken {
    /// This version is in force.
    InForce(u64),
    /// Nothing: a later answer was faster.
    Outdated,
    /// What is in force is not known any more: the whole list has to be asked for.
    Superseded,
}

/// What went before an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Before {
    /// When the answer before it was asked for.
    asked: Option<Instant>,
    /// The longest time between the beginnings of two questions since then.
    longest_step: Duration,
}

struct Follower<R> {
    net: Net,
    names: Names,
    limits: ListLimits,
    receiver: R,
}

impl<R: ListReceiver> Follower<R> {
    /// Follows the list at one address: the whole of it first, unless it is known, then its changes,
    /// or where that is too much for discovery the whole of it again and again. A question that is not answered in time is
    /// asked again, and its answer is taken all the same when it comes.
    async fn follow(&self, agent: SocketAddr, schedule: &mut PollSchedule, mut seq: Option<u64>) {
        let mut trouble = Trouble::default();
        let mut backoff = Backoff::new(schedule.separate_rng());
        let mut questions = Questions::new(self.net.clone(), agent, schedule.bounds());
        let mut ask_at = Some(Instant::now());
        let mut before = Before::default();
        let mut last_heard = Instant::now();
        loop {
            if ask_at.is_some_and(|at| at <= Instant::now()) {
                questions.ask(terms(schedule, seq));
                ask_at = None;
            }
            let wake = ask_at.into_iter().chain(questions.overdue_at()).min();
            let heard = tokio::select! {
                heard = questions.heard() => heard,
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {
                    if let Some(took) = questions.overdue() {
                        if last_heard.elapsed() >= SILENT_AFTER {
                            trouble.tell(Unheard::Silent, self.limits.bytes);
                        }
                        ask_at = Some(Instant::now() + pause_after(Unheard::Silent, took, schedule, &mut backoff));
                    }
                    continue;
                }
            };
            let (asked, is_latest) = (heard.asked, heard.is_latest);
            before.longest_step = before.longest_step.max(questions.take_longest_step());
            let taken = self.take(heard, before, schedule, seq).await;
            let took = asked.elapsed();
            match taken {
                Ok(taken) => {
                    last_heard = Instant::now();
                    trouble.over();
                    backoff.reset();
                    match taken {
                        Taken::InForce(version) => {
                            seq = Some(version);
                            self.receiver.is_current_as_of(asked);
                        }
                        Taken::Outdated => {}
                        Taken::Superseded => seq = None,
                    }
                    before = Before { asked: before.asked.max(Some(asked)), longest_step: Duration::ZERO };
                    questions.forget_before(asked);
                    let pause = schedule.pause(PollOutcome::List, took);
                    if is_latest {
                        ask_at = Some(Instant::now() + pause);
                    }
                }
                Err(unheard) if is_latest => {
                    trouble.tell(unheard, self.limits.bytes);
                    let pause = pause_after(unheard, took, schedule, &mut backoff);
                    ask_at = Some(Instant::now() + pause);
                }
                // It was asked again already.
                Err(_) => {}
            }
        }
    }

    /// Puts in force what is new in an answer.
    async fn take(
        &self,
        heard: Heard,
        before: Before,
        schedule: &PollSchedule,
        seq: Option<u64>,
    ) -> Result<Taken, Unheard> {
        let (asked, answered) = (heard.asked, heard.answered);
        let mut answer = heard.answer?;
        self.receiver.answered(heard.late);
        let waited_from = Instant::now();
        let mut draft = self.receiver.begin().await;
        answer.patience.excuse(waited_from.elapsed());
        let entry = |endpoint| self.receiver.entry(&mut draft, endpoint);
        let heading = answer.read(Decoder::new(&self.names), self.limits.bytes, entry).await?;
        // Changes since another version than the one in force, or a list that is older: a later answer was faster.
        let is_outdated = match heading.whole {
            true => !heard.is_latest && seq.is_some_and(|seq| heading.seq < seq),
            false => heard.from != seq,
        };
        if is_outdated {
            return Ok(Taken::Outdated);
        }
        if seq != Some(heading.seq) || (heading.whole && schedule.watches()) {
            heading.skipped.tell();
            let Heading { seq, whole, .. } = heading;
            let read = Instant::now();
            let arrival = ListArrival {
                seq,
                whole,
                asked,
                answered,
                read,
                asked_before: before.asked,
                longest_step: before.longest_step,
            };
            if self.receiver.commit(draft, arrival).await == Committed::Superseded {
                return Ok(Taken::Superseded);
            }
        }
        Ok(Taken::InForce(heading.seq))
    }
}

/// What is asked for next.
fn terms(schedule: &PollSchedule, seq: Option<u64>) -> Terms {
    let bounds = schedule.bounds();
    let watch = seq.filter(|_| schedule.watches()).map(|seq| (seq, bounds.hold));
    let silence = bounds.patience.max(SILENCE_LEAST);
    let small = if watch.is_some() { bounds.reading() } else { silence };
    Terms { watch, small, silence }
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
        Unheard::Unusable { fault: ListFault::Cut { offset } | ListFault::Slow { offset }, .. } => {
            let short = schedule.pause_after_short(took).filter(|_| offset <= patience::SMALL);
            if let Some(pause) = short {
                return pause;
            }
            let backed_off = backoff.pause().min(schedule.longest_after_failure(took));
            schedule.pause(PollOutcome::Nothing, took).max(backed_off)
        }
        // It has answered.
        Unheard::Unusable { .. } => schedule.pause(PollOutcome::List, took).max(backoff.pause()),
    }
}
