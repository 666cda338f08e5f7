//! What a workspace has at work stays within its limit, and what it sends beyond its share yields.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::fair_share::{SubmissionRates, weighted_usage};
use workswood_core::jobs::policy::OrderPolicy;
use workswood_core::jobs::queue_order::{TaskDurations, queue_position, step_paths};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::workspace_usage::{Reservation, UsageChange, WorkspaceUsage, limit_admits};
use workswood_core::jobs::{
    Action, EndKind, Event, Job, JobKey, JobOwner, JobSpec, Listing, Owner, Report, ReportedEnd, SchedConfig,
    StartReply, StepId, TaskId, WorkerUpdate, Workspace, Workspaces,
};
use workswood_test_support::host_world::HostWorld;
use workswood_test_support::job_world::{QUEUE, config, job, step};

/// Thousandths of a core.
fn cpu(millis: u64) -> Resources {
    Resources { cpu_millis: millis, mem_mb: 0, gpus: 0 }
}

fn workspaces(limits: &[(&str, u64)]) -> Workspaces {
    let mut all = Workspaces::default();
    for (name, millis) in limits {
        all.add(Workspace { name: name.to_string(), jobs_per_s: 2.0, limit: cpu(*millis) }, []);
    }
    all
}

fn configured(version: u64, limits: &[(&str, u64)]) -> Event {
    Event::ConfigChanged(Arc::new(SchedConfig { version, workspaces: workspaces(limits), ..config() }))
}

/// A job of a workspace, of tasks of one core each.
fn of(workspace: &str, tasks: u32) -> JobSpec {
    JobSpec { workspace: Some(workspace.to_string()), ..job(vec![step(tasks, vec![])], 100) }
}

/// Eight workers of four cores each, and workspaces with limits.
fn world(limits: &[(&str, u64)]) -> HostWorld {
    let mut world = HostWorld::new(8);
    world.sched.handle(configured(2, limits));
    world.at(100);
    world
}

fn submit(world: &mut HostWorld, key: u64, spec: JobSpec) -> Vec<Action> {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    starts(world.sched.take_batch().actions)
}

fn starts(actions: Vec<Action>) -> Vec<Action> {
    actions.into_iter().filter(|a| matches!(a, Action::Start { .. })).collect()
}

fn taken(world: &mut HostWorld, starts: &[Action]) {
    for a in starts {
        if let Action::Start { worker, task, attempt, .. } = a {
            world.taken(worker, *task, *attempt);
        }
    }
}

/// The key of a workspace's job.
fn key_of(number: u64, workspace: &str) -> JobKey {
    JobKey { number, owner: JobOwner::of_workspace(Owner::of_workspace(Some(workspace))) }
}

/// Jobs whose tasks are started.
fn jobs_of(starts: &[Action]) -> Vec<u64> {
    let of = |a: &Action| match a {
        Action::Start { task, .. } => Some(task.job.number),
        _ => None,
    };
    starts.iter().filter_map(of).collect()
}

#[test]
fn no_more_than_its_limit() {
    let mut world = world(&[("north", 5000), ("south", 0)]);
    assert_eq!(submit(&mut world, 1, of("north", 9)).len(), 5);
    assert_eq!(submit(&mut world, 2, of("north", 2)).len(), 0);
    assert_eq!(submit(&mut world, 3, of("south", 9)).len(), 9, "others are not held up");
    assert_eq!(submit(&mut world, 4, job(vec![step(2, vec![])], 100)).len(), 2, "nor what nobody owns");
}

/// A start that was not answered may run, and what is being stopped runs until it is over.
#[test]
fn unanswered_and_stopping_count() {
    let mut world = world(&[("north", 3000)]);
    let first = submit(&mut world, 1, of("north", 3));
    let [Action::Start { worker: w, task, attempt, .. }, ..] = first.as_slice() else { panic!("a start") };
    world.tells(w, WorkerUpdate::Started(*task, *attempt, StartReply::NoAnswer));
    assert_eq!(submit(&mut world, 2, of("north", 3)).len(), 0);
    world.sched.handle(Event::Cancelled(key_of(1, "north")));
    assert_eq!(submit(&mut world, 3, of("north", 3)).len(), 0, "what is stopped may still run");
    // Its worker lists nothing of it any more.
    world.tells(w, WorkerUpdate::Reported(Report { full: true, ..Report::default() }));
    assert_eq!(starts(world.tick()).len(), 3);
}

