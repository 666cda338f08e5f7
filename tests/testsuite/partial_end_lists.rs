//! Answers to polls that lack ends, since more wait on the worker than it lists at once.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{
    Action, EndCoverage, EndKind, Event, JobKey, Listing, ReportedEnd, ReportedRun, TaskId,
};
use workswood_test_support::host_world::{HostWorld, listed, worker};
use workswood_test_support::job_world::{FaultRng, World, job, step};

/// Tasks that run on the only worker at once.
const TASKS: u32 = 4;

fn start_of(action: &Action) -> Option<(TaskId, u32)> {
    match action {
        Action::Start { task, attempt, .. } => Some((*task, *attempt)),
        _ => None,
    }
}

fn starts(actions: &[Action]) -> Vec<(TaskId, u32)> {
    actions.iter().filter_map(start_of).collect()
}

/// The ends of started tasks, numbered in the order of the starts.
fn ends(started: &[Action]) -> Vec<ReportedEnd> {
    let end = |(sequence_number, (task, attempt)): (u64, (TaskId, u32))| ReportedEnd {
        sequence_number,
        task,
        attempt,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    (1..).zip(starts(started)).map(end).collect()
}

/// All tasks of a job run on the only worker.
fn all_running() -> (HostWorld, Vec<Action>) {
    let mut world = HostWorld::new(1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(TASKS, vec![])], 0))));
    let started = world.sched.take_batch().actions;
    assert_eq!(starts(&started).len(), TASKS as usize);
    for (task, attempt) in starts(&started) {
        world.taken(&worker(0, 0).id, task, attempt);
    }
    world.at(100);
    world.report(0, 0, &started);
    (world, started)
}

/// The worker answers with the ends numbered `first` to `last`, with more to follow, and runs nothing.
fn answer_partly(world: &mut HostWorld, all: &[ReportedEnd], first: usize, last: usize) {
    let ended = all[first - 1..last].to_vec();
    let listing = Listing { ended, coverage: EndCoverage::Earliest, ..Listing::default() };
    world.answers(&worker(0, 0).id, listing);
}

/// The worker answers with the remaining ends: nothing is started, and the job is completed.
fn answer_rest(world: &mut HostWorld, rest: &[ReportedEnd]) {
    world.answers(&worker(0, 0).id, Listing { ended: rest.to_vec(), ..Listing::default() });
    assert_eq!(starts(&world.tick()), []);
    let completed = world.sched.jobs.get(&JobKey::of_number(1)).is_some_and(|j| j.all_done());
    assert!(completed || world.sched.jobs.is_archived(&JobKey::of_number(1)));
}

/// TWICE: the first answer to a new relay or lease holder lacks the ends of tasks that are done.
#[test]
fn first_answer() {
    let (mut world, started) = all_running();
    let ends = ends(&started);
    world.at(200);
    world.attend_anew();
    answer_partly(&mut world, &ends, 1, 2);
    assert_eq!(starts(&world.tick()), [], "the others may be done too");
    world.at(300);
    answer_rest(&mut world, &ends[2..]);
}

/// TWICE: a later answer to the same relay lacks the ends of tasks that are done, as when they pile up
/// while ends are recorded slowly.
#[test]
fn later_answer() {
    let (mut world, started) = all_running();
    let ends = ends(&started);
    for (ms, first) in [(200, 1), (300, 1), (400, 2)] {
        world.at(ms);
        answer_partly(&mut world, &ends, first, first + 1);
        assert_eq!(starts(&world.tick()), [], "the others may be done too");
    }
    world.at(500);
    answer_rest(&mut world, &ends[3..]);
}

/// A task that is neither running nor among all ends is started again, once all ends are listed.
#[test]
fn run_that_is_gone() {
    let (mut world, started) = all_running();
    let ends = ends(&started);
    world.at(200);
    answer_partly(&mut world, &ends, 1, 2);
    assert_eq!(starts(&world.tick()), []);
    world.at(300);
    world.answers(&worker(0, 0).id, Listing { ended: ends[2..3].to_vec(), ..Listing::default() });
    let (gone, _) = starts(&started)[3];
    assert_eq!(starts(&world.tick()), [(gone, 2)]);
}

/// Nothing is started on a worker before it is known what runs there.
#[test]
fn no_start_before_all_ends() {
    let (mut world, started) = all_running();
    let ends = ends(&started);
    world.at(200);
    let id = worker(0, 0).id;
    world.sched.handle(Event::RelayDown {
        entry: world.sched.holder.clone(),
        lease_end: Duration::from_secs(6),
        may_return: true,
    });
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![step(1, vec![])], 200))));
    answer_partly(&mut world, &ends, 1, 2);
    assert_eq!(starts(&world.tick()), [], "a start that is on its way would be taken for a lost run");
    world.at(300);
    let running: Vec<ReportedRun> = started[3..].iter().filter_map(listed).collect();
    let ended = ends[2..3].to_vec();
    world.answers(&id, Listing { running, ended, ..Listing::default() });
    let begun: Vec<u64> = starts(&world.tick()).iter().map(|(task, _)| task.job.number).collect();
    assert_eq!(begun, [2]);
}

/// A world of one worker on which all tasks of a job have begun.
fn busy_world() -> World {
    let mut w = World::new(1, FaultRng::new(1, 0)).with_short_end_lists();
    w.run_for(Duration::from_millis(600));
    w.submit(1, job(vec![step(TASKS, vec![])], w.now.as_millis() as u64));
    w.run_for(Duration::from_millis(180));
    assert_eq!(w.seen.starts, u64::from(TASKS));
    w
}

fn check(mut w: World) {
    w.run_for(Duration::from_secs(10));
    assert_eq!(w.seen.violations, Vec::<String>::new());
    assert!(w.is_over(1), "{:?}", w.shown(1));
    assert_eq!(w.seen.starts, u64::from(TASKS), "each task runs once");
}

/// TWICE: the holder is killed, and all tasks end before its successor polls their worker.
#[test]
fn ends_before_takeover() {
    let mut w = busy_world();
    w.kill_holder();
    w.run_for(Duration::from_millis(1500));
    w.take_over();
    check(w);
}

/// TWICE: the store is away while the tasks end, so that no end is acknowledged.
#[test]
fn ends_while_store_is_away() {
    let mut w = busy_world();
    w.lose_store(Duration::from_millis(2500));
    check(w);
}
