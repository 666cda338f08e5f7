//! Tasks fill up one host before the next.

use std::sync::Arc;

use workswood_core::jobs::{Action, Event, StepSpec};
use workswood_test_support::host_world::HostWorld;
use workswood_test_support::job_world::{job, step};

/// Workers on which three jobs of one task each are started, one after the other.
fn workers_used(task: &StepSpec) -> Vec<String> {
    let mut world = HostWorld::new(3);
    for n in 1..4 {
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![task.clone()], 100))));
    }
    let mut used = started_on(&world.sched.take_batch().actions);
    assert_eq!(used.len(), 3);
    used.dedup();
    used
}

/// The worker of each start.
fn started_on(actions: &[Action]) -> Vec<String> {
    let worker = |a: &Action| match a {
        Action::Start { worker, .. } => Some(worker.to_string()),
        _ => None,
    };
    actions.iter().filter_map(worker).collect()
}

#[test]
fn tasks_fill_one_host() {
    let used = workers_used(&step(1, vec![]));
    assert_eq!(used.len(), 1, "the others stay empty, and can go where they are needed: {used:?}");
}

#[test]
fn filling_tasks_share_host() {
    let mut fills = step(1, vec![]);
    (fills.long_running, fills.best_effort) = (true, true);
    let used = workers_used(&fills);
    assert_eq!(used.len(), 1, "each host with one of them is never empty: {used:?}");
}

#[test]
fn lasting_steps_share_hosts() {
    let mut world = HostWorld::new(6);
    for n in 1..3 {
        let mut lasting = step(2, vec![]);
        (lasting.long_running, lasting.max_per_worker) = (true, 1);
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![lasting], 100))));
    }
    let starts = world.sched.take_batch().actions;
    let mut used = started_on(&starts);
    used.sort();
    used.dedup();
    assert_eq!(used.len(), 2, "{starts:?}");
}
