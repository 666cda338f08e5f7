//! A long-running task starts soon wherever a worker has room for it.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::crash_history::{CrashRecord, Evidence};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Action, EndKind, Event, Job, JobKey, JobSpec, Listing, ReportedEnd, ReportedRun, SchedConfig, StepSpec,
    TaskId, Wave, WorkerInfo, WorkerUpdate, Workspace, Workspaces,
};
use workswood_test_support::host_world::{HostWorld, host, listed, wave, worker};
use workswood_test_support::job_world::{SERVICE, config, job, step};

/// Time between two ticks.
const TICK_MS: u64 = 100;
/// A long-running task is to start within this time if there is room.
const START_WITHIN_MS: u64 = 2000;
/// A long-running task that failed waits this long for another worker.
const PAUSE_MS: u64 = 1000;
/// Time between failures of long-running tasks, longer than a worker is shunned for at first.
const FAILS_AFTER_MS: u64 = 8000;
/// Jobs of one step each, more than the misses that end a placement pass.
const LARGE_JOBS: u64 = 12;
/// More long-running jobs than a placement pass tries.
const MANY_JOBS: u64 = 80;
/// Name of a workspace.
const TEAM: &str = "team-a";
/// A long-running task has to run again within this time if a worker has room for it.
const LONGEST_ABSENCE_MS: u64 = 6000;
/// Label of one worker.
const LABEL: &str = "wide";
/// Label of the workers that are filled up.
const OTHERS: &str = "narrow";

/// Workers that answer at each tick, and what runs on them.
struct Pool {
    world: HostWorld,
    now_ms: u64,
    workers: usize,
    /// Orders of the runs that have not ended.
    runs: Vec<Action>,
    /// Sequence number of the last reported end.
    ends: u64,
}

fn task_of(a: &Action) -> Option<TaskId> {
    if let Action::Start { task, .. } = a { Some(*task) } else { None }
}

fn is_on(a: &Action, n: usize) -> bool {
    matches!(a, Action::Start { worker: id, .. } if *id == worker(n, 0).id)
}

impl Pool {
    fn new(workers: usize) -> Pool {
        let mut world = HostWorld::new(workers);
        world.at(TICK_MS);
        Pool { world, now_ms: TICK_MS, workers, runs: Vec::new(), ends: 0 }
    }

    /// Has a worker list its runs and one end.
    fn answer(&mut self, n: usize, ended: Vec<ReportedEnd>) {
        let running: Vec<ReportedRun> = self.runs.iter().filter(|a| is_on(a, n)).filter_map(listed).collect();
        self.world.answers(&worker(n, 0).id, Listing { running, ended, ..Listing::default() });
    }

    /// Ticks once; the starts are accepted and returned.
    fn tick(&mut self) -> Vec<Action> {
        let actions = self.world.tick();
        let starts: Vec<Action> = actions.into_iter().filter(|a| matches!(a, Action::Start { .. })).collect();
        for a in &starts {
            let Action::Start { worker, task, attempt, .. } = a else { continue };
            self.world.taken(worker, *task, *attempt);
        }
        self.runs.extend(starts.clone());
        starts
    }

    fn submit(&mut self, key: u64, spec: JobSpec) -> Vec<Action> {
        self.world.sched.handle(Event::Submitted(key, Arc::new(spec)));
        self.tick()
    }

    /// Ends a run; returns the starts that follow.
    fn end_run(&mut self, run: &Action, kind: EndKind) -> Vec<Action> {
        let Action::Start { task, attempt, .. } = run else { return Vec::new() };
        let n = (0..self.workers).find(|n| is_on(run, *n)).expect("a worker");
        self.runs.retain(|a| a != run);
        self.ends += 1;
        let (task, attempt, sequence_number) = (*task, *attempt, self.ends);
        self.answer(n, vec![ReportedEnd { sequence_number, task, attempt, kind, checkpoint: String::new() }]);
        self.tick()
    }

