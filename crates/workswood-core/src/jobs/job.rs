//! The state of one job, and its stored form.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::crash_attribution::Suspicion;
use super::crash_history::CrashHistory;
use super::failed_runs::FailedRuns;
use super::job_key::JobKey;
use super::queue_order::StepPaths;
use super::spec::{JobSpec, QueueId, Resources, StepId, StepSpec, TaskId};
use super::workspace::Owner;

pub use super::worker_id::WorkerId;
use crate::ids::{ServiceId, UnixMs};

/// A checkpoint of a task, as its worker saved it; empty for none.
pub type Checkpoint = Arc<str>;

/// Pace of a task that is not throttled, in percent of full speed.
pub const FULL_PACE_PERCENT: u32 = 100;
/// How long a task is placed elsewhere after a run failed or stalled on a worker. Afterwards it need
/// not wait for workers that stay full.
const AVOID_WORKER_FOR: Duration = Duration::from_secs(10);

/// The status of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task has started.
    Queued,
    /// At least one task has started.
    Running,
    /// The job has ended with this outcome.
    Ended(Outcome),
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Canceled,
}

/// The phase of a run, as far as the scheduler knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start is recorded or about to be; the worker has not answered it yet.
    Starting,
    /// Known from the records of an earlier lease holder; the worker has not reported it yet.
    Inherited,
    /// The worker is running it.
    Running,
    /// Its start had no answer, nor has its worker answered since: it may exist. The same start is ordered again
    /// once the worker answers.
    Unanswered,
    /// The worker has been told to stop it, or is about to be.
    Stopping,
    /// The worker has accepted the stop; its next report settles the run.
    Stopped,
}

/// How far the start of a run has got, while the run is in [`Phase::Starting`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOrder {
    /// It is decided, and its record may not be stored yet.
    Decided,
    /// The relay of the worker has it.
    HandedOn,
    /// It is not wanted any more, and the relay does not get it.
    Withdrawn,
    /// It is not wanted any more, and the relay was told so.
    Recalled,
}

/// One attempt to run a task on one worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The worker that runs it.
    pub worker: WorkerId,
    /// Number of the attempt; counts up from 1 over all runs of the task.
    pub attempt: u32,
    /// The current phase.
    pub phase: Phase,
    /// When `phase` last changed.
    pub phase_since: Duration,
    /// How far its start has got.
    pub start_order: StartOrder,
    /// Number of start orders in vain since the first one without an answer, which may still be carried out.
    pub unanswered_starts: u32,
    /// When this lease holder placed the run; `None` if an earlier one did.
    pub placed_at: Option<Duration>,
    /// When the worker first confirmed the run, by accepting the start or by listing it.
    pub confirmed_at: Option<Duration>,
    /// Latest reported progress, in percent.
    pub progress_percent: u32,
    /// When `progress_percent` last rose, according to the worker.
    pub progressed_at: Duration,
    /// Since when the run has made no progress; `None` while it does.
    pub stalled_since: Option<Duration>,
    /// Load metric reported by the worker: tail latency in milliseconds for a task that serves
    /// users, CPU use for others.
    pub load_metric: u64,
    /// Pace that the scheduler asked for, in percent of full speed.
    pub pace_percent: u32,
    /// Whether this or an earlier lease holder evicts it; counts against the availability budget.
    pub evicted: bool,
    /// For a trial of a suspected task: how long it lasts.
    pub trial_length: Option<Duration>,
}

impl Run {
    /// Creates a run that enters `phase` at `now`.
    pub fn new(worker: WorkerId, attempt: u32, phase: Phase, now: Duration) -> Run {
        Run {
            worker,
            attempt,
            phase,
            phase_since: now,
            start_order: StartOrder::Decided,
            unanswered_starts: 0,
            placed_at: None,
            confirmed_at: None,
            progress_percent: 0,
            progressed_at: now,
            stalled_since: None,
            load_metric: 0,
            pace_percent: FULL_PACE_PERCENT,
            evicted: false,
            trial_length: None,
        }
    }

