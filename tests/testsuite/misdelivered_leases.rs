//! Leases that a later life of a worker holds because it received orders meant for a former one.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Batch, Event, JobSpec, Listing, Record, Scheduler, StartReply, StepSpec, WorkerInfo, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, limits, listed, worker};
use workswood_test_support::job_world::{job, step};

/// Number of the only job.
pub(super) const JOB: u64 = 1;
/// Name of the worker that restarts.
pub(super) const NAME: &str = "a";
/// When the former life is known to be over and the later one first answers, in milliseconds.
const RESTARTED_AT: u64 = 100;
/// When a successor claims the lease, in milliseconds.
const CLAIMED_AT: u64 = 1_000;
/// Before the last lease ends that the later life may have received, and after it, in milliseconds: 10 s on a clock
/// that may be 2% slow, and a slack, from [`RESTARTED_AT`] on.
const IN_LEASE: u64 = 10_500;
const AFTER_LEASE: u64 = 10_700;

/// A life of the worker that restarts, by when it started.
pub(super) fn life(started: u64) -> WorkerInfo {
    WorkerInfo { id: WorkerId::new(NAME, Some(started)), ..worker(1, 0) }
}

pub(super) fn one_task() -> Arc<JobSpec> {
    Arc::new(job(vec![step(1, vec![])], 0))
}

/// Worker and attempt of each start.
pub(super) fn starts(batch: &Batch) -> Vec<(WorkerId, u32)> {
    let start = |a: &Action| match a {
        Action::Start { worker, attempt, .. } => Some((worker.clone(), *attempt)),
        _ => None,
    };
    batch.actions.iter().filter_map(start).collect()
}

/// Ticks once and takes a batch.
pub(super) fn decide(world: &mut HostWorld) -> Batch {
    world.sched.handle(Event::Tick);
    world.sched.take_batch()
}