    /// Lets some time pass; returns the starts.
    fn wait(&mut self, ms: u64) -> Vec<Action> {
        let until = self.now_ms + ms;
        let mut starts = Vec::new();
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            self.world.at(self.now_ms);
            (0..self.workers).for_each(|n| self.answer(n, Vec::new()));
            starts.extend(self.tick());
        }
        starts
    }

    /// As [`Self::wait`], while each run that is to be stopped ends; returns the longest time for which
    /// a job had no run.
    fn longest_absence(&mut self, key: u64, ms: u64) -> u64 {
        let (mut longest, mut absent_since) = (0, self.now_ms);
        for _ in 0..ms / TICK_MS {
            let before = self.world.actions.len();
            self.wait(TICK_MS);
            let actions = self.world.actions.split_off(before);
            for stop in &actions {
                let Action::Stop(id, task, _) = stop else { continue };
                let stopped = |a: &&Action| matches!(a, Action::Start { worker, .. } if worker == id);
                let run = self.runs.iter().filter(stopped).find(|a| task_of(a) == Some(*task)).cloned();
                run.iter().for_each(|run| drop(self.end_run(run, EndKind::Stopped)));
            }
            if self.runs.iter().any(|a| task_of(a).is_some_and(|t| t.job.number == key)) {
                absent_since = self.now_ms;
            }
            longest = longest.max(self.now_ms - absent_since);
        }
        longest
    }

    /// Log lines about long-running tasks that run nowhere.
    fn absences(&self) -> Vec<&str> {
        self.world.sched.notes.iter().filter(|l| l.contains("event=long_running_task_absent")).collect()
    }

    /// Workers of the starts of a job.
    fn workers_of(&self, starts: &[Action], key: u64) -> Vec<usize> {
        let of_job = starts.iter().filter(|a| task_of(a).is_some_and(|t| t.job.number == key));
        of_job.filter_map(|a| (0..self.workers).find(|n| is_on(a, *n))).collect()
    }

    /// Submits a job of one long-running task, and checks that it starts in time.
    fn assert_starts_soon(&mut self, key: u64, lasting: JobSpec) {
        let mut starts = self.submit(key, lasting);
        starts.extend(self.wait(START_WITHIN_MS));
        let started = self.workers_of(&starts, key).len();
        assert_eq!(started, 1, "a worker has room for it: {:#?}", self.absences());
    }

    /// Gives a worker a label.
    fn label(&mut self, n: usize, label: &str) {
        let info = WorkerInfo { labels: vec![label.to_string()], ..worker(n, 0) };
        self.world.sched.handle(Event::WorkerListed(info));
    }

    /// Fills all workers but one up for good: each of the others has a run of this size.
    fn fill_others(&mut self, but: usize, cpu_millis: u64) {
        let others: Vec<usize> = (0..self.workers).filter(|n| *n != but).collect();
        others.iter().for_each(|n| self.label(*n, OTHERS));
        let filler =
            StepSpec { label: Some(OTHERS.to_string()), max_per_worker: 1, ..ordinary(others.len() as u32) };
        assert_eq!(self.submit(99, job(vec![sized(filler, cpu_millis)], 100)).len(), others.len());
    }
}

/// A step of tasks that take much longer than a test.
fn ordinary(count: u32) -> StepSpec {
    StepSpec { estimate: Duration::from_secs(600), ..step(count, vec![]) }
}

fn sized(mut step: StepSpec, cpu_millis: u64) -> StepSpec {
    step.resources.cpu_millis = cpu_millis;
    step
}

fn long_running(count: u32, cpu_millis: u64) -> StepSpec {
    sized(StepSpec { long_running: true, ..step(count, vec![]) }, cpu_millis)
}