    /// Time from the confirmation of the run to `last_heard`, when its worker last answered; `None`
    /// if the run was never confirmed.
    pub fn known_runtime(&self, last_heard: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| last_heard.saturating_sub(at))
    }

    /// Sets the phase and the time of its change.
    pub fn set_phase(&mut self, phase: Phase, now: Duration) {
        self.phase = phase;
        self.phase_since = now;
    }

    /// Whether a long-running task had finished its warm-up when its worker last reported.
    pub fn is_warmed_up(&self) -> bool {
        self.phase == Phase::Running && self.progress_percent >= 100
    }
}

/// The state of one task of a job.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Whether it is done.
    pub done: bool,
    /// Its failed runs.
    pub failed_runs: FailedRuns,
    /// Crashes of workers while they ran this task.
    pub crashes: CrashHistory,
    /// Whether it is never started again because it crashes its workers; the job continues without
    /// it.
    pub given_up: bool,
    /// Since when a waiting long-running task has been waiting.
    pub waiting_since: Duration,
    /// Why the task is started only as a trial; `None` if it is not suspected.
    pub suspicion: Option<Suspicion>,
    /// Number of the latest attempt; 0 if the task was never started.
    pub latest_attempt: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Checkpoint,
    /// Runs that may exist on some worker.
    pub runs: Vec<Run>,
    /// Worker of the latest failed or stalled run; the next run is placed elsewhere if possible.
    pub avoided_worker: Option<AvoidedWorker>,
    /// Its absence, if it is long-running and has run nowhere for a while.
    pub absence: Option<AbsenceRecord>,
}

/// Since when a long-running task has run nowhere, in the stored form. The times of day may be those of another
/// host's clock, so only urgency may follow from them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AbsenceRecord {
    /// Since when it has run nowhere.
    pub since: UnixMs,
    /// When it has to be at work again.
    pub restart_by: UnixMs,
}

/// A worker on which a task failed or stalled.
#[derive(Clone, Debug, PartialEq)]
pub struct AvoidedWorker {
    /// The worker.
    pub id: WorkerId,
    /// When the run failed or stalled.
    pub since: Duration,
}

impl Task {
    /// Whether the task is neither done, given up nor running. Does not look at the state of its
    /// job or step.
    pub fn is_idle(&self) -> bool {
        !self.done && !self.given_up && self.runs.is_empty()
    }

    /// Takes a checkpoint that a worker has told, unless the task is done and needs none.
    pub fn save_checkpoint(&mut self, saved: &str) {
        if !saved.is_empty() && !self.done && *self.checkpoint != *saved {
            self.checkpoint = saved.into();
        }
    }

    /// Marks the task as done. It is not started again, so that nobody needs its checkpoint.
    pub fn complete(&mut self) {
        self.done = true;
        self.checkpoint = Checkpoint::default();
    }

    /// Whether its restarts are paced because of many crashes that are no proof.
    pub fn is_paced(&self) -> bool {
        self.suspicion.is_some_and(|s| s.paced)
    }

    /// Has the next runs placed elsewhere for a while, if possible.
    pub fn avoid_worker(&mut self, id: &WorkerId, now: Duration) {
        self.avoided_worker = Some(AvoidedWorker { id: id.clone(), since: now });
    }

    /// The worker to avoid now.
    pub fn worker_to_avoid(&self, now: Duration) -> Option<&WorkerId> {
        let avoided = self.avoided_worker.as_ref();
        avoided.filter(|a| now < a.since + AVOID_WORKER_FOR).map(|a| &a.id)
    }

    /// Whether a run failed or stalled less than `time` ago.
    pub fn failed_within(&self, time: Duration, now: Duration) -> bool {
        self.avoided_worker.as_ref().is_some_and(|a| now < a.since + time)
    }
}

/// One round of a job: the tasks of each step.
pub type Round = Vec<Vec<Task>>;

