//! Restores the scheduler from the state that earlier lease holders stored.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::try_join_all;
use workswood_core::ids::Offset;
use workswood_core::jobs::restored_jobs::join_states;
use workswood_core::jobs::{Event, JobKey, JobNumber, JobRecord, JobSpec, Scheduler};
use workswood_platform::jobs::{Guard, KeyedRecord, LatestRecords, Partition, StoreError, Topic};

use super::append_calls::StateEncoder;
use super::inbox::{self, InboxIndex};
use super::lease_renewal::EXTENSION_GRACE;
use super::limits::scheduler_limits;
use super::node::{Node, SchedulerHandle};
use super::record::{InboxKey, InboxRecordKind, parse_inbox_key};
use super::{job_spec, stored_state};

/// Longest wait until it is certain when the grants of earlier terms end. The first renewal and its reading
/// take no longer than the reads of the state, unless the store is slow.
const GRANTS_END_TIMEOUT: Duration = Duration::from_millis(200);

/// A scheduler restored from its predecessors' state.
pub struct RestoredScheduler {
    /// The scheduler.
    pub sched: Scheduler,
    /// The offset of each partition of the inbox to continue reading from.
    pub inbox_next: Vec<(Partition, Offset)>,
    /// Which partitions of the inbox hold which keys.
    pub inbox_keys: InboxIndex,
    /// How further records of the state are to be written.
    pub encoder: StateEncoder,
}

/// Fences all earlier holders off from the stored state, and restores the scheduler from it.
pub async fn restore(node: &Arc<Node>, handle: &SchedulerHandle) -> Result<RestoredScheduler, StoreError> {
    let (term, held_since) = (handle.term, handle.held_since);
    let started = node.now();
    node.platform.append(Topic::State, Vec::new(), Guard::Term(term, 0)).await?;
    let fenced = node.now();
    // No other process writes state from here on, so these reads may run in any order.
    let partitions: Vec<Partition> = inbox::partitions(node.settings.store_partitions).collect();
    let inbox = try_join_all(partitions.iter().map(|p| node.platform.latest(Topic::Inbox(*p))));
    let grants_end = async { Ok(earlier_grants_end(handle).await) };
    let (inbox, state, grants_end) = tokio::try_join!(inbox, node.platform.latest(Topic::State), grants_end)?;
    node.note_store_answer();
    let read = node.now();
    let inbox: Vec<(Partition, LatestRecords)> = partitions.into_iter().zip(inbox).collect();
    let inbox_next = inbox.iter().map(|(partition, latest)| (*partition, latest.next)).collect();
    let mut inbox_keys = InboxIndex::default();
    for (partition, latest) in &inbox {
        latest.records.iter().for_each(|rec| note_inbox_key(&mut inbox_keys, *partition, rec));
    }
    let mut sched = Scheduler::new(term, scheduler_limits(&node.settings), held_since, node.wall());
    sched.policy = node.settings.policy.clone();
    sched.holder = node.settings.name.clone();
    sched.strength = node.settings.strength();
    sched.now = node.now();
    // Holders of earlier versions give full leases for all of that time.
    sched.predecessors_extend_until = grants_end.or(Some(held_since + EXTENSION_GRACE));
    if let Some(cfg) = node.config.load_full() {
        sched.handle(Event::ConfigChanged(cfg));
    }
    sched.handle(Event::Evacuated(node.operator_state.evacuations().data_centres.clone()));
    let (state, encoder) = stored_state::read(state.records);
    for (id, rec) in state.workers {
        sched.restore_worker(id, rec);
    }
    for (id, rec) in state.ended_incarnations {
        sched.restore_ended(id, &rec);
    }
    for (host, holder) in state.order_marks {
        sched.restore_order_mark(host, &holder);
    }
    let records = inbox.into_iter().flat_map(|(_, latest)| latest.records).collect();
    restore_jobs(&mut sched, records, state.jobs);
    sched.restore_demand();
    for (n, rec) in state.waves {
        sched.restore_wave_record(n, rec);
    }
    for wave in node.waves.lock().values() {
        sched.handle(Event::WaveRequested(wave.clone(), None));
    }
    log::info!(
        "event=state_loaded term={term} jobs={} fence_ms={} read_ms={} restore_ms={} earlier_grants_ms={}",
        sched.jobs.len(),
        (fenced - started).as_millis(),
        (read - fenced).as_millis(),
        (node.now() - read).as_millis(),
        sched.predecessors_extend_until().saturating_sub(held_since).as_millis()
    );
    Ok(RestoredScheduler { sched, inbox_next, inbox_keys, encoder })
}

/// When the grants of earlier terms end; `None` if that is not certain in time.
async fn earlier_grants_end(handle: &SchedulerHandle) -> Option<Duration> {
    let mut end = handle.earlier_grants_end.subscribe();
    let known = tokio::time::timeout(GRANTS_END_TIMEOUT, end.wait_for(Option::is_some)).await;
    *known.ok()?.ok()?
}

/// Restores the jobs and their state, and then applies cancellations. A state whose job is no
/// longer in the inbox belongs to a job that is finished or was being forgotten.
fn restore_jobs(sched: &mut Scheduler, inbox: Vec<KeyedRecord>, states: Vec<(JobKey, JobRecord)>) {
    let mut cancels = BTreeSet::new();
    let mut submitted: Vec<(JobNumber, Arc<JobSpec>)> = Vec::new();
    for rec in inbox {
        match parse_inbox_event(&rec) {
            Some(Event::Submitted(number, spec)) => submitted.push((number, spec)),
            Some(Event::Cancelled(key)) => {
                cancels.insert(key);
            }
            _ => {}
        }
    }
    sched.restore_jobs(join_states(submitted, states));
    for key in cancels {
        sched.handle(Event::Cancelled(key));
    }
}

/// Notes that the inbox holds the key of a record, or no longer holds it if the record deletes it.
pub fn note_inbox_key(inbox_keys: &mut InboxIndex, partition: Partition, rec: &KeyedRecord) {
    match (parse_inbox_key(&rec.key), &rec.value) {
        (Some(key), Some(_)) => inbox_keys.insert(partition, key),
        (Some(key), None) => inbox_keys.remove(partition, key),
        // `parse_inbox_event` logs malformed keys.
        (None, _) => {}
    }
}

/// Returns the event for the scheduler that follows from a record of the inbox. Malformed records
/// are logged.
pub fn parse_inbox_event(rec: &KeyedRecord) -> Option<Event> {
    let value = rec.value.as_deref()?;
    match parse_inbox_key(&rec.key) {
        Some(InboxKey { job, kind: InboxRecordKind::Job, .. }) => {
            let spec = job_spec::decode(value);
            let spec = spec.inspect_err(|e| {
                log::error!("event=record_not_read code=203 key={} error=\"{e}\"", rec.key);
            });
            Some(Event::Submitted(job.number, Arc::new(spec.ok()?)))
        }
        Some(InboxKey { job, kind: InboxRecordKind::Cancel }) => Some(Event::Cancelled(job)),
        None => {
            log::error!("event=record_not_read code=203 key={}", rec.key);
            None
        }
    }
}
