//! What the log tells of the listings of one worker: which one has told that runs are over, and the one before.

use std::fmt;
use std::time::Duration;

use super::job::WorkerId;
use super::run_tracker::RunKey;
use super::worker::ListingTimes;

/// Shortest time between two warnings that the clock of one worker went back.
const CLOCK_WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// Which poll a listing has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollKind {
    /// The one that waits at the worker for a run to end.
    Waiting,
    /// The one after a stop.
    AfterStop,
}

impl fmt::Display for PollKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PollKind::Waiting => "waiting",
            PollKind::AfterStop => "after_stop",
        })
    }
}

/// The times of the last listing of one worker, under one assignment.
#[derive(Debug, Default)]
pub struct ListingLog {
    last: Option<ListingTimes>,
    warned_at: Option<Duration>,
}

/// A time before another one in milliseconds, or `none`.
struct MsAgo(Option<Duration>);

impl fmt::Display for MsAgo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(ago) => write!(f, "{}", ago.as_millis()),
            None => f.write_str("none"),
        }
    }
}

impl ListingLog {
    /// Notes a listing, and the runs that it told are over; returns the lines for the log, the warning second.
    pub fn note(
        &mut self,
        worker: &WorkerId,
        listing: ListingTimes,
        poll: PollKind,
        missing: &[RunKey],
    ) -> (Option<String>, Option<String>) {
        let line =
            missing.first().map(|first| self.missing_line(worker, listing, poll, missing.len(), *first));
        let Some(last) = self.last.filter(|last| listing.made_at < last.made_at) else {
            self.last = Some(listing);
            return (line, None);
        };
        if listing.sent < last.received {
            // It was under way together with the last one, which is newer.
            return (line, None);
        }
        let warning = self.clock_warning(worker, listing, last);
        self.last = Some(listing);
        (line, warning)
    }

    fn missing_line(
        &self,
        worker: &WorkerId,
        listing: ListingTimes,
        poll: PollKind,
        runs: usize,
        (task, attempt): RunKey,
    ) -> String {
        let now = listing.received;
        let ago =
            |at: fn(&ListingTimes) -> Duration| MsAgo(self.last.map(|last| now.saturating_sub(at(&last))));
        format!(
            "event=runs_missing worker={worker} runs={runs} task={task} attempt={attempt} asked_ms_ago={} \
             clock_ms={} previous_clock_ms={} previous_asked_ms_ago={} previous_heard_ms_ago={} poll={poll}",
            now.saturating_sub(listing.sent).as_millis(),
            listing.made_at.as_millis(),
            MsAgo(self.last.map(|last| last.made_at)),
            ago(|last| last.sent),
            ago(|last| last.received)
        )
    }

    /// The warning that a worker's clock went back, unless one was given shortly before.
    fn clock_warning(
        &mut self,
        worker: &WorkerId,
        listing: ListingTimes,
        last: ListingTimes,
    ) -> Option<String> {
        let now = listing.received;
        if self.warned_at.is_some_and(|at| now < at + CLOCK_WARNING_INTERVAL) {
            return None;
        }
        self.warned_at = Some(now);
        Some(format!(
            "event=worker_clock_went_back worker={worker} clock_ms={} previous_clock_ms={}",
            listing.made_at.as_millis(),
            last.made_at.as_millis()
        ))
    }
}
