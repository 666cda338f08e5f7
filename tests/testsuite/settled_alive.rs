//! News that must not settle a run whose worker lives: lists of hosts, other lives, and silences that are over.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event, Host, HostState, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A worker that runs a task since 0.1 s and answered last then.
fn world_with_run() -> HostWorld {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0))]);
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    assert!(matches!(starts[..], [Action::Start { .. }]), "{starts:?}");
    world.report(0, 0, &starts);
    world
}

fn silence(world: &mut HostWorld, lease_end: u64, heard: u64) {
    world.tells(&worker(0, 0).id, WorkerUpdate::Unanswered { lease_end: ms(lease_end), heard: ms(heard) });
}

/// Whether the run is still known where it was started.
fn goes_on(world: &HostWorld) -> bool {
    world.sched.workers.get(&worker(0, 0).id).is_some_and(|w| w.runs.len() == 1)
}

/// The host as a list shows it without its worker.
fn without_worker() -> Host {
    Host { state: HostState::Down, worker: None, ..host(0, SERVICE, None) }
}

/// TWICE: the worker answered after the list was requested, so the list may be older than the answer.
#[test]
fn host_list_before_last_answer() {
    let mut world = world_with_run();
    world.at(2_400);
    silence(&mut world, 7_000, 1_800);
    world.sched.handle(Event::HostsListed(vec![without_worker()], ms(1_500)));
    assert!(goes_on(&world), "it answered at 1.8 s, the list was requested at 1.5 s");
    world.sched.handle(Event::HostsListed(vec![without_worker()], ms(1_900)));
    assert!(!goes_on(&world), "this list was made after its last answer");
}

#[test]
fn silence_before_answer_ends_no_lease() {
    let mut world = world_with_run();
    world.at(2_000);
    silence(&mut world, 3_000, 1_000);
    world.at(2_500);
    world.tells(&worker(0, 0).id, WorkerUpdate::Reported(Default::default()));
    world.tells(&worker(0, 0).id, WorkerUpdate::ProbeLate);
    world.at(3_100);
    world.tick();
    assert!(goes_on(&world), "it has answered since");
    silence(&mut world, 7_000, 2_900);
    silence(&mut world, 3_050, 2_900);
    world.at(6_900);
    world.tick();
    assert!(goes_on(&world), "a lease that was sent lasts longer");
    world.at(7_100);
    world.tick();
    assert!(!goes_on(&world));
}

/// Answers of lives that began before the known one, or that are over, come late.
#[test]
fn news_of_earlier_lives_end_nothing() {
    let mut world = HostWorld::new(0);
    let id = |started| WorkerId::new("w", Some(started));
    let mut info = worker(0, 0);
    info.id = id(20);
    world.sched.handle(Event::WorkerListed(info.clone()));
    world.answers(&id(20), Default::default());
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(1, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    let listing = world.listing(&id(20), &starts, &[]);
    assert_eq!(listing.running.len(), 1);
    world.answers(&id(20), listing);
    world.sched.handle(Event::WorkerRestarted(id(20), 10, ms(50)));
    world.sched.handle(Event::WorkerRestarted(id(20), 20, ms(50)));
    world.sched.handle(Event::OtherIncarnationAnswered(id(10), ms(50)));
    world.sched.handle(Event::WorkerListed(workswood_core::jobs::WorkerInfo { id: id(10), ..info }));
    world.at(200);
    assert!(!world.tick().iter().any(|a| matches!(a, Action::Start { .. })));
    assert_eq!(world.sched.workers.get(&id(20)).map(|w| (w.runs.len(), w.reachable)), Some((1, true)));
}
