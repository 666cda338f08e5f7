//! What a lease holder does while the store takes no records, and what its successor assumes.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::owed_batch::OwedBatch;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::types::Record;
use workswood_core::jobs::{
    Action, Batch, EndKind, Event, JobKey, JobRecord, JobSpec, JobStatus, Listing, OutagePolicy, Outcome,
    ReportedEnd, ReportedRun, SchedConfig, StepSpec, StoreAccess, TaskId, WorkerRecord, WorkerUpdate,
    Workspace, Workspaces,
};
use workswood_test_support::host_world::{HostWorld, SPARE, host, moves, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, config, job, step};

/// Workers of a world.
const WORKERS: usize = 2;
/// Time of the outage of the first holder, and of the takeover, in milliseconds.
pub(super) const AWAY_AT: u64 = 2000;
pub(super) const TAKEN_OVER_AT: u64 = 4000;
/// The only job.
pub(super) const JOB: u64 = 1;

pub(super) fn task(step: u16, index: u32) -> TaskId {
    TaskId { job: JobKey::of_number(JOB), round: 0, step, index }
}

/// Two steps of one task.
pub(super) fn two_steps() -> Arc<JobSpec> {
    Arc::new(job(vec![step(1, vec![]), step(1, vec![0])], 0))
}

pub(super) fn listed(task: TaskId, attempt: u32) -> ReportedRun {
    ReportedRun {
        task,
        attempt,
        checkpoint: String::new(),
        percent: 50,
        load: 0,
        stalled_for: Duration::ZERO,
    }
}

pub(super) fn ended(sequence_number: u64, task: TaskId, attempt: u32, kind: EndKind) -> ReportedEnd {
    ReportedEnd { sequence_number, task, attempt, kind, checkpoint: String::new() }
}

/// A holder that starts tasks before their record while the store is away, and has listed the hosts.
pub(super) fn holder(at: u64, workers: usize) -> HostWorld {
    let mut world = HostWorld::new(workers);
    world.at(at);
    world.sched.claimed_at = world.sched.now;
    world.sched.policy.outage =
        OutagePolicy { unrecorded_starts: true, show_completed: true, ..OutagePolicy::default() };
    world
}

pub(super) fn list(world: &mut HostWorld) {
    world.list((0..WORKERS).map(|n| host(n, SERVICE, Some(0))).collect());
}

pub(super) fn answer(world: &mut HostWorld, n: usize, running: Vec<ReportedRun>, ended: Vec<ReportedEnd>) {
    world.answers(&worker(n, 0).id, Listing { running, ended, ..Listing::default() });
}

/// Takes the next batch, which the store acknowledges.
pub(super) fn store(world: &mut HostWorld) -> Batch {
    let batch = world.sched.take_batch();
    world.sched.records_stored(&batch.records);
    batch
}

