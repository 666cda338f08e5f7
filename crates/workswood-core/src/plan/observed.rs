//! The platform's list as the planner reads it. It lags and may be wrong.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::{Host, Place};
use crate::ids::{HostId, PoolId};

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It answers the platform.
    Live,
    /// The platform is about to take it away.
    Leaving,
    /// It does not answer.
    Down,
}

/// A task that the platform runs on a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedTask {
    /// Name of the instance or job.
    pub id: String,
    /// IP address and port, for instances.
    pub address: String,
    /// Whether it takes work.
    pub ready: bool,
    /// Processors it uses as last reported, in thousandths of a core.
    pub used_millis: u64,
    /// How it ended; none while it runs.
    pub ended: Option<bool>,
    /// Token it was started with.
    pub token: u64,
}

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObservedHost {
    /// Where it stands.
    pub place: Place,
    /// Processors in cores.
    pub cpus: u32,
    /// Memory in GiB.
    pub memory_gib: u32,
    /// Accelerators.
    pub accelerators: u32,
    /// The pool that the platform has it in.
    pub pool: Option<PoolId>,
    /// Its state.
    pub state: HostState,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether no work is left on it while it drains.
    pub drained: bool,
    /// Changes with each boot.
    pub boot: String,
    /// Highest token of an act carried out on it.
    pub token: u64,
    /// Tasks on it.
    pub tasks: Vec<ObservedTask>,
}

impl ObservedHost {
    /// A host as declared: live, in no pool, just booted, without tasks.
    pub fn newly_declared(h: &Host) -> ObservedHost {
        ObservedHost {
            place: h.place(),
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

/// The whole list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ObservedFleet {
    /// Hosts by name.
    pub hosts: BTreeMap<HostId, ObservedHost>,
    /// Peer addresses of entry processes that the platform knows.
    pub entries: Vec<String>,
}
