//! Durations of leases, and the limits that the scheduler works with.

use std::time::Duration;

use workswood_core::jobs::Limits;
use workswood_core::jobs::types::lease_with_drift;

use super::lease_renewal::FULL_LEASE_GRACE;
use crate::util::job_settings::JobSettings;

/// Duration of a worker's lease. It has to outlast a takeover by a successor of the lease holder,
/// and delays the restart of tasks that ran on a lost worker.
pub const WORKER_LEASE: Duration = Duration::from_millis(5000);
/// Time in which a lease holder that was replaced may still send orders to hosts, until it has
/// read of its replacement.
const HANDOVER_MARGIN: Duration = Duration::from_millis(300);
/// Largest share by which a worker's clock may run slow, as the platform specifies.
pub const CLOCK_DRIFT: f64 = 0.02;

/// Duration of workers' leases.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLease {
    /// Duration of a lease, counted from when the request was sent.
    pub duration: Duration,
}

impl WorkerLease {
    /// Returns the duration that the settings allow.
    pub fn of(settings: &JobSettings) -> WorkerLease {
        WorkerLease { duration: WORKER_LEASE.min(Duration::from_millis(settings.max_lease_ms)) }
    }

    /// The longest real time that a lease may last on a worker whose clock runs slow.
    pub fn max_duration_with_drift(&self) -> Duration {
        lease_with_drift(self.duration, CLOCK_DRIFT)
    }
}

/// Returns the scheduler's limits from the settings.
pub(super) fn scheduler_limits(s: &JobSettings) -> Limits {
    Limits {
        lease: WorkerLease::of(s).duration,
        max_lease: Duration::from_millis(s.max_lease_ms),
        extension_grace: FULL_LEASE_GRACE,
        clock_drift: CLOCK_DRIFT,
        host_order_delay: Duration::from_millis(s.host_handover_ms) + HANDOVER_MARGIN,
        host_orders_per_s: s.host_orders_per_s,
        ended_job_retention: Duration::from_secs_f64(s.ended_job_retention_s),
        round_lead_time: Duration::from_millis(s.round_lead_ms) / 2,
    }
}
