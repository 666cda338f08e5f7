//! What a lease holder does while the store does not take its records.
//!
//! Normally an action is carried out once the batch that it belongs to is stored. While the store is
//! away, some actions may precede their record:
//!
//! * Stops of tasks that are not long-running, paces, and calls to the adviser, of which a successor
//!   need not know.
//! * Starts that a successor finds without a record. The record of a worker tells whether it is
//!   *open*, that is, whether the lease holder may start tasks there that are not on record. A
//!   successor waits for all workers that were open; see `takeover_barrier`.
//!
//! What workers may forget, evictions and orders to hosts are always on record first.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job::{JobStatus, Outcome, Phase, WorkerId};
use super::scheduler::Scheduler;
use super::spec::{StepId, StepSpec, TaskId};
use super::types::{Action, JobStatusUpdate, Record};

/// A shorter stall is a slow answer, not an outage.
const MIN_WRITE_STALL: Duration = Duration::from_millis(100);
/// A holder that the store turns away while it serves others is replaced within this time.
const MIN_SHOW_COMPLETED_AFTER: Duration = Duration::from_millis(2000);

/// Parameters of what goes on while the store is away.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OutagePolicy {
    /// Whether tasks are started before their starts are on record. All entries must be of a version
    /// that knows this setting.
    pub unrecorded_starts: bool,
    /// The store counts as away when it has not acknowledged a write for this long.
    #[serde(with = "humantime_serde")]
    pub write_stall: Duration,
    /// Whether callers are shown a job as completed before that is on record. A successor that can't
    /// learn of the end any more, since its worker has restarted or can't be reached, starts the task
    /// again after that.
    pub show_completed: bool,
    /// How long the store has to be away before that. Must be longer than a successor takes to
    /// replace a holder that the store turns away while it serves others.
    #[serde(with = "humantime_serde")]
    pub show_completed_after: Duration,
    /// Whether an entry that has not heard from the store lately asks it whether it answers before it
    /// sends jobs of callers, so that callers can be told for sure that a job was not taken.
    pub probe_before_append: bool,
}

impl Default for OutagePolicy {
    fn default() -> OutagePolicy {
        OutagePolicy {
            unrecorded_starts: false,
            write_stall: Duration::from_millis(250),
            show_completed: false,
            show_completed_after: Duration::from_millis(2500),
            probe_before_append: false,
        }
    }
}

/// Whether the store takes records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreAccess {
    /// The store takes records.
    #[default]
    Answering,
    /// It does not; tasks may be started before their record.
    Away,
    /// It does not, and tasks may not be started, since the workers' leases are no longer extended.
    AwayAndNoStarts,
}

impl OutagePolicy {
    /// Checks the lower bounds of the times.
    pub(super) fn check(&self) -> Result<(), String> {
        let times = [
            ("write_stall", self.write_stall, MIN_WRITE_STALL),
            ("show_completed_after", self.show_completed_after, MIN_SHOW_COMPLETED_AFTER),
        ];
        let bad = times.into_iter().find(|(_, v, least)| v < least);
        bad.map_or(Ok(()), |(name, _, least)| {
            Err(format!("`policy.outage.{name}` must be at least {} ms", least.as_millis()))
        })
    }

    /// Whether anything is done while the store is away.
    pub fn is_enabled(&self) -> bool {
        self.unrecorded_starts || self.show_completed
    }

    /// Whether a status may be shown after the store has been away for this long.
    pub fn may_show(&self, update: &JobStatusUpdate, away_for: Duration) -> bool {
        let completed = update.state == Some(JobStatus::Ended(Outcome::Completed));
        self.show_completed && completed && away_for >= self.show_completed_after
    }
}

/// Whether runs of the step are started without a record at all.
pub(super) fn allows_unrecorded_starts(step: &StepSpec) -> bool {
    !step.gang && !step.long_running
}

impl Scheduler {
    /// Sets whether the store takes records.
    pub fn set_store_access(&mut self, access: StoreAccess) {
        if self.store_access != access {
            self.store_access = access;
            self.services_to_place.extend(self.ready.keys().cloned());
        }
    }

    /// Whether the store takes records.
    pub fn store_access(&self) -> StoreAccess {
        self.store_access
    }

