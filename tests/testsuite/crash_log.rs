//! What the log and the metrics tell of the crashes on record for tasks.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::explain::job_history::{HostLog, job_history};
use workswood::util::job_metrics::JobMetrics;
use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use workswood_core::jobs::crash_log::{
    Grounds, ReinstatedFor, WithdrawnBy, log_given_up, log_paced, log_reinstated, log_withdrawn,
};
use workswood_core::jobs::job::AbsenceRecord;
use workswood_core::jobs::log_lines::LogLines;
use workswood_core::jobs::scheduler::SchedulerCounters;
use workswood_core::jobs::{
    Action, Event, Host, JobKey, JobRecord, JobSpec, Scheduler, StepSpec, TaskId, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, host, limits, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of the world.
const HOSTS: usize = 4;
/// Processor of a task that no worker has room for.
const TOO_LARGE_CPU_MILLIS: u64 = 9_000;
/// Time of day when a successor takes over, in milliseconds.
const LATER: u64 = 1_700_000_000_000;

/// The lives of the workers of a world, by host.
type Lives = Vec<usize>;

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobKey::of_number(job), round: 0, step: 0, index }
}

fn listed(lives: &[usize]) -> Vec<Host> {
    lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life))).collect()
}

fn world() -> (HostWorld, Lives) {
    let mut world = HostWorld::new(HOSTS);
    let lives = vec![0; HOSTS];
    world.at(100);
    world.list(listed(&lives));
    world.at(200);
    (world, lives)
}

fn lasting(count: u32, cpu_millis: u64) -> StepSpec {
    let mut step = StepSpec { long_running: true, ..step(count, vec![]) };
    step.resources.cpu_millis = cpu_millis;
    step
}

/// A job of a lasting task, and of another one that keeps it open and that no worker has room for.
fn lasting_job() -> JobSpec {
    job(vec![lasting(1, 1_000), lasting(1, TOO_LARGE_CPU_MILLIS)], 200)
}

/// Submits a job whose tasks start on one worker, which takes them; returns its host.
fn start_on_one(world: &mut HostWorld, key: u64, spec: JobSpec) -> usize {
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    take_starts(world).expect("it starts")
}

/// A worker takes the starts of the next tick; returns its host.
fn take_starts(world: &mut HostWorld) -> Option<usize> {
    let actions = world.tick();
    take(world, &actions)
}

/// A worker takes all starts; returns its host.
fn take(world: &mut HostWorld, actions: &[Action]) -> Option<usize> {
    let mut host = None;
    for action in actions {
        let Action::Start { worker, task, attempt, .. } = action else { continue };
        let n = worker.split('-').nth(1).and_then(|n| n.parse().ok());
        assert!(host.is_none() || host == n, "all start on one worker");
        host = n;
        world.taken(worker, *task, *attempt);
    }
    host
}

/// Sets the time; all workers but one answer.
fn at_beside(world: &mut HostWorld, time: Duration, silent: usize, lives: &[usize]) {
    world.at(time.as_millis() as u64);
    (0..HOSTS).filter(|n| *n != silent).for_each(|n| world.report(n, lives[n], &[]));
}

/// A worker that answered just now falls silent.
fn fall_silent(world: &mut HostWorld, n: usize, lives: &[usize]) -> Duration {
    let heard = world.sched.now;
    let lease_end = heard + Duration::from_secs(5);
    world.tells(&worker(n, lives[n]).id, WorkerUpdate::Unanswered { lease_end, heard });
    heard
}

/// The list of hosts shows another life of a worker.
fn replace(world: &mut HostWorld, n: usize, lives: &mut Lives) {
    lives[n] += 1;
    world.list(listed(lives));
    world.sched.handle(Event::WorkerListed(worker(n, lives[n])));
    world.report(n, lives[n], &[]);
}

/// A worker that answered just now crashes, and comes back as another life a second later.
fn crash(world: &mut HostWorld, n: usize, lives: &mut Lives) {
    let heard = fall_silent(world, n, lives);
    at_beside(world, heard + Duration::from_secs(1), n, lives);
    replace(world, n, lives);
}

