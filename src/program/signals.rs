//! Signals: those that ask the program to end, and the one that has its files read again.

use std::io;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::task::spawn_local;

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

    /// Does something at each SIGHUP, to the end of the process, and completes at the first SIGTERM or SIGINT.
    pub async fn told_to_end(self, at_hangup: impl Fn() + 'static) {
        let Signals { mut term, mut int, mut hangup } = self;
        spawn_local(async move {
            while hangup.recv().await.is_some() {
                at_hangup();
            }
        });
        tokio::select! {
            Some(()) = term.recv() => {}
            Some(()) = int.recv() => {}
            else => std::future::pending().await,
        }
    }
}
