//! The table of all known jobs, with indexes of the open repeating jobs and of the open jobs with
//! long-running tasks.
//!
//! A job that has ended and runs nowhere is *archived*: its tasks and its text are dropped. What
//! stays for some minutes is its state, which callers may ask for, and its resource needs, which
//! enter the estimate of demand. Most known jobs are archived.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;
use std::time::Duration;

use super::job::{FinishedJobRecord, Job, JobStatus, Outcome, StateSlot};
use super::spec::{JobKey, TaskId};
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
    /// Archived jobs. Those of several owners may share a number.
    archived: BTreeMap<(JobKey, Owner), ArchivedJob>,
    /// When jobs were archived, in that order.
    archive_order: VecDeque<(Duration, JobKey, Owner)>,
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

    /// Whether a job of this number is known, archived or not.
    pub fn contains_key(&self, key: &JobKey) -> bool {
        self.by_key.contains_key(key) || self.is_archived(key)
    }

    /// Whether the job of this number and owner is known, archived or not.
    pub fn contains(&self, key: &JobKey, owner: Owner) -> bool {
        let is_open = self.by_key.get(key).is_some_and(|job| job.spec.owner() == owner);
        is_open || self.archived.contains_key(&(*key, owner))
    }

    /// Number of jobs that are not archived.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether all known jobs are archived.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Whether a job of this number is archived.
    pub fn is_archived(&self, key: &JobKey) -> bool {
        self.archived_under(key).next().is_some()
    }

    /// Archived jobs of this number, of all owners.
    pub fn archived_under(&self, key: &JobKey) -> impl Iterator<Item = &ArchivedJob> {
        let all = (*key, Owner::PUBLIC)..=(*key, Owner::LAST);
        self.archived.range(all).map(|(_, archived)| archived)
    }

    /// Archived jobs.
    pub fn archived(&self) -> impl Iterator<Item = &ArchivedJob> {
        self.archived.values()
    }

    /// The status of a job, archived or not. Of several under one number, that of the one that is not archived.
    pub fn status(&self, key: &JobKey) -> Option<JobStatus> {
        let archived = || self.archived_under(key).next().map(|archived| JobStatus::Ended(archived.outcome));
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
            None => self.archived_under(&task.job).next().map(archived),
        }
    }

    /// Owner of a job. Of several under one number, that of the one that is not archived.
    pub fn owner(&self, key: &JobKey) -> Option<Owner> {
        let archived = || self.archived_under(key).next().map(|archived| archived.record.owner);
        self.by_key.get(key).map(|j| j.spec.owner()).or_else(archived)
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
        let owner = archived.record.owner;
        if self.by_key.get(&key).is_some_and(|job| job.spec.owner() == owner) {
            self.by_key.remove(&key);
        }
        if self.archived.insert((key, owner), archived).is_none() {
            self.archive_order.push_back((archived_at, key, owner));
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
        while let Some((_, key, owner)) = self.archive_order.front().copied().filter(|(at, ..)| *at < before)
        {
            self.archive_order.pop_front();
            forgotten.extend(self.archived.remove(&(key, owner)).map(|archived| (key, archived)));
        }
        forgotten
    }
}
