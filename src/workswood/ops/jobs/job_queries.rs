//! Queries for jobs, which the holder of the scheduler lease answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use workswood_core::ids::ServiceId;
use workswood_core::jobs::{JobKey, JobNumber, JobOwner, JobStatus, Outcome, Owner, QueueConfig, QueueTag};
use workswood_peers::{JobState, JobStateReply, JobStateRequest, Msg, PendingJobsReply, PendingJobsRequest};
use workswood_platform::jobs::CopyOutcome;

use super::bridges;
use super::node::{Holder, Node, SchedulerHandle};
use super::peer_requests::outcome_to_wire;

/// Longest wait for the holder's reply: a few round trips on a busy network.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(700);
/// How long to wait for a holder of a later term if the known one gives no authoritative reply.
/// A read of the store takes this long on a busy host.
const NEXT_HOLDER_TIMEOUT: Duration = Duration::from_millis(300);
/// The holder's knowledge of the inbox is authoritative only if it was read this recently.
const MAX_INBOX_AGE: Duration = Duration::from_millis(2500);

/// Result of a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Lookup<T> {
    /// The holder has the value.
    Found(T),
    /// The holder is up to date and has no such job.
    NotFound,
    /// No holder gave an authoritative reply.
    Unavailable,
}

impl<T> Lookup<T> {
    /// Label in metrics.
    pub fn label(&self) -> &'static str {
        match self {
            Lookup::Found(_) => "known",
            Lookup::NotFound => "unknown",
            Lookup::Unavailable => "unreachable",
        }
    }
}

/// Whether everything that was in the inbox recently is known here.
pub(super) fn is_inbox_current(node: &Node, handle: &SchedulerHandle) -> bool {
    inbox_age_ms(node, handle).is_some_and(|age| age < MAX_INBOX_AGE.as_millis() as u64)
}

/// How long ago everything in the inbox was known here, in milliseconds; `None` before it was first read.
fn inbox_age_ms(node: &Node, handle: &SchedulerHandle) -> Option<u64> {
    let read_at = handle.inbox_read_ms.load(Ordering::Acquire);
    (read_at > 0).then(|| node.now_ms().saturating_sub(read_at))
}

/// The job that a question is about.
enum Asked {
    /// This job.
    Job(JobKey),
    /// Any job of a number on a service.
    AnyOn(JobNumber, ServiceId),
}

impl Asked {
    fn of_request(request: &JobStateRequest) -> Asked {
        let owner = |workspace| JobOwner {
            workspace: Owner::from_number(workspace),
            queue: QueueTag::from_number(request.queue_tag),
        };
        match request.owner {
            Some(workspace) => Asked::Job(JobKey { number: request.job, owner: owner(workspace) }),
            None => Asked::AnyOn(request.job, request.service.clone()),
        }
    }
}

/// A request for the state of a job.
pub(super) fn state_request(job: JobKey) -> JobStateRequest {
    JobStateRequest {
        job: job.number,
        owner: Some(job.owner.workspace.number()),
        queue_tag: job.owner.queue.number(),
        service: String::new(),
    }
}

fn local_job_status(node: &Node, handle: &SchedulerHandle, asked: &Asked) -> Lookup<JobStatus> {
    let statuses = handle.job_statuses.read();
    let status = match asked {
        Asked::Job(job) => {
            let cfg = node.config.load();
            let queue = cfg.as_ref().and_then(|cfg| cfg.queue_of(job.owner.queue));
            statuses.status(*job, queue.map(|q| q.name.as_str()))
        }
        Asked::AnyOn(number, service) => statuses.status_on_service(*number, service),
    };
    match status {
        Some(status) => Lookup::Found(status),
        None if is_inbox_current(node, handle) => Lookup::NotFound,
        None => Lookup::Unavailable,
    }
}

fn local_queued_jobs(node: &Node, handle: &SchedulerHandle, tag: QueueTag, queue: &str) -> Lookup<u64> {
    if !is_inbox_current(node, handle) {
        return Lookup::Unavailable;
    }
    Lookup::Found(handle.job_statuses.read().queued_jobs(tag, queue))
}

/// The tag of the queue that a request is about. An entry of an earlier version tells its name alone.
fn asked_tag(node: &Node, request: &PendingJobsRequest) -> QueueTag {
    let told = QueueTag::from_number(request.queue_tag);
    if !told.is_unknown() {
        return told;
    }
    let cfg = node.config.load();
    let queue = cfg.as_ref().and_then(|cfg| cfg.queues.get(&request.queue));
    queue.map_or(QueueTag::UNKNOWN, QueueConfig::tag)
}

/// Returns the status of a job. A job of another owner is not found.
pub async fn job_status(node: &Arc<Node>, job: JobKey) -> Lookup<JobStatus> {
    if let Some(handle) = node.scheduler.load_full() {
        return local_job_status(node, &handle, &Asked::Job(job));
    }
    let request = state_request(job);
    let is_authoritative = |msg: &Msg| matches!(msg, Msg::JobStateReply(r) if r.authoritative);
    match query_holder(node, Msg::JobStateRequest(request), is_authoritative, || {
        format!("job job={job:016x}")
    })
    .await
    {
        Some(Msg::JobStateReply(r)) if r.authoritative => match r.state {
            Some(s) => {
                JobState::try_from(s).map_or(Lookup::Unavailable, |s| Lookup::Found(status_from_wire(s)))
            }
            None => Lookup::NotFound,
        },
        _ => Lookup::Unavailable,
    }
}

