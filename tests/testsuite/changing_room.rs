//! Workers whose room shrinks and grows while they run, and what counts against it.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, Listing, ReportedEnd, ReportedRun, StopReply, TaskId, WorkerInfo,
    WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

/// The only worker, with room for so many tasks of one core.
fn with_room(cores: u64) -> WorkerInfo {
    WorkerInfo { capacity: Resources { cpu_millis: cores * 1000, mem_mb: 8000, gpus: 0 }, ..worker(0, 0) }
}

/// A job of so many tasks of one core each.
fn submit(world: &mut HostWorld, key: u64, tasks: u32) -> Vec<Action> {
    let spec = Arc::new(job(vec![step(tasks, vec![])], 100));
    world.sched.handle(Event::Submitted(key, spec));
    world.tick()
}

fn starts(actions: &[Action]) -> Vec<(TaskId, u32)> {
    let of = |a: &Action| match a {
        Action::Start { task, attempt, .. } => Some((*task, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

fn running((task, attempt): (TaskId, u32)) -> ReportedRun {
    ReportedRun {
        task,
        attempt,
        checkpoint: String::new(),
        percent: 50,
        load: 0,
        stalled_for: Duration::ZERO,
    }
}

fn done(number: u64, (task, attempt): (TaskId, u32)) -> ReportedEnd {
    ReportedEnd { sequence_number: number, task, attempt, kind: EndKind::Done, checkpoint: String::new() }
}

fn list(world: &mut HostWorld, running: Vec<ReportedRun>, ended: Vec<ReportedEnd>) {
    world.answers(&worker(0, 0).id, Listing { running, ended, ..Listing::default() });
}

/// The worker takes what it was told to start.
fn take(world: &mut HostWorld, runs: &[(TaskId, u32)]) {
    runs.iter().for_each(|(task, attempt)| world.taken(&worker(0, 0).id, *task, *attempt));
}

#[test]
fn nothing_beyond_what_is_left() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let runs = starts(&submit(&mut world, 1, 4));
    assert_eq!(runs.len(), 4);
    take(&mut world, &runs);
    world.sched.handle(Event::WorkerListed(with_room(2)));
    assert_eq!(starts(&submit(&mut world, 2, 4)), []);
    // Two end: what runs on fills the room that is left.
    world.at(400);
    list(&mut world, vec![running(runs[2]), running(runs[3])], vec![done(1, runs[0]), done(2, runs[1])]);
    assert_eq!(starts(&world.tick()), []);
    world.at(700);
    list(&mut world, vec![running(runs[3])], vec![done(3, runs[2])]);
    assert_eq!(starts(&world.tick()).len(), 1);
    world.sched.handle(Event::WorkerListed(with_room(4)));
    assert_eq!(starts(&world.tick()).len(), 2, "it has grown again");
}

#[test]
fn no_room_at_all() {
    let mut world = HostWorld::new(1);
    world.at(100);
    world.sched.handle(Event::WorkerListed(with_room(0)));
    assert_eq!(starts(&submit(&mut world, 1, 1)), []);
    world.sched.handle(Event::WorkerListed(with_room(1)));
    assert_eq!(starts(&world.tick()).len(), 1);
}

#[test]
fn stopping_still_counts() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let runs = starts(&submit(&mut world, 1, 4));
    take(&mut world, &runs);
    world.at(300);
    list(&mut world, runs.iter().copied().map(running).collect(), vec![]);
    world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    assert_eq!(starts(&submit(&mut world, 2, 4)), [], "they are only told to stop");
    for (task, attempt) in &runs {
        world.tells(&worker(0, 0).id, WorkerUpdate::Stopped(*task, *attempt, StopReply::Taken));
    }
    assert_eq!(starts(&world.tick()), [], "a stop takes some time");
    world.at(900);
    let ended = |n: usize| ReportedEnd { kind: EndKind::Stopped, ..done(n as u64 + 1, runs[n]) };
    list(&mut world, vec![running(runs[2]), running(runs[3])], vec![ended(0), ended(1)]);
    assert_eq!(starts(&world.tick()).len(), 2);
}

/// A start that was lost on its way, or sent by an earlier holder, may be carried out late.
#[test]
fn unwanted_run_counts_until_it_ends() {
    let mut world = HostWorld::new(1);
    world.at(100);
    let runs = starts(&submit(&mut world, 1, 1));
    take(&mut world, &runs);
    list(&mut world, vec![], vec![done(1, runs[0])]);
    world.tick();
    let late = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
    world.at(500);
    list(&mut world, vec![running((late, 9))], vec![]);
    let stops = world.tick();
    assert!(stops.iter().any(|a| matches!(a, Action::Stop(_, t, 9) if *t == late)), "{stops:?}");
    assert_eq!(starts(&submit(&mut world, 2, 4)).len(), 3, "it takes its room until it has stopped");
    world.at(900);
    let end = ReportedEnd { kind: EndKind::Stopped, ..done(2, (late, 9)) };
    list(&mut world, vec![], vec![end]);
    assert_eq!(starts(&world.tick()).len(), 1);
}
