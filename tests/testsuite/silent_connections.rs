//! Connections that go silent: nothing passes on them any more, nobody closes them,
//! and new ones work.
//!
//! What users saw: jobs that had been accepted could not be asked about, and fewer
//! were done in time. A firewall had forgotten the connections that were open. Each
//! call on one of them waited out its whole time, up to 1.9 s, and so did the next
//! one on the next idle connection; looks at workers, orders, the lease and the
//! inbox stood still meanwhile, on every host.
//!
//! The cause: nothing that a call learned about its connection was used for another.
//! Evidence: in the log, every failed call ended with `timed out` after its whole
//! time, while hosts with a new connection were answered within 5 ms.

use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use workswood::ops::jobs::job_queries::{self, Lookup};
use workswood::ops::jobs::node::{Holder, SchedulerHandle};
use workswood::ops::jobs::{Node, peer_requests, peers};
use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::{StoreStandin, WorkerStandin};
use workswood_core::jobs::{JobKey, JobStatus, JobStatusUpdate, WorkerAddress};
use workswood_liveness::HalfOpenDetector;
use workswood_peers::{Ack, Handler, JobStateRequest, Link, Msg, StateReply, StateRequest};
use workswood_platform::jobs::{Guard, JobPlatform, KeyedRecord, StoreError, Topic, WorkerClock};
use workswood_test_support::cut::{Cut, Fault};
use workswood_test_support::job_node::settings;
use workswood_test_support::turn_store::TurnStore;
use workswood_traffic::Traffic;

/// Far more than anything here takes, far less than what a call may wait that is
/// stuck.
const SOON: Duration = Duration::from_secs(10);
/// What a call may wait that is stuck.
const LONG: Duration = Duration::from_secs(60);

fn rec(key: &str) -> KeyedRecord {
    KeyedRecord { key: key.to_string(), value: Some("v".into()) }
}

fn client(store: &str) -> PlatformClient {
    PlatformClient::new(Addresses { store: store.to_string(), machines: store.to_string(), adviser: None })
}

/// Leaves several idle connections to the store behind.
async fn warm_up(c: &PlatformClient) {
    let reads = (0..3).map(|_| c.latest(Topic::Operators));
    futures::future::try_join_all(reads).await.expect("the store answers");
}

#[tokio::test]
async fn store_call_answered() {
    let store = StoreStandin::start().await;
    let cut = Cut::start(&store.address.to_string()).await;
    let c = client(&cut.address);
    warm_up(&c).await;
    cut.set(Fault::HalfOpen);
    c.append(Topic::State, vec![rec("a")], Guard::Term(3, 1)).await.expect("a state append is answered");
    cut.set(Fault::HalfOpen);
    c.append(Topic::Inbox(0), vec![rec("b")], Guard::None).await.expect("an inbox append is answered");
    cut.set(Fault::HalfOpen);
    let tail = c.tail(Topic::State, 0, Duration::ZERO).await.expect("a read is answered");
    assert_eq!(tail.records.len(), 1, "an append that was sent twice is done once");

    // A read that waits for a record hears of it once another call has found out, on
    // a connection that was open when the read's went silent.
    warm_up(&c).await;
    let waiting = c.tail(Topic::State, tail.next, LONG);
    let found_out = async {
        store.calls_reach(store.calls() + 1).await;
        cut.set(Fault::HalfOpen);
        c.append(Topic::State, vec![rec("c")], Guard::Term(3, 2)).await
    };
    let both = timeout(SOON, async { tokio::join!(waiting, found_out) }).await;
    let (waiting, found_out) = both.expect("the read does not wait out its time");
    found_out.expect("the append is answered");
    assert_eq!(waiting.expect("the read is answered").records.len(), 1);
}

#[tokio::test]
async fn refusal_of_copy_proves_nothing() {
    let store = StoreStandin::start().await;
    let cut = Cut::start(&store.address.to_string()).await;
    let c = client(&cut.address);
    warm_up(&c).await;
    store.faults(|f| f.down = true);
    cut.set(Fault::HalfOpen);
    let refused = c.append(Topic::Inbox(0), vec![rec("a")], Guard::None).await;
    assert!(
        matches!(refused, Err(StoreError::Unknown { .. })),
        "the first copy may be done yet: {refused:?}"
    );
    let refused = c.append(Topic::Inbox(0), vec![rec("a")], Guard::None).await;
    assert!(matches!(refused, Err(StoreError::NotDone { .. })), "this one was sent once: {refused:?}");
}

#[tokio::test]
async fn busy_peer_is_waited_for() {
    let store = StoreStandin::start().await;
    let c = client(&store.address.to_string());
    warm_up(&c).await;
    let calls = store.calls();
    // The first request is answered late, and whatever comes after it is turned away.
    store.faults(|f| f.slow = Duration::from_millis(400));
    let read = c.latest(Topic::Operators);
    let turn_away = async {
        store.calls_reach(calls + 1).await;
        store.faults(|f| (f.slow, f.down) = (Duration::ZERO, true));
    };
    let (read, ()) = tokio::join!(read, turn_away);
    assert!(read.is_ok(), "a copy that was turned away says nothing of the first: {read:?}");
}

