//! Starts that are not wanted any more when they are to be sent.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::relay::codec;
use workswood::ops::jobs::relay::messages::WorkerOrder;
use workswood_core::jobs::{Action, Event, JobKey, StartReply, TaskId, WorkerInfo, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{FaultRng, World, job, small_step, step};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::{SentOrder, TurnStore};

fn task(index: u32) -> TaskId {
    TaskId { job: JobKey::of_number(1), round: 0, step: 0, index }
}

/// A holder that has decided to start the three tasks of a job on its only worker.
fn decided() -> (HostWorld, Vec<Action>) {
    let mut world = HostWorld::new(1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(3, vec![])], 0))));
    let actions = world.sched.take_batch().actions;
    assert_eq!(actions.len(), 3, "{actions:?}");
    (world, actions)
}

/// Hands the starts among actions to the relay; returns those that are still wanted.
fn hand_on(world: &mut HostWorld, actions: &[Action]) -> Vec<TaskId> {
    let mut handed = Vec::new();
    for action in actions {
        let Action::Start { worker, task, attempt, .. } = action else { continue };
        if world.sched.hand_on_start(worker, task, *attempt) {
            handed.push(*task);
        }
    }
    handed
}

fn cancel(world: &mut HostWorld) {
    world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
}

fn draining() -> WorkerInfo {
    WorkerInfo { draining: true, ..worker(0, 0) }
}

fn room_in_use(world: &HostWorld) -> u64 {
    world.sched.workers.get(&worker(0, 0).id).map_or(0, |w| w.used_resources.cpu_millis)
}

/// UNASKED: the job is cancelled while the record of its starts is being stored.
#[test]
fn cancelled_before_record() {
    let (mut world, starts) = decided();
    cancel(&mut world);
    let actions = world.sched.take_batch().actions;
    assert_eq!(actions, [], "no worker has anything to stop");
    assert_eq!(hand_on(&mut world, &starts), []);
    assert_eq!(room_in_use(&world), 0);
    world.sched.take_batch();
    assert!(world.sched.jobs.is_archived(&JobKey::of_number(1)));
}

/// UNASKED: the job is cancelled while its starts wait in the relay, which is told at once.
#[test]
fn cancelled_in_relay() {
    let (mut world, starts) = decided();
    assert_eq!(hand_on(&mut world, &starts).len(), 3);
    cancel(&mut world);
    let id = worker(0, 0).id;
    let stops: Vec<Action> = (0..3).map(|index| Action::Stop(id.clone(), task(index), 1)).collect();
    assert_eq!(world.sched.take_batch().actions, stops);
    world.tells(&id, WorkerUpdate::Started(task(0), 1, StartReply::NotSent));
    world.tells(&id, WorkerUpdate::Started(task(1), 1, StartReply::Refused));
    world.tells(&id, WorkerUpdate::Started(task(2), 1, StartReply::Taken));
    assert_eq!(room_in_use(&world), 1000, "the start that was taken is being stopped");
    assert!(world.sched.workers.get(&id).is_some_and(|w| !w.in_backoff(world.sched.now)));
    assert_eq!(world.sched.take_batch().actions, [], "it has been told to stop");
    world.at(1500);
    assert_eq!(world.tick(), [Action::Stop(id, task(2), 1)], "unless that had no effect");
}

/// DRAIN: the worker begins to drain while starts wait for their record and in the relay.
#[test]
fn draining_worker() {
    let (mut world, starts) = decided();
    assert_eq!(hand_on(&mut world, &starts[..1]), [task(0)]);
    world.sched.handle(Event::WorkerListed(draining()));
    let withdrawn = Action::WithdrawStart(worker(0, 0).id, task(0), 1);
    assert_eq!(world.sched.take_batch().actions, [withdrawn]);
    assert_eq!(hand_on(&mut world, &starts[1..]), []);
    world.tells(&worker(0, 0).id, WorkerUpdate::Started(task(0), 1, StartReply::NotSent));
    world.sched.handle(Event::WorkerListed(worker(1, 0)));
    world.report(1, 0, &[]);
    let again = world.sched.take_batch().actions;
    let elsewhere =
        |a: &Action| matches!(a, Action::Start { worker: w, attempt: 2, .. } if *w == worker(1, 0).id);
    assert_eq!(again.iter().filter(|a| elsewhere(a)).count(), 3, "{again:?}");
}

