//! Why jobs were late, told from log lines.

use std::time::Duration;

use workswood::ops::late::timeline::Cause;
use workswood::ops::late::{LatenessReport, log_line};

/// A line written so many milliseconds after a fixed second.
fn at(ms: u64, rest: &str) -> String {
    format!("   7.25 host-1 ts=2026-03-01T10:00:{:02}.{:03}Z level=info {rest}", ms / 1000, ms % 1000)
}

/// A job that is handed in at 0 and known at 20 ms, owed within 1.5 times its
/// chain of work plus 600 ms.
fn handed_in() -> Vec<String> {
    vec![
        at(10, "event=job_handed_in job=00000000000000a1 queue=q version=4 stored=Yes took_ms=10"),
        at(20, "event=job_known job=00000000000000a1 queue=q stretch=1.5 target_ms=600"),
    ]
}

fn placed(ms: u64, task: &str) -> String {
    at(ms, &format!("event=task_placed worker=w task=00000000000000a1.0.{task} attempt=1"))
}

fn ended(ms: u64, task: &str, how: &str) -> String {
    at(ms, &format!("event=run_ended worker=w task=00000000000000a1.0.{task} attempt=1 how={how} number=1"))
}

fn completed(ms: u64) -> String {
    at(ms, "event=job_ended job=00000000000000a1 outcome=Completed age_ms=1")
}

/// Jobs that count, and the cause of each that was late.
fn causes(lines: &[String]) -> (usize, Vec<Cause>) {
    let mut report = LatenessReport::new(Duration::from_secs(2));
    lines.iter().filter_map(|l| log_line::parse(l)).for_each(|l| report.add_line(&l));
    let windows = report.windows();
    let jobs = windows.values().map(|s| s.jobs).sum();
    (jobs, windows.values().flat_map(|s| s.late_by_cause.keys().copied()).collect())
}

fn with(more: &[String]) -> Vec<String> {
    handed_in().into_iter().chain(more.iter().cloned()).collect()
}

#[test]
fn in_time() {
    // A second of work: owed within 2.1 s.
    let lines = with(&[placed(900, "0.0"), ended(1900, "0.0", "Done"), completed(1950)]);
    assert_eq!(causes(&lines), (1, vec![]));
}

/// Jobs of two queues share a number: their lines together tell of neither.
#[test]
fn shared_number() {
    let other = at(15, "event=job_known job=00000000000000a1 queue=other stretch=1.5 target_ms=600");
    let lines = with(&[other, placed(1900, "0.0"), ended(2900, "0.0", "Done"), completed(2950)]);
    assert_eq!(causes(&lines), (0, vec![]));
    let mut report = LatenessReport::new(Duration::from_secs(2));
    lines.iter().filter_map(|l| log_line::parse(l)).for_each(|l| report.add_line(&l));
    assert!(report.table().contains("several queues name them: 1 numbers of jobs"), "{}", report.table());
}

#[test]
fn no_room() {
    let lines = with(&[placed(1900, "0.0"), ended(2900, "0.0", "Done"), completed(2950)]);
    assert_eq!(causes(&lines), (1, vec![Cause::NoCapacity]));
}

#[test]
fn later_step_waited() {
    let lines = with(&[
        placed(100, "0.0"),
        ended(600, "0.0", "Done"),
        placed(2600, "1.0"),
        ended(3100, "1.0", "Done"),
        completed(3110),
    ]);
    assert_eq!(causes(&lines), (1, vec![Cause::LaterSteps]));
}

#[test]
fn lost_run() {
    let lines = with(&[
        placed(100, "0.0"),
        placed(2100, "0.0"),
        ended(2600, "0.0", "Done"),
        placed(100, "0.1"),
        ended(700, "0.1", "Done"),
        completed(2610),
    ]);
    assert_eq!(causes(&lines), (1, vec![Cause::LostRuns]));
}

#[test]
fn no_holder() {
    let mut lines =
        vec![at(10, "event=job_handed_in job=00000000000000a1 queue=q version=4 stored=Yes took_ms=10")];
    lines.push(at(2500, "event=job_known job=00000000000000a1 queue=q stretch=1.5 target_ms=600"));
    lines.extend([placed(2520, "0.0"), ended(3000, "0.0", "Done"), completed(3010)]);
    assert_eq!(causes(&lines), (1, vec![Cause::NoLeaseHolder]));
}

#[test]
fn never_accepted() {
    let lines = [at(10, "event=job_handed_in job=00000000000000a1 queue=q version=4 stored=No took_ms=10")];
    assert_eq!(causes(&lines), (1, vec![Cause::Submission]));
}

#[test]
fn cancelled_does_not_count() {
    let lines = with(&[at(900, "event=job_ended job=00000000000000a1 outcome=Canceled age_ms=1")]);
    assert_eq!(causes(&lines), (0, vec![]));
}

#[test]
fn table_and_pools() {
    let mut report = LatenessReport::new(Duration::from_secs(2));
    let mut lines = with(&[placed(1900, "0.0"), ended(2900, "0.0", "Done"), completed(2950)]);
    lines.push(at(1000, "event=pool_state service=a have=5 busy=1.0 need_now=3.0 need_soon=3.0"));
    lines.push(at(1000, "event=pool_state service=b have=7 busy=1.0 need_now=4.5 need_soon=9.0"));
    lines.push("something else that stands in the file".to_string());
    lines.iter().filter_map(|l| log_line::parse(l)).for_each(|l| report.add_line(&l));
    let table = report.table();
    let last: Vec<&str> = table.lines().rev().take(2).collect();
    assert_eq!(last[0], "hosts in pools, mean of 1 s: 12.0, needed 7.5");
    assert!(last[1].starts_with("all     1     1"), "{table}");
}
