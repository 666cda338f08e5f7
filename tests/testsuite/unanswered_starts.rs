//! Starts of long-running tasks that have no answer: the task is at work soon after its worker answers again, and
//! never twice.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::relay::messages::WorkerOrder;
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{
    Action, Event, JobKey, Listing, StartReply, StepSpec, StopReply, TaskId, WorkerInfo, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, listed, worker};
use workswood_test_support::job_world::{job, step};
use workswood_test_support::relay_site::RelaySite;
use workswood_test_support::turn_store::TurnStore;

const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
/// End of the lease of a worker that doesn't answer, in milliseconds.
const LEASE_END_MS: u64 = 6000;

/// A world whose only worker has been ordered to start a long-running task.
struct Ordered {
    world: HostWorld,
    worker: WorkerId,
    start: Action,
}

impl Ordered {
    fn new() -> Ordered {
        let mut world = HostWorld::new(1);
        world.report(0, 0, &[]);
        let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
        world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
        let start = world.tick().first().cloned().expect("a start");
        let worker = worker(0, 0).id;
        assert!(world.sched.hand_on_start(&worker, &TASK, 1));
        Ordered { world, worker, start }
    }

    fn replies(&mut self, reply: StartReply) {
        let id = self.worker.clone();
        self.world.tells(&id, WorkerUpdate::Started(TASK, 1, reply));
    }

    fn falls_silent(&mut self) {
        let id = self.worker.clone();
        self.world.tells_silence(&id, Duration::from_millis(LEASE_END_MS), Duration::ZERO);
    }

    fn answers(&mut self, running: bool) {
        let id = self.worker.clone();
        let running = listed(&self.start).into_iter().filter(|_| running).collect();
        self.world.answers(&id, Listing { running, ..Listing::default() });
    }

    /// A start without an answer, on a worker that answers nothing for a while and then lists the run or not.
    fn unanswered(running: bool) -> Ordered {
        let mut ordered = Ordered::new();
        ordered.falls_silent();
        ordered.replies(StartReply::NoAnswer);
        assert_eq!(ordered.orders(), [], "nothing reaches the worker");
        ordered.world.at(1000);
        ordered.answers(running);
        ordered
    }

    /// Starts and stops since the last call.
    fn orders(&mut self) -> Vec<Action> {
        let all = self.world.sched.take_batch().actions;
        all.into_iter().filter(|a| matches!(a, Action::Start { .. } | Action::Stop(..))).collect()
    }

    /// Hands the starts among orders to the relay; returns how many are still wanted.
    fn hand_on(&mut self, orders: &[Action]) -> usize {
        let starts = orders.iter().filter(|a| matches!(a, Action::Start { .. }));
        starts.filter(|_| self.world.sched.hand_on_start(&self.worker, &TASK, 1)).count()
    }

    fn stop(&self) -> Action {
        Action::Stop(self.worker.clone(), TASK, 1)
    }

    /// Whether a run of the task may exist.
    fn may_exist(&self) -> bool {
        self.world.sched.workers.get(&self.worker).is_some_and(|w| w.runs.contains_key(&(TASK, 1)))
    }
}

#[test]
fn stopped_although_worker_answers_again() {
    let mut ordered = Ordered::unanswered(false);
    let orders = ordered.orders();
    assert_eq!(orders, [ordered.start.clone()], "the same attempt");
    assert_eq!(ordered.hand_on(&orders), 1);
    ordered.replies(StartReply::Taken);
    ordered.answers(true);
    ordered.world.at(5000);
    ordered.world.tick();
    assert_eq!(ordered.world.sched.absent_long_running_tasks(), 0);
}

/// A worker that fell silent at each order got another one without end, and the task was bound to it.
#[test]
fn ordered_again_without_end() {
    let mut ordered = Ordered::unanswered(false);
    for n in 2..=3 {
        let orders = ordered.orders();
        assert_eq!(orders, [ordered.start.clone()], "order {n}");
        assert_eq!(ordered.hand_on(&orders), 1);
        ordered.falls_silent();
        ordered.replies(StartReply::NoAnswer);
        ordered.world.at(1000 * n);
        ordered.answers(false);
    }
    assert_eq!(ordered.orders(), [ordered.stop()]);
}