/// Whoever takes over counts what is on record as ordered.
#[test]
fn predecessor_s_orders_count() {
    let mut before = world(&[("north", 3000)]);
    let first = submit(&mut before, 1, of("north", 4));
    assert_eq!(first.len(), 3);
    let record = before.sched.jobs[&key_of(1, "north")].record();
    let mut next = world(&[("north", 3000)]);
    next.sched.restore_job(key_of(1, "north"), Some(Arc::new(of("north", 4))), Some(record));
    assert_eq!(starts(next.sched.take_batch().actions).len(), 0);
    assert_eq!(submit(&mut next, 2, of("north", 2)).len(), 0);
}

/// A worker that is cut off runs what it runs until its lease has ended.
#[test]
fn cut_off_worker_counts() {
    let mut world = world(&[("north", 4000)]);
    let first = submit(&mut world, 1, of("north", 4));
    taken(&mut world, &first);
    let [Action::Start { worker: w, .. }, ..] = first.as_slice() else { panic!("a start") };
    let lease_end = Duration::from_millis(6000);
    world.tells(w, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(200) });
    world.sched.handle(Event::WorkerUnlisted(w.clone()));
    world.at(5900);
    assert_eq!(starts(world.tick()).len(), 0);
    world.at(6100);
    assert_eq!(starts(world.tick()).len(), 4, "it runs no longer");
}

