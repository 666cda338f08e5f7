//! Sums up why jobs were late.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use workswood_core::ids::UnixMs;
use workswood_core::jobs::JobKey;
use workswood_core::jobs::spec::parse_job_key;

use super::log_line::LogLine;
use super::timeline::{Cause, JobTimeline, Verdict};
use crate::util::table;

/// Hosts of all pools in one second, and what they need; summed up over the
/// lines of that second.
#[derive(Clone, Copy, Debug, Default)]
struct PoolSecond {
    have: f64,
    need: f64,
}

/// Jobs that were handed in within one span of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TimeWindow {
    /// Jobs that count.
    pub jobs: usize,
    /// Late ones by cause.
    pub late_by_cause: BTreeMap<Cause, usize>,
}

/// What the logs tell of all jobs.
#[derive(Debug)]
pub struct LatenessReport {
    span: Duration,
    jobs: HashMap<JobKey, JobTimeline>,
    pools: BTreeMap<UnixMs, PoolSecond>,
}

impl LatenessReport {
    /// An account by spans of this length.
    pub fn new(span: Duration) -> LatenessReport {
        LatenessReport { span, jobs: HashMap::new(), pools: BTreeMap::new() }
    }

    /// Takes a line in.
    pub fn add_line(&mut self, line: &LogLine<'_>) {
        if line.event == "pool_state" {
            self.take_pool(line);
            return;
        }
        if let Some(key) = line.job().and_then(parse_job_key) {
            self.jobs.entry(key).or_default().add_line(line);
        }
    }

    fn take_pool(&mut self, line: &LogLine<'_>) {
        let second = self.pools.entry(line.at / 1000).or_default();
        second.have += line.value::<f64>("have").unwrap_or(0.0);
        second.need += line.value::<f64>("need_now").unwrap_or(0.0);
    }

    /// The spans of time in which jobs were handed in, by their beginning.
    pub fn windows(&self) -> BTreeMap<UnixMs, TimeWindow> {
        let length = self.span.as_millis().max(1) as UnixMs;
        let mut spans: BTreeMap<UnixMs, TimeWindow> = BTreeMap::new();
        for job in self.jobs.values() {
            let verdict = job.verdict();
            let Some(at) = job.handed_in().filter(|_| verdict != Verdict::NotCounted) else { continue };
            let span = spans.entry(at / length * length).or_default();
            span.jobs += 1;
            if let Verdict::Late(cause) = verdict {
                *span.late_by_cause.entry(cause).or_default() += 1;
            }
        }
        spans
    }

    /// The table that is printed: a row a span, and a last one for all.
    pub fn table(&self) -> String {
        let spans = self.windows();
        let mut all = TimeWindow::default();
        let mut rows = vec![head()];
        let first = spans.keys().next().copied().unwrap_or(0);
        for (at, span) in &spans {
            all.jobs += span.jobs;
            span.late_by_cause
                .iter()
                .for_each(|(cause, n)| *all.late_by_cause.entry(*cause).or_default() += n);
            rows.push(row(&format!("{:.1}", (at - first) as f64 / 1000.0), span));
        }
        rows.push(row("all", &all));
        format!("{}{}", table::columns(&rows), self.pool_line())
    }

    /// One line about hosts in pools.
    fn pool_line(&self) -> String {
        let seconds = self.pools.len().max(1) as f64;
        let have: f64 = self.pools.values().map(|p| p.have).sum();
        let need: f64 = self.pools.values().map(|p| p.need).sum();
        format!("hosts in pools, mean of {seconds} s: {:.1}, needed {:.1}\n", have / seconds, need / seconds)
    }
}

fn head() -> Vec<String> {
    let fixed = ["from s", "jobs", "late"].map(str::to_string);
    fixed.into_iter().chain(Cause::ALL.iter().map(Cause::to_string)).collect()
}

fn row(from: &str, span: &TimeWindow) -> Vec<String> {
    let late: usize = span.late_by_cause.values().sum();
    let by_cause = Cause::ALL.iter().map(|c| span.late_by_cause.get(c).copied().unwrap_or(0).to_string());
    [from.to_string(), span.jobs.to_string(), late.to_string()].into_iter().chain(by_cause).collect()
}
