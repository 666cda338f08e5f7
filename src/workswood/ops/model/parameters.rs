//! Time constants, limits and scheduler configuration of the model.

use std::time::Duration;

use workswood_core::jobs::{Limits, QueueConfig, SchedConfig, ServiceConfig, Workspaces};

use super::spec::{ModelSpec, ServiceSpec};

/// Name of the pool whose hosts are switched off.
pub const SPARE_POOL: &str = "off";
/// Number of data centres. Hosts are assigned to them in turn.
pub const DATA_CENTRES: usize = 4;
/// A start may still reach a worker for this long after its data centre was evacuated, as it
/// may have been decided before. A later start violates an invariant.
pub const EVACUATION_GRACE: Duration = Duration::from_millis(500);
/// Time of an append while the store is healthy.
pub const APPEND_TIME: Duration = Duration::from_millis(8);
/// Delay of an order to a worker or host, and of a report to the scheduler.
pub const MESSAGE_DELAY: Duration = Duration::from_millis(8);
/// Time between two ticks of the scheduler.
pub const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two reads of the host list.
pub const HOST_LIST_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two polls of a worker.
pub const POLL_INTERVAL: Duration = Duration::from_millis(900);
/// Time that a host takes to move to another pool.
pub const MOVE_TIME: Duration = Duration::from_millis(1500);
/// Time that the maintenance of a host takes.
pub const MAINTENANCE_TIME: Duration = Duration::from_millis(2000);
/// Time from the death of a lease holder until its successor has loaded the state. Includes
/// the 1.8 s without a renewal after which a lease is taken over.
pub const TAKEOVER_TIME: Duration = Duration::from_millis(2000);
/// Time that a long-running task takes to warm up.
pub const WARM_UP_TIME: Duration = Duration::from_millis(1000);
/// Time from the start of a crashing task to the crash of its worker.
pub const CRASH_DELAY: Duration = Duration::from_millis(10);
/// Time that a crashed worker is down.
pub const CRASH_DOWNTIME: Duration = Duration::from_secs(3);
/// Additional delay of a late report.
pub const LATE_REPORT_DELAY: Duration = Duration::from_millis(500);
/// Time that the lease of a worker lasts after its last answer.
pub const WORKER_LEASE: Duration = Duration::from_secs(6);
/// How long a caller tries to submit a job.
pub const CALLER_PATIENCE: Duration = Duration::from_secs(3);
/// How often a caller that was refused comes back.
pub const MAX_RETRIES: u32 = 4;
/// Time that a run continues after the last submission.
pub const TAIL_TIME: Duration = Duration::from_secs(12);
/// Most attempts of a task. No task of the model fails by itself.
pub const MAX_ATTEMPTS: u32 = 3;
/// Largest body of a request in bytes. The model sends no requests.
const MAX_BODY_BYTES: usize = 65_536;

/// Limits of the scheduler in the model.
pub fn limits() -> Limits {
    Limits {
        lease: Duration::from_secs(5),
        max_lease: Duration::from_secs(10),
        extension_grace: Duration::from_secs(4),
        clock_drift: 0.02,
        host_order_delay: Duration::from_millis(3300),
        host_orders_per_s: 64.0,
        ended_job_retention: Duration::from_secs(120),
        round_lead_time: Duration::ZERO,
    }
}

/// Builds the scheduler configuration for the services of a spec.
pub fn config(spec: &ModelSpec) -> SchedConfig {
    let service = |name: &str, spare: bool| {
        (name.to_string(), ServiceConfig { name: name.to_string(), enforces_capacity: true, spare })
    };
    let queue = |s: &ServiceSpec| QueueConfig {
        name: s.name.clone(),
        host_name: "model".to_string(),
        path_prefix: format!("/{}", s.name),
        service: s.name.clone(),
        requires_key: false,
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        deadline_factor: s.stretch,
        deadline_offset: s.target,
        advice: None,
    };
    SchedConfig {
        version: 1,
        queues: spec.services.iter().map(|s| (s.name.clone(), queue(s))).collect(),
        services: spec
            .services
            .iter()
            .map(|s| service(&s.name, false))
            .chain([service(SPARE_POOL, true)])
            .collect(),
        workspaces: Workspaces::default(),
        max_body_bytes: MAX_BODY_BYTES,
    }
}
