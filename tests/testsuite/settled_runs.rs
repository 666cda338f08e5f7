//! What the log and the metrics tell of runs that are settled, that come back, and that are started again.

use std::sync::Arc;
use std::time::Duration;

use workswood::util::job_metrics::JobMetrics;
use workswood_core::jobs::ListingTimes;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::listing_log::{ClockWarnings, PollKind, runs_missing_line};
use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, Report, ReportedEnd, ReportedRun, StartReply, TaskId, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, listed, worker};
use workswood_test_support::job_world::{job, step};

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn line(world: &HostWorld, event: &str) -> Option<String> {
    let prefix = format!("event={event} ");
    let lines = world.sched.notes.iter().filter(|line| line.starts_with(&prefix));
    lines.last().map(str::to_string)
}

/// A world with one task, whose start is under way at 100 ms, and the start.
fn started() -> (HostWorld, Action) {
    let mut world = HostWorld::new(1);
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 5))));
    let start = start(&mut world);
    (world, start)
}

fn start(world: &mut HostWorld) -> Action {
    let actions = world.tick();
    let start = actions.into_iter().find(|a| matches!(a, Action::Start { .. }));
    start.expect("the task is started")
}

fn id() -> WorkerId {
    worker(0, 0).id
}

/// The worker takes the start at 100 ms; its run is settled at 300 ms, in a world that is returned.
fn settled() -> (HostWorld, Action) {
    let (mut world, first) = started();
    world.taken(&id(), TASK, 1);
    world.at(300);
    let report = Report { missing: vec![(TASK, 1)], ..Report::default() };
    world.tells(&id(), WorkerUpdate::Reported(report));
    (world, first)
}

fn ends(world: &mut HostWorld, kind: EndKind) {
    let end = ReportedEnd { sequence_number: 1, task: TASK, attempt: 1, kind, checkpoint: String::new() };
    let report = Report { ended: vec![end], ..Report::default() };
    world.tells(&id(), WorkerUpdate::Reported(report));
}

fn lists(world: &mut HostWorld, run: &Action) {
    let running = listed(run).into_iter().collect();
    world.tells(&id(), WorkerUpdate::Reported(Report { running, ..Report::default() }));
}

#[test]
fn settled_run_shows_phase_and_confirmation() {
    let (world, _) = settled();
    let line = line(&world, "run_settled").expect("a line");
    let start = format!("event=run_settled worker={} task={TASK} attempt=1 ran_ms=", id());
    assert!(line.starts_with(&start), "{line}");
    assert!(line.ends_with(" reason=no_longer_listed phase=Running confirmed_ms_ago=200"), "{line}");
}

#[test]
fn unconfirmed_run_is_settled() {
    let (mut world, _) = started();
    world.tells(&id(), WorkerUpdate::Started(TASK, 1, StartReply::Refused));
    let line = line(&world, "run_settled").expect("a line");
    assert!(line.ends_with(" reason=start_refused phase=Starting confirmed_ms_ago=unconfirmed"), "{line}");
}

fn returned(ms: u64, returned_as: &str) -> Option<String> {
    Some(format!(
        "event=settled_run_returned worker={} task={TASK} attempt=1 settled_ms_ago={ms} \
         settled_as=no_longer_listed returned_as={returned_as}",
        id()
    ))
}

#[test]
fn settled_run_is_adopted() {
    let (mut world, first) = settled();
    world.at(340);
    lists(&mut world, &first);
    assert_eq!(line(&world, "settled_run_returned"), returned(40, "adopted"));
    assert_eq!(world.sched.counters.settled_runs_returned, 1);
}

/// It counts once, however often it is told of.
#[test]
fn settled_run_is_stray_and_ends() {
    let (mut world, first) = settled();
    start(&mut world);
    world.at(350);
    lists(&mut world, &first);
    lists(&mut world, &first);
    ends(&mut world, EndKind::Stopped);
    assert_eq!(line(&world, "settled_run_returned"), returned(50, "stray"));
    assert_eq!(world.sched.counters.settled_runs_returned, 1);
}

#[test]
fn settled_run_is_done() {
    let (mut world, _) = settled();
    start(&mut world);
    world.at(900);
    ends(&mut world, EndKind::Done);
    assert_eq!(line(&world, "settled_run_returned"), returned(600, "Done"));
    assert_eq!(world.sched.counters.settled_runs_returned, 1);
}

#[test]
fn lapsed_run_has_not_returned() {
    let (mut world, _) = settled();
    ends(&mut world, EndKind::Lapsed);
    assert_eq!((line(&world, "settled_run_returned"), world.sched.counters.settled_runs_returned), (None, 0));
}

#[test]
fn refused_run_has_not_returned() {
    let (mut world, first) = started();
    world.tells(&id(), WorkerUpdate::Started(TASK, 1, StartReply::Refused));
    lists(&mut world, &first);
    assert_eq!((line(&world, "settled_run_returned"), world.sched.counters.settled_runs_returned), (None, 0));
}

