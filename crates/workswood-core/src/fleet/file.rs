//! The types of a fleet file. See `docs/FLEET.md` for the reference.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::time::serde_rfc3339;
use crate::ids::{DataCentre, FileId, HostId, JobId, PoolId, Rack, ServiceId, TeamId, UnixMs};

/// One file of an operator; applied as a whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetFile {
    /// Name of the unit; the same name replaces the earlier version.
    pub file: FileId,
    /// What the plan weighs.
    #[serde(default)]
    pub objective: Objective,
    /// Hosts handed over to the system. Hosts named nowhere are not touched.
    #[serde(default)]
    pub hosts: Vec<Host>,
    /// Pools that the hosts are divided into.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Services and their budgets.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Maintenance that is planned.
    #[serde(default)]
    pub maintenance: Vec<Maintenance>,
    /// Teams and their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Jobs to run.
    #[serde(default)]
    pub jobs: Vec<Job>,
}

/// Weights of the three measures; higher is more important.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Objective {
    /// Weight of host and instance moves.
    #[serde(default = "one")]
    pub moves: u32,
    /// Weight of the time a roll-out takes.
    #[serde(default = "one")]
    pub rollout: u32,
    /// Weight of spare buffer capacity.
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

/// A named set of hosts of one shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    /// Name, unique in the fleet.
    pub name: PoolId,
    /// How many hosts the pool shall have.
    pub size: u32,
    /// Least processors of a host, in cores.
    #[serde(default)]
    pub min_cpus: u32,
    /// Least memory of a host, in GiB.
    #[serde(default)]
    pub min_memory_gib: u32,
    /// Least accelerators of a host.
    #[serde(default)]
    pub min_accelerators: u32,
}

/// A service that callers reach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique in the fleet.
    pub name: ServiceId,
    /// Pool whose hosts run the instances.
    pub pool: PoolId,
    /// How many instances shall run, each on a host of its own.
    pub instances: u32,
    /// Processors that one instance needs, in cores.
    #[serde(default = "default_instance_cpus")]
    pub cpus: u32,
    /// Memory that one instance needs, in GiB.
    #[serde(default = "default_instance_memory")]
    pub memory_gib: u32,
    /// Requests that one instance works on at a time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Requests that may be under way to one instance at a time, those on the
    /// wire included; 0 is a quarter more than `slots`.
    #[serde(default)]
    pub window: u32,
    /// Connections that one instance accepts, over all entry hosts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The availability budget.
    pub budget: Budget,
    /// Routes of callers to this service.
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
    /// Requests that may be under way to one instance at a time.
    pub fn window(&self) -> u32 {
        match self.window {
            0 => self.slots + self.slots / 4,
            n => n,
        }
    }
}

/// What the service must keep, counting every cause together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    /// Least instances that are available at any time.
    pub min_available: u32,
    /// Most instances of one data centre that may be unavailable by our acts.
    #[serde(default)]
    pub max_unavailable_per_data_centre: Option<u32>,
    /// Whether one more rack may fail at any time without breaking the budget.
    #[serde(default)]
    pub reserve_rack: bool,
}

/// How soon a request is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// A person waits.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Long transfers, streamed; has a reserved share.
    Long,
    /// May wait an hour; kept in the log until it has run.
    Later,
}

impl PriorityClass {
    /// All classes, most urgent first.
    pub const ALL: [PriorityClass; 4] =
        [PriorityClass::Urgent, PriorityClass::Normal, PriorityClass::Long, PriorityClass::Later];

    /// The name used in files and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            PriorityClass::Urgent => "urgent",
            PriorityClass::Normal => "normal",
            PriorityClass::Long => "long",
            PriorityClass::Later => "later",
        }
    }
}

/// A path that callers use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Prefix of the path; the longest that fits wins.
    pub path: String,
    /// How soon it is needed.
    pub class: PriorityClass,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Longest time from arrival to answer.
    #[serde(with = "humantime_serde", default = "default_deadline")]
    pub deadline: Duration,
}

fn default_deadline() -> Duration {
    Duration::from_secs(10)
}

/// Work on every host of a pool that needs a reboot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Maintenance {
    /// Name, unique in the fleet; a new name is new maintenance.
    pub name: String,
    /// Pool whose hosts are maintained.
    pub pool: PoolId,
    /// Expected time that one host is away.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Not before this time.
    #[serde(with = "serde_rfc3339", default)]
    pub start: UnixMs,
    /// Every host is back by this time; 0 is no deadline.
    #[serde(with = "serde_rfc3339", default)]
    pub deadline: UnixMs,
    /// Releases that no host may be away for.
    #[serde(default, rename = "keep_clear")]
    pub blackout_windows: Vec<TimeWindow>,
    /// Most hosts away at a time; 0 is as many as the budgets allow.
    #[serde(default)]
    pub max_parallel: u32,
    /// Whether the operator has paused it.
    #[serde(default)]
    pub paused: bool,
}

/// A span of time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimeWindow {
    /// First moment.
    #[serde(with = "serde_rfc3339")]
    pub from: UnixMs,
    /// First moment after it.
    #[serde(with = "serde_rfc3339")]
    pub to: UnixMs,
}

/// A team that submits jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name, unique in the fleet.
    pub name: TeamId,
    /// Processors that its running jobs may use together, in cores.
    pub quota_cpus: u32,
}

/// A job to run once on a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name, unique in the fleet.
    pub name: JobId,
    /// Team whose quota it uses.
    pub team: TeamId,
    /// Pool whose hosts may run it.
    pub pool: PoolId,
    /// Declared processors, in cores.
    pub cpus: u32,
    /// Declared memory, in GiB.
    #[serde(default)]
    pub memory_gib: u32,
    /// How soon it is needed; `long` is not used for jobs.
    pub class: PriorityClass,
    /// Whether it may be started again after an unknown end.
    pub repeatable: bool,
}

/// Where a host stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostLocation {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Rack of the host.
    pub rack: Rack,
}

/// A host that is handed over, as the operator knows it. What the platform's
/// list says of it later goes before these values.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: HostId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Rack, unique in the fleet.
    pub rack: Rack,
    /// Processors, in cores.
    #[serde(default = "default_host_cpus")]
    pub cpus: u32,
    /// Memory, in GiB.
    #[serde(default = "default_host_memory")]
    pub memory_gib: u32,
    /// Accelerators.
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
    /// Its data centre and rack.
    pub fn location(&self) -> HostLocation {
        HostLocation { data_centre: self.data_centre.clone(), rack: self.rack.clone() }
    }
}
