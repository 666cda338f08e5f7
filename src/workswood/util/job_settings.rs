//! Settings of a process that queues and runs jobs. See `docs/SETTINGS.md`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use workswood_core::ids::DataCentre;
use workswood_core::jobs::Policy;
use workswood_core::jobs::lease_claim::{self, EntryCapacity};

use super::errors::Result;
use super::settings::read_checked;

/// Environment variable with the path of the settings file.
pub const PATH_VARIABLE: &str = "WORKSWOOD_SETTINGS";

/// Until a connection that went silent is given up and the same is read over a new one, a busy entry takes
/// a few times the 150 ms that it takes a calm one.
const RECONNECT_WITHIN: Duration = Duration::from_millis(1000);
/// The store answers within 30 s at the latest.
const LONGEST_NEWS_WAIT: Duration = Duration::from_secs(20);

/// Settings of a process that queues and runs jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSettings {
    /// Name of the entry, used in logs and leases.
    pub name: String,
    /// Data centre that it stands in.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether callers may be sent here.
    pub readiness: SocketAddr,
    /// Where peers connect; also what peers are told.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: String,
    /// Streams that a topic of the store may be divided into; the same on all
    /// entries.
    #[serde(default = "default_parts")]
    pub store_parts: u16,
    /// The platform's host service.
    #[serde(rename = "machines")]
    pub hosts: String,
    /// The service that says which workers may run a step, if there is one.
    #[serde(default)]
    pub adviser: Option<String>,
    /// Share of a core that the process gets.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Bandwidth of the entry's link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Longest lease that workers accept, in milliseconds.
    pub longest_lease_ms: u64,
    /// How long a new lease holder waits before orders to hosts.
    #[serde(rename = "machine_handover_ms")]
    pub host_handover_ms: u64,
    /// Orders to hosts a second that the platform takes.
    #[serde(rename = "machine_orders_per_s", default = "default_host_orders")]
    pub host_orders_per_s: f64,
    /// Within which time an entry has to be up to date again after trouble with its connections, in
    /// milliseconds.
    #[serde(default = "default_in_step")]
    pub in_step_within_ms: u64,
    /// How far ahead of its time a round may start, in milliseconds.
    #[serde(default)]
    pub early_ms: u64,
    /// How long ended jobs are kept for questions, in seconds.
    pub keep_ended_s: f64,
    /// Time allowed for a planned stop, in seconds.
    pub stop_within_s: f64,
    /// Least level of log lines: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub log_level: log::LevelFilter,
    /// What the scheduler's decisions are tuned by.
    #[serde(default)]
    pub policy: Policy,
}

/// One stream, as every store has.
fn default_parts() -> u16 {
    1
}

/// As many as the platforms of 50 hosts take.
fn default_host_orders() -> f64 {
    64.0
}

/// The least that platforms allow.
fn default_in_step() -> u64 {
    3_000
}

/// A whole core: an entry that does not say is taken to be a large one.
fn default_cores() -> f64 {
    1.0
}

/// 1 Gbit/s, in Mbit/s; likewise.
fn default_link() -> f64 {
    1000.0
}

fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl JobSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &str) -> Result<JobSettings> {
        read_checked(path, JobSettings::check)
    }

    fn check(&self) -> std::result::Result<(), String> {
        if self.name.is_empty() || self.data_centre.is_empty() {
            return Err("`name` and `data_centre` must not be empty".to_string());
        }
        if self.peers.ip().is_unspecified() {
            return Err("`peers` is told to other entries and needs an address, not 0.0.0.0".to_string());
        }
        for (field, value) in [("store", &self.store), ("machines", &self.hosts)] {
            if value.parse::<SocketAddr>().is_err() {
                return Err(format!("`{field}` must be an IP address and port, not `{value}`"));
            }
        }
        if let Some(value) = self.adviser().filter(|a| a.parse::<SocketAddr>().is_err()) {
            return Err(format!("`adviser` must be an IP address and port, not `{value}`"));
        }
        if !(self.cores > 0.0 && self.cores.is_finite()) {
            return Err("`cores` must be above 0".to_string());
        }
        if !(self.link_mbps > 0.0 && self.link_mbps.is_finite()) {
            return Err("`link_mbps` must be above 0".to_string());
        }
        if self.store_parts == 0 {
            return Err("`store_parts` must be at least 1".to_string());
        }
        if self.longest_lease_ms < 1_000 {
            return Err("`longest_lease_ms` must be at least 1000".to_string());
        }
        if !(self.host_orders_per_s >= 1.0 && self.host_orders_per_s.is_finite()) {
            return Err("`machine_orders_per_s` must be at least 1".to_string());
        }
        if self.in_step_within_ms < 2_000 {
            return Err("`in_step_within_ms` must be at least 2000".to_string());
        }
        if !(1.0..=3_600.0).contains(&self.stop_within_s) {
            return Err("`stop_within_s` must be between 1 and 3600".to_string());
        }
        if !(0.0..=86_400.0).contains(&self.keep_ended_s) {
            return Err("`keep_ended_s` must be between 0 and 86400".to_string());
        }
        self.policy.check()
    }

    /// The adviser; an empty address is none.
    pub fn adviser(&self) -> Option<&str> {
        self.adviser.as_deref().filter(|a| !a.is_empty())
    }

    /// Workers that this entry can look after as lease holder.
    pub fn strength(&self) -> EntryCapacity {
        lease_claim::entry_capacity(self.cores, self.link_mbps)
    }

    /// How long an entry that does not lead waits for news on one connection. What comes on a connection
    /// that has gone silent is heard that late, and over a new one some hundred milliseconds later.
    pub fn news_wait(&self) -> Duration {
        Duration::from_millis(self.in_step_within_ms).saturating_sub(RECONNECT_WITHIN).min(LONGEST_NEWS_WAIT)
    }

    /// Time allowed for a planned stop.
    pub fn stop_within(&self) -> Duration {
        Duration::from_secs_f64(self.stop_within_s)
    }
}
