//! Ensures that a request that may not be repeated is sent at most once, by its idempotency key.
//!
//! The process whose claim of the key comes first in the log sends the request, once. Every other
//! copy of the request is answered from the log.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use workswood_callers::{KEY_HEADER, RAN_HEADER, full_body, refusal};
use workswood_core::code::{Code, ExecutionStatus};
use workswood_core::fold::{MAX_KEY_WINDOW, Rejection};
use workswood_core::idempotency::{
    self, CLAIM_HOLD, ClaimDecision, ClaimInquiry, KeyAnswer, RequestIdentity,
};
use workswood_core::ids::{IdempotencyKey, UnixMs};
use workswood_core::record::{AttemptOutcome, Record};
use workswood_peers::{KeyRequest, Msg};

use super::dispatch;
use super::node::Node;
use super::proxy::{self, Reply, RoutedRequest, SendOutcome};

/// Maximum size of a response body that is stored with its key, in bytes.
const MAX_STORED_BODY_BYTES: usize = 4 * 1024;
/// Maximum difference between the clocks of entries.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);
/// Timeout of a request to a peer for the status of a key.
const KEY_STATUS_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Time after which a caller may retry while the log is down.
pub(super) const LOG_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may ask again about a running request.
const RUNNING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Parses the key of a request, and the time after which the key is no longer valid (the last moment).
pub fn parse_identity(
    node: &Node,
    request: &RoutedRequest,
    body: &Bytes,
    key: Option<String>,
) -> Result<RequestIdentity, Code> {
    let key = key.ok_or(Code::KeyMissing)?;
    let visible = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !visible {
        return Err(Code::KeyMalformed);
    }
    let last_moment = match &request.last_moment {
        Some(t) => t.parse().map_err(|_| Code::KeyMalformed)?,
        None => return Err(Code::KeyMissing),
    };
    let latest = node.wall() + (MAX_KEY_WINDOW + MAX_CLOCK_SKEW).as_millis() as UnixMs;
    if last_moment > latest {
        return Err(Code::KeyMalformed);
    }
    Ok(RequestIdentity { key, last_moment, digest: request_digest(request, body) })
}

/// Digest of the method, path and body of a request.
pub fn request_digest(request: &RoutedRequest, body: &Bytes) -> u64 {
    workswood_core::digest(&[request.head.method.as_str().as_bytes(), request.head.path.as_bytes(), body])
}

/// Runs a request that may not be repeated, or answers from the log if its key was claimed before.
pub async fn answer(node: &Arc<Node>, request: RoutedRequest, body: Bytes, key: Option<String>) -> Reply {
    let identity = match parse_identity(node, &request, &body, key) {
        Ok(identity) => identity,
        // A request without a valid key is never claimed, so no copy of it can have run.
        Err(code) => return refusal(code, ExecutionStatus::NotRun, None),
    };
    // A task of its own continues when the caller disconnects, so that the outcome is recorded.
    let node = node.clone();
    let run = tokio::spawn(async move { claim_and_run(&node, request, body, identity).await });
    run.await.unwrap_or_else(|_| refusal(Code::KeyUnknownOutcome, ExecutionStatus::Unknown, None))
}

/// Marks a key as being claimed by this process until dropped. Peers that ask about the key are told.
pub struct ClaimGuard {
    node: Arc<Node>,
    key: IdempotencyKey,
}

