//! The stored form of what the scheduler and the entries keep.
//!
//! The inbox holds a job under its 16 hex digits, and a cancel under `x` and
//! the digits; `-` and 16 hex digits for its owner follow where a workspace owns the job, so that
//! what another workspace writes of the same number replaces nothing. The state holds a job's state under its digits and a wave's
//! progress under `wave-` and its number, and a life of a worker under
//! `worker-` and its id. A host that was ordered about lately has a record
//! under `ordered-` and its name.

use std::fmt;

use bytes::Bytes;
use serde::Serialize;
use workswood_core::ids::HostId;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::spec::{format_job_key, parse_job_key};
use workswood_core::jobs::{JobKey, JobSpec, Owner, Record};
use workswood_platform::jobs::KeyedRecord;

use super::{job_spec, job_state};

/// Start of the key of a cancel.
const CANCEL: &str = "x";
/// What stands between a job's number and its owner's.
const OWNER: char = '-';
/// Start of the key of a wave's progress.
const WAVE: &str = "wave-";
/// Start of the key of a life of a worker.
const WORKER: &str = "worker-";
/// Start of the key of a host that was ordered about lately.
const ORDERED: &str = "ordered-";

/// A key of the inbox. Keys of one job stand together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InboxKey {
    /// The job.
    pub job: JobKey,
    /// Who wrote it.
    pub owner: Owner,
    /// What is held under it.
    pub what: InboxItem,
}

/// What the inbox holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InboxItem {
    /// A job as it was handed in.
    Job,
    /// That it was cancelled.
    Cancel,
}

/// A key of the state.
pub enum StateKey {
    /// State of a job.
    Job(JobKey),
    /// Progress of a wave.
    Wave(u64),
    /// A life of a worker.
    Worker(WorkerId),
    /// A host that was ordered about lately.
    Ordered(HostId),
}

/// Reads a key of the inbox.
pub fn inbox_key(key: &str) -> Option<InboxKey> {
    let (what, name) = match key.strip_prefix(CANCEL) {
        Some(name) => (InboxItem::Cancel, name),
        None => (InboxItem::Job, key),
    };
    let (job, owner) = name.split_once(OWNER).map_or((name, None), |(job, owner)| (job, Some(owner)));
    let owner = match owner {
        Some(digits) => Owner::from_number(parse_job_key(digits)?),
        None => Owner::PUBLIC,
    };
    Some(InboxKey { job: parse_job_key(job)?, owner, what })
}

/// Reads a key of the state.
pub fn state_key(key: &str) -> Option<StateKey> {
    if let Some(n) = key.strip_prefix(WAVE) {
        return n.parse().ok().map(StateKey::Wave);
    }
    if let Some(id) = key.strip_prefix(WORKER) {
        return Some(StateKey::Worker(id.into()));
    }
    if let Some(host) = key.strip_prefix(ORDERED) {
        return Some(StateKey::Ordered(host.to_string()));
    }
    parse_job_key(key).map(StateKey::Job)
}

/// Key of a job in the state.
pub fn job_key(job: JobKey) -> String {
    format_job_key(job)
}

/// A cancel as a record of the inbox.
pub fn cancel_record(job: JobKey, owner: Owner) -> KeyedRecord {
    let key = InboxKey { job, owner, what: InboxItem::Cancel };
    KeyedRecord { key: key.to_string(), value: Some(Bytes::from_static(b"1")) }
}

/// A job as a record of the inbox.
pub fn job_record(job: JobKey, spec: &JobSpec) -> KeyedRecord {
    let key = InboxKey { job, owner: spec.owner(), what: InboxItem::Job };
    KeyedRecord { key: key.to_string(), value: Some(job_spec::encode(spec).into()) }
}

/// Any value as a record.
pub fn value_record<T: Serialize>(key: String, value: &T) -> KeyedRecord {
    let value = serde_json::to_vec(value).unwrap_or_default();
    KeyedRecord { key, value: Some(value.into()) }
}

impl InboxKey {
    /// The record that drops what the inbox holds under this key.
    pub fn drop_record(self) -> KeyedRecord {
        drop_record(self.to_string())
    }
}

impl fmt::Display for InboxKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let start = match self.what {
            InboxItem::Job => "",
            InboxItem::Cancel => CANCEL,
        };
        write!(f, "{start}{}", format_job_key(self.job))?;
        if self.owner.is_public() {
            Ok(())
        } else {
            write!(f, "{OWNER}{}", format_job_key(self.owner.number()))
        }
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
        Record::HostOrderMark(host, Some(holder)) => value_record(format!("{ORDERED}{host}"), holder),
        Record::HostOrderMark(host, None) => drop_record(format!("{ORDERED}{host}")),
        Record::DropWorker(id) => drop_record(format!("{WORKER}{id}")),
    }
}

/// The job that leaves the inbox with a record of the state.
pub fn inbox_drop(rec: &Record) -> Option<JobKey> {
    match rec {
        Record::DropJob(job) => Some(*job),
        Record::Job(..)
        | Record::Wave(..)
        | Record::Worker(..)
        | Record::DropWorker(..)
        | Record::HostOrderMark(..) => None,
    }
}
