//! What one run showed.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use super::load::ModelJob;

/// Length of the spans of time of which the worst count.
const SPAN: Duration = Duration::from_secs(2);
/// How many of them.
const WORST: usize = 2;

/// What one run showed, or the mean of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Jobs that end by themselves.
    pub jobs: f64,
    /// Share of their worth that was done in time.
    pub in_time: f64,
    /// The same of jobs handed in within the two worst spans of 2 s.
    pub worst: f64,
    /// Standard deviation of `worst` over the runs.
    pub worst_spread: f64,
    /// Mean number of hosts that are on.
    #[serde(rename = "machines")]
    pub hosts: f64,
    /// Mean number of hosts that the running tasks fill.
    pub busy: f64,
    /// Mean number that no policy can do with less of; see [`Bound`](super::bound::Bound).
    pub least: f64,
    /// Mean number with a perfect forecast and no delay; likewise.
    pub forecast: f64,
    /// Hosts that changed their pool.
    pub moves: f64,
    /// Workers that crashed under a task.
    pub crashes: f64,
}

/// Worth in time, and in all.
type Earned = (f64, f64);

fn share(earned: Earned) -> f64 {
    if earned.1 > 0.0 { earned.0 / earned.1 } else { 1.0 }
}

impl Figures {
    /// Figures of a run from its jobs and when each was done; hosts and moves
    /// are filled in by who counted them.
    pub fn of(jobs: &[ModelJob], done: &BTreeMap<u64, Duration>) -> Figures {
        let mut all: Earned = (0.0, 0.0);
        let mut spans: BTreeMap<u128, Earned> = BTreeMap::new();
        let counted = jobs.iter().filter(|j| j.worth > 0.0);
        for j in counted.clone() {
            let in_time = done.get(&j.key).is_some_and(|at| *at <= j.owed);
            let earned = if in_time { j.worth } else { 0.0 };
            let span = spans.entry(j.at.as_millis() / SPAN.as_millis()).or_default();
            for sum in [&mut all, span] {
                sum.0 += earned;
                sum.1 += j.worth;
            }
        }
        let mut shares: Vec<f64> = spans.into_values().map(share).collect();
        shares.sort_by(f64::total_cmp);
        let worst = &shares[..shares.len().min(WORST)];
        Figures {
            jobs: counted.count() as f64,
            in_time: share(all),
            worst: if worst.is_empty() { 1.0 } else { worst.iter().sum::<f64>() / worst.len() as f64 },
            ..Figures::default()
        }
    }

    /// The mean of several runs.
    pub fn mean(all: &[Figures]) -> Figures {
        let count = all.len().max(1) as f64;
        let mean = |of: fn(&Figures) -> f64| all.iter().map(of).sum::<f64>() / count;
        let worst = mean(|f| f.worst);
        let variance = all.iter().map(|f| (f.worst - worst).powi(2)).sum::<f64>() / count;
        Figures {
            jobs: mean(|f| f.jobs),
            in_time: mean(|f| f.in_time),
            worst,
            worst_spread: variance.sqrt(),
            hosts: mean(|f| f.hosts),
            busy: mean(|f| f.busy),
            least: mean(|f| f.least),
            forecast: mean(|f| f.forecast),
            moves: mean(|f| f.moves),
            crashes: mean(|f| f.crashes),
        }
    }
}
