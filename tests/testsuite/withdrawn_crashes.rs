//! Crashes that are taken back because the life that was counted as crashed answers.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::crash_history::{Certainty, CrashRecord, Evidence};
use workswood_core::jobs::crash_rate::CrashRate;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, EndKind, Event, Host, Job, JobKey, JobRecord, Listing, Record, ReportedEnd, StepSpec, TaskId,
    WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of the world.
const HOSTS: usize = 4;
/// The task that is followed.
const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn hosts(lives: &[usize]) -> Vec<Host> {
    lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life))).collect()
}

fn lasting() -> StepSpec {
    StepSpec { long_running: true, ..step(1, vec![]) }
}

fn count(world: &HostWorld) -> usize {
    world.sched.jobs[&JobKey::of_number(1)].task(&TASK).expect("it is known").crashes.count()
}

/// The worker on a host falls silent, and a list shows another life there.
fn crash(world: &mut HostWorld, n: usize, lives: &mut [usize]) {
    let (heard, id) = (world.sched.now, worker(n, lives[n]).id);
    world.tells(&id, WorkerUpdate::Unanswered { lease_end: heard + Duration::from_secs(5), heard });
    world.at(heard.as_millis() as u64 + 100);
    lives[n] += 1;
    world.list(hosts(lives));
}

/// A world of so many hosts with a task whose worker is counted as crashed; with the life and the attempt.
fn counted(hosts_up: usize) -> (HostWorld, Vec<usize>, usize) {
    let mut world = HostWorld::new(hosts_up);
    let mut lives = vec![0; hosts_up];
    world.at(100);
    world.list(hosts(&lives));
    world.at(200);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting()], 200))));
    let started = world.tick().into_iter().find_map(|a| match a {
        Action::Start { worker, .. } => Some(worker),
        _ => None,
    });
    let id = started.expect("it is started");
    world.taken(&id, TASK, 1);
    let n = (0..hosts_up).find(|n| worker(*n, 0).id == id).expect("its host");
    crash(&mut world, n, &mut lives);
    assert_eq!(count(&world), 1);
    (world, lives, n)
}

/// The first life on a host is listed again, and answers.
fn answers_again(world: &mut HostWorld, n: usize, listing: Listing) {
    world.sched.handle(Event::WorkerListed(worker(n, 0)));
    world.answers(&worker(n, 0).id, listing);
}

/// The record of the job in the next batch.
fn stored(world: &mut HostWorld) -> Option<JobRecord> {
    world.sched.handle(Event::Tick);
    let records = world.sched.take_batch().records;
    records.into_iter().find_map(|rec| match rec {
        Record::Job(key, rec) if key.number == 1 => Some(rec),
        _ => None,
    })
}

#[test]
fn answer_withdraws_crash() {
    let (mut world, _, n) = counted(HOSTS);
    stored(&mut world);
    answers_again(&mut world, n, Listing::default());
    assert_eq!(count(&world), 0);
    let record = stored(&mut world).expect("it is stored");
    assert!(record.rounds[0][0][0].crashes.is_empty());
}

#[test]
fn listed_lapse_withdraws_crash() {
    let (mut world, _, n) = counted(HOSTS);
    let end = ReportedEnd {
        sequence_number: 1,
        task: TASK,
        attempt: 1,
        kind: EndKind::Lapsed,
        checkpoint: String::new(),
    };
    answers_again(&mut world, n, Listing { ended: vec![end], ..Listing::default() });
    assert_eq!(count(&world), 0);
}

#[test]
fn entry_withdraws_nothing() {
    let (mut world, _, n) = counted(HOSTS);
    world.sched.handle(Event::WorkerListed(worker(n, 0)));
    world.tick();
    assert_eq!(count(&world), 1);
}

#[test]
fn next_life_withdraws_nothing() {
    let (mut world, lives, n) = counted(HOSTS);
    world.sched.handle(Event::WorkerListed(worker(n, lives[n])));
    world.report(n, lives[n], &[]);
    assert_eq!(count(&world), 1);
}

