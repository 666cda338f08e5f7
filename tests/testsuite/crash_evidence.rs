//! Which run a worker's crash is put down to, and what a trial of a suspected task keeps to.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use workswood_core::jobs::{
    Action, Event, Job, JobKey, JobSpec, JobStatus, Listing, Outcome, ReportedRun, StepSpec, TaskId,
    WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of the world.
const HOSTS: usize = 4;

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobKey::of_number(job), round: 0, step: 0, index }
}

fn listed(lives: &[usize]) -> Vec<workswood_core::jobs::Host> {
    lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life))).collect()
}

fn submit(world: &mut HostWorld, key: u64, spec: JobSpec) -> Vec<Action> {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    world.tick()
}

/// Starts among actions: which task, on which host.
fn starts(actions: &[Action]) -> Vec<(TaskId, usize)> {
    let of = |a: &Action| match a {
        Action::Start { worker, task, .. } => Some((*task, worker.split('-').nth(1)?.parse::<usize>().ok()?)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// The workers take all starts.
fn take(world: &mut HostWorld, actions: &[Action]) {
    for a in actions {
        if let Action::Start { worker, task, attempt, .. } = a {
            world.taken(worker, *task, *attempt);
        }
    }
}

/// A host's worker crashes and comes back as another life, a second later.
fn crash(world: &mut HostWorld, n: usize, lives: &mut [usize]) -> Vec<Action> {
    let heard = world.sched.now;
    lose(world, n, lives, heard)
}

/// Likewise; it was last heard at a time.
fn lose(world: &mut HostWorld, n: usize, lives: &mut [usize], heard: Duration) -> Vec<Action> {
    let (now, id) = (world.sched.now, worker(n, lives[n]).id);
    let end = now + Duration::from_secs(5);
    world.tells(&id, WorkerUpdate::Unanswered { lease_end: end, heard });
    world.at(now.as_millis() as u64 + 1000);
    lives[n] += 1;
    world.list(listed(lives));
    world.sched.handle(Event::WorkerListed(worker(n, lives[n])));
    world.report(n, lives[n], &[]);
    world.tick()
}

fn world() -> (HostWorld, Vec<usize>) {
    let mut world = HostWorld::new(HOSTS);
    let lives = vec![0; HOSTS];
    world.at(100);
    world.list(listed(&lives));
    world.at(200);
    (world, lives)
}

/// A lasting task that a worker took, and one that it takes half a second later.
fn old_and_young(world: &mut HostWorld) -> (TaskId, TaskId, usize) {
    let mut lasting = step(1, vec![]);
    lasting.long_running = true;
    let first = submit(world, 1, job(vec![lasting], 200));
    take(world, &first);
    let at = starts(&first)[0].1;
    world.at(700);
    let second = submit(world, 2, job(vec![step(1, vec![])], 700));
    take(world, &second);
    assert_eq!(starts(&second), vec![(task(2, 0), at)], "the fullest worker is filled up");
    (task(1, 0), task(2, 0), at)
}

/// The record of a crash of the first life on a host, right after the start that explains it.
fn certain_cause(at: usize) -> CrashRecord {
    CrashRecord {
        evidence: Evidence::LikelyCause,
        max_run_time: Some(Duration::ZERO),
        certainty: Certainty::Certain,
        worker: Some(worker(at, 0).id),
    }
}

#[test]
fn youngest_is_blamed() {
    let (mut world, mut lives) = world();
    let (old, young, at) = old_and_young(&mut world);
    let again = crash(&mut world, at, &mut lives);
    let again = starts(&again);
    let place = |id| again.iter().find(|(t, _)| *t == id).map(|(_, n)| *n).expect("it is started again");
    assert_ne!(place(old), place(young), "nothing begins beside a trial");
    let task = world.sched.jobs[&JobKey::of_number(2)].task(&young).expect("it is known").clone();
    let crashes: Vec<CrashRecord> = task.crashes.0.values().cloned().collect();
    assert_eq!(crashes, [certain_cause(at)]);
    assert!(world.sched.jobs[&JobKey::of_number(1)].task(&old).expect("it is known").suspicion.is_none());
}

/// Settings allow longer times than a trial may last by default.
#[test]
fn long_suspect_age() {
    let (mut world, mut lives) = world();
    world.sched.policy.crashes.suspect_age = Duration::from_secs(2);
    let (_, young, at) = old_and_young(&mut world);
    let again = crash(&mut world, at, &mut lives);
    assert!(starts(&again).iter().any(|(t, _)| *t == young), "a trial begins: {again:?}");
}

#[test]
fn trial_alone_on_its_worker() {
    let (mut world, mut lives) = world();
    let (_, young, at) = old_and_young(&mut world);
    let again = crash(&mut world, at, &mut lives);
    let trial = starts(&again).into_iter().find(|(t, _)| *t == young).expect("a trial").1;
    take(&mut world, &again);
    let now = world.sched.now.as_millis() as u64;
    let more = submit(&mut world, 3, job(vec![step(12, vec![])], now));
    assert!(starts(&more).iter().all(|(_, n)| *n != trial), "{more:?}");
    // It has lasted for longer than before: its worker takes other work again.
    world.at(now + 1000);
    let more = submit(&mut world, 4, job(vec![step(3, vec![])], now));
    assert!(starts(&more).iter().any(|(_, n)| *n == trial), "{more:?}");
}

/// Crashes that a task costs whose worker is found silent so long after each start.
fn crashes_until_given_up(silent: Duration) -> usize {
    let (mut world, mut lives) = world();
    let mut actions = submit(&mut world, 1, job(vec![step(1, vec![])], 200));
    for crashes in 1..=6 {
        take(&mut world, &actions);
        let at = starts(&actions)[0].1;
        let heard = world.sched.now;
        world.at((heard + silent).as_millis() as u64);
        actions = lose(&mut world, at, &mut lives, heard);
        if world.sched.counters.tasks_given_up > 0 {
            assert_eq!(starts(&actions), Vec::new());
            assert_eq!(
                world.sched.jobs.status(&JobKey::of_number(1)),
                Some(JobStatus::Ended(Outcome::Failed))
            );
            assert_eq!(world.sched.counters.incarnations_lost, crashes as u64);
            return crashes;
        }
    }
    panic!("it is started without end");
}

#[test]
fn two_prompt_crashes_are_enough() {
    assert_eq!(crashes_until_given_up(Duration::from_millis(30)), 2);
}

#[test]
fn three_of_unknown_time_are() {
    assert_eq!(crashes_until_given_up(Duration::from_millis(900)), 3);
}

#[test]
fn ordered_end_is_no_crash() {
    let (mut world, mut lives) = world();
    let actions = submit(&mut world, 1, job(vec![step(1, vec![])], 200));
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    // The host is maintained while its task runs; the answer to the order is lost.
    let wave = workswood_core::jobs::Wave {
        number: 1,
        hosts: vec![format!("m-{at}")],
        time_allowed: Duration::from_secs(1),
        max_down: 1,
    };
    world.sched.handle(Event::WaveRequested(wave, None));
    let mut ordered = false;
    for ms in (300..8000).step_by(150) {
        world.at(ms);
        ordered |= world.tick().iter().any(|a| matches!(a, Action::MaintainHost(..)));
        if ordered {
            break;
        }
    }
    assert!(ordered);
    world.at(world.sched.now.as_millis() as u64 + 200);
    crash(&mut world, at, &mut lives);
    assert!(
        world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes.is_empty()
    );
}

#[test]
fn leaving_is_no_crash() {
    let (mut world, mut lives) = world();
    let actions = submit(&mut world, 1, job(vec![step(1, vec![])], 200));
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    let mut info = worker(at, 0);
    info.draining = true;
    world.sched.handle(Event::WorkerListed(info));
    crash(&mut world, at, &mut lives);
    assert!(
        world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes.is_empty()
    );
}

#[test]
fn leaving_without_a_word_is_no_crash() {
    let (mut world, mut lives) = world();
    let actions = submit(&mut world, 1, job(vec![step(1, vec![])], 200));
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    world.sched.handle(Event::WorkerUnlisted(worker(at, 0).id));
    // It answers on for a while.
    world.at(1900);
    world.report(at, 0, &actions);
    crash(&mut world, at, &mut lives);
    assert!(
        world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes.is_empty()
    );
}

#[test]
fn lasting_task_is_cleared() {
    let (mut world, mut lives) = world();
    let mut lasting = step(1, vec![]);
    lasting.long_running = true;
    let mut actions = submit(&mut world, 1, job(vec![lasting], 200));
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    actions = crash(&mut world, at, &mut lives);
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    assert!(
        !world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes.is_empty()
    );
    let began = world.sched.now.as_millis() as u64;
    for ms in (began..began + 11_000).step_by(500) {
        world.at(ms);
        (0..HOSTS).for_each(|n| {
            let runs = if n == at { actions.clone() } else { Vec::new() };
            world.report(n, lives[n], &runs);
        });
        world.tick();
    }
    let task = world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known");
    assert!(task.crashes.is_empty() && task.suspicion.is_none());
}

#[test]
fn count_outlasts_the_holder() {
    let (mut world, mut lives) = world();
    let actions = submit(&mut world, 1, job(vec![step(1, vec![])], 200));
    take(&mut world, &actions);
    let at = starts(&actions)[0].1;
    crash(&mut world, at, &mut lives);
    let record = world.sched.jobs[&JobKey::of_number(1)].record();
    let stored = workswood::ops::jobs::job_state::encode(&record);
    let read = workswood::ops::jobs::job_state::decode(&stored).expect("it is read back");
    assert_eq!(read.rounds[0][0][0].crashes.0.get(&1), Some(&certain_cause(at)));
}

/// Time after which a cut worker is replaced once its lease has ended.
const REPLACED_AFTER: Duration = Duration::from_millis(1500);
/// Time after which the lease of a cut worker has ended.
const LEASE_OVER_AFTER: Duration = Duration::from_millis(5200);

/// Sets the time; all workers but some answer.
fn at_beside(world: &mut HostWorld, time: Duration, silent: &[usize], lives: &[usize]) {
    world.at(time.as_millis() as u64);
    (0..HOSTS).filter(|n| !silent.contains(n)).for_each(|n| world.report(n, lives[n], &[]));
}

#[test]
fn lapsed_runs_prove_nothing() {
    let (mut world, mut lives) = world();
    let mut lasting = step(1, vec![]);
    lasting.long_running = true;
    let mut actions = submit(&mut world, 1, job(vec![lasting], 200));
    let mut silent = Vec::new();
    for round in 0..6 {
        let Some((_, cut)) = starts(&actions).first().copied() else { panic!("not started, round {round}") };
        take(&mut world, &actions);
        let heard = world.sched.now;
        silent.push(cut);
        at_beside(&mut world, heard + Duration::from_millis(100), &silent, &lives);
        let lease_end = heard + Duration::from_secs(5);
        world.tells(&worker(cut, lives[cut]).id, WorkerUpdate::Unanswered { lease_end, heard });
        at_beside(&mut world, heard + REPLACED_AFTER, &silent, &lives);
        if silent.len() > 1 {
            let n = silent.remove(0);
            lives[n] += 1;
            world.list(listed(&lives));
            world.sched.handle(Event::WorkerListed(worker(n, lives[n])));
        }
        at_beside(&mut world, heard + REPLACED_AFTER, &silent, &lives);
        world.tick();
        at_beside(&mut world, heard + LEASE_OVER_AFTER, &silent, &lives);
        actions = world.tick();
    }
}

/// Its runs lapse before their workers are found to have crashed, so that it waits for a start by then.
#[test]
fn given_up_task_leaves_the_queue() {
    let (mut world, mut lives) = world();
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    let mut actions = submit(&mut world, 1, job(vec![lasting, step(1, vec![])], 200));
    for _ in 0..6 {
        take(&mut world, &actions);
        let (_, at) = *starts(&actions).iter().find(|(t, _)| *t == task(1, 0)).expect("it is started");
        let heard = world.sched.now;
        let id = worker(at, lives[at]).id;
        world.tells(&id, WorkerUpdate::Unanswered { lease_end: heard + Duration::from_secs(5), heard });
        world.sched.handle(Event::WorkerUnlisted(id));
        lives[at] += 1;
        world.sched.handle(Event::WorkerListed(worker(at, lives[at])));
        at_beside(&mut world, heard + LEASE_OVER_AFTER, &[], &lives);
        actions = world.tick();
        if world.sched.counters.tasks_given_up > 0 {
            assert!(starts(&actions).iter().all(|(t, _)| *t != task(1, 0)), "{actions:?}");
            return;
        }
    }
    panic!("it is started without end");
}

/// A lasting task on a worker that falls silent right after the start, and whose lease has ended since.
fn lapsed_when_young(listed_meanwhile: bool) -> (HostWorld, Vec<usize>, usize) {
    let (mut world, lives) = world();
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    let actions = submit(&mut world, 1, job(vec![lasting], 200));
    take(&mut world, &actions);
    let (at, heard) = (starts(&actions)[0].1, world.sched.now);
    world.tells(
        &worker(at, 0).id,
        WorkerUpdate::Unanswered { lease_end: heard + Duration::from_secs(5), heard },
    );
    go_on(&mut world, heard + REPLACED_AFTER, &[at], &lives);
    if listed_meanwhile {
        world.list(listed(&lives));
    }
    go_on(&mut world, heard + LEASE_OVER_AFTER, &[at], &lives);
    (world, lives, at)
}

/// Plays until a time; all workers but some answer.
fn go_on(world: &mut HostWorld, until: Duration, silent: &[usize], lives: &[usize]) {
    while world.sched.now < until {
        let next = until.min(world.sched.now + Duration::from_millis(500));
        at_beside(world, next, silent, lives);
        world.tick();
    }
}

fn is_suspected(world: &HostWorld) -> bool {
    world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").suspicion.is_some()
}

#[test]
fn task_of_cut_off_worker_is_not_suspected() {
    assert!(is_suspected(&lapsed_when_young(false).0), "its worker may have crashed");
    assert!(!is_suspected(&lapsed_when_young(true).0), "its worker is up, and cut off");
}

#[test]
fn suspicion_ends_when_cut_off_worker_answers() {
    let (mut world, lives, at) = lapsed_when_young(false);
    world.report(at, lives[at], &[]);
    assert!(!is_suspected(&world));
}

#[test]
fn replaced_cut_off_worker_proves_nothing() {
    for listed_meanwhile in [true, false] {
        let (mut world, mut lives, at) = lapsed_when_young(listed_meanwhile);
        // It was listed for longer than a crashed worker is.
        go_on(&mut world, Duration::from_millis(8000), &[at], &lives);
        lives[at] += 1;
        world.list(listed(&lives));
        let task = world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").clone();
        assert!(task.crashes.is_empty() && task.suspicion.is_none(), "{listed_meanwhile}: {task:?}");
    }
}

/// Shown by the list of workers only as long as the entry of a crashed worker may be.
#[test]
fn crash_before_the_entry_goes_counts() {
    let (mut world, mut lives, at) = lapsed_when_young(false);
    go_on(&mut world, Duration::from_millis(6900), &[at], &lives);
    lives[at] += 1;
    world.list(listed(&lives));
    let crashes = &world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes;
    assert_eq!(crashes.count(), 1);
}

/// The list of workers may be out of date by as long as the lease holder was paused.
#[test]
fn list_of_paused_holder_shows_no_cut() {
    let (mut world, mut lives, at) = lapsed_when_young(false);
    world.at(8000);
    lives[at] += 1;
    world.list(listed(&lives));
    let crashes = &world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes;
    assert_eq!(crashes.count(), 1);
}

/// Long-running tasks that start on one worker, which is found silent soon after; returns how many of them
/// are suspected once it has crashed.
fn suspected_of(tasks: u64) -> usize {
    let (mut world, mut lives) = world();
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    for key in 1..=tasks {
        world.sched.handle(Event::Submitted(key, Arc::new(job(vec![lasting.clone()], 200))));
    }
    let actions = world.tick();
    take(&mut world, &actions);
    let on: Vec<usize> = starts(&actions).iter().map(|(_, n)| *n).collect();
    assert!(on.len() as u64 == tasks && on.iter().all(|n| *n == on[0]), "all are on one worker: {on:?}");
    let heard = world.sched.now;
    world.at((heard + Duration::from_millis(300)).as_millis() as u64);
    lose(&mut world, on[0], &mut lives, heard);
    let suspected = |key: &u64| {
        world.sched.jobs[&JobKey::of_number(*key)].task(&task(*key, 0)).is_some_and(|t| t.suspicion.is_some())
    };
    (1..=tasks).filter(suspected).count()
}

#[test]
fn crash_under_many_alike_suspects_none() {
    assert_eq!(suspected_of(1), 1);
    assert_eq!(suspected_of(4), 0);
}

/// What the crash of a worker tells of a run that it took under an earlier holder, this long after the
/// run was listed first.
fn evidence_of_inherited(known_for: Duration) -> Evidence {
    let (mut world, mut lives) = world();
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    let spec = Arc::new(job(vec![lasting], 0));
    let mut before = Job::new(JobKey::of_number(1), spec.clone());
    before.open_round();
    let mut record = before.record();
    record.rounds[0][0][0].latest_attempt = 1;
    record.rounds[0][0][0].runs.push((worker(0, 0).id, 1));
    world.sched.restore_job(JobKey::of_number(1), Some(spec), Some(record));
    world.attend_anew();
    let run = ReportedRun {
        task: task(1, 0),
        attempt: 1,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
        stalled_for: Duration::ZERO,
    };
    let listing = || Listing { running: vec![run.clone()], ..Listing::default() };
    world.answers(&worker(0, 0).id, listing());
    let heard = world.sched.now + known_for;
    world.at(heard.as_millis() as u64);
    world.answers(&worker(0, 0).id, listing());
    lose(&mut world, 0, &mut lives, heard);
    let crashes = &world.sched.jobs[&JobKey::of_number(1)].task(&task(1, 0)).expect("it is known").crashes.0;
    crashes[&1].evidence
}

#[test]
fn inherited_run_counts_by_what_is_known_of_it() {
    assert_eq!(evidence_of_inherited(Duration::from_millis(500)), Evidence::Unconfirmed);
    assert_eq!(evidence_of_inherited(Duration::from_secs(2)), Evidence::Bystander);
}

/// Long-running tasks whose workers crash now and then, under one holder after the other.
#[test]
fn crashes_under_long_runs_are_no_suspicion() {
    let (mut world, _) = world();
    let spec = Arc::new(job(vec![StepSpec { long_running: true, ..step(1, vec![]) }], 0));
    let mut before = Job::new(JobKey::of_number(1), spec.clone());
    before.open_round();
    let mut record = before.record();
    let crash = CrashRecord::possible(Evidence::Bystander, None);
    record.rounds[0][0][0].crashes = CrashHistory((1..=5).map(|n| (n, crash.clone())).collect());
    record.rounds[0][0][0].latest_attempt = 5;
    world.sched.restore_job(JobKey::of_number(1), Some(spec), Some(record));
    assert!(!is_suspected(&world));
}
