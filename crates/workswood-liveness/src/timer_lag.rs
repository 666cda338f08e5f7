//! Delays of this process itself.
//!
//! A process that gets no processor time sees its own timers fire late, and replies that
//! arrived in time wait unread. By elapsed time alone, all its peers would seem silent.
//! Timeouts that use [`TimerLag`] do not count the time in which this process was stalled.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two measurements. It has to be shorter than the timeouts that use the lag.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);
/// Lateness of a timer that is not counted, since timers are a little late on an idle
/// machine too.
const TOLERANCE: Duration = Duration::from_millis(10);

/// Sums up for how long this process was stalled. Clones share the sum.
#[derive(Clone, Debug, Default)]
pub struct TimerLag {
    total_us: Arc<AtomicU64>,
}

impl TimerLag {
    /// Measures repeatedly how late timers fire; never returns.
    pub async fn measure(self) {
        loop {
            let due = Instant::now() + MEASURE_INTERVAL;
            tokio::time::sleep_until(due).await;
            self.record(due.elapsed());
        }
    }

    /// Records how late a timer fired.
    pub fn record(&self, late: Duration) {
        let counted = late.saturating_sub(TOLERANCE);
        self.total_us.fetch_add(counted.as_micros() as u64, Ordering::Relaxed);
    }

    /// Total time for which the process was stalled so far.
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.total_us.load(Ordering::Relaxed))
    }

    /// Waits for a future; `None` if it does not complete within a timeout, which does not
    /// count the time in which this process was stalled. The future is polled once more
    /// after the last wait, so input that arrived in time is still read.
    pub async fn timeout<F: Future>(&self, timeout: Duration, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        let mut left = timeout;
        loop {
            let before = self.total();
            let due = Instant::now() + left;
            tokio::select! {
                biased;
                res = &mut future => return Some(res),
                () = tokio::time::sleep_until(due) => {}
            }
            let own_lag = due.elapsed().saturating_sub(TOLERANCE);
            left = own_lag.max(self.total().saturating_sub(before)).min(timeout);
            if left.is_zero() {
                return None;
            }
        }
    }
}
