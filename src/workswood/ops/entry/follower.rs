//! Following the log: read, fold, publish.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use workswood_core::fold::{Assembler, State};
use workswood_core::invariant;
use workswood_core::record::{Duty, Envelope};
use workswood_core::route::RouteTable;
use workswood_peers::{Msg, StateRequest};
use workswood_platform::{Error, LogRecord};

use super::lanes;
use super::node::Node;

/// Records read at a time.
const MOST_READ: usize = 512;
/// How often the log is read while nobody tells of its growth.
const POLL: Duration = Duration::from_millis(250);
/// Failed reads in a row after which the log counts as down. One alone may be
/// a slow answer, and refuses nothing.
const FAILURES_TO_DOWN: u32 = 2;
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest wait for a peer's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Follows the log until the process ends.
pub async fn run(node: Arc<Node>) {
    start(&node).await;
    let mut failures = 0;
    loop {
        let more = step(&node, &mut failures).await;
        if !more {
            let _ = tokio::time::timeout(POLL, node.grown.notified()).await;
        }
    }
}

/// Gets a state to go on from: from the log, or from a peer while it is down.
async fn start(node: &Arc<Node>) {
    let mut said = false;
    loop {
        let trouble = match from_log(node).await {
            Ok(Some(state)) => return adopt(node, state),
            Ok(None) => "no_checkpoint".to_string(),
            Err(e) => format!("{e:?}"),
        };
        if !std::mem::replace(&mut said, true) {
            log::warn!("event=no_state_from_log code=302 next=asking_peers trouble={trouble:?}");
        }
        if let Some(state) = from_peers(node).await {
            return adopt(node, state);
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// The newest whole checkpoint of the log, or the empty state if the log
/// still holds its first record.
async fn from_log(node: &Node) -> Result<Option<State>, Error> {
    let mut assembler = Assembler::default();
    let mut newest = None;
    let mut from = 0;
    let mut whole = None;
    loop {
        let read = node.platform.read(from, MOST_READ).await?;
        whole.get_or_insert(read.first == 0);
        for r in &read.records {
            let Some(env) = decode(r) else { continue };
            for record in &env.records {
                newest = assembler.take(record).or(newest);
            }
        }
        from = read.records.last().map_or(read.head, |r| r.offset + 1);
        if from >= read.head {
            break;
        }
    }
    node.log_up.store(true, Ordering::Release);
    let empty = (whole == Some(true)).then(State::default);
    Ok(newest.or(empty))
}

async fn from_peers(node: &Node) -> Option<State> {
    let links: Vec<_> = node.links.lock().values().cloned().collect();
    let ask = |l: workswood_peers::Link| async move {
        l.call(Msg::StateRequest(StateRequest {}), STATE_TIMEOUT).await
    };
    let answers = futures::future::join_all(links.into_iter().map(ask)).await;
    let states = answers.into_iter().flatten().filter_map(|m| match m {
        Msg::StateReply(r) if !r.text.is_empty() => State::from_text(&r.text),
        _ => None,
    });
    states.max_by_key(|s| s.next)
}

/// Takes a state over, never one that is older than what is held.
fn adopt(node: &Arc<Node>, state: State) {
    let held = node.state.read().next;
    let newer = invariant::check(state.next >= held, || format!("state {} is older than {held}", state.next));
    if newer {
        log::info!("event=state_adopted next={}", state.next);
        *node.state.write() = state;
        publish(node);
    }
}

fn decode(r: &LogRecord) -> Option<Envelope> {
    match serde_json::from_str(&r.body) {
        Ok(env) => Some(env),
        Err(e) => {
            log::warn!("event=record_unreadable offset={} error={e:?}", r.offset);
            None
        }
    }
}

/// Reads and folds what is new; true if there may be more.
async fn step(node: &Arc<Node>, failures: &mut u32) -> bool {
    let from = node.state.read().next;
    let read = match node.platform.read(from, MOST_READ).await {
        Ok(r) => {
            *failures = 0;
            r
        }
        Err(e) => {
            *failures += 1;
            if *failures < FAILURES_TO_DOWN {
                tokio::time::sleep(PAUSE).await;
                return true;
            }
            if node.log_up.swap(false, Ordering::AcqRel) {
                log::warn!("event=log_down error={e:?}");
            }
            ready_without_log(node).await;
            tokio::time::sleep(PAUSE).await;
            return false;
        }
    };
    if !node.log_up.swap(true, Ordering::AcqRel) {
        log::info!("event=log_up head={}", read.head);
    }
    if read.first > from {
        log::warn!("event=log_gap next={from} first={}", read.first);
        start(node).await;
        return true;
    }
    if read.head < from {
        // A log that is shorter than what was read is another log.
        invariant::check(false, || format!("log shrank to {} below {from}", read.head));
        tokio::time::sleep(PAUSE).await;
        return false;
    }
    let any = !read.records.is_empty();
    for r in &read.records {
        fold(node, r);
    }
    if any {
        publish(node);
    }
    let caught_up = node.state.read().next >= read.head;
    if caught_up && !node.ready.swap(true, Ordering::AcqRel) {
        log::info!("event=ready next={}", read.head);
    }
    !caught_up
}

/// Becomes ready on the newest state of any peer while the log is down.
async fn ready_without_log(node: &Arc<Node>) {
    if node.is(&node.ready) {
        return;
    }
    let Some(state) = from_peers(node).await else { return };
    if state.next > node.state.read().next {
        adopt(node, state);
    }
    node.ready.store(true, Ordering::Release);
    log::info!("event=ready reason=peer_state next={}", node.state.read().next);
}

fn fold(node: &Arc<Node>, r: &LogRecord) {
    let Some(env) = decode(r) else {
        let mut state = node.state.write();
        state.skip(r.offset);
        return;
    };
    let verdicts = {
        let mut state = node.state.write();
        let verdicts = state.fold(r.offset, &env);
        let ours = state.lease(Duty::Checkpointer).holder.as_deref() == Some(&node.id);
        if !ours {
            state.forget_mark_text();
        }
        verdicts
    };
    node.metrics.folded.inc();
    if env.from == node.id {
        node.own_folded(r.offset, &env, &verdicts);
    }
}

/// Makes the routing table of the new state and tells everybody.
fn publish(node: &Arc<Node>) {
    let (table, next) = {
        let state = node.state.read();
        (RouteTable::new(&state, &node.id), state.next)
    };
    node.claims.lock().on_roster(table.share.0.is_some(), node.now());
    let table = Arc::new(table);
    node.table.store(table.clone());
    lanes::update(node, &table);
    node.metrics.next.set(next as i64);
    node.folded.send_replace(next);
}
