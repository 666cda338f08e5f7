//! The adapter against a stand-in of a worker.

use std::time::Duration;

use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::WorkerStandin;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{EndCoverage, EndKind, JobKey, TaskId, WorkerAddress, WorkerInfo};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, StartOrder, WorkerError};

const TASK: TaskId = TaskId { job: JobKey::of_number(0x5c0e_7a21_d94b_36f8), round: 0, step: 1, index: 17 };

fn client() -> PlatformClient {
    let nowhere = "127.0.0.1:1".to_string();
    PlatformClient::new(Addresses { store: nowhere.clone(), machines: nowhere, adviser: None })
}

fn info(c: &PlatformClient, w: &WorkerStandin, id: &str) -> WorkerInfo {
    let value = Some(w.entry("desk", "m-1").into());
    c.parse_worker_info(&KeyedRecord { key: id.to_string(), value }).expect("the entry is read")
}

fn order(attempt: u32, lease_end: Duration) -> StartOrder {
    StartOrder {
        task: TASK,
        attempt,
        spec: "text".into(),
        checkpoint: String::new(),
        ticket: None,
        lease_end,
        timeout: Duration::from_millis(600),
    }
}

#[tokio::test]
async fn start_to_end() {
    let w = WorkerStandin::start("i-1", Duration::from_millis(30)).await;
    let c = client();
    let info = info(&c, &w, "i-1");
    assert_eq!((info.service.as_str(), info.host.as_str()), ("desk", "m-1"));
    assert_eq!(info.capacity.cpu_millis, 4000);
    let first =
        c.poll_worker(&info.worker_address(), 7, 0, None, Duration::ZERO).await.expect("it is looked at");
    assert!(first.running.is_empty() && first.ended.is_empty());
    let end = first.made_at + Duration::from_secs(5);
    c.start_task(&info.worker_address(), 7, order(2, end)).await.expect("it starts");
    assert_eq!(w.starts(), [("5c0e7a21d94b36f8.0.1.17".to_string(), 2)]);
    let wait = Duration::from_millis(1000);
    let report = c.poll_worker(&info.worker_address(), 7, 0, Some(end), wait).await.expect("it ends");
    let e = &report.ended[0];
    assert_eq!((e.sequence_number, e.task, e.attempt, e.kind), (1, TASK, 2, EndKind::Done));
    let report =
        c.poll_worker(&info.worker_address(), 7, 1, Some(end), Duration::ZERO).await.expect("it forgets");
    assert!(report.ended.is_empty());
}

/// TWICE: an answer with as many ends as a worker lists at once may lack some.
#[tokio::test]
async fn ends_beyond_one_answer() {
    let w = WorkerStandin::start("i-1", Duration::from_millis(1)).await;
    let c = client();
    let worker = info(&c, &w, "i-1").worker_address();
    let clock = c.poll_worker(&worker, 7, 0, None, Duration::ZERO).await.expect("it is polled").made_at;
    let end = clock + Duration::from_secs(60);
    for index in 0..501 {
        let start = StartOrder { task: TaskId { index, ..TASK }, ..order(1, end) };
        c.start_task(&worker, 7, start).await.expect("it starts");
    }
    let mut seen = Vec::new();
    let mut acked = 0;
    while acked < 501 {
        let listing =
            c.poll_worker(&worker, 7, acked, Some(end), Duration::ZERO).await.expect("it is polled");
        let last = listing.ended.last().map_or(acked, |e| e.sequence_number);
        if last - acked == 500 || last == 501 {
            seen.push((listing.ended.len(), listing.coverage));
            acked = last;
        }
    }
    assert_eq!(seen, [(500, EndCoverage::Earliest), (1, EndCoverage::All)]);
}

