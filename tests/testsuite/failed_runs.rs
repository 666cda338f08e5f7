//! Failed runs of a task: each counts once, whoever reports it and under whatever number.

use std::collections::BTreeSet;

use workswood::ops::jobs::job_state::{decode, encode};
use workswood_core::jobs::JobRecord;
use workswood_core::jobs::failed_runs::FailedRuns;
use workswood_core::jobs::job::{TaskRecord, WorkerId};

fn workers() -> [WorkerId; 3] {
    ["w-1", "w-1@1700000000000", "w-2"].map(WorkerId::from)
}

#[test]
fn each_counts_once() {
    let [one, reborn, two] = workers();
    let mut failed = FailedRuns::default();
    assert!(failed.insert(1, Some(&one)));
    assert!(!failed.insert(1, Some(&one)), "an end that is reported again");
    assert!(failed.insert(1, Some(&two)), "another run under the same number");
    assert!(failed.insert(1, Some(&reborn)), "of another life");
    assert!(!failed.insert(1, None));
    assert!(failed.insert(2, None));
    assert_eq!(failed.count(), 4);
}

/// A failure that an earlier version has stored is counted once when its worker reports it again.
#[test]
fn unknown_worker() {
    let [one, _, two] = workers();
    let mut failed = FailedRuns::from(BTreeSet::from([1, 2]));
    assert!(!failed.insert(1, Some(&one)));
    assert!(failed.insert(1, Some(&two)));
    assert!(!failed.insert(1, Some(&one)));
    assert_eq!(failed.count(), 3);
}

/// A new lease holder knows which ends its predecessor has counted.
#[test]
fn workers_are_stored() {
    let [one, _, two] = workers();
    let failed_runs: FailedRuns =
        [(1, Some(&one)), (1, Some(&two)), (2, None), (3, Some(&two))].into_iter().collect();
    let task = TaskRecord { failed_runs, latest_attempt: 3, ..TaskRecord::default() };
    let rec = JobRecord { rounds: vec![vec![vec![task]]], ..JobRecord::default() };
    let read = decode(&encode(&rec)).expect("a state");
    let mut failed = read.rounds[0][0][0].failed_runs.clone();
    assert_eq!(failed, rec.rounds[0][0][0].failed_runs);
    assert!(!failed.insert(1, Some(&two)) && !failed.insert(3, Some(&two)) && failed.insert(3, Some(&one)));
}

/// Members that fail in one attempt are one failure; one member that fails twice under one number tells two starts apart.
#[test]
fn failures_of_a_gang() {
    let [a, b, c] = workers();
    let failed =
        |runs: &[(u32, &WorkerId)]| -> FailedRuns { runs.iter().map(|(n, w)| (*n, Some(*w))).collect() };
    let count = |members: &[FailedRuns]| FailedRuns::count_joint(members.iter());
    assert_eq!(count(&[]), 0);
    assert_eq!(count(&[failed(&[(1, &a)]), failed(&[(1, &a)]), failed(&[])]), 1);
    assert_eq!(count(&[failed(&[(1, &a)]), failed(&[(1, &b)]), failed(&[(1, &c)])]), 1);
    assert_eq!(count(&[failed(&[(1, &a), (3, &b)]), failed(&[(2, &b)]), failed(&[(3, &c)])]), 3);
    assert_eq!(count(&[failed(&[(1, &a), (1, &b)]), failed(&[(1, &c)])]), 2);
}
