//! What a new lease holder takes over from its predecessors: the workers and jobs that they recorded, and the leases that
//! they may have extended.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::job::{Job, JobRecord, JobStatus, Outcome, WorkerId};
use super::job_key::JobKey;
use super::job_table::ArchivedJob;
use super::namesakes::ForgottenJob;
use super::restored_jobs::{RestoredJob, RestoredJobs};
use super::scheduler::Scheduler;
use super::spec::{JobSpec, QueueId};
use super::types::{Event, JobStatusUpdate};
use super::worker::{Worker, WorkerInfo, WorkerRecord};

/// Time that workers have after a takeover for a first answer, before their runs count as lapsed. A worker
/// with a bound on record needs none: its lease was not extended since.
const FIRST_ANSWER_TIME: Duration = Duration::from_secs(2);

impl Scheduler {
    /// Takes over a worker that a predecessor recorded.
    pub fn restore_worker(&mut self, id: WorkerId, rec: WorkerRecord) {
        let (open, lease_left, superseded) = (rec.open, rec.lease_left, rec.superseded);
        let info = WorkerInfo::from_record(id.clone(), rec);
        let now = self.now;
        let superseded_lease_end =
            lease_left.filter(|_| superseded).map(|ms| now + Duration::from_millis(ms));
        // What a later incarnation may have taken lasts longer than what predecessors extend.
        let lease_end = superseded_lease_end.unwrap_or_else(|| self.restored_lease_end(lease_left));
        let since = self.claimed_at;
        let mut w = self.workers.get_or_insert_with(&id, || Worker::new(lease_end, since));
        w.info = Some(Arc::new(info));
        (w.open_written, w.open_on_record) = (open, open);
        if lease_left.is_some() {
            w.extensions.restore_bound();
            w.superseded_lease_end = superseded_lease_end;
        }
        drop(w);
        self.hold_back_for(&id, open);
        // A probe of its address shows whether that incarnation has ended.
        self.request_relay(&id);
        self.restore_latest_incarnation(&id);
    }

    /// Restores all jobs that are stored.
    pub fn restore_jobs(&mut self, restored: RestoredJobs) {
        for RestoredJob { key, spec, state } in restored.jobs {
            self.restore_job(key, spec, state);
        }
        for (number, spec) in restored.namesakes {
            self.handle(Event::Submitted(number, spec));
        }
    }

    /// Takes over a job from the inbox with the state that a predecessor recorded. Of a finished
    /// job only the state is stored.
    pub fn restore_job(&mut self, key: JobKey, spec: Option<Arc<JobSpec>>, rec: Option<JobRecord>) {
        let final_record = rec.as_ref().and_then(|rec| rec.outcome.zip(rec.over.clone()));
        let slot = rec.as_ref().map(|rec| rec.slot).unwrap_or_default();
        match (spec, final_record) {
            (spec, Some((outcome, record))) => {
                self.restore_archived_job(key, ArchivedJob { outcome, record, slot }, spec.is_some())
            }
            (Some(spec), None) => self.restore_unarchived_job(key, spec, rec),
            // The record remains from a job that was being forgotten.
            (None, None) => {
                let queue = QueueId::new();
                self.forgotten_jobs.push(ForgottenJob { key, queue, slot });
            }
        }
    }

    fn restore_unarchived_job(&mut self, key: JobKey, spec: Arc<JobSpec>, rec: Option<JobRecord>) {
        let now = self.now;
        let fits = rec.as_ref().is_none_or(|rec| rec.matches_spec(&spec));
        let recorded = rec.is_some();
        let mut job = match rec {
            Some(rec) if fits => Job::restore(key, spec, rec, now),
            _ => Job::new(key, spec),
        };
        if !fits {
            // The job was submitted again with different steps. What was begun does not match them
            // and must not be started again.
            self.notes.push(format_args!("event=job_changed job={key:016x} outcome=Failed"));
            job.outcome = Some(Outcome::Failed);
            job.ended_at = now;
        }
        if recorded {
            self.barrier.note_recorded_job(&job);
        }
        job.max_cpu_millis = self.config.workspaces.limit(job.spec.owner()).cpu_millis;
        self.second_runs.track(key, &job.spec);
        if job.has_crashes() {
            self.suspect_inherited(&mut job);
            self.review_inherited(&mut job);
            self.counted_lives.note_job(&job);
        }
        self.inherit_absences(&job);
        let bound = self.inherited_lease_end();
        let mut workers = BTreeSet::new();
        for id in job.task_ids() {
            let Some(task) = job.task(&id) else { continue };
            for run in &task.runs {
                let since = self.claimed_at;
                let mut w = self.workers.get_or_insert_with(&run.worker, || Worker::new(bound, since));
                if let Some(step) = job.step(&id) {
                    w.add_run(id, run.attempt, job.spec.reservation(step));
                    w.note_task_kind(&id, step);
                }
                workers.insert(run.worker.clone());
            }
        }
        self.jobs.insert(job);
        workers.iter().for_each(|id| self.keep_latest_incarnation(id));
        self.track_advised_job(key);
        self.open_due_rounds(key);
        self.queue_job(key);
        self.dirty_jobs.insert(key);
    }

    fn restore_archived_job(&mut self, key: JobKey, archived: ArchivedJob, in_inbox: bool) {
        let (queue, service) = (archived.record.queue.clone(), archived.record.service.clone());
        let state = Some(JobStatus::Ended(archived.outcome));
        self.jobs.archive(key, archived, self.now);
        self.status_updates.push(JobStatusUpdate { key, queue, service, state, repeats: false });
        if in_inbox {
            self.finished_jobs.push(key);
        }
    }

    /// Returns until when holders of earlier terms may extend workers' leases.
    pub fn predecessors_extend_until(&self) -> Duration {
        self.predecessors_extend_until.unwrap_or(self.claimed_at + self.limits.extension_grace)
    }

    /// Returns when the last lease that a predecessor may have extended ends, and workers have had time to
    /// tell what ended there.
    pub(super) fn inherited_lease_end(&self) -> Duration {
        let lease_end = self.predecessors_extend_until() + self.lease_with_drift();
        lease_end.max(self.claimed_at + FIRST_ANSWER_TIME)
    }
}
