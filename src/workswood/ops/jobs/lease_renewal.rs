//! Renews the scheduler lease while this process holds it.

use std::sync::Arc;
use std::time::Duration;

use workswood_platform::jobs::{Guard, StoreError, Topic};

use super::help;
use super::lease::LeaseRecord;
use super::node::{Node, SchedulerHandle};

/// Time between two renewals.
const EVERY: Duration = Duration::from_millis(450);
/// Pause after a renewal that failed.
const PAUSE: Duration = Duration::from_millis(150);
/// How long after its last renewal a holder goes on extending workers' leases.
/// A successor waits as long for workers that it can't reach, and only for
/// those. With the workers' lease, what runs survives an outage of nine
/// seconds. Afterwards the holder goes on only with what is in the store: if
/// nobody has claimed the lease meanwhile, it is still its own.
pub const EXTENSION_GRACE: Duration = Duration::from_secs(4);

/// A holder that has not renewed for this long, while another process can write
/// into the store, gives the lease back: one renewal without an answer over two
/// connections, or several that were refused. Its successor would wait for 1.8 s.
const HOPELESS_AFTER: Duration = Duration::from_millis(900);

/// Renews until the scheduler ends.
pub async fn run(node: Arc<Node>, l: Arc<SchedulerHandle>) {
    let mut number = 1;
    let mut renewed = node.now();
    loop {
        let sent = node.now();
        let rec = LeaseRecord::of(&node, l.term, false).keyed();
        match node.platform.append(Topic::Lease, vec![rec], Guard::Term(l.term, number)).await {
            Ok(_) => {
                node.note_store_answer();
                number += 1;
                renewed = sent;
                l.grant.extend(sent + EXTENSION_GRACE);
                tokio::time::sleep(EVERY).await;
            }
            Err(StoreError::GuardFailed) => {
                log::warn!("event=lease_overtaken term={}", l.term);
                let _ = l.stop.send(true);
                return;
            }
            Err(e) => {
                log::warn!("event=lease_not_renewed term={} error=\"{e}\"", l.term);
                let hopeless =
                    node.now() > renewed + HOPELESS_AFTER && node.settings.policy.calls.write_for_others;
                if hopeless && help::release(&node, l.term).await {
                    log::warn!("event=lease_released term={} by=helper", l.term);
                    let _ = l.stop.send(true);
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Gives the lease back, so that another process claims it at once.
pub async fn release(node: &Node, term: u64) {
    let rec = LeaseRecord::of(node, term, true).keyed();
    // The number is above all renewals of this term that can have been sent;
    // a gap in numbers is refused, so the append goes without one.
    let res = node.platform.append(Topic::Lease, vec![rec], Guard::None).await;
    match res {
        Ok(_) => log::info!("event=lease_released term={term}"),
        Err(e) => log::warn!("event=lease_not_released term={term} error=\"{e}\""),
    }
}