#[test]
fn newest_limit_counts() {
    let mut world = world(&[("north", 2000)]);
    let first = submit(&mut world, 1, of("north", 8));
    assert_eq!(first.len(), 2);
    taken(&mut world, &first);
    world.sched.handle(configured(3, &[("north", 4000)]));
    let more = starts(world.sched.take_batch().actions);
    assert_eq!(more.len(), 2, "what was raised is used at once");
    taken(&mut world, &more);
    world.sched.handle(configured(4, &[("north", 3000)]));
    let [Action::Start { worker: w, task, attempt, .. }, ..] = first.as_slice() else { panic!("a start") };
    let end = ReportedEnd {
        sequence_number: 1,
        task: *task,
        attempt: *attempt,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let listed = world.listing(w, &[first.clone(), more.clone()].concat(), &[*task]);
    world.answers(w, Listing { ended: vec![end], ..listed });
    assert_eq!(starts(world.tick()).len(), 0, "three of three are left");
}

/// A task larger than half of the limit, and even than all of it, is not kept waiting for ever.
#[test]
fn large_task_begins() {
    let mut wide = of("north", 3);
    wide.steps[0].resources = cpu(3000);
    let mut world = world(&[("north", 2000)]);
    assert_eq!(submit(&mut world, 1, wide).len(), 1);
}

#[test]
fn half_of_the_limit_is_free() {
    assert!(limit_admits(&cpu(3999), &cpu(8000), &cpu(9000)), "under half, any task may begin");
    assert!(!limit_admits(&cpu(4000), &cpu(8000), &cpu(4001)));
    assert!(limit_admits(&cpu(4000), &cpu(8000), &cpu(4000)));
    assert!(limit_admits(&cpu(4000), &Resources::default(), &cpu(4000)), "no limit");
    let gpus = |gpus| Resources { gpus, ..Resources::default() };
    assert!(!limit_admits(&gpus(2), &gpus(2), &gpus(1)));
    assert!(limit_admits(&gpus(2), &cpu(100), &gpus(1)), "only what is declared is limited");
}

#[test]
fn account_is_even() {
    let (north, mut all) = (Owner::of_workspace(Some("north")), WorkspaceUsage::default());
    let held = Reservation { resources: cpu(0), charged: cpu(500), owner: north };
    all.apply(UsageChange::Reserved(held));
    all.apply(UsageChange::Reserved(held));
    assert_eq!(all.in_use(north), cpu(1000), "what lives on what others leave counts in full");
    all.apply(UsageChange::Reserved(Reservation::from(cpu(700))));
    assert_eq!(all.in_use(Owner::PUBLIC), Resources::default());
    all.apply(UsageChange::Released(held));
    assert_eq!(all.iter().collect::<Vec<_>>(), [(north, cpu(500))]);
}

#[test]
fn excess_by_rate() {
    let (north, mut shares) = (Owner::of_workspace(Some("north")), SubmissionRates::default());
    let excess = |shares: &mut SubmissionRates, at| shares.exceeds_rate(north, Some(2.0), at);
    assert_eq!([0, 0, 0, 0].map(|at| excess(&mut shares, at)), [false, false, true, true]);
    assert!(!excess(&mut shares, 500), "half a second brings one more");
    assert!(excess(&mut shares, 500));
    assert!(!shares.exceeds_rate(north, None, 500), "nothing is declared");
}

/// One workspace has sent many jobs for one of the other's. Where all can be in time, what it sent
/// within its share, two jobs a second, goes first as it came, and the rest behind the other's. Where
/// not all can, they take turns.
#[test]
fn flood_yields() {
    assert_eq!(served_first(10), [10, 11, 30, 12]);
    assert_eq!(served_first(20), [10, 30, 11, 12]);
}

/// The first jobs that are started when four of 32 cores become free.
fn served_first(flood: u64) -> Vec<u64> {
    let mut world = world(&[("north", 0), ("south", 0)]);
    let full = submit(&mut world, 1, job(vec![step(32, vec![])], 100));
    assert_eq!(full.len(), 32);
    taken(&mut world, &full);
    for key in 10..10 + flood {
        submit(&mut world, key, of("north", 1));
    }
    submit(&mut world, 30, of("south", 1));
    let ended: Vec<TaskId> =
        (0..4).map(|index| TaskId { job: JobKey::of_number(1), round: 0, step: 0, index }).collect();
    let Some(Action::Start { worker: w, .. }) = full.first() else { panic!("a start") };
    let ends = ended.iter().zip(1..).map(|(task, number)| ReportedEnd {
        sequence_number: number,
        task: *task,
        attempt: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    });
    let listed = world.listing(w, &full, &ended);
    world.answers(w, Listing { ended: ends.collect(), ..listed });
    jobs_of(&starts(world.tick()))
}

#[test]
fn least_used_share_first() {
    let (north, south) = (Owner::of_workspace(Some("north")), Owner::of_workspace(Some("south")));
    assert!(weighted_usage(north, &cpu(4000), Some(4.0)) < weighted_usage(south, &cpu(3000), Some(2.0)));
    assert_eq!(weighted_usage(Owner::PUBLIC, &cpu(4000), None), 0);
}

/// Hosts are not asked for by what a limit keeps from beginning.
#[test]
fn limited_work_needs_no_hosts() {
    let mut world = world(&[("north", 2000)]);
    submit(&mut world, 1, of("north", 40));
    let waiting = world.sched.room_wanted(&workswood_test_support::job_world::SERVICE.to_string());
    assert_eq!(waiting.cpu_millis, 2000, "the two that run");
}

/// Eight tasks of one core for a workspace of two cores: four waves.
#[test]
fn owed_by_waves() {
    let cfg = config();
    let spec = Arc::new(of("north", 8));
    let dues = |most_cpu| {
        let mut j = Job::new(JobKey::of_number(1), spec.clone());
        j.max_cpu_millis = most_cpu;
        j.open_round();
        let id = StepId { job: JobKey::of_number(1), round: 0, step: 0 };
        let policy = OrderPolicy::default();
        let paths = step_paths(&j, &TaskDurations::default(), &policy);
        queue_position(&j, &id, cfg.queues.get(QUEUE), &paths, &policy, 100).1
    };
    // A task is estimated at 500 ms; a job is owed within 1.6 chains and 600 ms.
    assert_eq!(dues(0).in_time_until, 100 + 800 + 600 - 500);
    assert_eq!(dues(2000).in_time_until, 100 + 4 * 800 + 600 - 4 * 500);
}

#[test]
fn other_workspace_s_job() {
    let mut world = world(&[("north", 0), ("south", 0)]);
    submit(&mut world, 1, of("north", 1));
    assert_eq!(submit(&mut world, 1, of("south", 5)).len(), 0, "the number is taken");
    world.sched.handle(Event::Cancelled(key_of(1, "south")));
    assert!(world.sched.jobs[&key_of(1, "north")].is_open());
    world.sched.handle(Event::Cancelled(key_of(2, "south")));
    assert_eq!(submit(&mut world, 2, of("north", 1)).len(), 1, "a cancel that came early was not its own");
    world.sched.handle(Event::Cancelled(key_of(1, "north")));
    assert!(!world.sched.jobs[&key_of(1, "north")].is_open());
}
