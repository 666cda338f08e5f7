//! Workers that crash by themselves: sound work is not given up for that, and a job that is
//! ended by our own decision keeps its availability budget.
//!
//! What users saw: on days on which a fifth of the workers crash every 2.5 s a session of four
//! lasting tasks was shown as failed, and those of its tasks that served users were stopped at
//! once. One of them had run for 12.1 s, 1.6 s, 3.2 s and 0.9 s on workers that crashed; at the
//! fourth it was given up.
//!
//! The cause: crashes were counted whatever their number among all workers was and however long the
//! task had run; and ending a job stopped all that ran of it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, JobSpec, JobStatus, Listing, Outcome, ReportedEnd, ReportedRun, StepSpec,
    TaskId, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, host, listed, worker};
use workswood_test_support::job_world::{ATTEMPTS, SERVICE, job, step};

const HOSTS: usize = 12;

fn task(index: u32) -> TaskId {
    TaskId { job: JobKey::of_number(1), round: 0, step: 0, index }
}

/// A step of lasting tasks on hosts of their own, of which one may be away.
fn lasting(count: u32) -> StepSpec {
    StepSpec { long_running: true, max_unavailable: 1, max_per_worker: 1, ..step(count, vec![]) }
}

/// Hosts, and what runs on which of them.
struct Site {
    world: HostWorld,
    lives: Vec<usize>,
    runs: BTreeMap<TaskId, (usize, Action)>,
    ms: u64,
}

impl Site {
    fn new(spec: JobSpec) -> Site {
        let mut site =
            Site { world: HostWorld::new(HOSTS), lives: vec![0; HOSTS], runs: BTreeMap::new(), ms: 100 };
        site.world.at(100);
        site.list();
        site.world.sched.handle(Event::Submitted(1, Arc::new(spec)));
        site.go_on(500);
        site
    }

    fn list(&mut self) {
        let hosts = self.lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life)));
        self.world.list(hosts.collect());
    }

    /// Plays for some time; the workers take what they are told to start, and list it.
    fn go_on(&mut self, ms: u64) {
        let end = self.ms + ms;
        while self.ms < end {
            self.ms += 100;
            self.world.at(self.ms);
            for n in 0..HOSTS {
                let here = self.runs.values().filter(|(on, _)| *on == n).map(|(_, a)| a.clone());
                let here: Vec<Action> = here.collect();
                self.world.report(n, self.lives[n], &here);
            }
            let actions = self.world.tick();
            self.take(&actions);
        }
    }

    fn take(&mut self, actions: &[Action]) {
        for a in actions {
            match a {
                Action::Start { worker, task, attempt, .. } => {
                    let n = worker.split('-').nth(1).and_then(|n| n.parse().ok()).expect("a host");
                    self.world.taken(worker, *task, *attempt);
                    self.runs.insert(*task, (n, a.clone()));
                }
                Action::Stop(_, task, _) => {
                    self.runs.remove(task);
                }
                _ => {}
            }
        }
    }

    /// A worker crashes, and its host comes back with another one.
    fn crash(&mut self, n: usize) {
        self.runs.retain(|_, (on, _)| *on != n);
        let (id, now) = (worker(n, self.lives[n]).id, self.world.sched.now);
        let lease_end = now + Duration::from_secs(5);
        self.world.tells(&id, WorkerUpdate::Unanswered { lease_end, heard: now });
        self.lives[n] += 1;
        self.ms += 100;
        self.world.at(self.ms);
        self.list();
        self.world.sched.handle(Event::WorkerListed(worker(n, self.lives[n])));
        self.go_on(100);
    }

    fn host_of(&self, index: u32) -> Option<usize> {
        self.runs.get(&task(index)).map(|(n, _)| *n)
    }

    /// A host on which nothing runs, another one each time.
    fn idle_host(&self, turn: usize) -> usize {
        let busy = |n: &usize| self.runs.values().any(|(on, _)| on == n);
        (turn..turn + HOSTS).map(|n| n % HOSTS).find(|n| !busy(n)).expect("most are idle")
    }

    /// What a worker lists.
    fn listed_on(&self, n: usize) -> Vec<ReportedRun> {
        self.runs.values().filter(|(on, _)| *on == n).filter_map(|(_, a)| listed(a)).collect()
    }

    fn stops(&self) -> usize {
        self.world.actions.iter().filter(|a| matches!(a, Action::Stop(..))).count()
    }
}

