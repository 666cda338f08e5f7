//! Throttling of best-effort tasks that share a worker with tasks that have a latency target.
//!
//! Best-effort tasks slow their neighbours down, by an amount that shows only in the latency that
//! the worker reports. They are throttled quickly when a latency comes near its target, and sped up
//! step by step when all latencies are far below theirs.

use super::job::{FULL_PACE_PERCENT, Phase, Run, WorkerId};
use super::policy::PacePolicy;
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;

impl Scheduler {
    /// Sets the pace of the best-effort tasks of a worker after a report.
    pub(super) fn pace_best_effort_tasks(&mut self, id: &WorkerId) {
        let Some(w) = self.workers.get(id) else { return };
        if w.best_effort.is_empty() {
            return;
        }
        let load = w.serving.iter().filter_map(|t| self.latency_load(id, t)).fold(0.0, f64::max);
        let best_effort: Vec<TaskId> = w.best_effort.iter().copied().collect();
        for task in best_effort {
            let Some(t) = self.jobs.get_mut(&task.job).and_then(|j| j.task_mut(&task)) else { continue };
            let running = |r: &&mut Run| r.worker == *id && r.phase == Phase::Running;
            let Some(run) = t.runs.iter_mut().find(running) else { continue };
            let pace = next_pace(run.pace_percent, load, &self.policy.pace);
            if pace != run.pace_percent {
                run.pace_percent = pace;
                let attempt = run.attempt;
                self.notes.push(format_args!(
                    "event=pace worker={id} task={task} attempt={attempt} pace={pace} load={load:.2}"
                ));
                self.actions.push(Action::SetPace { worker: id.clone(), task, attempt, percent: pace });
            }
        }
    }

    /// Reported latency of a task as a fraction of its target.
    fn latency_load(&self, id: &WorkerId, task: &TaskId) -> Option<f64> {
        let job = self.jobs.get(&task.job)?;
        let target = job.step(task)?.latency_target?.as_millis().max(1) as f64;
        let run = job.task(task)?.runs.iter().find(|r| r.worker == *id && r.is_warmed_up())?;
        Some(run.load_metric as f64 / target)
    }
}

/// The next pace of a best-effort task, in percent, from the highest latency load among its
/// neighbours.
fn next_pace(pace: u32, load: f64, policy: &PacePolicy) -> u32 {
    if load > 1.0 {
        let reduced = pace / 3;
        return if reduced < policy.min_percent { 0 } else { reduced };
    }
    if load > policy.slow_down_above {
        let reduced = pace * 2 / 3;
        return if reduced < policy.min_percent { 0 } else { reduced };
    }
    if load < policy.speed_up_below { (pace + policy.step_percent).min(FULL_PACE_PERCENT) } else { pace }
}
