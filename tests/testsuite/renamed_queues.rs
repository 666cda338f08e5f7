//! Queues whose name, address or existence changes while their jobs are waiting.

use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood::ops::jobs::job_status_table::JobStatusTable;
use workswood::util::job_settings::StoreSizes;
use workswood_adapter_standin::caller::{queued_on, queues_config, request_on};
use workswood_core::jobs::{
    AdviceConfig, Event, JobKey, JobOwner, JobSpec, JobStatus, JobStatusUpdate, QueueConfig, QueueTag,
    SchedConfig, StartReply, StepId, TaskId, WorkerUpdate,
};
use workswood_test_support::advised_world::{advice, advised_config, asked, started};
use workswood_test_support::host_world::HostWorld;
use workswood_test_support::job_world::{QUEUE, job, step};

use super::state_parts::Site;

const NUMBER: u64 = 1;
const NEW_NAME: &str = "renamed";
const TICKET_LIFETIME: Duration = Duration::from_secs(3);

fn advice_figures() -> AdviceConfig {
    AdviceConfig {
        base_call_time: Duration::from_millis(100),
        time_per_worker: Duration::from_millis(5),
        ticket_lifetime: TICKET_LIFETIME,
    }
}

/// The advised queue of the test support, at an address.
fn at_address(queue: &QueueConfig) -> QueueConfig {
    QueueConfig { host_name: "jobs.example".to_string(), path_prefix: "/q/".to_string(), ..queue.clone() }
}

/// The configuration with the advised queue, changed by `change`.
fn changed(version: u64, change: impl FnOnce(QueueConfig) -> Option<QueueConfig>) -> SchedConfig {
    let mut cfg = advised_config(advice_figures(), version);
    let queue = cfg.queues.remove(QUEUE).expect("the advised queue");
    if let Some(queue) = change(at_address(&queue)) {
        cfg.queues.insert(queue.name.clone(), queue);
    }
    cfg
}

/// What happens to the queue while its job waits.
type Change = fn(QueueConfig) -> Option<QueueConfig>;

fn renamed(queue: QueueConfig) -> Option<QueueConfig> {
    Some(QueueConfig { name: NEW_NAME.to_string(), ..queue })
}

/// Its name is that of another queue by now, which needs no tickets.
fn name_reused(queue: QueueConfig) -> Option<QueueConfig> {
    Some(QueueConfig { path_prefix: "/other/".to_string(), advice: None, ..queue })
}

fn taken_away(_: QueueConfig) -> Option<QueueConfig> {
    None
}

/// A holder that knows a job of the advised queue, and either the change alone or what was in force before as well.
fn with_job(change: Change, knows_former: bool) -> (HostWorld, StepId) {
    let mut world = HostWorld::new(3);
    let former = changed(2, Some);
    let tag = former.queues[QUEUE].tag();
    if knows_former {
        world.sched.handle(Event::ConfigChanged(Arc::new(former)));
    }
    let spec = JobSpec { tag, ..job(vec![step(1, vec![])], 0) };
    let key = spec.key(NUMBER);
    world.sched.handle(Event::Submitted(NUMBER, Arc::new(spec)));
    world.sched.handle(Event::ConfigChanged(Arc::new(changed(3, change))));
    (world, StepId { job: key, round: 0, step: 0 })
}

/// Answers the call to the adviser; returns whether the task is started with a ticket then.
fn starts_with_ticket(world: &mut HostWorld, step: StepId, at_ms: u64) -> bool {
    let Some((asked_step, ids)) = asked(&world.tick()) else { return false };
    assert_eq!(asked_step, step);
    world.at(at_ms);
    world.sched.handle(advice(step, &ids, &ids, TICKET_LIFETIME));
    started(&world.tick()).iter().any(|(_, ticket)| ticket.is_some())
}

/// LOST: without its ticket each start of the job is rejected.
#[test]
fn advised_queue_renamed() {
    for knows_former in [true, false] {
        let (mut world, step) = with_job(renamed, knows_former);
        assert!(starts_with_ticket(&mut world, step, 120));
    }
}

