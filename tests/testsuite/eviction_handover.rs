//! A new holder counts what its predecessor evicted as away.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::types::Record;
use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, JobRecord, JobSpec, Listing, ReportedEnd, ReportedRun, TaskId,
};
use workswood_test_support::host_world::{HostWorld, host, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Workers; the lasting tasks stand on all but the last.
const WORKERS: usize = 4;
/// Time between two ticks, in milliseconds.
const TICK: u64 = 150;
/// When the first holder is followed by the next, in milliseconds.
const TAKEN_OVER: u64 = 2000;

/// A job of three lasting tasks, of which one may be away.
fn spec() -> Arc<JobSpec> {
    let mut lasting = step(3, vec![]);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    lasting.max_unavailable = 1;
    Arc::new(job(vec![lasting], 0))
}

/// A run as its worker lists it: past its warm-up.
fn listed(task: TaskId) -> ReportedRun {
    ReportedRun {
        task,
        attempt: 1,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
        stalled_for: Duration::ZERO,
    }
}

/// A holder that has heard of all hosts and their idle workers.
fn holder(at: u64) -> HostWorld {
    let mut world = HostWorld::new(WORKERS);
    world.at(at);
    world.sched.claimed_at = world.sched.now;
    world.list((0..WORKERS).map(|n| host(n, SERVICE, Some(0))).collect());
    world
}

/// Worker `n` answers with these runs and ends.
fn answer(world: &mut HostWorld, n: usize, running: Vec<ReportedRun>, ended: Vec<ReportedEnd>) {
    world.answers(&worker(n, 0).id, Listing { running, ended, ..Listing::default() });
}

/// Every worker lists the task that it was first given.
fn answer_all(world: &mut HostWorld, tasks: &[Option<TaskId>]) {
    for (n, task) in tasks.iter().enumerate() {
        answer(world, n, task.iter().copied().map(listed).collect(), Vec::new());
    }
}

/// The job's record, if it is among these.
fn job_record(records: Vec<Record>) -> Option<JobRecord> {
    records.into_iter().find_map(|r| match r {
        Record::Job(key, record) if key.number == 1 => Some(record),
        _ => None,
    })
}

/// A first holder whose tasks are at work, the task of each worker, and the
/// record of the job.
fn first_holder() -> (HostWorld, Vec<Option<TaskId>>, JobRecord) {
    let mut world = holder(100);
    world.sched.handle(Event::Submitted(1, spec()));
    let mut tasks = vec![None; WORKERS];
    let batch = world.sched.take_batch();
    for a in batch.actions {
        let Action::Start { worker: id, task, attempt, .. } = a else { continue };
        let n = (0..WORKERS).find(|n| worker(*n, 0).id == id).expect("a worker of the world");
        tasks[n] = Some(task);
        world.taken(&id, task, attempt);
    }
    assert_eq!(tasks.iter().flatten().count(), 3, "{tasks:?}");
    answer_all(&mut world, &tasks);
    (world, tasks, job_record(batch.records).expect("starts are on record"))
}

/// A holder that evicts for a wave over one host. Returns the tasks, the
/// number of that host, and what is stored when the stop is sent.
fn evict_one() -> (Vec<Option<TaskId>>, usize, JobRecord) {
    let (mut world, tasks, mut stored) = first_holder();
    let over = first(&tasks);
    world.sched.handle(Event::WaveRequested(wave(&[over], 1), None));
    for t in 1..10 {
        world.at(100 + t * TICK);
        answer_all(&mut world, &tasks);
        world.sched.handle(Event::Tick);
        let batch = world.sched.take_batch();
        stored = job_record(batch.records).unwrap_or(stored);
        if !stops(&batch.actions).is_empty() {
            assert_eq!(stops(&batch.actions), [tasks[over].expect("a task stands there")]);
            return (tasks, over, stored);
        }
    }
    panic!("nothing was evicted");
}

/// Tasks that are stopped.
fn stops(actions: &[Action]) -> Vec<TaskId> {
    let stopped = |a: &Action| match a {
        Action::Stop(_, task, _) => Some(*task),
        _ => None,
    };
    actions.iter().filter_map(stopped).collect()
}

/// The next holder, from what is stored.
fn next_holder(record: &JobRecord) -> HostWorld {
    let stored = serde_json::to_string(record).expect("a record is JSON");
    let mut next = holder(TAKEN_OVER);
    next.sched.restore_job(
        JobKey::of_number(1),
        Some(spec()),
        Some(serde_json::from_str(&stored).expect("it is read back")),
    );
    next.attend_anew();
    next
}

/// Two workers with a task each, other than `not`.
fn others(tasks: &[Option<TaskId>], not: usize) -> Vec<usize> {
    (0..WORKERS).filter(|n| *n != not && tasks[*n].is_some()).collect()
}

/// First worker with a task.
fn first(tasks: &[Option<TaskId>]) -> usize {
    tasks.iter().position(Option::is_some).expect("a task")
}

/// Ticks of the next holder, each after all workers answered; returns all tasks
/// that it stops.
fn run_next(next: &mut HostWorld, tasks: &[Option<TaskId>], from: u64, ticks: u64) -> Vec<TaskId> {
    let mut stopped = Vec::new();
    for t in 0..ticks {
        next.at(from + t * TICK);
        answer_all(next, tasks);
        stopped.extend(stops(&next.tick()));
    }
    stopped
}

#[test]
fn stop_under_way_counts_as_away() {
    let (tasks, gone, record) = evict_one();
    // Its worker lists the task until it has stopped.
    let mut next = next_holder(&record);
    let other = others(&tasks, gone)[0];
    next.sched.handle(Event::WaveRequested(wave(&[other], 1), None));
    let stopped = run_next(&mut next, &tasks, TAKEN_OVER, 10);
    assert!(!stopped.contains(&tasks[other].expect("a task")), "a second one is away: {stopped:?}");
}

#[test]
fn next_holder_stops_again() {
    let (tasks, gone, record) = evict_one();
    let mut next = next_holder(&record);
    // Its worker answers before the others do; the second answer finds them at work.
    let stopped = run_next(&mut next, &tasks, TAKEN_OVER, 2);
    assert_eq!(stopped, [tasks[gone].expect("a task")], "the first stop may not have been sent");
}

#[test]
fn stop_again_waits_for_budget() {
    let (mut tasks, gone, record) = evict_one();
    let mut next = next_holder(&record);
    // Another task has come to an end meanwhile, and is started anew.
    let other = others(&tasks, gone)[0];
    let task = tasks[other].take().expect("a task");
    assert!(run_next(&mut next, &tasks, TAKEN_OVER, 10).is_empty(), "another one is away");
    let (at, run) = begun(&mut next, task);
    next.at(TAKEN_OVER + 10 * TICK);
    answer(&mut next, at, vec![run], Vec::new());
    let here = tasks[gone].expect("a task");
    answer(&mut next, gone, vec![listed(here)], Vec::new());
    assert_eq!(stops(&next.tick()), [here], "both others are at work");
}

/// The latest start of a task is taken; returns the number of the worker, and
/// the run as it lists it.
fn begun(next: &mut HostWorld, task: TaskId) -> (usize, ReportedRun) {
    let start = next.actions.iter().rev().find_map(|a| match a {
        Action::Start { worker: id, task: t, attempt, .. } if *t == task => Some((id.clone(), *attempt)),
        _ => None,
    });
    let (id, attempt) = start.expect("it was started");
    next.taken(&id, task, attempt);
    let at = (0..WORKERS).find(|n| worker(*n, 0).id == id).expect("a worker of the world");
    (at, ReportedRun { attempt, ..listed(task) })
}

#[test]
fn ended_eviction_frees_budget() {
    let (tasks, gone, record) = evict_one();
    let mut next = next_holder(&record);
    run_next(&mut next, &tasks, TAKEN_OVER, 2);
    let task = tasks[gone].expect("a task");
    let end = ReportedEnd {
        sequence_number: 1,
        task,
        attempt: 1,
        kind: EndKind::Stopped,
        checkpoint: String::new(),
    };
    answer(&mut next, gone, Vec::new(), vec![end]);
    assert!(
        next.sched.jobs[&JobKey::of_number(1)].record().rounds[0][0]
            .iter()
            .all(|t| t.evicted_attempts.is_empty())
    );
    next.tick();
    let (at, run) = begun(&mut next, task);
    let other = others(&tasks, gone)[0];
    next.sched.handle(Event::WaveRequested(wave(&[other], 1), None));
    let mut stopped = Vec::new();
    for t in 1..10 {
        next.at(TAKEN_OVER + t * TICK);
        for n in others(&tasks, gone) {
            answer(&mut next, n, tasks[n].into_iter().map(listed).collect(), Vec::new());
        }
        answer(&mut next, at, vec![run.clone()], Vec::new());
        stopped.extend(stops(&next.tick()));
    }
    assert_eq!(stopped.first(), tasks[other].as_ref(), "the budget allows the next one");
}

#[test]
fn older_record_is_read() {
    let text = r#"{"b":true,"r":[[[{"a":1,"w":[["w-0-0",1]]},{"a":1,"w":[["w-1-0",1]]},{}]]]}"#;
    let record: JobRecord = serde_json::from_str(text).expect("a record without evictions");
    assert!(record.rounds[0][0].iter().all(|t| t.evicted_attempts.is_empty()));
    assert_eq!(record.rounds[0][0][0].runs, [("w-0-0".into(), 1)].into());
    let again = serde_json::to_string(&record).expect("a record is JSON");
    assert!(!again.contains("\"e\""), "nothing is written where nothing is evicted: {again}");
}
