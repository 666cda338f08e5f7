//! The platform's list of hosts and tasks, which may be out of date or wrong.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::{Host, Place};
use crate::ids::{HostId, PoolId};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It responds to the platform.
    Live,
    /// The platform is about to remove it.
    Leaving,
    /// It does not respond.
    Down,
}

/// A task in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedTask {
    /// Name of the instance or job.
    pub id: String,
    /// IP address and port of an instance; empty for a job.
    pub address: String,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Last reported processor usage, in thousandths of a core.
    #[serde(rename = "used_millis")]
    pub used_millicores: u64,
    /// Whether it ended with success; `None` while it runs.
    pub ended: Option<bool>,
    /// Fencing token of its start.
    pub token: u64,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedHost {
    /// Data centre and rack.
    #[serde(rename = "place")]
    pub location: Place,
    /// Number of processor cores.
    pub cpus: u32,
    /// Memory in GiB.
    pub memory_gib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// The pool that it belongs to on the platform.
    pub pool: Option<PoolId>,
    /// State of the host as the platform sees it.
    pub state: HostState,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether it is draining and has no work left.
    pub drained: bool,
    /// Boot id, different after each boot.
    pub boot: String,
    /// Highest fencing token of the actions that were carried out on it.
    pub token: u64,
    /// Tasks on it.
    pub tasks: Vec<ObservedTask>,
}

impl ObservedHost {
    /// A host as a fleet file declares it, live after its first boot, without a pool or tasks.
    pub fn newly_declared(h: &Host) -> ObservedHost {
        ObservedHost {
            location: h.location(),
            cpus: h.cpus,
            memory_gib: h.memory_gib,
            accelerators: h.accelerators,
            pool: None,
            state: HostState::Live,
            draining: false,
            drained: false,
            boot: format!("{}#1", h.name),
            token: 0,
            tasks: Vec::new(),
        }
    }
}

/// The platform's list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObservedFleet {
    /// Hosts by name.
    pub hosts: BTreeMap<HostId, ObservedHost>,
    /// Peer addresses of the entries that the platform knows.
    pub entries: Vec<String>,
}