/// A worker that answered just now is silent until its lease has ended, and comes back as another life then.
fn lapse(world: &mut HostWorld, n: usize, lives: &mut Lives) {
    let heard = fall_silent(world, n, lives);
    at_beside(world, heard + Duration::from_millis(5_200), n, lives);
    world.tick();
    replace(world, n, lives);
}

/// A world whose lasting task was given up: workers have crashed under it right after its starts.
fn world_with_given_up_task() -> (HostWorld, Lives) {
    let (mut world, mut lives) = world();
    let mut at = start_on_one(&mut world, 1, lasting_job());
    for _ in 0..6 {
        crash(&mut world, at, &mut lives);
        match take_starts(&mut world) {
            Some(next) => at = next,
            None => break,
        }
    }
    assert_eq!(world.sched.counters.tasks_given_up, 1);
    (world, lives)
}

/// Lines of an event.
fn lines(notes: &LogLines, event: &str) -> Vec<String> {
    let wanted = format!("event={event} ");
    notes.iter().filter(|line| line.starts_with(&wanted)).map(str::to_string).collect()
}

/// The only line of an event.
fn line(notes: &LogLines, event: &str) -> String {
    let [line] = <[String; 1]>::try_from(lines(notes, event)).expect("one line");
    line
}

/// The crashes of a history, by attempt: certain ones of workers `w-0`, `w-1` and so on.
fn certain_crashes(count: u32) -> CrashHistory {
    let crash = |n: u32| CrashRecord {
        evidence: Evidence::LikelyCause,
        max_run_time: Some(Duration::from_millis(120)),
        certainty: Certainty::Certain,
        worker: Some(format!("w-{n}@5").as_str().into()),
    };
    CrashHistory((0..count).map(|n| (n + 1, crash(n))).collect())
}

/// One crash is certain, and one is possible, of a version that did not store the worker.
fn mixed_crashes() -> CrashHistory {
    let mut history = certain_crashes(1);
    history.0.insert(2, CrashRecord::possible(Evidence::Unconfirmed, None));
    history
}

#[test]
fn certain_crash() {
    let (mut world, mut lives) = world();
    let at = start_on_one(&mut world, 1, lasting_job());
    crash(&mut world, at, &mut lives);
    let wanted = format!(
        "event=crash_counted worker={} task={} attempt=1 certainty=certain why=machine_listed_without_it \
         over_by_ms=1000 lapses_from_ms=3700 lapsed=no part=Young evidence=likely_cause ran_ms=0 max_ms=0 count=1 \
         certain=1",
        worker(at, 0).id,
        task(1, 0)
    );
    assert_eq!(line(&world.sched.notes, "crash_counted"), wanted);
    let counters = world.sched.counters;
    assert_eq!((counters.certain_crashes, counters.possible_crashes), (1, 0));
}

#[test]
fn run_that_lapsed_before() {
    let (mut world, mut lives) = world();
    let at = start_on_one(&mut world, 1, lasting_job());
    lapse(&mut world, at, &mut lives);
    let line = line(&world.sched.notes, "crash_counted");
    let wanted =
        "certainty=possible why=machine_listed_without_it over_by_ms=5200 lapses_from_ms=3700 lapsed=yes";
    assert!(line.contains(wanted), "{line}");
    assert!(line.ends_with("count=1 certain=0"), "{line}");
    let counters = world.sched.counters;
    assert_eq!((counters.certain_crashes, counters.possible_crashes), (0, 1));
}

#[test]
fn end_that_nothing_shows() {
    let (mut world, lives) = world();
    let at = start_on_one(&mut world, 1, lasting_job());
    let heard = fall_silent(&mut world, at, &lives);
    world.sched.handle(Event::WorkerUnlisted(worker(at, 0).id));
    at_beside(&mut world, heard + Duration::from_millis(5_200), at, &lives);
    world.tick();
    let line = line(&world.sched.notes, "crash_counted");
    let wanted = "certainty=possible why=gone over_by_ms=unknown lapses_from_ms=3700 ";
    assert!(line.contains(wanted), "{line}");
}