#[test]
fn stopped_although_listed() {
    let mut ordered = Ordered::unanswered(true);
    ordered.world.at(3000);
    ordered.world.tick();
    assert_eq!(ordered.orders(), [], "it is at work");
    assert_eq!(ordered.world.sched.absent_long_running_tasks(), 0);
}

#[test]
fn listed_before_start_was_given_up() {
    let mut ordered = Ordered::new();
    ordered.answers(true);
    ordered.replies(StartReply::NoAnswer);
    assert_eq!(ordered.orders(), []);
}

#[test]
fn settled_although_first_order_is_under_way() {
    for reply in [StartReply::Refused, StartReply::Unwell, StartReply::Ticket, StartReply::Unsure] {
        let mut ordered = Ordered::unanswered(false);
        let orders = ordered.orders();
        ordered.hand_on(&orders);
        ordered.replies(reply);
        assert!(ordered.may_exist(), "{reply:?}");
        assert_eq!(ordered.orders(), [ordered.stop()], "{reply:?}");
    }
}

#[test]
fn repeated_start_without_end() {
    let mut ordered = Ordered::new();
    for reply in [StartReply::NoAnswer, StartReply::NotSent] {
        ordered.replies(reply);
        let orders = ordered.orders();
        ordered.hand_on(&orders);
    }
    ordered.replies(StartReply::NoAnswer);
    ordered.world.at(400);
    ordered.world.tick();
    assert!(ordered.may_exist());
    let id = ordered.worker.clone();
    ordered.world.tells(&id, WorkerUpdate::Stopped(TASK, 1, StopReply::Taken));
    assert!(ordered.may_exist(), "a listing settles it");
}

#[test]
fn cancelled_before_repeated_start_is_handed_on() {
    let mut ordered = Ordered::unanswered(false);
    let orders = ordered.orders();
    ordered.world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    assert_eq!(ordered.hand_on(&orders), 0);
    assert!(ordered.may_exist());
    assert_eq!(ordered.orders(), [ordered.stop()]);
}

#[test]
fn cancelled_while_worker_is_silent() {
    let mut ordered = Ordered::new();
    ordered.falls_silent();
    ordered.replies(StartReply::NoAnswer);
    ordered.world.sched.handle(Event::Cancelled(JobKey::of_number(1)));
    assert_eq!(ordered.orders(), [ordered.stop()]);
    ordered.answers(false);
    assert_eq!(ordered.orders(), [], "no start");
}

#[test]
fn repeated_on_draining_worker() {
    let mut ordered = Ordered::new();
    ordered.falls_silent();
    ordered.replies(StartReply::NoAnswer);
    ordered.world.sched.handle(Event::WorkerListed(WorkerInfo { draining: true, ..worker(0, 0) }));
    ordered.orders();
    ordered.answers(false);
    assert_eq!(ordered.orders(), [ordered.stop()]);
}

#[test]
fn run_kept_beyond_lease() {
    let mut ordered = Ordered::new();
    ordered.falls_silent();
    ordered.replies(StartReply::NoAnswer);
    ordered.world.at(LEASE_END_MS - 100);
    ordered.world.tick();
    assert!(ordered.may_exist());
    ordered.world.at(LEASE_END_MS + 100);
    ordered.world.tick();
    assert!(!ordered.may_exist());
}

/// Longest time from an accepted stop until the run is known to be over; a poll waits longer.
const SETTLED_AFTER: Duration = Duration::from_millis(30);

#[tokio::test(start_paused = true)]
async fn stop_settled_by_next_poll_only() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    store.accepts_stops();
    let mut relay = RelaySite::new(store.clone(), "10.0.0.1:80", None).await;
    let task = TaskId { index: 7, ..TASK };
    relay.order(WorkerOrder::Stop { task, attempt: 1 });
    let stopped =
        |ev: &Event| matches!(ev, Event::WorkerUpdate(_, _, WorkerUpdate::Stopped(..))).then_some(());
    relay.event(stopped).await;
    let stopped_at = relay.node.now();
    let over = |ev: &Event| match ev {
        Event::WorkerUpdate(_, _, WorkerUpdate::Reported(report)) => {
            report.missing.contains(&(task, 1)).then_some(())
        }
        _ => None,
    };
    relay.event(over).await;
    let settled_after = relay.node.now() - stopped_at;
    assert!(settled_after <= SETTLED_AFTER, "{settled_after:?}");
}
