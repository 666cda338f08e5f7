//! The history of one job, from the logs of several hosts.
//!
//! The lines about the job are sorted by time, together with the lines of the same period
//! about the workers that ran it, the lease holder and the store. Times are those of each
//! host's own clock.

use std::collections::{BTreeSet, HashSet};
use std::path::Path;

use serde::Serialize;
use workswood_core::ids::UnixMs;
use workswood_core::jobs::JobNumber;
use workswood_core::jobs::spec::{format_job_number, parse_job_number};

use crate::ops::late::log_line::{self, LogLine};
use crate::ops::late::read_log;
use crate::ops::late::timeline::{Cause, JobTimeline, Verdict};
use crate::util::errors::{Error, Result};
use crate::util::table::columns;

/// Events of workers that are not about a run of the job.
const WORKER_EVENTS: [&str; 11] = [
    "worker_unreachable",
    "worker_reached",
    "worker_life_over",
    "worker_crashed",
    "crash_counted_others",
    "cut_off_worker_over",
    "worker_restarted",
    "worker_shunned",
    "worker_draining",
    "worker_unlisted",
    "fenced_by_worker",
];
/// Events of the lease, the scheduler, the store and evacuations.
const SYSTEM_EVENTS: [&str; 11] = [
    "lease_claimed",
    "lease_lost",
    "lease_overtaken",
    "lease_released",
    "scheduler_started",
    "scheduler_ended",
    "scheduler_failed",
    "state_loaded",
    "dependency_lost",
    "dependency_regained",
    "evacuations_known",
];

/// The log of one host.
#[derive(Clone, Debug)]
pub struct HostLog {
    /// Name of the host, taken from the name of the log file.
    pub host: String,
    /// Content of the log.
    pub text: String,
}

/// A log line of the job's history.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HistoryLine {
    /// When the line was written, in milliseconds since 1970.
    pub at: UnixMs,
    /// Milliseconds since the first line about the job.
    pub after_ms: u64,
    /// Host that wrote the line.
    pub host: String,
    /// Value of the `event` field.
    pub event: String,
    /// The fields after `event`, as written.
    pub text: String,
}

/// Time that a job spent on one cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimeSpent {
    /// What the time was spent on, as [`Cause`] displays it.
    #[serde(rename = "on")]
    pub cause: String,
    /// The time in milliseconds.
    pub ms: u64,
}

/// The history of one job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobHistory {
    /// Number of the job in hexadecimal.
    pub job: String,
    /// The queues that its lines name, if there are several: each may have a job of this number, and the lines and the
    /// times are then of all of them.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub queues: Vec<String>,
    /// Last state of the job that the logs show.
    pub state: String,
    /// Whether the job was done by its deadline, and the main cause if it was late; empty for
    /// a job that is not done.
    pub verdict: String,
    /// Time spent by cause along the critical path; empty for a job that is not done.
    #[serde(rename = "spent")]
    pub time_spent: Vec<TimeSpent>,
    /// All lines of the history, sorted by time.
    pub lines: Vec<HistoryLine>,
}

/// Reads the log files at `paths` and returns the history of a job.
///
/// Returns an error if a file can't be read or no line is about the job.
pub fn run(job: JobNumber, paths: &[String]) -> Result<JobHistory> {
    if paths.is_empty() {
        return Err(Error::InsufficientLogs {
            message: "name at least one log file after the job".to_string(),
        });
    }
    let logs: Result<Vec<HostLog>> = host_names(paths)
        .into_iter()
        .zip(paths)
        .map(|(host, path)| Ok(HostLog { host, text: read_log(path)? }))
        .collect();
    job_history(job, &logs?).ok_or_else(|| Error::InsufficientLogs {
        message: format!("no line about job {} in {} log(s)", format_job_number(job), paths.len()),
    })
}

/// Names the hosts after the stems of the log files, or after the whole paths if two stems
/// are the same.
fn host_names(paths: &[String]) -> Vec<String> {
    let stem = |p: &String| Path::new(p).file_stem().map(|s| s.to_string_lossy().into_owned());
    let stems: Vec<String> = paths.iter().map(|p| stem(p).unwrap_or_else(|| p.clone())).collect();
    let distinct: HashSet<&String> = stems.iter().collect();
    if distinct.len() == paths.len() { stems } else { paths.to_vec() }
}

/// A parsed log line with its host and its fields after `event`.
struct HostLine<'a> {
    host: &'a str,
    line: LogLine<'a>,
    fields: &'a str,
}

impl HostLine<'_> {
    fn is_about(&self, job: JobNumber) -> bool {
        self.line.job().and_then(parse_job_number) == Some(job)
    }
}