/// A crash on record of the first life on a host, which a predecessor counted.
fn inherited_crash(n: usize) -> CrashRecord {
    CrashRecord {
        evidence: Evidence::LikelyCause,
        max_run_time: Some(Duration::from_millis(50)),
        certainty: Certainty::Certain,
        worker: Some(worker(n, 0).id),
    }
}

#[test]
fn next_holder_withdraws() {
    let mut world = taken_over(&[inherited_crash(1), inherited_crash(2)], false);
    answers_again(&mut world, 1, Listing::default());
    let crashes = &world.sched.jobs[&JobKey::of_number(1)].task(&TASK).expect("it is known").crashes;
    assert_eq!(crashes.0.keys().copied().collect::<Vec<_>>(), [2]);
    answers_again(&mut world, 2, Listing::default());
    assert_eq!(count(&world), 0);
}

/// Takes over a lasting task with these crashes on record, by attempt.
fn taken_over(crashes: &[CrashRecord], given_up: bool) -> HostWorld {
    let mut world = HostWorld::new(0);
    let spec = Arc::new(job(vec![lasting()], 0));
    let mut before = Job::new(JobKey::of_number(1), spec.clone());
    before.open_round();
    let mut record = before.record();
    let task = &mut record.rounds[0][0][0];
    task.crashes.0 = (1..).zip(crashes.iter().cloned()).collect();
    task.latest_attempt = crashes.len() as u32;
    task.given_up = given_up;
    world.sched.restore_job(JobKey::of_number(1), Some(spec), Some(record));
    world.at(300);
    world
}

/// The record of an earlier version doesn't tell which life was counted.
#[test]
fn listed_end_withdraws() {
    let crash = CrashRecord::possible(Evidence::LikelyCause, None);
    let mut world = taken_over(&[crash.clone(), crash], false);
    let end = ReportedEnd {
        sequence_number: 1,
        task: TASK,
        attempt: 1,
        kind: EndKind::Lapsed,
        checkpoint: String::new(),
    };
    answers_again(&mut world, 1, Listing { ended: vec![end], ..Listing::default() });
    let crashes = &world.sched.jobs[&JobKey::of_number(1)].task(&TASK).expect("it is known").crashes;
    assert_eq!(crashes.0.keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn answer_reinstates_task() {
    let mut world = taken_over(&[inherited_crash(1), inherited_crash(2)], true);
    let starts = |a: &Action| matches!(a, Action::Start { task, .. } if *task == TASK);
    answers_again(&mut world, 3, Listing::default());
    assert!(!world.tick().iter().any(starts), "there is proof");
    answers_again(&mut world, 1, Listing::default());
    world.at(500);
    assert!(world.tick().iter().any(starts), "one crash is no proof");
    assert_eq!(world.sched.counters.tasks_reinstated, 1);
}

/// More lives are counted as crashed than the index of them holds.
#[test]
fn trimmed_index_keeps_lives() {
    let (mut world, mut lives, n) = counted(300);
    (0..300).filter(|other| *other != n).for_each(|other| crash(&mut world, other, &mut lives));
    answers_again(&mut world, n, Listing::default());
    assert_eq!(count(&world), 0);
}

#[test]
fn rate_forgets_withdrawn_crash() {
    let (mut rate, at) = (CrashRate::default(), Duration::from_secs(1));
    let of = |rate: &CrashRate| rate.rate_without(&TASK, at, 4, at);
    let none = of(&rate);
    let life = WorkerId::from("w-1");
    rate.record_crash(at, life.clone(), Vec::new(), 1.0);
    assert!(of(&rate) > none);
    rate.withdraw(&WorkerId::from("w-2"));
    assert!(of(&rate) > none, "another life has answered");
    rate.withdraw(&life);
    assert_eq!(of(&rate), none);
}
