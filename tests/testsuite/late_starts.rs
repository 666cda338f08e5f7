//! Starts that a paused process sends late, to a worker that has started again under its name meanwhile.

use std::sync::Arc;
use std::time::Duration;

use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::WorkerStandin;
use workswood_core::jobs::{Event, JobKey, TaskId, WorkerUpdate};
use workswood_platform::jobs::JobPlatform;
use workswood_test_support::job_world::{FaultRng, STEP, World, job, step};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::TurnStore;

/// How long the lease holder is paused: long enough for a successor to run the job.
const PAUSE: Duration = Duration::from_millis(3000);
/// Steps of the simulation after a submission in which its starts are on their way.
const STEPS_TO_START: u32 = 8;
/// Earliest and latest restart of the workers before the pause ends, in milliseconds.
const RESTART_BEFORE_MS: std::ops::RangeInclusive<u64> = 460..=1220;

/// Pauses the holder some steps after a submission, replaces it, and restarts all workers some time
/// before the pause ends; returns the violations.
fn play(steps: u32, restart_before: Duration) -> Vec<String> {
    let mut w = World::restarting(4, FaultRng::new(u64::from(steps), 0));
    w.run_for(Duration::from_millis(2000));
    w.submit(1, job(vec![step(4, vec![])], w.now.as_millis() as u64));
    w.run_for(STEP * steps);
    w.pause(PAUSE);
    w.take_over();
    w.run_for(PAUSE - restart_before);
    (0..4).for_each(|n| w.replace(n));
    w.run_for(Duration::from_secs(6));
    std::mem::take(&mut w.seen.violations)
}

/// The starts reach workers that know no token of the successor yet.
#[test]
fn paused_holder() {
    let (mut histories, mut broken) = (0, Vec::new());
    for steps in 1..=STEPS_TO_START {
        for before in RESTART_BEFORE_MS.step_by(20) {
            histories += 1;
            let violations = play(steps, Duration::from_millis(before));
            broken.extend(violations.first().map(|v| format!("{steps} steps, {before} ms: {v}")));
        }
    }
    assert!(broken.is_empty(), "{} of {histories} histories: {:#?}", broken.len(), &broken[..1]);
}

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
/// When the worker has started, as it reports, and when it has started again.
const STARTED: u64 = 1000;
const STARTED_AGAIN: u64 = 2000;
/// Time for which the entry is suspended: its grant still holds.
const SUSPENDED: Duration = Duration::from_millis(3000);

/// A relay that polls one worker.
struct Site(RelaySite);

impl Site {
    /// The relay has polled the worker, which tells when it has started if `started` is given.
    async fn new(platform: Arc<dyn JobPlatform>, address: &str, started: Option<u64>) -> Site {
        Site(RelaySite::new(platform, address, started).await)
    }

    /// The relay has polled a stand-in of a worker that started at [`STARTED`].
    async fn with_standin(worker: &WorkerStandin) -> Site {
        let nowhere = "127.0.0.1:1".to_string();
        let addresses = Addresses { store: nowhere.clone(), machines: nowhere, adviser: None };
        let platform = PlatformClient::new(addresses);
        Site::new(Arc::new(platform), &worker.address.to_string(), Some(STARTED)).await
    }

    /// Waits until the relay reports that the worker has started again; returns when.
    async fn restarted_at(&mut self) -> u64 {
        let restarted = self.0.event(|ev| match ev {
            Event::WorkerRestarted(_, started, _) => Some(*started),
            _ => None,
        });
        tokio::time::timeout(GUARD, restarted).await.expect("the restart is reported")
    }

    fn order_start(&mut self, attempt: u32) {
        self.0.order_start(TASK, attempt);
    }

    /// Sends a start, and waits for its outcome.
    async fn start(&mut self, attempt: u32) {
        self.order_start(attempt);
        self.0
            .event(|ev| match ev {
                Event::WorkerUpdate(_, _, WorkerUpdate::Started(_, n, _)) if *n == attempt => Some(()),
                _ => None,
            })
            .await;
    }

    /// Polls that were made to be certain of the incarnation.
    fn checks(&self) -> u64 {
        let checks = &self.0.node.metrics.incarnation_checks;
        ["certain", "uncertain"].iter().map(|outcome| checks.with_label_values(&[*outcome]).get()).sum()
    }
}

/// Longest wait for an event of a stand-in worker.
const GUARD: Duration = Duration::from_secs(30);

/// The lease holder hears of a restart from the relay, and not only from the list of workers.
#[tokio::test]
async fn restart_reported() {
    let worker = WorkerStandin::start("w", Duration::from_secs(60)).await;
    worker.restart(STARTED);
    let mut site = Site::with_standin(&worker).await;
    worker.restart(STARTED_AGAIN);
    assert_eq!(site.restarted_at().await, STARTED_AGAIN);
}

/// The worker starts again while the entry is suspended; what the entry had not sent yet is not sent,
/// and the restart is reported.
#[tokio::test]
async fn suspended_relay() {
    let worker = WorkerStandin::start("w", Duration::from_secs(60)).await;
    worker.restart(STARTED);
    let nowhere = "127.0.0.1:1".to_string();
    let platform =
        PlatformClient::new(Addresses { store: nowhere.clone(), machines: nowhere, adviser: None });
    let mut site = Site::new(Arc::new(platform), &worker.address.to_string(), Some(STARTED)).await;
    site.0.node.clock().simulate_suspension(SUSPENDED);
    worker.restart(STARTED_AGAIN);
    site.order_start(1);
    assert_eq!(site.restarted_at().await, STARTED_AGAIN);
    let not_sent = site.0.node.metrics.task_starts.with_label_values(&["not_sent"]);
    while not_sent.get() == 0 {
        tokio::task::yield_now().await;
        assert_eq!(worker.starts(), []);
    }
}

/// A start to a worker that was polled a moment ago costs nothing more; one after a suspension costs a poll.
#[tokio::test(start_paused = true)]
async fn quiet_worker() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    let mut site = Site::new(store.clone(), "10.0.0.1:80", Some(STARTED)).await;
    site.start(1).await;
    assert_eq!(site.checks(), 0);
    let sent = store.starts();
    assert!(sent > 0);
    site.0.node.clock().simulate_suspension(SUSPENDED);
    site.start(2).await;
    assert_eq!((store.starts(), site.checks()), (2 * sent, 1));
    site.start(3).await;
    assert_eq!((store.starts(), site.checks()), (3 * sent, 1));
}

/// A worker that doesn't tell when it has started has another name after that.
#[tokio::test(start_paused = true)]
async fn name_for_each_incarnation() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    let mut site = Site::new(store.clone(), "10.0.0.1:80", None).await;
    site.0.node.clock().simulate_suspension(SUSPENDED);
    site.start(1).await;
    assert_eq!(site.checks(), 0);
    assert!(store.starts() > 0);
}
