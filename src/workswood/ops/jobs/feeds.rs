//! Brings the scheduler what it reads from the store and the machine service,
//! and tells operators how waves stand.
//!
//! These tasks end with the scheduler. An event that is sent after it has ended
//! is dropped: the next holder reads the same records.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use workswood_core::ids::Offset;
use workswood_core::jobs::Event;
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};

use super::follow::{Heard, topic};
use super::load::inbox_event;
use super::node::{Leading, Node};

/// Pause after a failed read or append.
const PAUSE: Duration = Duration::from_millis(60);
/// How long one read of the inbox waits.
const INBOX_WAIT: Duration = Duration::from_millis(1000);

/// Hands jobs and cancels from the inbox to the scheduler.
pub(super) async fn read_inbox(node: Arc<Node>, l: Arc<Leading>, mut next: Offset) {
    loop {
        match node.platform.tail(Topic::Inbox, next, INBOX_WAIT).await {
            Ok(tail) => {
                node.store_is_up();
                next = tail.next;
                hand_over(&l, &tail.records);
                let _ = l.tx.send(Event::InboxRead(node.now()));
            }
            Err(StoreError::Gone) => match node.platform.newest(Topic::Inbox).await {
                Ok(n) => {
                    next = n.next;
                    hand_over(&l, &n.records);
                }
                Err(e) => {
                    log::warn!("event=inbox_not_read error=\"{e}\"");
                    tokio::time::sleep(PAUSE).await;
                }
            },
            Err(e) => {
                log::warn!("event=inbox_not_read error=\"{e}\"");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn hand_over(l: &Leading, records: &[KeyedRecord]) {
    for ev in records.iter().filter_map(inbox_event) {
        let _ = l.tx.send(ev);
    }
}

/// Hands the list of workers, and its changes, to the scheduler.
pub(super) async fn read_workers(node: Arc<Node>, l: Arc<Leading>) {
    let mut known: HashSet<String> = HashSet::new();
    let n = node.clone();
    topic(node, Topic::Workers, move |heard| {
        let records = match heard {
            Heard::Reset(records) => {
                let gone: Vec<String> =
                    known.iter().filter(|k| !records.iter().any(|r| r.key == **k)).cloned().collect();
                for id in gone {
                    known.remove(&id);
                    let _ = l.tx.send(Event::WorkerUnlisted(id.as_str().into()));
                }
                records
            }
            Heard::Changes(records) => records,
        };
        for rec in records {
            if rec.value.is_none() {
                known.remove(&rec.key);
                let _ = l.tx.send(Event::WorkerUnlisted(rec.key.as_str().into()));
                continue;
            }
            match n.platform.worker_info(&rec) {
                Ok(info) => {
                    known.insert(rec.key);
                    let _ = l.tx.send(Event::WorkerListed(info));
                }
                Err(e) => log::error!("event=worker_not_read code=203 worker={} error=\"{e}\"", rec.key),
            }
        }
    })
    .await;
}

/// Reads the list of machines once and hands it to the scheduler.
pub(super) async fn read_machines(node: Arc<Node>, l: Arc<Leading>) {
    let asked = node.now();
    match node.platform.machines().await {
        Ok(list) => {
            let _ = l.tx.send(Event::Machines(list, asked));
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
            let rec = node.platform.wave_status(n, complete);
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
