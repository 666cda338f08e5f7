//! Medians and latency quantiles.

use hdrhistogram::Histogram;

/// Longest recorded time in microseconds. Longer times count as this one.
const MAX_MICROS: u64 = 3_600_000_000;

/// Histogram of latencies in microseconds.
pub struct LatencyHistogram(Histogram<u64>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        LatencyHistogram(Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("the bounds are constants"))
    }
}

impl LatencyHistogram {
    /// Records a latency in seconds.
    pub fn record(&mut self, seconds: f64) {
        self.0.saturating_record((seconds * 1e6) as u64);
    }

    /// Returns a quantile, from 0 to 1, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of recorded latencies.
    pub fn len(&self) -> u64 {
        self.0.len()
    }
}

/// Returns the median, or NaN if there are no values. Of two middle values it is the larger.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
