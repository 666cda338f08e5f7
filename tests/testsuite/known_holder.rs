//! What a process knows of the lease holder.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::Node;
use workswood::ops::jobs::node::Holder;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::TurnStore;

/// A peer tells of a later holder than this process has read of; its own read is late and tells of one before.
#[tokio::test(start_paused = true)]
async fn late_read_hides_later_holder() {
    let store = Arc::new(TurnStore::new(Duration::ZERO, &[]));
    let node = Node::new(settings("entry-1"), store);
    let holder = |term, released| Holder {
        id: format!("entry-{term}"),
        peer_address: "127.0.0.1:1".to_string(),
        term,
        released,
        knows_queues: true,
    };
    node.set_holder(holder(9, false));
    node.set_holder(holder(7, true));
    node.set_holder(holder(8, false));
    assert_eq!(node.holder.load().as_ref().map(|h| (h.term, h.released)), Some((9, false)));
    let later = node.wait_for_later_holder(8, Duration::from_millis(300)).await;
    assert_eq!(later.map(|h| h.term), Some(9));
    node.set_holder(holder(9, true));
    assert_eq!(node.holder.load().as_ref().map(|h| (h.term, h.released)), Some((9, true)));
}
