//! Graceful shutdown, and the check of settings at a reload signal.
//!
//! A process that is told to stop reports that it is not ready, releases the scheduler lease,
//! keeps answering callers until the balancer has noticed, and then finishes the requests it has.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::handover;
use super::node::Node;
use crate::util::job_settings::JobSettings;

/// How long the balancer may keep sending callers here: it asks every second and acts on the
/// second refusal.
const BALANCER_DELAY: Duration = Duration::from_millis(2500);
/// Reserved at the end of the time allowed for a shutdown.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Checks the settings file at each reload signal and logs the result. Settings take effect only
/// when the process starts.
pub async fn watch_reload(path: String) {
    let Ok(mut hangups) = signal(SignalKind::hangup()) else { return };
    while hangups.recv().await.is_some() {
        match JobSettings::read(&path) {
            Ok(_) => log::info!("event=settings_reread outcome=checked in_force=next_start"),
            Err(e) => log::error!("event=settings_refused code={} error=\"{e}\"", e.code().number()),
        }
    }
}

/// Shuts the process down gracefully.
pub async fn run(node: &Arc<Node>, stop_callers: &watch::Sender<bool>, callers: JoinHandle<()>) {
    log::info!("event=stop_asked");
    let started = node.now();
    node.stopping.send_replace(true);
    let deadline = started + node.settings.stop_timeout().saturating_sub(SHUTDOWN_MARGIN);
    tokio::join!(handover::run(node, deadline), finish_callers(node, deadline, stop_callers, callers));
    log::info!("event=stopped took_ms={}", (node.now() - started).as_millis());
}

/// Answers callers until the balancer has noticed the shutdown, and then finishes the requests that are in
/// progress.
async fn finish_callers(
    node: &Node,
    deadline: Duration,
    stop_callers: &watch::Sender<bool>,
    callers: JoinHandle<()>,
) {
    tokio::time::sleep(BALANCER_DELAY).await;
    let _ = stop_callers.send(true);
    if tokio::time::timeout(deadline.saturating_sub(node.now()), callers).await.is_err() {
        log::warn!("event=stop_limit");
    }
}
