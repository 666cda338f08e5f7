//! Absent long-running tasks that no worker of their pool may take get a host.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event, Host, HostReply, JobKey, Listing, StepSpec, TaskId, WorkerInfo};
use workswood_test_support::host_world::{HostWorld, OTHER, SPARE, host, listed, moves, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Time between two ticks.
const TICK_MS: u64 = 100;
/// Duration of a worker's lease.
const LEASE_MS: u64 = 5000;
/// Time in which a host of a pool that can spare it becomes free for others.
const LONG_MS: u64 = 60_000;
/// Time after a move in which a list of hosts may be older.
const HOST_LIST_LAG_MS: u64 = 1300;

/// A pool of four hosts with three long-running tasks, one a host.
struct Pool {
    world: HostWorld,
    now_ms: u64,
    workers: Vec<usize>,
    runs: Vec<Action>,
    /// Workers that don't answer, with the end of the lease of each.
    silent: Vec<(usize, u64)>,
}

fn lasting(label: Option<&str>) -> StepSpec {
    let label = label.map(str::to_string);
    StepSpec { long_running: true, max_per_worker: 1, label, ..step(3, vec![]) }
}

fn is_on(run: &Action, n: usize) -> bool {
    matches!(run, Action::Start { worker: id, .. } if *id == worker(n, 0).id)
}

fn task_of(run: &Action) -> Option<TaskId> {
    if let Action::Start { task, .. } = run { Some(*task) } else { None }
}

impl Pool {
    /// A pool beside these other hosts, with a step of long-running tasks.
    fn new(others: Vec<Host>, lasting: StepSpec) -> Pool {
        let mut world = HostWorld::new(4);
        for n in 0..4 {
            let labels = lasting.label.iter().cloned().collect();
            let info = WorkerInfo { labels, ..worker(n, 0) };
            world.sched.handle(Event::WorkerListed(info));
        }
        world.list((0..4).map(|n| host(n, SERVICE, Some(0))).chain(others).collect());
        let workers = (0..4).collect();
        let mut pool = Pool { world, now_ms: 0, workers, runs: Vec::new(), silent: Vec::new() };
        pool.run_for(500);
        pool.world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 100))));
        pool.run_for(500);
        assert_eq!(pool.runs.len(), 3);
        pool
    }

    /// Lets some time pass, in which workers that aren't silent answer and take starts.
    fn run_for(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += TICK_MS;
            self.world.at(self.now_ms);
            self.workers.clone().into_iter().for_each(|n| self.answer(n));
            for action in self.world.tick() {
                let Action::Start { worker, task, attempt, .. } = &action else { continue };
                self.world.taken(worker, *task, *attempt);
                self.runs.push(action);
            }
        }
    }

    fn answer(&mut self, n: usize) {
        let id = worker(n, 0).id;
        match self.silent.iter().find(|(silent, _)| *silent == n) {
            Some((_, lease_end)) => {
                let lease_end = Duration::from_millis(*lease_end);
                self.world.tells_silence(&id, lease_end, Duration::ZERO);
            }
            None => {
                let running = self.runs.iter().filter(|run| is_on(run, n)).filter_map(listed).collect();
                self.world.answers(&id, Listing { running, ..Listing::default() });
            }
        }
    }

    /// Silences this many of the workers with tasks.
    fn silence(&mut self, count: usize) {
        let busy = (0..4).filter(|n| self.runs.iter().any(|run| is_on(run, *n))).take(count);
        self.silent = busy.map(|n| (n, self.now_ms + LEASE_MS)).collect();
    }

    /// Has the silent workers answer again, without the runs that have lapsed.
    fn heal(&mut self) {
        let silent: Vec<usize> = std::mem::take(&mut self.silent).into_iter().map(|(n, _)| n).collect();
        self.runs.retain(|run| !silent.iter().any(|n| is_on(run, *n)));
    }

    /// Has moves to the pool carried out, after which the workers of these hosts answer.
    fn arrive(&mut self, hosts: &[usize]) {
        let all = (0..4).chain(hosts.iter().copied());
        for n in hosts {
            self.world.sched.handle(Event::HostOrderAnswered(format!("m-{n}"), HostReply::Done));
            self.world.sched.handle(Event::WorkerListed(worker(*n, 0)));
        }
        self.workers.extend(hosts);
        self.run_for(HOST_LIST_LAG_MS);
        self.world.list(all.map(|n| host(n, SERVICE, Some(0))).collect());
    }

    /// Tasks with a run on a worker that answers.
    fn at_work(&self) -> BTreeSet<TaskId> {
        let on_silent = |run: &&Action| !self.silent.iter().any(|(n, _)| is_on(run, *n));
        self.runs.iter().filter(on_silent).filter_map(task_of).collect()
    }

    /// Moves that were ordered, each once.
    fn moves(&self) -> Vec<(String, String)> {
        let ordered: BTreeSet<(String, String)> = moves(&self.world.actions).into_iter().collect();
        ordered.into_iter().collect()
    }
}

fn to_service(n: usize) -> (String, String) {
    (format!("m-{n}"), SERVICE.to_string())
}

