//! A worker on which several runs take much longer than their siblings elsewhere gets no new work.

use std::sync::Arc;

use workswood_core::jobs::{Action, EndKind, Event, JobSpec, Listing, ReportedEnd, StepSpec};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

/// Workers of a world.
const WORKERS: usize = 4;
/// Label that only the slow worker has.
const LABEL: &str = "wide";

/// A job that fills all workers with two tasks each, of one step or of two.
fn wide_job(steps: u32) -> JobSpec {
    let mut wide = step(WORKERS as u32 * 2 / steps, vec![]);
    wide.resources.cpu_millis = 2000;
    wide.max_per_worker = 2 / steps;
    job(vec![wide; steps as usize], 100)
}

/// Submits a job; its starts are accepted and returned with the numbers of their workers.
fn submit(world: &mut HostWorld, key: u64, spec: JobSpec) -> Vec<(usize, Action)> {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    let mut started = Vec::new();
    for a in world.tick() {
        if let Action::Start { worker, task, attempt, .. } = &a {
            world.taken(worker, *task, *attempt);
            let n = worker.split('-').nth(1).and_then(|n| n.parse().ok()).expect("a worker's number");
            started.push((n, a));
        }
    }
    started
}

/// All runs on a worker are done.
fn finish(world: &mut HostWorld, n: usize, started: &[(usize, Action)]) {
    let mut ended = Vec::new();
    for (_, a) in started.iter().filter(|(at, _)| *at == n) {
        if let Action::Start { task, attempt, .. } = a {
            ended.push(ReportedEnd {
                sequence_number: 1 + ended.len() as u64,
                task: *task,
                attempt: *attempt,
                kind: EndKind::Done,
                checkpoint: String::new(),
            });
        }
    }
    world.answers(&worker(n, 0).id, Listing { ended, ..Listing::default() });
}

/// The job's tasks on all workers but one end after half a second. Returns the world, the number of
/// that worker and its orders.
fn one_still_runs(enabled: bool, steps: u32) -> (HostWorld, usize, Vec<Action>) {
    let mut world = HostWorld::new(WORKERS);
    world.sched.policy.slow_workers.enabled = enabled;
    world.at(100);
    let started = submit(&mut world, 1, wide_job(steps));
    assert_eq!(started.len(), WORKERS * 2);
    let last = started[0].0;
    world.at(600);
    (0..WORKERS).filter(|n| *n != last).for_each(|n| finish(&mut world, n, &started));
    world.tick();
    let orders = started.into_iter().filter(|(n, _)| *n == last).map(|(_, a)| a).collect();
    (world, last, orders)
}

/// The runs of the slow worker end, so that it has room.
fn finish_last(world: &mut HostWorld, last: usize, orders: Vec<Action>) {
    let started: Vec<(usize, Action)> = orders.into_iter().map(|a| (last, a)).collect();
    finish(world, last, &started);
}

/// Submits small tasks that fill all workers but those that get none; returns whether one of them
/// started on a worker.
fn gets_new_work(world: &mut HostWorld, n: usize) -> bool {
    let mut small = step(WORKERS as u32 * 4, vec![]);
    small.resources.cpu_millis = 1000;
    submit(world, 2, job(vec![small], 2000)).iter().any(|(at, _)| *at == n)
}

#[test]
fn shunned_while_slow() {
    let (mut world, last, orders) = one_still_runs(true, 2);
    world.at(1300);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 0, "its runs have taken 2.4 times as long");
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 1);
    finish_last(&mut world, last, orders);
    assert!(!gets_new_work(&mut world, last), "it gets work although it is slow");
    world.at(3600);
    world.report(last, 0, &[]);
    let later = world.tick();
    let here = worker(last, 0).id;
    let started_here = later.iter().any(|a| matches!(a, Action::Start { worker, .. } if *worker == here));
    assert!(started_here, "it is tried again");
}

#[test]
fn only_worker_that_fits() {
    let (mut world, last, orders) = one_still_runs(true, 2);
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 1);
    let mut labelled = worker(last, 0);
    labelled.labels.push(LABEL.to_string());
    world.sched.handle(Event::WorkerListed(labelled));
    finish_last(&mut world, last, orders);
    let tied = StepSpec { label: Some(LABEL.to_string()), ..step(1, vec![]) };
    assert_eq!(submit(&mut world, 2, job(vec![tied], 2000)).len(), 1, "no other worker has the label");
}

#[test]
fn switched_off() {
    let (mut world, last, orders) = one_still_runs(false, 2);
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    finish_last(&mut world, last, orders);
    assert!(gets_new_work(&mut world, last));
}

/// Tasks of one step that are slower than its others by themselves say nothing of their worker.
#[test]
fn single_slow_step() {
    let (mut world, last, orders) = one_still_runs(true, 1);
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(orders.len(), 2);
    assert_eq!(world.sched.counters.workers_slow, 0);
}
