//! The state of one job, and its stored form.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::crash::{Crashes, Suspicion};
use super::spec::{JobKey, JobSpec, QueueId, Resources, StepId, StepSpec, TaskId};
use super::workspace::Owner;

pub use super::worker_id::WorkerId;
use crate::ids::{ServiceId, UnixMs};

/// Pace of a task that nothing holds back, in percent.
pub const FULL_PACE_PERCENT: u32 = 100;

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has begun.
    Queued,
    /// Some task has begun.
    Running,
    /// It ended as told by the outcome.
    Ended(Outcome),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled it.
    Canceled,
}

/// How far a run has come, as far as we know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// On record or about to be; the worker has not answered the start.
    Starting,
    /// Known from a predecessor's records; the worker has not been asked yet.
    Inherited,
    /// The worker runs it.
    Running,
    /// The worker has been told to stop it, or is about to be.
    Stopping,
    /// The worker has taken the stop; its next report settles the run.
    Stopped,
}

/// One try of a task on one worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Where.
    pub worker: WorkerId,
    /// Number of the try; rises from 1 over the life of the task.
    pub attempt: u32,
    /// How far it has come.
    pub phase: Phase,
    /// When `phase` last changed.
    pub phase_since: Duration,
    /// When this lease holder decided to start it; `None` if an earlier one did.
    pub placed_at: Option<Duration>,
    /// When it was first known to be there: its worker took the start, or listed it.
    pub confirmed_at: Option<Duration>,
    /// Latest share of the work done, in percent.
    pub progress_percent: u32,
    /// When `percent` last rose, as far as it was told.
    pub progressed_at: Duration,
    /// Since when it stands still, if it does.
    pub stalled_since: Option<Duration>,
    /// Rough figure of the worker: slow answers in ms, or processor use.
    pub load_metric: u64,
    /// Pace that we asked for, in percent.
    pub pace_percent: u32,
    /// Whether our own order ends it, or one of a predecessor, for the
    /// availability budget.
    pub evicted: bool,
    /// How long nothing else begins beside it, if it is a trial of a suspected task.
    pub trial_quarantine: Option<Duration>,
}

impl Run {
    /// A run that is about to be started.
    pub fn new(worker: WorkerId, attempt: u32, phase: Phase, now: Duration) -> Run {
        Run {
            worker,
            attempt,
            phase,
            phase_since: now,
            placed_at: None,
            confirmed_at: None,
            progress_percent: 0,
            progressed_at: now,
            stalled_since: None,
            load_metric: 0,
            pace_percent: FULL_PACE_PERCENT,
            evicted: false,
            trial_quarantine: None,
        }
    }

    /// How long it was known to be there when its worker was last heard; `None` if that
    /// was never known.
    pub fn known_runtime(&self, heard: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| heard.saturating_sub(at))
    }

    /// Changes the phase.
    pub fn set_phase(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Whether a lasting task was past its warm-up when its worker was last heard.
    pub fn is_warmed_up(&self) -> bool {
        self.phase == Phase::Running && self.progress_percent >= 100
    }
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// Numbers of its runs that failed. An end may be listed again after a
    /// change of the lease holder, and must count once.
    pub failed_attempts: BTreeSet<u32>,
    /// Workers that have crashed under it.
    pub crashes: Crashes,
    /// Whether it is never started again, since it crashes its workers; its job goes on.
    pub given_up: bool,
    /// Why it is started as a trial only, if it is.
    pub suspicion: Option<Suspicion>,
    /// Number of its latest run.
    pub latest_attempt: u32,
    /// Latest checkpoint; empty for none.
    pub checkpoint: String,
    /// Runs that may exist.
    pub runs: Vec<Run>,
    /// Worker of the latest failed or stuck run, to be avoided.
    pub avoid_worker: Option<WorkerId>,
}

impl Task {
    /// Whether it is to be started, as far as only itself is concerned.
    pub fn is_idle(&self) -> bool {
        !self.done && !self.given_up && self.runs.is_empty()
    }
}

/// One round of a job: its steps and their tasks.
pub type Round = Vec<Vec<Task>>;

/// A job and all that is known of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its number.
    pub key: JobKey,
    /// What was asked for.
    pub spec: Arc<JobSpec>,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// How it ended.
    pub outcome: Option<Outcome>,
    /// When it ended, on the scheduler's clock.
    pub ended_at: Duration,
    /// Whether any task has begun.
    pub started: bool,
    /// Whether it came beyond what its workspace may count on.
    pub over_rate: bool,
    /// Most processor room, in thousandths of a core, that its workspace may have at work; 0 for no limit.
    pub max_cpu_millis: u64,
    /// First worker that a task of it failed on.
    pub blamed_worker: Option<WorkerId>,
    /// Rounds that are due, by number.
    pub rounds: Vec<Round>,
    /// What was last told of it.
    pub(super) published_status: Option<JobStatus>,
}

