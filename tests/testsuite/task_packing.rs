//! Tasks fill up one machine before the next.

use std::sync::Arc;

use workswood_core::jobs::{Action, Event};
use workswood_test_support::job_world::{job, step};
use workswood_test_support::machine_world::MachineWorld;

#[test]
fn tasks_fill_one_machine() {
    let mut world = MachineWorld::new(3);
    for n in 1..4 {
        world.sched.handle(Event::Submitted(n, Arc::new(job(vec![step(1, vec![])], 100))));
    }
    let starts = world.sched.take_batch().actions;
    let mut used: Vec<String> = starts
        .iter()
        .filter_map(|a| match a {
            Action::Start { worker, .. } => Some(worker.to_string()),
            _ => None,
        })
        .collect();
    assert_eq!(used.len(), 3);
    used.dedup();
    assert_eq!(used.len(), 1, "the others stay empty, and can go where they are needed: {used:?}");
}
