//! What is known of the work that came in lately.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::demand_history::DemandHistory;
use workswood_core::jobs::{Event, HostReply, JobKey, JobSpec};
use workswood_test_support::host_world::{HostWorld, host, moves, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

const WINDOW: Duration = Duration::from_secs(1);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn rate_of_a_window() {
    let mut demand = DemandHistory::default();
    demand.add(ms(200), 1000, WINDOW);
    demand.add(ms(900), 3000, WINDOW);
    demand.add(ms(2100), 500, WINDOW);
    assert_eq!(demand.rate(ms(1000), Duration::ZERO, WINDOW), 4.0);
    assert_eq!(demand.rate(ms(2100), Duration::ZERO, WINDOW), 0.5, "a second after the others");
    assert_eq!(demand.rate(ms(2000), WINDOW, WINDOW), 4.0, "the window before the last");
    assert_eq!(demand.peak_rate(), 4.0);
}

#[test]
fn restored_like_heard() {
    let mut heard = DemandHistory::default();
    [(100, 700), (600, 900), (1400, 200)].iter().for_each(|(at, work)| heard.add(ms(*at), *work, WINDOW));
    let mut restored = DemandHistory::default();
    let now = ms(50);
    // The process began later: all of it lies before its clock's beginning.
    [(1900, 200), (3200, 700), (2700, 900)]
        .iter()
        .for_each(|(ago, work)| restored.restore(now, ms(*ago), *work));
    restored.finish_restore(now, WINDOW);
    assert_eq!(restored.peak_rate(), heard.peak_rate());
    assert_eq!(restored.rate(now, ms(1900), WINDOW), heard.rate(ms(1400), Duration::ZERO, WINDOW));
}

/// A job of one step of so many tasks, each of half a second on a core.
fn work(tasks: u32, accepted: u64) -> Arc<JobSpec> {
    Arc::new(job(vec![step(tasks, vec![])], accepted))
}

/// Hosts that move to a pool of one host within the first second of a
/// turn of demand, when the service has had a turn before or not.
fn moved_in_first_second(turn_before: bool) -> usize {
    let mut world = HostWorld::new(1);
    world.sched.policy.need.surge_peak_share = 0.8;
    world.sched.policy.need.surge_min_share = 0.01;
    world.sched.wall = 60_000;
    let mut hosts = vec![host(0, SERVICE, Some(0))];
    hosts.extend((1..30).map(|n| host(n, "spare", None)));
    if turn_before {
        world.sched.restore_job(JobKey::of_number(7), Some(work(80, 20_000)), None);
        world.sched.restore_demand();
        world.sched.handle(Event::Cancelled(JobKey::of_number(7)));
        world.sched.take_batch();
    }
    world.sched.now = Duration::from_secs(1);
    world.sched.handle(Event::HostsListed(hosts, world.sched.now));
    hand_in(&mut world, 4, 4);
    world.tick();
    moves(&world.actions).len()
}

/// Hands in so many jobs with so many tasks each.
fn hand_in(world: &mut HostWorld, jobs: u64, tasks: u32) {
    for n in 0..jobs {
        world.sched.handle(Event::Submitted(100 + n, work(tasks, 60_000)));
    }
}

#[test]
fn turn_known_from_records() {
    let (without, with) = (moved_in_first_second(false), moved_in_first_second(true));
    assert!(with > without, "{with} hosts with a turn on record, {without} without");
}

/// Hosts that move to a pool that operators gave four when its first work
/// comes in, of 16 tasks in all.
fn moved_at_first(turn_first: f64, jobs: u64) -> (usize, HostWorld) {
    let mut world = HostWorld::new(1);
    world.sched.policy.need.new_surge_pool_factor = turn_first;
    world.sched.policy.need.surge_min_share = 0.01;
    world.sched.wall = 60_000;
    let mut hosts: Vec<_> = (0..4).map(|n| host(n, SERVICE, Some(0))).collect();
    hosts.extend((4..40).map(|n| host(n, "spare", None)));
    world.list(hosts);
    world.at(1000);
    world.sched.wall = 60_000;
    hand_in(&mut world, jobs, 16 / jobs as u32);
    world.tick();
    (moves(&world.actions).len(), world)
}

#[test]
fn first_turn_by_declared_pool() {
    let (with, without) = (moved_at_first(3.0, 4).0, moved_at_first(0.0, 4).0);
    assert!(with > without, "{with} and {without} hosts");
}

#[test]
fn one_large_job_is_no_turn() {
    let (several, one) = (moved_at_first(3.0, 4).0, moved_at_first(3.0, 1).0);
    assert!(one < several, "{one} and {several} hosts");
}

#[test]
fn hosts_of_a_turn_are_kept() {
    let (moved, mut world) = moved_at_first(3.0, 4);
    let sent: Vec<String> = moves(&world.actions).into_iter().map(|(m, _)| m).collect();
    for m in &sent {
        world.sched.handle(Event::HostOrderAnswered(m.clone(), HostReply::Done));
    }
    // They have come; the first jobs are done, and the next ones on their way.
    let mut hosts: Vec<_> = (0..4).map(|n| host(n, SERVICE, Some(0))).collect();
    for n in 4..40 {
        let came = sent.contains(&format!("m-{n}"));
        hosts.push(if came { host(n, SERVICE, Some(0)) } else { host(n, "spare", None) });
        if came {
            world.sched.handle(Event::WorkerListed(worker(n, 0)));
            world.report(n, 0, &[]);
        }
    }
    (0..4).for_each(|n| world.sched.handle(Event::Cancelled(JobKey::of_number(100 + n))));
    world.actions.clear();
    for t in 0..3 {
        world.at(2400 + t * 150);
        world.list(hosts.clone());
        world.tick();
    }
    let sent_off = moves(&world.actions).len();
    assert!(sent_off * 2 < moved, "{sent_off} of {moved} hosts sent off again as soon as they have come");
}

/// Hosts that move to a pool that operators gave four at its first turn, after
/// one small job 40 s before.
fn moved_after_little(turn_any: bool) -> usize {
    let mut world = HostWorld::new(1);
    world.sched.policy.need.surge_from_other_services = turn_any;
    world.sched.policy.need.surge_min_share = 0.01;
    world.sched.policy.need.new_surge_pool_factor = 3.0;
    let mut hosts: Vec<_> = (0..4).map(|n| host(n, SERVICE, Some(0))).collect();
    hosts.extend((4..40).map(|n| host(n, "spare", None)));
    world.list(hosts);
    world.at(1000);
    world.sched.wall = 60_000;
    world.sched.restore_job(JobKey::of_number(7), Some(work(1, 20_000)), None);
    world.sched.restore_demand();
    world.sched.handle(Event::Cancelled(JobKey::of_number(7)));
    hand_in(&mut world, 4, 4);
    world.tick();
    moves(&world.actions).len()
}

#[test]
fn little_work_tells_no_turn() {
    let (with, without) = (moved_after_little(true), moved_after_little(false));
    assert!(with > without, "{with} and {without} hosts");
}
