//! The stored form of a job's state.
//!
//! A job's state is written several times while it runs, and a new lease holder reads the states of all
//! jobs. The format is therefore compact in the usual case: a bit for a task that is done, and some
//! bytes for one that runs.
//!
//! Records of earlier versions are JSON, which can still be decoded.

use std::time::Duration;

use prost::Message;
use workswood_core::jobs::crash_history::{Certainty, CrashHistory, CrashRecord, Evidence};
use workswood_core::jobs::failed_runs::FailedRuns;
use workswood_core::jobs::job::{AbsenceRecord, StateSlot, TaskRecord, WorkerId};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{FinishedJobRecord, JobRecord, Outcome, Owner};

use super::saved_checkpoints::is_apart;

/// First byte of a JSON record, as earlier versions wrote it.
const JSON_FIRST_BYTE: u8 = b'{';

#[derive(Clone, PartialEq, prost::Message)]
struct StoredJobState {
    #[prost(bool, tag = "1")]
    cancelled: bool,
    #[prost(bool, tag = "2")]
    started: bool,
    #[prost(enumeration = "Ended", optional, tag = "3")]
    outcome: Option<i32>,
    /// Ids of workers; runs refer to them by index.
    #[prost(string, repeated, tag = "4")]
    workers: Vec<String>,
    #[prost(message, repeated, tag = "5")]
    rounds: Vec<RoundState>,
    #[prost(message, optional, tag = "6")]
    finished: Option<FinishedJobState>,
    /// Number of the owner of an open job; 0 if it has none. Earlier versions don't write it.
    #[prost(fixed64, optional, tag = "7")]
    owner: Option<u64>,
    /// Attempts up to this number are of earlier jobs under the same number.
    #[prost(uint32, tag = "8")]
    earlier_attempts: u32,
    /// Number of parts in which the state is stored, if it is too large for this record.
    #[prost(uint32, tag = "9")]
    parts: u32,
    /// Checksum of the parts, one after the other.
    #[prost(fixed64, tag = "10")]
    parts_checksum: u64,
    /// Number of the first part.
    #[prost(uint32, tag = "11")]
    first_part: u32,
}

/// What is stored of a job that has ended and runs nowhere.
#[derive(Clone, PartialEq, prost::Message)]
struct FinishedJobState {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    service: String,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    accepted_at: u64,
    /// Work of the job in core-milliseconds.
    #[prost(uint64, optional, tag = "4")]
    work: Option<u64>,
    /// Resources of the largest task: thousandths of a core, MB, accelerators.
    #[prost(uint64, tag = "5")]
    cpu_millis: u64,
    #[prost(uint64, tag = "6")]
    mem_mb: u64,
    #[prost(uint64, tag = "7")]
    gpus: u64,
    /// Number of the owner; 0 if it has none.
    #[prost(fixed64, tag = "8")]
    owner: u64,
    /// Latest attempt of any of its tasks. Earlier versions don't write it.
    #[prost(uint32, optional, tag = "9")]
    latest_attempt: Option<u32>,
}

