//! Looks at workers whose answers are lost.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch as channel};
use workswood::ops::jobs::Node;
use workswood::ops::jobs::node::Leading;
use workswood::ops::jobs::watch::{self, WorkerLink};
use workswood_core::jobs::Event;
use workswood_test_support::job_node::settings;
use workswood_test_support::machine_world::worker;
use workswood_test_support::turn_store::TurnStore;

/// Longest time, over 10 s, in which the scheduler hears nothing of a busy worker
/// one of whose looks in ten is lost. When a look was given up only after its wait
/// and 0.7 s, each lost one made the worker count as out of reach.
#[tokio::test(start_paused = true)]
async fn busy_worker_heard_again_soon() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    let node = Arc::new(Node::new(settings("entry-1"), store));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let (end, _ended) = channel::channel(false);
    let l = Arc::new(Leading::new(1, node.now(), Duration::from_secs(60), tx, end));
    let link = Arc::new(WorkerLink::new(worker(0, 0)));
    let span = Duration::from_secs(6);
    tokio::spawn(watch::run(node.clone(), l, link.clone(), Duration::from_secs(5), span));
    let (mut last, mut longest) = (node.now(), Duration::ZERO);
    while node.now() < Duration::from_secs(10) {
        match rx.recv().await {
            Some(Event::Reported(..)) => {}
            other => panic!("the worker answers: {other:?}"),
        }
        longest = longest.max(node.now() - last);
        last = node.now();
    }
    link.close();
    assert!(longest < Duration::from_millis(500), "{longest:?}");
}
