//! Hosts that do not hear of each renewal of the lease, in a fleet of many.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use workswood::ops::jobs::operator_state::Evacuations;
use workswood::ops::jobs::{Node, lease};
use workswood_core::jobs::SchedConfig;
use workswood_platform::jobs::KeyedRecord;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::TurnStore;

/// Time between two renewals.
const RENEWAL: Duration = Duration::from_millis(450);

fn holder(term: u64) -> KeyedRecord {
    let value =
        json!({"id": "other", "name": "entry-1", "peers": "127.0.0.1:9", "term": term, "strength": 600});
    KeyedRecord { key: "holder".to_string(), value: Some(value.to_string().into()) }
}

/// A process of a fleet of 40, of which 30 can carry more, that follows the lease.
fn process(store: &Arc<TurnStore>) -> Arc<Node> {
    let node = Arc::new(Node::new(settings("entry-40"), store.clone()));
    (0..40).for_each(|n| node.peers.add_peer(&format!("entry-{n}"), "127.0.0.1:9", 1000 - 10 * (n / 10)));
    node.peers.add_peer("entry-40", "127.0.0.1:9", 100);
    node.configure(Arc::new(SchedConfig { version: 1, ..SchedConfig::default() }), "config".into());
    node.operator_state.set_evacuations(Evacuations::default());
    node.operator_state.note_read_success();
    tokio::spawn(lease::run(node.clone()));
    node
}

async fn renew(store: &TurnStore, times: u32) {
    for _ in 0..times {
        tokio::time::sleep(RENEWAL).await;
        store.write_lease(holder(7));
    }
}

/// Claims and renewals of the process.
fn own_records(store: &TurnStore) -> usize {
    let own = |rec: &KeyedRecord| {
        String::from_utf8_lossy(rec.value.as_deref().unwrap_or_default()).contains("entry-40")
    };
    store.lease().iter().filter(|rec| own(rec)).count()
}

#[tokio::test(start_paused = true)]
async fn reads_now_and_then() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    store.keep_lease(holder(7));
    let node = process(&store);
    renew(&store, 4).await;
    let before = store.lease_reads();
    renew(&store, 134).await;
    let reads = store.lease_reads() - before;
    assert!(reads <= 13, "{reads} reads in 60 s");
    assert_eq!(node.holder.load().as_ref().map(|h| h.term), Some(7));
    assert_eq!(own_records(&store), 0);
}

/// Nobody that hears of renewals is left to claim.
#[tokio::test(start_paused = true)]
async fn claims_in_the_end() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    store.keep_lease(holder(7));
    let node = process(&store);
    renew(&store, 40).await;
    assert_eq!(own_records(&store), 0);
    // Two looks, and the time in which stronger hosts may claim.
    tokio::time::sleep(Duration::from_secs(16)).await;
    assert!(own_records(&store) > 0 && node.scheduler.load().is_some());
}

/// A question that the known holder does not answer has the lease read at once.
#[tokio::test(start_paused = true)]
async fn doubt_is_settled_at_once() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    store.keep_lease(holder(7));
    let node = process(&store);
    renew(&store, 10).await;
    store.write_lease(holder(9));
    assert_eq!(node.holder.load().as_ref().map(|h| h.term), Some(7), "it has not looked");
    let later = node.wait_for_later_holder(7, Duration::from_millis(100)).await;
    assert_eq!(later.map(|h| h.term), Some(9));
}

/// The store is not taken to be silent while it is only asked now and then.
#[tokio::test(start_paused = true)]
async fn silence_is_not_a_pause() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    store.keep_lease(holder(7));
    let node = process(&store);
    for _ in 0..60 {
        renew(&store, 1).await;
        // What operators write is waited for at the same time.
        node.note_store_answer();
        tokio::time::sleep(node.settings.long_poll_wait() / 2).await;
        assert!(node.store_silence() < Duration::from_millis(1000), "{:?}", node.store_silence());
    }
}

/// The store has deleted what was not read yet, and the newest record can't be read at once: the process still
/// knows that it gave up its term, and does not run the scheduler in it again.
#[tokio::test(start_paused = true)]
async fn own_term_is_not_forgotten() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    store.keep_lease(holder(0));
    let node = process(&store);
    let running = async |after: u64| loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if let Some(handle) = node.scheduler.load_full().filter(|h| h.term != after) {
            return handle;
        }
    };
    let first = tokio::time::timeout(Duration::from_secs(20), running(0)).await.expect("it claims");
    let reads = store.lease_reads();
    store.forget_lease();
    while store.lease_reads() < reads + 3 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.stop.send(true).expect("it runs");
    first.stop.closed().await;
    let next = tokio::time::timeout(Duration::from_secs(20), running(first.term)).await;
    assert!(next.expect("it claims again").term > first.term);
}
