//! Jobs of several queues under one number.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood::ops::jobs::inbox::InboxIndex;
use workswood::ops::jobs::job_status_table::JobStatusTable;
use workswood::ops::jobs::record::{InboxKey, InboxRecordKind, cancel_record, job_record, parse_inbox_key};
use workswood::util::job_settings::StoreSizes;
use workswood_adapter_standin::WorkerStandin;
use workswood_adapter_standin::caller::{queues_config, request_on};
use workswood_core::jobs::{
    Action, Event, JobKey, JobOwner, JobSpec, JobStatus, JobStatusUpdate, QueueTag, ServiceConfig, WorkerInfo,
};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{config, job, step};

use super::state_parts::Site;

const NUMBER: u64 = 7;
const OTHER_QUEUE: &str = "other";
const OTHER_SERVICE: &str = "yard";

/// The address of a queue of these tests.
fn tag(queue: &str) -> QueueTag {
    QueueTag::of_address("jobs.example", &format!("/{queue}/"))
}

/// A job of one task of the queue of the test support, on its service.
fn first(accepted_at: u64) -> JobSpec {
    JobSpec { tag: tag("first"), ..job(vec![step(1, vec![])], accepted_at) }
}

/// The same of another queue, on a service.
fn other(service: &str, accepted_at: u64) -> JobSpec {
    JobSpec {
        queue: OTHER_QUEUE.to_string(),
        service: service.to_string(),
        tag: tag(OTHER_QUEUE),
        ..first(accepted_at)
    }
}

/// A world of two workers, the second one of the other service.
fn world() -> HostWorld {
    let mut world = HostWorld::new(1);
    let mut cfg = config();
    let service = ServiceConfig { name: OTHER_SERVICE.to_string(), enforces_capacity: true, spare: false };
    cfg.services.insert(OTHER_SERVICE.to_string(), service);
    world.sched.handle(Event::ConfigChanged(Arc::new(cfg)));
    let info = WorkerInfo { service: OTHER_SERVICE.to_string(), ..worker(1, 0) };
    world.sched.handle(Event::WorkerListed(info));
    world.report(1, 0, &[]);
    world
}

fn starts(actions: &[Action]) -> Vec<JobKey> {
    let start = |action: &Action| match action {
        Action::Start { task, .. } => Some(task.job),
        _ => None,
    };
    actions.iter().filter_map(start).collect()
}

/// Jobs on two services are at work at once; on one service they are one after the other.
#[test]
fn services_apart_and_shared() {
    let (a, b) = (first(10), other(OTHER_SERVICE, 20));
    let mut apart = world();
    apart.sched.handle(Event::Submitted(NUMBER, Arc::new(a.clone())));
    apart.sched.handle(Event::Submitted(NUMBER, Arc::new(b.clone())));
    let mut begun = starts(&apart.tick());
    begun.sort_unstable();
    let mut both = [a.key(NUMBER), b.key(NUMBER)];
    both.sort_unstable();
    assert_eq!(begun, both);
    let mut shared = world();
    let c = other(&a.service, 20);
    shared.sched.handle(Event::Submitted(NUMBER, Arc::new(a.clone())));
    shared.sched.handle(Event::Submitted(NUMBER, Arc::new(c)));
    assert_eq!(starts(&shared.tick()), [a.key(NUMBER)]);
}

/// A cancellation is that of one queue.
#[test]
fn other_job_goes_on() {
    let (a, b) = (first(10), other(OTHER_SERVICE, 20));
    let mut world = world();
    world.sched.handle(Event::Submitted(NUMBER, Arc::new(a.clone())));
    world.sched.handle(Event::Submitted(NUMBER, Arc::new(b.clone())));
    world.sched.handle(Event::Cancelled(b.key(NUMBER)));
    assert!(world.sched.jobs.get(&a.key(NUMBER)).is_some_and(|job| job.is_open()));
    assert!(world.sched.jobs.get(&b.key(NUMBER)).is_none_or(|job| job.cancelled));
}

/// What an entry of an earlier version accepted or cancels, without the queue's address, is no second job.
#[test]
fn accepted_by_earlier_version() {
    let mut cfg = config();
    cfg.version += 1;
    let queue = cfg.queues.values_mut().next().expect("a queue");
    (queue.host_name, queue.path_prefix) = ("jobs.example".to_string(), "/first/".to_string());
    let told = first(10);
    let untold = JobSpec { tag: QueueTag::UNKNOWN, ..told.clone() };
    for (earlier, later) in [(&told, &untold), (&untold, &told)] {
        let mut world = world();
        world.sched.handle(Event::ConfigChanged(Arc::new(cfg.clone())));
        world.sched.handle(Event::Submitted(NUMBER, Arc::new(earlier.clone())));
        world.sched.handle(Event::Submitted(NUMBER, Arc::new(later.clone())));
        assert_eq!(starts(&world.tick()), [earlier.key(NUMBER)]);
        world.sched.handle(Event::Cancelled(later.key(NUMBER)));
        assert!(world.sched.jobs.get(&earlier.key(NUMBER)).is_none_or(|job| job.cancelled));
    }
}

#[test]
fn shown_on_its_queue() {
    let update = |key, queue: &str| JobStatusUpdate {
        key,
        queue: queue.to_string(),
        service: OTHER_SERVICE.to_string(),
        state: Some(JobStatus::Running),
        repeats: false,
    };
    let key = |tag| JobKey { number: NUMBER, owner: JobOwner { queue: tag, ..JobOwner::default() } };
    let mut shown = JobStatusTable::default();
    shown.update(update(key(tag("a")), "a"));
    assert!(shown.status(key(tag("a")), Some("a")).is_some());
    assert_eq!(shown.status(key(tag("b")), Some("b")), None, "nobody submitted it there");
    assert!(shown.status(key(QueueTag::UNKNOWN), None).is_some(), "an entry of an earlier version asks");
    assert!(shown.status_on_service(NUMBER, OTHER_SERVICE).is_some());
    assert_eq!(shown.status_on_service(NUMBER, "desk"), None);
    let mut shown = JobStatusTable::default();
    shown.update(update(key(QueueTag::UNKNOWN), "a"));
    assert!(shown.status(key(tag("a")), Some("a")).is_some(), "an entry of an earlier version accepted it");
    assert_eq!(shown.status(key(tag("b")), Some("b")), None);
}

