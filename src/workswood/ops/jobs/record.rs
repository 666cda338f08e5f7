//! Keys and records of the inbox and of the scheduler's state, as they are stored.
//!
//! The inbox holds a job under the 16 hex digits of its number, `-`, 16 hex digits for the workspace (0 for none), `-`, and 16
//! hex digits for the address of the queue, so that nobody can replace what another caller wrote under the same number. The
//! cancellation of a job has `x` in front. Earlier versions wrote no queue, and no workspace where there was none.
//!
//! The state holds a job under the same key, or, if its queue is not known, under the digits of its number; these, `-`
//! and the digits of its workspace if the number was that of another workspace's job before; the progress of a wave under `wave-` and its
//! number, an incarnation of a worker under `worker-` and its id, what one has left behind that is
//! over under `ended-` and its id, and the mark of a host that recently received an order under
//! `ordered-` and its name. A checkpoint that is stored apart is under `checkpoint-`, the key of its job's state, `+`, and the
//! round, step and index of its task.

use std::fmt;

use bytes::Bytes;
use serde::Serialize;
use workswood_core::ids::HostId;
use workswood_core::jobs::job::{StateSlot, WorkerId};
use workswood_core::jobs::spec::{format_job_number, parse_job_number};
use workswood_core::jobs::{JobKey, JobNumber, JobOwner, JobSpec, Owner, QueueTag, Record};
use workswood_platform::jobs::KeyedRecord;

use super::{job_spec, job_state};

/// Prefix of the key of a cancellation.
const CANCEL_PREFIX: &str = "x";
/// Separates the digits of a job from those of its owner.
const OWNER_SEPARATOR: char = '-';
/// Prefix of the key of a wave's progress.
const WAVE_PREFIX: &str = "wave-";
/// Prefix of the key of an incarnation of a worker.
const WORKER_PREFIX: &str = "worker-";
/// Prefix of the key of an incarnation of a worker that is over.
const ENDED_PREFIX: &str = "ended-";
/// Prefix of the key of the mark of a host that recently received an order.
const ORDERED_PREFIX: &str = "ordered-";

/// Prefix of the key of a checkpoint.
const CHECKPOINT_PREFIX: &str = "checkpoint-";
/// Separates the key of the job's state from the place of the task.
const PLACE_SEPARATOR: char = '+';

/// Which task of its job a checkpoint is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPlace {
    /// Round of the job.
    pub round: u32,
    /// Step of the job.
    pub step: u16,
    /// Index of the task within its step.
    pub index: u32,
}

/// A key of the inbox. Keys are ordered by job first, so those of one job are adjacent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboxKey {
    /// The job.
    pub job: JobKey,
    /// What the record says of the job.
    pub kind: InboxRecordKind,
}

/// Kind of a record of the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InboxRecordKind {
    /// The job, as it was submitted.
    Job,
    /// The cancellation of the job.
    Cancel,
}

/// A key of the state.
pub enum StateKey {
    /// The state of a job. Its workspace is part of the key unless that is [`StateSlot::Number`] and has no queue.
    Job(JobKey, StateSlot),
    /// The progress of the wave with this number.
    Wave(u64),
    /// An incarnation of a worker.
    Worker(WorkerId),
    /// An incarnation of a worker that is over.
    EndedIncarnation(WorkerId),
    /// The mark of a host that recently received an order.
    HostOrderMark(HostId),
    /// The checkpoint of a task, with the key of its job's state.
    Checkpoint(String, TaskPlace),
}

/// Parses a key of the inbox; `None` if it is malformed.
pub fn parse_inbox_key(key: &str) -> Option<InboxKey> {
    let (kind, name) = match key.strip_prefix(CANCEL_PREFIX) {
        Some(name) => (InboxRecordKind::Cancel, name),
        None => (InboxRecordKind::Job, key),
    };
    Some(InboxKey { job: parse_job_key(name)?, kind })
}

/// Parses the key of a job: its number, its workspace unless it has none, and its queue if that is known.
fn parse_job_key(text: &str) -> Option<JobKey> {
    let mut numbers = text.split(OWNER_SEPARATOR).map(parse_job_number);
    let number = numbers.next()??;
    let workspace = Owner::from_number(numbers.next().unwrap_or(Some(0))?);
    let queue = QueueTag::from_number(numbers.next().unwrap_or(Some(0))?);
    numbers.next().is_none().then_some(JobKey { number, owner: JobOwner { workspace, queue } })
}

/// Formats the key of a job whose queue is known.
fn format_full_key(job: JobKey) -> String {
    let JobOwner { workspace, queue } = job.owner;
    format!(
        "{}{OWNER_SEPARATOR}{}{OWNER_SEPARATOR}{}",
        format_job_number(job.number),
        format_job_number(workspace.number()),
        format_job_number(queue.number())
    )
}

/// Formats the number and the workspace of a job.
fn format_workspace_key(job: JobKey) -> String {
    let workspace = format_job_number(job.owner.workspace.number());
    format!("{}{OWNER_SEPARATOR}{workspace}", format_job_number(job.number))
}

