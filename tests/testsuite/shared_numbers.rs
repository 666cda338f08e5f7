//! Jobs of several owners under one number.

use std::collections::HashMap;
use std::sync::Arc;

use workswood::ops::jobs::job_state;
use workswood_core::jobs::restored_jobs::join_states;
use workswood_core::jobs::{Event, JobKey, JobRecord, JobSpec, Outcome, Owner, Record};
use workswood_test_support::host_world::HostWorld;
use workswood_test_support::job_world::{job, step};

const KEY: JobKey = 1;

fn of(workspace: &str, accepted_at: u64, tasks: u32) -> Arc<JobSpec> {
    let spec = job(vec![step(tasks, vec![])], accepted_at);
    Arc::new(JobSpec { workspace: Some(workspace.to_string()), ..spec })
}

fn owner(workspace: &str) -> Owner {
    Owner::of_workspace(Some(workspace))
}

/// The state that a holder records of a job once it has started its tasks.
fn state_of(spec: &Arc<JobSpec>) -> JobRecord {
    let mut world = HostWorld::new(4);
    world.sched.handle(Event::Submitted(KEY, spec.clone()));
    let records = world.sched.take_batch().records;
    let state = records.into_iter().find_map(|rec| match rec {
        Record::Job(KEY, state) => Some(state),
        _ => None,
    });
    state.expect("the job is on record")
}

/// Guards against a state that is joined with the job of another owner under the same number.
#[test]
fn state_of_its_owner() {
    let (early, late) = (of("a", 10, 1), of("b", 20, 1));
    let state = state_of(&late);
    let restored = join_states([(KEY, early.clone()), (KEY, late)], HashMap::from([(KEY, state)]));
    let mut next = HostWorld::new(0);
    next.sched.restore_jobs(restored);
    assert_eq!(next.sched.jobs.owner(&KEY), Some(owner("b")));
    assert!(next.sched.jobs.get(&KEY).is_some_and(|job| job.started));
}

/// The state of a finished job, whose submission the inbox no longer holds, is not that of another job.
#[test]
fn state_without_submission() {
    let over = state_of(&of("b", 20, 1)).owner();
    let state = JobRecord { outcome: Some(Outcome::Completed), ..state_of(&of("b", 20, 1)) };
    let restored = join_states([(KEY, of("a", 10, 1))], HashMap::from([(KEY, state)]));
    assert_eq!(over, Some(owner("b")));
    assert!(restored.jobs[0].spec.is_none());
    assert_eq!(restored.namesakes.len(), 1);
}

/// A state without an owner, as earlier versions wrote it, belongs to the only job that it can belong to.
#[test]
fn state_without_owner() {
    let (one, two) = (of("a", 20, 1), of("b", 10, 2));
    let state = JobRecord { owner: None, ..state_of(&one) };
    let join = |specs: &[&Arc<JobSpec>]| {
        let submitted: Vec<_> = specs.iter().map(|spec| (KEY, Arc::clone(spec))).collect();
        join_states(submitted, HashMap::from([(KEY, state.clone())])).jobs.remove(0)
    };
    let alone = join(&[&one]);
    assert_eq!(
        (alone.spec.map(|s| s.owner()), alone.state.and_then(|s| s.outcome)),
        (Some(owner("a")), None)
    );
    let fits = join(&[&one, &two]);
    assert_eq!((fits.spec.map(|s| s.owner()), fits.state.and_then(|s| s.outcome)), (Some(owner("a")), None));
    let same = of("b", 10, 1);
    let either = join(&[&one, &same]);
    assert_eq!(either.spec.map(|s| s.owner()), Some(owner("b")), "the first");
    assert_eq!(either.state.and_then(|s| s.outcome), Some(Outcome::Failed), "it may have run");
}

/// The earliest submission of an owner counts, and the earliest job of a number where none has a state.
#[test]
fn earliest_counts() {
    let submitted = [of("a", 30, 1), of("b", 20, 1), of("a", 10, 1)].map(|spec| (KEY, spec));
    let restored = join_states(submitted, HashMap::new());
    assert_eq!(restored.jobs[0].spec.as_ref().map(|s| (s.owner(), s.accepted_at)), Some((owner("a"), 10)));
    assert_eq!(restored.namesakes.iter().map(|(_, s)| s.owner()).collect::<Vec<_>>(), [owner("b")]);
}

#[test]
fn owner_is_stored() {
    for workspace in [None, Some("a")] {
        let owner = Owner::of_workspace(workspace);
        let state = JobRecord { owner: Some(owner), ..JobRecord::default() };
        let read = job_state::decode(&job_state::encode(&state)).expect("a state");
        assert_eq!(read.owner(), Some(owner));
    }
    let read = job_state::decode(&job_state::encode(&JobRecord::default())).expect("a state");
    assert_eq!(read.owner(), None, "as earlier versions wrote it");
}
