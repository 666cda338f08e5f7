//! What the failure of a gang counts for: its attempts, not its members.

use std::collections::BTreeSet;
use std::sync::Arc;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, JobSpec, JobStatus, Listing, Outcome, ReportedEnd, StepSpec, TaskId,
};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, small_step};

const ATTEMPTS: u32 = 3;
const MEMBERS: u32 = 8;

/// Time between two events, in milliseconds.
const TICK_MS: u64 = 50;
/// Events within which all that is asked here has happened.
const TICKS: u64 = 40;

fn gang(members: u32, max_per_worker: u32) -> JobSpec {
    let step = StepSpec { gang: true, max_per_worker, ..small_step(members) };
    JobSpec { max_attempts: ATTEMPTS, ..job(vec![step], 0) }
}

/// Which members fail.
type Fails = fn(worker: &WorkerId, task: &TaskId) -> bool;

/// Workers that fail what they start, or the whole gang breaks.
struct Play {
    world: HostWorld,
    /// Number of the last end of each worker.
    last_end: Vec<u64>,
    /// Attempts that began.
    attempts: BTreeSet<u32>,
    /// Workers of each attempt.
    used: Vec<(u32, WorkerId)>,
}

impl Play {
    fn new(workers: usize) -> Play {
        let world = HostWorld::new(workers);
        Play { world, last_end: vec![0; workers], attempts: BTreeSet::new(), used: Vec::new() }
    }

    /// Plays on; each attempt in which a member fails breaks the others.
    fn run(&mut self, fails: Fails) {
        for n in 0..TICKS {
            self.world.at((n + 1) * TICK_MS);
            let actions = self.world.tick();
            let starts: Vec<(WorkerId, TaskId, u32)> = actions.iter().filter_map(start_of).collect();
            for (id, task, attempt) in &starts {
                self.world.taken(id, *task, *attempt);
                self.attempts.insert(*attempt);
                self.used.push((*attempt, id.clone()));
            }
            if starts.iter().any(|(id, task, _)| fails(id, task)) {
                self.end(&starts, fails);
            }
        }
    }

    fn end(&mut self, starts: &[(WorkerId, TaskId, u32)], fails: Fails) {
        for n in 0..self.last_end.len() {
            let id = worker(n, 0).id;
            let mut ended = Vec::new();
            for (_, task, attempt) in starts.iter().filter(|(on, ..)| *on == id) {
                self.last_end[n] += 1;
                let kind = if fails(&id, task) { EndKind::Failed } else { EndKind::Broken };
                let checkpoint = String::new();
                let sequence_number = self.last_end[n];
                ended.push(ReportedEnd { sequence_number, task: *task, attempt: *attempt, kind, checkpoint });
            }
            if !ended.is_empty() {
                self.world.answers(&id, Listing { ended, ..Listing::default() });
            }
        }
    }

    fn status(&self) -> Option<JobStatus> {
        self.world.sched.jobs.status(&JobKey::of_number(1))
    }
}

fn start_of(action: &Action) -> Option<(WorkerId, TaskId, u32)> {
    match action {
        Action::Start { worker, task, attempt, .. } => Some((worker.clone(), *task, *attempt)),
        _ => None,
    }
}

fn submitted(workers: usize, spec: JobSpec) -> Play {
    let mut play = Play::new(workers);
    play.world.at(10);
    play.world.sched.handle(Event::Submitted(1, Arc::new(spec)));
    play
}

/// The worker that fails all that it starts.
fn is_faulty(id: &WorkerId) -> bool {
    *id == worker(0, 0).id
}

/// Whatever number of members fail at once on one faulty worker, the next attempt leaves it out and goes on.
#[test]
fn one_faulty_worker() {
    for max_per_worker in [0, 3, 1] {
        let mut play = submitted(12, gang(MEMBERS, max_per_worker));
        play.run(|id, _| is_faulty(id));
        assert!(play.status().is_some_and(|s| !matches!(s, JobStatus::Ended(_))), "{:?}", play.status());
        let first = play.used.iter().any(|(attempt, id)| *attempt == 1 && is_faulty(id));
        assert!(first, "the faulty worker is used first: {:?}", play.used);
        let again = play.used.iter().filter(|(attempt, id)| *attempt > 1 && is_faulty(id)).count();
        assert_eq!((play.attempts.len(), again), (2, 0), "{:?}", play.used);
    }
}

/// A gang that fails everywhere has all of its attempts, and no more.
#[test]
fn all_workers_fail() {
    for members in [1, 2, 3, MEMBERS] {
        for max_per_worker in [0, 1] {
            let mut play = submitted(12, gang(members, max_per_worker));
            play.run(|_, _| true);
            assert_eq!(play.status(), Some(JobStatus::Ended(Outcome::Failed)));
            assert_eq!(play.attempts, BTreeSet::from([1, 2, 3]), "{members} members");
        }
    }
}

/// One member that always fails uses up the attempts as all of them do.
#[test]
fn one_member_fails() {
    let mut play = submitted(12, gang(MEMBERS, 1));
    play.run(|_, task| task.index == 5);
    assert_eq!(play.status(), Some(JobStatus::Ended(Outcome::Failed)));
    assert_eq!(play.attempts, BTreeSet::from([1, 2, 3]));
}

/// Members that fail on several workers in one attempt are one fault, that of the worker that failed first.
#[test]
fn one_fault_an_attempt() {
    let mut play = submitted(12, gang(2, 1));
    play.world.at(20);
    let starts: Vec<_> = play.world.tick().iter().filter_map(start_of).collect();
    assert_eq!(starts.len(), 2, "{starts:?}");
    for (id, task, attempt) in &starts {
        play.world.taken(id, *task, *attempt);
    }
    play.end(&starts, |_, _| true);
    play.world.at(30);
    play.world.sched.handle(Event::Submitted(2, Arc::new(job(vec![small_step(1)], 0))));
    let starts = play.world.tick();
    let of_other = |(_, task, _): &(WorkerId, TaskId, u32)| task.job == JobKey::of_number(2);
    let other = starts.iter().filter_map(start_of).find(of_other).expect("a start");
    assert!(!is_faulty(&other.0), "a worker with a fault is used last: {starts:?}");
}
