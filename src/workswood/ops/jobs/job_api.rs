//! The HTTP interface for callers: submits jobs, returns their state and cancels them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use workswood_adapter::callers as wire;
use workswood_callers::{BodyError, Handler, ReplyBody, bearer_token, full_body, read_request, refusal};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::ids::WorkspaceId;
use workswood_core::jobs::admission::retry_after_outage;
use workswood_core::jobs::spec::parse_job_number;
use workswood_core::jobs::{JobKey, JobOwner, JobSpec, Owner, QueueConfig, QueueTag, SchedConfig};

use super::hand_in::{self, HandIn};
use super::inbox::Stored;
use super::job_queries::{self, Lookup};
use super::node::Node;
use super::record::cancel_record;

/// When a caller should retry after a refusal.
/// A store or lease holder that is away is mostly back or replaced within a few seconds.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// When the caller of a job should retry that can't be done before the configuration is changed.
const RETRY_AFTER_CONFIG: Duration = Duration::from_secs(60);
/// Longest outage of the store that callers are told to wait out.
const MAX_EXPECTED_OUTAGE: Duration = Duration::from_secs(8);
/// Timeout of a caller that does not state one.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time that a caller is kept waiting.
/// A store that needs longer for an append is as good as away.
const MAX_CALLER_TIMEOUT: Duration = Duration::from_secs(5);
/// Part of the caller's timeout that is reserved for sending the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Returns the handler of callers' requests.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |req| {
        let node = node.clone();
        async move { handle(&node, req).await }.boxed()
    })
}

async fn handle(node: &Arc<Node>, req: Request<Incoming>) -> Response<ReplyBody> {
    let Some(cfg) = node.config.load_full() else {
        return refusal(Code::NotCaughtUp, ExecutionStatus::NotRun, Some(RETRY_AFTER));
    };
    let host_name = requested_host_name(&req);
    let path = req.uri().path().to_string();
    let Some(queue) = cfg.route(&host_name, &path) else {
        log::info!("event=no_route host={host_name} path={path} version={}", cfg.version);
        return refusal(Code::UnknownRoute, ExecutionStatus::NotRun, None);
    };
    let workspace = match calling_workspace(&cfg, queue, &req) {
        Ok(workspace) => workspace,
        Err(reason) => {
            node.metrics.rejected_keys.with_label_values(&[reason.label()]).inc();
            log::info!(
                "event=key_refused code={} reason={} queue={} version={}",
                Code::ApiKey.number(),
                reason.label(),
                queue.name,
                cfg.version
            );
            return refusal(Code::ApiKey, ExecutionStatus::NotRun, None);
        }
    };
    let tag = queue_tag(node, queue);
    let rest = path[queue.path_prefix.len()..].trim_matches('/');
    if rest.is_empty() {
        return get_queued_jobs(node, &req, queue).await;
    }
    let Some(number) = parse_job_number(rest) else {
        return refusal(Code::JobMalformed, ExecutionStatus::NotRun, None);
    };
    let owner = JobOwner { workspace: Owner::of_workspace(workspace.as_deref()), queue: tag };
    let job = JobKey { number, owner };
    match *req.method() {
        Method::POST => submit_job(node, &cfg, queue, job, workspace, req).await,
        Method::GET => get_job_status(node, job).await,
        Method::DELETE => cancel_job(node, job, &req).await,
        _ => refusal(Code::MethodUnknown, ExecutionStatus::NotRun, None),
    }
}

/// The tag of a queue, with which its jobs are stored. A lease holder of an earlier version doesn't read jobs with one.
fn queue_tag(node: &Node, queue: &QueueConfig) -> QueueTag {
    let knows_queues = node.holder.load().as_ref().is_none_or(|holder| holder.knows_queues);
    if knows_queues { queue.tag() } else { QueueTag::UNKNOWN }
}

/// Why the API key of a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyRefusal {
    /// The call carries no key.
    Missing,
    /// No workspace of the configuration in force has that key.
    Unknown,
}

impl KeyRefusal {
    /// Name in logs and metrics.
    fn label(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "missing",
            KeyRefusal::Unknown => "unknown",
        }
    }
}

/// The workspace whose key a call carries; `None` for a queue that requires no key.
fn calling_workspace(
    cfg: &SchedConfig,
    queue: &QueueConfig,
    req: &Request<Incoming>,
) -> Result<Option<WorkspaceId>, KeyRefusal> {
    if !queue.requires_key {
        return Ok(None);
    }
    let key = bearer_token(req.headers()).ok_or(KeyRefusal::Missing)?;
    cfg.workspaces.keys.workspace(key).cloned().map(Some).ok_or(KeyRefusal::Unknown)
}

