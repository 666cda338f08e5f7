//! The stored form of what the scheduler and the entries keep.
//!
//! The inbox holds a job under its 16 hex digits, and a cancel under `x` and
//! the digits. The state holds a job's state under its digits and a wave's
//! progress under `wave-` and its number, and a life of a worker under
//! `worker-` and its id. A machine that was ordered about lately has a record
//! under `ordered-` and its name.

use serde::Serialize;
use workswood_core::ids::HostId;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::{parse_job, show_job};
use workswood_core::jobs::{JobKey, JobSpec, Record};
use workswood_platform::jobs::KeyedRecord;

use super::{job_spec, job_state};

/// Start of the key of a cancel.
const CANCEL: &str = "x";
/// Start of the key of a wave's progress.
const WAVE: &str = "wave-";
/// Start of the key of a life of a worker.
const WORKER: &str = "worker-";
/// Start of the key of a machine that was ordered about lately.
const ORDERED: &str = "ordered-";

/// A key of the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InboxKey {
    /// A job.
    Job(JobKey),
    /// A cancel.
    Cancel(JobKey),
}

/// A key of the state.
pub enum StateKey {
    /// State of a job.
    Job(JobKey),
    /// Progress of a wave.
    Wave(u64),
    /// A life of a worker.
    Worker(WorkerId),
    /// A machine that was ordered about lately.
    Ordered(HostId),
}

/// Reads a key of the inbox.
pub fn inbox_key(key: &str) -> Option<InboxKey> {
    if let Some(digits) = key.strip_prefix(CANCEL) {
        return parse_job(digits).map(InboxKey::Cancel);
    }
    parse_job(key).map(InboxKey::Job)
}

/// Reads a key of the state.
pub fn state_key(key: &str) -> Option<StateKey> {
    if let Some(n) = key.strip_prefix(WAVE) {
        return n.parse().ok().map(StateKey::Wave);
    }
    if let Some(id) = key.strip_prefix(WORKER) {
        return Some(StateKey::Worker(id.into()));
    }
    if let Some(machine) = key.strip_prefix(ORDERED) {
        return Some(StateKey::Ordered(machine.to_string()));
    }
    parse_job(key).map(StateKey::Job)
}

/// Key of a job in inbox and state.
pub fn job_key(job: JobKey) -> String {
    show_job(job)
}

/// Key of a cancel in the inbox.
pub fn cancel_key(job: JobKey) -> String {
    format!("{CANCEL}{}", show_job(job))
}

/// A job as a record of the inbox.
pub fn job_record(job: JobKey, spec: &JobSpec) -> KeyedRecord {
    KeyedRecord { key: job_key(job), value: Some(job_spec::encode(spec).into()) }
}

/// Any value as a record.
pub fn value_record<T: Serialize>(key: String, value: &T) -> KeyedRecord {
    let value = serde_json::to_vec(value).unwrap_or_default();
    KeyedRecord { key, value: Some(value.into()) }
}

impl InboxKey {
    /// The record that drops what the inbox holds under this key.
    pub fn drop_record(self) -> KeyedRecord {
        drop_record(match self {
            InboxKey::Job(job) => job_key(job),
            InboxKey::Cancel(job) => cancel_key(job),
        })
    }
}

/// The record that drops what is stored under a key.
pub fn drop_record(key: String) -> KeyedRecord {
    KeyedRecord { key, value: None }
}

/// A record of the scheduler's state as it is stored.
pub fn state_record(rec: &Record) -> KeyedRecord {
    match rec {
        Record::Job(job, state) => {
            KeyedRecord { key: job_key(*job), value: Some(job_state::encode(state).into()) }
        }
        Record::DropJob(job) => drop_record(job_key(*job)),
        Record::Wave(n, progress) => value_record(format!("{WAVE}{n}"), progress),
        Record::Worker(id, worker) => value_record(format!("{WORKER}{id}"), worker),
        Record::Ordered(machine, Some(holder)) => value_record(format!("{ORDERED}{machine}"), holder),
        Record::Ordered(machine, None) => drop_record(format!("{ORDERED}{machine}")),
        Record::DropWorker(id) => drop_record(format!("{WORKER}{id}")),
    }
}

/// Keys that leave the inbox with a record of the state.
pub fn inbox_drops(rec: &Record) -> Vec<InboxKey> {
    match rec {
        Record::DropJob(job) => vec![InboxKey::Job(*job), InboxKey::Cancel(*job)],
        Record::Job(..)
        | Record::Wave(..)
        | Record::Worker(..)
        | Record::DropWorker(..)
        | Record::Ordered(..) => Vec::new(),
    }
}
