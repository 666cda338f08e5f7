//! What is new in the listings of one worker.
//!
//! Each look lists all that runs on a worker, though mostly nothing of it is news.
//! Whoever looks keeps a [`RunTracker`] and tells the scheduler only what changed. It
//! knows the order of what it did itself: a run that it started, and that a look
//! sent later neither lists nor ends, is over.

use std::collections::HashSet;
use std::time::Duration;

use super::map::Map;
use super::spec::TaskId;
use super::types::StartReply;
use super::worker::{Listing, Report, ReportedRun};

/// A run without progress for this long is told of: twice what a percent of the
/// longest usual task takes, and half of the time after which it is taken to be stuck.
const STALL_REPORT_AFTER: Duration = Duration::from_millis(1000);
/// Time between two checkpoints of a run that are told. They are renewed twice as
/// often; what is lost with a worker is half a second of work more.
const CHECKPOINT_REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// A run and the number of its try.
pub type RunKey = (TaskId, u32);

/// What is known of one run.
#[derive(Debug, Default)]
struct TrackedRun {
    /// A look sent later lists it, or it is over.
    expected_since: Option<Duration>,
    /// Whether the scheduler knows that it runs.
    reported: bool,
    /// Whether it was told that it stands still.
    reported_stalled: bool,
    /// Share of its work when it was last told.
    reported_percent: u32,
    percent: u32,
    progressed_at: Duration,
    checkpoint: String,
    checkpoint_reported_at: Duration,
}

/// Follows one worker from when one began to look at it.
#[derive(Debug, Default)]
pub struct RunTracker {
    runs: Map<RunKey, TrackedRun>,
    /// Whether a whole report was made.
    full_report_made: bool,
    /// Highest number of an end that was told.
    last_end: u64,
    /// Whether rows with figures are wanted each time.
    report_load: bool,
    /// When the newest look was sent whose answer was taken in.
    last_poll_sent: Duration,
}

impl RunTracker {
    /// Has figures of all runs told with each listing, or no longer.
    pub fn set_report_load(&mut self, wanted: bool) {
        self.report_load = wanted;
    }

    /// Takes in what came of a start.
    pub fn start_answered(&mut self, task: TaskId, attempt: u32, reply: StartReply, now: Duration) {
        match reply {
            StartReply::Taken => {
                let run = self.runs.entry((task, attempt)).or_default();
                run.expected_since.get_or_insert(now);
                run.reported = true;
                run.progressed_at = run.progressed_at.max(now);
            }
            StartReply::Unsure | StartReply::NoAnswer => {
                self.runs.entry((task, attempt)).or_default();
            }
            StartReply::Refused
            | StartReply::Ticket
            | StartReply::Unwell
            | StartReply::NotSent
            | StartReply::Deposed => {}
        }
    }

    /// Takes in that the worker has taken a stop: no start of this try or an earlier
    /// one can be taken any more.
    pub fn stop_accepted(&mut self, task: TaskId, attempt: u32, now: Duration) {
        let run = self.runs.entry((task, attempt)).or_default();
        run.expected_since.get_or_insert(now);
    }

    /// Takes in what a look that was sent at `asked` lists; returns what is new of it.
    /// Answers may overtake each other: there is nothing new in one to an earlier look.
    pub fn diff_listing(&mut self, listing: Listing, asked: Duration, now: Duration) -> Report {
        if asked < self.last_poll_sent {
            return Report::default();
        }
        self.last_poll_sent = asked;
        let whole = !std::mem::replace(&mut self.full_report_made, true);
        let here: HashSet<RunKey> = listing.running.iter().map(|r| (r.task, r.attempt)).collect();
        for end in &listing.ended {
            self.runs.remove(&(end.task, end.attempt));
        }
        let gone = self.remove_missing(&here, asked);
        let all = whole || self.report_load;
        let running = listing.running.into_iter().filter_map(|row| self.changed_row(row, all, now)).collect();
        let known = if whole { 0 } else { self.last_end };
        let ended: Vec<_> = listing.ended.into_iter().filter(|e| e.sequence_number > known).collect();
        self.last_end = ended.iter().map(|e| e.sequence_number).fold(known, u64::max);
        Report { full: whole, running, missing: gone, ended }
    }

    /// Runs that should be listed and are not.
    fn remove_missing(&mut self, here: &HashSet<RunKey>, asked: Duration) -> Vec<RunKey> {
        let over = |key: &RunKey, run: &TrackedRun| {
            run.expected_since.is_some_and(|since| since < asked) && !here.contains(key)
        };
        let mut gone: Vec<RunKey> =
            self.runs.iter().filter(|(key, run)| over(key, run)).map(|(key, _)| *key).collect();
        gone.sort_unstable();
        for key in &gone {
            self.runs.remove(key);
        }
        gone
    }

    /// The row of a run, if there is something new about it.
    fn changed_row(&mut self, row: ReportedRun, all: bool, now: Duration) -> Option<ReportedRun> {
        let fresh = || TrackedRun { progressed_at: now, ..TrackedRun::default() };
        let run = self.runs.entry((row.task, row.attempt)).or_insert_with(fresh);
        run.expected_since.get_or_insert(Duration::ZERO);
        if row.percent != run.percent {
            run.progressed_at = now;
            run.percent = row.percent;
        }
        let done = row.percent >= 100;
        let still = if done { Duration::ZERO } else { now.saturating_sub(run.progressed_at) };
        let stands = still >= STALL_REPORT_AFTER;
        let saved = !row.checkpoint.is_empty()
            && row.checkpoint != run.checkpoint
            && now >= run.checkpoint_reported_at + CHECKPOINT_REPORT_INTERVAL;
        let warmed = (run.reported_percent >= 100) != done;
        if !all && run.reported && stands == run.reported_stalled && !saved && !warmed {
            return None;
        }
        run.reported = true;
        run.reported_stalled = stands;
        run.reported_percent = row.percent;
        if saved {
            run.checkpoint.clone_from(&row.checkpoint);
            run.checkpoint_reported_at = now;
        }
        Some(ReportedRun { stalled_for: still, ..row })
    }
}