/// Four workers with half of their room left, and many steps that need more than that.
fn pool_with_large_steps() -> Pool {
    let mut pool = Pool::new(4);
    let half = StepSpec { max_per_worker: 1, ..sized(ordinary(4), 2000) };
    assert_eq!(pool.submit(1, job(vec![half], 100)).len(), 4);
    for key in 0..LARGE_JOBS {
        let large = job(vec![sized(ordinary(1), 4000)], 100);
        assert!(pool.submit(10 + key, large).is_empty(), "no worker has this much room");
    }
    pool
}

/// Configuration with a workspace.
fn with_workspace(version: u64, jobs_per_s: f64, cpu_millis: u64) -> Event {
    let mut workspaces = Workspaces::default();
    let limit = Resources { cpu_millis, mem_mb: 0, gpus: 0 };
    workspaces.add(Workspace { name: TEAM.to_string(), jobs_per_s, limit }, []);
    Event::ConfigChanged(Arc::new(SchedConfig { version, workspaces, ..config() }))
}

#[test]
fn not_reached_behind_urgent_steps() {
    let mut pool = pool_with_large_steps();
    let lasting = JobSpec { priority: 1, ..job(vec![long_running(1, 1000)], 200) };
    pool.assert_starts_soon(2, lasting);
}

#[test]
fn not_reached_over_rate() {
    let mut pool = Pool::new(4);
    pool.world.sched.handle(with_workspace(2, 0.1, 0));
    let of_team = |spec| JobSpec { workspace: Some(TEAM.to_string()), ..spec };
    let half = StepSpec { max_per_worker: 1, ..sized(ordinary(4), 2000) };
    assert_eq!(pool.submit(1, of_team(job(vec![half], 100))).len(), 4);
    for key in 0..LARGE_JOBS {
        assert!(pool.submit(10 + key, job(vec![sized(ordinary(1), 4000)], 100)).is_empty());
    }
    pool.assert_starts_soon(2, of_team(job(vec![long_running(1, 1000)], 200)));
}

#[test]
fn not_reached_behind_large_step_over_limit() {
    let mut pool = Pool::new(4);
    pool.world.sched.handle(with_workspace(2, 100.0, 8000));
    let of_team = |spec| JobSpec { workspace: Some(TEAM.to_string()), ..spec };
    assert_eq!(pool.submit(1, of_team(job(vec![ordinary(5)], 100))).len(), 5);
    assert!(pool.submit(2, of_team(job(vec![long_running(1, 4000)], 100))).is_empty(), "over the limit");
    pool.assert_starts_soon(3, of_team(job(vec![long_running(1, 1000)], 200)));
}

#[test]
fn not_reached_behind_many_large_long_running() {
    let mut pool = pool_with_large_steps();
    for key in 0..MANY_JOBS {
        let large = JobSpec { priority: 1, ..job(vec![long_running(1, 4000)], 200) };
        assert!(pool.submit(100 + key, large).is_empty(), "no worker has this much room");
    }
    let last = 100 + MANY_JOBS;
    pool.assert_starts_soon(last, JobSpec { priority: 1, ..job(vec![long_running(1, 1000)], 200) });
}

#[test]
fn room_kept_for_urgent_steps() {
    let mut pool = pool_with_large_steps();
    let lasting = JobSpec { priority: 1, ..job(vec![long_running(8, 1000)], 200) };
    pool.world.sched.handle(Event::Submitted(2, Arc::new(lasting)));
    let starts = pool.submit(3, job(vec![sized(step(4, vec![]), 2000)], 100));
    assert_eq!(pool.workers_of(&starts, 3).len(), 4, "its priority is higher, and it is reached");
    assert!(pool.workers_of(&starts, 2).is_empty());
}

