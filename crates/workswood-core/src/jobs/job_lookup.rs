//! Which job is meant where it is not named by its key: by the name of its queue, or by a worker.

use super::job::WorkerId;
use super::job_key::JobKey;
use super::scheduler::Scheduler;
use super::spec::{QueueId, TaskId};
use super::types::WorkerUpdate;

impl Scheduler {
    /// Whether a job is known that was submitted on this queue under this key, perhaps at an entry of an earlier version,
    /// which doesn't tell the address of the queue.
    pub(super) fn is_submitted(&self, key: &JobKey, queue: &QueueId) -> bool {
        self.jobs.contains(key) || self.namesakes.contains(key) || self.counterpart(key, queue).is_some()
    }

    /// The known job of a key. A key without a queue is that of the only job of its workspace and number.
    pub(super) fn known_key(&self, key: JobKey) -> Option<JobKey> {
        if self.jobs.contains(&key) || self.namesakes.contains(&key) {
            return Some(key);
        }
        if key.has_queue() {
            return self.counterpart(&key, &self.config.queue_of(key.owner.queue)?.name);
        }
        let mut known = self.known_of_workspace(&key).map(|(known, _)| known);
        match (known.next(), known.next()) {
            (Some(only), None) => Some(only),
            _ => None,
        }
    }

    /// The known job of the same workspace, number and queue if one of the two keys has no queue.
    fn counterpart(&self, key: &JobKey, queue: &QueueId) -> Option<JobKey> {
        let mut known = self.known_of_workspace(key);
        let is_same = |known: &JobKey, of: &QueueId| of == queue && known.has_queue() != key.has_queue();
        known.find(|(known, of)| is_same(known, of)).map(|(known, _)| known)
    }

    /// All known jobs of a key's workspace and number, with their queues.
    fn known_of_workspace(&self, key: &JobKey) -> impl Iterator<Item = (JobKey, &QueueId)> {
        let (number, workspace) = (key.number, key.owner.workspace);
        let waiting = self.namesakes.queues_of(number);
        let waiting = waiting.filter(move |(waiting, _)| waiting.owner.workspace == workspace);
        self.jobs.queues_of(JobKey::all_of_workspace(number, workspace)).chain(waiting)
    }

    /// Fills in whose jobs the tasks of an update on a worker are. Workers know the numbers of jobs alone.
    pub(super) fn resolve_jobs(&self, worker: &WorkerId, update: &mut WorkerUpdate) {
        let resolve = |task: &mut TaskId| task.job = self.job_on(worker, task);
        match update {
            WorkerUpdate::Reported(report) => {
                report.running.iter_mut().for_each(|run| resolve(&mut run.task));
                report.missing.iter_mut().for_each(|(task, _)| resolve(task));
                report.ended.iter_mut().for_each(|end| resolve(&mut end.task));
            }
            WorkerUpdate::Started(task, ..) | WorkerUpdate::Stopped(task, ..) => resolve(task),
            WorkerUpdate::ProbeLate
            | WorkerUpdate::Unanswered { .. }
            | WorkerUpdate::AwaitsOrder
            | WorkerUpdate::LeaseConfirmed(_)
            | WorkerUpdate::Deposed => {}
        }
    }

    /// The job of a task on a worker: that of the worker's service, or one that has a run there.
    fn job_on(&self, worker: &WorkerId, task: &TaskId) -> JobKey {
        let number = task.job.number;
        let info = self.workers.get(worker).and_then(|w| w.info.as_ref());
        let of_service = info.and_then(|info| self.jobs.on_service(number, &info.service));
        let found = of_service.or_else(|| self.jobs.with_run_on(number, worker));
        found.unwrap_or(JobKey::of_number(number))
    }
}
