//! Requests between the processes that run jobs, and the replies to them.
//!
//! An entry that can't write into the store sends its callers' records to a peer that stores them. A lease
//! holder that can't write has a peer release the lease, so that its successor need not wait until the
//! lease expires. An entry that can't read the store polls peers for operators' changes.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::join_all;
use workswood_peers::{
    CallError, ConfigReply, ConfigRequest, EvacuatedDataCentres, HandInOutcome, Handler, InboxAppendReply,
    InboxAppendRequest, InboxRecord, LeaseHolder, LeaseReleaseRequest, Msg,
};
use workswood_platform::jobs::{CopyOutcome, Guard, KeyedRecord, Topic};

use super::inbox::Stored;
use super::lease::{self, LeaseRecord};
use super::node::{Holder, Node};
use super::operator_state::Evacuations;
use super::{admission_control, advice, bridges, inbox, job_queries, store_calls};

/// Maximum number of peers that are called with a request.
const MAX_CALLED_PEERS: usize = 2;
/// Timeout of a call to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);

/// Returns the handler of requests of other processes.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |msg| {
        let node = node.clone();
        async move { handle(&node, msg).await }.boxed()
    })
}

async fn handle(node: &Node, msg: Msg) -> Option<Msg> {
    match msg {
        Msg::JobStateRequest(request) => {
            Some(Msg::JobStateReply(job_queries::answer_job_state_request(node, &request)))
        }
        Msg::PendingJobsRequest(request) => {
            Some(Msg::PendingJobsReply(job_queries::answer_pending_jobs_request(node, &request)))
        }
        Msg::InboxAppendRequest(request) => {
            Some(Msg::InboxAppendReply(answer_inbox_append(node, request).await))
        }
        Msg::AdviceRequest(request) => Some(Msg::AdviceReply(advice::answer_peer(node, request).await)),
        Msg::AdmissionRequest(request) => {
            Some(Msg::AdmissionReply(admission_control::answer_request(node, &request)))
        }
        Msg::LeaseReleaseRequest(request) => answer_lease_release(node, request).await,
        Msg::StoreCallRequest(request) => Some(Msg::StoreCallReply(store_calls::answer(node, request).await)),
        Msg::BridgedCall(call) => Some(Msg::BridgedReply(bridges::pass_on(node, call).await)),
        Msg::ConfigRequest(request) => Some(Msg::ConfigReply(config_reply(node, &request))),
        _ => None,
    }
}

/// Stores records that a peer sent. Refuses them at once while appends from here fail too: if the store
/// is unreachable for all, the processes would otherwise wait for each other.
async fn answer_inbox_append(node: &Node, request: InboxAppendRequest) -> InboxAppendReply {
    if node.inbox_writer.is_failing(node.now()) {
        return InboxAppendReply { outcomes: vec![HandInOutcome::NotStored as i32; request.records.len()] };
    }
    let timeout = Duration::from_millis(u64::from(request.timeout_ms));
    let store = |rec: InboxRecord| {
        let rec = KeyedRecord { key: rec.key, value: Some(rec.value) };
        node.inbox_writer.store_for_peer(rec, timeout)
    };
    let stored = join_all(request.records.into_iter().map(store)).await;
    log::info!("event=helped_hand_in records={} stored={}", stored.len(), count_stored(&stored));
    InboxAppendReply { outcomes: stored.into_iter().map(|s| outcome_to_wire(s.into()) as i32).collect() }
}

fn count_stored(stored: &[Stored]) -> usize {
    stored.iter().filter(|s| **s == Stored::Yes).count()
}

pub(super) fn outcome_to_wire(outcome: CopyOutcome) -> HandInOutcome {
    match outcome {
        CopyOutcome::Done => HandInOutcome::Stored,
        CopyOutcome::NotDone => HandInOutcome::NotStored,
        CopyOutcome::Unknown => HandInOutcome::Unknown,
    }
}