#[test]
fn sound_session_is_kept() {
    let mut site = Site::new(job(vec![lasting(4)], 0));
    for second in 0..20 {
        let under_task = matches!(second, 12 | 14 | 17 | 18);
        let own = site.host_of(0).filter(|_| under_task);
        let n = own.unwrap_or_else(|| site.idle_host(second));
        site.crash(n);
        site.go_on(800);
    }
    assert_eq!(site.world.sched.counters.incarnations_lost, 4);
    assert_eq!(site.world.sched.counters.tasks_given_up, 0);
    assert_eq!(site.stops(), 0);
    assert_eq!(site.runs.len(), 4, "it is whole again");
    assert_eq!(site.world.sched.jobs.status(&JobKey::of_number(1)), Some(JobStatus::Running));
}

/// Short tasks, lost again and again while workers crash: none of them waits for a trial.
#[test]
fn chance_keeps_nobody_waiting() {
    let mut site = Site::new(job(vec![step(30, vec![])], 0));
    (0..12).for_each(|second| {
        let n = site.idle_host(second);
        site.crash(n);
        site.go_on(300);
    });
    let suspected = |site: &Site| {
        let tasks = site.world.sched.jobs[&JobKey::of_number(1)].rounds.iter().flatten().flatten();
        tasks.filter(|t| t.suspicion.is_some()).count()
    };
    for second in 0..4 {
        let n = site.host_of(second * 7).expect("it runs");
        site.crash(n);
        assert_eq!(suspected(&site), 0, "after {second}");
        site.go_on(300);
    }
}

#[test]
fn session_goes_on_without_its_crashing_task() {
    let mut site = Site::new(job(vec![lasting(4)], 0));
    let mut crashes = 0;
    while let Some(n) = site.host_of(0) {
        crashes += 1;
        assert!(crashes <= 3, "it is started without end");
        site.crash(n);
    }
    assert_eq!(site.world.sched.counters.tasks_given_up, 1);
    site.go_on(5000);
    assert_eq!((site.stops(), site.runs.len()), (0, 3), "its siblings serve on, and it isn't started");
    assert_eq!(site.world.sched.jobs.status(&JobKey::of_number(1)), Some(JobStatus::Running));
    let record = site.world.sched.jobs[&JobKey::of_number(1)].record();
    let stored = workswood::ops::jobs::job_state::encode(&record);
    let read = workswood::ops::jobs::job_state::decode(&stored).expect("it is read back");
    assert!(read.rounds[0][0][0].given_up, "the next holder doesn't start it either");
    site.world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    site.go_on(200);
    assert_eq!(site.stops(), 3);
}

/// Three lasting tasks beside one that fails too often: the job fails, and what serves users
/// ends within the budget, the rest only when the caller cancels the job.
#[test]
fn failed_job_keeps_its_budget() {
    let mut site = Site::new(job(vec![lasting(3), step(1, vec![])], 0));
    let failing = TaskId { step: 1, ..task(0) };
    for number in 1..=u64::from(ATTEMPTS) {
        site.go_on(3000);
        let (n, start) = site.runs.remove(&failing).expect("it is started again");
        let Action::Start { attempt, .. } = start else { panic!("a start") };
        let end = ReportedEnd {
            sequence_number: number,
            task: failing,
            attempt,
            kind: EndKind::Failed,
            checkpoint: String::new(),
        };
        let id = worker(n, site.lives[n]).id;
        let running = site.listed_on(n);
        site.world.answers(&id, Listing { running, ended: vec![end], ..Listing::default() });
    }
    site.go_on(3000);
    assert_eq!(site.world.sched.jobs.status(&JobKey::of_number(1)), Some(JobStatus::Ended(Outcome::Failed)));
    assert_eq!((site.stops(), site.runs.len()), (1, 2));
    site.world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    site.go_on(500);
    assert_eq!((site.stops(), site.runs.len()), (3, 0));
}
