//! Sends heartbeats to peers and answers their messages.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use workswood_core::membership::Heartbeat;
use workswood_core::route::{Loan, SlotDemand};
use workswood_peers::{
    EntryState, Handler, Heartbeat as HeartbeatMessage, InFlightRequests, KeyReply, KeyRequest,
    LeavingEndpoints, LentSlot, Link, Msg, SlotLoanUpdate, SlotReply, SlotRequest, StateReply,
};
use workswood_traffic::Traffic;

use super::node::{Node, PeerReport};
use super::{dispatch, keyed_requests};

/// Time between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of other members that one heartbeat passes on.
const MEMBERS_PER_HEARTBEAT: usize = 2;
/// Number of heartbeats between searches of the platform's list for other entries.
const HEARTBEATS_PER_LISTING: u64 = 120;
/// The same while no other entry is known.
const HEARTBEATS_PER_LISTING_ALONE: u64 = 4;

fn to_wire(beat: &Heartbeat) -> EntryState {
    EntryState {
        address: beat.address.clone(),
        incarnation: beat.id.clone(),
        data_centre: beat.data_centre.clone(),
        sequence: beat.seq,
        next_offset: beat.next_offset,
        stopping: beat.stopping,
    }
}

fn from_wire(beat: EntryState) -> Heartbeat {
    Heartbeat {
        address: beat.address,
        id: beat.incarnation,
        data_centre: beat.data_centre,
        seq: beat.sequence,
        next_offset: beat.next_offset,
        stopping: beat.stopping,
    }
}

/// Sends heartbeats until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut number = 0;
    let mut seeds: BTreeSet<String> = node.settings.seeds.iter().map(|s| s.to_string()).collect();
    loop {
        let alone = node.members.lock().present().count() <= 1;
        if number % (if alone { HEARTBEATS_PER_LISTING_ALONE } else { HEARTBEATS_PER_LISTING }) == 0
            && let Ok(listing) = node.platform.hosts().await
        {
            seeds.extend(listing.entries);
        }
        number += 1;
        send_heartbeat(&node, number, &seeds);
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

fn send_heartbeat(node: &Arc<Node>, number: u64, seeds: &BTreeSet<String>) {
    let own = own_heartbeat(node, number);
    let (others, link_addresses) = {
        let mut members = node.members.lock();
        for m in members.update_liveness(node.now()) {
            log::info!(
                "event=member id={} address={} liveness={:?}",
                m.heartbeat.id,
                m.heartbeat.address,
                m.liveness
            );
        }
        members.record_heartbeat(node.now(), own.clone(), true);
        let link_addresses = members.link_addresses(&own.address, &own.data_centre);
        (members.sample_heartbeats(number, MEMBERS_PER_HEARTBEAT), link_addresses)
    };
    let in_flight = in_flight_out_of_service(node);
    let beats = HeartbeatMessage {
        sender: Some(to_wire(&own)),
        others: others.iter().map(to_wire).collect(),
        in_flight,
    };
    for link in update_links(node, &link_addresses, seeds) {
        link.send(Msg::Heartbeat(beats.clone()));
    }
}

fn own_heartbeat(node: &Node, number: u64) -> Heartbeat {
    Heartbeat {
        address: node.peer_address(),
        id: node.id.clone(),
        data_centre: node.settings.data_centre.clone(),
        seq: number,
        next_offset: node.state.read().next_offset,
        stopping: node.is_set(&node.callers_done),
    }
}

/// Number of requests in flight to each instance whose host is out of service.
fn in_flight_out_of_service(node: &Node) -> Vec<InFlightRequests> {
    let instances: Vec<String> = {
        let state = node.state.read();
        let hosts = state.hosts.iter().filter(|(_, h)| h.out_of_service()).map(|(id, _)| id);
        hosts.flat_map(|h| state.by_host.get(h).into_iter().flatten().cloned()).collect()
    };
    dispatch::in_flight_to(node, &instances)
        .into_iter()
        .map(|(instance, requests)| InFlightRequests { instance, requests })
        .collect()
}

/// Opens links to the addresses and to seeds that are not known as members yet, closes all other links, and
/// returns the open ones.
fn update_links(node: &Arc<Node>, link_addresses: &[String], seeds: &BTreeSet<String>) -> Vec<Link> {
    let known: BTreeSet<String> = node.members.lock().iter().map(|m| m.heartbeat.address.clone()).collect();
    let own = node.peer_address();
    let unknown_seeds = seeds.iter().filter(|s| **s != own && !known.contains(*s));
    let wanted: BTreeSet<String> = link_addresses.iter().chain(unknown_seeds).cloned().collect();
    let mut links = node.links.lock();
    links.retain(|address, _| wanted.contains(address));
    for address in wanted {
        links.entry(address.clone()).or_insert_with(|| {
            Link::open(
                address,
                node.tokens.peers.clone(),
                node.id.clone(),
                node.half_open.clone(),
                Traffic::default(),
            )
        });
    }
    links.values().cloned().collect()
}

/// Returns the handler of messages from peers.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |msg| {
        let node = node.clone();
        async move { handle(&node, msg) }.boxed()
    })
}