#[test]
fn avoids_only_worker_with_room() {
    let mut pool = Pool::new(2);
    let first = pool.submit(1, job(vec![long_running(1, 1000)], 100));
    let at = pool.workers_of(&first, 1)[0];
    pool.fill_others(at, 4000);
    let mut again = pool.end_run(&first[0], EndKind::Failed);
    again.extend(pool.wait(START_WITHIN_MS));
    assert_eq!(
        pool.workers_of(&again, 1),
        [at],
        "only the worker that it failed on has room: {:#?}",
        pool.absences()
    );
}

#[test]
fn pause_between_failures() {
    let mut pool = Pool::new(2);
    let first = pool.submit(1, job(vec![long_running(1, 1000)], 100));
    let at = pool.workers_of(&first, 1)[0];
    pool.fill_others(at, 4000);
    let mut run = first[0].clone();
    for _ in 0..4 {
        assert!(pool.end_run(&run, EndKind::Failed).is_empty(), "other workers go first");
        let failed_at = pool.now_ms;
        let started = (0..START_WITHIN_MS / TICK_MS).find_map(|_| pool.wait(TICK_MS).first().cloned());
        run = started.expect("a start");
        assert!(pool.now_ms >= failed_at + PAUSE_MS, "started again after {} ms", pool.now_ms - failed_at);
    }
}

#[test]
fn waits_behind_task_that_avoids_worker() {
    let mut pool = Pool::new(3);
    let first = pool.submit(1, job(vec![long_running(2, 1000)], 100));
    let at = pool.workers_of(&first, 1);
    assert_eq!(at.len(), 2);
    assert_ne!(at[0], at[1], "they are spread");
    let third = 3 - at[0] - at[1];
    pool.label(third, OTHERS);
    let filler = StepSpec { label: Some(OTHERS.to_string()), ..sized(ordinary(1), 4000) };
    assert_eq!(pool.submit(2, job(vec![filler], 100)).len(), 1);
    pool.world.sched.handle(Event::WorkerListed(WorkerInfo { draining: true, ..worker(at[1], 0) }));
    assert!(pool.end_run(&first[0], EndKind::Failed).is_empty(), "it avoids the only worker with room");
    let again = pool.end_run(&first[1], EndKind::Stopped);
    let second = task_of(&first[1]);
    assert!(again.iter().any(|a| task_of(a) == second), "it avoids no worker: {again:?}");
}

#[test]
fn only_slow_worker_has_room() {
    let mut pool = Pool::new(4);
    pool.world.sched.policy.slow_workers.enabled = true;
    let wide = StepSpec { max_per_worker: 1, ..step(4, vec![]) };
    let starts = pool.submit(1, job(vec![wide.clone(), wide], 100));
    assert_eq!(starts.len(), 8);
    let slow = 0;
    pool.wait(300);
    for run in starts.iter().filter(|a| !is_on(a, slow)) {
        pool.end_run(run, EndKind::Done);
    }
    pool.fill_others(slow, 4000);
    pool.wait(2000);
    assert_eq!(pool.world.sched.counters.workers_slow, 1);
    let mut starts = pool.submit(2, job(vec![long_running(1, 1000)], 2400));
    starts.extend(pool.wait(START_WITHIN_MS));
    assert_eq!(pool.workers_of(&starts, 2), [slow], "only the slow worker has room: {:#?}", pool.absences());
}

#[test]
fn only_shunned_worker_has_room() {
    let mut pool = Pool::new(4);
    pool.label(0, LABEL);
    // Long-running tasks of several jobs fail by themselves on the first worker.
    for key in 1..=4 {
        pool.wait(FAILS_AFTER_MS);
        let tied = StepSpec { label: Some(LABEL.to_string()), ..long_running(1, 500) };
        let starts = pool.submit(key, job(vec![tied], 100));
        assert_eq!(pool.workers_of(&starts, key), [0]);
        pool.end_run(&starts[0], EndKind::Failed);
        pool.world.sched.handle(Event::Cancelled(JobKey::of_number(key)));
    }
    pool.fill_others(0, 4000);
    let mut starts = pool.submit(20, job(vec![long_running(1, 1000)], 200));
    starts.extend(pool.wait(START_WITHIN_MS));
    assert_eq!(pool.workers_of(&starts, 20), [0], "only the shunned worker has room: {:#?}", pool.absences());
}

