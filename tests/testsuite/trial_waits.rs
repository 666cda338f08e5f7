//! How long long-running tasks wait for trials, their own and those of other tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use workswood_core::jobs::{Action, Event, Job, JobKey, JobSpec, StepSpec, TaskId, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of a site.
const HOSTS: usize = 4;
/// Longest wait of a long-running task for which there is room, in milliseconds.
const MAX_WAIT_MS: u64 = 2500;
/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 100;

fn lasting() -> StepSpec {
    StepSpec { long_running: true, ..step(1, vec![]) }
}

/// Number of the host of a worker.
fn host_of(id: &str) -> usize {
    id.split('-').nth(1).and_then(|n| n.parse().ok()).expect("a host")
}

/// Hosts whose workers take all starts and never end a task.
struct Site {
    world: HostWorld,
    lives: Vec<usize>,
    /// Hosts that don't answer.
    silent: Vec<usize>,
    started: BTreeMap<TaskId, Action>,
    ms: u64,
}

impl Site {
    fn new(hosts: usize) -> Site {
        let world = HostWorld::new(hosts);
        Site { world, lives: vec![0; hosts], silent: vec![], started: BTreeMap::new(), ms: 0 }
    }

    /// A job whose first task was lost in some crashes under earlier holders.
    fn restore(&mut self, key: u64, spec: JobSpec, crashes: u32) {
        let spec = Arc::new(spec);
        let mut before = Job::new(JobKey::of_number(key), spec.clone());
        before.open_round();
        let mut record = before.record();
        let crash = CrashRecord::possible(Evidence::Unconfirmed, None);
        record.rounds[0][0][0].crashes = CrashHistory((1..=crashes).map(|n| (n, crash.clone())).collect());
        record.rounds[0][0][0].latest_attempt = crashes;
        self.world.sched.restore_job(JobKey::of_number(key), Some(spec), Some(record));
    }

    fn submit(&mut self, key: u64, spec: JobSpec) {
        self.world.sched.handle(Event::Submitted(key, Arc::new(spec)));
    }

    fn tick(&mut self) {
        self.ms += TICK_MS;
        self.world.at(self.ms);
        for n in (0..self.lives.len()).filter(|n| !self.silent.contains(n)) {
            let on = |a: &&Action| matches!(a, Action::Start { worker, .. } if host_of(worker) == n);
            let here: Vec<Action> = self.started.values().filter(on).cloned().collect();
            self.world.report(n, self.lives[n], &here);
        }
        for a in self.world.tick() {
            if let Action::Start { worker, task, attempt, .. } = &a {
                self.world.taken(worker, *task, *attempt);
                self.started.insert(*task, a.clone());
            }
        }
    }

    fn play(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.tick();
        }
    }

    /// Plays until the task of a job has been started; returns how long that took.
    fn wait_for(&mut self, key: u64) -> u64 {
        let begin = self.ms;
        let id = TaskId { job: JobKey::of_number(key), round: 0, step: 0, index: 0 };
        while !self.started.contains_key(&id) {
            assert!(self.ms < begin + 20_000, "job {key} never runs");
            self.tick();
        }
        self.ms - begin
    }

    /// A worker doesn't answer any more; its lease lasts for a while.
    fn silence(&mut self, n: usize) {
        self.silent.push(n);
        let heard = self.world.sched.now;
        let lease_end = heard + Duration::from_secs(1);
        self.world.tells(&worker(n, self.lives[n]).id, WorkerUpdate::Unanswered { lease_end, heard });
    }

    /// A silent worker is replaced by another one, which runs nothing.
    fn replace(&mut self, n: usize) {
        self.started.retain(|_, a| !matches!(a, Action::Start { worker, .. } if host_of(worker) == n));
        self.lives[n] += 1;
        self.silent.retain(|other| *other != n);
        let hosts = self.lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life)));
        self.world.list(hosts.collect());
        self.world.sched.handle(Event::WorkerListed(worker(n, self.lives[n])));
    }
}

#[test]
fn quarantined_workers_take_lasting_task() {
    let mut site = Site::new(HOSTS);
    (1..=HOSTS as u64).for_each(|key| site.restore(key, job(vec![step(1, vec![])], 0), 3));
    site.play(500);
    assert_eq!(site.started.len(), HOSTS, "each worker has a trial");
    site.submit(9, job(vec![lasting()], 500));
    let waited = site.wait_for(9);
    assert!(waited <= MAX_WAIT_MS, "it waits for {waited} ms");
}

#[test]
fn suspected_lasting_task_waits_briefly() {
    let mut site = Site::new(HOSTS);
    (1..=HOSTS as u64).for_each(|key| site.restore(key, job(vec![step(1, vec![])], 0), 3));
    site.restore(9, job(vec![lasting()], 0), 2);
    let waited = site.wait_for(9);
    assert!(waited <= MAX_WAIT_MS, "it waits for {waited} ms");
}

