//! The way of one job through the logs of several hosts.
//!
//! Lines about the job are put in order, together with what happened meanwhile to
//! the workers that ran it, to the lease holder and to the store. Times are each
//! host's own.

use std::collections::HashSet;
use std::path::Path;

use serde::Serialize;
use workswood_core::ids::UnixMs;
use workswood_core::jobs::JobKey;
use workswood_core::jobs::spec::{format_job_key, parse_job_key};

use crate::ops::late::job::{Cause, JobWay, Verdict};
use crate::ops::late::line::{self, Line};
use crate::ops::late::read_log;
use crate::util::errors::{Error, Result};
use crate::util::table::columns;

/// What happens to workers, apart from the job's own runs.
const OF_WORKERS: [&str; 8] = [
    "worker_unreachable",
    "worker_reached",
    "worker_life_over",
    "worker_restarted",
    "worker_shunned",
    "worker_draining",
    "worker_unlisted",
    "fenced_by_worker",
];
/// What happens to the lease and the store, and what operators evacuate.
const OF_HOLDERS: [&str; 11] = [
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
    /// Name of the host, as far as the file tells.
    pub host: String,
    /// Its text.
    pub text: String,
}

/// One line that concerns the job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Told {
    /// When it was written, in milliseconds since 1970.
    pub at: UnixMs,
    /// Milliseconds since the first line.
    pub after_ms: u64,
    /// The host that wrote it.
    pub host: String,
    /// The event.
    pub event: String,
    /// The rest of the line.
    pub text: String,
}

/// Time that went into one thing.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TimeSpent {
    /// What it went into.
    #[serde(rename = "on")]
    pub cause: String,
    /// How much.
    pub ms: u64,
}

/// What the logs tell of one job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobHistory {
    /// The job.
    pub job: String,
    /// What became of it, as far as the logs tell.
    pub state: String,
    /// Whether it was in time, and what it lost most time by if not; empty for a
    /// job that is not done.
    pub verdict: String,
    /// What its time went into along its longest chain, if it is done.
    #[serde(rename = "spent")]
    pub time_spent: Vec<TimeSpent>,
    /// All lines that concern it, in order.
    pub lines: Vec<Told>,
}

/// Reads logs and tells the way of a job.
pub fn run(job: JobKey, paths: &[String]) -> Result<JobHistory> {
    if paths.is_empty() {
        return Err(Error::Logs { message: "name the logs of the hosts after the job".to_string() });
    }
    let logs: Result<Vec<HostLog>> = hosts(paths)
        .into_iter()
        .zip(paths)
        .map(|(host, path)| Ok(HostLog { host, text: read_log(path)? }))
        .collect();
    job_history(job, &logs?).ok_or_else(|| Error::Logs {
        message: format!("no line about job {} in {} log(s)", format_job_key(job), paths.len()),
    })
}

/// Names for hosts: those of the files, or whole paths where these are alike.
fn hosts(paths: &[String]) -> Vec<String> {
    let stem = |p: &String| Path::new(p).file_stem().map(|s| s.to_string_lossy().into_owned());
    let stems: Vec<String> = paths.iter().map(|p| stem(p).unwrap_or_else(|| p.clone())).collect();
    let different: HashSet<&String> = stems.iter().collect();
    if different.len() == paths.len() { stems } else { paths.to_vec() }
}

/// A line with where it was read.
struct Read<'a> {
    host: &'a str,
    line: Line<'a>,
    rest: &'a str,
}

impl Read<'_> {
    fn is_about(&self, job: JobKey) -> bool {
        self.line.job().and_then(parse_job_key) == Some(job)
    }
}

