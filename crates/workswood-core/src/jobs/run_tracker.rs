//! Reduces the run listings of one worker to what has changed.
//!
//! Each poll lists all runs of a worker, mostly unchanged. Whoever polls a worker keeps a
//! [`RunTracker`] and reports only the changes to the scheduler. A run that is known to have been
//! there is over if a later listing has neither the run nor its end. That holds only for answers
//! with all ends; see [`EndCoverage`].
//!
//! Several polls of a worker may be under way, one of which may wait at the worker. So the order in
//! which they were sent, or answered, is not the order in which their listings were made:
//!
//! * A listing proves that a run is over only if its poll was sent after it was known here that the
//!   run had been there. For the same reason a run that is known to be over is not taken back from
//!   a poll that was sent before that was known.
//! * Of two polls that were under way together, the worker's clock tells which listing is older, and
//!   an older one is ignored once a newer one was processed.

use std::collections::HashSet;
use std::time::Duration;

use super::spec::TaskId;
use super::stable_map::StableMap;
use super::types::StartReply;
use super::worker::{EndCoverage, Listing, ListingTimes, Report, ReportedRun, WorkerClock};

/// A run without progress for this long is reported as stalled. Must be longer than a run normally
/// needs for one percent, and shorter than
/// [`HealthPolicy::stuck_after`](super::policy::HealthPolicy::stuck_after).
const STALL_REPORT_AFTER: Duration = Duration::from_millis(1000);
/// Shortest time between two reports of a run's checkpoint.
const CHECKPOINT_REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// A run that is over is remembered for this long. Longer than a poll is under way.
const OVER_KEPT_FOR: Duration = Duration::from_millis(2000);

/// A task and its attempt number.
pub type RunKey = (TaskId, u32);

/// What is known of one run.
#[derive(Debug, Default)]
struct TrackedRun {
    /// Polls that are sent after this time list the run, unless it is over.
    expected_since: Option<Duration>,
    /// Whether the run was reported to the scheduler.
    reported: bool,
    /// Whether the run was last reported as stalled.
    reported_stalled: bool,
    /// Progress in percent that was last reported.
    reported_percent: u32,
    /// Progress in percent that was last listed.
    listed_percent: u32,
    progressed_at: Duration,
    /// Checkpoint that was last reported.
    reported_checkpoint: String,
    checkpoint_reported_at: Duration,
}

/// Tracks the runs of one worker from the first poll on.
#[derive(Debug, Default)]
pub struct RunTracker {
    runs: StableMap<RunKey, TrackedRun>,
    /// Runs that are over, with the time when that became known. A poll that was sent before that may still list
    /// them.
    over: StableMap<RunKey, Duration>,
    /// Whether a full report was made.
    full_report_made: bool,
    /// Highest sequence number of an end that was reported.
    last_end: u64,
    /// Whether every run is reported each time, for its load.
    report_load: bool,
    /// The listing that was processed last.
    last_listing: Option<ListingTimes>,
}

impl RunTracker {
    /// Sets whether all runs are reported with each listing, for their load.
    pub fn set_report_load(&mut self, wanted: bool) {
        self.report_load = wanted;
    }