/// The starts among actions: task, attempt and worker.
pub(super) fn starts(actions: &[Action]) -> Vec<(TaskId, u32, usize)> {
    let number =
        |id: &WorkerId| (0..WORKERS).find(|n| worker(*n, 0).id == *id).expect("a worker of the world");
    let start = |action: &Action| match action {
        Action::Start { worker, task, attempt, .. } => Some((*task, *attempt, number(worker))),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// A holder whose first step is at work on record, the worker that runs it, and the job's record.
fn begin_first_step(spec: Arc<JobSpec>) -> (HostWorld, usize, JobRecord) {
    let mut world = holder(100, WORKERS);
    list(&mut world);
    (0..WORKERS).for_each(|n| answer(&mut world, n, Vec::new(), Vec::new()));
    store(&mut world);
    world.sched.handle(Event::Submitted(JOB, spec));
    let batch = store(&mut world);
    let begun = starts(&batch.actions);
    assert_eq!(begun.len(), 1, "the first step has one task");
    answer(&mut world, begun[0].2, vec![listed(begun[0].0, 1)], Vec::new());
    store(&mut world);
    let record = batch.records.into_iter().find_map(|rec| match rec {
        Record::Job(key, record) if key.number == JOB => Some(record),
        _ => None,
    });
    (world, begun[0].2, record.expect("the job is on record"))
}

fn with_first_step(spec: Arc<JobSpec>) -> (HostWorld, usize) {
    let (world, at, _) = begin_first_step(spec);
    (world, at)
}

/// The store goes away, and the first step ends. Returns the batch that is decided then.
fn end_first_step(world: &mut HostWorld, at: usize) -> Batch {
    world.at(AWAY_AT);
    world.sched.set_store_access(StoreAccess::Away);
    answer(world, at, Vec::new(), vec![ended(1, task(0, 0), 1, EndKind::Done)]);
    world.sched.take_batch()
}

/// What of a batch may be done before it is stored, after the store has been away for a time.
pub(super) fn early(world: &HostWorld, batch: Batch, away_for: Duration) -> (Vec<Action>, usize, Batch) {
    let mut owed = OwedBatch::default();
    owed.add(batch);
    let work = owed.take_early_work(None, &world.sched, away_for);
    (work.actions, work.statuses.len(), owed.into_batch())
}

#[test]
fn next_step_begins() {
    let (mut world, at) = with_first_step(two_steps());
    let batch = end_first_step(&mut world, at);
    let (actions, _, waiting) = early(&world, batch, Duration::from_secs(1));
    let begun: Vec<TaskId> = starts(&actions).into_iter().map(|(task, ..)| task).collect();
    assert_eq!(begun, [task(1, 0)]);
    assert_eq!(waiting.acked_ends.len(), 1, "the worker keeps the end until it is on record");
}

#[test]
fn new_job_waits_for_its_record() {
    let (mut world, _) = with_first_step(two_steps());
    world.sched.set_store_access(StoreAccess::Away);
    world.sched.handle(Event::Submitted(2, two_steps()));
    let batch = world.sched.take_batch();
    let (actions, ..) = early(&world, batch, Duration::from_secs(1));
    assert_eq!(starts(&actions), []);
}

#[test]
fn worker_waits_for_its_record() {
    let (mut world, at) = with_first_step(two_steps());
    // Closed after polls without an answer; that they answer again is not on record.
    for n in 0..WORKERS {
        let heard = world.sched.now;
        let unanswered = WorkerUpdate::Unanswered { lease_end: heard + Duration::from_secs(5), heard };
        world.tells(&worker(n, 0).id, unanswered);
    }
    store(&mut world);
    for n in 0..WORKERS {
        answer(&mut world, n, if n == at { vec![listed(task(0, 0), 1)] } else { Vec::new() }, Vec::new());
    }
    let batch = end_first_step(&mut world, at);
    let (actions, ..) = early(&world, batch, Duration::from_secs(1));
    assert_eq!(starts(&actions), []);
}

#[test]
fn gangs_and_long_running_tasks_wait() {
    let gang = StepSpec { gang: true, ..step(2, vec![0]) };
    let long_running = StepSpec { long_running: true, ..step(2, vec![0]) };
    let spec = Arc::new(job(vec![step(1, vec![]), gang, long_running], 0));
    let (mut world, at) = with_first_step(spec);
    let batch = end_first_step(&mut world, at);
    let (actions, ..) = early(&world, batch, Duration::from_secs(1));
    assert_eq!(starts(&actions), []);
}

#[test]
fn no_starts_after_the_grant() {
    let (mut world, at) = with_first_step(two_steps());
    world.sched.set_store_access(StoreAccess::AwayAndNoStarts);
    answer(&mut world, at, Vec::new(), vec![ended(1, task(0, 0), 1, EndKind::Done)]);
    assert_eq!(starts(&world.sched.take_batch().actions), []);
    world.sched.set_store_access(StoreAccess::Answering);
    assert_eq!(starts(&world.sched.take_batch().actions).len(), 1, "it begins when the store is back");
}

#[test]
fn completed_is_shown_late_and_once() {
    let (mut world, at) = with_first_step(Arc::new(job(vec![step(1, vec![])], 0)));
    let batch = end_first_step(&mut world, at);
    let (_, shown, batch) = early(&world, batch, Duration::from_millis(2000));
    assert_eq!(shown, 0, "a holder that alone is turned away may have a successor by then");
    let (_, shown, batch) = early(&world, batch, Duration::from_millis(2500));
    assert_eq!(shown, 1);
    assert!(batch.status_updates.is_empty());
}

/// An earlier state that waits for the store must not replace one that was shown early.
#[test]
fn earlier_status_is_dropped() {
    let (mut world, at) = with_first_step(Arc::new(job(vec![step(1, vec![])], 0)));
    let mut in_flight = Batch::default();
    let batch = end_first_step(&mut world, at);
    let mut running = batch.status_updates[0].clone();
    running.state = Some(JobStatus::Running);
    in_flight.status_updates.push(running);
    let mut owed = OwedBatch::default();
    owed.add(batch);
    let work = owed.take_early_work(Some(&mut in_flight), &world.sched, Duration::from_secs(3));
    assert_eq!(work.statuses[0].state, Some(JobStatus::Ended(Outcome::Completed)));
    assert!(in_flight.status_updates.is_empty());
}

#[test]
fn newest_record_wins() {
    let mut owed = OwedBatch::default();
    for cancelled in [false, true] {
        let record = JobRecord { cancelled, ..JobRecord::default() };
        owed.add(Batch { records: vec![Record::Job(JobKey::of_number(JOB), record)], ..Batch::default() });
    }
    let records = owed.into_batch().records;
    assert!(
        matches!(&records[..], [Record::Job(key, record)] if key.number == JOB && record.cancelled),
        "{records:?}"
    );
}

/// A successor of a holder that recorded both workers as open, or as closed.
pub(super) fn successor(open: bool) -> HostWorld {
    successor_of(two_steps(), open)
}

pub(super) fn successor_of(spec: Arc<JobSpec>, open: bool) -> HostWorld {
    let (_, at, record) = begin_first_step(spec.clone());
    assert_eq!(at, 0, "workers are filled in order");
    let mut world = holder(TAKEN_OVER_AT, 0);
    for n in 0..WORKERS {
        let info = worker(n, 0);
        world.sched.restore_worker(info.id.clone(), WorkerRecord { open, ..info.record() });
    }
    world.sched.restore_job(JobKey::of_number(JOB), Some(spec), Some(record));
    (0..WORKERS).for_each(|n| world.sched.handle(Event::WorkerListed(worker(n, 0))));
    list(&mut world);
    world
}

/// The worker of the first step tells that it is done.
pub(super) fn first_step_done(world: &mut HostWorld) {
    answer(world, 0, Vec::new(), vec![ended(1, task(0, 0), 1, EndKind::Done)]);
}

#[test]
fn successor_waits_for_open_workers() {
    let mut world = successor(true);
    first_step_done(&mut world);
    assert_eq!(starts(&store(&mut world).actions), [], "the second step may run on worker 1");
    answer(&mut world, 1, Vec::new(), Vec::new());
    assert_eq!(starts(&store(&mut world).actions).len(), 1);
}

#[test]
fn closed_workers_hold_up_nothing() {
    let mut world = successor(false);
    first_step_done(&mut world);
    assert_eq!(starts(&store(&mut world).actions).len(), 1);
}

#[test]
fn later_jobs_are_free() {
    let mut world = successor(true);
    first_step_done(&mut world);
    world.sched.handle(Event::Submitted(2, two_steps()));
    let begun: Vec<u64> =
        starts(&store(&mut world).actions).iter().map(|(task, ..)| task.job.number).collect();
    assert_eq!(begun, [2]);
}

/// A job of a workspace whose first step has one task and whose second step has three.
pub(super) fn job_of(workspace: &str) -> Arc<JobSpec> {
    let steps = vec![step(1, vec![]), step(3, vec![0])];
    Arc::new(JobSpec { workspace: Some(workspace.to_string()), ..job(steps, 0) })
}

/// Sets a limit of three cores for two workspaces.
pub(super) fn limit_workspaces(world: &mut HostWorld) {
    let mut workspaces = Workspaces::default();
    for name in ["one", "two"] {
        let limit = Resources { cpu_millis: 3000, ..Resources::default() };
        workspaces.add(Workspace { name: name.to_string(), jobs_per_s: 1.0, limit }, []);
    }
    world.sched.handle(Event::ConfigChanged(Arc::new(SchedConfig { workspaces, ..config() })));
}

/// One worker can't be reached. What may run there is charged to the workspace that it would belong to,
/// and to no other.
#[test]
fn hidden_runs_count_for_their_workspace() {
    let mut world = successor_of(job_of("one"), true);
    limit_workspaces(&mut world);
    first_step_done(&mut world);
    world.sched.handle(Event::Submitted(2, job_of("two")));
    world.sched.handle(Event::Submitted(3, job_of("one")));
    let begun: Vec<u64> =
        starts(&store(&mut world).actions).iter().map(|(task, ..)| task.job.number).collect();
    assert_eq!(begun, [2], "three tasks of the first workspace may run on worker 1");
    answer(&mut world, 1, Vec::new(), Vec::new());
    let begun = starts(&store(&mut world).actions).len();
    assert_eq!(begun, 3, "within the limit of the first workspace");
}

/// A job that was cancelled after the takeover may have runs on a worker that can't be reached.
#[test]
fn hidden_runs_of_cancelled_jobs_count() {
    let mut world = successor_of(job_of("one"), true);
    limit_workspaces(&mut world);
    first_step_done(&mut world);
    store(&mut world);
    world.sched.handle(Event::Cancelled(job_of("one").key(JOB)));
    store(&mut world);
    world.sched.handle(Event::Submitted(3, job_of("one")));
    assert_eq!(starts(&store(&mut world).actions), []);
}

/// Ticks for a while; returns the actions.
fn tick_until(world: &mut HostWorld, end: u64) -> Vec<Action> {
    let from = world.sched.wall;
    (from..end).step_by(150).flat_map(|at| tick_at(world, at)).collect()
}

fn tick_at(world: &mut HostWorld, at: u64) -> Vec<Action> {
    world.at(at);
    world.tick()
}

#[test]
fn host_with_hidden_runs_is_not_empty() {
    let mut world = successor(true);
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    let ordered = upkeeps(&tick_until(&mut world, TAKEN_OVER_AT + 1500));
    assert_eq!(ordered, Vec::<String>::new(), "a task may run there without a record");
    answer(&mut world, 1, Vec::new(), Vec::new());
    let ordered = upkeeps(&tick_until(&mut world, TAKEN_OVER_AT + 3500));
    assert_eq!(ordered.first().map(String::as_str), Some("m-1"));
}

/// A host of the spare pool on which a worker of its last pool may still be.
#[test]
fn host_with_hidden_runs_does_not_move() {
    let mut world = successor(true);
    let hosts = [host(0, SERVICE, Some(0)), host(1, SPARE, Some(0))];
    world.list(hosts.to_vec());
    let wide = job(vec![step(12, vec![])], TAKEN_OVER_AT);
    world.sched.handle(Event::Submitted(2, Arc::new(wide)));
    let moved = moves(&tick_until(&mut world, TAKEN_OVER_AT + 1500));
    assert_eq!(moved, [], "a task may run there without a record");
    answer(&mut world, 1, Vec::new(), Vec::new());
    let moved = moves(&tick_until(&mut world, TAKEN_OVER_AT + 3500));
    assert_eq!(moved.first().map(|(name, _)| name.as_str()), Some("m-1"));
}

#[test]
fn lease_end_settles() {
    let mut world = successor(true);
    first_step_done(&mut world);
    store(&mut world);
    // 4 s of extensions, then a lease of 5 s on a slow clock.
    world.at(TAKEN_OVER_AT + 9300);
    world.sched.handle(Event::Tick);
    assert_eq!(starts(&store(&mut world).actions), []);
    world.at(TAKEN_OVER_AT + 9500);
    world.sched.handle(Event::Tick);
    assert_eq!(starts(&store(&mut world).actions).len(), 1);
}

#[test]
fn unrecorded_run_is_adopted() {
    let mut world = successor(true);
    answer(&mut world, 1, vec![listed(task(1, 0), 3)], Vec::new());
    first_step_done(&mut world);
    let batch = store(&mut world);
    assert_eq!(starts(&batch.actions), []);
    let stops = batch.actions.iter().filter(|action| matches!(action, Action::Stop(..))).count();
    assert_eq!(stops, 0);
    answer(&mut world, 1, Vec::new(), vec![ended(1, task(1, 0), 3, EndKind::Done)]);
    assert_eq!(world.sched.jobs.status(&JobKey::of_number(JOB)), Some(JobStatus::Ended(Outcome::Completed)));
}

/// The predecessor knew that attempt 1 was over when it began attempt 2.
#[test]
fn later_attempt_is_adopted_before_the_earlier_is_settled() {
    let mut world = successor(true);
    answer(&mut world, 1, vec![listed(task(0, 0), 2)], Vec::new());
    answer(&mut world, 0, Vec::new(), vec![ended(1, task(0, 0), 1, EndKind::Failed)]);
    assert_eq!(starts(&store(&mut world).actions), []);
}

#[test]
fn unrecorded_end_counts_with_its_attempt() {
    let mut world = successor(true);
    first_step_done(&mut world);
    answer(&mut world, 1, Vec::new(), vec![ended(1, task(1, 0), 1, EndKind::Failed)]);
    let begun = starts(&store(&mut world).actions);
    assert_eq!(
        begun.iter().map(|(task, attempt, _)| (*task, *attempt)).collect::<Vec<_>>(),
        [(task(1, 0), 2)]
    );
}

#[test]
fn unsettled_worker_stays_open_on_record() {
    let mut world = successor(true);
    world.sched.policy.outage.unrecorded_starts = false;
    world.sched.handle(Event::WorkerUnlisted(worker(1, 0).id));
    let closed = |batch: &Batch| {
        batch.records.iter().any(|rec| match rec {
            Record::Worker(id, rec) => *id == worker(1, 0).id && !rec.open,
            Record::DropWorker(id) => *id == worker(1, 0).id,
            _ => false,
        })
    };
    assert!(!closed(&store(&mut world)), "a third holder has to wait for it, too");
    answer(&mut world, 1, Vec::new(), Vec::new());
    assert!(closed(&store(&mut world)), "nothing is started there without a record any more");
}

#[test]
fn records_of_earlier_versions_are_closed() {
    let earlier = r#"{"address":"10.0.0.1:80","service":"desk","machine":"m-1","data_centre":"north"}"#;
    let record: WorkerRecord = serde_json::from_str(earlier).expect("a record");
    assert!(!record.open);
    assert_eq!(serde_json::to_string(&record).expect("a record"), earlier);
    let open = serde_json::to_string(&WorkerRecord { open: true, ..record.clone() }).expect("a record");
    assert!(serde_json::from_str::<WorkerRecord>(&open).expect("a record").open);
}

/// What was meant for the earlier life may run in the later one, which has the worker's name.
#[test]
fn restarted_worker_is_waited_for() {
    let mut world = successor(true);
    let (earlier, now) = (worker(1, 0).id, world.sched.now);
    let later = WorkerId::new(earlier.name(), Some(5));
    world.sched.handle(Event::WorkerRestarted(earlier, 5, now));
    first_step_done(&mut world);
    assert_eq!(starts(&store(&mut world).actions), []);
    world.answers(&later, Listing { running: vec![listed(task(1, 0), 1)], ..Listing::default() });
    assert_eq!(starts(&store(&mut world).actions), [], "the run in the later life is adopted");
}