#[test]
fn bystanders_share_a_line() {
    let (mut world, mut lives) = world();
    let at = start_on_one(&mut world, 1, job(vec![step(3, vec![])], 200));
    crash(&mut world, at, &mut lives);
    assert_eq!(lines(&world.sched.notes, "crash_counted"), Vec::<String>::new());
    let line = line(&world.sched.notes, "crash_counted_others");
    let wanted = format!("event=crash_counted_others worker={} tasks=3 certainty=certain ", worker(at, 0).id);
    assert!(line.starts_with(&wanted), "{line}");
    assert_eq!(world.sched.counters.certain_crashes, 3);
}

#[test]
fn suspect_has_its_own_line() {
    let (mut world, mut lives) = world();
    let mut at = start_on_one(&mut world, 1, job(vec![step(1, vec![])], 200));
    crash(&mut world, at, &mut lives);
    assert_eq!(lines(&world.sched.notes, "crash_counted"), Vec::<String>::new());
    at = take_starts(&mut world).expect("a trial");
    crash(&mut world, at, &mut lives);
    let line = line(&world.sched.notes, "crash_counted");
    assert!(
        line.contains("attempt=2 ") && line.contains(" part=OnTrial ") && line.ends_with("count=2 certain=2")
    );
}

#[test]
fn many_tasks_of_one_worker() {
    let (mut world, mut lives) = world();
    for key in 1..20 {
        world.sched.handle(Event::Submitted(key, Arc::new(job(vec![lasting(1, 100)], 200))));
    }
    let at = start_on_one(&mut world, 20, job(vec![lasting(1, 100)], 200));
    crash(&mut world, at, &mut lives);
    assert_eq!(lines(&world.sched.notes, "crash_counted").len(), 16);
    let line = line(&world.sched.notes, "crash_counted_others");
    assert!(line.contains(" tasks=4 "), "{line}");
    assert_eq!(world.sched.counters.certain_crashes, 20);
}

#[test]
fn evidence_of_giving_up() {
    let (world, _) = world_with_given_up_task();
    let counted = lines(&world.sched.notes, "crash_counted").len();
    let line = line(&world.sched.notes, "task_given_up");
    assert!(line.contains(&format!(" crashes={counted} ")), "{line}");
    assert!(line.contains(" certain=2 threshold=11.0 evidence=\"2:w-"), "{line}");
    assert!(line.contains(":certain:likely_cause:0,1:w-"), "{line}");
    assert!(line.ends_with(":certain:likely_cause:0\" unnamed=0"), "{line}");
}

#[test]
fn long_evidence_is_cut() {
    let (mut notes, mut counters) = (LogLines::default(), SchedulerCounters::default());
    let (history, last) = (certain_crashes(11), worker(0, 0).id);
    let grounds = Grounds { worker: &last, history: &history, score: 20.04, threshold: 9.5 };
    log_given_up(&mut notes, &mut counters, &task(1, 0), &grounds);
    let line = line(&notes, "task_given_up");
    assert!(line.contains(" crashes=11 suspicion=20.0 certain=11 threshold=9.5 "), "{line}");
    assert!(line.contains("evidence=\"11:w-10@5:certain:likely_cause:120,10:w-9@5:"), "{line}");
    assert!(line.ends_with(",4:w-3@5:certain:likely_cause:120\" unnamed=3"), "{line}");
    assert_eq!(counters.tasks_given_up, 1);
}

#[test]
fn withdrawn_crash() {
    let (mut notes, mut counters) = (LogLines::default(), SchedulerCounters::default());
    let mut left = mixed_crashes();
    let crash = left.0.remove(&1).expect("a crash");
    log_withdrawn(&mut notes, &mut counters, (&task(1, 0), 1), (&crash, WithdrawnBy::Answer), &left);
    let wanted = format!(
        "event=crash_withdrawn worker=w-0@5 task={} attempt=1 by=answer was=certain count=1 certain=0",
        task(1, 0)
    );
    assert_eq!((line(&notes, "crash_withdrawn"), counters.crashes_withdrawn), (wanted, 1));
}

#[test]
fn proven_task_withdraws_its_crashes() {
    let (mut world, mut lives) = world();
    let at = start_on_one(&mut world, 1, lasting_job());
    crash(&mut world, at, &mut lives);
    let actions = world.tick();
    let at = take(&mut world, &actions).expect("a start");
    let began = world.sched.now.as_millis() as u64;
    for ms in (began..began + 11_000).step_by(500) {
        world.at(ms);
        (0..HOSTS).for_each(|n| world.report(n, lives[n], if n == at { &actions } else { &[] }));
        world.tick();
    }
    let line = line(&world.sched.notes, "crash_withdrawn");
    assert!(line.ends_with("attempt=1 by=proven_safe was=certain count=0 certain=0"), "{line}");
}

