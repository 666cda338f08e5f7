//! Medians and quantiles.

use hdrhistogram::Histogram;

/// Longest time that is told apart, in microseconds.
const MOST_MICROS: u64 = 3_600_000_000;

/// Quantiles of times in microseconds.
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        Times(Histogram::new_with_bounds(1, MOST_MICROS, 3).expect("the bounds are constants"))
    }
}

impl Times {
    /// Adds a time in seconds.
    pub fn add(&mut self, seconds: f64) {
        self.0.saturating_record((seconds * 1e6) as u64);
    }

    /// A quantile in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// How many were added.
    pub fn len(&self) -> u64 {
        self.0.len()
    }
}

/// The median of some values.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
