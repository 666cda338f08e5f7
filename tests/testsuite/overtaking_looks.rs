//! Answers to looks at a worker that overtake each other.

use std::time::Duration;

use workswood_core::jobs::{JobKey, Listing, ReportedRun, RunTracker, StartReply, TaskId};

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn listing(runs: &[TaskId]) -> Listing {
    let run = |task: &TaskId| ReportedRun {
        task: *task,
        attempt: 1,
        checkpoint: String::new(),
        percent: 10,
        load: 0,
        stalled_for: Duration::ZERO,
    };
    Listing { running: runs.iter().map(run).collect(), ..Listing::default() }
}

/// The run began between two looks, and the answer to the second came first.
#[test]
fn earlier_look_tells_nothing() {
    let mut follow = RunTracker::default();
    follow.diff_listing(listing(&[]), ms(100), ms(110));
    follow.start_answered(TASK, 1, StartReply::NoAnswer, ms(300));
    let report = follow.diff_listing(listing(&[TASK]), ms(320), ms(340));
    assert_eq!(report.running.len(), 1);
    let report = follow.diff_listing(listing(&[]), ms(200), ms(360));
    assert!(report.is_empty(), "{report:?}");
    let report = follow.diff_listing(listing(&[]), ms(380), ms(400));
    assert_eq!(report.missing, [(TASK, 1)], "a later look tells that it is over");
}