/// A job and the state of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// Key of the job.
    pub key: JobKey,
    /// The spec as submitted.
    pub spec: Arc<JobSpec>,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// How the job ended; `None` while it is open.
    pub outcome: Option<Outcome>,
    /// When the job ended, or was restored, on the scheduler's clock; meaningless while the job is
    /// open.
    pub ended_at: Duration,
    /// Whether any task has started.
    pub started: bool,
    /// Whether it was submitted beyond the guaranteed rate of its workspace.
    pub over_rate: bool,
    /// CPU limit of its workspace when the job was submitted or restored, in thousandths of a core;
    /// 0 for no limit.
    pub max_cpu_millis: u64,
    /// First worker on which a task of this job failed.
    pub blamed_worker: Option<WorkerId>,
    /// Rounds opened so far, by number.
    pub rounds: Vec<Round>,
    /// Number of rounds in the newest record that is known to be stored.
    pub(super) recorded_rounds: u32,
    /// Attempts up to this number were made of tasks of the same names, of earlier jobs of other owners.
    pub(super) earlier_attempts: u32,
    /// Under which key its state is stored.
    pub(super) slot: StateSlot,
    /// The status that was last published to callers.
    pub(super) published_status: Option<JobStatus>,
    /// What is left from each step on, by the number of completed tasks of the queue for which it was computed.
    pub(super) paths: Option<(u32, Arc<StepPaths>)>,
}

