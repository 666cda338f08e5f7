//! Requests that may not be repeated.
//!
//! The right to run is won by the first claim of the key in the log. Only the
//! winner sends, once. Everybody else is told what the log says.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use workswood_callers::{KEY, RAN, refusal, whole};
use workswood_core::code::{Code, Ran};
use workswood_core::fold::{MAX_KEY_WINDOW, Void};
use workswood_core::ids::{RequestKey, UnixMs};
use workswood_core::keyed::{self, AfterClaim, Given, HOLD, Inquiry, Told};
use workswood_core::record::{End as KeyEnd, Record};
use workswood_peers::{KeyRequest, Msg};

use super::lanes;
use super::node::Node;
use super::serve::{self, Call, End, Reply};

/// Largest body of an answer that is kept with its key, in bytes.
const MOST_KEPT: usize = 4 * 1024;
/// How far the clocks of entry hosts may differ.
pub const CLOCK_BOUND: Duration = Duration::from_secs(2);
/// Longest wait for a peer that is asked about a key.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
const MOST_KEY: usize = 128;
/// When a caller should come back to a log that is down.
const COME_BACK: Duration = Duration::from_secs(1);
/// When a caller should ask again about a request that runs.
const ASK_AGAIN: Duration = Duration::from_millis(500);

/// Reads the key of a request.
pub fn given(node: &Node, call: &Call, body: &Bytes, key: Option<String>) -> Result<Given, Code> {
    let key = key.ok_or(Code::KeyMissing)?;
    let plain = key.bytes().all(|b| b.is_ascii_graphic());
    if key.is_empty() || key.len() > MOST_KEY || !plain {
        return Err(Code::KeyMalformed);
    }
    let last_moment = match &call.last_moment {
        Some(t) => t.parse().map_err(|_| Code::KeyMalformed)?,
        None => return Err(Code::KeyMissing),
    };
    let most = node.wall() + (MAX_KEY_WINDOW + CLOCK_BOUND).as_millis() as UnixMs;
    if last_moment > most {
        return Err(Code::KeyMalformed);
    }
    Ok(Given { key, last_moment, digest: digest(call, body) })
}

/// Digest of method, path and body.
pub fn digest(call: &Call, body: &Bytes) -> u64 {
    workswood_core::digest(&[call.head.method.as_str().as_bytes(), call.head.path.as_bytes(), body])
}

/// Answers a request that may not be repeated.
pub async fn answer(node: &Arc<Node>, call: Call, body: Bytes, key: Option<String>) -> Reply {
    let given = match given(node, &call, &body, key) {
        Ok(g) => g,
        // Without a readable key nothing like it can have run.
        Err(code) => return refusal(code, Ran::NotRun, None),
    };
    // It goes on when the caller goes away, so that the outcome is recorded.
    let node = node.clone();
    let run = tokio::spawn(async move { claim_and_run(&node, call, body, given).await });
    run.await.unwrap_or_else(|_| refusal(Code::KeyUnknownOutcome, Ran::Unknown, None))
}

/// Marks a key as being claimed here, for peers that ask.
pub struct Claiming {
    node: Arc<Node>,
    key: RequestKey,
}

impl Claiming {
    /// Begins a claim, when the key is no longer held for another's answer;
    /// `None` if that is after the deadline.
    pub async fn begin(node: &Arc<Node>, key: &str, deadline: Duration) -> Option<Claiming> {
        loop {
            let begun = node.claims.lock().begin(key, node.now());
            match begun {
                Ok(()) => return Some(Claiming { node: node.clone(), key: key.to_string() }),
                Err(until) if until < deadline => tokio::time::sleep(until.saturating_sub(node.now())).await,
                Err(_) => return None,
            }
        }
    }
}

impl Drop for Claiming {
    fn drop(&mut self) {
        self.node.claims.lock().end(&self.key);
    }
}

async fn claim_and_run(node: &Arc<Node>, call: Call, body: Bytes, given: Given) -> Reply {
    if let Some(reply) = known(node, &given) {
        return reply;
    }
    if let Some(code) = hopeless(node, &call) {
        return refuse(node, Some(&given.key), code, Some(COME_BACK)).await;
    }
    let Some(claiming) = Claiming::begin(node, &given.key, call.deadline).await else {
        return refuse(node, Some(&given.key), Code::WaitTooLong, Some(HOLD)).await;
    };
    let record = Record::Claim {
        key: given.key.clone(),
        service: call.service.clone(),
        digest: given.digest,
        holder: Some(node.id.clone()),
        last_moment: given.last_moment,
        deferred: None,
    };
    let Ok(folded) = node.append(vec![record]).await else {
        // This process will not send, whatever becomes of the claim. Another
        // copy may have run all the same, which the peers can tell.
        drop(claiming);
        return refuse(node, Some(&given.key), Code::LogUnavailable, Some(COME_BACK)).await;
    };
    let verdict = folded.verdicts.first().cloned().unwrap_or(Err(Void::Unknown));
    let next = keyed::after_claim(&node.state.read(), &given, &verdict);
    match next {
        AfterClaim::Run => run_claimed(node, call, body, &given.key).await,
        AfterClaim::Tell(told) => tell(&told, &given.key),
        AfterClaim::NotNow => {
            drop(claiming);
            refuse(node, Some(&given.key), Code::LogUnavailable, Some(COME_BACK)).await
        }
    }
}

