//! Jobs of many steps, rounds or tasks, and what one event of theirs costs.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::queue_order::{critical_path, critical_path_from, round_work};
use workswood_core::jobs::spec::{MAX_STEPS, Repeat};
use workswood_core::jobs::{Event, JobSpec, StepSpec};
use workswood_test_support::host_world::{HostWorld, WorkerRuns};
use workswood_test_support::job_world::{job, small_step};

/// Steps that each step of a job depends on.
const BEFORE: u16 = 45;
/// Completions that a test plays.
const COMPLETIONS: u64 = 60;

/// A job each of whose steps depends on so many before it.
fn many_steps(count: usize, before: u16) -> JobSpec {
    let step = |n: usize| {
        let n = n as u16;
        StepSpec { depends_on: (n.saturating_sub(before)..n).collect(), ..small_step(1) }
    };
    job((0..count).map(step).collect(), 0)
}

/// A scheduler that runs one job, whose tasks all end as soon as they start.
struct Runner {
    world: HostWorld,
    runs: WorkerRuns,
}

impl Runner {
    fn new(spec: JobSpec) -> Runner {
        let mut world = HostWorld::new(1);
        world.at(1000);
        world.sched.handle(Event::Submitted(1, Arc::new(spec)));
        let mut runner = Runner { world, runs: WorkerRuns::default() };
        runner.start();
        runner
    }

    fn start(&mut self) {
        let actions = self.world.tick();
        self.runs.start(&mut self.world, actions);
    }

    /// Completes the task that was started first.
    fn complete_one(&mut self) {
        let (task, attempt) = self.runs.first().expect("a task runs");
        self.runs.complete(&mut self.world, task, attempt);
        self.start();
    }
}

/// Guards against work for one job that grows with a power of its steps.
#[test]
fn each_step_visited_once() {
    for before in [BEFORE, MAX_STEPS as u16] {
        let spec = many_steps(MAX_STEPS, before);
        let visits = Cell::new(0);
        let duration = |_: usize| {
            visits.set(visits.get() + 1);
            Duration::from_millis(10)
        };
        assert_eq!(critical_path(&spec, &duration), Duration::from_millis(10) * MAX_STEPS as u32);
        assert_eq!(visits.replace(0), MAX_STEPS);
        assert_eq!(critical_path_from(&spec, MAX_STEPS - 1, &duration), Duration::from_millis(10));
        assert_eq!(visits.replace(0), MAX_STEPS);
        assert_eq!(round_work(&spec, &duration), MAX_STEPS as u64);
        assert_eq!(visits.get(), MAX_STEPS);
    }
}

/// The end of a task queues only the steps whose turn has come, and computes the paths once.
#[test]
fn end_of_one_task() {
    for before in [1, BEFORE, MAX_STEPS as u16] {
        let mut runner = Runner::new(many_steps(MAX_STEPS, before));
        (0..COMPLETIONS).for_each(|_| runner.complete_one());
        let counters = runner.world.sched.counters;
        assert_eq!(counters.steps_queued, COMPLETIONS + 1);
        assert_eq!(counters.paths_computed, COMPLETIONS + 1);
    }
}

/// The same for steps that all wait at once, and for rounds that are all due.
#[test]
fn many_wait_at_once() {
    let repeat = Repeat { count: 1000, first_due_at: 0, interval: Duration::from_millis(1) };
    let rounds = JobSpec { repeat: Some(repeat), ..job(vec![small_step(1)], 0) };
    for spec in [many_steps(MAX_STEPS, 0), rounds] {
        let mut runner = Runner::new(spec);
        let queued = runner.world.sched.counters.steps_queued;
        assert_eq!(queued, 1000);
        (0..COMPLETIONS).for_each(|_| runner.complete_one());
        assert_eq!(runner.world.sched.counters.steps_queued, queued, "nothing waits that did not before");
    }
}