/// Stored form of [`Outcome`].
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
    /// Number of tasks.
    #[prost(uint32, tag = "1")]
    count: u32,
    /// One bit per task, which is set if the task is done; trailing zero bytes are omitted.
    #[prost(bytes = "vec", tag = "2")]
    done: Vec<u8>,
    /// Runs, three numbers each: the task's index, the attempt and the worker's index.
    #[prost(uint32, repeated, tag = "3")]
    runs: Vec<u32>,
    /// Tasks with more state than `done` and `runs` hold.
    #[prost(message, repeated, tag = "4")]
    detailed: Vec<TaskState>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct TaskState {
    #[prost(uint32, tag = "1")]
    index: u32,
    #[prost(uint32, tag = "2")]
    latest_attempt: u32,
    #[prost(uint32, repeated, tag = "3")]
    failed_attempts: Vec<u32>,
    #[prost(string, tag = "4")]
    checkpoint: String,
    #[prost(uint32, repeated, tag = "5")]
    evicted_attempts: Vec<u32>,
    /// Attempts during which workers crashed, two numbers each: the attempt and the evidence.
    #[prost(uint32, repeated, tag = "6")]
    crashes: Vec<u32>,
    /// Upper bound of the run time before each crash in `crashes`, in milliseconds plus one; 0 if unknown.
    #[prost(uint32, repeated, tag = "7")]
    crash_run_times: Vec<u32>,
    /// Whether the task is never started again.
    #[prost(bool, tag = "8")]
    given_up: bool,
    /// Since when it has run nowhere.
    #[prost(message, optional, tag = "9")]
    absence: Option<AbsenceState>,
    /// For each crash in `crashes`, how certain it is. Zeros at the end are omitted.
    #[prost(uint32, repeated, tag = "10")]
    crash_certainties: Vec<u32>,
    /// For each crash in `crashes`, the worker's index plus one; 0 if it is not known. Zeros at the end are omitted.
    #[prost(uint32, repeated, tag = "11")]
    crashed_workers: Vec<u32>,
    /// For each attempt in `failed_attempts`, the worker's index plus one; 0 if it is not known. Zeros at the end are omitted.
    #[prost(uint32, repeated, tag = "12")]
    failed_on: Vec<u32>,
}

/// Stored form of [`AbsenceRecord`], in milliseconds since the Unix epoch.
#[derive(Clone, Copy, PartialEq, prost::Message)]
struct AbsenceState {
    #[prost(uint64, tag = "1")]
    since: u64,
    #[prost(uint64, tag = "2")]
    restart_by: u64,
}

/// The workers of one record. They are few, so a linear search is enough.
#[derive(Default)]
struct WorkerTable<'a>(Vec<&'a WorkerId>);

impl<'a> WorkerTable<'a> {
    fn index_of(&mut self, id: &'a WorkerId) -> u32 {
        let known = self.0.iter().position(|other| *other == id);
        let index = known.unwrap_or(self.0.len());
        if known.is_none() {
            self.0.push(id);
        }
        index as u32
    }
}

/// Encodes the state of a job.
pub fn encode(rec: &JobRecord) -> Vec<u8> {
    encode_with(rec, |_| true)
}

/// Encodes the state of a job without the checkpoints that are stored apart.
pub fn encode_without_apart(rec: &JobRecord) -> Vec<u8> {
    encode_with(rec, |task| !is_apart(task))
}

/// Encodes the state of a job with those checkpoints for whose tasks `has_checkpoint` holds.
fn encode_with(rec: &JobRecord, has_checkpoint: impl Fn(&TaskRecord) -> bool) -> Vec<u8> {
    let mut workers = WorkerTable::default();
    let mut rounds = Vec::with_capacity(rec.rounds.len());
    for round in &rec.rounds {
        let steps = round.iter().map(|tasks| encode_step(tasks, &mut workers, &has_checkpoint)).collect();
        rounds.push(RoundState { steps });
    }
    let state = StoredJobState {
        cancelled: rec.cancelled,
        started: rec.started,
        outcome: rec.outcome.map(|o| encode_outcome(o) as i32),
        workers: workers.0.into_iter().map(|id| id.to_string()).collect(),
        rounds,
        finished: rec.over.clone().map(|o| FinishedJobState {
            queue: o.queue,
            service: o.service,
            accepted_at: o.accepted_at,
            work: o.work_core_ms,
            cpu_millis: o.max_task_resources.cpu_millis,
            mem_mb: o.max_task_resources.mem_mb,
            gpus: o.max_task_resources.gpus,
            owner: o.owner.number(),
            latest_attempt: o.latest_attempt,
        }),
        owner: rec.owner.map(Owner::number),
        earlier_attempts: rec.earlier_attempts,
        ..StoredJobState::default()
    };
    state.encode_to_vec()
}

/// What the record under a state's own key tells of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartsHeader {
    /// Number of the first part.
    pub first: usize,
    /// Number of parts.
    pub count: usize,
    /// Checksum of the parts, one after the other.
    pub checksum: u64,
}

