//! Which part a process has in its relay: it serves, or another took over from it.

use super::super::core::{Carried, Offer};
use super::super::values::Call;
use super::super::Taken;
use super::{CallOutcome, Operated, Operation, ToPredecessor, ToSuccessor};
use crate::interface::Nanos;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};

/// The part that this process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It owns the journal and decides.
    Serving,
    /// Another process does.
    Retired,
    /// Another process did and is gone, and this one is about to end: nobody here decides any more.
    Orphaned,
}

/// The part that this process has, and its ways to the processes before and after it.
pub struct Roles {
    role: watch::Sender<Role>,
    successor: RefCell<Option<Rc<Successor>>>,
    predecessor: RefCell<Option<UnboundedSender<ToPredecessor>>>,
}

impl Default for Roles {
    fn default() -> Self {
        let role = watch::Sender::new(Role::Serving);
        Roles { role, successor: RefCell::default(), predecessor: RefCell::default() }
    }
}

impl Roles {
    /// Whether this process owns the journal and decides.
    pub fn serves(&self) -> bool {
        *self.role.borrow() == Role::Serving
    }

    /// Another process decides from now on.
    pub fn retire(&self, successor: Rc<Successor>) {
        self.successor.replace(Some(successor));
        self.role.send_replace(Role::Retired);
    }

    /// This one decides again: the other is gone.
    pub fn resume(&self) {
        self.successor.take();
        self.role.send_replace(Role::Serving);
    }

    /// The other is gone, and this one ends.
    pub fn orphan(&self) {
        self.successor.take();
        self.role.send_replace(Role::Orphaned);
    }

    /// The process that took over, while it is there.
    pub fn successor(&self) -> Option<Rc<Successor>> {
        self.successor.borrow().clone()
    }

    /// The way to the process that this one took over from.
    pub fn follow(&self, predecessor: Option<UnboundedSender<ToPredecessor>>) {
        self.predecessor.replace(predecessor);
    }

    /// Says something to the process before this one, if there is one.
    pub fn tell_predecessor(&self, message: ToPredecessor) {
        if let Some(predecessor) = &*self.predecessor.borrow() {
            predecessor.send(message).ok();
        }
    }

    /// Runs a task while this process serves, anew each time it comes to serve again.
    pub async fn while_serving<F: Future<Output = ()>>(&self, task: impl Fn() -> F) {
        let mut role = self.role.subscribe();
        loop {
            if role.wait_for(|role| *role == Role::Serving).await.is_err() {
                return;
            }
            tokio::select! {
                biased;
                _ = role.wait_for(|role| *role != Role::Serving) => {}
                () = task() => return,
            }
        }
    }

    /// Waits while another process decides whose way is gone; false where nobody will.
    pub async fn decided(&self) -> bool {
        let mut role = self.role.subscribe();
        let decided = role.wait_for(|role| *role != Role::Retired).await;
        decided.is_ok_and(|role| *role == Role::Serving)
    }
}

/// The way to the process that took over. Answers are awaited until it is gone.
pub struct Successor {
    to: UnboundedSender<ToSuccessor>,
    taken: Answers<Taken>,
    operated: Answers<Operated>,
}

impl Successor {
    /// By what carries messages to it.
    pub fn new(to: UnboundedSender<ToSuccessor>) -> Rc<Successor> {
        Rc::new(Successor { to, taken: Answers::default(), operated: Answers::default() })
    }

    /// Says something to it.
    pub fn tell(&self, message: ToSuccessor) {
        self.to.send(message).ok();
    }

    /// Hands a message on; none where the other is gone before it answers.
    pub async fn take(&self, offer: Offer) -> Option<Taken> {
        let (number, answer) = self.taken.next()?;
        self.to.send(ToSuccessor::Offered(number, offer)).ok()?;
        answer.await.ok()
    }

    /// The same with an operator's call.
    pub async fn operate(&self, operation: Operation) -> Option<Operated> {
        let (number, answer) = self.operated.next()?;
        self.to.send(ToSuccessor::Operate(number, operation)).ok()?;
        answer.await.ok()
    }

    /// Tells the outcome of a call that was handed over open.
    pub fn report(&self, call: &Call, carried: Carried, took: Nanos) {
        self.tell(ToSuccessor::Ended(CallOutcome::of(call, carried, took)));
    }

    /// Waits until it has heard of all that was said to it so far; false where it is gone before. An operation on an endpoint without
    /// a name changes nothing, and processes of any version answer it in its turn.
    pub async fn has_heard(&self) -> bool {
        self.operate(Operation::Uncordon(String::new())).await.is_some()
    }

    /// Takes in an answer of its.
    pub fn answered(&self, number: u64, taken: Taken) {
        self.taken.answer(number, taken);
    }

    /// The same to an operator's call.
    pub fn operated(&self, number: u64, operated: Operated) {
        self.operated.answer(number, operated);
    }

    /// It is gone: nobody answers any more.
    pub fn gone(&self) {
        self.taken.close();
        self.operated.close();
    }
}

/// Questions that wait for their answers, by number.
struct Answers<T> {
    next: Cell<u64>,
    /// Nobody answers any more.
    closed: Cell<bool>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for Answers<T> {
    fn default() -> Self {
        Answers { next: Cell::new(0), closed: Cell::new(false), waiting: RefCell::default() }
    }
}

impl<T> Answers<T> {
    fn next(&self) -> Option<(u64, oneshot::Receiver<T>)> {
        if self.closed.get() {
            return None;
        }
        let number = self.next.replace(self.next.get() + 1);
        let (tell, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, tell);
        Some((number, answer))
    }

    fn answer(&self, number: u64, answer: T) {
        if let Some(tell) = self.waiting.borrow_mut().remove(&number) {
            tell.send(answer).ok();
        }
    }

    fn close(&self) {
        self.closed.set(true);
        self.waiting.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::sync::mpsc::unbounded_channel;

    /// Guards whoever asks a process that is gone: nobody waits for its answer, though the question could still be sent.
    #[tokio::test(flavor = "current_thread")]
    async fn a_process_that_is_gone_answers_nothing() {
        let (to, mut queue) = unbounded_channel();
        let successor = Successor::new(to);
        let asked = tokio::join!(successor.has_heard(), async { successor.gone() });
        assert!(!asked.0);
        assert!(matches!(queue.try_recv(), Ok(ToSuccessor::Operate(..))));
        assert!(!successor.has_heard().await);
        assert!(queue.try_recv().is_err());
    }
}
