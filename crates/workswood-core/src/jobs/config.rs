//! The configuration of queues, services and workspaces.

use std::collections::BTreeMap;
use std::time::Duration;

use super::job_key::QueueTag;
use super::spec::QueueId;
use super::workspace::Workspaces;
use crate::ids::ServiceId;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Name of the queue.
    pub name: QueueId,
    /// Host name of requests that belong to the queue.
    pub host_name: String,
    /// Path prefix of requests that belong to the queue.
    pub path_prefix: String,
    /// Service whose workers run its jobs.
    pub service: ServiceId,
    /// Whether requests need the API key of a workspace.
    pub requires_key: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of a task, or of a gang together, that fails the job.
    pub max_attempts: u32,
    /// The deadline of a job is this multiple of its critical path, plus [`Self::deadline_offset`].
    pub deadline_factor: f64,
    /// Fixed part of the time until the deadline of a job.
    pub deadline_offset: Duration,
    /// Timing of the adviser that decides which workers may run the steps of its jobs; `None` if
    /// the queue has no adviser and any worker may run them.
    pub advice: Option<AdviceConfig>,
}

/// A ticket that is valid for less than this can't be used: the start that carries it has to reach
/// its worker in time.
pub const MIN_TICKET_LIFETIME: Duration = Duration::from_millis(10);
/// A call about one worker that takes longer than this is not made.
pub const MAX_ADVICE_TIME: Duration = Duration::from_secs(3600);

/// Timing of calls to the adviser and validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceConfig {
    /// Fixed duration of a call.
    pub base_call_time: Duration,
    /// Additional duration for each worker that the call names.
    pub time_per_worker: Duration,
    /// How long a ticket is valid.
    pub ticket_lifetime: Duration,
}

impl AdviceConfig {
    /// Whether tasks can be started with the tickets of this adviser: they hold for at least
    /// [`MIN_TICKET_LIFETIME`], and a call about one worker takes at most [`MAX_ADVICE_TIME`].
    pub fn is_usable(&self) -> bool {
        let shortest_call = self.base_call_time.saturating_add(self.time_per_worker);
        self.ticket_lifetime >= MIN_TICKET_LIFETIME && shortest_call <= MAX_ADVICE_TIME
    }
}

/// A service: a pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: ServiceId,
    /// Whether its workers refuse tasks that exceed their capacity. The scheduler ignores it, since
    /// it places only what fits.
    pub enforces_capacity: bool,
    /// Whether this is the pool of spare hosts, which are kept switched off and cost nothing.
    pub spare: bool,
}

/// The configuration in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SchedConfig {
    /// Version number; a higher one is newer.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueId, QueueConfig>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceConfig>,
    /// Workspaces and their API keys.
    pub workspaces: Workspaces,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
}

impl QueueConfig {
    /// The address of the queue.
    pub fn tag(&self) -> QueueTag {
        QueueTag::of_address(&self.host_name, &self.path_prefix)
    }
}

impl SchedConfig {
    /// The queue at an address.
    pub fn queue_of(&self, tag: QueueTag) -> Option<&QueueConfig> {
        self.queues.values().find(|q| q.tag() == tag)
    }

    /// The queue of jobs that were submitted at an address, whatever its name is by now. Jobs whose address is not known
    /// belong to the queue of this name.
    pub fn queue_at(&self, tag: QueueTag, name: &str) -> Option<&QueueConfig> {
        let named = self.queues.get(name);
        if tag.is_unknown() {
            return named;
        }
        named.filter(|q| q.tag() == tag).or_else(|| self.queue_of(tag))
    }

    /// The queue that a request belongs to: the one with the longest matching path prefix for its
    /// host name.
    pub fn route(&self, host_name: &str, path: &str) -> Option<&QueueConfig> {
        self.queues
            .values()
            .filter(|q| q.host_name == host_name && path.starts_with(&q.path_prefix))
            .max_by_key(|q| q.path_prefix.len())
    }
}
