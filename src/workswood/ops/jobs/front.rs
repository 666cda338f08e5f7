//! Answers callers: hands jobs in, tells their state, cancels them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use workswood_adapter::callers as wire;
use workswood_callers::{Handler, ReplyBody, bearer_token, full_body, read_body, refusal};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::ids::WorkspaceId;
use workswood_core::jobs::spec::parse_job_key;
use workswood_core::jobs::{JobKey, JobSpec, Owner, QueueConfig, SchedConfig};

use super::ask::{self, Told};
use super::inbox::Stored;
use super::node::Node;
use super::record::{cancel_record, job_record};

/// When to come back after a refusal: a store or lease holder that is away is
/// mostly back or replaced within a few seconds.
const COME_BACK: Duration = Duration::from_secs(1);
/// How long a caller is taken to wait that does not say.
const WAITS_UNSAID: Duration = Duration::from_secs(3);
/// Longest time that a caller is kept waiting: a store that needs longer for an
/// append is as good as away.
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// Time kept free for the answer's way to the caller.
const ANSWER_MARGIN: Duration = Duration::from_millis(200);

/// Answers one request each.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |req| {
        let node = node.clone();
        async move { answer(&node, req).await }.boxed()
    })
}

async fn answer(node: &Arc<Node>, req: Request<Incoming>) -> Response<ReplyBody> {
    let Some(cfg) = node.config.load_full() else {
        return refusal(Code::NotCaughtUp, ExecutionStatus::NotRun, Some(COME_BACK));
    };
    let host = host_of(&req);
    let path = req.uri().path().to_string();
    let Some(queue) = cfg.route(&host, &path) else {
        log::info!("event=no_route host={host} path={path} version={}", cfg.version);
        return refusal(Code::UnknownRoute, ExecutionStatus::NotRun, None);
    };
    let workspace = match caller(&cfg, queue, &req) {
        Ok(workspace) => workspace,
        Err(why) => {
            node.metrics.rejected_keys.with_label_values(&[why.label()]).inc();
            log::info!(
                "event=key_refused code={} reason={} queue={} version={}",
                Code::ApiKey.number(),
                why.label(),
                queue.name,
                cfg.version
            );
            return refusal(Code::ApiKey, ExecutionStatus::NotRun, None);
        }
    };
    let owner = Owner::of_workspace(workspace.as_deref());
    let rest = path[queue.path_prefix.len()..].trim_matches('/');
    if rest.is_empty() {
        return pending(node, &req, queue).await;
    }
    let Some(job) = parse_job_key(rest) else {
        return refusal(Code::JobMalformed, ExecutionStatus::NotRun, None);
    };
    match *req.method() {
        Method::POST => submit(node, &cfg, queue, job, workspace, req).await,
        Method::GET => state(node, job, owner).await,
        Method::DELETE => cancel(node, job, owner, &req).await,
        _ => refusal(Code::MethodUnknown, ExecutionStatus::NotRun, None),
    }
}

/// Why a call to a queue of workspaces is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyRefusal {
    /// It carries no key.
    Missing,
    /// No workspace in force has that key.
    Unknown,
}

impl KeyRefusal {
    /// Its name in the log and in metrics.
    fn label(self) -> &'static str {
        match self {
            KeyRefusal::Missing => "missing",
            KeyRefusal::Unknown => "unknown",
        }
    }
}

/// The workspace whose key a call carries; none on a queue that is open to all.
fn caller(
    cfg: &SchedConfig,
    queue: &QueueConfig,
    req: &Request<Incoming>,
) -> Result<Option<WorkspaceId>, KeyRefusal> {
    if !queue.keyed {
        return Ok(None);
    }
    let key = bearer_token(req.headers()).ok_or(KeyRefusal::Missing)?;
    cfg.workspaces.keys.workspace(key).cloned().map(Some).ok_or(KeyRefusal::Unknown)
}

