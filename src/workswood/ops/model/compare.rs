//! Variants side by side: a table for people, and JSON for programs.

use serde::Serialize;

use super::figures::Figures;
use crate::util::table;

/// The runs of one variant, in the order of their seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Variant {
    /// Its name: the field and its value.
    pub name: String,
    /// The mean of its runs.
    pub mean: Figures,
    /// What sets it apart from the first variant on the same seeds; `None` for
    /// the first.
    pub gain: Option<Gain>,
    /// Each run.
    pub runs: Vec<Figures>,
}

/// How much more was done in time than by the first variant on the same seeds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Gain {
    /// Mean of the differences.
    pub in_time: f64,
    /// Standard error of that mean: a gain below twice this is none.
    pub error: f64,
}

/// All variants, with the seeds that they were played on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds from it on.
    pub seeds: u64,
    /// The variants.
    pub variants: Vec<Variant>,
}

impl Gain {
    /// The gain of some runs over others on the same seeds.
    pub fn of(runs: &[Figures], over: &[Figures]) -> Gain {
        let differences: Vec<f64> = runs.iter().zip(over).map(|(a, b)| a.in_time - b.in_time).collect();
        let count = differences.len().max(1) as f64;
        let mean = differences.iter().sum::<f64>() / count;
        let squares = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>();
        let variance = squares / (count - 1.0).max(1.0);
        Gain { in_time: mean, error: (variance / count).sqrt() }
    }
}

impl Comparison {
    /// Puts the runs of a variant beside those of the first.
    pub fn add(&mut self, name: String, runs: Vec<Figures>) {
        let gain = self.variants.first().map(|first| Gain::of(&runs, &first.runs));
        self.variants.push(Variant { name, mean: Figures::mean(&runs), gain, runs });
    }

    /// The same as JSON, with each run.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).expect("figures and names can be JSON")
    }

    /// The table for people.
    pub fn table(&self) -> String {
        let head = [
            "variant",
            "jobs",
            "in time",
            "gain",
            "error",
            "worst 2 s",
            "spread",
            "hosts",
            "busy",
            "forecast",
            "least",
            "moves",
            "crashes",
        ];
        let mut rows = vec![head.map(str::to_string).to_vec()];
        rows.extend(self.variants.iter().map(Variant::row));
        table::columns(&rows)
    }
}

impl Variant {
    fn row(&self) -> Vec<String> {
        let f = &self.mean;
        let gain =
            |of: fn(&Gain) -> f64| self.gain.as_ref().map_or("-".to_string(), |g| format!("{:.3}", of(g)));
        vec![
            self.name.clone(),
            format!("{:.0}", f.jobs),
            format!("{:.3}", f.in_time),
            gain(|g| g.in_time),
            gain(|g| g.error),
            format!("{:.3}", f.worst),
            format!("{:.3}", f.worst_spread),
            format!("{:.1}", f.hosts),
            format!("{:.1}", f.busy),
            format!("{:.1}", f.forecast),
            format!("{:.1}", f.least),
            format!("{:.0}", f.moves),
            format!("{:.0}", f.crashes),
        ]
    }
}
