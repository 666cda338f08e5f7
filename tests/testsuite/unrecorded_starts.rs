//! Workers that change between starts without a record and the answer to a successor's first poll.

use std::sync::Arc;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{Event, JobSpec, StepSpec, WorkerInfo};
use workswood_test_support::host_world::{HostWorld, OTHER, worker};
use workswood_test_support::job_world::{job, step};

use super::store_outages::{
    answer, first_step_done, job_of, limit_workspaces, starts, store, successor, successor_of,
};

/// Label that some steps require.
const LABEL: &str = "large";

/// The second worker with this much processor capacity.
fn with_cpu(cpu_millis: u64) -> WorkerInfo {
    let info = worker(1, 0);
    WorkerInfo { capacity: Resources { cpu_millis, ..info.capacity }, ..info }
}

/// A worker with [`LABEL`].
fn labelled(n: usize) -> WorkerInfo {
    WorkerInfo { labels: vec![LABEL.to_string()], ..worker(n, 0) }
}

/// A worker of another service.
fn of_other_service(n: usize) -> WorkerInfo {
    WorkerInfo { service: OTHER.to_string(), ..worker(n, 0) }
}

/// Two steps, the second one of which requires [`LABEL`].
fn labelled_step() -> Arc<JobSpec> {
    let second = StepSpec { label: Some(LABEL.to_string()), ..step(1, vec![0]) };
    Arc::new(job(vec![step(1, vec![]), second], 0))
}

/// The second worker changes before it answers: the second step may run there all the same.
fn assert_is_waited_for(world: &mut HostWorld, changed: WorkerInfo) {
    world.sched.handle(Event::WorkerListed(changed));
    first_step_done(world);
    assert_eq!(starts(&store(world).actions), [], "the second step may run on worker 1");
    answer(world, 1, Vec::new(), Vec::new());
    assert_eq!(starts(&store(world).actions).len(), 1);
}

/// TWICE: a worker has shrunk since its predecessor started a task there without a record.
#[test]
fn shrunk_worker_is_waited_for() {
    assert_is_waited_for(&mut successor(true), with_cpu(500));
}

/// TWICE: a worker has lost the label of a task that a predecessor started there without a record.
#[test]
fn relabelled_worker_is_waited_for() {
    let mut world = successor_of(labelled_step(), true);
    (0..2).for_each(|n| world.sched.handle(Event::WorkerListed(labelled(n))));
    assert_is_waited_for(&mut world, worker(1, 0));
}

#[test]
fn worker_of_another_service_is_waited_for() {
    assert_is_waited_for(&mut successor(true), of_other_service(1));
}

#[test]
fn unlisted_worker_is_waited_for() {
    let mut world = successor(true);
    world.sched.handle(Event::WorkerUnlisted(worker(1, 0).id));
    assert_is_waited_for(&mut world, worker(1, 0));
}

/// QUOTA: a worker has shrunk since a predecessor filled it with tasks without a record.
#[test]
fn shrunk_worker_may_be_full() {
    let mut world = successor_of(job_of("one"), true);
    limit_workspaces(&mut world);
    world.sched.handle(Event::WorkerListed(with_cpu(1000)));
    first_step_done(&mut world);
    world.sched.handle(Event::Submitted(3, job_of("one")));
    assert_eq!(starts(&store(&mut world).actions), [], "three tasks of the first job may run on worker 1");
}
