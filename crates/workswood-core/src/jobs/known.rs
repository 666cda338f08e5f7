//! All jobs that are known, with those that time alone concerns.
//!
//! A job that has ended and runs nowhere is *over*: callers may still ask for its state,
//! and what it asked for tells how much work comes in, but its tasks and its text are
//! forgotten. Most jobs that are known are over, since they are kept for some minutes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;
use std::time::Duration;

use super::job::{FinishedJobRecord, Job, JobStatus, Outcome};
use super::spec::{JobKey, TaskId};
use super::stable_map::StableMap;
use super::workspace::Owner;
use super::workspace_usage::Reservation;
use crate::ids::ServiceId;

/// All jobs that are known. Callers name them, so they are kept in a tree.
#[derive(Debug, Default)]
pub struct Jobs {
    by_key: BTreeMap<JobKey, Job>,
    /// Jobs whose rounds have times of their own; some of them may have ended.
    timed: BTreeSet<JobKey>,
    /// Jobs with tasks that last, by service; likewise.
    lasting: StableMap<ServiceId, BTreeSet<JobKey>>,
    over: BTreeMap<JobKey, OverJob>,
    /// When jobs became over, in that order.
    over_since: VecDeque<(Duration, JobKey)>,
}

/// A job that has ended and runs nowhere.
#[derive(Clone, Debug, PartialEq)]
pub struct OverJob {
    /// How it ended.
    pub outcome: Outcome,
    /// What is on record of it.
    pub record: FinishedJobRecord,
}

impl Index<&JobKey> for Jobs {
    type Output = Job;

    fn index(&self, key: &JobKey) -> &Job {
        &self.by_key[key]
    }
}

impl Jobs {
    /// A job.
    pub fn get(&self, key: &JobKey) -> Option<&Job> {
        self.by_key.get(key)
    }

    /// A job, to change. Its end is noted by [`Jobs::note_ended`].
    pub fn get_mut(&mut self, key: &JobKey) -> Option<&mut Job> {
        self.by_key.get_mut(key)
    }

    /// Whether a job is known.
    pub fn contains_key(&self, key: &JobKey) -> bool {
        self.by_key.contains_key(key) || self.over.contains_key(key)
    }

    /// How many there are, those that are over apart.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether none is known but those that are over.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Whether a job is over.
    pub fn is_over(&self, key: &JobKey) -> bool {
        self.over.contains_key(key)
    }

    /// Jobs that are over.
    pub fn over(&self) -> impl Iterator<Item = &OverJob> {
        self.over.values()
    }

    /// What callers are told of a job.
    pub fn shown(&self, key: &JobKey) -> Option<JobStatus> {
        let over = || self.over.get(key).map(|over| JobStatus::Ended(over.outcome));
        self.by_key.get(key).map(Job::status).or_else(over)
    }

    /// What a task takes; at most that, if its job is over.
    pub fn held_by(&self, task: &TaskId) -> Option<Reservation> {
        let over = |over: &OverJob| {
            let (room, owner) = (over.record.max_task_resources, over.record.owner);
            Reservation { resources: room, charged: room, owner }
        };
        match self.by_key.get(&task.job) {
            Some(job) => job.step(task).map(|step| job.spec.reservation(step)),
            None => self.over.get(&task.job).map(over),
        }
    }

    /// Whose a job is.
    pub fn owner(&self, key: &JobKey) -> Option<Owner> {
        let over = || self.over.get(key).map(|over| over.record.owner);
        self.by_key.get(key).map(|j| j.spec.owner()).or_else(over)
    }

    /// All jobs but those that are over.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_key.values()
    }

    /// Adds a job.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        if job.outcome.is_none() {
            if job.spec.repeat.is_some() {
                self.timed.insert(key);
            }
            if job.spec.is_long_running() {
                self.lasting.entry(job.spec.service.clone()).or_default().insert(key);
            }
        }
        self.by_key.insert(key, job);
    }

    /// Notes that a job has ended.
    pub fn note_ended(&mut self, key: JobKey) {
        let Some(job) = self.by_key.get(&key) else { return };
        self.timed.remove(&key);
        if let Some(jobs) = self.lasting.get_mut(&job.spec.service) {
            jobs.remove(&key);
        }
    }

    /// Adds a job that is over, or takes its tasks and its text from one that is known.
    pub fn set_over(&mut self, key: JobKey, over: OverJob, since: Duration) {
        self.by_key.remove(&key);
        if self.over.insert(key, over).is_none() {
            self.over_since.push_back((since, key));
        }
    }

    /// Open jobs whose rounds have times of their own.
    pub fn timed(&self) -> Vec<JobKey> {
        self.timed.iter().copied().collect()
    }

    /// Open jobs of a service with tasks that last.
    pub fn lasting(&self, service: &str) -> impl Iterator<Item = &Job> {
        let keys = self.lasting.get(service).into_iter().flatten();
        keys.filter_map(|key| self.by_key.get(key))
    }

    /// Takes out jobs that were over before a time.
    pub fn forget_over(&mut self, before: Duration) -> Vec<(JobKey, OverJob)> {
        let mut forgotten = Vec::new();
        while let Some((_, key)) = self.over_since.front().copied().filter(|(at, _)| *at < before) {
            self.over_since.pop_front();
            forgotten.extend(self.over.remove(&key).map(|over| (key, over)));
        }
        forgotten
    }
}
