//! Signals that ask the program to end.

use tokio::signal::unix::{signal, SignalKind};

/// Completes at the first SIGTERM or SIGINT.
pub async fn told_to_end() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Does something at each SIGHUP.
pub async fn at_hangup(act: impl Fn()) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        act();
    }
}
