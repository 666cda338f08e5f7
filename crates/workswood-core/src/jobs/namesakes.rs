//! Jobs of several owners under one number.
//!
//! Tasks are named by the number of their job alone, so one job at a time is at work under a number. The others wait,
//! and are shown as queued. The attempts of the next one go on above those that were made, so that nothing that is
//! told of earlier attempts is taken for its own.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::job::{FinishedJobRecord, Job, JobRecord, JobStatus, Outcome, StateSlot};
use super::job_table::ArchivedJob;
use super::scheduler::Scheduler;
use super::spec::{JobKey, JobSpec, QueueId};
use super::types::{JobStatusUpdate, Record};
use super::workspace::Owner;

/// A job that is forgotten.
#[derive(Debug)]
pub(super) struct ForgottenJob {
    pub(super) key: JobKey,
    pub(super) queue: QueueId,
    pub(super) owner: Owner,
    pub(super) slot: StateSlot,
}

/// Jobs that wait until no job of another owner is at work under their number.
#[derive(Debug, Default)]
pub(super) struct Namesakes {
    /// Those of each number, the earliest first.
    waiting: BTreeMap<JobKey, VecDeque<Arc<JobSpec>>>,
    /// Records of those that were cancelled, for the next batch.
    records: Vec<Record>,
}

impl Namesakes {
    /// Whether a job waits for its number.
    pub(super) fn contains(&self, key: JobKey, owner: Owner) -> bool {
        self.waiting.get(&key).is_some_and(|specs| specs.iter().any(|spec| spec.owner() == owner))
    }

    /// Takes the records for the next batch.
    pub(super) fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    fn take(&mut self, key: JobKey, is_meant: impl Fn(&JobSpec) -> bool) -> Option<Arc<JobSpec>> {
        let specs = self.waiting.get_mut(&key)?;
        let at = specs.iter().position(|spec| is_meant(spec))?;
        let spec = specs.remove(at);
        if specs.is_empty() {
            self.waiting.remove(&key);
        }
        spec
    }
}

impl Scheduler {
    /// Whether a job may be at work under a number: no other is, and it is known which attempts were made.
    pub(super) fn is_number_free(&self, key: JobKey) -> bool {
        let is_known = |archived: &ArchivedJob| archived.record.latest_attempt.is_some();
        self.jobs.get(&key).is_none() && self.jobs.archived_under(&key).all(is_known)
    }

    /// Has a job wait until its number is free.
    pub(super) fn wait_for_number(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        self.notes.push(format_args!(
            "event=job_waits job={key:016x} queue={} reason=number_of_other_workspace",
            spec.queue
        ));
        self.show_namesake(key, &spec, JobStatus::Queued);
        self.namesakes.waiting.entry(key).or_default().push_back(spec);
    }

    fn show_namesake(&mut self, key: JobKey, spec: &JobSpec, status: JobStatus) {
        self.status_updates.push(JobStatusUpdate {
            key,
            queue: spec.queue.clone(),
            owner: spec.owner(),
            state: Some(status),
            repeats: spec.repeat.is_some(),
        });
    }

    /// Opens the jobs whose number is free by now.
    pub(super) fn open_namesakes(&mut self) {
        let keys: Vec<JobKey> = self.namesakes.waiting.keys().copied().collect();
        for key in keys.into_iter().filter(|key| self.is_number_free(*key)).collect::<Vec<_>>() {
            if let Some(spec) = self.namesakes.take(key, |_| true) {
                self.open_job(key, spec);
            }
        }
    }

    /// The job as one that comes after those that had its number.
    pub(super) fn after_namesakes(&self, mut job: Job) -> Job {
        let before = self.jobs.archived_under(&job.key);
        if let Some(attempts) = before.map(|archived| archived.record.latest_attempt.unwrap_or(0)).max() {
            (job.earlier_attempts, job.slot) = (attempts, StateSlot::NumberAndOwner);
        }
        job
    }

    /// Cancels a job that waits for its number; returns whether there is one.
    pub(super) fn cancel_namesake(&mut self, key: JobKey, owner: Owner) -> bool {
        let Some(spec) = self.namesakes.take(key, |spec| spec.owner() == owner) else { return false };
        let (outcome, slot) = (Outcome::Canceled, StateSlot::NumberAndOwner);
        let record = FinishedJobRecord {
            queue: spec.queue.clone(),
            service: spec.service.clone(),
            accepted_at: spec.accepted_at,
            work_core_ms: None,
            max_task_resources: spec.max_task_resources(),
            owner,
            latest_attempt: Some(0),
        };
        let over = Some(record.clone());
        let stored =
            JobRecord { cancelled: true, outcome: Some(outcome), over, slot, ..JobRecord::default() };
        self.namesakes.records.push(Record::Job(key, stored));
        self.jobs.archive(key, ArchivedJob { outcome, record, slot }, self.now);
        self.finished_jobs.push((key, owner));
        self.show_namesake(key, &spec, JobStatus::Ended(outcome));
        let age_ms = self.wall.saturating_sub(spec.accepted_at);
        self.notes.push(format_args!("event=job_ended job={key:016x} outcome={outcome:?} age_ms={age_ms}"));
        true
    }
}
