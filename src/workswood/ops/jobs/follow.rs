//! Keeps up with a topic of the store: first the newest records, then each
//! change as it comes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::ids::DataCentre;
use workswood_core::jobs::Event;
use workswood_platform::jobs::{KeyedRecord, OperatorRecord, StoreError, Topic};

use super::help;
use super::node::Node;
use super::operators::Evacuations;

/// How long one read of the lease holder waits for a record: it decides for all.
const LEADER_WAIT: Duration = Duration::from_millis(1000);
/// A read is late that has not been answered for this long after its wait, or has failed and
/// been repeated for as long.
const READ_LATE: Duration = Duration::from_millis(200);
/// Likewise, where reads fail.
const FAILS_LATE: Duration = Duration::from_millis(1200);
/// Time between two reads of the list of workers: entries of many workers come together, and each read is
/// paid for.
const WORKERS_GAP: Duration = Duration::from_millis(50);
/// Time between two questions to other processes meanwhile, until one has told: those that are asked may
/// be turned away as well. What was told is asked for again once it is late itself.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// Key under which operators write the configuration.
const CONFIG: &str = "config";
/// Pause after a failed read; it doubles with each that fails,
const PAUSE: Duration = Duration::from_millis(100);
/// up to this: many hosts that the store turns away are paid for.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What a follower hears.
pub enum Heard {
    /// All newest records; replaces what was heard before.
    Reset(Vec<KeyedRecord>),
    /// Changes, in order; may be empty when a read reached the end.
    Changes(Vec<KeyedRecord>),
}

/// How long a read of a topic waits now.
fn read_wait(node: &Node, topic: Topic) -> Duration {
    match topic {
        Topic::Operators if node.leading.load().is_none() => node.settings.long_poll_wait(),
        _ => LEADER_WAIT,
    }
}

/// How long a process pauses after so many reads that have failed in a row.
pub fn pause_after(failures: u32) -> Duration {
    let doubled = PAUSE.saturating_mul(2_u32.saturating_pow(failures.saturating_sub(1)));
    doubled.min(LONGEST_PAUSE)
}

/// Follows a topic for ever.
pub async fn topic(node: Arc<Node>, topic: Topic, mut heard: impl FnMut(Heard) + Send) {
    let mut next = None;
    let mut failures = 0;
    loop {
        let res = match next {
            None => node.platform.latest(topic).await.map(|n| (Heard::Reset(n.records), n.next)),
            Some(from) => {
                // After a failure the answer is wanted at once: a read that waits
                // for a record tells only after its wait that the store is back.
                let wait = if failures > 0 { Duration::ZERO } else { read_wait(&node, topic) };
                node.platform.tail(topic, from, wait).await.map(|t| (Heard::Changes(t.records), t.next))
            }
        };
        match res {
            Ok((h, at)) => {
                if failures > 0 {
                    log::info!("event=dependency_regained dependency=store topic={topic:?}");
                }
                failures = 0;
                node.store_is_up();
                next = Some(at);
                heard(h);
                if topic == Topic::Workers {
                    tokio::time::sleep(WORKERS_GAP).await;
                }
            }
            Err(StoreError::RecordsGone) => next = None,
            Err(e) => {
                if failures == 0 {
                    log::warn!("event=dependency_lost dependency=store topic={topic:?} error=\"{e}\"");
                }
                failures += 1;
                if topic == Topic::Operators {
                    node.operators.reading_fails();
                }
                tokio::time::sleep(pause_after(failures)).await;
            }
        }
    }
}

/// Follows what operators write.
pub async fn run(node: Arc<Node>) {
    let n = node.clone();
    let mut evacuated = BTreeSet::new();
    topic(node, Topic::Operators, move |heard| {
        let records = match heard {
            Heard::Reset(records) => {
                evacuated.clear();
                records
            }
            Heard::Changes(records) => records,
        };
        records.iter().for_each(|r| take_item(&n, r, &mut evacuated));
        n.operators.reading_succeeds();
        take_evacuated(&n, Evacuations { data_centres: evacuated.clone(), read: n.now() });
    })
    .await;
}

/// Asks other processes for what operators changed, and who holds the lease, while the store turns this
/// one away, for ever. A key that was taken away, or a limit that was lowered, is in force here too
/// within the time that the platform allows (2 s at least), as long as any host that is asked
/// reaches the store.
pub async fn ask_peers(node: Arc<Node>) {
    loop {
        tokio::time::sleep(ASK_EVERY).await;
        let age = node.operators.age(node.now());
        let fails = node.operators.is_reading_failing() && age > FAILS_LATE;
        if !fails && age < node.settings.long_poll_wait() + READ_LATE {
            continue;
        }
        let known = node.config.load().as_ref().map_or(0, |c| c.version);
        let told = help::newer_wishes(&node, known).await;
        for value in told.configs {
            let rec = KeyedRecord { key: CONFIG.to_string(), value: Some(value) };
            take_item(&node, &rec, &mut BTreeSet::new());
        }
        let term = node.holder.load().as_ref().map_or(0, |h| h.term);
        if let Some(holder) = told.holder.filter(|h| h.term > term) {
            log::info!("event=lease_holder_from_peer id={} term={}", holder.id, holder.term);
            node.know_holder(holder);
        }
        told.evacuations.into_iter().for_each(|e| take_evacuated(&node, e));
    }
}

/// Takes in which data centres are evacuated.
fn take_evacuated(node: &Node, now: Evacuations) {
    let Some(evacuated) = node.operators.evacuate(now) else { return };
    let names: Vec<&str> = evacuated.iter().map(String::as_str).collect();
    log::info!("event=evacuations_in_force data_centres=\"{}\"", names.join(","));
    node.tell_scheduler(Event::Evacuated(evacuated));
}

/// Takes in what operators wrote; evacuations are only noted.
fn take_item(node: &Node, rec: &KeyedRecord, evacuated: &mut BTreeSet<DataCentre>) {
    match node.platform.parse_operator_record(rec) {
        Ok(Some(OperatorRecord::Config(cfg))) => {
            let now = node.config.load().as_ref().map_or(0, |c| c.version);
            // Versions never go back, whatever order records are read in.
            if cfg.version <= now {
                return;
            }
            log::info!("event=config_in_force version={} queues={}", cfg.version, cfg.queues.len());
            let cfg = Arc::new(cfg);
            node.configure(cfg.clone(), rec.value.clone().unwrap_or_default());
            node.tell_scheduler(Event::ConfigChanged(cfg));
        }
        Ok(Some(OperatorRecord::Wave(wave))) => {
            node.waves.lock().insert(wave.number, wave.clone());
            node.tell_scheduler(Event::WaveRequested(wave, None));
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
