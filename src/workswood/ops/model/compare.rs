//! Compares the metrics of policy variants, as a table or as JSON.

use serde::Serialize;

use super::run_metrics::RunMetrics;
use crate::util::table;

/// The runs of one variant, in the order of their seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Variant {
    /// Name of the variant: the field and its value.
    pub name: String,
    /// Mean of the runs.
    pub mean: RunMetrics,
    /// Gain over the first variant on the same seeds; `None` for the first variant.
    pub gain: Option<Gain>,
    /// Metrics of each run.
    pub runs: Vec<RunMetrics>,
}

/// Difference in the on-time share to the first variant on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Gain {
    /// Mean of the differences.
    #[serde(rename = "in_time")]
    pub on_time_share: f64,
    /// Standard error of the mean. A gain below twice this is not significant.
    #[serde(rename = "error")]
    pub standard_error: f64,
}

/// The compared variants and the seeds of their runs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The first seed.
    pub first_seed: u64,
    /// Number of consecutive seeds.
    pub seeds: u64,
    /// The variants.
    pub variants: Vec<Variant>,
}

impl Gain {
    /// Computes the gain of `runs` over `baseline`. Both are in the order of the same seeds.
    pub fn between(runs: &[RunMetrics], baseline: &[RunMetrics]) -> Gain {
        let differences: Vec<f64> =
            runs.iter().zip(baseline).map(|(a, b)| a.on_time_share - b.on_time_share).collect();
        let count = differences.len().max(1) as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
        let variance = squares / (count - 1.0).max(1.0);
        Gain { on_time_share: mean, standard_error: (variance / count).sqrt() }
    }
}

impl Comparison {
    /// Adds a variant and computes its gain over the first one.
    pub fn add(&mut self, name: String, runs: Vec<RunMetrics>) {
        let gain = self.variants.first().map(|first| Gain::between(&runs, &first.runs));
        self.variants.push(Variant { name, mean: RunMetrics::mean(&runs), gain, runs });
    }

    /// Formats the comparison as JSON, with each run.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("metrics and names can be JSON")
    }

    /// Formats the comparison as a table with one row per variant.
    pub fn table(&self) -> String {
        let header = [
            "variant",
            "jobs",
            "in time",
            "gain",
            "error",
            "late",
            "refused",
            "worst 2 s",
            "spread",
            "hosts",
            "busy",
            "forecast",
            "least",
            "moves",
            "crashes",
        ];
        let mut rows = vec![header.map(str::to_string).to_vec()];
        rows.extend(self.variants.iter().map(Variant::row));
        table::columns(&rows)
    }
}

impl Variant {
    fn row(&self) -> Vec<String> {
        let f = &self.mean;
        let gain = |field: fn(&Gain) -> f64| {
            self.gain.as_ref().map_or("-".to_string(), |g| format!("{:.3}", field(g)))
        };
        vec![
            self.name.clone(),
            format!("{:.0}", f.jobs),
            format!("{:.3}", f.on_time_share),
            gain(|g| g.on_time_share),
            gain(|g| g.standard_error),
            format!("{:.3}", f.late_share),
            format!("{:.3}", f.refused_share),
            format!("{:.3}", f.worst_windows_share),
            format!("{:.3}", f.worst_windows_std_dev),
            format!("{:.1}", f.hosts),
            format!("{:.1}", f.busy_hosts),
            format!("{:.1}", f.forecast_hosts),
            format!("{:.1}", f.min_hosts),
            format!("{:.0}", f.host_moves),
            format!("{:.0}", f.worker_crashes),
        ]
    }
}
