//! Late tasks of steps that allow copies get a second run; the run that ends first counts.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{
    Action, EndKind, Event, JobKey, JobSpec, JobStatus, Listing, Outcome, ReportedEnd, StepSpec, TaskId,
    WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{job, step};

/// Tasks of the step, one a worker.
const TASKS: u32 = 4;

/// A start of a task: on which worker, with its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Started {
    worker: usize,
    task: TaskId,
    attempt: u32,
}

fn starts(actions: &[Action]) -> Vec<Started> {
    let of = |a: &Action| match a {
        Action::Start { worker, task, attempt, .. } => {
            Some(Started { worker: worker.split('-').nth(1)?.parse().ok()?, task: *task, attempt: *attempt })
        }
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Workers, and a step of tasks that each fill one of them and have been running since 100 ms.
struct Scene {
    world: HostWorld,
    running: Vec<Started>,
    /// The order to start the last task.
    last_order: Vec<Action>,
    /// Sequence number of the last end on each worker.
    ends: Vec<u64>,
}

impl Scene {
    fn new(workers: usize, step: StepSpec) -> Scene {
        Scene::with(workers, job(vec![step], 100))
    }

    fn with(workers: usize, spec: JobSpec) -> Scene {
        let mut world = HostWorld::new(workers);
        world.sched.policy.second_runs.enabled = true;
        world.at(100);
        let (running, last_order) = (Vec::new(), Vec::new());
        let mut scene = Scene { world, running, last_order, ends: vec![0; workers] };
        scene.running = scene.submit(1, spec);
        let last = scene.last().task;
        let orders = scene.world.actions.iter();
        let of_last = orders.filter(|a| matches!(a, Action::Start { task, .. } if *task == last));
        scene.last_order = of_last.cloned().collect();
        assert_eq!(scene.running.len(), TASKS as usize);
        scene
    }

    /// Submits a job; its starts are accepted.
    fn submit(&mut self, key: u64, spec: JobSpec) -> Vec<Started> {
        self.world.sched.handle(Event::Submitted(key, Arc::new(spec)));
        let started = starts(&self.world.tick());
        started.iter().for_each(|s| self.world.taken(&worker(s.worker, 0).id, s.task, s.attempt));
        started
    }

    /// A run ends, as its worker reports.
    fn end(&mut self, s: Started, kind: EndKind) -> Vec<Action> {
        self.ends[s.worker] += 1;
        let end = ReportedEnd {
            sequence_number: self.ends[s.worker],
            task: s.task,
            attempt: s.attempt,
            kind,
            checkpoint: String::new(),
        };
        self.world.answers(&worker(s.worker, 0).id, Listing { ended: vec![end], ..Listing::default() });
        self.world.tick()
    }

    /// All tasks but the last are done at a time.
    fn finish_others(&mut self, ms: u64) {
        self.world.at(ms);
        for s in self.running.clone().into_iter().take(TASKS as usize - 1) {
            assert_eq!(starts(&self.end(s, EndKind::Done)), []);
        }
    }

    /// The worker of the last task reports that it still runs.
    fn last_still_runs(&mut self) {
        let order = self.last_order.clone();
        self.world.report(self.last().worker, 0, &order);
    }

    fn last(&self) -> Started {
        self.running[TASKS as usize - 1]
    }

    fn status(&self) -> JobStatus {
        self.world.sched.jobs.status(&JobKey::of_number(1)).expect("the job is known")
    }
}

/// A step whose tasks fill a worker each and may have copies.
fn copied() -> StepSpec {
    let mut s = StepSpec { speculative: true, ..step(TASKS, vec![]) };
    s.resources.cpu_millis = 4000;
    s
}

#[test]
fn slow_run() {
    let mut scene = Scene::new(5, copied());
    scene.finish_others(600);
    scene.world.at(1300);
    scene.last_still_runs();
    assert_eq!(starts(&scene.world.tick()), [], "it has taken 2.4 times what its siblings took");
    scene.world.at(1500);
    scene.last_still_runs();
    let second = starts(&scene.world.tick());
    assert_eq!(second.len(), 1, "{second:?}");
    assert_eq!((second[0].task, second[0].attempt), (scene.last().task, 2));
    assert_ne!(second[0].worker, scene.last().worker);
    scene.world.taken(&worker(second[0].worker, 0).id, second[0].task, 2);
    scene.world.at(1900);
    let after = scene.end(second[0], EndKind::Done);
    let slow = worker(scene.last().worker, 0).id;
    assert!(after.contains(&Action::Stop(slow, scene.last().task, 1)), "{after:?}");
    assert_eq!(scene.status(), JobStatus::Ended(Outcome::Completed));
    assert_eq!(scene.world.sched.counters.second_runs_first, 1);
}

#[test]
fn first_run_ends_first() {
    let mut scene = Scene::new(6, copied());
    let lasting = scene.submit(2, job(vec![StepSpec { long_running: true, ..step(1, vec![]) }], 100));
    assert_eq!(lasting.len(), 1);
    scene.finish_others(600);
    scene.world.at(1500);
    scene.last_still_runs();
    let second = starts(&scene.world.tick());
    scene.world.taken(&worker(second[0].worker, 0).id, second[0].task, 2);
    scene.world.at(1600);
    let after = scene.end(scene.last(), EndKind::Done);
    assert!(after.contains(&Action::Stop(worker(second[0].worker, 0).id, second[0].task, 2)), "{after:?}");
    assert_eq!(scene.status(), JobStatus::Ended(Outcome::Completed));
    assert_eq!(scene.world.sched.counters.second_runs_first, 0);
}

/// A copy that fails after the first run has completed its task does not fail the job.
#[test]
fn copy_fails_late() {
    let spec = JobSpec { max_attempts: 1, ..job(vec![copied(), step(1, vec![0])], 100) };
    let mut scene = Scene::with(5, spec);
    scene.finish_others(600);
    scene.world.at(1500);
    scene.last_still_runs();
    let second = starts(&scene.world.tick());
    scene.world.taken(&worker(second[0].worker, 0).id, second[0].task, 2);
    scene.world.at(1600);
    assert_eq!(starts(&scene.end(scene.last(), EndKind::Done)).len(), 1, "the second step begins");
    scene.end(second[0], EndKind::Failed);
    assert_eq!(scene.status(), JobStatus::Running);
}

/// A task that fails by itself gets no copies, which would use up its attempts.
#[test]
fn failed_copy_is_the_last() {
    let mut scene = Scene::new(6, copied());
    scene.finish_others(600);
    scene.world.at(1500);
    scene.last_still_runs();
    let second = starts(&scene.world.tick());
    scene.world.taken(&worker(second[0].worker, 0).id, second[0].task, 2);
    scene.world.at(1700);
    assert_eq!(starts(&scene.end(second[0], EndKind::Failed)), []);
    scene.world.at(2500);
    scene.last_still_runs();
    assert_eq!(starts(&scene.world.tick()), []);
    assert_eq!(scene.status(), JobStatus::Running, "its first run goes on");
}

#[test]
fn mute_worker() {
    let mut scene = Scene::new(5, copied());
    scene.finish_others(600);
    let mute = worker(scene.last().worker, 0).id;
    let lease_end = Duration::from_secs(6);
    scene.world.tells(&mute, WorkerUpdate::Unanswered { lease_end, heard: Duration::from_millis(500) });
    scene.world.at(850);
    let second = starts(&scene.world.tick());
    assert_eq!(second.first().map(|s| s.task), Some(scene.last().task), "its lease ends seconds later");
}

#[test]
fn waiting_work_first() {
    let mut scene = Scene::new(
        4,
        StepSpec { max_per_worker: 1, ..StepSpec { speculative: true, ..step(TASKS, vec![]) } },
    );
    scene.finish_others(600);
    // Every worker has a core left, which the copy would fit into, but a larger task waits for room.
    let mut large = step(5, vec![]);
    large.resources.cpu_millis = 3000;
    assert_eq!(scene.submit(2, job(vec![large], 600)).len(), 4);
    scene.world.at(1500);
    assert_eq!(starts(&scene.world.tick()), []);
    assert_eq!(scene.world.sched.counters.second_runs, 0);
}

#[test]
fn without_leave() {
    let mut scene = Scene::new(5, StepSpec { speculative: false, ..copied() });
    scene.finish_others(600);
    scene.world.at(3000);
    assert_eq!(starts(&scene.world.tick()), [], "a task that may not run twice");
}

#[test]
fn switched_off() {
    let mut scene = Scene::new(5, copied());
    scene.world.sched.policy.second_runs.enabled = false;
    scene.finish_others(600);
    scene.world.at(1500);
    assert_eq!(starts(&scene.world.tick()), []);
}
