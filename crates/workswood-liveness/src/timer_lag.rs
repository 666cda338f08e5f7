//! How late this process itself is.
//!
//! A process that gets no processor time sees its own timers fire late, and answers that
//! came in time wait unread. Counted by the clock on the wall, every peer would then be
//! silent. So time in which this process stood still is not counted against others.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Time between two looks at how late timers fire: finer than the shortest wait that is
/// judged by it, 150 ms, and ten wake-ups a second.
const EVERY: Duration = Duration::from_millis(100);
/// Lateness that is not counted: timers fire a few milliseconds late on an idle host.
const SLACK: Duration = Duration::from_millis(10);

/// Knows how long this process has stood still. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct TimerLag {
    total_us: Arc<AtomicU64>,
}

impl TimerLag {
    /// Watches how late timers fire, for ever.
    pub async fn measure(self) {
        loop {
            let due = Instant::now() + EVERY;
            tokio::time::sleep_until(due).await;
            self.record(due.elapsed());
        }
    }

    /// Notes that a timer fired late by so much.
    pub fn record(&self, late: Duration) {
        let counted = late.saturating_sub(SLACK);
        self.total_us.fetch_add(counted.as_micros() as u64, Ordering::Relaxed);
    }

    /// How long the process has stood still so far.
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.total_us.load(Ordering::Relaxed))
    }

    /// Waits for something, `within` a time in which this process did not stand still;
    /// `None` if it did not come. What had come by then but was not read yet is read.
    pub async fn timeout<F: Future>(&self, within: Duration, what: F) -> Option<F::Output> {
        let mut what = pin!(what);
        let mut left = within;
        loop {
            let before = self.total();
            let due = Instant::now() + left;
            tokio::select! {
                biased;
                res = &mut what => return Some(res),
                () = tokio::time::sleep_until(due) => {}
            }
            let own = due.elapsed().saturating_sub(SLACK);
            left = own.max(self.total().saturating_sub(before)).min(within);
            if left.is_zero() {
                return None;
            }
        }
    }
}
