//! Which hosts a wave of maintenance orders down, and when.

use std::sync::Arc;
use std::time::Duration;

use workswood_core::jobs::{Action, Event, HostReply, HostState, Wave};
use workswood_test_support::host_world::{HostWorld, OTHER, SPARE, host, upkeeps, wave, worker};
use workswood_test_support::job_world::{SERVICE, job, step};

#[test]
fn most_at_once() {
    let mut world = HostWorld::new(6);
    world.list((0..6).map(|n| host(n, SERVICE, Some(0))).collect());
    world.sched.handle(Event::WaveRequested(wave(&[0, 1, 2, 3, 4, 5], 2), None));
    let mut down = Vec::new();
    for t in 1..40 {
        world.at(t * 150);
        let actions = world.tick();
        for m in upkeeps(&actions) {
            if !down.contains(&m) {
                down.push(m.clone());
            }
            world.sched.handle(Event::HostOrderAnswered(m, HostReply::Done));
        }
    }
    assert_eq!(down.len(), 2, "none has come back yet: {down:?}");
}

#[test]
fn earlier_list_finishes_nothing() {
    let mut world = HostWorld::new(1);
    // The workers that stand on these hosts are not known yet.
    world.list(vec![host(1, SERVICE, None), host(2, SERVICE, None)]);
    world.sched.handle(Event::WaveRequested(wave(&[1, 2], 1), None));
    world.at(150);
    world.tick();
    world.at(300);
    world.tick();
    assert_eq!(upkeeps(&world.actions), ["m-1"]);
    // Asked for before the order was carried out, answered after it.
    let asked = world.sched.now;
    world.at(400);
    world.sched.handle(Event::HostOrderAnswered("m-1".to_string(), HostReply::Done));
    let list = vec![host(1, SERVICE, Some(3)), host(2, SERVICE, None)];
    world.sched.handle(Event::HostsListed(list, asked));
    for t in 0..10 {
        world.at(500 + t * 150);
        world.tick();
    }
    let ordered = upkeeps(&world.actions);
    assert!(!ordered.contains(&"m-2".to_string()), "one may be down at once: {ordered:?}");
}

#[test]
fn busy_host() {
    let mut world = HostWorld::new(2);
    world.list(vec![host(0, SERVICE, Some(0)), host(1, SERVICE, Some(0))]);
    world.sched.handle(Event::WaveRequested(wave(&[0], 1), None));
    world.at(150);
    world.tick();
    world.at(300);
    world.tick();
    assert_eq!(upkeeps(&world.actions), ["m-0"]);
    world.sched.handle(Event::HostOrderAnswered("m-0".to_string(), HostReply::Busy));
    // The host is back with another life, which takes no work meanwhile.
    world.sched.handle(Event::OtherIncarnationAnswered(worker(0, 0).id, Duration::ZERO));
    world.sched.handle(Event::WorkerListed(worker(0, 1)));
    world.report(0, 1, &[]);
    let mut lasting = step(2, vec![]);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    lasting.max_unavailable = 1;
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let starts = world.sched.take_batch().actions;
    let on_first =
        starts.iter().any(|a| matches!(a, Action::Start { worker: w, .. } if *w == worker(0, 1).id));
    assert!(!on_first, "a host that is to go down gets no new work: {starts:?}");
}

#[test]
fn moving_host_not_ordered_down() {
    let mut world = HostWorld::new(1);
    let mut moving = host(1, SERVICE, None);
    moving.state = HostState::Moving;
    world.list(vec![host(0, SERVICE, Some(0)), moving]);
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for t in 1..10 {
        world.at(t * 150);
        world.tick();
    }
    assert_eq!(upkeeps(&world.actions), [""; 0], "it would be turned down every time");
    world.list(vec![host(0, SERVICE, Some(0)), host(1, SERVICE, None)]);
    world.at(2000);
    world.tick();
    assert_eq!(upkeeps(&world.actions), ["m-1"]);
}

