//! What the log tells of the listings of one worker: which one has told that runs are over, and the one before.

use std::fmt;
use std::time::Duration;

use super::job::WorkerId;
use super::log_lines::OrWord;
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

/// The line for runs that a listing told are over, with the listing before; `None` if it told of none.
pub fn runs_missing_line(
    worker: &WorkerId,
    listing: ListingTimes,
    previous: Option<ListingTimes>,
    poll: PollKind,
    missing: &[RunKey],
) -> Option<String> {
    let (task, attempt) = missing.first()?;
    let now = listing.received;
    let ms = |time: Option<Duration>| OrWord(time.map(|t| t.as_millis()), "none");
    let ago = |at: fn(&ListingTimes) -> Duration| ms(previous.map(|last| now.saturating_sub(at(&last))));
    Some(format!(
        "event=runs_missing worker={worker} runs={} task={task} attempt={attempt} asked_ms_ago={} \
         clock_ms={} previous_clock_ms={} previous_asked_ms_ago={} previous_heard_ms_ago={} poll={poll}",
        missing.len(),
        now.saturating_sub(listing.sent).as_millis(),
        listing.made_at.as_millis(),
        ms(previous.map(|last| last.made_at)),
        ago(|last| last.sent),
        ago(|last| last.received)
    ))
}

/// Warnings that the clock of one worker went back, under one assignment.
#[derive(Debug, Default)]
pub struct ClockWarnings {
    given_at: Option<Duration>,
}

impl ClockWarnings {
    /// The warning for a listing that is newer than the one before and has an earlier time, unless one was given
    /// shortly before.
    pub fn warning(
        &mut self,
        worker: &WorkerId,
        listing: ListingTimes,
        previous: Option<ListingTimes>,
    ) -> Option<String> {
        let previous =
            previous.filter(|last| listing.made_at < last.made_at && last.received <= listing.sent)?;
        let now = listing.received;
        if self.given_at.is_some_and(|at| now < at + CLOCK_WARNING_INTERVAL) {
            return None;
        }
        self.given_at = Some(now);
        Some(format!(
            "event=worker_clock_went_back worker={worker} clock_ms={} previous_clock_ms={}",
            listing.made_at.as_millis(),
            previous.made_at.as_millis()
        ))
    }
}
