//! What processes do for each other while the store turns some of them away.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::FutureExt;
use tokio::net::TcpListener;
use workswood::ops::jobs::inbox::{self, Stored};
use workswood::ops::jobs::node::Holder;
use workswood::ops::jobs::operator_state::Evacuations;
use workswood::ops::jobs::{Node, lease, peer_requests, peers, topic_reader};
use workswood_core::jobs::SchedConfig;
use workswood_peers::{HandInOutcome, Handler, InboxAppendReply, Msg};
use workswood_platform::jobs::KeyedRecord;
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::{Fate, TurnStore};

/// Time that callers wait.
const WAITS: Duration = Duration::from_millis(2800);

/// A process that serves its peers and writes its inbox to a store.
async fn process(name: &str, store: &Arc<TurnStore>) -> Arc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = settings(name);
    settings.peers = listener.local_addr().expect("an address");
    let node = Arc::new(Node::new(settings, store.clone()));
    tokio::spawn(inbox::run(node.clone()));
    tokio::spawn(workswood_peers::serve(
        listener,
        peers::TOKEN.to_string(),
        peer_requests::handler(node.clone()),
    ));
    node
}

/// Makes a process know who holds the lease.
fn tell_holder(node: &Node, holder: &Node) {
    let (id, peers) = (holder.id.clone(), holder.settings.peers.to_string());
    node.holder.store(Some(Arc::new(Holder {
        id,
        peer_address: peers,
        term: 7,
        released: false,
        knows_queues: true,
    })));
}

fn store(fates: &[Fate]) -> Arc<TurnStore> {
    Arc::new(TurnStore::new(Duration::from_millis(2), fates))
}

fn rec(key: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_string(), value: Some("job".into()) }
}

#[tokio::test]
async fn turned_away_host_serves() {
    let (away, well) = (store(&[Fate::Refused; 100]), store(&[]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &well).await);
    tell_holder(&a, &b);
    for n in 0..5 {
        assert_eq!(a.inbox_writer.store(rec(&format!("job-{n}")), WAITS).await, Stored::Yes);
    }
    assert_eq!(well.done().into_iter().flatten().count(), 5);
    assert!(away.done().is_empty());
}

#[tokio::test]
async fn hanging_store_is_gone_round() {
    let (away, well) = (store(&[Fate::Silent; 100]), store(&[]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &well).await);
    tell_holder(&a, &b);
    let begun = a.now();
    assert_eq!(a.inbox_writer.store(rec("job-1"), WAITS).await, Stored::Yes);
    assert!(a.now() - begun < Duration::from_millis(900), "no call to the store has timed out yet");
}

#[tokio::test]
async fn nobody_can_store() {
    let (away, down) = (store(&[Fate::Refused; 100]), store(&[Fate::Refused; 100]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &down).await);
    tell_holder(&a, &b);
    assert_eq!(a.inbox_writer.store(rec("job-1"), WAITS).await, Stored::No, "and it is not there");
    assert!(away.done().is_empty() && down.done().is_empty());
}

#[tokio::test]
async fn helper_asks_nobody_back() {
    let (x, y) = (store(&[Fate::Refused; 100]), store(&[Fate::Refused; 100]));
    let (a, b) = (process("entry-1", &x).await, process("entry-2", &y).await);
    tell_holder(&a, &b);
    tell_holder(&b, &a);
    assert_eq!(a.inbox_writer.store(rec("job-1"), WAITS).await, Stored::No);
}

#[tokio::test]
async fn lost_answer_of_helper_is_unknown() {
    // The helper stores it and can't tell: its own tries after that are refused.
    let fates: Vec<Fate> =
        std::iter::once(Fate::AnswerLost).chain(std::iter::repeat_n(Fate::Refused, 100)).collect();
    let (away, half) = (store(&[Fate::Refused; 100]), store(&fates));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &half).await);
    tell_holder(&a, &b);
    assert_eq!(
        a.inbox_writer.store(rec("job-1"), WAITS).await,
        Stored::Unknown,
        "a refusal would not be true"
    );
    assert_eq!(half.done().len(), 1);
}

