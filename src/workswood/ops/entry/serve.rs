//! Answers to callers.

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
    BodyError, CODE, DEADLINE, Handler, KEY, LAST_MOMENT, RAN, ReplyBody, read_body, refusal, whole,
};
use workswood_core::code::{Code, Ran};
use workswood_core::fleet::{Class, Route};
use workswood_core::ids::{InstanceId, ServiceId};
use workswood_core::route::Outcome;
use workswood_endpoints::{Answer, AnyBody, SendError, full, incoming};

use super::lanes::{self, Ask, Grant, Slot};
use super::node::Node;
use super::{deferred, gossip, keys};

/// Largest body that is held whole, in bytes; larger ones need class `long`.
pub const MOST_HELD: usize = 1024 * 1024;
/// Largest body of a request of class `long`, in bytes.
const MOST_LONG: usize = 1024 * 1024 * 1024;
/// Tries of one repeatable request.
const MOST_TRIES: usize = 3;
/// Header by which an endpoint says that it takes no more work.
const LEAVING: &str = "x-workswood-leaving";
/// Path that the balancer asks.
const READY_PATH: &str = "/workswood/ready";
/// Path under which the outcome of a key is asked for.
const OUTCOME_PATH: &str = "/workswood/outcome/";
/// Header fields that concern one connection only.
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

/// An answer to a caller.
pub type Reply = Response<ReplyBody>;

/// A request with its route.
#[derive(Clone)]
pub struct Call {
    /// Head of the request.
    pub head: Head,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: Route,
    /// When it must be answered, since the start of the process.
    pub deadline: Duration,
    /// The caller's last moment, as text.
    pub last_moment: Option<String>,
}

/// Head of a request, as it goes to an endpoint.
#[derive(Clone)]
pub struct Head {
    /// Method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Header fields.
    pub headers: hyper::HeaderMap,
}

/// How a request ended at the endpoints.
pub enum End {
    /// An endpoint answered.
    Answered(Reply, Option<Bytes>),
    /// Nothing was sent.
    NotSent(Code, Option<Duration>),
    /// Something was sent and no whole answer came.
    Broke(Code),
}

struct InProgress(Arc<Node>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Answers callers.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |req| {
        let node = node.clone();
        node.in_progress.fetch_add(1, Ordering::AcqRel);
        let guard = InProgress(node.clone());
        async move {
            let _guard = guard;
            answer(&node, req).await
        }
        .boxed()
    })
}

async fn answer(node: &Arc<Node>, req: Request<Incoming>) -> Reply {
    let arrived = node.now();
    let path = req.uri().path();
    if path == READY_PATH {
        return readiness(node);
    }
    if let Some(key) = path.strip_prefix(OUTCOME_PATH) {
        return keys::outcome(node, key);
    }
    let key = header(req.headers(), KEY);
    let found = node.table.load().route_for(path).cloned();
    let Some((route, service)) = found.filter(|_| node.is(&node.ready)) else {
        let code = if node.is(&node.ready) { Code::UnknownRoute } else { Code::NotCaughtUp };
        return keys::refuse(node, key.as_deref(), code, Some(Duration::from_secs(1))).await;
    };
    let class = route.class;
    let allowed = header(req.headers(), DEADLINE).and_then(|v| v.parse().ok()).map(Duration::from_millis);
    let deadline = arrived + allowed.unwrap_or(route.deadline).min(route.deadline);
    let (parts, body) = req.into_parts();
    let last_moment = header(&parts.headers, LAST_MOMENT);
    let call = Call { head: head(parts), service, route, deadline, last_moment };
    let service = call.service.clone();
    let reply = dispatch(node, call, body, key).await;
    let ran = reply.headers().get(RAN).and_then(|v| v.to_str().ok()).unwrap_or("run");
    node.metrics.requests.with_label_values(&[service.as_str(), class.as_str(), ran]).inc();
    if class == Class::Urgent {
        node.metrics.urgent_seconds.observe((node.now() - arrived).as_secs_f64());
    }
    reply
}

