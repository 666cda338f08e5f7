//! The table of all known jobs, with indexes of the open repeating jobs and of the open jobs with
//! long-running tasks.
//!
//! A job that has ended and runs nowhere is *archived*: its tasks and its text are dropped. What
//! stays for some minutes is its state, which callers may ask for, and its resource needs, which
//! enter the estimate of demand. Most known jobs are archived.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::{Index, RangeInclusive};
use std::time::Duration;

use super::job::{FinishedJobRecord, Job, JobStatus, Outcome, StateSlot, WorkerId};
use super::job_key::{JobKey, JobNumber};
use super::spec::{QueueId, TaskId};
use super::stable_map::StableMap;
use super::workspace::Owner;
use super::workspace_usage::Reservation;
use crate::ids::ServiceId;

/// All known jobs. Callers choose the keys, so the jobs are kept in a tree, in which no choice of
/// keys can collide.
#[derive(Debug, Default)]
pub struct JobTable {
    by_key: BTreeMap<JobKey, Job>,
    /// Repeating jobs that have not been reported as ended.
    repeating: BTreeSet<JobKey>,
    /// Jobs with long-running tasks that have not been reported as ended, by service.
    long_running: StableMap<ServiceId, BTreeSet<JobKey>>,
    /// Archived jobs.
    archived: BTreeMap<JobKey, ArchivedJob>,
    /// When jobs were archived, in that order.
    archive_order: VecDeque<(Duration, JobKey)>,
}

/// A job that has ended and runs nowhere.
#[derive(Clone, Debug, PartialEq)]
pub struct ArchivedJob {
    /// How the job ended.
    pub outcome: Outcome,
    /// What is on record of the job.
    pub record: FinishedJobRecord,
    /// Under which key that is stored.
    pub slot: StateSlot,
}

impl Index<&JobKey> for JobTable {
    type Output = Job;

    fn index(&self, key: &JobKey) -> &Job {
        &self.by_key[key]
    }
}

impl JobTable {
    /// Returns a job that is not archived.
    pub fn get(&self, key: &JobKey) -> Option<&Job> {
        self.by_key.get(key)
    }

