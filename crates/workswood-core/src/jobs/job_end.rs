//! How jobs end: they are completed, fail or are cancelled, and what is left of them is stopped.

use super::job::{Job, Outcome, Phase, WorkerId};
use super::job_key::JobKey;
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;
use crate::code::Code;
use crate::invariant;

impl Scheduler {
    /// Cancels a job, or notes the cancellation until the job is known.
    pub(super) fn cancel(&mut self, key: JobKey) {
        let Some(key) = self.known_key(key) else {
            if self.jobs.queues_of(JobKey::all_of(key.number)).next().is_some() {
                self.notes
                    .push(format_args!("event=cancel_not_taken job={key:016x} reason=job_of_other_owner"));
            }
            self.early_cancels.insert(key);
            return;
        };
        if self.cancel_namesake(key) {
            return;
        }
        // A job that is archived is over.
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        if job.outcome.is_none() {
            self.end_job(key, Outcome::Canceled);
            return;
        }
        // Tasks that the availability budget kept running after the job failed are stopped now.
        let ids = job.task_ids();
        self.dirty_jobs.insert(key);
        ids.iter().for_each(|id| self.stop_runs(id));
    }

    /// Ends a job: nothing of it is started any more, and what runs is stopped.
    pub(super) fn end_job(&mut self, key: JobKey, outcome: Outcome) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        if job.outcome.is_some() {
            return;
        }
        if outcome == Outcome::Completed {
            let done = job.all_done();
            if !invariant::check(done, || format!("job {key:016x} completed with open tasks")) {
                return;
            }
        }
        job.outcome = Some(outcome);
        job.ended_at = self.now;
        self.notes.push(format_args!(
            "event=job_ended job={key:016x} outcome={outcome:?} age_ms={}",
            self.wall.saturating_sub(job.spec.accepted_at)
        ));
        self.jobs.note_ended(key);
        self.dirty_jobs.insert(key);
        self.drop_advice(key);
        self.second_runs.forget(key);
        self.sibling_times.forget(key);
        self.dequeue_job(key);
        let running = self.jobs.get(&key).map(Job::tasks_with_runs).unwrap_or_default();
        for id in running {
            if !self.outlives_job(&id) {
                self.stop_runs(&id);
            }
        }
    }

    /// Ends a job whose state the store does not take. Nothing that it has begun may go on without a record. A job that
    /// has ended already stays as it is: its caller is shown what was stored last.
    pub fn fail_unstorable(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else { return };
        let ended = job.outcome.is_some();
        job.published_status = None;
        self.notes.push(format_args!(
            "event=job_not_storable code={} job={key:016x} ended={ended}",
            Code::RecordTooLarge.number()
        ));
        self.end_job(key, Outcome::Failed);
    }

    /// Has ends of runs acknowledged with the next batch instead of the one that was to acknowledge them.
    pub fn acknowledge_later(&mut self, ends: Vec<(WorkerId, u64)>) {
        for (id, number) in ends {
            let last = self.acked_ends.entry(id).or_default();
            *last = (*last).max(number);
        }
    }

    /// Takes all tasks of a job out of the queue.
    fn dequeue_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(&key) else { return };
        let Some(waiting) = self.ready.get_mut(&job.spec.service) else { return };
        job.step_ids().for_each(|step| waiting.remove_step(&step));
    }

    /// Completes a job once all its tasks are done.
    pub(super) fn complete_if_done(&mut self, key: JobKey) {
        let done = self.jobs.get(&key).is_some_and(|j| j.is_open() && j.all_done());
        if done {
            self.end_job(key, Outcome::Completed);
        }
    }

    /// Stops the runs of a task.
    pub(super) fn stop_runs(&mut self, id: &TaskId) {
        let now = self.now;
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|j| j.task_mut(id)) else { return };
        for run in &mut task.runs {
            let order_stop = match run.phase {
                // What it becomes is known with the outcome of the start.
                Phase::Starting => run.recall_start(),
                Phase::Stopping | Phase::Stopped => false,
                Phase::Inherited | Phase::Running | Phase::Unanswered => {
                    run.set_phase(Phase::Stopping, now);
                    true
                }
            };
            if order_stop {
                self.actions.push(Action::Stop(run.worker.clone(), *id, run.attempt));
            }
        }
    }
}
