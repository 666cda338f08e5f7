//! The stored form of a job as it was submitted.
//!
//! The entry that accepts a job writes the record once. The lease holder reads it, and so does each
//! later holder until the job has finished. Records of earlier versions are JSON, which can still be
//! decoded.

use std::time::Duration;

use prost::Message;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobSpec, QueueTag, Repeat, StepSpec};

/// First byte of a JSON record, as earlier versions wrote it.
const JSON_FIRST_BYTE: u8 = b'{';

#[derive(Clone, PartialEq, prost::Message)]
struct StoredJob {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(uint32, tag = "4")]
    max_attempts: u32,
    #[prost(string, tag = "5")]
    task_input: String,
    #[prost(message, repeated, tag = "6")]
    steps: Vec<StoredStep>,
    #[prost(message, optional, tag = "7")]
    repeat: Option<StoredRepeat>,
    /// In milliseconds since the Unix epoch.
    #[prost(uint64, tag = "8")]
    accepted_at: u64,
    /// `None` if the queue requires no key, and in records of earlier versions.
    #[prost(string, optional, tag = "9")]
    workspace: Option<String>,
    /// Number of the queue's tag; 0 if it is not known. Earlier versions don't write it.
    #[prost(fixed64, tag = "10")]
    queue_tag: u64,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct StoredRepeat {
    #[prost(uint32, tag = "1")]
    count: u32,
    /// In milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    first_due_at: u64,
    #[prost(uint64, tag = "3")]
    interval_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct StoredStep {
    #[prost(uint32, tag = "1")]
    count: u32,
    #[prost(uint64, tag = "2")]
    cpu_millis: u64,
    #[prost(uint64, tag = "3")]
    mem_mb: u64,
    #[prost(uint64, tag = "4")]
    gpus: u64,
    #[prost(uint64, tag = "5")]
    estimate_ms: u64,
    #[prost(uint32, repeated, tag = "6")]
    depends_on: Vec<u32>,
    #[prost(bool, tag = "7")]
    checkpointing: bool,
    #[prost(bool, tag = "8")]
    gang: bool,
    #[prost(bool, tag = "9")]
    same_rack: bool,
    #[prost(string, optional, tag = "10")]
    label: Option<String>,
    #[prost(string, optional, tag = "11")]
    data_rack: Option<String>,
    #[prost(uint32, tag = "12")]
    max_per_worker: u32,
    #[prost(bool, tag = "13")]
    speculative: bool,
    #[prost(bool, tag = "14")]
    long_running: bool,
    #[prost(string, optional, tag = "15")]
    image: Option<String>,
    #[prost(uint64, optional, tag = "16")]
    latency_target_ms: Option<u64>,
    #[prost(bool, tag = "17")]
    best_effort: bool,
    #[prost(uint32, tag = "18")]
    max_unavailable: u32,
}

/// Encodes a job.
pub fn encode(spec: &JobSpec) -> Vec<u8> {
    let stored = StoredJob {
        queue: spec.queue.clone(),
        service: spec.service.clone(),
        priority: spec.priority,
        max_attempts: spec.max_attempts,
        task_input: spec.task_input.to_string(),
        steps: spec.steps.iter().map(encode_step).collect(),
        repeat: spec.repeat.map(|r| StoredRepeat {
            count: r.count,
            first_due_at: r.first_due_at,
            interval_ms: millis(r.interval),
        }),
        accepted_at: spec.accepted_at,
        workspace: spec.workspace.clone(),
        queue_tag: spec.tag.number(),
    };
    stored.encode_to_vec()
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}

fn encode_step(s: &StepSpec) -> StoredStep {
    StoredStep {
        count: s.count,
        cpu_millis: s.resources.cpu_millis,
        mem_mb: s.resources.mem_mb,
        gpus: s.resources.gpus,
        estimate_ms: millis(s.estimate),
        depends_on: s.depends_on.iter().map(|step| u32::from(*step)).collect(),
        checkpointing: s.checkpointing,
        gang: s.gang,
        same_rack: s.same_rack,
        label: s.label.clone(),
        data_rack: s.data_rack.clone(),
        max_per_worker: s.max_per_worker,
        speculative: s.speculative,
        long_running: s.long_running,
        image: s.image.clone(),
        latency_target_ms: s.latency_target.map(millis),
        best_effort: s.best_effort,
        max_unavailable: s.max_unavailable,
    }
}

/// Decodes a job, without the checks that were made when it was submitted.
pub fn decode(value: &[u8]) -> Result<JobSpec, String> {
    match value.first() {
        Some(&JSON_FIRST_BYTE) => serde_json::from_slice(value).map_err(|e| e.to_string()),
        _ => to_spec(StoredJob::decode(value).map_err(|e| e.to_string())?),
    }
}

fn to_spec(stored: StoredJob) -> Result<JobSpec, String> {
    let repeat = |r: StoredRepeat| Repeat {
        count: r.count,
        first_due_at: r.first_due_at,
        interval: Duration::from_millis(r.interval_ms),
    };
    Ok(JobSpec {
        queue: stored.queue,
        service: stored.service,
        priority: stored.priority,
        max_attempts: stored.max_attempts,
        task_input: stored.task_input.into(),
        steps: stored.steps.into_iter().map(decode_step).collect::<Result<_, _>>()?,
        repeat: stored.repeat.map(repeat),
        accepted_at: stored.accepted_at,
        workspace: stored.workspace,
        tag: QueueTag::from_number(stored.queue_tag),
    })
}

fn decode_step(s: StoredStep) -> Result<StepSpec, String> {
    let depends_on = s.depends_on.into_iter().map(u16::try_from).collect::<Result<_, _>>();
    Ok(StepSpec {
        count: s.count,
        resources: Resources { cpu_millis: s.cpu_millis, mem_mb: s.mem_mb, gpus: s.gpus },
        estimate: Duration::from_millis(s.estimate_ms),
        depends_on: depends_on.map_err(|_| "the number of a dependency step is above 65535".to_string())?,
        checkpointing: s.checkpointing,
        gang: s.gang,
        same_rack: s.same_rack,
        label: s.label,
        data_rack: s.data_rack,
        max_per_worker: s.max_per_worker,
        speculative: s.speculative,
        long_running: s.long_running,
        image: s.image,
        latency_target: s.latency_target_ms.map(Duration::from_millis),
        best_effort: s.best_effort,
        max_unavailable: s.max_unavailable,
    })
}
