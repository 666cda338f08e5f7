//! A maintenance wave goes on after a change of lease holder.

use std::sync::Arc;

use workswood_core::jobs::{Action, Event, HostReply, Record, WaveRecord};
use workswood_test_support::host_world::{HostWorld, host, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

/// Number of hosts of the world, all of them part of the wave.
const HOSTS: usize = 8;

/// A holder whose hosts are all busy and whose wave is known since `now_ms`.
fn busy_world(now_ms: u64, rec: Option<WaveRecord>) -> HostWorld {
    busy_world_for(now_ms, 150, rec)
}

/// As [`busy_world`], `known_ms` after the holder learnt of the wave.
fn busy_world_for(now_ms: u64, known_ms: u64, rec: Option<WaveRecord>) -> HostWorld {
    let mut world = HostWorld::new(HOSTS);
    (world.sched.policy.waves.planned_time_share, world.sched.policy.waves.planned_time_share_when_short) =
        (1.0, 1.0);
    world.at(now_ms);
    (0..HOSTS).for_each(|n| world.report(n, 0, &[]));
    world.list((0..HOSTS).map(|n| host(n, SERVICE, Some(0))).collect());
    let filling = (0..HOSTS).map(|_| step(4, vec![])).collect();
    world.sched.handle(Event::Submitted(1, Arc::new(job(filling, 100))));
    let starts = world.sched.take_batch().actions;
    for start in &starts {
        if let Action::Start { worker, task, attempt, .. } = start {
            world.taken(worker, *task, *attempt);
        }
    }
    let hosts: Vec<usize> = (0..HOSTS).collect();
    world.sched.handle(Event::WaveRequested(wave(&hosts, HOSTS), rec));
    world.at(now_ms + known_ms);
    world.tick();
    world
}

/// Number of hosts that the wave drains.
fn drained(world: &HostWorld) -> usize {
    world.sched.waves[&1].record.draining.len()
}

/// The record of the wave in a batch.
fn wave_record(records: Vec<Record>) -> Option<WaveRecord> {
    records.into_iter().find_map(|rec| match rec {
        Record::Wave(1, progress) => Some(progress),
        _ => None,
    })
}

fn requested_at(ms: u64) -> Option<WaveRecord> {
    Some(WaveRecord { requested_at_ms: Some(ms), ..WaveRecord::default() })
}

#[test]
fn plan_counts_from_request() {
    // The wave has 20 s; a host is begun 4 s before its share of them.
    assert_eq!(drained(&busy_world(10_000, None)), 2, "a new wave");
    assert_eq!(drained(&busy_world(10_000, requested_at(1_000))), 6, "13.15 s of 20 s");
}

#[test]
fn clock_set_back() {
    let mut world = busy_world(10_000, requested_at(3_600_000));
    assert_eq!(drained(&world), 2, "as far as a new wave");
    world.at(19_150);
    world.tick();
    let record = &world.sched.waves[&1].record;
    assert_eq!(record.draining.len() + record.ordered.len(), 6, "the holder's own clock counts");
    // 7 s since this holder knows of it, and 4 s ahead: 11 s of 20 s.
    assert_eq!(
        drained(&busy_world_for(10_000, 7_000, requested_at(3_600_000))),
        5,
        "the holder's own clock counts"
    );
}

#[test]
fn request_time_on_record() {
    let mut world = HostWorld::new(1);
    world.at(500);
    world.list(vec![host(0, SERVICE, Some(0))]);
    world.sched.handle(Event::WaveRequested(wave(&[0], 1), None));
    let stored = wave_record(world.sched.take_batch().records).expect("stored before anything is drained");
    assert_eq!(stored.requested_at_ms, Some(500));
    let mut next = HostWorld::new(1);
    next.at(2_000);
    next.sched.handle(Event::WaveRequested(wave(&[0], 1), Some(stored)));
    let stored = wave_record(next.sched.take_batch().records).expect("a record");
    assert_eq!(stored.requested_at_ms, Some(500), "a third holder counts from the request, too");
}

#[test]
fn drain_on_record() {
    let mut world = busy_world(500, None);
    // 1.2 s since the wave is known, and 4 s ahead: 5.2 s of 20 s.
    world.at(1_700);
    world.sched.handle(Event::Tick);
    let stored = wave_record(world.sched.take_batch().records).expect("a record");
    assert_eq!(stored.draining.len(), 3);
    assert_eq!(stored.draining, world.sched.waves[&1].record.draining, "stored as soon as it is drained");
}

#[test]
fn drained_host_gets_no_work_from_successor() {
    let mut world = busy_world(500, None);
    world.sched.handle(Event::Tick);
    let draining = world.sched.waves[&1].record.draining.clone();
    assert!(!draining.is_empty());
    let rec = world.sched.waves[&1].record.clone();
    let mut next = HostWorld::new(HOSTS);
    next.sched.handle(Event::WaveRequested(wave(&[0, 1, 2, 3, 4, 5, 6, 7], HOSTS), Some(rec)));
    // No list of hosts has been received yet.
    next.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(4 * HOSTS as u32, vec![])], 100))));
    let starts = next.sched.take_batch().actions;
    let ids: Vec<_> = (0..HOSTS).filter(|n| draining.contains(&format!("m-{n}"))).collect();
    let on_drained = |a: &Action| match a {
        Action::Start { worker: id, .. } => ids.iter().any(|n| *id == worker(*n, 0).id),
        _ => false,
    };
    assert!(!starts.is_empty());
    assert!(!starts.iter().any(on_drained), "{draining:?}: {starts:?}");
    next.list((0..HOSTS).map(|n| host(n, SERVICE, Some(0))).collect());
    next.at(150);
    let ordered = upkeeps(&next.tick());
    assert!(draining.iter().all(|host| ordered.contains(host)), "{draining:?}: {ordered:?}");
}

