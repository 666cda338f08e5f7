//! Signals that end a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
