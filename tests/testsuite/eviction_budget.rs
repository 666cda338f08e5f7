//! Lasting tasks are ended by our order only while enough others are at work.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Action, Event, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// When a worker that answered a moment ago ends its lease.
fn lease_end(world: &HostWorld) -> Duration {
    world.sched.now + Duration::from_secs(6)
}

/// Three workers, and a job of two lasting tasks of which one may be away; it
/// runs on two of them. Returns the starts.
fn world_with_job() -> (HostWorld, Vec<Action>) {
    let mut world = HostWorld::new(3);
    world.list((0..3).map(|n| host(n, SERVICE, Some(0))).collect());
    let mut lasting = step(2, vec![]);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    lasting.max_unavailable = 1;
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    for a in &starts {
        let Action::Start { worker, task, attempt, .. } = a else { continue };
        world.taken(worker, *task, *attempt);
    }
    report_all(&mut world, &starts, &[]);
    (world, starts)
}

/// Every worker but those named lists what it was told to start.
fn report_all(world: &mut HostWorld, starts: &[Action], silent: &[usize]) {
    for n in (0..3).filter(|n| !silent.contains(n)) {
        let here = |a: &&Action| matches!(a, Action::Start { worker: w, .. } if *w == worker(n, 0).id);
        let own: Vec<Action> = starts.iter().filter(here).cloned().collect();
        world.report(n, 0, &own);
    }
}

/// Numbers of the workers that a task was started on.
fn hosts_of(starts: &[Action]) -> Vec<usize> {
    let on = |n: &usize| {
        starts.iter().any(|a| matches!(a, Action::Start { worker: w, .. } if *w == worker(*n, 0).id))
    };
    (0..3).filter(on).collect()
}

/// How many stops a wave over one host leads to within some seconds, while
/// another worker is silent or not.
fn stops_in_wave(over: usize, silent: &[usize], mut world: HostWorld, starts: &[Action]) -> usize {
    world.sched.handle(Event::WaveRequested(wave(&[over], 1), None));
    let mut stops = 0;
    for t in 1..20 {
        world.at(100 + t * 150);
        report_all(&mut world, starts, silent);
        let actions = world.tick();
        stops += actions.iter().filter(|a| matches!(a, Action::Stop(..))).count();
        if stops > 0 {
            break;
        }
    }
    stops
}

#[test]
fn unanswered_worker_counts_as_away() {
    let (mut world, starts) = world_with_job();
    let hosts = hosts_of(&starts);
    assert_eq!(hosts.len(), 2, "{starts:?}");
    let end = lease_end(&world);
    world.tells(&worker(hosts[1], 0).id, WorkerUpdate::Unanswered { lease_end: end, heard: Duration::ZERO });
    assert_eq!(stops_in_wave(hosts[0], &[hosts[1]], world, &starts), 0, "the other one may be lost");
}

#[test]
fn silent_worker_counts_as_away() {
    let (mut world, starts) = world_with_job();
    let hosts = hosts_of(&starts);
    // Its look hangs: there is neither an answer nor a failure.
    world.at(2000);
    let mut stops = 0;
    world.sched.handle(Event::WaveRequested(wave(&[hosts[0]], 1), None));
    for t in 1..20 {
        world.at(2000 + t * 150);
        report_all(&mut world, &starts, &[hosts[1]]);
        stops += world.tick().iter().filter(|a| matches!(a, Action::Stop(..))).count();
    }
    assert_eq!(stops, 0, "nobody has heard of the other one for two seconds");
}

#[test]
fn heard_worker_counts_as_at_work() {
    let (world, starts) = world_with_job();
    let hosts = hosts_of(&starts);
    assert!(stops_in_wave(hosts[0], &[], world, &starts) > 0, "the budget allows one");
}