async fn dispatch(node: &Arc<Node>, call: Call, body: Incoming, key: Option<String>) -> Reply {
    match (call.route.class, call.route.repeatable) {
        (Class::Later, _) => match held(body).await {
            Ok(b) => deferred::accept(node, call, b, key).await,
            Err(code) => keys::refuse(node, key.as_deref(), code, None).await,
        },
        (Class::Long, true) => streamed(node, call, body).await,
        (_, false) => match held(body).await {
            Ok(b) => keys::answer(node, call, b, key).await,
            Err(code) => keys::refuse(node, key.as_deref(), code, None).await,
        },
        (_, true) => match held(body).await {
            Ok(b) => finish(run(node, &call, b).await),
            Err(code) => refusal(code, Ran::NotRun, None),
        },
    }
}

fn readiness(node: &Node) -> Reply {
    if node.is(&node.ready) && !node.is(&node.leaving) {
        return Response::new(whole(Bytes::from_static(b"ready\n")));
    }
    let code = if node.is(&node.leaving) { Code::Stopping } else { Code::NotCaughtUp };
    refusal(code, Ran::NotRun, None)
}

/// The text of a header field.
pub fn header(headers: &hyper::HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}

fn head(parts: Parts) -> Head {
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_string();
    let mut headers = parts.headers;
    HOP_BY_HOP.iter().for_each(|h| drop(headers.remove(*h)));
    headers.remove("host");
    headers.remove("content-length");
    headers.remove(LAST_MOMENT);
    Head { method: parts.method, path, headers }
}

async fn held(body: Incoming) -> Result<Bytes, Code> {
    read_body(body, MOST_HELD).await.map_err(BodyError::code)
}

/// Turns an end into an answer.
pub fn finish(end: End) -> Reply {
    match end {
        End::Answered(reply, _) => reply,
        End::NotSent(code, after) => refusal(code, Ran::NotRun, after),
        End::Broke(code) => refusal(code, Ran::Unknown, None),
    }
}

fn outgoing(call: &Call, grant: &Grant, body: AnyBody) -> Request<AnyBody> {
    let uri = format!("http://{}{}", grant.address, call.head.path);
    let mut req = Request::new(body);
    *req.method_mut() = call.head.method.clone();
    *req.uri_mut() = uri.parse().unwrap_or_default();
    *req.headers_mut() = call.head.headers.clone();
    req
}

/// Runs a request whose body is held; again elsewhere while that is safe.
pub async fn run(node: &Arc<Node>, call: &Call, body: Bytes) -> End {
    run_on(node, call, body, None).await
}

/// The same on a slot that is held already.
pub async fn run_on(node: &Arc<Node>, call: &Call, body: Bytes, mut first: Option<Slot>) -> End {
    let Some(lane) = lanes::of(node, &call.service) else {
        return End::NotSent(Code::UnknownRoute, None);
    };
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut last = End::NotSent(Code::NoEndpoint, None);
    let mut sent = false;
    while tried.len() < MOST_TRIES {
        let ask = Ask { class: call.route.class, deadline: call.deadline, tried: &tried };
        let acquired = match first.take() {
            Some(slot) => Some(Ok(slot)),
            None => lanes::acquire(node, &lane, ask).await,
        };
        let mut slot = match acquired {
            Some(Ok(slot)) => slot,
            Some(Err(r)) if !sent => return End::NotSent(r.code, Some(r.retry_after)),
            _ => return last,
        };
        if !tried.is_empty() {
            node.metrics.retries.inc();
        }
        tried.push(slot.grant.endpoint.clone());
        let end = try_one(node, call, &body, &mut slot).await;
        let again = match &end {
            End::NotSent(..) => true,
            End::Broke(code) => call.route.repeatable && *code != Code::EndpointTimeout,
            End::Answered(reply, _) => call.route.repeatable && reply.status().is_server_error(),
        };
        sent |= !matches!(end, End::NotSent(..));
        if !again || node.now() >= call.deadline {
            return end;
        }
        last = match (end, sent) {
            // An earlier try may have run, so this is no longer certain.
            (End::NotSent(code, _), true) => End::Broke(code),
            (end, _) => end,
        };
    }
    last
}

