//! Requests that may wait: accepted into the log, run when there is slack.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::Response;
use workswood_callers::{KEY, RAN, refusal, whole};
use workswood_core::code::{Code, Ran};
use workswood_core::fleet::Class;
use workswood_core::fold::{KeyRec, KeyState, MAX_KEY_WINDOW, State, Void};
use workswood_core::ids::{RequestKey, UnixMs};
use workswood_core::keyed::{Given, HOLD};
use workswood_core::record::{Deferred, End as KeyEnd, Record};

use super::appender::Missed;
use super::keys::{self, Claiming};
use super::lanes::{self, Ask};
use super::node::Node;
use super::serve::{self, Call, Head, Reply};

/// Largest body of a deferred request, in bytes.
pub const MOST_PAYLOAD: usize = 64 * 1024;
/// Time between looks for open requests.
const LOOK: Duration = Duration::from_millis(100);
/// Most deferred requests that one process runs at a time.
const MOST_AT_ONCE: usize = 8;
/// Longest wait for a slot before the request is looked at again.
const SLOT_WAIT: Duration = Duration::from_secs(60);

/// Accepts a deferred request, or runs it at once if it is too large.
pub async fn accept(node: &Arc<Node>, call: Call, body: Bytes, key: Option<String>) -> Reply {
    if body.len() > MOST_PAYLOAD {
        if call.route.repeatable {
            return serve::finish(serve::run(node, &call, body).await);
        }
        return keys::answer(node, call, body, key).await;
    }
    let named = key.is_some() || !call.route.repeatable;
    let given = match named {
        true => match keys::given(node, &call, &body, key) {
            Ok(g) => g,
            Err(code) => return refusal(code, Ran::NotRun, None),
        },
        false => unnamed(node, &call, &body),
    };
    if let Some(reply) = keys::known(node, &given) {
        return reply;
    }
    if !node.is(&node.log_up) {
        return keys::refuse(node, Some(&given.key), Code::LogUnavailable, Some(Duration::from_secs(1)))
            .await;
    }
    let Some(claiming) = Claiming::begin(node, &given.key, call.deadline).await else {
        return keys::refuse(node, Some(&given.key), Code::WaitTooLong, Some(HOLD)).await;
    };
    let deferred = Deferred {
        method: call.head.method.to_string(),
        path: call.head.path.clone(),
        body: STANDARD.encode(&body),
        repeatable: call.route.repeatable,
    };
    let record = Record::Claim {
        key: given.key.clone(),
        service: call.service.clone(),
        digest: given.digest,
        holder: None,
        last_moment: given.last_moment,
        deferred: Some(deferred),
    };
    match node.append(vec![record]).await.map(|f| f.verdicts) {
        Ok(v) => match v.first() {
            Some(Ok(())) => accepted(&given.key),
            Some(Err(Void::KeyTaken | Void::Expired)) => {
                keys::known(node, &given).unwrap_or_else(|| refusal(Code::KeyExpired, Ran::Unknown, None))
            }
            _ => refusal(Code::LogUnavailable, Ran::NotRun, Some(Duration::from_secs(1))),
        },
        Err(Missed::NotSent) => {
            drop(claiming);
            keys::refuse(node, Some(&given.key), Code::LogUnavailable, Some(Duration::from_secs(1))).await
        }
        // It may still come into the log and run; the key tells.
        Err(Missed::Unknown) => refusal(Code::LogUnavailable, Ran::Unknown, Some(Duration::from_secs(1))),
    }
}

/// A key for a repeatable request whose caller names none.
fn unnamed(node: &Node, call: &Call, body: &Bytes) -> Given {
    Given {
        key: uuid::Uuid::new_v4().simple().to_string(),
        last_moment: node.wall() + MAX_KEY_WINDOW.as_millis() as UnixMs,
        digest: keys::digest(call, body),
    }
}

fn accepted(key: &str) -> Reply {
    let text = format!("accepted; ask for the outcome at /workswood/outcome/{key}\n");
    let res = Response::builder().status(202).header(RAN, "accepted").header(KEY, key);
    res.body(whole(Bytes::from(text))).unwrap_or_else(|_| refusal(Code::KeyRunning, Ran::Unknown, None))
}

/// Runs open requests until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut running = tokio::task::JoinSet::new();
    let mut mine: Vec<RequestKey> = Vec::new();
    loop {
        while let Some(done) = running.try_join_next() {
            if let Ok(key) = done {
                mine.retain(|k| *k != key);
            }
        }
        tokio::time::sleep(LOOK).await;
        let idle = node.is(&node.ready) && node.is(&node.log_up) && !node.is(&node.leaving);
        if !idle {
            continue;
        }
        for (key, next) in pick(&node, &mine) {
            mine.push(key.clone());
            let node = node.clone();
            running.spawn(async move {
                step(&node, &key, next).await;
                key
            });
        }
    }
}

