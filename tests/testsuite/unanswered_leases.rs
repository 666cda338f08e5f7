//! The lease of a worker that has fallen silent ends as early as the calls without an answer allow.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Event, JobKey, TaskId, WorkerUpdate};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::TurnStore;

/// For how long an order is under way, without an answer.
const ORDER_WAIT: Duration = Duration::from_millis(150);

async fn site() -> (RelaySite, Arc<TurnStore>) {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    store.holds_orders(ORDER_WAIT);
    let relay = RelaySite::new(store.clone(), "10.0.0.1:80", None).await;
    (relay, store)
}

#[tokio::test(start_paused = true)]
async fn second_poll_extends_lease_of_silent_worker() {
    let (mut relay, store) = site().await;
    store.falls_silent();
    let silence =
        |ev: &Event| matches!(ev, Event::WorkerUpdate(_, _, WorkerUpdate::Unanswered { .. })).then_some(());
    relay.event(silence).await;
    let leases = store.unanswered_leases();
    assert_eq!(leases.len(), 2, "the poll was sent twice");
    assert!(leases[0].is_some() && leases[0] == leases[1], "{leases:?}");
}

#[tokio::test(start_paused = true)]
async fn repeated_start_extends_lease_of_silent_worker() {
    let (mut relay, store) = site().await;
    relay.order_start(TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 7 }, 1);
    let outcome =
        |ev: &Event| matches!(ev, Event::WorkerUpdate(_, _, WorkerUpdate::Started(..))).then_some(());
    relay.event(outcome).await;
    let leases = store.unanswered_leases();
    assert_eq!(leases.len(), 3, "the start was sent three times");
    assert_eq!(leases.iter().collect::<BTreeSet<_>>().len(), 1, "{leases:?}");
}
