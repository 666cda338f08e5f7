//! Which hosts of a wave are drained first while budgets limit evictions.

use std::sync::Arc;

use workswood_core::jobs::job::WorkerId;
use workswood_core::jobs::{Action, Event};
use workswood_test_support::host_world::{HostWorld, host, listed, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Hosts of the world.
const HOSTS: usize = 5;

/// Hosts with one long-running task each, of which `max_unavailable` may be away, except for an idle
/// host, whose name is returned.
fn world_with_long_running_tasks(max_unavailable: u32) -> (HostWorld, String) {
    let mut world = HostWorld::new(HOSTS);
    (world.sched.policy.waves.planned_time_share, world.sched.policy.waves.planned_time_share_when_short) =
        (0.1, 0.1);
    world.list((0..HOSTS).map(|n| host(n, SERVICE, Some(0))).collect());
    let mut lasting = step(HOSTS as u32 - 1, vec![]);
    (lasting.long_running, lasting.max_per_worker, lasting.max_unavailable) = (true, 1, max_unavailable);
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    for start in &starts {
        if let Action::Start { worker, task, attempt, .. } = start {
            world.taken(worker, *task, *attempt);
        }
    }
    let mut idle = String::new();
    for n in 0..HOSTS {
        let here = |a: &&Action| matches!(a, Action::Start { worker: w, .. } if *w == worker(n, 0).id);
        let here: Vec<Action> = starts.iter().filter(here).cloned().collect();
        if here.is_empty() {
            idle = worker(n, 0).host;
        }
        world.report(n, 0, &here);
    }
    (world, idle)
}

/// How many hosts a wave over all drains or orders down at once, and whether the idle one is among
/// them.
fn begun(max_down: usize) -> (usize, bool) {
    begun_within(1, max_down)
}

/// As [`begun`], while `max_unavailable` of the tasks may be away.
fn begun_within(max_unavailable: u32, max_down: usize) -> (usize, bool) {
    let (mut world, idle) = world_with_long_running_tasks(max_unavailable);
    let hosts: Vec<usize> = (0..HOSTS).collect();
    world.sched.handle(Event::WaveRequested(wave(&hosts, max_down), None));
    world.at(250);
    world.tick();
    let record = &world.sched.waves[&1].record;
    let begun: Vec<&String> = record.draining.iter().chain(record.ordered.keys()).collect();
    (begun.len(), begun.contains(&&idle))
}

#[test]
fn only_as_many_as_budgets_allow() {
    assert_eq!(begun(HOSTS), (2, true), "the idle host, and one of those whose task may be away");
}

#[test]
fn long_running_tasks_go_first() {
    assert_eq!(begun(1), (1, false), "the idle one can be maintained at any time");
}

#[test]
fn slot_kept_for_hosts_without_long_running_tasks() {
    assert_eq!(begun_within(4, 2), (2, true), "one with a long-running task and the idle one");
    assert_eq!(begun_within(4, 3), (3, true));
}

/// Three hosts of a wave, of which one has two long-running tasks that can run nowhere else.
#[test]
fn host_without_progress_is_put_back() {
    let mut world = HostWorld::new(2);
    let mut only = worker(2, 0);
    only.labels = vec!["only".to_string()];
    world.sched.handle(Event::WorkerListed(only.clone()));
    let list = || (0..3).map(|n| host(n, SERVICE, Some(0))).collect::<Vec<_>>();
    world.report(2, 0, &[]);
    let mut lasting = step(2, vec![]);
    (lasting.long_running, lasting.max_unavailable, lasting.label) = (true, 1, Some("only".to_string()));
    world.at(100);
    world.list(list());
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    for start in &starts {
        if let Action::Start { worker, task, attempt, .. } = start {
            world.taken(worker, *task, *attempt);
        }
    }
    world.report(2, 0, &starts);
    world.sched.handle(Event::WaveRequested(wave(&[0, 1, 2], 1), None));
    let (mut stopped, mut returned) = (Vec::new(), Vec::new());
    let mut drained_first = false;
    for t in 1..80 {
        world.at(100 + t * 150);
        world.list(list());
        (0..2).for_each(|n| world.report(n, 0, &[]));
        let mut listing = world.listing(&only.id, &starts, &stopped);
        listing.running.extend(returned.iter().filter_map(listed));
        world.answers(&only.id, listing);
        let actions = world.tick();
        drained_first |= world.sched.waves[&1].record.draining.contains("m-2");
        for action in actions {
            match action {
                Action::Stop(_, task, _) => stopped.push(task),
                Action::Start { ref worker, task, attempt, .. } => {
                    world.taken(worker, task, attempt);
                    returned.push(action);
                }
                _ => {}
            }
        }
    }
    assert!(drained_first, "the host with long-running tasks goes first");
    assert_eq!(stopped.len(), 1, "one of two may be away");
    assert!(!upkeeps(&world.actions).is_empty(), "an idle host goes in its place");
    assert_eq!(returned.len(), 1, "the host may run its task again");
}

/// A task that is moved off goes where it can stay.
#[test]
fn evicted_task_avoids_hosts_of_the_wave() {
    let mut world = HostWorld::new(3);
    world.list((0..3).map(|n| host(n, SERVICE, Some(0))).collect());
    world.sched.handle(Event::WaveRequested(wave(&[0, 1], 1), None));
    let mut lasting = step(1, vec![]);
    (lasting.long_running, lasting.max_unavailable) = (true, 1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    let on: Vec<_> = starts.iter().filter_map(started_on).collect();
    assert_eq!(on, [worker(2, 0).id]);
}

/// A wave over most hosts does not gather the tasks of a step on the few others.
#[test]
fn tasks_spread_over_hosts_of_the_wave() {
    let mut world = HostWorld::new(4);
    world.list((0..4).map(|n| host(n, SERVICE, Some(0))).collect());
    world.sched.handle(Event::WaveRequested(wave(&[0, 1, 2], 1), None));
    let mut lasting = step(4, vec![]);
    (lasting.long_running, lasting.max_unavailable) = (true, 1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    let on: Vec<_> = starts.iter().filter_map(started_on).collect();
    let tasks_on = |n: usize| on.iter().filter(|id| **id == worker(n, 0).id).count();
    let tasks: Vec<usize> = (0..4).map(tasks_on).collect();
    assert_eq!(tasks.iter().sum::<usize>(), 4);
    assert!(tasks.iter().all(|n| *n <= 2), "one crash would take {tasks:?}");
    assert_eq!(tasks[3], 2, "the host that the wave spares gets most: {tasks:?}");
}

/// The wave is complete without a host that was removed, and no more lists are needed for it.
#[test]
fn removed_host_is_not_due() {
    let mut world = HostWorld::new(2);
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for t in 1..60 {
        world.at(t * 100);
        world.list(vec![host(0, SERVICE, Some(0))]);
    }
    assert!(world.sched.waves[&1].is_complete());
    (0..2).for_each(|n| world.report(n, 0, &[]));
    let mut lasting = step(2, vec![]);
    (lasting.long_running, lasting.max_unavailable) = (true, 1);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let mut on: Vec<_> = world.sched.take_batch().actions.iter().filter_map(started_on).collect();
    on.sort();
    assert_eq!(on, [worker(0, 0).id, worker(1, 0).id], "m-1 is back, and no wave will drain it");
}

fn started_on(action: &Action) -> Option<WorkerId> {
    match action {
        Action::Start { worker, .. } => Some(worker.clone()),
        _ => None,
    }
}
