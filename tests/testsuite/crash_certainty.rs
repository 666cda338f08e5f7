//! Whether a worker is known to have crashed under a run, or its run may have lapsed before.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::relay::assigned_worker::AssignedWorker;
use workswood::ops::jobs::relay::codec::{read_event, write_events};
use workswood::ops::jobs::relay::messages::WorkerEvent;
use workswood::ops::jobs::relay::{EventQueue, EventSink, Grant, RelayContext, poll};
use workswood_core::jobs::crash_certainty::{ClockReading, earliest_lapse};
use workswood_core::jobs::crash_history::{Certainty, CrashHistory};
use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{Action, Event, Host, Job, JobKey, StepSpec, TaskId, WorkerUpdate};
use workswood_test_support::host_world::{HostWorld, host, worker};
use workswood_test_support::job_node::settings;
use workswood_test_support::job_world::{SERVICE, job, step};
use workswood_test_support::turn_store::TurnStore;

/// Hosts of the world.
const HOSTS: usize = 4;
/// The task that is followed.
const TASK: TaskId = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A lasting task on workers that are lost.
struct Scene {
    world: HostWorld,
    /// Present life of the worker on each host.
    lives: Vec<usize>,
    /// Starts that the last tick ordered.
    starts: Vec<Action>,
}

impl Scene {
    fn new() -> Scene {
        let mut scene = Scene::without_task();
        let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
        scene.world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 200))));
        scene.tick();
        scene
    }

    fn without_task() -> Scene {
        let mut scene = Scene { world: HostWorld::new(HOSTS), lives: vec![0; HOSTS], starts: Vec::new() };
        scene.world.at(100);
        scene.world.list(scene.hosts());
        scene.world.at(200);
        scene
    }

    fn now(&self) -> Duration {
        self.world.sched.now
    }

    fn hosts(&self) -> Vec<Host> {
        self.lives.iter().enumerate().map(|(n, life)| host(n, SERVICE, Some(*life))).collect()
    }

    fn tick(&mut self) {
        self.starts = self.world.tick();
    }

    fn id(&self, n: usize) -> WorkerId {
        worker(n, self.lives[n]).id
    }

    /// Plays until a time; the workers on other hosts than `silent` answer.
    fn go_on(&mut self, until: Duration, silent: usize) {
        while self.now() < until {
            let next = until.min(self.now() + ms(500));
            self.world.at(next.as_millis() as u64);
            (0..HOSTS).filter(|n| *n != silent).for_each(|n| self.world.report(n, self.lives[n], &[]));
            self.tick();
        }
    }

    /// The worker takes the task that the last tick has started; returns its host.
    fn take(&mut self) -> usize {
        let starts = self.starts.clone();
        self.take_last_of(&starts)
    }

    /// Likewise, of all starts so far.
    fn take_latest(&mut self) -> usize {
        let starts = self.world.actions.clone();
        self.take_last_of(&starts)
    }

    fn take_last_of(&mut self, starts: &[Action]) -> usize {
        let start = starts.iter().rev().find_map(|a| match a {
            Action::Start { worker, task, attempt, .. } if *task == TASK => Some((worker.clone(), *attempt)),
            _ => None,
        });
        let (id, attempt) = start.expect("it is started");
        self.world.taken(&id, TASK, attempt);
        (0..HOSTS).find(|n| self.id(*n) == id).expect("a present life")
    }

    /// The worker on a host is found silent since its last answer, now.
    fn silence(&mut self, n: usize, heard: Duration) {
        let (id, lease_end) = (self.id(n), heard + ms(5000));
        self.world.tells(&id, WorkerUpdate::Unanswered { lease_end, heard });
    }

    /// The next life of a worker is listed and answers; the list of hosts doesn't tell yet.
    fn next_life(&mut self, n: usize) {
        self.lives[n] += 1;
        self.world.sched.handle(Event::WorkerListed(worker(n, self.lives[n])));
        self.world.report(n, self.lives[n], &[]);
    }

    /// The next life of a worker is up, and the list of hosts tells.
    fn reborn(&mut self, n: usize) {
        self.lives[n] += 1;
        self.world.list(self.hosts());
        self.world.sched.handle(Event::WorkerListed(worker(n, self.lives[n])));
        self.world.report(n, self.lives[n], &[]);
    }

    fn crashes(&self) -> &CrashHistory {
        &self.world.sched.jobs[&JobKey::of_number(1)].task(&TASK).expect("it is known").crashes
    }

    /// How certain the only crash on record is.
    fn certainty(&self) -> Certainty {
        let crashes = self.crashes();
        assert_eq!(crashes.count(), 1, "{crashes:?}");
        crashes.0.values().next().expect("a crash").certainty
    }
}

/// A task whose worker has fallen silent 100 ms after it took the start; with the host and the last answer.
fn silent_after_start() -> (Scene, usize, Duration) {
    let mut scene = Scene::new();
    let (n, heard) = (scene.take(), scene.now());
    scene.go_on(heard + ms(100), n);
    scene.silence(n, heard);
    (scene, n, heard)
}

