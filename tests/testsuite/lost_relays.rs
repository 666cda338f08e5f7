//! Workers of a holder all of whose relays are lost.

use std::time::Duration;

use workswood_core::jobs::Event;
use workswood_core::jobs::relays::RelayCandidate;
use workswood_test_support::host_world::{HostWorld, worker};

/// Workers of the holder, more than it polls itself if there are relays.
const WORKERS: usize = 4;
/// The only entry that may be a relay.
const RELAY: &str = "entry-2";

/// A holder of many workers whose only relay can't be reached.
fn holder_without_relay() -> HostWorld {
    let mut world = HostWorld::new(WORKERS);
    world.sched.strength = 1;
    let relay =
        RelayCandidate { name: RELAY.to_string(), data_centre: "north".to_string(), holder_capacity: 100 };
    world.sched.set_relay_candidates(vec![relay]);
    world.at(100);
    world.tick();
    world.sched.assign_relays();
    lose_relay(&mut world);
    world
}

/// The relay can't be reached.
fn lose_relay(world: &mut HostWorld) {
    let (entry, lease_end) = (RELAY.to_string(), Duration::ZERO);
    world.sched.handle(Event::RelayDown { entry, lease_end, may_return: false });
    world.sched.assign_relays();
}

#[test]
fn holder_keeps_workers_of_lost_relay() {
    let mut world = holder_without_relay();
    let id = worker(0, 0).id;
    let mut tokens = Vec::new();
    for ms in (250..3000).step_by(150) {
        world.at(ms);
        world.tick();
        world.sched.assign_relays();
        (0..WORKERS).for_each(|n| world.report(n, 0, &[]));
        tokens.push(world.sched.token_of(&id));
    }
    assert_eq!(tokens.first(), tokens.last(), "the holder polls it on");
}

#[test]
fn silent_worker_without_relay_is_given_up() {
    let mut world = holder_without_relay();
    let id = worker(0, 0).id;
    let mut ends = Vec::new();
    for ms in (250..3000).step_by(150) {
        world.at(ms);
        world.tick();
        world.sched.assign_relays();
        let heard = Duration::from_millis(100);
        world.tells_silence(&id, Duration::from_millis(5000), heard);
        ends.push(world.sched.workers.get(&id).expect("it is known").lease_end);
    }
    assert_eq!(ends.first(), ends.last(), "nothing extends its lease");
}

#[test]
fn silent_worker_outlasts_no_relay() {
    let mut world = holder_without_relay();
    let id = worker(0, 0).id;
    let heard = Duration::from_millis(100);
    let lease_end = Duration::from_millis(5000);
    world.tells_silence(&id, lease_end, heard);
    let before = world.sched.workers.get(&id).expect("it is known").lease_end;
    for ms in (250..14_000).step_by(150) {
        world.at(ms);
        world.tick();
        world.sched.assign_relays();
        // The relay is tried again after each backoff.
        lose_relay(&mut world);
        (1..WORKERS).for_each(|n| world.report(n, 0, &[]));
        world.tells_silence(&id, lease_end, heard);
    }
    let after = world.sched.workers.get(&id).expect("it is known").lease_end;
    assert_eq!(before, after, "nothing extends its lease");
}

/// A worker has seen the token of its last relay, and refuses a lower one.
#[test]
fn token_of_relisted_worker_falls() {
    let mut world = HostWorld::new(WORKERS);
    let id = worker(0, 0).id;
    for ms in [100, 200] {
        world.at(ms);
        world.sched.assign_relays();
        (0..WORKERS).for_each(|n| world.report(n, 0, &[]));
        world.tick();
    }
    world.sched.handle(Event::RelayDown {
        entry: world.sched.holder.clone(),
        lease_end: Duration::ZERO,
        may_return: true,
    });
    world.sched.assign_relays();
    let before = world.sched.token_of(&id);
    world.sched.handle(Event::WorkerUnlisted(id.clone()));
    world.tells_silence(&id, Duration::from_millis(300), Duration::from_millis(200));
    world.at(1000);
    world.tick();
    assert_eq!(world.sched.token_of(&id), None, "it is forgotten");
    world.sched.handle(Event::WorkerListed(worker(0, 0)));
    world.sched.assign_relays();
    assert!(before.is_some() && world.sched.token_of(&id) > before, "{before:?}");
}
