//! What is known of the work that came in lately.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::demand::Demand;
use workswood_core::jobs::{Event, JobSpec};
use workswood_test_support::job_world::{SERVICE, job, step};
use workswood_test_support::machine_world::{MachineWorld, machine, moves};

const WINDOW: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn rate_of_a_window() {
    let mut demand = Demand::default();
    demand.add(ms(200), 1000, WINDOW);
    demand.add(ms(900), 3000, WINDOW);
    demand.add(ms(2100), 500, WINDOW);
    assert_eq!(demand.rate(ms(1000), Duration::ZERO, WINDOW), 4.0);
    assert_eq!(demand.rate(ms(2100), Duration::ZERO, WINDOW), 0.5, "a second after the others");
    assert_eq!(demand.rate(ms(2000), WINDOW, WINDOW), 4.0, "the window before the last");
    assert_eq!(demand.highest(), 4.0);
}

#[test]
fn restored_like_heard() {
    let mut heard = Demand::default();
    [(100, 700), (600, 900), (1400, 200)].iter().for_each(|(at, work)| heard.add(ms(*at), *work, WINDOW));
    let mut restored = Demand::default();
    let now = ms(50);
    // The process began later: all of it lies before its clock's beginning.
    [(1900, 200), (3200, 700), (2700, 900)]
        .iter()
        .for_each(|(ago, work)| restored.restore(now, ms(*ago), *work));
    restored.finish_restore(now, WINDOW);
    assert_eq!(restored.highest(), heard.highest());
    assert_eq!(restored.rate(now, ms(1900), WINDOW), heard.rate(ms(1400), Duration::ZERO, WINDOW));
}

/// A job of one step of so many tasks, each of half a second on a core.
fn work(tasks: u32, accepted: u64) -> Arc<JobSpec> {
    Arc::new(job(vec![step(tasks, vec![])], accepted))
}

/// Machines that move to a pool of one machine within the first second of a
/// turn of demand, when the service has had a turn before or not.
fn moved_in_first_second(turn_before: bool) -> usize {
    let mut world = MachineWorld::new(1);
    world.sched.policy.need.turn_share = 0.8;
    world.sched.policy.need.turn_least = 0.01;
    world.sched.wall = 60_000;
    let mut machines = vec![machine(0, SERVICE, Some(0))];
    machines.extend((1..30).map(|n| machine(n, "spare", None)));
    if turn_before {
        world.sched.restore(7, work(80, 20_000), None);
        world.sched.restore_demand();
        world.sched.handle(Event::Cancelled(7));
        world.sched.take_batch();
    }
    world.sched.now = Duration::from_secs(1);
    world.sched.handle(Event::Machines(machines, world.sched.now));
    world.sched.handle(Event::Submitted(1, work(16, 60_000)));
    world.tick();
    moves(&world.actions).len()
}

#[test]
fn turn_known_from_records() {
    let (without, with) = (moved_in_first_second(false), moved_in_first_second(true));
    assert!(with > without, "{with} machines with a turn on record, {without} without");
}

#[test]
fn first_turn_by_declared_pool() {
    let moved = |turn_first: f64| {
        let mut world = MachineWorld::new(1);
        world.sched.policy.need.turn_first = turn_first;
        world.sched.policy.need.turn_least = 0.01;
        world.sched.wall = 60_000;
        let mut machines: Vec<_> = (0..4).map(|n| machine(n, SERVICE, Some(0))).collect();
        machines.extend((4..40).map(|n| machine(n, "spare", None)));
        world.list(machines);
        world.at(1000);
        world.sched.wall = 60_000;
        world.sched.handle(Event::Submitted(1, work(16, 60_000)));
        world.tick();
        moves(&world.actions).len()
    };
    assert!(moved(3.0) > moved(0.0), "{} and {} machines", moved(3.0), moved(0.0));
}