impl Job {
    /// A job that was just handed in.
    pub fn new(key: JobKey, spec: Arc<JobSpec>) -> Job {
        Job {
            key,
            spec,
            cancelled: false,
            outcome: None,
            ended_at: Duration::ZERO,
            started: false,
            over_rate: false,
            max_cpu_millis: 0,
            blamed_worker: None,
            rounds: Vec::new(),
            published_status: None,
        }
    }

    /// Adds the next round.
    pub fn open_round(&mut self) {
        let steps = self.spec.steps.iter();
        self.rounds.push(steps.map(|s| vec![Task::default(); s.count as usize]).collect());
    }

    /// The spec of a task's step.
    pub fn step(&self, id: &TaskId) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(id.step))
    }

    /// A task.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let step = self.rounds.get(id.round as usize)?.get(usize::from(id.step))?;
        step.get(id.index as usize)
    }

    /// A task, to change.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.rounds.get_mut(id.round as usize)?.get_mut(usize::from(id.step))?;
        step.get_mut(id.index as usize)
    }

    /// Whether a step of a round has all its tasks done.
    pub fn is_step_done(&self, round: u32, step: u16) -> bool {
        let r = self.rounds.get(round as usize);
        r.and_then(|r| r.get(usize::from(step))).is_some_and(|tasks| tasks.iter().all(|t| t.done))
    }

    /// Whether a step may run: all that it waits for is done.
    pub fn is_step_ready(&self, round: u32, step: u16) -> bool {
        let after = self.spec.steps.get(usize::from(step)).map(|s| s.after.as_slice());
        after.is_some_and(|after| after.iter().all(|a| self.is_step_done(round, *a)))
    }

    /// How many tasks of a step, other than `id`, have no run that is at work
    /// by `at_work`.
    pub fn other_tasks_not_running(&self, id: &TaskId, at_work: impl Fn(&Run) -> bool) -> u32 {
        let step = self.rounds.get(id.round as usize).and_then(|r| r.get(usize::from(id.step)));
        let tasks = step.map(Vec::as_slice).unwrap_or_default().iter().enumerate();
        let others = tasks.filter(|(n, _)| *n != id.index as usize);
        others.filter(|(_, t)| !t.runs.iter().any(&at_work)).count() as u32
    }

    /// Whether no task of it is left but those that are done or given up.
    pub fn all_done_or_given_up(&self) -> bool {
        self.rounds.iter().flatten().flatten().all(|t| t.done || t.given_up)
    }

    /// Whether every task of every round is done.
    pub fn all_done(&self) -> bool {
        let opened = self.rounds.len() as u32 == self.spec.round_count();
        opened && self.rounds.iter().flatten().flatten().all(|t| t.done)
    }

    /// Whether nothing of it may run anywhere.
    pub fn has_no_runs(&self) -> bool {
        self.rounds.iter().flatten().flatten().all(|t| t.runs.is_empty())
    }

    /// Whether tasks may still be started.
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.outcome.is_none()
    }

    /// In how many waves a step runs, being wider than its workspace may run at once.
    pub fn sequential_batches(&self, step: &StepSpec) -> u32 {
        if self.max_cpu_millis == 0 {
            return 1;
        }
        let wide = u64::from(step.count).saturating_mul(step.resources.cpu_millis);
        u32::try_from(wide.div_ceil(self.max_cpu_millis)).unwrap_or(u32::MAX).clamp(1, step.count.max(1))
    }

    /// Names of all steps of opened rounds.
    pub fn step_ids(&self) -> impl Iterator<Item = StepId> {
        let steps = self.spec.steps.len() as u16;
        let rounds = 0..self.rounds.len() as u32;
        rounds.flat_map(move |round| (0..steps).map(move |step| StepId { job: self.key, round, step }))
    }

    /// Numbers of the tasks of a step that are to be started: they are neither done nor given
    /// up, and run nowhere.
    pub fn idle_tasks(&self, id: &StepId) -> Vec<u32> {
        let step = self.rounds.get(id.round as usize).and_then(|r| r.get(usize::from(id.step)));
        let tasks = step.map(Vec::as_slice).unwrap_or_default().iter().enumerate();
        let idle = tasks.filter(|(_, t)| t.is_idle());
        idle.map(|(index, _)| index as u32).collect()
    }

    /// Names of all tasks of opened rounds.
    pub fn task_ids(&self) -> Vec<TaskId> {
        let mut ids = Vec::new();
        for (round, steps) in self.rounds.iter().enumerate() {
            for (step, tasks) in steps.iter().enumerate() {
                for index in 0..tasks.len() {
                    let (round, step, index) = (round as u32, step as u16, index as u32);
                    ids.push(TaskId { job: self.key, round, step, index });
                }
            }
        }
        ids
    }

    /// What callers are told once the present state is on record.
    pub fn status(&self) -> JobStatus {
        match self.outcome {
            Some(o) => JobStatus::Ended(o),
            None if self.started => JobStatus::Running,
            None => JobStatus::Queued,
        }
    }

    /// The stored form.
    pub fn record(&self) -> JobRecord {
        let task = |t: &Task| TaskRecord {
            done: t.done,
            failed_attempts: t.failed_attempts.clone(),
            crashes: if t.done { Crashes::default() } else { t.crashes.clone() },
            given_up: t.given_up,
            latest_attempt: t.latest_attempt,
            checkpoint: t.checkpoint.clone(),
            runs: t.runs.iter().map(|r| (r.worker.clone(), r.attempt)).collect(),
            evicted_attempts: t.runs.iter().filter(|r| r.evicted).map(|r| r.attempt).collect(),
        };
        let step = |tasks: &Vec<Task>| tasks.iter().map(task).collect();
        JobRecord {
            cancelled: self.cancelled,
            outcome: self.outcome,
            started: self.started,
            rounds: self.rounds.iter().map(|r| r.iter().map(step).collect()).collect(),
            over: None,
        }
    }

    /// The job as a predecessor left it.
    pub fn restore(key: JobKey, spec: Arc<JobSpec>, rec: JobRecord, now: Duration) -> Job {
        let mut job = Job::new(key, spec);
        job.cancelled = rec.cancelled;
        job.outcome = rec.outcome;
        job.started = rec.started;
        job.ended_at = now;
        let step = |tasks: Vec<TaskRecord>| tasks.into_iter().map(|t| t.restore(now)).collect();
        job.rounds = rec.rounds.into_iter().map(|r| r.into_iter().map(step).collect()).collect();
        job
    }
}

