//! In which order waiting tasks get a worker.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::policy::OrderPolicy;
use workswood_core::jobs::queue_order::{
    QueueOrder, QueuePosition, StartDeadlines, TaskDurations, Timeliness, queue_position, step_paths,
};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::task_queue::{RequestedResources, TaskQueue};
use workswood_core::jobs::{Job, JobKey, JobSpec, Owner, StepId};
use workswood_test_support::job_world::{QUEUE, config, job, step};

fn opened(key: u64, spec: JobSpec) -> Job {
    let mut j = Job::new(JobKey::of_number(key), Arc::new(spec));
    j.open_round();
    j
}

fn first_step(j: &Job) -> StepId {
    StepId { job: j.key, round: 0, step: 0 }
}

fn first_place(j: &Job, now: u64) -> QueuePosition {
    place_of(j, &first_step(j), &TaskDurations::default(), now).0
}

fn place_of(j: &Job, id: &StepId, known: &TaskDurations, now: u64) -> (QueuePosition, StartDeadlines) {
    let (cfg, policy) = (config(), OrderPolicy::default());
    let paths = step_paths(j, known, &policy);
    queue_position(j, id, cfg.queues.get(QUEUE), &paths, &policy, now)
}

/// Steps are estimated at 500 ms: one is owed within 1.6 x 500 + 600 ms.
const OWED: u64 = 1400;
/// Room of a task.
const ROOM: Resources = Resources { cpu_millis: 1000, mem_mb: 100, gpus: 0 };

#[test]
fn late_behind_in_time() {
    let (old, new) = (opened(1, job(vec![step(1, vec![])], 0)), opened(2, job(vec![step(1, vec![])], 1000)));
    let now = OWED - 500 + 1;
    assert_eq!(first_place(&old, now - 1).timeliness, Timeliness::InTime);
    assert_eq!(first_place(&old, now).timeliness, Timeliness::Late);
    assert!(first_place(&new, now) < first_place(&old, now), "what can be in time goes first");
    assert_eq!(first_place(&old, 3 * OWED).timeliness, Timeliness::Worthless);
}

#[test]
fn late_by_age() {
    let (small, large) =
        (opened(1, job(vec![step(1, vec![])], 10)), opened(2, job(vec![step(9, vec![])], 9)));
    let now = 2000;
    assert_eq!(first_place(&large, now).timeliness, Timeliness::Late);
    assert!(first_place(&large, now) < first_place(&small, now), "the older one goes first");
}

#[test]
fn first_to_begin_first() {
    let (small, large) =
        (opened(1, job(vec![step(1, vec![])], 100)), opened(2, job(vec![step(9, vec![])], 0)));
    assert!(first_place(&large, 200) < first_place(&small, 200), "it must begin 0.1 s earlier");
    let long = opened(3, job(vec![step(1, vec![]), step(1, vec![0])], 0));
    assert!(first_place(&small, 200) < first_place(&long, 200), "two steps are owed 0.8 s later");
    assert_eq!(first_place(&long, 200).deadline_key, 2 * 800 + 600 - 2 * 500);
}

#[test]
fn standing_gets_worse() {
    let j = opened(1, job(vec![step(1, vec![])], 0));
    let id = first_step(&j);
    let mut waiting = TaskQueue::default();
    let (place, dues) = place_of(&j, &id, &TaskDurations::default(), 0);
    waiting.insert(place, dues, ROOM, [0]);
    waiting.downgrade_late_steps(OWED);
    let standings: Vec<Timeliness> = waiting.positions().map(|p| p.timeliness).collect();
    assert_eq!(standings, [Timeliness::Late]);
    waiting.remove(&id.task(0));
    assert!(waiting.is_empty());
}

/// What waits is counted by standing, whatever happens to it.
#[test]
fn room_waited_for() {
    let j = opened(1, job(vec![step(3, vec![])], 0));
    let id = first_step(&j);
    let mut waiting = TaskQueue::default();
    let requested = |in_time, late| RequestedResources { in_time, late };
    let (place, dues) = place_of(&j, &id, &TaskDurations::default(), 0);
    waiting.insert(place, dues, ROOM, [0, 1]);
    waiting.insert(place, dues, ROOM, [1, 2]);
    assert_eq!((waiting.count(), waiting.requested()), (3, requested(ROOM.times(3), Resources::default())));
    waiting.remove(&id.task(1));
    assert_eq!(waiting.tasks_of(&id).collect::<Vec<_>>(), [id.task(0), id.task(2)]);
    waiting.downgrade_late_steps(OWED);
    assert_eq!((waiting.count(), waiting.requested()), (2, requested(Resources::default(), ROOM.times(2))));
    assert_eq!(waiting.next_after(None).map(|p| p.timeliness), Some(Timeliness::Late));
    waiting.remove_step(&id);
    assert_eq!(
        (waiting.count(), waiting.requested()),
        (0, requested(Resources::default(), Resources::default()))
    );
    assert_eq!(waiting.next_after(None), None);
}

#[test]
fn durations_learned() {
    let mut known = TaskDurations::default();
    let policy = OrderPolicy::default();
    let guess = Duration::from_millis(400);
    assert_eq!(known.expect(QUEUE, guess, &policy), guess);
    (0..8).for_each(|_| known.observe(QUEUE, Duration::from_millis(1600), &policy));
    assert_eq!(known.expect(QUEUE, guess, &policy), Duration::from_millis(800), "between both");
}

/// A step with less work left goes first where not all can be in time, though it may begin later.
#[test]
fn least_work_first() {
    let mut waiting = TaskQueue::default();
    let small = opened(1, job(vec![step(1, vec![])], 200));
    let large = opened(2, job(vec![step(9, vec![])], 0));
    let long = opened(3, job(vec![step(1, vec![]), step(1, vec![0])], 0));
    for j in [&small, &large, &long] {
        let (place, dues) = place_of(j, &first_step(j), &TaskDurations::default(), 300);
        waiting.insert(place, dues, ROOM, [0]);
    }
    let order = |rank| {
        let mut at: Option<QueuePosition> = None;
        let mut jobs = Vec::new();
        while let Some(next) = waiting.next_of_owner(Owner::PUBLIC, at.as_ref(), rank) {
            jobs.push(next.step.job.number);
            at = Some(next);
        }
        jobs
    };
    assert_eq!(order(QueueOrder::EarliestDeadline), [2, 1, 3]);
    assert_eq!(order(QueueOrder::LeastWork), [1, 3, 2]);
}
