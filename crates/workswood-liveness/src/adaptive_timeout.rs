//! A timeout that follows the latencies of earlier replies.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of the newest latency in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// Decides when a reply is late: after a multiple of the mean latency of earlier replies.
///
/// Latencies should be recorded of calls that were answered, and of calls that timed out
/// over a new connection. How long any other unanswered call took says only how long its
/// caller waited. Recording that would raise the mean each time a connection goes silent,
/// so that the next silent connection is noticed later.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    mean_us: AtomicU64,
    multiple: f64,
    min: Duration,
}

impl AdaptiveTimeout {
    /// Creates a timeout of a multiple of the mean latency, but at least `min`.
    pub const fn new(multiple: f64, min: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { mean_us: AtomicU64::new(0), multiple, min }
    }

    /// Sets the mean latency to start with, which is 0 otherwise.
    pub const fn with_initial_mean(self, mean: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { mean_us: AtomicU64::new(mean.as_micros() as u64), ..self }
    }

    /// Records how long a reply took.
    pub fn record(&self, latency: Duration) {
        let before = self.mean_us.load(Ordering::Relaxed) as f64;
        let mean = before + (latency.as_micros() as f64 - before) * NEWEST_WEIGHT;
        self.mean_us.store(mean as u64, Ordering::Relaxed);
    }

    /// Exponentially weighted mean of the latencies.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// The time after which a reply is late.
    pub fn late_after(&self) -> Duration {
        self.mean().mul_f64(self.multiple).max(self.min)
    }
}