/// The stored form of a job's state; its spec is stored apart, once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Whether the caller cancelled it.
    #[serde(default, rename = "x")]
    pub cancelled: bool,
    /// How it ended.
    #[serde(default, rename = "o")]
    pub outcome: Option<Outcome>,
    /// Whether any task has begun.
    #[serde(default, rename = "b")]
    pub started: bool,
    /// Tasks by round and step; none of a job that is over.
    #[serde(default, rename = "r")]
    pub rounds: Vec<Vec<Vec<TaskRecord>>>,
    /// What is kept of a job that is over. Then its spec is stored no longer.
    #[serde(skip)]
    pub over: Option<FinishedJobRecord>,
}

/// What is kept of a job that has ended and runs nowhere.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedJobRecord {
    /// The queue that it was handed in to.
    pub queue: QueueId,
    /// The service whose workers ran it.
    pub service: ServiceId,
    /// When an entry accepted it.
    pub accepted_at: UnixMs,
    /// Its work, if it was one that ends by itself, in core-milliseconds.
    pub work_core_ms: Option<u64>,
    /// Room that holds any of its tasks: a start may be carried out late.
    pub max_task_resources: Resources,
    /// Whose it was.
    pub owner: Owner,
}

impl JobRecord {
    /// Whether the record belongs to a job with these steps.
    pub fn fits(&self, spec: &JobSpec) -> bool {
        let alike = |round: &Vec<Vec<TaskRecord>>| {
            let counts = spec.steps.iter().map(|s| s.count as usize);
            round.len() == spec.steps.len() && round.iter().map(Vec::len).eq(counts)
        };
        self.rounds.iter().all(alike)
    }
}

/// The stored form of a task.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether it is done.
    #[serde(default, rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Numbers of its runs that failed.
    #[serde(default, rename = "f", skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_attempts: BTreeSet<u32>,
    /// Workers that have crashed under it.
    #[serde(default, rename = "k", skip_serializing_if = "Crashes::is_empty")]
    pub crashes: Crashes,
    /// Whether it is never started again.
    #[serde(default, rename = "g", skip_serializing_if = "is_false")]
    pub given_up: bool,
    /// Number of its latest run.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub latest_attempt: u32,
    /// Latest checkpoint.
    #[serde(default, rename = "c", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker and attempt of each run that may exist.
    #[serde(default, rename = "w", skip_serializing_if = "SmallVec::is_empty")]
    pub runs: SmallVec<[(WorkerId, u32); 1]>,
    /// Attempts of those runs that are ended by our own order. Their workers
    /// list them until they have stopped.
    #[serde(default, rename = "e", skip_serializing_if = "BTreeSet::is_empty")]
    pub evicted_attempts: BTreeSet<u32>,
}

fn is_false(b: &bool) -> bool {
    !b
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

impl TaskRecord {
    fn restore(self, now: Duration) -> Task {
        let evicted = self.evicted_attempts;
        let run = |(worker, attempt): (WorkerId, u32)| {
            let run = Run::new(worker, attempt, Phase::Inherited, now);
            Run { evicted: evicted.contains(&attempt), ..run }
        };
        Task {
            done: self.done,
            failed_attempts: self.failed_attempts,
            crashes: self.crashes,
            given_up: self.given_up,
            suspicion: None,
            latest_attempt: self.latest_attempt,
            checkpoint: self.checkpoint,
            runs: self.runs.into_iter().map(run).collect(),
            avoid_worker: None,
        }
    }
}