#[test]
fn crash_within_lease_is_certain() {
    let (mut scene, n, heard) = silent_after_start();
    scene.go_on(heard + ms(1500), n);
    scene.reborn(n);
    assert_eq!(scene.certainty(), Certainty::Certain);
}

#[test]
fn lapse_then_reborn() {
    let (mut scene, mut n, mut heard) = silent_after_start();
    for lost in 1..=3 {
        scene.go_on(heard + ms(5600), n);
        scene.reborn(n);
        let crashes = scene.crashes();
        assert_eq!((crashes.count(), crashes.certain_count()), (lost, 0), "{crashes:?}");
        scene.go_on(scene.now() + ms(500), HOSTS);
        // Without a start it has been given up.
        if scene.world.sched.counters.tasks_given_up > 0 {
            break;
        }
        (n, heard) = (scene.take_latest(), scene.now());
        scene.go_on(heard + ms(100), n);
        scene.silence(n, heard);
    }
}

#[test]
fn gone_entry_proves_nothing() {
    let (mut scene, n, heard) = silent_after_start();
    scene.world.sched.handle(Event::WorkerUnlisted(scene.id(n)));
    scene.go_on(heard + ms(5600), n);
    assert_eq!(scene.certainty(), Certainty::Lapsed);
}

/// Its polls were answered, but extended no lease.
#[test]
fn stopped_extension_is_possible() {
    for confirmed in [None, Some(ms(4000))] {
        let mut scene = Scene::new();
        let n = scene.take();
        let id = scene.id(n);
        if let Some(until) = confirmed {
            scene.world.tells_only(&id, WorkerUpdate::LeaseConfirmed(until));
        }
        scene.go_on(ms(4500), HOSTS);
        let heard = scene.now();
        let unanswered = WorkerUpdate::Unanswered { lease_end: heard + ms(1000), heard };
        scene.world.tells_only(&id, unanswered);
        scene.world.at(4700);
        scene.reborn(n);
        assert_eq!(scene.certainty(), Certainty::Possible, "{confirmed:?}");
    }
}

/// An extension that was confirmed before another one that ends sooner.
#[test]
fn longest_lease_counts() {
    let (mut scene, n, _) = silent_after_start();
    let id = scene.id(n);
    scene.world.tells_only(&id, WorkerUpdate::LeaseConfirmed(ms(300)));
    scene.world.at(1500);
    scene.reborn(n);
    assert_eq!(scene.certainty(), Certainty::Certain);
}

/// Runs of a worker that has not answered this lease holder.
#[test]
fn unheard_life_is_possible() {
    let mut scene = Scene::without_task();
    let spec = Arc::new(job(vec![StepSpec { long_running: true, ..step(1, vec![]) }], 0));
    let mut before = Job::new(JobKey::of_number(1), spec.clone());
    before.open_round();
    let mut record = before.record();
    record.rounds[0][0][0].latest_attempt = 1;
    let unheard = worker(0, 7);
    record.rounds[0][0][0].runs.push((unheard.id.clone(), 1));
    scene.world.sched.restore_worker(unheard.id.clone(), unheard.record());
    scene.world.sched.restore_job(JobKey::of_number(1), Some(spec), Some(record));
    scene.world.at(900);
    scene.world.list(scene.hosts());
    assert_eq!(scene.certainty(), Certainty::Possible);
}

/// The worker has answered since the list was requested.
#[test]
fn older_list_proves_nothing() {
    let mut scene = Scene::new();
    let n = scene.take();
    let requested = scene.now() + ms(100);
    scene.go_on(ms(500), n);
    let heard = scene.now();
    scene.silence(n, heard);
    scene.world.at(700);
    scene.lives[n] += 1;
    scene.world.sched.handle(Event::HostsListed(scene.hosts(), requested));
    assert_eq!(scene.certainty(), Certainty::Lapsed);
}

/// Another life had answered on the host in time, but the end of the earlier one is found after the lease.
#[test]
fn late_found_crash_is_certain() {
    let (mut scene, n, heard) = silent_after_start();
    scene.world.sched.handle(Event::WorkerUnlisted(scene.id(n)));
    scene.go_on(heard + ms(1500), n);
    scene.next_life(n);
    scene.go_on(heard + ms(5600), HOSTS);
    assert_eq!(scene.certainty(), Certainty::Certain);
}

/// Another life answers on the host, but only after the lease.
#[test]
fn late_next_life_is_possible() {
    let (mut scene, n, heard) = silent_after_start();
    scene.go_on(heard + ms(4500), n);
    scene.next_life(n);
    scene.world.sched.handle(Event::WorkerUnlisted(worker(n, 0).id));
    scene.go_on(heard + ms(5600), HOSTS);
    assert_eq!(scene.certainty(), Certainty::Possible);
}

