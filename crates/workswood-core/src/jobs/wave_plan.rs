//! How far a maintenance wave should be by now.

use std::time::Duration;

use super::policy::WavePolicy;
use crate::ids::UnixMs;

/// The two clocks of a lease holder.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clocks {
    /// Monotonic time.
    pub now: Duration,
    /// Time of day.
    pub wall: UnixMs,
}

/// When a wave was requested, as far as a lease holder knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTime {
    /// When this holder first knew of the wave.
    pub known_since: Duration,
    /// Time of day at which the first holder knew of it.
    pub recorded: UnixMs,
}

impl RequestTime {
    /// How long ago the wave was requested. The time of day bridges changes of holder; the monotonic
    /// clock is the lower bound if the time of day was set back.
    pub(super) fn elapsed(&self, clocks: Clocks) -> Duration {
        let by_holder = clocks.now.saturating_sub(self.known_since);
        by_holder.max(Duration::from_millis(clocks.wall.saturating_sub(self.recorded)))
    }
}

/// How many of a wave's hosts should be finished or begun once `elapsed` of the time allowed has
/// passed; `short` tells whether some pool is short of hosts.
pub(super) fn planned_hosts(
    hosts: usize,
    time_allowed: Duration,
    elapsed: Duration,
    short: bool,
    policy: &WavePolicy,
) -> usize {
    let time_share = if short { policy.planned_time_share_when_short } else { policy.planned_time_share };
    let within = time_allowed.mul_f64(time_share).as_secs_f64();
    let passed = (elapsed + policy.lead_time).as_secs_f64();
    let share = if within > 0.0 { (passed / within).min(1.0) } else { 1.0 };
    (hosts as f64 * share).ceil() as usize
}