/// Encodes what is stored under the own key of a state in parts. Without them, as versions read it that know no parts,
/// the job has failed: its tasks may have run, and must not run again.
pub fn encode_header(rec: &JobRecord, header: PartsHeader) -> Vec<u8> {
    let state = StoredJobState {
        started: true,
        outcome: Some(Ended::Failed as i32),
        owner: rec.owner.map(Owner::number),
        earlier_attempts: rec.earlier_attempts,
        ..plain_header(header)
    };
    state.encode_to_vec()
}

/// Encodes what is stored under the own key of a record in parts that is no state of a job.
pub fn encode_plain_header(header: PartsHeader) -> Vec<u8> {
    plain_header(header).encode_to_vec()
}

fn plain_header(header: PartsHeader) -> StoredJobState {
    StoredJobState {
        parts: header.count as u32,
        parts_checksum: header.checksum,
        first_part: header.first as u32,
        ..StoredJobState::default()
    }
}

/// Decodes what a record tells of the parts of its state; `None` for a state that has none.
pub fn decode_header(value: &[u8]) -> Option<PartsHeader> {
    let state = StoredJobState::decode(value).ok().filter(|state| state.parts > 0)?;
    Some(PartsHeader {
        first: state.first_part as usize,
        count: state.parts as usize,
        checksum: state.parts_checksum,
    })
}

fn encode_step<'a>(
    tasks: &'a [TaskRecord],
    workers: &mut WorkerTable<'a>,
    has_checkpoint: &impl Fn(&TaskRecord) -> bool,
) -> StepState {
    let mut s = StepState { count: tasks.len() as u32, ..StepState::default() };
    for (n, t) in tasks.iter().enumerate() {
        let task_index = n as u32;
        if t.done {
            s.done.resize(n / 8 + 1, 0);
            s.done[n / 8] |= 1 << (n % 8);
        }
        for (worker, attempt) in &t.runs {
            s.runs.extend([task_index, *attempt, workers.index_of(worker)]);
        }
        let with_checkpoint = !t.checkpoint.is_empty() && has_checkpoint(t);
        if with_checkpoint || has_details(t) {
            s.detailed.push(TaskState {
                index: task_index,
                latest_attempt: t.latest_attempt,
                failed_attempts: t.failed_runs.iter().map(|(attempt, _)| attempt).collect(),
                checkpoint: if with_checkpoint { t.checkpoint.to_string() } else { String::new() },
                evicted_attempts: t.evicted_attempts.iter().copied().collect(),
                crashes: t
                    .crashes
                    .0
                    .iter()
                    .flat_map(|(attempt, crash)| [*attempt, encode_evidence(crash.evidence) as u32])
                    .collect(),
                crash_run_times: t.crashes.0.values().map(|c| encode_run_time(c.max_run_time)).collect(),
                given_up: t.given_up,
                absence: t.absence.map(|a| AbsenceState { since: a.since, restart_by: a.restart_by }),
                crash_certainties: without_trailing_zeros(
                    t.crashes.0.values().map(|c| encode_certainty(c.certainty)),
                ),
                crashed_workers: without_trailing_zeros(
                    t.crashes.0.values().map(|c| encode_worker(c.worker.as_ref(), workers)),
                ),
                failed_on: without_trailing_zeros(
                    t.failed_runs.iter().map(|(_, worker)| encode_worker(worker, workers)),
                ),
            });
        }
    }
    s
}

/// Whether a task has more state than whether it is done, its runs and its checkpoint. The latest attempt of a task that
/// is done does not count: there will be no other.
fn has_details(t: &TaskRecord) -> bool {
    let latest = t.runs.iter().map(|(_, attempt)| *attempt).max().unwrap_or(0);
    let attempt_not_in_runs = !t.done && t.latest_attempt != latest;
    let has_failures = !t.failed_runs.is_empty() || !t.crashes.is_empty() || t.given_up;
    let has_evictions = !t.evicted_attempts.is_empty();
    attempt_not_in_runs || has_failures || has_evictions || t.absence.is_some()
}

