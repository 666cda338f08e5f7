//! Finds long-running tasks that run nowhere, and logs why.
//!
//! A long-running task serves until its job is cancelled, so one that is neither running nor about to
//! start is missed at once. Each such task is logged when it has been absent for
//! [`LOG_ABSENT_AFTER`], and again after [`LOG_INTERVAL`], with what keeps it from running.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use super::job::{Job, Phase, Run, Task};
use super::outage::StoreAccess;
use super::restart_deadline::RESTART_BOUND;
use super::scheduler::Scheduler;
use super::spec::{StepSpec, TaskId};
use super::worker::Worker;
use super::worker_id::WorkerId;

/// A task is logged after this time without a run that is known to exist.
const LOG_ABSENT_AFTER: Duration = Duration::from_secs(1);
/// Time between two log lines of one task.
const LOG_INTERVAL: Duration = Duration::from_secs(3);
/// Most lines of one check; the others are only counted.
const MAX_LINES_PER_CHECK: usize = 16;

/// Long-running tasks without a run that is known to exist.
#[derive(Debug, Default)]
pub(super) struct AbsentTasks {
    by_task: BTreeMap<TaskId, Absence>,
}

/// Since when a task has been absent.
#[derive(Clone, Copy, Debug)]
struct Absence {
    since: Duration,
    /// When the task was last logged.
    logged_at: Option<Duration>,
}

/// Why a long-running task runs nowhere, as far as is known.
#[derive(Debug)]
enum AbsenceReason {
    /// It was given up because it crashes its workers.
    GivenUp,
    /// A run may exist on a worker that does not answer. The lease there ends after this time.
    UnreachableWorker(WorkerId, Duration),
    /// Its start has no answer yet.
    StartPending(WorkerId),
    /// Its run is being stopped.
    BeingStopped(WorkerId),
    /// The store takes no records, which its start needs first.
    StoreAway,
    /// It may only start as a trial, and waits for a worker for it.
    WaitsForTrial,
    /// Its workspace has reached its limit.
    OverLimit,
    /// A worker could run it now, and placement has not come to it.
    NotReached,
    /// No worker takes it.
    NoWorker(RoomyWorkers),
}

/// Available workers that have the resources for a task, and how many of them are kept from it.
#[derive(Debug, Default)]
struct RoomyWorkers {
    total: usize,
    in_backoff: usize,
    in_quarantine: usize,
    slow: usize,
    without_ticket: usize,
    not_suitable: usize,
}

impl fmt::Display for AbsenceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AbsenceReason::GivenUp => f.write_str("reason=given_up"),
            AbsenceReason::UnreachableWorker(id, left) => {
                write!(f, "reason=worker_unreachable worker={id} lease_left_ms={}", left.as_millis())
            }
            AbsenceReason::StartPending(id) => write!(f, "reason=start_pending worker={id}"),
            AbsenceReason::BeingStopped(id) => write!(f, "reason=being_stopped worker={id}"),
            AbsenceReason::StoreAway => f.write_str("reason=store_away"),
            AbsenceReason::WaitsForTrial => f.write_str("reason=waits_for_trial"),
            AbsenceReason::OverLimit => f.write_str("reason=over_limit"),
            AbsenceReason::NotReached => f.write_str("reason=not_reached"),
            AbsenceReason::NoWorker(room) => write!(
                f,
                "reason=no_worker with_room={} backoff={} quarantined={} slow={} no_ticket={} unsuitable={}",
                room.total,
                room.in_backoff,
                room.in_quarantine,
                room.slow,
                room.without_ticket,
                room.not_suitable
            ),
        }
    }
}

impl AbsentTasks {
    /// Since when a task has been absent; `None` if it is not.
    pub(super) fn absent_since(&self, id: &TaskId) -> Option<Duration> {
        self.by_task.get(id).map(|a| a.since)
    }

    /// When a task has to be at work again; `None` if it is not absent.
    pub(super) fn restart_by(&self, id: &TaskId) -> Option<Duration> {
        self.by_task.get(id).map(|a| a.since + RESTART_BOUND)
    }

