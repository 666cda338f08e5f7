//! A lease holder that the store turns away while it serves others: peers call the store for it.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use workswood::ops::jobs::helped_store::HelpedStore;
use workswood::ops::jobs::lease_renewal;
use workswood::ops::jobs::node::SchedulerHandle;
use workswood::ops::jobs::{Node, peer_requests, peers};
use workswood_core::jobs::lease_claim::PeerEntry;
use workswood_core::jobs::lease_handover::{HandoverPolicy, rank_helpers};
use workswood_peers::{GuardedAppend, Msg, StoreCallRequest, StoreOperation, StoreOutcome, StoreTopic};
use workswood_platform::jobs::{Guard, KeyedRecord, StoreError, Topic};
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::{Fate, TurnStore};

const TERM: u64 = 7;

fn store(fates: &[Fate]) -> Arc<TurnStore> {
    Arc::new(TurnStore::new(Duration::from_millis(2), fates))
}

fn refusing() -> Arc<TurnStore> {
    store(&[Fate::Refused; 1000])
}

/// A process that serves its peers and has them call the store for it.
async fn process(name: &str, direct: &Arc<TurnStore>, through_peers: bool) -> Arc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = settings(name);
    settings.peers = listener.local_addr().expect("an address");
    settings.policy.handover = HandoverPolicy { through_peers, ..HandoverPolicy::default() };
    let helped = Arc::new(HelpedStore::new(direct.clone(), &settings.policy.handover));
    let node = Arc::new(Node::new(settings, helped.clone()));
    helped.attach(&node);
    let handler = peer_requests::handler(node.clone());
    tokio::spawn(workswood_peers::serve(listener, peers::TOKEN.to_string(), handler));
    node
}

/// Makes a process hold the lease; the stop signal of its scheduler.
fn lead(node: &Node) -> watch::Receiver<bool> {
    let (stop, stopped) = watch::channel(false);
    let tx = mpsc::unbounded_channel().0;
    let handle = SchedulerHandle::new(TERM, node.now(), lease_renewal::EXTENSION_GRACE, tx, stop);
    node.scheduler.store(Some(Arc::new(handle)));
    stopped
}

/// A holder and, as its peers, processes with these stores.
async fn holder_with_peers(
    direct: &Arc<TurnStore>,
    peers: &[&Arc<TurnStore>],
) -> (Arc<Node>, Vec<Arc<Node>>) {
    let holder = process("entry-0", direct, true).await;
    lead(&holder);
    let mut nodes = Vec::new();
    for (n, store) in peers.iter().enumerate() {
        let name = format!("entry-{}", n + 1);
        let node = process(&name, store, true).await;
        holder.peers.add_peer(&name, &node.settings.peers.to_string(), 1000 - n as u32);
        nodes.push(node);
    }
    (holder, nodes)
}

fn rec(key: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_string(), value: Some("state".into()) }
}

async fn write(node: &Node, number: u64) -> Result<u64, StoreError> {
    let records = vec![rec(&format!("job-{number}"))];
    node.platform.append(Topic::State, records, Guard::Term(TERM, number)).await
}

