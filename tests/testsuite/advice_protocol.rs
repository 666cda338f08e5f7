//! The adapter against a stand-in of the adviser, and calls by other entries.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use workswood::ops::jobs::advice::{self, AdviceCall};
use workswood::ops::jobs::node::SchedulerHandle;
use workswood::ops::jobs::{Node, peer_requests, peers};
use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::caller::advised_config;
use workswood_adapter_standin::{AdviserStandin, WorkerStandin};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Advice, AdviceConfig, AdviceReply, Event, JobKey, StepId, TaskId, WorkerAddress};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, OperatorRecord, StartOrder, WorkerError};
use workswood_test_support::job_node::settings;

const STEP: StepId = StepId { job: JobKey::of_number(0x5c0e_7a21_d94b_36f8), round: 0, step: 1 };
const NOWHERE: &str = "127.0.0.1:1";
const LONG: Duration = Duration::from_secs(5);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn client(adviser: Option<String>) -> PlatformClient {
    PlatformClient::new(Addresses { store: NOWHERE.to_string(), machines: NOWHERE.to_string(), adviser })
}

fn ids(names: &[&str]) -> Vec<WorkerId> {
    names.iter().map(|n| (*n).into()).collect()
}

async fn adviser() -> (AdviserStandin, PlatformClient) {
    let a = AdviserStandin::start(ms(5), ms(1), ms(700)).await;
    let c = client(Some(a.address.to_string()));
    (a, c)
}

fn answered(reply: AdviceReply) -> Advice {
    match reply {
        AdviceReply::Answered(answer) => answer,
        other => panic!("no answer but {other:?}"),
    }
}

#[test]
fn queue_tells_of_its_advice() {
    let read = |text: String| {
        let rec = KeyedRecord { key: "config".to_string(), value: Some(text.into()) };
        match client(None).parse_operator_record(&rec) {
            Ok(Some(OperatorRecord::Config(c))) => c.queues["q"].advice,
            other => panic!("no configuration but {other:?}"),
        }
    };
    let want = AdviceConfig { base_call_time: ms(300), time_per_worker: ms(2), ticket_lifetime: ms(3000) };
    assert_eq!(read(advised_config("desk", 1, 300, 2, 3000)), Some(want));
    assert_eq!(read(workswood_adapter_standin::caller::config("desk", 1)), None);
    // Numbers may have fractions, and a field may be missing.
    let odd = advised_config("desk", 1, 300, 2, 3000).replace("\"each_ms\":2", "\"each_ms\":0.25");
    assert_eq!(read(odd).map(|a| a.time_per_worker), Some(Duration::from_micros(250)));
}

#[tokio::test]
async fn good_ones_with_tickets() {
    let (a, c) = adviser().await;
    a.refuse("i-2");
    let answer = answered(c.advise(STEP, &ids(&["i-1", "i-2", "i-3"]), LONG).await);
    let good: Vec<&str> = answer.tickets.iter().map(|(id, _)| &**id).collect();
    assert_eq!((good, answer.valid_for), (vec!["i-1", "i-3"], Some(ms(700))));
    let asked = ("5c0e7a21d94b36f8.0.1".to_string(), ["i-1", "i-2", "i-3"].map(String::from).to_vec());
    assert_eq!(a.calls(), [asked]);
}

#[tokio::test]
async fn failures_told_apart() {
    let (a, c) = adviser().await;
    let one = ids(&["i-1"]);
    a.faults(|f| f.busy = 1);
    assert_eq!(c.advise(STEP, &one, LONG).await, AdviceReply::Busy);
    a.faults(|f| f.silent = 1);
    assert_eq!(c.advise(STEP, &one, ms(60)).await, AdviceReply::NoAnswer);
    a.faults(|f| f.late = ms(400));
    assert_eq!(c.advise(STEP, &one, ms(60)).await, AdviceReply::NoAnswer);
    assert_eq!(answered(c.advise(STEP, &one, LONG).await).tickets.len(), 1, "late, but waited for");
    for none in [None, Some(NOWHERE.to_string())] {
        assert_eq!(client(none).advise(STEP, &one, LONG).await, AdviceReply::NotSent);
    }
    let w = WorkerStandin::start("i-1", LONG).await;
    let other = client(Some(w.address.to_string())).advise(STEP, &one, LONG).await;
    assert_eq!(other, AdviceReply::Refused, "somebody else answers at its address");
}

