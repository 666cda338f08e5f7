//! Checks the starts and ends of tasks against the rules of the scheduler.

use std::time::Duration;

use workswood_core::jobs::{EndKind, JobKey, JobNumber, ReportedEnd, TaskId};

use super::second_owner::number_of;
use super::worker::Running;
use super::{ATTEMPTS, WORKSPACE_TASK_LIMIT, World};

/// Percentage of runs that fail.
const FAILURE_PERCENT: u64 = 4;
/// Jobs whose key is a multiple of this fail often, so that tasks exhaust their attempts.
const FLAKY_JOB_INTERVAL: u64 = 6;
/// Percentage of runs of such jobs that fail.
const FLAKY_FAILURE_PERCENT: u64 = 70;

/// One in this many runs of a long-running task fails,
const FAILING_RUN_INTERVAL: u64 = 8;
/// after this time at most, in milliseconds.
const MAX_FAILING_RUN_MS: u64 = 20_000;
/// Duration of its other runs, unless they are stopped.
const ENDLESS: Duration = Duration::from_secs(3600);

/// Longest time from the showing of a completed job to a start of one of its tasks that was sent before.
const START_AFTER_SHOWING: Duration = Duration::from_secs(1);

/// Longest time from the cancellation of a job to a start of one of its tasks.
const CANCEL_BOUND: Duration = Duration::from_secs(3);
/// Longest time from the statement of a worker that it drains to a start there.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

impl World {
    /// Checks that a start, which was not delayed on its way, is not later than what ended the wish
    /// for it allows.
    pub(super) fn check_time_bounds(&mut self, at: usize, task: &TaskId) {
        if !self.time_bounds {
            return;
        }
        let (now, worker) = (self.now, &self.workers[at]);
        let cancelled = self.cancelled.get(&task.job.number).copied();
        let bounds = [
            ("UNASKED", "cancelled", cancelled, CANCEL_BOUND),
            ("DRAIN", "draining", worker.draining_since, DRAIN_BOUND),
        ];
        for (rule, what, since, bound) in bounds {
            if let Some(since) = since.filter(|since| *since + bound < now) {
                let id = &worker.id;
                let text = format!("{rule}: {task} started on {id} at {now:?}, {what} since {since:?}");
                self.seen.violations.push(text);
            }
        }
    }

    /// Removes a worker's ends up to a sequence number and records them as acknowledged. A successful end
    /// does not count if the worker's lease has expired since.
    pub(super) fn record_acked_ends(&mut self, at: usize, forget: u64) {
        let w = &mut self.workers[at];
        let noted = w.ends_before_expiry + 1..=forget;
        let acked: Vec<ReportedEnd> = w.ended.extract_if(.., |e| e.sequence_number <= forget).collect();
        for e in acked {
            let task = self.task_of_attempt(at, e.task, e.attempt);
            match e.kind {
                EndKind::Done if noted.contains(&e.sequence_number) => {
                    let members = self.members(task);
                    self.acked_done.extend(members);
                }
                EndKind::Failed => *self.acked_failures.entry(task).or_default() += 1,
                _ => {}
            }
        }
    }

    /// Records the results of runs that have ended.
    pub(super) fn record_ends(&mut self, ended: &[(usize, TaskId, u32, EndKind)]) {
        for (at, task, attempt, kind) in ended {
            let task = self.task_of_attempt(*at, *task, *attempt);
            match kind {
                EndKind::Done => {
                    let members = self.members(task);
                    self.done.extend(members);
                }
                EndKind::Failed if self.is_long_running(&task) => {}
                EndKind::Failed => {
                    self.note_joint_failure(&task, *attempt);
                    *self.failed_runs.entry(task).or_default() += 1;
                }
                EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
            }
        }
    }

