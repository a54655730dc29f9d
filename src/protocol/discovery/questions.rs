//! Questions to discovery beside one another: one that is not answered in time is asked again, and the earlier one may still be
//! answered.

use super::request::{ask, Answer, Terms, Unheard};
use crate::interface::Nanos;
use crate::notices::{AttemptNo, Attempts};
use crate::transport::network::Net;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Questions that are open at once at most.
const OPEN_MOST: usize = 5;
/// An earlier question is kept open for so long at least where another is to be asked in its place.
const KEPT: Duration = Duration::from_millis(500);
/// A connection that is not up by then is not waited for before the next question.
const CONNECTED: Duration = Duration::from_millis(500);

/// A question that has no answer yet.
struct Question {
    no: AttemptNo,
    asked: Instant,
    terms: Terms,
    connected: Rc<Cell<Option<Instant>>>,
    is_overdue: bool,
    handle: AbortHandle,
}

impl Question {
    fn hold(&self) -> Duration {
        self.terms.watch.map_or(Duration::ZERO, |(_, hold)| hold)
    }

    fn overdue_at(&self) -> Instant {
        match self.connected.get() {
            None => self.asked + CONNECTED,
            Some(at) => at + self.hold() + self.terms.patience,
        }
    }
}

/// What a question came to.
pub struct Heard {
    /// The answer, or why there is none.
    pub answer: Result<Answer, Unheard>,
    /// The version from which changes were asked for.
    pub from: Option<u64>,
    /// When it was asked.
    pub asked: Instant,
    /// When its answer had begun to come, or could not.
    pub answered: Instant,
    /// By how much the time it took is longer than discovery might take.
    pub late: Duration,
    /// Whether it is the one that was asked last, and still in time.
    pub is_latest: bool,
    /// Its number.
    pub no: AttemptNo,
}

/// The questions that are open.
pub struct Questions {
    net: Net,
    agent: SocketAddr,
    begun: Instant,
    attempts: Attempts,
    open: Vec<Question>,
    asking: JoinSet<(Instant, Result<Answer, Unheard>)>,
}

impl Questions {
    pub fn new(net: Net, agent: SocketAddr) -> Questions {
        let (attempts, open, asking) = (Attempts::new(OPEN_MOST), Vec::new(), JoinSet::new());
        Questions { net, agent, begun: Instant::now(), attempts, open, asking }
    }

    fn now(&self) -> Nanos {
        self.begun.elapsed().as_nanos() as Nanos
    }

    /// Asks; where too many are open, the time at which it may be tried again.
    pub fn ask(&mut self, terms: Terms) -> Result<(), Instant> {
        let kept = KEPT.as_nanos() as Nanos;
        let Some((no, given_up)) = self.attempts.begin(self.now(), kept) else {
            return Err(self.begun + Duration::from_nanos(self.attempts.free_at(kept)));
        };
        if let Some(given_up) = given_up {
            self.drop_all(|question| question.no == given_up);
        }
        let connected = Rc::new(Cell::new(None));
        let asking = ask(self.net.clone(), self.agent, terms, connected.clone());
        let handle = self.asking.spawn_local(async move {
            let answer = asking.await;
            (Instant::now(), answer)
        });
        let asked = Instant::now();
        self.open.push(Question { no, asked, terms, connected, is_overdue: false, handle });
        Ok(())
    }

    /// What the next question that is answered, or cannot be, came to.
    pub async fn heard(&mut self) -> Heard {
        loop {
            let Some(joined) = self.asking.join_next_with_id().await else { std::future::pending().await };
            let (task, answered, answer) = match joined {
                Ok((task, (answered, answer))) => (task, answered, answer),
                // One that was dropped is not open any more; one that panicked is.
                Err(ended) => (ended.id(), Instant::now(), Err(Unheard::Silent)),
            };
            let Some(place) = self.open.iter().position(|question| question.handle.id() == task) else {
                continue;
            };
            let is_last = place + 1 == self.open.len();
            let question = self.open.remove(place);
            let (no, asked) = (question.no, question.asked);
            self.attempts.end(no);
            let from = question.terms.watch.map(|(seq, _)| seq);
            let late = (answered - asked).saturating_sub(question.hold());
            let is_latest = is_last && !question.is_overdue;
            return Heard { answer, from, asked, answered, late, is_latest, no };
        }
    }

    /// Drops those that were asked before this one: what they would bring is known.
    pub fn forget_before(&mut self, no: AttemptNo) {
        self.drop_all(|question| question.no < no);
    }

    fn drop_all(&mut self, is_dropped: impl Fn(&Question) -> bool) {
        let attempts = &mut self.attempts;
        self.open.retain(|question| {
            let is_dropped = is_dropped(question);
            if is_dropped {
                question.handle.abort();
                attempts.end(question.no);
            }
            !is_dropped
        });
    }

    /// When the question that was asked last is overdue; none where it is known to be, or none is open.
    pub fn overdue_at(&self) -> Option<Instant> {
        self.open.last().filter(|question| !question.is_overdue).map(Question::overdue_at)
    }

    /// The question that was asked last is overdue, if its time has come; how long it has been waited for.
    pub fn overdue(&mut self) -> Option<Duration> {
        let last = self.open.last_mut().filter(|question| !question.is_overdue)?;
        (last.overdue_at() <= Instant::now()).then(|| {
            last.is_overdue = true;
            last.asked.elapsed()
        })
    }
}
