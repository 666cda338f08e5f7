//! Checks that no sound long-running task is given up.

use workswood_core::jobs::{JobStatus, Outcome, TaskId};

use super::World;
use super::crashes::MAY_FAIL_AFTER;

impl World {
    /// Whether the newest holder has given a task up.
    pub fn is_given_up(&self, id: &TaskId) -> bool {
        let key = self.job_key(id.job.number);
        let job = self.holders.last().and_then(|h| h.sched.jobs.get(&key));
        job.and_then(|job| job.task(id)).is_some_and(|task| task.given_up)
    }

    /// Whether a task is absent that may be: two workers have crashed under it, and it was given up for that, or
    /// its job has ended so.
    pub(super) fn may_stay_away(&self, id: &TaskId) -> bool {
        let failed = self.shown(id.job.number) == Some(JobStatus::Ended(Outcome::Failed));
        self.crashed_under(id) >= MAY_FAIL_AFTER && (failed || self.is_given_up(id))
    }

    /// Records a violation for a task that is given up in a calm although fewer than two lives of workers have
    /// ended under a run of it.
    pub(super) fn check_given_up(&mut self, id: &TaskId) {
        if self.lost_under(id) >= MAY_FAIL_AFTER || !self.is_given_up(id) {
            return;
        }
        if self.lasting.given_up.insert(*id) {
            let (lost, now) = (self.lost_under(id), self.now);
            let text = format!("GIVEN-UP: sound task {id}, lives ended under it: {lost}, at {now:?}");
            self.seen.violations.push(text);
        }
    }
}
