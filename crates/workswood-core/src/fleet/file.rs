//! The types of a fleet file; `docs/FLEET.md` is the reference.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::time::serde_rfc3339;
use crate::ids::{DataCentre, FileId, HostId, JobId, PoolId, Rack, ServiceId, TeamId, UnixMs};

/// A fleet file; applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetFile {
    /// Name of the file; a file with the same name replaces the earlier version.
    pub file: FileId,
    /// Weights of the planner's objective.
    #[serde(default)]
    pub objective: Objective,
    /// Hosts that the file claims. Hosts that no file claims are not managed.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Pools that the hosts are divided into.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Services and their budgets.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Planned maintenance.
    #[serde(default)]
    pub maintenance: Vec<Maintenance>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Jobs to run.
    #[serde(default)]
    pub jobs: Vec<Job>,
}

/// Weights of the planner's three measures; a higher weight is more important.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Weight of host and instance moves.
    #[serde(default = "one")]
    pub moves: u32,
    /// Weight of the time that the maintenance of a pool takes.
    #[serde(default = "one")]
    pub rollout: u32,
    /// Weight of spare capacity.
    #[serde(default = "one")]
    pub buffer: u32,
}

impl Default for Objective {
    fn default() -> Self {
        Objective { moves: 1, rollout: 1, buffer: 1 }
    }
}

fn one() -> u32 {
    1
}

/// A named set of hosts with the same minimum resources.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name, unique in the fleet.
    pub name: PoolId,
    /// Target number of hosts.
    pub size: u32,
    /// Minimum processors of a host, in cores.
    #[serde(default)]
    pub min_cpus: u32,
    /// Minimum memory of a host, in GiB.
    #[serde(default)]
    pub min_memory_gib: u32,
    /// Minimum number of accelerators of a host.
    #[serde(default)]
    pub min_accelerators: u32,
}

/// A service that callers send requests to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the fleet.
    pub name: ServiceId,
    /// Pool whose hosts run the instances.
    pub pool: PoolId,
    /// Target number of instances, each on a host of its own.
    pub instances: u32,
    /// Processors that one instance needs, in cores.
    #[serde(default = "default_instance_cpus")]
    pub cpus: u32,
    /// Memory that one instance needs, in GiB.
    #[serde(default = "default_instance_memory")]
    pub memory_gib: u32,
    /// Number of requests that one instance processes at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Maximum requests in flight to one instance, including those in transit; 0 means
    /// a quarter more than `slots`.
    #[serde(default)]
    pub window: u32,
    /// Maximum connections to one instance, from all entry hosts together.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The availability budget.
    pub budget: Budget,
    /// Routes to this service.
    #[serde(default)]
    pub routes: Vec<Route>,
}

fn default_instance_cpus() -> u32 {
    4
}

fn default_instance_memory() -> u32 {
    8
}

fn default_slots() -> u32 {
    8
}

fn default_connections() -> u32 {
    64
}

impl Service {
    /// Maximum requests in flight to one instance, with the default applied.
    pub fn window(&self) -> u32 {
        match self.window {
            0 => self.slots + self.slots / 4,
            n => n,
        }
    }
}

/// The availability budget of a service; it counts unavailability of every cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Minimum instances that are available at any time.
    pub min_available: u32,
    /// Maximum instances of one data centre on hosts that are draining, drained or
    /// rebooting.
    #[serde(default)]
    pub max_unavailable_per_data_centre: Option<u32>,
    /// Whether the budget must still hold if one more rack fails.
    #[serde(default)]
    pub reserve_rack: bool,
}

/// Priority class of a request or job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// A person is waiting for the answer.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Long, streamed transfers; they have a reserved share.
    Long,
    /// Deferred: may wait an hour, and is kept in the log until it has run.
    Later,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [PriorityClass; 4] =
        [PriorityClass::Urgent, PriorityClass::Normal, PriorityClass::Long, PriorityClass::Later];

    /// The name of the class in files and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PriorityClass::Urgent => "urgent",
            PriorityClass::Normal => "normal",
            PriorityClass::Long => "long",
            PriorityClass::Later => "later",
        }
    }
}

/// A path prefix that is routed to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix of the path; the longest matching prefix wins.
    pub path: String,
    /// Priority class of its requests.
    pub class: PriorityClass,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
    /// Maximum time from the arrival of a request to its answer.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub deadline: Duration,
}

fn default_deadline() -> Duration {
    Duration::from_secs(10)
}

/// Maintenance of every host of a pool, which reboots each host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    /// Name, unique in the file; hosts are maintained once per name.
    pub name: String,
    /// Pool whose hosts are maintained.
    pub pool: PoolId,
    /// Expected time that one host is out of service.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Time before which no host is drained; no limit if absent (stored as 0).
    #[serde(with = "serde_rfc3339", default)]
    pub start: UnixMs,
    /// Time by which every host is back in service; no deadline if absent (stored as 0).
    #[serde(with = "serde_rfc3339", default)]
    pub deadline: UnixMs,
    /// Time windows, for example of releases, in which no host may be out of service.
    #[serde(default, rename = "keep_clear")]
    pub blackout_windows: Vec<TimeWindow>,
    /// Maximum hosts out of service at a time; 0 means as many as the budgets allow.
    #[serde(default)]
    pub max_parallel: u32,
    /// Whether the operator has paused it.
    #[serde(default)]
    pub paused: bool,
}

/// A time window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimeWindow {
    /// Start, inclusive.
    #[serde(with = "serde_rfc3339")]
    pub from: UnixMs,
    /// End, exclusive.
    #[serde(with = "serde_rfc3339")]
    pub to: UnixMs,
}

/// A team that submits jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name, unique in the fleet.
    pub name: TeamId,
    /// Maximum processors that its running jobs may use together, in cores.
    pub quota_cpus: u32,
}

/// A job that runs to completion on one host of a pool. The jobs that callers submit are in
/// [`crate::jobs`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name, unique in the fleet.
    pub name: JobId,
    /// Team whose quota it uses.
    pub team: TeamId,
    /// Pool whose hosts may run it.
    pub pool: PoolId,
    /// Processors that the job needs, in cores.
    pub cpus: u32,
    /// Memory that the job needs, in GiB.
    #[serde(default)]
    pub memory_gib: u32,
    /// Priority class. A job of class `long` is ordered between `normal` and `later`.
    pub class: PriorityClass,
    /// Whether it may be started again when it failed, was lost or was preempted.
    pub repeatable: bool,
}

/// Location of a host.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Rack of the host.
    pub rack: Rack,
}

/// A host that a file claims, as its operator describes it. The platform's list takes
/// precedence over these values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Rack of the host; the name is unique in the fleet.
    pub rack: Rack,
    /// Processors, in cores.
    #[serde(default = "default_host_cpus")]
    pub cpus: u32,
    /// Memory, in GiB.
    #[serde(default = "default_host_memory")]
    pub memory_gib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

fn default_host_cpus() -> u32 {
    32
}

fn default_host_memory() -> u32 {
    128
}

impl Host {
    /// Data centre and rack of the host.
    pub fn location(&self) -> Place {
        Place { data_centre: self.data_centre.clone(), rack: self.rack.clone() }
    }
}
