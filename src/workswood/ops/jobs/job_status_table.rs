//! The status of each job, as callers may see it.

use std::collections::{BTreeMap, HashMap};

use workswood_core::jobs::spec::QueueId;
use workswood_core::jobs::{JobKey, JobStatus, JobStatusUpdate, Owner};

/// The status of each job, as callers may see it, and the number of queued jobs of each queue.
#[derive(Debug, Default)]
pub struct JobStatusTable {
    by_job: BTreeMap<(JobKey, Owner), JobStatusUpdate>,
    /// Per queue, the number of jobs that have not started, without jobs that repeat on a schedule.
    queued: HashMap<QueueId, u64>,
}

/// Whether a job counts as queued.
fn is_counted(update: &JobStatusUpdate) -> bool {
    update.state == Some(JobStatus::Queued) && !update.repeats
}

impl JobStatusTable {
    /// The status of a job, if it is known and belongs to the requester. Without a requester, that of any job of
    /// the number.
    pub fn status(&self, job: JobKey, requester: Option<Owner>) -> Option<JobStatus> {
        match requester {
            Some(owner) => self.by_job.get(&(job, owner))?.state,
            None => self.by_job.range((job, Owner::PUBLIC)..=(job, Owner::LAST)).next()?.1.state,
        }
    }

    /// Number of jobs of a queue that have not started, without jobs that repeat on a schedule.
    pub fn queued_jobs(&self, queue: &str) -> u64 {
        self.queued.get(queue).copied().unwrap_or(0)
    }

    /// Applies an update. An update without a status removes the job.
    pub fn update(&mut self, update: JobStatusUpdate) {
        if is_counted(&update) {
            *self.queued.entry(update.queue.clone()).or_default() += 1;
        }
        let previous = match update.state {
            Some(_) => self.by_job.insert((update.key, update.owner), update),
            None => self.by_job.remove(&(update.key, update.owner)),
        };
        if let Some(previous) = previous.filter(is_counted)
            && let Some(n) = self.queued.get_mut(&previous.queue)
        {
            *n -= 1;
        }
    }
}
