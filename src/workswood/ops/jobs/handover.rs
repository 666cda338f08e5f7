//! Gives up the scheduler lease in a shutdown.
//!
//! [`workswood_core::jobs::lease_handover`] decides the steps. A release is sent only after the scheduler was
//! stopped, since a successor may begin as soon as it is written.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::lease_handover::{StopStep, StoppingHolder};

use super::lease::LeaseRecord;
use super::node::{LastBounds, LastRenewal, Node, SchedulerHandle};
use super::{lease_renewal, peer_requests};

/// Longest time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that the scheduler takes to end once it was told to stop.
const SCHEDULER_END_TIMEOUT: Duration = Duration::from_millis(200);

/// Gives up the lease, if this process holds it, by `deadline`.
pub async fn run(node: &Arc<Node>, deadline: Duration) {
    let Some(handle) = node.scheduler.load_full() else { return };
    if node.settings.policy.handover.decides_until_answered {
        let time_left = deadline.saturating_sub(node.now());
        if tokio::time::timeout(time_left, hand_over(node, &handle, deadline)).await.is_err() {
            log::warn!("event=lease_not_given_up term={}", handle.term);
        }
    } else {
        let _ = handle.stop.send(true);
        lease_renewal::release(node, &handle).await;
    }
}

/// Decides until the store answers, and then releases the lease.
async fn hand_over(node: &Arc<Node>, handle: &SchedulerHandle, deadline: Duration) {
    let asked_at = node.now();
    handle.last_renewal.send_replace(LastRenewal::Asked);
    let mut last_renewal = handle.last_renewal.subscribe();
    let mut state = StoppingHolder {
        decides: true,
        succeeded: false,
        renewed: false,
        released: false,
        time_left: Duration::ZERO,
    };
    loop {
        state.time_left = deadline.saturating_sub(node.now());
        // Only a later term stops the scheduler meanwhile, or it has ended by itself.
        state.succeeded |= state.decides && *handle.stop.borrow();
        state.decides &= !handle.stop.is_closed();
        state.released |= !state.decides && is_given_up(node, handle.term);
        match state.next_step() {
            StopStep::Decide => {
                let written = last_renewal.wait_for(|r| matches!(r, LastRenewal::Written { .. }));
                state.renewed = tokio::time::timeout(STEP_INTERVAL, written).await.is_ok();
                if state.renewed {
                    wait_for_last_bounds(handle).await;
                }
            }
            StopStep::StopDeciding => {
                let _ = handle.stop.send(true);
                let _ = tokio::time::timeout(SCHEDULER_END_TIMEOUT, handle.stop.closed()).await;
                state.decides = false;
            }
            StopStep::Release => {
                state.released = release(node, handle).await;
                if !state.released {
                    tokio::time::sleep(STEP_INTERVAL).await;
                }
            }
            StopStep::End => break,
        }
    }
    log::info!(
        "event=lease_given_up term={} released={} succeeded={} took_ms={}",
        handle.term,
        state.released,
        state.succeeded,
        (node.now() - asked_at).as_millis()
    );
}

/// Waits until it is on record when the leases of silent workers end, which is written beside the last renewal. What is
/// recorded later than that is only older.
async fn wait_for_last_bounds(handle: &SchedulerHandle) {
    let mut bounds = handle.last_bounds.subscribe();
    let recorded = bounds.wait_for(|state| *state == LastBounds::Recorded);
    if tokio::time::timeout(STEP_INTERVAL, recorded).await.is_err() {
        log::info!("event=last_bounds_not_recorded term={}", handle.term);
    }
}

/// Writes the release, from here or through a peer; returns whether it is written.
async fn release(node: &Node, handle: &SchedulerHandle) -> bool {
    let rec = || match handle.stop.is_closed() {
        true => LeaseRecord::release_after_end(node, handle),
        false => LeaseRecord::release(node, handle),
    };
    lease_renewal::write_release(node, handle, rec()).await
        || peer_requests::write_release_through_peer(node, rec()).await
}

/// Whether the lease was read as released in a term, or as held in a later one.
fn is_given_up(node: &Node, term: u64) -> bool {
    let holder = node.holder.load();
    holder.as_ref().is_some_and(|h| h.term > term || (h.term == term && h.released))
}
