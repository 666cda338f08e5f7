//! Measures how long one event keeps the scheduler, for jobs of many steps, rounds or tasks and for many jobs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::{MAX_STEPS, MAX_TASKS, MAX_TASKS_PER_ROUND, Repeat, Resources};
use workswood_core::jobs::{
    Action, Batch, EndKind, Event, JobSpec, Listing, Record, ReportedEnd, ReportedRun, RunTracker, Scheduler,
    StartReply, StepSpec, TaskId, WorkerUpdate,
};

use super::scheduler::{self, config, host, limits, worker_info};
use crate::ops::jobs::job_state;

/// Completions that are played for each kind of job.
const COMPLETIONS: usize = 40;
/// Jobs that wait at once.
const MANY_JOBS: u64 = 8_000;
/// Steps that each step of a job depends on, where these are not all earlier ones.
const BEFORE: usize = 45;

/// Longest times in milliseconds.
#[derive(Default)]
struct Longest {
    /// To take in a submission.
    submit: f64,
    /// To take in the end of a task.
    end: f64,
    /// To place tasks and collect what changed.
    batch: f64,
    /// To encode what changed.
    encode: f64,
}

/// A scheduler with one worker that tells of one end at a time.
struct Runner {
    scheduler: Scheduler,
    worker: WorkerId,
    tracker: RunTracker,
    running: Vec<(TaskId, u32)>,
    ended: u64,
    longest: Longest,
}

/// Prints the longest times of each step of work, by kind of job.
pub fn run() {
    crate::outln!("kind submit_ms end_ms batch_ms encode_ms");
    let repeated = |count: u32| {
        let repeat = Repeat { count, first_due_at: 0, interval: Duration::from_millis(1) };
        JobSpec { repeat: Some(repeat), ..job(vec![step(1, vec![])]) }
    };
    let kinds: [(&str, u64, JobSpec); 7] = [
        ("chain", 1, chained(1)),
        ("steps_after_45", 1, chained(BEFORE)),
        ("steps_after_all", 1, chained(MAX_STEPS)),
        ("rounds_1000", 1, repeated(1000)),
        ("rounds_20000", 1, repeated(MAX_TASKS as u32)),
        ("tasks_10000", 1, job(vec![step(MAX_TASKS_PER_ROUND as u32, vec![])])),
        ("jobs_8000", MANY_JOBS, job(vec![step(1, vec![])])),
    ];
    for (name, count, spec) in kinds {
        let mut runner = Runner::new();
        runner.play(count, &Arc::new(spec));
        let Longest { submit, end, batch, encode } = runner.longest;
        crate::outln!("{name} {submit:.2} {end:.2} {batch:.2} {encode:.2}");
    }
}

fn step(count: u32, depends_on: Vec<u16>) -> StepSpec {
    let resources = Resources { cpu_millis: 1000, mem_mb: 10, gpus: 0 };
    StepSpec { count, resources, depends_on, estimate: Duration::from_millis(500), ..StepSpec::default() }
}

fn job(steps: Vec<StepSpec>) -> JobSpec {
    scheduler::job(steps, 0)
}

/// A job of the most steps, each of which depends on so many before it.
fn chained(before: usize) -> JobSpec {
    let after = |n: usize| (n.saturating_sub(before)..n).map(|n| n as u16).collect();
    job((0..MAX_STEPS).map(|n| step(1, after(n))).collect())
}

/// Runs something; returns its result and keeps its time in milliseconds if it is the longest.
fn timed<T>(longest: &mut f64, f: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let value = f();
    *longest = longest.max(started.elapsed().as_secs_f64() * 1e3);
    value
}

impl Runner {
    fn new() -> Runner {
        let mut scheduler = Scheduler::new(1, limits(), Duration::ZERO, 0);
        scheduler.handle(Event::ConfigChanged(Arc::new(config())));
        let info = worker_info(&host(0)).expect("the first host has a worker");
        let worker = info.id.clone();
        scheduler.handle(Event::WorkerListed(info));
        scheduler.assign_relays();
        (scheduler.now, scheduler.wall) = (Duration::from_secs(30), 30_000);
        let mut runner = Runner {
            scheduler,
            worker,
            tracker: RunTracker::default(),
            running: Vec::new(),
            ended: 0,
            longest: Longest::default(),
        };
        runner.report(Vec::new());
        runner
    }

    fn play(&mut self, count: u64, spec: &Arc<JobSpec>) {
        for key in 1..=count {
            timed(&mut self.longest.submit, || self.scheduler.handle(Event::Submitted(key, spec.clone())));
        }
        self.take_batch();
        for _ in 0..COMPLETIONS {
            self.complete_one();
            self.take_batch();
        }
    }

    fn take_batch(&mut self) {
        let batch = timed(&mut self.longest.batch, || self.scheduler.take_batch());
        timed(&mut self.longest.encode, || encode(&batch));
        for action in batch.actions {
            let Action::Start { task, attempt, .. } = action else { continue };
            let (reply, now) = (StartReply::Taken, self.scheduler.now);
            self.tracker.start_answered(task, attempt, reply, now);
            self.update(WorkerUpdate::Started(task, attempt, reply));
            self.running.push((task, attempt));
        }
    }

    fn complete_one(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let (task, attempt) = self.running.remove(0);
        self.ended += 1;
        let (sequence_number, kind) = (self.ended, EndKind::Done);
        self.report(vec![ReportedEnd { sequence_number, task, attempt, kind, checkpoint: String::new() }]);
    }

    fn report(&mut self, ended: Vec<ReportedEnd>) {
        let listed = |(task, attempt): &(TaskId, u32)| ReportedRun {
            task: *task,
            attempt: *attempt,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
            stalled_for: Duration::ZERO,
        };
        let running = self.running.iter().map(listed).collect();
        let now = self.scheduler.now;
        let report = self.tracker.diff_listing(Listing { running, ended, ..Listing::default() }, now, now);
        let mut longest = self.longest.end;
        timed(&mut longest, || self.update(WorkerUpdate::Reported(report)));
        self.longest.end = longest;
    }

    fn update(&mut self, update: WorkerUpdate) {
        let token = self.scheduler.token_of(&self.worker).unwrap_or(0);
        self.scheduler.handle(Event::WorkerUpdate(self.worker.clone(), token, update));
    }
}

fn encode(batch: &Batch) -> usize {
    let jobs = batch.records.iter().filter_map(|rec| match rec {
        Record::Job(_, state) => Some(job_state::encode(state).len()),
        _ => None,
    });
    jobs.sum()
}