    /// Tasks that have been absent for at least this long.
    pub(super) fn absent_for(&self, least: Duration, now: Duration) -> impl Iterator<Item = &TaskId> {
        self.by_task.iter().filter(move |(_, a)| a.since + least <= now).map(|(id, _)| id)
    }
}

impl Scheduler {
    /// Number of long-running tasks that have run nowhere for a second or longer.
    pub fn absent_long_running_tasks(&self) -> usize {
        self.absent_tasks.absent_for(LOG_ABSENT_AFTER, self.now).count()
    }

    /// Looks for long-running tasks that run nowhere, and logs those that have been absent for long.
    pub(super) fn watch_absent_tasks(&mut self) {
        let now = self.now;
        let absent = self.find_absent_tasks();
        let earlier = std::mem::take(&mut self.absent_tasks.by_task);
        let mut lines = 0;
        for id in absent {
            let mut absence = earlier.get(&id).copied().unwrap_or(Absence { since: now, logged_at: None });
            let is_due = absence.since + LOG_ABSENT_AFTER <= now
                && absence.logged_at.is_none_or(|at| at + LOG_INTERVAL <= now);
            if is_due && lines < MAX_LINES_PER_CHECK {
                lines += 1;
                absence.logged_at = Some(now);
                self.log_absence(&id, absence.since);
            }
            self.absent_tasks.by_task.insert(id, absence);
        }
    }

    fn log_absence(&mut self, id: &TaskId, since: Duration) {
        let Some(reason) = self.absence_reason(id) else { return };
        self.notes.push(format_args!(
            "event=long_running_task_absent task={id} absent_ms={} term_age_ms={} term={} {reason}",
            (self.now - since).as_millis(),
            self.now.saturating_sub(self.claimed_at).as_millis(),
            self.token
        ));
    }

    /// Open long-running tasks without a run that is known to exist.
    fn find_absent_tasks(&self) -> Vec<TaskId> {
        let jobs = self.jobs.all_long_running().filter(|job| job.is_open());
        jobs.flat_map(|job| self.absent_tasks_of(job)).collect()
    }

    fn absent_tasks_of<'a>(&'a self, job: &'a Job) -> impl Iterator<Item = TaskId> + 'a {
        job.task_ids().into_iter().filter(|id| {
            let waits_for_steps = !job.is_step_ready(id.round, id.step);
            let long_running = job.step(id).is_some_and(|s| s.long_running);
            long_running && !waits_for_steps && job.task(id).is_some_and(|t| !self.has_known_run(t))
        })
    }

    /// Whether a reachable worker has listed or accepted a run of the task.
    fn has_known_run(&self, task: &Task) -> bool {
        let is_known = |run: &Run| run.phase == Phase::Running && self.is_reachable(&run.worker);
        task.done || task.runs.iter().any(is_known)
    }

    fn is_reachable(&self, id: &WorkerId) -> bool {
        self.workers.get(id).is_some_and(|w| w.reachable)
    }

    fn absence_reason(&self, id: &TaskId) -> Option<AbsenceReason> {
        let job = self.jobs.get(&id.job)?;
        let (step, task) = (job.step(id)?, job.task(id)?);
        if task.given_up {
            return Some(AbsenceReason::GivenUp);
        }
        if let Some(run) = task.runs.last() {
            return Some(self.reason_of_run(run));
        }
        let held = job.spec.reservation(step);
        Some(if self.store_access != StoreAccess::Answering {
            AbsenceReason::StoreAway
        } else if self.waits_for_trial(id, &job.spec.service) {
            AbsenceReason::WaitsForTrial
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
            room.total += 1;
            room.in_backoff += usize::from(w.in_backoff(self.now));
            room.in_quarantine += usize::from(w.in_quarantine(self.now));
            room.slow += usize::from(self.slow_workers.contains(worker, self.now));
            room.without_ticket += usize::from(without_ticket);
            room.not_suitable += usize::from(!self.meets_constraints(w, step, id));
        }
        room
    }
}