/// Decodes the state of a job. Under which key it is stored, the record does not tell.
pub fn decode(value: &[u8]) -> Result<JobRecord, String> {
    if value.first() == Some(&JSON_FIRST_BYTE) {
        return serde_json::from_slice(value).map_err(|e| e.to_string());
    }
    let state = StoredJobState::decode(value).map_err(|e| e.to_string())?;
    let workers: Vec<WorkerId> = state.workers.iter().map(|w| w.as_str().into()).collect();
    let step = |s: StepState| decode_step(s, &workers);
    let round = |r: RoundState| r.steps.into_iter().map(step).collect::<Result<Vec<_>, _>>();
    Ok(JobRecord {
        cancelled: state.cancelled,
        outcome: state.outcome.map(decode_outcome).transpose()?,
        started: state.started,
        rounds: state.rounds.into_iter().map(round).collect::<Result<_, _>>()?,
        over: state.finished.map(|o| FinishedJobRecord {
            queue: o.queue,
            service: o.service,
            accepted_at: o.accepted_at,
            work_core_ms: o.work,
            max_task_resources: Resources { cpu_millis: o.cpu_millis, mem_mb: o.mem_mb, gpus: o.gpus },
            owner: Owner::from_number(o.owner),
            latest_attempt: o.latest_attempt,
        }),
        owner: state.owner.map(Owner::from_number),
        earlier_attempts: state.earlier_attempts,
        slot: StateSlot::Number,
    })
}

fn decode_step(s: StepState, workers: &[WorkerId]) -> Result<Vec<TaskRecord>, String> {
    let is_done = |n: usize| s.done.get(n / 8).is_some_and(|byte| byte & (1 << (n % 8)) != 0);
    let task = |n: usize| TaskRecord { done: is_done(n), ..TaskRecord::default() };
    let mut tasks: Vec<TaskRecord> = (0..s.count as usize).map(task).collect();
    for run in s.runs.chunks(3) {
        let [index, attempt, worker] = *run else {
            return Err("a run has fewer than three numbers".to_string());
        };
        let worker = workers.get(worker as usize).ok_or("the worker index of a run is out of range")?;
        let task = tasks.get_mut(index as usize).ok_or("the task index of a run is out of range")?;
        task.latest_attempt = task.latest_attempt.max(attempt);
        task.runs.push((worker.clone(), attempt));
    }
    for t in s.detailed {
        let task = tasks.get_mut(t.index as usize).ok_or("the index of a task is out of range")?;
        task.latest_attempt = t.latest_attempt;
        task.failed_runs = decode_failed_runs(&t.failed_attempts, &t.failed_on, workers);
        task.checkpoint = t.checkpoint.into();
        task.evicted_attempts = t.evicted_attempts.into_iter().collect();
        task.given_up = t.given_up;
        task.absence = t.absence.map(|a| AbsenceRecord { since: a.since, restart_by: a.restart_by });
        task.crashes = decode_crashes(&StoredCrashes {
            crashes: &t.crashes,
            run_times: &t.crash_run_times,
            certainties: &t.crash_certainties,
            crashed_workers: &t.crashed_workers,
            workers,
        })?;
    }
    Ok(tasks)
}

fn decode_failed_runs(attempts: &[u32], failed_on: &[u32], workers: &[WorkerId]) -> FailedRuns {
    let worker = |n: usize| decode_worker(failed_on.get(n).copied(), workers);
    let runs: Vec<_> = attempts.iter().enumerate().map(|(n, attempt)| (*attempt, worker(n))).collect();
    runs.iter().map(|(attempt, worker)| (*attempt, worker.as_ref())).collect()
}

/// The crashes of a task in the stored form, with the workers of the job.
struct StoredCrashes<'a> {
    crashes: &'a [u32],
    run_times: &'a [u32],
    certainties: &'a [u32],
    crashed_workers: &'a [u32],
    workers: &'a [WorkerId],
}

