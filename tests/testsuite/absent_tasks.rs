//! A long-running task that runs nowhere is logged with what keeps it from running.

use std::sync::Arc;
use std::time::Duration;

use workswood::util::job_metrics::JobMetrics;
use workswood_core::jobs::job::AbsenceRecord;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, EndKind, EndedAbsence, Event, JobKey, JobRecord, JobSpec, Listing, Record, ReportedEnd,
    Scheduler, StepSpec, StoreAccess, TaskId, WaitReason, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, limits, worker};
use workswood_test_support::job_world::{job, step};

/// A job of one long-running task that needs this much processor.
fn long_running_job(cpu_millis: u64) -> JobSpec {
    let mut lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    lasting.resources.cpu_millis = cpu_millis;
    job(vec![lasting], 100)
}

/// Submits a job; returns its starts.
fn submit(world: &mut HostWorld, key: u64, spec: JobSpec) -> Vec<Action> {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    world.tick().into_iter().filter(|a| matches!(a, Action::Start { .. })).collect()
}

/// A world whose only worker runs a long-running task.
fn world_with_running_task() -> (HostWorld, WorkerId) {
    let mut world = HostWorld::new(1);
    world.at(100);
    let started = submit(&mut world, 1, long_running_job(1000));
    let Some(Action::Start { worker, task, attempt, .. }) = started.first() else { panic!("no start") };
    world.taken(worker, *task, *attempt);
    let worker = worker.clone();
    (world, worker)
}

/// Ticks from one time to another; returns the lines about absent tasks.
fn lines_until(world: &mut HostWorld, from_ms: u64, to_ms: u64) -> Vec<String> {
    world.sched.notes.clear();
    for ms in (from_ms..=to_ms).step_by(100) {
        world.at(ms);
        world.tick();
    }
    let absent = |line: &&str| line.contains("event=long_running_task_absent");
    world.sched.notes.iter().filter(absent).map(str::to_string).collect()
}

#[test]
fn no_line_while_running() {
    let (mut world, _) = world_with_running_task();
    assert_eq!(lines_until(&mut world, 200, 5_000), Vec::<String>::new());
    assert_eq!(world.sched.absent_long_running_tasks(), 0);
}

#[test]
fn full_workers() {
    let mut world = HostWorld::new(2);
    world.at(100);
    assert!(submit(&mut world, 1, long_running_job(9000)).is_empty(), "no worker is that large");
    let lines = lines_until(&mut world, 200, 6_000);
    assert_eq!(lines.len(), 5, "one line after a second and one each second then: {lines:#?}");
    assert!(lines[0].contains("reason=no_worker with_room=0 backoff=0"), "{}", lines[0]);
    assert!(lines[0].contains("term=1 "), "{}", lines[0]);
    assert_eq!(world.sched.absent_long_running_tasks(), 1);
}

#[test]
fn worker_in_backoff() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let id = worker(0, 0).id;
    if let Some(mut w) = world.sched.workers.get_mut(&id) {
        w.backoff_until = Duration::from_secs(60);
    }
    assert!(submit(&mut world, 1, long_running_job(1000)).is_empty());
    let lines = lines_until(&mut world, 200, 2_000);
    assert!(lines[0].contains("reason=no_worker with_room=1 backoff=1 quarantined=0 slow=0"), "{}", lines[0]);
}

#[test]
fn unreachable_worker() {
    let (mut world, worker) = world_with_running_task();
    let lease_end = Duration::from_secs(9);
    world.tells(&worker, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(100) });
    let lines = lines_until(&mut world, 200, 2_000);
    let wanted = format!("reason=worker_unreachable worker={worker} lease_left_ms=");
    assert!(lines[0].contains(&wanted), "{}", lines[0]);
}

#[test]
fn store_away() {
    let mut world = HostWorld::new(1);
    world.at(100);
    world.sched.set_store_access(StoreAccess::Away);
    assert!(submit(&mut world, 1, long_running_job(1000)).is_empty());
    let lines = lines_until(&mut world, 200, 2_000);
    assert!(lines[0].contains("reason=store_away"), "{}", lines[0]);
}

const LATER: u64 = 1_700_000_000_000;

/// The only task of job 1.
fn task() -> TaskId {
    TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 }
}

/// The value of a field in a log line.
fn field<'a>(line: &'a str, name: &str) -> &'a str {
    let mut fields = line.split(' ').filter_map(|f| f.split_once('='));
    fields.find(|(n, _)| *n == name).unwrap_or_else(|| panic!("{line} has no {name}")).1
}

/// The number in a field of a log line.
fn number(line: &str, name: &str) -> i64 {
    field(line, name).parse().expect("a number")
}

