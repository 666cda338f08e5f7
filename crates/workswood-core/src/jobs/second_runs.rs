//! Second runs of tasks whose steps allow copies.
//!
//! A run that takes much longer than its siblings, whose worker does not answer, or whose start has
//! no answer, gets a second run on another worker while there is room. The run that ends first
//! counts, and the other one is stopped.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::{Phase, Run, Task, WorkerId};
use super::job_key::JobKey;
use super::outage::StoreAccess;
use super::scheduler::Scheduler;
use super::spec::{JobSpec, StepSpec, TaskId};
use crate::ids::ServiceId;

/// Interval between two searches for late runs.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// A run whose worker does not answer is late after this multiple of its usual duration.
const MUTE_FACTOR: f64 = 1.2;
/// Shortest time after which it is late: starts wait for their record, and workers for the first
/// poll of a new lease holder.
const MIN_MUTE_TIME: Duration = Duration::from_millis(700);
/// Most runs of one task at a time.
const MAX_RUNS: usize = 2;

/// Parameters of second runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SecondRunPolicy {
    /// Whether tasks get second runs.
    pub enabled: bool,
    /// A run is slow after this multiple of what its siblings took on average.
    pub late_factor: f64,
    /// Largest share of a service's processor capacity in use that second runs may add.
    pub max_share: f64,
}

impl Default for SecondRunPolicy {
    fn default() -> SecondRunPolicy {
        SecondRunPolicy { enabled: false, late_factor: 2.5, max_share: 0.05 }
    }
}

impl SecondRunPolicy {
    /// Checks the ranges of the parameters.
    pub fn check(&self) -> Result<(), String> {
        if !(1.0..=100.0).contains(&self.late_factor) {
            return Err("`policy.second_runs.late_factor` must be from 1 to 100".to_string());
        }
        if !(0.0..=1.0).contains(&self.max_share) {
            return Err("`policy.second_runs.max_share` must be from 0 to 1".to_string());
        }
        Ok(())
    }
}

/// The open jobs that may get second runs.
#[derive(Debug, Default)]
pub(super) struct SecondRuns {
    jobs: BTreeSet<JobKey>,
    searched_at: Duration,
}

impl SecondRuns {
    /// Adds a job if one of its steps allows copies.
    pub(super) fn track(&mut self, key: JobKey, spec: &JobSpec) {
        if spec.steps.iter().any(allows_second_runs) {
            self.jobs.insert(key);
        }
    }

    /// Removes a job that has ended.
    pub(super) fn forget(&mut self, key: JobKey) {
        self.jobs.remove(&key);
    }
}

/// Whether tasks of a step may have a second run.
fn allows_second_runs(step: &StepSpec) -> bool {
    step.speculative && !step.gang && !step.long_running && !step.best_effort
}

/// Why a task gets a second run. The names of the variants are written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lateness {
    /// Its run takes much longer than usual.
    Slow,
    /// Its worker or the call that started it does not answer, and it should have ended by now.
    Mute,
    /// Its run is being stopped.
    Stopping,
}

/// A task that is to get a second run.
struct LateTask {
    id: TaskId,
    why: Lateness,
    age: Duration,
    usual: Duration,
}

impl Scheduler {
    /// Starts second runs of late tasks where workers are free.
    pub(super) fn start_second_runs(&mut self) {
        // A successor could not tell a second run without a record from a stray one.
        let off = !self.policy.second_runs.enabled || self.store_access() != StoreAccess::Answering;
        if off || self.now < self.second_runs.searched_at + SEARCH_INTERVAL {
            return;
        }
        self.second_runs.searched_at = self.now;
        let mut added_cpu: BTreeMap<ServiceId, u64> = BTreeMap::new();
        let jobs: Vec<JobKey> = self.second_runs.jobs.iter().copied().collect();
        let mut late = Vec::new();
        for key in jobs {
            self.collect_late_tasks(key, &mut added_cpu, &mut late);
        }
        late.sort_by_key(|t| Reverse(t.age.saturating_sub(t.usual)));
        // All tasks of a step need the same resources: if one finds no worker, none does.
        let mut unplaced = BTreeSet::new();
        for task in &late {
            if !unplaced.contains(&task.id.step_id()) && !self.start_second_run(task, &mut added_cpu) {
                unplaced.insert(task.id.step_id());
            }
        }
    }

