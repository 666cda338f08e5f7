//! The specification of a job as its caller submits it, and its validation.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::job_key::{JobKey, JobNumber, JobOwner, QueueTag};
use super::workspace::Owner;
use super::workspace_usage::Reservation;
use crate::ids::{Rack, ServiceId, UnixMs, WorkspaceId};

/// Name of a queue.
pub type QueueId = String;

/// Maximum number of tasks of one round of a job. Bounds the memory that a single job takes.
pub const MAX_TASKS_PER_ROUND: u64 = 10_000;
/// Maximum number of tasks of all rounds of a job together, so that the state of the job fits into
/// one record of the store, which holds 256 KB.
pub const MAX_TASKS: u64 = 20_000;
/// Longest estimate of a task. Keeps times in milliseconds from overflowing when they are
/// multiplied.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(30 * 24 * 3600);
/// Maximum number of steps of a job; step numbers are stored in 16 bits.
pub const MAX_STEPS: usize = 1_000;

/// Amounts of CPU, memory and GPUs: the request of a task, or the capacity of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    #[serde(default, rename = "c")]
    pub cpu_millis: u64,
    /// Memory in MB.
    #[serde(default, rename = "m")]
    pub mem_mb: u64,
    /// Number of GPUs.
    #[serde(default, rename = "g")]
    pub gpus: u64,
}

impl Resources {
    /// Whether `other` fits into these resources.
    pub fn contains(&self, other: &Resources) -> bool {
        other.cpu_millis <= self.cpu_millis && other.mem_mb <= self.mem_mb && other.gpus <= self.gpus
    }

    /// Adds another amount. Jobs may ask for any amount, so the sum stops at the largest number.
    pub fn add(&mut self, other: &Resources) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.mem_mb = self.mem_mb.saturating_add(other.mem_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// The larger amount of each kind.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.max(other.cpu_millis),
            mem_mb: self.mem_mb.max(other.mem_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// The smaller amount of each kind.
    pub fn min(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            mem_mb: self.mem_mb.min(other.mem_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Each amount multiplied by `count`.
    pub fn times(&self, count: u64) -> Resources {
        let times = |n: u64| n.saturating_mul(count);
        Resources { cpu_millis: times(self.cpu_millis), mem_mb: times(self.mem_mb), gpus: times(self.gpus) }
    }

    /// Each amount less that of `other`, but not below zero.
    pub fn saturating_sub(&self, other: &Resources) -> Resources {
        Resources {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            gpus: self.gpus.saturating_sub(other.gpus),
        }
    }
}

/// One step of a job: `count` identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// The caller's rough estimate of how long a task takes; zero for none.
    #[serde(default)]
    pub estimate: Duration,
    /// Numbers of the steps that must be done before this one starts.
    #[serde(default, rename = "after", skip_serializing_if = "Vec::is_empty")]
    pub depends_on: Vec<u16>,
    /// Whether a task continues from its latest checkpoint after a stop.
    #[serde(default)]
    pub checkpointing: bool,
    /// Whether all tasks must run at the same time.
    #[serde(default)]
    pub gang: bool,
    /// Whether the tasks run faster within one rack. The scheduler ignores it.
    #[serde(default)]
    pub same_rack: bool,
    /// Label that a worker must have to run the tasks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub label: Option<String>,
    /// Rack that holds the input data; workers in it are preferred.
    #[serde(default, rename = "near", skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<Rack>,
    /// Maximum number of tasks of the step on one worker at a time; 0 for no limit.
    #[serde(default, rename = "most_per_worker")]
    pub max_per_worker: u32,
    /// Whether several runs of a task may exist at the same time. The scheduler starts no such
    /// copies.
    #[serde(default)]
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(default, rename = "lasting")]
    pub long_running: bool,
    /// Image that the tasks run. The scheduler ignores it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// Latency target of a long-running task that serves users.
    #[serde(default, rename = "target", skip_serializing_if = "Option::is_none")]
    pub latency_target: Option<Duration>,
    /// Whether the tasks run only on CPU time that other tasks leave unused.
    #[serde(default, rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of a long-running step the scheduler may make unavailable at once.
    #[serde(default, rename = "may_miss")]
    pub max_unavailable: u32,
}

impl StepSpec {
    /// Whether a worker with these labels has the one that the step requires.
    pub fn allows_labels(&self, labels: &[String]) -> bool {
        self.label.as_ref().is_none_or(|label| labels.contains(label))
    }

    /// Resources that a task reserves on its worker. A best-effort task reserves no CPU.
    pub fn reserved_resources(&self) -> Resources {
        if self.best_effort { Resources { cpu_millis: 0, ..self.resources } } else { self.resources }
    }

    /// Work of all tasks if each takes this long, in core-milliseconds. Jobs may ask for any amount, so it stops
    /// at the largest number.
    pub fn work_core_ms(&self, duration: Duration) -> u64 {
        let cpu_millis = u64::from(self.count).saturating_mul(self.resources.cpu_millis);
        cpu_millis.saturating_mul(duration.as_millis() as u64) / 1000
    }
}

/// Schedule of a job whose steps run in several rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Number of rounds.
    pub count: u32,
    /// When the first round is due.
    #[serde(rename = "start")]
    pub first_due_at: UnixMs,
    /// Time between the due times of two rounds.
    #[serde(rename = "every")]
    pub interval: Duration,
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The queue that the job was submitted to.
    pub queue: QueueId,
    /// The service whose workers run its tasks.
    pub service: ServiceId,
    /// The workspace that owns the job; `None` if its queue is open to all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceId>,
    /// The address at which the job was submitted; unknown if an entry of an earlier version accepted it.
    #[serde(default, skip_serializing_if = "QueueTag::is_unknown")]
    pub tag: QueueTag,
    /// Priority of its queue when the job was accepted; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang together, that fails the job.
    pub max_attempts: u32,
    /// Input that is passed to every task.
    #[serde(rename = "text")]
    pub task_input: Arc<str>,
    /// The steps of the job; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Schedule of the rounds; `None` for a job that runs once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
    /// When an entry accepted the job.
    #[serde(rename = "accepted")]
    pub accepted_at: UnixMs,
}

impl JobSpec {
    /// The key of the job under a number.
    pub fn key(&self, number: JobNumber) -> JobKey {
        JobKey { number, owner: self.job_owner() }
    }

