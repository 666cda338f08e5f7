//! When an answer is late.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Weight of the newest answer in the mean time that answers take.
const NEWEST: f64 = 0.3;

/// Knows how long answers take, and so when one is late.
///
/// Only answers count, and calls without one over a connection that was new. Any
/// other call that was given up says how long its caller waited; with it the mean
/// would rise each time a connection goes silent, so that the next one is noticed
/// later.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    mean_us: AtomicU64,
    times: f64,
    not_before: Duration,
}

impl AdaptiveTimeout {
    /// An answer is late after this many times the mean, but not before a time.
    pub const fn new(times: f64, not_before: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { mean_us: AtomicU64::new(0), times, not_before }
    }

    /// Likewise, with a mean to begin with.
    pub const fn with_initial_mean(self, mean: Duration) -> AdaptiveTimeout {
        AdaptiveTimeout { mean_us: AtomicU64::new(mean.as_micros() as u64), ..self }
    }

    /// Notes how long an answer took.
    pub fn record(&self, took: Duration) {
        let before = self.mean_us.load(Ordering::Relaxed) as f64;
        let mean = before + (took.as_micros() as f64 - before) * NEWEST;
        self.mean_us.store(mean as u64, Ordering::Relaxed);
    }

    /// Mean time that answers take.
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.mean_us.load(Ordering::Relaxed))
    }

    /// The time after which an answer is late.
    pub fn late_after(&self) -> Duration {
        self.mean().mul_f64(self.times).max(self.not_before)
    }
}
