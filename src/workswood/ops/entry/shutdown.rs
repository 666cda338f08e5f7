//! A planned stop.
//!
//! The entry first says that it is not ready, and goes on accepting for the
//! balancer's lag. Then it takes no new connections, finishes what it has, and
//! only then tells its peers that its slots are free and gives its duties up.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::node::Node;
use super::{dispatch, duties};

const LOOK: Duration = Duration::from_millis(20);
/// Time for peers to hear the last beat.
const LAST_BEAT: Duration = Duration::from_millis(700);

/// Stops a process as planned, within the limit of its settings.
pub(super) async fn run(
    node: &std::sync::Arc<Node>,
    stop_callers: &watch::Sender<bool>,
    callers: &mut JoinHandle<()>,
) {
    let limit = node.settings.stop_limit;
    let done = tokio::time::timeout(limit, finish(node, stop_callers, callers)).await;
    if done.is_err() {
        log::warn!(
            "event=stop_limit in_progress={} queued={}",
            progress(node),
            dispatch::open_requests(node)
        );
    }
}

fn progress(node: &Node) -> u64 {
    node.in_progress.load(Ordering::Acquire)
}

async fn finish(
    node: &std::sync::Arc<Node>,
    stop_callers: &watch::Sender<bool>,
    callers: &mut JoinHandle<()>,
) {
    node.leaving.store(true, Ordering::Release);
    tokio::time::sleep(node.settings.balancer_lag).await;
    let _ = stop_callers.send(true);
    let _ = callers.await;
    while progress(node) > 0 || dispatch::open_requests(node) > 0 {
        tokio::time::sleep(LOOK).await;
    }
    node.stopping.store(true, Ordering::Release);
    duties::give_up(node).await;
    while !node.pending_envelopes.lock().is_empty() && node.is(&node.log_up) {
        tokio::time::sleep(LOOK).await;
    }
    tokio::time::sleep(LAST_BEAT).await;
}
