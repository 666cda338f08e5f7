//! Deletes finished and forgotten jobs from the inbox.
//!
//! A new lease holder reads the whole inbox before it decides anything. Without finished jobs,
//! whose state is stored elsewhere, it has far less to read.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood_core::code::Code;
use workswood_core::jobs::JobKey;
use workswood_platform::jobs::{Guard, KeyedRecord, Partition, StoreError, Topic};

use super::inbox;
use super::node::{Node, SchedulerHandle};
use super::record::InboxKey;

/// How long finished jobs are collected before they are deleted together: each round is a call to
/// the store for every partition of the inbox.
const COLLECT_TIME: Duration = Duration::from_secs(1);
/// Maximum number of keys that one append deletes. A key takes less than 100 bytes.
const MAX_DELETIONS: usize = 500;
/// Delay after a failed append.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Deletes jobs from the inbox as `rx` reports them finished.
pub(super) async fn run(
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    mut rx: mpsc::UnboundedReceiver<Vec<JobKey>>,
) {
    while let Some(first) = rx.recv().await {
        tokio::time::sleep(COLLECT_TIME).await;
        let mut finished: BTreeSet<JobKey> = first.into_iter().collect();
        while let Ok(more) = rx.try_recv() {
            finished.extend(more);
        }
        delete_from_inbox(&node, &handle, finished.into_iter().collect()).await;
    }
}

/// Deletes all records of these jobs from the inbox, and retries until that is done. Returns the jobs that are
/// still there since the store does not take the deletion.
///
/// The state of a job may be deleted only after this: a job in the inbox without a state is taken
/// for a new one. The keys are removed from `inbox_keys` only when the deletions are read from the
/// inbox, since a caller may submit the same job again in between.
pub(super) async fn delete_from_inbox(
    node: &Node,
    handle: &SchedulerHandle,
    jobs: Vec<JobKey>,
) -> BTreeSet<JobKey> {
    let mut kept = BTreeSet::new();
    if jobs.is_empty() {
        return kept;
    }
    for partition in inbox::partitions(node.settings.store_partitions) {
        let keys: Vec<InboxKey> = {
            let known = handle.inbox_keys.lock();
            jobs.iter().flat_map(|job| known.keys_of_job(partition, *job)).collect()
        };
        // The last chunk is deleted first; their order does not matter.
        let mut waiting: Vec<Vec<InboxKey>> = keys.chunks(MAX_DELETIONS).map(<[InboxKey]>::to_vec).collect();
        while let Some(mut keys) = waiting.pop() {
            match delete_keys(node, partition, &keys).await {
                Ok(()) => {}
                Err(Refused) if keys.len() == 1 => kept.extend(keys.iter().map(|key| key.job)),
                Err(Refused) => {
                    let second_half = keys.split_off(keys.len() / 2);
                    waiting.extend([second_half, keys]);
                }
            }
        }
    }
    kept
}

/// The store does not take a deletion, however often it is sent.
struct Refused;

/// Deletes keys with one append, and retries until the store takes or refuses it.
async fn delete_keys(node: &Node, partition: Partition, keys: &[InboxKey]) -> Result<(), Refused> {
    let deletions: Vec<KeyedRecord> = keys.iter().copied().map(InboxKey::deletion_record).collect();
    loop {
        match node.platform.append(Topic::Inbox(partition), deletions.clone(), Guard::None).await {
            Ok(_) => return Ok(()),
            Err(StoreError::Rejected { text }) => {
                log::error!(
                    "event=inbox_deletion_refused code={} part={partition} records={} error=\"{text}\"",
                    Code::RecordTooLarge.number(),
                    deletions.len()
                );
                return Err(Refused);
            }
            Err(e) => {
                log::warn!("event=inbox_not_trimmed part={partition} error=\"{e}\"");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
