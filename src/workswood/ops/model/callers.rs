//! Models callers: they submit jobs, and come back when they are refused.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Event, Verdict};

use super::event_queue::ModelEvent;
use super::parameters::{CALLER_PATIENCE, MAX_RETRIES};
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Submits the job with this index, again or for the first time.
    pub(super) fn submit(&mut self, n: usize) {
        if let Some(retry_after) = self.refusal(n) {
            return self.retry(n, retry_after);
        }
        let job = &self.jobs[n];
        let (key, spec) = (job.key, Arc::clone(&job.spec));
        self.accepted.insert(key);
        self.send_event(Event::Submitted(key, spec));
    }

    /// After which time the caller of a job should come back, if it is refused.
    fn refusal(&mut self, n: usize) -> Option<Duration> {
        let (scheduler, policy) = (self.scheduler.as_ref()?, &self.policy);
        if !policy.admission.enabled {
            return None;
        }
        let job = &self.jobs[n];
        let candidate =
            self.admission.candidate(job.spec.key(job.key), &job.spec, &scheduler.config, &policy.order)?;
        let wall = self.now.as_millis() as u64;
        match self.admission.decide(&candidate, &policy.admission, self.now, wall) {
            Verdict::Admitted { .. } => None,
            Verdict::Refused { retry_after, .. } => Some(retry_after),
        }
    }

    /// Has a caller come back, unless it gives up before. Callers are told whole seconds.
    fn retry(&mut self, n: usize, retry_after: Duration) {
        let job = &self.jobs[n];
        let wait = Duration::from_secs(retry_after.as_secs_f64().ceil().max(1.0) as u64);
        let tries = self.refusals.entry(job.key).or_default();
        *tries += 1;
        if *tries <= MAX_RETRIES && self.now + wait <= job.submitted_at + CALLER_PATIENCE {
            self.schedule_after(wait, ModelEvent::SubmitJob(n));
        }
    }

    /// Share of the jobs with a value that were never accepted.
    pub(super) fn refused_share(&self) -> f64 {
        let counted = || self.jobs.iter().filter(|j| j.value > 0.0);
        let refused = counted().filter(|j| !self.accepted.contains(&j.key)).count();
        refused as f64 / counted().count().max(1) as f64
    }

    /// Tells admission the loads of the scheduler.
    pub(super) fn update_admission(&mut self) {
        if let Some(s) = self.scheduler.as_ref().filter(|s| s.policy.admission.enabled) {
            self.admission.update(s.loads(), |key| s.jobs.contains(key), self.now);
        }
    }
}
