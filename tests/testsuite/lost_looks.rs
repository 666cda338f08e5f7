//! Looks at workers whose answers are lost.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::relay::assigned_worker::AssignedWorker;
use workswood::ops::jobs::relay::{EventSink, Grant, RelayContext, poll};
use workswood_core::jobs::{Event, WorkerUpdate};
use workswood_test_support::host_world::worker;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::TurnStore;

/// Longest time, over 10 s, in which the scheduler hears nothing of a busy worker
/// one of whose looks in ten is lost. When a look was given up only after its wait
/// and 0.7 s, each lost one made the worker count as out of reach.
#[tokio::test(start_paused = true)]
async fn busy_worker_heard_again_soon() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    let node = Arc::new(Node::new(settings("entry-1"), store));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let grant = Grant::until(Duration::from_secs(60));
    let shared = RelayContext::new(node.clone(), grant, EventSink::Local(tx));
    let assigned = Arc::new(AssignedWorker::new(1, worker(0, 0).worker_address(), 1));
    tokio::spawn(poll::run(Arc::new(shared), assigned.clone()));
    let (mut last, mut longest) = (node.now(), Duration::ZERO);
    while node.now() < Duration::from_secs(10) {
        match rx.recv().await {
            // Told at once, so that nothing is evicted elsewhere on its account.
            Some(Event::WorkerUpdate(_, _, WorkerUpdate::Reported(_) | WorkerUpdate::ProbeLate)) => {}
            other => panic!("the worker answers: {other:?}"),
        }
        longest = longest.max(node.now() - last);
        last = node.now();
    }
    assigned.unassign();
    assert!(longest < Duration::from_millis(500), "{longest:?}");
}