impl Job {
    /// Creates a newly submitted job with no rounds.
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
            recorded_rounds: 0,
            earlier_attempts: 0,
            slot: StateSlot::Number,
            published_status: None,
            paths: None,
        }
    }

    /// Opens the next round with fresh tasks.
    pub fn open_round(&mut self) {
        let fresh = Task { latest_attempt: self.earlier_attempts, ..Task::default() };
        let steps = self.spec.steps.iter();
        self.rounds.push(steps.map(|s| vec![fresh.clone(); s.count as usize]).collect());
    }

    /// The spec of a task's step.
    pub fn step(&self, id: &TaskId) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(id.step))
    }

    /// Looks up a task by ID.
    pub fn task(&self, id: &TaskId) -> Option<&Task> {
        let step = self.rounds.get(id.round as usize)?.get(usize::from(id.step))?;
        step.get(id.index as usize)
    }

    /// Looks up a task by ID, mutably.
    pub fn task_mut(&mut self, id: &TaskId) -> Option<&mut Task> {
        let step = self.rounds.get_mut(id.round as usize)?.get_mut(usize::from(id.step))?;
        step.get_mut(id.index as usize)
    }

    /// The members of the gang that a task belongs to; the task alone if it belongs to none.
    pub fn members_mut(&mut self, id: &TaskId) -> &mut [Task] {
        let members = self.member_range(id);
        let step = self.rounds.get_mut(id.round as usize).and_then(|r| r.get_mut(usize::from(id.step)));
        step.and_then(|tasks| tasks.get_mut(members)).unwrap_or_default()
    }

    /// Number of failures of a task, or of the gang that it belongs to.
    pub fn count_failures(&self, id: &TaskId) -> usize {
        let step = self.rounds.get(id.round as usize).and_then(|r| r.get(usize::from(id.step)));
        let members = step.and_then(|tasks| tasks.get(self.member_range(id))).unwrap_or_default();
        match members {
            [alone] => alone.failed_runs.count(),
            members => FailedRuns::count_joint(members.iter().map(|m| &m.failed_runs)),
        }
    }

    /// Indices of the members of the gang that a task belongs to, or its own.
    fn member_range(&self, id: &TaskId) -> std::ops::Range<usize> {
        match self.step(id) {
            Some(step) if step.gang => 0..step.count as usize,
            _ => id.index as usize..id.index as usize + 1,
        }
    }

    /// Whether all tasks of a step are done in the given round.
    pub fn is_step_done(&self, round: u32, step: u16) -> bool {
        let r = self.rounds.get(round as usize);
        r.and_then(|r| r.get(usize::from(step))).is_some_and(|tasks| tasks.iter().all(|t| t.done))
    }

    /// Whether all steps that a step depends on are done in the given round.
    pub fn is_step_ready(&self, round: u32, step: u16) -> bool {
        let depends_on = self.spec.steps.get(usize::from(step)).map(|s| s.depends_on.as_slice());
        depends_on.is_some_and(|steps| steps.iter().all(|s| self.is_step_done(round, *s)))
    }

    /// Whether each step is done in the given round.
    fn done_steps(&self, round: u32) -> Vec<bool> {
        let steps = self.rounds.get(round as usize).map(Vec::as_slice).unwrap_or_default();
        steps.iter().map(|tasks| tasks.iter().all(|t| t.done)).collect()
    }

    /// Steps of a round that depend on a step and all of whose dependencies are done.
    pub fn ready_dependents(&self, step: &StepId) -> Vec<StepId> {
        self.ready_steps_where(step.round, |s| s.depends_on.contains(&step.step))
    }

    /// Steps of a round all of whose dependencies are done.
    pub fn ready_steps(&self, round: u32) -> Vec<StepId> {
        self.ready_steps_where(round, |_| true)
    }

    fn ready_steps_where(&self, round: u32, is_wanted: impl Fn(&StepSpec) -> bool) -> Vec<StepId> {
        let done = self.done_steps(round);
        let is_done = |n: &u16| done.get(usize::from(*n)).is_some_and(|done| *done);
        let wanted = self.spec.steps.iter().enumerate().filter(|(_, s)| is_wanted(s));
        let ready = wanted.filter(|(_, s)| s.depends_on.iter().all(is_done));
        ready.map(|(n, _)| StepId { job: self.key, round, step: n as u16 }).collect()
    }

    /// Number of tasks of the step of `id`, other than `id` itself, that have no run for which
    /// `is_running` holds.
    pub fn other_tasks_not_running(&self, id: &TaskId, is_running: impl Fn(&Run) -> bool) -> u32 {
        let step = self.rounds.get(id.round as usize).and_then(|r| r.get(usize::from(id.step)));
        let tasks = step.map(Vec::as_slice).unwrap_or_default().iter().enumerate();
        let others = tasks.filter(|(n, _)| *n != id.index as usize);
        others.filter(|(_, t)| !t.runs.iter().any(&is_running)).count() as u32
    }

    /// Whether crashes of workers are on record for a task, or one was given up for them.
    pub fn has_crashes(&self) -> bool {
        self.rounds.iter().flatten().flatten().any(|t| t.given_up || !t.crashes.is_empty())
    }

    /// Whether all rounds were opened and all their tasks are done.
    pub fn all_done(&self) -> bool {
        let all_opened = self.rounds.len() as u32 == self.spec.round_count();
        all_opened && self.rounds.iter().flatten().flatten().all(|t| t.done)
    }

    /// Whether a run of the job may exist on a worker.
    pub fn has_run_on(&self, worker: &WorkerId) -> bool {
        self.rounds.iter().flatten().flatten().any(|t| t.runs.iter().any(|run| run.worker == *worker))
    }

    /// Whether no run of the job may exist anywhere.
    pub fn has_no_runs(&self) -> bool {
        self.rounds.iter().flatten().flatten().all(|t| t.runs.is_empty())
    }

    /// Whether tasks of the job may still be started.
    pub fn is_open(&self) -> bool {
        !self.cancelled && self.outcome.is_none()
    }

    /// Number of sequential batches that a step needs because the CPU limit of the workspace does
    /// not admit all of its tasks at once.
    pub fn sequential_batches(&self, step: &StepSpec) -> u32 {
        if self.max_cpu_millis == 0 {
            return 1;
        }
        let step_cpu_millis = u64::from(step.count).saturating_mul(step.resources.cpu_millis);
        u32::try_from(step_cpu_millis.div_ceil(self.max_cpu_millis))
            .unwrap_or(u32::MAX)
            .clamp(1, step.count.max(1))
    }

    /// IDs of all steps of opened rounds.
    pub fn step_ids(&self) -> impl Iterator<Item = StepId> {
        let steps = self.spec.steps.len() as u16;
        let rounds = 0..self.rounds.len() as u32;
        rounds.flat_map(move |round| (0..steps).map(move |step| StepId { job: self.key, round, step }))
    }

    /// Indexes of the tasks of a step that are neither done, given up nor running.
    pub fn idle_tasks(&self, id: &StepId) -> Vec<u32> {
        let step = self.rounds.get(id.round as usize).and_then(|r| r.get(usize::from(id.step)));
        let tasks = step.map(Vec::as_slice).unwrap_or_default().iter().enumerate();
        let idle = tasks.filter(|(_, t)| t.is_idle());
        idle.map(|(index, _)| index as u32).collect()
    }

    /// IDs of all tasks of opened rounds.
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

    /// IDs of the tasks of which a run may exist.
    pub fn tasks_with_runs(&self) -> Vec<TaskId> {
        let has_runs = |id: &TaskId| self.task(id).is_some_and(|t| !t.runs.is_empty());
        self.task_ids().into_iter().filter(has_runs).collect()
    }

    /// The status to show to callers once the current state is recorded.
    pub fn status(&self) -> JobStatus {
        match self.outcome {
            Some(o) => JobStatus::Ended(o),
            None if self.started => JobStatus::Running,
            None => JobStatus::Queued,
        }
    }

    /// Converts the job to its stored form.
    pub fn record(&self) -> JobRecord {
        let task = |t: &Task| TaskRecord {
            done: t.done,
            failed_runs: t.failed_runs.clone(),
            crashes: if t.done { CrashHistory::default() } else { t.crashes.clone() },
            given_up: t.given_up,
            latest_attempt: t.latest_attempt,
            checkpoint: if t.done || !self.is_open() { Checkpoint::default() } else { t.checkpoint.clone() },
            runs: t.runs.iter().map(|r| (r.worker.clone(), r.attempt)).collect(),
            evicted_attempts: t.runs.iter().filter(|r| r.evicted).map(|r| r.attempt).collect(),
            absence: t.absence,
        };
        let step = |tasks: &Vec<Task>| tasks.iter().map(task).collect();
        JobRecord {
            cancelled: self.cancelled,
            outcome: self.outcome,
            started: self.started,
            rounds: self.rounds.iter().map(|r| r.iter().map(step).collect()).collect(),
            over: None,
            owner: Some(self.spec.owner()),
            earlier_attempts: self.earlier_attempts,
            slot: self.slot,
        }
    }

    /// Latest attempt of any of its tasks.
    pub fn latest_attempt(&self) -> u32 {
        let tasks = self.rounds.iter().flatten().flatten();
        tasks.map(|t| t.latest_attempt).max().unwrap_or(0).max(self.earlier_attempts)
    }

    /// Restores a job from the record that an earlier lease holder stored.
    pub fn restore(key: JobKey, spec: Arc<JobSpec>, rec: JobRecord, now: Duration) -> Job {
        let mut job = Job::new(key, spec);
        job.cancelled = rec.cancelled;
        job.outcome = rec.outcome;
        job.started = rec.started;
        job.ended_at = now;
        let step = |tasks: Vec<TaskRecord>| tasks.into_iter().map(|t| t.restore(now)).collect();
        (job.earlier_attempts, job.slot) = (rec.earlier_attempts, rec.slot);
        job.recorded_rounds = rec.rounds.len() as u32;
        job.rounds = rec.rounds.into_iter().map(|r| r.into_iter().map(step).collect()).collect();
        job
    }
}

