//! What the list of hosts and the entries of workers tell of lives.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Action, Event, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

#[test]
fn other_life_ends_runs() {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0))]);
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    world.report(0, 0, &starts);
    world.at(2000);
    world.tells(
        &worker(0, 0).id,
        WorkerUpdate::Unanswered { lease_end: Duration::from_secs(6), heard: Duration::from_millis(100) },
    );
    // The list was asked for before the life was known: it tells nothing.
    world.sched.handle(Event::HostsListed(vec![host(0, SERVICE, Some(9))], Duration::ZERO));
    assert!(world.sched.workers.contains_key(&worker(0, 0).id));
    world.list(vec![host(0, SERVICE, Some(1))]);
    assert!(!world.sched.workers.contains_key(&worker(0, 0).id), "another life stands on its host");
}

#[test]
fn lingering_entry_ends_nothing() {
    let mut world = HostWorld::new(1);
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    world.report(0, 0, &starts);
    // An entry of another life on the same host, written late.
    world.sched.handle(Event::WorkerListed(worker(0, 5)));
    let actions = world.sched.take_batch().actions;
    let again = actions.iter().any(|a| matches!(a, Action::Start { .. }));
    assert!(!again && world.sched.workers.contains_key(&worker(0, 0).id), "{actions:?}");
}
