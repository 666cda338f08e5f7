//! The planned stop, and reloading of settings.
//!
//! A process that is told to stop says that it is not ready, gives the
//! scheduler lease back, goes on answering for the balancer's lag, and then
//! finishes what it has.

use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal as on};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::node::Node;
use super::renew;
use crate::util::job_settings::JobSettings;

/// The balancer asks every second and believes the second refusal.
const BALANCER_LAG: Duration = Duration::from_millis(2500);
/// Kept free at the end of the time allowed for a stop.
const MARGIN: Duration = Duration::from_millis(500);

/// Rereads the settings file at each reload signal. Settings that can't be
/// used are refused and the present ones kept; addresses and limits of a
/// running process do not change, so a good file changes nothing before the
/// next start.
pub async fn watch_reload(path: String) {
    let Ok(mut hup) = on(SignalKind::hangup()) else { return };
    while hup.recv().await.is_some() {
        match JobSettings::read(&path) {
            Ok(_) => log::info!("event=settings_reread outcome=checked in_force=next_start"),
            Err(e) => log::error!("event=settings_refused code={} error=\"{e}\"", e.code().number()),
        }
    }
}

/// Stops the process as planned.
pub async fn run(node: &Arc<Node>, stop_callers: &watch::Sender<bool>, callers: JoinHandle<()>) {
    log::info!("event=stop_asked");
    let begun = node.now();
    node.stopping.send_replace(true);
    if let Some(l) = node.leading.load_full() {
        let _ = l.end.send(true);
        renew::release(node, l.term).await;
    }
    tokio::time::sleep(BALANCER_LAG.saturating_sub(node.now() - begun)).await;
    let _ = stop_callers.send(true);
    let left = node.settings.stop_timeout().saturating_sub(MARGIN + (node.now() - begun));
    if tokio::time::timeout(left, callers).await.is_err() {
        log::warn!("event=stop_limit");
    }
    log::info!("event=stopped took_ms={}", (node.now() - begun).as_millis());
}
