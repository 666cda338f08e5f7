//! Workers that change between starts without a record and the answer to a successor's first poll.

use std::sync::Arc;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::types::Record;
use workswood_core::jobs::{
    Batch, EndKind, Event, JobKey, JobSpec, JobStatus, Outcome, StepSpec, StoreAccess, TaskId, WorkerInfo,
    WorkerRecord,
};
use workswood_test_support::host_world::{HostWorld, OTHER, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

use super::store_outages::{
    AWAY_AT, JOB, TAKEN_OVER_AT, answer, early, ended, first_step_done, holder, job_of, limit_workspaces,
    list, listed, starts, store, successor, successor_of, task,
};

/// Label that some steps require.
const LABEL: &str = "large";

/// The second worker with this much processor capacity.
fn with_cpu(cpu_millis: u64) -> WorkerInfo {
    let info = worker(1, 0);
    WorkerInfo { capacity: Resources { cpu_millis, ..info.capacity }, ..info }
}

/// A worker with [`LABEL`].
fn labelled(n: usize) -> WorkerInfo {
    WorkerInfo { labels: vec![LABEL.to_string()], ..worker(n, 0) }
}

/// A worker of another service.
fn of_other_service(n: usize) -> WorkerInfo {
    WorkerInfo { service: OTHER.to_string(), ..worker(n, 0) }
}

/// Two steps, the second one of which requires [`LABEL`].
fn labelled_step() -> Arc<JobSpec> {
    let second = StepSpec { label: Some(LABEL.to_string()), ..step(1, vec![0]) };
    Arc::new(job(vec![step(1, vec![]), second], 0))
}

/// The second worker changes before it answers: the second step may run there all the same.
fn assert_is_waited_for(world: &mut HostWorld, changed: WorkerInfo) {
    world.sched.handle(Event::WorkerListed(changed));
    first_step_done(world);
    assert_eq!(starts(&store(world).actions), [], "the second step may run on worker 1");
    answer(world, 1, Vec::new(), Vec::new());
    assert_eq!(starts(&store(world).actions).len(), 1);
}

/// The latest record of the second worker in a batch.
fn record_of(batch: &Batch) -> Option<WorkerRecord> {
    let record = |rec: &Record| match rec {
        Record::Worker(id, rec) if *id == worker(1, 0).id => Some(rec.clone()),
        _ => None,
    };
    batch.records.iter().rev().find_map(record)
}

/// TWICE: a worker has shrunk since its predecessor started a task there without a record.
#[test]
fn shrunk_worker_is_waited_for() {
    assert_is_waited_for(&mut successor(true), with_cpu(500));
}

/// TWICE: a worker has lost the label of a task that a predecessor started there without a record.
#[test]
fn relabelled_worker_is_waited_for() {
    let mut world = successor_of(labelled_step(), true);
    (0..2).for_each(|n| world.sched.handle(Event::WorkerListed(labelled(n))));
    assert_is_waited_for(&mut world, worker(1, 0));
}

#[test]
fn worker_of_another_service_is_waited_for() {
    assert_is_waited_for(&mut successor(true), of_other_service(1));
}

#[test]
fn unlisted_worker_is_waited_for() {
    let mut world = successor(true);
    world.sched.handle(Event::WorkerUnlisted(worker(1, 0).id));
    assert_is_waited_for(&mut world, worker(1, 0));
}

/// BUDGET: of two failed runs with one number, the first of which began without a record, one is counted.
#[test]
fn failures_with_one_number() {
    let failed = |number, attempt| vec![ended(number, task(1, 0), attempt, EndKind::Failed)];
    let mut world = successor(true);
    first_step_done(&mut world);
    store(&mut world);
    world.at(TAKEN_OVER_AT + 9500);
    world.sched.handle(Event::Tick);
    assert_eq!(starts(&store(&mut world).actions), [(task(1, 0), 1, 0)], "the lease of worker 1 has ended");
    answer(&mut world, 0, Vec::new(), failed(2, 1));
    answer(&mut world, 1, Vec::new(), failed(1, 1));
    let begun = starts(&store(&mut world).actions);
    assert_eq!(begun.len(), 1, "two of three attempts have failed");
    answer(&mut world, begun[0].2, Vec::new(), failed(3, begun[0].1));
    assert_eq!(world.sched.jobs.status(&JobKey::of_number(JOB)), Some(JobStatus::Ended(Outcome::Failed)));
}

/// QUOTA: a worker has shrunk since a predecessor filled it with tasks without a record.
#[test]
fn shrunk_worker_may_be_full() {
    let mut world = successor_of(job_of("one"), true);
    limit_workspaces(&mut world);
    world.sched.handle(Event::WorkerListed(with_cpu(1000)));
    first_step_done(&mut world);
    world.sched.handle(Event::Submitted(3, job_of("one")));
    assert_eq!(starts(&store(&mut world).actions), [], "three tasks of the first job may run on worker 1");
}

/// The records of a holder whose second worker is filled by a job of another workspace than that of the first job.
fn records_beside_other_workspace() -> Vec<Record> {
    let mut world = holder(100, 2);
    list(&mut world);
    (0..2).for_each(|n| answer(&mut world, n, Vec::new(), Vec::new()));
    let mut records = store(&mut world).records;
    world.sched.handle(Event::Submitted(JOB, job_of("one")));
    records.extend(store(&mut world).records);
    world.sched.handle(Event::Submitted(2, filling_job()));
    records.extend(store(&mut world).records);
    records
}

/// A job of another workspace that takes what the first step of a job leaves of both workers.
fn filling_job() -> Arc<JobSpec> {
    Arc::new(JobSpec { workspace: Some("two".to_string()), ..job(vec![step(7, vec![])], 0) })
}

/// QUOTA: recorded runs of another workspace ended before a worker was filled with tasks without a record.
#[test]
fn runs_of_other_workspaces_may_be_over() {
    let mut world = holder(TAKEN_OVER_AT, 0);
    for rec in records_beside_other_workspace() {
        match rec {
            Record::Worker(id, rec) => world.sched.restore_worker(id, rec),
            Record::Job(key, rec) if key.number == JOB => {
                world.sched.restore_job(key, Some(job_of("one")), Some(rec));
            }
            Record::Job(key, rec) => world.sched.restore_job(key, Some(filling_job()), Some(rec)),
            _ => {}
        }
    }
    (0..2).for_each(|n| world.sched.handle(Event::WorkerListed(worker(n, 0))));
    list(&mut world);
    limit_workspaces(&mut world);
    first_step_done(&mut world);
    world.sched.handle(Event::Submitted(3, job_of("one")));
    let begun: Vec<u64> =
        starts(&store(&mut world).actions).iter().map(|(task, ..)| task.job.number).collect();
    assert!(!begun.contains(&3), "three tasks of the first job may run on worker 1");
}

/// TWICE: the record of a worker names another service than that of the tasks that may run there without
/// a record, and a third holder waits for those of the wrong service.
#[test]
fn unsettled_worker_keeps_its_service_on_record() {
    let mut world = successor(true);
    world.sched.handle(Event::WorkerUnlisted(worker(1, 0).id));
    world.sched.handle(Event::WorkerListed(of_other_service(1)));
    let record = record_of(&store(&mut world));
    assert!(record.is_none_or(|rec| rec.open && rec.service == SERVICE), "tasks of it may run there");
    answer(&mut world, 1, Vec::new(), Vec::new());
    let record = record_of(&store(&mut world)).expect("a record after the first answer");
    assert_eq!(record.service, OTHER);
}

/// TWICE: tasks of a service are started without a record on a worker that is open on record, but for
/// another service.
#[test]
fn changed_service_waits_for_its_record() {
    let mut world = holder(100, 0);
    [of_other_service(0), worker(1, 0)].into_iter().for_each(|w| world.sched.handle(Event::WorkerListed(w)));
    list(&mut world);
    (0..2).for_each(|n| answer(&mut world, n, Vec::new(), Vec::new()));
    store(&mut world);
    let steps = vec![step(1, vec![]), step(5, vec![0])];
    let spec = JobSpec { service: OTHER.to_string(), ..job(steps, 0) };
    world.sched.handle(Event::Submitted(JOB, Arc::new(spec)));
    assert_eq!(starts(&store(&mut world).actions).len(), 1);
    answer(&mut world, 0, vec![listed(task(0, 0), 1)], Vec::new());
    store(&mut world);
    world.sched.handle(Event::WorkerListed(of_other_service(1)));
    world.at(AWAY_AT);
    world.sched.set_store_access(StoreAccess::Away);
    answer(&mut world, 0, Vec::new(), vec![ended(1, task(0, 0), 1, EndKind::Done)]);
    let batch = world.sched.take_batch();
    let (actions, ..) = early(&world, batch, std::time::Duration::from_secs(1));
    let begun: Vec<(TaskId, usize)> = starts(&actions).into_iter().map(|(task, _, at)| (task, at)).collect();
    assert_eq!(begun.len(), 4, "as many as fit on worker 0");
    assert!(begun.iter().all(|(_, at)| *at == 0), "{begun:?}");
}
