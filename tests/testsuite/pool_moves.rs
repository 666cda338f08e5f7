//! Which machines are moved between pools.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Action, Event, StartReply};
use workswood_test_support::job_world::{SERVICE, job, step};
use workswood_test_support::machine_world::{MachineWorld, SPARE, machine, moves};

#[test]
fn short_pool_gets_machine() {
    let mut world = MachineWorld::new(1);
    world.list(vec![machine(0, SERVICE, Some(0)), machine(7, SPARE, None)]);
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(12, vec![])], 100))));
    world.tick();
    world.at(300);
    world.tick();
    assert_eq!(moves(&world.actions), [("m-7".to_string(), SERVICE.to_string())]);
}

#[test]
fn busy_machine_stays() {
    let mut world = MachineWorld::new(3);
    world.list((0..3).map(|n| machine(n, SERVICE, Some(0))).collect());
    world.at(100);
    // Five fit on each of the three machines.
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(15, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    assert_eq!(starts.len(), 15);
    for a in &starts {
        if let Action::Start { worker, task, attempt, .. } = a {
            let end = Duration::from_secs(6);
            world.sched.handle(Event::Started(worker.clone(), *task, *attempt, StartReply::Taken, end));
        }
    }
    for t in 1..100 {
        world.at(100 + t * 150);
        world.tick();
    }
    assert_eq!(moves(&world.actions), [], "each machine runs something");
}
