//! The stored form of a job as it was handed in.
//!
//! Every job is written once by the host that took it and read once by the lease holder,
//! and again by each new one while it is open. Versions before this one wrote JSON, which
//! is still read.

use std::time::Duration;

use prost::Message;
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobSpec, Repeat, StepSpec};

/// First byte of a record that a version before this one wrote.
const JSON: u8 = b'{';

#[derive(Clone, PartialEq, prost::Message)]
struct HandedIn {
    #[prost(string, tag = "1")]
    queue: String,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(uint32, tag = "3")]
    priority: u32,
    #[prost(uint32, tag = "4")]
    max_attempts: u32,
    #[prost(string, tag = "5")]
    text: String,
    #[prost(message, repeated, tag = "6")]
    steps: Vec<Step>,
    #[prost(message, optional, tag = "7")]
    repeat: Option<Rounds>,
    /// In milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    accepted: u64,
    /// None where the queue is open to all, and in records of versions before this one.
    #[prost(string, optional, tag = "9")]
    workspace: Option<String>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
struct Rounds {
    #[prost(uint32, tag = "1")]
    count: u32,
    #[prost(uint64, tag = "2")]
    start: u64,
    #[prost(uint64, tag = "3")]
    every_ms: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Step {
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
    after: Vec<u32>,
    #[prost(bool, tag = "7")]
    checkpointing: bool,
    #[prost(bool, tag = "8")]
    gang: bool,
    #[prost(bool, tag = "9")]
    same_rack: bool,
    #[prost(string, optional, tag = "10")]
    label: Option<String>,
    #[prost(string, optional, tag = "11")]
    near: Option<String>,
    #[prost(uint32, tag = "12")]
    most_per_worker: u32,
    #[prost(bool, tag = "13")]
    speculative: bool,
    #[prost(bool, tag = "14")]
    lasting: bool,
    #[prost(string, optional, tag = "15")]
    image: Option<String>,
    #[prost(uint64, optional, tag = "16")]
    target_ms: Option<u64>,
    #[prost(bool, tag = "17")]
    fills: bool,
    #[prost(uint32, tag = "18")]
    may_miss: u32,
}

/// Encodes a job.
pub fn encode(spec: &JobSpec) -> Vec<u8> {
    let handed = HandedIn {
        queue: spec.queue.clone(),
        service: spec.service.clone(),
        priority: spec.priority,
        max_attempts: spec.max_attempts,
        text: spec.task_input.to_string(),
        steps: spec.steps.iter().map(write_step).collect(),
        repeat: spec.repeat.map(|r| Rounds {
            count: r.count,
            start: r.first_due_at,
            every_ms: millis(r.interval),
        }),
        accepted: spec.accepted_at,
        workspace: spec.workspace.clone(),
    };
    handed.encode_to_vec()
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}

fn write_step(s: &StepSpec) -> Step {
    Step {
        count: s.count,
        cpu_millis: s.resources.cpu_millis,
        mem_mb: s.resources.mem_mb,
        gpus: s.resources.gpus,
        estimate_ms: millis(s.estimate),
        after: s.depends_on.iter().map(|a| u32::from(*a)).collect(),
        checkpointing: s.checkpointing,
        gang: s.gang,
        same_rack: s.same_rack,
        label: s.label.clone(),
        near: s.data_rack.clone(),
        most_per_worker: s.max_per_worker,
        speculative: s.speculative,
        lasting: s.long_running,
        image: s.image.clone(),
        target_ms: s.latency_target.map(millis),
        fills: s.best_effort,
        may_miss: s.max_unavailable,
    }
}

/// Decodes a job. It was checked when it was handed in.
pub fn decode(value: &[u8]) -> Result<JobSpec, String> {
    match value.first() {
        Some(&JSON) => serde_json::from_slice(value).map_err(|e| e.to_string()),
        _ => read(HandedIn::decode(value).map_err(|e| e.to_string())?),
    }
}

fn read(handed: HandedIn) -> Result<JobSpec, String> {
    let every = |r: Rounds| Duration::from_millis(r.every_ms);
    Ok(JobSpec {
        queue: handed.queue,
        service: handed.service,
        priority: handed.priority,
        max_attempts: handed.max_attempts,
        task_input: handed.text.into(),
        steps: handed.steps.into_iter().map(read_step).collect::<Result<_, _>>()?,
        repeat: handed.repeat.map(|r| Repeat { count: r.count, first_due_at: r.start, interval: every(r) }),
        accepted_at: handed.accepted,
        workspace: handed.workspace,
    })
}

fn read_step(s: Step) -> Result<StepSpec, String> {
    let after = s.after.into_iter().map(u16::try_from).collect::<Result<_, _>>();
    Ok(StepSpec {
        count: s.count,
        resources: Resources { cpu_millis: s.cpu_millis, mem_mb: s.mem_mb, gpus: s.gpus },
        estimate: Duration::from_millis(s.estimate_ms),
        depends_on: after.map_err(|_| "a step waits for one that there is not".to_string())?,
        checkpointing: s.checkpointing,
        gang: s.gang,
        same_rack: s.same_rack,
        label: s.label,
        data_rack: s.near,
        max_per_worker: s.most_per_worker,
        speculative: s.speculative,
        long_running: s.lasting,
        image: s.image,
        latency_target: s.target_ms.map(Duration::from_millis),
        best_effort: s.fills,
        max_unavailable: s.may_miss,
    })
}