#[test]
fn held_back_trials_reserve_no_worker() {
    let mut site = Site::new(HOSTS);
    let unreachable = worker(HOSTS, 0);
    let mut record = unreachable.record();
    record.open = true;
    site.world.sched.restore_worker(unreachable.id, record);
    (1..=HOSTS as u64).for_each(|key| site.restore(key, job(vec![step(1, vec![])], 0), 3));
    site.play(500);
    assert!(site.started.is_empty(), "they may run without a record");
    site.submit(9, job(vec![lasting()], 500));
    let waited = site.wait_for(9);
    assert!(waited <= 2 * TICK_MS, "it waits for {waited} ms");
}

#[test]
fn unplaceable_trial_blocks_no_other() {
    let mut site = Site::new(2);
    site.submit(3, job(vec![step(5, vec![])], 0));
    site.play(500);
    // It needs more than any worker has.
    let mut large = step(1, vec![]);
    large.resources.cpu_millis = 5000;
    site.restore(1, job(vec![large], 0), 3);
    site.restore(2, job(vec![step(1, vec![])], 0), 3);
    let waited = site.wait_for(2);
    assert!(waited <= 500, "it waits for {waited} ms");
}

#[test]
fn lapsed_task_is_queued_for_trial() {
    let mut site = Site::new(2);
    // It needs more than any worker has, so that its trial never begins.
    let mut large = step(1, vec![]);
    large.resources.cpu_millis = 5000;
    site.restore(1, job(vec![large], 0), 3);
    site.restore(2, job(vec![step(1, vec![])], 0), 1);
    site.play(5000);
    let id = TaskId { job: JobKey::of_number(2), round: 0, step: 0, index: 0 };
    let Some(Action::Start { worker: at, .. }) = site.started.get(&id).cloned() else { panic!("it runs") };
    let n = host_of(&at);
    // The other worker is full.
    site.submit(3, job(vec![step(7, vec![])], 0));
    site.play(500);
    site.silence(n);
    site.play(2000);
    site.replace(n);
    site.started.remove(&id);
    let waited = site.wait_for(2);
    assert!(waited <= 1000, "it waits for {waited} ms");
}

impl Site {
    /// A job whose first task is the likely cause of some crashes under earlier holders.
    fn restore_likely_cause(&mut self, key: u64, crashes: u32) {
        let spec = Arc::new(job(vec![lasting()], 0));
        let mut before = Job::new(JobKey::of_number(key), spec.clone());
        before.open_round();
        let mut record = before.record();
        let max_run_time = Some(Duration::from_millis(100));
        let possible = CrashRecord::possible(Evidence::LikelyCause, max_run_time);
        let crash = CrashRecord { certainty: Certainty::Certain, ..possible };
        record.rounds[0][0][0].crashes = CrashHistory((1..=crashes).map(|n| (n, crash.clone())).collect());
        record.rounds[0][0][0].latest_attempt = crashes;
        self.world.sched.restore_job(JobKey::of_number(key), Some(spec), Some(record));
    }

    /// A task is started on each worker; none of them ends.
    fn fill_with_trials(&mut self) {
        (1..=self.lives.len() as u64).for_each(|key| self.restore(key, job(vec![step(1, vec![])], 0), 3));
    }
}

#[test]
fn likely_cause_waits_briefly() {
    let mut site = Site::new(HOSTS);
    site.fill_with_trials();
    site.restore_likely_cause(9, 2);
    let waited = site.wait_for(9);
    assert!(waited <= MAX_WAIT_MS, "it waits for {waited} ms");
}

/// A site whose workers are loaded, so that one may be in quarantine, on which a trial lasts; a long-running
/// task with two crashes has started without one. Returns the host that it runs on too.
fn site_with_open_trial() -> (Site, usize) {
    let mut site = Site::new(HOSTS);
    site.submit(5, job(vec![step(10, vec![])], 0));
    site.restore(1, job(vec![step(1, vec![])], 0), 3);
    site.play(500);
    site.restore_likely_cause(9, 2);
    site.wait_for(9);
    let id = TaskId { job: JobKey::of_number(9), round: 0, step: 0, index: 0 };
    let Action::Start { worker: at, .. } = &site.started[&id] else { panic!("a start") };
    let n = host_of(at);
    let q = site.world.sched.workers.get(at).and_then(|w| w.quarantine);
    assert!(q.is_none_or(|q| q.trial.is_none()), "its worker takes other work");
    (site, n)
}

/// A worker crashes and is replaced; returns how many tasks are given up.
fn crash(site: &mut Site, n: usize) -> u64 {
    site.silence(n);
    site.play(TICK_MS);
    site.replace(n);
    site.play(TICK_MS);
    site.world.sched.counters.tasks_given_up
}

#[test]
fn crash_in_open_trial_is_proof() {
    let (mut site, n) = site_with_open_trial();
    assert_eq!(crash(&mut site, n), 1);
}

#[test]
fn crash_in_open_trial_beside_young_run_is_not() {
    let (mut site, n) = site_with_open_trial();
    site.submit(10, job(vec![step(5, vec![])], 0));
    site.tick();
    let beside = |a: &&Action| matches!(a, Action::Start { worker, task, .. } if task.job == JobKey::of_number(10) && host_of(worker) == n);
    assert!(site.started.values().any(|a| beside(&a)), "a run has just started beside it");
    assert_eq!(crash(&mut site, n), 0);
}
