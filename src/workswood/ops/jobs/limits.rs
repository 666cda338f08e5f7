//! Times that lease holders and relays keep to.

use std::time::Duration;

use workswood_core::jobs::Limits;
use workswood_core::jobs::types::lease_with_drift;

use super::renew::GRACE;
use crate::util::job_settings::JobSettings;

/// Length of a worker's lease. Long enough for a successor to take over
/// before it ends (1.8 s to notice, a second to load), short enough for what
/// ran on a lost worker to be started again.
const WORKER_LEASE: Duration = Duration::from_millis(5000);
/// A holder that is overtaken may send orders to hosts until it has read of
/// that; a few times the way from the store on a busy entry.
const HANDOVER_MARGIN: Duration = Duration::from_millis(300);
/// Share by which a worker's clock may run slow, from the platform's pages.
const DRIFT: f64 = 0.02;

/// Times of workers' leases.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTimes {
    /// Length of a lease, counted from when it was sent.
    pub lease: Duration,
}

impl LeaseTimes {
    /// The times that settings allow.
    pub fn of(settings: &JobSettings) -> LeaseTimes {
        LeaseTimes { lease: WORKER_LEASE.min(Duration::from_millis(settings.max_lease_ms)) }
    }

    /// The longest real time that a lease may last.
    pub fn span(&self) -> Duration {
        lease_with_drift(self.lease, DRIFT)
    }
}

/// What the scheduler works with.
pub(super) fn limits(s: &JobSettings) -> Limits {
    Limits {
        lease: LeaseTimes::of(s).lease,
        max_lease: Duration::from_millis(s.max_lease_ms),
        extension_grace: GRACE,
        clock_drift: DRIFT,
        host_order_delay: Duration::from_millis(s.host_handover_ms) + HANDOVER_MARGIN,
        host_orders_per_s: s.host_orders_per_s,
        ended_job_retention: Duration::from_secs_f64(s.ended_job_retention_s),
        round_lead_time: Duration::from_millis(s.round_lead_ms) / 2,
    }
}
