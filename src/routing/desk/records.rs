//! Waits of the desk for records of the journal, and the task that has them written beside the event loop.

use super::{Desk, Front};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_blocking, yield_now};
use tokio::time::{sleep, timeout};

/// Records that nothing waits for are written after this time, or with others before that.
const GATHERED_FOR: Duration = Duration::from_millis(1);
/// A write that failed is tried again after this time.
const WRITE_AGAIN: Duration = Duration::from_millis(50);

/// Has records be written on this thread again, whatever ends the task.
struct Deferring<'a, F: Front>(&'a Rc<Desk<F>>);

impl<F: Front> Drop for Deferring<'_, F> {
    fn drop(&mut self) {
        self.0.core.borrow_mut().defer_records(false);
        self.0.written.notify_waiters();
    }
}

impl<F: Front> Desk<F> {
    /// Has the records of each turn written in one go, on another thread, for good.
    pub async fn write_records(self: Rc<Self>) {
        self.core.borrow_mut().defer_records(true);
        let _deferring = Deferring(&self);
        loop {
            if !self.see(|core| core.wants_write()) {
                self.to_write.notified().await;
                // What else this turn has to write goes with it.
                yield_now().await;
                continue;
            }
            if !self.see(|core| core.is_write_urgent()) {
                // What nothing waits for goes with what is waited for, where that comes soon.
                timeout(GATHERED_FOR, self.until_urgent()).await.ok();
            }
            let Some(write) = self.act(|core, _| core.next_write()) else { continue };
            spawn_blocking(move || write.run()).await.ok();
            let is_written = self.act(|core, now| core.records_written(now));
            if !is_written {
                sleep(WRITE_AGAIN).await;
            }
        }
    }

    async fn until_urgent(&self) {
        while !self.see(|core| core.is_write_urgent()) {
            self.to_write.notified().await;
        }
        yield_now().await;
    }

    /// Completes when this record is written, or given up.
    pub(in crate::routing) async fn until_resolved(&self, record: u64) {
        loop {
            let written = self.written.notified();
            if self.see(|core| core.is_resolved(record)) {
                return;
            }
            written.await;
        }
    }
}