#[tokio::test]
async fn refusals_told_apart() {
    let w = WorkerStandin::start("i-1", Duration::from_secs(5)).await;
    let c = client();
    let mine = info(&c, &w, "i-1");
    let listing =
        c.poll_worker(&mine.worker_address(), 7, 0, None, Duration::ZERO).await.expect("it is looked at");
    let clock = listing.made_at;
    let fenced = c.poll_worker(&mine.worker_address(), 6, 0, None, Duration::ZERO).await;
    assert_eq!(fenced.err(), Some(WorkerError::Fenced));
    let other = info(&c, &w, "i-2");
    let life = c.poll_worker(&other.worker_address(), 7, 0, None, Duration::ZERO).await;
    assert_eq!(life.err(), Some(WorkerError::OtherLife));
    // A lease end that has passed, as a holder sends that was paused.
    let late = c.start_task(&mine.worker_address(), 7, order(1, clock)).await;
    assert_eq!(late, Err(WorkerError::Refused));
    w.faults(|f| f.lose_starts = 1);
    let end = clock + Duration::from_secs(5);
    assert_eq!(c.start_task(&mine.worker_address(), 7, order(1, end)).await, Err(WorkerError::NoAnswer));
    assert_eq!(c.start_task(&mine.worker_address(), 7, order(1, end)).await, Ok(()));
    assert_eq!(w.starts().len(), 1, "a repeated start is one start");
}

#[tokio::test]
async fn late_starts_kept_out() {
    let w = WorkerStandin::start("i-1", Duration::from_millis(5)).await;
    let c = client();
    let info = info(&c, &w, "i-1");
    let listing =
        c.poll_worker(&info.worker_address(), 7, 0, None, Duration::ZERO).await.expect("it is looked at");
    let clock = listing.made_at;
    let end = clock + Duration::from_secs(5);
    c.start_task(&info.worker_address(), 7, order(1, end)).await.expect("it starts");
    let wait = Duration::from_millis(1000);
    c.poll_worker(&info.worker_address(), 7, 0, Some(end), wait).await.expect("it ends");
    c.poll_worker(&info.worker_address(), 7, 1, Some(end), Duration::ZERO)
        .await
        .expect("the end is forgotten");
    let late = c.start_task(&info.worker_address(), 7, order(1, end)).await;
    assert_eq!(late, Err(WorkerError::Refused), "a try that arrives after the run has ended");
    c.stop_task(&info.worker_address(), 7, TASK, 3).await.expect("it is stopped before it is there");
    assert_eq!(c.start_task(&info.worker_address(), 7, order(3, end)).await, Err(WorkerError::Refused));
    assert_eq!(c.start_task(&info.worker_address(), 7, order(4, end)).await, Ok(()));
    assert_eq!(w.starts().len(), 2);
}

/// The worker starts again under its name. What it says is of its later life, whoever asks; and what is
/// older than the life that is meant tells nothing.
#[tokio::test]
async fn later_life_told() {
    let w = WorkerStandin::start("i-1", Duration::from_secs(5)).await;
    let c = client();
    w.restart(1000);
    let first = info(&c, &w, "i-1").worker_address();
    assert_eq!((first.id.name(), first.id.started_at()), ("i-1", Some(1000)));
    let look =
        async |worker: WorkerAddress| c.poll_worker(&worker, 7, 0, None, Duration::ZERO).await.map(|_| ());
    assert_eq!(look(first.clone()).await, Ok(()));
    w.restart(2000);
    assert_eq!(look(first.clone()).await, Err(WorkerError::Restarted(2000)));
    assert_eq!(look(info(&c, &w, "i-1").worker_address()).await, Ok(()));
    let later = WorkerAddress { id: WorkerId::new("i-1", Some(3000)), ..first.clone() };
    assert_eq!(look(later).await, Err(WorkerError::NoAnswer), "that comes from an earlier life");
    let plain = WorkerAddress { id: "i-1".into(), ..first };
    assert_eq!(look(plain).await, Ok(()), "whose start is not known");
}

#[tokio::test]
async fn dead_port_not_sent() {
    let c = client();
    let w = WorkerStandin::start("i-1", Duration::from_secs(5)).await;
    let mut gone = info(&c, &w, "i-1");
    gone.address = "127.0.0.1:1".to_string();
    let res = c.poll_worker(&gone.worker_address(), 1, 0, None, Duration::ZERO).await;
    assert_eq!(res.err(), Some(WorkerError::NotSent));
}
