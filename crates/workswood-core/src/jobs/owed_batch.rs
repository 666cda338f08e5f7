//! Batches that wait for the store, merged into one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::job::{StateSlot, WorkerId};
use super::job_key::JobKey;
use super::scheduler::Scheduler;
use super::types::{Action, Batch, JobStatusUpdate, Record};
use crate::ids::HostId;

/// What a record is about. The store keeps the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RecordKey {
    /// A job, and under which key it is stored.
    Job(JobKey, StateSlot),
    Wave(u64),
    Worker(WorkerId),
    EndedIncarnation(WorkerId),
    HostOrderMark(HostId),
}

impl RecordKey {
    /// The key of a job's record. Under its number alone it follows that of another workspace's job.
    fn of_job(key: JobKey, slot: StateSlot) -> RecordKey {
        match (slot, key.has_queue()) {
            (StateSlot::Number, false) => RecordKey::Job(JobKey::of_number(key.number), slot),
            (StateSlot::Number, true) | (StateSlot::NumberAndOwner, _) => RecordKey::Job(key, slot),
        }
    }

    fn of(rec: &Record) -> RecordKey {
        match rec {
            Record::Job(key, rec) => RecordKey::of_job(*key, rec.slot),
            Record::DropJob(key, slot) => RecordKey::of_job(*key, *slot),
            Record::Wave(n, _) => RecordKey::Wave(*n),
            Record::Worker(id, _) | Record::DropWorker(id) => RecordKey::Worker(id.clone()),
            Record::EndedIncarnation(id, _) => RecordKey::EndedIncarnation(id.clone()),
            Record::HostOrderMark(host, _) => RecordKey::HostOrderMark(host.clone()),
        }
    }
}

/// What may be done before it is stored.
#[derive(Debug, Default)]
pub struct EarlyWork {
    /// Actions.
    pub actions: Vec<Action>,
    /// Statuses of jobs to show to callers.
    pub statuses: Vec<JobStatusUpdate>,
}

/// Batches that wait for the store, merged into one: of the records with the same key only the newest
/// is written, and everything else follows in the order in which it was decided.
#[derive(Debug, Default)]
pub struct OwedBatch {
    records: BTreeMap<RecordKey, Record>,
    /// The merged batches without their records.
    rest: Batch,
}

impl OwedBatch {
    /// Adds a batch that is newer than all before.
    pub fn add(&mut self, batch: Batch) {
        let Batch { records, actions, acked_ends, status_updates, finished_jobs, waves, inbox_read_at } =
            batch;
        self.records.extend(records.into_iter().map(|rec| (RecordKey::of(&rec), rec)));
        let rest = &mut self.rest;
        rest.actions.extend(actions);
        rest.acked_ends.extend(acked_ends);
        rest.status_updates.extend(status_updates);
        rest.finished_jobs.extend(finished_jobs);
        rest.waves.extend(waves);
        rest.inbox_read_at = inbox_read_at;
    }

    /// Number of records to write.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Takes out of these batches, and of the one that is being written, what may be done although the
    /// store has been away for a time.
    pub fn take_early_work(
        &mut self,
        in_flight: Option<&mut Batch>,
        sched: &Scheduler,
        away_for: Duration,
    ) -> EarlyWork {
        let mut work = EarlyWork::default();
        let mut waiting: Vec<&mut Batch> = in_flight.into_iter().chain([&mut self.rest]).collect();
        for batch in &mut waiting {
            let (early, late) = sched.split_early_actions(std::mem::take(&mut batch.actions));
            batch.actions = late;
            work.actions.extend(early);
            let may_show = |update: &mut JobStatusUpdate| sched.policy.outage.may_show(update, away_for);
            work.statuses.extend(batch.status_updates.extract_if(.., may_show));
        }
        // What was to be shown of these jobs before is out of date.
        let shown: BTreeSet<JobKey> = work.statuses.iter().map(|update| update.key).collect();
        for batch in waiting.into_iter().filter(|_| !shown.is_empty()) {
            batch.status_updates.retain(|update| update.state.is_none() || !shown.contains(&update.key));
        }
        work
    }

    /// Returns everything as one batch.
    pub fn into_batch(self) -> Batch {
        Batch { records: self.records.into_values().collect(), ..self.rest }
    }
}
