//! Applies the scheduler's batches: stores their records and schedules their actions.

use std::collections::BTreeMap;

use workswood_core::ids::HostId;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Batch, EndedIncarnationRecord, JobKey, JobRecord, JobStatus, JobStatusUpdate, Outcome, Record,
    RunTracker, Scheduler, WaveRecord, WorkerRecord,
};

use super::event_queue::{HostOrder, ModelEvent};
use super::parameters::{APPEND_TIME, MESSAGE_DELAY};
use super::simulation::Simulation;

/// Records that the scheduler has stored.
#[derive(Default)]
pub(super) struct StoredRecords {
    /// States of jobs by key.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// Worker records by incarnation.
    pub workers: BTreeMap<WorkerId, WorkerRecord>,
    /// What incarnations of workers have left behind that are over.
    pub ended_incarnations: BTreeMap<WorkerId, EndedIncarnationRecord>,
    /// Progress of waves by number.
    pub waves: BTreeMap<u64, WaveRecord>,
    /// Lease holder that last ordered each host.
    pub ordered: BTreeMap<HostId, String>,
}

impl StoredRecords {
    fn apply(&mut self, rec: Record) {
        match rec {
            Record::Job(key, job) => drop(self.jobs.insert(key, job)),
            Record::DropJob(key, ..) => drop(self.jobs.remove(&key)),
            Record::Wave(n, wave) => drop(self.waves.insert(n, wave)),
            Record::Worker(id, w) => drop(self.workers.insert(id, w)),
            Record::DropWorker(id) => drop(self.workers.remove(&id)),
            Record::EndedIncarnation(id, Some(ended)) => drop(self.ended_incarnations.insert(id, ended)),
            Record::EndedIncarnation(id, None) => drop(self.ended_incarnations.remove(&id)),
            Record::HostOrderMark(host, Some(holder)) => drop(self.ordered.insert(host, holder)),
            Record::HostOrderMark(host, None) => drop(self.ordered.remove(&host)),
        }
    }
}

impl Simulation<'_> {
    /// Assigns relays, then takes the scheduler's next batch and starts to write its records. A
    /// batch without records is applied at once. Does nothing while a batch is being written.
    pub(super) fn take_batch(&mut self) {
        if self.writing {
            return;
        }
        self.assign_relays();
        let Some(s) = &mut self.scheduler else { return };
        let batch = s.take_batch();
        s.notes.clear();
        if batch.records.is_empty() {
            self.apply_batch(batch);
            return;
        }
        self.writing = true;
        self.schedule_after(APPEND_TIME.mul_f64(self.append_slowdown), ModelEvent::BatchStored(batch));
    }

    /// Assigns relays to workers and performs the resulting actions at once, as the model has no
    /// relays.
    fn assign_relays(&mut self) {
        let actions = self.scheduler.as_mut().map(Scheduler::assign_relays).unwrap_or_default();
        actions.into_iter().for_each(|action| self.perform(action));
    }

    /// Stores the records of a batch, then applies its status updates, acknowledgements and
    /// actions.
    pub(super) fn apply_batch(&mut self, batch: Batch) {
        batch.records.into_iter().for_each(|r| self.stored.apply(r));
        batch.status_updates.iter().for_each(|update| self.record_completion(update));
        for (worker, number) in batch.acked_ends {
            if let Some(n) = self.host_of(&worker) {
                self.hosts[n].acknowledge_ends(number);
            }
        }
        batch.actions.into_iter().for_each(|action| self.perform(action));
    }

    fn record_completion(&mut self, update: &JobStatusUpdate) {
        if update.state == Some(JobStatus::Ended(Outcome::Completed)) {
            self.completed_at.entry(update.key.number).or_insert(self.now);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start { worker, task, attempt, .. } => {
                self.schedule_after(MESSAGE_DELAY, ModelEvent::StartReachesWorker(worker, task, attempt));
            }
            Action::Stop(worker, task, attempt) => {
                self.schedule_after(MESSAGE_DELAY, ModelEvent::StopReachesWorker(worker, task, attempt));
            }
            Action::StartPolling { info, .. } => {
                if let Some(n) = self.host_of(&info.id) {
                    self.hosts[n].run_tracker = RunTracker::default();
                    self.schedule_after(MESSAGE_DELAY, ModelEvent::PollWorker(n, info.id, true));
                }
            }
            Action::MoveHost(host, pool) => {
                self.schedule_after(MESSAGE_DELAY, ModelEvent::OrderReachesHost(host, HostOrder::Move(pool)));
            }
            Action::MaintainHost(host, _) => {
                self.schedule_after(MESSAGE_DELAY, ModelEvent::OrderReachesHost(host, HostOrder::Maintain))
            }
            // The model has no advice, pacing or relays, and its starts do not wait.
            Action::StopPolling(_)
            | Action::ExtendLeases(..)
            | Action::WithdrawStart(..)
            | Action::SetPace { .. }
            | Action::Advise { .. }
            | Action::ReportFigures(..)
            | Action::OpenRelay(_)
            | Action::CloseRelay(_) => {}
        }
    }
}
