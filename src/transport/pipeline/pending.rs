//! A call that is out on a connection with others.

use super::connection::Connection;
use super::held::{Broken, Heard};
use crate::batching::fate::Break;
use crate::transport::beginning::Beginning;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A call on a connection; dropped before its answer, it is given up.
pub struct PendingCall {
    pub(super) connection: Rc<Connection>,
    pub(super) ticket: u64,
    pub(super) answer: oneshot::Receiver<Heard>,
    pub(super) done: bool,
}

impl PendingCall {
    /// The answer, once it has come whole, or what is known where none comes.
    pub async fn answer(&mut self) -> Heard {
        let answer = (&mut self.answer).await;
        self.done = true;
        let lost = Broken { how: Break::Written, echo: false, beginning: Beginning::Nothing };
        answer.unwrap_or(Err(lost))
    }

    /// Whether all of it was passed to the system.
    pub fn is_written(&self) -> bool {
        self.connection.is_written(self.ticket)
    }

    /// Gives the call up, and returns once its connection has ended: until then it may run, and is not to be called again.
    /// Returns what came of it after all.
    pub async fn give_up(&mut self) -> Option<Heard> {
        let given_up = match self.answer.try_recv() {
            Ok(heard) => Some(heard),
            Err(_) => {
                self.connection.give_up(self.ticket);
                (&mut self.answer).await.ok()
            }
        };
        self.done = true;
        given_up
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        self.connection.forget(self.ticket);
    }
}
