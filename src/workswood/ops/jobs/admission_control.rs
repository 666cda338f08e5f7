//! Asks the lease holder whether a submitted job can be done in time, and answers for the holder.
//!
//! The decision is that of [`workswood_core::jobs::admission`]. Whatever keeps an entry from learning
//! it admits the job.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{JobKey, JobOwner, JobSpec, Owner, QueueTag, Scheduler, StepSpec, Verdict};
use workswood_peers::{AdmissionOutcome, AdmissionReply, AdmissionRequest, Msg, StepDemand};

use super::job_queries::is_inbox_current;
use super::node::{Node, SchedulerHandle};

/// Timeout of the question to the holder. A job that is refused has to be refused soon.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the holder is not asked after it gave no answer.
const SILENT_HOLDER_PAUSE: Duration = Duration::from_millis(500);

/// When this entry may ask the holder again, in milliseconds since the process started.
#[derive(Debug, Default)]
pub struct HolderPause(AtomicU64);

impl HolderPause {
    pub(super) fn is_over(&self, now: Duration) -> bool {
        now.as_millis() as u64 >= self.0.load(Ordering::Relaxed)
    }

    pub(super) fn begin(&self, now: Duration) {
        self.0.store((now + SILENT_HOLDER_PAUSE).as_millis() as u64, Ordering::Relaxed);
    }
}

/// Whether a job is admitted. `None` if nobody has weighed it.
pub async fn weigh(node: &Arc<Node>, job: JobKey, spec: &JobSpec) -> Option<Verdict> {
    if !node.settings.policy.admission.enabled || spec.repeat.is_some() || spec.is_long_running() {
        return None;
    }
    let request = request_of(job, spec);
    if let Some(handle) = node.scheduler.load_full() {
        return verdict_of(&answer_for(node, &handle, &request));
    }
    let holder = node.holder.load_full().filter(|h| !h.released && h.id != node.id)?;
    if !node.admission_pause.is_over(node.now()) {
        return None;
    }
    let msg = Msg::AdmissionRequest(request);
    match node.peers.call(&node.id, &holder.peer_address, msg, HOLDER_TIMEOUT).await {
        Ok(Msg::AdmissionReply(reply)) => verdict_of(&reply),
        reply => {
            node.admission_pause.begin(node.now());
            log::info!(
                "event=job_not_weighed job={job:016x} holder={} term={} answered={}",
                holder.id,
                holder.term,
                reply.is_ok()
            );
            None
        }
    }
}

/// Answers another entry's question whether a job is admitted.
pub fn answer_request(node: &Node, request: &AdmissionRequest) -> AdmissionReply {
    let handle = node.scheduler.load_full();
    handle.map_or_else(AdmissionReply::default, |handle| answer_for(node, &handle, request))
}

/// Publishes the loads of the scheduler to the admission of jobs.
pub fn publish(node: &Node, handle: &SchedulerHandle, sched: &Scheduler) {
    if sched.policy.admission.enabled {
        let loads = sched.loads();
        handle.admission.lock().update(loads, |key| sched.jobs.contains(key), node.now());
    }
}

fn answer_for(node: &Node, handle: &SchedulerHandle, request: &AdmissionRequest) -> AdmissionReply {
    let spec = spec_of(request);
    let workspace = Owner::from_number(request.owner);
    let job = JobKey { number: request.job, owner: JobOwner { workspace, queue: spec.tag } };
    let known = handle.job_statuses.read().status(job, Some(&spec.queue)).is_some();
    let Some(config) = node.config.load_full().filter(|_| !known && is_inbox_current(node, handle)) else {
        return AdmissionReply::default();
    };
    let policy = &node.settings.policy;
    let mut admission = handle.admission.lock();
    let Some(candidate) = admission.candidate(job, &spec, &config, &policy.order) else {
        return AdmissionReply::default();
    };
    let candidate = workswood_core::jobs::Candidate { owner: workspace, ..candidate };
    reply_of(admission.decide(&candidate, &policy.admission, node.now(), node.wall()))
}

fn request_of(job: JobKey, spec: &JobSpec) -> AdmissionRequest {
    let demand = |s: &StepSpec| StepDemand {
        tasks: s.count,
        cpu_millis: s.resources.cpu_millis,
        estimate_ms: s.estimate.as_millis() as u64,
        depends_on: s.depends_on.iter().map(|n| u32::from(*n)).collect(),
    };
    AdmissionRequest {
        job: job.number,
        owner: spec.owner().number(),
        queue: spec.queue.clone(),
        steps: spec.steps.iter().map(demand).collect(),
        queue_tag: spec.tag.number(),
    }
}

/// The job of a request, as far as its work is concerned.
fn spec_of(request: &AdmissionRequest) -> JobSpec {
    let step = |d: &StepDemand| StepSpec {
        count: d.tasks,
        resources: Resources { cpu_millis: d.cpu_millis, ..Resources::default() },
        estimate: Duration::from_millis(d.estimate_ms),
        depends_on: d.depends_on.iter().map(|n| u16::try_from(*n).unwrap_or(u16::MAX)).collect(),
        ..StepSpec::default()
    };
    JobSpec {
        queue: request.queue.clone(),
        service: String::new(),
        workspace: None,
        tag: QueueTag::from_number(request.queue_tag),
        priority: 0,
        max_attempts: 1,
        task_input: "".into(),
        steps: request.steps.iter().map(step).collect(),
        repeat: None,
        accepted_at: 0,
    }
}

fn reply_of(verdict: Verdict) -> AdmissionReply {
    let ms = |d: Duration| d.as_millis() as u64;
    match verdict {
        Verdict::Admitted { age } => AdmissionReply {
            outcome: AdmissionOutcome::Admitted as i32,
            age_ms: ms(age),
            ..AdmissionReply::default()
        },
        Verdict::Refused { retry_after, wait, age } => AdmissionReply {
            outcome: AdmissionOutcome::Refused as i32,
            age_ms: ms(age),
            retry_after_ms: ms(retry_after),
            wait_ms: ms(wait),
        },
    }
}

fn verdict_of(reply: &AdmissionReply) -> Option<Verdict> {
    let age = Duration::from_millis(reply.age_ms);
    match reply.outcome() {
        AdmissionOutcome::NotWeighed => None,
        AdmissionOutcome::Admitted => Some(Verdict::Admitted { age }),
        AdmissionOutcome::Refused => Some(Verdict::Refused {
            retry_after: Duration::from_millis(reply.retry_after_ms),
            wait: Duration::from_millis(reply.wait_ms),
            age,
        }),
    }
}
