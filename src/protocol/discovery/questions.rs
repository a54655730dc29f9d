//! Questions to discovery beside one another: one that is not answered in time is asked again, and the earlier one may still be
//! answered.

use super::request::{ask, Answer, Terms, Unheard};
use crate::polling::QuestionBounds;
use crate::transport::network::Net;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// A question that has no answer yet.
struct Question {
    asked: Instant,
    terms: Terms,
    connected: Rc<Cell<bool>>,
    is_overdue: bool,
    handle: AbortHandle,
}

impl Question {
    fn hold(&self) -> Duration {
        self.terms.watch.map_or(Duration::ZERO, |(_, hold)| hold)
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
}

/// The questions that are open, the one that was asked first in front.
pub struct Questions {
    net: Net,
    agent: SocketAddr,
    bounds: QuestionBounds,
    open: Vec<Question>,
    /// When a question was begun last, and the longest time between two of them of late.
    last_begun: Option<Instant>,
    longest_step: Duration,
    tasks: JoinSet<(Instant, Result<Answer, Unheard>)>,
}

impl Questions {
    pub fn new(net: Net, agent: SocketAddr, bounds: QuestionBounds) -> Questions {
        let (open, tasks) = (Vec::new(), JoinSet::new());
        Questions { net, agent, bounds, open, last_begun: None, longest_step: Duration::ZERO, tasks }
    }

    /// Asks; where too many are open, another one is given up for it.
    pub fn ask(&mut self, terms: Terms) {
        let ages: Vec<Duration> = self.open.iter().map(|question| question.asked.elapsed()).collect();
        if let Some(place) = self.bounds.giving_way(&ages) {
            self.open.remove(place).handle.abort();
        }
        let connected = Rc::new(Cell::new(false));
        let asking = ask(self.net.clone(), self.agent, terms, connected.clone());
        let handle = self.tasks.spawn_local(async move {
            let answer = asking.await;
            (Instant::now(), answer)
        });
        let asked = Instant::now();
        let step = self.last_begun.replace(asked).map_or(Duration::ZERO, |last| asked - last);
        self.longest_step = self.longest_step.max(step);
        self.open.push(Question { asked, terms, connected, is_overdue: false, handle });
    }

    /// What the next question that is answered, or cannot be, came to.
    pub async fn heard(&mut self) -> Heard {
        loop {
            let Some(joined) = self.tasks.join_next_with_id().await else { std::future::pending().await };
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
            let asked = question.asked;
            let from = question.terms.watch.map(|(seq, _)| seq);
            let late = (answered - asked).saturating_sub(question.hold());
            let is_latest = is_last && !question.is_overdue;
            return Heard { answer, from, asked, answered, late, is_latest };
        }
    }

    /// The longest time between the beginnings of two questions since this was asked for last.
    pub fn take_longest_step(&mut self) -> Duration {
        std::mem::take(&mut self.longest_step)
    }

    /// Drops those that were asked before this moment: what they would bring is known.
    pub fn forget_before(&mut self, asked: Instant) {
        let later = self.open.partition_point(|question| question.asked < asked);
        self.open.drain(..later).for_each(|question| question.handle.abort());
    }

    fn overdue_of(&self, question: &Question) -> Instant {
        question.asked + self.bounds.overdue_after(question.connected.get())
    }

    /// When the question that was asked last is overdue; none where it is known to be, or none is open.
    pub fn overdue_at(&self) -> Option<Instant> {
        self.open.last().filter(|question| !question.is_overdue).map(|last| self.overdue_of(last))
    }

    /// The question that was asked last is overdue, if its time has come; how long it has been waited for.
    pub fn overdue(&mut self) -> Option<Duration> {
        let is_over = self.overdue_at().is_some_and(|at| at <= Instant::now());
        let last = self.open.last_mut().filter(|_| is_over)?;
        last.is_overdue = true;
        Some(last.asked.elapsed())
    }
}