/// The way of a job; `None` if no line names it.
pub fn job_history(job: JobKey, logs: &[HostLog]) -> Option<JobHistory> {
    let mut all: Vec<Read<'_>> = logs.iter().flat_map(read).collect();
    all.sort_by_key(|r| r.line.at);
    let own: Vec<&Read<'_>> = all.iter().filter(|r| r.is_about(job)).collect();
    let first = own.first()?.line.at;
    let ended = own.iter().any(|r| r.line.event == "job_ended");
    let last = if ended { own.last()?.line.at } else { UnixMs::MAX };
    let workers: HashSet<&str> = own.iter().filter_map(|r| r.line.text("worker")).collect();
    let mut way = JobWay::default();
    own.iter().for_each(|r| way.take(&r.line));
    let meanwhile = |r: &&Read<'_>| {
        let of_worker = || r.line.text("worker").is_some_and(|w| workers.contains(w));
        let concerns =
            OF_HOLDERS.contains(&r.line.event) || OF_WORKERS.contains(&r.line.event) && of_worker();
        concerns && (first..=last).contains(&r.line.at)
    };
    let lines = all.iter().filter(|r| r.is_about(job) || meanwhile(r)).map(|r| told(r, first));
    let spent = way.spent().unwrap_or_default().into_iter();
    Some(JobHistory {
        job: format_job_key(job),
        state: state(&own),
        verdict: verdict(way.verdict()),
        time_spent: spent.map(|(on, ms)| TimeSpent { cause: on.to_string(), ms }).collect(),
        lines: lines.collect(),
    })
}

fn read(log: &HostLog) -> impl Iterator<Item = Read<'_>> {
    let one = |text| {
        let line = line::parse(text)?;
        let event = text.find("event=").map_or("", |at| &text[at..]);
        let rest = event.split_once(' ').map_or("", |(_, rest)| rest);
        Some(Read { host: &log.host, line, rest })
    };
    log.text.lines().filter_map(one)
}

fn told(r: &Read<'_>, first: UnixMs) -> Told {
    Told {
        at: r.line.at,
        after_ms: r.line.at - first,
        host: r.host.to_string(),
        event: r.line.event.to_string(),
        text: r.rest.to_string(),
    }
}

/// What became of a job, from its own lines in order.
fn state(own: &[&Read<'_>]) -> String {
    let ends = own.iter().filter(|r| r.line.event == "job_ended");
    if let Some(outcome) = ends.filter_map(|r| r.line.text("outcome")).next_back() {
        return outcome.to_lowercase();
    }
    let has = |event: &str| own.iter().any(|r| r.line.event == event);
    if has("task_placed") {
        return "running".to_string();
    }
    if has("job_known") {
        return "queued".to_string();
    }
    let stored = |how: &str| own.iter().any(|r| r.line.text("stored") == Some(how));
    if stored("Yes") {
        "accepted, not yet taken in by the lease holder".to_string()
    } else if stored("Unknown") {
        "not known whether it was accepted".to_string()
    } else {
        "refused".to_string()
    }
}

fn verdict(v: Verdict) -> String {
    match v {
        Verdict::InTime => "in time".to_string(),
        Verdict::Late(cause) => format!("late: {cause}"),
        Verdict::Open => String::new(),
    }
}

fn seconds(ms: u64) -> String {
    format!("{}.{:03}", ms / 1000, ms % 1000)
}

impl JobHistory {
    /// The account for terminals.
    pub fn text(&self) -> String {
        let mut head = format!("job {}: {}", self.job, self.state);
        if !self.verdict.is_empty() {
            head += &format!(", {}", self.verdict);
        }
        let spent = self.time_spent.iter().filter(|s| s.ms > 0 || s.cause == Cause::Work.to_string());
        let spent: Vec<String> = spent.map(|s| format!("{} {} s", s.cause, seconds(s.ms))).collect();
        if !spent.is_empty() {
            head += &format!("\nits time: {}", spent.join(", "));
        }
        let mut rows = vec![[" after s", "host", "event", ""].map(str::to_string).to_vec()];
        let row = |l: &Told| {
            vec![format!("{:>8}", seconds(l.after_ms)), l.host.clone(), l.event.clone(), l.text.clone()]
        };
        rows.extend(self.lines.iter().map(row));
        format!("{head}\n\n{}", columns(&rows))
    }
}
