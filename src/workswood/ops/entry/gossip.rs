//! Beats to peers, and answers to theirs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use workswood_core::member::Beat;
use workswood_core::route::{Loan, Want};
use workswood_peers::{
    DrainingEndpoints, EntryState, Handler, Heartbeat, KeyReply, KeyRequest, LentSlot, Link, Msg,
    OpenRequests, SlotLoanUpdate, SlotReply, SlotRequest, StateReply,
};
use workswood_traffic::Traffic;

use super::node::{Node, PeerView};
use super::{keys, lanes};

/// Time between beats.
const BEAT: Duration = Duration::from_millis(500);
/// Others told of in one beat.
const SAMPLE: usize = 2;
/// Beats after which the platform's list is read for other entry hosts; while
/// none is known it is read more often.
const LIST_EVERY: u64 = 120;
const LIST_ALONE: u64 = 4;

fn to_wire(b: &Beat) -> EntryState {
    EntryState {
        address: b.address.clone(),
        incarnation: b.id.clone(),
        data_centre: b.data_centre.clone(),
        sequence: b.number,
        next_offset: b.next,
        stopping: b.stopping,
    }
}

fn from_wire(b: EntryState) -> Beat {
    Beat {
        address: b.address,
        id: b.incarnation,
        data_centre: b.data_centre,
        number: b.sequence,
        next: b.next_offset,
        stopping: b.stopping,
    }
}

/// Beats until the process ends.
pub async fn run(node: Arc<Node>) {
    let mut number = 0;
    let mut seeds: BTreeSet<String> = node.settings.seeds.iter().map(|s| s.to_string()).collect();
    loop {
        let alone = node.members.lock().present().count() <= 1;
        if number % (if alone { LIST_ALONE } else { LIST_EVERY }) == 0
            && let Ok(seen) = node.platform.hosts().await
        {
            seeds.extend(seen.entries);
        }
        number += 1;
        beat(&node, number, &seeds);
        tokio::time::sleep(BEAT).await;
    }
}

fn beat(node: &Arc<Node>, number: u64, seeds: &BTreeSet<String>) {
    let own = own_beat(node, number);
    let (others, contacts) = {
        let mut members = node.members.lock();
        for m in members.tick(node.now()) {
            log::info!("event=member id={} address={} liveness={:?}", m.beat.id, m.beat.address, m.liveness);
        }
        members.heard(node.now(), own.clone(), true);
        let contacts = members.contacts(&own.address, &own.data_centre);
        (members.sample(number, SAMPLE), contacts)
    };
    let open = open_requests(node);
    let beats = Heartbeat {
        sender: Some(to_wire(&own)),
        others: others.iter().map(to_wire).collect(),
        open_requests: open,
    };
    for link in links(node, &contacts, seeds) {
        link.send(Msg::Heartbeat(beats.clone()));
    }
}

fn own_beat(node: &Node, number: u64) -> Beat {
    Beat {
        address: node.address(),
        id: node.id.clone(),
        data_centre: node.settings.data_centre.clone(),
        number,
        next: node.state.read().next,
        stopping: node.is(&node.stopping),
    }
}

/// Requests open on instances whose hosts are draining.
fn open_requests(node: &Node) -> Vec<OpenRequests> {
    let draining: Vec<String> = {
        let state = node.state.read();
        let hosts = state.hosts.iter().filter(|(_, h)| h.away()).map(|(id, _)| id);
        hosts.flat_map(|h| state.by_host.get(h).into_iter().flatten().cloned()).collect()
    };
    lanes::open_on(node, &draining)
        .into_iter()
        .map(|(instance, requests)| OpenRequests { instance, requests })
        .collect()
}

