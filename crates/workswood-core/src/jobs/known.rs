//! All jobs that are known, with those that time alone concerns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;
use std::time::Duration;

use super::job::Job;
use super::map::Map;
use super::spec::JobKey;
use crate::ids::ServiceId;

/// All jobs that are known. Callers name them, so they are kept in a tree.
#[derive(Debug, Default)]
pub struct Jobs {
    by_key: BTreeMap<JobKey, Job>,
    /// Jobs whose rounds have times of their own; some of them may have ended.
    timed: BTreeSet<JobKey>,
    /// Jobs with tasks that last, by service; likewise.
    lasting: Map<ServiceId, BTreeSet<JobKey>>,
    /// Jobs that have ended, and when, in the order of their ends.
    ended: VecDeque<(Duration, JobKey)>,
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
        self.by_key.contains_key(key)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// All jobs.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_key.values()
    }

    /// Adds a job.
    pub fn insert(&mut self, job: Job) {
        let key = job.key;
        if job.outcome.is_some() {
            self.ended.push_back((job.ended, key));
        } else {
            if job.spec.repeat.is_some() {
                self.timed.insert(key);
            }
            if job.spec.lasts() {
                self.lasting.entry(job.spec.service.clone()).or_default().insert(key);
            }
        }
        self.by_key.insert(key, job);
    }

    /// Notes that a job has ended.
    pub fn note_ended(&mut self, key: JobKey) {
        let Some(job) = self.by_key.get(&key) else { return };
        self.ended.push_back((job.ended, key));
        self.timed.remove(&key);
        if let Some(jobs) = self.lasting.get_mut(&job.spec.service) {
            jobs.remove(&key);
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

    /// Takes out jobs that ended before a time and run nowhere.
    pub fn forget_ended(&mut self, before: Duration) -> Vec<Job> {
        let mut forgotten = Vec::new();
        let mut busy = Vec::new();
        while let Some((_, key)) = self.ended.front().copied().filter(|(at, _)| *at < before) {
            self.ended.pop_front();
            match self.by_key.get(&key) {
                Some(job) if job.at_rest() => forgotten.extend(self.by_key.remove(&key)),
                Some(job) => busy.push((job.ended, key)),
                None => {}
            }
        }
        busy.into_iter().rev().for_each(|b| self.ended.push_front(b));
        forgotten
    }
}
