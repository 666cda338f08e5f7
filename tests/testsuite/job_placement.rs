//! Jobs: urgent ones first, quotas, lost hosts, jobs that can't run.

use workswood_core::fleet::{FleetFile, PriorityClass};
use workswood_core::fold::JobPhase;
use workswood_core::plan::HostState;
use workswood_test_support::files::{job, small, team};
use workswood_test_support::one::Fleet;

fn phase(fleet: &Fleet, job: &str) -> Option<JobPhase> {
    fleet.p.state.jobs.get(job).map(|j| j.phase.clone())
}

fn file(jobs: usize) -> FleetFile {
    let mut f = small(2, 1, 0);
    f.teams = vec![team()];
    f.jobs = (0..jobs).map(|i| job(&format!("low-{i}"), "main", PriorityClass::Later, true)).collect();
    f
}

#[test]
fn urgent_preempts() {
    let mut f = file(8);
    let mut fleet = Fleet::new(&f);
    fleet.rounds(8);
    let running = |fleet: &Fleet| {
        fleet.p.state.jobs.values().filter(|j| matches!(j.phase, JobPhase::Running { .. })).count()
    };
    assert_eq!(running(&fleet), 7, "the pool is full");
    f.jobs.push(job("now", "main", PriorityClass::Urgent, true));
    fleet.apply(&f, 1);
    fleet.rounds(4);
    assert!(matches!(phase(&fleet, "now"), Some(JobPhase::Running { .. })));
    assert_eq!(running(&fleet), 7, "one lower job made room");
    assert_eq!(fleet.platform.starts["now"], 1);
}

#[test]
fn quota_of_team() {
    let mut f = file(8);
    f.teams[0].quota_cpus = 16;
    let mut fleet = Fleet::new(&f);
    fleet.rounds(8);
    assert_eq!(fleet.p.state.jobs.len(), 2);
    fleet.platform.end_jobs();
    fleet.rounds(4);
    let done = fleet.p.state.jobs.values().filter(|j| j.phase == JobPhase::Done).count();
    assert_eq!((done, fleet.p.state.jobs.len()), (2, 4));
}

#[test]
fn lost_host() {
    let mut f = file(0);
    f.jobs = vec![
        job("once", "main", PriorityClass::Normal, false),
        job("again", "main", PriorityClass::Normal, true),
    ];
    let mut fleet = Fleet::new(&f);
    fleet.rounds(6);
    let hosts: Vec<String> = fleet.platform.hosts.keys().cloned().collect();
    hosts.iter().for_each(|h| fleet.platform.fail(h, true));
    fleet.rounds(40);
    // The host that may still run it is back; it does not run a second time.
    hosts.iter().for_each(|h| fleet.platform.fail(h, false));
    fleet.rounds(10);
    assert_eq!(phase(&fleet, "once"), Some(JobPhase::Failed));
    assert_eq!(fleet.platform.starts["once"], 1);
    assert!(fleet.platform.starts["again"] >= 2);
    assert!(fleet.platform.hosts.values().all(|h| h.state == HostState::Live));
}
