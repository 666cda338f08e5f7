//! Tasks that feed the scheduler from the store and the host service, and publish the status of
//! maintenance waves.
//!
//! These tasks end with the scheduler. Events that are sent after that are dropped; the next lease
//! holder reads the same records.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use workswood_core::code::Code;
use workswood_core::ids::Offset;
use workswood_core::jobs::Event;
use workswood_platform::jobs::{Guard, KeyedRecord, Partition, StoreError, Topic};

use super::hedged_call::hedged_call;
use super::inbox_progress::{InboxProgress, InboxRead};
use super::node::{Node, SchedulerHandle};
use super::restore_state::{note_inbox_key, parse_inbox_event};
use super::topic_reader::follow_topic;
use super::worker_list::WorkerList;

/// Delay after a failed read or append.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// A read without an answer is repeated after its wait and this time if the store answers other calls.
const HEDGE_AFTER: Duration = Duration::from_millis(250);
/// How long one read of the inbox waits for new records.
const INBOX_READ_WAIT: Duration = Duration::from_millis(1000);

/// Forwards jobs and cancellations from a partition of the inbox to the scheduler.
pub(super) async fn follow_inbox(
    node: Arc<Node>,
    handle: Arc<SchedulerHandle>,
    progress: Arc<InboxProgress>,
    partition: Partition,
    mut next: Offset,
) {
    let topic = Topic::Inbox(partition);
    // After a failure the read does not wait, so that it shows at once when the store is back.
    let mut wait = INBOX_READ_WAIT;
    loop {
        let sent = node.now();
        let read = || node.platform.tail(topic, next, wait);
        match hedged_call(&node, wait + HEDGE_AFTER, read).await {
            Ok(tail) => {
                node.note_store_answer();
                let found_records = !tail.records.is_empty();
                let read = InboxRead { sent, wait, answered: node.now(), found_records };
                wait = INBOX_READ_WAIT;
                next = tail.next;
                forward_records(&handle, partition, &tail.records);
                // All partitions have been read up to this time, and their records forwarded.
                let all_read_at = progress.record(partition, read);
                // Sending fails if the scheduler has just stopped.
                let _ = handle.tx.send(Event::InboxRead(all_read_at));
            }
            Err(StoreError::RecordsGone) => match node.platform.latest(topic).await {
                Ok(latest) => {
                    next = latest.next;
                    forward_records(&handle, partition, &latest.records);
                }
                Err(e) => {
                    log::warn!("event=inbox_not_read part={partition} error=\"{e}\"");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            },
            Err(e) => {
                log::warn!("event=inbox_not_read part={partition} error=\"{e}\"");
                wait = Duration::ZERO;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn forward_records(handle: &SchedulerHandle, partition: Partition, records: &[KeyedRecord]) {
    for rec in records {
        note_inbox_key(&mut handle.inbox_keys.lock(), partition, rec);
        if let Some(ev) = parse_inbox_event(rec) {
            let _ = handle.tx.send(ev);
        }
    }
}

/// Forwards the list of workers, and its changes, to the scheduler.
pub(super) async fn follow_workers(node: Arc<Node>, handle: Arc<SchedulerHandle>) {
    let mut list = WorkerList::default();
    let cx = node.clone();
    follow_topic(node, Topic::Workers, move |update| {
        for ev in list.apply(update, |rec| cx.platform.parse_worker_info(rec)) {
            let _ = handle.tx.send(ev);
        }
    })
    .await;
}

/// Reads the list of hosts once and forwards it to the scheduler.
pub(super) async fn list_hosts_once(node: Arc<Node>, handle: Arc<SchedulerHandle>) {
    let requested_at = node.now();
    match node.platform.list_hosts().await {
        Ok(list) => {
            let _ = handle.tx.send(Event::HostsListed(list, requested_at));
        }
        Err(e) => log::warn!("event=machines_not_read error=\"{e}\""),
    }
}

/// Publishes the status of waves for operators, and retries until the store has each.
pub(super) async fn publish_wave_status(
    node: Arc<Node>,
    mut status_rx: watch::Receiver<BTreeMap<u64, bool>>,
) {
    let mut published: BTreeMap<u64, bool> = BTreeMap::new();
    loop {
        let statuses = status_rx.borrow_and_update().clone();
        for (wave, complete) in statuses {
            if published.get(&wave) == Some(&complete) {
                continue;
            }
            let rec = node.platform.wave_status_record(wave, complete);
            match node.platform.append(Topic::Status, vec![rec], Guard::None).await {
                Ok(_) => {
                    log::info!("event=wave_published wave={wave} complete={complete}");
                    published.insert(wave, complete);
                }
                Err(e @ StoreError::Rejected { .. }) => {
                    let code = Code::RecordTooLarge.number();
                    log::error!("event=wave_not_published code={code} wave={wave} error=\"{e}\"");
                    published.insert(wave, complete);
                }
                Err(e) => log::warn!("event=wave_not_published wave={wave} error=\"{e}\""),
            }
        }
        let has_unpublished =
            status_rx.borrow().iter().any(|(wave, complete)| published.get(wave) != Some(complete));
        if has_unpublished {
            tokio::time::sleep(RETRY_DELAY).await;
        } else if status_rx.changed().await.is_err() {
            return;
        }
    }
}