/// Collects the history of a job; `None` if no line is about it.
pub fn job_history(job: JobNumber, logs: &[HostLog]) -> Option<JobHistory> {
    let mut all: Vec<HostLine<'_>> = logs.iter().flat_map(parse_log).collect();
    all.sort_by_key(|r| r.line.at);
    let own: Vec<&HostLine<'_>> = all.iter().filter(|r| r.is_about(job)).collect();
    let first = own.first()?.line.at;
    let ended = own.iter().any(|r| r.line.event == "job_ended");
    let last = if ended { own.last()?.line.at } else { UnixMs::MAX };
    let workers: HashSet<&str> = own.iter().filter_map(|r| r.line.text("worker")).collect();
    let mut timeline = JobTimeline::default();
    own.iter().for_each(|r| timeline.add_line(&r.line));
    let is_related = |r: &&HostLine<'_>| {
        let is_about_its_worker = || r.line.text("worker").is_some_and(|w| workers.contains(w));
        let relevant = SYSTEM_EVENTS.contains(&r.line.event)
            || WORKER_EVENTS.contains(&r.line.event) && is_about_its_worker();
        relevant && (first..=last).contains(&r.line.at)
    };
    let lines = all.iter().filter(|r| r.is_about(job) || is_related(r)).map(|r| history_line(r, first));
    let spent = timeline.time_by_cause().unwrap_or_default().into_iter();
    Some(JobHistory {
        job: format_job_number(job),
        queues: several_queues(&own),
        state: state(&own),
        verdict: verdict_text(timeline.verdict()),
        time_spent: spent.map(|(cause, ms)| TimeSpent { cause: cause.to_string(), ms }).collect(),
        lines: lines.collect(),
    })
}

fn parse_log(log: &HostLog) -> impl Iterator<Item = HostLine<'_>> {
    let parse_line = |text| {
        let line = log_line::parse(text)?;
        let event = text.find("event=").map_or("", |at| &text[at..]);
        let fields = event.split_once(' ').map_or("", |(_, fields)| fields);
        Some(HostLine { host: &log.host, line, fields })
    };
    log.text.lines().filter_map(parse_line)
}

fn history_line(r: &HostLine<'_>, first: UnixMs) -> HistoryLine {
    HistoryLine {
        at: r.line.at,
        after_ms: r.line.at - first,
        host: r.host.to_string(),
        event: r.line.event.to_string(),
        text: r.fields.to_string(),
    }
}

/// The queues that lines name, if there are several.
fn several_queues(own: &[&HostLine<'_>]) -> Vec<String> {
    let named: BTreeSet<&str> = own.iter().filter_map(|r| r.line.text("queue")).collect();
    if named.len() < 2 { Vec::new() } else { named.into_iter().map(str::to_string).collect() }
}

/// Determines the last known state of a job from its own lines, sorted by time.
fn state(own: &[&HostLine<'_>]) -> String {
    let end_lines = own.iter().filter(|r| r.line.event == "job_ended");
    if let Some(outcome) = end_lines.filter_map(|r| r.line.text("outcome")).next_back() {
        return outcome.to_lowercase();
    }
    let has = |event: &str| own.iter().any(|r| r.line.event == event);
    if has("task_placed") {
        return "running".to_string();
    }
    if has("job_known") {
        return "queued".to_string();
    }
    let stored = |answer: &str| own.iter().any(|r| r.line.text("stored") == Some(answer));
    if stored("Yes") {
        "accepted, not yet taken in by the lease holder".to_string()
    } else if stored("Unknown") {
        "not known whether it was accepted".to_string()
    } else {
        "refused".to_string()
    }
}

fn verdict_text(v: Verdict) -> String {
    match v {
        Verdict::InTime => "in time".to_string(),
        Verdict::Late(cause) => format!("late: {cause}"),
        Verdict::NotCounted => String::new(),
    }
}

fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}

impl JobHistory {
    /// Formats the history for a terminal.
    pub fn text(&self) -> String {
        let mut summary = format!("job {}: {}", self.job, self.state);
        if !self.verdict.is_empty() {
            summary += &format!(", {}", self.verdict);
        }
        if !self.queues.is_empty() {
            summary += &format!(
                "\nthe lines name several queues ({}), which may each have a job of this number; state and times may be of either",
                self.queues.join(", ")
            );
        }
        let spent = self.time_spent.iter().filter(|s| s.ms > 0 || s.cause == Cause::RunTime.to_string());
        let spent: Vec<String> = spent.map(|s| format!("{} {} s", s.cause, seconds(s.ms))).collect();
        if !spent.is_empty() {
            summary += &format!("\nits time: {}", spent.join(", "));
        }
        let mut rows = vec![[" after s", "host", "event", ""].map(str::to_string).to_vec()];
        let row = |l: &HistoryLine| {
            vec![format!("{:>8}", seconds(l.after_ms)), l.host.clone(), l.event.clone(), l.text.clone()]
        };
        rows.extend(self.lines.iter().map(row));
        format!("{summary}\n\n{}", columns(&rows))
    }
}
