//! What processes do for each other while the store turns some of them away.
//!
//! A host that can't write into the store has another one write what its callers
//! hand in. A lease holder that can't has another one give the lease back, so
//! that its successor need not wait until the lease expires.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::join_all;
use workswood_peers::{
    CallError, ConfigReply, ConfigRequest, EvacuatedDataCentres, HandInOutcome, Handler, InboxAppendReply,
    InboxAppendRequest, InboxRecord, LeaseHolder, LeaseReleaseRequest, Msg,
};
use workswood_platform::jobs::{Guard, KeyedRecord, Topic};

use super::inbox::Stored;
use super::lease::{self, LeaseRecord};
use super::node::{Holder, Node};
use super::operator_state::Evacuations;
use super::{advice, ask};

/// How many other processes are asked, one after the other.
const MOST_HELPERS: usize = 2;
/// How long one of them is waited for: a few times the way there and back and an
/// append on a busy host.
const HELP_TIMEOUT: Duration = Duration::from_millis(400);

/// Answers what other processes ask for.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |msg| {
        let node = node.clone();
        async move { answer(&node, msg).await }.boxed()
    })
}

async fn answer(node: &Node, msg: Msg) -> Option<Msg> {
    match msg {
        Msg::JobStateRequest(ask) => Some(Msg::JobStateReply(ask::answer_job(node, &ask))),
        Msg::PendingJobsRequest(ask) => Some(Msg::PendingJobsReply(ask::answer_pending(node, &ask))),
        Msg::InboxAppendRequest(asked) => Some(Msg::InboxAppendReply(store_for(node, asked).await)),
        Msg::AdviceRequest(asked) => Some(Msg::AdviceReply(advice::answer_peer(node, asked).await)),
        Msg::LeaseReleaseRequest(asked) => release_for(node, asked).await,
        Msg::ConfigRequest(asked) => Some(Msg::ConfigReply(newer_config(node, &asked))),
        _ => None,
    }
}

/// Writes what another process was handed in. While the store turns this host
/// away too it says so at once: with the store away for all, each would wait for
/// the others.
async fn store_for(node: &Node, asked: InboxAppendRequest) -> InboxAppendReply {
    if node.inbox.fails(node.now()) {
        return InboxAppendReply { outcomes: vec![HandInOutcome::NotStored as i32; asked.records.len()] };
    }
    let within = Duration::from_millis(u64::from(asked.timeout_ms));
    let store = |rec: InboxRecord| {
        let rec = KeyedRecord { key: rec.key, value: Some(rec.value) };
        node.inbox.store_here(rec, within)
    };
    let stored = join_all(asked.records.into_iter().map(store)).await;
    log::info!("event=helped_hand_in records={} stored={}", stored.len(), count(&stored));
    InboxAppendReply { outcomes: stored.into_iter().map(|s| outcome(s) as i32).collect() }
}

fn count(stored: &[Stored]) -> usize {
    stored.iter().filter(|s| **s == Stored::Yes).count()
}

fn outcome(stored: Stored) -> HandInOutcome {
    match stored {
        Stored::Yes => HandInOutcome::Stored,
        Stored::No => HandInOutcome::NotStored,
        Stored::Unknown => HandInOutcome::Unknown,
    }
}

/// Has another process write records; tells what became of each. Records that
/// nobody could be asked for are not stored.
pub async fn hand_in(node: &Node, records: &[KeyedRecord]) -> Vec<Stored> {
    let mut told = vec![Stored::No; records.len()];
    for address in helpers(node) {
        let wire =
            |r: &KeyedRecord| InboxRecord { key: r.key.clone(), value: r.value.clone().unwrap_or_default() };
        let records = records.iter().map(wire).collect();
        let timeout_ms = (HELP_TIMEOUT * 3 / 4).as_millis() as u32;
        let msg = Msg::InboxAppendRequest(InboxAppendRequest { records, timeout_ms });
        let reply = node.peers.call(&node.id, &address, msg, HELP_TIMEOUT).await;
        take_reply(&mut told, reply);
        if told.iter().all(|s| *s == Stored::Yes) {
            break;
        }
    }
    log::info!("event=handed_in_by_helper records={} stored={}", told.len(), count(&told));
    told
}

/// Takes in what a helper told. A record stays unknown once one try with it is;
/// only a helper that stored it changes that.
fn take_reply(told: &mut [Stored], reply: Result<Msg, CallError>) {
    let outcomes = match reply {
        Ok(Msg::InboxAppendReply(r)) => r.outcomes,
        Err(CallError::NotSent) => return,
        Ok(_) | Err(CallError::NoAnswer) => Vec::new(),
    };
    for (n, stored) in told.iter_mut().enumerate() {
        let outcome = outcomes.get(n).and_then(|o| HandInOutcome::try_from(*o).ok());
        match outcome.unwrap_or(HandInOutcome::Unknown) {
            HandInOutcome::Stored => *stored = Stored::Yes,
            HandInOutcome::Unknown if *stored != Stored::Yes => *stored = Stored::Unknown,
            HandInOutcome::Unknown | HandInOutcome::NotStored => {}
        }
    }
}

