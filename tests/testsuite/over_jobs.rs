//! Jobs that have ended and run nowhere: what is kept of them, and what a new lease
//! holder makes of that.
//!
//! What users saw: on hosts of an eighth of a core with a link of 20 Mbit/s, a holder that
//! was lost was not replaced. Each process in turn claimed the lease, asked the store for
//! the inbox and the state, and gave up 20 s later: `event=state_not_loaded`.
//!
//! The cause: the inbox and the state held every job of the last minutes with its text and
//! its tasks, all pages were on their way at once, and a page that took longer than a call
//! may wait was asked for from the beginning.

use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::inbox::InboxIndex;
use workswood::ops::jobs::record::{InboxKey, InboxRecordKind};
use workswood_core::jobs::job::StateSlot;
use workswood_core::jobs::job_table::{ArchivedJob, JobTable};
use workswood_core::jobs::types::Record;
use workswood_core::jobs::{
    Batch, Event, FinishedJobRecord, Job, JobKey, JobRecord, JobSpec, JobStatus, Outcome, Scheduler,
};
use workswood_test_support::host_world::limits;
use workswood_test_support::job_world::{QUEUE, SERVICE, config, job, step};

const NOW: Duration = Duration::from_secs(1);

fn scheduler() -> Scheduler {
    let mut s = Scheduler::new(1, limits(), NOW, 60_000);
    s.handle(Event::ConfigChanged(Arc::new(config())));
    s
}

fn spec() -> Arc<JobSpec> {
    Arc::new(job(vec![step(3, vec![])], 50_000))
}

/// What is recorded of a job in a batch.
fn recorded(batch: &Batch, key: u64) -> Option<JobRecord> {
    batch.records.iter().find_map(|r| match r {
        Record::Job(k, rec) if *k == JobKey::of_number(key) => Some(rec.clone()),
        _ => None,
    })
}

/// What is recorded of a job that was cancelled before it began.
fn over_record() -> JobRecord {
    let mut s = scheduler();
    s.handle(Event::Submitted(1, spec()));
    s.handle(Event::Cancelled(JobKey::of_number(1)));
    recorded(&s.take_batch(), 1).expect("it changed")
}

#[test]
fn only_its_end_kept() {
    let mut s = scheduler();
    s.handle(Event::Submitted(1, spec()));
    s.handle(Event::Submitted(2, spec()));
    s.handle(Event::Cancelled(JobKey::of_number(1)));
    let batch = s.take_batch();
    assert_eq!(batch.finished_jobs, [JobKey::of_number(1)], "the inbox need not hold it");
    assert!(s.jobs.is_archived(&JobKey::of_number(1)) && !s.jobs.is_archived(&JobKey::of_number(2)));
    let rec = recorded(&batch, 1).expect("it changed");
    assert!(rec.rounds.is_empty());
    let over = rec.over.expect("it is over");
    assert_eq!((over.queue.as_str(), over.service.as_str(), over.accepted_at), (QUEUE, SERVICE, 50_000));
    assert_eq!(recorded(&batch, 2).expect("it is new").over, None);
    assert!(s.take_batch().finished_jobs.is_empty(), "it is told once");
}

#[test]
fn restored_without_its_text() {
    let mut next = scheduler();
    next.restore_job(JobKey::of_number(1), None, Some(over_record()));
    let batch = next.take_batch();
    assert_eq!(batch.status_updates[0].state, Some(JobStatus::Ended(Outcome::Canceled)));
    assert_eq!((batch.records.len(), batch.finished_jobs.len()), (0, 0), "nothing is new");
}

#[test]
fn left_in_the_inbox() {
    let mut next = scheduler();
    next.restore_job(JobKey::of_number(1), Some(spec()), Some(over_record()));
    let batch = next.take_batch();
    assert_eq!(batch.status_updates[0].state, Some(JobStatus::Ended(Outcome::Canceled)));
    assert_eq!(batch.finished_jobs, [JobKey::of_number(1)], "its predecessor did not come to take it out");
}

#[test]
fn handed_in_again() {
    let mut next = scheduler();
    next.restore_job(JobKey::of_number(1), None, Some(over_record()));
    next.take_batch();
    next.handle(Event::Submitted(1, spec()));
    next.handle(Event::Cancelled(JobKey::of_number(1)));
    let batch = next.take_batch();
    assert!(batch.records.is_empty() && batch.status_updates.is_empty(), "it is not begun again");
}

#[test]
fn state_without_a_job_dropped() {
    let mut begun = Job::new(JobKey::of_number(5), spec());
    begun.open_round();
    let mut next = scheduler();
    next.restore_job(JobKey::of_number(5), None, Some(begun.record()));
    let dropped = next.take_batch().records;
    assert!(
        matches!(dropped.as_slice(), [Record::DropJob(key, StateSlot::Number)] if *key == JobKey::of_number(5)),
        "{} records",
        dropped.len()
    );
}

#[test]
fn forgotten_in_order() {
    let over = || ArchivedJob {
        outcome: Outcome::Completed,
        record: FinishedJobRecord::default(),
        slot: StateSlot::Number,
    };
    let mut jobs = JobTable::default();
    jobs.insert(Job::new(JobKey::of_number(3), spec()));
    (1..=3).for_each(|n| jobs.archive(JobKey::of_number(n), over(), Duration::from_secs(n)));
    assert!(jobs.is_empty(), "a job that is over is no other any more");
    jobs.archive(JobKey::of_number(1), over(), Duration::from_secs(9));
    let gone = |jobs: &mut JobTable, s| {
        jobs.forget_archived(Duration::from_secs(s)).into_iter().map(|(k, _)| k.number).collect()
    };
    let first: Vec<u64> = gone(&mut jobs, 3);
    assert_eq!(first, [1, 2]);
    assert!(!jobs.contains(&JobKey::of_number(1)) && jobs.contains(&JobKey::of_number(3)));
}

#[test]
fn kept_where_it_was_read() {
    let key = InboxKey { job: JobKey::of_number(7), kind: InboxRecordKind::Job };
    let mut kept = InboxIndex::default();
    kept.insert(0, key);
    kept.insert(3, key);
    kept.remove(0, key);
    assert!(!kept.contains(0, key) && kept.contains(3, key), "another host wrote it as well");
    kept.remove(3, key);
    assert!(!kept.contains(3, key));
}
