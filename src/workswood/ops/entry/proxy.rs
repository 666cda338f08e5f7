//! Routes callers' requests to endpoints: a reverse proxy with deadlines and retries.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Response};
use workswood_callers::{
    BodyError, CODE_HEADER, DEADLINE_HEADER, Handler, KEY_HEADER, LAST_MOMENT_HEADER, RAN_HEADER, ReplyBody,
    full_body, read_body, refusal,
};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::fleet::{PriorityClass, Route};
use workswood_core::ids::{InstanceId, ServiceId};
use workswood_core::route::Outcome;
use workswood_endpoints::{EndpointBody, EndpointResponse, SendError, incoming_body};

use super::dispatch::{self, AcquireRequest, Grant, Slot};
use super::node::Node;
use super::{deferred_requests, keyed_requests, peers};

/// Maximum size of a buffered request or response body, in bytes. Larger requests need class `long`.
pub const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;
/// Maximum size of the body of a request of class `long`, in bytes.
const MAX_LONG_BODY_BYTES: usize = 1024 * 1024 * 1024;
/// Maximum number of endpoints that one request is attempted on.
const MAX_ATTEMPTS: usize = 3;
/// Response header by which an endpoint announces that it accepts no more requests.
const LEAVING_HEADER: &str = "x-workswood-leaving";
/// Path of the load balancer's readiness check.
const READY_PATH: &str = "/workswood/ready";
/// Path prefix under which callers ask for the outcome of a key.
const OUTCOME_PATH: &str = "/workswood/outcome/";
/// Header fields that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// A response to a caller.
pub type Reply = Response<ReplyBody>;

/// A caller's request with the route that its path matches.
#[derive(Clone)]
pub struct RoutedRequest {
    /// Head of the request as it is forwarded.
    pub head: RequestHead,
    /// Service that the route belongs to.
    pub service: ServiceId,
    /// Route of the request.
    pub route: Route,
    /// When the request must be answered, since the start of the process.
    pub deadline: Duration,
    /// Unparsed value of the caller's last-moment header.
    pub last_moment: Option<String>,
}

/// Head of a request as it is forwarded to an endpoint.
#[derive(Clone)]
pub struct RequestHead {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Header fields, without those of a single connection.
    pub headers: hyper::HeaderMap,
}

/// How the attempts to send a request to endpoints ended.
pub enum SendOutcome {
    /// An endpoint answered; with the response body if it was buffered.
    Answered(Reply, Option<Bytes>),
    /// Nothing was sent; with the time after which the caller may retry.
    NotSent(Code, Option<Duration>),
    /// The request may have been sent, and no complete response arrived.
    Broken(Code),
}

/// Counts a caller's request as in progress until it is dropped.
struct InProgressGuard(Arc<Node>);

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the handler of callers' requests.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |req| {
        let node = node.clone();
        node.in_progress.fetch_add(1, Ordering::AcqRel);
        let guard = InProgressGuard(node.clone());
        async move {
            let _guard = guard;
            handle(&node, req).await
        }
        .boxed()
    })
}

