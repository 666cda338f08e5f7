//! Brings the scheduler what it reads from the store and the host service,
//! and tells operators how waves stand.
//!
//! These tasks end with the scheduler. An event that is sent after it has ended
//! is dropped: the next holder reads the same records.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use workswood_core::ids::Offset;
use workswood_core::jobs::Event;
use workswood_platform::jobs::{Guard, KeyedRecord, Partition, StoreError, Topic};

use super::follow::topic;
use super::node::{Node, SchedulerHandle};
use super::restore_state::{note_inbox_key, parse_inbox_event};
use super::worker_list::WorkerList;

/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(60);
/// How long one read of the inbox waits.
const INBOX_WAIT: Duration = Duration::from_millis(1000);

/// How far each part of the inbox was read.
pub(super) struct InboxProgress {
    read_at: Mutex<Vec<Duration>>,
}

impl InboxProgress {
    /// Nothing was read yet of so many parts.
    pub(super) fn new(parts: usize) -> InboxProgress {
        InboxProgress { read_at: Mutex::new(vec![Duration::ZERO; parts]) }
    }

    /// Notes that a part was read to its end; returns when all parts were at the
    /// earliest.
    fn note(&self, part: Partition, at: Duration) -> Duration {
        let mut read_at = self.read_at.lock();
        if let Some(mine) = read_at.get_mut(usize::from(part)) {
            *mine = at;
        }
        read_at.iter().min().copied().unwrap_or_default()
    }
}

/// Hands jobs and cancels from a part of the inbox to the scheduler.
pub(super) async fn read_inbox(
    node: Arc<Node>,
    l: Arc<SchedulerHandle>,
    progress: Arc<InboxProgress>,
    part: Partition,
    mut next: Offset,
) {
    let topic = Topic::Inbox(part);
    // After a failure the answer is wanted at once.
    let mut wait = INBOX_WAIT;
    loop {
        match node.platform.tail(topic, next, wait).await {
            Ok(tail) => {
                node.note_store_answer();
                wait = INBOX_WAIT;
                next = tail.next;
                hand_over(&l, part, &tail.records);
                // What other parts held until then was handed over before.
                let all = progress.note(part, node.now());
                let _ = l.tx.send(Event::InboxRead(all));
            }
            Err(StoreError::RecordsGone) => match node.platform.latest(topic).await {
                Ok(n) => {
                    next = n.next;
                    hand_over(&l, part, &n.records);
                }
                Err(e) => {
                    log::warn!("event=inbox_not_read part={part} error=\"{e}\"");
                    tokio::time::sleep(PAUSE).await;
                }
            },
            Err(e) => {
                log::warn!("event=inbox_not_read part={part} error=\"{e}\"");
                wait = Duration::ZERO;
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn hand_over(l: &SchedulerHandle, part: Partition, records: &[KeyedRecord]) {
    for rec in records {
        note_inbox_key(&mut l.inbox_keys.lock(), part, rec);
        if let Some(ev) = parse_inbox_event(rec) {
            let _ = l.tx.send(ev);
        }
    }
}

/// Hands the list of workers, and its changes, to the scheduler.
pub(super) async fn read_workers(node: Arc<Node>, l: Arc<SchedulerHandle>) {
    let mut list = WorkerList::default();
    let n = node.clone();
    topic(node, Topic::Workers, move |heard| {
        for ev in list.apply(heard, |rec| n.platform.parse_worker_info(rec)) {
            let _ = l.tx.send(ev);
        }
    })
    .await;
}

/// Reads the list of hosts once and hands it to the scheduler.
pub(super) async fn read_hosts(node: Arc<Node>, l: Arc<SchedulerHandle>) {
    let asked = node.now();
    match node.platform.list_hosts().await {
        Ok(list) => {
            let _ = l.tx.send(Event::HostsListed(list, asked));
        }
        Err(e) => log::warn!("event=machines_not_read error=\"{e}\""),
    }
}

/// Tells operators how waves stand, until each is told.
pub(super) async fn publish_waves(node: Arc<Node>, mut wanted: watch::Receiver<BTreeMap<u64, bool>>) {
    let mut told: BTreeMap<u64, bool> = BTreeMap::new();
    loop {
        let now = wanted.borrow_and_update().clone();
        for (n, complete) in now {
            if told.get(&n) == Some(&complete) {
                continue;
            }
            let rec = node.platform.wave_status_record(n, complete);
            match node.platform.append(Topic::Status, vec![rec], Guard::None).await {
                Ok(_) => {
                    log::info!("event=wave_published wave={n} complete={complete}");
                    told.insert(n, complete);
                }
                Err(e) => log::warn!("event=wave_not_published wave={n} error=\"{e}\""),
            }
        }
        let behind = wanted.borrow().iter().any(|(n, c)| told.get(n) != Some(c));
        if behind {
            tokio::time::sleep(PAUSE).await;
        } else if wanted.changed().await.is_err() {
            return;
        }
    }
}
