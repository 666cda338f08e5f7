//! How long the tasks of each step took that have completed, to tell slow runs of their siblings by.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job_key::JobKey;
use super::spec::StepId;

/// Number of tasks that must have completed before their siblings are compared with them.
const MIN_SIBLINGS: u32 = 3;

/// Number and total time of the tasks of a step that have completed.
#[derive(Clone, Copy, Debug, Default)]
struct Completed {
    count: u32,
    total: Duration,
}

/// Times of completed tasks, by step of the open jobs.
#[derive(Debug, Default)]
pub(super) struct SiblingTimes {
    by_step: BTreeMap<StepId, Completed>,
}

impl SiblingTimes {
    /// Records how long a task took from its placement to its end.
    pub(super) fn note_completed(&mut self, step: StepId, took: Duration) {
        let completed = self.by_step.entry(step).or_default();
        completed.count += 1;
        completed.total += took;
    }

    /// Forgets a job that has ended.
    pub(super) fn forget(&mut self, key: JobKey) {
        let first = StepId { job: key, round: 0, step: 0 };
        let last = StepId { job: key, round: u32::MAX, step: u16::MAX };
        let steps: Vec<StepId> = self.by_step.range(first..=last).map(|(step, _)| *step).collect();
        for step in steps {
            self.by_step.remove(&step);
        }
    }

    /// Average time of the completed tasks of a step; `None` while they are too few.
    pub(super) fn average(&self, step: &StepId) -> Option<Duration> {
        let completed = self.by_step.get(step).filter(|c| c.count >= MIN_SIBLINGS)?;
        Some(completed.total / completed.count)
    }
}