    /// Returns a job that is not archived, for modification. A caller that ends the job must call
    /// [`JobTable::note_ended`].
    pub fn get_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.by_key.get_mut(key)
    }

    /// Whether a job is known, archived or not.
    pub fn contains(&self, key: &JobKey) -> bool {
        self.by_key.contains_key(key) || self.archived.contains_key(key)
    }

    /// The queues of all known jobs among these keys, archived or not.
    pub fn queues_of(&self, keys: RangeInclusive<JobKey>) -> impl Iterator<Item = (JobKey, &QueueId)> {
        let open = self.by_key.range(keys.clone()).map(|(key, job)| (*key, &job.spec.queue));
        open.chain(self.archived.range(keys).map(|(key, archived)| (*key, &archived.record.queue)))
    }

    /// The job of a number whose tasks run on the workers of a service. Of several, the one that is not archived.
    pub fn on_service(&self, number: JobNumber, service: &str) -> Option<JobKey> {
        let mut open = self.by_key.range(JobKey::all_of(number));
        let open = open.find(|(_, job)| job.spec.service == service).map(|(key, _)| *key);
        open.or_else(|| self.archived_on(number, service).map(|(key, _)| *key).next())
    }

    /// The job of a number that has a run on a worker.
    pub fn with_run_on(&self, number: JobNumber, worker: &WorkerId) -> Option<JobKey> {
        let mut open = self.by_key.range(JobKey::all_of(number));
        open.find(|(_, job)| job.has_run_on(worker)).map(|(key, _)| *key)
    }

    /// Whether a job of this number, which is not archived, has its tasks run on the workers of a service.
    pub fn is_open_on(&self, number: JobNumber, service: &str) -> bool {
        self.by_key.range(JobKey::all_of(number)).any(|(_, job)| job.spec.service == service)
    }

    /// Number of jobs that are not archived.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether all known jobs are archived.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Whether a job is archived.
    pub fn is_archived(&self, key: &JobKey) -> bool {
        self.archived.contains_key(key)
    }

    /// Archived jobs of a number whose tasks ran on the workers of a service, or of which no service is on record.
    pub fn archived_on(
        &self,
        number: JobNumber,
        service: &str,
    ) -> impl Iterator<Item = (&JobKey, &ArchivedJob)> {
        let of_number = self.archived.range(JobKey::all_of(number));
        let may_be_of = move |recorded: &str| recorded == service || recorded.is_empty();
        of_number.filter(move |(_, archived)| may_be_of(&archived.record.service))
    }

    /// Archived jobs.
    pub fn archived(&self) -> impl Iterator<Item = &ArchivedJob> {
        self.archived.values()
    }

    /// The status of a job, archived or not.
    pub fn status(&self, key: &JobKey) -> Option<JobStatus> {
        let archived = || self.archived.get(key).map(|archived| JobStatus::Ended(archived.outcome));
        self.by_key.get(key).map(Job::status).or_else(archived)
    }

    /// Reservation of a run of a task; for an archived job, an upper bound of it.
    pub fn reservation(&self, task: &TaskId) -> Option<Reservation> {
        let archived = |archived: &ArchivedJob| {
            let (resources, owner) = (archived.record.max_task_resources, archived.record.owner);
            Reservation { resources, charged: resources, owner }
        };
        match self.by_key.get(&task.job) {
            Some(job) => job.step(task).map(|step| job.spec.reservation(step)),
            None => self.archived.get(&task.job).map(archived),
        }
    }

    /// Workspace of a known job.
    pub fn owner(&self, key: &JobKey) -> Option<Owner> {
        self.contains(key).then_some(key.owner.workspace)
    }

    /// Jobs that are not archived.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_key.values()
    }

    /// Adds a job.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        if job.outcome.is_none() {
            if job.spec.repeat.is_some() {
                self.repeating.insert(key);
            }
            if job.spec.is_long_running() {
                self.long_running.entry(job.spec.service.clone()).or_default().insert(key);
            }
        }
        self.by_key.insert(key, job);
    }

    /// Removes a job that has ended from the indexes of open jobs.
    pub fn note_ended(&mut self, key: JobKey) {
        let Some(job) = self.by_key.get(&key) else { return };
        self.repeating.remove(&key);
        if let Some(jobs) = self.long_running.get_mut(&job.spec.service) {
            jobs.remove(&key);
        }
    }

    /// Archives a job, or adds one that is archived already.
    pub fn archive(&mut self, key: JobKey, archived: ArchivedJob, archived_at: Duration) {
        self.by_key.remove(&key);
        if self.archived.insert(key, archived).is_none() {
            self.archive_order.push_back((archived_at, key));
        }
    }

    /// Keys of open repeating jobs.
    pub fn repeating(&self) -> Vec<JobKey> {
        self.repeating.iter().copied().collect()
    }

    /// Open jobs of a service with long-running tasks.
    pub fn long_running(&self, service: &str) -> impl Iterator<Item = &Job> {
        let keys = self.long_running.get(service).into_iter().flatten();
        keys.filter_map(|key| self.by_key.get(key))
    }

    /// Open jobs of all services with long-running tasks.
    pub fn all_long_running(&self) -> impl Iterator<Item = &Job> {
        self.long_running.values().flatten().filter_map(|key| self.by_key.get(key))
    }

    /// Removes and returns jobs that were archived before the given time.
    pub fn forget_archived(&mut self, before: Duration) -> Vec<(JobKey, ArchivedJob)> {
        let mut forgotten = Vec::new();
        while let Some((_, key)) = self.archive_order.front().copied().filter(|(at, _)| *at < before) {
            self.archive_order.pop_front();
            forgotten.extend(self.archived.remove(&key).map(|archived| (key, archived)));
        }
        forgotten
    }
}
