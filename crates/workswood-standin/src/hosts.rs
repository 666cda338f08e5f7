//! The hosts of the stand-in platform and what acts do to them.

use std::collections::BTreeMap;
use std::sync::Arc;

use workswood_core::fleet::FleetFile;
use workswood_core::plan::{HostState, ObservedHost, ObservedTask};

use crate::endpoint::EndpointStandin;

/// A task on a host.
pub struct TaskSim {
    /// Token it was started with.
    pub token: u64,
    /// The endpoint, for instances that are up.
    pub endpoint: Option<Arc<EndpointStandin>>,
    /// How it ended.
    pub ended: Option<bool>,
}

/// A host.
pub struct HostSim {
    /// What the list says of it, apart from tasks.
    pub observed: ObservedHost,
    /// Tasks by name.
    pub tasks: BTreeMap<String, TaskSim>,
    /// Counts boots.
    pub boots: u64,
    /// Whether it is on its way through a reboot.
    pub rebooting: bool,
}

impl HostSim {
    /// The host as the list shows it.
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

/// All hosts that files name, live and in no pool.
pub fn hosts_of(files: &[FleetFile]) -> BTreeMap<String, HostSim> {
    let all = files.iter().flat_map(|f| &f.hosts).map(|h| {
        let observed = ObservedHost::newly_declared(h);
        (h.name.clone(), HostSim { observed, tasks: BTreeMap::new(), boots: 1, rebooting: false })
    });
    all.collect()
}