/// The stored form of a job's state. The spec is stored separately.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Whether the caller cancelled the job.
    #[serde(default, rename = "x")]
    pub cancelled: bool,
    /// How the job ended; `None` while it is open.
    #[serde(default, rename = "o")]
    pub outcome: Option<Outcome>,
    /// Whether any task has started.
    #[serde(default, rename = "b")]
    pub started: bool,
    /// Tasks by round and step; empty for a finished job.
    #[serde(default, rename = "r")]
    pub rounds: Vec<Vec<Vec<TaskRecord>>>,
    /// What is kept of a finished job, whose spec is no longer stored.
    #[serde(skip)]
    pub over: Option<FinishedJobRecord>,
    /// The workspace of the job; `None` if an earlier version wrote the record of an open job.
    #[serde(skip)]
    pub owner: Option<Owner>,
    /// Attempts up to this number were made of tasks of the same names, of earlier jobs of other owners.
    #[serde(skip)]
    pub earlier_attempts: u32,
    /// Under which key the record is stored.
    #[serde(skip)]
    pub slot: StateSlot,
}

/// Under which key the state of a job is stored whose queue is not known. That of any other has the queue in its key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateSlot {
    /// Its number.
    #[default]
    Number,
    /// Its number and its owner: the number was that of another owner's job before, whose state is still stored.
    NumberAndOwner,
}