#[test]
fn inbox_keys() {
    let (a, b) = (first(10), other(OTHER_SERVICE, 20));
    let keys = [job_record(NUMBER, &a).key, job_record(NUMBER, &b).key, cancel_record(b.key(NUMBER)).key];
    assert_eq!(parse_inbox_key(&keys[0]).map(|key| key.job), Some(a.key(NUMBER)));
    let cancel = InboxKey { job: b.key(NUMBER), kind: InboxRecordKind::Cancel };
    assert_eq!(parse_inbox_key(&keys[2]), Some(cancel));
    assert!(keys[0] != keys[1], "neither replaces the other");
    let mut kept = InboxIndex::default();
    let untold = InboxKey { job: a.key(NUMBER).without_queue(), ..cancel };
    let of_a = InboxKey { job: a.key(NUMBER), kind: InboxRecordKind::Job };
    [of_a, cancel, untold].into_iter().for_each(|key| kept.insert(0, key));
    let mut own = kept.keys_of_job(0, a.key(NUMBER));
    own.sort_unstable();
    assert_eq!(own, [untold, of_a], "with the cancellation of an earlier version");
}

/// The address of a queue names its jobs, whatever its name is.
#[test]
fn tag_of_address() {
    let tag = QueueTag::of_address("jobs.example", "/q/");
    assert_eq!(tag, QueueTag::of_address("jobs.example", "/q/"));
    assert_ne!(tag, QueueTag::of_address("jobs.example", "/r/"));
    assert_ne!(tag, QueueTag::of_address("other.example", "/q/"));
    assert!(!tag.is_unknown());
}

const JOB: &str = "5c0e7a21d94b36f8";
const A: &str = "/a/";
const B: &str = "/b/";
/// What the store takes.
const SIZES: StoreSizes = StoreSizes { record: 262_144, append: 2_097_152 };
/// How long a task takes.
const TAKES: Duration = Duration::from_millis(500);
/// All that is waited for comes within this time.
const WITHIN: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(50);

async fn until(to: SocketAddr, prefix: &str, wanted: (u16, Option<&str>)) {
    let until = Instant::now() + WITHIN;
    loop {
        let answer = request_on(to, prefix, "GET", JOB, 0).await;
        let answer = answer.as_ref().map(|(status, state)| (*status, state.as_deref()));
        if answer == Some(wanted) {
            return;
        }
        assert!(Instant::now() < until, "{prefix}{JOB}: {answer:?}, not {wanted:?}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// A site with a queue on each of two services, and the worker of the second one.
async fn two_services(name: &str) -> (Site, WorkerStandin) {
    let site = Site::new(name, SIZES).await;
    let yard = WorkerStandin::start_with_ledger("i-1", TAKES, site.ledger.clone()).await;
    site.store.enter_worker("i-1", &yard.entry(OTHER_SERVICE, "m-1"));
    site.store.declare(&queues_config(&[("q-a", A, "desk"), ("q-b", B, OTHER_SERVICE)], 2));
    until(site.entries[0].0, A, (410, None)).await;
    until(site.entries[1].0, B, (410, None)).await;
    (site, yard)
}

/// MIXED, LOST: the second job is lost, and its caller is shown and cancels the first one's, while queues change.
#[tokio::test(flavor = "multi_thread")]
async fn same_number_on_two_queues() {
    let (site, yard) = two_services("queues").await;
    let (one, two) = (site.entries[0].0, site.entries[1].0);
    assert_eq!(request_on(one, A, "POST", JOB, 2).await, Some((200, None)));
    until(two, A, (200, Some("running"))).await;
    until(two, B, (410, None)).await;
    let cancelled = request_on(two, B, "DELETE", JOB, 0).await;
    assert_eq!(cancelled, Some((410, None)), "nothing of that queue");
    site.store.declare(&queues_config(&[("renamed", A, "desk")], 3));
    until(two, B, (404, None)).await;
    until(two, A, (200, Some("running"))).await;
    site.store.declare(&queues_config(&[("q-a", A, OTHER_SERVICE), ("q-b", B, OTHER_SERVICE)], 4));
    until(one, B, (410, None)).await;
    until(one, A, (200, Some("completed"))).await;
    until(two, A, (200, Some("completed"))).await;
    assert_eq!(site.worker.starts().len(), 2, "of the first job alone");
    assert_eq!(yard.starts(), []);
    assert_eq!(site.ledger.violations(), Vec::<String>::new());
}

/// LOST: the second job doesn't wait for the first one, which is on another service.
#[tokio::test(flavor = "multi_thread")]
async fn services_do_not_wait() {
    let (site, yard) = two_services("apart").await;
    let (one, two) = (site.entries[0].0, site.entries[1].0);
    assert_eq!(request_on(one, A, "POST", JOB, 2).await, Some((200, None)));
    until(two, A, (200, Some("running"))).await;
    assert_eq!(request_on(two, B, "POST", JOB, 3).await, Some((200, None)));
    until(two, B, (200, Some("completed"))).await;
    assert_eq!(yard.starts().len(), 3);
    until(one, A, (200, Some("completed"))).await;
    assert_eq!(site.worker.starts().len(), 2);
}