#[test]
fn reinstated_task() {
    let (mut notes, mut counters) = (LogLines::default(), SchedulerCounters::default());
    let left = mixed_crashes();
    let why = [
        (ReinstatedFor::Withdrawal, Some(Duration::from_millis(2_400))),
        (ReinstatedFor::UnprovenRecord, None),
    ];
    for why in why {
        log_reinstated(&mut notes, &mut counters, &task(1, 0), why, &left);
    }
    let wanted = ["why=withdrawal absent_ms=2400", "why=unproven_record absent_ms=unknown"]
        .map(|why| format!("event=task_reinstated task={} {why} crashes=2 certain=1", task(1, 0)));
    assert_eq!((lines(&notes, "task_reinstated"), counters.tasks_reinstated), (wanted.to_vec(), 2));
}

#[test]
fn paced_task() {
    let (mut notes, mut counters) = (LogLines::default(), SchedulerCounters::default());
    let (history, last) = (mixed_crashes(), worker(0, 0).id);
    let grounds = Grounds { worker: &last, history: &history, score: 12.0, threshold: 11.0 };
    log_paced(&mut notes, &mut counters, &task(1, 0), Duration::from_millis(1_500), &grounds);
    let wanted = format!(
        "event=task_paced worker={last} task={} wait_ms=1500 crashes=2 suspicion=12.0 certain=1 threshold=11.0 \
         evidence=\"2:unknown:possible:unconfirmed:unknown,1:w-0@5:certain:likely_cause:120\" unnamed=0",
        task(1, 0)
    );
    assert_eq!((line(&notes, "task_paced"), counters.tasks_paced), (wanted, 1));
}

/// Lines about the absence of the task that is given up, until a time; all workers answer.
fn given_up_lines(world: &mut HostWorld, lives: &[usize], ms: u64) -> Vec<String> {
    world.sched.notes.clear();
    let until = world.sched.now + Duration::from_millis(ms);
    while world.sched.now < until {
        at_beside(world, world.sched.now + Duration::from_millis(100), HOSTS, lives);
        world.tick();
    }
    let absent = lines(&world.sched.notes, "long_running_task_absent");
    absent.into_iter().filter(|line| line.contains(" reason=given_up ")).collect()
}

#[test]
fn given_up_waits_for_nothing() {
    let (mut world, lives) = world_with_given_up_task();
    let lines = given_up_lines(&mut world, &lives, 2_000);
    let wanted = " reason=given_up certain_crashes=2 possible_crashes=0 kind=final ";
    assert!(!lines.is_empty() && lines.iter().all(|line| line.contains(wanted)), "{lines:#?}");
}

/// Tasks that wait longer use up all lines and all looks of a check.
#[test]
fn given_up_beside_many_that_wait() {
    let (mut world, lives) = world_with_given_up_task();
    let many = job(vec![lasting(80, TOO_LARGE_CPU_MILLIS)], 200);
    world.sched.handle(Event::Submitted(2, Arc::new(many)));
    given_up_lines(&mut world, &lives, 2_000);
    for window in 0..5 {
        assert!(!given_up_lines(&mut world, &lives, 2_000).is_empty(), "window {window}");
    }
}

/// A successor that takes over the job of a world.
fn successor(world: &HostWorld, rec: JobRecord) -> Scheduler {
    let spec = world.sched.jobs.get(&JobKey::of_number(1)).expect("the job").spec.clone();
    let mut sched = Scheduler::new(2, limits(), Duration::from_secs(30), LATER);
    sched.handle(Event::ConfigChanged(world.sched.config.clone()));
    sched.restore_job(JobKey::of_number(1), Some(spec), Some(rec));
    sched.handle(Event::Tick);
    sched
}