#[tokio::test]
async fn long_answer_is_coming() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let cut = Cut::start(&listener.local_addr().expect("an address").to_string()).await;
    let text = "x".repeat(200_000);
    let handler: Handler = Arc::new(move |_| {
        let reply = Msg::StateReply(StateReply { text: text.clone() });
        async { Some(reply) }.boxed()
    });
    tokio::spawn(workswood_peers::serve(listener, String::new(), handler));
    let link = Link::open(
        cut.address.clone(),
        String::new(),
        "entry-1".to_string(),
        HalfOpenDetector::default(),
        Traffic::default(),
    );
    // A dozen pieces, of which none is late by itself.
    cut.set(Fault::Slow(Duration::from_millis(60)));
    let answer = link.try_call(Msg::StateRequest(StateRequest {}), SOON).await;
    assert!(matches!(answer, Ok(Msg::StateReply(_))), "bytes come all the time");
}

async fn look(c: &PlatformClient, w: &WorkerAddress, wait: Duration) -> WorkerClock {
    let lease_end = (wait > Duration::ZERO).then_some(LONG);
    c.poll_worker(w, 7, 0, lease_end, wait).await.expect("the worker answers").made_at
}

#[tokio::test]
async fn waiting_look_repeated() {
    let c = client("127.0.0.1:1");
    let (mut workers, mut cuts, mut infos) = (Vec::new(), Vec::new(), Vec::new());
    for n in 0..3 {
        let id = format!("i-{n}");
        let w = WorkerStandin::start(&id, LONG).await;
        let cut = Cut::start(&w.address.to_string()).await;
        let value = Some(w.entry("desk", "m-1").into());
        let info = c.parse_worker_info(&KeyedRecord { key: id, value }).expect("the entry is read");
        let mut info = info.worker_address();
        info.address = cut.address.clone();
        look(&c, &info, Duration::ZERO).await;
        workers.push(w);
        cuts.push(cut);
        infos.push(info);
    }
    // A look at the third waits for an end that does not come.
    let waiting = look(&c, &infos[2], LONG);
    let found_out = async {
        workers[2].polls_reach(2).await;
        cuts.iter().for_each(|cut| cut.set(Fault::HalfOpen));
        // Each is answered over a new connection, and tells that the one before was at
        // fault.
        tokio::join!(look(&c, &infos[0], Duration::ZERO), look(&c, &infos[1], Duration::ZERO));
    };
    let both = timeout(SOON, async { tokio::join!(waiting, found_out) }).await;
    both.expect("two workers with silent connections make the third one's suspect");
}

/// A process that serves its peers behind a relay.
async fn holder(store: &Arc<TurnStore>) -> (Arc<Node>, Cut) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let cut = Cut::start(&listener.local_addr().expect("an address").to_string()).await;
    let node = Arc::new(Node::new(settings("entry-2"), store.clone()));
    tokio::spawn(workswood_peers::serve(
        listener,
        peers::TOKEN.to_string(),
        peer_requests::handler(node.clone()),
    ));
    (node, cut)
}

#[tokio::test]
async fn peer_asked_again() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    let (_holder, cut) = holder(&store).await;
    let node = Node::new(settings("entry-1"), store);
    let ask = || {
        node.peers.call(
            &node.id,
            &cut.address,
            Msg::JobStateRequest(JobStateRequest { job: 1, ..JobStateRequest::default() }),
            LONG,
        )
    };
    assert!(ask().await.is_ok());
    cut.set(Fault::HalfOpen);
    let lost = timeout(SOON, ask()).await.expect("the connection is given up before the call's time is over");
    assert!(lost.is_err(), "whether the question arrived is not known");
    assert!(timeout(SOON, ask()).await.is_ok_and(|r| r.is_ok()), "the next one goes over a new connection");
}

#[tokio::test]
async fn caller_told_of_job() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(2), &[]));
    let (holder, cut) = holder(&store).await;
    let (tx, _events) = mpsc::unbounded_channel();
    let (end, _ended) = watch::channel(false);
    let l = SchedulerHandle::new(7, holder.now(), LONG, tx, end);
    let shown = JobStatusUpdate {
        key: JobKey::of_number(1),
        queue: "q".into(),
        service: String::new(),
        state: Some(JobStatus::Running),
        repeats: false,
    };
    l.job_statuses.write().update(shown);
    holder.scheduler.store(Some(Arc::new(l)));
    let node = Arc::new(Node::new(settings("entry-1"), store));
    let seen = Holder {
        id: holder.id.clone(),
        peer_address: cut.address.clone(),
        term: 7,
        released: false,
        knows_queues: true,
    };
    node.holder.store(Some(Arc::new(seen)));
    for _ in 0..3 {
        assert_eq!(
            job_queries::job_status(&node, JobKey::of_number(1)).await,
            Lookup::Found(JobStatus::Running),
            "each question is answered"
        );
        cut.set(Fault::HalfOpen);
    }
}

#[tokio::test]
async fn messages_arrive_again() {
    let (tx, mut heard) = mpsc::unbounded_channel();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let cut = Cut::start(&listener.local_addr().expect("an address").to_string()).await;
    let handler: Handler = Arc::new(move |msg| {
        let _ = tx.send(msg);
        async { None }.boxed()
    });
    tokio::spawn(workswood_peers::serve(listener, String::new(), handler));
    let link = Link::open(
        cut.address.clone(),
        String::new(),
        "entry-1".to_string(),
        HalfOpenDetector::default(),
        Traffic::default(),
    );
    let beat = || link.send(Msg::Ack(Ack {}));
    beat();
    assert!(timeout(SOON, heard.recv()).await.is_ok_and(|m| m.is_some()));
    cut.set(Fault::HalfOpen);
    let again = async {
        let mut beats = tokio::time::interval(Duration::from_millis(50));
        loop {
            tokio::select! {
                _ = beats.tick() => beat(),
                _ = heard.recv() => return,
            }
        }
    };
    timeout(SOON, again).await.expect("messages that have no answer arrive over a new connection");
}
