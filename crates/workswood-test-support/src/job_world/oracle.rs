//! Looks at what workers did.

use std::time::Duration;

use workswood_core::jobs::{EndKind, JobKey, TaskId};

use super::worker::Running;
use super::{ATTEMPTS, LIMIT, World};

/// Runs that fail, of 100.
const FAILS: u64 = 4;
/// Every so many jobs one fails more often than not, so that tasks run out of
/// tries.
const POOR_JOBS: u64 = 6;
const POOR_FAILS: u64 = 70;

impl World {
    /// A worker forgets its ends up to a number: they count as noted.
    pub(super) fn note_forgotten(&mut self, at: usize, forget: u64) {
        let w = &mut self.workers[at];
        let noted = w.ended.iter().filter(|e| e.sequence_number <= forget && e.kind == EndKind::Done);
        self.noted.extend(noted.map(|e| e.task));
        for e in w.ended.iter().filter(|e| e.sequence_number <= forget && e.kind == EndKind::Failed) {
            *self.failed.entry(e.task).or_default() += 1;
        }
        w.ended.retain(|e| e.sequence_number > forget);
    }

    /// Runs have ended.
    pub(super) fn note_ends(&mut self, ended: &[(TaskId, EndKind)]) {
        for (task, kind) in ended {
            match kind {
                EndKind::Done => {
                    self.done.insert(*task);
                }
                EndKind::Failed => *self.fails.entry(*task).or_default() += 1,
                EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
            }
        }
    }

    /// A worker begins a task; the oracle looks at it.
    pub(super) fn begin(&mut self, at: usize, task: TaskId, attempt: u32) {
        self.seen.starts += 1;
        let now = self.now;
        let spec = self.jobs.get(&task.job).cloned();
        let mut wrong = Vec::new();
        match &spec {
            None => wrong.push("UNASKED: nobody handed the job in"),
            Some(spec) => {
                let step = &spec.steps[usize::from(task.step)];
                if !step.speculative && !step.long_running {
                    if self.workers.iter().any(|w| w.up && w.running.contains_key(&task)) {
                        wrong.push("TWICE: two runs at once");
                    }
                    if self.noted.contains(&task) {
                        wrong.push("TWICE: started after its end was noted");
                    }
                }
                let before = step.depends_on.iter().flat_map(|s| {
                    let count = spec.steps[usize::from(*s)].count;
                    (0..count).map(|index| TaskId { step: *s, index, ..task })
                });
                if before.into_iter().any(|t| !self.is_done(&t)) {
                    wrong.push("ORDER: an earlier step is open");
                }
                if !step.long_running && self.failed.get(&task).copied().unwrap_or(0) >= ATTEMPTS {
                    wrong.push("BUDGET: failed too often");
                }
            }
        }
        let at_work = self.workers.iter().filter(|w| w.up).map(|w| w.running.len()).sum::<usize>();
        if self.limited && at_work > LIMIT {
            wrong.push("QUOTA: beyond the limit of its workspace and one task");
        }
        if self.started_beyond_crashes(&task) {
            wrong.push("BUDGET: started three times more after three workers had crashed under it");
        }
        for text in wrong {
            self.seen.violations.push(format!("{text}: {task} attempt {attempt} at {now:?}"));
        }
        let lasting = spec.is_some_and(|s| s.steps[usize::from(task.step)].long_running);
        let took = if lasting {
            Duration::from_secs(3600)
        } else {
            Duration::from_millis(200 + self.rng.below(900))
        };
        let fails = if task.job.is_multiple_of(POOR_JOBS) { POOR_FAILS } else { FAILS };
        let kind = if self.rng.below(100) < fails { EndKind::Failed } else { EndKind::Done };
        // A task that crashes its workers does so before it ends.
        let took = took.max(self.crash_delay(&task) + Duration::from_millis(1));
        let w = &mut self.workers[at];
        w.running.insert(task, Running { attempt, began: now, ends: now + took, kind, stopping: None });
        self.crash_under(at, &task);
    }

    fn is_done(&self, task: &TaskId) -> bool {
        self.done.contains(task)
    }

    /// Whether some task of a job has failed too often.
    pub fn exhausted_attempts(&self, key: JobKey) -> bool {
        self.fails.iter().any(|(t, n)| t.job == key && *n >= ATTEMPTS)
    }

    /// A job that is shown as failed has a task that failed too often, or under which two
    /// workers have crashed.
    pub(super) fn check_failed(&mut self, key: JobKey) {
        let failed = self.exhausted_attempts(key);
        if !failed && !self.lost_twice(key) {
            self.seen.violations.push(format!("LOST: job {key} failed without a cause at {:?}", self.now));
        }
    }

    pub(super) fn check_completed(&mut self, key: JobKey) {
        let Some(spec) = self.jobs.get(&key).cloned() else {
            self.seen.violations.push(format!("MIXED: unknown job {key} completed"));
            return;
        };
        for (step, s) in spec.steps.iter().enumerate() {
            for index in 0..s.count {
                let id = TaskId { job: key, round: 0, step: step as u16, index };
                if !self.is_done(&id) {
                    self.seen.violations.push(format!("MIXED: {id} is open in a completed job"));
                }
            }
        }
    }
}
