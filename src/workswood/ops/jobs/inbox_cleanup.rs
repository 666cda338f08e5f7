//! Deletes finished and forgotten jobs from the inbox.
//!
//! A new lease holder reads the whole inbox before it decides anything. Without finished jobs,
//! whose state is stored elsewhere, it has far less to read.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood_core::jobs::{JobKey, Owner};
use workswood_platform::jobs::{Guard, KeyedRecord, Topic};

use super::inbox;
use super::node::{Node, SchedulerHandle};
use super::record::InboxKey;

/// How long finished jobs are collected before they are deleted together: each round is a call to
/// the store for every partition of the inbox.
const COLLECT_TIME: Duration = Duration::from_secs(1);
/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Deletes jobs from the inbox as `rx` reports them finished.
pub(super) async fn run(
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    mut rx: mpsc::UnboundedReceiver<Vec<(JobKey, Owner)>>,
) {
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(COLLECT_TIME).await;
        let mut finished: BTreeSet<(JobKey, Owner)> = first.into_iter().collect();
        while let Ok(more) = rx.try_recv() {
            finished.extend(more);
        }
        delete_from_inbox(&node, &handle, finished.into_iter().collect()).await;
    }
}

/// Deletes all records of jobs of these owners from the inbox, and retries until that is done.
///
/// The state of a job may be deleted only after this: a job in the inbox without a state is taken
/// for a new one. The keys are removed from `inbox_keys` only when the deletions are read from the
/// inbox, since a caller may submit the same job again in between.
pub(super) async fn delete_from_inbox(node: &Node, handle: &SchedulerHandle, jobs: Vec<(JobKey, Owner)>) {
    if jobs.is_empty() {
        return;
    }
    for partition in inbox::partitions(node.settings.store_partitions) {
        let deletions: Vec<KeyedRecord> = {
            let known = handle.inbox_keys.lock();
            let keys = jobs.iter().flat_map(|(job, owner)| known.keys_of_job(partition, *job, *owner));
            keys.map(InboxKey::deletion_record).collect()
        };
        if deletions.is_empty() {
            continue;
        }
        while let Err(e) = node.platform.append(Topic::Inbox(partition), deletions.clone(), Guard::None).await
        {
            log::warn!("event=inbox_not_trimmed part={partition} error=\"{e}\"");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
