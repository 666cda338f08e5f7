//! A host that is suspended for seconds, and wakes up.
//!
//! The usual steady clock does not count that time. A lease holder would believe that its
//! right still lasts, while a successor may have begun.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use workswood::ops::jobs::Node;
use workswood::ops::jobs::host_orders::{HostOrder, send_order};
use workswood::ops::jobs::node::SchedulerHandle;
use workswood::ops::jobs::relay::assigned_worker::AssignedWorker;
use workswood::ops::jobs::relay::{EventSink, Grant, RelayContext, poll};
use workswood::util::clock::Clock;
use workswood_core::jobs::{Event, HostReply};
use workswood_test_support::host_world::worker;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::TurnStore;

/// How long a right lasts here, and a suspension that is longer.
const RIGHT: Duration = Duration::from_secs(4);
const SUSPENDED: Duration = Duration::from_secs(5);

fn process() -> (Arc<TurnStore>, Arc<Node>) {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    (store.clone(), Arc::new(Node::new(settings("entry-1"), store)))
}

#[test]
fn host_clock_goes_on() {
    let clock = Clock::since_boot();
    let before = clock.now();
    std::hint::black_box((0..10_000u64).sum::<u64>());
    assert!(clock.now() >= before && clock.now() < Duration::from_secs(3600));
}

#[tokio::test(start_paused = true)]
async fn no_lease_is_extended() {
    let (store, node) = process();
    let grant = Grant::until(node.now() + RIGHT);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let shared = RelayContext::new(node.clone(), grant.clone(), EventSink::Local(tx));
    let assigned = Arc::new(AssignedWorker::new(1, worker(0, 0).worker_address(), 1));
    tokio::spawn(poll::run(Arc::new(shared), assigned.clone()));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = store.leases();
    assert!(before > 0);
    node.clock().simulate_suspension(SUSPENDED);
    tokio::time::sleep(Duration::from_secs(2)).await;
    // One may have been on its way.
    assert!(store.leases() <= before + 1, "{} leases after it woke up", store.leases() - before);
    grant.extend(node.now() + RIGHT);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(store.leases() > before + 1, "its lease was renewed");
    assigned.unassign();
    rx.close();
}

#[tokio::test(start_paused = true)]
async fn no_host_is_ordered() {
    let (store, node) = process();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let leading = Arc::new(SchedulerHandle::new(1, node.now(), RIGHT, tx, watch::Sender::new(false)));
    let order = || send_order(node.clone(), leading.clone(), "m-1".to_string(), HostOrder::Maintain(1));
    order().await;
    assert_eq!(store.orders(), 1);
    assert!(matches!(rx.recv().await, Some(Event::HostOrderAnswered(..))));
    node.clock().simulate_suspension(SUSPENDED);
    order().await;
    assert_eq!(store.orders(), 1, "a successor may have ordered it");
    let outcome = rx.recv().await;
    assert!(matches!(outcome, Some(Event::HostOrderAnswered(_, HostReply::Later))), "{outcome:?}");
}