#[test]
fn pause_after_busy() {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0))]);
    world.sched.handle(Event::WaveRequested(wave(&[0], 1), None));
    for t in 1..=20 {
        world.at(t * 150);
        for m in upkeeps(&world.tick()) {
            world.sched.handle(Event::HostOrderAnswered(m, HostReply::Busy));
        }
    }
    let ordered = upkeeps(&world.actions).len();
    assert!((1..=2).contains(&ordered), "{ordered} orders in 3 s to a host that turns each one down");
}

/// Hosts that a wave over four begins to empty at once, and which ones, while
/// the pool of the first two is short of hosts or not.
fn begun_at_once(short: bool) -> Vec<String> {
    let mut world = HostWorld::new(2);
    world.sched.policy.waves.planned_time_share = 0.2;
    world.sched.policy.waves.planned_time_share_when_short = 0.8;
    for n in 2..4 {
        let mut other = worker(n, 0);
        other.service = OTHER.to_string();
        world.sched.handle(Event::WorkerListed(other));
        world.report(n, 0, &[]);
    }
    let mut hosts: Vec<_> = (0..2).map(|n| host(n, SERVICE, Some(0))).collect();
    hosts.extend((2..4).map(|n| host(n, OTHER, Some(0))));
    world.list(hosts);
    if short {
        world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(60, vec![])], 100))));
    }
    world.at(150);
    world.tick();
    world.sched.handle(Event::WaveRequested(wave(&[0, 1, 2, 3], 4), None));
    world.at(300);
    world.tick();
    let emptied = |line: &&str| line.contains("event=machine_emptying");
    world.sched.notes.iter().filter(emptied).map(str::to_string).collect()
}

#[test]
fn slower_while_pool_is_short() {
    assert!(begun_at_once(true).len() < begun_at_once(false).len(), "{:?}", begun_at_once(true));
}

#[test]
fn short_pool_comes_last() {
    // Of the other pool's two hosts one is on its way to the short pool.
    let begun = begun_at_once(true);
    let of_other = |l: &String| l.contains("m-2") || l.contains("m-3");
    assert!(begun.first().is_some_and(of_other), "{begun:?}");
    assert!(!begun.iter().skip(1).any(of_other), "{begun:?}");
}

#[test]
fn off_host_finishes_whatever_its_life_was() {
    let mut world = HostWorld::new(1);
    // A predecessor turned host 1 off; the entry of its last life lingers.
    world.sched.restore_worker(worker(1, 0).id, worker(1, 0).record());
    world.sched.handle(Event::WorkerListed(worker(1, 0)));
    let list = || vec![host(0, SERVICE, Some(0)), host(1, SPARE, None)];
    world.list(list());
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for t in 1..30 {
        world.at(t * 150);
        for m in upkeeps(&world.tick()) {
            world.sched.handle(Event::HostOrderAnswered(m, HostReply::Done));
        }
        world.list(list());
    }
    assert_eq!(upkeeps(&world.actions), ["m-1"]);
    assert!(world.sched.waves[&1].is_complete(), "it is off, before and after");
}

#[test]
fn host_taken_away_needs_none() {
    let mut world = HostWorld::new(2);
    let both = || (0..2).map(|n| host(n, SERVICE, Some(0))).collect::<Vec<_>>();
    let one = || vec![host(0, SERVICE, Some(0))];
    world.list(both());
    // Host 1 is emptied, and turns its order down; then no list shows it.
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for t in 1..40 {
        world.at(t * 150);
        for m in upkeeps(&world.tick()) {
            world.sched.handle(Event::HostOrderAnswered(m, HostReply::Busy));
        }
        world.list(if t < 4 { both() } else { one() });
        if t == 20 {
            assert!(!world.sched.waves[&1].is_complete(), "it may yet be listed again");
        }
    }
    assert!(world.sched.waves[&1].is_complete(), "nobody can maintain it");
}

