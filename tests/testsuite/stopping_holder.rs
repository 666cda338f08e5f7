//! A lease holder that is told to stop.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use workswood::ops::jobs::node::{Holder, SchedulerHandle};
use workswood::ops::jobs::{Node, handover, lease_renewal};
use workswood_core::jobs::lease_handover::{HandoverPolicy, StopStep, StoppingHolder};
use workswood_platform::jobs::Guard;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::{Fate, TurnStore};

/// Time that the stop may take.
const STOP: Duration = Duration::from_secs(5);

/// A holder that renews its lease in a store that refuses the first appends, and the signal that ends its
/// scheduler.
fn holder(
    refused: usize,
    decides_until_answered: bool,
) -> (Arc<Node>, Arc<TurnStore>, watch::Receiver<bool>) {
    holder_in(&vec![Fate::Refused; refused], decides_until_answered)
}

/// The same with a store that treats the first appends so.
fn holder_in(
    fates: &[Fate],
    decides_until_answered: bool,
) -> (Arc<Node>, Arc<TurnStore>, watch::Receiver<bool>) {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), fates));
    let mut settings = settings("entry-1");
    settings.policy.handover = HandoverPolicy { decides_until_answered, ..HandoverPolicy::default() };
    settings.policy.calls.write_for_others = false;
    let node = Arc::new(Node::new(settings, store.clone()));
    let (stop, stopped) = watch::channel(false);
    let tx = mpsc::unbounded_channel().0;
    let handle = SchedulerHandle::new(7, node.now(), lease_renewal::EXTENSION_GRACE, tx, stop);
    let handle = Arc::new(handle);
    node.scheduler.store(Some(handle.clone()));
    // Renewals end with the scheduler, as in the process.
    let (renewing, mut until) = (node.clone(), stopped.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = lease_renewal::run(renewing, handle) => {}
            _ = until.wait_for(|s| *s) => {}
        }
    });
    (node, store, stopped)
}

/// Stops the process; the time after which its scheduler was told to end.
async fn stop(node: &Arc<Node>, mut stopped: watch::Receiver<bool>) -> Duration {
    let asked = node.now();
    let deadline = asked + STOP;
    let clock = node.clone();
    let ended = tokio::spawn(async move {
        stopped.wait_for(|s| *s).await.expect("the scheduler is told to end");
        clock.now() - asked
    });
    handover::run(node, deadline).await;
    ended.await.expect("a time")
}

#[tokio::test(start_paused = true)]
async fn decides_until_store_answers() {
    let (node, store, stopped) = holder(8, true);
    let after = stop(&node, stopped).await;
    // Eight renewals are refused, each followed by a delay.
    assert!(after > Duration::from_millis(1100) && after < Duration::from_millis(2000), "{after:?}");
    assert_eq!(store.done().len(), 2, "a renewal and the release");
}

#[tokio::test(start_paused = true)]
async fn gives_up_at_once_where_store_answers() {
    let (node, store, stopped) = holder(0, true);
    let after = stop(&node, stopped).await;
    assert!(after < Duration::from_millis(100), "{after:?}");
    assert!(store.done().len() >= 2, "a renewal and the release");
}

#[tokio::test(start_paused = true)]
async fn ends_in_time_without_store() {
    let (node, store, stopped) = holder(1000, true);
    let began = node.now();
    let after = stop(&node, stopped).await;
    assert!(after > STOP * 4 / 5 && after < STOP, "{after:?}");
    assert!(node.now() - began < STOP + Duration::from_millis(200), "{:?}", node.now() - began);
    assert!(store.done().is_empty());
}

#[tokio::test(start_paused = true)]
async fn switched_off_it_stops_at_once() {
    let (node, store, stopped) = holder(8, false);
    assert!(stop(&node, stopped).await < Duration::from_millis(10));
    assert!(store.done().is_empty(), "the release was refused");
}

/// A renewal that is begun after the last one may be written after the release, and the lease then seems held.
#[tokio::test(start_paused = true)]
async fn no_renewal_is_under_way_at_release() {
    let (node, store, stopped) = holder(8, true);
    stop(&node, stopped).await;
    let first = vec![Guard::Term(7, 1); 9];
    assert_eq!(store.begun(), [first, vec![Guard::Term(7, 2)]].concat(), "renewals, and the release");
}

#[tokio::test(start_paused = true)]
async fn no_renewal_follows_slow_answer() {
    let (node, store, stopped) = holder(0, true);
    store.takes(Duration::from_millis(250));
    stop(&node, stopped).await;
    assert_eq!(store.begun(), [Guard::Term(7, 1), Guard::Term(7, 2)], "a renewal, and the release");
}

/// A scheduler that does not end in time leaves time for the release.
#[tokio::test(start_paused = true)]
async fn slow_end_leaves_time_for_release() {
    let (node, store, stopped) = holder_in(&[Fate::Silent], true);
    let _ends_late = stopped.clone();
    stop(&node, stopped).await;
    assert_eq!(store.done().len(), 1, "the release");
}

/// What was read as released is not released again, even if no call told so.
#[tokio::test(start_paused = true)]
async fn released_lease_is_left() {
    let (node, store, stopped) = holder_in(&[&[Fate::Done][..], &[Fate::Refused; 1000]].concat(), true);
    let id = node.id.clone();
    node.set_holder(Holder {
        id,
        peer_address: "127.0.0.1:1".to_string(),
        term: 7,
        released: true,
        knows_queues: true,
    });
    let began = node.now();
    stop(&node, stopped).await;
    assert!(node.now() - began < Duration::from_millis(500), "{:?}", node.now() - began);
    assert_eq!(store.done().len(), 1, "a renewal");
}

const HOLDER: StoppingHolder = StoppingHolder {
    decides: true,
    succeeded: false,
    renewed: false,
    released: false,
    time_left: Duration::from_secs(3),
};

#[test]
fn release_follows_the_last_decision() {
    assert_eq!(HOLDER.next_step(), StopStep::Decide);
    let renewed = StoppingHolder { renewed: true, ..HOLDER };
    assert_eq!(renewed.next_step(), StopStep::StopDeciding);
    let last = StoppingHolder { time_left: Duration::from_millis(100), ..HOLDER };
    assert_eq!(last.next_step(), StopStep::StopDeciding, "the release is tried at all costs");
    let late = StoppingHolder { time_left: Duration::from_millis(600), ..HOLDER };
    assert_eq!(late.next_step(), StopStep::StopDeciding, "the scheduler takes some of the time to end");
    let silent = StoppingHolder { decides: false, ..renewed };
    assert_eq!(silent.next_step(), StopStep::Release);
    assert_eq!(StoppingHolder { released: true, ..silent }.next_step(), StopStep::End);
    assert_eq!(StoppingHolder { time_left: Duration::ZERO, ..silent }.next_step(), StopStep::End);
}

#[test]
fn nothing_is_released_after_a_later_term() {
    let later = StoppingHolder { succeeded: true, ..HOLDER };
    assert_eq!(later.next_step(), StopStep::StopDeciding);
    assert_eq!(StoppingHolder { decides: false, ..later }.next_step(), StopStep::End);
}
