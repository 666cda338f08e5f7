//! A worker on which several runs take much longer than their siblings elsewhere gets no new work.

use std::sync::Arc;

use workswood_core::jobs::{Action, EndKind, Event, JobSpec, Listing, ReportedEnd};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

/// Tasks of a job, of which two fit on a worker.
const TASKS: u32 = 6;

fn wide_job(at: u64) -> JobSpec {
    let mut wide = step(TASKS, vec![]);
    wide.resources.cpu_millis = 2000;
    job(vec![wide], at)
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
    world.answers(&worker(n, 0).id, Listing { running: Vec::new(), ended });
}

/// Three workers with two tasks each; those on the first two end after half a second. Returns the
/// world, the number of the last one and its orders.
fn one_still_runs(enabled: bool) -> (HostWorld, usize, Vec<Action>) {
    let mut world = HostWorld::new(3);
    world.sched.policy.slow_workers.enabled = enabled;
    world.at(100);
    let started = submit(&mut world, 1, wide_job(100));
    assert_eq!(started.len(), TASKS as usize);
    let last = started[TASKS as usize - 1].0;
    world.at(600);
    (0..3).filter(|n| *n != last).for_each(|n| finish(&mut world, n, &started));
    world.tick();
    let orders = started.into_iter().filter(|(n, _)| *n == last).map(|(_, a)| a).collect();
    (world, last, orders)
}

/// Submits small tasks that fill all workers but those that get none; returns whether one of them
/// started on a worker.
fn gets_new_work(world: &mut HostWorld, n: usize) -> bool {
    let mut small = step(12, vec![]);
    small.resources.cpu_millis = 1000;
    submit(world, 2, job(vec![small], 2000)).iter().any(|(at, _)| *at == n)
}

#[test]
fn shunned_while_slow() {
    let (mut world, last, orders) = one_still_runs(true);
    world.at(1300);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 0, "its runs have taken 2.4 times as long");
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 1);
    // Its runs end, so that it has room.
    let started: Vec<(usize, Action)> = orders.into_iter().map(|a| (last, a)).collect();
    finish(&mut world, last, &started);
    assert!(!gets_new_work(&mut world, last), "it gets work although it is slow");
    world.at(5200);
    world.report(last, 0, &[]);
    let later = world.tick();
    let here = worker(last, 0).id;
    let started_here = later.iter().any(|a| matches!(a, Action::Start { worker, .. } if *worker == here));
    assert!(started_here, "it is tried again");
}

#[test]
fn switched_off() {
    let (mut world, last, orders) = one_still_runs(false);
    world.at(2000);
    world.report(last, 0, &orders);
    world.tick();
    let started: Vec<(usize, Action)> = orders.into_iter().map(|a| (last, a)).collect();
    finish(&mut world, last, &started);
    assert!(gets_new_work(&mut world, last));
}

/// A task that is slower than its siblings by itself says nothing of its worker.
#[test]
fn single_slow_run() {
    let mut world = HostWorld::new(3);
    world.sched.policy.slow_workers.enabled = true;
    world.at(100);
    let mut five = step(5, vec![]);
    five.resources.cpu_millis = 2000;
    let started = submit(&mut world, 1, job(vec![five], 100));
    let last = started[4].0;
    assert_eq!(started.iter().filter(|(n, _)| *n == last).count(), 1);
    world.at(600);
    (0..3).filter(|n| *n != last).for_each(|n| finish(&mut world, n, &started));
    world.at(2000);
    world.report(last, 0, &[started[4].1.clone()]);
    world.tick();
    assert_eq!(world.sched.counters.workers_slow, 0);
}