/// Finds the route of a request, has it answered and records its metrics.
async fn handle(node: &Arc<Node>, req: Request<Incoming>) -> Reply {
    let arrived_at = node.now();
    let path = req.uri().path();
    if path == READY_PATH {
        return readiness(node);
    }
    if let Some(key) = path.strip_prefix(OUTCOME_PATH) {
        return keyed_requests::outcome_reply(node, key);
    }
    let key = header(req.headers(), KEY_HEADER);
    let matched = node.table.load().route_for(path).cloned();
    let Some((route, service)) = matched.filter(|_| node.is_set(&node.ready)) else {
        let code = if node.is_set(&node.ready) { Code::UnknownRoute } else { Code::NotCaughtUp };
        return keyed_requests::refuse(node, key.as_deref(), code, Some(Duration::from_secs(1))).await;
    };
    let class = route.class;
    let timeout =
        header(req.headers(), DEADLINE_HEADER).and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let deadline = arrived_at + timeout.unwrap_or(route.deadline).min(route.deadline);
    let (parts, body) = req.into_parts();
    let last_moment = header(&parts.headers, LAST_MOMENT_HEADER);
    let request = RoutedRequest { head: forwarded_head(parts), service, route, deadline, last_moment };
    let service = request.service.clone();
    let reply = run_by_class(node, request, body, key).await;
    let ran = reply.headers().get(RAN_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("run");
    node.metrics.requests.with_label_values(&[service.as_str(), class.as_str(), ran]).inc();
    if class == PriorityClass::Urgent {
        node.metrics.urgent_seconds.observe((node.now() - arrived_at).as_secs_f64());
    }
    reply
}

/// Runs a request in the way that its class and its route ask for.
async fn run_by_class(
    node: &Arc<Node>,
    request: RoutedRequest,
    body: Incoming,
    key: Option<String>,
) -> Reply {
    match (request.route.class, request.route.repeatable) {
        (PriorityClass::Later, _) => match buffer_body(body).await {
            Ok(b) => deferred_requests::accept(node, request, b, key).await,
            Err(code) => keyed_requests::refuse(node, key.as_deref(), code, None).await,
        },
        (PriorityClass::Long, true) => stream_long_request(node, request, body).await,
        (_, false) => match buffer_body(body).await {
            Ok(b) => keyed_requests::answer(node, request, b, key).await,
            Err(code) => keyed_requests::refuse(node, key.as_deref(), code, None).await,
        },
        (_, true) => match buffer_body(body).await {
            Ok(b) => reply_of(send_with_retries(node, &request, b).await),
            Err(code) => refusal(code, ExecutionStatus::NotRun, None),
        },
    }
}

fn readiness(node: &Node) -> Reply {
    if node.is_set(&node.ready) && !node.is_set(&node.shutting_down) {
        return Response::new(full_body(Bytes::from_static(b"ready\n")));
    }
    let code = if node.is_set(&node.shutting_down) { Code::Stopping } else { Code::NotCaughtUp };
    refusal(code, ExecutionStatus::NotRun, None)
}

/// Value of a header field, if it is visible ASCII text.
pub fn header(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}

/// Head of a request without the fields that are not forwarded to endpoints.
fn forwarded_head(parts: Parts) -> RequestHead {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
    let mut headers = parts.headers;
    HOP_BY_HOP.iter().for_each(|h| drop(headers.remove(*h)));
    headers.remove("host");
    headers.remove("content-length");
    headers.remove(LAST_MOMENT_HEADER);
    RequestHead { method: parts.method, path, headers }
}

async fn buffer_body(body: Incoming) -> Result<Bytes, Code> {
    read_body(body, MAX_BUFFERED_BODY_BYTES).await.map_err(BodyError::code)
}

/// Response to the caller for an outcome.
pub fn reply_of(outcome: SendOutcome) -> Reply {
    match outcome {
        SendOutcome::Answered(reply, _) => reply,
        SendOutcome::NotSent(code, retry_after) => refusal(code, ExecutionStatus::NotRun, retry_after),
        SendOutcome::Broken(code) => refusal(code, ExecutionStatus::Unknown, None),
    }
}

/// Request to the endpoint of a granted slot.
fn endpoint_request(request: &RoutedRequest, grant: &Grant, body: EndpointBody) -> Request<EndpointBody> {
    let uri = format!("http://{}{}", grant.address, request.head.path);
    let mut req = Request::new(body);
    *req.method_mut() = request.head.method.clone();
    *req.uri_mut() = uri.parse().unwrap_or_default();
    *req.headers_mut() = request.head.headers.clone();
    req
}

/// Sends a request with a buffered body. A failed attempt is retried on another endpoint if nothing was
/// sent, or if the request is repeatable and the attempt did not time out.
pub async fn send_with_retries(node: &Arc<Node>, request: &RoutedRequest, body: Bytes) -> SendOutcome {
    send_from_slot(node, request, body, None).await
}

/// Does the same as [`send_with_retries`], with the first attempt on a slot that was acquired before.
pub async fn send_from_slot(
    node: &Arc<Node>,
    request: &RoutedRequest,
    body: Bytes,
    mut first_slot: Option<Slot>,
) -> SendOutcome {
    let Some(dispatcher) = dispatch::dispatcher_of(node, &request.service) else {
        return SendOutcome::NotSent(Code::UnknownRoute, None);
    };
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last = SendOutcome::NotSent(Code::NoEndpoint, None);
    let mut sent = false;
    while tried.len() < MAX_ATTEMPTS {
        let slot_request =
            AcquireRequest { class: request.route.class, deadline: request.deadline, tried: &tried };
        let acquired = match first_slot.take() {
            Some(slot) => Some(Ok(slot)),
            None => dispatch::acquire(node, &dispatcher, slot_request).await,
        };
        let mut slot = match acquired {
            Some(Ok(slot)) => slot,
            Some(Err(refused)) if !sent => {
                return SendOutcome::NotSent(refused.code, Some(refused.retry_after));
            }
            _ => return last,
        };
        if !tried.is_empty() {
            node.metrics.retries.inc();
        }
        tried.push(slot.grant.endpoint.clone());
        let outcome = attempt(node, request, &body, &mut slot).await;
        let may_retry = match &outcome {
            SendOutcome::NotSent(..) => true,
            SendOutcome::Broken(code) => request.route.repeatable && *code != Code::EndpointTimeout,
            SendOutcome::Answered(reply, _) => request.route.repeatable && reply.status().is_server_error(),
        };
        sent |= !matches!(outcome, SendOutcome::NotSent(..));
        if !may_retry || node.now() >= request.deadline {
            return outcome;
        }
        last = match (outcome, sent) {
            // An earlier attempt may have run, so it is not certain that the request was not sent.
            (SendOutcome::NotSent(code, _), true) => SendOutcome::Broken(code),
            (outcome, _) => outcome,
        };
    }
    last
}

/// Sends a request once, to the endpoint of a slot.
async fn attempt(node: &Arc<Node>, request: &RoutedRequest, body: &Bytes, slot: &mut Slot) -> SendOutcome {
    node.metrics.endpoint_requests.inc();
    let req = endpoint_request(request, &slot.grant, workswood_endpoints::full_body(body.clone()));
    let timeout = request.deadline.saturating_sub(node.now());
    let answer = tokio::time::timeout(timeout, node.endpoints.call(req, MAX_BUFFERED_BODY_BYTES)).await;
    match answer {
        Ok(Ok(EndpointResponse::Buffered(res))) => {
            record_response(node, slot, res.status().is_server_error(), res.headers());
            let (parts, b) = res.into_parts();
            let reply = Response::from_parts(parts, full_body(b.clone()));
            SendOutcome::Answered(endpoint_reply(reply), Some(b))
        }
        Ok(Ok(EndpointResponse::Streaming(res))) => {
            record_response(node, slot, false, res.headers());
            SendOutcome::Answered(endpoint_reply(res.map(|b| b.map_err(Into::into).boxed())), None)
        }
        Ok(Err(SendError::NotSent { text })) => {
            slot.set_outcome(Outcome::Failure);
            log::warn!("event=not_sent endpoint={} error={text:?}", slot.grant.endpoint);
            SendOutcome::NotSent(Code::ConnectFailed, Some(Duration::from_millis(200)))
        }
        Ok(Err(SendError::Broken { text })) => {
            slot.set_outcome(Outcome::Failure);
            log::warn!("event=broke endpoint={} error={text:?}", slot.grant.endpoint);
            SendOutcome::Broken(Code::EndpointBroke)
        }
        Err(_) => {
            slot.set_outcome(Outcome::Failure);
            SendOutcome::Broken(Code::EndpointTimeout)
        }
    }
}

/// Records the outcome of the attempt, and marks the endpoint as leaving if the response announces that it is.
fn record_response(node: &Node, slot: &mut Slot, failed: bool, headers: &hyper::HeaderMap) {
    slot.set_outcome(if failed { Outcome::Failure } else { Outcome::Success });
    if headers.contains_key(LEAVING_HEADER) {
        let id = slot.grant.endpoint.clone();
        dispatch::mark_endpoints_leaving(node, std::slice::from_ref(&id));
        peers::announce_leaving(node, vec![id]);
    }
}

/// Turns the response of an endpoint into the response to the caller, marked as run.
fn endpoint_reply(mut reply: Reply) -> Reply {
    HOP_BY_HOP.iter().for_each(|h| drop(reply.headers_mut().remove(*h)));
    // Only the entry sets this header.
    reply.headers_mut().remove(CODE_HEADER);
    reply
        .headers_mut()
        .insert(HeaderName::from_static(RAN_HEADER), HeaderValue::from_static(ExecutionStatus::Run.as_str()));
    reply
}

/// Runs a request of class `long`. Both bodies are streamed, so the request is sent at most once.
async fn stream_long_request(node: &Arc<Node>, request: RoutedRequest, body: Incoming) -> Reply {
    let Some(dispatcher) = dispatch::dispatcher_of(node, &request.service) else {
        return refusal(Code::UnknownRoute, ExecutionStatus::NotRun, None);
    };
    let slot_request = AcquireRequest { class: request.route.class, deadline: request.deadline, tried: &[] };
    let mut slot = match dispatch::acquire(node, &dispatcher, slot_request).await {
        Some(Ok(slot)) => slot,
        Some(Err(refused)) => {
            return refusal(refused.code, ExecutionStatus::NotRun, Some(refused.retry_after));
        }
        None => return refusal(Code::NoEndpoint, ExecutionStatus::NotRun, None),
    };
    node.metrics.endpoint_requests.inc();
    let limited = Limited::new(body, MAX_LONG_BODY_BYTES);
    let body = limited.map_err(|e| workswood_endpoints::BodyError { text: e.to_string() }).boxed();
    let req = endpoint_request(&request, &slot.grant, body);
    let timeout = request.deadline.saturating_sub(node.now());
    match tokio::time::timeout(timeout, node.endpoints.send(req)).await {
        Ok(Ok(res)) => {
            record_response(node, &mut slot, res.status().is_server_error(), res.headers());
            // The slot is held until the response body has ended.
            let guard = InProgressGuard(node.clone());
            node.in_progress.fetch_add(1, Ordering::AcqRel);
            let resources = (slot, guard);
            let reply = forward_body(res, resources);
            endpoint_reply(reply)
        }
        Ok(Err(SendError::NotSent { .. })) => {
            slot.set_outcome(Outcome::Failure);
            refusal(Code::ConnectFailed, ExecutionStatus::NotRun, Some(Duration::from_millis(200)))
        }
        Ok(Err(SendError::Broken { .. })) => {
            slot.set_outcome(Outcome::Failure);
            refusal(Code::EndpointBroke, ExecutionStatus::Unknown, None)
        }
        Err(_) => {
            slot.set_outcome(Outcome::Failure);
            refusal(Code::EndpointTimeout, ExecutionStatus::Unknown, None)
        }
    }
}

/// Forwards a response body and keeps `resources` until it has ended.
fn forward_body<T: Send + Sync + 'static>(res: Response<Incoming>, resources: T) -> Reply {
    res.map(|b| {
        let body = incoming_body(b).map_err(Into::into);
        body.map_frame(move |f| {
            let _ = &resources;
            f
        })
        .boxed()
    })
}
