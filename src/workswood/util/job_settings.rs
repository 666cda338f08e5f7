//! Settings of the `jobs` process. See `docs/SETTINGS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_adapter::{HostLimits, StoreLimits};
use workswood_callers::Limits;
use workswood_core::ids::DataCentre;
use workswood_core::jobs::Policy;
use workswood_core::jobs::lease_claim::{self, EntryCapacity};

use super::errors::Result;
use super::settings::read_checked;

/// Environment variable with the path of the settings file.
pub const PATH_ENV_VAR: &str = "WORKSWOOD_SETTINGS";

/// How long it takes to notice that a connection is silent and to repeat its read over a new one.
const RECONNECT_TIME: Duration = Duration::from_millis(1000);
/// Longest wait of a read; less than the 30 s after which the store answers in any case.
const MAX_LONG_POLL_WAIT: Duration = Duration::from_secs(20);

/// Least memory of a process, in MB: what it needs itself, and room for the bodies of callers.
const MIN_MEMORY_MB: u64 = 64;
/// Least number of descriptors of a process: those kept for files, and connections to its platform, its
/// peers and its callers.
const MIN_FDS: u64 = 240;
/// Descriptors that the host keeps for files.
const FILE_FDS: u64 = 200;
/// Part of the others that the listener for peers may use.
const PEER_FD_SHARES: u64 = 4;
/// The same of the second listener, which few ask.
const SEED_FD_SHARES: u64 = 12;
/// Largest record and append that a store accepts if the platform doesn't tell, in bytes.
const MAX_RECORD_BYTES: usize = 262_144;
const MAX_APPEND_BYTES: usize = 2_097_152;
/// Least values of both.
const MIN_RECORD_BYTES: usize = 4_096;
/// Largest value of either that is taken for meant.
const MAX_HOST_LIMIT: u64 = 1 << 24;

/// Sizes that the store accepts, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSizes {
    /// Largest record, with its key.
    pub record: usize,
    /// Largest append: all its records together.
    pub append: usize,
}

/// Settings of one `jobs` process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSettings {
    /// Name of the entry, used in logs and leases.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for readiness probes of the load balancer.
    pub readiness: SocketAddr,
    /// Listener for peers; also the address that is published to them.
    pub peers: SocketAddr,
    /// Second listener for peers, at the address that other entries know as a seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed_listener: Option<SocketAddr>,
    /// Addresses of some entries' seed listeners, separated by commas. A process that knows no peers, since the
    /// store does not answer, asks these.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub seeds: String,
    /// Listener for requests for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: String,
    /// Number of partitions into which the store may divide a topic; the same on all entries.
    #[serde(rename = "store_parts", default = "default_store_partitions")]
    pub store_partitions: u16,
    /// Address of the platform's host service.
    #[serde(rename = "machines")]
    pub hosts: String,
    /// Address of the adviser, which decides which workers may run a step, if there is one.
    #[serde(default)]
    pub adviser: Option<String>,
    /// Number of processor cores that the process may use.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Bandwidth of the entry's network link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Memory that the host gives the process, in MB.
    #[serde(default = "default_memory", skip_serializing_if = "is_default_memory")]
    pub memory_mb: u64,
    /// Number of descriptors that the host gives the process.
    #[serde(default = "default_fds", skip_serializing_if = "is_default_fds")]
    pub max_fds: u64,
    /// Limits of the host as the platform lists them. They replace `cores`, `link_mbps`, `memory_mb` and `max_fds`.
    #[serde(default, skip_serializing)]
    pub host_limits: HostLimits,
    /// Sizes that the store accepts, as the platform lists them.
    #[serde(default, skip_serializing)]
    pub store_limits: StoreLimits,
    /// Longest lease that workers accept, in milliseconds.
    #[serde(rename = "longest_lease_ms")]
    pub max_lease_ms: u64,
    /// How long a new lease holder waits before it sends orders to hosts, in milliseconds.
    #[serde(rename = "machine_handover_ms")]
    pub host_handover_ms: u64,
    /// Number of orders to hosts per second that the platform accepts.
    #[serde(rename = "machine_orders_per_s", default = "default_host_orders")]
    pub host_orders_per_s: f64,
    /// Time within which an entry must have caught up after a failure of its connections, in
    /// milliseconds.
    #[serde(rename = "in_step_within_ms", default = "default_catch_up_within")]
    pub catch_up_within_ms: u64,
    /// How long before its scheduled time a round may start, in milliseconds.
    #[serde(rename = "early_ms", default)]
    pub round_lead_ms: u64,
    /// How long the status of ended jobs can be queried, in seconds.
    #[serde(rename = "keep_ended_s")]
    pub ended_job_retention_s: f64,
    /// Longest time of a planned stop, in seconds.
    #[serde(rename = "stop_within_s")]
    pub stop_timeout_s: f64,
    /// Lowest level of log lines: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub log_level: log::LevelFilter,
    /// Parameters of the scheduler's decisions.
    #[serde(default)]
    pub policy: Policy,
}

