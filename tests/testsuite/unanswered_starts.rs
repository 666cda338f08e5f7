//! Starts that have no answer are settled soon.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::relay::messages::WorkerOrder;
use workswood_core::jobs::{Event, TaskId, WorkerUpdate};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::TurnStore;

const TASK: TaskId = TaskId { job: 1, round: 0, step: 0, index: 0 };

/// Longest time from an accepted stop until the run is known to be over; a poll waits longer.
const SETTLED_AFTER: Duration = Duration::from_millis(30);

#[tokio::test(start_paused = true)]
async fn stop_settled_by_next_poll_only() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    store.accepts_stops();
    let mut relay = RelaySite::new(store.clone(), "10.0.0.1:80", None).await;
    let task = TaskId { index: 7, ..TASK };
    relay.order(WorkerOrder::Stop { task, attempt: 1 });
    let stopped =
        |ev: &Event| matches!(ev, Event::WorkerUpdate(_, _, WorkerUpdate::Stopped(..))).then_some(());
    relay.event(stopped).await;
    let stopped_at = relay.node.now();
    let over = |ev: &Event| match ev {
        Event::WorkerUpdate(_, _, WorkerUpdate::Reported(report)) => {
            report.missing.contains(&(task, 1)).then_some(())
        }
        _ => None,
    };
    relay.event(over).await;
    let settled_after = relay.node.now() - stopped_at;
    assert!(settled_after <= SETTLED_AFTER, "{settled_after:?}");
}