#[test]
fn given_up_shows_at_once_under_next_holder() {
    let (world, _) = world_with_given_up_task();
    let sched = successor(&world, world.sched.jobs[&JobKey::of_number(1)].record());
    let lines = lines(&sched.notes, "long_running_task_absent");
    assert!(lines.iter().any(|line| line.contains(" reason=given_up certain_crashes=2 ")), "{lines:#?}");
}

#[test]
fn given_up_absence_outlasts_the_holder() {
    let (mut world, lives) = world_with_given_up_task();
    given_up_lines(&mut world, &lives, 2_000);
    let mut rec = world.sched.jobs[&JobKey::of_number(1)].record();
    let stored = &mut rec.rounds[0][0][0].absence;
    assert!(stored.is_some(), "its absence is on record");
    *stored = Some(AbsenceRecord { since: LATER - 40_000, restart_by: LATER - 31_000 });
    let sched = successor(&world, rec);
    let lines = lines(&sched.notes, "long_running_task_absent");
    let wanted = format!("task={} absent_ms=40000 ", task(1, 0));
    assert!(lines.iter().any(|line| line.contains(&wanted)), "{lines:#?}");
}

#[test]
fn more_given_up_than_lines() {
    let (world, _) = world_with_given_up_task();
    let mut rec = world.sched.jobs[&JobKey::of_number(1)].record();
    let given_up = rec.rounds[0][0][0].clone();
    let spec = job(vec![lasting(40, 1_000), lasting(1, TOO_LARGE_CPU_MILLIS)], 200);
    rec.rounds[0][0] = vec![given_up; 40];
    let mut sched = Scheduler::new(2, limits(), Duration::from_secs(30), LATER);
    sched.handle(Event::ConfigChanged(world.sched.config.clone()));
    sched.restore_job(JobKey::of_number(1), Some(Arc::new(spec)), Some(rec));
    sched.handle(Event::Tick);
    assert_eq!(
        line(&sched.notes, "given_up_tasks_absent"),
        "event=given_up_tasks_absent tasks=40 unlogged=24 term=2"
    );
    for ms in (100..2_000).step_by(100) {
        sched.now = Duration::from_millis(30_000 + ms);
        sched.wall = LATER + ms;
        sched.handle(Event::Tick);
    }
    let lines = lines(&sched.notes, "long_running_task_absent");
    let shows = |id: TaskId| lines.iter().any(|line| line.contains(&format!(" task={id} ")));
    let missing: Vec<TaskId> = (0..40).map(|n| task(1, n)).filter(|id| !shows(*id)).collect();
    assert_eq!(missing, Vec::new());
}

/// The lines of a world as a host writes them.
fn host_log(world: &HostWorld) -> HostLog {
    let stamped =
        world.sched.notes.iter().map(|line| format!("ts=2026-03-01T10:00:01.000Z level=info {line}\n"));
    HostLog { host: "entry-1".to_string(), text: stamped.collect() }
}

/// A job whose tasks share a line about the crash of a worker.
#[test]
fn explained_crash_of_bystanders() {
    let (mut world, mut lives) = world();
    let at = start_on_one(&mut world, 1, job(vec![step(3, vec![])], 200));
    crash(&mut world, at, &mut lives);
    let told = job_history(1, &[host_log(&world)]).expect("there are lines about it");
    let others = told.lines.iter().find(|line| line.event == "crash_counted_others").expect("a line");
    assert!(others.text.contains(" tasks=3 certainty=certain "), "{others:?}");
}

#[test]
fn metrics_of_crashes() {
    let metrics = JobMetrics::default();
    metrics.set_crash_counters(&SchedulerCounters {
        certain_crashes: 2,
        possible_crashes: 3,
        crashes_withdrawn: 4,
        tasks_given_up: 5,
        tasks_reinstated: 6,
        tasks_paced: 7,
        ..SchedulerCounters::default()
    });
    let text = metrics.text();
    let wanted = [
        "workswood_task_crashes_counted{certainty=\"certain\"} 2",
        "workswood_task_crashes_counted{certainty=\"possible\"} 3",
        "workswood_task_crashes_withdrawn 4",
        "workswood_tasks_given_up 5",
        "workswood_tasks_reinstated 6",
        "workswood_tasks_paced 7",
    ];
    for line in wanted {
        assert!(text.contains(line), "{line} is missing in {text}");
    }
}
