//! Queues and services in force.

use std::collections::BTreeMap;
use std::time::Duration;

use super::spec::QueueId;
use super::workspace::Workspaces;
use crate::ids::ServiceId;

/// A queue that callers hand jobs in to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name.
    pub name: QueueId,
    /// Host name that callers use.
    pub host_name: String,
    /// Start of the paths that belong to it.
    pub path_prefix: String,
    /// Service whose workers run its jobs.
    pub service: ServiceId,
    /// Whether only workspaces may use it, with a key of theirs.
    pub requires_key: bool,
    /// 0 is the most urgent.
    pub priority: u32,
    /// How many failed runs a task may have.
    pub max_attempts: u32,
    /// A job is owed within this multiple of its longest chain of work,
    pub deadline_factor: f64,
    /// plus this much.
    pub deadline_offset: Duration,
    /// How the adviser works that knows which workers may run its steps; `None`
    /// if all may.
    pub advice: Option<AdviceConfig>,
}

/// What asking the adviser about a step takes, and how long its tickets hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceConfig {
    /// Time of a call.
    pub base_call_time: Duration,
    /// Time of a call for each worker that it names.
    pub time_per_worker: Duration,
    /// How long a ticket holds.
    pub ticket_lifetime: Duration,
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Its name.
    pub name: ServiceId,
    /// Whether its workers refuse what does not fit. The scheduler does not read
    /// it: it places only what fits.
    pub enforces_capacity: bool,
    /// Whether its hosts are off and unpaid.
    pub spare: bool,
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SchedConfig {
    /// Version; higher is newer.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueId, QueueConfig>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// Workspaces, and their keys.
    pub workspaces: Workspaces,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
}

impl SchedConfig {
    /// The queue of a request: the longest path prefix of its host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .values()
            .filter(|q| q.host_name == host && path.starts_with(&q.path_prefix))
            .max_by_key(|q| q.path_prefix.len())
    }
}
