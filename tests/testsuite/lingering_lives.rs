//! Entries of lives that are over hide nothing of what runs on a host.

use std::sync::Arc;

use workswood_core::jobs::{Action, Event};
use workswood_test_support::host_world::{HostWorld, host, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Number of the host.
const M: usize = 0;

/// A lasting task that must not be missed runs on one life of the host's
/// worker, and the entry of another is listed still. Returns the hosts that a
/// wave orders down within some seconds.
fn ordered_down(life: usize, lingering: usize) -> Vec<String> {
    let mut world = HostWorld::new(0);
    world.sched.handle(Event::WorkerListed(worker(M, life)));
    world.report(M, life, &[]);
    world.list(vec![host(M, SERVICE, Some(life))]);
    let mut lasting = step(1, vec![]);
    lasting.long_running = true;
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.tick();
    for a in &starts {
        let Action::Start { worker: id, task, attempt, .. } = a else { continue };
        world.taken(id, *task, *attempt);
    }
    assert_eq!(starts.iter().filter(|a| matches!(a, Action::Start { .. })).count(), 1, "{starts:?}");
    // The latest list of hosts is older, and tells nothing of that entry.
    world.at(100);
    world.sched.handle(Event::WorkerListed(worker(M, lingering)));
    world.sched.handle(Event::WaveRequested(wave(&[M], 1), None));
    for t in 1..30 {
        world.at(t * 150);
        world.report(M, life, &starts);
        world.tick();
    }
    upkeeps(&world.actions)
}

#[test]
fn earlier_life_lingers() {
    for life in 1..8 {
        assert!(ordered_down(life, life - 1).is_empty(), "life {life} runs a task");
    }
}

#[test]
fn later_life_is_listed_early() {
    for life in 0..7 {
        assert!(ordered_down(life, life + 1).is_empty(), "life {life} answers, and runs a task");
    }
}
