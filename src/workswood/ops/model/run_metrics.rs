//! What one run showed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::workload::ModelJob;

/// Length of the spans of time of which the worst count.
const SPAN: Duration = Duration::from_secs(2);
/// How many of them.
const WORST: usize = 2;

/// What one run showed, or the mean of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RunMetrics {
    /// Jobs that end by themselves.
    pub jobs: f64,
    /// Share of their worth that was done in time.
    #[serde(rename = "in_time")]
    pub on_time_share: f64,
    /// The same of jobs handed in within the two worst spans of 2 s.
    #[serde(rename = "worst")]
    pub worst_windows_share: f64,
    /// Standard deviation of `worst` over the runs.
    #[serde(rename = "worst_spread")]
    pub worst_windows_std_dev: f64,
    /// Mean number of hosts that are on.
    #[serde(rename = "machines")]
    pub hosts: f64,
    /// Mean number of hosts that the running tasks fill.
    #[serde(rename = "busy")]
    pub busy_hosts: f64,
    /// Mean number that no policy can do with less of; see [`Bound`](super::lower_bound::LowerBounds).
    #[serde(rename = "least")]
    pub min_hosts: f64,
    /// Mean number with a perfect forecast and no delay; likewise.
    #[serde(rename = "forecast")]
    pub forecast_hosts: f64,
    /// Hosts that changed their pool.
    #[serde(rename = "moves")]
    pub host_moves: f64,
    /// Workers that crashed under a task.
    #[serde(rename = "crashes")]
    pub worker_crashes: f64,
}

/// Worth in time, and in all.
type Earned = (f64, f64);

fn share(earned: Earned) -> f64 {
    if earned.1 > 0.0 { earned.0 / earned.1 } else { 1.0 }
}

impl RunMetrics {
    /// RunMetrics of a run from its jobs and when each was done; hosts and moves
    /// are filled in by who counted them.
    pub fn from_jobs(jobs: &[ModelJob], done: &BTreeMap<u64, Duration>) -> RunMetrics {
        let mut all: Earned = (0.0, 0.0);
        let mut spans: BTreeMap<u128, Earned> = BTreeMap::new();
        let counted = jobs.iter().filter(|j| j.value > 0.0);
        for j in counted.clone() {
            let in_time = done.get(&j.key).is_some_and(|at| *at <= j.deadline);
            let earned = if in_time { j.value } else { 0.0 };
            let span = spans.entry(j.submitted_at.as_millis() / SPAN.as_millis()).or_default();
            for sum in [&mut all, span] {
                sum.0 += earned;
                sum.1 += j.value;
            }
        }
        let mut shares: Vec<f64> = spans.into_values().map(share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(WORST)];
        RunMetrics {
            jobs: counted.count() as f64,
            on_time_share: share(all),
            worst_windows_share: if worst.is_empty() {
                1.0
            } else {
                worst.iter().sum::<f64>() / worst.len() as f64
            },
            ..RunMetrics::default()
        }
    }

    /// The mean of several runs.
    pub fn mean(all: &[RunMetrics]) -> RunMetrics {
        let count = all.len().max(1) as f64;
        let mean = |of: fn(&RunMetrics) -> f64| all.iter().map(of).sum::<f64>() / count;
        let worst = mean(|f| f.worst_windows_share);
        let variance = all.iter().map(|f| (f.worst_windows_share - worst).powi(2)).sum::<f64>() / count;
        RunMetrics {
            jobs: mean(|f| f.jobs),
            on_time_share: mean(|f| f.on_time_share),
            worst_windows_share: worst,
            worst_windows_std_dev: variance.sqrt(),
            hosts: mean(|f| f.hosts),
            busy_hosts: mean(|f| f.busy_hosts),
            min_hosts: mean(|f| f.min_hosts),
            forecast_hosts: mean(|f| f.forecast_hosts),
            host_moves: mean(|f| f.host_moves),
            worker_crashes: mean(|f| f.worker_crashes),
        }
    }
}