    /// Handles the outcome of a start.
    pub fn start_answered(&mut self, task: TaskId, attempt: u32, reply: StartReply, now: Duration) {
        if self.over.contains_key(&(task, attempt)) {
            return;
        }
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

    /// Records that the worker has accepted a stop. After that, it accepts no start of this attempt
    /// or an earlier one. Returns whether it is not known that the run was ever there: then no end of it may be
    /// listed, and only a poll that is sent from now on tells that it is over.
    pub fn stop_accepted(&mut self, task: TaskId, attempt: u32, now: Duration) -> bool {
        if self.over.contains_key(&(task, attempt)) {
            return false;
        }
        let run = self.runs.entry((task, attempt)).or_default();
        let unheard = run.expected_since.is_none();
        run.expected_since.get_or_insert(now);
        unheard
    }

    /// Whether a run may exist, as far as polls and orders have told.
    pub fn is_tracked(&self, run: RunKey) -> bool {
        self.runs.contains_key(&run)
    }

    /// The listing that was processed last.
    pub fn last_listing(&self) -> Option<ListingTimes> {
        self.last_listing
    }

    /// Whether a newer listing has been processed than one that was made at `made_at`, for a poll that was sent at
    /// `sent_at`. A poll that was sent after the last answer had come has the newer listing, whatever the clocks say.
    pub fn is_overtaken(&self, made_at: WorkerClock, sent_at: Duration) -> bool {
        self.last_listing.is_some_and(|last| sent_at < last.received && made_at < last.made_at)
    }

    /// Handles the listing of a poll that was sent at `sent_at`; returns what has changed. A listing that is older
    /// than one that was processed is ignored.
    pub fn diff_listing(&mut self, mut listing: Listing, sent_at: Duration, now: Duration) -> Report {
        if self.is_overtaken(listing.made_at, sent_at) {
            return Report::default();
        }
        self.last_listing = Some(ListingTimes { sent: sent_at, made_at: listing.made_at, received: now });
        self.over.retain(|_, known_at| now < *known_at + OVER_KEPT_FOR);
        listing.running.retain(|r| !self.was_over(&(r.task, r.attempt), sent_at));
        let all_ends = listing.coverage == EndCoverage::All;
        let full = all_ends && !self.full_report_made;
        self.full_report_made |= full;
        let listed: HashSet<RunKey> = listing.running.iter().map(|r| (r.task, r.attempt)).collect();
        for end in &listing.ended {
            self.runs.remove(&(end.task, end.attempt));
        }
        let missing = if all_ends { self.remove_missing(&listed, sent_at) } else { Vec::new() };
        self.over.extend(missing.iter().map(|key| (*key, now)));
        let all = full || self.report_load;
        let running =
            listing.running.into_iter().filter_map(|listed| self.changed_run(listed, all, now)).collect();
        let known_end = if full { 0 } else { self.last_end };
        let ended: Vec<_> = listing.ended.into_iter().filter(|e| e.sequence_number > known_end).collect();
        self.last_end = ended.iter().map(|e| e.sequence_number).fold(known_end, u64::max);
        self.over.extend(ended.iter().map(|e| ((e.task, e.attempt), now)));
        Report { full, running, missing, ended }
    }

    /// Whether a run was known to be over when a poll was sent or became so since: that poll's listing can't tell that
    /// it is there.
    fn was_over(&self, key: &RunKey, sent_at: Duration) -> bool {
        self.over.get(key).is_some_and(|known_at| sent_at <= *known_at)
    }

    /// Number of runs that are remembered as over.
    pub fn remembered_over(&self) -> usize {
        self.over.len()
    }

    /// Removes and returns runs that should be listed and are not.
    fn remove_missing(&mut self, listed: &HashSet<RunKey>, sent_at: Duration) -> Vec<RunKey> {
        let is_missing = |key: &RunKey, run: &TrackedRun| {
            run.expected_since.is_some_and(|since| since < sent_at) && !listed.contains(key)
        };
        let mut missing: Vec<RunKey> =
            self.runs.iter().filter(|(key, run)| is_missing(key, run)).map(|(key, _)| *key).collect();
        missing.sort_unstable();
        for key in &missing {
            self.runs.remove(key);
        }
        missing
    }

    /// Returns the run if it has changed in a way that is reported.
    fn changed_run(&mut self, listed: ReportedRun, all: bool, now: Duration) -> Option<ReportedRun> {
        let new_run = || TrackedRun { progressed_at: now, ..TrackedRun::default() };
        let run = self.runs.entry((listed.task, listed.attempt)).or_insert_with(new_run);
        run.expected_since.get_or_insert(now);
        if listed.percent != run.listed_percent {
            run.progressed_at = now;
            run.listed_percent = listed.percent;
        }
        let done = listed.percent >= 100;
        let stalled_for = if done { Duration::ZERO } else { now.saturating_sub(run.progressed_at) };
        let stalled = stalled_for >= STALL_REPORT_AFTER;
        let new_checkpoint = !listed.checkpoint.is_empty()
            && listed.checkpoint != run.reported_checkpoint
            && now >= run.checkpoint_reported_at + CHECKPOINT_REPORT_INTERVAL;
        let completion_changed = (run.reported_percent >= 100) != done;
        if !all && run.reported && stalled == run.reported_stalled && !new_checkpoint && !completion_changed {
            return None;
        }
        run.reported = true;
        run.reported_stalled = stalled;
        run.reported_percent = listed.percent;
        if new_checkpoint {
            run.reported_checkpoint.clone_from(&listed.checkpoint);
            run.checkpoint_reported_at = now;
        }
        Some(ReportedRun { stalled_for, ..listed })
    }
}
