//! Marks of hosts that were ordered about lately.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Event, HostReply};
use workswood_test_support::host_world::{HostWorld, SPARE, host, moves};
use workswood_test_support::job_world::{SERVICE, job, step};

/// A new holder of this name, after one that ordered host 7 about lately.
fn holder_after_entry_1(name: &str) -> HostWorld {
    let mut world = HostWorld::new(1);
    world.sched.limits.host_order_delay = Duration::from_secs(3);
    world.sched.holder = name.to_string();
    world.sched.restore_order_mark("m-7".to_string(), "entry-1");
    world
}

#[test]
fn order_on_record_before() {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)]);
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(12, vec![])], 100))));
    world.tick();
    assert_eq!(moves(&world.actions).len(), 1);
    assert_eq!(world.ordered, ["m-7"], "in the batch whose records are stored before the order is sent");
    world.sched.handle(Event::HostOrderAnswered("m-7".to_string(), HostReply::Done));
    world.at(300);
    world.tick();
    assert_eq!(world.ordered, [""; 0], "with no time to wait, the mark is dropped");
}

#[test]
fn new_holder_waits_for_ordered() {
    let mut world = holder_after_entry_1("entry-2");
    let list = || vec![host(0, SERVICE, Some(0)), host(7, SPARE, None), host(8, SPARE, None)];
    world.list(list());
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(30, vec![])], 100))));
    world.tick();
    assert_eq!(
        moves(&world.actions),
        [("m-8".to_string(), SERVICE.to_string())],
        "nobody ordered m-8 lately"
    );
    world.at(2900);
    world.tick();
    assert!(moves(&world.actions).iter().all(|(m, _)| m == "m-8"), "a predecessor may have ordered m-7");
    world.sched.handle(Event::HostOrderAnswered("m-8".to_string(), HostReply::Done));
    world.at(3050);
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(30, vec![])], 3000))));
    world.tick();
    assert!(moves(&world.actions).iter().any(|(m, _)| m == "m-7"));
}

#[test]
fn own_former_life_waits_for_nothing() {
    let mut world = holder_after_entry_1("entry-1");
    world.list(vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)]);
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(30, vec![])], 100))));
    world.tick();
    assert_eq!(moves(&world.actions), [("m-7".to_string(), SERVICE.to_string())]);
}

#[test]
fn order_names_its_holder() {
    let mut world = holder_after_entry_1("entry-2");
    world.list(vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)]);
    world.at(3050);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(30, vec![])], 3000))));
    world.tick();
    assert_eq!(moves(&world.actions).len(), 1);
    assert_eq!(world.ordered, ["m-7"], "a third holder has to wait for this one");
}