/// Links to contacts and to seeds that nobody has answered for yet.
fn links(node: &Arc<Node>, contacts: &[String], seeds: &BTreeSet<String>) -> Vec<Link> {
    let known: BTreeSet<String> = node.members.lock().iter().map(|m| m.beat.address.clone()).collect();
    let own = node.address();
    let unknown = seeds.iter().filter(|s| **s != own && !known.contains(*s));
    let want: BTreeSet<String> = contacts.iter().chain(unknown).cloned().collect();
    let mut links = node.links.lock();
    links.retain(|address, _| want.contains(address));
    for address in want {
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

/// Answers peers.
pub fn handler(node: Arc<Node>) -> Handler {
    Arc::new(move |msg| {
        let node = node.clone();
        async move { answer(&node, msg) }.boxed()
    })
}

fn answer(node: &Arc<Node>, msg: Msg) -> Option<Msg> {
    match msg {
        Msg::Heartbeat(b) => hear(node, b),
        Msg::LogHead(h) => {
            if h.offset >= node.state.read().next {
                node.grown.notify_one();
            }
        }
        Msg::SlotRequest(ask) => return Some(Msg::SlotReply(lend(node, &ask))),
        Msg::SlotLoanUpdate(s) => loans_told(node, &s),
        Msg::StateRequest(_) => {
            let text = if node.is(&node.ready) { node.state.read().text() } else { String::new() };
            return Some(Msg::StateReply(StateReply { text }));
        }
        Msg::KeyRequest(KeyRequest { key }) => {
            let r = keys::reply(node, &key);
            return Some(Msg::KeyReply(KeyReply { known: r.known, roster: r.roster }));
        }
        Msg::DrainingEndpoints(DrainingEndpoints { instances }) => lanes::close(node, &instances),
        // Answers, and questions that only processes that run jobs are asked.
        Msg::Hello(_) | Msg::SlotReply(_) | Msg::StateReply(_) | Msg::KeyReply(_) | Msg::Ack(_) => {}
        Msg::JobStateRequest(_)
        | Msg::JobStateReply(_)
        | Msg::PendingJobsRequest(_)
        | Msg::PendingJobsReply(_) => {}
        Msg::InboxAppendRequest(_) | Msg::InboxAppendReply(_) | Msg::LeaseReleaseRequest(_) => {}
        // Answered where the connection is served.
        Msg::Ping(_) | Msg::Pong(_) => {}
        Msg::AdviceRequest(_) | Msg::AdviceReply(_) | Msg::ConfigRequest(_) | Msg::ConfigReply(_) => {}
        Msg::RelayOpen(_) | Msg::RelayReady(_) | Msg::RelayOrders(_) | Msg::RelayUpdate(_) => {}
    }
    None
}

fn hear(node: &Arc<Node>, b: Heartbeat) {
    let (now, here) = (node.now(), node.state.read().next);
    // The state is never locked while the members are.
    let mut members = node.members.lock();
    if let Some(own) = b.sender {
        let view = PeerView { open: b.open_requests.into_iter().map(|o| (o.instance, o.requests)).collect() };
        node.peer_views.lock().insert(own.address.clone(), view);
        let next = own.next_offset;
        let id = own.incarnation.clone();
        if members.heard(now, from_wire(own), true) {
            log::info!("event=member id={id} liveness=alive");
        }
        if next > here {
            node.grown.notify_one();
        }
    }
    for other in b.others {
        if other.address != node.address() {
            members.heard(now, from_wire(other), false);
        }
    }
}

fn lend(node: &Arc<Node>, ask: &SlotRequest) -> SlotReply {
    let lane = node.lanes.read().get(&ask.service).cloned();
    let loans =
        lane.map(|l| l.lend(node.now(), &ask.borrower, Want { slots: ask.slots })).unwrap_or_default();
    let wire = |l: &Loan| LentSlot { id: l.id, endpoint: l.endpoint.clone() };
    SlotReply { loans: loans.iter().map(wire).collect() }
}

fn loans_told(node: &Arc<Node>, s: &SlotLoanUpdate) {
    let lane = node.lanes.read().get(&s.service).cloned();
    if let Some(lane) = lane {
        lane.loans_told(node, s);
    }
}

/// Tells all peers that endpoints take no new work.
pub fn tell_leaving(node: &Node, instances: Vec<String>) {
    log::info!("event=endpoint_leaving instances={} reason=own_answer", instances.join(","));
    let msg = Msg::DrainingEndpoints(DrainingEndpoints { instances });
    for link in node.links.lock().values() {
        link.send(msg.clone());
    }
}
