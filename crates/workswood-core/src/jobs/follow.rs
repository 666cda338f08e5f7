//! What is new in the listings of one worker.
//!
//! Each look lists all that runs on a worker, though mostly nothing of it is news.
//! Whoever looks keeps a [`Follow`] and tells the scheduler only what changed. It
//! knows the order of what it did itself: a run that it started, and that a look
//! sent later neither lists nor ends, is over.

use std::collections::HashSet;
use std::time::Duration;

use super::spec::TaskId;
use super::stable_map::StableMap;
use super::types::StartReply;
use super::worker::{Listing, Report, ReportedRun};

/// A run without progress for this long is told of: twice what a percent of the
/// longest usual task takes, and half of the time after which it is taken to be stuck.
const STILL: Duration = Duration::from_millis(1000);
/// Time between two checkpoints of a run that are told. They are renewed twice as
/// often; what is lost with a worker is half a second of work more.
const CHECKPOINT_EVERY: Duration = Duration::from_millis(1000);

/// A run and the number of its try.
pub type RunKey = (TaskId, u32);

/// What is known of one run.
#[derive(Debug, Default)]
struct Followed {
    /// A look sent later lists it, or it is over.
    certain: Option<Duration>,
    /// Whether the scheduler knows that it runs.
    told: bool,
    /// Whether it was told that it stands still.
    told_still: bool,
    /// Share of its work when it was last told.
    told_percent: u32,
    percent: u32,
    progressed: Duration,
    checkpoint: String,
    checkpoint_told: Duration,
}

/// Follows one worker from when one began to look at it.
#[derive(Debug, Default)]
pub struct Follow {
    runs: StableMap<RunKey, Followed>,
    /// Whether a whole report was made.
    begun: bool,
    /// Highest number of an end that was told.
    last_end: u64,
    /// Whether rows with figures are wanted each time.
    figures: bool,
    /// When the newest look was sent whose answer was taken in.
    asked: Duration,
}

impl Follow {
    /// Has figures of all runs told with each listing, or no longer.
    pub fn want_figures(&mut self, wanted: bool) {
        self.figures = wanted;
    }

    /// Takes in what came of a start.
    pub fn started(&mut self, task: TaskId, attempt: u32, reply: StartReply, now: Duration) {
        match reply {
            StartReply::Taken => {
                let run = self.runs.entry((task, attempt)).or_default();
                run.certain.get_or_insert(now);
                run.told = true;
                run.progressed = run.progressed.max(now);
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
    pub fn stop_taken(&mut self, task: TaskId, attempt: u32, now: Duration) {
        let run = self.runs.entry((task, attempt)).or_default();
        run.certain.get_or_insert(now);
    }

    /// Takes in what a look that was sent at `asked` lists; returns what is new of it.
    /// Answers may overtake each other: there is nothing new in one to an earlier look.
    pub fn listed(&mut self, listing: Listing, asked: Duration, now: Duration) -> Report {
        if asked < self.asked {
            return Report::default();
        }
        self.asked = asked;
        let whole = !std::mem::replace(&mut self.begun, true);
        let here: HashSet<RunKey> = listing.running.iter().map(|r| (r.task, r.attempt)).collect();
        for end in &listing.ended {
            self.runs.remove(&(end.task, end.attempt));
        }
        let gone = self.take_gone(&here, asked);
        let all = whole || self.figures;
        let running = listing.running.into_iter().filter_map(|row| self.row(row, all, now)).collect();
        let known = if whole { 0 } else { self.last_end };
        let ended: Vec<_> = listing.ended.into_iter().filter(|e| e.number > known).collect();
        self.last_end = ended.iter().map(|e| e.number).fold(known, u64::max);
        Report { whole, running, gone, ended }
    }

    /// Runs that should be listed and are not.
    fn take_gone(&mut self, here: &HashSet<RunKey>, asked: Duration) -> Vec<RunKey> {
        let over = |key: &RunKey, run: &Followed| {
            run.certain.is_some_and(|since| since < asked) && !here.contains(key)
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
    fn row(&mut self, row: ReportedRun, all: bool, now: Duration) -> Option<ReportedRun> {
        let fresh = || Followed { progressed: now, ..Followed::default() };
        let run = self.runs.entry((row.task, row.attempt)).or_insert_with(fresh);
        run.certain.get_or_insert(Duration::ZERO);
        if row.percent != run.percent {
            run.progressed = now;
            run.percent = row.percent;
        }
        let done = row.percent >= 100;
        let still = if done { Duration::ZERO } else { now.saturating_sub(run.progressed) };
        let stands = still >= STILL;
        let saved = !row.checkpoint.is_empty()
            && row.checkpoint != run.checkpoint
            && now >= run.checkpoint_told + CHECKPOINT_EVERY;
        let warmed = (run.told_percent >= 100) != done;
        if !all && run.told && stands == run.told_still && !saved && !warmed {
            return None;
        }
        run.told = true;
        run.told_still = stands;
        run.told_percent = row.percent;
        if saved {
            run.checkpoint.clone_from(&row.checkpoint);
            run.checkpoint_told = now;
        }
        Some(ReportedRun { still, ..row })
    }
}