async fn try_one(node: &Arc<Node>, call: &Call, body: &Bytes, slot: &mut Slot) -> End {
    node.metrics.sends.inc();
    let req = outgoing(call, &slot.grant, full(body.clone()));
    let left = call.deadline.saturating_sub(node.now());
    let answer = tokio::time::timeout(left, node.endpoints.call(req, MOST_HELD)).await;
    match answer {
        Ok(Ok(Answer::Whole(res))) => {
            note(node, slot, res.status().is_server_error(), res.headers());
            let (parts, b) = res.into_parts();
            let reply = Response::from_parts(parts, whole(b.clone()));
            End::Answered(ran(reply), Some(b))
        }
        Ok(Ok(Answer::Streams(res))) => {
            note(node, slot, false, res.headers());
            End::Answered(ran(res.map(|b| b.map_err(Into::into).boxed())), None)
        }
        Ok(Err(SendError::NotSent { text })) => {
            slot.ended(Outcome::Failure);
            log::warn!("event=not_sent endpoint={} error={text:?}", slot.grant.endpoint);
            End::NotSent(Code::ConnectFailed, Some(Duration::from_millis(200)))
        }
        Ok(Err(SendError::Broke { text })) => {
            slot.ended(Outcome::Failure);
            log::warn!("event=broke endpoint={} error={text:?}", slot.grant.endpoint);
            End::Broke(Code::EndpointBroke)
        }
        Err(_) => {
            slot.ended(Outcome::Failure);
            End::Broke(Code::EndpointTimeout)
        }
    }
}

/// Notes how an endpoint answered, and whether it says that it leaves.
fn note(node: &Node, slot: &mut Slot, failed: bool, headers: &hyper::HeaderMap) {
    slot.ended(if failed { Outcome::Failure } else { Outcome::Success });
    if headers.contains_key(LEAVING) {
        let id = slot.grant.endpoint.clone();
        lanes::close(node, std::slice::from_ref(&id));
        gossip::tell_leaving(node, vec![id]);
    }
}

/// Marks an answer of an endpoint as that of a request that ran.
fn ran(mut reply: Reply) -> Reply {
    HOP_BY_HOP.iter().for_each(|h| drop(reply.headers_mut().remove(*h)));
    // What an endpoint says in our names is not passed on.
    reply.headers_mut().remove(CODE);
    reply.headers_mut().insert(HeaderName::from_static(RAN), HeaderValue::from_static(Ran::Run.as_str()));
    reply
}

/// Runs a long request: both bodies stream, so it is sent once at most.
async fn streamed(node: &Arc<Node>, call: Call, body: Incoming) -> Reply {
    let Some(lane) = lanes::of(node, &call.service) else {
        return refusal(Code::UnknownRoute, Ran::NotRun, None);
    };
    let ask = Ask { class: call.route.class, deadline: call.deadline, tried: &[] };
    let mut slot = match lanes::acquire(node, &lane, ask).await {
        Some(Ok(slot)) => slot,
        Some(Err(r)) => return refusal(r.code, Ran::NotRun, Some(r.retry_after)),
        None => return refusal(Code::NoEndpoint, Ran::NotRun, None),
    };
    node.metrics.sends.inc();
    let limited = Limited::new(body, MOST_LONG);
    let body = limited.map_err(|e| workswood_endpoints::BodyError { text: e.to_string() }).boxed();
    let req = outgoing(&call, &slot.grant, body);
    let left = call.deadline.saturating_sub(node.now());
    match tokio::time::timeout(left, node.endpoints.send(req)).await {
        Ok(Ok(res)) => {
            note(node, &mut slot, res.status().is_server_error(), res.headers());
            // The slot is held until the last byte of the answer has passed.
            let guard = InProgress(node.clone());
            node.in_progress.fetch_add(1, Ordering::AcqRel);
            let held = (slot, guard);
            let body = incoming_body(res, held);
            ran(body)
        }
        Ok(Err(SendError::NotSent { .. })) => {
            slot.ended(Outcome::Failure);
            refusal(Code::ConnectFailed, Ran::NotRun, Some(Duration::from_millis(200)))
        }
        Ok(Err(SendError::Broke { .. })) => {
            slot.ended(Outcome::Failure);
            refusal(Code::EndpointBroke, Ran::Unknown, None)
        }
        Err(_) => {
            slot.ended(Outcome::Failure);
            refusal(Code::EndpointTimeout, Ran::Unknown, None)
        }
    }
}

/// Passes a body on and keeps `held` until it has ended.
fn incoming_body<T: Send + Sync + 'static>(res: Response<Incoming>, held: T) -> Reply {
    res.map(|b| {
        let body = incoming(b).map_err(Into::into);
        body.map_frame(move |f| {
            let _ = &held;
            f
        })
        .boxed()
    })
}