#[test]
fn only_reserved_worker_has_room() {
    let mut pool = Pool::new(2);
    let each = StepSpec { max_per_worker: 1, ..ordinary(2) };
    assert_eq!(pool.submit(1, job(vec![each], 100)).len(), 2);
    pool.fill_others(0, 3000);
    // A task that was lost with two workers waits for an empty one.
    let suspected = job(vec![sized(ordinary(1), 4000)], 100);
    let mut known = Job::new(JobKey::of_number(5), Arc::new(suspected.clone()));
    known.open_round();
    let mut record = known.record();
    for attempt in 1..=2 {
        let crash = CrashRecord::possible(Evidence::LikelyCause, Some(Duration::ZERO));
        record.rounds[0][0][0].crashes.0.insert(attempt, crash);
    }
    pool.world.sched.restore_job(JobKey::of_number(5), Some(Arc::new(suspected)), Some(record));
    pool.wait(1000);
    let mut starts = pool.submit(2, job(vec![long_running(1, 1000)], 200));
    starts.extend(pool.wait(START_WITHIN_MS));
    assert_eq!(pool.workers_of(&starts, 2), [0], "only the reserved worker has room: {:#?}", pool.absences());
}

#[test]
fn drained_host_keeps_only_room() {
    let mut pool = Pool::new(3);
    pool.world.list((0..3).map(|n| host(n, SERVICE, Some(0))).collect());
    pool.fill_others(0, 4000);
    let evictable = |step| StepSpec { max_unavailable: 1, ..step };
    assert_eq!(pool.submit(1, job(vec![evictable(long_running(1, 1000))], 100)).len(), 1);
    // One of its two tasks has no place, so the other one can't be evicted.
    let spread = StepSpec { max_per_worker: 1, ..long_running(2, 1000) };
    assert_eq!(pool.submit(2, job(vec![evictable(spread)], 100)).len(), 1);
    pool.wait(500);
    let wave = Wave { time_allowed: Duration::from_secs(5), ..wave(&[0], 1) };
    pool.world.sched.handle(Event::WaveRequested(wave, None));
    let longest = pool.longest_absence(1, 60_000);
    assert!(longest > 0, "the wave has not begun");
    assert!(longest <= LONGEST_ABSENCE_MS, "absent for {longest} ms: {:#?}", pool.absences());
}

#[test]
fn room_filled_by_demand_before_absent_task() {
    let mut pool = Pool::new(2);
    let first = pool.submit(1, JobSpec { priority: 1, ..job(vec![long_running(1, 1000)], 100) });
    let large = |key: u64, pool: &mut Pool| pool.submit(key, job(vec![sized(ordinary(1), 4000)], 100));
    let mut others = large(2, &mut pool);
    (3..8).for_each(|key| others.extend(large(key, &mut pool)));
    others.extend(pool.end_run(&first[0], EndKind::Lapsed));
    assert_eq!(others.len(), 2, "each worker has one of the others");
    pool.wait(START_WITHIN_MS);
    let started = pool.end_run(&others[0], EndKind::Done);
    assert_eq!(pool.workers_of(&started, 1).len(), 1, "it has been absent for long: {started:?}");
}

#[test]
fn worker_with_late_answer_only_if_none_else() {
    for late in 0..2 {
        let mut pool = Pool::new(2);
        pool.world.tells(&worker(late, 0).id, WorkerUpdate::ProbeLate);
        let spread = StepSpec { max_per_worker: 1, ..long_running(2, 1000) };
        let starts = pool.submit(1, job(vec![spread], 100));
        assert_eq!(pool.workers_of(&starts, 1), [1 - late, late]);
    }
}