/// LOST: the same where no route has the address any more.
#[test]
fn advised_queue_taken_away() {
    for change in [name_reused, taken_away] {
        let (mut world, step) = with_job(change, true);
        assert!(starts_with_ticket(&mut world, step, 120));
    }
}

/// LOST: the next holder learns from the first rejection that tickets are needed.
#[test]
fn next_holder_learns() {
    for change in [name_reused, taken_away] {
        let (mut world, step) = with_job(change, false);
        let begun = started(&world.tick());
        let (worker, ticket) = begun.first().expect("a start");
        assert_eq!(*ticket, None, "nothing tells that one is needed");
        let task = TaskId { job: step.job, round: 0, step: 0, index: 0 };
        let rejected = WorkerUpdate::Started(task, 1, StartReply::Ticket);
        world.tells(worker, rejected);
        world.at(20);
        assert!(starts_with_ticket(&mut world, step, 220));
    }
}

const JOB: &str = "5c0e7a21d94b36f8";
const SECOND_JOB: &str = "5c0e7a21d94b36f9";
const A: &str = "/a/";
const B: &str = "/b/";
/// A service without workers.
const IDLE_SERVICE: &str = "yard";
/// What the store takes.
const SIZES: StoreSizes = StoreSizes { record: 262_144, append: 2_097_152 };
/// All that is waited for comes within this time.
const WITHIN: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until each entry tells these numbers of waiting jobs.
async fn until_queued(site: &Site, wanted: &[(&str, u64)]) {
    let until = Instant::now() + WITHIN;
    for (entry, _) in &site.entries {
        for (prefix, count) in wanted {
            loop {
                let told = queued_on(*entry, prefix).await;
                if told == Some(*count) {
                    break;
                }
                assert!(Instant::now() < until, "{prefix}: {told:?}, not {count}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// MIXED: too few of the waiting jobs are told, or those of another queue.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_jobs_are_counted() {
    let site = Site::new("renamed", SIZES).await;
    let declare = |version, a, b| {
        site.store.declare(&queues_config(&[(a, A, IDLE_SERVICE), (b, B, IDLE_SERVICE)], version));
    };
    declare(2, "q-a", "q-b");
    until_queued(&site, &[(A, 0), (B, 0)]).await;
    let entry = site.entries[0].0;
    for job in [JOB, SECOND_JOB] {
        assert_eq!(request_on(entry, A, "POST", job, 1).await, Some((200, None)));
    }
    until_queued(&site, &[(A, 2), (B, 0)]).await;
    declare(3, NEW_NAME, "q-b");
    until_queued(&site, &[(A, 2), (B, 0)]).await;
    declare(4, "q-b", "q-a");
    until_queued(&site, &[(A, 2), (B, 0)]).await;
    assert_eq!(request_on(entry, A, "DELETE", JOB, 0).await, Some((200, None)));
    until_queued(&site, &[(A, 1), (B, 0)]).await;
}

/// What was accepted by an entry of an earlier version, which told no address, counts by the name of its queue.
#[test]
fn counted_by_name() {
    let tag = |path| QueueTag::of_address("jobs.example", path);
    let update = |number, queue: QueueTag, name: &str| JobStatusUpdate {
        key: JobKey { number, owner: JobOwner { queue, ..JobOwner::default() } },
        queue: name.to_string(),
        service: IDLE_SERVICE.to_string(),
        state: Some(JobStatus::Queued),
        repeats: false,
    };
    let mut shown = JobStatusTable::default();
    shown.update(update(1, tag(A), "q-a"));
    shown.update(update(2, QueueTag::UNKNOWN, "q-a"));
    shown.update(update(3, tag(B), "q-b"));
    assert_eq!(shown.queued_jobs(tag(A), "q-a"), 2);
    assert_eq!(shown.queued_jobs(tag(A), NEW_NAME), 1);
    assert_eq!(shown.queued_jobs(tag(B), "q-a"), 2, "the untold one by its name");
    assert_eq!(shown.queued_jobs(tag("/c/"), "q-c"), 0);
    let over = JobStatusUpdate { state: Some(JobStatus::Running), ..update(2, QueueTag::UNKNOWN, "q-a") };
    shown.update(over);
    assert_eq!(shown.queued_jobs(tag(A), "q-a"), 1);
}