/// Parses a key of the state; `None` if it is malformed.
pub fn parse_state_key(key: &str) -> Option<StateKey> {
    if let Some(n) = key.strip_prefix(WAVE_PREFIX) {
        return n.parse().ok().map(StateKey::Wave);
    }
    if let Some(id) = key.strip_prefix(WORKER_PREFIX) {
        return Some(StateKey::Worker(id.into()));
    }
    if let Some(id) = key.strip_prefix(ENDED_PREFIX) {
        return Some(StateKey::EndedIncarnation(id.into()));
    }
    if let Some(host) = key.strip_prefix(ORDERED_PREFIX) {
        return Some(StateKey::HostOrderMark(host.to_string()));
    }
    if let Some(name) = key.strip_prefix(CHECKPOINT_PREFIX) {
        let (job, place) = name.rsplit_once(PLACE_SEPARATOR)?;
        return Some(StateKey::Checkpoint(job.to_string(), parse_place(place)?));
    }
    let job = parse_job_key(key)?;
    let has_workspace = key.contains(OWNER_SEPARATOR) && !job.has_queue();
    Some(StateKey::Job(job, if has_workspace { StateSlot::NumberAndOwner } else { StateSlot::Number }))
}

fn parse_place(text: &str) -> Option<TaskPlace> {
    let mut numbers = text.split('.');
    let round = numbers.next()?.parse().ok()?;
    let step = numbers.next()?.parse().ok()?;
    let index = numbers.next()?.parse().ok()?;
    numbers.next().is_none().then_some(TaskPlace { round, step, index })
}

/// The key of a checkpoint that is stored apart, with the key of its job's state.
pub fn checkpoint_key(job: &str, place: TaskPlace) -> String {
    let TaskPlace { round, step, index } = place;
    format!("{CHECKPOINT_PREFIX}{job}{PLACE_SEPARATOR}{round}.{step}.{index}")
}

/// Returns the inbox record that cancels a job.
pub fn cancel_record(job: JobKey) -> KeyedRecord {
    let key = InboxKey { job, kind: InboxRecordKind::Cancel };
    KeyedRecord { key: key.to_string(), value: Some(Bytes::from_static(b"1")) }
}

/// Returns the inbox record of a job that was submitted under a number.
pub fn job_record(number: JobNumber, spec: &JobSpec) -> KeyedRecord {
    let key = InboxKey { job: spec.key(number), kind: InboxRecordKind::Job };
    KeyedRecord { key: key.to_string(), value: Some(job_spec::encode(spec).into()) }
}

/// Returns a record with the value in JSON.
pub fn json_record<T: Serialize>(key: String, value: &T) -> KeyedRecord {
    let value = serde_json::to_vec(value).unwrap_or_default();
    KeyedRecord { key, value: Some(value.into()) }
}

impl InboxKey {
    /// Returns the record that deletes what the inbox holds under this key.
    pub fn deletion_record(self) -> KeyedRecord {
        deletion_record(self.to_string())
    }
}

impl fmt::Display for InboxKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = match self.kind {
            InboxRecordKind::Job => "",
            InboxRecordKind::Cancel => CANCEL_PREFIX,
        };
        let key = match (self.job.has_queue(), self.job.owner.workspace.is_public()) {
            (true, _) => format_full_key(self.job),
            (false, false) => format_workspace_key(self.job),
            (false, true) => format_job_number(self.job.number),
        };
        write!(f, "{prefix}{key}")
    }
}

/// Returns the record that deletes what is stored under a key.
pub fn deletion_record(key: String) -> KeyedRecord {
    KeyedRecord { key, value: None }
}

/// Returns the stored form of a record of the scheduler's state. A job is without the checkpoints that are stored apart.
pub fn state_record(rec: &Record) -> KeyedRecord {
    match rec {
        Record::Job(job, state) => {
            let key = job_state_key(*job, state.slot);
            KeyedRecord { key, value: Some(job_state::encode_without_apart(state).into()) }
        }
        Record::DropJob(job, slot) => deletion_record(job_state_key(*job, *slot)),
        Record::Wave(n, progress) => json_record(format!("{WAVE_PREFIX}{n}"), progress),
        Record::Worker(id, worker) => json_record(format!("{WORKER_PREFIX}{id}"), worker),
        Record::EndedIncarnation(id, Some(ended)) => json_record(format!("{ENDED_PREFIX}{id}"), ended),
        Record::EndedIncarnation(id, None) => deletion_record(format!("{ENDED_PREFIX}{id}")),
        Record::HostOrderMark(host, Some(holder)) => json_record(format!("{ORDERED_PREFIX}{host}"), holder),
        Record::HostOrderMark(host, None) => deletion_record(format!("{ORDERED_PREFIX}{host}")),
        Record::DropWorker(id) => deletion_record(format!("{WORKER_PREFIX}{id}")),
    }
}

/// The key under which the state of a job is stored.
fn job_state_key(job: JobKey, slot: StateSlot) -> String {
    match (job.has_queue(), slot) {
        (true, _) => format_full_key(job),
        (false, StateSlot::Number) => format_job_number(job.number),
        (false, StateSlot::NumberAndOwner) => format_workspace_key(job),
    }
}

/// Returns the job whose state the record deletes, if any.
pub fn deleted_job(rec: &Record) -> Option<JobKey> {
    match rec {
        Record::DropJob(job, _) => Some(*job),
        Record::Job(..)
        | Record::Wave(..)
        | Record::Worker(..)
        | Record::DropWorker(..)
        | Record::EndedIncarnation(..)
        | Record::HostOrderMark(..) => None,
    }
}
