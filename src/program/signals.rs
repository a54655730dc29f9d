//! Signals: those that ask the program to end, and the one that has its files read again.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// Heard from `listen` on, which comes before all else: the default of SIGHUP ends the process.
pub struct Signals {
    term: Signal,
    int: Signal,
    hangup: Signal,
}

impl Signals {
    /// Inside a runtime.
    pub fn listen() -> io::Result<Signals> {
        Ok(Signals {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Does something at each SIGHUP, and completes at the first SIGTERM or SIGINT.
    pub async fn told_to_end(mut self, at_hangup: impl Fn()) {
        loop {
            tokio::select! {
                Some(()) = self.term.recv() => return,
                Some(()) = self.int.recv() => return,
                Some(()) = self.hangup.recv() => at_hangup(),
                else => return std::future::pending().await,
            }
        }
    }
}