/// A second cancellation orders nothing more.
#[test]
fn recalled_once() {
    let (mut world, starts) = decided();
    assert_eq!(hand_on(&mut world, &starts).len(), 3);
    let id = worker(0, 0).id;
    world.taken(&id, task(0), 1);
    cancel(&mut world);
    let stops = world.sched.take_batch().actions;
    assert_eq!(stops.len(), 3);
    cancel(&mut world);
    assert_eq!(world.sched.take_batch().actions, [], "each is told once");
}

/// Orders to the relay as it reads them from another process.
#[test]
fn order_to_withdraw() {
    let order = WorkerOrder::WithdrawStart { task: task(7), attempt: 3 };
    let mut written = codec::write_orders(vec![(5, order.clone())]);
    assert_eq!(codec::read_orders(written.clone()), Some(vec![(5, order)]));
    // Versions that do not know it stop the task.
    written[0].unless_sent = false;
    let stop = WorkerOrder::Stop { task: task(7), attempt: 3 };
    assert_eq!(codec::read_orders(written), Some(vec![(5, stop)]));
}

/// For how long an order is under way, without an answer.
const ORDER_WAIT: Duration = Duration::from_millis(150);

/// A relay with one worker, which answers polls but no orders.
struct Site {
    relay: RelaySite,
    store: Arc<TurnStore>,
}

impl Site {
    async fn new() -> Site {
        let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
        store.holds_orders(ORDER_WAIT);
        let relay = RelaySite::new(store.clone(), "10.0.0.1:80", None).await;
        Site { relay, store }
    }

    /// Orders a start, and lets it be sent if nothing holds it back.
    async fn start(&mut self, index: u32) {
        self.relay.order_start(task(index), 1);
        let_run().await;
    }

    async fn order(&mut self, order: WorkerOrder) {
        self.relay.order(order);
        let_run().await;
    }

    /// The outcome of the next start that has one.
    async fn outcome(&mut self) -> (TaskId, StartReply) {
        let outcome = |ev: &Event| match ev {
            Event::WorkerUpdate(_, _, WorkerUpdate::Started(task, _, reply)) => Some((*task, *reply)),
            _ => None,
        };
        self.relay.event(outcome).await
    }

    fn sent(&self) -> Vec<SentOrder> {
        self.store.sent()
    }
}

/// Lets the tasks of the relay run until they wait.
async fn let_run() {
    for _ in 0..10 {
        tokio::task::yield_now().await;
    }
}

fn started(index: u32) -> SentOrder {
    SentOrder::Start(task(index), 1)
}

fn stopped(index: u32) -> SentOrder {
    SentOrder::Stop(task(index), 1)
}

/// UNASKED: a start that waits behind others is dropped with the order to stop its task.
#[tokio::test(start_paused = true)]
async fn stop_of_waiting_start() {
    let mut site = Site::new().await;
    for index in 0..4 {
        site.start(index).await;
    }
    assert_eq!(site.sent(), [started(0), started(1)]);
    site.order(WorkerOrder::Stop { task: task(2), attempt: 1 }).await;
    assert_eq!(site.outcome().await, (task(2), StartReply::NotSent), "before the others are answered");
    for _ in 0..3 {
        site.outcome().await;
    }
    assert!(site.sent().contains(&started(3)));
    assert!(!site.sent().contains(&started(2)) && !site.sent().contains(&stopped(2)), "{:?}", site.sent());
}

/// UNASKED: a stop doesn't wait behind starts that wait.
#[tokio::test(start_paused = true)]
async fn stop_passes_starts() {
    let mut site = Site::new().await;
    for index in 0..6 {
        site.start(index).await;
    }
    site.order(WorkerOrder::Stop { task: task(9), attempt: 1 }).await;
    site.outcome().await;
    site.outcome().await;
    let waited: Vec<SentOrder> =
        site.sent().into_iter().filter(|o| !matches!(o, SentOrder::Start(t, _) if t.index < 2)).collect();
    assert_eq!(waited.first(), Some(&stopped(9)));
}