/// Processes that may help: the lease holder first, which needs the records.
fn helpers(node: &Node) -> Vec<String> {
    let own = node.settings.peers.to_string();
    let holder = node.holder.load_full().filter(|h| !h.released && h.id != node.id);
    let mut addresses: Vec<String> = holder.map(|h| h.peer_address.clone()).into_iter().collect();
    for other in node.peers.helpers(&own, MOST_HELPERS + 1) {
        if !addresses.contains(&other) {
            addresses.push(other);
        }
    }
    addresses.truncate(MOST_HELPERS);
    addresses
}

/// Writes for another process that it gives the scheduler lease back; answers
/// once that is stored.
async fn release_for(node: &Node, asked: LeaseReleaseRequest) -> Option<Msg> {
    let rec = KeyedRecord { key: lease::KEY.to_string(), value: Some(asked.record) };
    match node.platform.append(Topic::Lease, vec![rec], Guard::None).await {
        Ok(_) => {
            log::info!("event=helped_release");
            Some(Msg::Ack(workswood_peers::Ack {}))
        }
        Err(e) => {
            log::warn!("event=help_failed what=release error=\"{e}\"");
            None
        }
    }
}

/// What operators wrote last, if it is newer than what the asking process has.
fn newer_config(node: &Node, asked: &ConfigRequest) -> ConfigReply {
    let known = node.config.load().as_ref().map_or(0, |c| c.version);
    let newer = node.config_text.load_full().filter(|_| known > asked.version);
    let evacuated = node.operator_state.is_known().then(|| evacuated(node));
    let holder = node.holder.load_full().filter(|h| !h.released);
    let holder = holder.map(|h| LeaseHolder {
        incarnation: h.id.clone(),
        peer_address: h.peer_address.clone(),
        term: h.term,
    });
    ConfigReply { record: newer.map(|text| Bytes::clone(&text)).unwrap_or_default(), evacuated, holder }
}

/// Which data centres are evacuated, as this process knows.
fn evacuated(node: &Node) -> EvacuatedDataCentres {
    let known = node.operator_state.evacuations();
    let age_ms = node.operator_state.age(node.now()).as_millis() as u64;
    EvacuatedDataCentres { data_centres: known.data_centres.iter().cloned().collect(), age_ms }
}

/// What operators wrote, as other processes tell.
#[derive(Default)]
pub struct Wishes {
    /// Configurations, as they were written.
    pub configs: Vec<Bytes>,
    /// What is evacuated, and since when that is known, on the clock of this process.
    pub evacuations: Vec<Evacuations>,
    /// The lease holder of the latest term that is known to one of them.
    pub holder: Option<Holder>,
}

/// Asks some other processes for a configuration newer than a version, and for evacuations.
pub async fn newer_wishes(node: &Node, version: u64) -> Wishes {
    let asked = node.now();
    let ask = |address: String| async move {
        let msg = Msg::ConfigRequest(ConfigRequest { version });
        match node.peers.call(&node.id, &address, msg, HELP_TIMEOUT).await {
            Ok(Msg::ConfigReply(reply)) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    };
    let replies = join_all(helpers(node).into_iter().map(ask)).await;
    let mut wishes = Wishes::default();
    for reply in replies.into_iter().flatten() {
        if !reply.record.is_empty() {
            wishes.configs.push(reply.record);
        }
        let holder = reply.holder.map(|h| Holder {
            id: h.incarnation,
            peer_address: h.peer_address,
            term: h.term,
            released: false,
        });
        wishes.holder = wishes.holder.into_iter().chain(holder).max_by_key(|h| h.term);
        wishes.evacuations.extend(reply.evacuated.map(|e| Evacuations {
            data_centres: e.data_centres.into_iter().collect(),
            read_at: asked.saturating_sub(Duration::from_millis(e.age_ms)),
        }));
    }
    if !wishes.configs.is_empty() {
        log::info!("event=config_from_peer version_before={version} answers={}", wishes.configs.len());
    }
    wishes
}

/// Has another process give this process's lease back; returns whether it is.
pub async fn release(node: &Node, term: u64) -> bool {
    let record = LeaseRecord::of(node, term, true).keyed().value.unwrap_or_default();
    for address in helpers(node) {
        let msg = Msg::LeaseReleaseRequest(LeaseReleaseRequest { record: record.clone() });
        if node.peers.call(&node.id, &address, msg, HELP_TIMEOUT).await.is_ok() {
            return true;
        }
    }
    false
}
