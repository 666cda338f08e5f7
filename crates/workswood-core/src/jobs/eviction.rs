//! Evictions: stops of long-running tasks by the scheduler, within their availability budget.
//!
//! A worker lists a task until it has stopped. So an eviction is recorded before the stop is sent:
//! otherwise a new lease holder would count a task that its predecessor has just stopped as
//! available, and would evict others beyond the budget.

use std::time::Duration;

use super::job::{Outcome, Phase, Run, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;

impl Scheduler {
    /// Evicts long-running tasks from draining workers. The budget does not apply, since such a
    /// worker ends in any case.
    pub(super) fn evict_from_draining(&mut self) {
        let draining = self.workers.draining();
        let draining = draining.filter(|(_, w)| w.reachable && w.listed && !w.runs.is_empty());
        let draining: Vec<WorkerId> = draining.map(|(id, _)| id.clone()).collect();
        for id in draining {
            for (task, attempt) in self.runs_of_long_running_tasks(&id) {
                self.evict(&id, &task, attempt, "worker_leaving");
            }
        }
    }

    /// Runs of long-running tasks on a worker, sorted.
    pub(super) fn runs_of_long_running_tasks(&self, id: &WorkerId) -> Vec<(TaskId, u32)> {
        let Some(w) = self.workers.get(id) else { return Vec::new() };
        let long_running = |task: &TaskId| {
            let step = self.jobs.get(&task.job).and_then(|j| j.step(task));
            step.is_some_and(|s| s.long_running)
        };
        let mut runs: Vec<(TaskId, u32)> = w.runs.keys().filter(|(t, _)| long_running(t)).copied().collect();
        runs.sort();
        runs
    }

    /// Long-running tasks on a worker that have not been evicted yet.
    pub(super) fn tasks_to_evict(&self, id: &WorkerId) -> Vec<TaskId> {
        let is_evicted = |task: &TaskId, attempt: u32| {
            let runs = self.jobs.get(&task.job).and_then(|j| j.task(task)).map(|t| t.runs.as_slice());
            let run = runs.unwrap_or_default().iter().find(|r| r.worker == *id && r.attempt == attempt);
            run.is_none_or(|r| r.evicted || r.phase == Phase::Stopping)
        };
        let runs = self.runs_of_long_running_tasks(id).into_iter();
        runs.filter(|(task, attempt)| !is_evicted(task, *attempt)).map(|(task, _)| task).collect()
    }

    /// Whether evicting this task keeps the availability budget of its step.
    pub(super) fn eviction_keeps_budget(&self, id: &TaskId) -> bool {
        self.evictions_allowed(id).is_none_or(|room| room > 0)
    }

    /// How many tasks of this task's step may be evicted now, this one included; `None` if no budget
    /// applies.
    pub(super) fn evictions_allowed(&self, id: &TaskId) -> Option<u32> {
        let job = self.jobs.get(&id.job)?;
        if job.cancelled || job.outcome.is_some_and(|o| o != Outcome::Failed) {
            return None;
        }
        let step = job.step(id)?;
        let missing = job.other_tasks_not_running(id, |run| self.counts_as_available(run));
        Some(step.max_unavailable.saturating_sub(missing))
    }

    /// Whether a task goes on although its job has ended. Running tasks of a long-running step
    /// still serve users after the scheduler has failed their job. They are stopped within the
    /// budget, and the rest once the caller cancels the job.
    pub(super) fn outlives_job(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        if job.cancelled || job.outcome != Some(Outcome::Failed) {
            return false;
        }
        let long_running = job.step(id).is_some_and(|s| s.long_running);
        let is_warm = || job.task(id).is_some_and(|t| t.runs.iter().any(Run::is_warmed_up));
        long_running && is_warm() && !self.eviction_keeps_budget(id)
    }

    /// Whether a run counts as available for the budget: its worker reported it recently as warm,
    /// and it is not being evicted.
    fn counts_as_available(&self, run: &Run) -> bool {
        let Some(w) = self.workers.get(&run.worker) else { return false };
        let heard = w.relay.as_ref().map_or(Duration::ZERO, |r| self.relays.last_heard(r));
        let recently_confirmed = self.now <= heard + self.policy.health.report_valid_for;
        run.is_warmed_up() && !run.evicted && w.reachable && !w.poll_overdue && recently_confirmed
    }

    /// Evicts long-running tasks of a worker as far as their budgets allow; returns how many were
    /// running there.
    pub(super) fn evict_within_budget(&mut self, id: &WorkerId) -> usize {
        let runs = self.runs_of_long_running_tasks(id);
        for (task, attempt) in &runs {
            if self.eviction_keeps_budget(task) {
                self.evict(id, task, *attempt, "maintenance");
            }
        }
        runs.len()
    }

    /// Stops runs again that a predecessor evicted and that their workers still list, since the
    /// first stop may not have been sent. Until the budget allows the stop, they count as unavailable.
    pub(super) fn evict_inherited(&mut self) {
        for (id, task, attempt) in std::mem::take(&mut self.inherited_evictions) {
            let runs = self.run_mut(&id, &task, attempt).is_some_and(|r| r.phase == Phase::Running);
            if !runs {
                continue;
            }
            if self.eviction_keeps_budget(&task) {
                self.evict(&id, &task, attempt, "by_predecessor");
            } else {
                self.inherited_evictions.insert((id, task, attempt));
            }
        }
    }

    fn evict(&mut self, id: &WorkerId, task: &TaskId, attempt: u32, reason: &str) {
        let now = self.now;
        let Some(t) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else { return };
        let Some(run) = t.runs.iter_mut().find(|r| r.worker == *id && r.attempt == attempt) else { return };
        if run.phase != Phase::Running {
            return;
        }
        let already_recorded = std::mem::replace(&mut run.evicted, true);
        run.set_phase(Phase::Stopping, now);
        if !already_recorded {
            self.dirty_jobs.insert(task.job);
        }
        self.notes.push(format_args!(
            "event=task_evicted worker={id} task={task} attempt={attempt} reason={reason}"
        ));
        self.actions.push(Action::Stop(id.clone(), *task, attempt));
    }
}