/// The entry of an earlier life of the host is written late.
#[test]
fn late_entry_proves_nothing() {
    let (mut scene, n, heard) = silent_after_start();
    scene.world.sched.handle(Event::WorkerListed(worker(n, 9)));
    scene.world.sched.handle(Event::WorkerUnlisted(scene.id(n)));
    scene.go_on(heard + ms(5600), n);
    assert_eq!(scene.certainty(), Certainty::Lapsed);
}

/// Workers that don't name their host are not lives of one host.
#[test]
fn unnamed_host_proves_nothing() {
    let mut scene = Scene::without_task();
    for n in 0..HOSTS {
        scene.world.sched.handle(Event::WorkerListed(unnamed(n)));
    }
    let lasting = StepSpec { long_running: true, ..step(1, vec![]) };
    scene.world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 200))));
    scene.tick();
    let (n, heard) = (scene.take(), scene.now());
    scene.go_on(heard + ms(100), n);
    scene.silence(n, heard);
    scene.world.sched.handle(Event::WorkerUnlisted(scene.id(n)));
    let other = workswood_core::jobs::WorkerInfo { id: "elsewhere".into(), ..unnamed(9) };
    scene.world.sched.handle(Event::WorkerListed(other.clone()));
    scene.world.answers(&other.id, workswood_core::jobs::Listing::default());
    scene.go_on(heard + ms(5600), n);
    assert_eq!(scene.certainty(), Certainty::Lapsed);
}

fn unnamed(n: usize) -> workswood_core::jobs::WorkerInfo {
    workswood_core::jobs::WorkerInfo { host: String::new(), ..worker(n, 0) }
}

/// The worker has read its clock at any time since the call was sent.
#[test]
fn reading_may_be_old() {
    let reading = ClockReading { sent: ms(1000), received: ms(1900) };
    assert_eq!(earliest_lapse(reading, ms(1900), ms(5000), 0.0), ms(6000));
    assert_eq!(earliest_lapse(reading, ms(2400), ms(5000), 0.0), ms(6500));
    assert_eq!(earliest_lapse(reading, ms(1900), ms(5000), 0.02), ms(5900));
}

/// Waits until a poll has no answer; returns the lease that was confirmed just before.
async fn confirmed_before_silence(events: &mut mpsc::UnboundedReceiver<Event>) -> Option<Duration> {
    let mut confirmed = None;
    loop {
        match events.recv().await.expect("the relay runs") {
            Event::WorkerUpdate(_, _, WorkerUpdate::Unanswered { .. }) => return confirmed,
            Event::WorkerUpdate(_, _, WorkerUpdate::LeaseConfirmed(until)) => confirmed = Some(until),
            _ => confirmed = None,
        }
    }
}

/// A relay that waits for an order extends no lease, though its polls are answered.
#[tokio::test(start_paused = true)]
async fn unextended_lease_is_not_confirmed() {
    let mut settings = settings("entry-1");
    settings.policy.calls.resend_probe = false;
    let node = Arc::new(Node::new(settings, Arc::new(TurnStore::new(ms(4), &[]))));
    let (tx, mut events) = mpsc::unbounded_channel();
    let grant = Grant::until(Duration::from_secs(600));
    let cx = RelayContext::new(node.clone(), grant, EventSink::Local(tx));
    let orders = ExtensionOrders::AfterSilence;
    let assigned = Arc::new(AssignedWorker::new(1, worker(0, 0).worker_address(), 1).with_orders(orders));
    tokio::spawn(poll::run(Arc::new(cx), assigned.clone()));
    let first = confirmed_before_silence(&mut events).await.expect("a lease was answered");
    assert!(first > node.now() && first < node.now() + ms(4900), "{first:?} at {:?}", node.now());
    let second = confirmed_before_silence(&mut events).await;
    assert_eq!(second, Some(first), "no order came");
    assigned.allow_extensions(2);
    let third = confirmed_before_silence(&mut events).await.expect("a lease was answered");
    assert!(third > first, "{third:?} after {first:?}");
    assigned.unassign();
}

/// What a grant tells of the holder's clock is as old as its way to the relay.
#[test]
fn delayed_grant_shortens_lease() {
    let events = EventQueue::default();
    assert_eq!(events.on_holder_clock(ms(9000)), None);
    events.note_holder_time(ms(50_000), ms(4000));
    assert_eq!(events.on_holder_clock(ms(9000)), Some(ms(55_000)));
    events.note_holder_time(ms(50_200), ms(4700));
    assert_eq!(events.on_holder_clock(ms(9000)), Some(ms(54_500)));
}

#[test]
fn confirmed_lease_is_rounded_down() {
    let told = (7, WorkerEvent::LeaseConfirmed(Duration::from_micros(1_234_999)));
    let read = read_event(write_events(vec![told]).remove(0));
    assert_eq!(read, Some((7, WorkerEvent::LeaseConfirmed(ms(1234)))));
}
