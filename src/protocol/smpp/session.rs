//! The session of an ESME, with the submits that it has no answer to yet.

use super::link::Link;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Submits of one session that may wait for their records at once; more are throttled.
const PENDING_MOST: usize = 256;

/// The session of an ESME.
pub struct Session {
    pub link: Rc<Link>,
    pending: Cell<usize>,
    answered: Notify,
}

/// A submit that waits for its answer.
pub struct PendingSubmit(Rc<Session>);

impl Drop for PendingSubmit {
    fn drop(&mut self) {
        self.0.pending.set(self.0.pending.get() - 1);
        self.0.answered.notify_waiters();
    }
}

impl Session {
    /// A session on this link.
    pub fn new(link: Rc<Link>) -> Rc<Session> {
        Rc::new(Session { link, pending: Cell::new(0), answered: Notify::new() })
    }

    /// A place for one more submit to wait for its answer; none where too many do.
    pub fn pending_submit(self: &Rc<Self>) -> Option<PendingSubmit> {
        if self.pending.get() >= PENDING_MOST {
            return None;
        }
        self.pending.set(self.pending.get() + 1);
        Some(PendingSubmit(self.clone()))
    }

    /// Completes when no submit waits for its answer.
    pub async fn all_answered(&self) {
        loop {
            let answered = self.answered.notified();
            if self.pending.get() == 0 {
                return;
            }
            answered.await;
        }
    }

    /// Unbinds once all submits are answered, or `answered_within` is over. The ESME has `within` to reply.
    pub async fn unbind(&self, answered_within: Duration, within: Duration) {
        timeout(answered_within, self.all_answered()).await.ok();
        self.link.unbind(within).await;
    }
}
