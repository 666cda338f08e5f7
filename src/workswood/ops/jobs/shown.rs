//! What callers may be told of jobs.

use std::collections::HashMap;

use workswood_core::jobs::spec::QueueId;
use workswood_core::jobs::{JobKey, JobStatus, JobStatusUpdate, Owner};

/// What callers may be told of jobs, with what is asked of a whole queue.
#[derive(Debug, Default)]
pub struct ShownJobs {
    by_key: HashMap<JobKey, JobStatusUpdate>,
    /// Jobs that have not begun, by queue; those with times of their own apart.
    queued: HashMap<QueueId, u64>,
}

fn counts(s: &JobStatusUpdate) -> bool {
    s.state == Some(JobStatus::Queued) && !s.repeats
}

impl ShownJobs {
    /// The state of a job, if it is known and belongs to who asks; a process of a version
    /// before this one doesn't say who does.
    pub fn state(&self, job: JobKey, asks: Option<Owner>) -> Option<JobStatus> {
        let shown = self.by_key.get(&job)?;
        shown.state.filter(|_| asks.is_none_or(|owner| owner == shown.owner))
    }

    /// Jobs of a queue that have not begun.
    pub fn queued(&self, queue: &str) -> u64 {
        self.queued.get(queue).copied().unwrap_or(0)
    }

    /// Takes in what may be told of a job; nothing of one that is forgotten.
    pub fn show(&mut self, s: JobStatusUpdate) {
        if counts(&s) {
            *self.queued.entry(s.queue.clone()).or_default() += 1;
        }
        let before = match s.state {
            Some(_) => self.by_key.insert(s.key, s),
            None => self.by_key.remove(&s.key),
        };
        if let Some(before) = before.filter(counts)
            && let Some(n) = self.queued.get_mut(&before.queue)
        {
            *n -= 1;
        }
    }
}