/// The outcome that a peer tells; `None` for one that this version does not know.
pub(super) fn outcome_from_wire(outcome: i32) -> Option<CopyOutcome> {
    HandInOutcome::try_from(outcome).ok().map(|outcome| match outcome {
        HandInOutcome::Stored => CopyOutcome::Done,
        HandInOutcome::NotStored => CopyOutcome::NotDone,
        HandInOutcome::Unknown => CopyOutcome::Unknown,
    })
}

/// Has peers store records; returns the outcome of each. The outcome is [`CopyOutcome::NotDone`] if no peer could
/// be called or all of them refused the record.
pub async fn store_through_peers(node: &Node, records: &[KeyedRecord]) -> Vec<CopyOutcome> {
    let mut outcomes = vec![CopyOutcome::NotDone; records.len()];
    for address in addresses_to_call(node) {
        let to_wire =
            |r: &KeyedRecord| InboxRecord { key: r.key.clone(), value: r.value.clone().unwrap_or_default() };
        let records = records.iter().map(to_wire).collect();
        // Leaves the peer time to reply.
        let timeout_ms = (PEER_TIMEOUT * 3 / 4).as_millis() as u32;
        let msg = Msg::InboxAppendRequest(InboxAppendRequest { records, timeout_ms });
        let reply = node.peers.call(&node.id, &address, msg, PEER_TIMEOUT).await;
        apply_reply(&mut outcomes, reply);
        if outcomes.iter().all(|outcome| *outcome == CopyOutcome::Done) {
            break;
        }
    }
    let stored = outcomes.iter().filter(|outcome| **outcome == CopyOutcome::Done).count();
    log::info!("event=handed_in_by_helper records={} stored={stored}", outcomes.len());
    outcomes
}

/// Merges the reply of a peer into the outcomes.
fn apply_reply(outcomes: &mut [CopyOutcome], reply: Result<Msg, CallError>) {
    let replied = match reply {
        Ok(Msg::InboxAppendReply(r)) => r.outcomes,
        Err(CallError::NotSent) => return,
        Ok(_) | Err(CallError::NoAnswer) => Vec::new(),
    };
    for (n, outcome) in outcomes.iter_mut().enumerate() {
        let replied = replied.get(n).and_then(|o| outcome_from_wire(*o));
        *outcome = outcome.with(replied.unwrap_or(CopyOutcome::Unknown));
    }
}

/// Addresses of the peers to call: the lease holder first, then others in rotation. A process that knows no
/// other calls the seeds.
fn addresses_to_call(node: &Node) -> Vec<String> {
    let own = node.settings.peers.to_string();
    let holder = node.holder.load_full().filter(|h| !h.released && h.id != node.id);
    let mut addresses: Vec<String> = holder.map(|h| h.peer_address.clone()).into_iter().collect();
    for other in node.peers.rotated_addresses(&own, MAX_CALLED_PEERS + 1) {
        if !addresses.contains(&other) {
            addresses.push(other);
        }
    }
    if addresses.is_empty() {
        let own_seed = node.settings.seed_listener.map(|a| a.to_string());
        return node
            .settings
            .seeds()
            .filter(|a| Some(*a) != own_seed.as_deref())
            .map(str::to_string)
            .collect();
    }
    addresses.truncate(MAX_CALLED_PEERS);
    addresses
}