#[test]
fn host_that_is_back_is_maintained() {
    let mut world = HostWorld::new(2);
    let both = || (0..2).map(|n| host(n, SERVICE, Some(0))).collect::<Vec<_>>();
    world.list(both());
    world.at(100);
    world.list(vec![host(0, SERVICE, Some(0))]);
    world.sched.handle(Event::WaveRequested(wave(&[1], 1), None));
    for t in 1..6 {
        world.at(100 + t * 150);
        world.tick();
    }
    assert_eq!(upkeeps(&world.actions), [""; 0], "it is not there");
    world.list(both());
    for t in 6..10 {
        world.at(100 + t * 150);
        world.tick();
    }
    assert_eq!(upkeeps(&world.actions), ["m-1"]);
}

/// Orders down so far, each with its wave.
fn orders(actions: &[Action]) -> Vec<(String, u64)> {
    let of = |a: &Action| match a {
        Action::MaintainHost(m, wave) => Some((m.clone(), *wave)),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Both waves ask for a maintenance of their own: an order names its wave, and a
/// host that is down for one turns the order of the other down.
#[test]
fn host_in_two_waves() {
    let mut world = HostWorld::new(2);
    world.list(vec![host(0, SERVICE, Some(0)), host(1, SERVICE, Some(0))]);
    let second = Wave { number: 2, ..wave(&[0, 1], 2) };
    world.sched.handle(Event::WaveRequested(wave(&[0], 1), None));
    world.sched.handle(Event::WaveRequested(second, None));
    let mut life = 0;
    let mut back_at = None;
    for t in 1..200 {
        world.at(t * 150);
        for (name, n) in orders(&world.tick()) {
            if name == "m-0" {
                assert!(back_at.is_none(), "wave {n} orders it while it is down");
                back_at = Some(t + 20);
            }
            world.sched.handle(Event::HostOrderAnswered(name, HostReply::Done));
        }
        if back_at == Some(t) {
            back_at = None;
            life += 1;
            world.sched.handle(Event::WorkerListed(worker(0, life)));
            world.report(0, life, &[]);
        }
        let mut first = host(0, SERVICE, Some(life));
        if back_at.is_some() {
            (first.state, first.worker) = (HostState::Upkeep, None);
        }
        world.list(vec![first, host(1, SERVICE, Some(1))]);
    }
    let mut ordered = orders(&world.actions);
    ordered.sort();
    let wanted = [("m-0", 1), ("m-0", 2), ("m-1", 2)].map(|(m, n)| (m.to_string(), n));
    assert_eq!(ordered, wanted, "each wave orders each of its hosts once");
    assert!(world.sched.waves.values().all(|w| w.is_complete()), "{:?}", world.sched.waves);
}

#[test]
fn lingering_life_hides_nothing() {
    let mut world = HostWorld::new(0);
    world.at(50);
    // Each host's former life, idle and never heard of again, is still listed
    // beside its present one, which is busy.
    for (n, former, present) in [(1, 0, 1), (2, 1, 0)] {
        world.sched.handle(Event::WorkerListed(worker(n, former)));
        world.sched.handle(Event::WorkerListed(worker(n, present)));
        world.report(n, present, &[]);
    }
    world.at(100);
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(8, vec![])], 100))));
    let starts = world.sched.take_batch().actions;
    for a in &starts {
        if let Action::Start { worker, task, attempt, .. } = a {
            world.taken(worker, *task, *attempt);
        }
    }
    world.sched.handle(Event::WorkerListed(worker(3, 0)));
    world.report(3, 0, &[]);
    // Asked for before the lives were known, so that it ends none of them.
    let listed = [(1, 1), (2, 0), (3, 0)].map(|(n, life)| host(n, SERVICE, Some(life)));
    world.sched.handle(Event::HostsListed(listed.to_vec(), Duration::from_millis(40)));
    world.sched.handle(Event::WaveRequested(wave(&[1, 2, 3], 1), None));
    world.at(150);
    world.tick();
    assert_eq!(upkeeps(&world.actions), ["m-3"], "the idle one goes first");
}
