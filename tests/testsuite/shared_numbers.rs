//! Jobs of several owners under one number.

use std::collections::BTreeMap;
use std::sync::Arc;

use workswood::ops::jobs::inbox::InboxIndex;
use workswood::ops::jobs::job_state;
use workswood::ops::jobs::job_status_table::JobStatusTable;
use workswood::ops::jobs::record::{InboxKey, InboxRecordKind, StateKey, parse_state_key, state_record};
use workswood_core::jobs::job::StateSlot;
use workswood_core::jobs::restored_jobs::join_states;
use workswood_core::jobs::{
    Event, JobKey, JobOwner, JobRecord, JobSpec, JobStatus, Outcome, Owner, QueueTag, Record, TaskId,
};
use workswood_test_support::host_world::{HostWorld, WorkerRuns};
use workswood_test_support::job_world::{job, step};

const NUMBER: u64 = 1;

fn of(workspace: &str, accepted_at: u64, tasks: u32) -> Arc<JobSpec> {
    let spec = job(vec![step(tasks, vec![])], accepted_at);
    Arc::new(JobSpec { workspace: Some(workspace.to_string()), ..spec })
}

/// A job as earlier versions stored it: under its number alone.
const KEY: JobKey = JobKey::of_number(NUMBER);

fn key_of(workspace: &str) -> JobKey {
    JobKey { number: NUMBER, owner: JobOwner::of_workspace(owner(workspace)) }
}

fn owner(workspace: &str) -> Owner {
    Owner::of_workspace(Some(workspace))
}

/// The state that a holder records of a job once it has started its tasks.
fn state_of(spec: &Arc<JobSpec>) -> JobRecord {
    let mut world = HostWorld::new(4);
    world.sched.handle(Event::Submitted(NUMBER, spec.clone()));
    let records = world.sched.take_batch().records;
    let state = records.into_iter().find_map(|rec| match rec {
        Record::Job(key, state) if key == spec.key(NUMBER) => Some(state),
        _ => None,
    });
    state.expect("the job is on record")
}

/// Guards against a state that is joined with the job of another owner under the same number.
#[test]
fn state_of_its_owner() {
    let (early, late) = (of("a", 10, 1), of("b", 20, 1));
    let state = state_of(&late);
    let restored = join_states([(NUMBER, early.clone()), (NUMBER, late.clone())], [(KEY, state)]);
    let mut next = HostWorld::new(0);
    next.sched.restore_jobs(restored);
    assert_eq!(next.sched.jobs.owner(&late.key(NUMBER)), Some(owner("b")));
    assert!(next.sched.jobs.get(&late.key(NUMBER)).is_some_and(|job| job.started));
}