/// Lines about tasks that are at work again.
fn lines_back(world: &HostWorld) -> Vec<String> {
    let back = |line: &&str| line.contains("event=long_running_task_back");
    world.sched.notes.iter().filter(back).map(str::to_string).collect()
}

/// A world whose only worker was last heard at 0.1 s, with a task that has been absent until 3 s.
fn world_with_silent_worker() -> (HostWorld, WorkerId) {
    let (mut world, worker) = world_with_running_task();
    let lease_end = Duration::from_secs(9);
    world.at(200);
    world.tells(&worker, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(100) });
    lines_until(&mut world, 300, 3_000);
    (world, worker)
}

/// The worker answers with the end of its run, and its next start is taken.
fn restart_on(world: &mut HostWorld, id: &WorkerId) {
    let end = ReportedEnd {
        sequence_number: 1,
        task: task(),
        attempt: 1,
        kind: EndKind::Lapsed,
        checkpoint: String::new(),
    };
    world.answers(id, Listing { ended: vec![end], ..Listing::default() });
    let started = world.tick().into_iter().find(|a| matches!(a, Action::Start { .. }));
    let Some(Action::Start { attempt, .. }) = started else { panic!("no start") };
    world.taken(id, task(), attempt);
}

/// The record of job 1 in the batch of a tick.
fn recorded(world: &mut HostWorld) -> Option<JobRecord> {
    world.sched.handle(Event::Tick);
    world.sched.take_batch().records.into_iter().find_map(|r| match r {
        Record::Job(key, rec) if key.number == 1 => Some(rec),
        _ => None,
    })
}

/// Whether the run of a task is on record when a successor takes over.
#[derive(PartialEq)]
enum LastRunIs {
    /// It is over.
    Over,
    /// It is on a worker that doesn't answer the successor.
    OnSilentWorker,
}

/// A successor that takes over job 1 with this absence of its task, on record as tried once.
fn successor(wall: u64, absence: Option<AbsenceRecord>) -> Scheduler {
    successor_of(LastRunIs::Over, wall, absence)
}

fn successor_of(last_run: LastRunIs, wall: u64, absence: Option<AbsenceRecord>) -> Scheduler {
    let (mut world, _) = world_with_running_task();
    world.at(150);
    let spec = world.sched.jobs.get(&JobKey::of_number(1)).expect("the job").spec.clone();
    let mut rec = world.sched.jobs.get(&JobKey::of_number(1)).expect("the job").record();
    if last_run == LastRunIs::Over {
        rec.rounds[0][0][0].runs.clear();
    }
    rec.rounds[0][0][0].absence = absence;
    let claimed_at = Duration::from_secs(30);
    let mut sched = Scheduler::new(2, limits(), claimed_at, wall);
    sched.handle(Event::ConfigChanged(world.sched.config.clone()));
    sched.restore_job(JobKey::of_number(1), Some(spec), Some(rec));
    sched.handle(Event::Tick);
    sched
}

/// The line about the absence that a successor logs at its first check.
fn first_line(sched: &Scheduler) -> String {
    let absent = |line: &&str| line.contains("event=long_running_task_absent");
    sched.notes.iter().find(absent).expect("a line").to_string()
}

#[test]
fn wait_for_lease_is_for_safety() {
    let (mut world, _) = world_with_silent_worker();
    let lines = lines_until(&mut world, 3_100, 4_500);
    assert_eq!(field(&lines[0], "kind"), "safety", "{}", lines[0]);
    // It was noticed at 0.5 s; the last answer, the shortest lease and the bound.
    let (absent, left) = (number(&lines[0], "absent_ms"), number(&lines[0], "restart_left_ms"));
    assert_eq!(500 + absent + left, 100 + 4_900 + 9_000, "{}", lines[0]);
}

#[test]
fn backoff_is_a_safeguard() {
    let mut world = HostWorld::new(1);
    world.at(100);
    if let Some(mut w) = world.sched.workers.get_mut(&worker(0, 0).id) {
        w.backoff_until = Duration::from_secs(60);
    }
    submit(&mut world, 1, long_running_job(1000));
    let lines = lines_until(&mut world, 200, 2_000);
    assert_eq!(field(&lines[0], "kind"), "safeguard", "{}", lines[0]);
}

#[test]
fn first_start_is_absent_from_its_turn() {
    let mut world = HostWorld::new(1);
    world.at(400);
    submit(&mut world, 1, long_running_job(9000));
    let lines = lines_until(&mut world, 500, 2_000);
    assert_eq!((field(&lines[0], "first_start"), field(&lines[0], "kind")), ("true", "capacity"));
    let (absent, left) = (number(&lines[0], "absent_ms"), number(&lines[0], "restart_left_ms"));
    assert_eq!((absent + left, absent % 500), (9_000, 100), "{}", lines[0]);
}

