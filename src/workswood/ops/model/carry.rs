//! What follows from the scheduler's batches: records, and orders on their way.

use std::collections::BTreeMap;

use workswood_core::ids::HostId;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Batch, JobKey, JobRecord, JobStatus, JobStatusUpdate, Outcome, Record, RunTracker, Scheduler,
    WaveRecord, WorkerRecord,
};

use super::agenda::{Happening, Order};
use super::deployment::{APPEND, WAY};
use super::world::World;

/// What the scheduler has on record.
#[derive(Default)]
pub(super) struct Stored {
    /// States of jobs.
    pub jobs: BTreeMap<JobKey, JobRecord>,
    /// Lives of workers.
    pub workers: BTreeMap<WorkerId, WorkerRecord>,
    /// Progress of waves.
    pub waves: BTreeMap<u64, WaveRecord>,
    /// Who ordered hosts lately.
    pub ordered: BTreeMap<HostId, String>,
}

impl Stored {
    fn take(&mut self, rec: Record) {
        match rec {
            Record::Job(key, job) => drop(self.jobs.insert(key, job)),
            Record::DropJob(key) => drop(self.jobs.remove(&key)),
            Record::Wave(n, wave) => drop(self.waves.insert(n, wave)),
            Record::Worker(id, w) => drop(self.workers.insert(id, w)),
            Record::DropWorker(id) => drop(self.workers.remove(&id)),
            Record::HostOrderMark(host, Some(holder)) => drop(self.ordered.insert(host, holder)),
            Record::HostOrderMark(host, None) => drop(self.ordered.remove(&host)),
        }
    }
}

impl World<'_> {
    /// Has the scheduler decide, if nothing is being written.
    pub(super) fn decide(&mut self) {
        if self.writing {
            return;
        }
        self.attend();
        let Some(s) = &mut self.sched else { return };
        let batch = s.take_batch();
        s.notes.clear();
        if batch.records.is_empty() {
            self.carry_out(batch);
            return;
        }
        self.writing = true;
        self.after(APPEND.mul_f64(self.store_factor), Happening::Stored(batch));
    }

    /// Has workers attended: the model has no relays.
    fn attend(&mut self) {
        let orders = self.sched.as_mut().map(Scheduler::assign_relays).unwrap_or_default();
        orders.into_iter().for_each(|action| self.act(action));
    }

    /// Carries out what a batch says whose records are stored.
    pub(super) fn carry_out(&mut self, batch: Batch) {
        batch.records.into_iter().for_each(|r| self.stored.take(r));
        batch.status_updates.iter().for_each(|shown| self.show(shown));
        for (worker, number) in batch.acked_ends {
            if let Some(n) = self.host_of(&worker) {
                self.hosts[n].forget(number);
            }
        }
        batch.actions.into_iter().for_each(|action| self.act(action));
    }

    fn show(&mut self, shown: &JobStatusUpdate) {
        if shown.state == Some(JobStatus::Ended(Outcome::Completed)) {
            self.done.entry(shown.key).or_insert(self.now);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Start { worker, task, attempt, .. } => {
                self.after(WAY, Happening::Starts(worker, task, attempt));
            }
            Action::Stop(worker, task, attempt) => {
                self.after(WAY, Happening::Stops(worker, task, attempt));
            }
            Action::StartPolling { info, .. } => {
                if let Some(n) = self.host_of(&info.id) {
                    self.hosts[n].follow = RunTracker::default();
                    self.after(WAY, Happening::Look(n, info.id, true));
                }
            }
            Action::MoveHost(host, pool) => {
                self.after(WAY, Happening::Ordered(host, Order::Move(pool)));
            }
            Action::MaintainHost(host, _) => self.after(WAY, Happening::Ordered(host, Order::Upkeep)),
            // No queue of the model has advice.
            Action::StopPolling(_)
            | Action::SetPace { .. }
            | Action::Advise { .. }
            | Action::ReportFigures(..)
            | Action::OpenRelay(_)
            | Action::CloseRelay(_) => {}
        }
    }
}