impl ClaimGuard {
    /// Waits until this process may claim the key, which it may not do for [`CLAIM_HOLD`] after it told a peer
    /// that it does not know the key. Returns `None` if that is after the deadline.
    pub async fn begin(node: &Arc<Node>, key: &str, deadline: Duration) -> Option<ClaimGuard> {
        loop {
            let begun = node.claims.lock().begin(key, node.now());
            match begun {
                Ok(()) => return Some(ClaimGuard { node: node.clone(), key: key.to_string() }),
                Err(until) if until < deadline => tokio::time::sleep(until.saturating_sub(node.now())).await,
                Err(_) => return None,
            }
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.node.claims.lock().end(&self.key);
    }
}

/// Claims the key of a request in the log and sends the request if the claim wins.
async fn claim_and_run(
    node: &Arc<Node>,
    request: RoutedRequest,
    body: Bytes,
    identity: RequestIdentity,
) -> Reply {
    if let Some(reply) = recorded_reply(node, &identity) {
        return reply;
    }
    if let Some(code) = claim_obstacle(node, &request) {
        return refuse(node, Some(&identity.key), code, Some(LOG_RETRY_AFTER)).await;
    }
    let Some(claim_guard) = ClaimGuard::begin(node, &identity.key, request.deadline).await else {
        return refuse(node, Some(&identity.key), Code::WaitTooLong, Some(CLAIM_HOLD)).await;
    };
    let record = Record::Claim {
        key: identity.key.clone(),
        service: request.service.clone(),
        digest: identity.digest,
        holder: Some(node.id.clone()),
        last_moment: identity.last_moment,
        deferred: None,
    };
    let Ok(appended) = node.append(vec![record]).await else {
        // This process never sends the request, even if the claim is folded later. Another copy may
        // have run on a peer, so `refuse` asks them.
        drop(claim_guard);
        return refuse(node, Some(&identity.key), Code::LogUnavailable, Some(LOG_RETRY_AFTER)).await;
    };
    let verdict = appended.verdicts.first().cloned().unwrap_or(Err(Rejection::Unknown));
    let next = idempotency::decide_after_claim(&node.state.read(), &identity, &verdict);
    match next {
        ClaimDecision::Send => send_claimed(node, request, body, &identity.key).await,
        ClaimDecision::Answer(answer) => reply_to_copy(&answer, &identity.key),
        ClaimDecision::RetryLater => {
            drop(claim_guard);
            refuse(node, Some(&identity.key), Code::LogUnavailable, Some(LOG_RETRY_AFTER)).await
        }
    }
}

/// Returns the code to refuse a request with if it could not be claimed now or not be sent in time.
fn claim_obstacle(node: &Node, request: &RoutedRequest) -> Option<Code> {
    if !node.is_set(&node.log_up) {
        return Some(Code::LogUnavailable);
    }
    let clock_behind = node.wall() + (MAX_CLOCK_SKEW.as_millis() as UnixMs) < node.state.read().log_time;
    if clock_behind {
        return Some(Code::ClockSkew);
    }
    // Without a dispatcher there is no expected wait; the attempt to send then fails with its own code.
    let dispatcher = dispatch::dispatcher_of(node, &request.service)?;
    let wait = dispatcher.expected_wait(node.now(), request.route.class);
    (node.now() + wait >= request.deadline).then_some(Code::WaitTooLong)
}

/// Sends a request whose key this process has claimed, and records the outcome.
async fn send_claimed(node: &Arc<Node>, request: RoutedRequest, body: Bytes, key: &str) -> Reply {
    let outcome = proxy::send_with_retries(node, &request, body).await;
    let record = finish_record(node, key, &outcome);
    if let SendOutcome::NotSent(..) = outcome {
        // The key must be free before the caller retries with it.
        let _ = node.append(vec![record]).await;
    } else {
        let node = node.clone();
        tokio::spawn(async move { node.append(vec![record]).await });
    }
    proxy::reply_of(outcome)
}

/// Record of how an attempt of this process ended.
pub fn finish_record(node: &Node, key: &str, outcome: &SendOutcome) -> Record {
    let end = match outcome {
        SendOutcome::Answered(reply, body) => {
            let stored =
                body.as_ref().filter(|b| b.len() <= MAX_STORED_BODY_BYTES).map(|b| STANDARD.encode(b));
            AttemptOutcome::Answered { status: reply.status().as_u16(), body: stored }
        }
        SendOutcome::NotSent(..) => AttemptOutcome::NotSent,
        SendOutcome::Broken(_) => AttemptOutcome::Unknown,
    };
    Record::Finish { key: key.to_string(), holder: node.id.clone(), outcome: end }
}

/// Response to a copy of a request that the log knows of; `None` if its key may be claimed.
pub fn recorded_reply(node: &Node, identity: &RequestIdentity) -> Option<Reply> {
    let answer = idempotency::answer_if_known(&node.state.read(), identity)?;
    Some(reply_to_copy(&answer, &identity.key))
}

/// Response to a copy of a request that is not sent.
pub fn reply_to_copy(answer: &KeyAnswer, key: &str) -> Reply {
    let retry_after = matches!(answer, KeyAnswer::Running).then_some(RUNNING_RETRY_AFTER);
    match (answer, answer.code()) {
        (KeyAnswer::Done { status, body }, _) => stored_reply(*status, body.as_deref(), key),
        (_, code) => refusal(code.unwrap_or(Code::KeyUnknownOutcome), answer.execution(), retry_after),
    }
}

/// Response that is stored with a key; its body is empty if it was too large to store.
fn stored_reply(status: u16, body: Option<&str>, key: &str) -> Reply {
    let bytes = body.and_then(|b| STANDARD.decode(b).ok()).unwrap_or_default();
    let mut res = Response::builder()
        .status(status)
        .header(RAN_HEADER, ExecutionStatus::Run.as_str())
        .header(KEY_HEADER, key);
    if body.is_none() {
        res = res.header("x-workswood-body", "not-kept");
    }
    res.body(full_body(Bytes::from(bytes)))
        .unwrap_or_else(|_| refusal(Code::KeyUnknownOutcome, ExecutionStatus::Run, None))
}

/// Answers a caller that asks for the outcome of a key.
pub fn outcome_reply(node: &Node, key: &str) -> Reply {
    let state = node.state.read();
    match state.keys.get(key) {
        Some(rec) => reply_to_copy(&idempotency::answer_for(&state, rec), key),
        None => refusal(Code::KeyNotFound, ExecutionStatus::Unknown, None),
    }
}

/// Refuses a request. The response to one with a key says "not run" only if no process can have claimed
/// any copy of it.
pub async fn refuse(node: &Arc<Node>, key: Option<&str>, code: Code, retry_after: Option<Duration>) -> Reply {
    let ran = match key {
        None => ExecutionStatus::NotRun,
        Some(key) if never_claimed(node, key).await => ExecutionStatus::NotRun,
        Some(_) => ExecutionStatus::Unknown,
    };
    refusal(code, ran, retry_after)
}

/// Returns whether this process knows a key, with the members of the roster and of the roster that this
/// process has proposed. After denying that it knows the key, this process does not claim it for
/// [`CLAIM_HOLD`].
pub fn deny_or_confirm_key(node: &Node, key: &str) -> idempotency::InquiryReply {
    let state = node.state.read();
    // A process that has not caught up with the log can't deny that it knows the key.
    let known = state.keys.contains_key(key)
        || !node.is_set(&node.ready)
        || node.claims.lock().hold_unless_begun(key, node.now());
    let roster = state.roster.iter().map(|m| m.id.clone());
    idempotency::InquiryReply {
        known,
        roster: roster.chain(node.proposed_roster.lock().iter().cloned()).collect(),
    }
}

/// Asks all processes that may claim a key, and returns whether none of them knows it.
async fn never_claimed(node: &Arc<Node>, key: &str) -> bool {
    let started_at = node.now();
    let mut inquiry = ClaimInquiry::new(&node.id, deny_or_confirm_key(node, key));
    while let Some(id) = inquiry.next_to_ask() {
        let request = Msg::KeyRequest(KeyRequest { key: key.to_string() });
        let answer = match node.link_to(id) {
            Some(link) => link.call(request, KEY_STATUS_TIMEOUT).await,
            None => None,
        };
        inquiry.record_reply(match answer {
            Some(Msg::KeyReply(reply)) => {
                Some(idempotency::InquiryReply { known: reply.known, roster: reply.roster })
            }
            _ => None,
        });
    }
    // Peers that answered refrain from claiming the key only for `CLAIM_HOLD`.
    inquiry.never_claimed() && node.now() - started_at < CLAIM_HOLD / 2
}
