//! Metrics of simulation runs.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::workload::ModelJob;

/// Length of the time windows by submission of which the worst are averaged.
const WINDOW: Duration = Duration::from_secs(2);
/// Number of worst time windows that are averaged.
const WORST_WINDOWS: usize = 2;

/// A job that takes longer than this multiple of its time to the deadline is worth nothing.
const LATE_FACTOR: u32 = 3;

/// Metrics of one run, or their means over several runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RunMetrics {
    /// Number of jobs that have a value.
    pub jobs: f64,
    /// Share of the total value that was completed by the deadline.
    #[serde(rename = "in_time")]
    pub on_time_share: f64,
    /// Mean on-time share of the two worst windows of 2 s by submission.
    #[serde(rename = "worst")]
    pub worst_windows_share: f64,
    /// Standard deviation of `worst_windows_share` over the runs.
    #[serde(rename = "worst_spread")]
    pub worst_windows_std_dev: f64,
    /// Mean number of hosts that are switched on.
    #[serde(rename = "machines")]
    pub hosts: f64,
    /// Mean CPU usage of the running tasks, in hosts.
    #[serde(rename = "busy")]
    pub busy_hosts: f64,
    /// Mean number of hosts that any policy needs; see
    /// [`LowerBounds::any_policy`](super::lower_bound::LowerBounds::any_policy).
    #[serde(rename = "least")]
    pub min_hosts: f64,
    /// Mean number of hosts with a perfect forecast and no delays; see
    /// [`LowerBounds::perfect_forecast`](super::lower_bound::LowerBounds::perfect_forecast).
    #[serde(rename = "forecast")]
    pub forecast_hosts: f64,
    /// Number of moves of hosts to another pool.
    #[serde(rename = "moves")]
    pub host_moves: f64,
    /// Number of worker crashes.
    #[serde(rename = "crashes")]
    pub worker_crashes: f64,
    /// Share of the total value that was completed late, but within [`LATE_FACTOR`] times the time to
    /// the deadline.
    #[serde(rename = "late")]
    pub late_share: f64,
    /// Share of the jobs that were never accepted.
    #[serde(rename = "refused")]
    pub refused_share: f64,
}

/// Value completed by the deadline, and total value.
type Value = (f64, f64);

fn on_time_share(value: Value) -> f64 {
    if value.1 > 0.0 { value.0 / value.1 } else { 1.0 }
}

impl RunMetrics {
    /// Computes the metrics of a run from its jobs and their completion times. Metrics of hosts,
    /// workers and refusals are left at 0.
    pub fn from_jobs(jobs: &[ModelJob], completed_at: &BTreeMap<u64, Duration>) -> RunMetrics {
        let mut all: Value = (0.0, 0.0);
        let mut windows: BTreeMap<u128, Value> = BTreeMap::new();
        let counted = jobs.iter().filter(|j| j.value > 0.0);
        for j in counted.clone() {
            let on_time = completed_at.get(&j.key).is_some_and(|at| *at <= j.deadline);
            let earned = if on_time { j.value } else { 0.0 };
            let window = windows.entry(j.submitted_at.as_millis() / WINDOW.as_millis()).or_default();
            for sum in [&mut all, window] {
                sum.0 += earned;
                sum.1 += j.value;
            }
        }
        let is_late = |j: &&ModelJob| {
            let worthless_at = j.submitted_at + (j.deadline - j.submitted_at) * LATE_FACTOR;
            completed_at.get(&j.key).is_some_and(|at| *at > j.deadline && *at <= worthless_at)
        };
        let late: f64 = counted.clone().filter(is_late).map(|j| j.value).sum();
        let mut shares: Vec<f64> = windows.into_values().map(on_time_share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(WORST_WINDOWS)];
        RunMetrics {
            jobs: counted.count() as f64,
            on_time_share: on_time_share(all),
            late_share: late / all.1.max(1.0),
            worst_windows_share: if worst.is_empty() {
                1.0
            } else {
                worst.iter().sum::<f64>() / worst.len() as f64
            },
            ..RunMetrics::default()
        }
    }

    /// Computes the means of several runs, and the standard deviation of their worst windows.
    pub fn mean(all: &[RunMetrics]) -> RunMetrics {
        let count = all.len().max(1) as f64;
        let mean = |metric: fn(&RunMetrics) -> f64| all.iter().map(metric).sum::<f64>() / count;
        let worst = mean(|f| f.worst_windows_share);
        let variance = all.iter().map(|f| (f.worst_windows_share - worst).powi(2)).sum::<f64>() / count;
        RunMetrics {
            jobs: mean(|f| f.jobs),
            on_time_share: mean(|f| f.on_time_share),
            late_share: mean(|f| f.late_share),
            refused_share: mean(|f| f.refused_share),
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
