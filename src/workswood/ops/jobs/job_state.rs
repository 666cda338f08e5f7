//! The stored form of a job's state.
//!
//! A job is written about six times on its way, and a new lease holder reads all of
//! them, so what is usual takes little: a bit for a task that is done, some bytes for
//! one that runs. A job of 13 tasks takes 80 bytes while all run (800 as JSON).
//!
//! Versions before this one wrote JSON, which is still read.

use std::time::Duration;

use prost::Message;
use workswood_core::jobs::crash_attribution::{CrashRecord, Evidence};
use workswood_core::jobs::job::{TaskRecord, WorkerId};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{FinishedJobRecord, JobRecord, Outcome, Owner};

/// First byte of a record that a version before this one wrote.
const JSON: u8 = b'{';

#[derive(Clone, PartialEq, prost::Message)]
struct JobState {
    #[prost(bool, tag = "1")]
    cancelled: bool,
    #[prost(bool, tag = "2")]
    begun: bool,
    #[prost(enumeration = "Ended", optional, tag = "3")]
    ended: Option<i32>,
    /// Workers that steps name by their places here.
    #[prost(string, repeated, tag = "4")]
    workers: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    rounds: Vec<RoundState>,
    #[prost(message, optional, tag = "6")]
    over: Option<OverState>,
}

