//! Takes jobs out of the inbox whose state says that they are over.
//!
//! A new lease holder reads the whole inbox before it decides anything. Most jobs on
//! record are over, and on a slow link their text takes long.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood_core::jobs::JobKey;
use workswood_platform::jobs::{Guard, KeyedRecord, Topic};

use super::inbox;
use super::node::{Leading, Node};
use super::record::InboxKey;

/// Time between two rounds: each is a call to the store for every part of the inbox.
const EVERY: Duration = Duration::from_secs(1);
/// Pause after a failed append.
const PAUSE: Duration = Duration::from_millis(60);

/// Takes jobs out that are over, as they become it.
pub(super) async fn run(node: Arc<Node>, l: Arc<Leading>, mut rx: mpsc::UnboundedReceiver<Vec<JobKey>>) {
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(EVERY).await;
        let mut over: BTreeSet<JobKey> = first.into_iter().collect();
        while let Ok(more) = rx.try_recv() {
            over.extend(more);
        }
        drop_from_inbox(&node, &l, over.into_iter().collect()).await;
    }
}

/// Takes jobs out of the inbox, with all that was written of them. State is dropped only after that: a job in the inbox
/// without a state would be taken for a new one. That they are gone is noted when the
/// inbox is read: a caller may hand the same job in again meanwhile.
pub(super) async fn drop_from_inbox(node: &Node, l: &Leading, drops: Vec<JobKey>) {
    if drops.is_empty() {
        return;
    }
    for part in inbox::parts(node.settings.store_partitions) {
        let here: Vec<KeyedRecord> = {
            let kept = l.kept.lock();
            let keys = drops.iter().flat_map(|job| kept.keys_of(part, *job));
            keys.map(InboxKey::drop_record).collect()
        };
        if here.is_empty() {
            continue;
        }
        while let Err(e) = node.platform.append(Topic::Inbox(part), here.clone(), Guard::None).await {
            log::warn!("event=inbox_not_trimmed part={part} error=\"{e}\"");
            tokio::time::sleep(PAUSE).await;
        }
    }
}