#[test]
fn wave_known_after_its_record() {
    let mut next = HostWorld::new(3);
    let down = "m-0".to_string();
    let record = WaveRecord {
        ordered: [(down.clone(), Some(worker(0, 0).id.to_string()))].into(),
        settled: [down].into(),
        finished: ["m-1".to_string()].into(),
        ..WaveRecord::default()
    };
    next.sched.restore_wave_record(1, record.clone());
    assert!(wave_record(next.sched.take_batch().records).is_none(), "nothing is known of the wave");
    next.sched.handle(Event::WaveRequested(wave(&[0, 1, 2], 1), None));
    let stored = wave_record(next.sched.take_batch().records).expect("a record");
    assert_eq!((stored.ordered, stored.finished), (record.ordered, record.finished));
    for t in 1..10 {
        next.at(t * 150);
        next.list((0..3).map(|n| host(n, SERVICE, (n > 0).then_some(0))).collect());
        next.tick();
    }
    assert_eq!(upkeeps(&next.actions), Vec::<String>::new(), "m-0 is down, m-1 was maintained");
}

#[test]
fn down_host_missing_from_one_list() {
    let mut world = HostWorld::new(2);
    let list = |down: bool| {
        let first = (!down).then(|| host(0, SERVICE, Some(0)));
        first.into_iter().chain([host(1, SERVICE, Some(0))]).collect::<Vec<_>>()
    };
    world.list(list(false));
    world.sched.handle(Event::WaveRequested(wave(&[0, 1], 1), None));
    world.at(150);
    world.tick();
    assert_eq!(upkeeps(&world.actions), ["m-0"]);
    world.sched.handle(Event::HostOrderAnswered("m-0".to_string(), HostReply::Done));
    for t in 2..20 {
        world.at(t * 150);
        world.list(list(true));
        world.tick();
    }
    assert_eq!(upkeeps(&world.actions), ["m-0"], "one may be down at once, and m-0 may still be");
    for t in 20..40 {
        world.at(t * 150);
        world.list(list(true));
        world.tick();
    }
    assert_eq!(upkeeps(&world.actions), ["m-0", "m-1"], "m-0 was removed");
}

#[test]
fn removed_host_frees_its_slot() {
    let mut world = HostWorld::new(2);
    let both = || (0..2).map(|n| host(n, SERVICE, Some(0))).collect::<Vec<_>>();
    world.list(both());
    world.sched.handle(Event::WaveRequested(wave(&[0, 1], 1), None));
    world.at(150);
    for m in upkeeps(&world.tick()) {
        world.sched.handle(Event::HostOrderAnswered(m, HostReply::Busy));
    }
    assert_eq!(drained(&world), 1, "m-0 turned its order down");
    for t in 2..60 {
        world.at(t * 150);
        world.list(vec![host(1, SERVICE, Some(0))]);
        world.tick();
    }
    assert!(upkeeps(&world.actions).contains(&"m-1".to_string()), "m-0 is gone: {:?}", world.sched.waves);
}