    /// Starts a task on a worker and records violations of the scheduling rules.
    pub(super) fn begin_task(&mut self, at: usize, task: TaskId, attempt: u32) {
        self.seen.starts += 1;
        let now = self.now;
        let (name, task) = (task, self.task_of_attempt(at, task, attempt));
        let spec = self.jobs.get(&task.job.number).cloned();
        let mut violations = Vec::new();
        match &spec {
            None => violations.push("UNASKED: the job was not submitted"),
            Some(spec) => {
                let step = &spec.steps[usize::from(task.step)];
                if !step.speculative && self.running_beside(at, &name) > 0 {
                    violations.push("TWICE: another run is in progress");
                }
                if !step.speculative && !step.long_running {
                    if self.acked_done.contains(&task) {
                        violations.push("TWICE: started after its successful end was acknowledged");
                    }
                    if self
                        .shown_completed
                        .get(&task.job.number)
                        .is_some_and(|at| *at + START_AFTER_SHOWING < now)
                    {
                        violations.push("TWICE: started after its job was shown as completed");
                    }
                }
                let dependencies = step.depends_on.iter().flat_map(|s| {
                    let count = spec.steps[usize::from(*s)].count;
                    (0..count).map(|index| TaskId { step: *s, index, ..task })
                });
                if dependencies.into_iter().any(|t| !self.is_done(&t)) {
                    violations.push("ORDER: a step that it depends on is not done");
                }
                if !step.long_running && self.acked_failures.get(&task).copied().unwrap_or(0) >= ATTEMPTS {
                    violations.push("BUDGET: all attempts have failed");
                }
            }
        }
        let running = self.workers.iter().filter(|w| w.up).map(|w| w.running.len()).sum::<usize>();
        if self.limited && running > WORKSPACE_TASK_LIMIT {
            violations.push("QUOTA: running tasks exceed the limit of the workspace by more than one");
        }
        if self.started_beyond_crashes(&name) {
            violations.push("BUDGET: started three times more after three workers had crashed under it");
        }
        for text in violations {
            self.seen.violations.push(format!("{text}: {task} attempt {attempt} at {now:?}"));
        }
        let long_running = self.is_long_running(&task);
        let duration = if long_running { self.long_running_duration() } else { self.draw_run_time() };
        let failure_percent = if task.job.number.is_multiple_of(FLAKY_JOB_INTERVAL) {
            FLAKY_FAILURE_PERCENT
        } else {
            FAILURE_PERCENT
        };
        let fails = self.rng.below(100) < failure_percent || long_running;
        let kind = if fails { EndKind::Failed } else { EndKind::Done };
        // A task that crashes its workers must still be running when the crash is due.
        let duration = duration.max(self.crash_delay(&name) + Duration::from_millis(1));
        let run = Running { attempt, started_at: now, ends_at: now + duration, kind, stops_at: None };
        let run = self.begin_jointly(at, &name, run);
        self.workers[at].running.insert(name, run);
        self.schedule_crash(at, &name);
    }

    /// Whether the step of a task is long-running.
    fn is_long_running(&self, task: &TaskId) -> bool {
        self.jobs.get(&task.job.number).is_some_and(|spec| spec.steps[usize::from(task.step)].long_running)
    }

    /// Draws how long a task runs that ends.
    pub(super) fn draw_run_time(&mut self) -> Duration {
        let (from_ms, to_ms) = self.run_times_ms;
        Duration::from_millis(from_ms + self.rng.below(to_ms - from_ms))
    }

    /// Draws how long a long-running task works until it fails.
    fn long_running_duration(&mut self) -> Duration {
        if self.endless_runs || self.rng.below(FAILING_RUN_INTERVAL) > 0 {
            return ENDLESS;
        }
        Duration::from_millis(self.rng.below(MAX_FAILING_RUN_MS))
    }

    fn is_done(&self, task: &TaskId) -> bool {
        self.done.contains(task)
    }

    /// Returns whether some task of a job has failed [`ATTEMPTS`] times.
    pub fn exhausted_attempts(&self, key: JobNumber) -> bool {
        let of_task = self.failed_runs.iter().any(|(t, n)| t.job.number == key && *n >= ATTEMPTS);
        of_task || self.gang_exhausted(key)
    }

    /// Checks that a job published as failed has a task that exhausted its attempts, or a task
    /// that was running on two workers when they crashed or were replaced.
    pub(super) fn check_failed(&mut self, key: JobNumber) {
        let failed = self.exhausted_attempts(key);
        if !failed {
            self.record_given_up(key);
        }
        if !failed && !self.workers_lost_twice(number_of(key)) {
            self.seen.violations.push(format!("LOST: job {key} failed without a reason at {:?}", self.now));
        }
    }

    /// Checks that all tasks of a job published as completed are done.
    pub(super) fn check_completed(&mut self, key: JobNumber) {
        let Some(spec) = self.jobs.get(&key).cloned() else {
            self.seen.violations.push(format!("MIXED: unknown job {key} completed"));
            return;
        };
        for (step, s) in spec.steps.iter().enumerate() {
            for index in 0..s.count {
                let id = TaskId { job: JobKey::of_number(key), round: 0, step: step as u16, index };
                if !self.is_done(&id) {
                    self.seen.violations.push(format!("MIXED: {id} is not done in a completed job"));
                }
            }
        }
    }
}
