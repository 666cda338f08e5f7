//! When a long-running task has to be at work again, and what gives way for it.
//!
//! A long-running task serves users until its job is cancelled. Its *restart deadline* is [`RESTART_BOUND`] after the
//! earliest time at which its last run may have ended. While a run of it may still exist, nothing else can be done
//! than to wait. Everything else that keeps it from a worker is a [`Safeguard`]: something that is preferred
//! and gives way in time.

use std::time::Duration;

use super::scheduler::Scheduler;
use super::spec::TaskId;

/// Longest time from the end of a long-running task's run until the task is at work again.
pub const RESTART_BOUND: Duration = Duration::from_secs(9);

/// What a start takes: its record, the order to the worker, and another attempt if that has no answer.
pub const START_RESERVE: Duration = Duration::from_millis(2500);

/// Longest time by which the silence of a worker is older than its notice: a poll, with its repeat, that is not
/// answered, or the loss of its relay.
pub const MAX_UNNOTICED_SILENCE: Duration = Duration::from_secs(2);

/// What is known of the last run of a long-running task. Times are on the scheduler's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastRun {
    /// It exists on a worker that answers.
    Alive,
    /// Its worker answered at this time and said that it is over.
    Reported(Duration),
    /// Its worker has been silent since it answered at this time.
    Silent(Duration),
    /// The life of its worker is over, which last answered at this time.
    Gone(Duration),
}

/// The earliest time at which a run may have ended.
pub fn earliest_end(run: LastRun, shortest_lease: Duration, now: Duration) -> Duration {
    match run {
        LastRun::Alive => now,
        LastRun::Reported(at) | LastRun::Gone(at) => at,
        LastRun::Silent(answered_at) => answered_at + shortest_lease,
    }
}

/// The shortest real time that a worker's lease may last, on a worker whose clock runs fast by the share `drift`.
pub fn shortest_lease(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64(1.0 - drift)
}

/// What may keep a long-running task from a worker that has room for it, though nothing forbids the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// Workers that are rather not used: the one that the task failed on, slow and shunned ones, and those
    /// reserved for trials.
    PreferredWorkers,
    /// Trials: its own, for which it waits, and those that other tasks have on a worker.
    Trials,
    /// The pace of restarts after many crashes that don't prove that the task causes them.
    RestartPacing,
    /// Tasks that go first in the order of placement and take the room.
    OrderOfPlacement,
}

impl Safeguard {
    /// All safeguards.
    pub const ALL: [Safeguard; 4] = [
        Safeguard::PreferredWorkers,
        Safeguard::Trials,
        Safeguard::RestartPacing,
        Safeguard::OrderOfPlacement,
    ];

    /// The longest time for which it keeps a task that waits from a worker.
    pub const fn longest_wait(self) -> Duration {
        match self {
            Safeguard::PreferredWorkers | Safeguard::OrderOfPlacement => Duration::from_secs(1),
            Safeguard::Trials | Safeguard::RestartPacing => Duration::from_secs(2),
        }
    }

    /// Whether it gives way for a task that it may have kept from a worker for this long: that is long enough, or
    /// what is left until the restart deadline is needed for the start.
    pub fn gives_way_after(self, waited: Duration, time_to_restart: Option<Duration>) -> bool {
        waited >= self.longest_wait() || time_to_restart.is_some_and(|left| left <= START_RESERVE)
    }
}

impl Scheduler {
    /// Whether a safeguard gives way for a task.
    pub(super) fn gives_way(&self, safeguard: Safeguard, id: &TaskId) -> bool {
        safeguard.gives_way_after(self.waited_for(safeguard, id), self.time_to_restart(id))
    }

    /// How long a safeguard may have kept a task from a worker. Trials and the pace of restarts matter once no run of
    /// the task may exist any more; what is preferred among workers can be weighed before.
    fn waited_for(&self, safeguard: Safeguard, id: &TaskId) -> Duration {
        let task = self.jobs.get(&id.job).and_then(|job| job.task(id));
        let since = match safeguard {
            Safeguard::PreferredWorkers | Safeguard::OrderOfPlacement => self.absent_tasks.absent_since(id),
            Safeguard::Trials | Safeguard::RestartPacing => {
                task.filter(|t| t.is_idle()).map(|t| t.waiting_since)
            }
        };
        since.map_or(Duration::ZERO, |since| self.now.saturating_sub(since))
    }

    /// Time left until the restart deadline of an absent long-running task; `None` if it is not absent.
    pub(super) fn time_to_restart(&self, id: &TaskId) -> Option<Duration> {
        self.absent_tasks.restart_by(id).map(|deadline| deadline.saturating_sub(self.now))
    }
}
