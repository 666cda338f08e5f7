//! Graceful shutdown.
//!
//! The process first fails its readiness check, and goes on accepting connections until the load
//! balancer has noticed. Then it accepts no new connections and finishes the requests in progress.
//! Only then does it tell its peers that its slots are free, and release its roles.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::node::Node;
use super::{dispatch, roles};

/// Time between checks for unfinished work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last heartbeat to reach the peers.
const LAST_HEARTBEAT_DELAY: Duration = Duration::from_millis(700);

/// Shuts a process down gracefully, within the time limit of its settings.
pub(super) async fn run(
    node: &std::sync::Arc<Node>,
    stop_callers: &watch::Sender<bool>,
    callers_task: &mut JoinHandle<()>,
) {
    let limit = node.settings.stop_limit;
    let finished = tokio::time::timeout(limit, finish_and_release(node, stop_callers, callers_task)).await;
    if finished.is_err() {
        log::warn!(
            "event=stop_limit in_progress={} queued={}",
            requests_in_progress(node),
            dispatch::unfinished_requests(node)
        );
    }
}

fn requests_in_progress(node: &Node) -> u64 {
    node.in_progress.load(Ordering::Acquire)
}

/// Finishes the requests in progress, then releases slots and roles.
async fn finish_and_release(
    node: &std::sync::Arc<Node>,
    stop_callers: &watch::Sender<bool>,
    callers_task: &mut JoinHandle<()>,
) {
    node.shutting_down.store(true, Ordering::Release);
    tokio::time::sleep(node.settings.balancer_lag).await;
    let _ = stop_callers.send(true);
    let _ = callers_task.await;
    while requests_in_progress(node) > 0 || dispatch::unfinished_requests(node) > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    node.callers_done.store(true, Ordering::Release);
    roles::release_all(node).await;
    while !node.pending_envelopes.lock().is_empty() && node.is_set(&node.log_up) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(LAST_HEARTBEAT_DELAY).await;
}