/// Writes the release of the scheduler lease for the process that holds it; replies once it is stored.
async fn answer_lease_release(node: &Node, request: LeaseReleaseRequest) -> Option<Msg> {
    let asked_at = node.now();
    let answers = !node.settings.policy.outage.probe_before_append || inbox::store_answers(node).await;
    // What is sent while the store is silent may be done when it is back, and the requester may renew its
    // lease then.
    if !answers || node.now() >= asked_at + PEER_TIMEOUT {
        log::info!("event=help_failed what=release error=\"the store does not answer here\"");
        return None;
    }
    let rec = KeyedRecord { key: lease::KEY.to_string(), value: Some(request.record) };
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

/// The configuration, if it is newer than that of the requester, with the evacuations and the lease holder.
fn config_reply(node: &Node, request: &ConfigRequest) -> ConfigReply {
    let known_version = node.config.load().as_ref().map_or(0, |c| c.version);
    let newer = node.config_text.load_full().filter(|_| known_version > request.version);
    let evacuated = node.operator_state.is_known().then(|| evacuated_data_centres(node));
    let holder = node.holder.load_full().filter(|h| !h.released);
    let holder = holder.map(|h| LeaseHolder {
        incarnation: h.id.clone(),
        peer_address: h.peer_address.clone(),
        term: h.term,
        knows_queues: h.knows_queues,
    });
    ConfigReply { record: newer.map(|text| Bytes::clone(&text)).unwrap_or_default(), evacuated, holder }
}

/// The evacuated data centres that this process knows of, and how long ago it read them.
fn evacuated_data_centres(node: &Node) -> EvacuatedDataCentres {
    let known = node.operator_state.evacuations();
    let age_ms = node.operator_state.age(node.now()).as_millis() as u64;
    EvacuatedDataCentres { data_centres: known.data_centres.iter().cloned().collect(), age_ms }
}

/// What peers have replied to a poll.
#[derive(Default)]
pub struct PeerUpdates {
    /// Newer configurations, as operators wrote them.
    pub configs: Vec<Bytes>,
    /// The evacuations that each peer knows of; their times are on the clock of this process.
    pub evacuations: Vec<Evacuations>,
    /// The known lease holder of the latest term.
    pub holder: Option<Holder>,
}

/// Asks some peers for a configuration newer than `version`, for the evacuations and for the lease holder.
pub async fn poll_peers(node: &Node, version: u64) -> PeerUpdates {
    let requested_at = node.now();
    let call = |address: String| async move {
        let msg = Msg::ConfigRequest(ConfigRequest { version });
        match node.peers.call(&node.id, &address, msg, PEER_TIMEOUT).await {
            Ok(Msg::ConfigReply(reply)) => Some(reply),
            Ok(_) | Err(_) => None,
        }
    };
    let replies = join_all(addresses_to_call(node).into_iter().map(call)).await;
    let mut updates = PeerUpdates::default();
    for reply in replies.into_iter().flatten() {
        if !reply.record.is_empty() {
            updates.configs.push(reply.record);
        }
        let holder = reply.holder.map(|h| Holder {
            id: h.incarnation,
            peer_address: h.peer_address,
            term: h.term,
            released: false,
            knows_queues: h.knows_queues,
        });
        updates.holder = updates.holder.into_iter().chain(holder).max_by_key(|h| h.term);
        updates.evacuations.extend(reply.evacuated.map(|e| Evacuations {
            data_centres: e.data_centres.into_iter().collect(),
            read_at: requested_at.saturating_sub(Duration::from_millis(e.age_ms)),
        }));
    }
    if !updates.configs.is_empty() {
        log::info!("event=config_from_peer version_before={version} answers={}", updates.configs.len());
    }
    updates
}

/// Has a peer release this process's lease; returns whether one has.
pub async fn release_lease_through_peer(node: &Node, term: u64) -> bool {
    write_release_through_peer(node, LeaseRecord::release_by_peer(node, term)).await
}

/// Has a peer write this record, which releases the lease; returns whether one has.
pub(super) async fn write_release_through_peer(node: &Node, rec: LeaseRecord) -> bool {
    let record = rec.keyed().value.unwrap_or_default();
    for address in addresses_to_call(node) {
        let msg = Msg::LeaseReleaseRequest(LeaseReleaseRequest { record: record.clone() });
        if node.peers.call(&node.id, &address, msg, PEER_TIMEOUT).await.is_ok() {
            return true;
        }
    }
    false
}