#[test]
fn first_placement_has_no_earlier_run() {
    let (world, _) = started();
    let wanted = format!("event=task_placed worker={} task={TASK} attempt=1", id());
    assert_eq!(line(&world, "task_placed"), Some(wanted));
}

#[test]
fn placement_after_settling() {
    let (mut world, _) = settled();
    world.at(310);
    start(&mut world);
    let wanted = format!(
        "event=task_placed worker={0} task={TASK} attempt=2 earlier=no_longer_listed earlier_worker={0} \
         earlier_attempt=1 over_ms_ago=10",
        id()
    );
    assert_eq!(line(&world, "task_placed"), Some(wanted));
}

#[test]
fn placement_after_end() {
    let (mut world, _) = started();
    world.taken(&id(), TASK, 1);
    world.at(400);
    ends(&mut world, EndKind::Broken);
    start(&mut world);
    let line = line(&world, "task_placed").expect("a line");
    let wanted = format!(" attempt=2 earlier=Broken earlier_worker={} earlier_attempt=1 over_ms_ago=0", id());
    assert!(line.ends_with(&wanted), "{line}");
}

/// Memory: of more settled runs than are remembered, the oldest is forgotten first.
#[test]
fn many_settled_runs() {
    let (mut world, first) = started();
    let mut last = first.clone();
    for attempt in 1..=4097 {
        let report = Report { missing: vec![(TASK, attempt)], ..Report::default() };
        world.tells(&id(), WorkerUpdate::Reported(report));
        last = start(&mut world);
    }
    assert!(matches!(last, Action::Start { attempt: 4098, .. }), "{last:?}");
    lists(&mut world, &first);
    assert_eq!(world.sched.counters.settled_runs_returned, 0);
    let running = listed(&first).into_iter().map(|run| ReportedRun { attempt: 2, ..run }).collect();
    world.tells(&id(), WorkerUpdate::Reported(Report { running, ..Report::default() }));
    assert_eq!(world.sched.counters.settled_runs_returned, 1);
}

fn times(sent: u64, made_at: u64, received: u64) -> ListingTimes {
    ListingTimes { sent: ms(sent), made_at: ms(made_at), received: ms(received) }
}

/// The first poll waited at the worker; the one after a stop was answered before, and came later.
#[test]
fn missing_run_shows_both_listings() {
    let (first, second) = (times(100, 355, 360), times(300, 305, 380));
    let mut warnings = ClockWarnings::default();
    assert_eq!(runs_missing_line(&id(), first, None, PollKind::Waiting, &[]), None);
    assert_eq!(warnings.warning(&id(), first, None), None);
    let line = runs_missing_line(&id(), second, Some(first), PollKind::AfterStop, &[(TASK, 1)]);
    let warning = warnings.warning(&id(), second, Some(first));
    let wanted = format!(
        "event=runs_missing worker={} runs=1 task={TASK} attempt=1 asked_ms_ago=80 clock_ms=305 \
         previous_clock_ms=355 previous_asked_ms_ago=280 previous_heard_ms_ago=20 poll=after_stop",
        id()
    );
    assert_eq!((line, warning), (Some(wanted), None));
}

#[test]
fn run_missing_from_first_listing() {
    let runs = [(TASK, 2), (TASK, 3)];
    let line = runs_missing_line(&id(), times(100, 110, 120), None, PollKind::Waiting, &runs);
    let line = line.expect("a line");
    assert!(line.contains(" runs=2 ") && line.contains(" attempt=2 "), "{line}");
    let wanted = " previous_clock_ms=none previous_asked_ms_ago=none previous_heard_ms_ago=none poll=waiting";
    assert!(line.ends_with(wanted), "{line}");
}

#[test]
fn clock_that_goes_back_is_told_seldom() {
    let mut warnings = ClockWarnings::default();
    let (first, second) = (times(100, 9_000, 120), times(130, 8_000, 140));
    assert_eq!(warnings.warning(&id(), first, None), None);
    let warning = warnings.warning(&id(), second, Some(first));
    let wanted = format!("event=worker_clock_went_back worker={} clock_ms=8000 previous_clock_ms=9000", id());
    assert_eq!(warning, Some(wanted));
    let third = times(150, 7_000, 160);
    let again = warnings.warning(&id(), third, Some(second));
    assert_eq!(again, None, "a warning was given 20 ms before");
    let warning = warnings.warning(&id(), times(60_150, 6_000, 60_160), Some(third));
    assert!(warning.is_some(), "a minute later");
}

#[test]
fn metric_of_returned_runs() {
    let metrics = JobMetrics::default();
    metrics.settled_runs_returned.set(3);
    assert!(metrics.text().contains("workswood_settled_runs_returned 3"));
}