#[test]
fn most_lines_of_one_check() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let many = StepSpec { long_running: true, ..step(40, vec![]) };
    let spec = job(vec![StepSpec { resources: long_running_job(9000).steps[0].resources, ..many }], 100);
    submit(&mut world, 1, spec);
    lines_until(&mut world, 200, 1_400);
    assert_eq!(lines_until(&mut world, 1_500, 1_500).len(), 16);
    let counted = "event=long_running_tasks_absent tasks=40 unlogged=24 term=1";
    assert!(world.sched.notes.iter().any(|line| line == counted));
}

#[test]
fn back_at_work_by_a_start() {
    let (mut world, worker) = world_with_silent_worker();
    restart_on(&mut world, &worker);
    let lines = lines_back(&world);
    let [line] = lines.as_slice() else { panic!("one line: {lines:?}") };
    assert_eq!((field(line, "attempt"), field(line, "in_time")), ("2", "true"), "{line}");
    assert_eq!(number(line, "absent_ms"), 2_500, "{line}");
    assert_eq!(field(line, "waits"), "\"worker_unreachable:2500\"", "{line}");
    let ended = EndedAbsence {
        length: Duration::from_millis(2_500),
        waited_for: WaitReason::WorkerUnreachable,
        in_time: true,
    };
    assert_eq!(world.sched.take_ended_absences(), [ended]);
}

#[test]
fn back_at_work_by_an_answer() {
    let (mut world, worker) = world_with_running_task();
    let start = world.actions.iter().find(|a| matches!(a, Action::Start { .. })).cloned();
    let lease_end = Duration::from_secs(9);
    world.at(200);
    world.tells(&worker, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(100) });
    lines_until(&mut world, 300, 3_000);
    world.report(0, 0, &[start.expect("a start")]);
    let lines = lines_back(&world);
    let [line] = lines.as_slice() else { panic!("one line: {lines:?}") };
    assert_eq!((field(line, "attempt"), field(line, "in_time")), ("1", "true"), "{line}");
    assert!(field(line, "waits").starts_with("\"worker_unreachable:"), "{line}");
}

#[test]
fn absence_is_recorded_once() {
    let (mut world, worker) = world_with_running_task();
    let lease_end = Duration::from_secs(9);
    world.at(200);
    recorded(&mut world);
    world.tells(&worker, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(100) });
    let mut records = Vec::new();
    for ms in (300..=6_000).step_by(100) {
        world.at(ms);
        records.extend(recorded(&mut world));
    }
    let [rec] = records.as_slice() else { panic!("one record: {records:?}") };
    let absence = rec.rounds[0][0][0].absence.expect("an absence");
    assert_eq!(absence, AbsenceRecord { since: 500, restart_by: 14_000 });
}

#[test]
fn record_without_absence_when_back() {
    let (mut world, worker) = world_with_silent_worker();
    restart_on(&mut world, &worker);
    let rec = recorded(&mut world).expect("a record");
    assert_eq!(rec.rounds[0][0][0].absence, None);
}

/// Absences of 300 tasks in the record of their job.
#[test]
fn most_stored_absences() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let many = StepSpec { long_running: true, ..step(300, vec![]) };
    let spec = job(vec![StepSpec { resources: long_running_job(9000).steps[0].resources, ..many }], 100);
    submit(&mut world, 1, spec);
    let mut records = Vec::new();
    for ms in (200..=6_000).step_by(100) {
        world.at(ms);
        records.extend(recorded(&mut world));
    }
    let [rec] = records.as_slice() else { panic!("one record, not {}", records.len()) };
    assert_eq!(rec.rounds[0][0].iter().filter(|t| t.absence.is_some()).count(), 256);
}

#[test]
fn deadline_counts_from_last_answer_of_a_life_that_is_over() {
    let (mut world, worker) = world_with_silent_worker();
    world.sched.handle(Event::OtherIncarnationAnswered(worker, Duration::from_millis(100)));
    let lines = lines_until(&mut world, 3_100, 4_500);
    let (absent, left) = (number(&lines[0], "absent_ms"), number(&lines[0], "restart_left_ms"));
    assert_eq!(500 + absent + left, 100 + 9_000, "{}", lines[0]);
}