/// Why a claim would be of no use now.
fn hopeless(node: &Node, call: &Call) -> Option<Code> {
    if !node.is(&node.log_up) {
        return Some(Code::LogUnavailable);
    }
    let behind = node.wall() + (CLOCK_BOUND.as_millis() as UnixMs) < node.state.read().time;
    if behind {
        return Some(Code::ClockSkew);
    }
    let lane = lanes::of(node, &call.service)?;
    let wait = lane.wait(node.now(), call.route.class);
    (node.now() + wait >= call.deadline).then_some(Code::WaitTooLong)
}

/// Runs a request that this process has won.
async fn run_claimed(node: &Arc<Node>, call: Call, body: Bytes, key: &str) -> Reply {
    let end = serve::run(node, &call, body).await;
    let record = finish_record(node, key, &end);
    if let End::NotSent(..) = end {
        // The key must be free again before the caller comes back with it.
        let _ = node.append(vec![record]).await;
    } else {
        let node = node.clone();
        tokio::spawn(async move { node.append(vec![record]).await });
    }
    serve::finish(end)
}

/// The record of how an attempt of this process ended.
pub fn finish_record(node: &Node, key: &str, end: &End) -> Record {
    let end = match end {
        End::Answered(reply, body) => {
            let kept = body.as_ref().filter(|b| b.len() <= MOST_KEPT).map(|b| STANDARD.encode(b));
            KeyEnd::Answered { status: reply.status().as_u16(), body: kept }
        }
        End::NotSent(..) => KeyEnd::NotSent,
        End::Broke(_) => KeyEnd::Unknown,
    };
    Record::Finish { key: key.to_string(), holder: node.id.clone(), end }
}

/// What the log says of a key, as an answer; `None` if it may be claimed.
pub fn known(node: &Node, given: &Given) -> Option<Reply> {
    let told = keyed::known(&node.state.read(), given)?;
    Some(tell(&told, &given.key))
}

/// The answer to a copy that is not sent.
pub fn tell(told: &Told, key: &str) -> Reply {
    let after = matches!(told, Told::Running).then_some(ASK_AGAIN);
    match (told, told.code()) {
        (Told::Done { status, body }, _) => done(*status, body.as_deref(), key),
        (_, code) => refusal(code.unwrap_or(Code::KeyUnknownOutcome), told.ran(), after),
    }
}

fn done(status: u16, body: Option<&str>, key: &str) -> Reply {
    let b = body.and_then(|b| STANDARD.decode(b).ok()).unwrap_or_default();
    let mut res = Response::builder().status(status).header(RAN, Ran::Run.as_str()).header(KEY, key);
    if body.is_none() {
        res = res.header("x-workswood-body", "not-kept");
    }
    res.body(whole(Bytes::from(b))).unwrap_or_else(|_| refusal(Code::KeyUnknownOutcome, Ran::Run, None))
}

/// Answers the question for the outcome of a key.
pub fn outcome(node: &Node, key: &str) -> Reply {
    let state = node.state.read();
    match state.keys.get(key) {
        Some(rec) => tell(&keyed::told(&state, rec), key),
        None => refusal(Code::KeyNotFound, Ran::Unknown, None),
    }
}

/// Refuses a request. One with a key is told "not run" only if no copy of it
/// can have been claimed by any process.
pub async fn refuse(node: &Arc<Node>, key: Option<&str>, code: Code, after: Option<Duration>) -> Reply {
    let ran = match key {
        None => Ran::NotRun,
        Some(key) if never_claimed(node, key).await => Ran::NotRun,
        Some(_) => Ran::Unknown,
    };
    refusal(code, ran, after)
}

/// What this process says when it is asked about a key.
pub fn reply(node: &Node, key: &str) -> keyed::Reply {
    let state = node.state.read();
    // A process that has not caught up can't say that it does not know.
    let known = state.keys.contains_key(key)
        || !node.is(&node.ready)
        || node.claims.lock().begun_or_hold(key, node.now());
    let folded = state.roster.iter().map(|m| m.id.clone());
    keyed::Reply { known, roster: folded.chain(node.proposed.lock().iter().cloned()).collect() }
}

/// Whether every process that may claim says that it does not know the key.
async fn never_claimed(node: &Arc<Node>, key: &str) -> bool {
    let began = node.now();
    let mut inquiry = Inquiry::new(&node.id, reply(node, key));
    while let Some(id) = inquiry.ask() {
        let ask = Msg::KeyRequest(KeyRequest { key: key.to_string() });
        let answer = match node.link_to(id) {
            Some(link) => link.call(ask, ASK_TIMEOUT).await,
            None => None,
        };
        inquiry.heard(match answer {
            Some(Msg::KeyReply(r)) => Some(keyed::Reply { known: r.known, roster: r.roster }),
            _ => None,
        });
    }
    // The others hold the key only for so long.
    inquiry.never_claimed() && node.now() - began < HOLD / 2
}
