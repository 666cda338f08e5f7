//! Which hosts are moved between pools.

use std::sync::Arc;

use workswood_core::jobs::{Action, Event, Host};
use workswood_test_support::host_world::{HostWorld, OTHER, SPARE, host, moves, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// A pool that is short of hosts gets one from the spare pool, at 300 ms.
pub(super) fn moved_to_short_pool() -> HostWorld {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)]);
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(12, vec![])], 100))));
    world.tick();
    world.at(300);
    world.tick();
    assert_eq!(moves(&world.actions), [("m-7".to_string(), SERVICE.to_string())]);
    world
}

#[test]
fn short_pool_gets_host() {
    moved_to_short_pool();
}

#[test]
fn busy_host_stays() {
    let mut world = HostWorld::new(3);
    world.list((0..3).map(|n| host(n, SERVICE, Some(0))).collect());
    world.at(100);
    // Four fit on each of the three hosts.
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(15, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    assert_eq!(starts.len(), 12);
    for a in &starts {
        if let Action::Start { worker, task, attempt, .. } = a {
            world.taken(worker, *task, *attempt);
        }
    }
    for t in 1..100 {
        world.at(100 + t * 150);
        world.tick();
    }
    assert_eq!(moves(&world.actions), [], "each host runs something");
}

#[test]
fn new_holder_moves_at_once() {
    let mut world = HostWorld::new(0);
    // Known from a predecessor's records only, and idle.
    for n in 0..4 {
        let id = worker(n, 0).id;
        world.sched.restore_worker(id, worker(n, 0).record());
        world.sched.handle(Event::WorkerListed(worker(n, 0)));
        world.report(n, 0, &[]);
    }
    let mut other = worker(9, 0);
    other.service = OTHER.to_string();
    world.sched.handle(Event::WorkerListed(other));
    world.report(9, 0, &[]);
    let mut hosts: Vec<Host> = (0..4).map(|n| host(n, SERVICE, Some(0))).collect();
    hosts.push(host(9, OTHER, Some(0)));
    world.list(hosts);
    world.at(150);
    let mut demand = job(vec![step(12, vec![])], 100);
    demand.service = OTHER.to_string();
    world.sched.handle(Event::Submitted(1, Arc::new(demand)));
    world.tick();
    let moved = moves(&world.actions);
    assert!(moved.iter().any(|(_, to)| to == OTHER), "an idle host is wanted there now: {moved:?}");
}

/// Many hosts have nothing to do, and the platform takes ten orders a second: no more are sent, and
/// a pool that is short of hosts goes before those that have too many.
#[test]
fn orders_keep_to_the_rate() {
    const IDLE: usize = 200;
    let mut world = HostWorld::new(IDLE);
    world.sched.limits.host_orders_per_s = 10.0;
    let mut hosts: Vec<Host> = (0..IDLE).map(|n| host(n, SERVICE, Some(0))).collect();
    hosts.push(host(900, SPARE, None));
    world.list(hosts);
    world.at(150);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    for t in 1..200 {
        world.at(t * 150);
        (0..IDLE).for_each(|n| world.report(n, 0, &[]));
        world.tick();
        if t == 150 {
            let mut demand = job(vec![step(4, vec![])], world.sched.wall);
            demand.service = OTHER.to_string();
            world.sched.handle(Event::Submitted(2, Arc::new(demand)));
        }
    }
    let sent = moves(&world.actions);
    assert!(sent.len() <= 310, "{} orders in 30 s", sent.len());
    let until_then = sent.iter().position(|(_, to)| to == OTHER);
    assert!(until_then.is_some_and(|n| n <= 230), "it waits behind {until_then:?} orders");
}