#[test]
fn silent_workers_counted_as_places() {
    let mut pool = Pool::new(vec![host(9, SPARE, None)], lasting(None));
    pool.silence(2);
    pool.run_for(LEASE_MS - 1000);
    assert_eq!(pool.moves(), [to_service(9)], "one of the two finds a place, the other gets a host in time");
}

#[test]
fn one_host_for_each_task_without_place() {
    let mut pool = Pool::new((6..10).map(|n| host(n, SPARE, None)).collect(), lasting(None));
    pool.silence(3);
    pool.run_for(LEASE_MS);
    assert_eq!(pool.moves(), [to_service(6), to_service(7)]);
}

#[test]
fn short_silence_moves_nothing() {
    let mut pool = Pool::new(vec![host(9, SPARE, None)], lasting(None));
    pool.silence(2);
    pool.run_for(800);
    pool.silent.clear();
    pool.run_for(LEASE_MS);
    assert_eq!(pool.moves(), []);
}

#[test]
fn workers_not_polled_yet_counted_as_silent() {
    let before = Pool::new(vec![host(9, SPARE, None)], lasting(None));
    let job = before.world.sched.jobs.get(&JobKey::of_number(1)).expect("the job");
    let mut world = HostWorld::new(0);
    world.sched.restore_job(JobKey::of_number(1), Some(job.spec.clone()), Some(job.record()));
    (0..4).for_each(|n| world.sched.handle(Event::WorkerListed(worker(n, 0))));
    world.list((0..4).map(|n| host(n, SERVICE, Some(0))).chain([host(9, SPARE, None)]).collect());
    let idle = (0..4).find(|n| !before.runs.iter().any(|run| is_on(run, *n))).expect("an idle worker");
    for ms in (TICK_MS..3 * 1000).step_by(TICK_MS as usize) {
        world.at(ms);
        world.report(idle, 0, &[]);
        world.tick();
    }
    assert_eq!(world.sched.absent_long_running_tasks(), 3);
    assert_eq!(moves(&world.actions), []);
}

#[test]
fn new_workers_not_counted_as_places() {
    let before = Pool::new(vec![host(9, SPARE, None)], lasting(None));
    let mut record = before.world.sched.jobs.get(&JobKey::of_number(1)).expect("the job").record();
    record.rounds[0][0].iter_mut().for_each(|task| task.runs.clear());
    let spec = before.world.sched.jobs.get(&JobKey::of_number(1)).map(|job| job.spec.clone());
    let mut world = HostWorld::new(0);
    world.sched.restore_job(JobKey::of_number(1), spec, Some(record));
    world.list((0..4).map(|n| host(n, SERVICE, Some(0))).chain([host(9, SPARE, None)]).collect());
    (0..4).for_each(|n| world.sched.handle(Event::WorkerListed(worker(n, 0))));
    for ms in (TICK_MS..2000).step_by(TICK_MS as usize) {
        world.at(ms);
        world.tick();
    }
    assert_eq!(world.sched.absent_long_running_tasks(), 3);
    assert_eq!(moves(&world.actions), [], "they have not been polled yet");
}

#[test]
fn only_host_below_margin_of_other_pool() {
    let id: WorkerId = worker(9, 0).id;
    let mut pool = Pool::new(vec![host(9, OTHER, Some(0))], lasting(None));
    let info = WorkerInfo { service: OTHER.to_string(), ..worker(9, 0) };
    pool.world.sched.handle(Event::WorkerListed(info));
    pool.world.answers(&id, Listing::default());
    pool.silence(2);
    pool.run_for(1000);
    pool.world.answers(&id, Listing::default());
    pool.run_for(1000);
    assert_eq!(pool.moves(), [to_service(9)], "the other pool has nothing to do");
}

#[test]
fn host_without_label_stays() {
    let without = host(8, SPARE, None);
    let with = Host { labels: vec!["wide".to_string()], ..host(9, SPARE, None) };
    let mut pool = Pool::new(vec![without, with], lasting(Some("wide")));
    pool.silence(3);
    pool.run_for(LEASE_MS);
    assert_eq!(pool.moves(), [to_service(9)]);
}

#[test]
fn idle_host_kept_until_lapse() {
    let mut pool = Pool::new((6..10).map(|n| host(n, SPARE, None)).collect(), lasting(None));
    pool.silence(1);
    pool.run_for(LEASE_MS + 1000);
    assert_eq!(pool.at_work().len(), 3, "it is at work on the idle host");
    assert_eq!(pool.moves(), []);
}

#[test]
fn surplus_goes_once_silent_workers_are_back() {
    let mut pool = Pool::new((6..10).map(|n| host(n, SPARE, None)).collect(), lasting(None));
    pool.silence(3);
    pool.run_for(1500);
    assert_eq!(pool.moves(), [to_service(6), to_service(7)]);
    pool.arrive(&[6, 7]);
    pool.run_for(LEASE_MS);
    assert_eq!(pool.at_work().len(), 3);
    pool.heal();
    pool.run_for(LONG_MS);
    assert_eq!(pool.at_work().len(), 3);
    assert!(pool.moves().iter().any(|(_, to)| to == SPARE), "{:?}", pool.moves());
}