    /// Whose job it is.
    pub fn job_owner(&self) -> JobOwner {
        JobOwner { workspace: self.owner(), queue: self.tag }
    }

    /// The workspace that owns the job.
    pub fn owner(&self) -> Owner {
        Owner::of_workspace(self.workspace.as_deref())
    }

    /// Resources that a task of `step` reserves on its worker and is charged for.
    pub fn reservation(&self, step: &StepSpec) -> Reservation {
        Reservation { resources: step.reserved_resources(), charged: step.resources, owner: self.owner() }
    }

    /// For each kind of resource, the largest amount that any task reserves.
    pub fn max_task_resources(&self) -> Resources {
        self.steps
            .iter()
            .map(StepSpec::reserved_resources)
            .fold(Resources::default(), |largest, resources| largest.max(&resources))
    }

    /// Checks the bounds and dependencies that the scheduler relies on.
    pub fn validate(&self) -> Result<(), String> {
        if self.steps.is_empty() {
            return Err("a job needs at least one step".to_string());
        }
        if self.steps.len() > MAX_STEPS {
            return Err(format!("a job may have at most {MAX_STEPS} steps"));
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        if self.steps.iter().any(|s| s.count == 0) {
            return Err("each step needs at least one task".to_string());
        }
        if self.steps.iter().any(|s| s.estimate > MAX_ESTIMATE) {
            return Err(format!("the estimate of a task may be at most {} s", MAX_ESTIMATE.as_secs()));
        }
        if tasks.saturating_mul(u64::from(self.round_count())) > MAX_TASKS {
            return Err(format!("all rounds together may have at most {MAX_TASKS} tasks"));
        }
        if tasks > MAX_TASKS_PER_ROUND {
            return Err(format!("a round may have at most {MAX_TASKS_PER_ROUND} tasks"));
        }
        for (n, s) in self.steps.iter().enumerate() {
            if s.depends_on.iter().any(|dep| usize::from(*dep) >= n) {
                return Err(format!("step {n} may depend only on earlier steps"));
            }
        }
        Ok(())
    }

    /// Number of rounds; at least 1.
    pub fn round_count(&self) -> u32 {
        self.repeat.map_or(1, |r| r.count.max(1))
    }

    /// When a round is due; 0 for a job without a schedule.
    pub fn round_due_at(&self, round: u32) -> UnixMs {
        self.repeat.map_or(0, |r| r.first_due_at + u64::from(round) * r.interval.as_millis() as u64)
    }

    /// Whether any step runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|s| s.long_running)
    }
}

/// ID of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobKey,
    /// Round of the job.
    pub round: u32,
    /// Step of the job.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
}

impl TaskId {
    /// The task as workers know it, by the number of its job alone.
    pub fn unowned(self) -> TaskId {
        TaskId { job: JobKey::of_number(self.job.number), ..self }
    }

    /// The step that the task belongs to, in its round.
    pub fn step_id(&self) -> StepId {
        StepId { job: self.job, round: self.round, step: self.step }
    }
}

/// ID of a step in one round of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// The job.
    pub job: JobKey,
    /// Round of the job.
    pub round: u32,
    /// Number of the step.
    pub step: u16,
}

impl StepId {
    /// The task of this step with the given index.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, round: self.round, step: self.step, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.round, self.step)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}.{}", self.job, self.round, self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = String;

    fn from_str(s: &str) -> Result<TaskId, String> {
        let bad = || format!("`{s}` is not a task ID");
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = JobKey::of_number(parse_job_number(next()?).ok_or_else(bad)?);
        let round = next()?.parse().map_err(|_| bad())?;
        let step = next()?.parse().map_err(|_| bad())?;
        let index = next()?.parse().map_err(|_| bad())?;
        Ok(TaskId { job, round, step, index })
    }
}

/// Parses the number of a job from its 16 hex digits.
pub fn parse_job_number(s: &str) -> Option<JobNumber> {
    if s.len() != 16 { None } else { u64::from_str_radix(s, 16).ok() }
}

/// Formats the number of a job as 16 hex digits.
pub fn format_job_number(number: JobNumber) -> String {
    format!("{number:016x}")
}