/// A peer that gives these answers to hand-ins, one after the other.
async fn answering_peer(answers: &'static [HandInOutcome]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let next = AtomicUsize::new(0);
    let handler: Handler = Arc::new(move |_| {
        let answer = answers.get(next.fetch_add(1, Ordering::Relaxed)).copied();
        let answer = answer.unwrap_or(HandInOutcome::NotStored);
        async move { Some(Msg::InboxAppendReply(InboxAppendReply { outcomes: vec![answer as i32] })) }.boxed()
    });
    tokio::spawn(workswood_peers::serve(listener, peers::TOKEN.to_string(), handler));
    address
}

/// The first peer that was asked may have stored it; others refuse it later. The caller's time ends while
/// the store is asked, for the second time, whether it answers.
#[tokio::test]
async fn refusal_after_unknown_stays_unknown() {
    let away = store(&[Fate::Refused; 100]);
    away.hang_on_reads();
    let mut settings = settings("entry-1");
    settings.policy.outage.probe_before_append = true;
    let a = Arc::new(Node::new(settings, away.clone()));
    tokio::spawn(inbox::run(a.clone()));
    let peer_address = answering_peer(&[HandInOutcome::Unknown, HandInOutcome::NotStored]).await;
    let holder =
        Holder { id: "peer".to_string(), peer_address, term: 7, released: false, knows_queues: true };
    a.holder.store(Some(Arc::new(holder)));
    // Once the entry has not heard from the store lately, each try asks it for 1 s.
    let lately = Duration::from_millis(301).saturating_sub(a.now());
    tokio::time::sleep(lately).await;
    let told = a.inbox_writer.store(rec("job-1"), Duration::from_millis(1500)).await;
    assert_eq!(told, Stored::Unknown, "a refusal might not be true");
    assert!(away.done().is_empty());
}

#[tokio::test]
async fn lease_is_given_back_for_holder() {
    let (away, well) = (store(&[Fate::Refused; 100]), store(&[]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &well).await);
    tell_holder(&a, &b);
    assert!(peer_requests::release_lease_through_peer(&a, 7).await);
    assert_eq!(well.done(), [["holder"]]);
    let down = store(&[Fate::Refused; 100]);
    let c = process("entry-3", &down).await;
    tell_holder(&a, &c);
    assert!(!peer_requests::release_lease_through_peer(&a, 7).await, "nobody can write");
}

#[tokio::test]
async fn nobody_waits_while_store_is_away() {
    let hosts: Vec<Arc<TurnStore>> = (0..4).map(|_| store(&[Fate::Refused; 1000])).collect();
    let mut nodes = Vec::new();
    for (n, s) in hosts.iter().enumerate() {
        nodes.push(process(&format!("entry-{n}"), s).await);
    }
    for n in 0..4 {
        tell_holder(&nodes[n], &nodes[(n + 1) % 4]);
    }
    // Each asks the next one, all of them at once, again and again.
    let mut callers = tokio::task::JoinSet::new();
    for n in 0..80 {
        let node = nodes[n % 4].clone();
        callers.spawn(async move {
            let begun = node.now();
            let stored = node.inbox_writer.store(rec(&format!("job-{n}")), WAITS).await;
            (stored, node.now() - begun)
        });
    }
    let told = callers.join_all().await;
    assert!(told.iter().all(|(s, _)| *s == Stored::No), "nothing can have been stored: {told:?}");
    let slowest = told.iter().map(|(_, took)| *took).max().unwrap_or_default();
    assert!(slowest < Duration::from_millis(1500), "{slowest:?}");
}

#[tokio::test]
async fn helper_that_is_gone_leaves_nothing_open() {
    let away = store(&[Fate::Refused; 100]);
    let a = process("entry-1", &away).await;
    let gone = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peers = gone.local_addr().expect("an address").to_string();
    drop(gone);
    a.holder.store(Some(Arc::new(Holder {
        id: "gone".to_string(),
        peer_address: peers,
        term: 7,
        released: false,
        knows_queues: true,
    })));
    assert_eq!(a.inbox_writer.store(rec("job-1"), WAITS).await, Stored::No, "nothing was sent to it");
}

/// Data centres that are evacuated, as read at a time.
fn evacuated(names: &[&str], read: Duration) -> Evacuations {
    Evacuations { data_centres: names.iter().map(|n| n.to_string()).collect(), read_at: read }
}

