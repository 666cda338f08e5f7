//! What follows from the crashes of workers under a task.
//!
//! * It is *suspected*, and tried alone, for possible crashes too.
//! * It is *given up* on proof only: crashes that are certain to have come under runs that had started.
//! * The restarts of a long-running task are *paced* when many crashes are counted without a proof.
//! * It is *taken back* and started again when crashes are taken back and no proof is left, or when an earlier
//!   lease holder has given it up without a proof.

use std::time::Duration;

use super::crash_attribution::{RunRole, Suspicion};
use super::crash_log::{Grounds, ReinstatedFor, log_given_up, log_paced, log_reinstated};
use super::job::{Job, Outcome, Task, WorkerId};
use super::restart_deadline::Safeguard;
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

impl Loss {
    /// Whether the run was lost during a trial and is known to have started.
    fn is_on_trial(&self) -> bool {
        self.role == RunRole::OnTrial && self.run_time.is_some()
    }
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
        let (count, certain) = (task.crashes.count(), task.crashes.certain_count());
        let score = task.crashes.score(rate);
        let exhausted = task.crashes.exhausts_retries(policy, rate, long_running);
        let proved = loss.is_on_trial() && task.crashes.is_proving(loss.attempt);
        let proved = proved && task.crashes.is_proof(threshold, rate);
        let to_give_up = proved || exhausted && task.crashes.allows_giving_up(long_running);
        if loss.is_first_suspect && loss.same_role == 1 && to_give_up {
            self.give_up_task(&loss.worker, &loss.task, score, threshold);
            return;
        }
        let suspicious = score - shared_score(long_running, loss.same_role) >= policy.suspicion_threshold;
        let many = task.crashes.are_suspiciously_many(policy, rate, long_running);
        if loss.explains && suspicious || many || exhausted {
            suspect(task, loss.run_time, self.now);
            let paced = exhausted && long_running;
            set_paced(task, paced);
            if paced {
                let grounds = Grounds { worker: &loss.worker, history: &task.crashes, score, threshold };
                let wait = Safeguard::RestartPacing.longest_wait();
                log_paced(&mut self.notes, &mut self.counters, &loss.task, wait, &grounds);
            }
            self.notes.push(format_args!(
                "event=task_suspected worker={} task={} attempt={} part={:?} crashes={count} \
                 suspicion={score:.1} crashes_per_s={rate:.4} certain={certain}",
                loss.worker, loss.task, loss.attempt, loss.role
            ));
            self.queue_task(&loss.task);
        }
    }

    /// Judges a task anew after a crash was taken back. One that was given up and has no proof against
    /// it any more is started again.
    pub fn reconsider_task(&mut self, id: &TaskId) {
        let rate = self.background_crash_rate(id);
        let policy = &self.policy.crashes;
        let threshold = policy.give_up_threshold_after(self.crash_rate.recently_given_up(self.now));
        let Some(job) = self.jobs.get_mut(&id.job).filter(|job| job.is_open()) else { return };
        let long_running = job.step(id).is_some_and(|s| s.long_running);
        let Some(task) = job.task_mut(id).filter(|task| !task.done) else { return };
        self.dirty_jobs.insert(id.job);
        let exhausted = task.crashes.exhausts_retries(policy, rate, long_running);
        let many = task.crashes.are_suspiciously_many(policy, rate, long_running);
        if !many && !exhausted && task.crashes.score(rate) < policy.suspicion_threshold {
            task.suspicion = None;
        }
        set_paced(task, exhausted && long_running);
        let proved = exhausted && task.crashes.allows_giving_up(long_running)
            || task.crashes.is_proof(threshold, rate);
        if task.given_up && !proved {
            self.take_back_task(id);
        }
    }

    /// Starts a task again that was given up.
    fn take_back_task(&mut self, id: &TaskId) {
        let Some(task) = self.jobs.get_mut(&id.job).and_then(|job| job.task_mut(id)) else { return };
        let absent_for = self.absent_tasks.absent_since(id).map(|since| self.now.saturating_sub(since));
        let why = (ReinstatedFor::Withdrawal, absent_for);
        log_reinstated(&mut self.notes, &mut self.counters, id, why, &task.crashes);
        task.given_up = false;
        self.crash_rate.withdraw_given_up(id);
        self.queue_task(id);
    }

    /// Reviews what earlier lease holders concluded of the tasks of a job. A task that was given up and has no
    /// proof on record is started again.
    pub(super) fn review_inherited(&mut self, job: &mut Job) {
        if !job.is_open() {
            return;
        }
        for id in job.task_ids() {
            let long_running = job.step(&id).is_some_and(|s| s.long_running);
            let Some(task) = job.task_mut(&id).filter(|t| t.given_up || !t.crashes.is_empty()) else {
                continue;
            };
            let rate = self.background_crash_rate(&id);
            if task.crashes.exhausts_retries(&self.policy.crashes, rate, long_running) {
                suspect(task, None, self.now);
                set_paced(task, long_running);
            }
            if task.given_up && !task.crashes.allows_giving_up(long_running) {
                let why = (ReinstatedFor::UnprovenRecord, None);
                log_reinstated(&mut self.notes, &mut self.counters, &id, why, &task.crashes);
                task.given_up = false;
            }
        }
    }

    /// Whether a task waits because its restarts are paced.
    pub(super) fn is_held_by_pacing(&self, id: &TaskId) -> bool {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        task.is_some_and(Task::is_paced) && !self.gives_way(Safeguard::RestartPacing, id)
    }

    /// Gives a task up. A long-running job goes on without it: its other tasks serve users, and
    /// stopping all of them at once would break its availability budget. It goes on without any task too, so
    /// that each of them can be taken back.
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
        self.dirty_jobs.insert(task.job);
        self.dequeue(task);
    }
}

/// Marks a task as suspected; `run_time` is how long the lost run had lasted.
pub(super) fn suspect(task: &mut Task, run_time: Option<Duration>, now: Duration) {
    let longest = task.suspicion.and_then(|s| s.run_time).max(run_time);
    let paced = task.is_paced();
    task.suspicion = Some(Suspicion { suspected_at: now, run_time: longest, paced });
}

/// Sets whether the restarts of a suspected task are paced.
fn set_paced(task: &mut Task, paced: bool) {
    if let Some(s) = &mut task.suspicion {
        s.paced = paced;
    }
}

/// What a crash that several runs explain equally well counts less for each of them. A long-running task
/// must be at work, so it only waits for a trial for evidence of its own.
pub(super) fn shared_score(long_running: bool, alike: usize) -> f64 {
    if long_running { (alike.max(1) as f64).ln() } else { 0.0 }
}
