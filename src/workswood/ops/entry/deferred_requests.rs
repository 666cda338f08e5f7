//! Deferred requests, those of class `later`: accepted into the log and run when slots are free.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use workswood_callers::{KEY_HEADER, RAN_HEADER, full_body, refusal};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::fleet::PriorityClass;
use workswood_core::fold::{KeyState, KeyedRequest, MAX_KEY_WINDOW, Rejection, State};
use workswood_core::idempotency::{CLAIM_HOLD, RequestIdentity};
use workswood_core::ids::{IdempotencyKey, UnixMs};
use workswood_core::record::{AttemptOutcome, DeferredRequest, Record};

use super::dispatch::{self, AcquireRequest};
use super::keyed_requests::{self, ClaimGuard, LOG_RETRY_AFTER};
use super::log_appender::AppendError;
use super::node::Node;
use super::proxy::{self, Reply, RequestHead, RoutedRequest};

/// Maximum size of the body of a deferred request, in bytes.
pub const MAX_DEFERRED_BODY_BYTES: usize = 64 * 1024;
/// Time between searches for deferred requests that have no outcome yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of deferred requests that one process runs concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 8;
/// Longest wait for a slot before the request is selected anew.
const SLOT_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts a request into the log, or runs it immediately if it is too large to defer.
pub async fn accept(node: &Arc<Node>, request: RoutedRequest, body: Bytes, key: Option<String>) -> Reply {
    if body.len() > MAX_DEFERRED_BODY_BYTES {
        if request.route.repeatable {
            return proxy::reply_of(proxy::send_with_retries(node, &request, body).await);
        }
        return keyed_requests::answer(node, request, body, key).await;
    }
    let needs_key = key.is_some() || !request.route.repeatable;
    let identity = match needs_key {
        true => match keyed_requests::parse_identity(node, &request, &body, key) {
            Ok(identity) => identity,
            Err(code) => return refusal(code, ExecutionStatus::NotRun, None),
        },
        false => with_generated_key(node, &request, &body),
    };
    if let Some(reply) = keyed_requests::recorded_reply(node, &identity) {
        return reply;
    }
    if !node.is_set(&node.log_up) {
        return keyed_requests::refuse(
            node,
            Some(&identity.key),
            Code::LogUnavailable,
            Some(LOG_RETRY_AFTER),
        )
        .await;
    }
    let Some(claim_guard) = ClaimGuard::begin(node, &identity.key, request.deadline).await else {
        return keyed_requests::refuse(node, Some(&identity.key), Code::WaitTooLong, Some(CLAIM_HOLD)).await;
    };
    let deferred = DeferredRequest {
        method: request.head.method.to_string(),
        path: request.head.path.clone(),
        body: STANDARD.encode(&body),
        repeatable: request.route.repeatable,
    };
    let record = Record::Claim {
        key: identity.key.clone(),
        service: request.service.clone(),
        digest: identity.digest,
        holder: None,
        last_moment: identity.last_moment,
        deferred: Some(deferred),
    };
    match node.append(vec![record]).await.map(|appended| appended.verdicts) {
        Ok(verdicts) => match verdicts.first() {
            Some(Ok(())) => accepted_reply(&identity.key),
            Some(Err(Rejection::KeyTaken | Rejection::Expired)) => {
                keyed_requests::recorded_reply(node, &identity)
                    .unwrap_or_else(|| refusal(Code::KeyExpired, ExecutionStatus::Unknown, None))
            }
            // Another copy may have run on a peer, so `refuse` asks them.
            _ => {
                drop(claim_guard);
                keyed_requests::refuse(node, Some(&identity.key), Code::LogUnavailable, Some(LOG_RETRY_AFTER))
                    .await
            }
        },
        Err(AppendError::NotSent) => {
            drop(claim_guard);
            keyed_requests::refuse(node, Some(&identity.key), Code::LogUnavailable, Some(LOG_RETRY_AFTER))
                .await
        }
        // The request may still reach the log and run; the caller can ask for the outcome of its key.
        Err(AppendError::Unknown) => {
            refusal(Code::LogUnavailable, ExecutionStatus::Unknown, Some(LOG_RETRY_AFTER))
        }
    }
}

/// Generates a key for a repeatable request that has none.
fn with_generated_key(node: &Node, request: &RoutedRequest, body: &Bytes) -> RequestIdentity {
    RequestIdentity {
        key: uuid::Uuid::new_v4().simple().to_string(),
        last_moment: node.wall() + MAX_KEY_WINDOW.as_millis() as UnixMs,
        digest: keyed_requests::request_digest(request, body),
    }
}

/// Response to the caller of a request that was accepted into the log.
fn accepted_reply(key: &str) -> Reply {
    let text = format!("accepted; ask for the outcome at /workswood/outcome/{key}\n");
    let res = Response::builder().status(202).header(RAN_HEADER, "accepted").header(KEY_HEADER, key);
    res.body(full_body(Bytes::from(text)))
        .unwrap_or_else(|_| refusal(Code::KeyRunning, ExecutionStatus::Unknown, None))
}

