//! Renews the scheduler lease while this process holds it.

use std::sync::Arc;
use std::time::Duration;

use workswood_platform::jobs::{Guard, StoreError, Topic};

use super::lease::LeaseRecord;
use super::node::{LastRenewal, Node, SchedulerHandle};
use super::peer_requests;

/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);
/// Delay after a failed renewal.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long after its last renewal a lease holder may still extend workers' leases and start tasks.
pub const EXTENSION_GRACE: Duration = Duration::from_secs(4);
/// How long after its last renewal it may give them full leases. A successor waits for the same time before it
/// gives up workers that it can't reach. With the workers' lease, what runs survives eight seconds without
/// the store.
pub const FULL_LEASE_GRACE: Duration = Duration::from_secs(3);

/// A holder that has not renewed its lease for this long releases it through another process, if
/// one can write to the store. A successor can then claim it before it expires.
/// That is one renewal without an answer over two connections, or several that were refused.
const RELEASE_AFTER: Duration = Duration::from_millis(900);

/// Renews the lease until another process holds it, it is released, or the last renewal that was asked for is
/// answered.
pub async fn run(node: Arc<Node>, handle: Arc<SchedulerHandle>) {
    let mut next_append = 1;
    let mut renewed_at = node.now();
    let mut last_renewal = handle.last_renewal.subscribe();
    loop {
        let sent = node.now();
        let had_relays = handle.relay_grants.is_opened();
        let rec = LeaseRecord::renewal(&node, &handle);
        let others_until = sent + Duration::from_millis(rec.others_full_leases_ms.unwrap_or_default());
        let rec = rec.keyed();
        match node.platform.append(Topic::Lease, vec![rec], Guard::Term(handle.term, next_append)).await {
            Ok(_) => {
                node.note_store_answer();
                next_append += 1;
                renewed_at = sent;
                handle.relay_grants.note_told(others_until);
                handle.grant.extend_to(sent + FULL_LEASE_GRACE, sent + EXTENSION_GRACE);
                handle.first_renewed_at.get_or_init(|| node.now());
                handle.renewals.send_modify(|n| *n += 1);
                if *last_renewal.borrow_and_update() == LastRenewal::Asked {
                    handle.last_renewal.send_replace(LastRenewal::Written { next_append });
                    return;
                }
                tokio::select! {
                    () = tokio::time::sleep(RENEWAL_INTERVAL) => {}
                    _ = last_renewal.changed() => {}
                    () = handle.relay_grants.until_opened(), if !had_relays => {}
                }
            }
            Err(StoreError::GuardFailed) => {
                log::warn!("event=lease_overtaken term={}", handle.term);
                let _ = handle.stop.send(true);
                return;
            }
            Err(e) => {
                log::warn!("event=lease_not_renewed term={} error=\"{e}\"", handle.term);
                if may_release(&node, renewed_at)
                    && peer_requests::release_lease_through_peer(&node, handle.term).await
                {
                    log::warn!("event=lease_released term={} by=helper", handle.term);
                    let _ = handle.stop.send(true);
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a holder that last renewed its lease at `renewed_at` releases it through a peer. One that writes
/// through peers does not: where the renewal failed, the release would fail too.
fn may_release(node: &Node, renewed_at: Duration) -> bool {
    let policy = &node.settings.policy;
    node.now() > renewed_at + RELEASE_AFTER && policy.calls.write_for_others && !policy.handover.through_peers
}

/// Releases the lease, so that another process can claim it at once. Returns whether that is written.
pub async fn release(node: &Node, handle: &SchedulerHandle) -> bool {
    write_release(node, handle, LeaseRecord::release(node, handle)).await
}

/// Writes this record, which releases the lease; returns whether it is written.
pub(super) async fn write_release(node: &Node, handle: &SchedulerHandle, rec: LeaseRecord) -> bool {
    let (term, rec) = (handle.term, rec.keyed());
    let guard = match *handle.last_renewal.borrow() {
        LastRenewal::Written { next_append } => Guard::Term(term, next_append),
        // The store refuses a gap in the numbers of a term, and it is not known here which renewals
        // it has received.
        LastRenewal::NotAsked | LastRenewal::Asked => Guard::None,
    };
    let res = node.platform.append(Topic::Lease, vec![rec], guard).await;
    match res {
        Ok(_) => log::info!("event=lease_released term={term}"),
        Err(ref e) => log::warn!("event=lease_not_released term={term} error=\"{e}\""),
    }
    res.is_ok()
}