fn host_of(req: &Request<Incoming>) -> String {
    let header = req.headers().get(hyper::header::HOST).and_then(|h| h.to_str().ok());
    let host = header.or_else(|| req.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_ascii_lowercase()
}

fn json(body: Bytes) -> Response<ReplyBody> {
    let res = Response::builder().status(200).header("content-type", "application/json");
    res.body(full_body(body)).unwrap_or_else(|_| Response::new(full_body(Bytes::new())))
}

async fn pending(node: &Arc<Node>, req: &Request<Incoming>, queue: &QueueConfig) -> Response<ReplyBody> {
    if req.method() != Method::GET {
        return refusal(Code::MethodUnknown, ExecutionStatus::NotRun, None);
    }
    match ask::pending(node, &queue.name).await {
        Told::Known(n) => json(wire::pending_body(n)),
        Told::Unknown | Told::Unreachable => {
            refusal(Code::HolderAway, ExecutionStatus::NotRun, Some(COME_BACK))
        }
    }
}

async fn state(node: &Arc<Node>, job: JobKey, owner: Owner) -> Response<ReplyBody> {
    let told = ask::job(node, job, owner).await;
    node.metrics.status_queries.with_label_values(&[told.label()]).inc();
    match told {
        Told::Known(s) => json(wire::state_body(s)),
        Told::Unknown => refusal(Code::JobUnknown, ExecutionStatus::NotRun, None),
        Told::Unreachable => refusal(Code::HolderAway, ExecutionStatus::NotRun, Some(COME_BACK)),
    }
}

async fn cancel(node: &Arc<Node>, job: JobKey, owner: Owner, req: &Request<Incoming>) -> Response<ReplyBody> {
    // A job that was accepted a moment ago may not be known yet: the cancel is
    // kept in any case.
    let unknown = ask::job(node, job, owner).await == Told::Unknown;
    let stored = node.inbox.store(cancel_record(job, owner), within(req)).await;
    if stored == Stored::Yes {
        log::info!("event=cancel_accepted job={job:016x} known={}", !unknown);
        if unknown {
            return refusal(Code::JobUnknown, ExecutionStatus::NotRun, None);
        }
    }
    stored.answer()
}

async fn submit(
    node: &Arc<Node>,
    cfg: &SchedConfig,
    queue: &QueueConfig,
    job: JobKey,
    workspace: Option<WorkspaceId>,
    req: Request<Incoming>,
) -> Response<ReplyBody> {
    let within = within(&req);
    let body = match read_body(req.into_body(), cfg.max_body_bytes).await {
        Ok(b) => b,
        Err(e) => {
            log::info!("event=job_refused job={job:016x} reason=body error={e:?}");
            return refusal(e.code(), ExecutionStatus::NotRun, None);
        }
    };
    let spec = match read_spec(node, queue, workspace, &body) {
        Ok(spec) => spec,
        Err(e) => {
            log::info!("event=job_refused job={job:016x} reason=malformed error=\"{e}\"");
            return refusal(Code::JobMalformed, ExecutionStatus::NotRun, None);
        }
    };
    let begun = node.now();
    let stored = node.inbox.store(job_record(job, &spec), within).await;
    log::info!(
        "event=job_handed_in job={job:016x} queue={} workspace={} version={} stored={stored:?} took_ms={} \
         store_silence_ms={}",
        queue.name,
        spec.workspace.as_deref().unwrap_or("-"),
        cfg.version,
        (node.now() - begun).as_millis(),
        node.store_silence().as_millis()
    );
    node.metrics.submissions.with_label_values(&[stored.label()]).inc();
    node.metrics.submission_seconds.observe((node.now() - begun).as_secs_f64());
    stored.answer()
}

fn read_spec(
    node: &Node,
    queue: &QueueConfig,
    workspace: Option<WorkspaceId>,
    body: &[u8],
) -> Result<JobSpec, String> {
    let handed = wire::read_job(body)?;
    let spec = JobSpec {
        queue: queue.name.clone(),
        service: queue.service.clone(),
        workspace,
        priority: queue.priority,
        max_attempts: queue.max_attempts,
        text: handed.text.into(),
        steps: handed.steps,
        repeat: handed.repeat,
        accepted_at: node.wall(),
    };
    spec.validate()?;
    Ok(spec)
}

impl Stored {
    /// What the caller is told.
    fn answer(self) -> Response<ReplyBody> {
        match self {
            Stored::Yes => json(Bytes::from_static(b"{}")),
            Stored::No => refusal(Code::LogUnavailable, ExecutionStatus::NotRun, Some(COME_BACK)),
            Stored::Unknown => refusal(Code::OutcomeUnknown, ExecutionStatus::Unknown, Some(COME_BACK)),
        }
    }

    /// Its label in metrics.
    fn label(self) -> &'static str {
        match self {
            Stored::Yes => "accepted",
            Stored::No => "refused",
            Stored::Unknown => "unknown",
        }
    }
}

/// How long a caller of this request may be kept waiting for its answer.
fn within(req: &Request<Incoming>) -> Duration {
    let header = req.headers().get(wire::WAITS).and_then(|h| h.to_str().ok());
    let waits = header.and_then(|text| text.parse().ok()).map_or(WAITS_UNSAID, Duration::from_millis);
    waits.min(LONGEST_WAIT).saturating_sub(ANSWER_MARGIN)
}