/// Returns how many jobs of a queue have not started, without jobs that repeat on a schedule.
pub async fn queued_jobs(node: &Arc<Node>, queue: &QueueConfig) -> Lookup<u64> {
    let (tag, queue) = (queue.tag(), queue.name.as_str());
    if let Some(handle) = node.scheduler.load_full() {
        return local_queued_jobs(node, &handle, tag, queue);
    }
    let request = PendingJobsRequest { queue: queue.to_string(), queue_tag: tag.number() };
    let request = Msg::PendingJobsRequest(request);
    let is_authoritative = |msg: &Msg| matches!(msg, Msg::PendingJobsReply(r) if r.authoritative);
    match query_holder(node, request, is_authoritative, || format!("pending queue={queue}")).await {
        Some(Msg::PendingJobsReply(r)) if r.authoritative => Lookup::Found(r.pending),
        _ => Lookup::Unavailable,
    }
}

/// Queries the known holder, and a holder of a later term if that reply is not authoritative. `describe`
/// formats the query for the log line that is written if there is no reply.
async fn query_holder(
    node: &Arc<Node>,
    msg: Msg,
    is_authoritative: impl Fn(&Msg) -> bool,
    describe: impl Fn() -> String,
) -> Option<Msg> {
    let holder = node.holder.load_full();
    let term = holder.as_ref().map_or(0, |h| h.term);
    let first = match holder {
        Some(h) => call_once(node, &h, msg.clone(), &describe).await,
        None => None,
    };
    if first.as_ref().is_some_and(&is_authoritative) {
        return first;
    }
    match node.wait_for_later_holder(term, NEXT_HOLDER_TIMEOUT).await {
        Some(later) => call_once(node, &later, msg, &describe).await,
        None => first,
    }
}

/// Sends a query to one holder; `None` if there is no reply.
async fn call_once(
    node: &Arc<Node>,
    holder: &Holder,
    msg: Msg,
    describe: &impl Fn() -> String,
) -> Option<Msg> {
    if holder.released || holder.id == node.id {
        log::info!("event=question_not_asked what={} holder={} reason=no_holder", describe(), holder.id);
        return None;
    }
    let start = node.now();
    let reply = bridges::call(node, &holder.peer_address, msg, HOLDER_TIMEOUT).await;
    if let Err(e) = &reply {
        let took_ms = (node.now() - start).as_millis();
        log::info!(
            "event=question_unanswered what={} holder={} term={} took_ms={took_ms} error={e:?}",
            describe(),
            holder.id,
            holder.term
        );
    }
    reply.ok()
}

/// Answers another process's request for the state of a job.
pub fn answer_job_state_request(node: &Node, request: &JobStateRequest) -> JobStateReply {
    let asked = Asked::of_request(request);
    let known = match &asked {
        Asked::Job(job) => Some(node.numbers.outcome(*job)),
        Asked::AnyOn(..) => None,
    };
    let handed_in = known.filter(|known| *known != CopyOutcome::NotDone).map(|o| outcome_to_wire(o) as i32);
    let Some(handle) = node.scheduler.load_full() else {
        return JobStateReply { handed_in, ..JobStateReply::default() };
    };
    // Read before the status, which is at least as new.
    let inbox_age_ms = inbox_age_ms(node, &handle);
    let (authoritative, state) = match local_job_status(node, &handle, &asked) {
        Lookup::Found(s) => (true, Some(status_to_wire(s) as i32)),
        Lookup::NotFound => (true, None),
        Lookup::Unavailable => (false, None),
    };
    JobStateReply { authoritative, state, inbox_age_ms, handed_in }
}

/// Answers another process's request for the number of jobs of a queue that have not started, without jobs
/// that repeat on a schedule.
pub fn answer_pending_jobs_request(node: &Node, request: &PendingJobsRequest) -> PendingJobsReply {
    let handle = node.scheduler.load_full();
    let tag = asked_tag(node, request);
    let count =
        handle.map_or(Lookup::Unavailable, |handle| local_queued_jobs(node, &handle, tag, &request.queue));
    let (authoritative, pending) = match count {
        Lookup::Found(n) => (true, n),
        Lookup::NotFound | Lookup::Unavailable => (false, 0),
    };
    PendingJobsReply { authoritative, pending }
}

fn status_to_wire(s: JobStatus) -> JobState {
    match s {
        JobStatus::Queued => JobState::Queued,
        JobStatus::Running => JobState::Running,
        JobStatus::Ended(Outcome::Completed) => JobState::Completed,
        JobStatus::Ended(Outcome::Failed) => JobState::Failed,
        JobStatus::Ended(Outcome::Canceled) => JobState::Canceled,
    }
}

fn status_from_wire(s: JobState) -> JobStatus {
    match s {
        JobState::Queued => JobStatus::Queued,
        JobState::Running => JobStatus::Running,
        JobState::Completed => JobStatus::Ended(Outcome::Completed),
        JobState::Failed => JobStatus::Ended(Outcome::Failed),
        JobState::Canceled => JobStatus::Ended(Outcome::Canceled),
    }
}
