//! A long-running task that runs nowhere is logged with what keeps it from running.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event, JobSpec, StepSpec, StoreAccess, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, worker};
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
    assert_eq!(lines.len(), 2, "one line after a second and one three seconds later: {lines:#?}");
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
