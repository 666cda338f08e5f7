//! The status of each job, as callers may see it.

use std::collections::{BTreeMap, HashMap};

use workswood_core::jobs::spec::QueueId;
use workswood_core::jobs::{JobKey, JobNumber, JobStatus, JobStatusUpdate, QueueTag};

/// The queue that a job counts for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum CountedQueue {
    /// The one at this address, whatever its name is.
    Address(QueueTag),
    /// The one of this name: the job was accepted by an entry of an earlier version, which didn't tell the address.
    Name(QueueId),
}

impl CountedQueue {
    fn of(update: &JobStatusUpdate) -> CountedQueue {
        match update.key.owner.queue {
            QueueTag::UNKNOWN => CountedQueue::Name(update.queue.clone()),
            tag => CountedQueue::Address(tag),
        }
    }
}

/// The status of each job, as callers may see it, and the number of queued jobs of each queue.
#[derive(Debug, Default)]
pub struct JobStatusTable {
    by_job: BTreeMap<JobKey, JobStatusUpdate>,
    /// Per queue, the number of jobs that have not started, without jobs that repeat on a schedule.
    queued: HashMap<CountedQueue, u64>,
}

/// Whether a job counts as queued.
fn is_counted(update: &JobStatusUpdate) -> bool {
    update.state == Some(JobStatus::Queued) && !update.repeats
}

impl JobStatusTable {
    /// The status of a job of a queue, if it is known. An entry of an earlier version may have accepted it, which didn't tell
    /// the address of the queue, or ask for it without a queue.
    pub fn status(&self, job: JobKey, queue: Option<&str>) -> Option<JobStatus> {
        if let Some(update) = self.by_job.get(&job) {
            return update.state;
        }
        let of_workspace = self.by_job.range(JobKey::all_of_workspace(job.number, job.owner.workspace));
        let mut told_otherwise = of_workspace.filter(|(key, _)| key.has_queue() != job.has_queue());
        let is_same = |update: &JobStatusUpdate| queue.is_none_or(|queue| update.queue == queue);
        told_otherwise.find(|(_, update)| is_same(update)).and_then(|(_, update)| update.state)
    }

    /// The status of any job of a number whose tasks run on the workers of a service; of any service if that is empty.
    pub fn status_on_service(&self, number: JobNumber, service: &str) -> Option<JobStatus> {
        let of_number = self.by_job.range(JobKey::all_of(number)).map(|(_, update)| update);
        let mut on_service = of_number.filter(|update| service.is_empty() || update.service == service);
        on_service.next().and_then(|update| update.state)
    }

    /// Number of jobs of the queue at an address that have not started, without jobs that repeat on a schedule.
    pub fn queued_jobs(&self, tag: QueueTag, queue: &str) -> u64 {
        let count = |of: CountedQueue| self.queued.get(&of).copied().unwrap_or(0);
        let by_name = count(CountedQueue::Name(queue.to_string()));
        if tag.is_unknown() { by_name } else { by_name + count(CountedQueue::Address(tag)) }
    }

    /// Applies an update. An update without a status removes the job.
    pub fn update(&mut self, update: JobStatusUpdate) {
        if is_counted(&update) {
            *self.queued.entry(CountedQueue::of(&update)).or_default() += 1;
        }
        let previous = match update.state {
            Some(_) => self.by_job.insert(update.key, update),
            None => self.by_job.remove(&update.key),
        };
        if let Some(previous) = previous.filter(is_counted)
            && let Some(n) = self.queued.get_mut(&CountedQueue::of(&previous))
        {
            *n -= 1;
        }
    }
}
