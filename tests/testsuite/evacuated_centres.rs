//! Data centres that operators evacuate: nothing begins there until they are taken back.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use workswood::ops::jobs::Node;
use workswood::ops::jobs::operator_state::Evacuations;
use workswood::ops::jobs::relay::messages::{StartTask, WorkerOrder};
use workswood::ops::jobs::relay::{EventSink, Grant, Relay};
use workswood_core::jobs::lease_bounds::ExtensionOrders;
use workswood_core::jobs::{
    Action, Event, Host, JobKey, Listing, StartReply, TaskId, WorkerInfo, WorkerUpdate,
};
use workswood_test_support::host_world::{HostWorld, SPARE, host, listed, moves, worker};
use workswood_test_support::job_node::settings;
use workswood_test_support::job_world::{SERVICE, job, step};
use workswood_test_support::turn_store::TurnStore;

const SOUTH: &str = "south";

fn evacuate(world: &mut HostWorld, data_centres: &[&str]) {
    let names: BTreeSet<String> = data_centres.iter().map(|n| n.to_string()).collect();
    world.sched.handle(Event::Evacuated(names));
}

/// A worker in the other data centre.
fn southern(n: usize) -> WorkerInfo {
    WorkerInfo { data_centre: SOUTH.to_string(), ..worker(n, 0) }
}

fn southern_host(n: usize, pool: &str, life: Option<usize>) -> Host {
    Host { data_centre: SOUTH.to_string(), ..host(n, pool, life) }
}

/// Two workers of four cores each, the second one in the other data centre.
fn two_centres() -> HostWorld {
    let mut world = HostWorld::new(1);
    world.sched.handle(Event::WorkerListed(southern(1)));
    world.report(1, 0, &[]);
    world
}

fn hand_in(world: &mut HostWorld, key: u64, tasks: u32) {
    let spec = job(vec![step(tasks, vec![])], world.sched.wall);
    world.sched.handle(Event::Submitted(key, Arc::new(spec)));
}

/// Workers on which tasks begin.
fn started_on(actions: &[Action]) -> Vec<&str> {
    let mut on = Vec::new();
    for a in actions {
        if let Action::Start { worker, .. } = a {
            on.push(worker.as_str());
        }
    }
    on
}

#[test]
fn nothing_begins_there() {
    let mut world = two_centres();
    evacuate(&mut world, &[SOUTH]);
    hand_in(&mut world, 1, 8);
    let starts = world.tick();
    assert_eq!(started_on(&starts), ["w-0-0"; 4], "the others wait");
}

#[test]
fn back_in_use() {
    let mut world = two_centres();
    evacuate(&mut world, &[SOUTH]);
    hand_in(&mut world, 1, 8);
    world.tick();
    evacuate(&mut world, &[]);
    let starts = world.sched.take_batch().actions;
    assert_eq!(started_on(&starts), ["w-1-0"; 4], "at once, without a tick");
}

#[test]
fn new_worker_there() {
    let mut world = HostWorld::new(0);
    evacuate(&mut world, &[SOUTH]);
    world.sched.handle(Event::WorkerListed(southern(1)));
    world.report(1, 0, &[]);
    hand_in(&mut world, 1, 2);
    assert_eq!(started_on(&world.tick()), [""; 0]);
}

#[test]
fn both_centres() {
    let mut world = two_centres();
    evacuate(&mut world, &[SOUTH, "north"]);
    hand_in(&mut world, 1, 2);
    assert_eq!(started_on(&world.tick()), [""; 0]);
    evacuate(&mut world, &[SOUTH]);
    assert_eq!(started_on(&world.tick()), ["w-0-0"; 2]);
}

#[test]
fn work_there_goes_on() {
    let mut world = two_centres();
    let mut lasting = step(2, vec![]);
    (lasting.long_running, lasting.max_unavailable) = (true, 1);
    lasting.max_per_worker = 1;
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.tick();
    assert_eq!(starts.len(), 2);
    for a in &starts {
        let (Action::Start { worker, task, attempt, .. }, Some(run)) = (a, listed(a)) else { continue };
        world.taken(worker, *task, *attempt);
        let listing = Listing { running: vec![run], ..Listing::default() };
        world.answers(worker, listing);
    }
    evacuate(&mut world, &[SOUTH]);
    for t in 1..10 {
        world.at(t * 150);
        let told = world.tick();
        assert!(!told.iter().any(|a| matches!(a, Action::Stop(..))), "{told:?}");
    }
}

/// The room that is left is too small: a host that is off comes, of the data centre that is open.
#[test]
fn pool_is_filled_elsewhere() {
    let mut world = two_centres();
    world.list(vec![
        host(0, SERVICE, Some(0)),
        southern_host(1, SERVICE, Some(0)),
        southern_host(6, SPARE, None),
        host(7, SPARE, None),
    ]);
    hand_in(&mut world, 1, 8);
    world.at(150);
    evacuate(&mut world, &[SOUTH]);
    world.tick();
    world.at(300);
    world.tick();
    assert_eq!(moves(&world.actions), [("m-7".to_string(), SERVICE.to_string())]);
}

/// What runs on an evacuated host asks for no other one.
#[test]
fn work_there_is_no_need() {
    let mut world = two_centres();
    hand_in(&mut world, 1, 8);
    let starts = world.tick();
    assert_eq!(starts.len(), 8);
    let before = world.sched.room_wanted(&SERVICE.to_string()).cpu_millis;
    evacuate(&mut world, &[SOUTH]);
    let after = world.sched.room_wanted(&SERVICE.to_string()).cpu_millis;
    assert_eq!((before, after), (8000, 4000));
}

/// A start that the lease holder decided before it knew: the relay that knows does not send it.
#[tokio::test(start_paused = true)]
async fn relay_holds_a_start_back() {
    let store = Arc::new(TurnStore::new(Duration::from_millis(4), &[]));
    let node = Arc::new(Node::new(settings("entry-1"), store.clone()));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let grant = Grant::until(node.now() + Duration::from_secs(60));
    let mut relay = Relay::new(node.clone(), grant, EventSink::Local(tx));
    let (worker, extensions) = (southern(1).worker_address(), ExtensionOrders::NotNeeded);
    relay.execute(1, WorkerOrder::Assign { worker, token: 7, extensions });
    tokio::time::sleep(Duration::from_secs(1)).await;
    let mut start = |attempt| {
        let task = TaskId { job: JobKey::of_number(1), round: 0, step: 0, index: 0 };
        let (text, checkpoint, ticket) = ("text".into(), String::new(), None);
        relay.execute(1, WorkerOrder::Start(StartTask { task, attempt, spec: text, checkpoint, ticket }));
    };
    let evacuated = |names: &[&str]| {
        let data_centres = names.iter().map(|n| n.to_string()).collect();
        node.operator_state.set_evacuations(Evacuations { data_centres, read_at: node.now() });
    };
    evacuated(&[SOUTH]);
    start(1);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(store.starts(), 0);
    let mut told = Vec::new();
    while let Ok(ev) = rx.try_recv() {
        told.push(ev);
    }
    let not_sent = |ev: &Event| {
        matches!(ev, Event::WorkerUpdate(_, 7, WorkerUpdate::Started(_, 1, StartReply::NotSent)))
    };
    assert!(told.iter().any(not_sent), "it is told that nothing was sent");
    evacuated(&["north"]);
    start(2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(store.starts() > 0, "another data centre is evacuated");
}
