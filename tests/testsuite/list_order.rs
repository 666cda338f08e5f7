//! What each rule of the order of a worker's listings holds alone.

use std::time::Duration;

use workswood_core::jobs::{
    EndKind, JobKey, Listing, ReportedEnd, ReportedRun, RunTracker, StartReply, TaskId,
};

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn us(n: u64) -> Duration {
    Duration::from_micros(n)
}

/// A listing with the run, at this progress.
fn runs(made_at: u64, percent: u32) -> Listing {
    let (checkpoint, stalled_for) = (percent.to_string(), Duration::ZERO);
    let run = ReportedRun { task: TASK, attempt: 1, checkpoint, percent, load: 0, stalled_for };
    Listing { made_at: ms(made_at), running: vec![run], ..Listing::default() }
}

/// A listing without runs and ends.
fn idle(made_at: u64) -> Listing {
    Listing { made_at: ms(made_at), ..Listing::default() }
}

/// A listing with the end of the run.
fn ends(made_at: u64, kind: EndKind) -> Listing {
    let end = ReportedEnd { sequence_number: 1, task: TASK, attempt: 1, kind, checkpoint: String::new() };
    Listing { ended: vec![end], ..idle(made_at) }
}

/// A tracker that has reported the run.
fn tracker() -> RunTracker {
    let mut tracker = RunTracker::default();
    assert_eq!(tracker.diff_listing(runs(5, 10), ms(0), ms(10)).running.len(), 1);
    tracker
}

/// TWICE: the first poll waits at the worker and lists the run; the second was answered before the run began.
#[test]
fn older_list_settles_listed_run() {
    let mut tracker = RunTracker::default();
    tracker.diff_listing(idle(5), ms(0), ms(10));
    let report = tracker.diff_listing(runs(355, 10), ms(100), ms(360));
    assert_eq!(report.running.len(), 1);
    let report = tracker.diff_listing(idle(305), ms(300), ms(380));
    assert!(report.is_empty(), "{report:?}");
    let report = tracker.diff_listing(idle(405), ms(400), ms(410));
    assert_eq!(report.missing, [(TASK, 1)], "a later list tells that it is over");
}

/// BUDGET: the first poll waits at the worker and tells of the end; the second was answered while the run lived.
#[test]
fn older_list_revives_ended_run() {
    let mut tracker = tracker();
    let report = tracker.diff_listing(ends(355, EndKind::Failed), ms(100), ms(360));
    assert_eq!(report.ended.len(), 1);
    let report = tracker.diff_listing(runs(305, 10), ms(300), ms(380));
    assert!(report.is_empty(), "{report:?}");
    let report = tracker.diff_listing(idle(405), ms(400), ms(410));
    assert!(report.is_empty(), "{report:?}");
}

/// LOST: both listings are of one millisecond, so the clock doesn't tell that the one with the run is older.
#[test]
fn ended_run_listed_in_same_millisecond() {
    let mut tracker = tracker();
    assert_eq!(tracker.diff_listing(ends(355, EndKind::Stopped), ms(100), ms(360)).ended.len(), 1);
    let report = tracker.diff_listing(runs(355, 20), ms(300), ms(380));
    assert!(report.is_empty(), "{report:?}");
}

/// LOST: the same without an end.
#[test]
fn missing_run_listed_in_same_millisecond() {
    let mut tracker = tracker();
    assert_eq!(tracker.diff_listing(idle(355), ms(100), ms(360)).missing, [(TASK, 1)]);
    let report = tracker.diff_listing(runs(355, 20), ms(300), ms(380));
    assert!(report.is_empty(), "{report:?}");
}

/// TWICE: both listings are of one millisecond, so the clock doesn't tell that the one without the run is older.
#[test]
fn listed_run_missing_in_same_millisecond() {
    let mut tracker = RunTracker::default();
    tracker.diff_listing(idle(5), ms(0), ms(10));
    assert_eq!(tracker.diff_listing(runs(355, 10), ms(100), ms(360)).running.len(), 1);
    let report = tracker.diff_listing(idle(355), ms(300), ms(380));
    assert!(report.is_empty(), "{report:?}");
    assert_eq!(tracker.diff_listing(idle(405), ms(361), ms(410)).missing, [(TASK, 1)]);
}

/// An older list would report that the run has done less than was reported.
#[test]
fn older_list_reports_older_progress() {
    let mut tracker = tracker();
    assert_eq!(tracker.diff_listing(runs(1_355, 100), ms(100), ms(1_360)).running.len(), 1);
    let report = tracker.diff_listing(runs(1_305, 20), ms(1_300), ms(1_380));
    assert!(report.is_empty(), "{report:?}");
}

/// LOST: after a clock that went back, nothing that the worker tells would be heard.
#[test]
fn listing_after_clock_went_back() {
    let mut tracker = tracker();
    tracker.diff_listing(idle(9_000), us(9_500), ms(20));
    assert!(tracker.is_overtaken(ms(8_000), ms(20) - us(1)));
    assert_eq!(tracker.diff_listing(ends(8_000, EndKind::Done), ms(20), ms(30)).ended.len(), 1);
}

/// LOST: the end was told, and a poll was sent and answered after that, all within one millisecond of the worker's clock.
#[test]
fn ended_run_listed_late_in_same_millisecond() {
    let mut tracker = tracker();
    assert_eq!(tracker.diff_listing(ends(355, EndKind::Stopped), ms(300), us(355_400)).ended.len(), 1);
    assert!(tracker.diff_listing(ends(355, EndKind::Stopped), us(355_500), us(355_900)).is_empty());
    let report = tracker.diff_listing(runs(355, 20), ms(100), ms(380));
    assert!(report.is_empty(), "{report:?}");
}

/// The answer to the start comes after the end was told and acknowledged; the run would be reported as missing.
#[test]
fn late_start_answer_after_end() {
    let mut tracker = tracker();
    assert_eq!(tracker.diff_listing(ends(100, EndKind::Done), ms(90), ms(110)).ended.len(), 1);
    tracker.start_answered(TASK, 1, StartReply::Taken, ms(120));
    let report = tracker.diff_listing(idle(140), ms(130), ms(150));
    assert!(report.is_empty(), "{report:?}");
}

/// The memory of runs that are over would grow with every run of a worker.
#[test]
fn runs_over_are_forgotten() {
    let mut tracker = tracker();
    tracker.diff_listing(ends(100, EndKind::Done), ms(90), ms(110));
    assert_eq!(tracker.remembered_over(), 1);
    tracker.diff_listing(idle(1_500), ms(1_490), ms(1_510));
    assert_eq!(tracker.remembered_over(), 1, "an older poll may be under way");
    tracker.diff_listing(idle(2_200), ms(2_190), ms(2_210));
    assert_eq!(tracker.remembered_over(), 0);
}
