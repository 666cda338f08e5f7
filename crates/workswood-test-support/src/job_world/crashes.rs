//! Workers that crash, at random or because of a task.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use workswood_core::jobs::{JobNumber, TaskId};

use super::World;

/// Number of workers lost while running a task after which the task may be failed.
pub(super) const MAY_FAIL_AFTER: u32 = 2;
/// Number of worker crashes while running a task after which the scheduler must fail it.
const MUST_FAIL_AFTER: u32 = 3;
/// Number of further starts that the oracle reports as a violation.
const EXCESS_STARTS: u32 = 3;
/// A holder counts as up to date once it has held the lease without a pause for this long.
const HOLDER_SETTLE_TIME: Duration = Duration::from_secs(3);
/// Minimum and maximum downtime of a crashed worker, in milliseconds.
const DOWNTIME_MS: (u64, u64) = (1500, 4000);

/// Scheduled crashes and the runs that were lost.
#[derive(Default)]
pub(super) struct Crashes {
    /// Tasks that crash their workers, with the delay after their start.
    crashing_tasks: BTreeMap<TaskId, Duration>,
    /// Scheduled crashes: time, index of the worker, and the task that causes it.
    due: Vec<(Duration, usize, TaskId)>,
    /// Workers that are down, by index, with the time of their replacement.
    returns: Vec<(Duration, usize)>,
    /// Number of workers that crashed while running a task.
    crashed_under: BTreeMap<TaskId, u32>,
    /// Number of workers that crashed or were replaced while running a task.
    lost_under: BTreeMap<TaskId, u32>,
    /// Starts of a task after the scheduler must have failed it.
    excess_starts: BTreeMap<TaskId, u32>,
    /// Jobs that were published as failed because of crashes.
    given_up: BTreeSet<JobNumber>,
}

impl World {
    /// Makes a task crash each worker that starts it, `after` the start.
    pub fn crashes(&mut self, task: TaskId, after: Duration) {
        self.crashes.crashing_tasks.insert(task, after);
    }

    /// Returns whether a task of a job crashes its workers.
    pub(super) fn has_crashing_task(&self, key: JobNumber) -> bool {
        self.crashes.crashing_tasks.keys().any(|task| task.job.number == key)
    }

    /// Returns the number of workers that crashed while running a task.
    pub fn crashed_under(&self, task: &TaskId) -> u32 {
        self.crashes.crashed_under.get(task).copied().unwrap_or(0)
    }

    /// Returns the number of workers whose life ended while running a task.
    pub fn lost_under(&self, task: &TaskId) -> u32 {
        self.crashes.lost_under.get(task).copied().unwrap_or(0)
    }

    /// Returns the number of worker crashes while running tasks made to crash with
    /// [`World::crashes`].
    pub fn crashed(&self) -> u32 {
        self.crashes.crashing_tasks.keys().map(|t| self.crashed_under(t)).sum()
    }

    /// Records that a job was published as failed because of crashes.
    pub(super) fn record_given_up(&mut self, key: JobNumber) {
        let crashes = |task: &TaskId| task.job.number == key && self.crashed_under(task) > 0;
        let sound = !self.crashes.crashing_tasks.keys().any(crashes);
        if self.crashes.given_up.insert(key) && sound {
            self.seen.sound_jobs_given_up += 1;
        }
    }

    /// Records in [`World::seen`] how often tasks crashed their workers that were made to.
    pub fn count_crashes(&mut self) {
        let crashed = self.crashes.crashing_tasks.keys().filter(|t| self.crashed_under(t) > 0);
        self.seen.crashing_tasks = crashed.count() as u64;
        self.seen.crashes_under_them = u64::from(self.crashed());
    }

    /// Crashes a worker; it is replaced after a random downtime.
    pub fn crash(&mut self, n: usize) {
        let n = n % self.workers.len();
        if !self.workers[n].up {
            return;
        }
        for task in self.workers[n].running.keys() {
            *self.crashes.crashed_under.entry(*task).or_default() += 1;
        }
        self.record_lost_runs(n);
        let downtime = Duration::from_millis(DOWNTIME_MS.0 + self.rng.below(DOWNTIME_MS.1 - DOWNTIME_MS.0));
        self.take_down(n, downtime);
    }

    /// Ends a worker for good; it stays listed and does not answer.
    pub fn vanish(&mut self, n: usize) {
        self.record_lost_runs(n);
        self.workers[n].up = false;
        self.workers[n].running.clear();
    }

    /// Takes a worker down for some time; its runs are lost.
    pub(super) fn take_down(&mut self, n: usize, downtime: Duration) {
        self.note_fault();
        self.workers[n].up = false;
        self.workers[n].running.clear();
        self.replace_later(n, downtime);
    }

    /// Has another worker take the place of worker `n` after some time.
    pub(super) fn replace_later(&mut self, n: usize, after: Duration) {
        self.crashes.returns.push((self.now + after, n));
    }

    /// Counts the runs that are lost because a worker's life ends.
    pub(super) fn record_lost_runs(&mut self, n: usize) {
        for task in self.workers[n].running.keys() {
            *self.crashes.lost_under.entry(*task).or_default() += 1;
        }
    }

    /// Returns the delay from a task's start to the crash of its worker; zero if it causes none.
    pub(super) fn crash_delay(&self, task: &TaskId) -> Duration {
        self.crashes.crashing_tasks.get(task).copied().unwrap_or_default()
    }

    /// Schedules the crash of a worker that has begun a crashing task.
    pub(super) fn schedule_crash(&mut self, at: usize, task: &TaskId) {
        if let Some(after) = self.crashes.crashing_tasks.get(task) {
            self.crashes.due.push((self.now + *after, at, *task));
        }
    }

    /// Carries out the crashes and replacements that are due.
    pub(super) fn run_due_crashes(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.crashes.due).into_iter().partition(|d| d.0 <= now);
        self.crashes.due = later;
        let due: Vec<(Duration, usize, TaskId)> = due;
        for (_, at, task) in due {
            if self.workers[at].running.contains_key(&task) {
                self.crash(at);
            }
        }
        let (returns, later) =
            std::mem::take(&mut self.crashes.returns).into_iter().partition(|b| b.0 <= now);
        self.crashes.returns = later;
        let returns: Vec<(Duration, usize)> = returns;
        returns.into_iter().for_each(|(_, n)| self.replace(n));
    }

    /// Returns since when the newest holder has held the lease without a pause.
    fn holder_settled_since(&self) -> Duration {
        self.holders.last().map_or(self.now, |h| h.paused_until.max(h.sched.claimed_at))
    }

    /// Records a start of a task; returns whether its crashes should have prevented it.
    pub(super) fn started_beyond_crashes(&mut self, task: &TaskId) -> bool {
        if !self.crashes.crashing_tasks.contains_key(task) || self.crashed_under(task) < MUST_FAIL_AFTER {
            return false;
        }
        if self.now < self.holder_settled_since() + HOLDER_SETTLE_TIME {
            return false;
        }
        let starts = self.crashes.excess_starts.entry(*task).or_default();
        *starts += 1;
        *starts >= EXCESS_STARTS
    }

    /// Returns whether two workers crashed or were replaced while running the same task of a job.
    pub(super) fn workers_lost_twice(&self, key: JobNumber) -> bool {
        self.crashes.lost_under.iter().any(|(t, n)| t.job.number == key && *n >= MAY_FAIL_AFTER)
    }
}
