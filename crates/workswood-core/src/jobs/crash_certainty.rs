//! Tells a worker that crashed under a run from one whose run may have lapsed before.
//!
//! Two times on the scheduler's clock are compared: by when the life of the worker had ended, and from when
//! the run may have lapsed. A worker that is only cut off lives on, its runs lapse, and how its life ends
//! later tells nothing of them. Both times err towards a possible crash:
//!
//! * A life had ended by the time at which another life answers at its address, or became known on its host and has
//!   answered since; or at which a list of hosts arrived that was requested after the worker's last answer and shows
//!   the host without it. The list of workers alone does not tell, since entries are written late and linger; nor do
//!   start times, since the clocks of two hosts may be seconds apart.
//! * A run may have lapsed from the end of the lease on that its worker has confirmed with an answer
//!   ([`WorkerUpdate::LeaseConfirmed`]). A worker that has confirmed none to this lease holder may have lapsed at
//!   any time.

use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::crash_history::Certainty;
use super::crash_log::{CrashTimes, EndKnownBy};
use super::job::WorkerId;
use super::restart_deadline::shortest_lease;
use super::scheduler::Scheduler;
use super::types::WorkerUpdate;
use super::worker::Worker;

/// A reading of a worker's clock, in times on the clock of the process that has asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// When the call was sent; the worker has read its clock since.
    pub sent: Duration,
    /// When the answer was noted.
    pub received: Duration,
}

/// The earliest time at which a lease may end whose end was worked out at `at` as this long after, from a reading of
/// the worker's clock, which may run fast by the share `drift`.
///
/// The end is worked out as if the worker had read its clock when the answer was noted. So it comes sooner by as much
/// as the reading may be older.
pub fn earliest_lapse(reading: ClockReading, at: Duration, lease: Duration, drift: f64) -> Duration {
    reading.sent + shortest_lease(at.saturating_sub(reading.received) + lease, drift)
}

/// Whether a life that had ended by `over_by` ended under a run that may have lapsed from `lapses_from` on.
/// `None` if a time is not known.
pub fn certainty(over_by: Option<Duration>, lapses_from: Option<Duration>) -> Certainty {
    match (over_by, lapses_from) {
        (Some(over), Some(lapse)) if over <= lapse => Certainty::Certain,
        _ => Certainty::Possible,
    }
}

/// From when the runs of a worker may have lapsed; `None` if it has confirmed no lease to this lease holder.
fn lapses_from(w: &Worker) -> Option<Duration> {
    Some(w.confirmed_lease_end).filter(|end| !end.is_zero())
}

/// Whether a life that had ended by `over_by` ended before all leases of the worker had.
fn is_over_in_lease(w: &Worker, over_by: Option<Duration>) -> bool {
    let lease_end = w.own_lease_end.unwrap_or(w.lease_end);
    w.reachable || over_by.is_some_and(|at| at <= lease_end)
}

/// Whether a worker whose life is over crashed under its runs, those included that were settled because its lease had
/// ended.
pub(super) fn certainty_of_crash(w: &Worker, times: &CrashTimes) -> Certainty {
    match certainty(times.over_by, times.lapses_from) {
        Certainty::Possible if !is_over_in_lease(w, times.over_by) => Certainty::Lapsed,
        known => known,
    }
}

impl Scheduler {
    /// The times that tell whether a worker whose life is found to be over now crashed under its runs.
    pub(super) fn crash_times(&self, id: &WorkerId, w: &Worker, end: IncarnationEnd) -> CrashTimes {
        let next_life = self.next_life_known_since(id, w);
        let shown = Some(self.now).filter(|_| self.is_shown_over(id, w, end));
        CrashTimes {
            heard: Some(w.last_heard).filter(|heard| !heard.is_zero()),
            over_by: shown.into_iter().chain(next_life).min(),
            known_by: match next_life {
                Some(since) if since < self.now || end == IncarnationEnd::UnreachableAndUnlisted => {
                    EndKnownBy::NextLife
                }
                _ => end.into(),
            },
            lapses_from: lapses_from(w),
        }
    }

    /// Whether what an incarnation was found to be over by shows that it is.
    fn is_shown_over(&self, id: &WorkerId, w: &Worker, end: IncarnationEnd) -> bool {
        match end {
            // A later life with the same name may be known from the list of workers only.
            IncarnationEnd::OtherIncarnation => id.started_at().is_none(),
            IncarnationEnd::HostWithoutWorker => self.hosts_requested_at > w.last_heard,
            IncarnationEnd::Maintenance | IncarnationEnd::HostMoved => true,
            // A worker that is cut off from the store leaves the list as well.
            IncarnationEnd::UnreachableAndUnlisted => false,
        }
    }

    /// Since when a later life on the host of a worker, or with its name, has been known that has answered since.
    fn next_life_known_since(&self, id: &WorkerId, w: &Worker) -> Option<Duration> {
        let host = w.info.as_ref().map(|info| &info.host).filter(|host| !host.is_empty());
        let on_host = host.map(|host| self.workers.on_host(host)).unwrap_or_default();
        let others = on_host.iter().chain(self.workers.incarnations_of(id.name()));
        let others = others.filter(|other| *other != id).filter_map(|other| self.workers.get(other));
        let later = others.filter(|other| other.known_since > w.known_since);
        let answered = later.filter(|other| other.first_heard.is_some_and(|heard| heard > w.last_heard));
        answered.map(|other| other.known_since).min()
    }

    /// Notes when a worker answered, if an update tells.
    pub(super) fn note_answer_in(&mut self, id: &WorkerId, update: &WorkerUpdate) {
        let Some(heard) = self.answer_time(update) else { return };
        self.note_last_heard(id, heard);
        // The time of an earlier answer may be that of none at all.
        if !matches!(update, WorkerUpdate::Unanswered { .. }) {
            self.note_first_heard(id);
        }
    }

    /// Notes that a worker answered at this time.
    pub(super) fn note_last_heard(&mut self, id: &WorkerId, heard: Duration) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.last_heard = w.last_heard.max(heard);
        }
    }

    /// Notes that a worker has answered by now.
    pub(super) fn note_first_heard(&mut self, id: &WorkerId) {
        let now = self.now;
        if let Some(mut w) = self.workers.get_mut(id) {
            w.first_heard.get_or_insert(now);
        }
    }

    /// Notes that a worker has confirmed a lease that doesn't end before this time.
    pub(super) fn note_confirmed_lease(&mut self, id: &WorkerId, until: Duration) {
        if let Some(mut w) = self.workers.get_mut(id) {
            w.confirmed_lease_end = w.confirmed_lease_end.max(until);
        }
    }
}