/// The former life is listed and answers.
pub(super) fn with_former_life() -> HostWorld {
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
    // Workers come first, as in the product.
    let (jobs, workers): (Vec<Record>, Vec<Record>) =
        records.into_iter().partition(|rec| matches!(rec, Record::Job(..)));
    for rec in workers.into_iter().chain(jobs) {
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

/// When the later life first answers, long after the former one is known to be over, in milliseconds.
const LATE_ANSWER_AT: u64 = 9_000;

/// The same, once no lease is left that was taken in time, but before orders are carried out no more.
const LATEST_ANSWER_AT: u64 = 15_000;

/// The former life has gone without runs; the later one has answered late and been given the task.
fn with_late_answer(answer_at: u64) -> (HostWorld, Batch) {
    let mut world = with_former_life();
    world.at(RESTARTED_AT);
    world.sched.handle(Event::WorkerUnlisted(life(10).id));
    world.sched.take_batch();
    world.at(answer_at);
    decide(&mut world);
    world.sched.handle(Event::WorkerListed(life(20)));
    world.answers(&life(20).id, Listing::default());
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let batch = decide(&mut world);
    assert_eq!(starts(&batch), [(life(20).id, 1)]);
    (world, batch)
}

/// TWICE: the later life takes a lease meant for the former one until it first answers, however late that is.
#[test]
fn lease_counts_from_the_first_answer() {
    for answer_at in [LATE_ANSWER_AT, LATEST_ANSWER_AT] {
        let (mut world, batch) = with_late_answer(answer_at);
        let Some(run) = batch.actions.iter().find_map(listed) else { panic!("no start") };
        world.taken(&life(20).id, run.task, run.attempt);
        list_other_worker(&mut world);
        world.at(answer_at + 900);
        let lease_end = Duration::from_millis(answer_at + 5_900);
        world.tells_silence(&life(20).id, lease_end, Duration::from_millis(answer_at));
        for at in [answer_at + 3_000, answer_at + 7_000, answer_at + 10_400] {
            world.at(at);
            assert_eq!(starts(&decide(&mut world)), [], "the later life runs it at {at} ms");
        }
        world.at(answer_at + 10_600);
        assert_eq!(starts(&decide(&mut world)), [(worker(0, 0).id, 2)]);
    }
}

/// TWICE: the record of a former life tells of a lease that the later one took just before it first answered.
#[test]
fn record_counts_from_the_first_answer() {
    let (_, batch) = with_late_answer(LATE_ANSWER_AT);
    let recorded = batch.records.iter().find_map(|rec| match rec {
        Record::EndedIncarnation(id, Some(ended)) if *id == life(10).id => Some(ended),
        _ => None,
    });
    let ended = recorded.expect("it is on record with the start");
    assert!(ended.is_final && ended.lease_left >= 10_500, "{ended:?}");
}

/// A successor in a short term records again what is left.
#[test]
fn short_term_records_what_is_left() {
    let mut world = with_former_life();
    restart(&mut world);
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let mut world = successor(records_of_holder(&mut world));
    let batch = decide(&mut world);
    assert!(last_left(&[batch], &life(10).id).is_some());
}

/// What the newest record of an incarnation in some batches tells is left; `None` if none has one.
fn last_left(batches: &[Batch], id: &WorkerId) -> Option<u64> {
    let records = batches.iter().flat_map(|b| &b.records);
    let mut left = records.filter_map(|rec| match rec {
        Record::EndedIncarnation(other, Some(ended)) if other == id => Some(ended.lease_left),
        _ => None,
    });
    left.next_back()
}

/// A successor waits for what is left, not for the longest lease from its own reading on.
#[test]
fn record_is_kept_up_to_date() {
    let mut world = with_former_life();
    restart(&mut world);
    let mut batches = vec![decide(&mut world)];
    for at in (300..8_000).step_by(150) {
        world.at(at);
        batches.push(decide(&mut world));
    }
    let left = last_left(&batches, &life(10).id);
    assert!(left.is_some_and(|ms| ms <= 10_600 - 7_950 + 1_150), "{left:?}");
}

/// The record goes once no lease is left.
#[test]
fn record_is_deleted() {
    let mut world = with_former_life();
    restart(&mut world);
    decide(&mut world);
    world.at(AFTER_LEASE);
    let batch = decide(&mut world);
    let is_deletion = |rec: &Record| matches!(rec, Record::EndedIncarnation(id, None) if *id == life(10).id);
    assert!(batch.records.iter().any(is_deletion), "{:?}", batch.records);
}

/// TWICE: of three lives in a row the last one has a lease that was meant for the first or the second.
#[test]
fn third_life_counts_the_leases_of_both() {
    let mut world = with_former_life();
    restart(&mut world);
    decide(&mut world);
    let again = 3_000;
    world.at(again);
    world.sched.handle(Event::WorkerRestarted(life(20).id, 30, Duration::from_millis(2_000)));
    world.sched.handle(Event::WorkerListed(life(30)));
    world.answers(&life(30).id, Listing::default());
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let batch = decide(&mut world);
    assert_eq!(starts(&batch), [(life(30).id, 1)]);
    let Some(run) = batch.actions.iter().find_map(listed) else { panic!("no start") };
    world.taken(&life(30).id, run.task, run.attempt);
    list_other_worker(&mut world);
    world.at(again + 900);
    world.tells_silence(&life(30).id, Duration::from_millis(again + 5_900), Duration::from_millis(again));
    for at in [10_000, again + 10_400] {
        world.at(at);
        assert_eq!(starts(&decide(&mut world)), [], "the third life runs it at {at} ms");
    }
    world.at(again + 10_600);
    assert_eq!(starts(&decide(&mut world)), [(worker(0, 0).id, 2)]);
}

/// TWICE: the later life carries out a start for the former one that had no answer, up to 12 s after it was sent.
#[test]
fn late_start_for_a_former_life_is_waited_for() {
    let mut world = with_former_life();
    world.sched.handle(Event::Submitted(JOB, one_task()));
    let batch = decide(&mut world);
    let Some(run) = batch.actions.iter().find_map(listed) else { panic!("no start") };
    world.at(RESTARTED_AT);
    world.tells(&life(10).id, WorkerUpdate::Started(run.task, run.attempt, StartReply::NoAnswer));
    world.sched.handle(Event::WorkerListed(life(20)));
    list_other_worker(&mut world);
    for at in [AFTER_LEASE, 12_000, 22_400] {
        world.at(at);
        assert_eq!(starts(&decide(&mut world)), [], "the later life may run it at {at} ms");
    }
    world.at(22_700);
    assert_eq!(starts(&decide(&mut world)), [(worker(0, 0).id, 2)]);
}
