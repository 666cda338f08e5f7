//! Why a long-running task runs nowhere, and what it has waited for.
//!
//! A wait is of one [`WaitKind`]: for safety, since a run of the task may still exist; for a safeguard, though
//! nothing forbids the start; for capacity; or for the store. A task that is given up waits for nothing.

use std::fmt;
use std::time::Duration;

use super::crash_history::CrashHistory;
use super::job::{Job, Phase, Run, WorkerId};
use super::outage::StoreAccess;
use super::scheduler::Scheduler;
use super::spec::{StepSpec, TaskId};
use super::worker::Worker;

/// Most waits of one absence that are told apart; later ones are told as [`WaitReason::Other`].
const MAX_WAITS: usize = 12;

/// What an absent task waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// Nothing: it was given up because it crashes its workers.
    GivenUp,
    /// The end of a wait that is put between its starts, since it may crash its workers.
    Paced,
    /// The answer, or the end of the lease, of a worker that may run it.
    WorkerUnreachable,
    /// The answer to its start.
    StartPending,
    /// The end of a run that is being stopped.
    BeingStopped,
    /// The store, which its start needs first.
    StoreAway,
    /// A worker for a trial.
    WaitsForTrial,
    /// Room under the limit of its workspace.
    OverLimit,
    /// The next placement.
    NotReached,
    /// A worker that takes it.
    NoWorker,
    /// Anything else.
    Other,
}

impl WaitReason {
    /// The name in the log and in metrics.
    pub fn label(self) -> &'static str {
        match self {
            WaitReason::GivenUp => "given_up",
            WaitReason::Paced => "paced",
            WaitReason::WorkerUnreachable => "worker_unreachable",
            WaitReason::StartPending => "start_pending",
            WaitReason::BeingStopped => "being_stopped",
            WaitReason::StoreAway => "store_away",
            WaitReason::WaitsForTrial => "waits_for_trial",
            WaitReason::OverLimit => "over_limit",
            WaitReason::NotReached => "not_reached",
            WaitReason::NoWorker => "no_worker",
            WaitReason::Other => "other",
        }
    }
}

/// What kind of wait keeps a task from being at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitKind {
    /// A run of it may still exist.
    Safety,
    /// Nothing forbids the start, and something else is preferred.
    Safeguard,
    /// No worker could take it, or its workspace has reached its limit.
    Capacity,
    /// The store takes no records.
    Store,
    /// It is about to be placed.
    Placement,
    /// It is not started again.
    Final,
}

impl WaitKind {
    /// The name in the log.
    pub fn label(self) -> &'static str {
        match self {
            WaitKind::Safety => "safety",
            WaitKind::Safeguard => "safeguard",
            WaitKind::Capacity => "capacity",
            WaitKind::Store => "store",
            WaitKind::Placement => "placement",
            WaitKind::Final => "final",
        }
    }
}

/// Number of crashes on record for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashCounts {
    /// Those that are certain to have come under a run.
    pub certain: usize,
    /// All others.
    pub possible: usize,
}

impl CrashCounts {
    fn of(history: &CrashHistory) -> CrashCounts {
        let certain = history.certain_count();
        CrashCounts { certain, possible: history.count() - certain }
    }
}

impl fmt::Display for CrashCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "certain_crashes={} possible_crashes={}", self.certain, self.possible)
    }
}

/// Why a long-running task runs nowhere, as far as is known.
#[derive(Debug)]
pub(super) enum AbsenceReason {
    /// It was given up because it crashes its workers.
    GivenUp(CrashCounts),
    /// A run may exist on a worker that does not answer. The lease there ends after this time.
    UnreachableWorker(WorkerId, Duration),
    /// Its start has no answer yet.
    StartPending(WorkerId),
    /// Its run is being stopped.
    BeingStopped(WorkerId),
    /// The store takes no records, which its start needs first.
    StoreAway,
    /// Its restarts are paced, since it may crash its workers.
    Paced(CrashCounts),
    /// It may only start as a trial, and waits for a worker for it.
    WaitsForTrial(CrashCounts),
    /// Its workspace has reached its limit.
    OverLimit,
    /// A worker could run it now, and placement has not come to it.
    NotReached,
    /// No worker takes it.
    NoWorker(RoomyWorkers),
}

