//! A task that failed on a worker is placed elsewhere, unless no other worker can run it.

use std::sync::Arc;

use workswood_core::jobs::{Action, EndKind, Event, JobSpec, Listing, ReportedEnd, StepSpec};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

/// Label that only the first worker has.
const LABEL: &str = "wide";

fn submit(world: &mut HostWorld, key: u64, spec: JobSpec) -> Vec<Action> {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    world.tick()
}

/// The only start among actions, with its worker's number.
fn start_of(actions: &[Action]) -> Option<(usize, Action)> {
    actions.iter().find_map(|a| match a {
        Action::Start { worker, .. } => Some((worker.split('-').nth(1)?.parse().ok()?, a.clone())),
        _ => None,
    })
}

/// The worker takes a start, and its run fails.
fn take_and_fail(world: &mut HostWorld, n: usize, start: &Action) -> Vec<Action> {
    let Action::Start { worker: id, task, attempt, .. } = start else { return Vec::new() };
    world.taken(id, *task, *attempt);
    let end = ReportedEnd {
        sequence_number: 1,
        task: *task,
        attempt: *attempt,
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    world.answers(&worker(n, 0).id, Listing { ended: vec![end], ..Listing::default() });
    world.tick()
}

#[test]
fn only_fitting_worker() {
    let mut world = HostWorld::new(2);
    let mut labelled = worker(0, 0);
    labelled.labels.push(LABEL.to_string());
    world.sched.handle(Event::WorkerListed(labelled));
    let tied = StepSpec { label: Some(LABEL.to_string()), ..step(1, vec![]) };
    world.at(100);
    let (n, start) = start_of(&submit(&mut world, 1, job(vec![tied], 100))).expect("a start");
    assert_eq!(n, 0, "only the first worker has the label");
    world.at(200);
    let again = take_and_fail(&mut world, n, &start);
    assert_eq!(start_of(&again).map(|(n, _)| n), Some(0), "no other worker can run it: {again:?}");
}

#[test]
fn others_stay_full() {
    let mut world = HostWorld::new(2);
    world.at(100);
    let (n, start) = start_of(&submit(&mut world, 1, job(vec![step(1, vec![])], 100))).expect("a start");
    let other = 1 - n;
    // The other worker is filled up for good.
    let mut whole = StepSpec { long_running: true, ..step(1, vec![]) };
    whole.resources.cpu_millis = 4000;
    let (at, lasting) = start_of(&submit(&mut world, 2, job(vec![whole], 100))).expect("a start");
    assert_eq!(at, other);
    if let Action::Start { worker, task, attempt, .. } = &lasting {
        world.taken(worker, *task, *attempt);
    }
    world.at(200);
    assert_eq!(start_of(&take_and_fail(&mut world, n, &start)), None, "another worker could run it");
    world.at(10_300);
    world.report(other, 0, &[lasting]);
    world.answers(&worker(n, 0).id, Listing::default());
    assert_eq!(start_of(&world.tick()).map(|(n, _)| n), Some(n), "it waits as long as that worker lives");
}
