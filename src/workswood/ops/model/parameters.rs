//! What the model takes from the deployments known to us: times and bounds.

use std::time::Duration;

use workswood_core::jobs::{Limits, QueueConfig, SchedConfig, ServiceConfig, Workspaces};

use super::spec::{ModelSpec, ServiceSpec};

/// Name of the pool whose hosts are off.
pub const SPARE: &str = "off";
/// Data centres that the hosts stand in, by turns.
pub const DATA_CENTRES: usize = 4;
/// A start that reaches a worker later than this after its data centre was evacuated was decided in spite of that:
/// several times what a write and the way there take.
pub const EVACUATED_WITHIN: Duration = Duration::from_millis(500);
/// Time of an append when the store is well; median of the prepared platform.
pub const APPEND: Duration = Duration::from_millis(8);
/// Way of an order to a worker, and of an end to the scheduler; likewise.
pub const WAY: Duration = Duration::from_millis(8);
/// Time between two ticks of the scheduler, as the process has it.
pub const TICK: Duration = Duration::from_millis(150);
/// Time between two lists of hosts, as the process has it.
pub const LIST: Duration = Duration::from_millis(600);
/// Time between two looks at a worker that has nothing to tell, as the process
/// has it.
pub const LOOK: Duration = Duration::from_millis(900);
/// How long a host takes to another pool; seen on the prepared platform.
pub const MOVE: Duration = Duration::from_millis(1500);
/// How long its maintenance takes; likewise.
pub const UPKEEP: Duration = Duration::from_millis(2000);
/// How long it takes to notice that a lease holder is gone (1.8 s without a
/// renewal), and to load its state.
pub const TAKEOVER: Duration = Duration::from_millis(2000);
/// How long a lasting task takes before it serves.
pub const WARM_UP: Duration = Duration::from_millis(1000);
/// How long after its start a task crashes its worker that does so; seen on the prepared
/// platform.
pub const CRASH_AFTER: Duration = Duration::from_millis(10);
/// How long a worker is away that has crashed; between 1 and 5 s there.
pub const CRASH_AWAY: Duration = Duration::from_secs(3);
/// How much later a report is heard that is late.
pub const LATE_REPORT: Duration = Duration::from_millis(500);
/// How long a lease of a worker lasts from its last answer on.
pub const LEASE: Duration = Duration::from_secs(6);
/// How long a run goes on after the last job.
pub const AFTER: Duration = Duration::from_secs(12);
/// Tries that a task may have; no task of the model fails by itself.
pub const MAX_ATTEMPTS: u32 = 3;
/// Most bytes of a request's body; the model sends none.
const MAX_BODY_BYTES: usize = 65_536;

/// Bounds of the platform on the deployments known to us.
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

/// Queues and services of a spec.
pub fn config(spec: &ModelSpec) -> SchedConfig {
    let service = |name: &str, spare: bool| {
        (name.to_string(), ServiceConfig { name: name.to_string(), guards_room: true, spare })
    };
    let queue = |s: &ServiceSpec| QueueConfig {
        name: s.name.clone(),
        host: "model".to_string(),
        path_prefix: format!("/{}", s.name),
        service: s.name.clone(),
        keyed: false,
        priority: 0,
        max_attempts: MAX_ATTEMPTS,
        stretch: s.stretch,
        target: s.target,
        advice: None,
    };
    SchedConfig {
        version: 1,
        queues: spec.services.iter().map(|s| (s.name.clone(), queue(s))).collect(),
        services: spec
            .services
            .iter()
            .map(|s| service(&s.name, false))
            .chain([service(SPARE, true)])
            .collect(),
        workspaces: Workspaces::default(),
        max_body_bytes: MAX_BODY_BYTES,
    }
}
