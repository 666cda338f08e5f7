//! Settings of the `entry` process. See `docs/SETTINGS.md`.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use workswood_core::ids::DataCentre;

use super::errors::{Error, ReadFileSnafu, Result};

/// Settings of one `entry` process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the entry, used in logs.
    pub name: String,
    /// Data centre of the entry.
    pub data_centre: DataCentre,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators.
    pub operators: SocketAddr,
    /// Listener for peers; also the address that is published to them.
    pub peers: SocketAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Peer listeners of other entries, to contact at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with the operators' token.
    pub operators_token_file: String,
    /// File with the peers' token.
    pub peers_token_file: String,
    /// Lowest level of log lines: `error`, `warn`, `info` or `debug`.
    #[serde(default = "default_level")]
    pub log_level: log::LevelFilter,
    /// How long requests still arrive after the entry has reported that it is not ready.
    #[serde(with = "humantime_serde", default = "default_balancer_lag")]
    pub balancer_lag: Duration,
    /// Longest time of a planned stop.
    #[serde(with = "humantime_serde", default = "default_stop_limit")]
    pub stop_limit: Duration,
    /// Time between two checkpoints of the state, while it changes.
    #[serde(with = "humantime_serde", default = "default_checkpoint_every")]
    pub checkpoint_every: Duration,
    /// Number of appends per second that the platform accepts from all entries together.
    #[serde(default = "default_appends")]
    pub appends_per_second: u32,
}

fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn default_balancer_lag() -> Duration {
    Duration::from_secs(3)
}

fn default_stop_limit() -> Duration {
    Duration::from_secs(60)
}

fn default_checkpoint_every() -> Duration {
    Duration::from_secs(60)
}

fn default_appends() -> u32 {
    90
}

/// Reads a settings file and checks it with `check`.
pub(super) fn read_checked<T: DeserializeOwned>(
    path: &str,
    check: fn(&T) -> std::result::Result<(), String>,
) -> Result<T> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let invalid = |text: String| Error::InvalidSettings { path: path.to_string(), text };
    let s: T = serde_json::from_str(&text).map_err(|e| invalid(e.to_string()))?;
    check(&s).map_err(invalid)?;
    Ok(s)
}

/// The tokens that clients of one process must present.
#[derive(Clone)]
pub struct Tokens {
    /// Token of operators.
    pub operators: String,
    /// Token of peers.
    pub peers: String,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &str) -> Result<Settings> {
        read_checked(path, Settings::check)
    }

    fn check(&self) -> std::result::Result<(), String> {
        if self.name.is_empty() || self.data_centre.is_empty() {
            return Err("`name` and `data_centre` must not be empty".to_string());
        }
        if self.peers.ip().is_unspecified() {
            return Err("`peers` is published to other entries and must be a specific address, not 0.0.0.0"
                .to_string());
        }
        if self.stop_limit < self.balancer_lag {
            return Err("`stop_limit` must not be less than `balancer_lag`".to_string());
        }
        if self.appends_per_second == 0 {
            return Err("`appends_per_second` must be at least 1".to_string());
        }
        if self.checkpoint_every < Duration::from_millis(100) {
            return Err("`checkpoint_every` must be at least 100ms".to_string());
        }
        Ok(())
    }

    /// Reads the token files. Their paths are relative to the folder of the settings file `path`.
    pub fn tokens(&self, path: &str) -> Result<Tokens> {
        let folder = Path::new(path).parent().unwrap_or(Path::new("."));
        let read = |file: &str| -> Result<String> {
            let path = folder.join(file);
            let shown = path.display().to_string();
            let text = std::fs::read_to_string(&path).context(ReadFileSnafu { path: shown.clone() })?;
            let token = text.trim().to_string();
            if token.is_empty() {
                return Err(Error::InvalidSettings {
                    path: shown,
                    text: "the token file is empty".to_string(),
                });
            }
            Ok(token)
        };
        Ok(Tokens { operators: read(&self.operators_token_file)?, peers: read(&self.peers_token_file)? })
    }
}