/// Every store has at least one partition.
fn default_store_partitions() -> u16 {
    1
}

fn default_host_orders() -> f64 {
    64.0
}

fn default_catch_up_within() -> u64 {
    3_000
}

/// One core: an entry that does not set it counts as a large one.
fn default_cores() -> f64 {
    1.0
}

/// 1 Gbit/s: an entry that does not set it counts as a large one.
fn default_link() -> f64 {
    1000.0
}

fn default_memory() -> u64 {
    260
}

fn default_fds() -> u64 {
    4_096
}

/// Versions that don't know `memory_mb` and `max_fds` read what is written without them.
fn is_default_memory(mb: &u64) -> bool {
    *mb == default_memory()
}

fn is_default_fds(fds: &u64) -> bool {
    *fds == default_fds()
}

fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl JobSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &str) -> Result<JobSettings> {
        let settings = read_checked(path, |s: &JobSettings| s.clone().with_host_limits().check())?;
        Ok(settings.with_host_limits())
    }

    /// The settings with the limits of the host in effect.
    fn with_host_limits(mut self) -> JobSettings {
        let limits = std::mem::take(&mut self.host_limits);
        self.cores = limits.cores.unwrap_or(self.cores);
        self.link_mbps = limits.link_mbps.unwrap_or(self.link_mbps);
        self.memory_mb = limits.memory_mb.unwrap_or(self.memory_mb);
        self.max_fds = limits.max_fds.unwrap_or(self.max_fds);
        self
    }

    fn check(&self) -> std::result::Result<(), String> {
        if self.name.is_empty() || self.data_centre.is_empty() {
            return Err("`name` and `data_centre` must not be empty".to_string());
        }
        if self.peers.ip().is_unspecified() {
            return Err("`peers` is published to other entries and must be a specific address, not 0.0.0.0"
                .to_string());
        }
        for (field, value) in [("store", &self.store), ("machines", &self.hosts)] {
            if value.parse::<SocketAddr>().is_err() {
                return Err(format!("`{field}` must be an IP address and port, not `{value}`"));
            }
        }
        if let Some(value) = self.adviser().filter(|a| a.parse::<SocketAddr>().is_err()) {
            return Err(format!("`adviser` must be an IP address and port, not `{value}`"));
        }
        if let Some(value) = self.seeds().find(|a| a.parse::<SocketAddr>().is_err()) {
            return Err(format!("`seeds` must be IP addresses and ports, not `{value}`"));
        }
        if !(self.cores > 0.0 && self.cores.is_finite()) {
            return Err("`cores` must be above 0".to_string());
        }
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            return Err("`link_mbps` must be above 0".to_string());
        }
        if !(MIN_MEMORY_MB..=MAX_HOST_LIMIT).contains(&self.memory_mb) {
            return Err(format!("`memory_mb` must be between {MIN_MEMORY_MB} and {MAX_HOST_LIMIT}"));
        }
        if !(MIN_FDS..=MAX_HOST_LIMIT).contains(&self.max_fds) {
            return Err(format!("`max_fds` must be between {MIN_FDS} and {MAX_HOST_LIMIT}"));
        }
        if self.store_partitions == 0 {
            return Err("`store_parts` must be at least 1".to_string());
        }
        if self.max_lease_ms < 1_000 {
            return Err("`longest_lease_ms` must be at least 1000".to_string());
        }
        if !(self.host_orders_per_s >= 1.0 && self.host_orders_per_s.is_finite()) {
            return Err("`machine_orders_per_s` must be at least 1".to_string());
        }
        if self.catch_up_within_ms < 2_000 {
            return Err("`in_step_within_ms` must be at least 2000".to_string());
        }
        if !(1.0..=3_600.0).contains(&self.stop_timeout_s) {
            return Err("`stop_within_s` must be between 1 and 3600".to_string());
        }
        if !(0.0..=86_400.0).contains(&self.ended_job_retention_s) {
            return Err("`keep_ended_s` must be between 0 and 86400".to_string());
        }
        let sizes = self.store_sizes();
        if sizes.record < MIN_RECORD_BYTES || sizes.append < sizes.record {
            return Err(format!(
                "`store_limits` must allow records of {MIN_RECORD_BYTES} bytes, and appends of a whole record"
            ));
        }
        self.policy.check()
    }

    /// Address of the adviser, if there is one; an empty address counts as none.
    pub fn adviser(&self) -> Option<&str> {
        self.adviser.as_deref().filter(|a| !a.is_empty())
    }

    /// Addresses of the seed listeners of some entries; may include this one's.
    pub fn seeds(&self) -> impl Iterator<Item = &str> {
        self.seeds.split(',').map(str::trim).filter(|a| !a.is_empty())
    }

    /// Number of threads that run the process. Each keeps memory of its own, so there are not many more than cores.
    pub fn worker_threads(&self) -> usize {
        let of_host = std::thread::available_parallelism().map_or(1, usize::from);
        of_host.min(self.cores.ceil() as usize + 1)
    }

    /// Number of workers that this entry can manage as lease holder.
    pub fn strength(&self) -> EntryCapacity {
        lease_claim::entry_capacity(self.cores, self.link_mbps)
    }

    /// How long a read waits for new records on an entry that does not hold the lease. If the
    /// connection goes silent, the entry learns of new records only after this wait and the time
    /// to reconnect.
    pub fn long_poll_wait(&self) -> Duration {
        Duration::from_millis(self.catch_up_within_ms).saturating_sub(RECONNECT_TIME).min(MAX_LONG_POLL_WAIT)
    }

    /// Sizes that the store accepts.
    pub fn store_sizes(&self) -> StoreSizes {
        let limits = &self.store_limits;
        StoreSizes {
            record: limits.max_record.unwrap_or(MAX_RECORD_BYTES),
            append: limits.max_append.unwrap_or(MAX_APPEND_BYTES),
        }
    }

    /// Limits of the listener for callers.
    pub fn caller_limits(&self) -> Limits {
        Limits::for_callers(self.memory_mb, self.max_fds)
    }

    /// Limits of each listener for probes.
    pub fn probe_limits(&self) -> Limits {
        Limits::for_probes(self.max_fds)
    }

    /// Maximum number of connections of the listener for peers: all other entries may ask the lease holder.
    pub fn max_peer_connections(&self) -> usize {
        self.fd_share(PEER_FD_SHARES)
    }

    /// Maximum number of connections of the second listener for peers.
    pub fn max_seed_connections(&self) -> usize {
        self.fd_share(SEED_FD_SHARES)
    }

    /// One of so many equal shares of the descriptors that are not for files; at least 1.
    fn fd_share(&self, shares: u64) -> usize {
        (self.max_fds.saturating_sub(FILE_FDS) / shares).max(1) as usize
    }

    /// Longest time of a planned stop.
    pub fn stop_timeout(&self) -> Duration {
        Duration::from_secs_f64(self.stop_timeout_s)
    }
}
