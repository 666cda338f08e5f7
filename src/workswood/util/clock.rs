//! The monotonic clock of a process.
//!
//! Leases and similar permissions also expire while the machine of the process is suspended. The
//! usual monotonic clock stops during a suspension, so a lease holder that resumes would continue
//! although another process may hold the lease. This clock counts the time of suspensions. Timers
//! do not: a timer that was set before a suspension fires later by its duration.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Time between two checks for a suspension.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest suspension that is logged. The two clocks are not read at the same moment, so they
/// always differ a little.
const MIN_LOGGED: Duration = Duration::from_millis(200);

/// A monotonic clock that starts at zero. Clones show the same time.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    /// The system's clock since boot, and its time when this clock was created.
    Boot(Duration),
    /// The async runtime's clock since an instant, and milliseconds of simulated suspension.
    Runtime(Instant, Arc<AtomicU64>),
}

impl Clock {
    /// Creates a clock that counts suspensions; if the system's clock can't be read, one that
    /// does not.
    pub fn since_boot() -> Clock {
        match boot_time() {
            Ok(now) => Clock { source: Source::Boot(now) },
            Err(e) => {
                log::error!("event=clock_not_read clock=boot error=\"{e}\"");
                Clock::runtime()
            }
        }
    }

    /// Creates a clock that follows the clock of the async runtime, which tests may pause.
    pub fn runtime() -> Clock {
        Clock { source: Source::Runtime(Instant::now(), Arc::default()) }
    }

    /// Time since the clock was created.
    pub fn now(&self) -> Duration {
        match &self.source {
            // Reading the clock worked before, so it should not fail here.
            Source::Boot(created) => boot_time().map_or(Duration::ZERO, |now| now.saturating_sub(*created)),
            Source::Runtime(created, suspended_ms) => {
                created.elapsed() + Duration::from_millis(suspended_ms.load(Ordering::Acquire))
            }
        }
    }

    /// Simulates a suspension, for tests. Has an effect only on a clock that follows the runtime.
    pub fn simulate_suspension(&self, duration: Duration) {
        if let Source::Runtime(_, suspended_ms) = &self.source {
            suspended_ms.fetch_add(duration.as_millis() as u64, Ordering::AcqRel);
        }
    }

    /// Logs each suspension; never returns.
    pub async fn log_suspensions(self) {
        let mut last_now = self.now();
        let mut last_instant = Instant::now();
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let (now, instant) = (self.now(), Instant::now());
            let suspended = now.saturating_sub(last_now).saturating_sub(instant - last_instant);
            if suspended >= MIN_LOGGED {
                log::warn!("event=suspended for_ms={}", suspended.as_millis());
            }
            (last_now, last_instant) = (now, instant);
        }
    }
}

/// Time since the system was booted, suspensions included.
fn boot_time() -> nix::Result<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from)
}