/// Likewise with an evacuation; what a peer has read itself goes before what is older.
#[tokio::test]
async fn evacuation_of_a_peer() {
    let (away, well) = (store(&[Fate::Refused; 100]), store(&[]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &well).await);
    tell_holder(&a, &b);
    assert!(peer_requests::poll_peers(&a, 0).await.evacuations.is_empty(), "the other one has read nothing");
    b.operator_state.set_evacuations(evacuated(&["north"], b.now()));
    let told = peer_requests::poll_peers(&a, 0).await.evacuations.remove(0);
    assert_eq!(told.data_centres, evacuated(&["north"], Duration::ZERO).data_centres);
    assert!(told.read_at <= a.now(), "it is as old as the peer's reading at least");
    let read = told.read_at;
    assert!(a.operator_state.set_evacuations(told).is_some());
    assert!(a.operator_state.is_evacuated("north", a.now()));
    let older = evacuated(&[], read.saturating_sub(Duration::from_millis(1)));
    assert_eq!(a.operator_state.set_evacuations(older), None, "an older reading changes nothing");
    assert!(a.operator_state.is_evacuated("north", a.now()));
    let long_ago = a.now() + Duration::from_secs(10);
    assert!(!a.operator_state.is_evacuated("north", long_ago), "what is old keeps no start back here");
}

fn declared(version: u64) -> Arc<SchedConfig> {
    Arc::new(SchedConfig { version, ..SchedConfig::default() })
}

/// The store turns one host away: what operators change is in force there as well.
#[tokio::test]
async fn configuration_of_a_peer() {
    let (away, well) = (store(&[Fate::Refused; 100]), store(&[]));
    let (a, b) = (process("entry-1", &away).await, process("entry-2", &well).await);
    tell_holder(&a, &b);
    assert!(peer_requests::poll_peers(&a, 0).await.configs.is_empty(), "the other one has none either");
    b.configure(declared(7), "version seven".into());
    assert_eq!(peer_requests::poll_peers(&a, 6).await.configs, ["version seven"]);
    assert!(peer_requests::poll_peers(&a, 7).await.configs.is_empty(), "it is not newer");
    tell_holder(&b, &a);
    let told = peer_requests::poll_peers(&a, 7).await.holder.map(|h| (h.id, h.term));
    assert_eq!(told, Some((a.id.clone(), 7)), "who holds the lease is told, too");
}

/// A process that starts while the store answers nobody knows no peers: it learns from a seed what operators have
/// set, and who holds the lease.
#[tokio::test]
async fn start_without_store() {
    let (away, down) = (store(&[Fate::Refused; 100]), store(&[Fate::Refused; 100]));
    let b = process("entry-2", &down).await;
    b.configure(declared(7), "version seven".into());
    b.operator_state.set_evacuations(evacuated(&["north"], b.now()));
    tell_holder(&b, &b);
    let mut settings = settings("entry-1");
    settings.seeds = format!("127.0.0.1:1, {}", b.settings.peers);
    let a = Arc::new(Node::new(settings, away));
    assert_eq!(peer_requests::poll_peers(&a, 0).await.configs, ["version seven"]);
    tokio::spawn(topic_reader::follow_operators(a.clone()));
    tokio::spawn(topic_reader::poll_peers_when_stale(a.clone()));
    let known = tokio::time::timeout(Duration::from_millis(1100), a.operator_state.wait_until_known()).await;
    assert!(known.is_ok(), "it does not wait until what it knows is old");
    assert!(a.operator_state.is_evacuated("north", a.now()));
    assert_eq!(a.holder.load().as_ref().map(|h| h.id.clone()), Some(b.id.clone()));
}

/// A process that knows the operators' records from peers only lacks the waves: it does not claim the lease.
#[tokio::test(start_paused = true)]
async fn told_process_does_not_claim() {
    let store = store(&[]);
    store.keep_lease(KeyedRecord { key: "none".to_string(), value: Some("{}".into()) });
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    node.configure(declared(7), "version seven".into());
    node.operator_state.set_evacuations(evacuated(&[], node.now()));
    tokio::spawn(lease::run(node.clone()));
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(store.lease().len(), 1, "it has not read the operators' records");
    node.operator_state.note_read_success();
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert!(store.lease().len() > 1, "it claims the lease");
}
