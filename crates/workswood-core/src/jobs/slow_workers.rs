//! Workers on which several runs take much longer than their siblings elsewhere get no new work for
//! a while.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::{Phase, Run, WorkerId};
use super::scheduler::Scheduler;
use super::spec::{StepSpec, TaskId};

/// Parameters for workers that are slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowWorkerPolicy {
    /// Whether slow workers are kept from new work.
    pub enabled: bool,
    /// A run is slow after this multiple of what its siblings took on average.
    pub slow_factor: f64,
    /// Number of slow runs from which on a worker is slow.
    pub slow_runs: usize,
    /// How long a slow worker gets no work after it was last found slow.
    #[serde(with = "humantime_serde")]
    pub shun_for: Duration,
}

impl Default for SlowWorkerPolicy {
    fn default() -> SlowWorkerPolicy {
        SlowWorkerPolicy {
            enabled: false,
            slow_factor: 2.5,
            slow_runs: 2,
            shun_for: Duration::from_millis(3000),
        }
    }
}

impl SlowWorkerPolicy {
    /// Checks the ranges of the parameters.
    pub fn check(&self) -> Result<(), String> {
        if !(1.0..=100.0).contains(&self.slow_factor) {
            return Err("`policy.slow_workers.slow_factor` must be from 1 to 100".to_string());
        }
        if self.slow_runs == 0 {
            return Err("`policy.slow_workers.slow_runs` must be at least 1".to_string());
        }
        if self.shun_for > Duration::from_secs(600) {
            return Err("`policy.slow_workers.shun_for` must be at most 10 minutes".to_string());
        }
        Ok(())
    }
}

impl Scheduler {
    /// Keeps new work away from workers that are slow now.
    pub(super) fn shun_slow_workers(&mut self) {
        if !self.policy.slow_workers.enabled {
            return;
        }
        let until = self.now + self.policy.slow_workers.shun_for;
        for (id, slow_runs) in self.slow_workers() {
            let shunned = self.workers.get(&id).is_some_and(|w| w.in_backoff(self.now));
            if !shunned && !self.may_back_off(&id) {
                continue;
            }
            if let Some(mut w) = self.workers.get_mut(&id) {
                w.backoff_until = w.backoff_until.max(until);
            }
            if !shunned {
                self.counters.workers_slow += 1;
                self.notes.push(format_args!("event=worker_slow worker={id} slow_runs={slow_runs}"));
            }
        }
    }

    /// Workers that are slow now, with their number of slow runs.
    fn slow_workers(&self) -> BTreeMap<WorkerId, usize> {
        let mut slow_runs: BTreeMap<WorkerId, usize> = BTreeMap::new();
        for (id, w) in self.workers.iter().filter(|(_, w)| w.reachable) {
            for (task, attempt) in w.runs.keys() {
                let Some(step) = self.jobs.get(&task.job).and_then(|j| j.step(task)) else { continue };
                let Some(run) = self.run(id, task, *attempt) else { continue };
                if self.is_slow(task, step, run) {
                    *slow_runs.entry(id.clone()).or_default() += 1;
                }
            }
        }
        slow_runs.retain(|_, runs| *runs >= self.policy.slow_workers.slow_runs);
        slow_runs
    }

    /// Whether a run takes much longer than its siblings did. Best-effort tasks are throttled, and
    /// the members of a gang wait for each other.
    fn is_slow(&self, task: &TaskId, step: &StepSpec, run: &Run) -> bool {
        let comparable = run.phase == Phase::Running && !step.long_running && !step.gang && !step.best_effort;
        let Some(placed_at) = run.placed_at.filter(|_| comparable) else { return false };
        let usual = self.sibling_times.average(&task.step_id());
        usual.is_some_and(|usual| {
            self.now.saturating_sub(placed_at) > usual.mul_f64(self.policy.slow_workers.slow_factor)
        })
    }
}
