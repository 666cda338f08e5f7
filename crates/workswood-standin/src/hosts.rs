//! State of the simulated hosts and their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;

use workswood_core::fleet::FleetFile;
use workswood_core::plan::{HostState, ObservedHost, ObservedTask};

use crate::endpoint::EndpointStandin;

/// A simulated task on a host.
pub struct TaskSim {
    /// Fencing token that the task was started with.
    pub token: u64,
    /// Endpoint of an instance that is running; `None` for jobs.
    pub endpoint: Option<Arc<EndpointStandin>>,
    /// Whether the task succeeded; `None` while it has not ended.
    pub ended: Option<bool>,
}

/// A simulated host.
pub struct HostSim {
    /// State that the host list shows; its `tasks` and `drained` are computed by [`HostSim::list`].
    pub observed: ObservedHost,
    /// Tasks by name.
    pub tasks: BTreeMap<String, TaskSim>,
    /// Number of boots, used to form the boot identifier.
    pub boots: u64,
    /// Whether a reboot is in progress.
    pub rebooting: bool,
}

impl HostSim {
    /// Returns the host as the host list shows it.
    pub fn list(&self) -> ObservedHost {
        let tasks = self.tasks.iter().map(|(id, t)| ObservedTask {
            id: id.clone(),
            address: t.endpoint.as_ref().map(|e| e.address.to_string()).unwrap_or_default(),
            ready: t.endpoint.is_some() && self.observed.state == HostState::Live,
            used_millicores: 0,
            ended: t.ended,
            token: t.token,
        });
        let idle = self.tasks.values().all(|t| t.endpoint.as_ref().is_none_or(|e| e.in_flight() == 0));
        ObservedHost {
            tasks: tasks.collect(),
            drained: self.observed.draining && idle,
            ..self.observed.clone()
        }
    }
}

/// Creates all hosts that fleet files declare, live and in no pool.
pub fn hosts_of(files: &[FleetFile]) -> BTreeMap<String, HostSim> {
    let all = files.iter().flat_map(|f| &f.hosts).map(|h| {
        let observed = ObservedHost::newly_declared(h);
        (h.name.clone(), HostSim { observed, tasks: BTreeMap::new(), boots: 1, rebooting: false })
    });
    all.collect()
}
