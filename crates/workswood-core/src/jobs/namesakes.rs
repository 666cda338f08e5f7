//! Jobs of several owners under one number.
//!
//! Tasks are named by the number of their job alone, so one job at a time is at work under a number on the workers of a
//! service. The others wait, and are shown as queued. The attempts of the next one go on above those that were made, so that nothing that is
//! told of earlier attempts is taken for its own.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use super::job::{FinishedJobRecord, Job, JobRecord, JobStatus, Outcome, StateSlot};
use super::job_key::{JobKey, JobNumber};
use super::job_table::ArchivedJob;
use super::scheduler::Scheduler;
use super::spec::{JobSpec, QueueId};
use super::types::{JobStatusUpdate, Record};

/// A job that is forgotten.
#[derive(Debug)]
pub(super) struct ForgottenJob {
    pub(super) key: JobKey,
    pub(super) queue: QueueId,
    pub(super) slot: StateSlot,
}

/// Jobs that wait until no job of another owner is at work under their number on their service.
#[derive(Debug, Default)]
pub(super) struct Namesakes {
    /// Those of each number, the earliest first.
    waiting: BTreeMap<JobNumber, VecDeque<Arc<JobSpec>>>,
    /// Records of those that were cancelled, for the next batch.
    records: Vec<Record>,
}

impl Namesakes {
    /// Whether a job waits for its number.
    pub(super) fn contains(&self, key: &JobKey) -> bool {
        self.queues_of(key.number).any(|(waiting, _)| waiting == *key)
    }

    /// The queues of the jobs that wait under a number.
    pub(super) fn queues_of(&self, number: JobNumber) -> impl Iterator<Item = (JobKey, &QueueId)> {
        let specs = self.waiting.get(&number).into_iter().flatten();
        specs.map(move |spec| (spec.key(number), &spec.queue))
    }

    /// Takes the records for the next batch.
    pub(super) fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    fn take(&mut self, key: &JobKey) -> Option<Arc<JobSpec>> {
        let specs = self.waiting.get_mut(&key.number)?;
        let at = specs.iter().position(|spec| spec.key(key.number) == *key)?;
        let spec = specs.remove(at);
        if specs.is_empty() {
            self.waiting.remove(&key.number);
        }
        spec
    }
}

impl Scheduler {
    /// Whether a job may be at work under a number on a service: no other is, and it is known which attempts were made.
    pub(super) fn is_number_free(&self, number: JobNumber, service: &str) -> bool {
        let is_known = |archived: &ArchivedJob| archived.record.latest_attempt.is_some();
        let mut ended = self.jobs.archived_on(number, service);
        !self.jobs.is_open_on(number, service) && ended.all(|(_, archived)| is_known(archived))
    }

    /// Has a job wait until its number is free.
    pub(super) fn wait_for_number(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        self.notes.push(format_args!(
            "event=job_waits job={key:016x} queue={} reason=number_of_other_owner",
            spec.queue
        ));
        self.show_namesake(key, &spec, JobStatus::Queued);
        self.namesakes.waiting.entry(key.number).or_default().push_back(spec);
    }

    fn show_namesake(&mut self, key: JobKey, spec: &JobSpec, status: JobStatus) {
        self.status_updates.push(JobStatusUpdate {
            key,
            queue: spec.queue.clone(),
            service: spec.service.clone(),
            state: Some(status),
            repeats: spec.repeat.is_some(),
        });
    }

    /// Opens the jobs whose number is free by now.
    pub(super) fn open_namesakes(&mut self) {
        let waiting = self.namesakes.waiting.iter();
        let waiting =
            waiting.flat_map(|(number, specs)| specs.iter().map(|spec| (spec.key(*number), spec.clone())));
        for (key, spec) in waiting.collect::<Vec<_>>() {
            if self.is_number_free(key.number, &spec.service) && self.namesakes.take(&key).is_some() {
                self.open_job(key, spec);
            }
        }
    }

    /// The job as one that comes after those that had its number.
    pub(super) fn after_namesakes(&self, mut job: Job) -> Job {
        let before = self.jobs.archived_on(job.key.number, &job.spec.service);
        let attempts = before.map(|(_, archived)| archived.record.latest_attempt.unwrap_or(0));
        if let Some(attempts) = attempts.max() {
            (job.earlier_attempts, job.slot) = (attempts, StateSlot::NumberAndOwner);
        }
        job
    }

    /// Cancels a job that waits for its number; returns whether there is one.
    pub(super) fn cancel_namesake(&mut self, key: JobKey) -> bool {
        let Some(spec) = self.namesakes.take(&key) else { return false };
        let (outcome, slot) = (Outcome::Canceled, StateSlot::NumberAndOwner);
        let record = FinishedJobRecord {
            queue: spec.queue.clone(),
            service: spec.service.clone(),
            accepted_at: spec.accepted_at,
            work_core_ms: None,
            max_task_resources: spec.max_task_resources(),
            owner: key.owner.workspace,
            latest_attempt: Some(0),
        };
        let over = Some(record.clone());
        let stored =
            JobRecord { cancelled: true, outcome: Some(outcome), over, slot, ..JobRecord::default() };
        self.namesakes.records.push(Record::Job(key, stored));
        self.jobs.archive(key, ArchivedJob { outcome, record, slot }, self.now);
        self.finished_jobs.push(key);
        self.show_namesake(key, &spec, JobStatus::Ended(outcome));
        let age_ms = self.wall.saturating_sub(spec.accepted_at);
        self.notes.push(format_args!("event=job_ended job={key:016x} outcome={outcome:?} age_ms={age_ms}"));
        true
    }
}