/// What to do with an open request.
enum Next {
    Start { rec: KeyRec },
    Bury { holder: String },
}

/// Open requests that fall to this process.
fn pick(node: &Node, mine: &[RequestKey]) -> Vec<(RequestKey, Next)> {
    let state = node.state.read();
    let room = MOST_AT_ONCE.saturating_sub(mine.len());
    let open = state.open_keys.iter().filter(|k| !mine.contains(k) && falls_to(&state, k, &node.id));
    let picked = open.filter_map(|k| Some((k.clone(), next(&state, state.keys.get(k)?)?)));
    picked.take(room).collect()
}

/// Whether a key falls to a process: the one of the roster with the highest
/// digest of key and name.
fn falls_to(state: &State, key: &str, id: &str) -> bool {
    let weight = |m: &str| workswood_core::digest(&[key.as_bytes(), m.as_bytes()]);
    let best = state.roster.iter().map(|m| m.id.as_str()).max_by_key(|m| weight(m));
    best == Some(id)
}

fn next(state: &State, rec: &KeyRec) -> Option<Next> {
    match &rec.state {
        KeyState::Waiting => Some(Next::Start { rec: rec.clone() }),
        KeyState::Running { holder } if !state.roster.iter().any(|m| m.id == *holder) => {
            Some(if rec.may_repeat() {
                Next::Start { rec: rec.clone() }
            } else {
                Next::Bury { holder: holder.clone() }
            })
        }
        _ => None,
    }
}

async fn step(node: &Arc<Node>, key: &str, next: Next) {
    match next {
        Next::Start { rec } => start(node, key, rec).await,
        Next::Bury { holder } => {
            log::warn!("event=deferred_unknown key={key} holder={holder} reason=holder_gone");
            let record = Record::Finish { key: key.to_string(), holder, end: KeyEnd::Unknown };
            let _ = node.append(vec![record]).await;
        }
    }
}

/// Runs one attempt. The slot comes first, so that little can happen between
/// the start in the log and the sending.
async fn start(node: &Arc<Node>, key: &str, rec: KeyRec) {
    let Some(d) = &rec.deferred else { return };
    let Some(lane) = lanes::of(node, &rec.service) else { return };
    let ask = Ask { class: Class::Later, deadline: node.now() + SLOT_WAIT, tried: &[] };
    let Some(Ok(slot)) = lanes::acquire(node, &lane, ask).await else { return };
    let Some(call) = call(node, key, &rec, d) else { return };
    let attempt = rec.attempts + 1;
    let record = Record::Start { key: key.to_string(), holder: node.id.clone(), attempt };
    let Ok(folded) = node.append(vec![record]).await else { return };
    if folded.verdicts != [Ok(())] {
        return;
    }
    log::info!("event=deferred_start key={key} service={} attempt={attempt}", rec.service);
    let body = Bytes::from(STANDARD.decode(&d.body).unwrap_or_default());
    let end = serve::run_on(node, &call, body, Some(slot)).await;
    let mut record = keys::finish_record(node, key, &end);
    // The outcome must reach the log, or the request would run again.
    while let Err(missed) = node.append(vec![record.clone()]).await {
        log::warn!("event=deferred_finish_missed key={key} missed={missed:?}");
        if missed == Missed::Unknown && !held_here(node, key) {
            return;
        }
        record = keys::finish_record(node, key, &end);
        tokio::time::sleep(LOOK).await;
    }
}

fn held_here(node: &Node, key: &str) -> bool {
    let state = node.state.read();
    state
        .keys
        .get(key)
        .is_some_and(|k| matches!(&k.state, KeyState::Running { holder } if *holder == node.id))
}

fn call(node: &Node, key: &str, rec: &KeyRec, d: &Deferred) -> Option<Call> {
    let table = node.table.load();
    let path = d.path.split('?').next().unwrap_or_default();
    let (route, service) = table.route_for(path).filter(|(_, s)| *s == rec.service)?.clone();
    let mut headers = hyper::HeaderMap::new();
    headers.insert(KEY, key.parse().ok()?);
    let head = Head { method: d.method.parse().ok()?, path: d.path.clone(), headers };
    let deadline = node.now() + route.deadline;
    Some(Call { head, service, route, deadline, last_moment: None })
}