/// A start doesn't wait until the tasks of a whole job are stopped.
#[tokio::test(start_paused = true)]
async fn start_among_stops() {
    let mut site = Site::new().await;
    for index in 10..20 {
        site.order(WorkerOrder::Stop { task: task(index), attempt: 1 }).await;
    }
    site.start(0).await;
    site.outcome().await;
    let sent = site.sent();
    let at = sent.iter().position(|o| *o == started(0));
    assert!(at.is_some_and(|at| at <= 2 * 4), "{sent:?}");
}

/// A start that is under way is not sent again once its task is to be stopped.
#[tokio::test(start_paused = true)]
async fn stop_of_start_under_way() {
    let mut site = Site::new().await;
    site.start(0).await;
    site.order(WorkerOrder::Stop { task: task(0), attempt: 1 }).await;
    assert_eq!(site.outcome().await, (task(0), StartReply::NoAnswer));
    assert_eq!(site.sent().iter().filter(|o| **o == started(0)).count(), 1);
    assert!(site.sent().contains(&stopped(0)));
}

/// A withdrawal leaves a start alone that is under way.
#[tokio::test(start_paused = true)]
async fn withdrawal_of_start_under_way() {
    let mut site = Site::new().await;
    for index in 0..3 {
        site.start(index).await;
    }
    for index in [0, 2] {
        site.order(WorkerOrder::WithdrawStart { task: task(index), attempt: 1 }).await;
    }
    assert_eq!(site.outcome().await, (task(2), StartReply::NotSent));
    assert_eq!(site.outcome().await.1, StartReply::NoAnswer);
    assert_eq!(site.sent().iter().filter(|o| **o == started(0)).count(), 3);
    assert!(!site.sent().contains(&stopped(0)));
}

/// A world in which orders to workers wait, and half of them meet a fault.
fn queues(workers: usize, seed: u64) -> World {
    let mut w = World::new(workers, FaultRng::mixed(seed)).with_order_queues().with_time_bounds();
    w.run_for(Duration::from_millis(600));
    w.order_faults_per_mille = 500;
    w
}

fn submit(w: &mut World, key: u64, tasks: u32) {
    w.submit(key, job(vec![small_step(tasks)], w.now.as_millis() as u64));
}

/// UNASKED: a job with many tasks is cancelled while most of its starts wait in the relay.
#[test]
fn cancelled_in_queue() {
    let mut w = queues(1, 1);
    submit(&mut w, 1, 40);
    w.run_for(Duration::from_millis(400));
    w.cancel(1);
    w.run_for(Duration::from_secs(20));
    assert_eq!(w.seen.violations, Vec::<String>::new());
    assert!(w.is_over(1) && w.seen.starts < 40, "{} starts", w.seen.starts);
}

/// DRAIN: a worker begins to drain while most of the starts there wait in the relay.
#[test]
fn drained_in_queue() {
    let mut w = queues(2, 1);
    submit(&mut w, 1, 60);
    w.run_for(Duration::from_millis(300));
    w.drain(0);
    w.run_for(Duration::from_secs(6));
    w.heal();
    w.run_for(Duration::from_secs(40));
    assert_eq!(w.seen.violations, Vec::<String>::new());
    assert!(w.is_over(1), "{:?}", w.shown(1));
}

/// Histories in one run of the suite.
const HISTORIES: u64 = 100;
/// Events of one history.
const EVENTS: u64 = 25;

/// UNASKED, DRAIN: jobs are cancelled and workers drain and leave, while orders wait behind others without an
/// answer.
#[test]
fn short_histories() {
    for seed in 1..=HISTORIES {
        let mut w = queues(3, seed);
        for n in 1..=EVENTS {
            match w.rng.below(6) {
                0..=2 => {
                    let tasks = 10 + w.rng.below(30) as u32;
                    submit(&mut w, n, tasks);
                }
                3 | 4 => {
                    let key = 1 + w.rng.below(n);
                    w.cancel(key);
                }
                _ => {
                    let at = w.rng.below(3) as usize;
                    w.drain(at);
                    w.run_for(Duration::from_millis(2500));
                    w.replace(at);
                }
            }
            let long = Duration::from_millis(100 + w.rng.below(900));
            w.run_for(long);
        }
        w.heal();
        w.run_for(Duration::from_secs(40));
        assert_eq!(w.seen.violations, Vec::<String>::new(), "seed {seed}");
    }
}
