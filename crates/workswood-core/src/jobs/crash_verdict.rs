//! What follows from the crashes of workers under a task: it is suspected, or given up.

use std::time::Duration;

use super::crash_attribution::{RunRole, Suspicion};
use super::crash_log::{Grounds, log_given_up};
use super::job::{Outcome, Task, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;

/// A run that was lost in a crash and is on record, with what its task is judged by.
#[derive(Clone, Debug)]
pub(super) struct Loss {
    pub(super) worker: WorkerId,
    pub(super) task: TaskId,
    pub(super) attempt: u32,
    pub(super) role: RunRole,
    /// How long the run was known to be there; `None` if it may never have started.
    pub(super) run_time: Option<Duration>,
    /// Whether no other run on the worker is more suspicious.
    pub(super) is_first_suspect: bool,
    /// Whether the run may have caused the crash.
    pub(super) explains: bool,
    /// Number of lost runs with the most suspicious role.
    pub(super) same_role: usize,
}

impl Scheduler {
    /// Judges a task after the loss of a run.
    pub(super) fn judge_task(&mut self, loss: &Loss) {
        let rate = self.background_crash_rate(&loss.task);
        let policy = &self.policy.crashes;
        let threshold = policy.give_up_threshold_after(self.crash_rate.recently_given_up(self.now));
        let Some(job) = self.jobs.get_mut(&loss.task.job) else { return };
        let long_running = job.step(&loss.task).is_some_and(|s| s.long_running);
        let Some(task) = job.task_mut(&loss.task) else { return };
        let count = task.crashes.count();
        let score = task.crashes.score(rate);
        let on_trial = loss.role == RunRole::OnTrial && loss.run_time.is_some();
        let proved = on_trial && task.crashes.is_proof(threshold, rate);
        let exhausted = task.crashes.exhausts_retries(policy, rate, long_running);
        if loss.is_first_suspect && loss.same_role == 1 && (proved || exhausted) {
            self.give_up_task(&loss.worker, &loss.task, score, threshold);
            return;
        }
        let suspicious = score - shared_score(long_running, loss.same_role) >= policy.suspicion_threshold;
        if loss.explains && suspicious || task.crashes.are_suspiciously_many(policy, rate, long_running) {
            suspect(task, loss.run_time, self.now);
            self.notes.push(format_args!(
                "event=task_suspected worker={} task={} attempt={} part={:?} crashes={count} \
                 suspicion={score:.1} crashes_per_s={rate:.4} certain={}",
                loss.worker,
                loss.task,
                loss.attempt,
                loss.role,
                task.crashes.certain_count()
            ));
            self.queue_task(&loss.task);
        }
    }

    /// Gives a task up. A long-running job goes on without it: its other tasks serve users, and
    /// stopping all of them at once would break its availability budget.
    fn give_up_task(&mut self, id: &WorkerId, task: &TaskId, score: f64, threshold: f64) {
        let Some(history) = self.jobs.get(&task.job).and_then(|job| job.task(task)).map(|t| &t.crashes)
        else {
            return;
        };
        let grounds = Grounds { worker: id, history, score, threshold };
        log_given_up(&mut self.notes, &mut self.counters, task, &grounds);
        self.crash_rate.record_given_up(task, self.now);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        if !job.step(task).is_some_and(|s| s.long_running) {
            self.end_job(task.job, Outcome::Failed);
            return;
        }
        if let Some(t) = job.task_mut(task) {
            t.given_up = true;
        }
        let is_over = job.all_done_or_given_up();
        self.dirty_jobs.insert(task.job);
        self.dequeue(task);
        if is_over {
            self.end_job(task.job, Outcome::Failed);
        }
    }
}

/// Marks a task as suspected; `run_time` is how long the lost run had lasted.
pub(super) fn suspect(task: &mut Task, run_time: Option<Duration>, now: Duration) {
    let longest = task.suspicion.and_then(|s| s.run_time).max(run_time);
    task.suspicion = Some(Suspicion { suspected_at: now, run_time: longest });
}

/// What a crash that several runs explain equally well counts less for each of them. A long-running task
/// must be at work, so it only waits for a trial for evidence of its own.
pub(super) fn shared_score(long_running: bool, alike: usize) -> f64 {
    if long_running { (alike.max(1) as f64).ln() } else { 0.0 }
}