/// Runs the deferred requests that have no outcome yet and are assigned to this process, until it ends.
pub async fn run(node: Arc<Node>) {
    let mut tasks = tokio::task::JoinSet::new();
    let mut running_keys: Vec<IdempotencyKey> = Vec::new();
    loop {
        while let Some(finished) = tasks.try_join_next() {
            if let Ok(key) = finished {
                running_keys.retain(|k| *k != key);
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let may_run =
            node.is_set(&node.ready) && node.is_set(&node.log_up) && !node.is_set(&node.shutting_down);
        if !may_run {
            continue;
        }
        for (key, action) in select_requests(&node, &running_keys) {
            running_keys.push(key.clone());
            let node = node.clone();
            tasks.spawn(async move {
                perform(&node, &key, action).await;
                key
            });
        }
    }
}

/// What to do with a deferred request that has no outcome yet.
enum DeferredAction {
    /// Run the request.
    Run { rec: KeyedRequest },
    /// Record an unknown outcome: the process that ran the request is gone, and the request may not be
    /// repeated.
    RecordUnknown { holder: String },
}

/// Selects deferred requests that have no outcome yet and are assigned to this process, as many as it may
/// still run.
fn select_requests(node: &Node, running_keys: &[IdempotencyKey]) -> Vec<(IdempotencyKey, DeferredAction)> {
    let state = node.state.read();
    let capacity = MAX_CONCURRENT_REQUESTS.saturating_sub(running_keys.len());
    let open =
        state.open_keys.iter().filter(|k| !running_keys.contains(k) && is_assigned(&state, k, &node.id));
    let selected = open.filter_map(|k| Some((k.clone(), action_for(&state, state.keys.get(k)?)?)));
    selected.take(capacity).collect()
}

/// Whether a key is assigned to a process by rendezvous hashing over the roster.
fn is_assigned(state: &State, key: &str, id: &str) -> bool {
    let weight = |member: &str| workswood_core::digest(&[key.as_bytes(), member.as_bytes()]);
    let assigned = state.roster.iter().map(|m| m.id.as_str()).max_by_key(|id| weight(id));
    assigned == Some(id)
}

fn action_for(state: &State, rec: &KeyedRequest) -> Option<DeferredAction> {
    match &rec.state {
        KeyState::Waiting => Some(DeferredAction::Run { rec: rec.clone() }),
        KeyState::Running { holder } if !state.roster.iter().any(|m| m.id == *holder) => {
            Some(if rec.may_repeat() {
                DeferredAction::Run { rec: rec.clone() }
            } else {
                DeferredAction::RecordUnknown { holder: holder.clone() }
            })
        }
        _ => None,
    }
}

async fn perform(node: &Arc<Node>, key: &str, action: DeferredAction) {
    match action {
        DeferredAction::Run { rec } => run_attempt(node, key, rec).await,
        DeferredAction::RecordUnknown { holder } => {
            log::warn!("event=deferred_unknown key={key} holder={holder} reason=holder_gone");
            let record = Record::Finish { key: key.to_string(), holder, outcome: AttemptOutcome::Unknown };
            let _ = node.append(vec![record]).await;
        }
    }
}

/// Makes one attempt. The slot is acquired before the start is recorded, so that little time passes
/// between the record and the sending.
async fn run_attempt(node: &Arc<Node>, key: &str, rec: KeyedRequest) {
    let Some(deferred) = &rec.deferred else { return };
    let Some(dispatcher) = dispatch::dispatcher_of(node, &rec.service) else { return };
    let slot_request =
        AcquireRequest { class: PriorityClass::Later, deadline: node.now() + SLOT_TIMEOUT, tried: &[] };
    let Some(Ok(slot)) = dispatch::acquire(node, &dispatcher, slot_request).await else { return };
    let Some(request) = routed_request(node, key, &rec, deferred) else { return };
    let attempt = rec.attempts + 1;
    let record = Record::Start { key: key.to_string(), holder: node.id.clone(), attempt };
    let Ok(appended) = node.append(vec![record]).await else { return };
    if appended.verdicts != [Ok(())] {
        return;
    }
    log::info!("event=deferred_start key={key} service={} attempt={attempt}", rec.service);
    let body = Bytes::from(STANDARD.decode(&deferred.body).unwrap_or_default());
    let outcome = proxy::send_from_slot(node, &request, body, Some(slot)).await;
    let mut record = keyed_requests::finish_record(node, key, &outcome);
    // Unless the outcome is in the log, the request runs again.
    while let Err(error) = node.append(vec![record.clone()]).await {
        log::warn!("event=deferred_finish_missed key={key} missed={error:?}");
        if error == AppendError::Unknown && !is_running_here(node, key) {
            return;
        }
        record = keyed_requests::finish_record(node, key, &outcome);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Whether the state says that this process runs the request of a key.
fn is_running_here(node: &Node, key: &str) -> bool {
    let state = node.state.read();
    state
        .keys
        .get(key)
        .is_some_and(|rec| matches!(&rec.state, KeyState::Running { holder } if *holder == node.id))
}

/// Rebuilds a request from the log; `None` if its route is no longer in force.
fn routed_request(
    node: &Node,
    key: &str,
    rec: &KeyedRequest,
    deferred: &DeferredRequest,
) -> Option<RoutedRequest> {
    let table = node.table.load();
    let path = deferred.path.split('?').next().unwrap_or_default();
    let (route, service) = table.route_for(path).filter(|(_, s)| *s == rec.service)?.clone();
    let mut headers = hyper::HeaderMap::new();
    headers.insert(KEY_HEADER, key.parse().ok()?);
    let head = RequestHead { method: deferred.method.parse().ok()?, path: deferred.path.clone(), headers };
    let deadline = node.now() + route.deadline;
    Some(RoutedRequest { head, service, route, deadline, last_moment: None })
}
