//! Counts the causes of late jobs by time window.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use workswood_core::ids::UnixMs;
use workswood_core::jobs::JobNumber;
use workswood_core::jobs::spec::parse_job_number;

use super::log_line::LogLine;
use super::timeline::{Cause, JobTimeline, Verdict};
use crate::util::table;

/// Hosts of all pools and the hosts that they need, summed over the `pool_state` lines of
/// one second.
#[derive(Clone, Copy, Debug, Default)]
struct PoolTotals {
    available: f64,
    needed: f64,
}

/// Jobs that were submitted within one time window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeWindow {
    /// Number of counted jobs, on time or late.
    pub jobs: usize,
    /// Number of late jobs by main cause.
    pub late_by_cause: BTreeMap<Cause, usize>,
}

/// Timelines of all jobs and totals of all pools, collected from log lines.
#[derive(Debug)]
pub struct LatenessReport {
    window: Duration,
    jobs: HashMap<JobNumber, JobTimeline>,
    /// The queue of each number, as it is named first.
    queues: HashMap<JobNumber, String>,
    /// Numbers that several queues name. Their lines may be of several jobs, so they are not counted.
    shared_numbers: BTreeSet<JobNumber>,
    /// Totals by the second of the lines, in seconds since 1970.
    pools: BTreeMap<UnixMs, PoolTotals>,
}

impl LatenessReport {
    /// Creates an empty report with time windows of length `window`.
    pub fn new(window: Duration) -> LatenessReport {
        LatenessReport {
            window,
            jobs: HashMap::new(),
            queues: HashMap::new(),
            shared_numbers: BTreeSet::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Adds a log line. Lines about neither a pool nor a job are ignored.
    pub fn add_line(&mut self, line: &LogLine<'_>) {
        if line.event == "pool_state" {
            self.add_pool_line(line);
            return;
        }
        if let Some(number) = line.job().and_then(parse_job_number) {
            self.note_queue(number, line);
            self.jobs.entry(number).or_default().add_line(line);
        }
    }

    fn note_queue(&mut self, number: JobNumber, line: &LogLine<'_>) {
        let Some(queue) = line.text("queue") else { return };
        let first = self.queues.entry(number).or_insert_with(|| queue.to_string());
        if first != queue {
            self.shared_numbers.insert(number);
        }
    }

    fn add_pool_line(&mut self, line: &LogLine<'_>) {
        let totals = self.pools.entry(line.at / 1000).or_default();
        totals.available += line.value::<f64>("have").unwrap_or(0.0);
        totals.needed += line.value::<f64>("need_now").unwrap_or(0.0);
    }

    /// Counted jobs by the start of the time window in which they were submitted, in
    /// milliseconds since 1970.
    pub fn windows(&self) -> BTreeMap<UnixMs, TimeWindow> {
        let length = self.window.as_millis().max(1) as UnixMs;
        let mut windows: BTreeMap<UnixMs, TimeWindow> = BTreeMap::new();
        let alone = self.jobs.iter().filter(|(number, _)| !self.shared_numbers.contains(number));
        for (_, job) in alone {
            let verdict = job.verdict();
            let Some(at) = job.submitted_at().filter(|_| verdict != Verdict::NotCounted) else { continue };
            let window = windows.entry(at / length * length).or_default();
            window.jobs += 1;
            if let Verdict::Late(cause) = verdict {
                *window.late_by_cause.entry(cause).or_default() += 1;
            }
        }
        windows
    }

    /// Formats a table with one row per time window and a last row for all jobs, followed by
    /// the mean number of hosts in pools.
    pub fn table(&self) -> String {
        let windows = self.windows();
        let mut all = TimeWindow::default();
        let mut rows = vec![header()];
        let first = windows.keys().next().copied().unwrap_or(0);
        for (at, window) in &windows {
            all.jobs += window.jobs;
            window
                .late_by_cause
                .iter()
                .for_each(|(cause, n)| *all.late_by_cause.entry(*cause).or_default() += n);
            rows.push(row(&format!("{:.1}", (at - first) as f64 / 1000.0), window));
        }
        rows.push(row("all", &all));
        format!("{}{}{}", table::columns(&rows), self.shared_note(), self.pool_means())
    }

    /// Tells how many numbers are not counted; empty if all are.
    fn shared_note(&self) -> String {
        match self.shared_numbers.len() {
            0 => String::new(),
            n => format!("not counted, since several queues name them: {n} numbers of jobs\n"),
        }
    }

    /// Formats the mean number of hosts in pools, and of hosts needed, over all seconds with pool lines.
    fn pool_means(&self) -> String {
        let seconds = self.pools.len().max(1) as f64;
        let available: f64 = self.pools.values().map(|p| p.available).sum();
        let needed: f64 = self.pools.values().map(|p| p.needed).sum();
        format!(
            "hosts in pools, mean of {seconds} s: {:.1}, needed {:.1}\n",
            available / seconds,
            needed / seconds
        )
    }
}

fn header() -> Vec<String> {
    let fixed = ["from s", "jobs", "late"].map(str::to_string);
    fixed.into_iter().chain(Cause::ALL.iter().map(Cause::to_string)).collect()
}

fn row(from: &str, window: &TimeWindow) -> Vec<String> {
    let late: usize = window.late_by_cause.values().sum();
    let by_cause = Cause::ALL.iter().map(|c| window.late_by_cause.get(c).copied().unwrap_or(0).to_string());
    [from.to_string(), window.jobs.to_string(), late.to_string()].into_iter().chain(by_cause).collect()
}