impl AbsenceReason {
    /// What the task waits for.
    pub(super) fn wait(&self) -> WaitReason {
        match self {
            AbsenceReason::GivenUp(_) => WaitReason::GivenUp,
            AbsenceReason::UnreachableWorker(..) => WaitReason::WorkerUnreachable,
            AbsenceReason::StartPending(_) => WaitReason::StartPending,
            AbsenceReason::BeingStopped(_) => WaitReason::BeingStopped,
            AbsenceReason::StoreAway => WaitReason::StoreAway,
            AbsenceReason::Paced(_) => WaitReason::Paced,
            AbsenceReason::WaitsForTrial(_) => WaitReason::WaitsForTrial,
            AbsenceReason::OverLimit => WaitReason::OverLimit,
            AbsenceReason::NotReached => WaitReason::NotReached,
            AbsenceReason::NoWorker(_) => WaitReason::NoWorker,
        }
    }

    /// What kind of wait it is.
    pub(super) fn kind(&self) -> WaitKind {
        match self {
            AbsenceReason::UnreachableWorker(..)
            | AbsenceReason::StartPending(_)
            | AbsenceReason::BeingStopped(_) => WaitKind::Safety,
            AbsenceReason::GivenUp(_) => WaitKind::Final,
            AbsenceReason::Paced(_) | AbsenceReason::WaitsForTrial(_) => WaitKind::Safeguard,
            AbsenceReason::NoWorker(room) if room.kept > 0 => WaitKind::Safeguard,
            AbsenceReason::NoWorker(_) | AbsenceReason::OverLimit => WaitKind::Capacity,
            AbsenceReason::StoreAway => WaitKind::Store,
            AbsenceReason::NotReached => WaitKind::Placement,
        }
    }
}

impl fmt::Display for AbsenceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "reason={}", self.wait().label())?;
        match self {
            AbsenceReason::UnreachableWorker(id, left) => {
                write!(f, " worker={id} lease_left_ms={}", left.as_millis())
            }
            AbsenceReason::StartPending(id) | AbsenceReason::BeingStopped(id) => write!(f, " worker={id}"),
            AbsenceReason::NoWorker(room) => write!(f, " {room}"),
            AbsenceReason::GivenUp(crashes)
            | AbsenceReason::Paced(crashes)
            | AbsenceReason::WaitsForTrial(crashes) => {
                write!(f, " {crashes}")
            }
            AbsenceReason::StoreAway | AbsenceReason::OverLimit | AbsenceReason::NotReached => Ok(()),
        }
    }
}

/// Available workers that have the resources for a task, and how many of them are kept from it.
#[derive(Debug, Default)]
pub(super) struct RoomyWorkers {
    total: usize,
    in_backoff: usize,
    in_quarantine: usize,
    slow: usize,
    without_ticket: usize,
    not_suitable: usize,
    /// Suitable ones that are kept from it nevertheless.
    kept: usize,
}

impl fmt::Display for RoomyWorkers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "with_room={} backoff={} quarantined={} slow={} no_ticket={} unsuitable={}",
            self.total,
            self.in_backoff,
            self.in_quarantine,
            self.slow,
            self.without_ticket,
            self.not_suitable
        )
    }
}

/// What a task has waited for in this term, in order, with the length of each wait.
#[derive(Clone, Debug)]
pub(super) struct Waits {
    spans: Vec<(WaitReason, Duration)>,
    /// What the task was last seen to wait for.
    current: Option<WaitReason>,
    counted_until: Duration,
}

impl Waits {
    /// Waits of an absence that begins now.
    pub(super) fn new(since: Duration) -> Waits {
        Waits { spans: Vec::new(), current: None, counted_until: since }
    }

    /// Notes what the task waits for now.
    pub(super) fn note(&mut self, reason: WaitReason, now: Duration) {
        self.count(self.current.unwrap_or(reason), now);
        self.current = Some(reason);
    }

    /// Ends the last wait.
    pub(super) fn end(&mut self, at: Duration) {
        if let Some(reason) = self.current {
            self.count(reason, at);
        }
    }