/// A job that has ended and runs nowhere.
#[derive(Clone, PartialEq, prost::Message)]
struct OverState {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    service: String,
    /// When it was accepted, in milliseconds since 1970.
    #[prost(uint64, tag = "3")]
    accepted: u64,
    /// Its work in core-milliseconds.
    #[prost(uint64, optional, tag = "4")]
    work: Option<u64>,
    /// Room of its largest task: thousandths of a core, MB, accelerators.
    #[prost(uint64, tag = "5")]
    cpu_millis: u64,
    #[prost(uint64, tag = "6")]
    mem_mb: u64,
    #[prost(uint64, tag = "7")]
    gpus: u64,
    /// Number of its owner; 0 for nobody.
    #[prost(fixed64, tag = "8")]
    owner: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum Ended {
    Completed = 0,
    Failed = 1,
    Canceled = 2,
}

#[derive(Clone, PartialEq, prost::Message)]
struct RoundState {
    #[prost(message, repeated, tag = "1")]
    steps: Vec<StepState>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StepState {
    /// How many tasks.
    #[prost(uint32, tag = "1")]
    count: u32,
    /// A bit for each task, set if it is done; trailing zeros left out.
    #[prost(bytes = "vec", tag = "2")]
    done: Vec<u8>,
    /// Runs: three numbers each, of the task, the try and the worker.
    #[prost(uint32, repeated, tag = "3")]
    runs: Vec<u32>,
    /// Tasks of which there is more to say.
    #[prost(message, repeated, tag = "4")]
    special: Vec<TaskState>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct TaskState {
    #[prost(uint32, tag = "1")]
    index: u32,
    /// Number of its latest try.
    #[prost(uint32, tag = "2")]
    attempt: u32,
    #[prost(uint32, repeated, tag = "3")]
    failed: Vec<u32>,
    #[prost(string, tag = "4")]
    checkpoint: String,
    #[prost(uint32, repeated, tag = "5")]
    evicted: Vec<u32>,
    /// Tries under which workers crashed: two numbers each, of the try and what is known of it.
    #[prost(uint32, repeated, tag = "6")]
    crashes: Vec<u32>,
    /// For each of them the longest time after the start, in milliseconds, and one more; 0 if that is
    /// not known.
    #[prost(uint32, repeated, tag = "7")]
    crashed_within: Vec<u32>,
    /// Whether it is never started again.
    #[prost(bool, tag = "8")]
    given_up: bool,
}

/// Numbers of workers within one record: those of a job are few.
#[derive(Default)]
struct Numbers<'a>(Vec<&'a WorkerId>);

impl<'a> Numbers<'a> {
    fn of(&mut self, id: &'a WorkerId) -> u32 {
        let known = self.0.iter().position(|other| *other == id);
        let number = known.unwrap_or(self.0.len());
        if known.is_none() {
            self.0.push(id);
        }
        number as u32
    }
}

/// Encodes the state of a job.
pub fn encode(rec: &JobRecord) -> Vec<u8> {
    let mut numbers = Numbers::default();
    let mut rounds = Vec::with_capacity(rec.rounds.len());
    for round in &rec.rounds {
        let steps = round.iter().map(|tasks| step_state(tasks, &mut numbers)).collect();
        rounds.push(RoundState { steps });
    }
    let state = JobState {
        cancelled: rec.cancelled,
        begun: rec.started,
        ended: rec.outcome.map(|o| ended(o) as i32),
        workers: numbers.0.into_iter().map(|id| id.to_string()).collect(),
        rounds,
        over: rec.over.clone().map(|o| OverState {
            queue: o.queue,
            service: o.service,
            accepted: o.accepted_at,
            work: o.work_core_ms,
            cpu_millis: o.max_task_resources.cpu_millis,
            mem_mb: o.max_task_resources.mem_mb,
            gpus: o.max_task_resources.gpus,
            owner: o.owner.number(),
        }),
    };
    state.encode_to_vec()
}

fn step_state<'a>(tasks: &'a [TaskRecord], numbers: &mut Numbers<'a>) -> StepState {
    let mut s = StepState { count: tasks.len() as u32, ..StepState::default() };
    for (n, t) in tasks.iter().enumerate() {
        let index = n as u32;
        if t.done {
            s.done.resize(n / 8 + 1, 0);
            s.done[n / 8] |= 1 << (n % 8);
        }
        for (worker, attempt) in &t.runs {
            s.runs.extend([index, *attempt, numbers.of(worker)]);
        }
        if is_special(t) {
            s.special.push(TaskState {
                index,
                attempt: t.latest_attempt,
                failed: t.failed_attempts.iter().copied().collect(),
                checkpoint: t.checkpoint.clone(),
                evicted: t.evicted_attempts.iter().copied().collect(),
                crashes: t.crashes.0.iter().flat_map(|(n, c)| [*n, evidence(c.evidence) as u32]).collect(),
                crashed_within: t.crashes.0.values().map(|c| write_within(c.max_run_time)).collect(),
                given_up: t.given_up,
            });
        }
    }
    s
}

/// Whether a task's runs and its end do not say all about it. A task that is done
/// is not tried again.
fn is_special(t: &TaskRecord) -> bool {
    let latest = t.runs.iter().map(|(_, attempt)| *attempt).max().unwrap_or(0);
    let tried = !t.done && t.latest_attempt != latest;
    let tried = tried || !t.failed_attempts.is_empty() || !t.crashes.is_empty() || t.given_up;
    tried || !t.checkpoint.is_empty() || !t.evicted_attempts.is_empty()
}

/// Decodes the state of a job.
pub fn decode(value: &[u8]) -> Result<JobRecord, String> {
    if value.first() == Some(&JSON) {
        return serde_json::from_slice(value).map_err(|e| e.to_string());
    }
    let state = JobState::decode(value).map_err(|e| e.to_string())?;
    let workers: Vec<WorkerId> = state.workers.iter().map(|w| w.as_str().into()).collect();
    let step = |s: StepState| read_step(s, &workers);
    let round = |r: RoundState| r.steps.into_iter().map(step).collect::<Result<Vec<_>, _>>();
    Ok(JobRecord {
        cancelled: state.cancelled,
        outcome: state.ended.map(outcome).transpose()?,
        started: state.begun,
        rounds: state.rounds.into_iter().map(round).collect::<Result<_, _>>()?,
        over: state.over.map(|o| FinishedJobRecord {
            queue: o.queue,
            service: o.service,
            accepted_at: o.accepted,
            work_core_ms: o.work,
            max_task_resources: Resources { cpu_millis: o.cpu_millis, mem_mb: o.mem_mb, gpus: o.gpus },
            owner: Owner::from_number(o.owner),
        }),
    })
}

fn read_step(s: StepState, workers: &[WorkerId]) -> Result<Vec<TaskRecord>, String> {
    let bit = |n: usize| s.done.get(n / 8).is_some_and(|byte| byte & (1 << (n % 8)) != 0);
    let task = |n: usize| TaskRecord { done: bit(n), ..TaskRecord::default() };
    let mut tasks: Vec<TaskRecord> = (0..s.count as usize).map(task).collect();
    for run in s.runs.chunks(3) {
        let [index, attempt, worker] = *run else { return Err("a run is cut short".to_string()) };
        let worker = workers.get(worker as usize).ok_or("a worker has no name")?;
        let task = tasks.get_mut(index as usize).ok_or("a run is of no task")?;
        task.latest_attempt = task.latest_attempt.max(attempt);
        task.runs.push((worker.clone(), attempt));
    }
    for t in s.special {
        let task = tasks.get_mut(t.index as usize).ok_or("there is no such task")?;
        task.latest_attempt = t.attempt;
        task.failed_attempts = t.failed.into_iter().collect();
        task.checkpoint = t.checkpoint;
        task.evicted_attempts = t.evicted.into_iter().collect();
        task.given_up = t.given_up;
        for (n, crash) in t.crashes.chunks(2).enumerate() {
            let [attempt, known] = *crash else { return Err("a crash is cut short".to_string()) };
            let within = t.crashed_within.get(n).and_then(|ms| read_within(*ms));
            task.crashes
                .0
                .insert(attempt, CrashRecord { evidence: read_evidence(known)?, max_run_time: within });
        }
    }
    Ok(tasks)
}

/// Longest time after a start that is stored; a run that lasted for longer says no more.
const LONGEST_WITHIN: u128 = 3_600_000;

fn write_within(within: Option<Duration>) -> u32 {
    within.map_or(0, |d| d.as_millis().min(LONGEST_WITHIN) as u32 + 1)
}

fn read_within(stored: u32) -> Option<Duration> {
    stored.checked_sub(1).map(|ms| Duration::from_millis(ms.into()))
}

/// What is known of a crash, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum Known {
    Explains = 0,
    /// Written by a version before this one.
    ExplainsLate = 1,
    Beside = 2,
    Supposed = 3,
}

fn evidence(e: Evidence) -> Known {
    match e {
        Evidence::LikelyCause => Known::Explains,
        Evidence::Bystander => Known::Beside,
        Evidence::Unconfirmed => Known::Supposed,
    }
}

fn read_evidence(known: u32) -> Result<Evidence, String> {
    match Known::try_from(known as i32).map_err(|e| e.to_string())? {
        Known::Explains | Known::ExplainsLate => Ok(Evidence::LikelyCause),
        Known::Beside => Ok(Evidence::Bystander),
        Known::Supposed => Ok(Evidence::Unconfirmed),
    }
}

fn ended(outcome: Outcome) -> Ended {
    match outcome {
        Outcome::Completed => Ended::Completed,
        Outcome::Failed => Ended::Failed,
        Outcome::Canceled => Ended::Canceled,
    }
}

fn outcome(ended: i32) -> Result<Outcome, String> {
    match Ended::try_from(ended).map_err(|e| e.to_string())? {
        Ended::Completed => Ok(Outcome::Completed),
        Ended::Failed => Ok(Outcome::Failed),
        Ended::Canceled => Ok(Outcome::Canceled),
    }
}
