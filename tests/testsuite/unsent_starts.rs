//! Starts that could not be sent to a worker.

use std::sync::Arc;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event, StartReply, TaskId};
use workswood_test_support::job_world::{job, step};
use workswood_test_support::machine_world::MachineWorld;

/// Hands a job of one task in.
fn submit(world: &mut MachineWorld) {
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
}

/// The start that the next batch holds, if there is one.
fn next_start(world: &mut MachineWorld) -> Option<(WorkerId, TaskId, u32)> {
    let started = |a: Action| match a {
        Action::Start { worker, task, attempt, .. } => Some((worker, task, attempt)),
        _ => None,
    };
    world.sched.take_batch().actions.into_iter().find_map(started)
}

/// The next batch's start could not be sent; returns its worker.
fn not_sent(world: &mut MachineWorld) -> WorkerId {
    let (worker, task, attempt) = next_start(world).expect("a task waits and a worker is idle");
    let now = world.sched.now;
    world.sched.handle(Event::Started(worker.clone(), task, attempt, StartReply::NotSent, now));
    worker
}

#[test]
fn other_worker_next() {
    let mut world = MachineWorld::new(2);
    world.at(100);
    submit(&mut world);
    let silent = not_sent(&mut world);
    world.at(120);
    let (other, ..) = next_start(&mut world).expect("another worker is idle");
    assert_ne!(other, silent);
}

#[test]
fn only_worker_again() {
    let mut world = MachineWorld::new(1);
    world.at(100);
    submit(&mut world);
    let only = not_sent(&mut world);
    world.at(120);
    assert_eq!(next_start(&mut world), None, "a look has to tell first");
    world.at(250);
    world.tick();
    let again = world.actions.iter().find_map(|a| match a {
        Action::Start { worker, .. } => Some(worker.clone()),
        _ => None,
    });
    assert_eq!(again, Some(only));
}