/// Handles a message of a peer and returns the answer, if it needs one.
fn handle(node: &Arc<Node>, msg: Msg) -> Option<Msg> {
    match msg {
        Msg::Heartbeat(beats) => receive_heartbeat(node, beats),
        Msg::LogGrown(grown) => {
            if grown.offset >= node.state.read().next_offset {
                node.log_grown.notify_one();
            }
        }
        Msg::SlotRequest(request) => return Some(Msg::SlotReply(lend_slots(node, &request))),
        Msg::SlotLoanUpdate(report) => update_loans(node, &report),
        Msg::StateRequest(_) => {
            let text = if node.is_set(&node.ready) { node.state.read().text() } else { String::new() };
            return Some(Msg::StateReply(StateReply { text }));
        }
        Msg::KeyRequest(KeyRequest { key }) => {
            let status = keyed_requests::deny_or_confirm_key(node, &key);
            return Some(Msg::KeyReply(KeyReply { known: status.known, roster: status.roster }));
        }
        Msg::LeavingEndpoints(LeavingEndpoints { instances }) => {
            dispatch::mark_endpoints_leaving(node, &instances)
        }
        // Answers to calls.
        Msg::Hello(_) | Msg::SlotReply(_) | Msg::StateReply(_) | Msg::KeyReply(_) | Msg::Ack(_) => {}
        // Messages that only processes that run jobs get.
        Msg::JobStateRequest(_)
        | Msg::JobStateReply(_)
        | Msg::PendingJobsRequest(_)
        | Msg::PendingJobsReply(_) => {}
        Msg::InboxAppendRequest(_) | Msg::InboxAppendReply(_) | Msg::LeaseReleaseRequest(_) => {}
        Msg::AdviceRequest(_) | Msg::AdviceReply(_) | Msg::ConfigRequest(_) | Msg::ConfigReply(_) => {}
        Msg::StoreCallRequest(_) | Msg::StoreCallReply(_) => {}
        Msg::AdmissionRequest(_) | Msg::AdmissionReply(_) => {}
        Msg::RelayOpen(_) | Msg::RelayReady(_) | Msg::RelayOrders(_) | Msg::RelayUpdate(_) => {}
        Msg::BridgeOpen(_) | Msg::BridgedCall(_) | Msg::BridgedReply(_) => {}
        // Handled by the connection itself.
        Msg::Ping(_) | Msg::Pong(_) => {}
    }
    None
}

/// Updates the members from the heartbeat of a peer.
fn receive_heartbeat(node: &Arc<Node>, beats: HeartbeatMessage) {
    let (now, own_next) = (node.now(), node.state.read().next_offset);
    // The state must not be locked while the members are, so it was read before.
    let mut members = node.members.lock();
    if let Some(sender) = beats.sender {
        let report =
            PeerReport { in_flight: beats.in_flight.into_iter().map(|o| (o.instance, o.requests)).collect() };
        node.peer_reports.lock().insert(sender.address.clone(), report);
        let next = sender.next_offset;
        let id = sender.incarnation.clone();
        if members.record_heartbeat(now, from_wire(sender), true) {
            log::info!("event=member id={id} liveness=alive");
        }
        if next > own_next {
            node.log_grown.notify_one();
        }
    }
    for other in beats.others {
        if other.address != node.peer_address() {
            members.record_heartbeat(now, from_wire(other), false);
        }
    }
}

/// Lends idle slots of a service to a peer.
fn lend_slots(node: &Arc<Node>, request: &SlotRequest) -> SlotReply {
    let dispatcher = node.dispatchers.read().get(&request.service).cloned();
    let loans = dispatcher
        .map(|d| d.lend(node.now(), &request.borrower, SlotDemand { slots: request.slots }))
        .unwrap_or_default();
    let to_lent = |loan: &Loan| LentSlot { id: loan.id, endpoint: loan.endpoint.clone() };
    SlotReply { loans: loans.iter().map(to_lent).collect() }
}

fn update_loans(node: &Arc<Node>, report: &SlotLoanUpdate) {
    let dispatcher = node.dispatchers.read().get(&report.service).cloned();
    if let Some(dispatcher) = dispatcher {
        dispatcher.update_loans(node, report);
    }
}

/// Tells all linked peers that endpoints accept no new requests.
pub fn announce_leaving(node: &Node, instances: Vec<String>) {
    log::info!("event=endpoint_leaving instances={} reason=own_answer", instances.join(","));
    let msg = Msg::LeavingEndpoints(LeavingEndpoints { instances });
    for link in node.links.lock().values() {
        link.send(msg.clone());
    }
}
