//! Jobs of a second owner under the numbers of other jobs.
//!
//! The world and its oracle know such a job under a key of its own, and its tasks likewise. Workers, the store and the
//! scheduler know the number alone.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::StateSlot;
use workswood_core::jobs::restored_jobs::{RestoredJobs, join_states};
use workswood_core::jobs::{Event, JobKey, JobRecord, JobSpec, Owner, TaskId};

use super::World;

/// Workspace of the second owner.
const WORKSPACE: &str = "second";
/// Bit of the keys of the second owner's jobs.
const SECOND: JobKey = 1 << 63;

/// The key under which the world knows the second owner's job of a number.
pub fn second_key(number: JobKey) -> JobKey {
    number | SECOND
}

/// The number of a job by its key.
pub(super) fn number_of(key: JobKey) -> JobKey {
    key & !SECOND
}

/// A job as one of the second owner.
pub(super) fn second_spec(spec: JobSpec) -> JobSpec {
    JobSpec { workspace: Some(WORKSPACE.to_string()), ..spec }
}

/// The key of the job of a number and owner.
pub(super) fn key_of(number: JobKey, owner: Owner) -> JobKey {
    if owner == Owner::of_workspace(Some(WORKSPACE)) { second_key(number) } else { number }
}

/// States of jobs as they are stored.
#[derive(Default)]
pub(super) struct StoredJobs(BTreeMap<(JobKey, Option<Owner>), JobRecord>);

impl StoredJobs {
    pub(super) fn insert(&mut self, key: JobKey, rec: &JobRecord) {
        let owner = rec.owner().filter(|_| rec.slot == StateSlot::NumberAndOwner);
        self.0.insert((key, owner), rec.clone());
    }
}

/// Whose attempts were ordered.
#[derive(Default)]
pub(super) struct Attempts(BTreeMap<(TaskId, u32), JobKey>);

impl World {
    /// Submits a job of the second owner under a number.
    pub fn submit_second(&mut self, number: JobKey, spec: JobSpec) {
        self.enqueue_submission(second_key(number), Arc::new(second_spec(spec)));
    }

    /// Has the holders read a submission.
    pub(super) fn enqueue_submission(&mut self, key: JobKey, spec: Arc<JobSpec>) {
        self.enqueue_submission_after(Duration::ZERO, key, spec);
    }

    /// Stores a submission, which the holders read after a delay.
    pub(super) fn enqueue_submission_after(&mut self, delay: Duration, key: JobKey, spec: Arc<JobSpec>) {
        self.jobs.insert(key, spec.clone());
        self.trimmed.remove(&key);
        let (at, number) = (self.now + delay, number_of(key));
        self.holders.iter_mut().for_each(|h| h.enqueue_event(at, Event::Submitted(number, spec.clone())));
    }

    /// The jobs as a new holder reads them.
    pub(super) fn read_jobs(&self) -> RestoredJobs {
        let submitted = self.jobs.iter().filter(|(key, _)| !self.trimmed.contains(key));
        let submitted = submitted.map(|(key, spec)| (number_of(*key), spec.clone()));
        join_states(submitted, self.stored_jobs.0.iter().map(|((key, _), rec)| (*key, rec.clone())))
    }

    /// Notes whose attempt an order of a holder starts. No attempt is that of two jobs.
    pub(super) fn note_attempt(&mut self, n: usize, task: TaskId, attempt: u32) {
        let Some(owner) = self.holders[n].sched.jobs.owner(&task.job) else { return };
        let key = key_of(task.job, owner);
        let known = *self.attempts.0.entry((task, attempt)).or_insert(key);
        if known != key {
            self.seen
                .violations
                .push(format!("MIXED: {task} attempt {attempt} of two jobs at {:?}", self.now));
        }
    }

    /// The task as the oracle knows it.
    pub(super) fn task_of_attempt(&self, task: TaskId, attempt: u32) -> TaskId {
        let job = self.attempts.0.get(&(task, attempt)).copied().unwrap_or(task.job);
        TaskId { job, ..task }
    }
}