#[tokio::test]
async fn refused_holder_writes_on() {
    let (away, well) = (refusing(), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let began = holder.now();
    for number in 1..=5 {
        write(&holder, number).await.expect("a peer writes it");
    }
    assert_eq!(well.done(), [["job-1"], ["job-2"], ["job-3"], ["job-4"], ["job-5"]], "once each, in order");
    assert!(holder.now() - began < Duration::from_millis(500), "{:?}", holder.now() - began);
}

#[tokio::test]
async fn silence_is_gone_round() {
    let (away, well) = (store(&[Fate::Silent; 1000]), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let began = holder.now();
    write(&holder, 1).await.expect("a peer writes it");
    assert!(holder.now() - began < Duration::from_millis(700), "no call from here has timed out yet");
    let silent = holder.now();
    write(&holder, 2).await.expect("a peer writes it");
    assert!(holder.now() - silent < Duration::from_millis(200), "the silence is known");
}

#[tokio::test]
async fn renewals_go_through_peers() {
    let (away, well) = (refusing(), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let handle = holder.scheduler.load_full().expect("it leads");
    let mut renewals = handle.renewals.subscribe();
    let renewal = tokio::spawn(lease_renewal::run(holder.clone(), handle));
    let renewed = tokio::time::timeout(Duration::from_secs(3), renewals.wait_for(|n| *n == 2)).await;
    renewal.abort();
    assert!(renewed.is_ok(), "it was not renewed");
    assert_eq!(well.done(), [["holder"], ["holder"]], "renewals, and no release");
}

#[tokio::test]
async fn later_term_is_told() {
    let (away, later) = (refusing(), store(&[Fate::Overtaken]));
    let (holder, _peers) = holder_with_peers(&away, &[&later]).await;
    assert!(matches!(write(&holder, 1).await, Err(StoreError::GuardFailed)));
}

#[tokio::test]
async fn lost_answer_of_helper_leaves_it_open() {
    let (away, half) = (refusing(), store(&[Fate::AnswerLost, Fate::Refused, Fate::Refused]));
    let (holder, _peers) = holder_with_peers(&away, &[&half]).await;
    assert!(
        matches!(write(&holder, 1).await, Err(StoreError::Unknown { .. })),
        "a refusal would not be true"
    );
}

#[tokio::test]
async fn next_peer_follows_one_that_is_refused() {
    let (away, down, well) = (refusing(), refusing(), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&down, &well]).await;
    write(&holder, 1).await.expect("the second one writes it");
    assert_eq!(well.done().len(), 1);
}

#[tokio::test]
async fn holders_do_not_help_each_other() {
    let (away, down) = (refusing(), store(&[]));
    let (holder, peers) = holder_with_peers(&away, &[&down]).await;
    lead(&peers[0]);
    assert!(matches!(write(&holder, 1).await, Err(StoreError::NotDone { .. })));
    assert!(down.done().is_empty());
}

#[tokio::test]
async fn only_holders_are_helped() {
    let (away, well) = (refusing(), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    holder.scheduler.store(None);
    assert!(write(&holder, 1).await.is_err());
    assert!(well.done().is_empty());
}

#[tokio::test]
async fn switched_off() {
    let (away, well) = (refusing(), store(&[]));
    let node = process("entry-0", &away, false).await;
    let peer = process("entry-1", &well, false).await;
    node.peers.add_peer("entry-1", &peer.settings.peers.to_string(), 1000);
    lead(&node);
    assert!(write(&node, 1).await.is_err());
    assert!(well.done().is_empty());
}

#[tokio::test]
async fn inbox_is_read_through_peer() {
    let (away, well) = (refusing(), store(&[]));
    well.keep(Topic::Inbox(3), vec![rec("a"), rec("b")]);
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let tail = holder.platform.tail(Topic::Inbox(3), 1, Duration::from_secs(1)).await.expect("a peer reads");
    assert_eq!((tail.records, tail.next), (vec![rec("b")], 2));
}

#[tokio::test]
async fn store_that_is_back_is_called_from_here() {
    let (away, well) = (store(&[Fate::Refused]), store(&[]));
    away.keep_lease(rec("holder"));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    write(&holder, 1).await.expect("a peer writes it");
    write(&holder, 2).await.expect("a peer writes it");
    assert!(away.done().is_empty(), "the helper is known");
    holder.platform.tail(Topic::Lease, 0, Duration::ZERO).await.expect("the lease is read from here");
    write(&holder, 3).await.expect("it is written from here");
    assert_eq!((away.done(), well.done().len()), (vec![vec!["job-3".to_string()]], 2));
}

#[test]
fn strongest_helpers_first() {
    let entry = |name, data_centre, capacity| PeerEntry { name, data_centre, capacity };
    let entries = [
        entry("a", "south", 500),
        entry("b", "north", 500),
        entry("c", "south", 900),
        entry("own", "north", 1),
    ];
    assert_eq!(rank_helpers("own", entries.into_iter()), ["c", "b", "a"]);
}

#[tokio::test]
async fn inbox_is_trimmed_through_peer() {
    let (away, well) = (refusing(), store(&[]));
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let deletion = KeyedRecord { key: "job-1".to_string(), value: None };
    let append = |rec| holder.platform.append(Topic::Inbox(3), vec![rec], Guard::None);
    append(deletion).await.expect("a peer deletes it");
    assert_eq!(well.done(), [["job-1"]]);
    assert!(append(rec("job-2")).await.is_err(), "what is handed in has a way of its own");
    assert_eq!(well.done().len(), 1);
}

/// The store refuses all. Calls that fail at the same time don't all look for a helper.
#[tokio::test]
async fn peers_are_not_flooded() {
    let (away, down) = (refusing(), refusing());
    let (holder, peers) = holder_with_peers(&away, &[&down]).await;
    let reads = (0..12).map(|n| holder.platform.tail(Topic::Inbox(n), 0, Duration::ZERO));
    let told = futures::future::join_all(reads).await;
    assert!(told.iter().all(|t| matches!(t, Err(StoreError::NotDone { .. }))));
    assert!(write(&holder, 1).await.is_err());
    assert!(
        peers[0].metrics.refused_store_calls.get() <= 2,
        "{}",
        peers[0].metrics.refused_store_calls.get()
    );
}

/// A read that waits for records does not hold up a write that looks for a helper at the same time.
#[tokio::test]
async fn search_does_not_wait_for_records() {
    let (away, well) = (refusing(), store(&[]));
    well.keep(Topic::Inbox(0), Vec::new());
    let (holder, _peers) = holder_with_peers(&away, &[&well]).await;
    let reading = holder.clone();
    let read = tokio::spawn(async move {
        reading.platform.tail(Topic::Inbox(0), 0, Duration::from_secs(1)).await.map(|tail| tail.next)
    });
    tokio::task::yield_now().await;
    let began = holder.now();
    write(&holder, 1).await.expect("a peer writes it");
    assert!(holder.now() - began < Duration::from_millis(300), "{:?}", holder.now() - began);
    read.abort();
}

/// A store that is slow for all is not taken to refuse the holder: reads that wait there go on.
#[tokio::test]
async fn slowness_is_no_refusal() {
    let slow = Arc::new(TurnStore::new(Duration::from_millis(300), &[]));
    slow.keep(Topic::Inbox(3), Vec::new());
    let down = refusing();
    let (holder, peers) = holder_with_peers(&slow, &[&down]).await;
    let (began, wait) = (holder.now(), Duration::from_millis(600));
    let read = async {
        holder.platform.tail(Topic::Inbox(3), 0, wait).await.expect("it is read from here");
        holder.now() - began
    };
    let (written, read_for) = tokio::join!(write(&holder, 1), read);
    written.expect("it is written from here");
    assert_eq!(peers[0].metrics.refused_store_calls.get(), 1, "it was late");
    assert!(read_for >= wait, "{read_for:?}");
}

/// Appends to a store that has become slow are not late for good.
#[tokio::test]
async fn slowness_is_learnt() {
    let (slow, down) = (Arc::new(TurnStore::new(Duration::from_millis(300), &[])), refusing());
    let (holder, peers) = holder_with_peers(&slow, &[&down]).await;
    for number in 1..=8 {
        write(&holder, number).await.expect("it is written from here");
    }
    let late = peers[0].metrics.refused_store_calls.get();
    assert!((1..=4).contains(&late), "{late} of 8 appends were late");
}

/// A peer writes only what a holder may write.
#[tokio::test]
async fn other_topics_are_not_written() {
    let well = store(&[]);
    let peer = process("entry-1", &well, true).await;
    let append = GuardedAppend { records: Vec::new(), term: TERM, number: 1 };
    let request = StoreCallRequest {
        topic: StoreTopic::Operators as i32,
        partition: 0,
        operation: Some(StoreOperation::Append(append)),
    };
    let reply = peer_requests::handler(peer)(Msg::StoreCallRequest(request)).await;
    let Some(Msg::StoreCallReply(reply)) = reply else { panic!("{reply:?}") };
    assert_eq!(reply.outcome(), StoreOutcome::NotDone);
    assert!(well.done().is_empty());
}
