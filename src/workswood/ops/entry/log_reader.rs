//! Reads the log, folds its envelopes into the state and publishes the new routing table.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use workswood_core::fold::{CheckpointAssembler, State};
use workswood_core::invariant;
use workswood_core::record::{Envelope, Role};
use workswood_core::route::RouteTable;
use workswood_peers::{Msg, StateRequest};
use workswood_platform::{Error, LogRecord};

use super::dispatch;
use super::node::Node;

/// Maximum number of envelopes in one read.
const MAX_READ_ENVELOPES: usize = 512;
/// Time after which the log is read although no growth was announced.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Consecutive failed reads after which the log counts as down. One failed read may be only a slow
/// answer, so it does not mark the log as down.
const FAILED_READS_UNTIL_DOWN: u32 = 2;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a request for a peer's state.
const PEER_STATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the log until the process ends.
pub async fn run(node: Arc<Node>) {
    load_state(&node).await;
    let mut failures = 0;
    loop {
        let more = read_and_fold(&node, &mut failures).await;
        if !more {
            let _ = tokio::time::timeout(POLL_INTERVAL, node.log_grown.notified()).await;
        }
    }
}

/// Loads the newest checkpoint of the log, or a peer's state if the log can't give one; retries until
/// there is a state to continue from.
async fn load_state(node: &Arc<Node>) {
    let mut logged = false;
    loop {
        let error = match load_checkpoint(node).await {
            Ok(Some(state)) => return adopt_state(node, state),
            Ok(None) => "no_checkpoint".to_string(),
            Err(e) => format!("{e:?}"),
        };
        if !std::mem::replace(&mut logged, true) {
            log::warn!("event=no_state_from_log code=302 next=asking_peers trouble={error:?}");
        }
        if let Some(state) = fetch_peer_state(node).await {
            return adopt_state(node, state);
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the newest complete checkpoint in the log, or the empty state if there is none but the log
/// still begins at offset 0. Marks the log as up once it is read to its end.
async fn load_checkpoint(node: &Node) -> Result<Option<State>, Error> {
    let mut assembler = CheckpointAssembler::default();
    let mut newest = None;
    let mut from = 0;
    let mut starts_at_zero = None;
    loop {
        let read = node.platform.read(from, MAX_READ_ENVELOPES).await?;
        starts_at_zero.get_or_insert(read.first == 0);
        for log_record in &read.records {
            let Some(envelope) = decode_envelope(log_record) else { continue };
            for record in &envelope.records {
                newest = assembler.add(record).or(newest);
            }
        }
        from = read.records.last().map_or(read.head, |r| r.offset + 1);
        if from >= read.head {
            break;
        }
    }
    node.log_up.store(true, Ordering::Release);
    let empty = (starts_at_zero == Some(true)).then(State::default);
    Ok(newest.or(empty))
}

/// Returns the newest state that any linked peer answers with.
async fn fetch_peer_state(node: &Node) -> Option<State> {
    let links: Vec<_> = node.links.lock().values().cloned().collect();
    let request_state = |link: workswood_peers::Link| async move {
        link.call(Msg::StateRequest(StateRequest {}), PEER_STATE_TIMEOUT).await
    };
    let answers = futures::future::join_all(links.into_iter().map(request_state)).await;
    let states = answers.into_iter().flatten().filter_map(|msg| match msg {
        Msg::StateReply(reply) if !reply.text.is_empty() => State::from_text(&reply.text),
        _ => None,
    });
    states.max_by_key(|s| s.next_offset)
}

/// Replaces the state of this process, unless the new one is older.
fn adopt_state(node: &Arc<Node>, state: State) {
    let current = node.state.read().next_offset;
    let newer = invariant::check(state.next_offset >= current, || {
        format!("state {} is older than {current}", state.next_offset)
    });
    if newer {
        log::info!("event=state_adopted next={}", state.next_offset);
        *node.state.write() = state;
        publish_state(node);
    }
}

/// Parses the envelope of a log record; an unreadable one is logged.
fn decode_envelope(log_record: &LogRecord) -> Option<Envelope> {
    match serde_json::from_str(&log_record.body) {
        Ok(envelope) => Some(envelope),
        Err(e) => {
            log::warn!("event=record_unreadable offset={} error={e:?}", log_record.offset);
            None
        }
    }
}

/// Reads the next envelopes and folds them; returns whether the next read should follow immediately.
async fn read_and_fold(node: &Arc<Node>, failures: &mut u32) -> bool {
    let from = node.state.read().next_offset;
    let read = match node.platform.read(from, MAX_READ_ENVELOPES).await {
        Ok(r) => {
            *failures = 0;
            r
        }
        Err(e) => {
            *failures += 1;
            if *failures < FAILED_READS_UNTIL_DOWN {
                tokio::time::sleep(RETRY_DELAY).await;
                return true;
            }
            if node.log_up.swap(false, Ordering::AcqRel) {
                log::warn!("event=log_down error={e:?}");
            }
            become_ready_from_peers(node).await;
            tokio::time::sleep(RETRY_DELAY).await;
            return false;
        }
    };
    if !node.log_up.swap(true, Ordering::AcqRel) {
        log::info!("event=log_up head={}", read.head);
    }
    if read.first > from {
        log::warn!("event=log_gap next={from} first={}", read.first);
        load_state(node).await;
        return true;
    }
    if read.head < from {
        // The log never shrinks: one that is shorter than what was read is a different log.
        invariant::check(false, || format!("log shrank to {} below {from}", read.head));
        tokio::time::sleep(RETRY_DELAY).await;
        return false;
    }
    let has_records = !read.records.is_empty();
    for log_record in &read.records {
        fold(node, log_record);
    }
    if has_records {
        publish_state(node);
    }
    let caught_up = node.state.read().next_offset >= read.head;
    if caught_up && !node.ready.swap(true, Ordering::AcqRel) {
        log::info!("event=ready next={}", read.head);
    }
    !caught_up
}

/// Marks the process ready on the newest state of any peer while the log is down.
async fn become_ready_from_peers(node: &Arc<Node>) {
    if node.is_set(&node.ready) {
        return;
    }
    let Some(state) = fetch_peer_state(node).await else { return };
    if state.next_offset > node.state.read().next_offset {
        adopt_state(node, state);
    }
    node.ready.store(true, Ordering::Release);
    log::info!("event=ready reason=peer_state next={}", node.state.read().next_offset);
}

/// Folds one log record and completes the append if the envelope is this process's own.
fn fold(node: &Arc<Node>, log_record: &LogRecord) {
    let Some(envelope) = decode_envelope(log_record) else {
        let mut state = node.state.write();
        state.skip(log_record.offset);
        return;
    };
    let verdicts = {
        let mut state = node.state.write();
        let verdicts = state.fold(log_record.offset, &envelope);
        let is_checkpointer = state.lease(Role::Checkpointer).holder.as_deref() == Some(&node.id);
        if !is_checkpointer {
            state.drop_checkpoint_text();
        }
        verdicts
    };
    node.metrics.folded_envelopes.inc();
    if envelope.sender == node.id {
        node.complete_append(log_record.offset, &envelope, &verdicts);
    }
}

/// Builds the routing table of the state and passes it and the next offset to the other tasks.
fn publish_state(node: &Arc<Node>) {
    let (table, next) = {
        let state = node.state.read();
        (RouteTable::new(&state, &node.id), state.next_offset)
    };
    node.claims.lock().set_on_roster(table.roster_position.0.is_some(), node.now());
    let table = Arc::new(table);
    node.table.store(table.clone());
    dispatch::update_routes(node, &table);
    node.metrics.next_offset.set(next as i64);
    node.next_offset.send_replace(next);
}