/// The state of a finished job, whose submission the inbox no longer holds, is not that of another job.
#[test]
fn state_without_submission() {
    let over = state_of(&of("b", 20, 1)).owner();
    let state = JobRecord { outcome: Some(Outcome::Completed), ..state_of(&of("b", 20, 1)) };
    let restored = join_states([(NUMBER, of("a", 10, 1))], [(KEY, state)]);
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
        let submitted: Vec<_> = specs.iter().map(|spec| (NUMBER, Arc::clone(spec))).collect();
        join_states(submitted, [(KEY, state.clone())]).jobs.remove(0)
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
    let submitted = [of("a", 30, 1), of("b", 20, 1), of("a", 10, 1)].map(|spec| (NUMBER, spec));
    let restored = join_states(submitted, []);
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

/// A scheduler with one worker, what it has stored, and what callers are shown.
struct Site {
    world: HostWorld,
    runs: WorkerRuns,
    stored: BTreeMap<String, JobRecord>,
    shown: JobStatusTable,
}

impl Site {
    fn new() -> Site {
        let mut world = HostWorld::new(1);
        world.at(1000);
        let (stored, shown) = (BTreeMap::new(), JobStatusTable::default());
        Site { world, runs: WorkerRuns::default(), stored, shown }
    }

    /// The next lease holder, which reads what is stored.
    fn successor(self, submitted: &[Arc<JobSpec>]) -> Site {
        let states = self.stored.iter().map(|(key, state)| match parse_state_key(key) {
            Some(StateKey::Job(key, _)) => (key, state.clone()),
            _ => panic!("{key} is no key of a job"),
        });
        let submitted = submitted.iter().map(|spec| (NUMBER, spec.clone()));
        let mut next = Site { runs: self.runs, ..Site::new() };
        next.world.sched.restore_jobs(join_states(submitted, states));
        next.stored = self.stored;
        next.runs.report(&mut next.world, Vec::new());
        next
    }

    fn submit(&mut self, spec: &Arc<JobSpec>) {
        self.world.sched.handle(Event::Submitted(NUMBER, spec.clone()));
    }

    /// Ticks; returns the attempts that are started, each with the owner's input.
    fn tick(&mut self) -> Vec<u32> {
        let next = self.world.sched.wall + 150;
        self.world.at(next);
        self.world.sched.handle(Event::Tick);
        let batch = self.world.sched.take_batch();
        for rec in &batch.records {
            let key = state_record(rec).key;
            match rec {
                Record::Job(_, state) => drop(self.stored.insert(key, state.clone())),
                Record::DropJob(..) => drop(self.stored.remove(&key)),
                _ => {}
            }
        }
        batch.status_updates.into_iter().for_each(|update| self.shown.update(update));
        let started = self.runs.start(&mut self.world, batch.actions);
        started.into_iter().map(|(_, attempt)| attempt).collect()
    }

    /// Has the worker tell that an attempt of the first task is done.
    fn complete(&mut self, attempt: u32) {
        let task = TaskId { job: KEY, round: 0, step: 0, index: 0 };
        self.runs.complete(&mut self.world, task, attempt);
    }

    fn shown(&self, workspace: &str) -> Option<JobStatus> {
        self.shown.status(key_of(workspace), None)
    }
}

const COMPLETED: Option<JobStatus> = Some(JobStatus::Ended(Outcome::Completed));

/// Guards against an accepted job that is dropped since another owner's has its number.
#[test]
fn second_owner_waits() {
    let mut site = Site::new();
    site.submit(&of("a", 10, 1));
    site.submit(&of("b", 20, 1));
    assert_eq!(site.tick(), [1]);
    assert_eq!((site.shown("a"), site.shown("b")), (Some(JobStatus::Running), Some(JobStatus::Queued)));
    site.complete(1);
    assert!(site.tick().is_empty(), "its end is not on record yet");
    assert_eq!(site.shown("a"), COMPLETED);
    assert_eq!(site.tick(), [2], "above the attempts of the first");
    assert_eq!(site.shown("b"), Some(JobStatus::Running));
    site.complete(2);
    site.tick();
    assert_eq!((site.shown("a"), site.shown("b")), (COMPLETED, COMPLETED));
    assert_eq!(site.stored.len(), 2, "{:?}", site.stored.keys());
}

/// What is told of attempts of the first job is not taken for the second one's.
#[test]
fn late_end_of_first() {
    let mut site = Site::new();
    site.submit(&of("a", 10, 1));
    site.submit(&of("b", 20, 1));
    site.tick();
    site.complete(1);
    site.tick();
    assert_eq!(site.tick(), [2]);
    site.complete(1);
    site.tick();
    assert_eq!(site.shown("b"), Some(JobStatus::Running));
    site.complete(2);
    site.tick();
    assert_eq!(site.shown("b"), COMPLETED);
}

/// A new holder goes on with both jobs, at each moment.
#[test]
fn holders_in_series() {
    let (a, b) = (of("a", 10, 1), of("b", 20, 1));
    let mut site = Site::new();
    site.submit(&b);
    site.submit(&a);
    assert_eq!(site.tick(), [1], "the one that is read first");
    site = site.successor(&[a.clone(), b.clone()]);
    site.tick();
    assert_eq!((site.shown("a"), site.shown("b")), (Some(JobStatus::Queued), Some(JobStatus::Running)));
    site.complete(1);
    site.tick();
    site = site.successor(std::slice::from_ref(&a));
    assert_eq!(site.tick(), [2]);
    assert_eq!(site.shown("b"), COMPLETED);
    site = site.successor(std::slice::from_ref(&a));
    site.tick();
    assert_eq!((site.shown("a"), site.shown("b")), (Some(JobStatus::Running), COMPLETED));
    site.complete(2);
    site.tick();
    site = site.successor(&[]);
    site.tick();
    assert_eq!((site.shown("a"), site.shown("b")), (COMPLETED, COMPLETED));
}

#[test]
fn waiting_job_cancelled() {
    let (a, b) = (of("a", 10, 1), of("b", 20, 1));
    let mut site = Site::new();
    site.submit(&a);
    site.submit(&b);
    site.tick();
    site.world.sched.handle(Event::Cancelled(key_of("b")));
    site.tick();
    let canceled = Some(JobStatus::Ended(Outcome::Canceled));
    assert_eq!((site.shown("a"), site.shown("b")), (Some(JobStatus::Running), canceled));
    site = site.successor(std::slice::from_ref(&a));
    site.tick();
    assert_eq!((site.shown("a"), site.shown("b")), (Some(JobStatus::Running), canceled));
    site.complete(1);
    site.tick();
    assert!(site.tick().is_empty(), "nothing of the other one is started");
    assert_eq!(site.shown("a"), COMPLETED);
}

/// A job that ended under an earlier version may have made any attempt, so its number is not free yet.
#[test]
fn attempts_not_known() {
    let state = JobRecord { outcome: Some(Outcome::Completed), ..JobRecord::default() };
    let over = workswood_core::jobs::FinishedJobRecord { owner: owner("a"), ..Default::default() };
    let mut site = Site::new();
    let states = [(KEY, JobRecord { over: Some(over), ..state })];
    site.world.sched.restore_jobs(join_states([(NUMBER, of("b", 20, 1))], states));
    assert!(site.tick().is_empty());
    assert_eq!((site.shown("a"), site.shown("b")), (COMPLETED, Some(JobStatus::Queued)));
    let later = site.world.sched.wall + 61_000;
    site.world.at(later);
    site.runs.report(&mut site.world, Vec::new());
    assert_eq!(site.tick(), [1]);
    assert_eq!((site.shown("a"), site.shown("b")), (None, Some(JobStatus::Running)));
    assert_eq!(site.stored.values().map(JobRecord::owner).collect::<Vec<_>>(), [Some(owner("b"))]);
}

/// The inbox loses only the records of the job that has ended.
#[test]
fn inbox_keeps_other_owner() {
    let key = |workspace, kind| InboxKey { job: key_of(workspace), kind };
    let mut kept = InboxIndex::default();
    for workspace in ["a", "b"] {
        kept.insert(0, key(workspace, InboxRecordKind::Job));
    }
    kept.insert(0, key("a", InboxRecordKind::Cancel));
    kept.insert(1, key("b", InboxRecordKind::Job));
    let of_a = [key("a", InboxRecordKind::Job), key("a", InboxRecordKind::Cancel)];
    assert_eq!(kept.keys_of_job(0, key_of("a")), of_a);
    assert_eq!(kept.keys_of_job(1, key_of("a")), []);
}

#[test]
fn state_keys() {
    let workspace = Owner::from_number(0xb);
    let old = JobKey { number: 0xa, owner: JobOwner::of_workspace(workspace) };
    let new = JobKey { owner: JobOwner { workspace, queue: QueueTag::from_number(0xc) }, ..old };
    let key = |key, slot| state_record(&Record::Job(key, JobRecord { slot, ..JobRecord::default() })).key;
    assert_eq!(key(old, StateSlot::Number), "000000000000000a");
    assert_eq!(key(old, StateSlot::NumberAndOwner), "000000000000000a-000000000000000b");
    assert_eq!(key(new, StateSlot::Number), "000000000000000a-000000000000000b-000000000000000c");
    let parsed = |text: &str| match parse_state_key(text) {
        Some(StateKey::Job(key, slot)) => Some((key, slot)),
        _ => None,
    };
    assert_eq!(parsed("000000000000000a"), Some((JobKey::of_number(0xa), StateSlot::Number)));
    let with_owner = Some((old, StateSlot::NumberAndOwner));
    assert_eq!(parsed(&key(old, StateSlot::NumberAndOwner)), with_owner);
    assert_eq!(parsed(&key(new, StateSlot::Number)), Some((new, StateSlot::Number)));
    assert_eq!(parsed("000000000000000a-000000000000000b-000000000000000c-000000000000000d"), None);
}
