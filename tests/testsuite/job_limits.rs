//! Jobs that are out of bounds, and jobs that change under their number.

use std::sync::Arc;
use std::time::Duration;

use workswood_adapter::callers::read_job;
use workswood_adapter_standin::caller::one_task;
use workswood_core::jobs::{
    Action, Event, Job, JobKey, JobSpec, JobStatus, Outcome, Repeat, Scheduler, WorkerInfo, WorkerUpdate,
};
use workswood_test_support::host_world::limits;
use workswood_test_support::job_world::{SERVICE, config, job, step};

fn scheduler() -> Scheduler {
    let mut s = Scheduler::new(1, limits(), Duration::from_secs(1), 1000);
    s.handle(Event::ConfigChanged(Arc::new(config())));
    s
}

fn with_worker(cores: u64) -> Scheduler {
    let mut s = scheduler();
    let info = WorkerInfo {
        id: "w".into(),
        service: SERVICE.to_string(),
        address: "10.0.0.1:80".to_string(),
        data_centre: "north".to_string(),
        host: "m".to_string(),
        capacity: workswood_core::jobs::spec::Resources { cpu_millis: cores * 1000, mem_mb: 8000, gpus: 0 },
        labels: Vec::new(),
        draining: false,
    };
    s.handle(Event::WorkerListed(info));
    let report = workswood_core::jobs::Report { full: true, ..Default::default() };
    s.assign_relays();
    let token = s.token_of(&"w".into()).expect("it is known");
    s.handle(Event::WorkerUpdate("w".into(), token, WorkerUpdate::Reported(report)));
    s
}

fn starts(s: &mut Scheduler) -> Vec<u64> {
    let of = |a: &Action| match a {
        Action::Start { task, .. } => Some(task.job.number),
        _ => None,
    };
    s.take_batch().actions.iter().filter_map(of).collect()
}

#[test]
fn out_of_bounds_refused() {
    let mut empty = job(vec![step(1, vec![]), step(0, vec![0])], 0);
    assert!(empty.validate().is_err(), "a step without tasks would be done at once");
    empty.steps[1].count = 1;
    assert!(empty.validate().is_ok());
    let mut long = empty.clone();
    long.steps[0].estimate = Duration::from_millis(u64::MAX);
    assert!(long.validate().is_err());
    let mut often = empty.clone();
    often.repeat = Some(Repeat { count: u32::MAX, first_due_at: 0, interval: Duration::ZERO });
    assert!(often.validate().is_err());
    let forward = job(vec![step(1, vec![0])], 0);
    assert!(forward.validate().is_err(), "a step may not wait for itself");
}

#[test]
fn wild_numbers_read() {
    for n in ["1e22", "1e300", "-5", "0"] {
        let read = read_job(one_task("x", n).as_bytes()).expect("the body is read without a panic");
        assert_eq!(read.steps.len(), 1);
    }
    assert!(read_job(b"{").is_err());
    assert!(read_job(one_task(&"x".repeat(4001), "1").as_bytes()).is_err());
}

#[test]
fn changed_job_restored() {
    let spec = Arc::new(job(vec![step(2, vec![]), step(1, vec![0])], 0));
    let mut begun = Job::new(JobKey::of_number(5), spec);
    begun.open_round();
    let rec = begun.record();
    let other: Arc<JobSpec> = Arc::new(job(vec![step(1, vec![])], 0));
    assert!(!rec.matches_spec(&other));
    let mut s = scheduler();
    s.restore_job(JobKey::of_number(5), Some(other), Some(rec));
    let shown = s.take_batch().status_updates;
    assert_eq!(shown[0].state, Some(JobStatus::Ended(Outcome::Failed)));
}

#[test]
fn early_cancel_kept() {
    let mut s = with_worker(4);
    s.handle(Event::Cancelled(JobKey::of_number(9)));
    s.handle(Event::Submitted(9, Arc::new(job(vec![step(1, vec![])], 0))));
    let batch = s.take_batch();
    assert!(!batch.actions.iter().any(|a| matches!(a, Action::Start { .. })), "{:?}", batch.actions);
    assert_eq!(batch.status_updates[0].state, Some(JobStatus::Ended(Outcome::Canceled)));
}

#[test]
fn many_misfits_ahead() {
    let mut s = with_worker(2);
    let mut lasting = step(60, vec![]);
    lasting.long_running = true;
    lasting.max_per_worker = 1;
    s.handle(Event::Submitted(1, Arc::new(job(vec![lasting], 0))));
    let mut large = step(50, vec![]);
    large.resources.cpu_millis = 64_000;
    s.handle(Event::Submitted(2, Arc::new(job(vec![large], 0))));
    s.handle(Event::Submitted(3, Arc::new(job(vec![step(1, vec![])], 0))));
    assert!(starts(&mut s).contains(&3), "tasks that fit nowhere keep nobody from starting");
}

#[test]
fn filling_runs_known_after_takeover() {
    let mut filling = step(1, vec![]);
    filling.best_effort = true;
    filling.long_running = true;
    let spec = Arc::new(job(vec![filling], 0));
    let mut s = with_worker(2);
    s.handle(Event::Submitted(1, spec.clone()));
    s.take_batch();
    let rec = s.jobs[&JobKey::of_number(1)].record();
    let mut next = scheduler();
    next.restore_job(JobKey::of_number(1), Some(spec), Some(rec));
    assert_eq!(next.workers.values().map(|w| w.best_effort.len()).sum::<usize>(), 1);
}