/// The host name that a request was sent to, in lower case and without the port.
fn requested_host_name(req: &Request<Incoming>) -> String {
    let header = req.headers().get(hyper::header::HOST).and_then(|h| h.to_str().ok());
    let host_name = header.or_else(|| req.uri().host()).unwrap_or_default();
    host_name.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

fn json_response(body: Bytes) -> Response<ReplyBody> {
    let res = Response::builder().status(200).header("content-type", "application/json");
    res.body(full_body(body)).unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
}

async fn get_queued_jobs(
    node: &Arc<Node>,
    req: &Request<Incoming>,
    queue: &QueueConfig,
) -> Response<ReplyBody> {
    if req.method() != Method::GET {
        return refusal(Code::MethodUnknown, ExecutionStatus::NotRun, None);
    }
    match job_queries::queued_jobs(node, queue).await {
        Lookup::Found(n) => json_response(wire::pending_body(n)),
        Lookup::NotFound | Lookup::Unavailable => {
            refusal(Code::HolderAway, ExecutionStatus::NotRun, Some(RETRY_AFTER))
        }
    }
}

async fn get_job_status(node: &Arc<Node>, job: JobKey) -> Response<ReplyBody> {
    let status = job_queries::job_status(node, job).await;
    node.metrics.status_queries.with_label_values(&[status.label()]).inc();
    match status {
        Lookup::Found(s) => json_response(wire::state_body(s)),
        Lookup::NotFound => refusal(Code::JobUnknown, ExecutionStatus::NotRun, None),
        Lookup::Unavailable => refusal(Code::HolderAway, ExecutionStatus::NotRun, Some(RETRY_AFTER)),
    }
}

async fn cancel_job(node: &Arc<Node>, job: JobKey, req: &Request<Incoming>) -> Response<ReplyBody> {
    // A job that was just accepted may not be known yet, so the cancel is stored in any case.
    let unknown = job_queries::job_status(node, job).await == Lookup::NotFound;
    let stored = node.inbox_writer.store(cancel_record(job), caller_timeout(req)).await;
    if stored == Stored::Yes {
        log::info!("event=cancel_accepted job={job:016x} known={}", !unknown);
        if unknown {
            return refusal(Code::JobUnknown, ExecutionStatus::NotRun, None);
        }
    }
    stored.into_response(retry_after_store(node, job))
}

/// When the caller of a job should retry after the store has not taken its record.
fn retry_after_store(node: &Node, job: JobKey) -> Duration {
    if node.settings.policy.admission.enabled {
        retry_after_outage(job.number, node.store_silence(), RETRY_AFTER, MAX_EXPECTED_OUTAGE)
    } else {
        RETRY_AFTER
    }
}

async fn submit_job(
    node: &Arc<Node>,
    cfg: &SchedConfig,
    queue: &QueueConfig,
    job: JobKey,
    workspace: Option<WorkspaceId>,
    req: Request<Incoming>,
) -> Response<ReplyBody> {
    let timeout = caller_timeout(&req);
    let (body, held) = match read_request(req, cfg.max_body_bytes).await {
        Ok(read) => read,
        Err(e) => {
            log::debug!("event=job_refused job={job:016x} reason=body error={e:?}");
            let retry_after = (e == BodyError::NoMemory).then_some(RETRY_AFTER);
            return refusal(e.code(), ExecutionStatus::NotRun, retry_after);
        }
    };
    let spec = match parse_spec(node, queue, workspace, &body) {
        Ok(spec) => JobSpec { tag: job.owner.queue, ..spec },
        Err(e) => {
            log::info!("event=job_refused job={job:016x} reason=malformed error=\"{e}\"");
            return refusal(Code::JobMalformed, ExecutionStatus::NotRun, None);
        }
    };
    drop(body);
    match hand_in::hand_in(node, cfg, job.number, spec, timeout, held).await {
        HandIn::Settled(stored) => stored.into_response(retry_after_store(node, job)),
        HandIn::NumberTaken => {
            let retry_after = Duration::from_secs_f64(node.settings.ended_job_retention_s);
            refusal(Code::NumberTaken, ExecutionStatus::NotRun, Some(retry_after))
        }
        HandIn::TooLarge => refusal(Code::RecordTooLarge, ExecutionStatus::NotRun, None),
        HandIn::AdviceUnusable => {
            refusal(Code::AdviceUnusable, ExecutionStatus::NotRun, Some(RETRY_AFTER_CONFIG))
        }
        HandIn::NoRoom { retry_after } => refusal(Code::NoRoom, ExecutionStatus::NotRun, Some(retry_after)),
    }
}

fn parse_spec(
    node: &Node,
    queue: &QueueConfig,
    workspace: Option<WorkspaceId>,
    body: &[u8],
) -> Result<JobSpec, String> {
    let submitted = wire::read_job(body)?;
    let spec = JobSpec {
        queue: queue.name.clone(),
        service: queue.service.clone(),
        workspace,
        tag: QueueTag::UNKNOWN,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        task_input: submitted.text.into(),
        steps: submitted.steps,
        repeat: submitted.repeat,
        accepted_at: node.wall(),
    };
    spec.validate()?;
    Ok(spec)
}

impl Stored {
    /// The response to the caller.
    fn into_response(self, retry_after: Duration) -> Response<ReplyBody> {
        match self {
            Stored::Yes => json_response(Bytes::from_static(b"{}")),
            Stored::No => refusal(Code::LogUnavailable, ExecutionStatus::NotRun, Some(retry_after)),
            Stored::Unknown => refusal(Code::OutcomeUnknown, ExecutionStatus::Unknown, Some(retry_after)),
        }
    }
}

/// How long the caller of a request may be kept waiting for the response.
fn caller_timeout(req: &Request<Incoming>) -> Duration {
    let header = req.headers().get(wire::REQUEST_DEADLINE_HEADER).and_then(|h| h.to_str().ok());
    let stated = header.and_then(|text| text.parse().ok());
    let timeout = stated.map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis);
    timeout.min(MAX_CALLER_TIMEOUT).saturating_sub(RESPONSE_MARGIN)
}
