//! Follows topics of the store: reads first the latest records, then each change. Also applies the records
//! that operators write.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::DataCentre;
use workswood_core::jobs::Event;
use workswood_platform::jobs::{KeyedRecord, OperatorRecord, StoreError, Topic};

use super::node::Node;
use super::operator_state::Evacuations;
use super::peer_requests;

/// How long a read waits for records, except a read of operators' records by a process that is not the
/// lease holder.
const DEFAULT_READ_WAIT: Duration = Duration::from_millis(1000);
/// A read that has no reply this long after its wait is late.
const LATE_READ_SLACK: Duration = Duration::from_millis(200);
/// Age of the operators' records above which peers are polled while reads fail.
const MAX_AGE_ON_FAILURE: Duration = Duration::from_millis(1200);
/// Delay between two reads of the list of workers, so that one read returns the changes of many workers.
const WORKERS_READ_GAP: Duration = Duration::from_millis(50);
/// Time between two checks whether peers have to be polled. Polling is repeated since the store may refuse
/// the polled peers too.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Key of the configuration.
const CONFIG_KEY: &str = "config";
/// Delay after a first failed read; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Upper bound of that delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// What one read of a topic returned.
pub enum TopicUpdate {
    /// The latest record of each key; replaces everything before.
    Reset(Vec<KeyedRecord>),
    /// Changes, in order; may be empty if there were none.
    Changes(Vec<KeyedRecord>),
}

/// How long the next read of a topic waits for records.
fn read_wait(node: &Node, topic: Topic) -> Duration {
    match topic {
        Topic::Operators if node.scheduler.load().is_none() => node.settings.long_poll_wait(),
        _ => DEFAULT_READ_WAIT,
    }
}

/// The delay after a number of consecutive failed reads.
pub fn retry_delay(failures: u32) -> Duration {
    let delay = MIN_RETRY_DELAY.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
    delay.min(MAX_RETRY_DELAY)
}

/// Reads a topic until the task is aborted, and calls `on_update` with each update.
pub async fn follow_topic(node: Arc<Node>, topic: Topic, mut on_update: impl FnMut(TopicUpdate) + Send) {
    let mut next = None;
    let mut failures = 0;
    loop {
        let res = match next {
            None => node
                .platform
                .latest(topic)
                .await
                .map(|latest| (TopicUpdate::Reset(latest.records), latest.next)),
            Some(from) => {
                // After a failure the read does not wait: otherwise it would show only after its wait that
                // the store is back.
                let wait = if failures > 0 { Duration::ZERO } else { read_wait(&node, topic) };
                node.platform
                    .tail(topic, from, wait)
                    .await
                    .map(|tail| (TopicUpdate::Changes(tail.records), tail.next))
            }
        };
        match res {
            Ok((update, next_offset)) => {
                if failures > 0 {
                    log::info!("event=dependency_regained dependency=store topic={topic:?}");
                }
                failures = 0;
                node.note_store_answer();
                next = Some(next_offset);
                on_update(update);
                if topic == Topic::Workers {
                    tokio::time::sleep(WORKERS_READ_GAP).await;
                }
            }
            Err(StoreError::RecordsGone) => next = None,
            Err(e) => {
                if failures == 0 {
                    log::warn!("event=dependency_lost dependency=store topic={topic:?} error=\"{e}\"");
                }
                failures += 1;
                if topic == Topic::Operators {
                    node.operator_state.note_read_failure();
                }
                tokio::time::sleep(retry_delay(failures)).await;
            }
        }
    }
}

/// Applies the records that operators write, until the task is aborted.
pub async fn follow_operators(node: Arc<Node>) {
    let cx = node.clone();
    let mut evacuated = BTreeSet::new();
    follow_topic(node, Topic::Operators, move |update| {
        let records = match update {
            TopicUpdate::Reset(records) => {
                evacuated.clear();
                records
            }
            TopicUpdate::Changes(records) => records,
        };
        records.iter().for_each(|r| apply_record(&cx, r, &mut evacuated));
        apply_evacuations(&cx, Evacuations { data_centres: evacuated.clone(), read_at: cx.now() });
        cx.operator_state.note_read_success();
    })
    .await;
}

/// Polls peers for operators' changes and the lease holder while this process can't read them from the
/// store, until the task is aborted. A revoked key or a lowered limit therefore takes effect here in time
/// as long as one of the polled peers reaches the store.
pub async fn poll_peers_when_stale(node: Arc<Node>) {
    loop {
        tokio::time::sleep(PEER_POLL_INTERVAL).await;
        let age = node.operator_state.age(node.now());
        // A process that started while the store does not answer knows nothing yet.
        let max_age = if node.operator_state.is_known() { MAX_AGE_ON_FAILURE } else { Duration::ZERO };
        let is_stale = node.operator_state.last_read_failed() && age > max_age;
        if !is_stale && age < node.settings.long_poll_wait() + LATE_READ_SLACK {
            continue;
        }
        let known_version = node.config.load().as_ref().map_or(0, |c| c.version);
        let updates = peer_requests::poll_peers(&node, known_version).await;
        for value in updates.configs {
            let rec = KeyedRecord { key: CONFIG_KEY.to_string(), value: Some(value) };
            apply_record(&node, &rec, &mut BTreeSet::new());
        }
        let term = node.holder.load().as_ref().map_or(0, |h| h.term);
        if let Some(holder) = updates.holder.filter(|h| h.term > term) {
            log::info!("event=lease_holder_from_peer id={} term={}", holder.id, holder.term);
            node.set_holder(holder);
        }
        updates.evacuations.into_iter().for_each(|e| apply_evacuations(&node, e));
    }
}

/// Applies which data centres are evacuated.
fn apply_evacuations(node: &Node, evacuations: Evacuations) {
    let Some(evacuated) = node.operator_state.set_evacuations(evacuations) else { return };
    let names: Vec<&str> = evacuated.iter().map(String::as_str).collect();
    log::info!("event=evacuations_in_force data_centres=\"{}\"", names.join(","));
    node.send_to_scheduler(Event::Evacuated(evacuated));
}

/// Applies a record that operators wrote; evacuations are only collected in `evacuated`.
fn apply_record(node: &Node, rec: &KeyedRecord, evacuated: &mut BTreeSet<DataCentre>) {
    match node.platform.parse_operator_record(rec) {
        Ok(Some(OperatorRecord::Config(cfg))) => {
            let known_version = node.config.load().as_ref().map_or(0, |c| c.version);
            // Records may be read out of order; an older version never replaces a newer one.
            if cfg.version <= known_version {
                return;
            }
            log::info!("event=config_in_force version={} queues={}", cfg.version, cfg.queues.len());
            let cfg = Arc::new(cfg);
            node.configure(cfg.clone(), rec.value.clone().unwrap_or_default());
            node.send_to_scheduler(Event::ConfigChanged(cfg));
        }
        Ok(Some(OperatorRecord::Wave(wave))) => {
            node.waves.lock().insert(wave.number, wave.clone());
            node.send_to_scheduler(Event::WaveRequested(wave, None));
        }
        Ok(Some(OperatorRecord::Evacuation { data_centre, evacuated: true })) => {
            _ = evacuated.insert(data_centre)
        }
        Ok(Some(OperatorRecord::Evacuation { data_centre, evacuated: false })) => {
            _ = evacuated.remove(&data_centre)
        }
        Ok(None) => {}
        Err(e) => log::error!("event=operator_item_not_read code=203 key={} error=\"{e}\"", rec.key),
    }
}
