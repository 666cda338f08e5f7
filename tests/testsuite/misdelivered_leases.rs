//! Leases that a later life of a worker holds because it received orders meant for a former one.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Batch, Event, JobSpec, Listing, Record, Scheduler, StepSpec, WorkerInfo};
use workswood_test_support::host_world::{HostWorld, limits, listed, worker};
use workswood_test_support::job_world::{job, step};

/// Number of the only job.
const JOB: u64 = 1;
/// When the former life is known to be over and the later one first answers, in milliseconds.
const RESTARTED_AT: u64 = 100;
/// When a successor claims the lease, in milliseconds.
const CLAIMED_AT: u64 = 1_000;
/// Before the last lease ends that the later life may have received, and after it, in milliseconds: 10 s on a clock
/// that may be 2% slow, and a slack, from [`RESTARTED_AT`] on.
const IN_LEASE: u64 = 10_500;
const AFTER_LEASE: u64 = 10_700;

/// A life of the worker that restarts, by when it started.
fn life(started: u64) -> WorkerInfo {
    WorkerInfo { id: WorkerId::new("a", Some(started)), ..worker(1, 0) }
}

fn one_task() -> Arc<JobSpec> {
    Arc::new(job(vec![step(1, vec![])], 0))
}

/// Worker and attempt of each start.
fn starts(batch: &Batch) -> Vec<(WorkerId, u32)> {
    let start = |a: &Action| match a {
        Action::Start { worker, attempt, .. } => Some((worker.clone(), *attempt)),
        _ => None,
    };
    batch.actions.iter().filter_map(start).collect()
}

/// Ticks once and takes a batch.
fn decide(world: &mut HostWorld) -> Batch {
    world.sched.handle(Event::Tick);
    world.sched.take_batch()
}

/// The former life is listed and answers.
fn with_former_life() -> HostWorld {
    let mut world = HostWorld::new(0);
    world.sched.handle(Event::WorkerListed(life(10)));
    world.answers(&life(10).id, Listing::default());
    world
}

/// The former life is over, and the later one answers.
fn restart(world: &mut HostWorld) {
    world.at(RESTARTED_AT);
    world.sched.handle(Event::WorkerRestarted(life(10).id, 20, Duration::ZERO));
    world.sched.handle(Event::WorkerListed(life(20)));
    world.answers(&life(20).id, Listing::default());
}

/// Another worker, which can take the task.
fn list_other_worker(world: &mut HostWorld) {
    world.sched.handle(Event::WorkerListed(worker(0, 0)));
    world.report(0, 0, &[]);
}

/// The task is not started on the other worker before the later life's lease can be over, and then is.
fn assert_waits_for_the_lease(world: &mut HostWorld) {
    for at in [7_000, 8_500, IN_LEASE] {
        world.at(at);
        assert_eq!(starts(&decide(world)), [], "the later life runs it at {at} ms");
    }
    world.at(AFTER_LEASE);
    assert_eq!(starts(&decide(world)), [(worker(0, 0).id, 2)]);
}

/// TWICE: a former life without runs leaves the later one a lease that is not counted.
#[test]
fn idle_former_life_leaves_its_lease() {
    let mut world = with_former_life();
    restart(&mut world);
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let batch = decide(&mut world);
    assert_eq!(starts(&batch), [(life(20).id, 1)]);
    let Some(run) = batch.actions.iter().find_map(listed) else { panic!("no start") };
    world.taken(&life(20).id, run.task, run.attempt);
    list_other_worker(&mut world);
    world.at(CLAIMED_AT);
    world.tells_silence(&life(20).id, Duration::from_millis(6_000), Duration::from_millis(CLAIMED_AT - 100));
    assert_waits_for_the_lease(&mut world);
}

/// A scheduler that takes over from the records of a holder that has gone, the newest last.
fn successor(records: Vec<Record>) -> HostWorld {
    let mut world = HostWorld::new(0);
    let config = world.sched.config.clone();
    world.sched = Scheduler::new(2, limits(), Duration::from_millis(CLAIMED_AT), CLAIMED_AT);
    world.at(CLAIMED_AT);
    world.sched.predecessors_extend_until = Some(Duration::from_millis(CLAIMED_AT));
    world.sched.handle(Event::ConfigChanged(config));
    for rec in records {
        match rec {
            Record::Worker(id, rec) => world.sched.restore_worker(id, rec),
            Record::EndedIncarnation(id, Some(ended)) => world.sched.restore_ended(id, &ended),
            Record::Job(key, rec) => world.sched.restore_job(key, Some(one_task()), Some(rec)),
            other => panic!("{other:?}"),
        }
    }
    world
}

/// What a holder has recorded that started the task on the later life, after the former one was over.
fn records_of_holder(world: &mut HostWorld) -> Vec<Record> {
    let batch = decide(world);
    assert_eq!(starts(&batch).iter().map(|(id, _)| id).collect::<Vec<_>>(), [&life(20).id]);
    batch.records.into_iter().filter(|rec| !matches!(rec, Record::DropWorker(_))).collect()
}

/// TWICE: what is known of the lease goes with the record of the former life.
#[test]
fn successor_counts_the_lease_of_a_former_life() {
    let mut world = with_former_life();
    restart(&mut world);
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let mut world = successor(records_of_holder(&mut world));
    list_other_worker(&mut world);
    for at in [7_000, 8_500, IN_LEASE] {
        world.at(at);
        assert_eq!(starts(&decide(&mut world)), [], "the later life runs it at {at} ms");
    }
    world.at(CLAIMED_AT + AFTER_LEASE);
    assert_eq!(starts(&decide(&mut world)), [(worker(0, 0).id, 2)]);
}

/// A long-running task would be held for longer by a worker that started again than by another one.
#[test]
fn lasting_task_avoids_restarted_worker() {
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    let mut world = with_former_life();
    list_other_worker(&mut world);
    restart(&mut world);
    world.sched.handle(Event::Submitted(JOB, Arc::new(job(vec![lasting], 0))));
    assert_eq!(starts(&decide(&mut world)), [(worker(0, 0).id, 1)]);
}
