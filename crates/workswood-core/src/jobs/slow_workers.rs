//! Workers on which tasks of several steps take much longer than their siblings elsewhere get no new
//! work for a while, unless nobody else can do it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::{Phase, Run, WorkerId};
use super::scheduler::Scheduler;
use super::spec::{StepId, StepSpec, TaskId};
use crate::ids::ServiceId;

/// Parameters for workers that are slow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlowWorkerPolicy {
    /// Whether slow workers are kept from new work.
    pub enabled: bool,
    /// A run is slow after this multiple of what its siblings took on average.
    pub slow_factor: f64,
    /// Number of steps with slow runs from which on a worker is slow.
    pub slow_steps: usize,
    /// How long a slow worker gets no work after it was last found slow.
    #[serde(with = "humantime_serde")]
    pub shun_for: Duration,
}

impl Default for SlowWorkerPolicy {
    fn default() -> SlowWorkerPolicy {
        SlowWorkerPolicy {
            enabled: false,
            slow_factor: 2.5,
            slow_steps: 2,
            shun_for: Duration::from_millis(1500),
        }
    }
}

impl SlowWorkerPolicy {
    /// Checks the ranges of the parameters.
    pub fn check(&self) -> Result<(), String> {
        if !(1.0..=100.0).contains(&self.slow_factor) {
            return Err("`policy.slow_workers.slow_factor` must be from 1 to 100".to_string());
        }
        if self.slow_steps == 0 {
            return Err("`policy.slow_workers.slow_steps` must be at least 1".to_string());
        }
        if self.shun_for > Duration::from_secs(600) {
            return Err("`policy.slow_workers.shun_for` must be at most 10 minutes".to_string());
        }
        Ok(())
    }
}

/// Workers that are slow, and until when they get no new work.
#[derive(Debug, Default)]
pub(super) struct SlowWorkers {
    until: BTreeMap<WorkerId, Duration>,
}

impl SlowWorkers {
    /// Whether a worker is kept from new work now.
    pub(super) fn contains(&self, id: &WorkerId, now: Duration) -> bool {
        self.until.get(id).is_some_and(|until| now < *until)
    }

    /// Whether no worker is kept from new work.
    pub(super) fn is_empty(&self) -> bool {
        self.until.is_empty()
    }
}

impl Scheduler {
    /// Keeps new work away from workers that are slow now.
    pub(super) fn shun_slow_workers(&mut self) {
        if !self.policy.slow_workers.enabled {
            return;
        }
        let now = self.now;
        self.slow_workers.until.retain(|_, until| now < *until);
        let mut shunned = self.slow_workers_by_service();
        for (id, slow_steps) in self.find_slow_workers() {
            let known = self.slow_workers.contains(&id, now);
            if !known && !self.may_shun(&id, &mut shunned) {
                continue;
            }
            self.slow_workers.until.insert(id.clone(), now + self.policy.slow_workers.shun_for);
            if !known {
                self.counters.workers_slow += 1;
                self.notes.push(format_args!("event=worker_slow worker={id} slow_steps={slow_steps}"));
            }
        }
    }

    /// Number of slow workers of each service.
    fn slow_workers_by_service(&self) -> BTreeMap<ServiceId, usize> {
        let mut counts = BTreeMap::new();
        for id in self.slow_workers.until.keys() {
            if let Some(info) = self.workers.get(id).and_then(|w| w.info.as_ref()) {
                *counts.entry(info.service.clone()).or_default() += 1;
            }
        }
        counts
    }

    /// Whether one more worker of its service may be shunned without exceeding the allowed share;
    /// counts it if so.
    fn may_shun(&self, id: &WorkerId, shunned: &mut BTreeMap<ServiceId, usize>) -> bool {
        let Some(info) = self.workers.get(id).and_then(|w| w.info.clone()) else { return false };
        let count = shunned.entry(info.service.clone()).or_default();
        let allowed =
            (*count + 1) * self.policy.health.shun_one_of <= self.workers.available(&info.service, 0).count();
        *count += usize::from(allowed);
        allowed
    }

    /// Workers on which tasks of several steps are slow now, with the number of these steps. One
    /// step may have a few tasks that take longer by themselves.
    fn find_slow_workers(&self) -> BTreeMap<WorkerId, usize> {
        let mut slow_steps: BTreeMap<WorkerId, BTreeSet<StepId>> = BTreeMap::new();
        for (id, w) in self.workers.iter().filter(|(_, w)| w.reachable) {
            for (task, attempt) in w.runs.keys() {
                let Some(step) = self.jobs.get(&task.job).and_then(|j| j.step(task)) else { continue };
                let Some(run) = self.run(id, task, *attempt) else { continue };
                if self.is_slow(task, step, run) {
                    slow_steps.entry(id.clone()).or_default().insert(task.step_id());
                }
            }
        }
        let counts = slow_steps.into_iter().map(|(id, steps)| (id, steps.len()));
        counts.filter(|(_, steps)| *steps >= self.policy.slow_workers.slow_steps).collect()
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