fn decode_crashes(stored: &StoredCrashes<'_>) -> Result<CrashHistory, String> {
    let mut history = CrashHistory::default();
    for (n, crash) in stored.crashes.chunks(2).enumerate() {
        let [attempt, evidence] = *crash else {
            return Err("a crash has fewer than two numbers".to_string());
        };
        let crash = CrashRecord {
            evidence: decode_evidence(evidence)?,
            max_run_time: stored.run_times.get(n).and_then(|ms| decode_run_time(*ms)),
            certainty: decode_certainty(stored.certainties.get(n).copied()),
            worker: decode_worker(stored.crashed_workers.get(n).copied(), stored.workers),
        };
        history.0.insert(attempt, crash);
    }
    Ok(history)
}

/// Numbers that are zero where they are missing at the end.
fn without_trailing_zeros(numbers: impl Iterator<Item = u32>) -> Vec<u32> {
    let mut all: Vec<u32> = numbers.collect();
    while all.last() == Some(&0) {
        all.pop();
    }
    all
}

fn encode_certainty(certainty: Certainty) -> u32 {
    match certainty {
        Certainty::Possible => 0,
        Certainty::Certain => 1,
        Certainty::Lapsed => 2,
    }
}

/// A certainty that is not known proves nothing.
fn decode_certainty(stored: Option<u32>) -> Certainty {
    match stored {
        Some(1) => Certainty::Certain,
        Some(2) => Certainty::Lapsed,
        _ => Certainty::Possible,
    }
}

/// The worker's index plus one; 0 for none.
fn encode_worker<'a>(worker: Option<&'a WorkerId>, workers: &mut WorkerTable<'a>) -> u32 {
    worker.map_or(0, |id| workers.index_of(id) + 1)
}

fn decode_worker(stored: Option<u32>, workers: &[WorkerId]) -> Option<WorkerId> {
    let index = stored?.checked_sub(1)?;
    workers.get(index as usize).cloned()
}

/// Longest run time that is stored. A longer one gives no more evidence.
const MAX_RUN_TIME_MS: u128 = 3_600_000;

fn encode_run_time(run_time: Option<Duration>) -> u32 {
    run_time.map_or(0, |d| d.as_millis().min(MAX_RUN_TIME_MS) as u32 + 1)
}

fn decode_run_time(stored: u32) -> Option<Duration> {
    stored.checked_sub(1).map(|ms| Duration::from_millis(ms.into()))
}

/// Stored form of [`Evidence`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
enum StoredEvidence {
    /// [`Evidence::LikelyCause`].
    Explains = 0,
    /// Written by earlier versions, and read as `Explains`.
    ExplainsLate = 1,
    /// [`Evidence::Bystander`].
    Beside = 2,
    /// [`Evidence::Unconfirmed`].
    Supposed = 3,
}

fn encode_evidence(e: Evidence) -> StoredEvidence {
    match e {
        Evidence::LikelyCause => StoredEvidence::Explains,
        Evidence::Bystander => StoredEvidence::Beside,
        Evidence::Unconfirmed => StoredEvidence::Supposed,
    }
}

fn decode_evidence(stored: u32) -> Result<Evidence, String> {
    match StoredEvidence::try_from(stored as i32).map_err(|e| e.to_string())? {
        StoredEvidence::Explains | StoredEvidence::ExplainsLate => Ok(Evidence::LikelyCause),
        StoredEvidence::Beside => Ok(Evidence::Bystander),
        StoredEvidence::Supposed => Ok(Evidence::Unconfirmed),
    }
}

fn encode_outcome(outcome: Outcome) -> Ended {
    match outcome {
        Outcome::Completed => Ended::Completed,
        Outcome::Failed => Ended::Failed,
        Outcome::Canceled => Ended::Canceled,
    }
}

fn decode_outcome(stored: i32) -> Result<Outcome, String> {
    match Ended::try_from(stored).map_err(|e| e.to_string())? {
        Ended::Completed => Ok(Outcome::Completed),
        Ended::Failed => Ok(Outcome::Failed),
        Ended::Canceled => Ok(Outcome::Canceled),
    }
}