    fn count(&mut self, reason: WaitReason, until: Duration) {
        let length = until.saturating_sub(self.counted_until);
        self.counted_until = self.counted_until.max(until);
        let is_full = self.spans.len() == MAX_WAITS;
        match self.spans.last_mut() {
            Some((last, total)) if *last == reason => *total += length,
            Some((last, total)) if is_full => (*last, *total) = (WaitReason::Other, *total + length),
            _ => self.spans.push((reason, length)),
        }
    }

    /// What the task waited for longest.
    pub(super) fn longest(&self) -> WaitReason {
        let total = |reason: WaitReason| -> Duration {
            self.spans.iter().filter(|(r, _)| *r == reason).map(|(_, length)| *length).sum()
        };
        let reasons = self.spans.iter().map(|(reason, _)| *reason);
        reasons.max_by_key(|reason| total(*reason)).unwrap_or(WaitReason::Other)
    }
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, (reason, length)) in self.spans.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{}:{}", reason.label(), length.as_millis())?;
        }
        Ok(())
    }
}

impl Scheduler {
    /// Why a long-running task runs nowhere.
    pub(super) fn absence_reason(&self, id: &TaskId) -> Option<AbsenceReason> {
        let job = self.jobs.get(&id.job)?;
        let (step, task) = (job.step(id)?, job.task(id)?);
        if task.given_up {
            return Some(AbsenceReason::GivenUp(CrashCounts::of(&task.crashes)));
        }
        if let Some(run) = task.runs.last() {
            return Some(self.reason_of_run(run));
        }
        let held = job.spec.reservation(step);
        Some(if self.store_access != StoreAccess::Answering {
            AbsenceReason::StoreAway
        } else if self.is_held_by_pacing(id) {
            AbsenceReason::Paced(CrashCounts::of(&task.crashes))
        } else if self.waits_for_trial(id, &job.spec.service) {
            AbsenceReason::WaitsForTrial(CrashCounts::of(&task.crashes))
        } else if !self.is_within_limit(held.owner, &held.charged) {
            AbsenceReason::OverLimit
        } else if self.choose_worker(job, step, id, &job.spec.service).is_some() {
            AbsenceReason::NotReached
        } else {
            AbsenceReason::NoWorker(self.count_roomy_workers(job, step, id))
        })
    }

    fn reason_of_run(&self, run: &Run) -> AbsenceReason {
        let id = run.worker.clone();
        let lease_end = self.workers.get(&id).map_or(Duration::ZERO, |w| w.lease_end);
        match run.phase {
            _ if !self.is_reachable(&id) => {
                AbsenceReason::UnreachableWorker(id, lease_end.saturating_sub(self.now))
            }
            Phase::Stopping | Phase::Stopped => AbsenceReason::BeingStopped(id),
            Phase::Starting | Phase::Unanswered | Phase::Inherited | Phase::Running => {
                AbsenceReason::StartPending(id)
            }
        }
    }

    fn count_roomy_workers(&self, job: &Job, step: &StepSpec, id: &TaskId) -> RoomyWorkers {
        let needed = step.reserved_resources();
        let advised = self.needs_ticket(&id.step_id());
        let mut room = RoomyWorkers::default();
        let available = self.workers.available(&job.spec.service, needed.cpu_millis);
        for (worker, w) in available.filter(|(_, w): &(_, &Worker)| w.free_resources().contains(&needed)) {
            let without_ticket = advised && w.ticket(&id.step_id(), self.now).is_none();
            let (in_backoff, in_quarantine) = (w.in_backoff(self.now), w.in_quarantine(self.now));
            let slow = self.slow_workers.contains(worker, self.now);
            let suitable = self.meets_constraints(w, step, id);
            room.total += 1;
            room.in_backoff += usize::from(in_backoff);
            room.in_quarantine += usize::from(in_quarantine);
            room.slow += usize::from(slow);
            room.without_ticket += usize::from(without_ticket);
            room.not_suitable += usize::from(!suitable);
            room.kept += usize::from(suitable && (in_backoff || in_quarantine || slow || without_ticket));
        }
        room
    }
}