    /// Collects the late tasks of a job, and adds up the processor capacity of second runs.
    fn collect_late_tasks(
        &self,
        key: JobKey,
        added_cpu: &mut BTreeMap<ServiceId, u64>,
        late: &mut Vec<LateTask>,
    ) {
        let Some(job) = self.jobs.get(&key).filter(|j| j.is_open()) else { return };
        for step_id in job.step_ids() {
            let Some(step) = job.spec.steps.get(usize::from(step_id.step)) else { continue };
            if !allows_second_runs(step) {
                continue;
            }
            for index in 0..step.count {
                let id = step_id.task(index);
                let Some(task) = job.task(&id) else { continue };
                if task.runs.len() >= MAX_RUNS {
                    let cpu = step.reserved_resources().cpu_millis;
                    *added_cpu.entry(job.spec.service.clone()).or_default() += cpu;
                } else if let Some(found) = self.late_task(id, task, step, &job.spec) {
                    late.push(found);
                }
            }
        }
    }

    /// The task as a late one; `None` if it is not late.
    fn late_task(&self, id: TaskId, task: &Task, step: &StepSpec, spec: &JobSpec) -> Option<LateTask> {
        let policy = &self.policy.second_runs;
        // A suspected task would crash a second worker, and a copy of one that fails by itself would
        // use up its attempts.
        if task.done || task.given_up || task.suspicion.is_some() || !task.failed_runs.is_empty() {
            return None;
        }
        let [run] = task.runs.as_slice() else { return None };
        let siblings = self.sibling_times.average(&id.step_id());
        let usual =
            siblings.unwrap_or_else(|| self.durations.expect(&spec.queue, step.estimate, &self.policy.order));
        // Of a run that a predecessor placed, only the time since the takeover is known.
        let age = self.now.saturating_sub(run.placed_at.unwrap_or(self.claimed_at));
        let why = self.lateness(run);
        let late_after = match why {
            // A whole step may take longer than expected.
            Lateness::Slow if siblings.is_none() => return None,
            Lateness::Slow => usual.mul_f64(policy.late_factor),
            Lateness::Mute => usual.mul_f64(MUTE_FACTOR).max(MIN_MUTE_TIME),
            Lateness::Stopping => Duration::ZERO,
        };
        (age > late_after).then_some(LateTask { id, why, age, usual })
    }

    /// In which way a run may be late.
    fn lateness(&self, run: &Run) -> Lateness {
        let answers = self.workers.get(&run.worker).is_some_and(|w| w.reachable && !w.poll_overdue);
        match run.phase {
            Phase::Stopping | Phase::Stopped => Lateness::Stopping,
            Phase::Running if answers => Lateness::Slow,
            Phase::Running | Phase::Starting | Phase::Unanswered | Phase::Inherited => Lateness::Mute,
        }
    }

    /// Starts a second run of a task, if no other work waits for the room and second runs don't use
    /// too much already. Returns whether it did.
    fn start_second_run(&mut self, late: &LateTask, added_cpu: &mut BTreeMap<ServiceId, u64>) -> bool {
        let Some(job) = self.jobs.get(&late.id.job) else { return false };
        let spec = job.spec.clone();
        let step = &spec.steps[usize::from(late.id.step)];
        let held = spec.reservation(step);
        let waiting = self.ready.get(&spec.service).map_or(0, |w| w.requested().in_time.cpu_millis);
        let in_use = self.workers.resources_in_use(&spec.service).cpu_millis;
        let added = added_cpu.entry(spec.service.clone()).or_default();
        let most = (in_use as f64 * self.policy.second_runs.max_share) as u64;
        let over = *added > 0 && *added + held.resources.cpu_millis > most;
        if waiting > 0 || over || !self.is_within_limit(held.owner, &held.charged) {
            return false;
        }
        let Some(worker) = self.worker_for_second_run(&late.id, step, &spec.service) else { return false };
        *added += held.resources.cpu_millis;
        self.counters.second_runs += 1;
        self.notes.push(format_args!(
            "event=second_run task={} worker={worker} why={:?} age_ms={} usual_ms={}",
            late.id,
            late.why,
            late.age.as_millis(),
            late.usual.as_millis()
        ));
        self.start_task(&late.id, &worker, None);
        true
    }

    /// A worker that has room for the task and no run of it.
    fn worker_for_second_run(&self, id: &TaskId, step: &StepSpec, service: &str) -> Option<WorkerId> {
        let job = self.jobs.get(&id.job)?;
        let task = job.task(id)?;
        let excluded = |w: &WorkerId| {
            task.runs.iter().any(|r| r.worker == *w) || self.slow_workers.contains(w, self.now)
        };
        self.choose_worker_except(job, step, id, service, &excluded)
    }

    /// Counts a task that a second run has completed.
    pub(super) fn count_second_run_win(&mut self, task_id: &TaskId, attempt: u32) {
        let task = self.jobs.get(&task_id.job).and_then(|j| j.task(task_id));
        let won = task.is_some_and(|t| !t.done && t.runs.iter().any(|r| r.attempt < attempt));
        if won {
            self.counters.second_runs_first += 1;
            self.notes.push(format_args!("event=second_run_first task={task_id} attempt={attempt}"));
        }
    }
}