/// What is kept of a job that has ended and has no runs left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FinishedJobRecord {
    /// The queue that it was submitted to.
    pub queue: QueueId,
    /// The service whose workers ran its tasks.
    pub service: ServiceId,
    /// When an entry accepted the job.
    pub accepted_at: UnixMs,
    /// Estimated work in core-milliseconds; `None` for a long-running job.
    pub work_core_ms: Option<u64>,
    /// For each kind of resource, the largest amount that any of its tasks reserves: a start that
    /// was sent earlier may still take effect on a worker.
    pub max_task_resources: Resources,
    /// The owner of the job.
    pub owner: Owner,
    /// Latest attempt of any of its tasks; `None` if an earlier version wrote the record.
    pub latest_attempt: Option<u32>,
}

impl JobRecord {
    /// The owner of the job, if the record tells it.
    pub fn owner(&self) -> Option<Owner> {
        self.owner.or(self.over.as_ref().map(|over| over.owner))
    }

    /// Whether the record has the same steps and task counts as `spec`.
    pub fn matches_spec(&self, spec: &JobSpec) -> bool {
        let same_shape = |round: &Vec<Vec<TaskRecord>>| {
            let counts = spec.steps.iter().map(|s| s.count as usize);
            round.len() == spec.steps.len() && round.iter().map(Vec::len).eq(counts)
        };
        self.rounds.iter().all(same_shape)
    }
}

/// The stored form of a task's state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Whether it is done.
    #[serde(default, rename = "d", skip_serializing_if = "is_false")]
    pub done: bool,
    /// Its failed runs.
    #[serde(default, rename = "f", skip_serializing_if = "FailedRuns::is_empty")]
    pub failed_runs: FailedRuns,
    /// Crashes of workers while they ran this task.
    #[serde(default, rename = "k", skip_serializing_if = "CrashHistory::is_empty")]
    pub crashes: CrashHistory,
    /// Whether it is never started again.
    #[serde(default, rename = "g", skip_serializing_if = "is_false")]
    pub given_up: bool,
    /// Number of the latest attempt; 0 if the task was never started.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub latest_attempt: u32,
    /// Latest checkpoint; empty if there is none.
    #[serde(default, rename = "c", skip_serializing_if = "str::is_empty")]
    pub checkpoint: Checkpoint,
    /// Worker and attempt of each run that may exist.
    #[serde(default, rename = "w", skip_serializing_if = "SmallVec::is_empty")]
    pub runs: SmallVec<[(WorkerId, u32); 1]>,
    /// Attempts that were evicted and that their workers may still list.
    #[serde(default, rename = "e", skip_serializing_if = "BTreeSet::is_empty")]
    pub evicted_attempts: BTreeSet<u32>,
    /// Since when it has run nowhere, if it is long-running and is absent.
    #[serde(default, rename = "n", skip_serializing_if = "Option::is_none")]
    pub absence: Option<AbsenceRecord>,
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
            failed_runs: self.failed_runs,
            crashes: self.crashes,
            given_up: self.given_up,
            waiting_since: now,
            suspicion: None,
            latest_attempt: self.latest_attempt,
            checkpoint: self.checkpoint,
            runs: self.runs.into_iter().map(run).collect(),
            avoided_worker: None,
            absence: self.absence,
        }
    }
}