    /// Whether tasks of a step may be started now, as far as the store matters.
    pub(super) fn may_start_now(&self, step: &StepSpec, id: &StepId) -> bool {
        match self.store_access {
            StoreAccess::Answering => true,
            StoreAccess::Away => {
                let recorded = self.jobs.get(&id.job).is_some_and(|j| id.round < j.recorded_rounds);
                self.policy.outage.unrecorded_starts && recorded && allows_unrecorded_starts(step)
            }
            StoreAccess::AwayAndNoStarts => false,
        }
    }

    /// Splits actions into those that may be carried out before their batch is stored, and the rest.
    pub fn split_early_actions(&self, actions: Vec<Action>) -> (Vec<Action>, Vec<Action>) {
        actions.into_iter().partition(|action| self.may_precede_record(action))
    }

    fn may_precede_record(&self, action: &Action) -> bool {
        match action {
            Action::Start { worker, task, attempt, .. } => self.may_start_unrecorded(worker, task, *attempt),
            Action::Stop(_, task, _) => {
                let step = self.jobs.get(&task.job).and_then(|j| j.step(task));
                step.is_some_and(|s| !s.long_running && !s.gang)
            }
            Action::Advise { .. } | Action::SetPace { .. } | Action::WithdrawStart(..) => true,
            Action::MaintainHost(..) | Action::MoveHost(..) => false,
            // These are never part of a batch.
            Action::OpenRelay(_)
            | Action::CloseRelay(_)
            | Action::StartPolling { .. }
            | Action::StopPolling(_)
            | Action::ExtendLeases(..)
            | Action::ReportFigures(..) => false,
        }
    }

    /// Whether a start that was decided may be sent before it is on record.
    fn may_start_unrecorded(&self, worker: &WorkerId, task: &TaskId, attempt: u32) -> bool {
        if self.store_access != StoreAccess::Away {
            return false;
        }
        let Some(job) = self.jobs.get(&task.job).filter(|j| j.is_open()) else { return false };
        let Some(step) = job.step(task) else { return false };
        let Some(run) = self.run(worker, task, attempt) else { return false };
        let undecided = run.phase == Phase::Starting && run.trial_length.is_none();
        let open = self.workers.get(worker).is_some_and(|w| w.open_on_record && w.reachable);
        let bounded = self.workers.get(worker).is_none_or(|w| w.extensions.bound_on_record);
        undecided && open && !bounded && self.may_start_now(step, &task.step_id())
    }

    /// Notes that records are stored.
    pub fn records_stored<'a>(&mut self, records: impl IntoIterator<Item = &'a Record>) {
        for rec in records {
            match rec {
                Record::Job(key, rec) => {
                    if let Some(job) = self.jobs.get_mut(key) {
                        job.recorded_rounds = job.recorded_rounds.max(rec.rounds.len() as u32);
                    }
                }
                Record::Worker(id, rec) => {
                    if let Some(mut w) = self.workers.get_mut(id) {
                        let same_service = w.info.as_ref().is_some_and(|i| i.service == rec.service);
                        w.open_on_record = rec.open && w.open_written && same_service;
                    }
                    self.note_bound_stored(id, rec);
                }
                Record::DropWorker(id) => _ = self.forgotten_bounds.remove(id),
                Record::DropJob(..)
                | Record::Wave(..)
                | Record::EndedIncarnation(..)
                | Record::HostOrderMark(..) => {}
            }
        }
    }

    /// Whether the worker is to be open: it answers, or may still have runs that a predecessor
    /// started without a record.
    fn should_be_open(&self, id: &WorkerId) -> bool {
        let reachable = self.workers.get(id).is_some_and(|w| w.reachable && w.runs_known);
        !self.is_settled(id) || self.policy.outage.unrecorded_starts && reachable
    }

    /// Has the record of a worker written again if it does not tell whether the worker is open.
    pub(super) fn update_open(&mut self, id: &WorkerId) {
        let open = self.should_be_open(id);
        if self.workers.get(id).is_some_and(|w| w.info.is_some() && w.open_written != open) {
            self.dirty_workers.insert(id.clone());
        }
    }

    /// Returns whether the worker is open, for its record. A worker that is closed counts as closed
    /// at once, and one that is opened only once its record is stored.
    pub(super) fn take_open(&mut self, id: &WorkerId) -> bool {
        let open = self.should_be_open(id);
        if let Some(mut w) = self.workers.get_mut(id) {
            w.open_written = open;
            w.open_on_record &= open;
        }
        open
    }
}
