//! Tells a worker that crashed under a run from one whose run may have lapsed before.
//!
//! Two times on the scheduler's clock are compared: by when the life of the worker had ended, and from when
//! the run may have lapsed. A worker that is only cut off lives on, its runs lapse, and how its life ends
//! later tells nothing of them.

use std::time::Duration;

use super::crash_attribution::IncarnationEnd;
use super::crash_history::Certainty;
use super::crash_log::{CrashTimes, EndKnownBy};
use super::job::WorkerId;
use super::restart_deadline::shortest_lease;
use super::scheduler::Scheduler;
use super::worker::Worker;

/// Longest time from when a poll is sent until its answer is noted. The lease that it carries counts from
/// when it is sent.
pub const LONGEST_POLL: Duration = Duration::from_millis(1200);

/// Whether a life that had ended by `over_by` ended under a run that may have lapsed from `lapses_from` on.
/// `None` if a time is not known.
pub fn certainty(over_by: Option<Duration>, lapses_from: Option<Duration>) -> Certainty {
    match (over_by, lapses_from) {
        (Some(over), Some(lapse)) if over <= lapse => Certainty::Certain,
        _ => Certainty::Possible,
    }
}

/// The earliest time at which a lease may end that was extended by the poll answered at `heard`.
pub fn earliest_lapse(heard: Duration, lease: Duration, drift: f64) -> Duration {
    (heard + shortest_lease(lease, drift)).saturating_sub(LONGEST_POLL)
}

impl Scheduler {
    /// Whether a worker whose life is found to be over now crashed under its runs.
    pub(super) fn certainty_of_crash(&self, id: &WorkerId, w: &Worker, end: IncarnationEnd) -> Certainty {
        certainty(self.over_by(id, w, end), self.lapses_from(w))
    }

    /// The times that tell whether a worker whose life is found to be over now crashed under its runs.
    pub(super) fn crash_times(&self, id: &WorkerId, w: &Worker, end: IncarnationEnd) -> CrashTimes {
        CrashTimes {
            heard: Some(w.last_heard).filter(|heard| !heard.is_zero()),
            over_by: self.over_by(id, w, end),
            known_by: match self.next_life_known_since(id, w) {
                Some(since) if since < self.now || end == IncarnationEnd::UnreachableAndUnlisted => {
                    EndKnownBy::NextLife
                }
                _ => end.into(),
            },
            lapses_from: self.lapses_from(w),
        }
    }

    /// The time by which the life of a worker had ended.
    fn over_by(&self, id: &WorkerId, w: &Worker, end: IncarnationEnd) -> Option<Duration> {
        let shown = match end {
            IncarnationEnd::OtherIncarnation
            | IncarnationEnd::HostWithoutWorker
            | IncarnationEnd::Maintenance
            | IncarnationEnd::HostMoved => Some(self.now),
            // A worker that is cut off from the store leaves the list as well.
            IncarnationEnd::UnreachableAndUnlisted => None,
        };
        shown.into_iter().chain(self.next_life_known_since(id, w)).min()
    }

    /// Since when another life is known on the host of a worker.
    fn next_life_known_since(&self, id: &WorkerId, w: &Worker) -> Option<Duration> {
        let host = &w.info.as_ref()?.host;
        let is_next = |other: &WorkerId, o: &Worker| {
            other != id && o.known_since > w.known_since && o.info.as_ref().is_some_and(|i| i.host == *host)
        };
        let next = self.workers.iter().filter(|(other, o)| is_next(other, o));
        next.map(|(_, o)| o.known_since).min()
    }

    /// From when the runs of a worker may have lapsed; `None` if it has not answered this lease holder.
    fn lapses_from(&self, w: &Worker) -> Option<Duration> {
        let heard = Some(w.last_heard).filter(|heard| !heard.is_zero())?;
        Some(earliest_lapse(heard, self.limits.lease, self.limits.clock_drift))
    }
}
