//! Steps that find no worker do not hide those for which there is room.

use std::sync::Arc;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{Action, Event, JobKey, JobSpec, StepSpec, WorkerInfo};
use workswood_test_support::host_world::{HostWorld, SPARE, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Time between two ticks, as the process has them.
const TICK_MS: u64 = 150;
/// Time within which a step is reached for which there is room.
const REACHED_WITHIN_MS: u64 = 3000;
/// Key of the job that can be done.
const SMALL: JobKey = JobKey::of_number(1_000_000);
/// More cores than any worker has, in thousandths.
const TOO_LARGE_CPU: u64 = 64_000;
/// Most steps that a pass looks at without placing them.
const MAX_LOOKED_AT: u64 = 1200;
/// Label of some workers.
const LABEL: &str = "wide";

fn submit(world: &mut HostWorld, key: JobKey, priority: u32, step: StepSpec) {
    let spec = JobSpec { priority, ..job(vec![step], world.sched.wall) };
    world.sched.handle(Event::Submitted(key.number, Arc::new(spec)));
}

/// A step of one task that asks for so much.
fn asks(cpu_millis: u64, mem_mb: u64) -> StepSpec {
    StepSpec { resources: Resources { cpu_millis, mem_mb, gpus: 0 }, ..step(1, vec![]) }
}

fn labelled(n: usize) -> WorkerInfo {
    WorkerInfo { labels: vec![LABEL.to_string()], ..worker(n, 0) }
}

fn wants_label(step: StepSpec) -> StepSpec {
    StepSpec { label: Some(LABEL.to_string()), ..step }
}

fn is_start_of(a: &Action, key: JobKey) -> bool {
    matches!(a, Action::Start { task, .. } if task.job == key)
}

/// Ticks until a job starts; returns after how many milliseconds, or `None` if it does not in time.
fn time_to_start(world: &mut HostWorld, key: JobKey) -> Option<u64> {
    let begun = world.sched.wall;
    while world.sched.wall <= begun + REACHED_WITHIN_MS {
        if world.tick().iter().any(|a| is_start_of(a, key)) {
            return Some(world.sched.wall - begun);
        }
        let next = world.sched.wall + TICK_MS;
        world.at(next);
        (0..2).for_each(|n| world.report(n, 0, &[]));
    }
    None
}

/// Guards against jobs that can never be done and keep others from ever starting.
#[test]
fn impossible_jobs() {
    let mut world = HostWorld::new(2);
    (0..12).for_each(|n| submit(&mut world, JobKey::of_number(n), 0, asks(TOO_LARGE_CPU, 100)));
    (12..40).for_each(|n| submit(&mut world, JobKey::of_number(n), 0, asks(TOO_LARGE_CPU + n, 100)));
    submit(&mut world, SMALL, 1, asks(1000, 100));
    assert_eq!(time_to_start(&mut world, SMALL), Some(0));
    assert_eq!(world.sched.counters.steps_set_aside, 40);
}

/// Guards against jobs that wait for a few workers and keep others from starting on the rest.
#[test]
fn same_demand_waits() {
    let mut world = HostWorld::new(2);
    world.sched.handle(Event::WorkerListed(labelled(1)));
    submit(&mut world, JobKey::of_number(0), 0, wants_label(asks(4000, 100)));
    assert_eq!(time_to_start(&mut world, JobKey::of_number(0)), Some(0));
    (1..15).for_each(|n| submit(&mut world, JobKey::of_number(n), 0, wants_label(asks(4000, 100))));
    submit(&mut world, SMALL, 1, asks(1000, 100));
    assert_eq!(time_to_start(&mut world, SMALL), Some(0));
    assert_eq!(world.sched.counters.steps_set_aside, 0, "they wait for room");
}

/// The same where each asks for something else.
#[test]
fn different_demands_wait() {
    let mut world = HostWorld::new(2);
    world.sched.handle(Event::WorkerListed(labelled(1)));
    submit(&mut world, JobKey::of_number(0), 0, wants_label(asks(4000, 100)));
    assert_eq!(time_to_start(&mut world, JobKey::of_number(0)), Some(0));
    (1..400).for_each(|n| submit(&mut world, JobKey::of_number(n), 0, wants_label(asks(2000 + n, 100))));
    submit(&mut world, SMALL, 1, asks(1000, 100));
    assert!(time_to_start(&mut world, SMALL).is_some());
}

#[test]
fn larger_worker_comes() {
    let mut world = HostWorld::new(2);
    submit(&mut world, JobKey::of_number(0), 0, asks(TOO_LARGE_CPU, 100));
    submit(&mut world, JobKey::of_number(1), 0, wants_label(asks(1000, 100)));
    world.tick();
    assert_eq!(world.sched.counters.steps_set_aside, 2);
    world.sched.handle(Event::WorkerListed(labelled(1)));
    assert_eq!(time_to_start(&mut world, JobKey::of_number(1)), Some(0));
    let capacity = Resources { cpu_millis: TOO_LARGE_CPU, mem_mb: 8000, gpus: 0 };
    world.sched.handle(Event::WorkerListed(WorkerInfo { capacity, ..worker(0, 0) }));
    assert_eq!(time_to_start(&mut world, JobKey::of_number(0)), Some(0));
}

/// What no worker could ever take asks for no hosts, unlike what a spare host could take.
#[test]
fn room_asked_for() {
    let mut world = HostWorld::new(2);
    submit(&mut world, JobKey::of_number(0), 0, asks(TOO_LARGE_CPU, 100));
    world.tick();
    assert_eq!(world.sched.room_wanted(&SERVICE.to_string()).cpu_millis, 0);
    let capacity = Resources { cpu_millis: TOO_LARGE_CPU, mem_mb: 8000, gpus: 0 };
    world.list(vec![workswood_core::jobs::Host { capacity, ..host(7, SPARE, None) }]);
    world.tick();
    assert_eq!(world.sched.room_wanted(&SERVICE.to_string()).cpu_millis, TOO_LARGE_CPU);
}

/// A pass looks at a bounded number of steps, however many of any kind find no worker.
#[test]
fn many_jobs_wait() {
    const JOBS: u64 = 8000;
    let kinds: [fn(u64) -> StepSpec; 3] = [
        |n| asks(TOO_LARGE_CPU + n, 100),
        |_| wants_label(asks(4000, 100)),
        |n| wants_label(asks(2000 + n % 2000, 100 + n)),
    ];
    for of_kind in kinds {
        let mut world = HostWorld::new(2);
        world.sched.handle(Event::WorkerListed(labelled(1)));
        submit(&mut world, JobKey::of_number(JOBS), 0, wants_label(asks(4000, 100)));
        world.tick();
        (0..JOBS).for_each(|n| submit(&mut world, JobKey::of_number(n), 0, of_kind(n)));
        world.tick();
        let before = world.sched.counters.steps_looked_at;
        world.tick();
        let looked_at = world.sched.counters.steps_looked_at - before;
        assert!(looked_at <= MAX_LOOKED_AT, "{looked_at} steps in a pass");
    }
}