#[tokio::test]
async fn workers_need_tickets() {
    let (a, c) = adviser().await;
    let w = WorkerStandin::start("i-1", LONG).await;
    w.require_tickets(&a.tickets);
    let value = Some(w.entry("desk", "m-1").into());
    let info = c
        .parse_worker_info(&KeyedRecord { key: "i-1".to_string(), value })
        .expect("the entry is read")
        .worker_address();
    let clock = c.poll_worker(&info, 7, 0, None, Duration::ZERO).await.expect("it is looked at").made_at;
    let start = async |info: &WorkerAddress, attempt: u32, index: u32, ticket: Option<Arc<str>>| {
        let task = TaskId { job: STEP.job, round: 0, step: 1, index };
        let order = StartOrder {
            task,
            attempt,
            spec: "text".into(),
            checkpoint: String::new(),
            ticket,
            lease_end: clock + LONG,
            timeout: LONG,
        };
        c.start_task(info, 7, order).await
    };
    assert_eq!(start(&info, 1, 0, None).await, Err(WorkerError::Ticket));
    assert_eq!(start(&info, 1, 0, Some("t-0".into())).await, Err(WorkerError::Ticket));
    let answer = answered(c.advise(STEP, &ids(&["i-1"]), LONG).await);
    let ticket = Some(answer.tickets[0].1.clone());
    assert_eq!(start(&info, 1, 0, ticket.clone()).await, Ok(()));
    assert_eq!(start(&info, 1, 1, ticket).await, Ok(()), "it holds for all tasks of the step");
    assert_eq!(w.without_ticket(), 2);
}

/// A process that serves its peers.
async fn process(name: &str, platform: PlatformClient) -> Arc<Node> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = settings(name);
    settings.peers = listener.local_addr().expect("an address");
    let node = Arc::new(Node::new(settings, Arc::new(platform)));
    tokio::spawn(workswood_peers::serve(
        listener,
        peers::TOKEN.to_string(),
        peer_requests::handler(node.clone()),
    ));
    node
}

/// What becomes of a call by a lane of a process.
async fn call(node: &Arc<Node>, lane: usize) -> AdviceReply {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let l = Arc::new(SchedulerHandle::new(7, node.now(), LONG, tx, watch::channel(false).0));
    let call = AdviceCall { channel: lane, step: STEP, workers: ids(&["i-1", "i-2"]), timeout: ms(300) };
    advice::call_adviser(node.clone(), l, call).await;
    match rx.recv().await {
        Some(Event::AdviceReceived(a)) => {
            assert_eq!((a.channel, a.step, a.workers.len()), (lane, STEP, 2));
            a.reply
        }
        other => panic!("no outcome but {other:?}"),
    }
}

#[tokio::test]
async fn other_entries_call_too() {
    let (a, c) = adviser().await;
    // The holder itself does not reach the adviser.
    let holder = process("entry-1", client(Some(NOWHERE.to_string()))).await;
    let helper = process("entry-2", c).await;
    assert_eq!(call(&holder, 0).await, AdviceReply::NotSent);
    assert_eq!(call(&holder, 1).await, AdviceReply::NotSent, "no other entry is known yet");
    holder.peers.add_peer("entry-2", &helper.settings.peers.to_string(), 600);
    assert_eq!(answered(call(&holder, 1).await).tickets.len(), 2);
    assert_eq!(call(&holder, 2).await, AdviceReply::NotSent);
    a.faults(|f| f.busy = 1);
    assert_eq!(call(&holder, 1).await, AdviceReply::Busy);
    a.faults(|f| f.silent = 1);
    assert_eq!(call(&holder, 1).await, AdviceReply::NoAnswer);
    assert_eq!(answered(call(&holder, 1).await).valid_for, Some(ms(700)));
    holder.peers.add_peer("entry-2", NOWHERE, 600);
    assert_eq!(call(&holder, 1).await, AdviceReply::NotSent, "that entry is gone");
}