#[test]
fn deadline_stays_while_further_workers_are_silent() {
    let (mut world, worker) = world_with_silent_worker();
    world.sched.handle(Event::WorkerListed(self::worker(1, 0)));
    world.report(1, 0, &[]);
    world.sched.handle(Event::OtherIncarnationAnswered(worker, Duration::from_millis(100)));
    let started = world.tick();
    let on_second =
        |a: &Action| matches!(a, Action::Start { worker, .. } if *worker == self::worker(1, 0).id);
    assert!(started.iter().any(on_second), "{started:?}");
    let (lease_end, heard) = (Duration::from_secs(9), Duration::from_secs(3));
    world.tells(&self::worker(1, 0).id, WorkerUpdate::Unanswered { lease_end, heard });
    let lines = lines_until(&mut world, 3_100, 4_500);
    assert_eq!(field(&lines[0], "reason"), "worker_unreachable", "{}", lines[0]);
    let (absent, left) = (number(&lines[0], "absent_ms"), number(&lines[0], "restart_left_ms"));
    assert_eq!(500 + absent + left, 100 + 9_000, "{}", lines[0]);
}

#[test]
fn second_absence_counts_anew() {
    let (mut world, worker) = world_with_silent_worker();
    restart_on(&mut world, &worker);
    let (lease_end, heard) = (Duration::from_secs(9), Duration::from_millis(3_000));
    world.tells(&worker, WorkerUpdate::Unanswered { lease_end, heard });
    let lines = lines_until(&mut world, 3_100, 5_000);
    let (absent, left) = (number(&lines[0], "absent_ms"), number(&lines[0], "restart_left_ms"));
    assert_eq!((absent, absent + left), (1_000, 4_900 + 9_000 - 500), "{}", lines[0]);
}

#[test]
fn metrics_of_a_late_restart() {
    let metrics = JobMetrics::default();
    let length = Duration::from_millis(9_400);
    metrics.count_absence(&EndedAbsence { length, waited_for: WaitReason::NoWorker, in_time: false });
    let text = metrics.text();
    assert!(text.contains("workswood_long_running_absences_total{reason=\"no_worker\"} 1"), "{text}");
    assert!(text.contains("workswood_long_running_absence_seconds_sum 9.4"), "{text}");
    assert!(text.contains("workswood_long_running_late_restarts_total 1"), "{text}");
}

#[test]
fn successor_tells_inherited_absence() {
    let stored = AbsenceRecord { since: LATER - 4_000, restart_by: LATER + 3_000 };
    let line = first_line(&successor(LATER, Some(stored)));
    assert_eq!((number(&line, "absent_ms"), number(&line, "restart_left_ms")), (4_000, 3_000), "{line}");
    assert_eq!((field(&line, "term"), field(&line, "term_age_ms")), ("2", "0"), "{line}");
}

#[test]
fn successor_keeps_inherited_deadline() {
    let stored = AbsenceRecord { since: LATER - 1_000, restart_by: LATER + 10_000 };
    let line = first_line(&successor_of(LastRunIs::OnSilentWorker, LATER, Some(stored)));
    assert_eq!((number(&line, "absent_ms"), number(&line, "restart_left_ms")), (1_000, 10_000), "{line}");
}

/// The worker may have been gone before the term, and a whole lease of it was counted.
#[test]
fn worker_not_heard_in_the_term() {
    let mut sched = successor_of(LastRunIs::OnSilentWorker, LATER, None);
    sched.now += Duration::from_secs(1);
    sched.wall += 1_000;
    sched.handle(Event::Tick);
    let line = first_line(&sched);
    assert_eq!(number(&line, "restart_left_ms"), 9_000 - 2_000 - 1_000, "{line}");
}

#[test]
fn clock_of_predecessor_ahead() {
    let stored = AbsenceRecord { since: LATER + 90_000, restart_by: LATER + 99_000 };
    let mut sched = successor(LATER, Some(stored));
    sched.now += Duration::from_secs(1);
    sched.wall += 1_000;
    sched.handle(Event::Tick);
    let line = first_line(&sched);
    // The longest lease and the bound, a second later.
    let longest_left = sched.lease_with_drift().as_millis() as i64 + 9_000 - 1_000;
    assert_eq!(
        (number(&line, "absent_ms"), number(&line, "restart_left_ms")),
        (1_000, longest_left),
        "{line}"
    );
}

#[test]
fn clock_of_predecessor_behind() {
    let stored = AbsenceRecord { since: 0, restart_by: 9_000 };
    let line = first_line(&successor(LATER, Some(stored)));
    assert_eq!((number(&line, "absent_ms"), number(&line, "restart_left_ms")), (600_000, -600_000), "{line}");
}

#[test]
fn absence_without_record_began_before_term() {
    let mut sched = successor(LATER, None);
    sched.now += Duration::from_secs(1);
    sched.wall += 1_000;
    sched.handle(Event::Tick);
    let line = first_line(&sched);
    assert_eq!(number(&line, "restart_left_ms"), 9_000 - 2_000 - 1_000, "{line}");
    assert_eq!(field(&line, "first_start"), "false", "{line}");
}
