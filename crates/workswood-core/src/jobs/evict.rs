//! Ending lasting tasks by our own order, within their availability budget.
//!
//! A worker lists a task until it has stopped. So an eviction is on record
//! before its stop is sent: a new holder would otherwise count a task that its
//! predecessor has just stopped as at work, and evict others beyond the budget.

use std::time::Duration;

use super::job::{Outcome, Phase, Run, WorkerId};
use super::sched::Scheduler;
use super::spec::TaskId;
use super::types::Action;

impl Scheduler {
    /// Moves lasting tasks off workers that are leaving. Such a worker ends
    /// in any case, so the budget does not bind here.
    pub(super) fn evict_leaving(&mut self) {
        let leaving = self.workers.leaving();
        let leaving = leaving.filter(|(_, w)| w.reachable && w.listed && !w.runs.is_empty());
        let leaving: Vec<WorkerId> = leaving.map(|(id, _)| id.clone()).collect();
        for id in leaving {
            for (task, attempt) in self.lasting_runs(&id) {
                self.evict(&id, &task, attempt, "worker_leaving");
            }
        }
    }

    /// Lasting tasks that run on a worker.
    pub(super) fn lasting_runs(&self, id: &WorkerId) -> Vec<(TaskId, u32)> {
        let Some(w) = self.workers.get(id) else { return Vec::new() };
        let lasting = |task: &TaskId| {
            let step = self.jobs.get(&task.job).and_then(|j| j.step(task));
            step.is_some_and(|s| s.long_running)
        };
        let mut runs: Vec<(TaskId, u32)> = w.runs.keys().filter(|(t, _)| lasting(t)).copied().collect();
        runs.sort();
        runs
    }

    /// Whether ending this task keeps the availability budget of its step.
    pub(super) fn may_evict(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return true };
        if job.cancelled || job.outcome.is_some_and(|o| o != Outcome::Failed) {
            return true;
        }
        let Some(step) = job.step(id) else { return true };
        job.other_tasks_not_running(id, |run| self.is_at_work(run)) < step.max_unavailable
    }

    /// Whether a task goes on although its job has ended: one that we have ended ourselves still
    /// serves its users, so what is at work of it is ended within the budget only, and the rest
    /// once the caller cancels it. A job of four lasting tasks that was ended while one was away, and
    /// one more might be, had the three others stopped at once.
    pub(super) fn outlives_job(&self, id: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&id.job) else { return false };
        if job.cancelled || job.outcome != Some(Outcome::Failed) {
            return false;
        }
        let lasting = job.step(id).is_some_and(|s| s.long_running);
        let at_work = || job.task(id).is_some_and(|t| t.runs.iter().any(Run::is_warmed_up));
        lasting && at_work() && !self.may_evict(id)
    }

    /// Whether a run counts as at work for the availability budget: its worker
    /// said so lately, and it is not about to end by our order.
    fn is_at_work(&self, run: &Run) -> bool {
        let Some(w) = self.workers.get(&run.worker) else { return false };
        let heard = w.relay.as_ref().map_or(Duration::ZERO, |r| self.relays.heard(r));
        let believed = self.now <= heard + self.policy.health.believed_for;
        run.is_warmed_up() && !run.evicted && w.reachable && !w.doubted && believed
    }

    /// Evicts lasting tasks of a worker as far as their budgets allow;
    /// returns how many still stand there.
    pub(super) fn evict_within_budget(&mut self, id: &WorkerId) -> usize {
        let runs = self.lasting_runs(id);
        for (task, attempt) in &runs {
            if self.may_evict(task) {
                self.evict(id, task, *attempt, "maintenance");
            }
        }
        runs.len()
    }

    /// Stops runs again that a predecessor evicted and their workers still list: the
    /// first stop may not have been sent. Until the budget allows that, they count as
    /// away.
    pub(super) fn evict_inherited(&mut self) {
        for (id, task, attempt) in std::mem::take(&mut self.inherited_evictions) {
            let runs = self.run_mut(&id, &task, attempt).is_some_and(|r| r.phase == Phase::Running);
            if !runs {
                continue;
            }
            if self.may_evict(&task) {
                self.evict(&id, &task, attempt, "by_predecessor");
            } else {
                self.inherited_evictions.insert((id, task, attempt));
            }
        }
    }

    fn evict(&mut self, id: &WorkerId, task: &TaskId, attempt: u32, why: &str) {
        let now = self.now;
        let Some(t) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(task)) else { return };
        let Some(run) = t.runs.iter_mut().find(|r| r.worker == *id && r.attempt == attempt) else { return };
        if run.phase != Phase::Running {
            return;
        }
        let recorded = std::mem::replace(&mut run.evicted, true);
        run.set_phase(Phase::Stopping, now);
        if !recorded {
            self.dirty.insert(task.job);
        }
        self.notes
            .push(format_args!("event=task_evicted worker={id} task={task} attempt={attempt} reason={why}"));
        self.actions.push(Action::Stop(id.clone(), *task, attempt));
    }
}
